"""Limits on callers other than sizes and timeouts, and the memory budget."""

import asyncio
import unittest
from functools import partial
from unittest import mock

from savoryhold.core.clock import MonotonicClock
from savoryhold.traffic import CallerLimits
from savoryhold.wire import Exchange, HttpServer, IntakeLimits, MemoryBudget
from savoryhold.wire.memory_budget import SMALL_BODY, Part, Waiter
from savoryhold.wire.pipeline import PIPELINED_SLICE
from savoryhold.wire.request_parser import SLICE_BYTES
from savoryhold.wire.server_connection import ServerConnection

LIMIT_S = 10
HEAD = b'POST /a HTTP/1.1\r\nhost: h\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
LARGE_BYTES = 1_000_000
COUNTING = (
    'connection_memory',
    'exchange',
    'pipeline',
    'server',
    'server_connection',
)
INTAKE = IntakeLimits(
    max_header_lines=20,
    max_trailer_lines=5,
    max_trailer_bytes=1000,
    max_chunk_overhead=2,
    max_unfinished=2,
    min_body_rate=1_000_000,
)


class IntakeCase(unittest.IsolatedAsyncioTestCase):
    """A server with low limits, which answers with the body that it got."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port, with a budget of its own."""
        self.budget = MemoryBudget()
        for module in COUNTING:
            name = f'savoryhold.wire.{module}.PROCESS_BUDGET'
            patched = mock.patch(name, self.budget)
            patched.start()
            self.addCleanup(patched.stop)
        self.server = HttpServer(
            self.on_exchange,
            MonotonicClock().now,
            lambda: CallerLimits(idle_ms=100),
            INTAKE,
        )
        await self.server.start('127.0.0.1:0', 16)
        listener = self.server._server
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        """Stop listening."""
        self.server.stop()

    def on_exchange(self, exchange: Exchange) -> None:
        """Answer with the size of the body and the headers."""
        names = b' '.join(sorted(exchange.req.fields))
        exchange.reply(200, b'', b'%d %s' % (len(exchange.req.body), names))

    async def send(self, *parts: bytes) -> bytes:
        """Send bytes; return the answer up to the close or the last body."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        try:
            writer.writelines(parts)
            async with asyncio.timeout(LIMIT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.partition(b'content-length: ')[2].split()[0]
                return head + await reader.readexactly(int(length))
        finally:
            writer.close()

    async def check(self, status: bytes, limit: bytes, *parts: bytes) -> None:
        """Expect a refusal that names a limit, and memory that is released."""
        found = await self.send(*parts)
        self.assertIn(b'HTTP/1.1 ' + status, found)
        self.assertIn(b'limit: ' + limit, found)
        self.assertEqual(self.budget.refusals[limit.decode()], 1)


class TestLimits(IntakeCase):
    """Each limit is enforced, and the refusal names it."""

    async def test_header_lines(self) -> None:
        """A head of many short lines is refused."""
        await self.check(b'431', b'max_header_lines', HEAD, b'a:\r\n' * 30)

    async def test_trailer_lines(self) -> None:
        """A trailer of many short lines is refused."""
        lines = b'1\r\nx\r\n0\r\n' + b'a:\r\n' * 6000
        await self.check(b'431', b'max_trailer_lines', CHUNKED, lines)

    async def test_chunk_overhead(self) -> None:
        """A body whose chunks are mostly framing is refused."""
        chunks = b'1\r\nx\r\n' * 20_000
        await self.check(b'431', b'max_chunk_overhead', CHUNKED, chunks)

    async def test_unfinished_requests(self) -> None:
        """Requests beyond the number of unfinished ones get 429."""
        for _ in range(2):
            _, writer = await asyncio.open_connection('127.0.0.1', self.port)
            writer.write(HEAD)
            self.addCleanup(writer.close)
        async with asyncio.timeout(LIMIT_S):
            while self.server.counts.unfinished < 2:
                await asyncio.sleep(0)
        await self.check(b'429', b'max_unfinished', HEAD)

    async def test_slow_body(self) -> None:
        """A body below the least rate is refused once it took long."""
        sweeping = asyncio.ensure_future(self.server.sweep())
        self.addCleanup(sweeping.cancel)
        body = b'content-length: 90\r\n\r\nx'
        await self.check(b'408', b'min_body_rate', HEAD, body)

    # The lines of a trailer replaced headers, such as the request's id.
    async def test_trailers_are_no_headers(self) -> None:
        """A request with a short trailer is served without its lines."""
        found = await self.send(
            CHUNKED, b'2\r\nxy\r\n0\r\nhost: z\r\nq: 1\r\n\r\n'
        )
        self.assertIn(b'\r\n\r\n2 host transfer-encoding', found)

    # The body of an earlier request counted as framing of the next.
    async def test_requests_with_large_bodies_follow_each_other(self) -> None:
        """Two large bodies on one connection are served."""
        one = HEAD + b'content-length: %d\r\n\r\n' % LARGE_BYTES
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        for _ in range(2):
            writer.write(one + bytes(LARGE_BYTES))
            async with asyncio.timeout(LIMIT_S):
                await reader.readuntil(b'\r\n\r\n1000000 content-length host')
        writer.close()


class TestBudget(IntakeCase):
    """Memory is shared by size and progress."""

    async def test_large_body_without_room_is_refused_as_not_run(self) -> None:
        """A large body waits, then gets 503; a small one is served."""
        self.budget.set_memory(75)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        body = b'content-length: %d\r\n\r\n' % LARGE_BYTES
        small = await self.send(HEAD, b'content-length: 2\r\n\r\nxy')
        self.assertIn(b' 200 ', small)
        await self.check(b'503', b'memory_mb', HEAD, body)

    async def test_body_above_the_memory_is_refused(self) -> None:
        """A body that can never fit gets 413 at once."""
        self.budget.set_memory(60)
        body = b'content-length: 60000000\r\n\r\n'
        await self.check(b'413', b'memory_mb', HEAD, body)

    async def test_unfinished_body_makes_room(self) -> None:
        """A connection without progress is closed for one that waits."""
        self.budget.set_memory(75)
        large = round(self.budget.limit * 0.5)
        start = HEAD + b'content-length: %d\r\n\r\n' % large
        _, stalled = await asyncio.open_connection('127.0.0.1', self.port)
        stalled.write(start)
        async with asyncio.timeout(LIMIT_S):
            while not self.budget.used:
                await asyncio.sleep(0)
        found = await self.send(start, bytes(large))
        self.assertIn(b' 200 ', found)
        self.assertEqual(self.budget.refusals['memory_mb:closed'], 1)
        stalled.close()

    # What the read had brought that began the wait was kept and not counted.
    async def test_bytes_of_a_waiting_request_are_counted_and_few(self) -> None:
        """A body that has no room is read no further."""
        self.budget.set_memory(75)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD + b'content-length: %d\r\n\r\n' % LARGE_BYTES)
        writer.write(bytes(LARGE_BYTES))
        async with asyncio.timeout(LIMIT_S):
            while not self.budget.waiting:
                await asyncio.sleep(0.01)
            # A read that was under way may still bring something.
            await asyncio.sleep(0.1)
        conn = next(iter(self.server.connections))
        kept = conn.unfinished_bytes
        self.assertLessEqual(kept, 2 * SMALL_BODY)
        self.assertEqual(self.budget.used - self.budget.limit, kept)

    # Bodies below 64 KiB were read whatever room there was.
    async def test_small_body_without_room_waits_for_its_rest(self) -> None:
        """What has been read of it is counted, above the budget."""
        self.budget.set_memory(75)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD + b'content-length: 60000\r\n\r\n' + bytes(10_000))
        async with asyncio.timeout(LIMIT_S):
            while not self.budget.waiting:
                await asyncio.sleep(0.01)
        conn = next(iter(self.server.connections))
        self.assertEqual(
            self.budget.used - self.budget.limit, conn.unfinished_bytes
        )

    # Whole bodies that came in one read never waited, so that reads stayed
    # large and 48.8 of 30 MB were held.
    async def test_read_is_small_without_room_though_nobody_waits(
        self,
    ) -> None:
        """The rest of a small body that has been sent whole stays unread."""
        self.budget.set_memory(75)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD + b'content-length: 60000\r\n\r\n' + bytes(60_000))
        async with asyncio.timeout(LIMIT_S):
            while not self.budget.waiting:
                await asyncio.sleep(0.01)
        conn = next(iter(self.server.connections))
        self.assertLess(conn.body_bytes, 2 * SLICE_BYTES)

    async def test_all_memory_is_given_back(self) -> None:
        """Nothing is counted once all is answered and closed."""
        body = b'content-length: %d\r\n\r\n' % LARGE_BYTES
        await self.send(HEAD, body, bytes(LARGE_BYTES))
        await self.check(b'431', b'max_header_lines', HEAD, b'a:\r\n' * 30)
        async with asyncio.timeout(LIMIT_S):
            while self.server.connections:
                await asyncio.sleep(0.01)
        self.assertEqual(self.budget.used, 0)
        self.assertEqual(self.budget.holders, set())
        self.assertEqual(self.server.counts.open, 0)
        self.assertEqual(self.server.counts.unfinished, 0)

    # An answer to a caller that had left was counted for good.
    async def test_late_answer_counts_nothing(self) -> None:
        """A handler that answers after the caller has left holds nothing."""
        found: list[Exchange] = []
        self.server.handler = found.append
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(HEAD + b'\r\n')
        async with asyncio.timeout(LIMIT_S):
            while not found:
                await asyncio.sleep(0.01)
            writer.close()
            while self.server.connections:
                await asyncio.sleep(0.01)
        found[0].reply(200, b'', bytes(LARGE_BYTES))
        self.assertEqual(self.budget.used, 0)

    async def test_answers_are_granted_before_requests(self) -> None:
        """Room goes to an answer first: it will release its request."""
        self.budget.set_memory(75)
        self.budget.take(Part.ANSWERS, self.budget.limit)
        granted: list[Part] = []
        for part in (Part.REQUESTS, Part.ANSWERS):
            need = self.budget.limit // 2
            grant = partial(granted.append, part)
            self.budget.wait(Waiter(part, need, 0, 0.0, grant, self.fail))
        self.budget.give(Part.ANSWERS, self.budget.limit)
        async with asyncio.timeout(LIMIT_S):
            while not granted:
                await asyncio.sleep(0)
        self.assertEqual(granted[0], Part.ANSWERS)


class TestPipelines(IntakeCase):
    """Requests that are sent behind others of their connection."""

    async def asyncSetUp(self) -> None:
        """Have the handler keep all requests."""
        await super().asyncSetUp()
        self.found: list[Exchange] = []
        self.server.handler = self.found.append

    async def pipeline(self, sent: bytes) -> ServerConnection:
        """Open a connection, send bytes and return the server's end."""
        before = set(self.server.connections)
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        async with asyncio.timeout(LIMIT_S):
            while not self.server.connections - before:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        return (self.server.connections - before).pop()

    # Each connection had 32 requests handled at a time, whatever their number.
    async def test_one_request_of_each_connection_beyond_a_number(
        self,
    ) -> None:
        """Answers admit the next requests of their connections."""
        request = HEAD + b'content-length: 0\r\n\r\n'
        with mock.patch('savoryhold.wire.pipeline.MAX_RUNNING', 4):
            for _ in range(3):
                await self.pipeline(request * 4)
            self.assertEqual(len(self.found), 4 + 1 + 1)
            for exchange in self.found[:4]:
                exchange.reply(200)
            self.assertEqual(self.server.counts.running, 2)
            self.found[4].reply(200)
            await asyncio.sleep(0.1)
            self.assertEqual(len(self.found), 4 + 1 + 1 + 3)
        self.assertEqual(self.server.counts.running, 4)

    # Waiting requests were read up to 1 MB a connection.
    async def test_few_requests_are_parsed_without_room(self) -> None:
        """The others stay bytes, and most stay unread."""
        self.budget.set_memory(75)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        request = HEAD + b'content-length: 0\r\n\r\n'
        conn = await self.pipeline(request * 10_000)
        most = 2 * PIPELINED_SLICE // len(request)
        self.assertLess(len(conn.open_exchanges), most)
        self.assertLess(conn.unfinished_bytes, 2 * SMALL_BODY)

    # A head was refused as too slow while the server did not read it.
    async def test_head_that_is_left_unread_is_not_late(self) -> None:
        """Its time begins when the server reads on."""
        request = HEAD + b'content-length: 0\r\n\r\n'
        conn = await self.pipeline(request + HEAD)
        conn._pause('waiting')
        later = self.server.now() + 60_000
        conn.sweep(later)
        self.assertFalse(conn._closing)
        with mock.patch.object(conn, 'now', lambda: later):
            conn._unpause('waiting')
        conn.sweep(later)
        self.assertFalse(conn._closing)
        conn.sweep(later + 60_000)
        self.assertTrue(conn._closing)


class StalledHolder:
    """A connection that makes no progress."""

    def __init__(self, budget: MemoryBudget, size: int) -> None:
        self.budget = budget
        self.size = size
        budget.take(Part.REQUESTS, size)
        budget.holders.add(self)

    def stalled_bytes(self, now: float) -> int:
        """Return all bytes."""
        return self.size

    def evict(self) -> None:
        """Release all bytes."""
        self.budget.holders.discard(self)
        self.budget.give(Part.REQUESTS, self.size)


class TestCrowd(unittest.IsolatedAsyncioTestCase):
    """Many readers that wait, and many holders without progress."""

    async def asyncSetUp(self) -> None:
        """Create a budget."""
        self.budget = MemoryBudget()
        self.budget.set_memory(100)
        self.granted: list[str] = []
        self.refused: list[str] = []

    def wait(self, name: str, need: int, begun: float) -> None:
        """Have a reader wait for room since its request began."""
        self.budget.wait(
            Waiter(
                Part.REQUESTS,
                need,
                0,
                begun,
                partial(self.granted.append, name),
                partial(self.refused.append, name),
                begun,
            )
        )

    # Holders were closed one every 0.1 s, whatever was needed.
    async def test_as_many_stalled_holders_are_closed_as_is_needed(
        self,
    ) -> None:
        """One turn makes room for all that wait, and closes no more."""
        size = LARGE_BYTES // 5
        while self.budget.fits(Part.REQUESTS, size):
            StalledHolder(self.budget, size)
        count = len(self.budget.holders)
        self.wait('large', 10 * size, asyncio.get_running_loop().time())
        self.budget._relieve()
        self.assertEqual(self.granted, ['large'])
        self.assertEqual(len(self.budget.holders), count - 10)

    # The smallest were granted first, so that a crowd of small ones kept
    # larger ones waiting until they were refused.
    async def test_large_requests_are_granted_in_their_order(self) -> None:
        """A later request waits although there is room for it."""
        holder = StalledHolder(self.budget, self.budget.limit // 2)
        now = asyncio.get_running_loop().time()
        self.wait('second', LARGE_BYTES // 5, now)
        self.wait('first', self.budget.limit // 3, now - 1)
        self.budget._grant_fitting()
        self.assertEqual(self.granted, [])
        holder.evict()
        self.budget._grant_fitting()
        self.assertEqual(self.granted, ['first', 'second'])

    # One was refused every 0.1 s, however many waited.
    async def test_late_readers_are_refused_by_their_number(self) -> None:
        """The oldest requests are refused first."""
        StalledHolder(self.budget, self.budget.limit)
        now = asyncio.get_running_loop().time()
        for number in range(80):
            self.wait(f'{number}', LARGE_BYTES, now - 90 + number)
        self.budget._refuse_late(now)
        self.assertEqual(self.refused, [f'{number}' for number in range(10)])

    # Large bodies took all room, and heads had to wait.
    async def test_large_bodies_leave_room_for_small_ones(self) -> None:
        """A share of the budget is for heads and small bodies."""
        while self.budget.reserve(Part.REQUESTS, LARGE_BYTES):
            self.assertLess(self.budget.used, self.budget.limit)
        self.assertTrue(self.budget.fits(Part.REQUESTS, LARGE_BYTES // 20))
        self.assertTrue(self.budget.fits(Part.RELAYS, LARGE_BYTES))


if __name__ == '__main__':
    unittest.main()
