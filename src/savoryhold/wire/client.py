"""A pool of HTTP/1.1 connections to one address, without pipelining.

An answer is returned only if it is complete and its id matches the request;
answers to earlier requests are skipped.
"""

import asyncio
from collections.abc import Callable
from operator import attrgetter
from typing import cast

from savoryhold.core.errors import LinkError
from savoryhold.wire.answer_timer import AnswerTimer
from savoryhold.wire.client_answer import ClientAnswer
from savoryhold.wire.client_connection import (
    COPIED_BYTES,
    AnswerMatcher,
    ClientConnection,
)
from savoryhold.wire.memory_budget import PROCESS_BUDGET, Part

__all__ = ['AnswerBudget', 'AnswerMatcher', 'ClientAnswer', 'ClientPool']

MS_PER_SECOND = 1000
CONNECT_MS = 1000
MAX_TOTAL_BYTES = 64_000_000  # of all answers under way in this process


def _ignore() -> None:
    """Do nothing when a request is sent."""


class AnswerBudget:
    """Bound on the bytes of all answers that are under way in a process."""

    def __init__(self) -> None:
        self.held = 0
        self._conns: set[ClientConnection] = set()

    def take(self, conn: 'ClientConnection', count: int) -> None:
        """Count bytes of an answer; abort the longest one beyond the limit."""
        self._conns.add(conn)
        conn.size += count
        self.held += count
        if conn.size > conn.reserved:
            PROCESS_BUDGET.take(Part.ANSWERS, conn.size - conn.reserved)
            conn.reserved = conn.size
        if self.held > MAX_TOTAL_BYTES:
            longest = max(self._conns, key=attrgetter('size'))
            longest.abort('all answers together are too large')

    def release(self, conn: 'ClientConnection') -> None:
        """Count the bytes of an answer no longer, as it has ended."""
        self._conns.discard(conn)
        self.held -= conn.size
        conn.size = 0
        if conn.reserved < COPIED_BYTES:
            PROCESS_BUDGET.give(Part.ANSWERS, conn.reserved)
        else:
            PROCESS_BUDGET.give_later(Part.ANSWERS, conn.reserved)
        conn.reserved = 0
        conn.has_room = False
        conn.stop_waiting()


_SHARED_BUDGET = AnswerBudget()


class ClientPool:
    """Pool of connections to one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    now : callable
        Returns the time in ms.
    budget : AnswerBudget
        Bound on the answers of several pools; by default, of all.
    arrival_ms : float
        How much longer than asked an answer may take whose bytes keep
        arriving; 0 for requests with a deadline.
    """

    def __init__(
        self,
        address: str,
        now: Callable[[], int],
        budget: AnswerBudget = _SHARED_BUDGET,
        arrival_ms: float = 0,
    ) -> None:
        self.address = address
        self.budget = budget
        self.arrival_ms = arrival_ms
        self.opened = 0
        self.stray_answers = 0
        self.refused = 0
        self.open_count = 0
        # Time between opening a connection and its first request.
        self.settle_ms = 0
        # When the server closed the last open connection, in ms.
        self.emptied_at: int | None = None
        self._now = now
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()
        self._retired = False

    async def ask(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: AnswerMatcher | None = None,
        on_sent: Callable[[], None] = _ignore,
        request_id: bytes = b'',
        body: bytes = b'',
    ) -> ClientAnswer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        request : bytes
            The complete request, or its head.
        timeout_ms : float
            How long to wait for the answer.
        answer_matches : callable, optional
            Returns whether an answer with these headers is to this request.
        on_sent : callable, optional
            Called right before the request is written.
        request_id : bytes, optional
            Id that this try shares with other tries of the request.  It is not
            sent on a connection that brought a failure of an earlier one.
        body : bytes, optional
            A large body, which is sent after the head without a copy.

        Raises
        ------
        LinkError
            If there is no complete answer; its ``sent`` tells whether the
            request may have arrived.
        TimeoutError
            If no answer arrives in time; the connection is closed.  An answer
            that keeps arriving may take `arrival_ms` longer.
        """
        conn = await self._take(timeout_ms, request_id)
        if self._retired:
            conn.close()
            raise LinkError(f'{self.address}: pool is closed', sent=False)
        self._busy.add(conn)
        on_sent()
        conn.send(request, answer_matches, request_id, body)
        del body
        fut = cast('asyncio.Future[ClientAnswer]', conn.fut)
        timer = AnswerTimer(conn, timeout_ms, self.arrival_ms)
        try:
            return await fut
        except BaseException:
            conn.reusable = False
            raise
        finally:
            timer.cancel()
            self._give_back(conn)

    def remove(self, conn: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open_count -= 1
        if not self.open_count and not conn.closed_here:
            self.emptied_at = self._now()
        if conn in self._idle:
            self._idle.remove(conn)

    def retire(self) -> None:
        """Send no further requests; close each connection after its answer."""
        self._retired = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def close(self) -> None:
        """Close all connections, also those with a request under way."""
        self.retire()
        for conn in self._busy:
            conn.reusable = False
            conn.close()

    def trim(self) -> None:
        """Close idle connections before the server might close them."""
        now = self._now()
        for conn in list(self._idle):
            if now - conn.idle_since >= conn.idle_ms:
                self._idle.remove(conn)
                conn.close()

    async def _take(
        self, timeout_ms: float, request_id: bytes
    ) -> ClientConnection:
        self.trim()
        for conn in reversed(list(self._idle)):
            if not conn.may_carry(request_id):
                continue
            self._idle.remove(conn)
            if conn.is_quiet:
                return conn
            conn.close()
        return await self._open(min(timeout_ms, CONNECT_MS))

    async def _open(self, timeout_ms: float) -> ClientConnection:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(max(timeout_ms, 1) / MS_PER_SECOND):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(self), host, int(port)
                )
        except ConnectionRefusedError as exc:
            self.refused += 1
            raise LinkError(
                f'{self.address}: connection refused', sent=False
            ) from exc
        except (OSError, ValueError, OverflowError) as exc:
            # The last two tell of an address that is not host:port.
            raise LinkError(f'{self.address}: {exc!r}', sent=False) from exc
        self.refused = 0
        if self.settle_ms:
            await asyncio.sleep(self.settle_ms / MS_PER_SECOND)
            if conn.closed:
                raise LinkError(f'{self.address}: closed at once', sent=False)
        return conn

    def _give_back(self, conn: ClientConnection) -> None:
        self._busy.discard(conn)
        self.budget.release(conn)
        conn.fut = None
        conn.answer_matches = None
        if conn.closed:
            return
        if self._retired or not conn.can_take_request:
            conn.close()
            return
        conn.idle_since = self._now()
        self._idle.append(conn)
