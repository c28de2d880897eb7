"""Outcomes of calls to a faulty object API."""

import asyncio
import unittest

import aiohttp

from savoryhold.core.errors import (
    PlatformError,
    VersionConflictError,
    WriteUncertainError,
)
from savoryhold.core.ids import ObjectName, Version
from savoryhold.store import PlatformClient

__all__ = ['TestPlatformClient']

NAME = ObjectName('node/a')


class TestPlatformClient(unittest.IsolatedAsyncioTestCase):
    """A client, and a server that sends given bytes and closes."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.reply = b''
        self.received = b''
        self.extra_requests = 0
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.session = aiohttp.ClientSession()
        self.client = PlatformClient(f'http://127.0.0.1:{port}', self.session)

    async def asyncTearDown(self) -> None:
        """Close both ends."""
        await self.session.close()
        self.server.close()

    async def test_writes_have_four_outcomes(self) -> None:
        """A write whose reply is lost is uncertain, not failed."""
        cases: tuple[tuple[bytes, type[Exception]], ...] = (
            (_answer(412), VersionConflictError),
            (_answer(404), VersionConflictError),
            (_answer(413), PlatformError),
            (_answer(503), WriteUncertainError),
            (_answer(200), WriteUncertainError),
            (_answer(200, 'ETag: "soon"\r\n'), WriteUncertainError),
            (b'', WriteUncertainError),
            (b'garbage\r\n\r\n', WriteUncertainError),
        )
        for reply, expected in cases:
            with self.subTest(reply=reply):
                self.reply = reply
                with self.assertRaises(PlatformError) as caught:
                    await self.client.write(NAME, '{}', Version(1))
                self.assertIs(type(caught.exception), expected)
        self.reply = _answer(200, 'ETag: "7"\r\n')
        self.assertEqual(await self.client.write(NAME, '{}', None), 7)

    async def test_deeply_nested_entry_hides_no_other(self) -> None:
        """A list is read although one of its entries is nested too deeply.

        Guards against a node that takes a whole store for unreadable.
        """
        deep = '[' * 5000 + ']' * 5000
        good = '{"name":"node/a","version":3,"value":{}}'
        body = f'{{"revision":5,"objects":[{deep},{good}]}}'
        head = 'Content-Type: application/json\r\n'
        self.reply = _answer(200, head, body)
        snapshot = await self.client.snapshot('node/')
        self.assertEqual([one.name for one in snapshot.objects], ['node/a'])
        self.assertEqual(snapshot.unreadable, 1)

    async def test_creation_is_not_sent_again_by_the_library(self) -> None:
        """A repeated creation could take effect after a deletion."""
        self.extra_requests = 1
        self.reply = _answer(200, 'ETag: "7"\r\n').replace(b'close', b'x')
        await self.client.write(NAME, '{}', None)
        self.reply = b''
        with self.assertRaises(WriteUncertainError):
            await self.client.write(NAME, '{}', None)
        self.assertEqual(self.received.count(b'PUT '), 2)

    async def test_write_to_a_store_that_is_down(self) -> None:
        """If the connection is refused, the write certainly has no effect."""
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(PlatformError) as caught:
            await self.client.write(NAME, '{}', None)
        self.assertIs(type(caught.exception), PlatformError)

    async def test_malformed_snapshots(self) -> None:
        """Each malformed snapshot raises a `PlatformError`."""
        bodies = (
            'x',
            '[]',
            '{}',
            '{"revision": "x", "objects": []}',
            '{"revision": 1e999, "objects": []}',
            '{"revision": 1, "objects": ' + '[' * 100_000,
            '{"revision": 1, "objects": 3}',
        )
        for body in bodies:
            with self.subTest(body=body):
                self.reply = _answer(200, body=body)
                with self.assertRaises(PlatformError):
                    await self.client.snapshot('')

    # One odd entry hid all others from the nodes that read them.
    async def test_odd_entry_hides_no_other(self) -> None:
        """The others are returned; an odd one does not count as absent."""
        good = '{"name": "good", "version": 1, "value": {}}'
        for odd in (
            '7',
            '{"name": "node/a"}',
            '{"name": "node/a", "version": 1e999, "value": {}}',
            '{"name": "node/a", "version": 99999999999999999999, "value": 1}',
        ):
            with self.subTest(odd=odd):
                objects = f'[{odd}, {good}]'
                body = f'{{"revision": 1, "objects": {objects}}}'
                self.reply = _answer(200, body=body)
                snapshot = await self.client.snapshot('')
                self.assertEqual(
                    [one.name for one in snapshot.objects], ['good']
                )
                self.assertEqual(snapshot.unreadable, 1)
                with self.assertRaises(PlatformError):
                    await self.client.read(NAME)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Only the first connection is kept open, so that a request that is
        # sent again on another one is counted and the test ends.
        extra_requests, self.extra_requests = self.extra_requests, 0
        for _ in range(extra_requests + 1):
            self.received += await reader.read(65536)
            writer.write(self.reply)
            await writer.drain()
        writer.close()


def _answer(status: int, extra: str = '', body: str = '') -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}'
        'Connection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()
