"""Reports of one incarnation of a target while another runs requests.

A delayed report of an incarnation that has ended arrives while the current one
has not reported for a moment. It must neither replace the current incarnation
nor end its requests.
"""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, RequestId, ServiceName
from savoryhold.core.poison import Fingerprint, PoisonGuard, Strike
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.interface import TargetLeave, TargetReport
from savoryhold.mesh.local_target import MAX_REPORT_DELAY_MS
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.reports import ReportHandler
from savoryhold.mesh.requests import (
    NO_KEY,
    MovedError,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.mesh.succession import RECENT_REPORT_MS, SUPERSEDED_SILENCE_MS
from savoryhold.mesh.tests.fleet import mesh_settings
from savoryhold.ranges import Report, TargetLife
from savoryhold.wire import Exchange, HeaderNames, HttpServer

NAMES = HeaderNames(answer_signature=b'', call_id_separator='.')
NODE = NodeId('n0')
FILES = ServiceName('files')
DEADLINE_MS = 30_000
LIMIT_S = 10
FORMER, CURRENT = 1, 2


class _ManualClock:
    def __init__(self) -> None:
        self.time_ms = 0

    def now(self) -> int:
        """Return the time that was set."""
        return self.time_ms


class _AllKeys:
    """All keys; the local target holds them while this node owns them."""

    def __init__(self, owner: NodeId) -> None:
        self.owner = owner
        self.table = self

    def row_at(self, key: int) -> '_AllKeys':
        """Return the row of a key."""
        return self

    def may_send(self, key: int, now: int) -> bool:
        """Return whether the target holds a key."""
        return self.owner == NODE


class TestDelayedReports(unittest.IsolatedAsyncioTestCase):
    """Which incarnation of its target a node considers current."""

    async def asyncSetUp(self) -> None:
        """Create the report handler for a service without keys."""
        self.clock = _ManualClock()
        log = get_log(node=NODE)
        self.owner = OwnerTask(NODE, NAMES, self.clock, log, 1000, 1000)
        self.calls: list[TargetReport | TargetLeave] = []
        self.statuses: list[int] = []
        store = mock.AsyncMock()
        store.read.return_value = None
        departures = Departures(NODE, store, log)
        departures.loaded.set()
        self.handler = ReportHandler(
            cast(
                Any,
                SimpleNamespace(
                    decode_call=lambda req: self.calls.pop(),
                    encode_reply=lambda reply: b'',
                ),
            ),
            cast(
                Any,
                SimpleNamespace(
                    settings=mesh_settings(NODE, FILES),
                    configs=SimpleNamespace(loaded=asyncio.Event()),
                    owner=self.owner,
                    tables=SimpleNamespace(keyed_services=frozenset),
                    clock=self.clock,
                    log=log,
                ),
            ),
            cast(Any, None),
            departures,
        )

    # During a pause of the target, a late report of its previous incarnation
    # counted as current.
    async def test_former_incarnation_does_not_return_in_a_pause(self) -> None:
        """An incarnation that replaced another survives a pause in reports."""
        self.report(FORMER)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(CURRENT)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(FORMER)
        self.assertEqual(self.incarnation(), CURRENT)
        self.clock.time_ms += SUPERSEDED_SILENCE_MS
        self.report(FORMER)
        self.assertEqual(self.incarnation(), FORMER)

    # One well-formed report of another writer replaced the running target.
    async def test_running_incarnation_is_not_replaced(self) -> None:
        """Another one is accepted once the current is silent or has ended."""
        self.report(FORMER)
        self.report(CURRENT)
        self.assertEqual(self.incarnation(), FORMER)
        self.assertEqual(self.statuses[-1], 503)
        pool = self.owner.target.pool
        assert pool is not None
        self.clock.time_ms += 1
        pool.emptied_at = self.clock.time_ms
        self.report(CURRENT)
        self.assertEqual(self.incarnation(), CURRENT)
        self.assertTrue(self.owner.target.former_ended)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(CURRENT + 1)
        self.assertEqual(self.incarnation(), CURRENT + 1)
        self.assertFalse(self.owner.target.former_ended)

    async def test_incarnation_with_an_earlier_clock_is_accepted(self) -> None:
        """A clock that was set back makes a new incarnation look older."""
        self.report(CURRENT)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(FORMER)
        self.assertEqual(self.incarnation(), FORMER)

    # A reset connection counted as a crash if the target was replaced later.
    async def test_request_that_its_target_survived_gets_no_strike(
        self,
    ) -> None:
        """Only requests in flight when the target ended get a strike."""
        for survived, after_ms in (
            (True, MAX_REPORT_DELAY_MS + 1),
            (False, MAX_REPORT_DELAY_MS + 1),
            # The report may have been sent before the target's end.
            (False, MAX_REPORT_DELAY_MS),
        ):
            strikes: list[Strike] = []
            self.owner.target.on_strike = strikes.append
            self.owner.target.poison = PoisonGuard()
            self.report(FORMER)
            self.owner._calls.link_error(
                booking(self.clock.now()), LinkError('reset', sent=True)
            )
            self.clock.time_ms += after_ms
            if survived or after_ms == MAX_REPORT_DELAY_MS:
                self.report(FORMER)
            self.clock.time_ms += SUPERSEDED_SILENCE_MS
            self.report(CURRENT)
            self.assertEqual(len(strikes), not survived)
            self.clock.time_ms += SUPERSEDED_SILENCE_MS

    # A delayed leave of a previous incarnation stopped requests to its
    # successor.
    async def test_former_incarnation_does_not_leave_for_the_current(
        self,
    ) -> None:
        """Only a leave of the current incarnation, or of none, is applied."""
        for born, leaves in ((FORMER, False), (CURRENT, True), (None, True)):
            with self.subTest(born=born):
                self.owner.target.leaving_since = None
                self.report(CURRENT)
                self.handle(TargetLeave('t', born))
                self.assertIs(self.owner.target.is_ready(), not leaves)

    def incarnation(self) -> int:
        """Return when the incarnation that the owner knows was started."""
        life = self.owner.target.life()
        assert life is not None
        return life.born

    def report(self, born: int) -> None:
        """Receive a report of an incarnation."""
        self.handle(report_of(born, '127.0.0.1:1'))

    def handle(self, call: TargetReport | TargetLeave) -> None:
        """Receive a call of the target."""
        self.calls.append(call)
        exchange = SimpleNamespace(
            req=None, reply=lambda status, *rest: self.statuses.append(status)
        )
        self.handler.handle(cast(Any, exchange))


class TestOwnerDuringRestart(unittest.IsolatedAsyncioTestCase):
    """An owner whose target gives the answers that the test sets."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port, and report the current incarnation."""
        self.clock = BootClock()
        self.received: asyncio.Queue[Exchange] = asyncio.Queue()
        self.server = HttpServer(self.received.put_nowait, self.clock.now)
        await self.server.start('127.0.0.1:0', 16)
        listener = self.server._server
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]
        self.owner = OwnerTask(
            NODE, NAMES, self.clock, get_log(node=NODE), 1000, 1000
        )
        self.report(CURRENT)

    async def asyncTearDown(self) -> None:
        """Close both ends."""
        assert self.owner.target.pool is not None
        self.owner.target.pool.close()
        self.server.stop()

    # A delayed report closed all connections: a running booking was answered
    # 502.
    async def test_booking_goes_on_when_another_incarnation_reports(
        self,
    ) -> None:
        """The answer reaches its caller, whichever incarnation reports."""
        async with asyncio.timeout(LIMIT_S):
            run = self.submit()
            exchange = await self.received.get()
            for born in (FORMER, CURRENT):
                self.report(born)
            self.reply(exchange)
            answer = await run
        self.assertEqual((answer.status, answer.body), (200, b'whole'))

    async def test_nothing_is_sent_to_a_former_incarnation(self) -> None:
        """A request that waits for its connection fails as not run."""
        async with asyncio.timeout(LIMIT_S):
            run = self.submit()
            while (
                self.owner.target.pool is None
                or not self.owner.target.pool.opened
            ):
                await asyncio.sleep(0)
            self.report(FORMER)
            with self.assertRaises(TargetDownError):
                await run
        self.assertTrue(self.received.empty())

    # A request that waited for a slot while its key moved was answered 503.
    async def test_waiting_request_follows_its_key(self) -> None:
        """The error names the key's new owner, instead of asking to retry."""
        keys = _AllKeys(NODE)
        self.owner.machine_of = lambda service: cast(Any, keys)
        self.owner.queue.slots = 1
        async with asyncio.timeout(LIMIT_S):
            runs = [self.submit(key) for key in (1, 2)]
            exchange = await self.received.get()
            while not self.owner.queue.waiting:
                await asyncio.sleep(0)
            keys.owner = NodeId('n1')
            self.reply(exchange)
            await runs[0]
            with self.assertRaises(MovedError) as caught:
                await runs[1]
        self.assertEqual(caught.exception.owner, keys.owner)

    def submit(self, key: int = NO_KEY) -> 'asyncio.Task[RelayedAnswer]':
        """Submit a booking to the owner."""
        req = booking(self.clock.now(), key)
        return asyncio.ensure_future(self.owner.submit(req))

    def report(self, born: int) -> None:
        """Report an incarnation of the target."""
        self.owner.on_report(report_of(born, f'127.0.0.1:{self.port}'))

    def reply(self, exchange: Exchange) -> None:
        """Answer as the target does."""
        name = NAMES.request_id
        request = exchange.req.header(name.lower())
        exchange.reply(200, b'%s: %s\r\n' % (name, request), b'whole')


def booking(now: int, key: int = NO_KEY) -> RelayedRequest:
    """Return a non-idempotent request."""
    deadline = now + DEADLINE_MS
    return RelayedRequest(
        RequestId('b1'),
        FILES,
        key,
        'book',
        b'POST',
        b'/book/',
        b'%s: b1\r\n' % NAMES.request_id,
        b'',
        deadline,
        deadline,
        2,
        repeatable=False,
        fingerprint=Fingerprint(1),
    )


def report_of(born: int, address: str) -> TargetReport:
    """Return a report of an incarnation of the target."""
    keys = Report(TargetLife('t', born), (), ())
    return TargetReport(keys, FILES, address, 4, draining=False, sequence=1)
