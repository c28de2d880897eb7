"""This node's part of the retry budget that all nodes share."""

import dataclasses
from collections import deque

__all__ = ['SharedBudget', 'Spending']

SAFETY = 0.7  # part of the budget that is used; nodes do not count together


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """Whether a retry was granted, and on which counts of the window."""

    granted: bool
    requests: int
    repeats: int
    limit: float
    nodes: int


class SharedBudget:
    """Allows retries as a share of requests, over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Further retries that all nodes together have per window.
    window_ms : int
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self.nodes = 1
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._sent: deque[int] = deque()
        self._again: deque[int] = deque()

    def sent(self, now: int) -> None:
        """Count a request of a caller."""
        self._sent.append(now)

    def spend(self, now: int) -> Spending:
        """Take one retry if there is one left."""
        self._expire(now)
        limit = self._ratio * len(self._sent) + self._slack / self.nodes
        granted = len(self._again) + 1 <= limit * SAFETY
        if granted:
            self._again.append(now)
        return Spending(
            granted,
            len(self._sent),
            len(self._again),
            limit * SAFETY,
            self.nodes,
        )

    def _expire(self, now: int) -> None:
        since = now - self._window_ms
        for times in (self._sent, self._again):
            while times and times[0] < since:
                times.popleft()
