"""An HTTP/1.1 server with pipelining.

This module answers requests in their order and manages connections.
"""

import asyncio
from collections.abc import Callable

from savoryhold.traffic.routes import CallerLimits
from savoryhold.wire.connection_counts import ConnectionCounts
from savoryhold.wire.exchange import Exchange, HttpRequest
from savoryhold.wire.intake_limits import IntakeLimits
from savoryhold.wire.memory_budget import PROCESS_BUDGET
from savoryhold.wire.server_connection import ServerConnection

__all__ = ['Exchange', 'HttpRequest', 'HttpServer', 'ServerConnection']

MS_PER_SECOND = 1000
SWEEP_MS = 500
DRAIN_POLL_MS = 10


class HttpServer:
    """Accepts connections of callers and passes on their requests.

    Parameters
    ----------
    handler : callable
        Called with the `Exchange` of each complete request.
    now : callable
        Returns the time in ms.
    limits : callable
        Returns the `CallerLimits` in force.
    intake : IntakeLimits
        Limits other than sizes and timeouts.
    """

    def __init__(
        self,
        handler: Callable[[Exchange], None],
        now: Callable[[], int],
        limits: Callable[[], CallerLimits] = CallerLimits,
        intake: IntakeLimits | None = None,
    ) -> None:
        self.handler = handler
        self.now = now
        self.limits = limits
        self.closing = False
        self.intake = intake or IntakeLimits()
        self.counts = ConnectionCounts(self.intake)
        self.connections: set[ServerConnection] = set()
        self.on_error: Callable[[int], None] = lambda status: None
        self._server: asyncio.Server | None = None

    async def start(self, address: str, backlog: int) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=backlog
        )

    async def sweep(self) -> None:
        """Close slow and idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_MS / MS_PER_SECOND)
            now = self.now()
            for conn in list(self.connections):
                conn.sweep(now)

    def admit(self, conn: ServerConnection, address: str) -> bool:
        """Add a connection, in place of an idle one at the limit."""
        limit = self.counts.connection_limit(address)
        if limit:
            PROCESS_BUDGET.refusals[limit] += 1
            found = [
                other
                for other in self.connections
                if other.may_evict
                and (limit == 'max_connections' or other.address == address)
            ]
            if not found:
                return False
            min(found, key=_progress).abort()
        self.connections.add(conn)
        return True

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def drain(self) -> None:
        """Wait until all requests read are answered; close each connection.

        Notes
        -----
        Idle connections are closed before this returns, so that a process
        that is about to exit reads no further request.
        """
        self.closing = True
        self.stop()
        for conn in self.connections:
            conn.finish()
        while self.connections:
            now = self.now()
            for conn in list(self.connections):
                conn.sweep(now)
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_SECOND)

    @property
    def unanswered(self) -> int:
        """Return how many requests have not been answered."""
        return sum(len(conn.open_exchanges) for conn in self.connections)


def _progress(conn: ServerConnection) -> int:
    return conn.progress_at
