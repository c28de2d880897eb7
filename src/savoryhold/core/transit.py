"""How much longer than usual a message took to arrive."""

__all__ = ['TransitDelay']

WINDOW_MS = 60_000  # clocks drift apart by a few ms in this time


class TransitDelay:
    """Estimates the excess delay of the messages of one connection.

    Notes
    -----
    The clocks of both ends differ by an unknown offset.  The least difference
    between the times of receipt and sending is taken as this offset plus the
    usual delay, like the base delay of LEDBAT (RFC 6817, section 3.4).  Any
    time above it was spent in queues, on a broken link or in a paused process.
    """

    def __init__(self) -> None:
        self._base: int | None = None
        self._recent: int | None = None
        self._window_start = 0

    def excess_ms(self, sent_at: int, received_at: int) -> int:
        """Return how much longer than usual a message took.

        Parameters
        ----------
        sent_at : int
            Time of sending, in ms of the sender's clock.
        received_at : int
            Time of receipt, in ms of this host's clock.
        """
        transit_ms = received_at - sent_at
        if received_at - self._window_start > WINDOW_MS:
            self._base = self._recent
            self._recent = None
            self._window_start = received_at
        if self._recent is None or transit_ms < self._recent:
            self._recent = transit_ms
        if self._base is None or transit_ms < self._base:
            self._base = transit_ms
        return transit_ms - self._base
