"""Restarts of a node whose target has announced that it leaves."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import PlatformError, VersionConflictError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.departures import MAX_DEPARTED, Departures
from savoryhold.mesh.interface import (
    Listing,
    StoredObject,
    TargetLeave,
    TargetReport,
)
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.registration import RegistrationTask
from savoryhold.mesh.reports import ReportHandler
from savoryhold.mesh.succession import (
    DELAYED_REPORTS_MS,
    RECENT_REPORT_MS,
    SUPERSEDED_SILENCE_MS,
)
from savoryhold.mesh.tests.fleet import LoopClock, mesh_settings
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.ranges import Report, TargetLife
from savoryhold.wire import HeaderNames

NODE = NodeId('n0')
FILES = ServiceName('files')
ADDRESS = '127.0.0.1:1'
CALL_S = 1.0
ANSWER_S = 0.9  # the target ignores later answers
LIFE = TargetLife('t', 7)
RECENT_S = RECENT_REPORT_MS / 1000
SILENCE_S = SUPERSEDED_SILENCE_MS / 1000


class Registry:
    """The store with this node's entry; it may give no answers."""

    def __init__(self) -> None:
        self.spec: dict[str, Any] = {'address': ADDRESS}
        self.version = 1
        self.is_silent = False

    async def read(self, kind: str, name: str) -> StoredObject:
        """Return the entry."""
        await self._answer()
        return StoredObject(name, Version(self.version), dict(self.spec))

    async def replace(
        self, kind: str, name: str, spec: Any, version: Version | None
    ) -> StoredObject:
        """Replace the entry, on condition of its version."""
        await self._answer()
        if version not in {None, self.version}:
            raise VersionConflictError('another version is stored')
        self.spec, self.version = spec, self.version + 1
        return StoredObject(name, Version(self.version), spec)

    async def _answer(self) -> None:
        if self.is_silent:
            await asyncio.sleep(CALL_S)
            raise PlatformError('no answer')
        await asyncio.sleep(0)


class DepartureCase(VirtualTimeCase):
    """The handler of reports of a node that is started several times."""

    async def asyncSetUp(self) -> None:
        """Start the node for the first time."""
        self.clock = LoopClock()
        self.registry = Registry()
        self.call: Any = None
        self.start()
        self.sequence = 0

    def start(self) -> None:
        """Start a process of the node with no memory of the last one."""
        log = get_log(node=NODE)
        self.owner = OwnerTask(NODE, HeaderNames(), self.clock, log, 1000, 1000)
        self.departures = Departures(NODE, cast(Any, self.registry), log)
        if not self.registry.is_silent:
            self.departures.restore(self.registry.spec)
            self.departures.loaded.set()
        context = SimpleNamespace(
            settings=mesh_settings(NODE, FILES),
            configs=SimpleNamespace(loaded=asyncio.Event()),
            owner=self.owner,
            tables=SimpleNamespace(keyed_services=set),
            clock=self.clock,
            log=log,
        )
        context.configs.loaded.set()
        adapter = SimpleNamespace(
            decode_call=lambda req: self.call, encode_reply=lambda reply: b''
        )
        self.handler = ReportHandler(
            cast(Any, adapter),
            cast(Any, context),
            cast(Any, None),
            self.departures,
        )

    async def handle(self, call: TargetReport | TargetLeave) -> int:
        """Return the status of the answer to a call, 0 if it is too late."""
        statuses: list[int] = []
        self.call = call
        exchange = SimpleNamespace(
            req=None, reply=lambda status, *rest: statuses.append(status)
        )
        self.handler.handle(cast(Any, exchange))
        await asyncio.sleep(ANSWER_S)
        return statuses[0] if statuses else 0

    async def report(
        self,
        *,
        draining: bool = False,
        late: int = 0,
        life: TargetLife = LIFE,
    ) -> int:
        """Pass a report of the target, or a delayed one of before."""
        self.sequence += 1
        report = TargetReport(
            Report(life, (), ()),
            FILES,
            ADDRESS,
            4,
            draining=draining,
            sequence=self.sequence - late,
        )
        return await self.handle(report)

    async def leave(self, life: TargetLife = LIFE) -> int:
        """Pass the target's notice that it leaves."""
        return await self.handle(TargetLeave(life.target, life.born))

    def assert_unused(self) -> None:
        """Check that the target gets no request."""
        self.assertFalse(self.owner.target.is_ready())
        self.assertFalse(self.owner.target.may_send())


class TestRestart(DepartureCase):
    """A late report after a leave that was confirmed."""

    # The leave was known to the process only: after a restart of the node, a
    # late report made it a target that takes requests.
    async def test_target_that_has_left_is_not_used_again(self) -> None:
        """Neither after one restart, nor after two."""
        self.assertEqual(await self.report(), 200)
        self.assertTrue(self.owner.target.may_send())
        self.assertEqual(await self.leave(), 200)
        for _ in range(2):
            self.start()
            await self.report(late=2)
            self.assert_unused()

    async def test_draining_target_is_not_used_again(self) -> None:
        """A report of before is late; the next one is draining again."""
        await self.report()
        self.assertEqual(await self.report(draining=True), 200)
        self.start()
        await self.report(late=2)
        self.assert_unused()
        self.assertEqual(await self.report(draining=True), 200)
        self.assert_unused()

    async def test_leave_before_the_first_report_of_a_process(self) -> None:
        """A late report after it changes nothing."""
        self.assertEqual(await self.leave(), 200)
        await self.report()
        self.assert_unused()
        self.start()
        await self.report()
        self.assert_unused()

    async def test_next_incarnation_is_used(self) -> None:
        """Departures are of one incarnation."""
        await self.report()
        await self.leave()
        self.start()
        next_life = TargetLife(LIFE.target, LIFE.born + 1)
        self.assertEqual(await self.report(life=next_life), 200)
        self.assertTrue(self.owner.target.may_send())


class TestFormerIncarnations(DepartureCase):
    """Delayed reports of incarnations that ended before a confirmed leave."""

    # A target that had left took requests again once a report of a former
    # incarnation arrived, 5 s after its own last one.
    async def test_former_incarnation_does_not_undo_a_leave(self) -> None:
        """Neither the last one nor one before it, however the leave is told."""
        for target in ('t', 'another'):
            for announce in (self.leave, partial(self.report, draining=True)):
                with self.subTest(target=target, announce=announce):
                    former = [TargetLife(target, born) for born in (1, 2)]
                    await self.leave_after(former, announce)

    async def leave_after(
        self,
        former: list[TargetLife],
        announce: Callable[[], Awaitable[int]],
    ) -> None:
        """Let the last of several incarnations leave; then reports are late."""
        await self.asyncSetUp()
        for life in (*former, LIFE):
            await self.report(life=life)
            await asyncio.sleep(RECENT_S)
        self.assertEqual(await announce(), 200)
        for life in former:
            await asyncio.sleep(SILENCE_S)
            await self.report(life=life, late=1)
            self.assert_unused()

    # The same after a restart of the node, which knows departures only.
    async def test_former_incarnation_is_refused_after_a_restart(self) -> None:
        """It is not the first incarnation of a new process either."""
        await self.report()
        await self.leave()
        for former in (TargetLife('t', 2), TargetLife('another', 3)):
            self.start()
            self.assertEqual(await self.report(life=former), 503)
            self.assert_unused()

    # The departure was recorded for the incarnation that had reported last.
    async def test_leave_before_the_first_report(self) -> None:
        """A notice is of the incarnation that it names."""
        for target in ('t', 'another'):
            with self.subTest(target=target):
                await self.asyncSetUp()
                await self.report(life=TargetLife(target, 1))
                self.assertEqual(await self.leave(), 200)
                self.start()
                await self.report()
                self.assert_unused()

    async def test_incarnation_with_an_earlier_clock_is_used(self) -> None:
        """Once the departed one has ended, or if its reports go on."""
        successor = TargetLife('t', LIFE.born - 1)
        await self.report()
        await self.leave()
        self.owner.target.dead = True
        self.assertEqual(await self.report(life=successor), 200)
        self.assertTrue(self.owner.target.may_send())
        self.start()
        until = self.clock.now() + DELAYED_REPORTS_MS
        while self.clock.now() < until:
            self.assertEqual(await self.report(life=successor), 503)
        self.assertEqual(await self.report(life=successor), 200)
        self.assertTrue(self.owner.target.may_send())

    # Incarnations without a time of their start waited for 10 s.
    async def test_equal_times_of_start_order_nothing(self) -> None:
        """The next incarnation is used at once."""
        for born in (0, LIFE.born):
            with self.subTest(born=born):
                await self.asyncSetUp()
                departed = TargetLife('t', born)
                await self.report(life=departed)
                self.assertEqual(await self.leave(departed), 200)
                await asyncio.sleep(RECENT_S)
                await self.report(life=TargetLife('next', born))
                self.assertTrue(self.owner.target.may_send())

    # A former incarnation whose clock was ahead looked like the next one.
    async def test_former_incarnation_with_a_later_clock(self) -> None:
        """It does not undo the leave of the one that replaced it."""
        former = TargetLife('t', LIFE.born + 1)
        await self.report(life=former)
        for _ in range(2):
            await asyncio.sleep(RECENT_S)
            self.assertEqual(await self.report(), 200)
        self.assertEqual(await self.leave(), 200)
        await asyncio.sleep(SILENCE_S)
        await self.report(life=former)
        self.assert_unused()

    # It was confirmed, and the target was used once it reported.
    async def test_leave_of_an_unknown_incarnation(self) -> None:
        """A leave that cannot be recorded is not confirmed."""
        notice = TargetLeave(LIFE.target)
        self.assertEqual(await self.handle(notice), 503)
        await self.report()
        self.assertEqual(await self.handle(notice), 200)
        self.assert_unused()
        self.start()
        await self.report(late=1)
        self.assert_unused()

    # The target was used for good if two delayed reports came before the
    # registry was known.
    async def test_departure_that_is_known_late_is_applied(self) -> None:
        """A target that was accepted meanwhile gets no more requests."""
        await self.report()
        await self.leave()
        self.registry.is_silent = True
        for life in (LIFE, TargetLife('t', LIFE.born - 1)):
            self.start()
            for _ in range(2):
                await self.report(life=life)
            self.assertTrue(self.owner.target.may_send())
            self.departures.load(self.registry.spec)
            self.assert_unused()

    # The ninth departure dropped out of the entry as it was written.
    async def test_many_departures_are_confirmed(self) -> None:
        """The entry keeps the latest ones."""
        lives = [TargetLife('t', born) for born in range(1, 20)]
        for life in lives:
            self.assertEqual(await self.report(life=life), 200)
            self.assertEqual(await self.leave(life), 200)
        self.assertEqual(
            self.registry.spec['departed'],
            [[life.target, life.born] for life in lives[-MAX_DEPARTED:]],
        )
        earlier_clock = TargetLife('t', 0)
        self.assertEqual(await self.leave(earlier_clock), 200)
        self.assertIn(['t', 0], self.registry.spec['departed'])


class TestStoreAway(DepartureCase):
    """Announcements and restarts while the store gives no answer."""

    async def test_leave_is_confirmed_once_it_is_stored(self) -> None:
        """Until then the target is not used, and announces it again."""
        await self.report()
        self.registry.is_silent = True
        self.assertEqual(await self.leave(), 503)
        self.assertEqual(await self.report(draining=True), 503)
        self.assertFalse(self.owner.target.is_ready())
        self.registry.is_silent = False
        self.assertEqual(await self.report(draining=True), 200)
        self.assertEqual(self.registry.spec['departed'], [['t', 7]])

    async def test_restarted_node_uses_a_target_that_goes_on_reporting(
        self,
    ) -> None:
        """A single report may be a late one of a target that has left."""
        self.registry.is_silent = True
        self.start()
        self.assertEqual(await self.report(), 503)
        self.assertIsNone(self.owner.target.report)
        self.assertEqual(await self.report(), 200)
        self.assertTrue(self.owner.target.may_send())


class TestEntry(DepartureCase):
    """This node's entry in the registry."""

    async def test_odd_departures_are_ignored(self) -> None:
        """Another writer may have written the entry."""
        for odd in (7, [7], [['t']], [['\ud800', 1]], [['t', '1']], None):
            with self.subTest(odd=odd):
                self.departures.restore({'departed': odd})
                self.assertFalse(self.departures.has(LIFE))

    async def test_entry_keeps_departures_at_a_start(self) -> None:
        """The entry is written only if it has changed."""
        await self.report()
        await self.leave()
        store, departures = await self.register({'zone': 'z', 'region': 'r'})
        store.replace.assert_not_called()
        self.assertTrue(departures.is_stored(LIFE))

    # A leave that was confirmed between the reading and the writing of the
    # entry was overwritten.
    async def test_entry_is_replaced_on_condition_of_its_version(self) -> None:
        """Another write in between makes the node read it again."""
        store, _ = await self.register({'zone': 'former'})
        self.assertEqual(store.replace.call_args.args[-1], Version(1))

    async def register(
        self, fields: dict[str, Any]
    ) -> tuple[mock.AsyncMock, Departures]:
        """Register the node, which has an entry with these fields."""
        entry = self.registry.spec | fields
        store = mock.AsyncMock()
        store.create.side_effect = VersionConflictError('exists')
        store.list.return_value = Listing(
            1, (StoredObject(NODE, Version(1), entry),)
        )
        departures = Departures(NODE, store, get_log(node=NODE))
        context = SimpleNamespace(
            settings=mesh_settings(NODE, FILES),
            log=get_log(node=NODE),
            members=MemberTable(NODE, Region('r')),
        )
        task = RegistrationTask(
            cast(Any, context), store, departures, mock.Mock()
        )
        with mock.patch(
            'savoryhold.mesh.registration.StoreConflictError',
            VersionConflictError,
        ):
            await task.register()
        return store, departures
