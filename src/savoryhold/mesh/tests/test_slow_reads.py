"""Answers of a store that arrive slowly, as over a busy or narrow link."""

import asyncio
import json
import pathlib
import sys
import unittest

import aiohttp

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import PlatformError
from savoryhold.store import PlatformClient
from savoryhold.wire import ClientPool

ROOT = pathlib.Path(__file__).parents[4]
sys.path.insert(0, str(ROOT / 'platform'))

from objects import ObjectStore  # noqa: E402

PIECES = 12
PAUSE_S = 0.25
LIMIT_MS = 150
ARRIVAL_MS = 450
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
ENTRY = {'metadata': {'name': 'main', 'revision': 3}, 'spec': {'version': 2}}
NATIVE_ENTRY = {'name': 'node/a', 'version': 3, 'value': {}}
MS_PER_SECOND = 1000


class TestSlowReads(unittest.IsolatedAsyncioTestCase):
    """A server that sends each answer in pieces."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.body = b''
        self.pieces = PIECES
        self.sent_pieces = PIECES
        self.pause_s = PAUSE_S
        self.open_count = 0
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def asyncTearDown(self) -> None:
        """Wait until all connections are closed."""
        while self.open_count:
            await asyncio.sleep(PAUSE_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request with a pause after each piece."""
        self.open_count += 1
        await reader.readuntil(b'\r\n\r\n')
        if self.sent_pieces:
            head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            length = f'Content-Length: {len(self.body)}\r\n\r\n'
            writer.write((head + length).encode())
        size = len(self.body) // self.pieces + 1
        for number in range(self.sent_pieces):
            writer.write(self.body[number * size : (number + 1) * size])
            await asyncio.sleep(self.pause_s)
            if reader.at_eof():
                break
        if self.sent_pieces < self.pieces:
            # Until the client gives up.
            await reader.read()
        writer.close()
        self.open_count -= 1

    # A read that took over a second was cut off and begun anew, so that a
    # node behind a narrow link never got a large configuration.
    async def test_configuration_that_keeps_arriving_is_read(self) -> None:
        """The store sends for three times as long as a call may be silent."""
        self.body = json.dumps({'items': [ENTRY], 'at': 7}).encode()
        store = ObjectStore(self.address, BootClock().now)
        listing = await store.list('config')
        self.assertEqual([one.name for one in listing.objects], ['main'])

    # The same limit of the native daemon's client.
    async def test_native_snapshot_that_keeps_arriving_is_read(self) -> None:
        """The store sends for twice as long as a call may be silent."""
        fields = {'revision': 5, 'objects': [NATIVE_ENTRY]}
        self.body = json.dumps(fields).encode()
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(f'http://{self.address}', session)
            snapshot = await client.snapshot('node/')
        self.assertEqual([one.name for one in snapshot.objects], ['node/a'])

    # An answer that has stopped must not hold its reader as long as one that
    # keeps arriving.
    async def test_answer_that_stops_is_given_up(self) -> None:
        """The error tells that a part of the answer has arrived."""
        self.body = bytes(PIECES)
        self.sent_pieces = 1
        pool = ClientPool(
            self.address, BootClock().now, arrival_ms=60 * MS_PER_SECOND
        )
        with self.assertRaisesRegex(TimeoutError, 'only .* bytes'):
            await pool.ask(REQUEST, LIMIT_MS)

    # A store that sends a byte now and then must not hold its reader for good.
    async def test_answer_without_end_is_given_up(self) -> None:
        """The time for an answer that keeps arriving is limited."""
        self.body = bytes(PIECES * PIECES)
        self.pieces = PIECES * PIECES
        self.sent_pieces = self.pieces
        self.pause_s = PAUSE_S / 10
        pool = ClientPool(self.address, BootClock().now, arrival_ms=ARRIVAL_MS)
        with self.assertRaises(TimeoutError):
            await pool.ask(REQUEST, LIMIT_MS)

    # Requests to targets have deadlines, which nothing extends.
    async def test_deadline_holds_for_an_answer_that_arrives(self) -> None:
        """A pool without time for arrival keeps to the limit."""
        self.body = bytes(PIECES)
        pool = ClientPool(self.address, BootClock().now)
        with self.assertRaises(TimeoutError):
            await pool.ask(REQUEST, LIMIT_MS)

    async def test_silent_store_is_a_failed_call(self) -> None:
        """A call without any answer fails after its own limit."""
        self.sent_pieces = 0
        store = ObjectStore(self.address, BootClock().now)
        with self.assertRaisesRegex(PlatformError, 'no answer in time'):
            await store.list('config')


if __name__ == '__main__':
    unittest.main()
