"""Crowds that send many large bodies of legal size at the same time."""

import asyncio
import unittest
from functools import partial
from collections.abc import Iterable

from savoryhold.mesh.tests.hostile import (
    FREE_PATH,
    KEYED_PATH,
    PIECE_BYTES,
    HostileCase,
    Member,
    head,
)

SENDERS = 20
BODY_BYTES = 16_000_000
MISSING_BYTES = 50_000
WHOLE_EVERY = 5
PIECE_PAUSE_S = 0.001
LENGTH = f'Content-Length: {BODY_BYTES}'
CHUNKED = 'Transfer-Encoding: chunked'
BODY = memoryview(bytes(BODY_BYTES))


async def send_body(
    start: bytes,
    missing: int,
    pause_s: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send a body in pieces, except its last bytes."""
    chunked = CHUNKED.encode() in start
    writer.write(start)
    end = BODY_BYTES - missing
    for at in range(0, end, PIECE_BYTES):
        piece = BODY[at : min(at + PIECE_BYTES, end)]
        if chunked:
            writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        else:
            writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    if chunked and not missing:
        writer.write(b'0\r\n\r\n')


def upload(
    path: str, line: str = LENGTH, missing: int = 0, pause_s: float = 0
) -> Member:
    """Return a member that sends a body, except its last bytes."""
    return partial(send_body, head(path, line), missing, pause_s)


def mostly_short(path: str, line: str = LENGTH) -> Iterable[Member]:
    """Return members of which most stop just short of their end."""
    for number in range(SENDERS):
        whole = number % WHOLE_EVERY == 0
        yield upload(path, line, missing=0 if whole else MISSING_BYTES)


class TestBodies(HostileCase):
    """The bodies of all connections together exceed the memory."""

    # 20 whole bodies of 16 MB took 943 MB.
    async def test_whole_bodies(self) -> None:
        """All bodies are sent to their end as fast as possible."""
        await self.withstand(upload(FREE_PATH) for number in range(SENDERS))

    # Pieces that arrive slowly fill the memory without a large read.
    async def test_whole_bodies_piece_by_piece(self) -> None:
        """All bodies are sent to their end with pauses between pieces."""
        await self.withstand(
            upload(FREE_PATH, pause_s=PIECE_PAUSE_S)
            for number in range(SENDERS)
        )

    # Bodies that stop short of their end took 339 MB and were kept for good.
    async def test_unfinished_bodies_with_a_length(self) -> None:
        """Most bodies stop 50 KB short; their connections stay open."""
        await self.withstand(mostly_short(FREE_PATH))

    # The length of a chunked body is not known before its end.
    async def test_unfinished_chunked_bodies(self) -> None:
        """Most bodies in chunks stop 50 KB short."""
        await self.withstand(mostly_short(FREE_PATH, CHUNKED))

    # Whole bodies with keys are held again by the node that they are sent to.
    async def test_unfinished_keyed_bodies(self) -> None:
        """Most bodies with a key stop short; the others are relayed."""
        await self.withstand(mostly_short(KEYED_PATH))

    # A relayed body was copied several times at both nodes.
    async def test_whole_keyed_bodies(self) -> None:
        """All bodies are relayed to the node that owns the key."""
        await self.withstand(upload(KEYED_PATH) for number in range(SENDERS))


if __name__ == '__main__':
    unittest.main()
