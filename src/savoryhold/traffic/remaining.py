"""Expected work left at the local target, from what runs and what waits."""

from collections.abc import Collection, Iterable
from typing import Protocol

from savoryhold.traffic.cost import CostClass, CostModel, RequestTraits
from savoryhold.traffic.target_record import PaceEstimate

__all__ = ['MAX_EXPECTED_MS', 'RunningTicket', 'WorkLeft']

MIN_LEFT_MS = 1.0
MAX_CLASSES = 64  # kept at hand; the model has the others
MAX_EXPECTED_MS = 600_000.0  # a longer forecast of a peer is an error
STEADY_SAMPLES = 100.0  # longer than episodes, which move no keys


class RunningTicket(Protocol):
    """The part of a ticket that a forecast needs; times in ms."""

    kind: str
    started_at: int
    expected_ms: float


class WorkLeft:
    """Forecast of the run times at one target.

    Parameters
    ----------
    costs : CostModel
        Run times at a target of usual pace.
    service : str
        Service of the target.
    """

    def __init__(self, costs: CostModel, service: str) -> None:
        # Set from what the target reports; 1 if it reports nothing.
        self.reported_pace = 1.0
        self.pace = PaceEstimate()
        self._steady = PaceEstimate(STEADY_SAMPLES)
        self._costs = costs
        self._service = service
        self._pace_now = 1.0
        self._pace_at = -1
        self._classes: dict[str, CostClass] = {}

    def present_pace(self, now: int) -> float:
        """Return how much longer than usual runs take at present."""
        if now != self._pace_at:
            self._pace_at = now
            self._pace_now = self.pace.current(now)
        return self._pace_now * self.reported_pace

    def steady_pace(self, now: int) -> float:
        """Return how much longer than usual runs take on average."""
        return self._steady.current(now)

    def usual_ms(self, ticket: RunningTicket) -> float:
        """Return the forecast at a target of usual pace."""
        if 0 < ticket.expected_ms < MAX_EXPECTED_MS:
            return ticket.expected_ms
        return self._class_of(ticket.kind).mean_ms()

    def expected_ms(self, ticket: RunningTicket, now: int) -> float:
        """Return the expected run time of a ticket here."""
        return self.usual_ms(ticket) * self.present_pace(now)

    def left_ms(self, ticket: RunningTicket, now: int) -> float:
        """Return the expected rest of a running ticket.

        Notes
        -----
        The run times of a route have one shape, scaled to the forecast of the
        ticket and to the pace.  A run that exceeds its forecast is probably a
        long one, so its rest may be longer than at its start.
        """
        pace = self.present_pace(now)
        kind = self._class_of(ticket.kind)
        scale = self.usual_ms(ticket) / kind.mean_ms()
        elapsed = max(0, now - ticket.started_at) / (pace * scale)
        return max(MIN_LEFT_MS, kind.left_ms(elapsed) * scale * pace)

    def record(self, ticket: RunningTicket, ran_ms: float, now: int) -> None:
        """Add the measured run time of a ticket."""
        usual = self.usual_ms(ticket)
        self._steady.record(ran_ms, usual, now)
        self.pace.record(ran_ms, usual * self.reported_pace, now)
        traits = RequestTraits(self._service, ticket.kind)
        self._costs.record(traits, ran_ms, self.present_pace(now), now)
        self._pace_at = -1
        # The model may have dropped the class of the route, and made another.
        self._classes.pop(ticket.kind, None)

    def total_ms(
        self,
        running: Iterable[RunningTicket],
        waiting: Iterable[RunningTicket],
        now: int,
    ) -> float:
        """Return the work left in ms of one slot."""
        left = sum(self.left_ms(ticket, now) for ticket in running)
        return left + self._waiting_ms(waiting, now)

    def slot_free_ms(
        self,
        ahead: Collection[RunningTicket],
        running: Collection[RunningTicket],
        slots: int,
        now: int,
    ) -> float:
        """Return after how many ms a slot is free for one more ticket.

        Notes
        -----
        The first slot becomes free at the combined rate at which the runs end.
        The tickets ahead then share the slots; one whose run lasts longer than
        their work does counts in part.
        """
        free = slots - len(running)
        if not ahead and free > 0:
            return 0.0
        left = [self.left_ms(ticket, now) for ticket in running]
        first = 0.0 if free > 0 else 1 / sum(1 / rest for rest in left)
        if not ahead:
            return first
        work = self._waiting_ms(ahead, now)
        horizon = max(work / len(ahead), work / max(1, slots))
        usable = sum(min(1.0, horizon / rest) for rest in left) + max(0, free)
        return first + work / max(1.0, usable)

    def _waiting_ms(self, tickets: Iterable[RunningTicket], now: int) -> float:
        work = sum(self.usual_ms(ticket) for ticket in tickets)
        return work * self.present_pace(now)

    def _class_of(self, kind: str) -> CostClass:
        found = self._classes.get(kind)
        if found is None:
            if len(self._classes) >= MAX_CLASSES:
                self._classes.clear()
            found = self._costs.route_class(self._service, kind)
            self._classes[kind] = found
        return found
