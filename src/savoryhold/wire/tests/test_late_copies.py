"""A server that sends copies of its answers, late, on kept connections."""

import asyncio
import contextlib
import enum
import unittest
from functools import partial

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.wire import ClientPool

LIMIT_MS = 2000
ANSWER_S = 0.01  # the copy of the last answer is written before the next one
REQUESTS = 12  # of each caller


class Copy(enum.Enum):
    """What the server writes besides the answer."""

    WHOLE = 'whole'
    TWICE = 'twice'
    HALF = 'half'


COPIES = {Copy.WHOLE: 1, Copy.TWICE: 2}


class TestLateCopies(unittest.IsolatedAsyncioTestCase):
    """Each caller gets the answer to its own request, or none."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.copy = Copy.WHOLE
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = ClientPool(f'127.0.0.1:{port}', BootClock().now)
        self.addCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write a copy of the last answer when the next request has come."""
        last = b''
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(self.copy_of(last))
                await writer.drain()
                await asyncio.sleep(ANSWER_S)
                name = head.split(b'x-id: ')[1].split(b'\r\n')[0]
                last = (
                    b'HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n\r\n'
                    % (name, len(name))
                ) + name
                writer.write(last)

    def copy_of(self, answer: bytes) -> bytes:
        """Return what is written before the next answer."""
        if self.copy is Copy.HALF:
            return answer[: len(answer) // 2]
        return answer * COPIES[self.copy]

    async def call(self, caller: int) -> int:
        """Send requests one by one; return how many were answered."""
        answered = 0
        for number in range(REQUESTS):
            name = b'c%d-%d' % (caller, number)
            request = b'GET / HTTP/1.1\r\nx-id: %s\r\n\r\n' % name
            try:
                answer = await self.pool.ask(
                    request, LIMIT_MS, partial(_is_answer_to, name)
                )
            except LinkError:
                # A copy that is cut in half makes the rest unreadable.
                continue
            self.assertEqual(answer.body, name)
            answered += 1
        return answered

    # Operators of another system: the next caller got an answer not its own.
    async def test_copy_is_not_the_answer_to_the_next_request(self) -> None:
        """Copies are told by the id of their request."""
        for copy in Copy:
            for callers in (1, 16):
                with self.subTest(copy=copy, callers=callers):
                    self.copy = copy
                    await self.check_callers(callers)

    async def check_callers(self, callers: int) -> None:
        """Check that whole copies cost no answer, and others not all."""
        answered = await asyncio.gather(
            *(self.call(number) for number in range(callers))
        )
        least = REQUESTS // 3 if self.copy is Copy.HALF else REQUESTS
        self.assertGreaterEqual(min(answered), least)


def _is_answer_to(name: bytes, fields: dict[bytes, bytes]) -> bool:
    return fields.get(b'x-id') == name
