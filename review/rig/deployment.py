"""Nodes as processes, started as `deploy/system.toml` says, and what is seen."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from rig.http import Client
from rig.store import Store
from rig.target import ID, Target, now_ms

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'review.example'
# An address of its own, so that runs side by side share no port.
LOOPBACK = '127.' + '.'.join(str(random.randint(1, 254)) for _ in range(3))
PORTS = (15_000, 32_000)
READY_CHECK_S = 1.0
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
# (region, zone) of one node after the other.
ONE_REGION = (('r1', 'z-a'), ('r1', 'z-b'))
TWO_REGIONS = (*ONE_REGION, ('r2', 'z-c'), ('r2', 'z-d'))
# Bounds of the users' example settings (DEPLOY.md).
BOUNDS = {
    'report_ms': 870,
    'drain_ms': 2000,
    'grace_ms': 6000,
    'hold_max_ms': 10000,
    'retry_ratio': 0.2,
    'retry_slack': 58,
    'retry_window_ms': 10000,
}


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = now_ms()
        self.events = []

    def __call__(self, kind, **fields):
        at = now_ms()
        self.events.append((at, kind, fields))
        text = json.dumps(fields, default=str)
        self._file.write(f'{at - self._start:9.0f} {kind} {text}\n')
        self._file.flush()

    def of(self, kind):
        """Return the events of a kind, as (time, fields)."""
        return [(at, fields) for at, found, fields in self.events if found == kind]


class Node:
    """The settings and the process of one node."""

    def __init__(self, record, name, service, place, store, ports, folder):
        self.record = record
        self.name = name
        self.service = service
        addresses = [f'{LOOPBACK}:{port}' for port in ports]
        self.callers, self.control, self.ready, self.peers = addresses[:4]
        self.target_address = addresses[4]
        self.process = None
        self.started_at = 0.0
        self.path = folder / f'{name}.toml'
        self.log = folder / f'{name}.log'
        fields = {
            'node': name,
            'zone': place[1],
            'region': place[0],
            'service': service,
            'callers': self.callers,
            'reports': self.control,
            'ready': self.ready,
            'peers': self.peers,
            'metrics': addresses[5],
            'store': store,
            **BOUNDS,
        }
        lines = [f'{key} = {json.dumps(one)}' for key, one in fields.items()]
        self.path.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['node']['run'].split()
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['SAVORYHOLD_NODE_FILE'] = str(self.path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        if words[0] == 'python3':
            words[0] = sys.executable
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.started_at = now_ms()
        self.record('node_started', node=self.name)

    def signal(self, signum):
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record('signal', node=self.name, signal=signum.name)
            self.process.send_signal(signum)

    async def wait(self, limit_s=10.0):
        """Wait for the end of the process; return its status."""
        async with asyncio.timeout(limit_s):
            status = await self.process.wait()
        self.record('node_ended', node=self.name, status=status)
        return status

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        client = Client(self.ready)
        try:
            status, _, _ = await client.ask(
                'GET', '/v1/ready', {'Host': 'node'}, b'', 1.0
            )
        except (OSError, TimeoutError):
            return False
        finally:
            client.close()
        return status == 200

    async def restart(self, pause_s=0.5):
        """Kill the process and start it again."""
        self.signal(signal.SIGKILL)
        await self.wait()
        await asyncio.sleep(pause_s)
        await self.start()


class Deployment:
    """A store, nodes with a target each, and callers."""

    def __init__(self, record, services, routes, **options):
        self.record = record
        self.routes = routes
        self.services = services
        self.places = options.pop('places', ONE_REGION)
        self.options = options
        self.store = Store()
        self.nodes = []
        self.targets = {}
        self.ready = set()
        self._numbers = itertools.count(1)
        self._folder = tempfile.TemporaryDirectory(prefix='savoryhold-review-')
        self.folder = pathlib.Path(self._folder.name)

    async def start(self, limits=None):
        """Start the store, the targets and the nodes; wait until all serve."""
        if not (ROOT / 'target/deps').is_dir():
            raise NotRunError('target/deps is missing: build first')
        count = sum(number for _, number in self.services.values())
        ports = _free_ports(7 * count)
        self.put_config(2, limits)
        index = 0
        for service, (keyed, number) in self.services.items():
            for _ in range(number):
                own = [ports.pop() for _ in range(6)]
                name = f'n{index:02}'
                place = self.places[index % len(self.places)]
                store = f'{LOOPBACK}:{ports.pop()}'
                await self.store.open_door(name, store)
                node = Node(
                    self.record, name, service, place, store, own, self.folder
                )
                self.nodes.append(node)
                await self.start_target(node, keyed=keyed)
                index += 1
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def start_target(self, node, *, keyed, name=''):
        """Start a new target beside a node."""
        name = name or f'i-{node.name}-{next(self._numbers)}'
        target = Target(
            self.record,
            name,
            node.service,
            node.target_address,
            node.control,
            keyed=keyed,
            **self.options,
        )
        self.targets[node.name] = target
        await target.start()
        return target

    def put_config(self, version, limits=None):
        """Write a configuration, as the operator does."""
        spec = {
            'version': version,
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_conns': 110,
                    'protocol': 'h1',
                    'tls': False,
                    'sharded': keyed,
                }
                for name, (keyed, _) in self.services.items()
            ],
            'limits': limits
            or {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'virtual_hosts': [{'host': HOST, 'paths': self.routes}],
        }
        self.store.put('config', 'main', spec)

    async def send(self, node, path, key=None, **options):
        """Send a request to a node; return its id, status and headers."""
        request = f'{next(self._numbers):08x}{os.urandom(4).hex()}'
        headers = {
            'Host': HOST,
            ID: request,
            'X-Savoryhold-Deadline-Ms': options.get('deadline_ms', 1500),
        }
        if key is not None:
            headers['X-Savoryhold-Shard-Key'] = key
        body = options.get('body', b'')
        client = options.get('client') or Client(node.callers)
        self.record(
            'sent', request=request, node=node.name, path=path, key=key, body=len(body)
        )
        status, found = 0, {}
        try:
            status, found, _ = await client.ask(
                'POST' if body else 'GET',
                path,
                headers,
                body,
                options.get('limit_s', headers['X-Savoryhold-Deadline-Ms'] / 1000),
            )
        except TimeoutError:
            status = -1
        except OSError:
            status = 0
        finally:
            if 'client' not in options:
                client.close()
        self.record('answered', request=request, node=node.name, status=status)
        return request, status, found

    async def watch_ready(self):
        """Check each node once a second; two misses take it out."""
        missed = dict.fromkeys(self.ready, 0)
        while True:
            for node in self.nodes:
                known = missed.get(node.name, 0)
                missed[node.name] = 0 if await node.is_ready() else known + 1
            self.ready = {name for name, count in missed.items() if count < 2}
            await asyncio.sleep(READY_CHECK_S)

    def ready_nodes(self):
        """Return the nodes that requesters use now."""
        return [node for node in self.nodes if node.name in self.ready]

    async def wait_served(self, wanted, limit_s=40.0):
        """Wait until each node answers each (path, key) with 200."""
        try:
            async with asyncio.timeout(limit_s):
                for node, (path, key) in itertools.product(self.nodes, wanted):
                    while (await self.send(node, path, key))[1] != 200:
                        await asyncio.sleep(0.2)
        except TimeoutError as exc:
            ended = [
                (node.name, node.process.returncode, node.log.read_text()[-400:])
                for node in self.nodes
                if node.process.returncode is not None
            ]
            raise NotRunError(f'not all was served; ended: {ended}') from exc
        self.ready = {node.name for node in self.nodes}
        self.record('all_served')

    async def stop(self):
        """End all processes that were started."""
        for target in self.targets.values():
            target.stop()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
        self._folder.cleanup()


def route(prefix, service, kind, **options):
    """Return a route of the configuration."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': options.get('timeout_ms', 1500),
        'target_latency_ms': options.get('aim_ms', 500),
        'priority': 1,
        'service': service,
        'max_attempts': options.get('attempts', 2),
    }


def held_twice(targets):
    """Return (ms, key, names) of the longest time that two targets hold a key."""
    worst = (0.0, -1, ())
    spans = {target.name: _held_spans(target) for target in targets}
    for one, other in itertools.combinations(spans, 2):
        for key in range(0, 65536, 128):
            both = _overlap(_of_key(spans[one], key), _of_key(spans[other], key))
            worst = max(worst, (both, key, (one, other)))
    return worst


def _held_spans(target):
    """Return (from, to, rows) for each span of time with the same rows."""
    ends = [at for at, _, _ in target.held[1:]] + [float('inf')]
    return [
        (at, min(until, end), rows)
        for (at, rows, until), end in zip(target.held, ends, strict=True)
    ]


def _of_key(spans, key):
    found = []
    for begin, end, rows in spans:
        if begin < end and any(first <= key <= last for first, last in rows):
            if found and begin - found[-1][1] < 1:
                found[-1] = (found[-1][0], end)
            else:
                found.append((begin, end))
    return found


def _overlap(ones, others):
    return max(
        (
            min(end, to) - max(begin, since)
            for begin, end in ones
            for since, to in others
        ),
        default=0.0,
    )


def _free_ports(count):
    """Return free ports below those that the kernel gives to clients."""
    found = set()
    while len(found) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        found.add(port)
    return sorted(found)


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case, folder):
    """Run a case; exit with 1 if the rule is broken, 0 if not, 2 if not run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    record('case', trouble=trouble(), at=time.strftime('%Y-%m-%d'))
    try:
        verdict = asyncio.run(_guard(case, record))
    except (NotRunError, OSError, TimeoutError, asyncio.CancelledError) as exc:
        record('not_run', error=repr(exc))
        print(f'not run: {exc!r}')
        sys.exit(EXIT_NOT_RUN)
    record('verdict', broken=bool(verdict), why=verdict)
    print(f'broken: {verdict}' if verdict else 'held')
    sys.exit(EXIT_BROKEN if verdict else EXIT_HELD)


async def _guard(case, record):
    task = asyncio.current_task()
    # The processes that were started end with this one.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(115):
        return await case(record)
