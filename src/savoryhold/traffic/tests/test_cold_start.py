"""Starts of requests at a target that is cold.

Load patterns: keys are handed over to a cold target, a zone returns whole from
an evacuation, and everything restarts at once. A cold target ends if it gets
more than its limit in any second.
"""

import itertools
import random
import unittest

from savoryhold.traffic import (
    Capacity,
    ColdStartLimiter,
    ReportDelay,
    TargetQueue,
    Ticket,
    WarmupLimits,
)
from savoryhold.traffic.tests.model import Kind, TargetModel

LIMITS = WarmupLimits(per_s=3.35, over=1.5, slack=8)
PER_SECOND = 13  # 3.35 * 1.5 + 8, rounded down
REPORT_MS = 870
COLD_MS = 3000
SECONDS = 12
SLOTS = 5
SEEDS = (1, 2, 3)
MIN_RATE_SHARE = 0.85  # of the permitted rate, if there is enough demand
MAX_REFUSED_LATE = 0.05


def limiter_at(now: int, limits: WarmupLimits = LIMITS) -> ColdStartLimiter:
    """Return the limiter of a process that starts now."""
    limiter = ColdStartLimiter()
    limiter.limits = limits
    limiter.suspect_cold(now, now)
    return limiter


def most_in_a_second(times: list[int]) -> int:
    """Return the most events in any second."""
    ordered = sorted(times)
    return max(
        sum(1 for other in ordered[first:] if other - at <= 1000)
        for first, at in enumerate(ordered)
    )


class TestColdStart(unittest.TestCase):
    """How many requests a cold target gets, and what happens to the rest."""

    def test_keys_handed_over_to_cold_target(self) -> None:
        """Three times its capacity meets it; the excess is refused at once."""
        kind = Kind('exam', 30, 220, 1000, 4000, 0, 1.0, 0.8)
        for seed in SEEDS:
            model = TargetModel(SLOTS, [kind], seed, limiter_at(0))
            model.simulate(SECONDS)
            found = model.outcomes['exam']
            rate = len(model.started_at) / SECONDS
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    most_in_a_second(model.started_at), PER_SECOND
                )
                self.assertGreaterEqual(
                    rate, MIN_RATE_SHARE * LIMITS.per_s * LIMITS.over
                )
                self.assertLessEqual(
                    found.refused_late, MAX_REFUSED_LATE * found.asked
                )

    def test_zone_returns_whole(self) -> None:
        """A queue filled while warm does not reach the target at once."""
        kind = Kind('results', 60, 880, 4000, 8000, 2, 1.0, 0.5)
        model = TargetModel(SLOTS * 4, [kind], 1, limiter_at(0))
        model.limiter.on_report(0, 1, 1)
        model.limiter.suspect_cold(4000, 4000)
        # A report that was under way at the end of the evacuation.
        model.limiter.on_report(0, 3900, 4600)
        self.assertTrue(model.limiter.is_cold(4600))
        model.simulate(SECONDS)
        cold = [at for at in model.started_at if at > 4000]
        self.assertLessEqual(most_in_a_second(cold), PER_SECOND)

    def test_restart_of_everything_at_once(self) -> None:
        """The first start waits for a token; the phase ends as reported."""
        limiter = limiter_at(5000)
        limiter.start(5000)
        limiter.record_sent(5000)
        self.assertGreater(limiter.next_start_ms(5001), 0)
        limiter.on_report(COLD_MS, 5100, 5200)
        self.assertTrue(limiter.is_cold(5200 + COLD_MS - 1))
        self.assertFalse(limiter.is_cold(5200 + COLD_MS))
        self.assertEqual(limiter.next_start_ms(5200 + COLD_MS), 0)

    def test_tickets_admitted_while_warm(self) -> None:
        """Those that a cold target cannot start in time are refused at once."""
        queue = TargetQueue(SLOTS)
        for number in range(12):
            ticket = Ticket(number, 'exam', 0, 0, 1000, 4000)
            self.assertIsNone(queue.offer(ticket, 0))
        limiter = limiter_at(0)
        queue.capacity = lambda: Capacity(
            start_ms=limiter.next_start_ms(0), gap_ms=limiter.gap_ms(0)
        )
        refused = {one.ticket.number for one in queue.refuse_late(0)}
        self.assertEqual(refused, set(range(4, 12)))

    # A paused process sends late, so that requests started over more than a
    # second reach the target within one.
    def test_delayed_sends_keep_the_limit(self) -> None:
        """The limit holds for sends, with and without slack, at any delay."""
        for limits, seed in itertools.product(
            (LIMITS, WarmupLimits(3.35, 1.0, 0)), SEEDS
        ):
            rng = random.Random(seed)
            limiter = limiter_at(0, limits)
            pending: list[int] = []
            sent: list[int] = []
            for now in range(0, 20_000, 5):
                if not now % 3000:
                    pause_ms = rng.choice((400, 900, 1500))
                paused = now % 3000 < pause_ms
                while pending and not paused:
                    pending.pop()
                    limiter.record_sent(now)
                    sent.append(now)
                if not limiter.next_start_ms(now):
                    limiter.start(now)
                    pending.append(now)
            with self.subTest(limits=limits, seed=seed):
                self.assertLessEqual(most_in_a_second(sent), limits.per_window)


class TestReportDelay(unittest.TestCase):
    """When a report was sent."""

    def test_late_report(self) -> None:
        """A report seconds late counts as sent when it was due."""
        delay = ReportDelay(REPORT_MS)
        for sequence in range(1, 5):
            at = sequence * REPORT_MS + 3
            self.assertEqual(delay.sent_at(sequence, at), at)
        late = 5 * REPORT_MS + 2003
        self.assertEqual(delay.sent_at(5, late), late - 2000)
