"""Admission control at an ingress whose owner is, or was, overloaded.

Load pattern: 40 requests a second at one ingress, of which the owner takes a
third; then the overload ends, or all news of it stop.
"""

import dataclasses
import random
import unittest

from savoryhold.traffic import Arrival, EntryControl, EntryRefusal
from savoryhold.traffic.entry import MAX_PLACES

EVERY_MS = 25
OVERLOAD_MS = 3000
RUN_MS = 200.0
AIM_MS = 1000
FULL_MS = 650.0  # expected wait at which the owner refuses
URGENT = (0, True)
USUAL = (1, True)


def arrival(level: tuple[int, bool] = USUAL) -> Arrival:
    """Return a request that arrives at the ingress."""
    return Arrival('owner', level, AIM_MS, 3 * AIM_MS, RUN_MS)


class TestEntry(unittest.TestCase):
    """What the ingress passes on."""

    def setUp(self) -> None:
        """Let the owner refuse two of three requests for some time."""
        self.entry = EntryControl(random.Random(1))
        self.sent = 0
        for now in range(0, OVERLOAD_MS, EVERY_MS):
            if self.entry.enter(arrival(), now) is None:
                self.sent += 1
                self.hear(now, taken=self.sent % 3 == 0)

    def hear(self, now: int, *, taken: bool, room_ms: float = FULL_MS) -> None:
        """Record how the owner responded."""
        if taken:
            self.entry.record_answer('owner', USUAL, now, room_ms)
        else:
            self.entry.record_refusal('owner', USUAL, now, room_ms)

    def shed(self, now: int, level: tuple[int, bool] = USUAL) -> int:
        """Return how many of 40 requests within 100 ms are shed."""
        found = [
            self.entry.enter(arrival(level), now + number * 100 // 40)
            for number in range(40)
        ]
        return sum(isinstance(refusal, EntryRefusal) for refusal in found)

    def test_excess_is_shed(self) -> None:
        """Many requests are shed, but more are sent than the owner takes."""
        asked = OVERLOAD_MS // EVERY_MS
        self.assertLess(self.sent, 0.8 * asked)
        self.assertGreater(self.sent, asked / 3)

    def test_more_urgent_requests_are_passed_on(self) -> None:
        """Refusals of a kind shed no more urgent kind, but less urgent ones."""
        self.assertEqual(self.shed(OVERLOAD_MS, URGENT), 0)
        self.assertGreater(self.shed(OVERLOAD_MS, (2, True)), 0)

    def test_probes_find_the_end_of_an_overload(self) -> None:
        """With an owner that takes all again, nothing is shed after 1 s."""
        for now in range(OVERLOAD_MS, OVERLOAD_MS + 1000, EVERY_MS):
            if self.entry.enter(arrival(), now) is None:
                self.hear(now, taken=True, room_ms=0)
        self.assertEqual(self.shed(OVERLOAD_MS + 1000), 0)

    # A view of 2 s ago refused requests for which there was room.
    def test_old_news_refuse_nobody(self) -> None:
        """If all news stop, nothing is shed after 2 s."""
        self.assertGreater(self.shed(OVERLOAD_MS), 0)
        self.assertEqual(self.shed(OVERLOAD_MS + 2000), 0)

    # One slow owner had requests refused that others had room for.
    def test_one_slow_owner_of_many(self) -> None:
        """A wait beyond the objective sheds all only at a single owner."""
        for one_owner, shed in ((True, True), (False, False)):
            entry = EntryControl(random.Random(1))
            need = dataclasses.replace(arrival(), one_owner=one_owner)
            for now in (0, 200, 220):
                self.assertIsNone(entry.enter(need, now))
                entry.record_answer('owner', USUAL, now, FULL_MS)
            entry.record_refusal('owner', USUAL, 230, 5 * AIM_MS)
            self.assertIsNone(entry.enter(need, 240))  # a probe
            with self.subTest(one_owner=one_owner):
                self.assertEqual(entry.enter(need, 260) is not None, shed)

    def test_memory_is_bounded(self) -> None:
        """A fleet of any size takes a bounded memory."""
        for number in range(2 * MAX_PLACES):
            self.entry.record_answer(f'n{number}', USUAL, 0, 0)
        self.assertEqual(len(self.entry), MAX_PLACES)
