"""Encoding of messages with large bodies, which are copied nowhere.

The bytes are those of the thrift binary protocol; only the body's field may
come last, which the protocol permits.
"""

import struct
from typing import Any, cast

from savoryhold.core.errors import MalformedMessageError

__all__ = ['append_body', 'cut_body']

_FIELD = struct.Struct('!Bh')
_COUNT = struct.Struct('!i')
_STRING, _LIST, _STOP = 11, 15, 0
_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}  # of the types of fixed size


def append_body(encoded: bytes, field: int, body: bytes) -> tuple[bytes, ...]:
    """Return the parts of an encoded struct with one more field."""
    head = _FIELD.pack(_STRING, field) + _COUNT.pack(len(body))
    return encoded[:-1] + head, body, bytes([_STOP])


def cut_body(payload: Any, field: int) -> tuple[bytes, bytes | None]:
    """Cut a string field out of an encoded struct.

    Parameters
    ----------
    payload : bytearray
        The encoded struct; it becomes the body.
    field : int
        Number of the field.

    Returns
    -------
    tuple of bytes
        The struct without the field, and the field, None if there is none.

    Raises
    ------
    MalformedMessageError
        If the payload is no sequence of fields.
    """
    try:
        start, end = _find(payload, field)
    except (struct.error, IndexError, KeyError) as exc:
        raise MalformedMessageError(f'malformed struct: {exc!r}') from exc
    if end > len(payload):
        raise MalformedMessageError('string field exceeds the struct')
    if not end:
        return payload, None
    first = start - _FIELD.size - _COUNT.size
    rest = bytes(payload[:first]) + bytes(memoryview(payload)[end:])
    del payload[end:]
    del payload[:start]
    return rest, cast(bytes, payload)


def _find(payload: Any, field: int) -> tuple[int, int]:
    """Return where the content of a string field starts and ends."""
    place = 0
    while payload[place] != _STOP:
        kind, number = _FIELD.unpack_from(payload, place)
        place += _FIELD.size
        if kind == _STRING and number == field:
            size = _count_at(payload, place)
            place += _COUNT.size
            return place, place + size
        place = _skip(payload, place, kind)
    return 0, 0


def _skip(payload: Any, place: int, kind: int) -> int:
    """Return the place after a value."""
    if kind == _STRING:
        return place + _COUNT.size + _count_at(payload, place)
    if kind != _LIST:
        return place + _SIZES[kind]
    entry = payload[place]
    count = _count_at(payload, place + 1)
    place += 1 + _COUNT.size
    if count > len(payload):
        raise IndexError('list exceeds the struct')
    for _ in range(count):
        place = _skip(payload, place, entry)
    return place


def _count_at(payload: Any, place: int) -> int:
    return max(0, int(_COUNT.unpack_from(payload, place)[0]))
