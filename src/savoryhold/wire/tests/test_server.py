"""The HTTP/1.1 server for callers, on loopback sockets."""

import asyncio
import re
import socket
import struct
import unittest

from savoryhold.core.clock import MonotonicClock
from savoryhold.traffic import CallerLimits
from savoryhold.wire import Exchange, HttpServer
from savoryhold.wire.server import ServerConnection

LIMIT_S = 5
READ_DELAY_S = 0.05  # by then, bytes sent on loopback have been read
RECEIVE_BUFFER_BYTES = 16_384
LARGE = bytes(200_000)
GET = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
LONG_HEAD = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n'


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """A server whose requests the test answers."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.exchanges: list[Exchange] = []
        self.arrived = asyncio.Event()
        self.limits = CallerLimits(header_bytes=300, body_bytes=1000)
        self.server = HttpServer(
            self.on_exchange, MonotonicClock().now, lambda: self.limits
        )
        await self.server.start('127.0.0.1:0', 16)
        listener = self.server._server
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )

    async def asyncTearDown(self) -> None:
        """Close everything."""
        self.writer.close()
        self.server.stop()

    def on_exchange(self, exchange: Exchange) -> None:
        """Record an exchange."""
        self.exchanges.append(exchange)
        self.arrived.set()

    async def wait_for(self, count: int) -> None:
        """Wait until so many requests have been read."""
        async with asyncio.timeout(LIMIT_S):
            while len(self.exchanges) < count:
                self.arrived.clear()
                await self.arrived.wait()

    async def until_started(self) -> None:
        """Wait until the start of a request has been read."""
        async with asyncio.timeout(LIMIT_S):
            while not any(
                conn.started_at is not None for conn in self.server.connections
            ):
                await asyncio.sleep(0)

    async def rest(self) -> bytes:
        """Return all bytes that the server sends until it closes."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()


class TestPipelining(ServerCase):
    """Pipelined requests."""

    async def test_answers_come_in_the_order_of_requests(self) -> None:
        """The second answer waits for the first."""
        self.writer.write(GET + GET.replace(b'/a', b'/b'))
        await self.wait_for(2)
        first, second = self.exchanges
        self.assertEqual(second.req.target, b'/b')
        second.reply(200, b'', b'two')
        first.reply(200, b'', b'one')
        async with asyncio.timeout(LIMIT_S):
            found = await self.reader.readuntil(b'two')
        self.assertLess(found.index(b'one'), found.index(b'two'))

    # A connection at its limit of requests was not read, so that a close by
    # the caller went unnoticed.
    async def test_caller_with_many_requests_that_leaves_is_noticed(
        self,
    ) -> None:
        """The close is noticed though some requests still wait."""
        self.writer.write(GET * 40)
        await self.wait_for(32)
        gone = asyncio.Event()
        self.exchanges[0].on_disconnect = gone.set
        self.writer.close()
        async with asyncio.timeout(LIMIT_S):
            await gone.wait()

    async def test_requests_over_the_limit_wait(self) -> None:
        """Each answer admits the next one; all are answered in order."""
        self.writer.write(GET * 40)
        await self.wait_for(32)
        self.assertEqual(len(self.exchanges), 32)
        for index in range(40):
            await self.wait_for(index + 1)
            self.exchanges[index].reply(200, b'', b'%d;' % index)
        async with asyncio.timeout(LIMIT_S):
            found = await self.reader.readuntil(b'39;')
        numbers = re.findall(rb'(\d+);', found)
        self.assertEqual(numbers, [b'%d' % index for index in range(40)])

    # A request was handled although its caller had closed right after it.
    async def test_request_of_a_caller_that_has_left_is_not_taken(
        self,
    ) -> None:
        """A request that is read together with a close is not handled."""
        with socket.create_connection(('127.0.0.1', self.port)) as sock:
            sock.sendall(GET)
        seen: set[ServerConnection] = set()
        async with asyncio.timeout(LIMIT_S):
            while len(seen) < 2 or len(self.server.connections) > 1:
                await asyncio.sleep(0)
                seen |= self.server.connections
        self.writer.write(GET.replace(b'/a', b'/b'))
        await self.wait_for(1)
        found = [exchange.req.target for exchange in self.exchanges]
        self.assertEqual(found, [b'/b'])

    async def test_caller_that_leaves_is_noticed(self) -> None:
        """The handler of a request is notified that its caller is gone."""
        self.writer.write(GET)
        await self.wait_for(1)
        gone = asyncio.Event()
        self.exchanges[0].on_disconnect = gone.set
        self.writer.close()
        async with asyncio.timeout(LIMIT_S):
            await gone.wait()


class TestLimits(ServerCase):
    """Requests that are refused by the server itself."""

    async def check(self, sent: bytes, status: bytes) -> None:
        """Send bytes; expect the given status, then a close."""
        self.writer.write(sent)
        found = await self.rest()
        self.assertTrue(found.startswith(b'HTTP/1.1 ' + status), found)
        self.assertEqual(self.exchanges, [])

    async def test_long_head(self) -> None:
        """A head over the limit is answered with 431."""
        await self.check(GET[:-2] + b'x: ' + b'y' * 400 + b'\r\n\r\n', b'431')

    async def test_long_body(self) -> None:
        """A body over the limit is answered with 413."""
        head = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n'
        await self.check(head, b'413')

    async def test_no_http(self) -> None:
        """Bytes that are not HTTP are answered with 400."""
        await self.check(b'\x16\x03\x01\x02\x00\r\n\r\n', b'400')

    async def test_two_lengths(self) -> None:
        """A request with two ways to find its end is answered with 400."""
        head = (
            b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        await self.check(head, b'400')

    # A body was refused as a new configuration lowered the limit meanwhile.
    async def test_limits_at_the_start_of_a_request_apply(self) -> None:
        """New limits apply from the next request on."""
        head = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 800\r\n\r\n'
        self.writer.write(head)
        await self.until_started()
        self.limits = CallerLimits(header_bytes=10, body_bytes=500)
        self.writer.write(bytes(800))
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        self.writer.write(head)
        found = await self.rest()
        self.assertTrue(found.startswith(b'HTTP/1.1 431'), found)


class TestDrain(ServerCase):
    """A server that shuts down."""

    async def test_read_request_is_answered(self) -> None:
        """The request is answered, then the connection closes."""
        self.writer.write(GET)
        await self.wait_for(1)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.exchanges[0].reply(200, b'', b'done')
        found = await self.rest()
        self.assertIn(b'connection: close', found)
        self.assertTrue(found.endswith(b'done'))
        await asyncio.wait_for(drained, LIMIT_S)

    # A process exited as soon as no request was open, and left idle
    # connections open: a request that arrived at the last moment was handled,
    # and its answer was cut off.
    async def test_idle_connections_are_closed(self) -> None:
        """No connection is open when the drain has ended."""
        self.writer.write(GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(self.server.connections, set())
        self.assertEqual(await self.rest(), b'')
        with self.assertRaises(OSError):
            await asyncio.open_connection('127.0.0.1', self.port)

    # A request that arrived during the drain was handled, and its answer was
    # cut off by the close.
    async def test_request_that_arrives_later_is_not_handled(
        self,
    ) -> None:
        """Only requests read before the drain began are handled."""
        self.writer.write(GET * 2)
        await self.wait_for(2)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.exchanges[1].reply(200, b'', b'two')
        self.writer.write(GET)
        await asyncio.sleep(READ_DELAY_S)
        self.exchanges[0].reply(200, b'', b'one')
        found = await self.rest()
        self.assertTrue(found.endswith(b'two'))
        self.assertEqual(len(self.exchanges), 2)
        await asyncio.wait_for(drained, LIMIT_S)

    # A caller that always had a request under way delayed the exit until all
    # its requests were cut off.
    async def test_caller_that_keeps_sending_does_not_delay_the_end(
        self,
    ) -> None:
        """A busy connection closes once the requests read are answered."""
        self.writer.write(GET)
        await self.wait_for(1)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.writer.write(GET * 2)
        await asyncio.sleep(READ_DELAY_S)
        self.assertEqual(len(self.exchanges), 1)
        self.exchanges[0].reply(200, b'', b'done')
        found = await self.rest()
        self.assertIn(b'connection: close', found)
        self.assertTrue(found.endswith(b'done'))
        await asyncio.wait_for(drained, LIMIT_S)

    async def test_partial_request_is_completed_and_answered(self) -> None:
        """The rest of a request may arrive after the drain has begun."""
        self.writer.write(GET[:9])
        await self.until_started()
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.writer.write(GET[9:] + GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'done')
        found = await self.rest()
        self.assertIn(b'connection: close', found)
        self.assertTrue(found.endswith(b'done'))
        self.assertEqual(len(self.exchanges), 1)
        await asyncio.wait_for(drained, LIMIT_S)

    # Line ends after a request counted as the start of another one, so that
    # the connection was never idle, and the process could not exit.
    async def test_line_ends_after_a_request_start_none(self) -> None:
        """A connection that received only line ends is idle."""
        self.writer.write(GET + b'\r\n')
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        self.writer.write(b'\r\n')
        await asyncio.sleep(READ_DELAY_S)
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(await self.rest(), b'')


class TestClose(ServerCase):
    """Closing a connection after its last answer."""

    async def asyncSetUp(self) -> None:
        """Connect with a small receive buffer at the caller."""
        await super().asyncSetUp()
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, ('127.0.0.1', self.port))

    async def asyncTearDown(self) -> None:
        """Close everything."""
        self.sock.close()
        await super().asyncTearDown()

    async def read_all(self) -> bytes:
        """Return all bytes up to the close."""
        loop = asyncio.get_running_loop()
        found = b''
        async with asyncio.timeout(LIMIT_S):
            while received := await loop.sock_recv(
                self.sock, RECEIVE_BUFFER_BYTES
            ):
                found += received
        return found

    # Requests that crossed the close reset the connection, which cut the
    # answer off.
    async def test_answer_is_complete_despite_later_requests(self) -> None:
        """Requests that cross the close do not reset the connection."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.exchanges[0].reply(200, b'', LARGE)
        await loop.sock_sendall(self.sock, GET * 3)
        found = await self.read_all()
        self.assertTrue(found.endswith(b'\r\n\r\n' + LARGE), len(found))
        self.sock.close()
        await asyncio.wait_for(drained, LIMIT_S)
        self.assertEqual(len(self.exchanges), 1)

    # The same happened if a request was refused while its body was sent.
    async def test_refusal_is_complete_despite_the_rest_of_the_body(
        self,
    ) -> None:
        """The rest of a refused body does not reset the connection."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, LONG_HEAD)
        await self.until_closing()
        await loop.sock_sendall(self.sock, bytes(2000))
        found = await self.read_all()
        self.assertTrue(found.startswith(b'HTTP/1.1 413'), found)

    # A caller that pipelines lost answers when its connection was closed as
    # idle.
    async def test_answers_are_complete_despite_an_idle_close(self) -> None:
        """A request that crosses the idle close does not cut off answers."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', LARGE)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        await loop.sock_sendall(self.sock, GET)
        found = await self.read_all()
        self.assertTrue(found.endswith(b'\r\n\r\n' + LARGE), len(found))
        self.sock.close()
        await asyncio.wait_for(drained, LIMIT_S)
        self.assertEqual(len(self.exchanges), 1)

    # A caller that neither reads nor closes must not keep the process alive.
    async def test_caller_that_does_not_close_is_closed(self) -> None:
        """The wait for the caller's close is bounded."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(self.server.connections, set())

    # The error of a close after a reset that had not been read ended the
    # periodic sweep.
    async def test_close_after_an_unread_reset(self) -> None:
        """A connection that its caller has reset can be closed."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        conn = self.exchanges[0].conn
        self.exchanges[0].reply(200, b'', b'one')
        await loop.sock_recv(self.sock, RECEIVE_BUFFER_BYTES)
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.sock.close()
        self.server.closing = True
        conn.sweep(self.server.now())
        async with asyncio.timeout(LIMIT_S):
            while conn in self.server.connections:
                await asyncio.sleep(0)

    async def until_closing(self) -> None:
        """Wait until the server begins to close a connection."""
        async with asyncio.timeout(LIMIT_S):
            while not any(conn._closing for conn in self.server.connections):
                await asyncio.sleep(0)
