"""One connection of a caller: its requests, answers and memory."""

import asyncio
from collections import deque
from http import HTTPStatus
from typing import cast

from savoryhold.wire.connection_memory import ConnectionMemory
from savoryhold.wire.exchange import Exchange, HttpRequest
from savoryhold.wire.memory_budget import (
    PROCESS_BUDGET,
    SMALL_BODY,
    STALL_S,
    Part,
)
from savoryhold.wire.pipeline import Pipeline
from savoryhold.wire.server_interface import Server

__all__ = ['ServerConnection']

MS_PER_SECOND = 1000
UNCOUNTED_BYTES = 16_384  # of answers in the buffer of a connection
MAX_READ_BYTES = 262_144  # at once, of a body for which there is room
CLOSE_WAIT_MS = 200  # for the caller to read its answers and close its end
RETRY_S = 1  # after which a refused caller may find room


# Of all connections: what they keep of a read is copied from it.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class ServerConnection(ConnectionMemory, asyncio.BufferedProtocol):
    """One connection of a caller.

    Parameters
    ----------
    server : Server
        The server that accepted it.
    """

    def __init__(self, server: Server) -> None:
        super().__init__(server.limits, server.intake, server.now)
        self.server = server
        self.address = ''
        # Replaced by the counts of the address once it is known.
        self._count = server.counts.of_none()
        self.open_exchanges: deque[Exchange] = deque()
        self.idle_since = server.now()
        self._caller_closes = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._pipeline = Pipeline(server.counts)
        self._is_scheduled = False

    # asyncio.BufferedProtocol -------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=UNCOUNTED_BYTES)
        peer = transport.get_extra_info('peername')
        address = str(peer[0]) if peer else ''
        if not self.server.admit(self, address):
            self._closing = True
            self._transport.abort()
            return
        self.address = address
        self._count = self.server.counts.open_connection(address)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for as much as may be read at once."""
        return _READ_BUFFER[: self._read_limit]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes; malformed HTTP/1.1 is answered with 400."""
        if self._closing:
            return
        self.feed(_READ_BUFFER[:nbytes])
        if self.started_at is not None or self._held or self._unparsed:
            self._count_unfinished()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the connection."""
        if self in self.server.connections:
            self.server.connections.discard(self)
            self._count.close()
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._end()
        self._count_unread(0)

    def pause_writing(self) -> None:
        """Write no further answers: the caller does not read."""
        assert self._transport is not None
        self.progress_at = self.now()
        self._count_unread(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Write the answers that have become ready meanwhile."""
        self.progress_at = self.now()
        self._count_unread(0)
        self.flush()

    # Parsing ------------------------------------------------------------

    def on_begun(self) -> None:
        """Count the request; refuse it beyond the limits on their number."""
        limit = self._count.begin_request()
        if limit:
            self.refuse(HTTPStatus.TOO_MANY_REQUESTS, limit)

    def on_dropped(self) -> None:
        """Count a request no longer that was not read to its end."""
        self._count.end_request()

    def on_request(self, req: HttpRequest, *, keep_alive: bool) -> None:
        """Queue the complete request for the handler."""
        self._count.end_request()
        if self._closing:
            return
        exchange = Exchange(self, req)
        if self._lacks_room(exchange.size):
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'memory_mb')
            return
        self._hold(0)
        exchange.hold(Part.REQUESTS, exchange.size)
        self._caller_closes = not keep_alive
        exchange.last = self._caller_closes
        self.open_exchanges.append(exchange)
        self._pipeline.add(exchange)
        if self.server.closing:
            self.finish()
        if self._pipeline.is_full(self._held):
            self._pause('waiting')
        self._schedule_take()

    @property
    def slice_bytes(self) -> int:
        """Return how much is parsed at once."""
        return self._pipeline.slice_bytes(self._held)

    # Memory ------------------------------------------------------------

    @property
    def may_evict(self) -> bool:
        """Return whether closing the connection aborts no request."""
        return not self.open_exchanges and not self._unread

    def stalled_bytes(self, now: float) -> int:
        """Return the bytes held without progress, 0 if there are none."""
        if self._waiter is not None:
            return 0
        if self._unread and self._transport is not None:
            self._note_progress(-self._transport.get_write_buffer_size())
        elif self.open_exchanges and not self._closing:
            # Closing the connection would abort a request that may run.
            return 0
        else:
            self._note_progress(self.body_bytes)
        stalled_ms = self.now() - self.progress_at
        if stalled_ms < STALL_S * MS_PER_SECOND:
            return 0
        answers = sum(one.held for one in self.open_exchanges if one.answered)
        return self._held + self._unread + answers

    def evict(self) -> None:
        """Refuse the unfinished request, or give up the unread answer."""
        if self._unread or self._closing:
            self.abort()
        else:
            self.refuse(HTTPStatus.REQUEST_TIMEOUT, 'memory_mb')

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
        waiting = self._pipeline.waiting
        while waiting:
            running = len(self.open_exchanges) - len(waiting)
            if running >= self._pipeline.max_running(unread=self._unread > 0):
                return
            self.server.handler(self._pipeline.take())
        self._unpause('waiting')

    def _end(self) -> None:
        """Drop all requests; notify the handlers that the caller is gone."""
        self._closing = True
        self._release()
        self._pipeline.clear()
        while self.open_exchanges:
            exchange = self.open_exchanges.popleft()
            self._pipeline.finish(exchange)
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
        while self.open_exchanges and not self._unread:
            exchange = self.open_exchanges[0]
            if exchange.answer is None:
                break
            self.open_exchanges.popleft()
            exchange.done = True
            if len(exchange.answer) == 1:
                transport.write(exchange.answer[0])
            else:
                transport.writelines(exchange.answer)
                # The loop may call `pause_writing` only later.
                unsent = transport.get_write_buffer_size()
                if unsent > SMALL_BODY:
                    self._count_unread(unsent)
            self._pipeline.finish(exchange)
            self.idle_since = self.now()
            self.progress_at = self.idle_since
            if exchange.last:
                self._close()
                return
        if self._pipeline.waiting:
            self._schedule_take()

    def sweep(self, now: int) -> None:
        """Close the connection if it is idle or its caller is too slow."""
        if self._unread and self._transport is not None:
            self._note_progress(-self._transport.get_write_buffer_size())
            if now - self.progress_at > self.server.intake.max_unread_ms:
                PROCESS_BUDGET.refusals['max_unread_ms'] += 1
                self.abort()
            if not self.server.closing:
                return
        if self.started_at is not None:
            self._sweep_request(now, now - self.started_at)
            return
        if self._closing:
            return
        idle_ms = self.server.limits().idle_ms
        idle = not self.open_exchanges and now - self.idle_since > idle_ms
        if idle or (self.server.closing and not self.open_exchanges):
            self._close_idle(now)

    def _sweep_request(self, now: int, took_ms: int) -> None:
        """Refuse a request that arrives too slowly."""
        if self._pauses:
            # This end does not read.
            return
        if self.in_head:
            if took_ms > self.limits.header_ms:
                self.refuse(HTTPStatus.REQUEST_TIMEOUT, 'header_timeout_ms')
            return
        least = self.server.intake.min_body_rate * took_ms // MS_PER_SECOND
        if took_ms > self.limits.idle_ms and self.body_bytes < least:
            self.refuse(HTTPStatus.REQUEST_TIMEOUT, 'min_body_rate')

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
        self._pipeline.clear()
        transport = self._transport
        if transport is None or transport.is_closing() or self._close_timer:
            return
        if self._caller_closes:
            transport.close()
            return
        if self._pauses:
            self._pauses.clear()
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
        self._pause('closing')
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

    def refuse(self, status: int, limit: str = '') -> None:
        """Answer with an error that names a limit, then close."""
        if self._closing:
            return
        self._closing = True
        if limit:
            PROCESS_BUDGET.refusals[limit] += 1
        self._release()
        req = HttpRequest(b'', b'', [], b'', self.now(), {})
        exchange = Exchange(self, req)
        exchange.last = True
        self.open_exchanges.append(exchange)
        self.server.on_error(status)
        head = b''
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            head = b'retry-after: %d\r\n' % RETRY_S
        body = f'limit: {limit}\n'.encode() if limit else b''
        exchange.reply(status, head, body)
