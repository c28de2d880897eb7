"""Simulation of one target and its queue in virtual time."""

import dataclasses
import heapq
import itertools
import math
import random
from collections import Counter

from savoryhold.traffic import (
    Capacity,
    ColdStartLimiter,
    TargetQueue,
    Ticket,
)

__all__ = ['Kind', 'Outcome', 'TargetModel']

TICK_MS = 25
MAX_BRIEF_WAIT = 1 / 8  # of the aim, before a refusal counts as late


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; times in ms, arrivals per second.

    ``worth`` is the benefit of an answer within the aim, and ``spread`` the
    sigma of the log-normal run time.
    """

    name: str
    per_s: float
    work_ms: float
    aim_ms: int
    deadline_ms: int
    priority: int
    worth: float = 1.0
    spread: float = 0.5


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of the requests of one kind, by outcome.

    ``refused_late`` counts refusals after more than a brief wait.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    refused_late: int = 0
    took_ms: list[int] = dataclasses.field(default_factory=list)

    @property
    def answered(self) -> int:
        """Return the number of answered requests."""
        return self.in_aim + self.late

    def percentile_ms(self, share: float) -> int:
        """Return a percentile of the time to the answer."""
        ordered = sorted(self.took_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class TargetModel:
    """Drives a `TargetQueue` as an owner node does.

    Parameters
    ----------
    slots : int
        Number of requests that the target runs concurrently.
    kinds : list of Kind
        Kinds of requests that arrive.
    seed : int
        Seed of arrival and run times.
    limiter : ColdStartLimiter, optional
        Limits the starts while the target is cold.
    """

    def __init__(
        self,
        slots: int,
        kinds: list[Kind],
        seed: int,
        limiter: ColdStartLimiter | None = None,
    ) -> None:
        self.queue = TargetQueue(slots)
        self.queue.capacity = self._capacity
        self.limiter = limiter or ColdStartLimiter()
        self.now = 0
        self.started_at: list[int] = []
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self._kinds = {kind.name: kind for kind in kinds}
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, str, Ticket | None]] = []
        self._order = itertools.count()
        self._arrived: Counter[int] = Counter()

    def simulate(self, seconds: float) -> None:
        """Let requests arrive for a time, then finish the admitted ones."""
        for kind in self._kinds.values():
            at = self._rng.expovariate(kind.per_s / 1000)
            while at < seconds * 1000:
                self._push(at, kind.name, None)
                at += self._rng.expovariate(kind.per_s / 1000)
        for tick in range(0, int(seconds * 1000) + 5000, TICK_MS):
            self._push(tick, '', None)
        while self._events:
            at, _, name, ticket = heapq.heappop(self._events)
            self._on_event(round(at), name, ticket)

    def worth(self) -> float:
        """Return the total worth of the answers within their aim."""
        return sum(
            self._kinds[name].worth * outcome.in_aim
            for name, outcome in self.outcomes.items()
        )

    def _capacity(self) -> Capacity:
        return Capacity(
            start_ms=self.limiter.next_start_ms(self.now),
            gap_ms=self.limiter.gap_ms(self.now),
        )

    def _start_next(self) -> Ticket | None:
        started = self.queue.start_next(self.now)
        if started is not None:
            self.limiter.start(self.now)
            self.limiter.record_sent(self.now)
            self.started_at.append(self.now)
        return started

    def _push(self, at: float, name: str, ticket: Ticket | None) -> None:
        heapq.heappush(self._events, (at, next(self._order), name, ticket))

    def _on_event(self, now: int, name: str, ticket: Ticket | None) -> None:
        self.now = now
        if ticket is not None:
            self._on_end(ticket, now)
        elif name:
            self._on_arrival(self._kinds[name], now)
        for refusal in self.queue.refuse_late(now):
            outcome = self.outcomes[refusal.ticket.kind]
            outcome.refused += 1
            aim_ms = self._kinds[refusal.ticket.kind].aim_ms
            if now - refusal.ticket.arrived_at > aim_ms * MAX_BRIEF_WAIT:
                outcome.refused_late += 1
        started = self._start_next()
        while started is not None:
            took = self._run_ms(self._kinds[started.kind])
            self._push(now + took, started.kind, started)
            started = self._start_next()

    def _on_arrival(self, kind: Kind, now: int) -> None:
        outcome = self.outcomes[kind.name]
        outcome.asked += 1
        ticket = Ticket(
            next(self._numbers),
            kind.name,
            kind.priority,
            now,
            now + kind.aim_ms,
            now + kind.deadline_ms,
        )
        if self.queue.offer(ticket, now) is not None:
            outcome.refused += 1

    def _on_end(self, ticket: Ticket, now: int) -> None:
        outcome = self.outcomes[ticket.kind]
        self.queue.remove(ticket.number)
        self.queue.record_run_time(ticket.kind, now - ticket.started_at)
        outcome.took_ms.append(now - ticket.arrived_at)
        if now <= ticket.aim_at:
            outcome.in_aim += 1
        else:
            outcome.late += 1

    def _run_ms(self, kind: Kind) -> float:
        # Log-normal with the given mean.
        mu = math.log(kind.work_ms) - kind.spread**2 / 2
        return self._rng.lognormvariate(mu, kind.spread)
