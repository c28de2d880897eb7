"""Admission control of one target: slots, classes, queues and deadlines."""

import dataclasses
import enum
import itertools
import math
from collections import OrderedDict, deque

from savoryhold.core.configuration import AdmissionPolicy, ServiceClass

__all__ = [
    'AdmissionLimits',
    'AdmissionQueue',
    'Decision',
    'Refusal',
    'Ticket',
]

STANDING_MS = 100
RAMP_START_SLOTS = 1
SMOOTHING = 0.1
NEWEST_WINDOW = 8
KEYS_REMEMBERED = 4096  # whose last turn is stored
SHORT_HEADROOM = 2.0
BUSY_SMOOTHING = 0.02


class Refusal(enum.Enum):
    """Why a request was not admitted."""

    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of one target."""

    slots: int
    long_share: float = 0.34
    queue: int = 512
    policy: AdmissionPolicy = AdmissionPolicy.ADAPTIVE

    @property
    def long_slots(self) -> int:
        """Return how many slots long requests may hold at once."""
        return max(1, int(self.slots * self.long_share))


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be admitted.

    Parameters
    ----------
    number : int
        Unique in this process.
    key : str
        Key of the request; slots are shared fairly between keys.
    service_class : ServiceClass
        ``SHORT`` or ``LONG``.
    deadline : int
        Time in ms after which the answer is of no use.
    arrived_at : int
        Time of arrival in ms.
    """

    number: int
    key: str
    service_class: ServiceClass
    deadline: int
    arrived_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a ticket; it is admitted if there is no refusal."""

    ticket: Ticket
    refusal: Refusal | None = None


class _ClassQueue:
    """Waiting tickets of one class, fair between keys."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._tickets: OrderedDict[int, Ticket] = OrderedDict()
        self._by_key: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._last_turns: OrderedDict[str, int] = OrderedDict()
        self._turn = 0
        self._adaptive = policy is AdmissionPolicy.ADAPTIVE

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Change the order in which tickets are served."""
        self._adaptive = policy is AdmissionPolicy.ADAPTIVE

    def __len__(self) -> int:
        return len(self._tickets)

    def oldest(self) -> Ticket:
        """Return the ticket that has waited longest."""
        return next(iter(self._tickets.values()))

    def push(self, ticket: Ticket) -> None:
        self._tickets[ticket.number] = ticket
        self._by_key.setdefault(ticket.key, deque()).append(ticket)

    def pop(self, now: int) -> Ticket:
        """Remove and return the ticket to serve next."""
        ticket = self._choose(now)
        self.remove(ticket)
        self._turn += 1
        self._last_turns[ticket.key] = self._turn
        self._last_turns.move_to_end(ticket.key)
        while len(self._last_turns) > KEYS_REMEMBERED:
            self._last_turns.popitem(last=False)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was waiting."""
        if self._tickets.pop(ticket.number, None) is None:
            return False
        same_key = self._by_key[ticket.key]
        same_key.remove(ticket)
        if same_key:
            self._by_key.move_to_end(ticket.key)
        else:
            self._by_key.pop(ticket.key)
        return True

    def remove_late(self, now: int, needed_ms: float) -> list[Ticket]:
        """Remove and return tickets that can no longer meet their deadline."""
        late = [
            ticket
            for ticket in self._tickets.values()
            if now + needed_ms > ticket.deadline
        ]
        for ticket in late:
            self.remove(ticket)
        return late

    def _choose(self, now: int) -> Ticket:
        if not self._adaptive:
            return self.oldest()
        if now - self.oldest().arrived_at <= STANDING_MS:
            return next(iter(self._by_key.values()))[0]
        newest = itertools.islice(
            reversed(self._tickets.values()), NEWEST_WINDOW
        )
        return min(newest, key=self._last_turn)

    def _last_turn(self, ticket: Ticket) -> int:
        return self._last_turns.get(ticket.key, 0)


class AdmissionQueue:
    """State machine that admits requests into a target's slots.

    Parameters
    ----------
    limits : AdmissionLimits
        Slots, classes and queue bounds.

    Notes
    -----
    Long requests hold at most ``long_share`` of the slots.  Beyond one slot,
    they get only what is left after `SHORT_HEADROOM` times the mean number
    of slots that short requests use.  Keys take turns.  When the oldest
    ticket has waited longer than `STANDING_MS`, the newest are served first,
    since their callers are the most likely to be still waiting (adaptive
    LIFO, B. Maurer, "Fail at Scale", ACM Queue 13(8), 2015); among the
    `NEWEST_WINDOW` newest the key served least recently goes first.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._queues = {
            ServiceClass.SHORT: _ClassQueue(limits.policy),
            ServiceClass.LONG: _ClassQueue(limits.policy),
        }
        self._running = {ServiceClass.SHORT: 0, ServiceClass.LONG: 0}
        self._mean_ms = {ServiceClass.SHORT: 0.0, ServiceClass.LONG: 0.0}
        self._short_busy = 0.0
        self._open_slots = RAMP_START_SLOTS
        if limits.policy is AdmissionPolicy.FIFO:
            self._open_slots = limits.slots

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return sum(self._running.values())

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def open_slots(self) -> int:
        """Return how many slots the ramp-up has opened so far."""
        return self._open_slots

    def mean_ms(self, service_class: ServiceClass) -> float:
        """Return the smoothed service time of a class in ms."""
        return self._mean_ms[service_class]

    @property
    def limits(self) -> AdmissionLimits:
        """Return the limits in force."""
        return self._limits

    def reconfigure(self, limits: AdmissionLimits) -> None:
        """Apply other limits; running requests continue."""
        self._limits = limits
        for queue in self._queues.values():
            queue.set_policy(limits.policy)
        if limits.policy is AdmissionPolicy.FIFO:
            self._open_slots = limits.slots
        self._open_slots = min(self._open_slots, limits.slots)

    def restart(self) -> None:
        """Start the ramp-up again, because the target was restarted."""
        if self._limits.policy is AdmissionPolicy.ADAPTIVE:
            self._open_slots = RAMP_START_SLOTS

    def offer(self, ticket: Ticket, now: int) -> list[Decision]:
        """Queue a ticket and return all decisions that follow."""
        queue = self._queues[ticket.service_class]
        if ticket.service_class is ServiceClass.SHORT:
            # Samples taken at arrivals average to the mean over time.
            busy = self._running[ServiceClass.SHORT]
            self._short_busy += BUSY_SMOOTHING * (busy - self._short_busy)
        if len(queue) >= self._limits.queue:
            return [Decision(ticket, Refusal.QUEUE_FULL)]
        if self._cannot_finish(ticket, now):
            return [Decision(ticket, Refusal.DEADLINE)]
        queue.push(ticket)
        return self._admit(now)

    def finish(
        self, ticket: Ticket, now: int, *, took_ms: int | None
    ) -> list[Decision]:
        """Free a ticket's slot.

        Parameters
        ----------
        ticket : Ticket
            An admitted ticket.
        now : int
            Current time in ms.
        took_ms : int or None
            Time that the target needed; None if it gave no complete answer.
        """
        service_class = ticket.service_class
        self._running[service_class] -= 1
        if took_ms is not None:
            mean = self._mean_ms[service_class]
            step = SMOOTHING * (took_ms - mean)
            self._mean_ms[service_class] = (
                mean + step if mean else float(took_ms)
            )
            self._open_slots = min(self._open_slots + 1, self._limits.slots)
        return self._admit(now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return whether it was waiting."""
        return self._queues[ticket.service_class].remove(ticket)

    def expire(self, now: int) -> list[Decision]:
        """Refuse waiting tickets that can no longer meet their deadline."""
        if self._limits.policy is AdmissionPolicy.FIFO:
            return []
        return [
            Decision(ticket, Refusal.DEADLINE)
            for service_class, queue in self._queues.items()
            for ticket in queue.remove_late(now, self._mean_ms[service_class])
        ]

    def _cannot_finish(self, ticket: Ticket, now: int) -> bool:
        if self._limits.policy is AdmissionPolicy.FIFO:
            return False
        return now + self._mean_ms[ticket.service_class] > ticket.deadline

    def _admit(self, now: int) -> list[Decision]:
        if self._limits.policy is AdmissionPolicy.FIFO:
            return self._admit_fifo(now)
        decisions = []
        ceilings = {
            ServiceClass.SHORT: self._open_slots,
            ServiceClass.LONG: self._long_ceiling(),
        }
        for service_class, ceiling in ceilings.items():
            queue = self._queues[service_class]
            while queue and self._has_room(service_class, ceiling):
                ticket = queue.pop(now)
                if self._cannot_finish(ticket, now):
                    decisions.append(Decision(ticket, Refusal.DEADLINE))
                else:
                    decisions.append(self._start(ticket))
        return decisions

    def _long_ceiling(self) -> int:
        """Return how many slots long requests may hold now."""
        wanted = math.ceil(SHORT_HEADROOM * self._short_busy)
        spare = max(self._open_slots - wanted, 1)
        return min(self._limits.long_slots, self._open_slots, spare)

    def _admit_fifo(self, now: int) -> list[Decision]:
        decisions = []
        while self.waiting and self.running < self._limits.slots:
            queue = min(
                (each for each in self._queues.values() if each),
                key=lambda each: each.oldest().number,
            )
            decisions.append(self._start(queue.pop(now)))
        return decisions

    def _has_room(self, service_class: ServiceClass, ceiling: int) -> bool:
        return (
            self.running < self._open_slots
            and self._running[service_class] < ceiling
        )

    def _start(self, ticket: Ticket) -> Decision:
        self._running[ticket.service_class] += 1
        return Decision(ticket)
