"""What limits the starts of requests at a target at one moment."""

import dataclasses

__all__ = ['UNLIMITED', 'Capacity', 'unlimited']


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Limits besides the number of slots; times in ms.

    Parameters
    ----------
    slots : int or None
        Slots that may be used, None for all.
    occupied : float
        Slots taken by requests that are not in the queue.
    occupied_ms : float
        Time that these need, in ms of one slot.
    start_ms : float
        Time until the next request may start.
    gap_ms : float
        Mean time between starts, 0 if it is not limited.
    pace : float
        Run times of the requests that now run, as a multiple of usual ones.
    slow_ms : float
        The most by which that delays one of them.
    """

    slots: int | None = None
    occupied: float = 0.0
    occupied_ms: float = 0.0
    start_ms: float = 0.0
    gap_ms: float = 0.0
    pace: float = 1.0
    slow_ms: float = 0.0

    def start_wait_ms(self, ahead: int) -> float:
        """Return the least wait of a request behind a number of others."""
        return self.start_ms + self.gap_ms * ahead

    def delay_ms(self, left_ms: float) -> float:
        """Return by how much a run with some time left ends later."""
        return min(self.slow_ms, left_ms * (self.pace - 1))


UNLIMITED = Capacity()


def unlimited() -> Capacity:
    """Return the capacity of a target with all its slots."""
    return UNLIMITED
