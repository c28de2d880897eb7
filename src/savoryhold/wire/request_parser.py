"""Parsing of callers' bytes, and the limits on what they may send.

`httptools` parses.  Sizes are checked after each slice of a read, so that a
request costs no check for each of its header lines or chunks.
"""

import abc
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from savoryhold.traffic.routes import CallerLimits
from savoryhold.wire.exchange import LINE_BYTES, HttpRequest
from savoryhold.wire.intake_limits import IntakeLimits
from savoryhold.wire.memory_budget import SMALL_BODY

__all__ = ['RequestParser']

SLICE_BYTES = 16_384  # parsed at once; a parser's events cost more than bytes
FEW_FRAMING = 2  # a slice with more than its half in framing ends the turn


class RequestParser(abc.ABC):
    """The requests that the bytes of one connection contain.

    Parameters
    ----------
    limits : callable
        Returns the `CallerLimits` in force.
    intake : IntakeLimits
        Further limits.
    now : callable
        Returns the time in ms.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        intake: IntakeLimits,
        now: Callable[[], int],
    ) -> None:
        self.now = now
        self.current_limits = limits
        self.started_at: int | None = None
        self.body_bytes = 0
        # Of the request that is being read, None if it has not stated one.
        self.body_length: int | None = None
        self.in_head = False
        self.limits = limits()
        self._intake = intake
        # None once the connection reads nothing more.  The parser refers back
        # to this object, so that it is dropped to free the memory at once.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._body: bytes | bytearray = b''
        self._head_bytes = 0
        self._framing_bytes = 0
        self._slice_bytes = 0
        # Bytes of all bodies of the connection.
        self._delivered = 0
        self._trailer_lines = 0
        self._unparsed = memoryview(b'')

    # What the connection does -------------------------------------------

    @abc.abstractmethod
    def refuse(self, status: int, limit: str = '') -> None:
        """Answer with an error that names a limit; read nothing more."""

    @abc.abstractmethod
    def on_begun(self) -> None:
        """Process the begin of a request."""

    @abc.abstractmethod
    def on_length(self, length: int) -> None:
        """Process the length of a body that is to arrive."""

    @abc.abstractmethod
    def on_request(self, req: HttpRequest, *, keep_alive: bool) -> None:
        """Process a complete request."""

    @property
    @abc.abstractmethod
    def slice_bytes(self) -> int:
        """Return how much is parsed at once."""

    @property
    @abc.abstractmethod
    def blocked(self) -> bool:
        """Return whether nothing may be parsed at present."""

    # Bytes --------------------------------------------------------------

    @property
    def unfinished_bytes(self) -> int:
        """Return how much memory the request takes that is being read.

        Notes
        -----
        Includes what has been read and not parsed, also between requests.
        """
        unparsed = len(self._unparsed)
        if self.started_at is None:
            return unparsed
        lines = len(self._headers) * LINE_BYTES
        return lines + self._head_bytes + len(self._body) + unparsed

    def feed(self, received: bytes | memoryview) -> None:
        """Parse bytes in slices; what is not parsed at once is copied."""
        ready = not (self._unparsed or self.blocked)
        if ready and len(received) <= self.slice_bytes:
            self._feed_slice(received)
            return
        if self._unparsed:
            received = b''.join((self._unparsed, received))
        self._unparsed = memoryview(received)
        self.feed_unparsed()

    def feed_unparsed(self) -> None:
        """Parse what is left, until the connection blocks it.

        Notes
        -----
        After a slice of mostly framing, such as thousands of chunks, the rest
        waits for the loop's next turn.
        """
        costly = False
        while self._unparsed and not (costly or self.blocked):
            size = self.slice_bytes
            piece = self._unparsed[:size]
            self._unparsed = self._unparsed[size:]
            framing = self._framing_bytes
            self._feed_slice(piece)
            costly = self._framing_bytes - framing > len(piece) // FEW_FRAMING
        if self._unparsed:
            # A part of the view would keep all of what was received.
            self._unparsed = memoryview(bytes(self._unparsed))
            if costly:
                self.on_costly_slice()

    @abc.abstractmethod
    def on_costly_slice(self) -> None:
        """Have the rest parsed in the loop's next turn."""

    def drop(self) -> None:
        """Release all memory; nothing is parsed any more."""
        self._parser = None
        self._body = b''
        self._headers = []
        self._fields = {}
        self._unparsed = memoryview(b'')
        self._head_bytes = 0
        self.started_at = None

    def _feed_slice(self, piece: bytes | memoryview) -> None:
        parser = self._parser
        if parser is None:
            return
        if self.in_head or not self._fields:
            self._head_bytes += len(piece)
        self._slice_bytes = len(piece)
        delivered = self._delivered
        try:
            parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self.refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.refuse(HTTPStatus.BAD_REQUEST)
        if self._parser is None:
            # The rest of the slice may have left some memory.
            self.drop()
        elif self.started_at is not None:
            self._check(len(piece) - (self._delivered - delivered))

    def _check(self, framing: int) -> None:
        """Check the sizes of the request that is being read."""
        intake = self._intake
        if self.in_head:
            if self._head_bytes > self.limits.header_bytes:
                self._refuse_head('max_header_bytes')
            elif len(self._headers) > intake.max_header_lines:
                self._refuse_head('max_header_lines')
            return
        self._framing_bytes += framing
        # The first slice of a body may contain the whole head.
        spare = intake.max_trailer_bytes + SLICE_BYTES
        most = spare + intake.max_chunk_overhead * self.body_bytes
        if self._trailer_lines > intake.max_trailer_lines:
            self._refuse_head('max_trailer_lines')
        elif self._framing_bytes > most:
            name = 'max_trailer_bytes'
            if not self._trailer_lines:
                name = 'max_chunk_overhead'
            self._refuse_head(name)

    def _refuse_head(self, name: str) -> None:
        self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, name)

    # httptools callbacks ------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request; the limits in force now apply to all of it."""
        if self._parser is None:
            return
        self.limits = self.current_limits()
        self._url = b''
        self._headers = []
        self._fields = {}
        self._body = b''
        self.body_bytes = 0
        self.body_length = None
        self._framing_bytes = 0
        self._trailer_lines = 0
        self.in_head = True
        self.started_at = self.now()
        self.on_begun()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header; the lines of a trailer are only counted."""
        if not self.in_head:
            self._trailer_lines += 1
            return
        self._headers.append((name, field))
        self._fields[name.lower()] = field

    def on_headers_complete(self) -> None:
        """Check the size of the head and the announced body length."""
        self.in_head = False
        limits = self.limits
        length = self._fields.get(b'content-length', b'')
        # The head is within these bytes; mostly, they need no closer look.
        most = self._head_bytes + self._slice_bytes
        is_long = most > limits.header_bytes
        if is_long and self._head_size() > limits.header_bytes:
            self._refuse_head('max_header_bytes')
        elif len(self._headers) > self._intake.max_header_lines:
            self._refuse_head('max_header_lines')
        elif length:
            self._check_length(length, limits.body_bytes)

    def _head_size(self) -> int:
        lines = sum(len(name) + len(text) + 4 for name, text in self._headers)
        return lines + len(self._url)

    def _check_length(self, length: bytes, most: int) -> None:
        if not length.isdigit():
            return
        if len(length) > len(str(most)) or int(length) > most:
            self._refuse_body()
            return
        self.body_length = int(length)
        if self.body_length > SMALL_BODY:
            self.on_length(self.body_length)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.body_bytes += len(body)
        self._delivered += len(body)
        if self._parser is None:
            return
        if self.body_bytes > self.limits.body_bytes:
            self._refuse_body()
        elif not self._body:
            self._body = body
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            # A large array grows in place.
            self._body += body

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        parser = self._parser
        if parser is None:
            return
        req = HttpRequest(
            parser.get_method(),
            self._url,
            self._headers,
            # An array that nobody changes any more serves as bytes.
            cast(bytes, self._body),
            self.now(),
            self._fields,
        )
        self.started_at = None
        self._head_bytes = 0
        self._headers = []
        self._fields = {}
        self._body = b''
        self.on_request(req, keep_alive=parser.should_keep_alive())

    def _refuse_body(self) -> None:
        self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'max_body_bytes')
