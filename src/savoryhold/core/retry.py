"""Which failed requests may be tried again, and how often."""

import dataclasses

from savoryhold.core.errors import RequestError
from savoryhold.core.ids import ServiceName
from savoryhold.core.verdict import Verdict

__all__ = [
    'RetryBudget',
    'RetryBudgets',
    'AttemptHistory',
    'backoff_ms',
    'may_retry',
]

FIRST_BACKOFF_MS = 20
MAX_BACKOFF_MS = 200
MAX_DOUBLINGS = 8
FIRST_RETRIES = 5  # of a new process, which does not know what was spent
SUCCESSES = 10  # that earn one retry


def may_retry(exc: RequestError, *, idempotent: bool) -> bool:
    """Return whether an error allows another try at any owner.

    Parameters
    ----------
    exc : RequestError
        How the last try ended.
    idempotent : bool
        Whether the request may run more than once.
    """
    if exc.status in {400, 404, 413}:
        return False
    return exc.verdict is Verdict.NOT_RUN or (
        idempotent and exc.verdict is Verdict.MAY_HAVE_RUN
    )


def backoff_ms(attempt: int, jitter: float) -> int:
    """Return the wait before a try.

    Parameters
    ----------
    attempt : int
        Number of tries so far.
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
    """The failed tries of one request.

    Notes
    -----
    A request whose earlier try may have run is not refused as "not run"
    because its last try did not.
    """

    def __init__(self) -> None:
        self.count = 0
        self.last: RequestError = RequestError('not tried')
        self._uncertain: RequestError | None = None

    def failed(self, exc: RequestError) -> None:
        """Note how a try ended."""
        self.count += 1
        self.last = exc
        if exc.verdict is Verdict.MAY_HAVE_RUN:
            self._uncertain = exc

    def may_have_run(self, exc: RequestError) -> None:
        """Note that a try that goes on may have run the request."""
        self._uncertain = exc

    def outcome(self) -> RequestError:
        """Return the error that holds for all tries together."""
        return self._uncertain or self.last


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket filled by successes and emptied by retries.

    Parameters
    ----------
    successes : int
        Successes that earn one retry.
    reserve : int
        Most retries that can be saved.
    earned : int
        Successes saved so far.
    """

    successes: int = SUCCESSES
    reserve: int = 50
    earned: int = FIRST_RETRIES * SUCCESSES

    def succeeded(self) -> None:
        """Count a success."""
        self.earned = min(self.earned + 1, self.reserve * self.successes)

    def spend(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self.earned < self.successes:
            return False
        self.earned -= self.successes
        return True


class RetryBudgets:
    """A budget for each service.

    Notes
    -----
    The targets of a service bear its retries, so that successes of another
    service earn it none.
    """

    def __init__(self) -> None:
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())
