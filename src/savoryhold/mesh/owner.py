"""The owner side of a node: runs requests at the local target."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from savoryhold.core.clock import Clock
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.local_target import LocalTarget
from savoryhold.mesh.requests import (
    NO_KEY,
    BusyError,
    MovedError,
    PoisonedError,
    RelayedAnswer,
    RelayedRequest,
    TargetDownError,
)
from savoryhold.mesh.run_tracker import RunTracker
from savoryhold.mesh.start_queue import StartQueue
from savoryhold.mesh.target_calls import TargetCalls
from savoryhold.mesh.target_capacity import TargetCapacity
from savoryhold.ranges import GrantMachine, KeyHeat
from savoryhold.traffic import TargetQueue, Ticket
from savoryhold.wire import ClientAnswer, HeaderNames

__all__ = ['OwnerTask']

MS_PER_SECOND = 1000
MIN_LEFT_MS = 5  # a request with less time left is not sent
REPORT_SLACK_MS = 120  # usual jitter of the target's reports
REPLY_READ_MS = 4  # until the target has read the reply to its report
RETRY_AFTER_MOVE_MS = 150
DOWN_RETRY_MS = 400
CONFIRMATION_MS = 250  # until a live previous owner confirms a release
MIN_ACCEPTANCE = 0.3


class OwnerTask:
    """Owns the queue, the connections and the state of the local target.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    names : HeaderNames
        Names of the product's headers.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    report_ms : int
        Interval of the target's reports.
    drain_ms : int
        Time for which a leaving target still accepts requests.
    """

    def __init__(
        self,
        node: NodeId,
        names: HeaderNames,
        clock: Clock,
        log: Log,
        report_ms: int,
        drain_ms: int,
    ) -> None:
        self.node = node
        self.names = names
        self.clock = clock
        self.log = log
        self.target = LocalTarget(node, clock, log, report_ms, drain_ms)
        self.target.on_dead = self._on_target_dead
        self._calls = TargetCalls(self.target, names, clock)
        self._calls.on_load = self._on_load
        self._calls.on_reset = self._on_reset
        self._runs = RunTracker()
        self.queue = TargetQueue(1)
        self.capacity = TargetCapacity(self.target, clock, log, report_ms)
        self.queue.capacity = self.capacity.current
        self.starts = StartQueue(self.queue, self.capacity, clock)
        self.heat = KeyHeat()
        self.may_log: Callable[[], bool] = lambda: True
        # Raises an error if a request must not run here.
        self.check_place: Callable[[RelayedRequest], None] = lambda req: None
        self.on_target_dead: Callable[[], None] = lambda: None
        self.machine_of: Callable[[ServiceName], GrantMachine | None] = (
            lambda service: None
        )
        self.is_peer_alive: Callable[[NodeId], bool] = lambda node: False
        self._changed = asyncio.Event()
        self._unkeyed_heat = KeyHeat()

    # The target -----------------------------------------------------------

    def on_report(self, report: TargetReport) -> None:
        """Process the target's report."""
        known = self.target.report is not None
        is_new = self.target.on_report(report)
        if is_new:
            self._calls.acceptance = 1.0
        self.capacity.on_report(report, replaced=known and is_new)
        self.queue.slots = max(1, report.slots)

    def suspect_cold(self, reason: str) -> None:
        """Treat the target as cold until its next report."""
        self.capacity.suspect_cold(reason)

    def on_evacuation_ended(self) -> None:
        """Process the end of an evacuation, after which the target is cold."""
        self.suspect_cold('evacuation ended')

    def wake_soon(self) -> None:
        """Recheck waiting requests once the target has read a reply."""
        loop = asyncio.get_running_loop()
        loop.call_later(REPLY_READ_MS / MS_PER_SECOND, self.wake)

    def _on_target_dead(self) -> None:
        self.on_target_dead()
        self.wake()

    def wake(self) -> None:
        """Recheck the requests that wait for keys or slots."""
        self._changed.set()
        self._changed = asyncio.Event()
        self.starts.start_due()

    async def tick(self) -> None:
        """Refuse late requests and start due ones until cancelled."""
        await self.starts.tick()

    def demand(self, now: int) -> float:
        """Return the load that requests offer, in slots."""
        total = self.heat.total(now) + self._unkeyed_heat.total(now)
        total *= self.queue.steady_pace(now)
        return total / max(MIN_ACCEPTANCE, self._calls.acceptance)

    def advertised_slots(self) -> int:
        """Return the slots that other nodes may count on."""
        return self.capacity.advertised_slots(self.queue.slots)

    def advertised(self) -> dict[str, float]:
        """Return what the status says of the target's capacity."""
        return {
            'slots': self.advertised_slots(),
            'wait_ms': self.queue.backlog_ms(self.clock.now()),
            **self.capacity.advertised_cost(self._calls.acceptance),
        }

    @property
    def runs(self) -> RunTracker:
        """Return the tracker of the requests that run at the target."""
        return self._runs

    def pending_count(self) -> int:
        """Return how many requests run or wait for a slot."""
        return len(self.queue.running) + len(self.queue.waiting)

    # Requests ---------------------------------------------------------------

    async def submit(self, req: RelayedRequest) -> RelayedAnswer:
        """Run a request at the local target.

        Raises
        ------
        RequestError
            If there is no valid answer; its verdict says whether the
            request may have run.
        """
        now = self.clock.now()
        if not self.target.serves(req.service) or not self.target.may_send():
            raise TargetDownError(
                'the target does not accept requests', DOWN_RETRY_MS
            )
        self.check_place(req)
        if self.target.is_quarantined(req):
            raise PoisonedError('the request crashes its targets')
        if not self._runs.may_start(req):
            raise BusyError(
                'no retry budget is left for the nested calls of a repeat'
            )
        req = self._runs.cap_deadline(req)
        self._count_heat(req, now)
        await self._wait_for_key(req)
        ticket = await self.starts.admit(req)
        self._runs.begin(req)
        try:
            return await self._run(req, ticket)
        finally:
            self._end_run(req, ticket)

    def _end_run(self, req: RelayedRequest, ticket: Ticket) -> None:
        self._runs.end(req)
        if ticket.abandoned:
            self.starts.start_due()
        else:
            self.starts.end(ticket.number)

    async def _wait_for_key(self, req: RelayedRequest) -> None:
        """Wait until the target holds the request's key, or refuse it."""
        if req.key == NO_KEY:
            return
        while True:
            machine = self.machine_of(req.service)
            if machine is None or machine.table is None:
                raise TargetDownError(
                    'the key range table is not known yet', DOWN_RETRY_MS
                )
            row = machine.table.row_at(req.key)
            if row.owner != self.node:
                raise MovedError(
                    f'key {req.key} is owned by another node', row.owner
                )
            now = self.clock.now()
            if machine.may_send(req.key, now):
                return
            self._check_wait(req, machine, now)
            await self._wait_for_change(req.deadline - now)

    def _check_wait(
        self, req: RelayedRequest, machine: GrantMachine, now: int
    ) -> None:
        """Refuse a request whose key will not be held in time."""
        delay = self.target.next_report_in(now) + REPORT_SLACK_MS
        if machine.is_in_handover(req.key):
            delay = RETRY_AFTER_MOVE_MS
        else:
            delay = max(delay, self._max_grant_wait_ms(req.key, machine, now))
            if machine.hold_ms(now) <= 0:
                delay = max(delay, DOWN_RETRY_MS)
        left = req.deadline - now - self.queue.service_ms(req.route)
        if delay > left:
            raise BusyError('the target does not hold the key yet', delay)

    def _max_grant_wait_ms(
        self, key: int, machine: GrantMachine, now: int
    ) -> int:
        """Return how long a key may have to wait for its previous owner."""
        wait_ms = machine.max_grant_wait_ms(key, now)
        if not wait_ms or machine.table is None:
            return 0
        # A live previous owner confirms its release almost at once.
        alive = self.is_peer_alive(machine.table.row_at(key).previous)
        return min(wait_ms, CONFIRMATION_MS) if alive else wait_ms

    async def _wait_for_change(self, limit_ms: int) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await changed.wait()
        except TimeoutError:
            raise BusyError(
                'the target has not received the key in time', DOWN_RETRY_MS
            ) from None

    async def _run(self, req: RelayedRequest, ticket: Ticket) -> RelayedAnswer:
        now = self.clock.now()
        self._check_start(req, now)
        sent = asyncio.Event()
        on_sent = partial(self._on_sent, ticket, sent)
        started = asyncio.ensure_future(self._calls.send(req, now, on_sent))
        try:
            answer = await asyncio.shield(started)
        except asyncio.CancelledError:
            goes_on = sent.is_set() and not req.repeatable
            self._log_stopped(req, ticket, goes_on=goes_on)
            if goes_on:
                # A run that must not repeat is left to complete at the target.
                ticket.abandoned = self.queue.fair
                started.add_done_callback(partial(self._end_abandoned, ticket))
            else:
                started.cancel()
            raise
        took = self.clock.now() - now
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            self.capacity.limiter.return_sent()
        self.queue.record_run_time(ticket.kind, took)
        self.capacity.record_run_time(took)
        if now + took > req.aim_at and self.may_log():
            self._log_late(req, ticket, took)
        checked = self._calls.check(req, answer, took)
        if checked.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            # Failures are faster than runs, and say nothing of their cost.
            self.queue.record_run(ticket, took, self.clock.now())
        if self._calls.has_run(answer):
            self.target.acquit(req)
        return checked

    def _on_load(self, text: bytes) -> None:
        self.capacity.record_load(text, len(self.queue.running))

    def _on_reset(self, ran_ms: int) -> bool:
        return self.capacity.record_reset(ran_ms, len(self.queue.running))

    def _on_sent(self, ticket: Ticket, sent: asyncio.Event) -> None:
        sent.set()
        self.starts.record_sent(ticket)

    def _end_abandoned(
        self, ticket: Ticket, run: 'asyncio.Task[ClientAnswer]'
    ) -> None:
        if not run.cancelled():
            run.exception()  # else it is logged as never retrieved
        self.starts.end(ticket.number)

    def _log_stopped(
        self, req: RelayedRequest, ticket: Ticket, *, goes_on: bool
    ) -> None:
        """Count and log a run whose answer nobody waits for any more."""
        self._runs.stopped_count += 1
        if self.may_log():
            self.log.info(
                'run_stopped',
                request=req.request,
                ran_ms=self.clock.now() - ticket.started_at,
                left_ms=req.deadline - self.clock.now(),
                goes_on=goes_on,
            )

    def _log_late(self, req: RelayedRequest, ticket: Ticket, took: int) -> None:
        self.log.info(
            'ran_late',
            request=req.request,
            waited_ms=ticket.started_at - ticket.arrived_at,
            took_ms=took,
            usual_ms=round(self.queue.service_ms(ticket.kind)),
            pace=round(self.capacity.load.pace(self.clock.now()), 1),
            expected_ms=round(
                self.queue.expected_ms(ticket, ticket.started_at)
            ),
            aim_missed_ms=self.clock.now() - req.aim_at,
            running=len(self.queue.running),
            waiting=len(self.queue.waiting),
        )

    def _check_start(self, req: RelayedRequest, now: int) -> None:
        if req.deadline - now < MIN_LEFT_MS:
            raise BusyError('too little time is left to run the request')
        if not self.target.may_send():
            raise TargetDownError('the target has stopped', DOWN_RETRY_MS)
        self.check_place(req)
        machine = self.machine_of(req.service)
        if req.key == NO_KEY or machine is None or machine.table is None:
            return
        if not machine.may_send(req.key, now):
            # The ingress node looks up the owner again: the next owner, or
            # this one, may still run it in time.
            owner = machine.table.row_at(req.key).owner
            raise MovedError('the target no longer holds the key', owner)

    def _count_heat(self, req: RelayedRequest, now: int) -> None:
        heat = self._unkeyed_heat if req.key == NO_KEY else self.heat
        work_ms = self.queue.usual_ms(req.route, req.expected_ms)
        heat.add(max(0, req.key), work_ms, now)
