"""The queue in front of one target: who runs next, who is refused.

A request is taken only if it can be expected to end within its aim, so that
an overload shows as early refusals and not as late answers for everybody.
The most urgent requests that can still meet their aim run first.  Those that
have missed it run if slots are left, and are refused if there are none.
"""

import dataclasses
import math

__all__ = ['QueueRefusal', 'TargetQueue', 'Ticket']

LONG_MS = 100.0  # shorter requests do not hold a slot for long
LONG_RATIO = 3.0  # over the shortest kind's time makes a kind long
SHORT_SEEN_MS = 1000  # short work seen this recently keeps its slots free
FIRST_SERVICE_MS = 60.0  # before the first measurement of a kind
SMOOTHING = 0.06
AIM_SHARE = 0.8  # of the aim, for a forecast; the rest is for its error
RATE_DECAY_MS = 1000.0  # over which arriving work is averaged
QUICK = 0.5  # of the usual run; few runs are quicker
MIN_SHARE = 0.2  # of the slots, left for a priority whatever is more urgent
MIN_RETRY_MS = 220
MAX_RETRY_MS = 1000
RUN_LEFT = 0.5  # part of a running request's time that is left on average


@dataclasses.dataclass(slots=True)
class Ticket:
    """A request in the queue or at the target; times in ms."""

    number: int
    kind: str
    priority: int
    arrived_at: int
    aim_at: int
    deadline: int
    started_at: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRefusal:
    """A ticket that will not run, and when a new try may."""

    ticket: Ticket
    reason: str
    retry_ms: int


@dataclasses.dataclass(slots=True)
class _Rate:
    """Work that arrives, in slots, as it was at a time in ms."""

    slots: float = 0.0
    at: int = 0

    def current(self, now: int) -> float:
        """Return the rate, averaged with an exponential decay."""
        return self.slots * math.exp((self.at - now) / RATE_DECAY_MS)

    def add(self, work_ms: float, now: int) -> None:
        """Count work that has arrived."""
        self.slots = self.current(now) + work_ms / RATE_DECAY_MS
        self.at = now


class TargetQueue:
    """Tickets that wait for the slots of one target.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self._service: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self._rates: dict[int, _Rate] = {}

    def service_ms(self, kind: str) -> float:
        """Return how long a kind of request usually runs."""
        return self._service.get(kind, FIRST_SERVICE_MS)

    def record_run_time(self, kind: str, took_ms: float) -> None:
        """Count how long a request ran."""
        known = self._service.get(kind)
        if known is None:
            self._service[kind] = took_ms
        else:
            self._service[kind] = known + SMOOTHING * (took_ms - known)

    def wait_ms(self, ticket: Ticket, now: int) -> float:
        """Return the wait that a ticket must expect.

        Notes
        -----
        More urgent work that arrives meanwhile goes ahead, so that the wait
        grows by one over the share of the slots that such work leaves, as in
        an M/G/n queue with priorities (Cobham, 1954).
        """
        ahead = [
            other
            for other in self.waiting.values()
            if _urgency(other) < _urgency(ticket)
        ]
        running = list(self.running.values())
        long_ahead = [one for one in ahead if self._is_long(one.kind, now)]
        long_running = [one for one in running if self._is_long(one.kind, now)]
        room = self._long_slots()
        if self._is_long(ticket.kind, now):
            wait = max(
                self._clear_ms(ahead, running, self.slots),
                self._clear_ms(long_ahead, long_running, room),
            )
        elif len(long_running) < room:
            wait = self._clear_ms(ahead, running, self.slots)
        else:
            # Long work has all the slots that it may have, and stays behind.
            short = [one for one in ahead if one not in long_ahead]
            others = [one for one in running if one not in long_running]
            kept = self.slots - len(long_running)
            wait = self._clear_ms(short, others, kept)
        return wait / self._share_left(ticket.priority, now)

    def _clear_ms(
        self, ahead: list[Ticket], running: list[Ticket], slots: int
    ) -> float:
        """Return when a slot is left after what runs and what is ahead."""
        if not ahead and len(running) < slots:
            return 0.0
        work = sum(self.service_ms(one.kind) for one in ahead)
        left = sum(self.service_ms(one.kind) for one in running) * RUN_LEFT
        return (work + left) / max(1, slots)

    def backlog_ms(self) -> float:
        """Return how long the target needs for all that it has."""
        waiting = sum(
            self.service_ms(ticket.kind) for ticket in self.waiting.values()
        )
        running = sum(
            self.service_ms(ticket.kind) * RUN_LEFT
            for ticket in self.running.values()
        )
        return (waiting + running) / max(1, self.slots)

    def offer(self, ticket: Ticket, now: int) -> QueueRefusal | None:
        """Take a ticket in, or refuse it at once."""
        self._seen[ticket.kind] = now
        rate = self._rates.setdefault(ticket.priority, _Rate())
        rate.add(self.service_ms(ticket.kind), now)
        wait = self.wait_ms(ticket, now)
        service = self.service_ms(ticket.kind)
        limit = (ticket.aim_at - now) * AIM_SHARE
        if ticket.aim_at - ticket.arrived_at < service:
            limit = ticket.deadline - now
        if wait and wait + service > min(limit, ticket.deadline - now):
            return QueueRefusal(
                ticket, 'busy', _retry_ms(wait + service - limit)
            )
        self.waiting[ticket.number] = ticket
        return None

    def late(self, now: int) -> list[QueueRefusal]:
        """Remove and return the tickets that will not run.

        Notes
        -----
        A ticket that has missed its aim runs when no other waits; where
        enough others wait to fill all slots, that would be at its deadline.
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

    def next(self, now: int) -> Ticket | None:
        """Start and return the ticket to run now, if a slot is free."""
        if len(self.running) >= self.slots or not self.waiting:
            return None
        fit = [
            ticket
            for ticket in self.waiting.values()
            if self._may_start(ticket, now)
        ]
        if not fit:
            return None
        chosen = min(fit, key=lambda ticket: self._rank(ticket, now))
        self.waiting.pop(chosen.number)
        chosen.started_at = now
        self.running[chosen.number] = chosen
        return chosen

    def remove(self, number: int) -> bool:
        """Forget a ticket; return whether it was waiting."""
        self.running.pop(number, None)
        return self.waiting.pop(number, None) is not None

    def _rank(self, ticket: Ticket, now: int) -> tuple[bool, int, int, int]:
        missed = now + self.service_ms(ticket.kind) > ticket.aim_at
        return missed, *_urgency(ticket)

    def _ends_after(self, ticket: Ticket, limit: int, now: int) -> bool:
        """Return whether even a quick run would end after a time."""
        return now + self.service_ms(ticket.kind) * QUICK > limit

    def _share_left(self, priority: int, now: int) -> float:
        """Return the part of the slots that more urgent work leaves."""
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
        """Return how many slots long work may have while short work comes."""
        return max(1, self.slots - self.slots // 4 - 1)

    def _is_long(self, kind: str, now: int) -> bool:
        service = self.service_ms(kind)
        if service < LONG_MS:
            return False
        return any(
            service > LONG_RATIO * self.service_ms(other)
            for other, seen_at in self._seen.items()
            if now - seen_at < SHORT_SEEN_MS
        )


def _urgency(ticket: Ticket) -> tuple[int, int, int]:
    return ticket.priority, ticket.aim_at, ticket.number


def _retry_ms(excess: float) -> int:
    return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess)))
