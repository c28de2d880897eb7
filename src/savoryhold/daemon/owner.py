"""Requests at their owner: ledger, admission and the call of the target."""

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
from savoryhold.daemon.streams import TrackedStream
from savoryhold.settings import LimitSettings
from savoryhold.target import TargetClient, TargetGoneError, TargetTracker

__all__ = ['OwnerTask']

MS_PER_SECOND = 1000
IDLE_POLL_MS = 50
LEASE_LAPSED = 'the lease lapsed while the request was running'

Replicate = Callable[[ShardKey, RequestId, int], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class RunningCall:
    """A request that waits for admission or runs at the target."""

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
        Decides which shards may be served.
    configs : ConfigTable
        Configured services.
    tracker : TargetTracker
        State of the target.
    clock : Clock
        Source of time.
    limits : LimitSettings
        Bounds from the settings.
    replicate : callable
        Stores a request id at the standbys; raises if they don't confirm.
    """

    def __init__(
        self,
        machine: OwnershipMachine,
        configs: ConfigTable,
        tracker: TargetTracker,
        clock: Clock,
        limits: LimitSettings,
        replicate: Replicate,
    ) -> None:
        self.machine = machine
        self.tracker = tracker
        self.poison = PoisonGuard()
        self.ledger = Ledger(
            LedgerLimits(limits.ledger_count, age_ms=limits.ledger_age_ms)
        )
        self.on_idle: Callable[[ShardKey], None] = lambda key: None
        self.on_target_gone: Callable[[list[Strike]], None] = lambda lost: None
        self.accepting = True
        self.served_counts: Counter[ShardKey] = Counter()
        self.ingress_counts: dict[ShardKey, Counter[Region]] = {}
        self._configs = configs
        self._clock = clock
        self._limits = limits
        self._replicate = replicate
        self._client: TargetClient | None = None
        self._slots = SlotTask(clock)
        self._calls: dict[int, RunningCall] = {}
        self._active: Counter[ShardKey] = Counter()
        self._shared_runs: dict[
            tuple[ShardKey, RequestId], asyncio.Task[RoutedAnswer]
        ] = {}
        self._numbers = itertools.count(1)
        self._classifier = RouteClassifier()

    @property
    def running(self) -> int:
        """Return how many requests wait or run here."""
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
            If the request failed; its verdict says whether it may have run.
        """
        if req.idempotent:
            self._check_acceptance(req)
            return await self._run(req)
        if not self._is_outcome_known(req):
            self._check_acceptance(req)
        return await self._run_once(req)

    def restart_target(self) -> None:
        """Limit concurrency as for a target that has just started."""
        self._slots.restart()

    def drain(self, key: ShardKey) -> None:
        """Refuse waiting requests of a shard that is being handed over.

        Notes
        -----
        ``on_idle`` is called once no request of the shard runs.
        """
        for number, call in list(self._calls.items()):
            if call.req.shard == key:
                self._slots.refuse(
                    number, NotOwnerError('the shard is being handed over')
                )
        if not self._active[key]:
            self.on_idle(key)

    def tick(self) -> None:
        """Expire waiting requests; cancel runs whose lease has lapsed."""
        now = self._clock.now()
        self._slots.expire()
        for call in list(self._calls.values()):
            shard = call.req.shard
            if shard is None or not call.sent:
                continue
            if not self.machine.may_send(shard, now):
                _cancel(call)

    async def wait_idle(self, limit_ms: int) -> bool:
        """Wait until no request waits or runs; return whether none does."""
        until = self._clock.now() + limit_ms
        while self._calls and self._clock.now() < until:
            await asyncio.sleep(IDLE_POLL_MS / MS_PER_SECOND)
        return not self._calls

    async def close(self) -> None:
        """Cancel all requests and close the target's connections."""
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
            raise OverloadError(
                'the request is quarantined: targets crashed while running it'
            )

    def _is_outcome_known(self, req: RoutedRequest) -> bool:
        """Return whether the ledger can answer a repeated request.

        Notes
        -----
        A request that runs or has run here is answered from the ledger even
        if this node no longer accepts new ones.  An outcome that is unknown
        here may be known to a new owner of the shard.
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
            return await self._join_run(key, req)
        return _replay(entry)

    async def _run_new(self, key: ShardKey, req: RoutedRequest) -> RoutedAnswer:
        listed = req.shard is None or self.machine.holder.is_listed(key)
        if not listed:
            self.ledger.forget(key, req.request)
            raise NotOwnerError(f'the record does not list shard {key} yet')
        task = asyncio.create_task(self._record_run(key, req))
        run_id = (key, req.request)
        self._shared_runs[run_id] = task
        task.add_done_callback(
            lambda done: self._remove_shared_run(run_id, done)
        )
        return await self._await_run(task, req)

    def _remove_shared_run(
        self,
        run_id: tuple[ShardKey, RequestId],
        task: asyncio.Task[RoutedAnswer],
    ) -> None:
        self._shared_runs.pop(run_id, None)
        if not task.cancelled():
            # If nobody waits for the task any more, asyncio would log its
            # exception as never retrieved.
            task.exception()

    async def _join_run(
        self, key: ShardKey, req: RoutedRequest
    ) -> RoutedAnswer:
        task = self._shared_runs.get((key, req.request))
        if task is None:
            raise UncertainError('the request is still running')
        answer = await self._await_run(task, req)
        entry = self.ledger.begin(key, req.request, self._clock.now())
        if answer.rest is None:
            return answer
        return _replay(entry)

    async def _await_run(
        self, task: asyncio.Task[RoutedAnswer], req: RoutedRequest
    ) -> RoutedAnswer:
        left_ms = req.deadline - self._clock.now()
        done, _ = await asyncio.wait(
            {task}, timeout=max(left_ms, 0) / MS_PER_SECOND
        )
        if not done:
            raise UncertainError('no answer within the deadline')
        if task.cancelled():
            raise UncertainError('the request was cancelled while running')
        return task.result()

    async def _record_run(
        self, key: ShardKey, req: RoutedRequest
    ) -> RoutedAnswer:
        try:
            answer = await self._run(req)
        except RequestError as exc:
            self._record_error(key, req, exc)
            raise
        except asyncio.CancelledError:
            self.ledger.record_uncertain(key, req.request, self._clock.now())
            raise
        now = self._clock.now()
        if answer.rest is None:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            self.ledger.finish(key, req.request, stored, now)
        else:
            self.ledger.record_uncertain(key, req.request, now)
        return answer

    def _record_error(
        self, key: ShardKey, req: RoutedRequest, exc: RequestError
    ) -> None:
        if isinstance(exc, UncertainError):
            self.ledger.record_uncertain(key, req.request, self._clock.now())
        else:
            self.ledger.forget(key, req.request)

    async def _run(self, req: RoutedRequest) -> RoutedAnswer:
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
                raise UncertainError(LEASE_LAPSED) from None
            raise
        except BaseException:
            self._release(call)
            raise
        if answer.rest is None:
            self._release(call)
        else:
            answer.rest = TrackedStream(
                answer.rest, lambda: self._release(call)
            )
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
            # The daemon that received the request has a newer configuration.
            raise NotOwnerError(f'{req.service!r} is not configured here')
        route = compiled.route_policy(req.method, req.path.partition('?')[0])
        kind = self._classifier.resolve(route.label, req.service_class)
        now = self._clock.now()
        ticket = Ticket(call.number, req.key, kind, req.deadline, now)
        self._configure_slots(req.service)
        await self._slots.admit(req.service, ticket)
        call.ticket = ticket
        call.started_at = self._clock.now()
        answer = await self._call_target(call)
        call.answered = True
        took_ms = self._clock.now() - call.started_at
        self._classifier.observe(route.label, took_ms)
        self._count_served(req)
        return answer

    def _count_served(self, req: RoutedRequest) -> None:
        if req.shard is not None:
            self.served_counts[req.shard] += 1
            entered = self.ingress_counts.setdefault(req.shard, Counter())
            entered[req.region] += 1

    async def _call_target(self, call: RunningCall) -> RoutedAnswer:
        req = call.req
        announced = self.tracker.announced
        if announced is None:
            raise NotOwnerError('the target is not running')
        if not req.idempotent and req.shard is not None:
            left_ms = req.deadline - self._clock.now()
            await self._replicate(req.shard, req.request, left_ms)
        try:
            return await self._call_with_timeout(call, announced.address)
        except TargetGoneError:
            self.report_target_gone()
            raise
        except UncertainError:
            if await self._target().refuses_connections(announced.address):
                self.report_target_gone()
            raise

    def report_target_gone(self) -> None:
        """Mark the target as gone and strike the requests running there."""
        if not self.tracker.mark_gone():
            return
        incident = f'{self.machine.node}-{self.tracker.incidents}'
        strikes = [
            Strike(call.req.fingerprint, incident)
            for call in self._calls.values()
            if call.sent
        ]
        self.on_target_gone(strikes)

    async def _call_with_timeout(
        self, call: RunningCall, address: str
    ) -> RoutedAnswer:
        req = call.req
        left_ms = req.deadline - self._clock.now()
        if left_ms <= 0:
            raise DeadlineError(
                'the deadline passed before the request was sent to the target'
            )
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


def _replay(entry: LedgerEntry) -> RoutedAnswer:
    if entry.answer is not None:
        stored = entry.answer
        return RoutedAnswer(stored.status, stored.headers, stored.body)
    if entry.state is LedgerState.FULL:
        raise OverloadError('the request ledger is full', REFUSED_RETRY_MS)
    raise UncertainError('an earlier attempt of this request may have run')
