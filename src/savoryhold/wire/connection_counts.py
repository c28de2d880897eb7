"""Counts of connections and unfinished requests, in total and by address."""

from collections import Counter

from savoryhold.wire.intake_limits import MAX_CONNECTIONS, IntakeLimits

__all__ = ['ConnectionCounts']


class ConnectionCounts:
    """Counts what callers hold open.

    Parameters
    ----------
    intake : IntakeLimits
        The limits.
    """

    def __init__(self, intake: IntakeLimits) -> None:
        self.open = 0
        self.unfinished = 0
        self._intake = intake
        self._max_open = intake.max_connections or MAX_CONNECTIONS
        self._open_by_address: Counter[str] = Counter()
        self._unfinished_by_address: Counter[str] = Counter()

    def connection_limit(self, address: str) -> str:
        """Return the limit that one more connection exceeds, if any."""
        if self.open >= self._max_open:
            return 'max_connections'
        most = self._intake.max_connections_per_address
        if self._open_by_address[address] >= most:
            return 'max_connections_per_address'
        return ''

    def request_limit(self, address: str) -> str:
        """Return the limit that the unfinished requests exceed, if any."""
        if self.unfinished > self._intake.max_unfinished:
            return 'max_unfinished'
        most = self._intake.max_unfinished_per_address
        if self._unfinished_by_address[address] > most:
            return 'max_unfinished_per_address'
        return ''

    def add_connection(self, address: str, count: int) -> None:
        """Count an opened connection, or with -1 a closed one."""
        self.open += count
        _add(self._open_by_address, address, count)

    def add_request(self, address: str, count: int) -> None:
        """Count a request whose end is unread, or with -1 its end."""
        self.unfinished += count
        _add(self._unfinished_by_address, address, count)


def _add(counts: Counter[str], address: str, count: int) -> None:
    counts[address] += count
    if counts[address] <= 0:
        del counts[address]
