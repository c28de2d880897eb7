"""Decoding of what other processes have written.

Such data may have any type, size and nesting.  One writer must not be able to
end a reader, so that every decoder refuses what it cannot use.
"""

import ipaddress
import json
from typing import Any

from savoryhold.core.errors import MalformedMessageError

__all__ = ['UNREADABLE', 'host_port', 'parse_json', 'whole_number']

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
MAX_NUMBER = 0x7FFFFFFFFFFFFFFF  # numbers travel in 64 bits
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_json(text: bytes | str) -> Any:
    """Return the data that a JSON text describes.

    Raises
    ------
    MalformedMessageError
        If the text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(text)
    except UNREADABLE as exc:
        raise MalformedMessageError(f'not readable as JSON: {exc!r}') from exc


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
