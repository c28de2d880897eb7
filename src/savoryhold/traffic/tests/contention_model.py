"""Simulation of callers that compete for one target, in virtual time."""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from functools import partial

from savoryhold.core.poison import Fingerprint
from savoryhold.traffic import (
    DUPLICATE_PENALTY,
    Arrival,
    EntryControl,
    QueueRefusal,
    ReturnTracker,
    Standing,
    TargetQueue,
    Ticket,
)
from savoryhold.traffic.tests.model import MAX_BRIEF_WAIT, TICK_MS, Kind

__all__ = ['Contention', 'Crowd']

REPEAT_MS = 20  # pause of callers that repeat at once
MAX_REPEATS = 10
END_MS = 5000  # after the last arrival


@dataclasses.dataclass(slots=True)
class Crowd:
    """Callers of one kind at one ingress, and what became of them.

    ``during`` is when they come, in seconds; `served` counts answers within
    the latency objective, `lost_twice` callers refused more than once, and
    `refused_late` refusals that came after an eighth of the objective.
    """

    kind: Kind
    origin: str = 'n1'
    zone: str = 'z1'
    during: tuple[float, float] = (0, 20)
    nested: bool = False
    repeats: bool = False
    asked: int = 0
    served: int = 0
    lost_twice: int = 0
    refused_late: int = 0

    @property
    def share(self) -> float:
        """Return the share served within the latency objective."""
        return self.served / max(1, self.asked)


@dataclasses.dataclass(slots=True)
class _Caller:
    crowd: Crowd
    fingerprint: Fingerprint
    deadline: int
    refusals: int = 0


class Contention:
    """Callers, their ingress nodes, and the queue of one target.

    Parameters
    ----------
    slots : int
        Number of requests that the target runs at once.
    crowds : list of Crowd
        The callers.
    seed : int
        Seed of arrival and run times.
    fair : bool
        Whether the rules of fair admission are in force.
    """

    def __init__(
        self, slots: int, crowds: list[Crowd], seed: int, *, fair: bool
    ) -> None:
        self.queue = TargetQueue(slots)
        self.fair = fair
        zones = {crowd.origin: crowd.zone for crowd in crowds}
        self.queue.shares.zone_of = zones.__getitem__
        self.crowds = crowds
        self.trackers = {crowd.origin: ReturnTracker() for crowd in crowds}
        self.entries = {
            crowd.origin: EntryControl(random.Random(seed)) for crowd in crowds
        }
        self.relayed_count = 0
        self.at_ms: dict[int, Callable[[int], None]] = {}  # faults
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._callers: dict[int, _Caller] = {}

    def run(self) -> 'Contention':
        """Simulate until all callers are answered, and return this model."""
        for crowd in self.crowds:
            at, end = (1000 * second for second in crowd.during)
            while at < end:
                self._push(at, partial(self._come, crowd))
                at += self._rng.expovariate(crowd.kind.per_s / 1000)
        last = max(crowd.during[1] for crowd in self.crowds) * 1000 + END_MS
        for tick in range(0, int(last), TICK_MS):
            self._push(tick, _pass)
        for at, fault in self.at_ms.items():
            self._push(at, fault)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)
            self._settle(now)
        return self

    def _push(self, at: float, event: Callable[[int], None]) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (round(at), number, event))

    def _come(self, crowd: Crowd, now: int) -> None:
        crowd.asked += 1
        number = Fingerprint(next(self._numbers))
        self._ask(_Caller(crowd, number, now + crowd.kind.deadline_ms), now)

    def _ask(self, caller: _Caller, now: int) -> None:
        crowd, kind = caller.crowd, caller.crowd.kind
        standing = Standing.NEW
        tracker = self.trackers[crowd.origin]
        if self.fair and not crowd.nested:
            standing = tracker.begin(caller.fingerprint, now)
            if standing is Standing.EARLY:
                wait = tracker.wait_left_ms(caller.fingerprint, now)
                self._refused(caller, wait, now)
                return
        ticket = Ticket(
            next(self._numbers),
            kind.name,
            kind.priority
            + DUPLICATE_PENALTY * (standing is Standing.DUPLICATE),
            now,
            now + kind.aim_ms,
            caller.deadline,
            nested=crowd.nested and self.fair,
            returning=standing is Standing.RETURNING,
            origin=crowd.origin if self.fair else '',
        )
        self._callers[ticket.number] = caller
        if self.fair and not crowd.nested:
            arrival = Arrival(
                '', _level(ticket), kind.aim_ms, caller.deadline - now
            )
            shed = self.entries[crowd.origin].enter(arrival, now)
            if shed is not None:
                self._ingress_refused(ticket, shed.retry_ms, now)
                return
        self.relayed_count += 1
        refusal = self.queue.offer(ticket, now)
        if refusal is not None:
            self._owner_refused(refusal, now)

    def _owner_refused(self, refusal: QueueRefusal, now: int) -> None:
        ticket = refusal.ticket
        crowd = self._callers[ticket.number].crowd
        if self.fair and not crowd.nested:
            self.entries[crowd.origin].record_refusal(
                '', _level(ticket), now, refusal.room_ms
            )
        self._ingress_refused(ticket, refusal.retry_ms, now)

    def _room_ms(self, ticket: Ticket, now: int) -> float:
        return self.queue.room_ms(
            ticket.priority, now, returning=ticket.returning
        )

    def _ingress_refused(self, ticket: Ticket, retry_ms: int, now: int) -> None:
        caller = self._callers.pop(ticket.number)
        waited = now - ticket.arrived_at
        if waited > MAX_BRIEF_WAIT * caller.crowd.kind.aim_ms:
            caller.crowd.refused_late += 1
        if self.fair and not caller.crowd.nested:
            tracker = self.trackers[caller.crowd.origin]
            tracker.end(caller.fingerprint)
            tracker.record_refusal(caller.fingerprint, now, retry_ms)
        self._refused(caller, retry_ms, now)

    def _refused(self, caller: _Caller, retry_ms: int, now: int) -> None:
        caller.refusals += 1
        caller.crowd.lost_twice += caller.refusals == 2
        if caller.crowd.nested:
            return
        if caller.crowd.repeats:
            if caller.refusals < MAX_REPEATS:
                self._push(now + REPEAT_MS, partial(self._ask, caller))
        elif caller.refusals == 1 and retry_ms <= (caller.deadline - now) / 3:
            self._push(now + retry_ms, partial(self._ask, caller))

    def _settle(self, now: int) -> None:
        for refusal in self.queue.refuse_late(now):
            self._owner_refused(refusal, now)
        started = self.queue.start_next(now)
        while started is not None:
            kind = self._callers[started.number].crowd.kind
            mu = math.log(kind.work_ms) - kind.spread**2 / 2
            took = self._rng.lognormvariate(mu, kind.spread)
            self._push(now + took, partial(self._end, started))
            started = self.queue.start_next(now)

    def _end(self, ticket: Ticket, now: int) -> None:
        caller = self._callers.pop(ticket.number)
        self.queue.remove(ticket.number)
        self.queue.record_run_time(ticket.kind, now - ticket.started_at)
        caller.crowd.served += now <= ticket.aim_at
        if self.fair and not caller.crowd.nested:
            self.trackers[caller.crowd.origin].end(caller.fingerprint)
            self.entries[caller.crowd.origin].record_answer(
                '', _level(ticket), now, self._room_ms(ticket, now)
            )


def _level(ticket: Ticket) -> tuple[int, bool]:
    return ticket.priority, not ticket.returning


def _pass(now: int) -> None:
    """Only let the queue settle."""
