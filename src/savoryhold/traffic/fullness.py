"""How many requests a target takes that resets connections when it is full.

Such a reset does not tell whether the request ran, so that the node stays below
the number at which resets come.
"""

import math

__all__ = ['FullnessBound', 'may_send_bytes']

MS_PER_SECOND = 1000
# A full target resets at once.  Later breaks are those of running requests,
# such as lost answers; some runs take tens of ms only.
QUICK_RESET_MS = 10
MIN_BUSY = 2  # requests at the target; one alone does not fill it
BUSY_SHARE = 0.5  # of the usable slots; runs unknown to the node may have more
LOWER_FACTOR = 0.8
# Resets within this time have one cause and lower the bound once.
LOWER_INTERVAL_MS = 250
RAISE_PER_S = 0.25  # slots
SMALL_BYTES = 65_536  # smaller bodies are not counted
# Of bodies in flight to one target: five bodies of 3 MB. A longer one is sent
# while at most half of it is in flight.
MAX_FLIGHT_BYTES = 16_000_000


class FullnessBound:
    """Bound on the requests at a target, found by its resets.

    Notes
    -----
    It is lowered by a factor and raised by a constant rate, as the window of
    TCP (RFC 5681), so that it comes to lie just under the number at which the
    target resets.
    """

    def __init__(self) -> None:
        self.resets = 0
        self._bound = math.inf
        self._lowered_at = 0

    def usable(self, slots: int, now: int) -> int:
        """Return the slots that may be used, at least one."""
        return max(1, math.floor(min(slots, self._bound_at(now))))

    def is_open(self, slots: int, now: int) -> bool:
        """Return whether all slots may be used."""
        return self._bound_at(now) >= slots

    def record_reset(
        self, ran_ms: int, running: int, slots: int, now: int
    ) -> bool:
        """Record a connection that the target broke without an answer.

        Parameters
        ----------
        ran_ms : int
            Time since the request was handed to the connection.
        running : int
            Requests of this node at the target, with the one broken off.
        slots : int
            Slots of the target.
        now : int
            Time of the reset.

        Returns
        -------
        bool
            Whether the target may have been full.
        """
        busy = max(MIN_BUSY, BUSY_SHARE * self.usable(slots, now))
        if ran_ms > QUICK_RESET_MS or running < busy:
            return False
        self.resets += 1
        if self.resets == 1 or now - self._lowered_at >= LOWER_INTERVAL_MS:
            present = min(slots, running, self._bound_at(now))
            self._bound = max(1.0, present * LOWER_FACTOR)
            self._lowered_at = now
        return True

    def clear(self) -> None:
        """Forget the bound of a target that has ended."""
        self._bound = math.inf
        self.resets = 0

    def _bound_at(self, now: int) -> float:
        raised = RAISE_PER_S * (now - self._lowered_at) / MS_PER_SECOND
        return self._bound + raised


def may_send_bytes(size: int, in_flight: int) -> bool:
    """Return whether a body may be sent in addition to those in flight.

    Parameters
    ----------
    size : int
        Bytes of the body.
    in_flight : int
        Bytes of the bodies of the requests that run at the target.
    """
    if size < SMALL_BYTES or in_flight + size <= MAX_FLIGHT_BYTES:
        return True
    return size > MAX_FLIGHT_BYTES and 2 * in_flight <= MAX_FLIGHT_BYTES
