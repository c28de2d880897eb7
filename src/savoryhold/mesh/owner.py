"""The owner side of a node: runs requests at the local target."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError, RequestError, UncertainError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.core.poison import Fingerprint, PoisonGuard, Strike
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.requests import (
    NO_KEY,
    BadAnswerError,
    BusyError,
    CrashedError,
    MovedError,
    PoisonedError,
    RelayedAnswer,
    RelayedRequest,
    ShedError,
    TargetDownError,
)
from savoryhold.mesh.run_tracker import RunTracker
from savoryhold.ranges import GrantMachine, KeyHeat, TargetLife
from savoryhold.traffic import QueueRefusal, TargetQueue, Ticket
from savoryhold.wire import (
    NOT_FORWARDED,
    ClientAnswer,
    ClientPool,
    HeaderNames,
    encode_headers,
)

__all__ = ['OwnerTask']

MS_PER_SECOND = 1000
STATUS_OK = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
MIN_LEFT_MS = 5  # a request with less time left is not sent
TICK_MS = 25
REPORT_SLACK_MS = 120  # usual jitter of the target's reports
REPLY_READ_MS = 4  # until the target has read the reply to its report
RETRY_AFTER_MOVE_MS = 150
DOWN_RETRY_MS = 400
CONFIRMATION_MS = 250  # until a live previous owner confirms a release
SHED_SMOOTHING = 0.05
MIN_ACCEPTANCE = 0.3
DEAD_AFTER_REPORTS = 1.5  # report intervals; then a refused connection counts
CRASH_SPREAD_MS = 200  # a crash breaks all connections within this time
MAX_REPORT_DELAY_MS = 2000  # reports are rarely delayed for longer
MAX_INTERRUPTED = 64
PROBE_MS = 300  # a local port accepts or refuses far sooner
FOREIGN_HEADER = b'content-encoding'  # not written by targets


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
        self.report: TargetReport | None = None
        self.reported_at = 0
        self.leaving_since: int | None = None
        self.dead = False
        self._former_ended = False
        self._runs = RunTracker()
        self.queue = TargetQueue(1)
        self.heat = KeyHeat()
        self.poison = PoisonGuard()
        self.on_strike: Callable[[Strike], None] = lambda strike: None
        self.may_log: Callable[[], bool] = lambda: True
        self.on_acquitted: Callable[[Fingerprint], None] = lambda digest: None
        self.on_target_dead: Callable[[], None] = lambda: None
        self.machine_of: Callable[[ServiceName], GrantMachine | None] = (
            lambda service: None
        )
        self.is_peer_alive: Callable[[NodeId], bool] = lambda node: False
        # Smoothed share of the requests that the target did not shed.
        self._acceptance = 1.0
        self.pool: ClientPool | None = None
        self._report_ms = report_ms
        self._drain_ms = drain_ms
        self._ticket_numbers = itertools.count(1)
        self._start_futures: dict[int, asyncio.Future[QueueRefusal | None]] = {}
        self._changed = asyncio.Event()
        self._ticket_added = asyncio.Event()
        self._unkeyed_heat = KeyHeat()
        self._interrupted: deque[tuple[RelayedRequest, int]] = deque(
            maxlen=MAX_INTERRUPTED
        )

    # The target -----------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the target accepts new requests."""
        return (
            self.report is not None
            and not self.dead
            and self.leaving_since is None
        )

    def has_target_ended(self) -> bool:
        """Return whether the process that reported last is known to have ended.

        Notes
        -----
        When a process ends, its port refuses connections, and all connections
        that it had are closed.
        """
        if self.dead:
            return True
        emptied_at = None if self.pool is None else self.pool.emptied_at
        return emptied_at is not None and emptied_at >= self.reported_at

    @property
    def former_ended(self) -> bool:
        """Return whether the incarnation before this one surely has ended."""
        return self._former_ended

    def serves(self, service: ServiceName) -> bool:
        """Return whether the local target runs a service."""
        return self.report is not None and self.report.service == service

    def may_send(self) -> bool:
        """Return whether requests may be sent to the target now."""
        if self.report is None or self.dead:
            return False
        if self.leaving_since is None:
            return True
        return self.clock.now() - self.leaving_since < self._drain_ms * 3 // 4

    def on_report(self, report: TargetReport) -> None:
        """Process the target's report."""
        now = self.clock.now()
        previous = self.report
        if previous is None or previous.keys.life != report.keys.life:
            self._on_new_life(report)
        else:
            self._drop_survived(now)
        self.report = report
        self.reported_at = now
        self.dead = False
        self.queue.slots = max(1, report.slots)
        if report.draining:
            self.begin_leave('draining')

    def wake_soon(self) -> None:
        """Recheck waiting requests once the target has read a reply."""
        loop = asyncio.get_running_loop()
        loop.call_later(REPLY_READ_MS / MS_PER_SECOND, self.wake)

    def begin_leave(self, reason: str, *, ago_ms: int = 0) -> None:
        """Record that the target announced some time ago that it leaves."""
        if self.leaving_since is None:
            self.leaving_since = self.clock.now() - ago_ms
            self.log.info('target_leaving', reason=reason)

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
        return total / max(MIN_ACCEPTANCE, self._acceptance)

    def next_report_in(self, now: int) -> int:
        """Return the time until the target's next report, in ms."""
        return max(0, self.reported_at + self._report_ms - now)

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
        if not self.serves(req.service) or not self.may_send():
            raise TargetDownError(
                'the target does not accept requests', DOWN_RETRY_MS
            )
        if self.poison.is_quarantined(req.fingerprint, now):
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
        delay = self.next_report_in(now) + REPORT_SLACK_MS
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
        started = asyncio.ensure_future(self._send(req, now, sent.set))
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
        checked = self._check_answer(req, answer)
        if self.poison.clear_strikes(req.fingerprint):
            self.log.info('acquitted', request=req.request)
            self.on_acquitted(req.fingerprint)
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
            aim_missed_ms=self.clock.now() - req.aim_at,
            running=len(self.queue.running),
            waiting=len(self.queue.waiting),
        )

    def _check_start(self, req: RelayedRequest, now: int) -> None:
        if req.deadline - now < MIN_LEFT_MS:
            raise BusyError('too little time is left to run the request')
        if not self.may_send():
            raise TargetDownError('the target has stopped', DOWN_RETRY_MS)
        machine = self.machine_of(req.service)
        if req.key == NO_KEY or machine is None or machine.table is None:
            return
        if not machine.may_send(req.key, now):
            # The ingress node looks up the owner again: the next owner, or
            # this one, may still run it in time.
            owner = machine.table.row_at(req.key).owner
            raise MovedError('the target no longer holds the key', owner)

    async def _send(
        self, req: RelayedRequest, now: int, on_sent: Callable[[], None]
    ) -> ClientAnswer:
        pool, life = self.pool, self.target_life()
        if pool is None or life is None:
            raise TargetDownError('no target has reported', DOWN_RETRY_MS)
        left = req.deadline - now
        request = self._request_bytes(req, left, life)
        request_id = req.request.encode()
        answer_matches = partial(
            _has_request_id, self.names.request_id.lower(), request_id
        )
        try:
            return await pool.ask(
                request, left, answer_matches, on_sent, request_id
            )
        except LinkError as exc:
            raise self._link_error(req, exc) from exc
        except TimeoutError as exc:
            raise UncertainError('the target did not answer in time') from exc

    def _link_error(self, req: RelayedRequest, exc: LinkError) -> RequestError:
        if not exc.sent:
            self.declare_dead_if_silent()
            return TargetDownError(str(exc), DOWN_RETRY_MS)
        self._interrupted.append((req, self.clock.now()))
        return CrashedError(str(exc))

    def _drop_survived(self, now: int) -> None:
        """Forget interrupted requests that the target has survived."""
        while (
            self._interrupted
            and now - self._interrupted[0][1] > MAX_REPORT_DELAY_MS
        ):
            self._interrupted.popleft()

    def _strike_interrupted(self) -> None:
        """Record a strike against each request that a crash interrupted."""
        life = self.target_life()
        if life is None or not self._interrupted:
            return
        ended_at = self._interrupted[-1][1]
        incident = f'{self.node}/{life.target}/{life.born}'
        for req, broken_at in self._interrupted:
            if ended_at - broken_at > CRASH_SPREAD_MS:
                continue
            strike = Strike(req.fingerprint, incident)
            if self.poison.strike(strike, self.clock.now()):
                self.log.warning(
                    'strike',
                    request=req.request,
                    path=req.path.decode('latin-1'),
                    key=req.key,
                    incident=incident,
                )
                self.on_strike(strike)
        self._interrupted.clear()

    def declare_dead_if_silent(self) -> None:
        """Declare the target dead if it is silent and refuses connections."""
        pool = self.pool
        silent = self.clock.now() - self.reported_at
        if pool is None or self.dead or pool.refused < 2:
            return
        if silent > self._report_ms * DEAD_AFTER_REPORTS:
            self.dead = True
            self.log.warning('target_dead', silent_ms=silent)
            self._strike_interrupted()
            self.on_target_dead()
            self.wake()

    async def watch_target(self) -> None:
        """Probe the port of a silent target, until cancelled."""
        while True:
            await asyncio.sleep(self._report_ms / MS_PER_SECOND / 2)
            silent = self.clock.now() - self.reported_at
            if self.report is None or self.dead or self.pool is None:
                continue
            if silent > self._report_ms * DEAD_AFTER_REPORTS:
                await _probe_port(self.pool)
                self.declare_dead_if_silent()

    def _check_answer(
        self, req: RelayedRequest, answer: ClientAnswer
    ) -> RelayedAnswer:
        names = self.names
        not_run = names.not_run.lower() in answer.fields
        shed = not_run or answer.status == HTTPStatus.MISDIRECTED_REQUEST
        self._acceptance += SHED_SMOOTHING * ((not shed) - self._acceptance)
        if shed:
            raise ShedError(
                f'the target refused the request with status {answer.status}',
                TICK_MS,
            )
        succeeded = answer.status in STATUS_OK
        signed = (
            not names.answer_signature
            or names.answer_signature.lower() in answer.fields
        )
        if succeeded and (not signed or FOREIGN_HEADER in answer.fields):
            raise BadAnswerError(
                'the answer was not written by the target itself'
            )
        head = encode_headers(answer.headers, NOT_FORWARDED)
        return RelayedAnswer(answer.status, head, answer.body)

    def _request_bytes(
        self, req: RelayedRequest, left: int, life: TargetLife
    ) -> bytes:
        names = self.names
        lines = [
            b'%s %s HTTP/1.1\r\n' % (req.method, req.path),
            req.head,
            b'%s: %d\r\n' % (names.deadline, left),
            b'%s: %s\r\n' % (names.target, life.target.encode()),
        ]
        if req.body or req.method not in {b'GET', b'HEAD'}:
            lines.append(b'content-length: %d\r\n' % len(req.body))
        lines.extend((b'\r\n', req.body))
        return b''.join(lines)

    def target_life(self) -> TargetLife | None:
        """Return the current incarnation of the target."""
        return None if self.report is None else self.report.keys.life

    def _on_new_life(self, report: TargetReport) -> None:
        self.log.info(
            'target_up',
            target=report.keys.life.target,
            born=report.keys.life.born,
            service=report.service,
            slots=report.slots,
        )
        self._strike_interrupted()
        self._former_ended = self.has_target_ended()
        if self.pool is not None:
            # Running requests may still complete, and the report may be wrong.
            self.pool.retire()
        self.pool = ClientPool(report.address, self.clock.now)
        self.leaving_since = None
        self._acceptance = 1.0

    def _count_heat(self, req: RelayedRequest, now: int) -> None:
        heat = self._unkeyed_heat if req.key == NO_KEY else self.heat
        heat.add(max(0, req.key), self.queue.service_ms(req.route), now)


async def _probe_port(pool: ClientPool) -> None:
    """Count a refused connection if the target's port is closed."""
    host, _, port = pool.address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_MS / MS_PER_SECOND):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        pool.refused += 1
    except (OSError, TimeoutError):
        # Other failures do not show that the target has ended.
        return
    else:
        writer.close()
        pool.refused = 0


def _has_request_id(
    name: bytes, request: bytes, fields: dict[bytes, bytes]
) -> bool:
    return fields.get(name) == request


def _retrieve_exception(task: 'asyncio.Task[ClientAnswer]') -> None:
    if not task.cancelled():
        task.exception()
