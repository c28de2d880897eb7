"""A loopback proxy that injects faults into its connections."""

import asyncio
import contextlib
import enum

__all__ = ['ConnectionFault', 'Proxy']

CHUNK_BYTES = 65_536
DELAY_S = 0.25
MS_PER_SECOND = 1000
LOOPBACK = '127.0.0.1'


class ConnectionFault(enum.Enum):
    """What the proxy does to connections.

    ``SILENT`` holds all bytes back until the fault ends, ``ONE_WAY`` those of
    the server only; ``FORGOTTEN`` silently drops all bytes of the connections
    that exist when it starts, for good, while new ones work; ``RESET`` resets
    old and new ones.
    """

    NONE = 'none'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one-way'
    FORGOTTEN = 'forgotten'
    RESET = 'reset'


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.forgotten = False
        self.writers = writers

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to another address.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen on.
    upstream : str
        ``host:port`` to forward connections to.
    """

    def __init__(self, listen: str, upstream: str) -> None:
        self.listen = listen
        self.fault = ConnectionFault.NONE
        self._upstream = upstream
        self._connections: set[_ProxiedConnection] = set()
        self._healed = asyncio.Event()
        self._healed.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def inject_fault(self, fault: ConnectionFault) -> None:
        """Start a fault."""
        self.fault = fault
        self._healed.clear()
        if fault is ConnectionFault.RESET:
            self._reset_all()
        if fault is ConnectionFault.FORGOTTEN:
            for connection in self._connections:
                connection.forgotten = True

    def heal(self) -> None:
        """End the fault; ``FORGOTTEN`` connections stay dropped."""
        self.fault = ConnectionFault.NONE
        self._healed.set()

    def _reset_all(self) -> None:
        for connection in list(self._connections):
            connection.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        host, _, port = self._upstream.rpartition(':')
        try:
            answers, upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nothing listens there; the caller sees a failed connection.
            writer.transport.abort()
            return
        connection = _ProxiedConnection([writer, upstream])
        self._connections.add(connection)
        forwarding = asyncio.gather(
            self._forward(connection, reader, upstream, ConnectionFault.SILENT),
            self._forward(connection, answers, writer, ConnectionFault.ONE_WAY),
        )
        try:
            await forwarding
        except asyncio.CancelledError:
            # The soak is over; its connections end with it.
            return
        self._connections.discard(connection)

    async def _forward(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_by: ConnectionFault,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if not await self._wait_for_fault(connection, held_by):
                    return
                writer.write(chunk)
                await writer.drain()
        if connection.forgotten:
            return
        with contextlib.suppress(OSError):
            writer.close()

    async def _wait_for_fault(
        self, connection: _ProxiedConnection, held_by: ConnectionFault
    ) -> bool:
        """Wait as the fault requires; return whether to go on forwarding."""
        if self.fault is ConnectionFault.DELAY:
            await asyncio.sleep(DELAY_S)
        if self.fault in {ConnectionFault.SILENT, held_by}:
            await self._healed.wait()
        return not connection.forgotten
