"""Tests of the excess transit delay of messages."""

import unittest

from savoryhold.core.transit import WINDOW_MS, TransitDelay

CLOCK_OFFSET_MS = 1_234_567


class TestTransitDelay(unittest.TestCase):
    """The excess over the usual delay of a connection."""

    def test_clocks_that_differ(self) -> None:
        """Only the time above the least difference counts."""
        transit = TransitDelay()
        self.assertEqual(transit.excess_ms(100, 108 + CLOCK_OFFSET_MS), 0)
        self.assertEqual(transit.excess_ms(200, 3908 + CLOCK_OFFSET_MS), 3700)
        self.assertEqual(transit.excess_ms(300, 306 + CLOCK_OFFSET_MS), 0)
        self.assertEqual(transit.excess_ms(400, 408 + CLOCK_OFFSET_MS), 2)

    def test_clocks_that_drift_apart(self) -> None:
        """The base is renewed, so that drift is not mistaken for delay."""
        transit = TransitDelay()
        transit.excess_ms(0, 10)
        last = 3 * WINDOW_MS
        for sent_at in range(0, last, 1000):
            drift = sent_at // 5000
            transit.excess_ms(sent_at, sent_at + 10 + drift)
        found = transit.excess_ms(last, last + 10 + last // 5000)
        self.assertLessEqual(found, 2 * WINDOW_MS // 5000)

    def test_clock_that_starts_anew(self) -> None:
        """A sender whose clock jumped ahead sets a new base at once."""
        transit = TransitDelay()
        transit.excess_ms(0, 1000)
        self.assertEqual(transit.excess_ms(5000, 1100), 0)
