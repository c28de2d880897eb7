"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
from urllib.parse import parse_qs, urlsplit

REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


class Request:
    """A request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        url = urlsplit(target)
        self.path = url.path
        self.query = {key: found[0] for key, found in parse_qs(url.query).items()}

    def header(self, name):
        """Return a header, empty if it is absent."""
        return self.headers.get(name.lower(), '')


def parse_head(text):
    """Return the first line and the headers by lower-case name."""
    first, *lines = text.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, field = line.partition(':')
        headers[name.strip().lower()] = field.strip()
    return first, headers


class _Connection(asyncio.Protocol):
    """Serves one request at a time; a close cancels the one under way."""

    def __init__(self, server):
        self.server = server
        self.data = bytearray()
        self.task = None
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.server.open.add(self)

    def connection_lost(self, exc):
        self.server.open.discard(self)
        if self.task is not None:
            self.task.cancel()

    def eof_received(self):
        return False

    def data_received(self, received):
        self.data += received
        self._next()

    def _next(self):
        if self.task is not None:
            return
        end = self.data.find(b'\r\n\r\n')
        if end < 0:
            return
        first, headers = parse_head(bytes(self.data[:end]))
        size = int(headers.get('content-length', '0'))
        if len(self.data) < end + 4 + size:
            return
        body = bytes(self.data[end + 4 : end + 4 + size])
        del self.data[: end + 4 + size]
        method, target, _ = first.split(' ', 2)
        self.task = asyncio.ensure_future(
            self._serve(Request(method, target, headers, body))
        )

    async def _serve(self, req):
        status, headers, body = await self.server.handler(req)
        lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
        lines += [f'{name}: {field}' for name, field in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write('\r\n'.join(lines).encode() + body)
        self.task = None
        self._next()


class Server:
    """An HTTP server; `handler` returns status, headers and body."""

    def __init__(self, handler):
        self.handler = handler
        self.open = set()
        self._server = None

    async def start(self, address):
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, int(port), backlog=1024
        )

    def stop(self):
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.open):
            if conn.transport is not None:
                conn.transport.abort()


class Client:
    """One kept connection."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    async def ask(self, method, target, headers, body=b'', limit_s=5.0):
        """Return status, headers and body; raise OSError on a failure."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._ask(method, target, headers, body)
        except BaseException:
            self.close()
            raise

    async def _ask(self, method, target, headers, body):
        if self._writer is None:
            host, _, port = self.address.rpartition(':')
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {field}' for name, field in headers.items()]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await self._writer.drain()
        try:
            text = await self._reader.readuntil(b'\r\n\r\n')
            first, found = parse_head(text[:-4])
            size = int(found.get('content-length', '0'))
            answer = await self._reader.readexactly(size)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionError('closed without a complete answer') from exc
        if found.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), found, answer

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
