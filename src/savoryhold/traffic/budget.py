"""This node's part of the retry budgets that all nodes share."""

import dataclasses
from collections import deque

from savoryhold.core.ids import ServiceName

__all__ = ['SharedBudgets', 'Spending']

SAFETY = 0.7  # part of the budget that is used; nodes do not count together


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """Whether a retry was granted, and on which counts of the window."""

    granted: bool
    requests: int
    repeats: int
    limit: float
    nodes: int


class _Window:
    """Requests for one service, and repeats, by their times in ms."""

    def __init__(self) -> None:
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()

    def expire(self, since: int) -> None:
        """Forget what came before a time."""
        for times in (self.requests, self.repeats):
            while times and times[0] < since:
                times.popleft()


class SharedBudgets:
    """Allows retries as a share of a service's requests, in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request for the same service.
    slack : float
        Further retries of a service that all nodes together have per window.
    window_ms : int
        Length of the window.
    now : int
        When this process started, in ms.

    Notes
    -----
    A target's service bears the retries, so that each has a budget of its
    own: requests for a healthy service earn none for one in trouble.

    A process does not know what the one before it has spent, nor how many
    nodes share the slack before it has listed them.  It retries on its own
    requests alone until it has listed them and a window has passed.
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: int, now: int
    ) -> None:
        self.nodes: int | None = None
        self._slack_from = now + window_ms
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._windows: dict[ServiceName, _Window] = {}

    def requested(self, service: ServiceName, now: int) -> None:
        """Count a request of a caller for a service."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.requests.append(now)

    def charge(self, service: ServiceName, now: int) -> None:
        """Count a retry at a service that is made without asking."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.repeats.append(now)

    def spend(self, service: ServiceName, now: int) -> Spending:
        """Take one retry at a service if there is one left."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        earned = self._ratio * len(window.requests)
        limit = (earned + self._slack_share(now)) * SAFETY
        granted = len(window.repeats) + 1 <= limit
        if granted:
            window.repeats.append(now)
        return Spending(
            granted,
            len(window.requests),
            len(window.repeats),
            limit,
            self.nodes or 0,
        )

    def _slack_share(self, now: int) -> float:
        if self.nodes is None or now < self._slack_from:
            return 0.0
        return self._slack / self.nodes

    def _window(self, service: ServiceName) -> _Window:
        return self._windows.setdefault(service, _Window())
