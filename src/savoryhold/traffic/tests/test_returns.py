"""Callers that were refused, and repeat their requests.

Load pattern: refused callers of which some wait as told, some return too
early, and some send the same request several times at once.
"""

import unittest

from savoryhold.core.poison import Fingerprint
from savoryhold.traffic import ReturnTracker, Standing
from savoryhold.traffic.returns import MAX_REFUSALS

CALLER = Fingerprint(7)


class TestReturns(unittest.TestCase):
    """Standing of requests."""

    def setUp(self) -> None:
        """Refuse a request at 0 ms, to return at 400 ms."""
        self.tracker = ReturnTracker()
        self.tracker.record_refusal(CALLER, 0, 400)

    def test_early_return_gains_nothing(self) -> None:
        """A caller that returns early is refused, and still has to wait."""
        self.assertIs(self.tracker.begin(CALLER, 200), Standing.EARLY)
        self.assertEqual(self.tracker.wait_left_ms(CALLER, 200), 200)
        self.assertIs(self.tracker.begin(CALLER, 390), Standing.RETURNING)

    def test_only_one_of_equal_requests_returns(self) -> None:
        """Equal requests at once get the place of one."""
        found = [self.tracker.begin(CALLER, 400) for _ in range(3)]
        expected = [Standing.RETURNING, Standing.DUPLICATE, Standing.DUPLICATE]
        self.assertEqual(found, expected)
        for _ in range(3):
            self.tracker.end(CALLER)
        self.assertIs(self.tracker.begin(CALLER, 500), Standing.NEW)
        self.assertEqual(len(self.tracker), 0)

    def test_old_refusals_do_not_count(self) -> None:
        """A refusal of 2 s ago refuses nobody, and gives no precedence."""
        self.tracker.record_refusal(CALLER, 0, 60_000)
        self.assertIs(self.tracker.begin(CALLER, 2000), Standing.NEW)
        self.tracker.end(CALLER)
        self.tracker.record_refusal(CALLER, 3000, 400)
        self.assertIs(self.tracker.begin(CALLER, 6000), Standing.NEW)

    # Requests for one popular page would have shared the place of one caller.
    def test_equal_requests_of_different_callers(self) -> None:
        """After an answer, equal requests are refused and returned apart."""
        self.tracker.record_answer(CALLER, 100)
        found = [self.tracker.begin(CALLER, 200) for _ in range(2)]
        self.assertEqual(found, [Standing.NEW, Standing.NEW])
        self.tracker.record_refusal(CALLER, 300, 400)
        found = [self.tracker.begin(CALLER, 400) for _ in range(2)]
        self.assertEqual(found, [Standing.RETURNING, Standing.NEW])

    def test_memory_is_bounded(self) -> None:
        """A crowd of refused callers does not fill the memory."""
        for number in range(2 * MAX_REFUSALS):
            self.tracker.record_refusal(Fingerprint(number), 0, 400)
        self.assertLessEqual(len(self.tracker), MAX_REFUSALS)
        self.tracker.record_refusal(CALLER, 10_000, 400)
        self.assertEqual(len(self.tracker), 1)
