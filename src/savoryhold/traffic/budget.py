"""This node's part of the retry budgets that all nodes share."""

import dataclasses
from collections import deque

from savoryhold.core.ids import ServiceName

__all__ = ['SharedRetryBudgets', 'RetryDecision']

CALLS_SHARE = 0.5  # of a budget; the rest is for other repeats
SAFETY = 0.7  # of the budget; nodes meet their peaks at different times


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a retry was granted, and on which counts of the window."""

    granted: bool
    requests: int
    repeats: int
    limit: float
    nodes: int


class _Window:
    """Requests for one service, and repeats, by their times in ms.

    ``calls`` are those repeats that repeated runs of other services make.
    """

    def __init__(self) -> None:
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()
        self.calls: deque[int] = deque()
        self.calls_wanted_at: int | None = None

    @property
    def used(self) -> int:
        """Return how many repeats there were."""
        return len(self.repeats) + len(self.calls)

    def expire(self, since: int) -> None:
        """Forget what came before a time."""
        for times in (self.requests, self.repeats, self.calls):
            while times and times[0] < since:
                times.popleft()
        if self.calls_wanted_at is not None and self.calls_wanted_at < since:
            self.calls_wanted_at = None


class SharedRetryBudgets:
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

    def count_request(self, service: ServiceName, now: int) -> None:
        """Count a request of a caller for a service."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.requests.append(now)

    def count_repeated_call(self, service: ServiceName, now: int) -> None:
        """Count a call that a repeated run makes at a service."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.calls.append(now)

    def spend(self, service: ServiceName, now: int) -> RetryDecision:
        """Take one retry at a service if there is one left."""
        window = self._window(service)
        limit = self._limit(window, now)
        own_limit = limit
        if window.calls_wanted_at is not None:
            own_limit *= 1 - CALLS_SHARE
        granted = (
            window.used + 1 <= limit and len(window.repeats) + 1 <= own_limit
        )
        if granted:
            window.repeats.append(now)
        return RetryDecision(
            granted,
            len(window.requests),
            window.used,
            limit,
            self.nodes or 0,
        )

    def may_repeat_calls(self, service: ServiceName, now: int) -> bool:
        """Return whether repeated runs may go on to call a service."""
        window = self._window(service)
        limit = self._limit(window, now)
        window.calls_wanted_at = now
        return window.used < limit and len(window.calls) < limit * CALLS_SHARE

    def _limit(self, window: _Window, now: int) -> float:
        window.expire(now - self._window_ms)
        earned = self._ratio * len(window.requests)
        return (earned + self._slack_share(now)) * SAFETY

    def _slack_share(self, now: int) -> float:
        if self.nodes is None or now < self._slack_from:
            return 0.0
        return self._slack / self.nodes

    def _window(self, service: ServiceName) -> _Window:
        return self._windows.setdefault(service, _Window())
