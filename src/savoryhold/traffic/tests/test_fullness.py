"""A target that resets connections when it is full.

Load pattern: sustained overload of a target with three slots, one of which
something else takes for two seconds of every six.
"""

import unittest

from savoryhold.traffic import (
    Capacity,
    FullnessBound,
    TargetQueue,
    Ticket,
    may_send_bytes,
)
from savoryhold.traffic.tests.model import Kind, TargetModel

SLOTS = 3
SECONDS = 60
SEEDS = (1, 2, 3)
PERIOD_MS = 6000
TAKEN_MS = 2000  # of each period
MAX_RESETS = 0.35  # of those without the bound
MIN_IN_AIM = 0.95  # of those without the bound
MB = 1_000_000


class FullModel(TargetModel):
    """A target that resets what exceeds its slots, within a millisecond."""

    def __init__(self, seed: int, *, bounded: bool) -> None:
        lookup = Kind('lookup', 25, 190, 882, 4000, 2, 1.0, 0.8)
        super().__init__(SLOTS, [lookup], seed)
        self.bound = FullnessBound()
        self.bounded = bounded
        self.broken: set[int] = set()
        self.last = 0

    def _capacity(self) -> Capacity:
        if not self.bounded:
            return Capacity()
        return Capacity(slots=self.bound.usable(SLOTS, self.now))

    def _start_next(self) -> Ticket | None:
        started = super()._start_next()
        if started is not None:
            self.last = started.number
            taken = self.now % PERIOD_MS < TAKEN_MS
            running = len(self.queue.running) - len(
                self.broken & set(self.queue.running)
            )
            if running + taken > SLOTS:
                self.broken.add(started.number)
        return started

    def _run_ms(self, kind: Kind) -> float:
        return 1 if self.last in self.broken else super()._run_ms(kind)

    def _on_end(self, ticket: Ticket, now: int) -> None:
        if ticket.number not in self.broken:
            super()._on_end(ticket, now)
            return
        self.bound.record_reset(1, len(self.queue.running), SLOTS, now)
        self.queue.remove(ticket.number)


class TestFullTarget(unittest.TestCase):
    """How often a full target resets, and what avoiding that costs."""

    def test_resets_become_rare(self) -> None:
        """Resets fall to a third, and as many requests are in time."""
        for seed in SEEDS:
            models = {}
            for bounded in (False, True):
                models[bounded] = FullModel(seed, bounded=bounded)
                models[bounded].simulate(SECONDS)
            in_aim = {
                bounded: model.outcomes['lookup'].in_aim
                for bounded, model in models.items()
            }
            resets = {
                bounded: len(model.broken) for bounded, model in models.items()
            }
            with self.subTest(seed=seed):
                self.assertLessEqual(resets[True], MAX_RESETS * resets[False])
                self.assertGreaterEqual(
                    in_aim[True], MIN_IN_AIM * in_aim[False]
                )

    # A break while a request runs, or of the only request, shows a fault.
    def test_other_breaks_lower_nothing(self) -> None:
        """Only quick resets of a busy target count; the bound recovers."""
        bound = FullnessBound()
        for ran_ms, running in ((400, 3), (1, 1)):
            self.assertFalse(bound.record_reset(ran_ms, running, SLOTS, 0))
        self.assertTrue(bound.is_open(SLOTS, 0))
        for at in (0, 10, 20):
            self.assertTrue(bound.record_reset(1, 3, SLOTS, at))
        self.assertEqual(bound.usable(SLOTS, 30), 2)
        for at in range(1000, 9000, 300):
            bound.record_reset(1, 2, SLOTS, at)
        self.assertEqual(bound.usable(SLOTS, 9000), 1)
        self.assertEqual(bound.usable(SLOTS, 18_000), SLOTS)


class TestBytesInFlight(unittest.TestCase):
    """Long bodies do not reach a target all at once."""

    def test_large_bodies_wait_for_one_another(self) -> None:
        """Small requests pass them, and the longest body gets its turn."""
        queue = TargetQueue(SLOTS)
        for number, size in enumerate((30 * MB, 30 * MB, 1000)):
            ticket = Ticket(number, 'upload', 0, 0, 5000, 9000, size=size)
            self.assertIsNone(queue.offer(ticket, 0))
        for _ in range(SLOTS):
            queue.start_next(0)
        self.assertEqual(set(queue.running), {0, 2})
        queue.remove(0)
        queue.start_next(1)
        self.assertEqual(set(queue.running), {1, 2})
        self.assertTrue(may_send_bytes(67 * MB, 8 * MB))
        self.assertFalse(may_send_bytes(67 * MB, 9 * MB))
        self.assertFalse(may_send_bytes(3 * MB, 14 * MB))
