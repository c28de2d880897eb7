"""Nodes as processes, and crowds of callers that they must withstand."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import tomli_w

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import LinkError
from savoryhold.standins.fleet import PortReservation
from savoryhold.wire import ClientPool

ROOT = pathlib.Path(__file__).parents[4]
sys.path.insert(0, str(ROOT / 'platform'))

from standins import ObjectApi, Target, make_config  # noqa: E402

__all__ = [
    'FREE_PATH',
    'KEYED_PATH',
    'HostileCase',
    'Member',
    'head',
    'send_parts',
]

# The bounds that the settings of the nodes name.
MEMORY_MB = 100
MAX_FDS = 200
KB_PER_MB = 1000
LIMIT_S = 60
CROWD_S = 6.0  # the crowd has sent its bytes, or stays blocked, by then
POLL_S = 0.1
ASK_MS = 8000
PORTS_A_HOST = 6
PIECE_BYTES = 65_536
HOSTS = (('one', 'media'), ('two', 'desk'))
KEYED_PATH, FREE_PATH = '/desk/x', '/media/x'
KEY_LINE = 'X-Savoryhold-Shard-Key: 9'
Member = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def head(path: str, *lines: str, method: str = 'POST') -> bytes:
    """Return the head of a request that has an id, and a key if needed."""
    number = os.urandom(8).hex()
    key = [KEY_LINE] if path == KEYED_PATH else []
    first = (
        f'{method} {path} HTTP/1.1',
        'Host: h.example',
        f'X-Savoryhold-Attempt-Id: {number}',
        'X-Savoryhold-Deadline-Ms: 6000',
        *key,
        *lines,
    )
    return '\r\n'.join([*first, '', '']).encode()


async def send_parts(
    sent: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send bytes piece by piece."""
    for start in range(0, len(sent), PIECE_BYTES):
        writer.write(sent[start : start + PIECE_BYTES])
        await writer.drain()


def _route(prefix: str, service: str) -> dict[str, Any]:
    return {
        'path_prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': 6000,
        'target_latency_ms': 5000,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    }


class _Host:
    """The process of a node, and its target in this process."""

    def __init__(self, name: str, service: str, ports: list[int]) -> None:
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.callers = self.addresses[2]
        self.target = Target(
            f't-{name}', service, self.addresses[0], self.addresses[1]
        )
        self.process: asyncio.subprocess.Process | None = None
        self.most_fds = 0
        self._name = name
        self._service = service

    async def start(self, folder: pathlib.Path, store: str) -> None:
        """Start the target and the process of the node."""
        listen = ('callers', 'ready', 'peers', 'metrics')
        fields = {
            'node': self._name,
            'zone': 'a',
            'region': 'r',
            'service': self._service,
            'reports': self.addresses[1],
            **dict(zip(listen, self.addresses[2:], strict=True)),
            'store': store,
            'report_ms': 200,
            'drain_ms': 1000,
            'grace_ms': 2000,
            'hold_max_ms': 10_000,
            'retry_ratio': 0.2,
            'retry_slack': 50,
            'retry_window_ms': 10_000,
            'memory_mb': MEMORY_MB,
            'max_fds': MAX_FDS,
        }
        path = folder / f'{self._name}.toml'
        path.write_text(tomli_w.dumps(fields), encoding='utf-8')
        await self.target.server.start(self.target.address, 64)
        with (folder / f'{self._name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'platform' / 'run.py'),
                env={**os.environ, 'SAVORYHOLD_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )

    def proc(self, name: str) -> pathlib.Path:
        """Return a path of the node below /proc."""
        assert self.process is not None
        return pathlib.Path(f'/proc/{self.process.pid}/{name}')

    def peak_mb(self) -> float:
        """Return the peak resident memory of the node."""
        text = self.proc('status').read_text(encoding='utf-8')
        _, _, rest = text.partition('VmHWM:')
        return int(rest.split()[0]) * 1024 / KB_PER_MB**2

    async def count_fds(self) -> None:
        """Record the highest count of open descriptors until cancelled."""
        while True:
            found = len(list(self.proc('fd').iterdir()))
            self.most_fds = max(self.most_fds, found)
            await asyncio.sleep(POLL_S)


class HostileCase(unittest.IsolatedAsyncioTestCase):
    """An ingress node without keys and the keyed node that it relays to."""

    async def asyncSetUp(self) -> None:
        """Start everything, and wait until both services are served."""
        folder = tempfile.TemporaryDirectory(prefix='savoryhold-hostile-')
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.tasks: list[asyncio.Future[None]] = []
        reservation = PortReservation(1 + PORTS_A_HOST * len(HOSTS))
        self.addCleanup(reservation.release)
        ports = reservation.ports
        store = f'127.0.0.1:{ports.pop()}'
        self.api = ObjectApi()
        await self.api.server.start(store, 64)
        services = {service: service == 'desk' for _, service in HOSTS}
        routes = [_route(f'/{name}/', name) for name in services]
        self.api.put(
            'config', 'main', make_config(3, services, 'h.example', routes)
        )
        self.hosts = [
            _Host(name, service, [ports.pop() for _ in range(PORTS_A_HOST)])
            for name, service in HOSTS
        ]
        for host in self.hosts:
            await host.start(self.folder, store)
            self.tasks.append(asyncio.ensure_future(host.target.run()))
            self.tasks.append(asyncio.ensure_future(host.count_fds()))
        for path in (FREE_PATH, KEYED_PATH):
            await self.until_served(path)

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            host.target.close()
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        self.api.server.stop()

    async def until_served(self, path: str) -> None:
        """Send a small request until it is answered."""
        async with asyncio.timeout(LIMIT_S):
            while await self.ask(path) != 200:
                await asyncio.sleep(POLL_S)

    async def ask(self, path: str) -> int:
        """Send an ordinary request; return its status, 0 if there is none."""
        pool = ClientPool(self.hosts[0].callers, BootClock().now)
        try:
            answer = await pool.ask(head(path, method='GET'), ASK_MS)
        except (LinkError, TimeoutError):
            return 0
        finally:
            pool.close()
        return answer.status

    async def withstand(
        self, members: Iterable[Member], address: str = ''
    ) -> None:
        """Run a crowd; check the nodes, then ask while the crowd stays.

        It connects to the callers' address of the first node, or another one.
        """
        address = address or self.hosts[0].callers
        crowd = [
            asyncio.ensure_future(self._join(one, address)) for one in members
        ]
        self.tasks.extend(crowd)
        await asyncio.wait(crowd, timeout=CROWD_S)
        for path in (FREE_PATH, KEYED_PATH):
            await self.until_served(path)
        for host in self.hosts:
            assert host.process is not None
            self.assertIsNone(host.process.returncode, 'the process has ended')
        peaks = [round(host.peak_mb()) for host in self.hosts]
        fds = [host.most_fds for host in self.hosts]
        sys.stderr.write(f'{self.id()}: peak MB {peaks}, descriptors {fds}\n')
        self.assertLess(max(peaks), MEMORY_MB)
        self.assertLess(max(fds), MAX_FDS)

    async def _join(self, member: Member, address: str) -> None:
        """Run a member; its connection stays open until the test ends."""
        host, _, port = address.rpartition(':')
        sock = socket.socket()
        sock.setblocking(False)
        # A small buffer keeps unread answers in the node.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (host, int(port)))
        except OSError:
            sock.close()
            return
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=PIECE_BYTES
        )
        try:
            # The node may refuse or close the connections of a crowd.
            with contextlib.suppress(OSError):
                await member(reader, writer)
            await asyncio.sleep(LIMIT_S)
        finally:
            writer.transport.abort()
