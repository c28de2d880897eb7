"""An HTTP/1.1 server with pipelining.

`httptools` parses.  This module answers requests in their order, enforces
the limits on what a caller may send, and manages connections.
"""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from savoryhold.traffic.routes import CallerLimits

__all__ = ['Exchange', 'HttpRequest', 'HttpServer', 'ServerConnection']

MS_PER_SECOND = 1000
MAX_PIPELINED = 32  # requests of a connection being handled; others wait
MAX_WAITING_BYTES = 1_048_576  # of waiting requests; above, reading pauses
SWEEP_MS = 500
DRAIN_POLL_MS = 10
CLOSE_WAIT_MS = 200  # for the caller to read its answers and close its end
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request, as it was read."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    read_at: int
    fields: dict[bytes, bytes]

    def header(self, name: bytes) -> bytes:
        """Return a header by its lower-case name, empty if absent."""
        return self.fields.get(name, b'')


class Exchange:
    """A request and, once there is one, its answer."""

    __slots__ = ('_answer', 'conn', 'last', 'on_disconnect', 'req', 'size')

    def __init__(self, conn: 'ServerConnection', req: HttpRequest) -> None:
        self.conn = conn
        self.req = req
        self.size = _size(req)
        self.on_disconnect: Callable[[], None] | None = None
        # Whether the connection closes after this answer.
        self.last = False
        self._answer: bytes | None = None

    @property
    def answered(self) -> bool:
        """Return whether the request has been answered."""
        return self._answer is not None

    @property
    def answer(self) -> bytes | None:
        """Return the encoded answer, None if there is none yet."""
        return self._answer

    def reply(
        self,
        status: int,
        head: bytes = b'',
        body: bytes = b'',
        *,
        sized: bool = True,
    ) -> None:
        """Answer the request; further answers are ignored.

        Parameters
        ----------
        status : int
            Status code.
        head : bytes
            Encoded header lines, each with its line end.
        body : bytes
            The complete body.
        sized : bool
            Whether to add a Content-Length header.
        """
        if self._answer is not None:
            return
        reason = REASONS.get(status, b'Status')
        length = b'content-length: %d\r\n' % len(body) if sized else b''
        close = b'connection: close\r\n' if self.last else b''
        self._answer = b'HTTP/1.1 %d %s\r\n%s%s%s\r\n%s' % (
            status,
            reason,
            head,
            length,
            close,
            body,
        )
        self.conn.flush()

    def abort(self) -> None:
        """Abort the connection instead of answering."""
        self.conn.abort()


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: 'HttpServer') -> None:
        self.server = server
        self.open_exchanges: deque[Exchange] = deque()
        self.idle_since = server.now()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._limits = server.limits()
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._started_at: int | None = None
        self._closing = False
        self._is_reading_paused = False
        self._caller_closes = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._in_head = False
        self._waiting: deque[Exchange] = deque()
        self._waiting_bytes = 0
        self._is_scheduled = False

    # asyncio.Protocol -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def data_received(self, received: bytes) -> None:
        """Parse bytes; malformed HTTP/1.1 is answered with 400."""
        if self._closing:
            return
        if self._in_head or not self._fields:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._fail(HTTPStatus.BAD_REQUEST)
        limit = self._limits.header_bytes
        if self._in_head and self._head_bytes > limit:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the connection."""
        self.server.connections.discard(self)
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._end()

    # httptools callbacks ----------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request; the limits in force now apply to all of it."""
        self._limits = self.server.limits()
        self._url = b''
        self._headers = []
        self._fields = {}
        self._body = []
        self._body_bytes = 0
        self._in_head = True
        self._started_at = self.server.now()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header."""
        self._headers.append((name, field))
        self._fields[name.lower()] = field

    def on_headers_complete(self) -> None:
        """Check the size of the head and the announced body length."""
        self._in_head = False
        limits = self._limits
        size = sum(len(name) + len(text) + 4 for name, text in self._headers)
        length = self._fields.get(b'content-length', b'0')
        if size + len(self._url) > limits.header_bytes:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif length.isdigit() and int(length) > limits.body_bytes:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request for the handler."""
        if self._closing:
            return
        now = self.server.now()
        req = HttpRequest(
            self._parser.get_method(),
            self._url,
            self._headers,
            b''.join(self._body),
            now,
            self._fields,
        )
        exchange = Exchange(self, req)
        self._caller_closes = not self._parser.should_keep_alive()
        exchange.last = self._caller_closes
        self.open_exchanges.append(exchange)
        self._started_at = None
        self._head_bytes = 0
        self._fields = {}
        self._waiting.append(exchange)
        self._waiting_bytes += exchange.size
        if self.server.closing:
            self.finish()
        if self._waiting_bytes > MAX_WAITING_BYTES and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._schedule_take()

    # Waiting requests ----------------------------------------------------

    def _schedule_take(self) -> None:
        """Schedule `_take` after the next poll, which may read a close."""
        if not self._is_scheduled:
            self._is_scheduled = True
            loop = asyncio.get_running_loop()
            # The loop polls its sockets between the two callbacks.
            loop.call_soon(loop.call_soon, self._take)

    def _take(self) -> None:
        """Pass waiting requests to the handler, up to the limit."""
        self._is_scheduled = False
        while self._waiting:
            if len(self.open_exchanges) - len(self._waiting) >= MAX_PIPELINED:
                return
            exchange = self._waiting.popleft()
            self._waiting_bytes -= exchange.size
            self.server.handler(exchange)
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _end(self) -> None:
        """Drop all requests; notify the handlers that the caller is gone."""
        self._closing = True
        self._waiting.clear()
        while self.open_exchanges:
            exchange = self.open_exchanges.popleft()
            if exchange.on_disconnect is not None and not exchange.answered:
                exchange.on_disconnect()

    # Answers -------------------------------------------------------------

    def finish(self) -> None:
        """Close the connection after the answer to the last request read."""
        if self.open_exchanges:
            # A later request would be handled, but its answer cut off.
            self.open_exchanges[-1].last = True
            self._closing = True

    def flush(self) -> None:
        """Write the answers that are ready, in the order of requests."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._close_timer:
            return
        while self.open_exchanges and self.open_exchanges[0].answer is not None:
            exchange = self.open_exchanges.popleft()
            transport.write(exchange.answer or b'')
            self.idle_since = self.server.now()
            if exchange.last:
                self._close()
                return
        if self._waiting:
            self._schedule_take()

    def sweep(self, now: int) -> None:
        """Close the connection if it is idle or its caller is too slow."""
        if self._started_at is not None:
            late = now - self._started_at > self._limits.header_ms
            if late and self._in_head:
                self._fail(HTTPStatus.REQUEST_TIMEOUT)
            return
        if self._closing:
            return
        idle_ms = self.server.limits().idle_ms
        idle = not self.open_exchanges and now - self.idle_since > idle_ms
        if idle or (self.server.closing and not self.open_exchanges):
            self._close_idle(now)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close the sending side, then wait for the caller to close.

        Notes
        -----
        Closing a socket that has unread bytes, or receives more later, resets
        the connection, and the caller may lose an answer that it has not read
        yet (RFC 9112, section 9.6).
        """
        self._closing = True
        self._waiting.clear()
        transport = self._transport
        if transport is None or transport.is_closing() or self._close_timer:
            return
        if self._caller_closes:
            transport.close()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            transport.resume_reading()
        self._end_sending(transport)

    def _close_idle(self, now: int) -> None:
        """Close a connection without open requests."""
        self._closing = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        unsent = transport.get_write_buffer_size()
        if now - self.idle_since > CLOSE_WAIT_MS and not unsent:
            transport.close()
            return
        # The caller may not have read its last answers yet.  A request that
        # crosses the close stays unread, so that it is safe to send it again.
        transport.pause_reading()
        self._end_sending(transport)

    def _end_sending(self, transport: asyncio.Transport) -> None:
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection; the loop has not read that.
            transport.abort()
            return
        self._close_later()

    def _close_later(self) -> None:
        transport = self._transport
        if transport is None:
            return
        then = self._close_later
        if not transport.get_write_buffer_size():
            then = transport.close
        loop = asyncio.get_running_loop()
        self._close_timer = loop.call_later(CLOSE_WAIT_MS / MS_PER_SECOND, then)

    def _fail(self, status: int) -> None:
        """Answer with an error, then close the connection."""
        if self._closing:
            return
        self._closing = True
        req = HttpRequest(b'', b'', [], b'', self.server.now(), {})
        exchange = Exchange(self, req)
        exchange.last = True
        self.open_exchanges.append(exchange)
        self.server.on_error(status)
        exchange.reply(status)


def _size(req: HttpRequest) -> int:
    return len(req.target) + len(req.body) + sum(map(len, req.fields.values()))


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
    """

    def __init__(
        self,
        handler: Callable[[Exchange], None],
        now: Callable[[], int],
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        self.handler = handler
        self.now = now
        self.limits = limits
        self.closing = False
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
