"""A small deployment on loopback: nodes as processes, the rest stand-ins.

A script makes a `Rig`, adds hosts, and plays its scenario.  The record of what
was sent, answered and run is `record.txt` in the folder of the case.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import http1
from backend import Backend, Poisoned
from store import Store

__all__ = ['Host', 'Poisoned', 'Rig', 'run_case', 'trouble']

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 1.0
START_LIMIT_S = 25.0
VIRTUAL_HOST = 'ficu95.example'
# Bounds of the small deployments.
DRAIN_MS = 2000
GRACE_MS = 6000
STABLE_S = 3.0
LIMIT_S = 112.0  # of a case

SETTINGS = """\
node = "{name}"
zone = "{zone}"
region = "{region}"
service = "{service}"
callers = "{outbound}"
reports = "{control}"
target = "{app}"
ready = "{ready}"
peers = "{peers}"
metrics = "{metrics}"
store = "{store}"
report_ms = 870
drain_ms = {drain_ms}
grace_ms = {grace_ms}
hold_max_ms = 10000
retry_ratio = 0.2
retry_slack = 58
retry_window_ms = 10000
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
terms = ["base","drain","config","cost","retry","recover","own","platform"]
"""


def own_address():
    """Return a loopback address that no other running script uses.

    Ports are chosen some time before a node binds them, so that scripts side by
    side on one address could choose the same.
    """
    number = os.getpid()
    return f'127.{16 + number // 65024 % 200}.{number // 254 % 256}.{1 + number % 254}'


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Host:
    """A machine: its node's process and its backend."""

    def __init__(self, rig, name, service, zone, region, *, sharded):
        self.rig = rig
        self.name = name
        self.service = service
        self.zone = zone
        self.region = region
        self.sharded = sharded
        names = ('outbound', 'control', 'app', 'ready', 'peers', 'metrics')
        for each, port in zip(names, rig.free_ports(len(names)), strict=True):
            setattr(self, each, f'{rig.address}:{port}')
        self.backend = Backend(rig, self)
        self.process = None
        self.is_ready = False
        # Since when the process has run without a disturbance.
        self.calm_since = float('inf')
        self.exits = []
        self._file = rig.folder / f'{name}.toml'
        self._watch = None

    def write_settings(self):
        self._file.write_text(
            SETTINGS.format(
                **{
                    field: getattr(self, field)
                    for field in (
                        'name',
                        'zone',
                        'region',
                        'service',
                        'outbound',
                        'control',
                        'app',
                        'ready',
                        'peers',
                        'metrics',
                    )
                },
                store=self.rig.store_address,
                drain_ms=DRAIN_MS,
                grace_ms=GRACE_MS,
            )
        )

    def start_node(self):
        """Start the node with the command of the deploy file."""
        self.write_settings()
        with (self.rig.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'platform/run.py'],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'SAVORYHOLD_NODE_FILE': str(self._file),
                },
            )
        self.calm_since = time.monotonic()
        self.rig.note('node-start', node=self.name)
        if self._watch is None:
            self._watch = asyncio.create_task(self._check_ready())

    def signal(self, signum):
        """Signal the node's process."""
        self.rig.note('node-signal', node=self.name, signal=signum.name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)
        self.calm_since = float('inf')

    async def wait_exit(self, limit_s):
        """Wait for the process to end; return its status, None if it runs."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.rig.note(
                    'node-exit', node=self.name, status=self.process.returncode
                )
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    async def restart(self):
        """Stop the node as the platform does, and start it again."""
        self.signal(signal.SIGTERM)
        if await self.wait_exit(GRACE_MS / 1000) is None:
            self.signal(signal.SIGKILL)
            await self.wait_exit(2.0)
        await asyncio.sleep(0.3)
        self.start_node()

    def in_touch(self, at=None):
        """Return whether the machine has been calm for long enough."""
        at = time.monotonic() if at is None else at
        return at - self.calm_since >= STABLE_S

    async def _check_ready(self):
        while True:
            ready = False
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                answer = await http1.call(
                    self.ready,
                    'GET /v1/ready HTTP/1.1',
                    {'host': 'x'},
                    b'',
                    1.0,
                )
                ready = answer.first.split(' ')[1] == '200'
            if ready != self.is_ready:
                self.rig.note('ready', node=self.name, ready=ready)
            self.is_ready = ready
            await asyncio.sleep(READY_S)

    def stop(self):
        if self._watch is not None:
            self._watch.cancel()
        self.backend.crash()
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Rig:
    """The deployment, and the record of what happens in it."""

    def __init__(self, case, seed=1):
        self.case = pathlib.Path(case)
        self.rng = random.Random(seed)
        self._ports = set()
        self.started = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (self.case / 'record.txt').open('w')
        self.store = Store()
        self.address = own_address()
        self.store_address = f'{self.address}:{self.free_ports(1)[0]}'
        self.hosts = []
        self.version = 7
        self.runs = {}
        self.answers = {}
        self.on_poisoned = lambda backend, request: None
        self._noted = set()
        self._number = 0

    def free_ports(self, count):
        """Return ports of the script's address that are free now."""
        found = []
        while len(found) < count:
            port = random.randrange(12_000, 30_000)
            if port in self._ports:
                continue
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((self.address, port))
                except OSError:
                    continue
            self._ports.add(port)
            found.append(port)
        return found

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **fields):
        """Write a line to the record."""
        if event == 'runs':
            self.runs.setdefault(fields['request'], []).append(
                (self.now(), fields['backend'])
            )
        text = ' '.join(f'{name}={field}' for name, field in fields.items())
        self.record.write(f'{self.now():8.3f} {event} {text}\n')
        self.record.flush()

    def note_once(self, event, **fields):
        known = (event, tuple(fields.items()))
        if known not in self._noted:
            self._noted.add(known)
            self.note(event, **fields)

    def add(self, name, service, zone, region, *, sharded=False):
        host = Host(self, name, service, zone, region, sharded=sharded)
        self.hosts.append(host)
        return host

    def put_config(self, services, routes):
        """Write a configuration as the operator does."""
        self.version += self.rng.randint(1, 9)
        spec = {
            'version': self.version,
            'services': [
                {'name': name, 'sharded': sharded, 'health_path': '/health'}
                for name, sharded in services.items()
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1048576,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'virtual_hosts': [{'host': VIRTUAL_HOST, 'paths': routes}],
        }
        self.store.put('config', 'main', spec)
        self.note('config', version=self.version)

    async def start(self):
        """Start everything, and wait until all nodes are ready."""
        await self.store.start(self.store_address)
        for host in self.hosts:
            await host.backend.start()
        for host in self.hosts:
            host.start_node()
        until = time.monotonic() + START_LIMIT_S
        while not all(host.is_ready for host in self.hosts):
            if time.monotonic() > until:
                raise RuntimeError('the nodes did not become ready')
            await asyncio.sleep(0.1)

    async def send(
        self,
        host,
        path,
        *,
        method='GET',
        key=None,
        body=b'',
        deadline_ms=2000,
        on_id=None,
    ):
        """Send a request to a host's node; return its id and status.

        The status is 0 if there is no answer.  ``on_id`` is called with the id
        before the request is sent.
        """
        self._number += 1
        request = f'{self.rng.getrandbits(32):08x}{self._number:08x}'
        if on_id is not None:
            on_id(request)
        headers = {
            'Host': VIRTUAL_HOST,
            'X-Savoryhold-Attempt-Id': request,
            'X-Savoryhold-Deadline-Ms': str(deadline_ms),
        }
        if key is not None:
            headers['X-Savoryhold-Shard-Key'] = str(key)
        self.note('sends', node=host.name, request=request, path=path, key=key)
        status, reason = 0, ''
        try:
            answer = await http1.call(
                host.outbound,
                f'{method} {path} HTTP/1.1',
                headers,
                body,
                deadline_ms / 1000 + 0.5,
            )
            status = int(answer.first.split(' ')[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            reason = repr(exc)
        self.answers[request] = status
        self.note(
            'answer', node=host.name, request=request, status=status, why=reason
        )
        return request, status

    async def wait_served(self, path, *, keys=(None,), limit_s=25.0):
        """Wait until all nodes serve a path with these keys."""
        until = time.monotonic() + limit_s
        for host in self.hosts:
            for key in keys:
                while (await self.send(host, path, key=key))[1] != 200:
                    if time.monotonic() > until:
                        raise RuntimeError(f'{path} is not served')
                    await asyncio.sleep(0.3)

    def stop(self):
        """End all that was started."""
        for host in self.hosts:
            host.stop()
        self.store.stop()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, play):
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if not run.

    ``play`` is awaited with the rig and returns the list of violations.
    """
    rig = Rig(case)
    status = 2
    try:
        violations = asyncio.run(_play(rig, play))
        for line in violations:
            rig.note('BROKEN', what=line)
            print(line)
        status = 1 if violations else 0
    except Exception as exc:  # the case could not run
        rig.note('could-not-run', error=repr(exc))
        print(f'could not run: {exc!r}')
    finally:
        rig.stop()
        rig.note('exit', status=status)
        rig.record.close()
    return status


async def _play(rig, play):
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(rig)
    finally:
        for host in rig.hosts:
            host.stop()
