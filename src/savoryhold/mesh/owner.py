"""The owner side of a node: runs requests at the local target."""

import asyncio
import itertools
from collections.abc import Callable
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
from savoryhold.mesh.target_calls import TargetCalls
from savoryhold.ranges import GrantMachine, KeyHeat
from savoryhold.traffic import QueueRefusal, TargetQueue, Ticket
from savoryhold.wire import ClientAnswer, HeaderNames

__all__ = ['OwnerTask']

MS_PER_SECOND = 1000
MIN_LEFT_MS = 5  # a request with less time left is not sent
TICK_MS = 25
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
        self._runs = RunTracker()
        self.queue = TargetQueue(1)
        self.heat = KeyHeat()
        self.may_log: Callable[[], bool] = lambda: True
        self.on_target_dead: Callable[[], None] = lambda: None
        self.machine_of: Callable[[ServiceName], GrantMachine | None] = (
            lambda service: None
        )
        self.is_peer_alive: Callable[[NodeId], bool] = lambda node: False
        self._ticket_numbers = itertools.count(1)
        self._start_futures: dict[int, asyncio.Future[QueueRefusal | None]] = {}
        self._changed = asyncio.Event()
        self._ticket_added = asyncio.Event()
        self._unkeyed_heat = KeyHeat()

    # The target -----------------------------------------------------------

    def on_report(self, report: TargetReport) -> None:
        """Process the target's report."""
        if self.target.on_report(report):
            self._calls.acceptance = 1.0
        self.queue.slots = max(1, report.slots)

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
        self._start_due()

    async def tick(self) -> None:
        """Refuse late tickets and start due ones until cancelled."""
        while True:
            if not self.queue.waiting:
                self._ticket_added.clear()
                await self._ticket_added.wait()
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            now = self.clock.now()
            for refusal in self.queue.refuse_late(now):
                self._resolve(refusal.ticket.number, refusal)
            self._start_due()

    def demand(self, now: int) -> float:
        """Return the load that requests offer, in slots."""
        total = self.heat.total(now) + self._unkeyed_heat.total(now)
        total *= self.queue.steady_pace(now)
        return total / max(MIN_ACCEPTANCE, self._calls.acceptance)

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
        if self.target.poison.is_quarantined(req.fingerprint, now):
            raise PoisonedError('the request crashes its targets')
        if not self._runs.may_start(req):
            raise BusyError(
                'no retry budget is left for the nested calls of a repeat'
            )
        req = self._runs.cap_deadline(req)
        self._count_heat(req, now)
        await self._wait_for_key(req)
        ticket = await self._admit(req)
        self._runs.begin(req)
        try:
            return await self._run(req, ticket)
        finally:
            self._end_run(req, ticket)

    def _end_run(self, req: RelayedRequest, ticket: Ticket) -> None:
        self._runs.end(req)
        self.queue.remove(ticket.number)
        self._start_due()

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

    async def _admit(self, req: RelayedRequest) -> Ticket:
        now = self.clock.now()
        ticket = Ticket(
            next(self._ticket_numbers),
            req.route,
            req.priority,
            now,
            req.aim_at,
            req.deadline,
            expected_ms=req.expected_ms,
        )
        refusal = self.queue.offer(ticket, now)
        if refusal is None:
            refusal = await self._wait_for_start(ticket)
        if refusal is not None:
            raise BusyError(f'queue: {refusal.reason}', refusal.retry_ms)
        return ticket

    async def _wait_for_start(self, ticket: Ticket) -> QueueRefusal | None:
        fut = asyncio.get_running_loop().create_future()
        self._start_futures[ticket.number] = fut
        self._ticket_added.set()
        self._start_due()
        try:
            refusal: QueueRefusal | None = await fut
        except asyncio.CancelledError:
            self.queue.remove(ticket.number)
            self._start_due()
            raise
        finally:
            self._start_futures.pop(ticket.number, None)
        return refusal

    def _start_due(self) -> None:
        now = self.clock.now()
        ticket = self.queue.start_next(now)
        while ticket is not None:
            self._resolve(ticket.number, None)
            ticket = self.queue.start_next(now)

    def _resolve(self, number: int, refusal: QueueRefusal | None) -> None:
        fut = self._start_futures.get(number)
        if fut is None or fut.done():
            self.queue.remove(number)
            return
        fut.set_result(refusal)

    async def _run(self, req: RelayedRequest, ticket: Ticket) -> RelayedAnswer:
        now = self.clock.now()
        self._check_start(req, now)
        sent = asyncio.Event()
        started = asyncio.ensure_future(self._calls.send(req, now, sent.set))
        try:
            answer = await asyncio.shield(started)
        except asyncio.CancelledError:
            goes_on = sent.is_set() and not req.repeatable
            self._log_stopped(req, ticket, goes_on=goes_on)
            if goes_on:
                # A run that must not repeat is left to complete at the target.
                started.add_done_callback(_retrieve_exception)
            else:
                started.cancel()
            raise
        took = self.clock.now() - now
        self.queue.record_run_time(ticket.kind, took)
        if now + took > req.aim_at and self.may_log():
            self._log_late(req, ticket, took)
        checked = self._calls.check(req, answer)
        if checked.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            # Failures are faster than runs, and say nothing of their cost.
            self.queue.record_run(ticket, took, self.clock.now())
        self.target.acquit(req)
        return checked

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


def _retrieve_exception(task: 'asyncio.Task[ClientAnswer]') -> None:
    if not task.cancelled():
        task.exception()
