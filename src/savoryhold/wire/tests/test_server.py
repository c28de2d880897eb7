"""The callers' side of HTTP/1.1, on loopback sockets."""

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
SEEN_S = 0.05  # bytes on loopback have come by then
ROOM_BYTES = 16_384
LARGE = bytes(200_000)
GET = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
LONG_HEAD = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n'


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """A server whose exchanges the test answers."""

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
        """Keep an exchange."""
        self.exchanges.append(exchange)
        self.arrived.set()

    async def wait_for(self, count: int) -> None:
        """Wait until so many requests have been read."""
        async with asyncio.timeout(LIMIT_S):
            while len(self.exchanges) < count:
                self.arrived.clear()
                await self.arrived.wait()

    async def until_begun(self) -> None:
        """Wait until the start of a request has been read."""
        async with asyncio.timeout(LIMIT_S):
            while not any(
                conn._begun_at is not None for conn in self.server.connections
            ):
                await asyncio.sleep(0)

    async def rest(self) -> bytes:
        """Return all that the server still sends."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()


class TestOrder(ServerCase):
    """Requests that were sent before earlier ones were answered."""

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

    # A connection with many requests under way was not read any more.
    async def test_caller_with_many_requests_that_leaves_is_noticed(
        self,
    ) -> None:
        """The close is seen although not all requests were taken."""
        self.writer.write(GET * 40)
        await self.wait_for(32)
        gone = asyncio.Event()
        self.exchanges[0].on_disconnect = gone.set
        self.writer.close()
        async with asyncio.timeout(LIMIT_S):
            await gone.wait()

    async def test_requests_beyond_those_at_work_wait_their_turn(self) -> None:
        """An answer lets the next one in, and all are answered in order."""
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

    # A request was passed on before the close behind it was read.
    async def test_request_of_a_caller_that_has_left_is_not_taken(
        self,
    ) -> None:
        """A request and a close that are read together bring no work."""
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
        """Whoever works on a request hears that its caller has gone."""
        self.writer.write(GET)
        await self.wait_for(1)
        gone = asyncio.Event()
        self.exchanges[0].on_disconnect = gone.set
        self.writer.close()
        async with asyncio.timeout(LIMIT_S):
            await gone.wait()


class TestLimits(ServerCase):
    """What a caller may not send."""

    async def check(self, sent: bytes, status: bytes) -> None:
        """Send bytes and expect a status, and the end."""
        self.writer.write(sent)
        found = await self.rest()
        self.assertTrue(found.startswith(b'HTTP/1.1 ' + status), found)
        self.assertEqual(self.exchanges, [])

    async def test_long_head(self) -> None:
        """A head over the limit is answered 431."""
        await self.check(GET[:-2] + b'x: ' + b'y' * 400 + b'\r\n\r\n', b'431')

    async def test_long_body(self) -> None:
        """A body over the limit is answered 413."""
        head = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n'
        await self.check(head, b'413')

    async def test_no_http(self) -> None:
        """Other bytes are answered 400."""
        await self.check(b'\x16\x03\x01\x02\x00\r\n\r\n', b'400')

    async def test_two_lengths(self) -> None:
        """A request that could be cut in two ways is answered 400."""
        head = (
            b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        await self.check(head, b'400')

    # A body within the limits was refused as another version came meanwhile.
    async def test_limits_hold_as_they_were_at_the_start(self) -> None:
        """A new version does not refuse what was begun under the last."""
        head = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 800\r\n\r\n'
        self.writer.write(head)
        await self.until_begun()
        self.limits = CallerLimits(header_bytes=10, body_bytes=500)
        self.writer.write(bytes(800))
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        self.writer.write(head)
        found = await self.rest()
        self.assertTrue(found.startswith(b'HTTP/1.1 431'), found)


class TestDrain(ServerCase):
    """A server that is about to end."""

    async def test_read_request_is_answered(self) -> None:
        """What was read is answered, then the connection closes."""
        self.writer.write(GET)
        await self.wait_for(1)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.exchanges[0].reply(200, b'', b'done')
        found = await self.rest()
        self.assertIn(b'connection: close', found)
        self.assertTrue(found.endswith(b'done'))
        await asyncio.wait_for(drained, LIMIT_S)

    async def test_idle_connections_end_before_the_process(self) -> None:
        """A process ended with a kept connection on which it had read.

        It ended as soon as no request was open, with the connections kept;
        a request that came in its last moment was passed on, and cut.
        """
        self.writer.write(GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(self.server.connections, set())
        self.assertEqual(await self.rest(), b'')
        with self.assertRaises(OSError):
            await asyncio.open_connection('127.0.0.1', self.port)

    # A request that came behind the last answer was passed on, and cut.
    async def test_request_behind_the_last_answer_is_not_passed_on(
        self,
    ) -> None:
        """What the close would cut reaches nobody."""
        self.writer.write(GET * 2)
        await self.wait_for(2)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.exchanges[1].reply(200, b'', b'two')
        self.writer.write(GET)
        await asyncio.sleep(SEEN_S)
        self.exchanges[0].reply(200, b'', b'one')
        found = await self.rest()
        self.assertTrue(found.endswith(b'two'))
        self.assertEqual(len(self.exchanges), 2)
        await asyncio.wait_for(drained, LIMIT_S)

    # A caller that always had a request under way kept the process from
    # ending, until all that it had sent was cut.
    async def test_caller_that_goes_on_sending_does_not_hold_up_the_end(
        self,
    ) -> None:
        """A connection at work ends with the requests that were read."""
        self.writer.write(GET)
        await self.wait_for(1)
        drained = asyncio.ensure_future(self.server.drain())
        await asyncio.sleep(0)
        self.writer.write(GET * 2)
        await asyncio.sleep(SEEN_S)
        self.assertEqual(len(self.exchanges), 1)
        self.exchanges[0].reply(200, b'', b'done')
        found = await self.rest()
        self.assertIn(b'connection: close', found)
        self.assertTrue(found.endswith(b'done'))
        await asyncio.wait_for(drained, LIMIT_S)

    async def test_request_that_was_begun_is_read_and_answered(self) -> None:
        """The rest of a request may come after the end was asked for."""
        self.writer.write(GET[:9])
        await self.until_begun()
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

    # Blank bytes behind a request counted as the start of another: the
    # connection was neither idle nor at work, and the process could not end.
    async def test_line_ends_behind_a_request_begin_none(self) -> None:
        """A connection on which only line ends came is idle."""
        self.writer.write(GET + b'\r\n')
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await self.reader.readuntil(b'one')
        self.writer.write(b'\r\n')
        await asyncio.sleep(SEEN_S)
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(await self.rest(), b'')


class TestClose(ServerCase):
    """How a connection closes behind an answer."""

    async def asyncSetUp(self) -> None:
        """Connect with little room for what the caller has not read."""
        await super().asyncSetUp()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, ROOM_BYTES)
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
            while received := await loop.sock_recv(self.sock, ROOM_BYTES):
                found += received
        return found

    # An answer was cut by the reset that bytes behind its request brought.
    async def test_answer_is_whole_whatever_comes_behind(self) -> None:
        """Requests that crossed the close do not reset the connection."""
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

    # The same befell callers whose request was refused while they sent it.
    async def test_refusal_is_whole_whatever_comes_behind(self) -> None:
        """An answer to the start of a body outlives the rest of it."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, LONG_HEAD)
        await self.until_closing()
        await loop.sock_sendall(self.sock, bytes(2000))
        found = await self.read_all()
        self.assertTrue(found.startswith(b'HTTP/1.1 413'), found)

    # A caller that pipelines lost answers when its connection closed as idle.
    async def test_answers_outlive_an_idle_close(self) -> None:
        """A request that crosses the close of an idle connection."""
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

    # A caller that neither reads nor closes must not keep a process.
    async def test_caller_that_does_not_close_is_closed(self) -> None:
        """The wait for the caller's close has an end."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        self.exchanges[0].reply(200, b'', b'one')
        await asyncio.wait_for(self.server.drain(), LIMIT_S)
        self.assertEqual(self.server.connections, set())

    # A close behind a reset that was not read yet ended the sweep.
    async def test_close_behind_a_reset(self) -> None:
        """A connection that its caller has reset can be closed."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.sock, GET)
        await self.wait_for(1)
        conn = self.exchanges[0].conn
        self.exchanges[0].reply(200, b'', b'one')
        await loop.sock_recv(self.sock, ROOM_BYTES)
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
        """Wait until the server has closed its end of a connection."""
        async with asyncio.timeout(LIMIT_S):
            while not any(conn._closing for conn in self.server.connections):
                await asyncio.sleep(0)
