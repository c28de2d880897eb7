"""Connections between nodes of one process, with trouble that a test sets.

They stand in for the network below the real links: what is lost, late or
broken off here is what the kernel would show the protocols at both ends.
"""

import asyncio
import contextvars
import math
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ['LIFE', 'Life', 'Path', 'Wires']

MS_PER_SECOND = 1000
PIECE_BYTES = 65_536  # that arrive together at most
DUE_SLACK_S = 1e-6  # a timer may fire this much before its time

Factory = Callable[[], asyncio.Protocol]


class Life:
    """One life of a node's process: what ends when it is killed.

    Parameters
    ----------
    host : str
        Address of the node, without a port.
    wires : Wires
        What connects it to others.
    """

    def __init__(self, host: str, wires: 'Wires') -> None:
        self.host = host
        self.wires = wires
        self.is_over = False
        self.ends: list[_End] = []
        self.tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self._context = contextvars.copy_context()
        self._context.run(LIFE.set, self)

    def run(self, work: Callable[..., Any], *args: Any) -> Any:
        """Do something as this process."""
        return self._context.copy().run(work, *args)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a task of this process."""
        self.run(asyncio.get_running_loop().create_task, work)

    def adopt(self, task: 'asyncio.Task[Any]') -> None:
        """Note a task that this process began."""
        self.tasks.add(task)
        if self.is_over:
            task.cancel()

    def kill(self) -> None:
        """End all that it does; the kernel closes its connections."""
        self.is_over = True
        for end in self.ends:
            end.abandon()
        for task in list(self.tasks):
            task.cancel()


# The process that runs; unset in a test and in the network itself.
LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar(
    'LIFE', default=None
)


class _End(asyncio.Transport):
    """One end of a connection.

    Parameters
    ----------
    path : Path
        What it runs over.
    life : Life
        The process whose end this is.
    """

    def __init__(self, path: 'Path', life: Life) -> None:
        super().__init__()
        self.far: _End | None = None
        self.held_until = 0.0
        self.is_silent = False
        self.protocol = asyncio.Protocol()
        self._path = path
        self._life = life
        self._is_open = True
        self._sent_by = 0.0
        self._lost = 0
        self._way: deque[tuple[float, bytes | None]] = deque()
        life.ends.append(self)

    def start(self, factory: Factory) -> None:
        """Begin to serve the connection."""
        self.protocol = self._life.run(factory)
        self._life.run(self.protocol.connection_made, self)

    def write(self, sent: Any) -> None:
        """Send bytes."""
        if not self._is_open:
            return
        for start in range(0, len(sent), PIECE_BYTES):
            self._send(bytes(sent[start : start + PIECE_BYTES]))

    def abort(self) -> None:
        """Close the connection; the far end hears of it behind the bytes."""
        if self._is_open:
            self._send(None)
            self._end(None)

    def close(self) -> None:
        """Close the connection."""
        self.abort()

    @property
    def is_left(self) -> bool:
        """Return whether the far end is closed."""
        return self.far is None or self.far.is_closing()

    def get_write_buffer_size(self) -> int:
        """Return how many bytes have not arrived."""
        return self._lost + sum(len(item or b'') for _, item in self._way)

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return not self._is_open

    def abandon(self) -> None:
        """Close the connection of a process that is no more."""
        if self._is_open:
            self._send(None)
            self._is_open = False

    def reset(self) -> None:
        """Lose what is on the way and the connection."""
        self._way.clear()
        if self._is_open:
            self._end(ConnectionResetError('connection reset'))

    def deliver(self) -> None:
        """Give the far end what is due."""
        due_by = asyncio.get_running_loop().time() + DUE_SLACK_S
        while self._way and self._way[0][0] <= due_by:
            if self._path.is_cut:
                return
            _, item = self._way.popleft()
            if self.far is not None:
                self.far.take(item)

    def take(self, item: bytes | None) -> None:
        """Receive bytes, or None for the end."""
        if not self._is_open:
            return
        if item is None:
            self._end(ConnectionResetError('closed by the peer'))
        else:
            self._life.run(self.protocol.data_received, item)

    def _send(self, item: bytes | None) -> None:
        if self.is_silent:
            self._lost += len(item or b'')
            return
        loop = asyncio.get_running_loop()
        way_s = len(item or b'') / self._path.bytes_per_s
        self._sent_by = max(loop.time(), self._sent_by) + way_s
        due = self._sent_by + self._path.delay_ms / MS_PER_SECOND
        due = max(due, self.held_until)
        if self._way:
            due = max(due, self._way[-1][0])
        self._way.append((due, item))
        loop.call_at(due, self.deliver)

    def _end(self, exc: Exception | None) -> None:
        self._is_open = False
        loop = asyncio.get_running_loop()
        loop.call_soon(self._life.run, self.protocol.connection_lost, exc)


class Path:
    """What two nodes have between them; trouble strikes both ways.

    Notes
    -----
    `hold`, `silence` and `reset` strike the connections that exist, and of
    them only what is sent from then on, or, for `reset`, what is on its way,
    too.  New connections are well.
    """

    def __init__(self) -> None:
        self.delay_ms = 1.0
        self.bytes_per_s = math.inf  # of one connection, one way
        self._ends: list[_End] = []
        self._passable = asyncio.Event()
        self._passable.set()

    @property
    def is_cut(self) -> bool:
        """Return whether nothing passes."""
        return not self._passable.is_set()

    @property
    def open_connections(self) -> int:
        """Return how many connections are open at both ends."""
        closed = sum(end.is_closing() or end.is_left for end in self._ends)
        return (len(self._ends) - closed) // 2

    def join(self, near: _End, far: _End) -> None:
        """Make a connection of two ends."""
        near.far, far.far = far, near
        self._ends.extend((near, far))

    async def reach(self) -> None:
        """Wait as long as a connection takes to open."""
        await self._passable.wait()
        await asyncio.sleep(2 * self.delay_ms / MS_PER_SECOND)

    def hold(self, held_ms: float) -> None:
        """Deliver what is sent within a time at its end, in order."""
        until = asyncio.get_running_loop().time() + held_ms / MS_PER_SECOND
        for end in self._ends:
            end.held_until = until

    def silence(self) -> None:
        """Lose all that is sent from now on, with nobody told."""
        for end in self._ends:
            end.is_silent = True

    def reset(self) -> None:
        """End all connections at both ends."""
        for end in self._ends:
            end.reset()
        self._ends.clear()

    def cut(self) -> None:
        """Let nothing pass; new connections hang."""
        self._passable.clear()

    def mend(self) -> None:
        """Let all pass again; what was sent meanwhile arrives."""
        self._passable.set()
        for end in self._ends:
            end.deliver()


class Wires:
    """All nodes' listeners, and the paths between them."""

    def __init__(self) -> None:
        self._listeners: dict[tuple[str, int], tuple[Life, Factory]] = {}
        self._paths: dict[frozenset[str], Path] = {}

    def path(self, one: str, other: str) -> Path:
        """Return what lies between two hosts."""
        return self._paths.setdefault(frozenset((one, other)), Path())

    def listen(self, life: Life, port: int, factory: Factory) -> None:
        """Take connections for a process until it ends."""
        self._listeners[life.host, port] = (life, factory)

    async def connect(
        self, life: Life, factory: Factory, host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a connection as `asyncio` does.

        Raises
        ------
        ConnectionRefusedError
            If nobody listens.
        """
        path = self.path(life.host, host)
        await path.reach()
        there, accept = self._listeners.get((host, port), (None, factory))
        if there is None or there.is_over:
            raise ConnectionRefusedError(f'{host}:{port}')
        near, far = _End(path, life), _End(path, there)
        path.join(near, far)
        near.start(factory)
        far.start(accept)
        return near, near.protocol
