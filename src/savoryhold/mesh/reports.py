"""Reports (heartbeats) of the local target, answered with key grants."""

import asyncio
import contextlib
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from savoryhold.core.ids import ServiceName
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.interface import Adapter, TargetLeave, TargetReport
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.succession import Standing, Succession
from savoryhold.mesh.table_proofs import TableProofTask
from savoryhold.ranges import GrantReply, TargetLife
from savoryhold.wire import Exchange

__all__ = ['ReportHandler']

JSON_HEAD = b'content-type: application/json\r\n'
MS_PER_SECOND = 1000
START_WAIT_MS = 400  # the target ignores a reply after one second


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
        self._clock = context.clock
        self._succession = Succession(
            context.owner.target,
            departures,
            context.clock,
            context.settings.report_ms,
        )
        departures.on_loaded = self._on_departures_loaded
        self._log = context.log
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
        if self._departures.loaded.is_set() or self._succession.goes_on(report):
            self._on_report(exchange, report)
        else:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)

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
        life = report.keys.life
        standing = self._succession.standing(report)
        if standing is not Standing.ACCEPTED:
            self._log.warning(
                f'report_{standing.value}',
                target=life.target,
                born=life.born,
                sequence=report.sequence,
                silent_ms=self._clock.now() - self._owner.target.reported_at,
            )
            self._decline(exchange, report, standing)
            return
        self._succession.record(report)
        self._owner.on_report(report)
        self._apply_departure()
        if report.draining:
            self._departures.add(life)
        is_announced = report.draining and not self._departures.is_stored(life)
        if self._config_loaded.is_set() and not is_announced:
            self._answer_report(exchange, report)
            return
        self._spawn(self._answer_when_known(exchange, report))

    def _decline(
        self, exchange: Exchange, report: TargetReport, standing: Standing
    ) -> None:
        """Answer a report that changes nothing."""
        if standing is not Standing.OLD:
            # The sender reports again, if it is the next target.
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)
        elif report.draining:
            self._spawn(self._confirm_leave(exchange, report.keys.life))
        else:
            self._reply(exchange, None)

    def _on_departures_loaded(self) -> None:
        """Apply what is known now to a target that was accepted before."""
        life = self._owner.target.life()
        if life is None:
            return
        self._apply_departure()
        if self._departures.has_later(life) and not self._departures.has(life):
            self._owner.target.forget()

    def _apply_departure(self) -> None:
        """Stop requests to a target that has left before it reported here."""
        life = self._owner.target.life()
        if life is not None and self._departures.has(life):
            self._owner.target.begin_leave(
                'departed', ago_ms=self._settings.drain_ms
            )

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
        current = self._owner.target.life()
        leaving = _leaving_life(call, current)
        if leaving is None:
            # A leave that cannot be recorded must not be confirmed.
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        # A notice of an earlier incarnation does not concern this one.
        if (
            current is not None
            and current.target == leaving.target
            and current.born <= leaving.born
        ):
            self._owner.target.begin_leave('left')
        self._departures.add(leaving)
        self._spawn(self._confirm_leave(exchange, leaving))

    async def _confirm_leave(
        self, exchange: Exchange, life: TargetLife
    ) -> None:
        if await self._departures.record(life):
            exchange.reply(HTTPStatus.OK, JSON_HEAD, b'{}')
        else:
            exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE)


def _leaving_life(
    call: TargetLeave, current: TargetLife | None
) -> TargetLife | None:
    """Return the incarnation that a notice is of, None if it is unknown."""
    if call.born is not None:
        return TargetLife(call.target, call.born)
    is_current = current is not None and current.target == call.target
    return current if is_current else None


async def _wait_briefly(event: asyncio.Event) -> None:
    """Wait for an event of the start of this process."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_WAIT_MS / MS_PER_SECOND):
            await event.wait()
