"""Tests of admission control: classes, fairness, deadlines and ramp-up."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from savoryhold.core.admission import (
    AdmissionLimits,
    AdmissionQueue,
    Decision,
    Refusal,
    Ticket,
)
from savoryhold.core.configuration import AdmissionPolicy, ServiceClass

__all__ = ['TestAdmission']

FAR_DEADLINE = 1_000_000
SLOTS = 6


def ramped_up_queue(
    policy: AdmissionPolicy = AdmissionPolicy.ADAPTIVE,
) -> AdmissionQueue:
    """Return a queue whose target has answered until the ramp-up ended."""
    queue = AdmissionQueue(AdmissionLimits(SLOTS, queue=20, policy=policy))
    for number in range(SLOTS):
        first = ticket(-number - 1)
        queue.offer(first, 0)
        queue.finish(first, 0, took_ms=10)
    return queue


def ticket(
    number: int,
    key: str = 'key',
    kind: ServiceClass = ServiceClass.SHORT,
    deadline: int = FAR_DEADLINE,
    at: int = 0,
) -> Ticket:
    """Return a ticket of a short request unless told otherwise."""
    return Ticket(number, key, kind, deadline, at)


def admitted(decisions: list[Decision]) -> list[int]:
    """Return the numbers of the tickets that were admitted."""
    return [one.ticket.number for one in decisions if one.refusal is None]


class TestAdmission(unittest.TestCase):
    """One target's queue."""

    def test_cold_target_gets_one_request_first(self) -> None:
        """Slots open one by one with the target's answers."""
        queue = AdmissionQueue(AdmissionLimits(SLOTS))
        first = queue.offer(ticket(1), 0)
        second = queue.offer(ticket(2), 0)
        self.assertEqual(admitted(first), [1])
        self.assertEqual(admitted(second), [])
        after = queue.finish(ticket(1), 5, took_ms=5)
        self.assertEqual(admitted(after), [2])
        self.assertEqual(queue.open_slots, 2)

    def test_long_requests_leave_slots_for_short_ones(self) -> None:
        """Long requests hold at most their share of the slots."""
        queue = ramped_up_queue()
        for number in range(10):
            queue.offer(ticket(number, kind=ServiceClass.LONG), 0)
        self.assertEqual(queue.running, 2)
        self.assertEqual(admitted(queue.offer(ticket(50), 0)), [50])

    def test_fifo_lets_long_requests_take_all(self) -> None:
        """The baseline has no classes."""
        queue = ramped_up_queue(AdmissionPolicy.FIFO)
        for number in range(10):
            queue.offer(ticket(number, kind=ServiceClass.LONG), 0)
        self.assertEqual(queue.running, SLOTS)

    def test_late_request_is_refused_at_once(self) -> None:
        """A request that cannot meet its deadline does not wait."""
        queue = ramped_up_queue()
        found = queue.offer(ticket(1, deadline=5), 0)
        self.assertEqual([one.refusal for one in found], [Refusal.DEADLINE])

    def test_full_queue_refuses(self) -> None:
        """The queue is bounded."""
        queue = ramped_up_queue()
        found: list[Decision] = []
        for number in range(SLOTS + 21):
            found = queue.offer(ticket(number), 0)
        self.assertEqual([one.refusal for one in found], [Refusal.QUEUE_FULL])

    def test_limits_change_while_requests_run(self) -> None:
        """New limits apply at once, even if the target is never idle.

        They used to apply only once no request was running.
        """
        queue = ramped_up_queue()
        for number in range(SLOTS + 4):
            queue.offer(ticket(number), 0)
        queue.reconfigure(AdmissionLimits(2))
        done = [queue.finish(ticket(0), 1, took_ms=1) for _ in range(5)]
        self.assertFalse(any(admitted(found) for found in done[:4]))
        self.assertEqual(queue.running, 2)

    def test_keys_take_turns(self) -> None:
        """A busy key does not delay another one."""
        queue = ramped_up_queue()
        for number in range(SLOTS):
            queue.offer(ticket(number), 0)
        for busy in range(10, 15):
            queue.offer(ticket(busy, 'busy'), 0)
        queue.offer(ticket(20, 'calm'), 0)
        order = [
            admitted(queue.finish(ticket(0), 1, took_ms=1))[0] for _ in range(3)
        ]
        self.assertIn(20, order)

    def test_standing_queue_serves_newest(self) -> None:
        """A standing queue serves the newest requests first."""
        queue = ramped_up_queue()
        for number in range(SLOTS):
            queue.offer(ticket(number), 0)
        for number in range(10, 20):
            queue.offer(ticket(number, f'k{number}', at=number * 30), 600)
        found = queue.finish(ticket(0), 600, took_ms=10)
        self.assertGreater(admitted(found)[0], 11)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(('offer', 'long', 'finish', 'withdraw')),
                st.integers(0, 3),
                st.integers(1, 400),
            ),
            max_size=80,
        )
    )
    def test_slots_and_tickets_are_conserved(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        """No slot is used twice, and each ticket is decided once."""
        queue = AdmissionQueue(AdmissionLimits(SLOTS, queue=10))
        numbers = itertools.count()
        waiting: dict[int, Ticket] = {}
        running: dict[int, Ticket] = {}
        now = 0
        for kind, key, delta in steps:
            now += delta // 10
            decisions: list[Decision] = []
            if kind in {'offer', 'long'}:
                name = 'long' if kind == 'long' else 'short'
                one = ticket(
                    next(numbers),
                    str(key),
                    ServiceClass(name),
                    now + delta,
                    now,
                )
                waiting[one.number] = one
                decisions = queue.offer(one, now)
            elif kind == 'finish' and running:
                done = running.pop(min(running))
                decisions = queue.finish(done, now, took_ms=delta)
            elif kind == 'withdraw' and waiting:
                gone = waiting.pop(min(waiting))
                self.assertTrue(queue.withdraw(gone))
            for decision in decisions:
                decided = waiting.pop(decision.ticket.number)
                if decision.refusal is None:
                    running[decided.number] = decided
            self.assertEqual(queue.running, len(running))
            self.assertEqual(queue.waiting, len(waiting))
            self.assertLessEqual(queue.running, queue.open_slots)
