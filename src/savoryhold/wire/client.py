"""A pool of HTTP/1.1 connections to one address, one request at a time each.

An answer is handed on only when it is whole and belongs to the request: its
id must match, and an answer to an earlier request is passed over.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Callable
from operator import attrgetter
from typing import cast

import httptools

from savoryhold.core.errors import LinkError
from savoryhold.unread import has_unread

__all__ = ['ClientAnswer', 'ClientPool', 'Identity']

MS_PER_SECOND = 1000
CONNECT_MS = 1000
IDLE_MS = 8000  # below the shortest usual timeout of a server
IDLE_SHARE = 0.8  # of the timeout that a server states
UNACKED_MS = 900  # bytes that no kernel acknowledges for this long are lost
UNREAD_BYTES = 49_152  # a kernel takes as much for a process that does not read
KEEPALIVE_S = 1  # between probes of a connection on which an answer is awaited
KEEPALIVE_PROBES = 2
MAX_ANSWER_BYTES = 32_000_000
MAX_HEAD_BYTES = 65_536  # of one answer; usual servers send below 8 KiB
MAX_PASSED_OVER = 16  # interim and stray answers before the awaited one
MAX_POOL_BYTES = 64_000_000  # of all answers under way at one target
INFORMATIONAL = 200  # lower statuses announce the final one

# What lies between two ends may forget a connection without a word.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

Identity = Callable[[dict[bytes, bytes]], bool]


def _ignore() -> None:
    """Take no note of a request that leaves."""


@dataclasses.dataclass(slots=True)
class ClientAnswer:
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return a header by its lower-case name, empty if it is missing."""
        return self.fields.get(name, b'')


class _Connection(asyncio.Protocol):
    """One connection; at most one request is under way."""

    def __init__(self, pool: 'ClientPool') -> None:
        self.pool = pool
        self.fut: asyncio.Future[ClientAnswer] | None = None
        self.answer_matches: Identity | None = None
        self.reusable = True
        self.idle_since = 0
        self.idle_ms = IDLE_MS
        self.closed = False
        self.received = False
        self.size = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._passed_over = 0
        self._bodiless = False
        self._in_answer = False
        self._in_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            sock.setsockopt(level, option, setting)

    def data_received(self, received: bytes) -> None:
        """Parse bytes; bytes that nobody asked for end the connection."""
        if self.fut is None:
            self.reusable = False
            self.close()
            return
        self.received = True
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as exc:
            self.break_off(f'not an answer in the protocol: {exc}')
        except httptools.HttpParserUpgrade:
            self.break_off('answer switches protocols')
        self._check_size(len(received))

    def eof_received(self) -> bool:
        """End an answer whose body has no stated length."""
        sized = (
            b'content-length' in self._fields
            or b'transfer-encoding' in self._fields
        )
        if self._in_answer and self._fields and not sized:
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request under way."""
        self.closed = True
        self.pool.dropped(self)
        self.break_off(f'connection closed: {exc!r}')

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._fields = {}
        self._body = []
        self._head_bytes = 0
        self._in_answer = True
        self._in_head = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        self._headers.append((name, field))
        self._fields[name.lower()] = field

    def on_headers_complete(self) -> None:
        """Go on to the body; an answer to HEAD ends here."""
        self._in_head = False
        final = self._parser.get_status_code() >= INFORMATIONAL
        if self._bodiless and final:
            # The parser would wait for the body that the length promises.
            self.reusable = False
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer on if it belongs to the request."""
        status = self._parser.get_status_code()
        self._in_answer = False
        if status < INFORMATIONAL or self.fut is None:
            self.reusable = self.reusable and self.fut is not None
            self._passed_over += 1
            return
        if self.answer_matches is not None and not self.answer_matches(
            self._fields
        ):
            # An answer to an earlier request; ours may follow it.
            self.reusable = False
            self.pool.strays += 1
            self._passed_over += 1
            return
        self._note_keep_alive()
        answer = ClientAnswer(
            status, self._headers, self._fields, b''.join(self._body)
        )
        if not self.fut.done():
            self.fut.set_result(answer)

    def send(self, request: bytes, answer_matches: Identity | None) -> None:
        """Send a request."""
        self.fut = asyncio.get_running_loop().create_future()
        self.answer_matches = answer_matches
        self.received = False
        self._passed_over = 0
        self._bodiless = request.startswith(b'HEAD ')
        if self._transport is None:
            return
        if len(request) > UNREAD_BYTES:
            self._allow_slow_reading()
        self._transport.write(request)

    def forget_bytes(self) -> None:
        """Count no bytes of an answer that has ended."""
        self.pool.bytes_held -= self.size
        self.size = 0

    @property
    def clean(self) -> bool:
        """Return whether another request may be sent."""
        # What has begun behind an answer would swallow the next one.
        return self.reusable and not self._in_answer and self._flushed()

    @property
    def quiet(self) -> bool:
        """Return whether nothing has come since the last answer."""
        if self.closed or self._transport is None:
            return False
        return not has_unread(self._transport)

    def break_off(self, reason: str) -> None:
        """Fail the request under way and close the connection."""
        self.reusable = False
        if self.fut is not None and not self.fut.done():
            self.fut.set_exception(LinkError(reason, sent=True))
        if not self.closed:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _flushed(self) -> bool:
        """Return whether all that was sent has left this process."""
        transport = self._transport
        return transport is None or not transport.get_write_buffer_size()

    def _allow_slow_reading(self) -> None:
        # The kernel's limit also runs while the other end reads nothing, for
        # instance a target that is busy, and may be answering meanwhile.
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def _check_size(self, received: int) -> None:
        """Break off an answer, or what stands for one, that does not end."""
        self.size += received
        self.pool.bytes_held += received
        if self._in_head:
            self._head_bytes += received
        if self._head_bytes > MAX_HEAD_BYTES:
            self.break_off('the head of the answer is too large')
        elif self._passed_over > MAX_PASSED_OVER:
            self.break_off('other answers come without end')
        elif self.size > MAX_ANSWER_BYTES:
            self.break_off('answer is too large')
        else:
            self.pool.check_size()

    def _note_keep_alive(self) -> None:
        if not self._parser.should_keep_alive():
            self.reusable = False
        stated = self._fields.get(b'keep-alive', b'')
        _, _, seconds = stated.partition(b'timeout=')
        digits = seconds.split(b',')[0].strip()
        if digits.isdigit():
            self.idle_ms = min(
                IDLE_MS, int(int(digits) * MS_PER_SECOND * IDLE_SHARE)
            )


class ClientPool:
    """Connections to one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    now : callable
        Returns the time in ms.
    """

    def __init__(self, address: str, now: Callable[[], int]) -> None:
        self.address = address
        self.opened = 0
        self.bytes_held = 0
        self.strays = 0
        self.refused = 0
        self._now = now
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._retired = False

    async def ask(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Identity | None = None,
        on_sent: Callable[[], None] = _ignore,
    ) -> ClientAnswer:
        """Send a request and return its whole answer.

        Parameters
        ----------
        request : bytes
            The whole request.
        timeout_ms : float
            How long to wait for the answer.
        answer_matches : callable, optional
            Whether an answer with these headers is the request's.
        on_sent : callable, optional
            Called as the request leaves.

        Raises
        ------
        LinkError
            If there is no whole answer; ``sent`` says whether the request
            may have arrived.
        TimeoutError
            If the time is over; the connection is closed.
        """
        conn = await self._take(timeout_ms)
        if self._retired:
            conn.close()
            raise LinkError(f'{self.address}: given up', sent=False)
        self._busy.add(conn)
        on_sent()
        conn.send(request, answer_matches)
        fut = cast('asyncio.Future[ClientAnswer]', conn.fut)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            max(timeout_ms, 1) / MS_PER_SECOND, _expire, fut
        )
        try:
            return await fut
        except BaseException:
            conn.reusable = False
            raise
        finally:
            timer.cancel()
            self._give_back(conn)

    def dropped(self, conn: _Connection) -> None:
        """Forget a connection that has closed."""
        if conn in self._idle:
            self._idle.remove(conn)

    def check_size(self) -> None:
        """Break off the largest answer if all are too large together."""
        if self.bytes_held > MAX_POOL_BYTES:
            largest = max(self._busy, key=attrgetter('size'))
            largest.break_off('all answers together are too large')

    def retire(self) -> None:
        """Send nothing more; close each connection after its answer."""
        self._retired = True
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
        """Close connections that the other end may soon close."""
        now = self._now()
        for conn in list(self._idle):
            if now - conn.idle_since >= conn.idle_ms:
                self._idle.remove(conn)
                conn.close()

    async def _take(self, timeout_ms: float) -> _Connection:
        self.trim()
        while self._idle:
            conn = self._idle.pop()
            if conn.quiet:
                return conn
            conn.close()
        return await self._open(min(timeout_ms, CONNECT_MS))

    async def _open(self, timeout_ms: float) -> _Connection:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(max(timeout_ms, 1) / MS_PER_SECOND):
                _, conn = await loop.create_connection(
                    lambda: _Connection(self), host, int(port)
                )
        except ConnectionRefusedError as exc:
            self.refused += 1
            raise LinkError(f'{self.address}: refused', sent=False) from exc
        except (OSError, TimeoutError) as exc:
            raise LinkError(f'{self.address}: {exc!r}', sent=False) from exc
        self.refused = 0
        return conn

    def _give_back(self, conn: _Connection) -> None:
        self._busy.discard(conn)
        conn.forget_bytes()
        conn.fut = None
        conn.answer_matches = None
        if conn.closed:
            return
        if self._retired or not conn.clean:
            conn.close()
            return
        conn.idle_since = self._now()
        self._idle.append(conn)


def _expire(fut: 'asyncio.Future[ClientAnswer]') -> None:
    if not fut.done():
        fut.set_exception(TimeoutError('no answer in time'))
