"""Runs a whole deployment on loopback, for the demo, tests and benchmarks.

Only this harness starts processes; the processes of the system start none.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from typing import Any

import aiohttp
import tomli_w

__all__ = ['Fleet', 'Host', 'HostPlan', 'JournalLine', 'PortReservation']

SECRET = 'loopback-demo-secret'
READY_LIMIT_S = 20.0
POLL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 30_000
LOOPBACK = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """Settings of a host: a daemon and, unless `service` is empty, a target."""

    name: str
    region: str
    zone: str
    service: str
    slots: int = 6
    work_ms: int = 5
    checks_fence: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JournalLine:
    """A run that a target has recorded in its journal file."""

    host: str
    request_id: str
    fence: str
    path: str
    start_ms: int


class Host:
    """The processes of one host.

    Parameters
    ----------
    plan : HostPlan
        Settings of the host.
    folder : pathlib.Path
        Folder for settings, logs and journals.
    ports : list of int
        Ports for callers, peers, admin and target.
    """

    def __init__(
        self, plan: HostPlan, folder: pathlib.Path, ports: list[int]
    ) -> None:
        self.plan = plan
        self.callers, self.peers, self.admin, self.target_port = ports
        self.daemon: subprocess.Popen[bytes] | None = None
        self.target: subprocess.Popen[bytes] | None = None
        self.journal = folder / f'{plan.name}.journal'
        self.log = folder / f'{plan.name}.log'
        self.settings = folder / f'{plan.name}.toml'

    @property
    def caller_url(self) -> str:
        """Return the base URL for callers."""
        return f'http://127.0.0.1:{self.callers}'

    @property
    def admin_url(self) -> str:
        """Return the base URL for operators."""
        return f'http://127.0.0.1:{self.admin}'

    def write_settings(
        self, platform: str, seeds: list[str], limits: dict[str, int]
    ) -> None:
        """Write the daemon's settings file."""
        fields = {
            'node': {
                'host': self.plan.name,
                'region': self.plan.region,
                'zone': self.plan.zone,
            },
            'listen': {
                'callers': f'127.0.0.1:{self.callers}',
                'peers': f'127.0.0.1:{self.peers}',
                'admin': f'127.0.0.1:{self.admin}',
            },
            'platform': {'url': platform},
            'peers': {'secret': SECRET, 'seeds': seeds},
            'limits': limits,
        }
        self.settings.write_text(tomli_w.dumps(fields), encoding='utf-8')

    def start_daemon(self) -> None:
        """Start the daemon; it appends to its log."""
        with self.log.open('ab') as log:
            self.daemon = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'savoryhold.daemon.main',
                    '--settings',
                    str(self.settings),
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_target(self) -> None:
        """Start the target stand-in, if the host has one."""
        plan = self.plan
        if not plan.service:
            return
        command = [
            sys.executable,
            '-m',
            'savoryhold.standins.serve',
            f'--parent={os.getpid()}',
            'target',
            f'--port={self.target_port}',
            f'--service={plan.service}',
            f'--companion=127.0.0.1:{self.admin}',
            f'--slots={plan.slots}',
            f'--work-ms={plan.work_ms}',
            f'--journal={self.journal}',
        ]
        if plan.checks_fence:
            command.append('--checks-fence')
        with self.log.open('ab') as log:
            self.target = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the processes of the host that still run."""
        for process in (self.daemon, self.target):
            if process is not None and process.poll() is None:
                process.send_signal(signum)

    def kill(self) -> None:
        """SIGKILL the processes of the host, as a power failure would."""
        self.signal(signal.SIGKILL)
        for process in (self.daemon, self.target):
            if process is not None:
                process.wait()

    def read_journal(self) -> list[JournalLine]:
        """Return all runs that the host's target recorded."""
        if not self.journal.exists():
            return []
        lines = []
        for text in self.journal.read_text(encoding='utf-8').splitlines():
            fields = json.loads(text)
            lines.append(
                JournalLine(
                    self.plan.name,
                    fields['request_id'],
                    fields['fence'],
                    fields['path'],
                    fields['start_ms'],
                )
            )
        return lines


class Fleet:
    """A platform stand-in and a number of hosts.

    Parameters
    ----------
    plans : list of HostPlan
        The hosts.
    limits : dict of str to int, optional
        The daemons' ``limits`` section.
    """

    def __init__(
        self, plans: list[HostPlan], limits: dict[str, int] | None = None
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix='savoryhold-')
        self.folder = pathlib.Path(self._folder.name)
        self._port_reservation = PortReservation(1 + 4 * len(plans))
        ports = self._port_reservation.ports
        self.store_port = ports[0]
        self.store: subprocess.Popen[bytes] | None = None
        self.hosts = [
            Host(plan, self.folder, ports[1 + 4 * num : 5 + 4 * num])
            for num, plan in enumerate(plans)
        ]
        seeds = [f'127.0.0.1:{host.peers}' for host in self.hosts]
        for host in self.hosts:
            others = [seed for seed in seeds if str(host.peers) not in seed]
            host.write_settings(self.platform_url, others, limits or {})

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f'http://127.0.0.1:{self.store_port}'

    @contextlib.contextmanager
    def running(self) -> Iterator['Fleet']:
        """Start everything, and stop everything at the end."""
        try:
            self.start()
            yield self
        finally:
            self.stop()

    def start(self) -> None:
        """Start the store, the daemons and the targets."""
        self.start_store()
        for host in self.hosts:
            host.start_daemon()
            host.start_target()

    def start_store(self) -> None:
        """Start the platform stand-in."""
        command = [
            sys.executable,
            '-m',
            'savoryhold.standins.serve',
            f'--parent={os.getpid()}',
            'store',
            f'--port={self.store_port}',
        ]
        with (self.folder / 'store.log').open('ab') as log:
            self.store = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def stop(self) -> None:
        """Kill all processes and remove the folder."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.kill()
        if self.store is not None and self.store.poll() is None:
            self.store.kill()
            self.store.wait()
        self._port_reservation.release()
        self._folder.cleanup()

    def host(self, name: str) -> Host:
        """Return a host by name.

        Raises
        ------
        KeyError
            If no host has this name.
        """
        for host in self.hosts:
            if host.plan.name == name:
                return host
        raise KeyError(name)

    def live_hosts(self) -> list[Host]:
        """Return the hosts whose daemons run."""
        return [
            host
            for host in self.hosts
            if host.daemon is not None and host.daemon.poll() is None
        ]

    def journal(self) -> list[JournalLine]:
        """Return the recorded runs of all targets."""
        return [line for host in self.hosts for line in host.read_journal()]

    def apply_script(self, script: pathlib.Path, reason: str) -> None:
        """Apply the configuration that a script prints, as operators do."""
        document = self.folder / f'{script.stem}.toml'
        printed = subprocess.run(
            [sys.executable, str(script)], check=True, capture_output=True
        )
        document.write_bytes(printed.stdout)
        subprocess.run(
            [
                sys.executable,
                '-m',
                'savoryhold.cli.main',
                f'--platform={self.platform_url}',
                'apply',
                str(document),
                f'--reason={reason}',
            ],
            check=True,
            capture_output=True,
        )

    async def set_fault(
        self, session: aiohttp.ClientSession, **fields: Any
    ) -> None:
        """Set the fault of the platform stand-in."""
        url = f'{self.platform_url}/faults'
        async with session.post(url, json=fields) as answer:
            answer.raise_for_status()

    async def status(
        self, session: aiohttp.ClientSession, host: Host
    ) -> dict[str, Any] | None:
        """Return a daemon's status, None while it does not answer."""
        url = f'{host.admin_url}/admin/status'
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with session.get(url, timeout=timeout) as answer:
                found: dict[str, Any] = await answer.json()
                return found
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def wait_store(self, session: aiohttp.ClientSession) -> None:
        """Wait until the platform stand-in answers."""
        await _wait_until(
            lambda: self._store_answers(session),
            'platform stand-in does not answer',
        )

    async def wait_ready(
        self, session: aiohttp.ClientSession, services: dict[str, int]
    ) -> None:
        """Wait until live nodes own all shards and list them as owned.

        Parameters
        ----------
        session : aiohttp.ClientSession
            Session for status requests.
        services : dict of str to int
            Number of shards of each keyed service.

        Raises
        ------
        TimeoutError
            If that takes longer than the limit.
        """
        wanted = sum(services.values())
        await _wait_until(
            lambda: self._is_ready(session, wanted),
            'not all shards are owned and listed',
        )

    async def _store_answers(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(f'{self.platform_url}/calls') as answer:
                return answer.ok
        except aiohttp.ClientError:
            return False

    async def _is_ready(
        self, session: aiohttp.ClientSession, wanted: int
    ) -> bool:
        held = 0
        for host in self.live_hosts():
            found = await self.status(session, host)
            if found is None or not self._is_settled(host, found, wanted):
                return False
            held += found['held']
        return held == wanted

    def _is_settled(
        self, host: Host, found: dict[str, Any], wanted: int
    ) -> bool:
        listed = sum(node['shards'] for node in found['nodes'])
        offering = sum(1 for node in found['nodes'] if node['services'])
        targets = sum(1 for peer in self.live_hosts() if peer.plan.service)
        has_target = found['target'] or not host.plan.service
        return all(
            (
                found['lease_ms'],
                found['revisions'],
                has_target,
                listed == wanted,
                offering >= targets,
            )
        )


class PortReservation:
    """Ports that no other fleet on this machine can choose.

    Parameters
    ----------
    count : int
        Number of ports.

    Notes
    -----
    A bound UDP socket reserves each port until `release`.  The daemons listen
    on the TCP port of the same number; other fleets find the UDP port in use.
    The ports lie below the ephemeral range of outgoing connections.
    """

    def __init__(self, count: int) -> None:
        candidates = list(range(FIRST_PORT, LAST_PORT))
        random.SystemRandom().shuffle(candidates)
        self._sockets: dict[int, socket.socket] = {}
        while len(self._sockets) < count:
            port = candidates.pop()
            reserved = _reserve(port)
            if reserved is not None:
                self._sockets[port] = reserved

    @property
    def ports(self) -> list[int]:
        """Return the ports."""
        return list(self._sockets)

    def release(self) -> None:
        """Release the ports for other fleets."""
        for reserved in self._sockets.values():
            reserved.close()


def _reserve(port: int) -> socket.socket | None:
    """Return a UDP socket on a port that is free for TCP, too, or None."""
    reserved = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reserved.bind((LOOPBACK, port))
        with socket.socket() as probe:
            probe.bind((LOOPBACK, port))
    except OSError:
        reserved.close()
        return None
    return reserved


async def _wait_until(check: Any, error: str) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READY_LIMIT_S
    while not await check():
        if loop.time() > deadline:
            raise TimeoutError(error)
        await asyncio.sleep(POLL_S)
