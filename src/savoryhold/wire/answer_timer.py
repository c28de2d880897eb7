"""The time limit of one answer."""

import asyncio
from typing import Protocol

from savoryhold.wire.client_answer import ClientAnswer

__all__ = ['AnswerTimer']

MS_PER_SECOND = 1000


class _Connection(Protocol):
    """The part of a connection that its timer uses."""

    fut: 'asyncio.Future[ClientAnswer] | None'
    size: int


class AnswerTimer:
    """Fails a request that has no answer in time.

    Parameters
    ----------
    conn : ClientConnection
        The connection, which has sent the request.
    timeout_ms : float
        Time for the answer, and for each pause of one that arrives later.
    arrival_ms : float
        Further time for an answer whose bytes keep arriving.
    """

    def __init__(
        self, conn: _Connection, timeout_ms: float, arrival_ms: float = 0
    ) -> None:
        assert conn.fut is not None
        self._conn = conn
        self._fut = conn.fut
        self._pause_s = max(timeout_ms, 1) / MS_PER_SECOND
        self._size = 0
        self._loop = asyncio.get_running_loop()
        self._end = self._loop.time() + self._pause_s
        self._latest_end = self._end + arrival_ms / MS_PER_SECOND
        self._handle = self._loop.call_at(self._end, self._on_end)

    def cancel(self) -> None:
        """End without effect."""
        self._handle.cancel()

    def _on_end(self) -> None:
        """Wait on if bytes have arrived since the last time, else fail."""
        if self._fut.done():
            return
        size = self._conn.size
        if size > self._size and self._end < self._latest_end:
            self._size = size
            self._end = min(self._end + self._pause_s, self._latest_end)
            self._handle = self._loop.call_at(self._end, self._on_end)
            return
        text = f'only {size} bytes of the answer' if size else 'no answer'
        self._fut.set_exception(TimeoutError(f'{text} in time'))
