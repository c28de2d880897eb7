"""Admission control and scheduling of requests for one target.

A request is admitted only if it is expected to end within its aim (latency
target), so that overload causes early refusals for some requests rather than
late answers for all.  Among the requests that can still meet their aim, the
most urgent runs first.  Those that have missed it run if slots are left, and
are refused if there are none.
"""

from collections.abc import Callable
from operator import attrgetter

from savoryhold.traffic.arrival_rates import ArrivalRates, Level
from savoryhold.traffic.capacity import Capacity, unlimited
from savoryhold.traffic.fullness import may_send_bytes
from savoryhold.traffic.retry_schedule import RetrySchedule
from savoryhold.traffic.returns import DUPLICATE_PENALTY
from savoryhold.traffic.run_times import RunTimes
from savoryhold.traffic.shares import KindTurns, NodeShares
from savoryhold.traffic.tickets import QueueRefusal, Ticket

__all__ = ['TargetQueue']

AIM_SHARE = 0.8  # of the aim to plan for; the rest covers forecast errors
QUICK_RUN = 0.5  # of the usual run time; few runs are faster
MIN_SHARE = 0.2  # of the slots, at least, is assumed free of more urgent work
# Urgent work that is refused itself counts in the rates, and in a brief wait
# less of it may come than usual.
MIN_FAIR_SHARE = 0.35
BRIEF_WAIT_MS = 600
MIN_RETRY_MS = 220  # bounds of the time after which to retry
MAX_RETRY_MS = 1000


class TargetQueue(RunTimes):
    """Tickets that wait for, or occupy, the slots of one target.

    Parameters
    ----------
    slots : int
        Number of requests that the target runs concurrently.

    Notes
    -----
    The rules of fair admission apply (`fair`) while tickets state the node that
    they come from, which ingress nodes do if the configuration asks for it.
    """

    def __init__(self, slots: int) -> None:
        super().__init__()
        self.slots = slots
        self.capacity: Callable[[], Capacity] = unlimited
        self.fair = False
        self.shares = NodeShares()
        self._turns = KindTurns()
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, Ticket] = {}
        self._arrivals = ArrivalRates()
        self._schedule = RetrySchedule()
        # The last forecast of a wait and its time, by level.
        self._forecasts: dict[Level, tuple[float, int]] = {}

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
            if other.urgency < ticket.urgency
        ]
        limits = self.capacity()
        wait = self._slot_wait_ms(ticket, ahead, limits, now)
        slots = self._usable_slots(limits)
        left = self._capacity_left(ticket.urgency[:2], now, slots)
        if self.fair and wait < BRIEF_WAIT_MS:
            left = max(left, MIN_FAIR_SHARE)
        return max(
            wait / left, self._start_wait_ms(ticket, len(ahead), now, limits)
        )

    def _slot_wait_ms(
        self, ticket: Ticket, ahead: list[Ticket], limits: Capacity, now: int
    ) -> float:
        """Return after how many ms a slot is free for a ticket."""
        running = list(self.running.values())
        long_ahead = [other for other in ahead if self.is_long(other.kind, now)]
        long_running = [
            other for other in running if self.is_long(other.kind, now)
        ]
        slots = self._usable_slots(limits)
        if self._is_held_back(ticket, now):
            return max(
                self.slot_free_ms(ahead, running, slots, limits, now),
                self.slot_free_ms(
                    long_ahead, long_running, self._long_slots(), limits, now
                ),
            )
        if ticket.nested or len(long_running) < self._long_slots():
            return self.slot_free_ms(ahead, running, slots, limits, now)
        # Long work fills all its slots, so none of it starts first.
        short_ahead = [other for other in ahead if other not in long_ahead]
        short_running = [
            other for other in running if other not in long_running
        ]
        short_slots = slots - len(long_running)
        return self.slot_free_ms(
            short_ahead, short_running, short_slots, limits, now
        )

    def _start_wait_ms(
        self, ticket: Ticket, ahead: int, now: int, limits: Capacity
    ) -> float:
        """Return the wait that the target's rate of starts causes."""
        if not limits.gap_ms:
            return limits.start_ms
        # Slots that the permitted starts keep busy.
        slots = self.expected_ms(ticket, now) / limits.gap_ms
        left = self._capacity_left(ticket.urgency[:2], now, slots)
        return limits.start_ms + limits.gap_ms * ahead / left

    def backlog_ms(self, now: int) -> float:
        """Return how many ms the target needs for all its tickets."""
        limits = self.capacity()
        if self.work is not None:
            wait = self.work_ms(now) / self._usable_slots(limits)
            return max(wait, limits.start_wait_ms(len(self.waiting)))
        work = self.mean_work_ms(
            list(self.waiting.values()), list(self.running.values())
        )
        total = work + limits.occupied_ms
        starts = limits.start_wait_ms(len(self.waiting))
        return max(total / self._usable_slots(limits), starts)

    def offer(self, ticket: Ticket, now: int) -> QueueRefusal | None:
        """Queue a ticket, or refuse it if it would miss its aim or deadline."""
        self.record_offer(ticket.kind, now)
        self.fair = bool(ticket.origin)
        if self.fair and not ticket.nested:
            self._rank_by_share(ticket, now)
        service = self.expected_ms(ticket, now)
        self._arrivals.add(ticket.urgency[:2], service, now)
        wait = self.wait_ms(ticket, now)
        if self.fair:
            self._forecasts[ticket.urgency[:2]] = (wait, now)
        # A refused nested call wastes the work of its run, hence no reserve.
        aim_share = 1.0 if ticket.nested else AIM_SHARE
        limit = (ticket.aim_at - now) * aim_share
        if ticket.aim_at - ticket.arrived_at < service:
            limit = ticket.deadline - now
        if wait and wait + service > min(limit, ticket.deadline - now):
            if not self._has_turn(ticket, limit - service, now):
                excess = wait + service - limit
                return self._refusal(ticket, 'busy', excess, now)
        if self.fair:
            ticket.start_tag = self.shares.admit(
                ticket.kind, ticket.origin, service
            )
        self.waiting[ticket.number] = ticket
        return None

    def _rank_by_share(self, ticket: Ticket, now: int) -> None:
        """Rank a ticket lower if its node exceeds its share."""
        self.shares.hear(ticket.origin, now)
        if not self.waiting:
            self.shares.reset()
        service = self.expected_ms(ticket, now)
        if self.shares.exceeds(ticket.kind, ticket.origin, service):
            ticket.demote()

    def _has_turn(self, ticket: Ticket, limit: float, now: int) -> bool:
        """Return whether a ticket's priority has a turn in time for it."""
        priority = ticket.priority
        if not self.fair or ticket.nested or priority >= DUPLICATE_PENALTY:
            return False
        service = self.expected_ms(ticket, now)
        wait = self._turns.wait_ms(priority, now, service, self.slots)
        if wait > limit:
            return False
        if self._turns.holder(priority) in self.waiting:
            return False
        self._turns.reserve(priority, ticket.number, now + wait)
        return True

    def room_ms(self, priority: int, now: int, *, returning: bool) -> float:
        """Return the wait last forecast for a priority, less its age."""
        level = (priority, not returning)
        wait, at = self._forecasts.get(level, (0.0, now))
        return max(0.0, wait - (now - at))

    def refuse_late(self, now: int) -> list[QueueRefusal]:
        """Remove and return the tickets that will not run.

        Notes
        -----
        A ticket that has missed its aim runs only when no other waits.  If
        the others that wait fill all slots, it is refused at once rather
        than at its deadline.  A nested call, whose run would fail, is refused
        only once it can no longer end by its deadline.
        """
        missed = [
            ticket
            for ticket in self.waiting.values()
            if self._ends_after(ticket, ticket.aim_at, now)
        ]
        full = len(self.waiting) - len(missed) >= self.slots
        found = [
            self._refusal(ticket, 'late', 0, now)
            for ticket in missed
            if (full and not ticket.nested)
            or self._ends_after(ticket, ticket.deadline, now)
            or (self.fair and self._starts_too_late(ticket, now))
        ]
        found.extend(self._find_unfit(missed, now))
        for refused in found:
            self.waiting.pop(refused.ticket.number)
        return found

    def _starts_too_late(self, ticket: Ticket, now: int) -> bool:
        """Return whether a ticket is expected to start too late to end."""
        starts_at = now + round(self.wait_ms(ticket, now))
        return self._ends_after(ticket, ticket.deadline, starts_at)

    def _find_unfit(self, missed: list[Ticket], now: int) -> list[QueueRefusal]:
        """Return the tickets that a cold target cannot start in time.

        Notes
        -----
        They were admitted while it was warm.
        """
        limits = self.capacity()
        if not limits.gap_ms:
            return []
        ordered = sorted(self.waiting.values(), key=attrgetter('urgency'))
        found = []
        ahead = 0
        for ticket in ordered:
            starts_at = now + round(limits.start_wait_ms(ahead))
            if ticket in missed:
                continue
            if self._ends_after(ticket, ticket.aim_at, starts_at):
                found.append(self._refusal(ticket, 'cold', 0, now))
            else:
                ahead += 1
        return found

    def start_next(self, now: int) -> Ticket | None:
        """Start and return the next ticket, if a slot is free for it."""
        if not self.waiting or not self._may_start_any():
            return None
        eligible = [
            ticket
            for ticket in self.waiting.values()
            if self._may_start(ticket, now)
        ]
        if not eligible:
            return None
        chosen = min(eligible, key=lambda ticket: self._rank(ticket, now))
        if self.fair:
            for number in self._turns.due(now):
                chosen = self.waiting.get(number, chosen)
            self._turns.start(chosen.priority, chosen.number, now)
            self.shares.start(chosen.kind, chosen.start_tag)
        self.waiting.pop(chosen.number)
        chosen.started_at = now
        # Under overload, starts come at the rate of completions.
        self._schedule.record_served(now)
        self.running[chosen.number] = chosen
        return chosen

    def remove(self, number: int) -> bool:
        """Remove a ticket; return whether it was waiting."""
        self.running.pop(number, None)
        return self.waiting.pop(number, None) is not None

    def _may_start_any(self) -> bool:
        """Return whether the target has a slot and bears another start."""
        limits = self.capacity()
        usable = self._usable_slots(limits)
        return len(self.running) < usable and not limits.start_ms

    def _refusal(
        self, ticket: Ticket, reason: str, excess_ms: float, now: int
    ) -> QueueRefusal:
        """Refuse a ticket that would wait too long by some time."""
        if not self.fair:
            retry_ms = round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess_ms)))
            return QueueRefusal(ticket, reason, retry_ms)
        left = self._capacity_left((ticket.priority, 0), now, self.slots)
        retry_ms = self._schedule.retry_ms(
            ticket.priority,
            now,
            earliest_ms=excess_ms,
            left_ms=ticket.deadline - now,
            room_share=max(left, MIN_FAIR_SHARE),
        )
        room_ms = self.room_ms(ticket.priority, now, returning=ticket.returning)
        share = self.shares.share(ticket.origin)
        return QueueRefusal(ticket, reason, retry_ms, room_ms, share)

    def _usable_slots(self, limits: Capacity) -> int:
        return max(1, self.slots if limits.slots is None else limits.slots)

    def _rank(
        self, ticket: Ticket, now: int
    ) -> tuple[bool, tuple[int, int, int, int]]:
        missed = now + self.expected_ms(ticket, now) > ticket.aim_at
        return missed and not ticket.nested, ticket.urgency

    def _ends_after(self, ticket: Ticket, limit: int, now: int) -> bool:
        """Return whether even a fast run would end after a time."""
        return now + self.expected_ms(ticket, now) * QUICK_RUN > limit

    def _capacity_left(self, level: Level, now: int, slots: float) -> float:
        """Return the share of the slots that more urgent work leaves.

        Notes
        -----
        Work of callers that return precedes that of new ones of their kind.
        """
        urgent = self._arrivals.more_urgent(level, now)
        return max(MIN_SHARE, 1 - urgent / slots)

    def _may_start(self, ticket: Ticket, now: int) -> bool:
        if ticket.size:
            in_flight = sum(other.size for other in self.running.values())
            if not may_send_bytes(ticket.size, in_flight):
                return False
        if not self._is_held_back(ticket, now):
            return True
        running = sum(
            1
            for other in self.running.values()
            if self.is_long(other.kind, now)
        )
        return running < self._long_slots()

    def _long_slots(self) -> int:
        """Return how many slots long work may occupy while short work comes."""
        return max(1, self.slots - self.slots // 4 - 1)

    def _is_held_back(self, ticket: Ticket, now: int) -> bool:
        """Return whether only the slots for long work may run a ticket."""
        return not ticket.nested and self.is_long(ticket.kind, now)
