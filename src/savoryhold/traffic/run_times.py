"""Run times of requests at one target: averages of kinds, or forecasts."""

from collections.abc import Sequence

from savoryhold.traffic.capacity import Capacity
from savoryhold.traffic.remaining import MAX_EXPECTED_MS, WorkLeft
from savoryhold.traffic.tickets import Ticket

__all__ = ['RunTimes']

MIN_LONG_MS = 100.0  # shorter requests do not hold a slot for long
LONG_RATIO = 3.0  # a long kind exceeds another recent kind by this
SHORT_RECENT_MS = 1000  # how long slots stay reserved after short work arrived
INITIAL_SERVICE_MS = 60.0  # assumed until a kind is first measured
SMOOTHING = 0.06  # weight of a new run time in the moving average
MEAN_RUN_LEFT = 0.5  # average part of its run time that a run has left


class RunTimes:
    """Run times of a target's requests.

    Notes
    -----
    With `work`, forecasts are those of the cost model; without, they are the
    averages of the kinds.
    """

    def __init__(self) -> None:
        self.work: WorkLeft | None = None
        self._service_times: dict[str, float] = {}
        self._last_offered: dict[str, int] = {}

    def service_ms(self, kind: str) -> float:
        """Return the average run time of a kind of request."""
        return self._service_times.get(kind, INITIAL_SERVICE_MS)

    def record_run_time(self, kind: str, took_ms: float) -> None:
        """Update the average run time of a kind of request."""
        known = self._service_times.get(kind)
        if known is None:
            self._service_times[kind] = took_ms
        else:
            self._service_times[kind] = known + SMOOTHING * (took_ms - known)

    def record_run(self, ticket: Ticket, took_ms: float, now: int) -> None:
        """Learn the cost of a ticket that the target has run."""
        if self.work is not None:
            self.work.record(ticket, took_ms, now)

    def expected_ms(self, ticket: Ticket, now: int) -> float:
        """Return the expected run time of a ticket."""
        if self.work is None:
            return self.service_ms(ticket.kind)
        return self.work.expected_ms(ticket, now)

    def usual_ms(self, kind: str, expected_ms: float) -> float:
        """Return the work of a request, whatever the present pace."""
        if self.work is None or not 0 < expected_ms < MAX_EXPECTED_MS:
            return self.service_ms(kind)
        return expected_ms

    def steady_pace(self, now: int) -> float:
        """Return by how much run times here exceed `usual_ms`."""
        return 1.0 if self.work is None else self.work.steady_pace(now)

    def record_offer(self, kind: str, now: int) -> None:
        """Record that a request of a kind was offered."""
        self._last_offered[kind] = now

    def is_long(self, kind: str, now: int) -> bool:
        """Return whether a kind is long compared to one offered recently."""
        service = self.service_ms(kind)
        if service < MIN_LONG_MS:
            return False
        return any(
            service > LONG_RATIO * self.service_ms(other)
            for other, offered_at in self._last_offered.items()
            if now - offered_at < SHORT_RECENT_MS
        )

    def slot_free_ms(
        self,
        ahead: Sequence[Ticket],
        running: Sequence[Ticket],
        slots: int,
        limits: Capacity,
        now: int,
    ) -> float:
        """Return after how many ms a slot is free for one more ticket."""
        if self.work is not None:
            # Requests that are not in the queue take slots of the target.
            slots -= round(limits.occupied)
            return self.work.slot_free_ms(ahead, running, max(1, slots), now)
        if not ahead and len(running) + limits.occupied < slots:
            return 0.0
        work = sum(self.service_ms(ticket.kind) for ticket in ahead)
        remaining = (
            sum(self.service_ms(ticket.kind) for ticket in running)
            * MEAN_RUN_LEFT
        )
        slow = limits.delay_ms(remaining / max(1, len(running)))
        total = work + remaining + limits.occupied_ms
        return total / max(1, slots) + slow

    def mean_work_ms(
        self, waiting: Sequence[Ticket], running: Sequence[Ticket]
    ) -> float:
        """Return the work left in ms of one slot, by the averages of kinds."""
        queued = sum(self.service_ms(ticket.kind) for ticket in waiting)
        started = sum(self.service_ms(ticket.kind) for ticket in running)
        return queued + started * MEAN_RUN_LEFT
