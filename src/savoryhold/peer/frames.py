"""Length-prefixed, checksummed frames with a correlation id."""

import dataclasses
import struct

import xxhash

from savoryhold.core.errors import MalformedMessageError

__all__ = ['MAX_FRAME_BYTES', 'Frame', 'FrameReader', 'pack_frame']

MAX_FRAME_BYTES = 32_000_000
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


def pack_frame(frame: Frame) -> bytes:
    """Serialize a frame.

    Raises
    ------
    MalformedMessageError
        If the frame is larger than `MAX_FRAME_BYTES`.
    """
    size = _HEAD.size - _LENGTH_BYTES + len(frame.payload)
    if size > MAX_FRAME_BYTES:
        raise MalformedMessageError(
            f'frame of {size} bytes exceeds {MAX_FRAME_BYTES}'
        )
    kind = frame.code
    if frame.is_reply:
        kind |= REPLY_FLAG
    if frame.resumable:
        kind |= RESUMABLE_FLAG
    checksum = xxhash.xxh32_intdigest(frame.payload)
    return _HEAD.pack(size, kind, frame.correlation, checksum) + frame.payload


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def in_frame(self) -> bool:
        """Return whether an incomplete frame is buffered."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> list[Frame]:
        """Buffer bytes and return the frames that they complete.

        Raises
        ------
        MalformedMessageError
            If a length is out of range or a checksum does not match.
        """
        self._buffer += received
        frames = []
        start = 0
        while len(self._buffer) - start >= _HEAD.size:
            head = _HEAD.unpack_from(self._buffer, start)
            self._check_size(head[0])
            end = start + _LENGTH_BYTES + head[0]
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[start + _HEAD.size : end])
            frames.append(_checked_frame(head, payload))
            start = end
        del self._buffer[:start]
        return frames

    def _check_size(self, size: int) -> None:
        smallest = _HEAD.size - _LENGTH_BYTES
        if not smallest <= size <= MAX_FRAME_BYTES:
            raise MalformedMessageError(f'frame length {size} is out of range')


def _checked_frame(head: tuple[int, ...], payload: bytes) -> Frame:
    _, kind, correlation, checksum = head
    if xxhash.xxh32_intdigest(payload) != checksum:
        raise MalformedMessageError('frame checksum does not match')
    return Frame(
        kind & ~(REPLY_FLAG | RESUMABLE_FLAG),
        correlation,
        bool(kind & REPLY_FLAG),
        payload,
        bool(kind & RESUMABLE_FLAG),
    )
