"""Which failed requests may be retried, and how often."""

import dataclasses

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import ServiceName
from savoryhold.core.verdict import Verdict

__all__ = [
    'AttemptHistory',
    'RetryBudget',
    'RetryBudgets',
    'backoff_ms',
    'may_retry',
]

FIRST_BACKOFF_MS = 20
MAX_BACKOFF_MS = 200
MAX_DOUBLINGS = 8
# Few, as a new process does not know how many were spent before its start.
INITIAL_RETRIES = 5
SUCCESSES_PER_RETRY = 10


def may_retry(exc: RequestError, *, idempotent: bool) -> bool:
    """Return whether an error allows another attempt at any owner.

    Parameters
    ----------
    exc : RequestError
        How the last attempt ended.
    idempotent : bool
        Whether the request may run more than once.
    """
    if exc.status in {400, 404, 413}:
        return False
    return exc.verdict is Verdict.NOT_RUN or (
        idempotent and exc.verdict is Verdict.MAY_HAVE_RUN
    )


def backoff_ms(attempt: int, jitter: float) -> int:
    """Return the wait before an attempt in ms.

    Parameters
    ----------
    attempt : int
        Number of attempts so far.
    jitter : float
        A random number from 0 to 1.

    Notes
    -----
    Exponential backoff with jitter over the upper half.
    """
    doubled = FIRST_BACKOFF_MS << min(attempt, MAX_DOUBLINGS)
    ceiling = min(doubled, MAX_BACKOFF_MS)
    return round(ceiling * (1 + jitter) / 2)


class AttemptHistory:
    """The failed attempts of one request.

    Notes
    -----
    If an earlier attempt may have run, the request is not refused as "not
    run", even if its last attempt certainly did not run.
    """

    def __init__(self) -> None:
        self.count = 0
        self.last: RequestError = RequestError('not attempted')
        self._uncertain: RequestError | None = None

    def record_failure(self, exc: RequestError) -> None:
        """Record how an attempt ended."""
        self.count += 1
        self.last = exc
        if exc.verdict is Verdict.MAY_HAVE_RUN:
            self._uncertain = exc

    def record_uncertain(self, exc: RequestError) -> None:
        """Record that an attempt whose outcome is open may have run."""
        self._uncertain = exc

    def outcome(self) -> RequestError:
        """Return the error for all attempts: an uncertain one, if any."""
        return self._uncertain or self.last


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket filled by successes and emptied by retries.

    Parameters
    ----------
    successes_per_retry : int
        Successes that add one retry to the budget.
    max_retries : int
        Maximum number of retries that the budget holds.
    unspent_successes : int
        Successes counted and not yet spent on retries.
    """

    successes_per_retry: int = SUCCESSES_PER_RETRY
    max_retries: int = 50
    unspent_successes: int = INITIAL_RETRIES * SUCCESSES_PER_RETRY

    def record_success(self) -> None:
        """Count a success."""
        self.unspent_successes = min(
            self.unspent_successes + 1,
            self.max_retries * self.successes_per_retry,
        )

    def spend(self) -> bool:
        """Spend one retry; return whether there was one left."""
        if self.unspent_successes < self.successes_per_retry:
            return False
        self.unspent_successes -= self.successes_per_retry
        return True


class RetryBudgets:
    """One retry budget per service.

    Notes
    -----
    The targets of a service bear the load of its retries, so successes of
    other services do not add to its budget.
    """

    def __init__(self) -> None:
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())
