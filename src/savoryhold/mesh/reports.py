"""Reports (heartbeats) of the local target, answered with key grants."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from savoryhold.core.ids import ServiceName
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.interface import Adapter, TargetLeave, TargetReport
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.table_proofs import TableProofTask
from savoryhold.ranges import GrantReply, TargetLife
from savoryhold.wire import Exchange

__all__ = ['ReportHandler']

JSON_HEAD = b'content-type: application/json\r\n'
MS_PER_SECOND = 1000
START_WAIT_MS = 400  # the target ignores a reply after one second
# The current incarnation counts as running for this long after its report, so
# that neither a delayed report of an earlier one nor a report of another writer
# replaces it.
RECENT_REPORT_MS = 1500
# The same, against an incarnation that it is known to have replaced.
SUPERSEDED_SILENCE_MS = 5000
MAX_SUPERSEDED = 16


class ReportHandler:
    """Handles the reports and leave notices of the local target.

    Parameters
    ----------
    adapter : Adapter
        Decodes calls and encodes replies.
    context : NodeContext
        Dependencies of the node's tasks.
    proofs : TableProofTask
        Renews the proof of the local target's table.
    departures : Departures
        Incarnations of the target that have announced their leave.
    """

    def __init__(
        self,
        adapter: Adapter,
        context: NodeContext,
        proofs: TableProofTask,
        departures: Departures,
    ) -> None:
        self.refused_count = 0
        self._settings = context.settings
        self._config_loaded = context.configs.loaded
        self._adapter = adapter
        self._owner = context.owner
        self._tables = context.tables
        self._proofs = proofs
        self._departures = departures
        # First report of a target of which nothing is known, and its time.
        self._unproved: tuple[TargetReport, int] | None = None
        self._clock = context.clock
        self._log = context.log
        self._superseded: deque[TargetLife] = deque(maxlen=MAX_SUPERSEDED)
        self._pending_replies: set[asyncio.Task[None]] = set()

    def handle(self, exchange: Exchange) -> None:
        """Answer a call of the local target."""
        call = self._adapter.decode_call(exchange.req)
        if isinstance(call, TargetLeave):
            self._on_leave(exchange, call)
        elif call is None:
            self._refuse(exchange, 'report_unreadable', 'malformed call')
        else:
            self._check_report(exchange, call)

    def _check_report(self, exchange: Exchange, report: TargetReport) -> None:
        """Refuse a report that is not about the local target."""
        if report.service != self._settings.service:
            reason = f'service: {report.service} does not run here'
            self._refuse(exchange, 'report_foreign', reason)
        elif self._settings.target not in {'', report.address}:
            reason = f'address: {report.address} is not that of the target'
            self._refuse(exchange, 'report_foreign', reason)
        elif self._owner.target.report or self._departures.loaded.is_set():
            self._on_report(exchange, report)
        else:
            self._spawn(self._on_first_report(exchange, report))

    async def _on_first_report(
        self, exchange: Exchange, report: TargetReport
    ) -> None:
        """Process a report that arrives before departures are known."""
        await _wait_briefly(self._departures.loaded)
        if self._departures.loaded.is_set() or self._goes_on(report):
            self._on_report(exchange, report)
        else:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)

    def _goes_on(self, report: TargetReport) -> bool:
        """Return whether a target has reported before, and goes on reporting.

        Notes
        -----
        A target that has left sends no further reports, but a delayed one may
        arrive.
        """
        now = self._clock.now()
        if self._unproved is None or (
            self._unproved[0].keys.life != report.keys.life
        ):
            self._unproved = (report, now)
            return False
        first, arrived_at = self._unproved
        has_waited = now - arrived_at >= self._settings.report_ms // 2
        return has_waited and report.sequence > first.sequence

    def _refuse(self, exchange: Exchange, event: str, reason: str) -> None:
        """Refuse a call of another writer; it changes nothing."""
        self.refused_count += 1
        if self._owner.may_log():
            self._log.warning(
                event, reason=reason, bytes=len(exchange.req.body)
            )
        exchange.reply(
            HTTPStatus.BAD_REQUEST,
            b'content-type: text/plain\r\n',
            reason.encode(),
        )

    def _on_report(self, exchange: Exchange, report: TargetReport) -> None:
        if self._is_outdated(report):
            self._log.warning(
                'report_old',
                target=report.keys.life.target,
                born=report.keys.life.born,
                sequence=report.sequence,
            )
            self._reply(exchange, None)
            return
        if self._is_premature(report):
            self._log.warning(
                'report_early',
                target=report.keys.life.target,
                born=report.keys.life.born,
                silent_ms=self._clock.now() - self._owner.target.reported_at,
            )
            # The sender reports again, if it is the next target.
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._record_superseded(report)
        self._owner.on_report(report)
        life = report.keys.life
        if self._departures.has(life):
            self._owner.target.begin_leave(
                'departed', ago_ms=self._settings.drain_ms
            )
        is_announced = report.draining and not self._departures.is_stored(life)
        if self._config_loaded.is_set() and not is_announced:
            self._answer_report(exchange, report)
            return
        self._spawn(self._answer_when_known(exchange, report))

    async def _answer_when_known(
        self, exchange: Exchange, report: TargetReport
    ) -> None:
        """Answer once a leave is stored and a configuration is in force."""
        if report.draining and not (
            await self._departures.record(report.keys.life)
        ):
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        # Without a configuration it is not known whether the service has keys.
        await _wait_briefly(self._config_loaded)
        self._answer_report(exchange, report)

    def _answer_report(self, exchange: Exchange, report: TargetReport) -> None:
        if report.service not in self._tables.keyed_services():
            self._reply(exchange, None)
            return
        machine = self._tables.machine(report.service)
        machine.record_report(
            report.keys, former_ended=self._owner.target.former_ended
        )
        now = self._clock.now()
        if machine.can_reply(now):
            self._reply(exchange, machine.reply(now))
            return
        self._spawn(self._reply_when_ready(exchange, report.service))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._pending_replies.add(task)
        task.add_done_callback(self._pending_replies.discard)

    async def _reply_when_ready(
        self, exchange: Exchange, service: ServiceName
    ) -> None:
        """Reply once a proof and new epochs are available, or time out.

        Notes
        -----
        After a start of this process, an immediate empty reply would leave the
        target without its keys until its next report, most of a second later.
        """
        life = self._owner.target.life()
        await self._proofs.prepare_reply(service)
        reply = None
        if self._owner.target.life() == life:
            reply = self._tables.machine(service).reply(self._clock.now())
        self._reply(exchange, reply)

    def _reply(self, exchange: Exchange, reply: GrantReply | None) -> None:
        self._owner.wake_soon()
        exchange.reply(
            HTTPStatus.OK, JSON_HEAD, self._adapter.encode_reply(reply)
        )

    def _on_leave(self, exchange: Exchange, call: TargetLeave) -> None:
        life = self._owner.target.life()
        if life is None and call.born is not None:
            # The target may report to this process after its leave.
            life = TargetLife(call.target, call.born)
        if life is None or life.target != call.target:
            exchange.reply(HTTPStatus.OK, JSON_HEAD, b'{}')
            return
        # A notice of an earlier incarnation does not concern this one.
        if call.born is None or call.born >= life.born:
            self._owner.target.begin_leave('left')
            self._spawn(self._confirm_leave(exchange, life))
        else:
            exchange.reply(HTTPStatus.OK, JSON_HEAD, b'{}')

    async def _confirm_leave(
        self, exchange: Exchange, life: TargetLife
    ) -> None:
        if await self._departures.record(life):
            exchange.reply(HTTPStatus.OK, JSON_HEAD, b'{}')
        else:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)

    def _record_superseded(self, report: TargetReport) -> None:
        """Remember the incarnation that the reporting one has replaced."""
        known = self._owner.target.life()
        if known is not None and known.born < report.keys.life.born:
            self._superseded.append(known)

    def _is_outdated(self, report: TargetReport) -> bool:
        """Return whether a delayed report arrives after newer ones."""
        known = self._owner.target.report
        if known is None:
            return False
        life, newer = report.keys.life, known.keys.life
        if life == newer:
            return report.sequence < known.sequence
        silent = self._clock.now() - self._owner.target.reported_at
        if life in self._superseded:
            return silent < SUPERSEDED_SILENCE_MS
        return silent < RECENT_REPORT_MS and life.born < newer.born

    def _is_premature(self, report: TargetReport) -> bool:
        """Return whether the current incarnation seems to be still running.

        Notes
        -----
        Otherwise one report of another writer would take its place.
        """
        life = self._owner.target.life()
        if life in {None, report.keys.life} or self._owner.target.has_ended():
            return False
        if self._owner.target.leaving_since is not None:
            return False
        silent = self._clock.now() - self._owner.target.reported_at
        return silent < RECENT_REPORT_MS


async def _wait_briefly(event: asyncio.Event) -> None:
    """Wait for an event of the start of this process."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_WAIT_MS / MS_PER_SECOND):
            await event.wait()
