"""Decoding of what other processes have written.

Such data may have any type, size and nesting.  One writer must not be able to
end a reader, so that every decoder refuses what it cannot use.
"""

import ipaddress
import json
import re
from typing import Any

from savoryhold.core.errors import MalformedMessageError

__all__ = [
    'UNREADABLE',
    'host_port',
    'parse_json',
    'parse_json_list',
    'plain_text',
    'whole_number',
]

# Raised on text that is not JSON or is nested too deeply, and on access to a
# field that is missing, of another type or too large.
UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MalformedMessageError,
    RecursionError,
    TypeError,
    ValueError,
)
# Of decoded data in memory.  An empty list takes thirty times its text.
MAX_DECODED_BYTES = 128_000_000
SMALL_TEXT = 65_536  # bytes, which never decode to much
LIST_BYTES = 88
DICT_BYTES = 200
VALUE_BYTES = 64  # of a number or a short text
MAX_NUMBER = 0x7FFFFFFFFFFFFFFF  # numbers travel in 64 bits
MAX_PORT = 65_535
MAX_TEXT = 256  # characters; names and tokens are far shorter
MAX_PORT_DIGITS = 5
MAX_DEPTH = 64  # of nesting in an answer of which one entry is too deep
STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]')
OPENING = frozenset('[{')
CLOSING = frozenset(']}')


def parse_json(text: bytes | str, max_decoded: int = MAX_DECODED_BYTES) -> Any:
    """Return the data that a JSON text describes.

    Parameters
    ----------
    text : bytes or str
        The text.
    max_decoded : int
        How much memory the data may take, in bytes, by an estimate.

    Raises
    ------
    MalformedMessageError
        If the text is not JSON, is nested too deeply or describes too much.
    """
    if len(text) > SMALL_TEXT and _decoded_bytes(text) > max_decoded:
        raise MalformedMessageError(
            f'JSON of {len(text)} bytes describes too much data'
        )
    try:
        return json.loads(text)
    except UNREADABLE as exc:
        raise MalformedMessageError(f'not readable as JSON: {exc!r}') from exc


def parse_json_list(text: bytes) -> Any:
    """Return the data of a JSON text that lists entries of many writers.

    What is nested deeper than `MAX_DEPTH` is read as null if the text cannot
    be read otherwise, so that one entry does not hide the others.

    Raises
    ------
    MalformedMessageError
        If the text is not JSON.
    """
    try:
        return parse_json(text)
    except MalformedMessageError as exc:
        if not isinstance(exc.__cause__, RecursionError):
            raise
    return parse_json(_without_deep_values(text.decode(errors='replace')))


def whole_number(field: Any, least: int = 0) -> int:
    """Return a whole number from `least` to 64 bits.

    Raises
    ------
    ValueError
        If the field is anything else.
    """
    if not isinstance(field, int) or isinstance(field, bool):
        raise ValueError(f'{field!r} is not a whole number')
    if not least <= field <= MAX_NUMBER:
        raise ValueError(f'{field} is not between {least} and 64 bits')
    return field


def plain_text(field: Any, least: int = 1) -> str:
    """Return a text that any log, header, label and message can carry.

    Raises
    ------
    ValueError
        If the field is no text of `least` to `MAX_TEXT` printable characters.
        Control characters and halves of surrogate pairs are not printable.
    """
    if not isinstance(field, str):
        raise ValueError(f'{type(field).__name__} is not text')
    if not least <= len(field) <= MAX_TEXT:
        raise ValueError(f'text of {len(field)} characters')
    if not field.isprintable():
        raise ValueError(f'{field!a} is not printable')
    return field


def host_port(field: Any) -> str:
    """Return an address ``ip:port`` that a connection can be opened to.

    Raises
    ------
    ValueError
        If the field is anything else.
    """
    if not isinstance(field, str):
        raise ValueError(f'{field!r} is not ip:port')
    host, _, port = field.rpartition(':')
    ipaddress.ip_address(host)
    is_port = port.isascii() and port.isdecimal()
    if not is_port or len(port) > MAX_PORT_DIGITS:
        raise ValueError(f'{field!r}: the port is not a number')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{field!r}: the port is not in 1..{MAX_PORT}')
    return field


def _decoded_bytes(text: bytes | str) -> int:
    """Estimate how much memory the data of a JSON text takes."""
    marks: tuple[Any, Any, Any] = ('[', '{', ',')
    if not isinstance(text, str):
        marks = (b'[', b'{', b',')
    lists, dicts, commas = map(text.count, marks)
    containers = lists * LIST_BYTES + dicts * DICT_BYTES
    return len(text) + containers + commas * VALUE_BYTES


def _without_deep_values(text: str) -> str:
    """Replace the values of a JSON text below `MAX_DEPTH` by null."""
    parts: list[str] = []
    depth = 0
    begin = 0
    for found in STRING_OR_BRACKET.finditer(text):
        if found[0] in OPENING:
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.extend((text[begin : found.start()], 'null'))
        elif found[0] in CLOSING:
            depth -= 1
            if depth == MAX_DEPTH:
                begin = found.end()
    if depth > MAX_DEPTH:
        # The text ends within a value that is too deep.
        begin = len(text)
    parts.append(text[begin:])
    return ''.join(parts)
