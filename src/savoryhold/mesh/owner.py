"""The owner's side: runs requests at the target beside this node."""

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
from savoryhold.mesh.run_tracker import RunBook
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
REPORT_SLACK_MS = 120  # a report may come this much later than usual
SETTLE_MS = 4  # the target reads the reply to its report
RETRY_AFTER_MOVE_MS = 150
DOWN_RETRY_MS = 400
WORD_MS = 250
SHED_SMOOTHING = 0.05
MIN_SUCCESS = 0.3
DEAD_REPORTS = 1.5  # report intervals without a report before a refusal counts
CRASH_SPREAD_MS = 200  # a crash breaks all its connections within this
MAX_REPORT_DELAY_MS = 2000  # a report that is held up longer is rare
BROKEN_KEPT = 64
PROBE_MS = 300  # a local port answers or refuses far sooner
NOT_MINE = b'content-encoding'


class OwnerTask:
    """Owns the queue, the connections and the life of the local target.

    Parameters
    ----------
    node : NodeId
        This node.
    names : HeaderNames
        Headers towards the target.
    clock : Clock
        Source of time.
    log : Log
        Where decisions go.
    report_ms : int
        Interval of the target's reports.
    drain_ms : int
        How long a leaving target may still be sent requests.
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
        self._runs = RunBook()
        self.queue = TargetQueue(1)
        self.heat = KeyHeat()
        self.poison = PoisonGuard()
        self.on_strike: Callable[[Strike], None] = lambda strike: None
        self.may_log: Callable[[], bool] = lambda: True
        self.on_acquit: Callable[[Fingerprint], None] = lambda known: None
        self.on_dead: Callable[[], None] = lambda: None
        self.machine_of: Callable[[ServiceName], GrantMachine | None] = (
            lambda service: None
        )
        self.hears: Callable[[NodeId], bool] = lambda node: False
        self._success = 1.0
        self.pool: ClientPool | None = None
        self._report_ms = report_ms
        self._drain_ms = drain_ms
        self._numbers = itertools.count(1)
        self._starts: dict[int, asyncio.Future[QueueRefusal | None]] = {}
        self._changed = asyncio.Event()
        self._offered = asyncio.Event()
        self._unkeyed_heat = KeyHeat()
        self._broken: deque[tuple[RelayedRequest, int]] = deque(
            maxlen=BROKEN_KEPT
        )

    # The target -----------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the target takes new work."""
        return (
            self.report is not None
            and not self.dead
            and self.leaving_since is None
        )

    def serves(self, service: ServiceName) -> bool:
        """Return whether the local target runs a service."""
        return self.report is not None and self.report.service == service

    def may_send(self) -> bool:
        """Return whether requests may still go to the target."""
        if self.report is None or self.dead:
            return False
        if self.leaving_since is None:
            return True
        return self.clock.now() - self.leaving_since < self._drain_ms * 3 // 4

    def on_report(self, report: TargetReport) -> None:
        """Take in the target's report."""
        now = self.clock.now()
        known = self.report
        if known is None or known.keys.life != report.keys.life:
            self._on_new_life(report)
        else:
            self._forget_survived(now)
        self.report = report
        self.reported_at = now
        self.dead = False
        self.queue.slots = max(1, report.slots)
        if report.draining:
            self.begin_leave('draining')

    def settle_soon(self) -> None:
        """Look at what waits once the target has read a reply."""
        loop = asyncio.get_running_loop()
        loop.call_later(SETTLE_MS / MS_PER_SECOND, self.wake)

    def begin_leave(self, reason: str) -> None:
        """Note that the target has said that it leaves."""
        if self.leaving_since is None:
            self.leaving_since = self.clock.now()
            self.log.info('target_leaving', reason=reason)

    def wake(self) -> None:
        """Look again at what waits for keys or slots."""
        self._changed.set()
        self._changed = asyncio.Event()
        self._pump()

    async def tick(self) -> None:
        """Refuse late tickets and start due ones until cancelled."""
        while True:
            if not self.queue.waiting:
                self._offered.clear()
                await self._offered.wait()
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            now = self.clock.now()
            for refused in self.queue.late(now):
                self._resolve(refused.ticket.number, refused)
            self._pump()

    def demand(self, now: int) -> float:
        """Return the work that requests bring, in slots."""
        total = self.heat.total(now) + self._unkeyed_heat.total(now)
        return total / max(MIN_SUCCESS, self._success)

    def next_report_in(self, now: int) -> int:
        """Return in how many ms the target's next report is due."""
        return max(0, self.reported_at + self._report_ms - now)

    @property
    def runs(self) -> RunBook:
        """Return what runs at the target."""
        return self._runs

    def running(self) -> int:
        """Return how many requests the target runs or waits for."""
        return len(self.queue.running) + len(self.queue.waiting)

    # Requests ---------------------------------------------------------------

    async def submit(self, req: RelayedRequest) -> RelayedAnswer:
        """Run a request at the local target.

        Raises
        ------
        RequestError
            With the verdict that is known.
        """
        now = self.clock.now()
        if not self.serves(req.service) or not self.may_send():
            raise TargetDownError('no target takes requests', DOWN_RETRY_MS)
        if self.poison.is_quarantined(req.fingerprint, now):
            raise PoisonedError('the request crashes its targets')
        if not self._runs.may_run(req):
            raise BusyError('the calls of a repeat have no retries left')
        req = self._runs.within(req)
        self._count_heat(req, now)
        await self._own_key(req)
        ticket = await self._admit(req)
        self._runs.begin(req)
        try:
            return await self._run(req, ticket)
        finally:
            self._end_run(req, ticket)

    def _end_run(self, req: RelayedRequest, ticket: Ticket) -> None:
        self._runs.end(req)
        self.queue.remove(ticket.number)
        self._pump()

    async def _own_key(self, req: RelayedRequest) -> None:
        """Wait until the target holds the request's key, or refuse."""
        if req.key == NO_KEY:
            return
        while True:
            machine = self.machine_of(req.service)
            if machine is None or machine.table is None:
                raise TargetDownError('no table of keys yet', DOWN_RETRY_MS)
            row = machine.table.row_at(req.key)
            if row.owner != self.node:
                raise MovedError(f'key {req.key} moved', row.owner)
            now = self.clock.now()
            if machine.may_send(req.key, now):
                return
            self._check_wait(req, machine, now)
            await self._wait_change(req.deadline - now)

    def _check_wait(
        self, req: RelayedRequest, machine: GrantMachine, now: int
    ) -> None:
        """Refuse a request whose key cannot be held in time."""
        delay = self.next_report_in(now) + REPORT_SLACK_MS
        if machine.is_in_handover(req.key):
            delay = RETRY_AFTER_MOVE_MS
        else:
            delay = max(delay, self._clear_in(req.key, machine, now))
            if machine.hold_ms(now) <= 0:
                delay = max(delay, DOWN_RETRY_MS)
        left = req.deadline - now - self.queue.service_ms(req.route)
        if delay > left:
            raise BusyError('the key is not held yet', delay)

    def _clear_in(self, key: int, machine: GrantMachine, now: int) -> int:
        """Return how long a row may have to wait for its former owner."""
        wait_ms = machine.max_grant_wait_ms(key, now)
        if not wait_ms or machine.table is None:
            return 0
        # A former owner that is heard gives its word within moments.
        heard = self.hears(machine.table.row_at(key).previous)
        return min(wait_ms, WORD_MS) if heard else wait_ms

    async def _wait_change(self, limit_ms: int) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await changed.wait()
        except TimeoutError:
            raise BusyError('the key is not held', DOWN_RETRY_MS) from None

    async def _admit(self, req: RelayedRequest) -> Ticket:
        now = self.clock.now()
        ticket = Ticket(
            next(self._numbers),
            req.route,
            req.priority,
            now,
            req.aim_at,
            req.deadline,
        )
        refused = self.queue.offer(ticket, now)
        if refused is None:
            refused = await self._await_start(ticket)
        if refused is not None:
            raise BusyError(f'queue: {refused.reason}', refused.retry_ms)
        return ticket

    async def _await_start(self, ticket: Ticket) -> QueueRefusal | None:
        fut = asyncio.get_running_loop().create_future()
        self._starts[ticket.number] = fut
        self._offered.set()
        self._pump()
        try:
            found: QueueRefusal | None = await fut
        except asyncio.CancelledError:
            self.queue.remove(ticket.number)
            self._pump()
            raise
        finally:
            self._starts.pop(ticket.number, None)
        return found

    def _pump(self) -> None:
        now = self.clock.now()
        ticket = self.queue.next(now)
        while ticket is not None:
            self._resolve(ticket.number, None)
            ticket = self.queue.next(now)

    def _resolve(self, number: int, refused: QueueRefusal | None) -> None:
        fut = self._starts.get(number)
        if fut is None or fut.done():
            self.queue.remove(number)
            return
        fut.set_result(refused)

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
                # The caller is gone; the booking may end at its target.
                started.add_done_callback(_consume)
            else:
                started.cancel()
            raise
        took = self.clock.now() - now
        self.queue.record_run_time(ticket.kind, took)
        if now + took > req.aim_at and self.may_log():
            self._log_late(req, ticket, took)
        checked = self._checked(req, answer)
        if self.poison.clear_strikes(req.fingerprint):
            self.log.info('acquitted', request=req.request)
            self.on_acquit(req.fingerprint)
        return checked

    def _log_stopped(
        self, req: RelayedRequest, ticket: Ticket, *, goes_on: bool
    ) -> None:
        """Log that the caller of a run has gone."""
        self._runs.stopped += 1
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
            raise BusyError('no time is left')
        if not self.may_send():
            raise TargetDownError('the target has gone', DOWN_RETRY_MS)
        machine = self.machine_of(req.service)
        if req.key == NO_KEY or machine is None or machine.table is None:
            return
        if not machine.may_send(req.key, now):
            # Looked for anew: its next owner, or this one, may be in time.
            owner = machine.table.row_at(req.key).owner
            raise MovedError('the key is not held any more', owner)

    async def _send(
        self, req: RelayedRequest, now: int, on_sent: Callable[[], None]
    ) -> ClientAnswer:
        pool, life = self.pool, self.life()
        if pool is None or life is None:
            raise TargetDownError('no target', DOWN_RETRY_MS)
        left = req.deadline - now
        request = self._request_bytes(req, left, life)
        answer_matches = partial(
            _has_id, self.names.request_id.lower(), req.request.encode()
        )
        try:
            return await pool.ask(request, left, answer_matches, on_sent)
        except LinkError as exc:
            raise self._link_error(req, exc) from exc
        except TimeoutError as exc:
            raise UncertainError('no answer of the target in time') from exc

    def _link_error(self, req: RelayedRequest, exc: LinkError) -> RequestError:
        if not exc.sent:
            self.suspect()
            return TargetDownError(str(exc), DOWN_RETRY_MS)
        self._broken.append((req, self.clock.now()))
        return CrashedError(str(exc))

    def _forget_survived(self, now: int) -> None:
        """Count no request that broke off while the target went on."""
        while self._broken and now - self._broken[0][1] > MAX_REPORT_DELAY_MS:
            self._broken.popleft()

    def _strike_broken(self) -> None:
        """Count the target's end against the requests that it broke off."""
        life = self.life()
        if life is None or not self._broken:
            return
        ended_at = self._broken[-1][1]
        incident = f'{self.node}/{life.target}/{life.born}'
        for req, at in self._broken:
            if ended_at - at > CRASH_SPREAD_MS:
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
        self._broken.clear()

    def suspect(self) -> None:
        """Declare the target dead if its port refuses and it is silent."""
        pool = self.pool
        silent = self.clock.now() - self.reported_at
        if pool is None or self.dead or pool.refused < 2:
            return
        if silent > self._report_ms * DEAD_REPORTS:
            self.dead = True
            self.log.warning('target_dead', silent_ms=silent)
            self._strike_broken()
            self.on_dead()
            self.wake()

    async def watch_target(self) -> None:
        """Look whether a silent target still listens, until cancelled."""
        while True:
            await asyncio.sleep(self._report_ms / MS_PER_SECOND / 2)
            silent = self.clock.now() - self.reported_at
            if self.report is None or self.dead or self.pool is None:
                continue
            if silent > self._report_ms * DEAD_REPORTS:
                await _knock(self.pool)
                self.suspect()

    def _checked(
        self, req: RelayedRequest, answer: ClientAnswer
    ) -> RelayedAnswer:
        names = self.names
        not_run = names.not_run.lower() in answer.fields
        shed = not_run or answer.status == HTTPStatus.MISDIRECTED_REQUEST
        self._success += SHED_SMOOTHING * ((not shed) - self._success)
        if shed:
            raise ShedError(f'target answered {answer.status}', TICK_MS)
        good = answer.status in STATUS_OK
        proved = (
            not names.answer_signature
            or names.answer_signature.lower() in answer.fields
        )
        if good and (not proved or NOT_MINE in answer.fields):
            raise BadAnswerError("the answer is not the target's own")
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

    def life(self) -> TargetLife | None:
        """Return the present life of the target."""
        return None if self.report is None else self.report.keys.life

    def _on_new_life(self, report: TargetReport) -> None:
        self.log.info(
            'target_up',
            target=report.keys.life.target,
            born=report.keys.life.born,
            service=report.service,
            slots=report.slots,
        )
        self._strike_broken()
        if self.pool is not None:
            # What the former life runs may still end; a report may be wrong.
            self.pool.retire()
        self.pool = ClientPool(report.address, self.clock.now)
        self.leaving_since = None
        self._success = 1.0

    def _count_heat(self, req: RelayedRequest, now: int) -> None:
        heat = self._unkeyed_heat if req.key == NO_KEY else self.heat
        heat.add(max(0, req.key), self.queue.service_ms(req.route), now)


async def _knock(pool: ClientPool) -> None:
    """Count a refusal if nothing listens at the target's address."""
    host, _, port = pool.address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_MS / MS_PER_SECOND):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        pool.refused += 1
    except (OSError, TimeoutError):
        # Neither open nor refused says that the target has ended.
        return
    else:
        writer.close()
        pool.refused = 0


def _has_id(name: bytes, request: bytes, fields: dict[bytes, bytes]) -> bool:
    return fields.get(name) == request


def _consume(task: 'asyncio.Task[ClientAnswer]') -> None:
    if not task.cancelled():
        task.exception()
