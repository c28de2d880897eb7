"""Tests of the shared retry budgets."""

import unittest

from savoryhold.core.ids import ServiceName
from savoryhold.traffic import SharedRetryBudgets

DESK = ServiceName('desk')
WINDOW_MS = 10_000


class TestSharedBudgets(unittest.TestCase):
    """State that the budgets keep."""

    # Entries used to expire on retries only, so they grew without bound.
    def test_window_without_retries_stays_short(self) -> None:
        """Entries older than a window are dropped even without retries."""
        budgets = SharedRetryBudgets(0.2, 50, WINDOW_MS, now=0)
        for now in range(0, 10 * WINDOW_MS, 100):
            budgets.count_request(DESK, now)
        kept = budgets._windows[DESK].requests
        self.assertLessEqual(len(kept), WINDOW_MS // 100 + 1)
