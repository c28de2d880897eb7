"""Reports of one life of a target while another runs requests.

Pattern: a report that was held up on its way names a life that has ended,
while the present life has been silent for a moment.
"""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, RequestId, ServiceName
from savoryhold.core.poison import Fingerprint, PoisonGuard, Strike
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.interface import TargetLeave, TargetReport
from savoryhold.mesh.owner import MAX_REPORT_DELAY_MS, OwnerTask
from savoryhold.mesh.reports import (
    SUPERSEDED_SILENCE_MS,
    RECENT_REPORT_MS,
    ReportHandler,
)
from savoryhold.mesh.requests import (
    NO_KEY,
    MovedError,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.ranges import Report, TargetLife
from savoryhold.wire import Exchange, HeaderNames, HttpServer

NAMES = HeaderNames(answer_signature=b'', call_id_separator='.')
NODE = NodeId('n0')
FILES = ServiceName('files')
DEADLINE_MS = 30_000
LIMIT_S = 10
OLD, PRESENT = 1, 2


class _SetClock:
    def __init__(self) -> None:
        self.time_ms = 0

    def now(self) -> int:
        """Return the time that was set."""
        return self.time_ms


class _Keys:
    """All keys, which the local target holds while this node owns them."""

    def __init__(self, owner: NodeId) -> None:
        self.owner = owner
        self.table = self

    def row_at(self, key: int) -> '_Keys':
        """Return the row of a key."""
        return self

    def may_send(self, key: int, now: int) -> bool:
        """Return whether the target holds a key."""
        return self.owner == NODE


class TestLateReports(unittest.IsolatedAsyncioTestCase):
    """Which life of its target a node believes in."""

    async def asyncSetUp(self) -> None:
        """Make the handler of a target whose service has no keys."""
        self.clock = _SetClock()
        log = get_log(node=NODE)
        self.owner = OwnerTask(NODE, NAMES, self.clock, log, 1000, 1000)
        self.calls: list[TargetReport | TargetLeave] = []
        self.handler = ReportHandler(
            cast(
                Any,
                SimpleNamespace(
                    decode_call=lambda req: self.calls.pop(),
                    encode_reply=lambda reply: b'',
                ),
            ),
            self.owner,
            cast(Any, SimpleNamespace(keyed=frozenset)),
            cast(Any, None),
            asyncio.Event(),
            self.clock,
            log,
        )

    # A pause of the target let a late report of its former life count as new.
    async def test_former_life_does_not_come_back_in_a_pause(self) -> None:
        """The life that followed another stays, for a while of silence."""
        self.report(OLD)
        self.report(PRESENT)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(OLD)
        self.assertEqual(self.born(), PRESENT)
        self.clock.time_ms += SUPERSEDED_SILENCE_MS
        self.report(OLD)
        self.assertEqual(self.born(), OLD)

    async def test_life_with_an_earlier_clock_is_believed(self) -> None:
        """A clock that stepped back makes a new life look older."""
        self.report(PRESENT)
        self.clock.time_ms += RECENT_REPORT_MS
        self.report(OLD)
        self.assertEqual(self.born(), OLD)

    # A reset connection counted as a crash when the target was replaced later.
    async def test_request_that_its_target_survived_gets_no_strike(
        self,
    ) -> None:
        """Only what broke off with the target's end is suspect."""
        for survived, after_ms in (
            (True, MAX_REPORT_DELAY_MS + 1),
            (False, MAX_REPORT_DELAY_MS + 1),
            # The report may have been sent before the target's end.
            (False, MAX_REPORT_DELAY_MS),
        ):
            strikes: list[Strike] = []
            self.owner.on_strike = strikes.append
            self.owner.poison = PoisonGuard()
            self.report(OLD)
            self.owner._link_error(
                booking(self.clock.now()), LinkError('reset', sent=True)
            )
            self.clock.time_ms += after_ms
            if survived or after_ms == MAX_REPORT_DELAY_MS:
                self.report(OLD)
            self.clock.time_ms += SUPERSEDED_SILENCE_MS
            self.report(PRESENT)
            self.assertEqual(len(strikes), not survived)
            self.clock.time_ms += SUPERSEDED_SILENCE_MS

    # The held-up leave of a former life kept its successor without requests.
    async def test_former_life_does_not_leave_for_the_present_one(self) -> None:
        """Only the present life, or one without a date, ends it."""
        for born, leaves in ((OLD, False), (PRESENT, True), (None, True)):
            with self.subTest(born=born):
                self.owner.leaving_since = None
                self.report(PRESENT)
                self.handle(TargetLeave('t', born))
                self.assertIs(self.owner.is_ready(), not leaves)

    def born(self) -> int:
        """Return when the life that the owner knows was born."""
        life = self.owner.life()
        assert life is not None
        return life.born

    def report(self, born: int) -> None:
        """Have a report of a life arrive."""
        self.handle(report_of(born, '127.0.0.1:1'))

    def handle(self, call: TargetReport | TargetLeave) -> None:
        """Have a call arrive."""
        self.calls.append(call)
        exchange = SimpleNamespace(req=None, reply=lambda *args: None)
        self.handler.handle(cast(Any, exchange))


class TestTargetLives(unittest.IsolatedAsyncioTestCase):
    """An owner beside a target whose answers the test gives."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port, and report the present life."""
        self.clock = BootClock()
        self.taken: asyncio.Queue[Exchange] = asyncio.Queue()
        self.server = HttpServer(self.taken.put_nowait, self.clock.now)
        await self.server.start('127.0.0.1:0', 16)
        listener = self.server._server
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]
        self.owner = OwnerTask(
            NODE, NAMES, self.clock, get_log(node=NODE), 1000, 1000
        )
        self.report(PRESENT)

    async def asyncTearDown(self) -> None:
        """Close both ends."""
        assert self.owner.pool is not None
        self.owner.pool.close()
        self.server.stop()

    # A held-up report closed all connections: a booking at work ended as 502.
    async def test_booking_goes_on_when_another_life_reports(self) -> None:
        """The answer of a run reaches its caller whoever reports."""
        async with asyncio.timeout(LIMIT_S):
            run = self.submit()
            exchange = await self.taken.get()
            for born in (OLD, PRESENT):
                self.report(born)
            self.reply(exchange)
            answer = await run
        self.assertEqual((answer.status, answer.body), (200, b'whole'))

    async def test_nothing_new_is_sent_to_a_former_life(self) -> None:
        """A request that was dialled for it goes elsewhere, as not run."""
        async with asyncio.timeout(LIMIT_S):
            run = self.submit()
            while self.owner.pool is None or not self.owner.pool.opened:
                await asyncio.sleep(0)
            self.report(OLD)
            with self.assertRaises(TargetDownError):
                await run
        self.assertTrue(self.taken.empty())

    # A request that waited for a slot while its key moved ended as 503.
    async def test_waiting_request_follows_its_key(self) -> None:
        """It is told to look for the key's owner, not to come later."""
        keys = _Keys(NODE)
        self.owner.machine_of = lambda service: cast(Any, keys)
        self.owner.queue.slots = 1
        async with asyncio.timeout(LIMIT_S):
            runs = [self.submit(key) for key in (1, 2)]
            exchange = await self.taken.get()
            while not self.owner.queue.waiting:
                await asyncio.sleep(0)
            keys.owner = NodeId('n1')
            self.reply(exchange)
            await runs[0]
            with self.assertRaises(MovedError) as caught:
                await runs[1]
        self.assertEqual(caught.exception.owner, keys.owner)

    def submit(self, key: int = NO_KEY) -> 'asyncio.Task[RelayedAnswer]':
        """Have the owner run a booking."""
        req = booking(self.clock.now(), key)
        return asyncio.ensure_future(self.owner.submit(req))

    def report(self, born: int) -> None:
        """Have a life of the target report."""
        self.owner.on_report(report_of(born, f'127.0.0.1:{self.port}'))

    def reply(self, exchange: Exchange) -> None:
        """Answer as the target does."""
        name = NAMES.request_id
        request = exchange.req.header(name.lower())
        exchange.reply(200, b'%s: %s\r\n' % (name, request), b'whole')


def booking(now: int, key: int = NO_KEY) -> RelayedRequest:
    """Return a request that must not run twice."""
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
    """Return a report of a life of the target."""
    keys = Report(TargetLife('t', born), (), ())
    return TargetReport(keys, FILES, address, 4, draining=False, sequence=1)
