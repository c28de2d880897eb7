"""Requests of one connection that wait behind others of it."""

from collections import deque

from savoryhold.wire.connection_counts import ConnectionCounts
from savoryhold.wire.exchange import Exchange
from savoryhold.wire.memory_budget import PROCESS_BUDGET, Part
from savoryhold.wire.request_parser import SLICE_BYTES

__all__ = ['Pipeline']

MAX_PIPELINED = 32  # requests of a connection being handled; others wait
MAX_RUNNING = 256  # of all connections, beyond one of each
MAX_WAITING_BYTES = 1_048_576  # of waiting requests; above, reading pauses
PIPELINED_SLICE = 1024  # bytes parsed at once while requests wait


class Pipeline:
    """Decides how many requests are handled and how many are read.

    Requests of other callers must not wait behind hundreds of pipelined ones,
    and those must not fill the memory, of which a parsed request takes many
    times its bytes.

    Parameters
    ----------
    counts : ConnectionCounts
        Counts of all connections.
    """

    def __init__(self, counts: ConnectionCounts) -> None:
        self.waiting: deque[Exchange] = deque()
        self._counts = counts
        self._bytes = 0

    def add(self, exchange: Exchange) -> None:
        """Add a request that has been read."""
        self.waiting.append(exchange)
        self._bytes += exchange.size

    def take(self) -> Exchange:
        """Remove and return the next request, which is handled now."""
        exchange = self.waiting.popleft()
        self._bytes -= exchange.size
        exchange.running = True
        self._counts.running += 1
        return exchange

    def finish(self, exchange: Exchange) -> None:
        """Count a request no longer."""
        exchange.done = True
        if exchange.running:
            exchange.running = False
            self._counts.running -= 1
        exchange.release()

    def clear(self) -> None:
        """Drop all requests that wait."""
        self.waiting.clear()
        self._bytes = 0

    def max_running(self, *, unread: bool) -> int:
        """Return how many requests of the connection may be handled.

        Parameters
        ----------
        unread : bool
            Whether the caller leaves answers unread, which take memory.
        """
        if unread or self._counts.running >= MAX_RUNNING:
            return 1
        return MAX_PIPELINED

    def is_full(self, held: int) -> bool:
        """Return whether no more requests are read for now.

        Parameters
        ----------
        held : int
            Bytes that the connection holds besides.
        """
        if self._bytes > MAX_WAITING_BYTES:
            return True
        return len(self.waiting) > 1 and self._lacks_room(held)

    def slice_bytes(self, held: int) -> int:
        """Return how much is parsed at once, few requests if they wait."""
        if len(self.waiting) > 1 or self._lacks_room(held):
            return PIPELINED_SLICE
        return SLICE_BYTES

    def _lacks_room(self, held: int) -> bool:
        held += self._bytes
        return not PROCESS_BUDGET.fits(Part.REQUESTS, 0, held)
