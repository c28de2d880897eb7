"""Compression of bodies that cross the billed link between regions."""

import zlib

from savoryhold.core.errors import MalformedMessageError

__all__ = ['MAX_PIECE_BYTES', 'pack', 'unpack']

LEVEL = 1
MIN_BYTES = 512
MAX_PIECE_BYTES = 1_048_576


def pack(body: bytes) -> tuple[bytes, bool]:
    """Return a body, compressed if that makes it smaller, and whether it is.

    Parameters
    ----------
    body : bytes
        One piece of an answer.
    """
    if len(body) < MIN_BYTES:
        return body, False
    packed = zlib.compress(body, LEVEL)
    if len(packed) >= len(body):
        return body, False
    return packed, True


def unpack(body: bytes, *, packed: bool) -> bytes:
    """Return the body that `pack` was given.

    Raises
    ------
    MalformedMessageError
        If it is not compressed data, or larger than `MAX_PIECE_BYTES`.
    """
    if not packed:
        return body
    unpacker = zlib.decompressobj()
    try:
        whole = unpacker.decompress(body, MAX_PIECE_BYTES)
    except zlib.error as exc:
        raise MalformedMessageError(f'compressed body: {exc}') from exc
    if not unpacker.eof:
        raise MalformedMessageError('compressed body is cut off or too large')
    return whole
