"""HTTP/1.1 for the stand-ins: reading messages, and one-shot calls."""

import asyncio
import contextlib
import dataclasses

__all__ = ['Message', 'call', 'read_message', 'reset']

LIMIT = 1 << 20


@dataclasses.dataclass
class Message:
    """A request or an answer, as it was read; names are in lower case."""

    first: str
    headers: dict
    body: bytes


async def read_message(reader, *, bodiless=False):
    """Return the next message, None at the end of the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    body = b''
    if 'content-length' in headers and not bodiless:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            body += part[:-2]
            if not size:
                break
    return Message(lines[0], headers, body)


def encode(first, headers, body=b''):
    """Encode a message with a length."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(address, first, headers, body=b'', limit_s=5.0):
    """Send one request on a new connection; return its answer.

    Raises `OSError`, `TimeoutError` or `asyncio.IncompleteReadError` if there
    is none.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=LIMIT
            )
            writer.write(encode(first, headers, body))
            return await read_message(reader)
    finally:
        if writer is not None:
            reset(writer)


def reset(writer):
    """Close a connection at once."""
    with contextlib.suppress(Exception):
        writer.transport.abort()
