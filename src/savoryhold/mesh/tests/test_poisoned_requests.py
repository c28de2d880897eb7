"""Requests that crash each target that runs them, beside sound ones."""

import asyncio
import dataclasses
import unittest
from collections.abc import Callable
from typing import Any, cast

from savoryhold.core.errors import LinkError
from savoryhold.core.poison import (
    PoisonGuard,
    Strike,
    fingerprint_of,
    fingerprint_with_key,
)
from savoryhold.mesh.codec import relay_message, request_from_message
from savoryhold.mesh.requests import RelayedRequest
from savoryhold.mesh.tests.fleet import (
    DESK,
    FILES,
    Caller,
    Fleet,
    Node,
    Target,
    VirtualTimeCase,
    target_report,
)
from savoryhold.mesh.tests.test_target_restarts import booking
from savoryhold.ranges import TargetLife
from savoryhold.wire import ClientAnswer

PATH = '/files/'
BACK_S = 0.5  # of a target that has crashed
STEP_S = 0.05
POISON_STEPS = 20  # between two requests that crash targets
PLAY_STEPS = 400
AFTER_CRASHES = 150  # sound requests
MAX_CRASHES = 3  # after which no target runs the request any more
REQUEST = fingerprint_of('h', 'GET', '/x', b'')


class CrashingTarget:
    """Makes a target of a fleet crash on some requests, with all that it runs.

    Parameters
    ----------
    target : Target
        The target, whose calls this object replaces.
    is_poisoned : callable
        Returns whether a request, as the target receives it, crashes it.
    """

    def __init__(
        self, target: Target, is_poisoned: Callable[[bytes], bool]
    ) -> None:
        self.crashes: list[float] = []
        self._ask = target.ask
        self._is_poisoned = is_poisoned
        self._running: set[asyncio.Task[ClientAnswer]] = set()
        self._born = 1
        self._is_up = True
        assert target.node is not None
        self.node = target.node
        cast(Any, target).ask = self.ask
        cast(Any, target).retire = target.close

    async def ask(self, request: bytes, *args: Any) -> ClientAnswer:
        """Run a request, or crash."""
        loop = asyncio.get_running_loop()
        if not self._is_up:
            raise LinkError('connection refused', sent=False)
        if self._is_poisoned(request):
            self._is_up = False
            self.crashes.append(loop.time())
            for run in self._running:
                run.cancel()
            loop.call_later(BACK_S, self.start)
            raise LinkError('connection reset', sent=True)
        run = asyncio.ensure_future(self._ask(request, *args))
        self._running.add(run)
        try:
            return await run
        except asyncio.CancelledError:
            raise LinkError('connection reset', sent=True) from None
        finally:
            self._running.discard(run)

    def start(self) -> None:
        """Report the next incarnation."""
        self._born += 1
        self._is_up = True
        report = target_report(self.node.name, self.node.target.service)
        life = TargetLife(report.keys.life.target, self._born)
        keys = dataclasses.replace(report.keys, life=life)
        self.node.owner.on_report(dataclasses.replace(report, keys=keys))
        self.node.owner.target.pool = cast(Any, self.node.target)


def connect(node: Node) -> None:
    """Have a node tell the others of strikes, as `MeshNode` does."""
    node.owner.target.on_strike = node.peers.strikes.broadcast
    node.owner.target.on_acquitted = node.peers.strikes.broadcast_acquittal
    node.owner.target.poison.on_change = node.peers.strikes.wake
    node.process.spawn(node.peers.strikes.run())


class PoisonCase(VirtualTimeCase):
    """A fleet with targets that crash on the requests of one caller."""

    def start(
        self, is_poisoned: Callable[[bytes], bool], seed: int = 1
    ) -> None:
        """Start nine nodes; three of them have a target that may crash."""
        self.fleet = Fleet(9, seed)
        for node in self.fleet.nodes:
            connect(node)
        self.targets = [
            CrashingTarget(target, is_poisoned)
            for target in self.fleet.targets(FILES)
        ]
        self.sound: list[Caller] = []
        self.poisoned: list[Caller] = []

    def nodes_of(self, service: str) -> list[Node]:
        """Return the nodes whose callers are of a service."""
        return [
            node for node in self.fleet.nodes if node.target.service == service
        ]

    def crash_times(self) -> list[float]:
        """Return when targets crashed."""
        return sorted(at for target in self.targets for at in target.crashes)

    async def play(self, poisoned_body: bytes = b'') -> None:
        """Send poisoned requests of `desk` among sound ones of `files`."""
        senders, others = self.nodes_of(DESK), self.nodes_of(FILES)
        for step in range(PLAY_STEPS):
            await asyncio.sleep(STEP_S)
            self.fleet.gossip()
            node = others[step % len(others)]
            self.sound.append(node.ask(PATH, f's{step}'))
            if step % POISON_STEPS == POISON_STEPS - 1:
                node = senders[step // POISON_STEPS % len(senders)]
                self.poisoned.append(
                    node.ask(PATH, f'p{step}', body=poisoned_body)
                )
        await asyncio.sleep(2)


class TestOtherCallers(PoisonCase):
    """The same path, method and body from callers of two services."""

    # Sound requests of another caller cleared the strikes of a request that
    # crashed its targets, so that it reached them for ever.
    async def test_sound_requests_of_others_do_not_acquit(self) -> None:
        """The crashes end, and the sound requests are served throughout."""
        self.start(lambda request: b': desk\r\n' in request)
        await self.play()
        self.assertLessEqual(len(self.crash_times()), MAX_CRASHES)
        statuses = [caller.status.result() for caller in self.sound]
        # Only those that ran at a target as it crashed may have failed.
        self.assertLessEqual(len(statuses) - statuses.count(200), MAX_CRASHES)
        self.assertEqual(self.poisoned[-1].status.result(), 503)

    # Sound requests that had run beside it at two crashes were refused for ten
    # minutes.
    async def test_sound_requests_beside_two_crashes_are_served(self) -> None:
        """They run at the targets that have completed them."""
        self.start(lambda request: b': desk\r\n' in request)
        for target in self.fleet.targets(FILES):
            target.work_ms = 250  # so that several run at each target
        await self.play()
        self.assertLessEqual(len(self.crash_times()), MAX_CRASHES)
        late = [caller.status.result() for caller in self.sound[AFTER_CRASHES:]]
        self.assertEqual(set(late), {200})

    async def test_sound_bodies_of_the_same_caller_are_served(self) -> None:
        """A request is refused with the body that crashes its targets only."""
        self.start(lambda request: request.endswith(b'bad'))
        sender = self.nodes_of(DESK)[0]
        playing = asyncio.ensure_future(self.play(b'bad'))
        good: list[Caller] = []
        while not playing.done():
            await asyncio.sleep(STEP_S)
            good.append(sender.ask(PATH, f'g{len(good)}', body=b'good'))
        await asyncio.sleep(2)
        self.assertLessEqual(len(self.crash_times()), MAX_CRASHES)
        late = [
            caller.status.result() for caller in good[AFTER_CRASHES:PLAY_STEPS]
        ]
        self.assertEqual(set(late), {200})


class TestPoisonGuard(unittest.TestCase):
    """Strikes and completions of one request."""

    def setUp(self) -> None:
        """Create the guard of a node."""
        self.guard = PoisonGuard()

    def strike(self, number: int, now: int, ago_ms: int = 0) -> bool:
        """Count a strike of a crash."""
        return self.guard.strike(Strike(REQUEST, f'c{number}', ago_ms), now)

    # A strike is reported up to some seconds after the crash; one that came
    # after the completion counted for ten minutes.
    def test_completion_clears_crashes_before_it(self) -> None:
        """Whichever is told first."""
        self.assertFalse(self.guard.record_completion(REQUEST, 1000))
        for number in range(3):
            self.assertFalse(self.strike(number, 1500, ago_ms=600))
        self.assertFalse(self.guard.is_quarantined(REQUEST, 1500))

    def test_completion_before_a_crash_asks_for_one_more(self) -> None:
        """What the request refers to may have changed since."""
        self.guard.record_completion(REQUEST, 1000)
        for number in range(3):
            self.assertFalse(self.guard.is_quarantined(REQUEST, 2000))
            self.strike(number, 2000)
        self.assertTrue(self.guard.is_quarantined(REQUEST, 2000))

    def test_state_is_bounded(self) -> None:
        """The oldest fingerprints and completions are dropped."""
        for number in range(20_000):
            fingerprint = fingerprint_with_key(REQUEST, number)
            self.guard.strike(Strike(fingerprint, 'c'), 1)
            self.guard.record_completion(
                fingerprint_with_key(REQUEST, -2 - number), 1
            )
        self.assertEqual(len(self.guard._suspects), 10_000)
        self.assertEqual(len(self.guard._completed), 4096)


class TestFingerprints(unittest.TestCase):
    """What makes two requests the same."""

    def test_key_is_counted_with_and_without(self) -> None:
        """A request may crash its targets with one key, or with any."""
        one, other = booking(0, 7), booking(0, 8)
        self.assertEqual(one.fingerprints[0], other.fingerprints[0])
        self.assertNotEqual(one.fingerprints[1], other.fingerprints[1])
        self.assertEqual(len(booking(0).fingerprints), 1)

    # The owner computed it anew, without the calling service.
    def test_owner_uses_the_fingerprint_of_the_ingress(self) -> None:
        """It is relayed with the request."""
        req: RelayedRequest = dataclasses.replace(
            booking(0), fingerprint=REQUEST
        )
        received = request_from_message(relay_message(req, 0), 0)
        self.assertEqual(received.fingerprint, REQUEST)
        older = relay_message(req, 0)
        older.fingerprint = None
        self.assertNotIn(
            request_from_message(older, 0).fingerprint, {None, 0, REQUEST}
        )
        callers = {
            fingerprint_of('h', 'GET', '/x', b'', caller=caller)
            for caller in (DESK, FILES)
        }
        self.assertEqual(len(callers), 2)
