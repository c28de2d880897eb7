"""Compression of bodies sent between regions, where traffic is billed."""

import zlib

from savoryhold.core.errors import MalformedMessageError

__all__ = ['MAX_CHUNK_BYTES', 'MAX_STATE_BYTES', 'pack', 'unpack']

LEVEL = 1
MIN_BYTES = 512
MAX_CHUNK_BYTES = 1_048_576
MAX_STATE_BYTES = 16_777_216  # a stored object has 1 MiB, differences more


def pack(body: bytes) -> tuple[bytes, bool]:
    """Return a body, compressed if that makes it smaller, and whether it was.

    Parameters
    ----------
    body : bytes
        One chunk of an answer.
    """
    if len(body) < MIN_BYTES:
        return body, False
    packed = zlib.compress(body, LEVEL)
    if len(packed) >= len(body):
        return body, False
    return packed, True


def unpack(body: bytes, *, packed: bool, most: int = MAX_CHUNK_BYTES) -> bytes:
    """Undo `pack`.

    Parameters
    ----------
    body : bytes
        What `pack` has returned.
    packed : bool
        Whether it was compressed.
    most : int
        Largest size to which it may expand, in bytes.

    Raises
    ------
    MalformedMessageError
        If the body is not valid compressed data, or expands to more.
    """
    if not packed:
        return body
    unpacker = zlib.decompressobj()
    try:
        whole = unpacker.decompress(body, most)
    except zlib.error as exc:
        raise MalformedMessageError(f'compressed body: {exc}') from exc
    if not unpacker.eof:
        raise MalformedMessageError('compressed body is truncated or too large')
    return whole
