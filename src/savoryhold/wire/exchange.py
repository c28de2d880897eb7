"""A request of a caller and its answer."""

import dataclasses
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from savoryhold.wire.memory_budget import PROCESS_BUDGET, Part

__all__ = ['Exchange', 'HttpRequest', 'size_of']

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
SMALL_BYTES = 65_536  # joined with their head into one write
LINE_BYTES = 320  # of the objects that hold a header line, besides its bytes


class _Connection(Protocol):
    """The part of a connection that its exchanges use."""

    def flush(self) -> None:
        """Write the answers that are ready."""

    def abort(self) -> None:
        """Abort the connection."""

    def sweep(self, now: int) -> None:
        """Close the connection if it is idle or its caller is too slow."""


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

    __slots__ = (
        '_answer',
        '_held',
        '_part',
        'conn',
        'done',
        'last',
        'on_disconnect',
        'req',
        'running',
        'size',
    )

    def __init__(self, conn: _Connection, req: HttpRequest) -> None:
        self.conn = conn
        self.req = req
        self.size = size_of(req)
        self.on_disconnect: Callable[[], None] | None = None
        # Whether the answer has been written, or nobody waits for it.
        self.done = False
        # Whether the handler has got the request and its answer is not written.
        self.running = False
        # Whether the connection closes after this answer.
        self.last = False
        self._answer: tuple[bytes, ...] | None = None
        # Bytes counted in the budget: the request's, then its answer's.
        self._held = 0
        self._part = Part.REQUESTS

    @property
    def answered(self) -> bool:
        """Return whether the request has been answered."""
        return self._answer is not None

    @property
    def answer(self) -> tuple[bytes, ...] | None:
        """Return the parts of the encoded answer, None if there is none."""
        return self._answer

    @property
    def held(self) -> int:
        """Return the bytes counted in the budget."""
        return self._held

    def hold(self, part: Part, count: int) -> None:
        """Count other bytes in the budget than before."""
        if self._held:
            PROCESS_BUDGET.give(self._part, self._held)
        self._part = part
        self._held = count
        PROCESS_BUDGET.take(part, count)

    def release(self) -> None:
        """Count no bytes any more."""
        if self._held:
            PROCESS_BUDGET.give(self._part, self._held)
            self._held = 0

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
        first = b'HTTP/1.1 %d %s\r\n%s%s%s\r\n' % (
            status,
            reason,
            head,
            length,
            close,
        )
        if len(body) < SMALL_BYTES:
            self._answer = (first + body,)
        else:
            # A large body is not copied.
            self._answer = (first, body)
        self.req.body = b''
        self.release()
        self.conn.flush()
        if not self.done:
            self.hold(Part.ANSWERS, len(first) + len(body))

    def abort(self) -> None:
        """Abort the connection instead of answering."""
        self.conn.abort()


def size_of(req: HttpRequest) -> int:
    """Return how much memory a request takes."""
    fields = sum(map(len, req.fields.values()))
    lines = len(req.headers) * LINE_BYTES
    return len(req.target) + len(req.body) + fields + lines
