"""Crowds whose heads, trailers and chunks cost more than their bytes."""

import unittest
from functools import partial

from savoryhold.mesh.tests.hostile import (
    FREE_PATH,
    HostileCase,
    Member,
    head,
    send_parts,
)

HEADS = 300
LINES = 7000
TRAILER_SENDERS = 30
TRAILER_BYTES = 600_000
CHUNK_SENDERS = 30
CHUNKS = 400_000
CONNECTIONS = 400
CHUNKED = 'Transfer-Encoding: chunked'


def send(*parts: bytes) -> Member:
    """Return a member that sends bytes."""
    return partial(send_parts, b''.join(parts))


class TestHeads(HostileCase):
    """Memory per line, chunk and connection, which no byte limit bounds."""

    # 60 heads of 7,000 short lines took 119 MB: a line costs far more memory
    # than its bytes.
    async def test_heads_of_many_short_lines(self) -> None:
        """Heads whose lines are short, or odd, and that never end."""
        short = head(FREE_PATH)[:-2] + b'a:\r\n' * LINES
        odd = head(FREE_PATH)[:-2] + b'%:\t\t\r\n' * (LINES // 2)
        await self.withstand(
            send(odd if number % 4 == 0 else short) for number in range(HEADS)
        )

    # 30 bodies with endless trailers took 2,614 MB and stopped the node.
    async def test_trailers_without_end(self) -> None:
        """Trailers of short lines, after a body of one byte."""
        start = head(FREE_PATH, CHUNKED) + b'1\r\nx\r\n0\r\n'
        lines = b'a:\r\n' * (TRAILER_BYTES // 4)
        await self.withstand(
            send(start, lines) for number in range(TRAILER_SENDERS)
        )

    # 30 bodies in chunks of one byte took 171 MB: each chunk was an object.
    async def test_chunks_of_one_byte(self) -> None:
        """Bodies of legal size, a byte in each chunk."""
        start = head(FREE_PATH, CHUNKED)
        await self.withstand(
            send(start, b'1\r\nx\r\n' * CHUNKS)
            for number in range(CHUNK_SENDERS)
        )

    # Connections without a complete request were not counted at all.
    async def test_connections_that_wait(self) -> None:
        """More connections than descriptors; half have begun a request."""
        begun = head(FREE_PATH)[:-2]
        await self.withstand(
            send(begun if number % 2 else b'') for number in range(CONNECTIONS)
        )


if __name__ == '__main__':
    unittest.main()
