"""Admission control and scheduling of requests for one target.

A request is admitted only if it is expected to end within its aim (latency
target), so that overload causes early refusals for some requests rather than
late answers for all.  Among the requests that can still meet their aim, the
most urgent runs first.  Those that have missed it run if slots are left, and
are refused if there are none.
"""

import dataclasses
import math

from savoryhold.traffic.remaining import MAX_EXPECTED_MS, WorkLeft

__all__ = ['QueueRefusal', 'TargetQueue', 'Ticket']

MIN_LONG_MS = 100.0  # shorter requests do not hold a slot for long
LONG_RATIO = 3.0  # a long kind exceeds another recent kind by this
SHORT_RECENT_MS = 1000  # how long slots stay reserved after short work arrived
INITIAL_SERVICE_MS = 60.0  # assumed until a kind is first measured
SMOOTHING = 0.06  # weight of a new run time in the moving average
AIM_SHARE = 0.8  # of the aim to plan for; the rest covers forecast errors
RATE_DECAY_MS = 1000.0  # time constant of the average of arriving work
QUICK_RUN = 0.5  # of the usual run time; few runs are faster
MIN_SHARE = 0.2  # of the slots, at least, is assumed free of more urgent work
MIN_RETRY_MS = 220  # bounds of the time after which to retry
MAX_RETRY_MS = 1000
MEAN_RUN_LEFT = 0.5  # average part of its run time that a run has left


@dataclasses.dataclass(slots=True)
class Ticket:
    """A request that is queued or running; times in ms.

    ``aim_at`` is when it should have ended, ``deadline`` when it must have.
    Run times are measured for each ``kind``.  ``expected_ms`` is the forecast
    of its run time at a target of usual pace, 0 if there is none.
    """

    number: int
    kind: str
    priority: int
    arrived_at: int
    aim_at: int
    deadline: int
    started_at: int = 0
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRefusal:
    """A ticket that will not run, and when its caller may retry."""

    ticket: Ticket
    reason: str
    retry_ms: int


@dataclasses.dataclass(slots=True)
class _Rate:
    """Arrival rate of work, in slots, at a time in ms."""

    slots: float = 0.0
    at: int = 0

    def current(self, now: int) -> float:
        """Return the exponentially decayed rate."""
        return self.slots * math.exp((self.at - now) / RATE_DECAY_MS)

    def add(self, work_ms: float, now: int) -> None:
        """Add work that has arrived."""
        self.slots = self.current(now) + work_ms / RATE_DECAY_MS
        self.at = now


class TargetQueue:
    """Tickets that wait for, or occupy, the slots of one target.

    Parameters
    ----------
    slots : int
        Number of requests that the target runs concurrently.

    Notes
    -----
    With `work`, forecasts are those of the cost model; without, they are the
    averages of the kinds.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.work: WorkLeft | None = None
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self._service_times: dict[str, float] = {}
        self._last_offered: dict[str, int] = {}
        self._rates: dict[int, _Rate] = {}

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

    def work_ms(self, now: int) -> float:
        """Return the expected work left in ms of one slot, 0 if unknown."""
        if self.work is None:
            return 0.0
        return self.work.total_ms(
            self.running.values(), self.waiting.values(), now
        )

    def wait_ms(self, ticket: Ticket, now: int) -> float:
        """Return the expected wait of a ticket.

        Notes
        -----
        More urgent work that arrives during the wait overtakes the ticket.
        The wait is therefore divided by the share of the slots that such
        work leaves, as in an M/G/n queue with priorities (Cobham, 1954).
        """
        ahead = [
            other
            for other in self.waiting.values()
            if _urgency(other) < _urgency(ticket)
        ]
        running = list(self.running.values())
        long_ahead = [
            other for other in ahead if self._is_long(other.kind, now)
        ]
        long_running = [
            other for other in running if self._is_long(other.kind, now)
        ]
        long_slots = self._long_slots()
        if self._is_long(ticket.kind, now):
            wait = max(
                self._slot_free_ms(ahead, running, self.slots, now),
                self._slot_free_ms(long_ahead, long_running, long_slots, now),
            )
        elif len(long_running) < long_slots:
            wait = self._slot_free_ms(ahead, running, self.slots, now)
        else:
            # Long work fills all its slots, so none of it starts first.
            short_ahead = [other for other in ahead if other not in long_ahead]
            short_running = [
                other for other in running if other not in long_running
            ]
            short_slots = self.slots - len(long_running)
            wait = self._slot_free_ms(
                short_ahead, short_running, short_slots, now
            )
        return wait / self._capacity_left(ticket.priority, now)

    def _slot_free_ms(
        self, ahead: list[Ticket], running: list[Ticket], slots: int, now: int
    ) -> float:
        """Return after how many ms a slot is free for one more ticket."""
        if self.work is not None:
            return self.work.slot_free_ms(ahead, running, slots, now)
        if not ahead and len(running) < slots:
            return 0.0
        work = sum(self.service_ms(ticket.kind) for ticket in ahead)
        remaining = (
            sum(self.service_ms(ticket.kind) for ticket in running)
            * MEAN_RUN_LEFT
        )
        return (work + remaining) / max(1, slots)

    def backlog_ms(self, now: int) -> float:
        """Return how many ms the target needs for all its tickets."""
        if self.work is not None:
            return self.work_ms(now) / max(1, self.slots)
        waiting = sum(
            self.service_ms(ticket.kind) for ticket in self.waiting.values()
        )
        running = sum(
            self.service_ms(ticket.kind) * MEAN_RUN_LEFT
            for ticket in self.running.values()
        )
        return (waiting + running) / max(1, self.slots)

    def offer(self, ticket: Ticket, now: int) -> QueueRefusal | None:
        """Queue a ticket, or refuse it if it would miss its aim or deadline."""
        self._last_offered[ticket.kind] = now
        rate = self._rates.setdefault(ticket.priority, _Rate())
        service = self.expected_ms(ticket, now)
        rate.add(service, now)
        wait = self.wait_ms(ticket, now)
        limit = (ticket.aim_at - now) * AIM_SHARE
        if ticket.aim_at - ticket.arrived_at < service:
            limit = ticket.deadline - now
        if wait and wait + service > min(limit, ticket.deadline - now):
            return QueueRefusal(
                ticket, 'busy', _retry_ms(wait + service - limit)
            )
        self.waiting[ticket.number] = ticket
        return None

    def refuse_late(self, now: int) -> list[QueueRefusal]:
        """Remove and return the tickets that will not run.

        Notes
        -----
        A ticket that has missed its aim runs only when no other waits.  If
        the others that wait fill all slots, it is refused at once rather
        than at its deadline.
        """
        missed = [
            ticket
            for ticket in self.waiting.values()
            if self._ends_after(ticket, ticket.aim_at, now)
        ]
        full = len(self.waiting) - len(missed) >= self.slots
        found = [
            QueueRefusal(ticket, 'late', MIN_RETRY_MS)
            for ticket in missed
            if full or self._ends_after(ticket, ticket.deadline, now)
        ]
        for refused in found:
            self.waiting.pop(refused.ticket.number)
        return found

    def start_next(self, now: int) -> Ticket | None:
        """Start and return the next ticket, if a slot is free for it."""
        if len(self.running) >= self.slots or not self.waiting:
            return None
        eligible = [
            ticket
            for ticket in self.waiting.values()
            if self._may_start(ticket, now)
        ]
        if not eligible:
            return None
        chosen = min(eligible, key=lambda ticket: self._rank(ticket, now))
        self.waiting.pop(chosen.number)
        chosen.started_at = now
        self.running[chosen.number] = chosen
        return chosen

    def remove(self, number: int) -> bool:
        """Remove a ticket; return whether it was waiting."""
        self.running.pop(number, None)
        return self.waiting.pop(number, None) is not None

    def _rank(self, ticket: Ticket, now: int) -> tuple[bool, int, int, int]:
        missed = now + self.expected_ms(ticket, now) > ticket.aim_at
        return missed, *_urgency(ticket)

    def _ends_after(self, ticket: Ticket, limit: int, now: int) -> bool:
        """Return whether even a fast run would end after a time."""
        return now + self.expected_ms(ticket, now) * QUICK_RUN > limit

    def _capacity_left(self, priority: int, now: int) -> float:
        """Return the share of the slots that more urgent work leaves."""
        urgent = sum(
            rate.current(now)
            for other, rate in self._rates.items()
            if other < priority
        )
        return max(MIN_SHARE, 1 - urgent / max(1, self.slots))

    def _may_start(self, ticket: Ticket, now: int) -> bool:
        if not self._is_long(ticket.kind, now):
            return True
        running = sum(
            1
            for other in self.running.values()
            if self._is_long(other.kind, now)
        )
        return running < self._long_slots()

    def _long_slots(self) -> int:
        """Return how many slots long work may occupy while short work comes."""
        return max(1, self.slots - self.slots // 4 - 1)

    def _is_long(self, kind: str, now: int) -> bool:
        """Return whether a kind is long compared to one offered recently."""
        service = self.service_ms(kind)
        if service < MIN_LONG_MS:
            return False
        return any(
            service > LONG_RATIO * self.service_ms(other)
            for other, offered_at in self._last_offered.items()
            if now - offered_at < SHORT_RECENT_MS
        )


def _urgency(ticket: Ticket) -> tuple[int, int, int]:
    return ticket.priority, ticket.aim_at, ticket.number


def _retry_ms(excess: float) -> int:
    return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess)))
