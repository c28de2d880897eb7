"""Heartbeats of the local target, and the grants that answer them."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from savoryhold.core.clock import Clock
from savoryhold.core.ids import ServiceName
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import Adapter, TargetLeave, TargetReport
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.table_proofs import ProofTask
from savoryhold.mesh.tables import TableTask
from savoryhold.ranges import GrantReply, TargetLife
from savoryhold.wire import Exchange

__all__ = ['ReportHandler']

JSON_HEAD = b'content-type: application/json\r\n'
MS_PER_SECOND = 1000
CONFIG_WAIT_MS = 400  # a reply counts if it comes within a second
RECENT_REPORT_MS = 1500  # a life that reported this recently is still up
SUPERSEDED_SILENCE_MS = (
    5000  # the same, against a life that it is known to follow
)
LIVES_KEPT = 16


class ReportHandler:
    """Takes the calls of the target beside this node.

    Parameters
    ----------
    adapter : Adapter
        Reads calls and writes replies.
    owner : OwnerTask
        The local target.
    tables : TableTask
        Key ranges.
    proofs : ProofTask
        Renews proofs, also at once.
    config_known : asyncio.Event
        Set once a configuration is in force.
    clock : Clock
        Source of time.
    log : Log
        Where decisions go.
    """

    def __init__(
        self,
        adapter: Adapter,
        owner: OwnerTask,
        tables: TableTask,
        proofs: ProofTask,
        config_known: asyncio.Event,
        clock: Clock,
        log: Log,
    ) -> None:
        self._config_known = config_known
        self._adapter = adapter
        self._owner = owner
        self._tables = tables
        self._proofs = proofs
        self._clock = clock
        self._log = log
        self._followed: deque[TargetLife] = deque(maxlen=LIVES_KEPT)
        self._late: set[asyncio.Task[None]] = set()

    def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        call = self._adapter.decode_call(exchange.req)
        if isinstance(call, TargetReport):
            self._on_report(exchange, call)
        elif isinstance(call, TargetLeave):
            self._on_leave(exchange, call)
        else:
            self._log.warning('report_unreadable', bytes=len(exchange.req.body))
            exchange.reply(HTTPStatus.BAD_REQUEST)

    def _on_report(self, exchange: Exchange, report: TargetReport) -> None:
        if self._is_old(report):
            self._log.warning(
                'report_old',
                target=report.keys.life.target,
                born=report.keys.life.born,
                sequence=report.sequence,
            )
            self._reply(exchange, None)
            return
        self._note_followed(report)
        self._owner.on_report(report)
        if self._config_known.is_set():
            self._answer(exchange, report)
            return
        # Whether the service has keys is not known in the first moments.
        self._start(self._answer_later(exchange, report))

    async def _answer_later(
        self, exchange: Exchange, report: TargetReport
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIG_WAIT_MS / MS_PER_SECOND):
                await self._config_known.wait()
        self._answer(exchange, report)

    def _answer(self, exchange: Exchange, report: TargetReport) -> None:
        if report.service not in self._tables.keyed():
            self._reply(exchange, None)
            return
        machine = self._tables.machine(report.service)
        machine.record_report(report.keys)
        now = self._clock.now()
        if machine.can_reply(now):
            self._reply(exchange, machine.reply(now))
            return
        self._start(self._reply_late(exchange, report.service))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _reply_late(
        self, exchange: Exchange, service: ServiceName
    ) -> None:
        """Reply once a proof and new epochs are there, or without them.

        Notes
        -----
        Otherwise the target would wait for its next report, after a start of
        this process most of a second without its keys.
        """
        life = self._owner.life()
        await self._proofs.hasten(service)
        reply = None
        if self._owner.life() == life:
            reply = self._tables.machine(service).reply(self._clock.now())
        self._reply(exchange, reply)

    def _reply(self, exchange: Exchange, reply: GrantReply | None) -> None:
        self._owner.settle_soon()
        exchange.reply(
            HTTPStatus.OK, JSON_HEAD, self._adapter.encode_reply(reply)
        )

    def _on_leave(self, exchange: Exchange, call: TargetLeave) -> None:
        life = self._owner.life()
        if life is not None and life.target == call.target:
            # The word of a former life does not end the present one.
            if call.born is None or call.born >= life.born:
                self._owner.begin_leave('left')
        exchange.reply(HTTPStatus.OK, JSON_HEAD, b'{}')

    def _note_followed(self, report: TargetReport) -> None:
        """Remember a life that ended before the one that reports."""
        known = self._owner.life()
        if known is not None and known.born < report.keys.life.born:
            self._followed.append(known)

    def _is_old(self, report: TargetReport) -> bool:
        """Return whether a report was held up on its way."""
        known = self._owner.report
        if known is None:
            return False
        life, newer = report.keys.life, known.keys.life
        if life == newer:
            return report.sequence < known.sequence
        silent = self._clock.now() - self._owner.reported_at
        if life in self._followed:
            return silent < SUPERSEDED_SILENCE_MS
        return silent < RECENT_REPORT_MS and life.born < newer.born
