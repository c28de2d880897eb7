"""Counts of connections and unfinished requests, in total and by address."""

from savoryhold.wire.intake_limits import MAX_CONNECTIONS, IntakeLimits

__all__ = ['AddressCount', 'ConnectionCounts']


class AddressCount:
    """Counts what the callers of one address hold open.

    Parameters
    ----------
    total : ConnectionCounts
        Counts of all addresses.
    address : str
        The address.
    """

    __slots__ = ('_address', '_total', 'open', 'unfinished')

    def __init__(self, total: 'ConnectionCounts', address: str) -> None:
        self.open = 0
        self.unfinished = 0
        self._total = total
        self._address = address

    def begin_request(self) -> str:
        """Count a request; return the limit that it exceeds, if any."""
        total, intake = self._total, self._total.intake
        self.unfinished += 1
        total.unfinished += 1
        if total.unfinished > intake.max_unfinished:
            return 'max_unfinished'
        if self.unfinished > intake.max_unfinished_per_address:
            return 'max_unfinished_per_address'
        return ''

    def end_request(self) -> None:
        """Count a request no longer, as its end has been read."""
        self.unfinished -= 1
        self._total.unfinished -= 1

    def close(self) -> None:
        """Count a connection no longer."""
        self.open -= 1
        self._total.open -= 1
        if not self.open:
            self._total.by_address.pop(self._address, None)


class ConnectionCounts:
    """Counts what all callers hold open.

    Parameters
    ----------
    intake : IntakeLimits
        The limits.
    """

    def __init__(self, intake: IntakeLimits) -> None:
        self.open = 0
        self.unfinished = 0
        # Requests that the handler has got and that have no answer yet.
        self.running = 0
        self.intake = intake
        self.by_address: dict[str, AddressCount] = {}
        self._max_open = intake.max_connections or MAX_CONNECTIONS

    def connection_limit(self, address: str) -> str:
        """Return the limit that one more connection exceeds, if any."""
        if self.open >= self._max_open:
            return 'max_connections'
        count = self.by_address.get(address)
        most = self.intake.max_connections_per_address
        if count is not None and count.open >= most:
            return 'max_connections_per_address'
        return ''

    def open_connection(self, address: str) -> AddressCount:
        """Count a connection; return the counts of its address."""
        count = self.by_address.setdefault(address, AddressCount(self, address))
        count.open += 1
        self.open += 1
        return count

    def of_none(self) -> AddressCount:
        """Return the counts of a connection that is not open yet."""
        return AddressCount(self, '')
