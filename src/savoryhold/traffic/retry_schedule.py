"""Times at which refused callers are asked to return.

Each refused request gets a slot of its own in a virtual schedule, at the rate
at which room appears.  A crowd that was refused together therefore returns one
after the other instead of being refused together again.
"""

import dataclasses
import math

__all__ = ['RetrySchedule']

RATE_WINDOW_MS = 1000.0  # time constant of the rate at which room appears
MIN_RATE = 0.002  # per ms; spreads callers while nothing completes
MIN_RETRY_MS = 100  # a sooner return costs more than it gains
MAX_RETRY_MS = 10_000  # a longer wait tells a caller nothing more
# Of the room that is left by more urgent work; new requests get the rest.
RETURN_SHARE = 0.35
WAIT_SHARE = 1 / 3  # of the time left, which callers wait at most


@dataclasses.dataclass(slots=True)
class _Level:
    """When the next slot of callers of one priority begins, in ms."""

    next_at: float = 0.0


class RetrySchedule:
    """Virtual schedule of the callers that one target, or service, refused."""

    def __init__(self) -> None:
        self._served = 0.0
        self._served_at = 0
        self._levels: dict[int, _Level] = {}

    def record_served(self, now: int) -> None:
        """Record that a request has found room."""
        self._served = self._served_recently(now) + 1
        self._served_at = now

    def retry_ms(
        self,
        priority: int,
        now: int,
        *,
        earliest_ms: float,
        left_ms: int,
        room_share: float,
    ) -> int:
        """Return after how many ms a refused caller should return.

        Parameters
        ----------
        priority : int
            Priority of the request.
        now : int
            Time in ms.
        earliest_ms : float
            Expected time until the queue is short enough.
        left_ms : int
            Time until the caller's deadline.
        room_share : float
            Share of the room that more urgent work leaves.

        Returns
        -------
        int
            The time of a slot, or a longer wait than the caller's time left
            allows if all slots until then are taken.
        """
        rate = max(MIN_RATE, self._served_recently(now) / RATE_WINDOW_MS)
        level = self._levels.setdefault(priority, _Level())
        limit = left_ms * WAIT_SHARE
        earliest = max(earliest_ms, min(MIN_RETRY_MS, limit))
        retry = max(earliest, level.next_at - now)
        if retry > limit:
            # The caller gives up, so that no slot is taken.
            return round(min(MAX_RETRY_MS, max(retry, limit + 1)))
        level.next_at = now + retry + 1 / (rate * room_share * RETURN_SHARE)
        return round(retry)

    def _served_recently(self, now: int) -> float:
        return self._served * math.exp((self._served_at - now) / RATE_WINDOW_MS)
