"""A pool of HTTP/1.1 connections to one address, without pipelining.

An answer is returned only if it is complete and its id matches the request;
answers to earlier requests are skipped.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Callable
from operator import attrgetter
from typing import cast

import httptools

from savoryhold.core.errors import LinkError
from savoryhold.receive_buffer import has_unread_input

__all__ = ['AnswerBudget', 'AnswerMatcher', 'ClientAnswer', 'ClientPool']

MS_PER_SECOND = 1000
CONNECT_MS = 1000
IDLE_MS = 8000  # below the usual idle timeouts of servers
IDLE_SHARE = 0.8  # of the timeout in a server's Keep-Alive header
UNACKED_MS = 900  # without an ACK for that long, a connection is dead
UNREAD_BYTES = 49_152  # a kernel accepts that much before the process reads
KEEPALIVE_S = 1  # between TCP probes while an answer is awaited
KEEPALIVE_PROBES = 2
MAX_ANSWER_BYTES = 32_000_000
MAX_HEAD_BYTES = 65_536  # of one answer; servers usually stay below 8 KiB
MAX_SKIPPED = 16  # interim and stray answers before the awaited one
MAX_TOTAL_BYTES = 64_000_000  # of all answers under way in this process
MAX_FRAMING = 8  # bytes a byte of body; chunks of one byte take five
FIRST_FINAL_STATUS = 200  # lower ones are interim answers
FIRST_FAILED_STATUS = 400
MAX_FAILED_IDS = 64  # kept of a connection

# Devices between both ends, such as a NAT, may drop a connection silently.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)

AnswerMatcher = Callable[[dict[bytes, bytes]], bool]


def _ignore() -> None:
    """Do nothing when a request is sent."""


@dataclasses.dataclass(slots=True)
class ClientAnswer:
    """A complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return a header by its lower-case name, empty if absent."""
        return self.fields.get(name, b'')


class AnswerBudget:
    """Bound on the bytes of all answers that are under way in a process."""

    def __init__(self) -> None:
        self.held = 0
        self._conns: set[_Connection] = set()

    def take(self, conn: '_Connection', count: int) -> None:
        """Count bytes of an answer; abort the longest one beyond the limit."""
        self._conns.add(conn)
        conn.size += count
        self.held += count
        if self.held > MAX_TOTAL_BYTES:
            longest = max(self._conns, key=attrgetter('size'))
            longest.abort('all answers together are too large')

    def release(self, conn: '_Connection') -> None:
        """Count the bytes of an answer no longer, as it has ended."""
        self._conns.discard(conn)
        self.held -= conn.size
        conn.size = 0


_SHARED_BUDGET = AnswerBudget()


class _Connection(asyncio.Protocol):
    """One connection, with at most one request under way."""

    def __init__(self, pool: 'ClientPool') -> None:
        self.pool = pool
        self.fut: asyncio.Future[ClientAnswer] | None = None
        self.answer_matches: AnswerMatcher | None = None
        self.reusable = True
        self.idle_since = 0
        self.idle_ms = IDLE_MS
        self.closed = False
        self.closed_here = False
        self.received = False
        self.size = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._framing_bytes = 0
        # Bytes of all bodies of the connection, and those before this answer.
        self._delivered = 0
        self._delivered_before = 0
        self._skipped = 0
        self._bodiless = False
        self._is_in_answer = False
        self._in_head = False
        self._request_id = b''
        self._failed_ids: set[bytes] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        self.pool.open_count += 1
        sock = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            sock.setsockopt(level, option, setting)

    def data_received(self, received: bytes) -> None:
        """Parse bytes; close the connection if no request is under way."""
        if self.fut is None or self.fut.done():
            self.reusable = False
            self.close()
            return
        self.received = True
        delivered = self._delivered
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as exc:
            self.abort(f'malformed answer: {exc}')
        except httptools.HttpParserUpgrade:
            self.abort('answer switches protocols')
        self._check_size(len(received), self._delivered - delivered)

    def eof_received(self) -> bool:
        """Complete an answer whose body is delimited by the close."""
        has_length = (
            b'content-length' in self._fields
            or b'transfer-encoding' in self._fields
        )
        in_body = self._is_in_answer and not self._in_head
        if in_body and self._fields and not has_length:
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool and fail the request under way."""
        self.closed = True
        self.pool.remove(self)
        self.abort(f'connection closed: {exc!r}')

    def on_message_begin(self) -> None:
        """Start parsing an answer."""
        self._headers = []
        self._fields = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._framing_bytes = 0
        self._delivered_before = self._delivered
        self._is_in_answer = True
        self._in_head = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header."""
        self._headers.append((name, field))
        self._fields[name.lower()] = field

    def on_headers_complete(self) -> None:
        """End the head; a final answer to HEAD is complete here."""
        self._in_head = False
        final = self._parser.get_status_code() >= FIRST_FINAL_STATUS
        if self._bodiless and final:
            # The parser would wait for a body of the stated length.
            self.reusable = False
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._delivered += len(body)
        if not self.closed_here:
            self._body += body

    def on_message_complete(self) -> None:
        """Return the answer to the request, if it is the matching one."""
        status = self._parser.get_status_code()
        self._is_in_answer = False
        if status < FIRST_FINAL_STATUS or self.fut is None:
            self.reusable = self.reusable and self.fut is not None
            self._skipped += 1
            return
        if self.answer_matches is not None and not self.answer_matches(
            self._fields
        ):
            # An answer to an earlier request; the matching one may follow.
            self.reusable = False
            self.pool.stray_answers += 1
            self._skipped += 1
            return
        self._update_keep_alive()
        answer = ClientAnswer(
            status, self._headers, self._fields, bytes(self._body)
        )
        self._body = bytearray()
        if status >= FIRST_FAILED_STATUS and self._request_id:
            self._failed_ids.add(self._request_id)
        if not self.fut.done():
            self.fut.set_result(answer)

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether no answer to an earlier try can pass for the next.

        Notes
        -----
        Two tries of a request have the same id.  A faulty server may send its
        refusal of the first once more on the connection that carried it.
        """
        return request_id not in self._failed_ids

    def send(
        self,
        request: bytes,
        answer_matches: AnswerMatcher | None,
        request_id: bytes,
    ) -> None:
        """Send a request; the answer arrives in `fut`."""
        self._request_id = request_id
        self.fut = asyncio.get_running_loop().create_future()
        self.answer_matches = answer_matches
        self.received = False
        self._skipped = 0
        self._bodiless = request.startswith(b'HEAD ')
        if self._transport is None:
            return
        if len(request) > UNREAD_BYTES:
            self._allow_slow_reading()
        self._transport.write(request)

    @property
    def can_take_request(self) -> bool:
        """Return whether the connection is fit for another request."""
        # If a stray answer has begun, its body would swallow the next answer.
        return (
            self.reusable
            and not self._is_in_answer
            and self._is_flushed()
            and len(self._failed_ids) < MAX_FAILED_IDS
        )

    @property
    def is_quiet(self) -> bool:
        """Return whether nothing was received since the last answer."""
        if self.closed or self._transport is None:
            return False
        return not has_unread_input(self._transport)

    def abort(self, reason: str) -> None:
        """Fail the request under way and close the connection."""
        self.reusable = False
        # The parser refers back to the connection, so that its memory would be
        # freed by the garbage collector only.
        self._body = bytearray()
        self._headers = []
        if self.fut is not None and not self.fut.done():
            self.fut.set_exception(LinkError(reason, sent=True))
        if not self.closed:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def _is_flushed(self) -> bool:
        """Return whether the kernel has accepted all bytes that were sent."""
        transport = self._transport
        return transport is None or not transport.get_write_buffer_size()

    def _allow_slow_reading(self) -> None:
        # TCP_USER_TIMEOUT also expires while the peer's receive buffer is
        # full, as with a busy target that does not read; it may still answer.
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def _check_size(self, received: int, of_body: int) -> None:
        """Abort if an answer, or what precedes it, exceeds a limit.

        Parameters
        ----------
        received : int
            Number of bytes received.
        of_body : int
            How many of them belong to the body; the others frame it.
        """
        if self._in_head:
            self._head_bytes += received
        else:
            # Includes the head if it ends among these bytes.
            self._framing_bytes += received - of_body
        body_bytes = self._delivered - self._delivered_before
        framing_limit = 2 * MAX_HEAD_BYTES + MAX_FRAMING * body_bytes
        self.pool.budget.take(self, received)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.abort('answer head is too large')
        elif self._framing_bytes > framing_limit:
            self.abort('chunk extensions or trailers are too large')
        elif self._skipped > MAX_SKIPPED:
            self.abort('too many interim or stray answers')
        elif self.size > MAX_ANSWER_BYTES:
            self.abort('answer is too large')

    def _update_keep_alive(self) -> None:
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
    """Pool of connections to one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    now : callable
        Returns the time in ms.
    budget : AnswerBudget
        Bound on the answers of several pools; by default, of all.
    """

    def __init__(
        self,
        address: str,
        now: Callable[[], int],
        budget: AnswerBudget = _SHARED_BUDGET,
    ) -> None:
        self.address = address
        self.budget = budget
        self.opened = 0
        self.stray_answers = 0
        self.refused = 0
        self.open_count = 0
        # Time between opening a connection and its first request.
        self.settle_ms = 0
        # When the server closed the last open connection, in ms.
        self.emptied_at: int | None = None
        self._now = now
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._retired = False

    async def ask(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: AnswerMatcher | None = None,
        on_sent: Callable[[], None] = _ignore,
        request_id: bytes = b'',
    ) -> ClientAnswer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        request : bytes
            The complete request, head and body.
        timeout_ms : float
            How long to wait for the answer.
        answer_matches : callable, optional
            Returns whether an answer with these headers is to this request.
        on_sent : callable, optional
            Called right before the request is written.
        request_id : bytes, optional
            Id that this try shares with other tries of the request.  It is not
            sent on a connection that brought a failure of an earlier one.

        Raises
        ------
        LinkError
            If there is no complete answer; its ``sent`` tells whether the
            request may have arrived.
        TimeoutError
            If no answer arrives in time; the connection is closed.
        """
        conn = await self._take(timeout_ms, request_id)
        if self._retired:
            conn.close()
            raise LinkError(f'{self.address}: pool is closed', sent=False)
        self._busy.add(conn)
        on_sent()
        conn.send(request, answer_matches, request_id)
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

    def remove(self, conn: _Connection) -> None:
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

    async def _take(self, timeout_ms: float, request_id: bytes) -> _Connection:
        self.trim()
        for conn in reversed(list(self._idle)):
            if not conn.may_carry(request_id):
                continue
            self._idle.remove(conn)
            if conn.is_quiet:
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

    def _give_back(self, conn: _Connection) -> None:
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


def _expire(fut: 'asyncio.Future[ClientAnswer]') -> None:
    if not fut.done():
        fut.set_exception(TimeoutError('no answer in time'))
