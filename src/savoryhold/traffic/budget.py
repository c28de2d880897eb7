"""Retry budgets per service, shared by all nodes of the fleet."""

import dataclasses
from collections import deque

from savoryhold.core.ids import ServiceName

__all__ = ['RetryDecision', 'SharedRetryBudgets']

CALLS_SHARE = 0.5  # of a budget, for nested calls; the rest for other repeats
SAFETY_FACTOR = 0.7  # of the budget; load peaks of nodes do not coincide


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a retry was granted, with the counts that decided it."""

    granted: bool
    requests: int
    repeats: int
    limit: float
    nodes: int


class _Window:
    """Times in ms of the requests and the repeats of one service.

    ``repeats`` are attempts beyond the first of a request.  ``nested_calls``
    are the calls that repeats at other services make; they count as repeats.
    """

    def __init__(self) -> None:
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()
        self.nested_calls: deque[int] = deque()
        self.calls_requested_at: int | None = None

    @property
    def repeat_count(self) -> int:
        """Return the number of repeats of both kinds."""
        return len(self.repeats) + len(self.nested_calls)

    def expire(self, since: int) -> None:
        """Drop entries from before a time."""
        for times in (self.requests, self.repeats, self.nested_calls):
            while times and times[0] < since:
                times.popleft()
        if (
            self.calls_requested_at is not None
            and self.calls_requested_at < since
        ):
            self.calls_requested_at = None


class SharedRetryBudgets:
    """Limits retries to a share of each service's requests in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request for the same service.
    slack : float
        Additional retries per window and service, for all nodes together.
    window_ms : int
        Length of the window.
    now : int
        Start time of this process, in ms.

    Notes
    -----
    Each service has a budget of its own, as its targets bear the load of the
    retries: requests for a healthy service earn none for a failing one.

    A process knows neither how much of the slack its predecessor has spent
    nor, before it has listed the nodes, how many of them share it.  It gets
    no slack until it has listed them and a window has passed since its start.
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: int, now: int
    ) -> None:
        self.nodes: int | None = None
        self._slack_valid_from = now + window_ms
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._windows: dict[ServiceName, _Window] = {}

    def count_request(self, service: ServiceName, now: int) -> None:
        """Count a caller's request for a service, which earns retries."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.requests.append(now)

    def count_repeated_call(self, service: ServiceName, now: int) -> None:
        """Count a nested call of a repeat."""
        window = self._window(service)
        window.expire(now - self._window_ms)
        window.nested_calls.append(now)

    def spend(self, service: ServiceName, now: int) -> RetryDecision:
        """Spend one retry of a service if its budget allows."""
        window = self._window(service)
        limit = self._limit(window, now)
        own_limit = limit
        if window.calls_requested_at is not None:
            own_limit *= 1 - CALLS_SHARE
        granted = (
            window.repeat_count + 1 <= limit
            and len(window.repeats) + 1 <= own_limit
        )
        if granted:
            window.repeats.append(now)
        return RetryDecision(
            granted,
            len(window.requests),
            window.repeat_count,
            limit,
            self.nodes or 0,
        )

    def may_repeat_calls(self, service: ServiceName, now: int) -> bool:
        """Return whether repeats may still make nested calls at a service."""
        window = self._window(service)
        limit = self._limit(window, now)
        window.calls_requested_at = now
        return (
            window.repeat_count < limit
            and len(window.nested_calls) < limit * CALLS_SHARE
        )

    def _limit(self, window: _Window, now: int) -> float:
        window.expire(now - self._window_ms)
        earned = self._ratio * len(window.requests)
        return (earned + self._slack_share(now)) * SAFETY_FACTOR

    def _slack_share(self, now: int) -> float:
        if self.nodes is None or now < self._slack_valid_from:
            return 0.0
        return self._slack / self.nodes

    def _window(self, service: ServiceName) -> _Window:
        return self._windows.setdefault(service, _Window())
