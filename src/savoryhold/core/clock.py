"""Clocks that count milliseconds monotonically."""

import time
from typing import Protocol

__all__ = ['BootClock', 'Clock', 'ManualClock', 'MonotonicClock', 'WallClock']

NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of monotonic time in milliseconds."""

    def now(self) -> int:
        """Return the current time in milliseconds."""


class MonotonicClock:
    """The host's monotonic clock, which does not count suspended time.

    It runs on while only the process is paused.
    """

    def now(self) -> int:
        """Return the host's monotonic time in milliseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS


class BootClock:
    """The host's time since boot, including time spent suspended."""

    def now(self) -> int:
        """Return the host's time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


class WallClock:
    """The time of day, which outlasts processes and may be set.

    It is for what is stored; everything else uses a monotonic clock.
    """

    def now(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock:
    """A clock that only `advance` moves, for tests.

    Parameters
    ----------
    start : int
        First reading in milliseconds.
    """

    def __init__(self, start: int = 0) -> None:
        self._now = start

    def now(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now

    def advance(self, delta_ms: int) -> None:
        """Move the clock forward.

        Parameters
        ----------
        delta_ms : int
            Step in milliseconds, not negative.

        Raises
        ------
        ValueError
            If the step is negative.
        """
        if delta_ms < 0:
            raise ValueError(f'delta_ms is {delta_ms}, expected 0 or more')
        self._now += delta_ms
