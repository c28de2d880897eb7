"""The owner's side of a request: ledger, admission and the target call."""

import asyncio
import dataclasses
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from savoryhold.core.admission import AdmissionLimits, Ticket
from savoryhold.core.classify import RouteClassifier
from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    DeadlineError,
    NotOwnerError,
    OverloadError,
    RequestError,
    UncertainError,
)
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.core.ids import (
    Region,
    RequestId,
    ServiceName,
    ShardId,
    ShardKey,
)
from savoryhold.core.ledger import (
    StoredAnswer,
    Ledger,
    LedgerEntry,
    LedgerLimits,
    LedgerState,
)
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.core.poison import PoisonGuard, Strike
from savoryhold.core.services import ConfigTable
from savoryhold.daemon.slots import REFUSED_RETRY_MS, SlotTask
from savoryhold.daemon.streams import HeldStream
from savoryhold.settings import LimitSettings
from savoryhold.target import TargetClient, TargetGoneError, TargetTracker

__all__ = ['OwnerTask']

MS_PER_SECOND = 1000
LINGER_MS = 50
LAPSED = 'the lease lapsed while running'

Backup = Callable[[ShardKey, RequestId, int], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class RunningCall:
    """A request that has been admitted or waits for admission."""

    number: int
    req: RoutedRequest
    started_at: int
    task: asyncio.Task[Any] | None = None
    ticket: Ticket | None = None
    sent: bool = False
    answered: bool = False
    lapsed: bool = False


class OwnerTask:
    """Runs requests at the local target.

    Parameters
    ----------
    machine : OwnershipMachine
        Says which shards may be served.
    configs : ConfigTable
        Services in force.
    tracker : TargetTracker
        State of the target.
    clock : Clock
        Source of time.
    limits : LimitSettings
        Bounds from the settings.
    backup : callable
        Awaited to have a request's id kept by the standby.
    """

    def __init__(
        self,
        machine: OwnershipMachine,
        configs: ConfigTable,
        tracker: TargetTracker,
        clock: Clock,
        limits: LimitSettings,
        backup: Backup,
    ) -> None:
        self.machine = machine
        self.tracker = tracker
        self.poison = PoisonGuard()
        self.ledger = Ledger(
            LedgerLimits(limits.ledger_count, age_ms=limits.ledger_age_ms)
        )
        self.on_idle: Callable[[ShardKey], None] = lambda key: None
        self.on_target_gone: Callable[[list[Strike]], None] = lambda hit: None
        self.accepting = True
        self.served: Counter[ShardKey] = Counter()
        self.entered: dict[ShardKey, Counter[Region]] = {}
        self._configs = configs
        self._clock = clock
        self._limits = limits
        self._backup = backup
        self._client: TargetClient | None = None
        self._slots = SlotTask(clock)
        self._calls: dict[int, RunningCall] = {}
        self._active: Counter[ShardKey] = Counter()
        self._shared: dict[
            tuple[ShardKey, RequestId], asyncio.Task[RoutedAnswer]
        ] = {}
        self._numbers = itertools.count(1)
        self._classifier = RouteClassifier()

    @property
    def running(self) -> int:
        """Return how many requests are in progress."""
        return len(self._calls)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return self._slots.waiting

    async def handle(self, req: RoutedRequest) -> RoutedAnswer:
        """Run a request at the target, or answer it from the ledger.

        Raises
        ------
        RequestError
            With the verdict that is known.
        """
        if req.idempotent:
            self._check_acceptance(req)
            return await self._start(req)
        if not self._is_known(req):
            self._check_acceptance(req)
        return await self._run_once(req)

    def restart_target(self) -> None:
        """Ramp up again, since the target has started anew."""
        self._slots.restart()

    def drain(self, key: ShardKey) -> None:
        """Refuse what waits of a shard; report when nothing runs."""
        for number, call in list(self._calls.items()):
            if call.req.shard == key:
                self._slots.refuse(number, NotOwnerError('shard is moving'))
        if not self._active[key]:
            self.on_idle(key)

    def tick(self) -> None:
        """Refuse late requests; cancel work whose lease has lapsed."""
        now = self._clock.now()
        self._slots.expire()
        for call in list(self._calls.values()):
            shard = call.req.shard
            if shard is None or not call.sent:
                continue
            if not self.machine.may_send(shard, now):
                _cancel(call)

    async def wait_idle(self, limit_ms: int) -> bool:
        """Wait until no request is in progress; return whether it came."""
        until = self._clock.now() + limit_ms
        while self._calls and self._clock.now() < until:
            await asyncio.sleep(LINGER_MS / MS_PER_SECOND)
        return not self._calls

    async def close(self) -> None:
        """Cancel what runs and close the target's connections."""
        for call in list(self._calls.values()):
            _cancel(call)
        if self._client is not None:
            await self._client.close()

    def _check_acceptance(self, req: RoutedRequest) -> None:
        now = self._clock.now()
        if req.service not in self.tracker.services:
            raise NotOwnerError(f'no ready target for {req.service!r} here')
        if not self.accepting and req.shard is None:
            raise NotOwnerError('this node is leaving')
        if req.shard and not self.machine.may_admit(req.shard, now):
            raise NotOwnerError(f'shard {req.shard} is not served here')
        if self.poison.is_quarantined(req.fingerprint, now):
            raise OverloadError('the request crashed targets; quarantined')

    def _is_known(self, req: RoutedRequest) -> bool:
        """Return whether only this node can tell what became of an id.

        Notes
        -----
        What runs or has run here is answered whatever has changed since.
        An outcome that is not known here may be known to a new owner.
        """
        now = self._clock.now()
        entry = self.ledger.find(_ledger_key(req), req.request, now)
        if entry is None:
            return False
        return req.shard is None or entry.state is not LedgerState.UNKNOWN

    async def _run_once(self, req: RoutedRequest) -> RoutedAnswer:
        key = _ledger_key(req)
        entry = self.ledger.begin(key, req.request, self._clock.now())
        if entry.state is LedgerState.NEW:
            return await self._run_new(key, req)
        if entry.state is LedgerState.RUNNING:
            return await self._join(key, req)
        return _from_ledger(entry)

    async def _run_new(self, key: ShardKey, req: RoutedRequest) -> RoutedAnswer:
        listed = req.shard is None or self.machine.holder.is_listed(key)
        if not listed:
            self.ledger.forget(key, req.request)
            raise NotOwnerError(f'shard {key} is not listed yet')
        task = asyncio.create_task(self._record_run(key, req))
        slot = (key, req.request)
        self._shared[slot] = task
        task.add_done_callback(lambda done: self._unshare(slot, done))
        return await self._await_shared(task, req)

    def _unshare(
        self,
        slot: tuple[ShardKey, RequestId],
        task: asyncio.Task[RoutedAnswer],
    ) -> None:
        self._shared.pop(slot, None)
        if not task.cancelled():
            # Read here, since nobody may be waiting for it any more.
            task.exception()

    async def _join(self, key: ShardKey, req: RoutedRequest) -> RoutedAnswer:
        task = self._shared.get((key, req.request))
        if task is None:
            raise UncertainError('the request is still running')
        answer = await self._await_shared(task, req)
        entry = self.ledger.begin(key, req.request, self._clock.now())
        if answer.rest is None:
            return answer
        return _from_ledger(entry)

    async def _await_shared(
        self, task: asyncio.Task[RoutedAnswer], req: RoutedRequest
    ) -> RoutedAnswer:
        left_ms = req.deadline - self._clock.now()
        done, _ = await asyncio.wait(
            {task}, timeout=max(left_ms, 0) / MS_PER_SECOND
        )
        if not done:
            raise UncertainError('no answer within the deadline')
        if task.cancelled():
            raise UncertainError('cancelled while running')
        return task.result()

    async def _record_run(
        self, key: ShardKey, req: RoutedRequest
    ) -> RoutedAnswer:
        try:
            answer = await self._start(req)
        except RequestError as exc:
            self._record_error(key, req, exc)
            raise
        except asyncio.CancelledError:
            self.ledger.uncertain(key, req.request, self._clock.now())
            raise
        now = self._clock.now()
        if answer.rest is None:
            kept = StoredAnswer(answer.status, answer.headers, answer.body)
            self.ledger.finish(key, req.request, kept, now)
        else:
            self.ledger.uncertain(key, req.request, now)
        return answer

    def _record_error(
        self, key: ShardKey, req: RoutedRequest, exc: RequestError
    ) -> None:
        if isinstance(exc, UncertainError):
            self.ledger.uncertain(key, req.request, self._clock.now())
        else:
            self.ledger.forget(key, req.request)

    async def _start(self, req: RoutedRequest) -> RoutedAnswer:
        number = next(self._numbers)
        call = RunningCall(number, req, self._clock.now())
        self._calls[number] = call
        if req.shard is not None:
            self._active[req.shard] += 1
        call.task = asyncio.current_task()
        try:
            answer = await self._admit_and_call(call)
        except asyncio.CancelledError:
            self._release(call)
            if call.lapsed and call.task is not None:
                call.task.uncancel()
                raise UncertainError(LAPSED) from None
            raise
        except BaseException:
            self._release(call)
            raise
        if answer.rest is None:
            self._release(call)
        else:
            answer.rest = HeldStream(answer.rest, lambda: self._release(call))
        call.task = None
        return answer

    def _release(self, call: RunningCall) -> None:
        now = self._clock.now()
        if call.ticket is not None:
            took_ms = now - call.started_at if call.answered else None
            self._slots.finish(call.req.service, call.ticket, took_ms=took_ms)
        self._calls.pop(call.number, None)
        shard = call.req.shard
        if shard is None:
            return
        self._active[shard] -= 1
        if not self._active[shard]:
            self._active.pop(shard)
            self.on_idle(shard)

    async def _admit_and_call(self, call: RunningCall) -> RoutedAnswer:
        req = call.req
        compiled = self._configs.find(req.service)
        if compiled is None:
            # The daemon that took the request has another version in force.
            raise NotOwnerError(f'{req.service!r} is not configured here')
        route = compiled.route_policy(req.method, req.path.partition('?')[0])
        kind = self._classifier.resolve(route.label, req.service_class)
        now = self._clock.now()
        ticket = Ticket(call.number, req.key, kind, req.deadline, now)
        self._configure_slots(req.service)
        await self._slots.admit(req.service, ticket)
        call.ticket = ticket
        call.started_at = self._clock.now()
        answer = await self._call(call)
        call.answered = True
        took_ms = self._clock.now() - call.started_at
        self._classifier.observe(route.label, took_ms)
        self._count(req)
        return answer

    def _count(self, req: RoutedRequest) -> None:
        if req.shard is not None:
            self.served[req.shard] += 1
            entered = self.entered.setdefault(req.shard, Counter())
            entered[req.region] += 1

    async def _call(self, call: RunningCall) -> RoutedAnswer:
        req = call.req
        announced = self.tracker.announced
        if announced is None:
            raise NotOwnerError('the target is gone')
        if not req.idempotent and req.shard is not None:
            left_ms = req.deadline - self._clock.now()
            await self._backup(req.shard, req.request, left_ms)
        try:
            return await self._bounded_call(call, announced.address)
        except TargetGoneError:
            self.report_gone()
            raise
        except UncertainError:
            if await self._target().refuses(announced.address):
                self.report_gone()
            raise

    def report_gone(self) -> None:
        """Note that the target refuses; strike what was running there."""
        if not self.tracker.gone():
            return
        incident = f'{self.machine.node}-{self.tracker.incidents}'
        strikes = [
            Strike(call.req.fingerprint, incident)
            for call in self._calls.values()
            if call.sent
        ]
        self.on_target_gone(strikes)

    async def _bounded_call(
        self, call: RunningCall, address: str
    ) -> RoutedAnswer:
        req = call.req
        left_ms = req.deadline - self._clock.now()
        if left_ms <= 0:
            raise DeadlineError('deadline passed before sending')
        limit_ms = left_ms if req.idempotent else self._limits.hold_ms
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                return await self._target().call(
                    address,
                    req,
                    self._extra_headers(req, left_ms),
                    lambda: self._may_send(call),
                )
        except TimeoutError:
            await self._target().cancel(address, req.request)
            raise UncertainError('no answer within the deadline') from None
        except asyncio.CancelledError:
            if call.sent:
                await asyncio.shield(
                    self._target().cancel(address, req.request)
                )
            raise

    def _may_send(self, call: RunningCall) -> bool:
        shard = call.req.shard
        now = self._clock.now()
        call.sent = shard is None or self.machine.may_send(shard, now)
        return call.sent

    def _extra_headers(
        self, req: RoutedRequest, left_ms: int
    ) -> dict[str, str]:
        extra = {
            'X-Savoryhold-Request-Id': req.request,
            'X-Savoryhold-Deadline-Ms': str(left_ms),
        }
        if req.shard is not None:
            epoch = self.machine.holder.held.get(req.shard, 0)
            extra['X-Savoryhold-Fence'] = f'{req.shard}={epoch}'
        return extra

    def _target(self) -> TargetClient:
        if self._client is None:
            announced = self.tracker.announced
            self._client = TargetClient(
                announced.connections if announced else 1
            )
        return self._client

    def _configure_slots(self, service: ServiceName) -> None:
        cfg = self._configs.get(service).cfg
        announced = self.tracker.announced
        slots = min(cfg.slots, announced.slots if announced else cfg.slots)
        limits = AdmissionLimits(slots, cfg.long_share, cfg.queue, cfg.policy)
        self._slots.configure(service, limits)


def _cancel(call: RunningCall) -> None:
    if call.task is not None and not call.lapsed:
        call.lapsed = True
        call.task.cancel()


def _ledger_key(req: RoutedRequest) -> ShardKey:
    return req.shard or ShardKey(req.service, ShardId(-1))


def _from_ledger(entry: LedgerEntry) -> RoutedAnswer:
    if entry.answer is not None:
        kept = entry.answer
        return RoutedAnswer(kept.status, kept.headers, kept.body)
    if entry.state is LedgerState.FULL:
        raise OverloadError('the request ledger is full', REFUSED_RETRY_MS)
    raise UncertainError('an earlier try of this request may have run')
