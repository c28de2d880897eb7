"""Rates at which work arrives, by level of urgency."""

import dataclasses
import math

__all__ = ['ArrivalRates', 'Level']

Level = tuple[int, int]  # priority, and rank within it
RATE_DECAY_MS = 1000.0  # time constant of the average of arriving work


@dataclasses.dataclass(slots=True)
class _Rate:
    """Arrival rate of work, in slots, at a time in ms."""

    slots: float = 0.0
    at: int = 0

    def current(self, now: int) -> float:
        """Return the exponentially decayed rate."""
        return self.slots * math.exp((self.at - now) / RATE_DECAY_MS)

    def add(self, work_ms: float, now: int) -> None:
        """Add work that has arrived."""
        self.slots = self.current(now) + work_ms / RATE_DECAY_MS
        self.at = now


class ArrivalRates:
    """Work that arrives at one target, in slots."""

    def __init__(self) -> None:
        self._rates: dict[Level, _Rate] = {}

    def add(self, level: Level, work_ms: float, now: int) -> None:
        """Add work that has arrived."""
        self._rates.setdefault(level, _Rate()).add(work_ms, now)

    def more_urgent(self, level: Level, now: int) -> float:
        """Return the slots that work of more urgent levels takes."""
        return sum(
            rate.current(now)
            for other, rate in self._rates.items()
            if other < level
        )
