"""A crowd of hostile callers, whose requests never become complete."""

import asyncio
import contextlib
import pathlib

from soak.hosts import MEMORY_MB, Host

__all__ = ['HostileCrowd', 'exceeds_memory']

MEMBERS_PER_KIND = 8
PIECE_BYTES = 65_536
BODY_BYTES = 16_000_000
MISSING_BYTES = 50_000
LINES = 7000
CHUNKS = 50_000
BYTES_PER_MB = 1_000_000
HEAD = b'POST /desk/look HTTP/1.1\r\nHost: soak.example\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
UNFINISHED = HEAD + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
CROWD = (
    HEAD + b'a:\r\n' * LINES,
    CHUNKED + b'1\r\nx\r\n0\r\n' + b'a:\r\n' * (LINES * 10),
    CHUNKED + b'1\r\nx\r\n' * CHUNKS,
    UNFINISHED + bytes(BODY_BYTES - MISSING_BYTES),
)


class HostileCrowd:
    """Callers of one host that send without end, and stay.

    Parameters
    ----------
    host : Host
        Host whose node they call.
    """

    def __init__(self, host: Host) -> None:
        self._address = host.node_callers
        self._members: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Let all members connect."""
        self._members = [
            asyncio.create_task(self._send(sent))
            for sent in CROWD
            for _ in range(MEMBERS_PER_KIND)
        ]

    async def stop(self) -> None:
        """Close all connections."""
        for member in self._members:
            member.cancel()
        await asyncio.gather(*self._members, return_exceptions=True)

    async def _send(self, sent: bytes) -> None:
        host, _, port = self._address.rpartition(':')
        # The node may have been killed, and may close any of the connections.
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                for start in range(0, len(sent), PIECE_BYTES):
                    writer.write(sent[start : start + PIECE_BYTES])
                    await writer.drain()
                await asyncio.Event().wait()
            finally:
                writer.transport.abort()


def _peak_mb(host: Host) -> float:
    """Return the peak resident memory of a host's node, 0 if it has ended."""
    node = host.node
    if node is None or node.returncode is not None:
        return 0.0
    try:
        text = pathlib.Path(f'/proc/{node.pid}/status').read_text('utf-8')
    except OSError:
        return 0.0
    _, _, rest = text.partition('VmHWM:')
    return int(rest.split()[0]) * 1024 / BYTES_PER_MB if rest else 0.0


def exceeds_memory(host: Host) -> str:
    """Return a violation if a node has used more than its settings state."""
    peak = _peak_mb(host)
    if peak <= MEMORY_MB:
        return ''
    return f'memory: {host.plan.name} has used {peak:.0f} MB of {MEMORY_MB}'
