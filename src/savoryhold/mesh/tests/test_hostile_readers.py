"""Crowds that ask for large answers, and read them slowly or not at all."""

import asyncio
import itertools
import unittest
from functools import partial

from savoryhold.mesh.tests.hostile import (
    FREE_PATH,
    KEYED_PATH,
    PIECE_BYTES,
    HostileCase,
    Member,
    head,
)

READERS = 16
PIPELINED = 4
UNREAD_BYTES = 8_000_000
LARGE_BYTES = 30_000_000
READ_PAUSE_S = 0.05


async def read_slowly(
    path: str,
    requests: int,
    reads: bool,  # noqa: FBT001
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Pipeline requests; read the answers slowly or not at all."""
    for _ in range(requests):
        writer.write(head(path, method='GET'))
    while reads and await reader.read(PIECE_BYTES):
        await asyncio.sleep(READ_PAUSE_S)


def reader_of(path: str, requests: int, *, reads: bool) -> Member:
    """Return a member that pipelines requests."""
    return partial(read_slowly, path, requests, reads)


class TestReaders(HostileCase):
    """Answers that their callers do not read, or read too slowly."""

    def answer_with(self, size: int) -> None:
        """Have the targets send large answers until the crowd has asked."""
        large = itertools.repeat(bytes(size), READERS * PIPELINED)
        self.hosts[0].target.make_body = lambda request: next(large, b'small')
        self.hosts[1].target.make_body = self.hosts[0].target.make_body

    # Answers that are complete were buffered without a bound.
    async def test_answers_that_are_not_read(self) -> None:
        """Callers pipeline requests and read nothing."""
        self.answer_with(UNREAD_BYTES)
        await self.withstand(
            reader_of(FREE_PATH, PIPELINED, reads=False)
            for number in range(READERS)
        )

    # A caller that always reads a little is not idle.
    async def test_answers_that_are_read_slowly(self) -> None:
        """Callers read a little at a time."""
        self.answer_with(UNREAD_BYTES)
        await self.withstand(
            reader_of(FREE_PATH, PIPELINED, reads=True)
            for number in range(READERS)
        )

    # The limit on answers under way was above the memory of small hosts.
    async def test_large_answers(self) -> None:
        """Answers of nearly the largest size arrive at the same time."""
        self.answer_with(LARGE_BYTES)
        await self.withstand(
            reader_of(FREE_PATH, 1, reads=True) for number in range(READERS)
        )

    # A relayed answer is held by two nodes, and copied into a message.
    async def test_relayed_answers_that_are_not_read(self) -> None:
        """Callers of another node's keys read nothing."""
        self.answer_with(UNREAD_BYTES)
        await self.withstand(
            reader_of(KEYED_PATH, PIPELINED, reads=False)
            for number in range(READERS)
        )


if __name__ == '__main__':
    unittest.main()
