"""Verdicts on calls to a faulty target, on loopback sockets."""

import asyncio
import dataclasses
import select
import socket
import unittest
from typing import Any

from savoryhold.core.configuration import ServiceClass
from savoryhold.core.errors import (
    NotOwnerError,
    OverloadError,
    UncertainError,
)
from savoryhold.core.routed_request import RoutedAnswer, RoutedRequest
from savoryhold.core.ids import Region, RequestId, ServiceName
from savoryhold.core.poison import Fingerprint
from savoryhold.target import TargetClient, TargetGoneError

__all__ = ['TestTargetClient']

OK = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'x' * 100_000
BACKLOG_FILL = 4
REQUEST = RoutedRequest(
    RequestId('r1'),
    ServiceName('booking'),
    None,
    'p1',
    'POST',
    '/patients/p%2F1/bookings?q=a%20b',
    (('x-note', 'kept'),),
    b'body',
    0,
    idempotent=False,
    service_class=ServiceClass.SHORT,
    fingerprint=Fingerprint(1),
    region=Region('sofia'),
)


class TestTargetClient(unittest.IsolatedAsyncioTestCase):
    """A client, and a target that sends given bytes and closes."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.reply = b''
        self.received = b''
        self.connections = 0
        self.extra_requests = 0
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.client = TargetClient(4)

    async def asyncTearDown(self) -> None:
        """Close both ends."""
        await self.client.close()
        self.server.close()

    async def call(self, *, may_send: bool = True) -> RoutedAnswer:
        """Send the request."""
        return await self.client.call(
            self.address, REQUEST, {'X-Extra': '1'}, lambda: may_send
        )

    async def test_request_arrives_as_it_came(self) -> None:
        """Path, headers and body are forwarded unchanged."""
        self.reply = OK + b'Content-Length: 2\r\n\r\nok'
        answer = await self.call()
        self.assertEqual((answer.status, answer.body), (200, b'ok'))
        self.assertIn(b'POST /patients/p%2F1/bookings?q=a%20b ', self.received)
        self.assertIn(b'x-note: kept', self.received)
        self.assertTrue(self.received.endswith(b'body'))

    # A target that closes within its answer's head has not answered.
    async def test_answer_cut_within_its_head_is_no_answer(self) -> None:
        """Wherever in the head the target closes, the call is uncertain."""
        head = OK + b'X-First: 1\r\nX-Second: 2\r\n\r\n'
        for length, _ in enumerate(head):
            self.reply = head[:length]
            with self.subTest(sent=self.reply):
                with self.assertRaises(UncertainError):
                    await self.call()

    async def test_refused_connection_did_not_run(self) -> None:
        """Nothing was sent, so the request has not run."""
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(TargetGoneError):
            await self.call()

    # A target with a full accept backlog was taken for one that had exited.
    async def test_full_backlog_does_not_mean_target_gone(self) -> None:
        """Nothing was sent, and the target is not declared gone."""
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.addCleanup(listener.close)
        self.address = '127.0.0.1:%d' % listener.getsockname()[1]
        for _ in range(BACKLOG_FILL):
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        with self.assertRaises(NotOwnerError) as caught:
            await self.call()
        self.assertNotIsInstance(caught.exception, TargetGoneError)

    async def test_lost_lease_sends_nothing(self) -> None:
        """The lease is checked once the connection is open."""
        with self.assertRaises(NotOwnerError):
            await self.call(may_send=False)
        self.assertEqual(self.received, b'')
        self.reply = OK + b'Content-Length: 2\r\n\r\nok'
        self.assertEqual((await self.call()).body, b'ok')

    async def test_answers_that_break_off_may_have_run(self) -> None:
        """No answer, a partial head and a partial body are all uncertain."""
        cases = (
            b'',
            b'HTTP/1.1 200',
            OK + b'Content-Length: 50\r\n\r\nhalf',
            OK + b'Transfer-Encoding: chunked\r\n\r\n5\r\nhel',
            b'garbage that is not HTTP\r\n\r\n',
        )
        for reply in cases:
            with self.subTest(reply=reply):
                self.reply = reply
                with self.assertRaises(UncertainError):
                    await self.call()

    async def test_put_is_not_sent_again_by_the_library(self) -> None:
        """aiohttp must not repeat a PUT if a kept connection closes."""
        self.extra_requests = 1
        self.reply = OK + b'Content-Length: 2\r\n\r\nok'
        put = dataclasses.replace(REQUEST, method='PUT')
        await self.client.call(self.address, put, {}, _yes)
        self.reply = b''
        with self.assertRaises(UncertainError):
            await self.client.call(self.address, put, {}, _yes)
        self.assertEqual(self.received.count(b'PUT '), 2)

    async def test_long_answer_that_breaks_off(self) -> None:
        """Reading the rest of a streamed answer raises."""
        self.reply = OK + b'Content-Length: 200000\r\n\r\n' + CHUNK
        answer = await self.call()
        assert answer.rest is not None
        with self.assertRaises(UncertainError):
            await anext(answer.rest)
            await anext(answer.rest)
            await anext(answer.rest)

    async def test_target_that_sheds_did_not_run_it(self) -> None:
        """A target may state that it did not run the request."""
        self.reply = (
            b'HTTP/1.1 503 Busy\r\nX-Savoryhold-Verdict: not-run\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        with self.assertRaises(OverloadError):
            await self.call()

    # A refusal sent twice passed for the answer to the next request, which
    # then ran although its caller was told that it had not.
    async def test_connection_with_a_refusal_is_not_used_again(self) -> None:
        """Answers have no id that tells whose refusal they are."""
        self.extra_requests = 1
        self.reply = (
            b'HTTP/1.1 503 Busy\r\nX-Savoryhold-Verdict: not-run\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        for _ in range(2):
            with self.assertRaises(OverloadError):
                await self.call()
        self.assertEqual(self.connections, 2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        # Only the first connection is kept open, so that a request that is
        # sent again on another one is counted and the test ends.
        extra_requests, self.extra_requests = self.extra_requests, 0
        for _ in range(extra_requests + 1):
            head = await reader.read(65536)
            if head and not head.endswith(b'body'):
                head += await reader.read(65536)
            self.received += head
            writer.write(self.reply)
            await writer.drain()
        writer.close()


class TestUnreadInput(unittest.IsolatedAsyncioTestCase):
    """A kept connection with an unread close, after the loop was blocked."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.client = TargetClient(4)
        self.addAsyncCleanup(self.client.close)

    # An order was sent on a connection whose close had not been read: 504.
    async def test_connection_with_an_unread_close_is_not_used(self) -> None:
        """A close that has arrived is noticed before the next request."""
        sock = await self.call()
        sock.close()
        connector: Any = self.client._session.connector
        kept, _ = next(iter(connector._conns.values()))[0]
        idle = kept.transport.get_extra_info('socket')
        select.select([idle.fileno()], [], [])
        await self.call()

    async def call(self) -> socket.socket:
        """Have a request answered on a new connection; return its far end."""
        # The request is sent before the loop polls the idle connection.
        answer, sock = await asyncio.gather(
            self.client.call(self.address, REQUEST, {}, _yes), self.serve()
        )
        self.assertEqual((answer.status, answer.body), (200, b'ok'))
        return sock

    async def serve(self) -> socket.socket:
        """Answer the first request of a connection."""
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.listener)
        self.addCleanup(sock.close)
        received = b''
        while not received.endswith(b'body'):
            received += await loop.sock_recv(sock, len(CHUNK))
        await loop.sock_sendall(sock, OK + b'Content-Length: 2\r\n\r\nok')
        return sock


def _yes() -> bool:
    return True
