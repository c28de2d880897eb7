"""Simulation in virtual time of many ingress nodes and targets."""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.traffic import (
    Candidate,
    CostModel,
    Origin,
    Outlook,
    RequestTraits,
    TargetQueue,
    TargetRecord,
    Ticket,
    Transfer,
    WorkLeft,
    choose,
    choose_outlook,
)

__all__ = ['FleetModel', 'Load', 'ModelTarget']

STATUS_MS = 1000  # period in a fleet of 77 nodes
HOP_MS = 3
SHED_PAUSE_MS = 30
TRIES = 3
TICK_MS = 25
OUTSTANDING_MS = 8.0  # of the rule without forecasts
MAX_COMPARED = 12
ZONES = 4  # two in each region


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A kind of request; a share `tail` of the runs takes `times` as long."""

    name: str
    per_s: float
    work_ms: float
    aim_ms: int
    spread: float = 0.8
    tail: float = 0.0
    times: float = 1.0


@dataclasses.dataclass(slots=True)
class ModelTarget:
    """A target; `pace` multiplies its run times, and `refuses` sheds."""

    pace: float = 1.0
    slots: int = 5
    refuses: Callable[[int], bool] = lambda now: False
    pace_at: Callable[[int], float] = lambda now: 1.0
    busy_ms: float = 0.0
    sent: list[int] = dataclasses.field(default_factory=list)
    acceptance: float = 1.0


@dataclasses.dataclass(slots=True)
class _Request:
    load: Load
    ingress: int
    work_ms: float
    at: int
    expected_ms: float = 0.0
    tries: int = 0
    number: int = 0
    target: int = -1


class FleetModel:
    """Requests that enter at many nodes and run at any of the targets.

    Parameters
    ----------
    targets : list of ModelTarget
        The targets.
    ingresses : int
        Number of nodes at which requests enter.
    loads : list of Load
        Kinds of requests.
    seed : int
        Seed of all random choices.
    by_cost : bool
        Whether to use the forecasts of costs.
    """

    def __init__(
        self,
        targets: list[ModelTarget],
        ingresses: int,
        loads: list[Load],
        seed: int,
        *,
        by_cost: bool,
    ) -> None:
        self.targets = targets
        self.in_aim = 0
        self.asked = 0
        self.answered_late = 0
        self.ends: list[tuple[int, bool]] = []
        self._by_cost = by_cost
        self._loads = loads
        # The arrivals are the same for both rules.
        self._load_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._queues = [TargetQueue(target.slots) for target in targets]
        self._costs = [CostModel() for _ in range(ingresses)]
        self._records = [
            [TargetRecord() for _ in targets] for _ in range(ingresses)
        ]
        self._outstanding = [[0 for _ in targets] for _ in range(ingresses)]
        self._status = [(0.0, 0.0, 0.0, 1.0, 0) for _ in targets]
        self._offered = [0.0 for _ in targets]
        self._running: dict[tuple[int, int], _Request] = {}
        self._numbers = itertools.count(1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        if by_cost:
            for queue in self._queues:
                queue.work = WorkLeft(CostModel(), 's')

    def simulate(self, seconds: float) -> None:
        """Let requests arrive for a time, and finish them."""
        end = seconds * 1000
        for load in self._loads:
            at = self._load_rng.expovariate(load.per_s / 1000)
            while at < end:
                self._push(at, self._arrive, self._request(load, at))
                at += self._load_rng.expovariate(load.per_s / 1000)
        for number, _ in enumerate(self.targets):
            phase = STATUS_MS * number // len(self.targets)
            for status_at in range(phase, round(end), STATUS_MS):
                self._push(status_at, self._send_status, number)
        for tick in range(0, round(end) + 3000, TICK_MS):
            self._push(tick, self._tick, None)
        while self._events:
            at, _, act, about = heapq.heappop(self._events)
            act(round(at), about)

    def imbalance(self) -> float:
        """Return the ratio of the busiest to the mean target's busy time."""
        busy = [target.busy_ms / target.slots for target in self.targets]
        return max(busy) * len(busy) / sum(busy)

    def share_in_aim(self) -> float:
        """Return the share of the requests answered within their aim."""
        return self.in_aim / self.asked

    def _push(self, at: float, act: Callable[..., None], about: Any) -> None:
        heapq.heappush(self._events, (at, next(self._order), act, about))

    def _request(self, load: Load, at: float) -> _Request:
        rng = self._load_rng
        mu = math.log(load.work_ms) - load.spread**2 / 2
        work = rng.lognormvariate(mu, load.spread)
        if rng.random() < load.tail:
            work *= load.times
        return _Request(load, rng.randrange(len(self._costs)), work, round(at))

    def _arrive(self, now: int, request: _Request) -> None:
        self.asked += 1
        if self._by_cost:
            request.expected_ms = self._costs[request.ingress].forecast_ms(
                RequestTraits('s', request.load.name)
            )
        self._try(now, request)

    def _try(self, now: int, request: _Request) -> None:
        if request.tries >= TRIES:
            self.ends.append((now, False))
            return
        request.tries += 1
        request.number = next(self._numbers)
        request.target = self._choose(now, request)
        record = self._records[request.ingress][request.target]
        record.begin(request.number, request.expected_ms, now)
        self._outstanding[request.ingress][request.target] += 1
        self._push(now + HOP_MS, self._offer, request)

    def _choose(self, now: int, request: _Request) -> int:
        origin = Origin(*_place(request.ingress))
        compared = list(range(len(self.targets)))
        if len(compared) > 1:
            compared = [one for one in compared if one != request.target]
        if not self._by_cost:
            chosen = choose(
                [self._candidate(now, request, one) for one in compared],
                origin,
                large=False,
            )
            return int(chosen or 0)
        if len(compared) > MAX_COMPARED:
            compared = self._rng.sample(compared, MAX_COMPARED)
        choice = choose_outlook(
            [self._outlook(now, request, one) for one in compared],
            origin,
            request.expected_ms,
            Transfer(),
            self._rng,
        )
        return int(choice.chosen.node)

    def _candidate(self, now: int, request: _Request, one: int) -> Candidate:
        wait_ms, _, _, _, at = self._status[one]
        scaled = wait_ms * max(0, 1 - (now - at) / (2 * STATUS_MS))
        outstanding = self._outstanding[request.ingress][one]
        return Candidate(
            NodeId(f'{one:03}'),
            *_place(one),
            scaled + outstanding * OUTSTANDING_MS,
        )

    def _outlook(self, now: int, request: _Request, one: int) -> Outlook:
        _, work_ms, demand, acceptance, at = self._status[one]
        record = self._records[request.ingress][one]
        return Outlook(
            NodeId(str(one)),
            *_place(one),
            self.targets[one].slots,
            work_ms,
            record.pending_ms,
            record.pace.current(now),
            min(acceptance, record.acceptance(now)),
            demand,
            now - at,
        )

    def _offer(self, now: int, request: _Request) -> None:
        target = self.targets[request.target]
        target.sent.append(now)
        queue = self._queues[request.target]
        aim_at = request.at + request.load.aim_ms
        ticket = Ticket(
            request.number,
            request.load.name,
            0,
            now,
            aim_at,
            aim_at + request.load.aim_ms,
            expected_ms=request.expected_ms,
        )
        self._offered[request.target] += queue.expected_ms(ticket, now)
        if queue.offer(ticket, now) is None:
            self._running[(request.target, request.number)] = request
            self._start(now, request.target)
        else:
            self._leave(request, now)
            self._push(now + HOP_MS, self._try, request)

    def _start(self, now: int, number: int) -> None:
        queue, target = self._queues[number], self.targets[number]
        ticket = queue.start_next(now)
        while ticket is not None:
            request = self._running[(number, ticket.number)]
            shed = target.refuses(now)
            target.acceptance += 0.05 * ((not shed) - target.acceptance)
            if shed:
                queue.remove(ticket.number)
                self._outcome(request, now, accepted=False)
                self._leave(request, now)
                self._push(now + SHED_PAUSE_MS, self._try, request)
            else:
                took = request.work_ms * target.pace * target.pace_at(now)
                target.busy_ms += took
                self._push(now + took, self._end, (ticket, request))
            ticket = queue.start_next(now)

    def _end(self, now: int, about: tuple[Ticket, _Request]) -> None:
        ticket, request = about
        queue = self._queues[request.target]
        queue.remove(ticket.number)
        ran_ms = now - ticket.started_at
        queue.record_run_time(ticket.kind, ran_ms)
        queue.record_run(ticket, ran_ms, now)
        in_aim = now + HOP_MS <= request.at + request.load.aim_ms
        self.in_aim += in_aim
        self.answered_late += not in_aim
        self.ends.append((now, in_aim))
        self._outcome(request, now, accepted=True)
        if self._by_cost:
            self._learn(request, ran_ms, now)
        self._leave(request, now)
        self._start(now, request.target)

    def _learn(self, request: _Request, ran_ms: int, now: int) -> None:
        record = self._records[request.ingress][request.target]
        traits = RequestTraits('s', request.load.name)
        pace = record.pace.current(now)
        record.pace.record(ran_ms, request.expected_ms, now)
        self._costs[request.ingress].record(traits, ran_ms, pace, now)

    def _outcome(self, request: _Request, now: int, *, accepted: bool) -> None:
        record = self._records[request.ingress][request.target]
        record.record_outcome(accepted=accepted, now=now)

    def _leave(self, request: _Request, now: int) -> None:
        self._running.pop((request.target, request.number), None)
        self._records[request.ingress][request.target].end(request.number)
        self._outstanding[request.ingress][request.target] -= 1

    def _tick(self, now: int, _: None) -> None:
        for number, queue in enumerate(self._queues):
            for refusal in queue.refuse_late(now):
                ticket = (number, refusal.ticket.number)
                request = self._running[ticket]
                self._leave(request, now)
                self._push(now + HOP_MS, self._try, request)
            self._start(now, number)

    def _send_status(self, now: int, number: int) -> None:
        queue = self._queues[number]
        demand = self._offered[number] / STATUS_MS
        self._offered[number] = 0.0
        self._status[number] = (
            queue.backlog_ms(now),
            queue.work_ms(now),
            demand,
            self.targets[number].acceptance,
            now,
        )
        for records in self._records:
            records[number].on_status(now)


def _place(number: int) -> tuple[Zone, Region]:
    zone = number % ZONES
    return Zone(str(zone)), Region(str(zone // 2))
