"""Length-prefixed, checksummed frames with a correlation id."""

import dataclasses
import struct
from collections.abc import Callable, Sequence
from typing import cast

import xxhash

from savoryhold.core.errors import MalformedMessageError

__all__ = [
    'LARGE_BYTES',
    'MAX_FRAME_BYTES',
    'Frame',
    'FrameReader',
    'pack_frame',
    'pack_parts',
]

MAX_FRAME_BYTES = 70_000_000  # a body of 64 MiB with its head
LARGE_BYTES = 8192  # larger payloads are counted, and copied nowhere
REPLY_FLAG = 0x80
RESUMABLE_FLAG = 0x40  # message codes must stay below this bit
_HEAD = struct.Struct('!IBQI')
_LENGTH_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One message on a link.

    ``is_reply`` is true if the receiver of the frame chose ``correlation``,
    that is, the frame belongs to a call that the receiver opened.
    ``resumable`` is true if the call may continue on another connection.
    """

    code: int
    correlation: int
    is_reply: bool
    payload: bytes
    resumable: bool = False
    # Whether the payload has been dropped, as there was no room for it.
    dropped: bool = False


def pack_frame(frame: Frame) -> bytes:
    """Serialize a frame, as `pack_parts` does."""
    return b''.join(pack_parts(frame, (frame.payload,)))


def pack_parts(frame: Frame, parts: Sequence[bytes]) -> list[bytes]:
    """Serialize a frame whose payload consists of parts, without joining them.

    Raises
    ------
    MalformedMessageError
        If the frame is larger than `MAX_FRAME_BYTES`.
    """
    size = _HEAD.size - _LENGTH_BYTES + sum(map(len, parts))
    if size > MAX_FRAME_BYTES:
        raise MalformedMessageError(
            f'frame of {size} bytes exceeds {MAX_FRAME_BYTES}'
        )
    kind = frame.code
    if frame.is_reply:
        kind |= REPLY_FLAG
    if frame.resumable:
        kind |= RESUMABLE_FLAG
    hasher = xxhash.xxh32()
    for part in parts:
        hasher.update(part)
    head = _HEAD.pack(size, kind, frame.correlation, hasher.intdigest())
    return [head + parts[0], *parts[1:]]


class FrameReader:
    """Splits a byte stream into frames.

    Parameters
    ----------
    may_hold : callable, optional
        Called with the head of each large frame; returns whether to hold its
        payload.  If not, the frame is returned without it.
    """

    def __init__(
        self, may_hold: Callable[[Frame, int], bool] | None = None
    ) -> None:
        self.max_bytes = MAX_FRAME_BYTES
        self._may_hold = may_hold
        self._buffer = bytearray()
        # The frame that is being dropped, and how much of it is to arrive.
        self._dropping: Frame | None = None
        self._left = 0
        self._is_admitted = False

    @property
    def in_frame(self) -> bool:
        """Return whether an incomplete frame is buffered."""
        return bool(self._buffer) or self._dropping is not None

    def feed(self, received: bytes) -> list[Frame]:
        """Buffer bytes and return the frames that they complete.

        Raises
        ------
        MalformedMessageError
            If a length is out of range or a checksum does not match.
        """
        self._buffer += received
        frames: list[Frame] = []
        while True:
            frame = self._next()
            if frame is None:
                return frames
            frames.append(frame)

    def _next(self) -> Frame | None:
        if self._dropping is not None:
            return self._drop()
        if len(self._buffer) < _HEAD.size:
            return None
        head = _HEAD.unpack_from(self._buffer)
        size = _LENGTH_BYTES + head[0]
        self._check_size(head[0])
        is_large = size - _HEAD.size > LARGE_BYTES
        if is_large and not self._is_admitted and self._may_hold:
            self._is_admitted = self._may_hold(_frame(head, b''), size)
            if not self._is_admitted:
                dropped = dataclasses.replace(_frame(head, b''), dropped=True)
                self._dropping = dropped
                self._left = size
                return self._drop()
        if len(self._buffer) < size:
            return None
        self._is_admitted = False
        return self._cut(head, size)

    def _cut(self, head: tuple[int, ...], size: int) -> Frame:
        """Return the first frame, and keep the rest in the buffer."""
        if size - _HEAD.size <= LARGE_BYTES:
            payload = bytes(memoryview(self._buffer)[_HEAD.size : size])
            del self._buffer[:size]
        else:
            # The buffer itself becomes the payload.
            rest = self._buffer[size:]
            del self._buffer[size:]
            del self._buffer[: _HEAD.size]
            payload, self._buffer = cast(bytes, self._buffer), rest
        if xxhash.xxh32_intdigest(payload) != head[3]:
            raise MalformedMessageError('frame checksum does not match')
        return _frame(head, payload)

    def _drop(self) -> Frame | None:
        count = min(self._left, len(self._buffer))
        del self._buffer[:count]
        self._left -= count
        if self._left:
            return None
        frame, self._dropping = self._dropping, None
        return frame

    def _check_size(self, size: int) -> None:
        smallest = _HEAD.size - _LENGTH_BYTES
        if not smallest <= size <= self.max_bytes:
            raise MalformedMessageError(f'frame length {size} is out of range')


def _frame(head: tuple[int, ...], payload: bytes) -> Frame:
    _, kind, correlation, _ = head
    return Frame(
        kind & ~(REPLY_FLAG | RESUMABLE_FLAG),
        correlation,
        bool(kind & REPLY_FLAG),
        payload,
        bool(kind & RESUMABLE_FLAG),
    )
