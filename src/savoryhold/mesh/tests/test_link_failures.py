"""Requests under way on links that are slow, silent or broken.

Pattern: requests and answers are on their way between two nodes, both of
which live, when the connection below their link is held up, goes silent or
is reset; new connections work.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable

from savoryhold.mesh.tests.fleet import (
    FILES,
    NAMES,
    Caller,
    Fleet,
    VirtualTimeCase,
)
from savoryhold.mesh.tests.simulated_network import Path
from savoryhold.peer import LinkStream
from savoryhold.peer.frames import MAX_FRAME_BYTES

OK = 200
REFUSED = 503
UNCERTAIN = frozenset({502, 504})
DEADLINE_MS = 4000
LATE_S = 4.2  # after the deadline and what is allowed for the answer's way
HELD_MS = 1500
AT_WORK_S = 0.1
SHORT_MS = 250  # a run that ends while its link is in trouble
LONG_MS = 2000  # a run that outlasts the trouble of its link
FAR_MS = 20.0  # a way long enough for something to break off on it
ON_ITS_WAY_S = 0.005
ENDLESS_MS = 5000
SLOW_MS = 60.0
HELD_SHORTLY_MS = 800  # beyond a probe's limit, not beyond a new connection
IDLE_S = 5.0
SOON_S = 1.0
DOWN_S = 0.5
SLACK_S = 0.2
SLOW_DIAL_MS = 70.0  # a way on which it takes 350 ms until a link is ready
CALLER_WAITS_S = 0.3
TIMES = 3
FEW = 4
NARROW = 2_000_000  # bytes a second
LONG_BODY = 1_500_000
BODY = 700_000
BODIES_SENT_S = 1.5
DIALS_AGAIN_S = 0.75  # after a silence that began with a call
FROM = 0
TO = 2  # the one node beside a target that runs what is asked
BOTH = ('/files/', '/book/')
MANY = 50
STRIKES = 20
SEEDS = range(1, 6)
ALL_ASKED_S = 1.0
ALL_STRUCK_S = 1.5


def hold(path: Path) -> None:
    """Hold up what is sent on the connections that exist."""
    path.hold(HELD_MS)


def hold_shortly(path: Path) -> None:
    """Hold up what is sent until a new connection is nearly open."""
    path.hold(HELD_SHORTLY_MS)


def cut_for_a_while(path: Path) -> None:
    """Let nothing pass for a while."""
    path.cut()
    asyncio.get_running_loop().call_later(DOWN_S, path.mend)


class LinkCase(VirtualTimeCase):
    """Two nodes with a link between them that has been used before."""

    async def asyncSetUp(self) -> None:
        """Start three nodes, two of which matter."""
        await self.begin(3, 1)

    async def begin(self, nodes: int, seed: int) -> None:
        """Start nodes and open their links."""
        self.fleet = Fleet(nodes, seed, wired=True)
        self.addAsyncCleanup(self.fleet.close)
        self.path = self.fleet.path(FROM, TO)
        self.target = self.fleet.nodes[TO].target
        for node in self.fleet.nodes:
            self.ask('/files/', f'first-{node.name}', node=node.name)
        await asyncio.sleep(1)
        self.fleet.arrivals.clear()

    def ask(
        self, path: str, name: str, node: str = 'n0', body: bytes = b''
    ) -> Caller:
        """Send a request to a node."""
        found = next(one for one in self.fleet.nodes if one.name == node)
        return found.ask(path, name, DEADLINE_MS, body)

    def name_of(self, caller: Caller) -> str:
        """Return the id of a caller's request."""
        return caller.req.header(NAMES.request_id.lower()).decode()

    def runs(self) -> dict[str, int]:
        """Return how often each request has arrived at a target."""
        return dict(Counter(one.request for one in self.fleet.arrivals))

    def stopped(self) -> int:
        """Return how many runs their nodes have given up."""
        nodes = self.fleet.nodes
        return sum(node.owner.runs.stopped for node in nodes)

    def ask_both(self) -> list[Caller]:
        """Ask for a lookup and a booking that run at the other node."""
        return [self.ask(path, path) for path in BOTH]

    def ask_few(self, size: int) -> list[Caller]:
        """Send bookings with bodies of a size."""
        return [
            self.ask('/book/', f'b{number}', body=bytes(size))
            for number in range(FEW)
        ]

    def check_few(self, callers: list[Caller]) -> None:
        """See these bookings answered, with one run each."""
        self.assertEqual(set(heard(callers)), {OK})
        self.assertEqual(self.runs(), {f'b{n}': 1 for n in range(FEW)})

    async def check_once(self, callers: list[Caller]) -> None:
        """See both answered, with one run each that nothing has stopped."""
        await asyncio.sleep(LATE_S)
        self.assertEqual(heard(callers), [OK, OK])
        self.assertEqual(self.runs(), dict.fromkeys(BOTH, 1))
        self.assertEqual((self.fleet.stopped, self.stopped()), ({}, 0))

    async def check_at_work(
        self, work_ms: int, strike: Callable[[Path], None]
    ) -> None:
        """Strike a link while a lookup and a booking run over it."""
        self.target.work_ms = work_ms
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        self.assertEqual(self.fleet.running, set(BOTH))
        strike(self.path)
        await self.check_once(callers)

    async def check_on_its_way(self, strike: Callable[[Path], None]) -> None:
        """Strike a link while a lookup and a booking are on their way."""
        self.path.delay_ms = FAR_MS
        callers = self.ask_both()
        await asyncio.sleep(ON_ITS_WAY_S)
        strike(self.path)
        self.assertEqual(self.runs(), {})
        await self.check_once(callers)


class TestLinksInTrouble(LinkCase):
    """What callers hear, and what runs, beside trouble of a link."""

    # Trouble in these tests came from the wires, not from what strikes them.
    async def test_no_trouble(self) -> None:
        """Nothing strikes, and nothing is amiss."""
        await self.check_at_work(LONG_MS, lambda path: None)

    # A slow link was taken for silent, and its calls were ended.
    async def test_answers_of_a_slow_link_are_heard(self) -> None:
        """Runs that end while their link is held up are answered once."""
        await self.check_at_work(SHORT_MS, hold)

    # The end of a slow link, once it arrived, ended the runs.
    async def test_runs_outlast_a_slow_link(self) -> None:
        """Runs that go on when their link moves again are not stopped."""
        await self.check_at_work(LONG_MS, hold)

    # What ended while its link was silent was never answered.
    async def test_answers_of_a_silent_link_come_by_a_new_one(self) -> None:
        """Runs that end behind a silent link are answered once."""
        await self.check_at_work(SHORT_MS, Path.silence)

    # A booking under way on a link that fell silent ended as 504.
    async def test_runs_outlast_a_silent_link(self) -> None:
        """Runs behind a silent link are answered by way of a new one."""
        await self.check_at_work(LONG_MS, Path.silence)

    # A connection that broke took the answers and runs of both nodes along.
    async def test_runs_outlast_a_reset(self) -> None:
        """Runs on a link that is reset are answered by way of a new one."""
        await self.check_at_work(LONG_MS, Path.reset)

    # An answer on its way when its connection broke was dropped.
    async def test_answer_on_its_way_outlasts_a_reset(self) -> None:
        """What has run is answered, not run again."""
        self.path.delay_ms = FAR_MS
        self.target.work_ms = SHORT_MS
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        while self.fleet.running:
            await asyncio.sleep(0.001)
        await asyncio.sleep(ON_ITS_WAY_S)
        self.assertEqual(heard(callers), [None, None])
        self.path.reset()
        await self.check_once(callers)

    # A booking that had not arrived when its connection broke ended as 504.
    async def test_request_on_its_way_outlasts_a_reset(self) -> None:
        """What is lost on its way runs once, by way of a new connection."""
        await self.check_on_its_way(Path.reset)

    # A request that was sent into a silent connection waited for its end.
    async def test_request_outlasts_a_link_that_was_silent(self) -> None:
        """What a silent connection swallows runs by way of a new one."""
        self.path.silence()
        await self.check_on_its_way(Path.silence)

    # A request into a slow connection was given up as one that may have run.
    async def test_request_outlasts_a_slow_link(self) -> None:
        """What is held up on its way runs once, by whatever way it comes."""
        self.path.hold(HELD_MS)
        await self.check_once(self.ask_both())

    # A slow link was replaced though it had brought bytes since its probe.
    async def test_slow_link_that_brings_something_is_kept(self) -> None:
        """Its calls stay on it, and nothing is sent twice."""
        self.path.delay_ms = SLOW_MS
        await self.check_at_work(LONG_MS, hold_shortly)
        pool = self.fleet.nodes[FROM].pool
        self.assertEqual((pool.replaced, pool.moved), (0, 0))

    # The time in which nobody waited was counted as silence of the link.
    async def test_idle_link_is_not_probed_at_once(self) -> None:
        """A run shorter than the limit of silence brings no probe."""
        await asyncio.sleep(IDLE_S)
        self.target.work_ms = SHORT_MS
        await self.check_once(self.ask_both())
        self.assertEqual(self.fleet.nodes[FROM].pool.probed, 0)

    # A request too large for its link stopped all later calls from moving.
    async def test_reset_behind_a_request_too_large(self) -> None:
        """What cannot be sent leaves nothing on the link."""
        caller = self.ask('/book/', 'large', body=bytes(MAX_FRAME_BYTES))
        await asyncio.sleep(0)
        await self.check_at_work(SHORT_MS, Path.reset)
        self.assertTrue(caller.status.done())

    # A link was replaced, and all bodies sent anew, before they had arrived.
    async def test_long_bodies_are_not_taken_for_silence(self) -> None:
        """A link that takes what is sent is not silent."""
        self.target.work_ms = SHORT_MS
        self.path.bytes_per_s = NARROW
        callers = self.ask_few(LONG_BODY)
        await asyncio.sleep(LATE_S)
        self.check_few(callers)
        self.assertEqual(self.fleet.nodes[FROM].pool.replaced, 0)

    # Runs were stopped while the bodies of calls before them were sent again.
    async def test_runs_outlast_a_reset_behind_long_bodies(self) -> None:
        """Calls whose bodies take long to send are not taken for left."""
        self.target.work_ms = LONG_MS
        self.path.bytes_per_s = NARROW
        callers = self.ask_few(BODY)
        await asyncio.sleep(BODIES_SENT_S)
        self.assertEqual(len(self.fleet.running), FEW)
        self.path.reset()
        await asyncio.sleep(LATE_S)
        self.check_few(callers)

    # Calls under way were ended although no new connection worked, either.
    async def test_runs_outlast_a_cut(self) -> None:
        """Runs beside a cut that ends soon are answered."""
        await self.check_at_work(LONG_MS, cut_for_a_while)

    # A request came late on an old connection and ran a second time.
    async def test_late_request_does_not_run_again(self) -> None:
        """What a new connection has brought is ignored on the old one."""
        self.path.hold(HELD_MS)
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        self.path.silence()
        await self.check_once(callers)


class TestManyLinksInTrouble(LinkCase):
    """Many callers over links that break at random."""

    # One broken connection ended all that many callers had under way on it.
    async def test_links_that_break_at_random(self) -> None:
        """Bookings run at most once, lookups are answered, none by 504."""
        amiss = {}
        for seed in SEEDS:
            await self.begin(6, seed)
            callers = await self.play(random.Random(seed), BOTH)
            await asyncio.sleep(LATE_S)
            amiss[seed] = self.amiss(callers)
            self.assertEqual(self.fleet.running, set())
        self.assertEqual(amiss, dict.fromkeys(SEEDS, {}))

    # Runs went on for callers that had left while their link broke.
    async def test_callers_leave_at_random(self) -> None:
        """All runs end soon after their callers left and their links broke."""
        running = {}
        for seed in SEEDS:
            await self.begin(6, seed)
            await self.play(random.Random(seed), BOTH[:1], AT_WORK_S)
            await asyncio.sleep(SOON_S + SLACK_S)
            running[seed] = set(self.fleet.running)
        self.assertEqual(running, dict.fromkeys(SEEDS, set()))

    async def play(
        self,
        rng: random.Random,
        paths: tuple[str, ...],
        leave_s: float | None = None,
    ) -> list[Caller]:
        """Ask and strike at random times."""
        loop = asyncio.get_running_loop()
        callers: list[Caller] = []
        work_ms = SHORT_MS if leave_s is None else ENDLESS_MS
        for target in self.fleet.targets(FILES):
            target.work_ms = work_ms

        for number in range(MANY):
            path, node = rng.choice(paths), rng.choice(('n0', 'n1', 'n3', 'n4'))
            request = (path, f'{path}{number}', node)
            at = rng.uniform(0, ALL_ASKED_S)
            loop.call_later(at, self.come, request, callers, leave_s)
        for _ in range(STRIKES):
            link = self.fleet.path(rng.choice((0, 1, 3, 4)), rng.choice((2, 5)))
            strike = rng.choice((hold, Path.silence, Path.reset))
            loop.call_later(rng.uniform(0, ALL_STRUCK_S), strike, link)
        await asyncio.sleep(ALL_STRUCK_S)
        return callers

    def come(
        self,
        request: tuple[str, str, str],
        callers: list[Caller],
        leave_s: float | None,
    ) -> None:
        """Ask, and leave after a time if one is given."""
        caller = self.ask(*request)
        callers.append(caller)
        if leave_s is not None:
            asyncio.get_running_loop().call_later(leave_s, caller.leave)

    def amiss(self, callers: list[Caller]) -> dict[str, tuple[int | None, int]]:
        """Return what callers heard and how often it ran, where wrong."""
        runs = self.runs()
        found = {}
        for caller, status in zip(callers, heard(callers), strict=True):
            name = self.name_of(caller)
            count = runs.get(name, 0)
            fine = {(OK, 1), (REFUSED, 0)}
            if name.startswith('/files/'):
                fine = {(OK, max(1, count))}
            if (status, count) not in fine:
                found[name] = (status, count)
        return found


class TestProcessesThatEnd(LinkCase):
    """Calls whose other end is no more."""

    # Runs were kept for a link that nobody would come back to.
    async def test_lookups_end_with_their_ingress(self) -> None:
        """Nothing runs on for a node that has ended."""
        self.target.work_ms = ENDLESS_MS
        for number in range(5):
            self.ask('/files/', f'f{number}')
        await asyncio.sleep(AT_WORK_S)
        self.assertEqual(len(self.fleet.running), 5)
        self.fleet.nodes[FROM].life.kill()
        await asyncio.sleep(SOON_S)
        self.assertEqual(self.fleet.running, set())

    # A booking was sent again to a node that had forgotten that it ran.
    async def test_booking_runs_once_over_a_restart(self) -> None:
        """What a former life may have run is not run by the next."""
        await self.check_restart()

    # The same, with nobody told that the former life has ended.
    async def test_booking_runs_once_over_an_unheard_restart(self) -> None:
        """What a former life may have run is not run by the next."""
        await self.check_restart(Path.silence)

    async def check_restart(
        self, strike: Callable[[Path], None] | None = None
    ) -> None:
        """Start the owner again while it runs a lookup and a booking."""
        for number in range(MANY):
            self.ask('/files/', f'before-{number}')
        await asyncio.sleep(SOON_S)
        self.fleet.arrivals.clear()
        self.target.work_ms = SHORT_MS
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        if strike is not None:
            strike(self.path)
        node = self.fleet.nodes[TO]
        node.life.kill()
        await asyncio.sleep(AT_WORK_S)
        node.start()
        self.fleet.gossip()
        await asyncio.sleep(LATE_S)
        lookup, booking = heard(callers)
        self.assertEqual(lookup, OK)
        self.assertIn(booking, UNCERTAIN)
        self.assertEqual(self.runs()['/book/'], 1)
        self.assertLessEqual(self.runs()['/files/'], 2)


class TestCallersLeaveInTrouble(LinkCase):
    """Callers that leave while their link cannot say so."""

    # The word that a caller had left was lost with its connection.
    async def test_lookup_ends_over_a_reset(self) -> None:
        """A run ends although its link was down as its caller left."""
        await self.check_leave(Path.reset, Path.cut)

    # The word that a caller had left went into a silent connection.
    async def test_lookup_ends_behind_a_silent_link(self) -> None:
        """A run ends although its link was silent as its caller left."""
        await self.check_leave(Path.silence)

    async def check_leave(self, *strikes: Callable[[Path], None]) -> None:
        """Let a caller leave a run behind a link in trouble."""
        for pause_s in (0, AT_WORK_S):
            with self.subTest(pause_s=pause_s):
                await self.begin(3, 1)
                await self.leave(pause_s, strikes)

    async def leave(
        self, pause_s: float, strikes: tuple[Callable[[Path], None], ...]
    ) -> None:
        """Strike, and have the caller leave some time later."""
        self.target.work_ms = ENDLESS_MS
        caller = self.ask('/files/', 'f1')
        await asyncio.sleep(AT_WORK_S)
        self.assertEqual(self.fleet.running, {'f1'})
        for strike in strikes:
            strike(self.path)
        await asyncio.sleep(pause_s)
        caller.leave()
        await asyncio.sleep(DOWN_S)
        self.path.mend()
        await asyncio.sleep(SOON_S - DOWN_S + SLACK_S)
        self.assertEqual(self.fleet.running, set())
        self.assertEqual(self.runs(), {'f1': 1})

    # A request and the word that its caller had left came late together.
    async def test_late_request_of_a_caller_that_left_is_not_run(self) -> None:
        """What is held up together with its cancellation does not run."""
        self.path.hold(HELD_MS)
        await self.check_never()

    # A request came late, and the word that its caller had left never.
    async def test_late_request_is_not_run_behind_a_lost_word(self) -> None:
        """What is held up does not run although its cancellation is lost."""
        self.path.hold(HELD_MS)
        await self.check_never(Path.silence)

    async def check_never(self, *strikes: Callable[[Path], None]) -> None:
        """Let the callers of requests that are held up leave."""
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        for strike in strikes:
            strike(self.path)
        for caller in callers:
            caller.leave()
        await asyncio.sleep(LATE_S)
        self.assertEqual(self.runs(), {})


class TestLinksDialled(LinkCase):
    """Connections that open late, or beside others."""

    # A connection was left open and unused if all had ceased to wait for it.
    async def test_late_connection_serves_the_next_call(self) -> None:
        """A second call finds the connection that the first waited for."""
        self.path.reset()
        self.path.delay_ms = SLOW_DIAL_MS
        opened = 0
        for _ in range(TIMES):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CALLER_WAITS_S):
                    await self.open_call()
                opened += 1
            await asyncio.sleep(SLACK_S)
        self.assertEqual((opened, self.path.open_connections), (2, 1))

    # Of two connections that opened at once one was left open and unused.
    async def test_second_connection_is_closed(self) -> None:
        """One dialled for a comparison, one for calls: one stays."""
        self.path.delay_ms = SLOW_DIAL_MS
        self.target.work_ms = LONG_MS
        callers = self.ask_both()
        await asyncio.sleep(AT_WORK_S)
        self.path.silence()
        await asyncio.sleep(DIALS_AGAIN_S)
        node = self.fleet.nodes[FROM]
        for cut in ({self.fleet.nodes[TO].address}, set[str]()):
            node.life.run(node.pool.cut, cut)
        await self.check_once(callers)
        self.assertEqual(self.path.open_connections, 1)

    async def open_call(self) -> LinkStream:
        """Open a call from one node to another as a process does."""
        node = self.fleet.nodes[FROM]
        call = node.pool.open(self.fleet.nodes[TO].address)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[LinkStream] = node.life.run(loop.create_task, call)
        return await task


def heard(callers: list[Caller]) -> list[int | None]:
    """Return what each caller was answered, None for nothing."""
    return [
        caller.status.result() if caller.status.done() else None
        for caller in callers
    ]
