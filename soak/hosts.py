"""The processes and the proxies of one host."""

import asyncio
import dataclasses
import enum
import pathlib
import signal
import sys
from collections.abc import Callable

import tomli_w

from savoryhold.core.clock import BootClock
from soak.events import Event, parse_line
from soak.proxy import ConnectionFault, Proxy

__all__ = ['MEMORY_MB', 'Host', 'HostPlan', 'PathKind']

ROOT = pathlib.Path(__file__).parents[1]
LOOPBACK = '127.0.0.1'
REPORT_MS = 300
DRAIN_MS = 1000
GRACE_MS = 4000
HOLD_MAX_MS = 10_000
MEMORY_MB = 150  # below the smallest hosts
EXIT_TIMEOUT_S = 8.0
STARTED_EVENT = b'event=started'
SETTINGS_VARIABLE = 'SAVORYHOLD_NODE_FILE'


class PathKind(enum.Enum):
    """Kinds of proxied connections, by what they serve."""

    CALLERS = 'callers'
    PEERS = 'peers'
    TARGET = 'target'
    REPORTS = 'reports'
    STORE = 'store'


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """Settings of a host; `ports` are ten reserved ports."""

    name: str
    service: str
    zone: str
    region: str
    ports: tuple[int, ...]
    seed: int
    work_ms: int
    lose: float
    clock_factor: float


class Host:
    """A node and its target as processes, with five proxies.

    Parameters
    ----------
    plan : HostPlan
        Settings of the host.
    store : str
        Address of the object API.
    folder : pathlib.Path
        Folder for settings and logs.
    on_event : callable
        Called with each event that the target prints.
    on_target_exit : callable
        Called with the name of a target and the time of its exit.
    """

    def __init__(
        self,
        plan: HostPlan,
        store: str,
        folder: pathlib.Path,
        on_event: Callable[[Event], None],
        on_target_exit: Callable[[str, int], None],
    ) -> None:
        self.plan = plan
        address = [f'{LOOPBACK}:{port}' for port in plan.ports]
        self.node_callers, self.node_peers, self.node_reports = address[:3]
        self.target_address, self.ready = address[3:5]
        self.proxies = {
            PathKind.CALLERS: Proxy(address[5], self.node_callers),
            PathKind.PEERS: Proxy(address[6], self.node_peers),
            PathKind.TARGET: Proxy(address[7], self.target_address),
            PathKind.REPORTS: Proxy(address[8], self.node_reports),
            PathKind.STORE: Proxy(address[9], store),
        }
        self.node: asyncio.subprocess.Process | None = None
        self.target: asyncio.subprocess.Process | None = None
        self.node_life = 0
        self.log = folder / f'{plan.name}.log'
        self._log_size = 0
        self._target_life = 0
        self._on_event = on_event
        self._on_target_exit = on_target_exit
        self._readers: set[asyncio.Task[None]] = set()
        self.settings = folder / f'{plan.name}.toml'

    @property
    def callers(self) -> str:
        """Return the address for callers."""
        return self.proxies[PathKind.CALLERS].listen

    async def start(self) -> None:
        """Start the proxies and both processes."""
        self._write_settings()
        for proxy in self.proxies.values():
            await proxy.start()
        await self.start_target()
        await self.start_node()

    async def start_node(self) -> None:
        """Start the node; it appends to its log."""
        self.node_life += 1
        with self.log.open('ab') as log:
            self._log_size = log.tell()
            self.node = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'platform' / 'run.py'),
                stdout=log,
                stderr=log,
                env={SETTINGS_VARIABLE: str(self.settings)},
            )

    def has_listened(self) -> bool:
        """Return whether the current node process has begun to listen."""
        return STARTED_EVENT in self.log.read_bytes()[self._log_size :]

    async def start_target(self, *, same_name: bool = False) -> None:
        """Start the target, under a new name or that of the last one."""
        if not same_name or not self._target_life:
            self._target_life += 1
        plan = self.plan
        target = f't-{plan.name}-{self._target_life}'
        options = {
            'name': target,
            'service': plan.service,
            'address': self.target_address,
            'stated': self.proxies[PathKind.TARGET].listen,
            'reports': self.proxies[PathKind.REPORTS].listen,
            'seed': plan.seed,
            'work-ms': plan.work_ms,
            'report-ms': REPORT_MS,
            'drain-ms': DRAIN_MS,
            'lose': plan.lose,
            'born-s': 0,
            'clock-factor': plan.clock_factor,
        }
        flags = [f'--{name}={option}' for name, option in options.items()]
        self.target = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'soak.target',
            *flags,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={'PYTHONPATH': str(ROOT / 'src')},
        )
        task = asyncio.ensure_future(self._read_events(self.target, target))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    def signal_node(self, signum: signal.Signals) -> None:
        """Send the node's process a signal, if it runs."""
        _send_signal(self.node, signum)

    def signal_target(self, signum: signal.Signals) -> None:
        """Send the target's process a signal, if it runs."""
        _send_signal(self.target, signum)

    async def wait_node_exit(
        self, limit_s: float = EXIT_TIMEOUT_S
    ) -> int | None:
        """Wait for the node's exit status; return None if it runs on."""
        return await _wait_exit(self.node, limit_s)

    async def wait_target_exit(self) -> int | None:
        """Wait for the target's exit status; return None if it hangs."""
        return await _wait_exit(self.target)

    def inject_fault(
        self, kinds: list[PathKind], fault: ConnectionFault
    ) -> None:
        """Inject a fault into some kinds of connections."""
        for kind in kinds:
            self.proxies[kind].inject_fault(fault)

    def heal(self, kinds: list[PathKind]) -> None:
        """End the fault of some kinds of connections."""
        for kind in kinds:
            self.proxies[kind].heal()

    async def stop(self) -> None:
        """Kill both processes and close the proxies."""
        for process in (self.node, self.target):
            _send_signal(process, signal.SIGCONT)
            _send_signal(process, signal.SIGKILL)
        await self.wait_node_exit()
        await self.wait_target_exit()
        for proxy in self.proxies.values():
            proxy.close()

    async def _read_events(
        self, process: asyncio.subprocess.Process, name: str
    ) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            try:
                self._on_event(parse_line(line.decode()))
            except ValueError:
                # The process was killed while it wrote a line.
                break
        await process.wait()
        self._on_target_exit(name, BootClock().now())

    def _write_settings(self) -> None:
        plan = self.plan
        fields = {
            'node': plan.name,
            'zone': plan.zone,
            'region': plan.region,
            'service': plan.service,
            'callers': self.node_callers,
            'reports': self.node_reports,
            'ready': self.ready,
            'peers': self.node_peers,
            'advertised': self.proxies[PathKind.PEERS].listen,
            'metrics': '',
            'store': self.proxies[PathKind.STORE].listen,
            'report_ms': REPORT_MS,
            'drain_ms': DRAIN_MS,
            'grace_ms': GRACE_MS,
            'hold_max_ms': HOLD_MAX_MS,
            'retry_ratio': 0.2,
            'retry_slack': 50,
            'retry_window_ms': 10_000,
            'memory_mb': MEMORY_MB,
        }
        self.settings.write_text(tomli_w.dumps(fields), encoding='utf-8')


def _send_signal(
    process: asyncio.subprocess.Process | None, signum: signal.Signals
) -> None:
    if process is not None and process.returncode is None:
        process.send_signal(signum)


async def _wait_exit(
    process: asyncio.subprocess.Process | None, limit_s: float = EXIT_TIMEOUT_S
) -> int | None:
    if process is None:
        return 0
    try:
        async with asyncio.timeout(limit_s):
            return await process.wait()
    except TimeoutError:
        return None
