"""Requests in flight on links that stall, go silent or break.

Requests and answers are in flight between two live nodes when the connection
below their link stalls, silently loses data or is reset, while new connections
work. The calls must resume on a new connection: they are answered, and run
once. Each fault hits a lookup, which is idempotent, and a booking, which is
not.
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
from savoryhold.mesh.tests.simulated_network import NetworkPath
from savoryhold.peer import LinkStream
from savoryhold.peer.frames import MAX_FRAME_BYTES

OK = 200
REFUSED = 503
UNCERTAIN = frozenset({502, 504})
DEADLINE_MS = 4000
SETTLED_S = 4.2  # after the deadline and the time allowed for network delay
STALL_MS = 1500
RUNNING_S = 0.1
SHORT_MS = 250  # a run that ends while its link fails
LONG_MS = 2000  # a run that ends after its link has recovered
LATENCY_MS = 20.0  # long enough for a fault while a message is in flight
IN_FLIGHT_S = 0.005
UNBOUNDED_MS = 5000
HIGH_LATENCY_MS = 60.0
# Exceeds the timeout of a probe, but ends before a new connection is ready.
BRIEF_STALL_MS = 800
IDLE_S = 5.0
SOON_S = 1.0
DOWNTIME_S = 0.5
SLACK_S = 0.2
SLOW_DIAL_LATENCY_MS = 70.0  # a link then takes 350 ms until it is ready
DIAL_TIMEOUT_S = 0.3
ATTEMPTS = 3
LARGE_REQUESTS = 4
NARROW_BYTES_PER_S = 2_000_000
LONG_BODY_BYTES = 1_500_000
BODY_BYTES = 700_000
BODIES_SENT_S = 1.5
REDIAL_S = 0.75  # after a connection went silent with a call
INGRESS = 0
OWNER = 2  # the only node whose target runs these requests
BOTH_PATHS = ('/files/', '/book/')
REQUESTS = 50
FAULTS = 20
SEEDS = range(1, 6)
REQUESTS_S = 1.0
FAULTS_S = 1.5


def stall(path: NetworkPath) -> None:
    """Delay what is sent on the present connections."""
    path.stall(STALL_MS)


def stall_briefly(path: NetworkPath) -> None:
    """Delay what is sent until a new connection is nearly open."""
    path.stall(BRIEF_STALL_MS)


def cut_briefly(path: NetworkPath) -> None:
    """Deliver nothing for a while."""
    path.cut()
    asyncio.get_running_loop().call_later(DOWNTIME_S, path.restore)


class LinkCase(VirtualTimeCase):
    """Two nodes with a link that has been used before."""

    async def asyncSetUp(self) -> None:
        """Start three nodes; requests use two of them."""
        await self.start_fleet(3, 1)

    async def start_fleet(self, nodes: int, seed: int) -> None:
        """Start nodes and open their links."""
        self.fleet = Fleet(nodes, seed, real_links=True)
        self.addAsyncCleanup(self.fleet.close)
        self.path = self.fleet.path(INGRESS, OWNER)
        self.target = self.fleet.nodes[OWNER].target
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

    def run_counts(self) -> dict[str, int]:
        """Return how often each request has arrived at a target."""
        return dict(Counter(one.request for one in self.fleet.arrivals))

    def stopped_count(self) -> int:
        """Return how many runs the nodes have cancelled."""
        nodes = self.fleet.nodes
        return sum(node.owner.runs.stopped_count for node in nodes)

    def ask_both(self) -> list[Caller]:
        """Request a lookup and a booking that run at the other node."""
        return [self.ask(path, path) for path in BOTH_PATHS]

    def ask_large(self, size: int) -> list[Caller]:
        """Send bookings with large bodies."""
        return [
            self.ask('/book/', f'b{number}', body=bytes(size))
            for number in range(LARGE_REQUESTS)
        ]

    def check_large(self, callers: list[Caller]) -> None:
        """Check that these bookings are answered, with one run each."""
        self.assertEqual(set(statuses(callers)), {OK})
        self.assertEqual(
            self.run_counts(), {f'b{n}': 1 for n in range(LARGE_REQUESTS)}
        )

    async def check_once(self, callers: list[Caller]) -> None:
        """Check that both are answered, with one run each, not cancelled."""
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(statuses(callers), [OK, OK])
        self.assertEqual(self.run_counts(), dict.fromkeys(BOTH_PATHS, 1))
        self.assertEqual((self.fleet.stopped, self.stopped_count()), ({}, 0))

    async def check_while_running(
        self, work_ms: int, inject: Callable[[NetworkPath], None]
    ) -> None:
        """Inject a fault while a lookup and a booking run."""
        self.target.work_ms = work_ms
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        self.assertEqual(self.fleet.running, set(BOTH_PATHS))
        inject(self.path)
        await self.check_once(callers)

    async def check_while_in_flight(
        self, inject: Callable[[NetworkPath], None]
    ) -> None:
        """Inject a fault while a lookup and a booking are in flight."""
        self.path.delay_ms = LATENCY_MS
        callers = self.ask_both()
        await asyncio.sleep(IN_FLIGHT_S)
        inject(self.path)
        self.assertEqual(self.run_counts(), {})
        await self.check_once(callers)


class TestLinkFailures(LinkCase):
    """Answers and runs of two requests while their link fails."""

    # Guards the tests below: the simulated network itself caused failures.
    async def test_no_fault(self) -> None:
        """Without a fault, both requests are answered once."""
        await self.check_while_running(LONG_MS, lambda path: None)

    # A stalled link was taken for dead, and its calls failed.
    async def test_answers_of_a_stalled_link_are_received(self) -> None:
        """Runs that end while their link is stalled are answered once."""
        await self.check_while_running(SHORT_MS, stall)

    # The closing of a stalled link, once it arrived, cancelled the runs.
    async def test_runs_outlast_a_stalled_link(self) -> None:
        """Runs that outlast the stall of their link are not cancelled."""
        await self.check_while_running(LONG_MS, stall)

    # A run that ended while its link was silent was never answered.
    async def test_answers_of_a_silent_link_use_a_new_one(self) -> None:
        """Runs that end while their link is silent are answered once."""
        await self.check_while_running(SHORT_MS, NetworkPath.silence)

    # A booking that ran while its link fell silent was answered 504.
    async def test_runs_outlast_a_silent_link(self) -> None:
        """Runs of a silent link are answered over a new one."""
        await self.check_while_running(LONG_MS, NetworkPath.silence)

    # A broken connection ended all calls, and all runs, of both nodes.
    async def test_runs_outlast_a_reset(self) -> None:
        """Runs of a link that is reset are answered over a new one."""
        await self.check_while_running(LONG_MS, NetworkPath.reset)

    # An answer in flight when its connection broke was lost.
    async def test_answer_in_flight_outlasts_a_reset(self) -> None:
        """A request that has run is answered, and does not run again."""
        self.path.delay_ms = LATENCY_MS
        self.target.work_ms = SHORT_MS
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        while self.fleet.running:
            await asyncio.sleep(0.001)
        await asyncio.sleep(IN_FLIGHT_S)
        self.assertEqual(statuses(callers), [None, None])
        self.path.reset()
        await self.check_once(callers)

    # A booking in flight when its connection broke was answered 504.
    async def test_request_in_flight_outlasts_a_reset(self) -> None:
        """A request that is lost in flight runs once, over a new link."""
        await self.check_while_in_flight(NetworkPath.reset)

    # A request on a silent connection waited until the connection was closed.
    async def test_request_outlasts_a_link_that_was_silent(self) -> None:
        """A request lost by a silent connection runs over a new one."""
        self.path.silence()
        await self.check_while_in_flight(NetworkPath.silence)

    # A request on a stalled connection failed as one that may have run.
    async def test_request_outlasts_a_stalled_link(self) -> None:
        """A delayed request runs once, whichever connection brings it."""
        self.path.stall(STALL_MS)
        await self.check_once(self.ask_both())

    # A slow link was replaced although bytes had arrived since its probe.
    async def test_slow_link_with_traffic_is_kept(self) -> None:
        """Its calls stay on it, and nothing is sent twice."""
        self.path.delay_ms = HIGH_LATENCY_MS
        await self.check_while_running(LONG_MS, stall_briefly)
        pool = self.fleet.nodes[INGRESS].pool
        self.assertEqual((pool.replaced, pool.moved), (0, 0))

    # Time without any pending call was counted as silence of the link.
    async def test_idle_link_is_not_probed_at_once(self) -> None:
        """A run shorter than the silence limit causes no probe."""
        await asyncio.sleep(IDLE_S)
        self.target.work_ms = SHORT_MS
        await self.check_once(self.ask_both())
        self.assertEqual(self.fleet.nodes[INGRESS].pool.probed, 0)

    # A request too large for its link kept all later calls from resuming.
    async def test_reset_after_an_oversized_request(self) -> None:
        """A request that cannot be sent leaves no entry on the link."""
        caller = self.ask('/book/', 'large', body=bytes(MAX_FRAME_BYTES))
        await asyncio.sleep(0)
        await self.check_while_running(SHORT_MS, NetworkPath.reset)
        self.assertTrue(caller.status.done())

    # A link was replaced, and all bodies sent again, while they were still
    # being transmitted.
    async def test_long_bodies_are_not_taken_for_silence(self) -> None:
        """A link that transmits queued bytes is not silent."""
        self.target.work_ms = SHORT_MS
        self.path.bytes_per_s = NARROW_BYTES_PER_S
        callers = self.ask_large(LONG_BODY_BYTES)
        await asyncio.sleep(SETTLED_S)
        self.check_large(callers)
        self.assertEqual(self.fleet.nodes[INGRESS].pool.replaced, 0)

    # Runs were cancelled while the bodies of earlier calls were sent again.
    async def test_runs_outlast_a_reset_with_long_bodies(self) -> None:
        """Calls whose bodies take long to send do not count as abandoned."""
        self.target.work_ms = LONG_MS
        self.path.bytes_per_s = NARROW_BYTES_PER_S
        callers = self.ask_large(BODY_BYTES)
        await asyncio.sleep(BODIES_SENT_S)
        self.assertEqual(len(self.fleet.running), LARGE_REQUESTS)
        self.path.reset()
        await asyncio.sleep(SETTLED_S)
        self.check_large(callers)

    # Calls failed when no new connection could be opened for a while.
    async def test_runs_outlast_a_cut(self) -> None:
        """Runs during a short cut of the path are answered."""
        await self.check_while_running(LONG_MS, cut_briefly)

    # A request that arrived late on an old connection ran a second time.
    async def test_late_request_does_not_run_again(self) -> None:
        """A call that a new connection has brought is ignored on the old."""
        self.path.stall(STALL_MS)
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        self.path.silence()
        await self.check_once(callers)


class TestRandomLinkFailures(LinkCase):
    """Many callers over links that fail at random."""

    # One broken connection failed all requests of many callers.
    async def test_links_that_fail_at_random(self) -> None:
        """Bookings run at most once, lookups are answered, none with 504."""
        wrong_results = {}
        for seed in SEEDS:
            await self.start_fleet(6, seed)
            callers = await self.run_load(random.Random(seed), BOTH_PATHS)
            await asyncio.sleep(SETTLED_S)
            wrong_results[seed] = self.wrong_results(callers)
            self.assertEqual(self.fleet.running, set())
        self.assertEqual(wrong_results, dict.fromkeys(SEEDS, {}))

    # Runs went on for callers that had disconnected while the link broke.
    async def test_callers_disconnect_at_random(self) -> None:
        """All runs end soon after their callers have disconnected."""
        running = {}
        for seed in SEEDS:
            await self.start_fleet(6, seed)
            await self.run_load(random.Random(seed), BOTH_PATHS[:1], RUNNING_S)
            await asyncio.sleep(SOON_S + SLACK_S)
            running[seed] = set(self.fleet.running)
        self.assertEqual(running, dict.fromkeys(SEEDS, set()))

    async def run_load(
        self,
        rng: random.Random,
        routes: tuple[str, ...],
        disconnect_s: float | None = None,
    ) -> list[Caller]:
        """Send requests and inject faults at random times."""
        loop = asyncio.get_running_loop()
        callers: list[Caller] = []
        work_ms = SHORT_MS if disconnect_s is None else UNBOUNDED_MS
        for target in self.fleet.targets(FILES):
            target.work_ms = work_ms

        for number in range(REQUESTS):
            path, node = (
                rng.choice(routes),
                rng.choice(('n0', 'n1', 'n3', 'n4')),
            )
            request = (path, f'{path}{number}', node)
            at = rng.uniform(0, REQUESTS_S)
            loop.call_later(at, self.send, request, callers, disconnect_s)
        for _ in range(FAULTS):
            link = self.fleet.path(rng.choice((0, 1, 3, 4)), rng.choice((2, 5)))
            inject = rng.choice((stall, NetworkPath.silence, NetworkPath.reset))
            loop.call_later(rng.uniform(0, FAULTS_S), inject, link)
        await asyncio.sleep(FAULTS_S)
        return callers

    def send(
        self,
        request: tuple[str, str, str],
        callers: list[Caller],
        disconnect_s: float | None,
    ) -> None:
        """Send a request, and disconnect after a time if one is given."""
        caller = self.ask(*request)
        callers.append(caller)
        if disconnect_s is not None:
            asyncio.get_running_loop().call_later(
                disconnect_s, caller.disconnect
            )

    def wrong_results(
        self, callers: list[Caller]
    ) -> dict[str, tuple[int | None, int]]:
        """Return status and number of runs of each request where wrong."""
        runs = self.run_counts()
        found = {}
        for caller, status in zip(callers, statuses(callers), strict=True):
            name = self.name_of(caller)
            count = runs.get(name, 0)
            fine = {(OK, 1), (REFUSED, 0)}
            if name.startswith('/files/'):
                fine = {(OK, max(1, count))}
            if (status, count) not in fine:
                found[name] = (status, count)
        return found


class TestProcessExits(LinkCase):
    """Calls whose other end exits."""

    # Runs went on for an ingress node that would never reconnect.
    async def test_lookups_end_with_their_ingress(self) -> None:
        """Runs for a node that has exited are cancelled."""
        self.target.work_ms = UNBOUNDED_MS
        for number in range(5):
            self.ask('/files/', f'f{number}')
        await asyncio.sleep(RUNNING_S)
        self.assertEqual(len(self.fleet.running), 5)
        self.fleet.nodes[INGRESS].process.kill()
        await asyncio.sleep(SOON_S)
        self.assertEqual(self.fleet.running, set())

    # A booking was sent again to a restarted node, which did not know that it
    # had run.
    async def test_booking_runs_once_over_a_restart(self) -> None:
        """A booking that the former process may have run is not run again."""
        await self.check_restart()

    # The same, without notice that the former process has exited.
    async def test_booking_runs_once_over_an_unnoticed_restart(self) -> None:
        """A booking that the former process may have run is not run again."""
        await self.check_restart(NetworkPath.silence)

    async def check_restart(
        self, inject: Callable[[NetworkPath], None] | None = None
    ) -> None:
        """Restart the owner while it runs a lookup and a booking."""
        for number in range(REQUESTS):
            self.ask('/files/', f'before-{number}')
        await asyncio.sleep(SOON_S)
        self.fleet.arrivals.clear()
        self.target.work_ms = SHORT_MS
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        if inject is not None:
            inject(self.path)
        node = self.fleet.nodes[OWNER]
        node.process.kill()
        await asyncio.sleep(RUNNING_S)
        node.start()
        self.fleet.gossip()
        await asyncio.sleep(SETTLED_S)
        lookup, booking = statuses(callers)
        self.assertEqual(lookup, OK)
        self.assertIn(booking, UNCERTAIN)
        self.assertEqual(self.run_counts()['/book/'], 1)
        self.assertLessEqual(self.run_counts()['/files/'], 2)


class TestDisconnectsDuringFailures(LinkCase):
    """Callers that disconnect while the link cannot carry the cancellation."""

    # The cancellation was lost with its connection.
    async def test_lookup_ends_over_a_reset(self) -> None:
        """A run ends although its caller left while the link was down."""
        await self.check_disconnect(NetworkPath.reset, NetworkPath.cut)

    # The cancellation was lost on a silent connection.
    async def test_lookup_ends_behind_a_silent_link(self) -> None:
        """A run ends although its caller left while the link was silent."""
        await self.check_disconnect(NetworkPath.silence)

    async def check_disconnect(
        self, *faults: Callable[[NetworkPath], None]
    ) -> None:
        """Let a caller disconnect at once, and later, after a fault."""
        for pause_s in (0, RUNNING_S):
            with self.subTest(pause_s=pause_s):
                await self.start_fleet(3, 1)
                await self.disconnect(pause_s, faults)

    async def disconnect(
        self, pause_s: float, faults: tuple[Callable[[NetworkPath], None], ...]
    ) -> None:
        """Inject faults, and disconnect the caller some time later."""
        self.target.work_ms = UNBOUNDED_MS
        caller = self.ask('/files/', 'f1')
        await asyncio.sleep(RUNNING_S)
        self.assertEqual(self.fleet.running, {'f1'})
        for inject in faults:
            inject(self.path)
        await asyncio.sleep(pause_s)
        caller.disconnect()
        await asyncio.sleep(DOWNTIME_S)
        self.path.restore()
        await asyncio.sleep(SOON_S - DOWNTIME_S + SLACK_S)
        self.assertEqual(self.fleet.running, set())
        self.assertEqual(self.run_counts(), {'f1': 1})

    # A request and its cancellation arrived late, together.
    async def test_late_request_of_a_gone_caller_is_not_run(self) -> None:
        """A request that is delayed with its cancellation does not run."""
        self.path.stall(STALL_MS)
        await self.check_not_run()

    # A request arrived late, its cancellation never.
    async def test_late_request_is_not_run_if_its_cancellation_is_lost(
        self,
    ) -> None:
        """A delayed request does not run though its cancellation is lost."""
        self.path.stall(STALL_MS)
        await self.check_not_run(NetworkPath.silence)

    async def check_not_run(
        self, *faults: Callable[[NetworkPath], None]
    ) -> None:
        """Disconnect the callers of delayed requests."""
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        for inject in faults:
            inject(self.path)
        for caller in callers:
            caller.disconnect()
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.run_counts(), {})


class TestDialling(LinkCase):
    """Connections that open late, or at the same time as others."""

    # A connection that opened after all callers had timed out stayed open,
    # unused.
    async def test_late_connection_serves_the_next_call(self) -> None:
        """A second call uses the connection that the first one dialled."""
        self.path.reset()
        self.path.delay_ms = SLOW_DIAL_LATENCY_MS
        opened = 0
        for _ in range(ATTEMPTS):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await self.open_call()
                opened += 1
            await asyncio.sleep(SLACK_S)
        self.assertEqual((opened, self.path.open_connections), (2, 1))

    # Of two connections opened at the same time, one stayed open, unused.
    async def test_second_connection_is_closed(self) -> None:
        """Of a connection dialled by a probe and one for calls, one stays."""
        self.path.delay_ms = SLOW_DIAL_LATENCY_MS
        self.target.work_ms = LONG_MS
        callers = self.ask_both()
        await asyncio.sleep(RUNNING_S)
        self.path.silence()
        await asyncio.sleep(REDIAL_S)
        node = self.fleet.nodes[INGRESS]
        for cut in ({self.fleet.nodes[OWNER].address}, set[str]()):
            node.process.run(node.pool.cut, cut)
        await self.check_once(callers)
        self.assertEqual(self.path.open_connections, 1)

    async def open_call(self) -> LinkStream:
        """Open a call in the process of the ingress node."""
        node = self.fleet.nodes[INGRESS]
        call = node.pool.open(self.fleet.nodes[OWNER].address)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[LinkStream] = node.process.run(
            loop.create_task, call
        )
        return await task


def statuses(callers: list[Caller]) -> list[int | None]:
    """Return the status that each caller received, None without one."""
    return [
        caller.status.result() if caller.status.done() else None
        for caller in callers
    ]
