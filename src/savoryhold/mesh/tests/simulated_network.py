"""An in-process network between simulated processes, with injected faults.

It stands in for the network below the real links: loss, delay and resets reach
the protocols at both ends as the kernel would report them.
"""

import asyncio
import contextvars
import math
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = [
    'CURRENT_PROCESS',
    'NetworkPath',
    'SimulatedNetwork',
    'SimulatedProcess',
]

MS_PER_SECOND = 1000
SEGMENT_BYTES = 65_536  # the most that arrives at once
TIMER_SLACK_S = 1e-6  # a timer may fire this much too early

ProtocolFactory = Callable[[], asyncio.Protocol]


class SimulatedProcess:
    """The process of a node: its tasks and connections end when it is killed.

    Parameters
    ----------
    host : str
        Address of the node, without a port.
    network : SimulatedNetwork
        Network that connects it to others.
    """

    def __init__(self, host: str, network: 'SimulatedNetwork') -> None:
        self.host = host
        self.network = network
        self.has_exited = False
        self.transports: list[_SimulatedTransport] = []
        self.tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self._context = contextvars.copy_context()
        self._context.run(CURRENT_PROCESS.set, self)

    def run(self, work: Callable[..., Any], *args: Any) -> Any:
        """Call a function in the context of this process."""
        return self._context.copy().run(work, *args)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task of this process."""
        self.run(asyncio.get_running_loop().create_task, work)

    def track(self, task: 'asyncio.Task[Any]') -> None:
        """Add a task of this process, to be cancelled with it."""
        self.tasks.add(task)
        if self.has_exited:
            task.cancel()

    def kill(self) -> None:
        """Cancel all tasks; the kernel closes the connections."""
        self.has_exited = True
        for transport in self.transports:
            transport.close_by_kernel()
        for task in list(self.tasks):
            task.cancel()


# The process whose code is running; None in a test and in the network itself.
CURRENT_PROCESS: contextvars.ContextVar[SimulatedProcess | None] = (
    contextvars.ContextVar('CURRENT_PROCESS', default=None)
)


class _SimulatedTransport(asyncio.Transport):
    """One end of a connection.

    Parameters
    ----------
    path : NetworkPath
        Path that carries the connection.
    process : SimulatedProcess
        Process that owns this end.
    """

    def __init__(self, path: 'NetworkPath', process: SimulatedProcess) -> None:
        super().__init__()
        self.remote: _SimulatedTransport | None = None
        self.stalled_until = 0.0
        self.is_silent = False
        self.protocol = asyncio.Protocol()
        self._path = path
        self._process = process
        self._is_open = True
        self._sending_until = 0.0
        self._lost_bytes = 0
        self._in_flight: deque[tuple[float, bytes | None]] = deque()
        process.transports.append(self)

    def start(self, factory: ProtocolFactory) -> None:
        """Create the protocol and tell it of the connection."""
        self.protocol = self._process.run(factory)
        self._process.run(self.protocol.connection_made, self)

    def write(self, sent: Any) -> None:
        """Send bytes."""
        if not self._is_open:
            return
        for start in range(0, len(sent), SEGMENT_BYTES):
            self._send(bytes(sent[start : start + SEGMENT_BYTES]))

    def abort(self) -> None:
        """Close the connection; the other end receives all bytes first."""
        if self._is_open:
            self._send(None)
            self._close(None)

    def close(self) -> None:
        """Close the connection."""
        self.abort()

    @property
    def is_remote_closed(self) -> bool:
        """Return whether the other end is closed."""
        return self.remote is None or self.remote.is_closing()

    def get_write_buffer_size(self) -> int:
        """Return how many bytes have not arrived yet."""
        return self._lost_bytes + sum(
            len(item or b'') for _, item in self._in_flight
        )

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return not self._is_open

    def close_by_kernel(self) -> None:
        """Close the connection of a process that has exited."""
        if self._is_open:
            self._send(None)
            self._is_open = False

    def reset(self) -> None:
        """Drop the bytes in flight and end the connection."""
        self._in_flight.clear()
        if self._is_open:
            self._close(ConnectionResetError('connection reset'))

    def deliver(self) -> None:
        """Hand the other end the bytes that are due."""
        due_by = asyncio.get_running_loop().time() + TIMER_SLACK_S
        while self._in_flight and self._in_flight[0][0] <= due_by:
            if self._path.is_cut:
                return
            _, item = self._in_flight.popleft()
            if self.remote is not None:
                self.remote.receive(item)

    def receive(self, item: bytes | None) -> None:
        """Receive bytes, or None for the end of the stream."""
        if not self._is_open:
            return
        if item is None:
            self._close(ConnectionResetError('closed by the peer'))
        else:
            self._process.run(self.protocol.data_received, item)

    def _send(self, item: bytes | None) -> None:
        if self.is_silent:
            self._lost_bytes += len(item or b'')
            return
        loop = asyncio.get_running_loop()
        transmit_s = len(item or b'') / self._path.bytes_per_s
        self._sending_until = max(loop.time(), self._sending_until) + transmit_s
        due = self._sending_until + self._path.delay_ms / MS_PER_SECOND
        due = max(due, self.stalled_until)
        if self._in_flight:
            due = max(due, self._in_flight[-1][0])
        self._in_flight.append((due, item))
        loop.call_at(due, self.deliver)

    def _close(self, exc: Exception | None) -> None:
        self._is_open = False
        loop = asyncio.get_running_loop()
        loop.call_soon(self._process.run, self.protocol.connection_lost, exc)


class NetworkPath:
    """The path between two nodes; faults apply to both directions.

    Notes
    -----
    `stall`, `silence` and `reset` apply to the present connections only, new
    ones are healthy.  `stall` and `silence` affect what is sent from then on;
    `reset` drops what is in flight, too.
    """

    def __init__(self) -> None:
        self.delay_ms = 1.0
        self.bytes_per_s = math.inf  # per connection and direction
        self._transports: list[_SimulatedTransport] = []
        self._passable = asyncio.Event()
        self._passable.set()

    @property
    def is_cut(self) -> bool:
        """Return whether the path delivers nothing."""
        return not self._passable.is_set()

    @property
    def open_connections(self) -> int:
        """Return how many connections are open at both ends."""
        closed = sum(
            transport.is_closing() or transport.is_remote_closed
            for transport in self._transports
        )
        return (len(self._transports) - closed) // 2

    def attach(
        self, near: _SimulatedTransport, remote: _SimulatedTransport
    ) -> None:
        """Connect two ends."""
        near.remote, remote.remote = remote, near
        self._transports.extend((near, remote))

    async def handshake(self) -> None:
        """Wait as long as a connection takes to open."""
        await self._passable.wait()
        await asyncio.sleep(2 * self.delay_ms / MS_PER_SECOND)

    def stall(self, stall_ms: float) -> None:
        """Delay what is sent within a time until its end; keep the order."""
        until = asyncio.get_running_loop().time() + stall_ms / MS_PER_SECOND
        for transport in self._transports:
            transport.stalled_until = until

    def silence(self) -> None:
        """Lose all that is sent from now on; neither end is told."""
        for transport in self._transports:
            transport.is_silent = True

    def reset(self) -> None:
        """Reset all connections at both ends."""
        for transport in self._transports:
            transport.reset()
        self._transports.clear()

    def cut(self) -> None:
        """Deliver nothing; new connections hang."""
        self._passable.clear()

    def restore(self) -> None:
        """Deliver again; what was sent meanwhile arrives."""
        self._passable.set()
        for transport in self._transports:
            transport.deliver()


class SimulatedNetwork:
    """The listeners of all nodes, and the paths between hosts."""

    def __init__(self) -> None:
        self._listeners: dict[
            tuple[str, int], tuple[SimulatedProcess, ProtocolFactory]
        ] = {}
        self._paths: dict[frozenset[str], NetworkPath] = {}

    def path(self, first: str, second: str) -> NetworkPath:
        """Return the path between two hosts."""
        return self._paths.setdefault(frozenset((first, second)), NetworkPath())

    def listen(
        self, process: SimulatedProcess, port: int, factory: ProtocolFactory
    ) -> None:
        """Accept connections for a process until it exits."""
        self._listeners[process.host, port] = (process, factory)

    async def connect(
        self,
        process: SimulatedProcess,
        factory: ProtocolFactory,
        host: str,
        port: int,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a connection as `asyncio` does.

        Raises
        ------
        ConnectionRefusedError
            If nobody listens.
        """
        path = self.path(process.host, host)
        await path.handshake()
        server_process, accept = self._listeners.get(
            (host, port), (None, factory)
        )
        if server_process is None or server_process.has_exited:
            raise ConnectionRefusedError(f'{host}:{port}')
        near, remote = (
            _SimulatedTransport(path, process),
            _SimulatedTransport(path, server_process),
        )
        path.attach(near, remote)
        near.start(factory)
        remote.start(accept)
        return near, near.protocol
