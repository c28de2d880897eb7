"""One connection to a server, with at most one request under way."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from savoryhold.core.errors import LinkError
from savoryhold.receive_buffer import has_unread_input
from savoryhold.wire.client_answer import ClientAnswer, Pool
from savoryhold.wire.memory_budget import PROCESS_BUDGET, Part, Waiter

__all__ = ['AnswerMatcher', 'ClientConnection']

MS_PER_SECOND = 1000
IDLE_MS = 8000  # below the usual idle timeouts of servers
IDLE_SHARE = 0.8  # of the timeout in a server's Keep-Alive header
UNACKED_MS = 900  # without an ACK for that long, a connection is dead
UNREAD_BYTES = 49_152  # a kernel accepts that much before the process reads
KEEPALIVE_S = 1  # between TCP probes while an answer is awaited
KEEPALIVE_PROBES = 2
MAX_ANSWER_BYTES = 32_000_000
MAX_HEAD_BYTES = 65_536  # of one answer; servers usually stay below 8 KiB
MAX_SKIPPED = 16  # interim and stray answers before the awaited one
MAX_FRAMING = 8  # bytes a byte of body; chunks of one byte take five
COPIED_BYTES = 65_536  # larger bodies are passed on without a copy
MAX_LENGTH_DIGITS = 12
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


class ClientConnection(asyncio.Protocol):
    """One connection, with at most one request under way."""

    def __init__(self, pool: Pool) -> None:
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
        # Bytes counted in the process's budget, also before they arrive.
        self.reserved = 0
        # Whether the whole answer has been counted.
        self.has_room = False
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
        self._waiter: Waiter | None = None
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
        if self.size and not self.has_room:
            self._await_room(0)

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
            return
        length = self._fields.get(b'content-length', b'')
        if length.isdigit() and len(length) < MAX_LENGTH_DIGITS:
            self._await_room(int(length))

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
        # An array that nobody changes any more serves as bytes.
        body = cast(bytes, self._body)
        if len(body) < COPIED_BYTES:
            body = bytes(body)
        answer = ClientAnswer(status, self._headers, self._fields, body)
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
        body: bytes = b'',
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
        if len(request) + len(body) > UNREAD_BYTES:
            self._allow_slow_reading()
        if body:
            self._transport.writelines((request, body))
        else:
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
        self.stop_waiting()
        if self.fut is not None and not self.fut.done():
            self.fut.set_exception(LinkError(reason, sent=True))
        if not self.closed:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def stop_waiting(self) -> None:
        """Wait no longer for memory."""
        if self._waiter is not None:
            PROCESS_BUDGET.forget(self._waiter)
            self._waiter = None
            transport = self._transport
            if transport is not None and not transport.is_closing():
                transport.resume_reading()

    def _await_room(self, length: int) -> None:
        """Leave an answer unread until the budget has room for it."""
        # An answer that arrives already is counted as its bytes arrive.
        need = max(0, length - self.size)
        if (need < COPIED_BYTES and length) or self._waiter is not None:
            return
        if PROCESS_BUDGET.reserve(Part.ANSWERS, need, self.size):
            self.reserved += need
            self.has_room = need > 0
            return
        self._waiter = Waiter(
            Part.ANSWERS,
            need,
            self.size,
            asyncio.get_running_loop().time(),
            self._on_room,
            self._on_no_room,
        )
        if self._transport is not None:
            self._transport.pause_reading()
        PROCESS_BUDGET.wait(self._waiter)

    def _on_room(self) -> None:
        assert self._waiter is not None
        self.reserved += self._waiter.need
        self.has_room = self._waiter.need > 0
        self.stop_waiting()

    def _on_no_room(self) -> None:
        # The answer waits until its deadline: its target has run the request.
        assert self._waiter is not None
        self._waiter.since = asyncio.get_running_loop().time()
        PROCESS_BUDGET.wait(self._waiter)

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
