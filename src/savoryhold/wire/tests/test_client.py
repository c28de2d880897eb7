"""Connections to targets and to the store."""

import asyncio
import contextlib
import gc
import select
import socket
import tracemalloc
import unittest
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.wire import ClientAnswer, ClientPool, Exchange, HttpServer
from savoryhold.wire.client import MAX_TOTAL_BYTES
from savoryhold.wire.client_connection import (
    MAX_FAILED_IDS,
    MAX_HEAD_BYTES,
    MS_PER_SECOND,
    UNACKED_MS,
)

LIMIT_MS = 60_000
LIMIT_S = 10
PIECE_BYTES = 65_536
REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
LONG_BYTES = 1_000_000
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
REQUEST_COUNT = 4
MANY_REQUESTS = 8
TARGETS = 3
BUFFERS_BYTES = 16_000_000  # in the kernel buffers of a connection


class TestSilentConnections(unittest.IsolatedAsyncioTestCase):
    """Connections that a device between both ends has silently dropped."""

    # A request or a watch on such a connection waited for its whole timeout.
    async def test_connections_have_tcp_timeouts(self) -> None:
        """Lost bytes are noticed, by a user timeout and keepalive probes."""
        server = HttpServer(self.reply, BootClock().now)
        probe = socket.socket()
        probe.bind(('127.0.0.1', 0))
        address = '127.0.0.1:%d' % probe.getsockname()[1]
        probe.close()
        await server.start(address, 8)
        pool = ClientPool(address, BootClock().now)
        answer = await pool.ask(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', LIMIT_MS)
        self.assertEqual(answer.body, b'whole')
        transport = pool._idle[0]._transport
        assert transport is not None
        sock = transport.get_extra_info('socket')
        self.assertEqual(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            UNACKED_MS,
        )
        kept = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        self.assertTrue(kept)
        pool.close()
        server.stop()
        await asyncio.sleep(0)

    def reply(self, exchange: Exchange) -> None:
        """Answer a request."""
        exchange.reply(200, b'', b'whole')


class TestUnreadInput(unittest.IsolatedAsyncioTestCase):
    """Idle connections with unread input, after the event loop was blocked."""

    async def asyncSetUp(self) -> None:
        """Put an idle connection into the pool."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        self.addCleanup(self.pool.close)
        self.sock = await self.ask()
        transport = self.pool._idle[0]._transport
        assert transport is not None
        self.idle = transport.get_extra_info('socket').fileno()

    # A booking was sent on a connection whose close had not been read: 502.
    async def test_connection_with_an_unread_close_is_not_used(self) -> None:
        """A close that has arrived is noticed before the next request."""
        self.sock.close()
        select.select([self.idle], [], [])
        await self.ask()
        self.assertEqual(self.pool.opened, 2)

    # Unread bytes after an answer made the next request fail: 502.
    async def test_connection_with_unread_bytes_is_not_used(self) -> None:
        """Unsolicited bytes are not parsed as the next answer."""
        self.sock.send(b'nobody asked for this')
        select.select([self.idle], [], [])
        await self.ask()
        self.assertEqual(self.pool.opened, 2)

    # A partial answer after a complete one swallowed the next answer: 504.
    async def test_connection_with_a_partial_answer_is_not_kept(self) -> None:
        """The next request uses another connection."""
        for after in (b'H', b'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n'):
            self.pool = ClientPool(self.pool.address, BootClock().now)
            self.addCleanup(self.pool.close)
            await self.ask(after)
            await self.ask()

    async def ask(self, after: bytes = b'') -> socket.socket:
        """Have a request answered on a new connection; return its far end."""
        # The request is sent before the loop polls the idle connection.
        async with asyncio.timeout(LIMIT_S):
            answer, sock = await asyncio.gather(
                self.pool.ask(REQUEST, LIMIT_MS), self.serve(after)
            )
        self.assertEqual(answer.body, b'whole')
        return sock

    async def serve(self, after: bytes) -> socket.socket:
        """Answer the first request of a connection."""
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.listener)
        self.addCleanup(sock.close)
        await loop.sock_recv(sock, PIECE_BYTES)
        await loop.sock_sendall(sock, ANSWER + after)
        return sock


class TestHead(unittest.IsolatedAsyncioTestCase):
    """Answers to HEAD: they state a length and have no body."""

    # The client waited for the body until the deadline: 504.
    async def test_head_is_answered_at_once(self) -> None:
        """The final head completes the answer, also after interim ones."""
        interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
        target = SizedTarget(interim + sized_head(5), ANSWER)
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        async with asyncio.timeout(LIMIT_S):
            answer = await pool.ask(REQUEST.replace(b'GET', b'HEAD'), LIMIT_MS)
            self.assertEqual((answer.status, answer.body), (200, b''))
            answer = await pool.ask(REQUEST, LIMIT_MS)
            self.assertEqual((answer.status, answer.body), (200, b'whole'))
            pool.close()
            await target.all_closed.wait()
        server.close()


class TestCutAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers that end before they are whole."""

    async def ask(self, sent: bytes) -> ClientAnswer:
        """Ask a target that sends some bytes and closes."""

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(sent)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        self.addCleanup(pool.close)
        async with asyncio.timeout(LIMIT_S):
            return await pool.ask(REQUEST, LIMIT_MS)

    # A target that closed within its answer's head passed for one that had
    # answered 200 without a body.
    async def test_answer_cut_within_its_head_is_no_answer(self) -> None:
        """Wherever in the head the target closes, there is no answer."""
        head = b'HTTP/1.1 200 OK\r\nx-first: 1\r\nx-second: 2\r\n\r\n'
        for length, _ in enumerate(head):
            with self.subTest(sent=head[:length]):
                with self.assertRaises(LinkError):
                    await self.ask(head[:length])

    async def test_body_without_length_ends_with_the_connection(self) -> None:
        """A whole head and a close are a whole answer."""
        for body in (b'', b'body'):
            with self.subTest(body=body):
                answer = await self.ask(
                    b'HTTP/1.1 200 OK\r\nx: 1\r\n\r\n' + body
                )
                self.assertEqual((answer.status, answer.body), (200, body))

    async def test_answer_cut_within_its_body_is_no_answer(self) -> None:
        """A body is whole only with its stated end."""
        for head, body in (
            (b'content-length: 5', b'four'),
            (b'transfer-encoding: chunked', b'4\r\nfour\r\n'),
            (b'transfer-encoding: chunked', b'4\r\nfo'),
            (b'transfer-encoding: chunked', b'4\r\nfour\r\n0\r\n'),
        ):
            with self.subTest(head=head, body=body):
                with self.assertRaises(LinkError):
                    await self.ask(
                        b'HTTP/1.1 200 OK\r\n' + head + b'\r\n\r\n' + body
                    )


class TestRepeatedRefusals(unittest.IsolatedAsyncioTestCase):
    """A server that sends its refusal of a request once more."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.connections = 0
        self.requests = 0
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        self.addCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Refuse all requests of the first connection, run all others."""
        self.connections += 1
        refuses = self.connections == 1
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                status = b'503 No' if refuses else b'200 OK'
                request_id = head.split(b'x-id: ')[1].split(b'\r\n')[0]
                writer.write(
                    b'HTTP/1.1 %s\r\nx-id: %s\r\ncontent-length: 0\r\n\r\n'
                    % (status, request_id)
                )

    async def ask(self, request_id: bytes) -> int:
        """Return the status of the answer to a request."""
        request = b'GET / HTTP/1.1\r\nx-id: %s\r\n\r\n' % request_id
        async with asyncio.timeout(LIMIT_S):
            answer = await self.pool.ask(
                request, LIMIT_MS, request_id=request_id
            )
        return answer.status

    # The refusal of the first try passed for the answer to the second, which
    # had the same id and was running: callers were told that it had not run.
    async def test_next_try_goes_over_another_connection(self) -> None:
        """A request does not return to the connection that refused it."""
        self.assertEqual(await self.ask(b'r1'), 503)
        self.assertEqual(await self.ask(b'r1'), 200)
        self.assertEqual(self.connections, 2)

    async def test_connection_is_kept_for_other_requests(self) -> None:
        """Their ids tell their answers from the refusal."""
        self.assertEqual(await self.ask(b'r1'), 503)
        self.assertEqual(await self.ask(b'r2'), 503)
        self.assertEqual(self.connections, 1)

    async def test_refusals_that_a_connection_remembers_are_bounded(
        self,
    ) -> None:
        """A connection that has brought too many is replaced."""
        for number in range(MAX_FAILED_IDS + 1):
            await self.ask(b'r%d' % number)
        self.assertEqual(self.connections, 2)


class TestSlowReaders(unittest.IsolatedAsyncioTestCase):
    """Targets that are slow to read a request from their kernel."""

    # A request whose long body was not read for 0.9 s was aborted: 502.
    async def test_long_body_may_wait_to_be_read(self) -> None:
        """A busy target can answer once it has read the request."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        head = b'POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % LONG_BYTES
        run = asyncio.ensure_future(
            pool.ask(head + bytes(LONG_BYTES), LIMIT_MS)
        )
        sock, _ = await loop.sock_accept(listener)
        self.addCleanup(sock.close)
        await asyncio.sleep(2 * UNACKED_MS / MS_PER_SECOND)
        left = len(head) + LONG_BYTES
        while left:
            piece = await loop.sock_recv(sock, PIECE_BYTES)
            self.assertTrue(piece)
            left -= len(piece)
        await loop.sock_sendall(sock, ANSWER)
        answer = await run
        self.assertEqual(answer.body, b'whole')
        pool.close()


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    """Targets that send until the client closes."""

    # A target that never ended the head of its answer filled the memory.
    async def test_endless_head_is_aborted(self) -> None:
        """The connection is closed after a bounded number of bytes."""
        sent = await self.ask_endless(b'HTTP/1.1 200 OK\r\nx: ', b'x')
        self.assertLess(sent, MAX_HEAD_BYTES + BUFFERS_BYTES)

    async def test_endless_interim_answers_are_aborted(self) -> None:
        """Only a bounded number of interim answers is skipped."""
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        sent = await self.ask_endless(interim, interim)
        self.assertLess(sent, MAX_HEAD_BYTES + BUFFERS_BYTES)

    async def test_endless_bodies_together_stay_bounded(self) -> None:
        """The total size of concurrent answers is bounded."""
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        sent = await self.ask_endless(head, b'x', REQUEST_COUNT)
        self.assertLess(sent, MAX_TOTAL_BYTES + REQUEST_COUNT * BUFFERS_BYTES)

    # Endless trailers were kept until the limit of a whole answer, and the
    # parser copied them with each piece: other requests waited meanwhile.
    async def test_endless_framing_is_aborted(self) -> None:
        """Trailers and extensions of chunks are bounded like heads."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        for first, then in (
            (b'0\r\nx: ', b'y'),
            (b'0\r\n', b'x: y\r\n'),
            (b'5;', b'z'),
        ):
            with self.subTest(first=first):
                sent = await self.ask_endless(head + first, then)
                self.assertLess(sent, 4 * MAX_HEAD_BYTES + BUFFERS_BYTES)

    # Each target had a bound of its own, and what an aborted answer had brought
    # was kept until the next collection of garbage: 500 MB of one target.
    async def test_memory_of_all_endless_answers_is_bounded(self) -> None:
        """The bytes of aborted answers are freed at once."""
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        targets = (
            self.ask_endless(head, b'x', MANY_REQUESTS) for _ in range(TARGETS)
        )
        await asyncio.gather(*targets)
        kept, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, 2 * MAX_TOTAL_BYTES)
        self.assertLess(kept, MAX_TOTAL_BYTES / 4)

    async def test_endless_answers_end_no_others(self) -> None:
        """Whole answers beside them arrive."""
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        body = sized_head(LONG_BYTES) + bytes(LONG_BYTES)
        target = SizedTarget(*(body for _ in range(REQUEST_COUNT)))
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        endless = asyncio.ensure_future(
            self.ask_endless(head, b'x', MANY_REQUESTS)
        )
        for _ in range(REQUEST_COUNT):
            answer = await pool.ask(REQUEST, LIMIT_MS)
            self.assertEqual(len(answer.body), LONG_BYTES)
            # The target answers one request a connection.
            pool.close_idle()
        await endless
        pool.close()
        server.close()

    # The answer that exceeded the total was aborted, however short: 502.
    @mock.patch('savoryhold.wire.client.MAX_TOTAL_BYTES', LONG_BYTES)
    async def test_short_answer_outlives_a_long_one(self) -> None:
        """The answer that holds the most bytes is aborted."""
        held, brought = LONG_BYTES - 1000, LONG_BYTES // 2
        target = SizedTarget(
            sized_head(LONG_BYTES) + bytes(held),
            sized_head(brought) + bytes(brought),
        )
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        async with asyncio.timeout(LIMIT_S):
            long = asyncio.ensure_future(pool.ask(REQUEST, LIMIT_MS))
            while pool.budget.held < held:
                await asyncio.sleep(0)
            answer = await pool.ask(REQUEST, LIMIT_MS)
            self.assertEqual(len(answer.body), brought)
            with self.assertRaises(LinkError):
                await long
            pool.close()
            await target.all_closed.wait()
        server.close()

    async def ask_endless(
        self, first: bytes, then: bytes, count: int = 1
    ) -> int:
        """Return how many bytes the target sent before all was closed."""
        target = EndlessTarget(first, then * (PIECE_BYTES // len(then)))
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        asked = [
            pool.ask(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', LIMIT_MS)
            for _ in range(count)
        ]
        found = await asyncio.gather(*asked, return_exceptions=True)
        for exc in found:
            assert isinstance(exc, LinkError)
            self.assertTrue(exc.sent)
        while target.ended < count:
            await asyncio.sleep(0)
        server.close()
        return target.sent


class SizedTarget:
    """Sends the next of the given answers per connection, then waits."""

    def __init__(self, *parts: bytes) -> None:
        self.all_closed = asyncio.Event()
        self._parts = list(parts)
        self._open = len(parts)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._parts.pop(0))
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        self._open -= 1
        if not self._open:
            self.all_closed.set()


class EndlessTarget:
    """Sends the same bytes again and again until the client closes."""

    def __init__(self, first: bytes, then: bytes) -> None:
        self.sent = 0
        self.ended = 0
        self._first = first
        self._then = then

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readuntil(b'\r\n\r\n')
        piece = self._first
        try:
            while True:
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                piece = self._then
        except ConnectionError:
            self.ended += 1
        finally:
            writer.close()


def sized_head(size: int) -> bytes:
    """Return the head of an answer whose body has the given size."""
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size
