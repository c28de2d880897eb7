"""Sustained overload of a target.

Load pattern: peaks of a load wave with 1.1 to 2 times the capacity of the
slots, a third of it more urgent and worth twice as much.  The queue used to
answer the less urgent kind just after its aim, and to refuse many requests
after a long wait.
"""

import unittest

from savoryhold.traffic.tests.model import Kind, TargetModel

SEEDS = (1, 2, 3)
SLOTS = 3
SECONDS = 30
AIM_MS = 460
DEADLINE_MS = 1725
MAX_REFUSED_LATE = 0.05  # of the requests may be refused after a wait
MIN_IN_AIM = 0.9  # of the answered requests
MIN_URGENT_IN_AIM = 0.97


def kinds(load: float) -> list[Kind]:
    """Return kinds that bring `load` times the capacity of three slots."""
    lookup = Kind('lookup', 20 * load, 100, AIM_MS, DEADLINE_MS, 2, 1, 0.8)
    booking = Kind('booking', 10 * load, 95, AIM_MS, DEADLINE_MS, 1, 2, 0.4)
    return [lookup, booking]


class TestOverloadPeak(unittest.TestCase):
    """Which requests are served, and how soon the others are refused."""

    def test_answers_meet_their_aim(self) -> None:
        """At least nine of ten answers come within their aim."""
        for load in (1.1, 1.3, 1.6, 2.0):
            for seed in SEEDS:
                model = TargetModel(SLOTS, kinds(load), seed)
                model.simulate(SECONDS)
                found = model.outcomes['lookup']
                with self.subTest(load=load, seed=seed):
                    self.assertGreaterEqual(
                        found.in_aim, MIN_IN_AIM * found.answered
                    )

    def test_refusals_come_at_once(self) -> None:
        """Few requests are refused after more than a brief wait."""
        for load in (1.1, 1.3, 1.6, 2.0):
            for seed in SEEDS:
                model = TargetModel(SLOTS, kinds(load), seed)
                model.simulate(SECONDS)
                found = model.outcomes['lookup']
                with self.subTest(load=load, seed=seed):
                    self.assertLessEqual(
                        found.refused_late, MAX_REFUSED_LATE * found.asked
                    )

    def test_more_urgent_work_is_served(self) -> None:
        """The more urgent bookings run while lookups are refused."""
        model = TargetModel(SLOTS, kinds(1.6), 1)
        model.simulate(SECONDS)
        found = model.outcomes['booking']
        self.assertGreaterEqual(found.in_aim, MIN_URGENT_IN_AIM * found.asked)

    def test_slots_stay_busy(self) -> None:
        """Refusals leave no slots idle: the worth is near the maximum."""
        for load in (1.3, 1.6, 2.0):
            model = TargetModel(SLOTS, kinds(load), 2)
            model.simulate(SECONDS)
            booking = model.outcomes['booking']
            slot_ms = SLOTS * SECONDS * 1000 - 95 * booking.asked
            limit = 2 * booking.asked + slot_ms / 100
            with self.subTest(load=load):
                self.assertGreaterEqual(model.worth(), 0.85 * limit)
