"""Crowds that make a node hold bytes while it waits for something.

Each crowd is small enough for a test: settings lower the memory of the nodes
and allow many connections.  Ordinary requests, with small bodies and large
ones, are answered while the crowd stays.
"""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests import hostile
from savoryhold.mesh.tests.hostile import (
    FREE_PATH,
    KEYED_PATH,
    HostileCase,
    head,
    send_parts,
)
from savoryhold.wire import ClientPool

MAX_FDS = 1600
SENDERS = 800
BODY_BYTES = 200_000
CHUNK_BYTES = 20_000
MEDIUM_BYTES = 60_000
RETURNING = 150
PIPELINES = 200
PIPELINED = 200
ANSWER_BYTES = 2000
WORK_MS = 20
REPORTS, PEERS = 1, 4  # among the addresses of a host
LINKS = 2000
HANDSHAKE_PART = b'\x00\x00\x00\x60\x01'
REPORTERS = 60
REPORT_BYTES = 2_000_000
DEEP_REPORTERS = 8
DEEP_REPORT_BYTES = 4_000_000
ASK_MS = 8000
LIMIT_S = 60
POLL_S = 0.1
# Of the bodies of ordinary requests.
SMALL_BYTES = 50_000
LARGE_BYTES = 2_000_000
REPORT_HEAD = (
    'POST /v1/rpc?call=instances.heartbeat&of=other HTTP/1.1\r\n'
    'Host: node\r\nContent-Length: {}\r\n\r\n'
)
Connect = Callable[
    [], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


async def return_forever(
    sent: bytes,
    connect: Connect,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send the start of a request again each time the node has closed."""
    while True:
        with contextlib.suppress(OSError):
            await send_parts(sent, reader, writer)
            await reader.read()
        writer.transport.abort()
        await asyncio.sleep(POLL_S)
        with contextlib.suppress(OSError):
            reader, writer = await connect()


async def pipeline(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send requests behind one another, and read no answer."""
    for _ in range(PIPELINED):
        writer.write(head(FREE_PATH, method='GET'))
        await writer.drain()


async def stay(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send nothing."""


def unfinished(path: str) -> bytes:
    """Return a request that lacks the last byte of its body."""
    start = head(path, f'Content-Length: {BODY_BYTES}')
    return start + bytes(BODY_BYTES - 1)


def unfinished_chunks(path: str) -> bytes:
    """Return a chunked request that lacks its last chunk."""
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    start = head(path, 'Transfer-Encoding: chunked')
    return start + chunk * (BODY_BYTES // CHUNK_BYTES)


class WaitingCase(HostileCase):
    """Nodes with little memory that allow many connections."""

    async def asyncSetUp(self) -> None:
        """Start the nodes."""
        allowed = mock.patch.object(hostile, 'MAX_FDS', MAX_FDS)
        allowed.start()
        self.addCleanup(allowed.stop)
        await super().asyncSetUp()

    async def until_served(self, path: str) -> None:
        """Send ordinary requests until one of each size is answered."""
        for size in (0, SMALL_BYTES, LARGE_BYTES):
            async with asyncio.timeout(LIMIT_S):
                while await self.ask_with(path, size) != 200:
                    await asyncio.sleep(POLL_S)

    async def ask_with(self, path: str, size: int) -> int:
        """Send a request with a body; return its status, 0 without answer."""
        pool = ClientPool(self.hosts[0].callers, BootClock().now)
        start = head(path, f'Content-Length: {size}')
        try:
            answer = await pool.ask(start, ASK_MS, body=bytes(size))
        except (LinkError, TimeoutError):
            return 0
        finally:
            pool.close()
        return answer.status


class TestWaitingBodies(WaitingCase):
    """Bodies that wait for room after a part of them has been read."""

    # What one read had brought was kept and counted nowhere while its
    # connection waited: 1,500 connections took 281 of 200 MB.
    async def test_bodies_that_lack_their_last_byte(self) -> None:
        """All but the last byte is sent, and the connections stay open."""
        sent = unfinished(FREE_PATH)
        await self.withstand(
            partial(send_parts, sent) for number in range(SENDERS)
        )

    # The same for a body whose length is not known.
    async def test_chunked_bodies_that_lack_their_end(self) -> None:
        """All but the last chunk is sent."""
        sent = unfinished_chunks(FREE_PATH)
        await self.withstand(
            partial(send_parts, sent) for number in range(SENDERS)
        )

    # Bodies below 64 KiB were read, and passed on, whatever room there was.
    async def test_small_bodies_that_lack_their_last_byte(self) -> None:
        """Each body alone is too small to wait for room."""
        start = head(FREE_PATH, f'Content-Length: {MEDIUM_BYTES}')
        sent = start + bytes(MEDIUM_BYTES - 1)
        await self.withstand(
            partial(send_parts, sent) for number in range(SENDERS)
        )

    # The node that owns the keys counted relayed bodies above 64 KiB only.
    async def test_small_bodies_that_are_relayed(self) -> None:
        """Whole bodies wait for the same target, at another node."""
        self.hosts[1].target.work_ms = WORK_MS
        start = head(KEYED_PATH, f'Content-Length: {MEDIUM_BYTES}')
        sent = start + bytes(MEDIUM_BYTES)
        await self.withstand(
            partial(send_parts, sent) for number in range(SENDERS)
        )

    # Connections without progress were closed one at a time, so that ordinary
    # large bodies waited behind the crowd until they were refused.
    async def test_crowd_that_returns(self) -> None:
        """Each connection that the node closes is opened again."""
        host, _, port = self.hosts[0].callers.rpartition(':')
        connect = partial(asyncio.open_connection, host, int(port))
        sent = unfinished(FREE_PATH)
        await self.withstand(
            partial(return_forever, sent, connect)
            for number in range(RETURNING)
        )


class TestPipelines(WaitingCase):
    """Requests that are sent behind one another."""

    # The requests that ran at the same time took memory that was not counted,
    # and delayed those of all other callers by seconds.
    async def test_pipelined_requests_whose_answers_are_not_read(self) -> None:
        """Many requests of each connection wait for an answer."""
        self.hosts[0].target.work_ms = WORK_MS
        self.hosts[0].target.make_body = lambda request: bytes(ANSWER_BYTES)
        await self.withstand(pipeline for number in range(PIPELINES))


class TestOtherPorts(WaitingCase):
    """Crowds at the ports for other nodes and for the target."""

    # Connections that never introduce themselves as a node stayed for good,
    # and their number had no bound.
    async def test_links_without_a_handshake(self) -> None:
        """Connections send a part of a handshake, or nothing."""
        await self.withstand(
            (
                partial(send_parts, HANDSHAKE_PART * (number % 2))
                for number in range(LINKS)
            ),
            self.hosts[0].addresses[PEERS],
        )

    # Each port allowed as many connections as the one for callers.
    async def test_connections_to_all_ports(self) -> None:
        """Connections to each port of the node send nothing."""
        for address in self.hosts[0].addresses[REPORTS:]:
            for _ in range(LINKS // 5):
                self.tasks.append(
                    asyncio.ensure_future(self._join(stay, address))
                )
        await self.withstand((stay,))

    # Reports are read by the same code as requests.
    async def test_reports_that_lack_their_last_byte(self) -> None:
        """All but the last byte of large reports is sent."""
        start = REPORT_HEAD.format(REPORT_BYTES).encode()
        sent = start + bytes(REPORT_BYTES - 1)
        await self.withstand(
            (partial(send_parts, sent) for number in range(REPORTERS)),
            self.hosts[0].addresses[REPORTS],
        )

    # A decoded report takes up to thirty times the memory of its text.
    async def test_reports_of_many_empty_lists(self) -> None:
        """Reports of legal size that contain a million lists."""
        text = b'[' + b'[],' * (DEEP_REPORT_BYTES // 3) + b'[]]'
        sent = REPORT_HEAD.format(len(text)).encode() + text
        await self.withstand(
            (partial(send_parts, sent) for number in range(DEEP_REPORTERS)),
            self.hosts[0].addresses[REPORTS],
        )


if __name__ == '__main__':
    unittest.main()
