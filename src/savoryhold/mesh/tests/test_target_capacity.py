"""An owner beside a target that is cold, reports its load, or resets when full.

Load pattern: a burst of requests, as when a zone returns or when keys are
handed over, at a target that refuses, closes its connections or starts again.
"""

import asyncio
import dataclasses
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import LinkError, RequestError
from savoryhold.core.ids import RequestId
from savoryhold.core.poison import Strike
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.requests import RelayedAnswer
from savoryhold.mesh.tests.test_target_restarts import (
    FILES,
    NODE,
    booking,
    report_of,
)
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.traffic import (
    CallerLimits,
    Feature,
    MeshConfig,
    RouteTable,
    ServiceInfo,
)
from savoryhold.wire import ClientAnswer, ClientPool, HeaderNames

NAMES = HeaderNames(load=b'Load')
PER_SECOND = 13
BURST = 40
RUN_MS = 100
MISDIRECTED = 421
LONG_MS = 60_000


class StubPool:
    """Connections to a target whose answers the test sets."""

    def __init__(self, clock: Any, sent_at: list[int]) -> None:
        self.emptied_at: int | None = None
        self.refused = 0
        self.settle_ms = 0
        self.status = 200
        self.load = b''
        self.error: LinkError | None = None
        self.sent_at = sent_at
        self.clock = clock

    async def ask(
        self,
        request: bytes,
        left: float,
        matches: Any,
        on_sent: Any,
        ident: Any,
    ) -> ClientAnswer:
        """Answer after the run time, or fail."""
        if self.error is not None and not self.error.sent:
            self.refused += 1
            raise self.error
        on_sent()
        self.sent_at.append(self.clock.now())
        took_ms = 1 if self.error else RUN_MS
        await asyncio.sleep(took_ms / 1000)
        if self.error is not None:
            raise self.error
        fields = {b'load': self.load} if self.load else {}
        return ClientAnswer(self.status, [], fields, b'')

    def retire(self) -> None:
        """Do nothing, as there are no connections."""


class TestTargetCapacity(VirtualTimeCase):
    """What is sent to the target, and what the node concludes from it."""

    async def asyncSetUp(self) -> None:
        """Create the owner of a service whose targets are cold at first."""
        self.clock = LoopClock()
        await asyncio.sleep(1)
        self.owner = OwnerTask(NODE, NAMES, self.clock, get_log(), 1000, 1000)
        self.configure(frozenset())
        self.owner.capacity.warmup_over = 1.5
        self.owner.capacity.warmup_slack = 8
        self.ticking = asyncio.ensure_future(self.owner.tick())
        self.sequence = 0
        self.born = 0
        self.sent_at: list[int] = []
        self.report(born=1)

    async def asyncTearDown(self) -> None:
        """Stop the owner."""
        self.ticking.cancel()

    async def test_burst_meets_cold_target(self) -> None:
        """It gets no more than its limit in any second, also over a restart."""
        self.report(warmup_left_ms=3000)
        runs = [self.submit(number) for number in range(BURST)]
        await asyncio.sleep(1.9)
        self.report(born=2, warmup_left_ms=3000)
        await asyncio.gather(*runs, return_exceptions=True)
        times = self.sent_at
        for at in times:
            count = sum(1 for other in times if 0 <= other - at <= 1000)
            self.assertLessEqual(count, PER_SECOND)
        self.assertGreater(len(times), 6)

    async def test_suspicion_ends_with_a_later_report(self) -> None:
        """A refused port, closed connections and a restart raise it."""
        for cause in ('refused', 'emptied', 'restart'):
            self.report()
            self.assertFalse(self.is_cold())
            if cause == 'refused':
                self.pool.refused = 2
            elif cause == 'emptied':
                self.pool.emptied_at = self.clock.now()
            else:
                self.report(born=7)
            with self.subTest(cause=cause):
                self.assertTrue(self.is_cold())
                await asyncio.sleep(1)
                self.report()
                self.assertFalse(self.is_cold())

    # Requests that the target did not count used up its rate: its port
    # refused, or it answered 421.
    async def test_requests_that_do_not_count(self) -> None:
        """Neither a refused connection nor 421 delays the next start."""
        limiter = self.owner.capacity.limiter
        for status, error in (
            (MISDIRECTED, None),
            (0, LinkError('refused', sent=False)),
        ):
            self.pool.status, self.pool.error = status, error
            self.report(warmup_left_ms=LONG_MS)
            await asyncio.sleep(0.3)
            now = self.clock.now()
            self.assertFalse(limiter.next_start_ms(now))
            for number in range(10):
                with self.assertRaises(RequestError):
                    await self.submit(number)
            self.assertLess(self.clock.now() - now, 11 * RUN_MS)

    # A cold target was offered its full share of keys and requests.
    async def test_status_of_cold_target(self) -> None:
        """Its advertised slots are what its rate keeps busy."""
        self.assertEqual(self.owner.advertised_slots(), 4)
        self.report(warmup_left_ms=3000)
        self.assertEqual(self.owner.advertised_slots(), 1)

    # A header without the feature changed the statuses, and with them what
    # digests cost.
    async def test_load_of_answers(self) -> None:
        """Answers carry run times; the status has the pace if it is enabled."""
        self.report()
        self.pool.load = b'9,0,4,300'
        for features in (frozenset[Feature](), frozenset(Feature)):
            self.configure(features)
            answer = await self.submit(1)
            await asyncio.sleep(0.2)
            figures = self.owner.advertised()
            self.assertEqual('pace' in figures, bool(features))
            self.assertEqual('acceptance' in figures, bool(features))
            self.assertEqual(answer.ran_ms, RUN_MS)
            self.assertGreater(figures['wait_ms'], 0)
        self.assertGreater(figures['pace'], 1)
        self.report(born=3)
        self.assertEqual(self.owner.advertised()['pace'], 1)

    # A reset of a full target was a strike, so that twice refused the request
    # everywhere.
    async def test_reset_of_full_target(self) -> None:
        """It lowers the bound; it is a strike if the target has ended."""
        strikes: list[Strike] = []
        self.owner.target.on_strike = strikes.append
        self.configure(frozenset(Feature))
        for survives in (True, False):
            await asyncio.sleep(1)
            self.report()
            self.pool.error = LinkError('reset', sent=True)
            runs = [self.submit(number) for number in range(3)]
            await asyncio.gather(*runs, return_exceptions=True)
            self.assertLess(self.owner.queue.capacity().slots or 9, 4)
            self.pool.error = None
            await asyncio.sleep(0.3)
            if survives:
                await self.submit(4)
            self.report(born=self.born + 1)
            with self.subTest(survives=survives):
                self.assertEqual(bool(strikes), not survives)
                self.assertEqual(self.owner.queue.capacity().slots, 4)

    # Lost answers of quick runs took slots of targets that never reset.
    async def test_reset_without_the_feature(self) -> None:
        """It changes nothing where the configuration does not ask for it."""
        self.configure(frozenset())
        self.report()
        self.pool.error = LinkError('reset', sent=True)
        runs = [self.submit(number) for number in range(3)]
        await asyncio.gather(*runs, return_exceptions=True)
        self.assertEqual(self.owner.queue.capacity().slots or 4, 4)

    # A handshake holds a slot of such a target, which reset the request behind
    # it; one that was reset at once waited for its whole deadline.
    async def test_connection_settles_before_its_first_request(self) -> None:
        """The pool waits, and a connection closed meanwhile carries nothing."""
        pool = ClientPool('127.0.0.1:1', self.clock.now)
        pool.settle_ms = 2
        conn = SimpleNamespace(closed=False)
        opened = mock.AsyncMock(return_value=(None, conn))
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, 'create_connection', opened):
            before = self.clock.now()
            await pool._open(1000)
            self.assertGreaterEqual(self.clock.now() - before, 2)
            conn.closed = True
            with self.assertRaises(LinkError) as caught:
                await pool._open(1000)
        self.assertFalse(caught.exception.sent)

    def configure(self, features: frozenset[Feature]) -> None:
        """Put a configuration in force."""
        service = ServiceInfo(FILES, keyed=False, warmup_per_s=3.35)
        limits = CallerLimits()
        routes = RouteTable(MeshConfig(1, (), (service,), limits, features))
        self.owner.capacity.routes = lambda: routes

    @property
    def pool(self) -> StubPool:
        """Return the connections to the present incarnation."""
        return cast(StubPool, self.owner.target.pool)

    def is_cold(self) -> bool:
        """Return whether starts are limited."""
        return self.owner.queue.capacity().gap_ms > 0

    def report(self, born: int = 0, warmup_left_ms: int = 0) -> None:
        """Receive the next report, by default of the present incarnation."""
        self.sequence += 1
        self.born = born or self.born
        former = self.owner.target.pool
        report = dataclasses.replace(
            report_of(self.born, '127.0.0.1:1'),
            sequence=self.sequence,
            warmup_left_ms=warmup_left_ms,
        )
        self.owner.on_report(report)
        if self.owner.target.pool is not former:
            self.owner.target.pool = cast(
                Any, StubPool(self.clock, self.sent_at)
            )

    def submit(self, number: int) -> 'asyncio.Task[RelayedAnswer]':
        """Submit a request."""
        req = dataclasses.replace(
            booking(self.clock.now()), request=RequestId(str(number))
        )
        return asyncio.ensure_future(self.owner.submit(req))
