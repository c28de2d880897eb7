"""Mesh nodes with stand-ins of the platform, on loopback sockets."""

import asyncio
import os
import pathlib
import re
import subprocess
import sys
import unittest
from typing import Any

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import NodeId, Region, ServiceName, Zone
from savoryhold.daemon.logs import set_up_logs
from savoryhold.mesh import (
    MeshSettings,
    TargetLeave,
    TargetReport,
    parse_mesh_settings,
)
from savoryhold.mesh.node import (
    MeshNode,
    last_answer_ms,
    leave_ms,
    linger_ms,
)
from savoryhold.ranges import GrantReply
from savoryhold.standins.fleet import PortReservation
from savoryhold.wire import ClientPool, HttpRequest

sys.path.insert(0, str(pathlib.Path(__file__).parents[4] / 'platform'))

from adapter import PlatformAdapter  # noqa: E402
from decode import decode_call, decode_config, encode_reply  # noqa: E402
from standins import ObjectApi, Target  # noqa: E402

LIMIT_S = 20
HOST_COUNT = 3
PORTS_A_HOST = 6
POLL_S = 0.02
ASK_MS = 3000
ZONES = {'two': 'b'}  # of hosts; the others are in zone a
REPORT_PATH = '/v1/rpc?call=instances.heartbeat&of=i-1'
GOOD_REPORT = (
    b'{"address":"10.0.0.1:80","born":7,"info":{"service":"desk",'
    b'"slots":6},"status":{"state":"ready","seq":4},'
    b'"holds":[[0,9,1024]],"released":[[10,19,"t"]]}'
)
CONFIG: dict[str, Any] = {
    'version': 3,
    'services': [{'name': 'desk', 'sharded': True}, {'name': 'media'}],
    'limits': {},
    'virtual_hosts': [
        {
            'host': 'h.example',
            'paths': [
                {
                    'path_prefix': '/desk/',
                    'kind': 'idempotent',
                    'timeout_ms': 2000,
                    'target_latency_ms': 1000,
                    'priority': 1,
                    'service': 'desk',
                    'max_attempts': 2,
                },
                {
                    'path_prefix': '/media/',
                    'kind': 'download',
                    'timeout_ms': 2000,
                    'target_latency_ms': 1000,
                    'priority': 1,
                    'service': 'media',
                    'max_attempts': 2,
                },
            ],
        }
    ],
}


class Host:
    """A node and its target."""

    def __init__(
        self,
        name: str,
        service: str,
        store: str,
        ports: list[int],
        evacuate_ms: int = 0,
    ) -> None:
        local = [f'127.0.0.1:{port}' for port in ports]
        self.target = Target(f't-{name}', service, local[0], local[1])
        self.callers = local[2]
        settings = MeshSettings(
            node=NodeId(name),
            zone=Zone(ZONES.get(name, 'a')),
            region=Region('r'),
            service=ServiceName(service),
            callers=local[2],
            reports=local[1],
            ready=local[3],
            peers=local[4],
            advertised=local[4],
            metrics=local[5],
            store=store,
            report_ms=200,
            drain_ms=1000,
            grace_ms=2000,
            hold_max_ms=10_000,
            retry_ratio=0.2,
            retry_slack=50,
            retry_window_ms=10_000,
            evacuate_ms=evacuate_ms,
        )
        clock = BootClock()
        adapter = PlatformAdapter(store, clock.now)
        self.ready = local[3]
        self.metrics = local[5]
        self.node = MeshNode(
            settings,
            adapter,
            set_up_logs(os.open(os.devnull, os.O_WRONLY)),
            lambda: settings,
        )


class MeshCase(unittest.IsolatedAsyncioTestCase):
    """Two hosts of a keyed service, and one of a service without keys."""

    evacuate_ms = 0

    async def asyncSetUp(self) -> None:
        """Start everything, and wait until targets hold all keys."""
        self.tasks: list[asyncio.Future[Any]] = []
        self.api = ObjectApi()
        # An outgoing connection of any process may take a port of another kind
        # between its choice and its use; the node would not start.
        reservation = PortReservation(1 + PORTS_A_HOST * HOST_COUNT)
        self.addCleanup(reservation.release)
        ports = reservation.ports
        store = f'127.0.0.1:{ports.pop()}'
        await self.api.server.start(store, 64)
        self.api.put('config', 'main', CONFIG)
        self.hosts = [
            Host(
                name,
                service,
                store,
                [ports.pop() for _ in range(PORTS_A_HOST)],
                self.evacuate_ms,
            )
            for name, service in (
                ('one', 'desk'),
                ('two', 'desk'),
                ('three', 'media'),
            )
        ]
        for host in self.hosts:
            await host.target.server.start(host.target.address, 64)
            self.tasks.append(asyncio.ensure_future(host.node.run()))
            self.tasks.append(asyncio.ensure_future(host.target.run()))
        await self.until(lambda: self.held_count() == 65_536)

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        for host in self.hosts:
            for loop_task in host.node._tasks:
                loop_task.cancel()
            host.node.close()
            host.target.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.api.server.stop()

    def held_count(self) -> int:
        """Return how many keys the targets hold."""
        return sum(
            row[1] - row[0] + 1
            for host in self.hosts
            for row in host.target.rows
        )

    async def until(self, done: Any) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(LIMIT_S):
            while not done():
                await asyncio.sleep(POLL_S)

    async def ask(
        self, host: Host, path: str, number: int, key: int | None = None
    ) -> tuple[int, bytes]:
        """Send a request to a node; return status and body."""
        pool = ClientPool(host.callers, BootClock().now)
        head = (
            f'GET {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'X-Savoryhold-Attempt-Id: r{number}\r\n'
            f'X-Savoryhold-Deadline-Ms: 2000\r\n'
        )
        if key is not None:
            head += f'X-Savoryhold-Shard-Key: {key}\r\n'
        answer = await pool.ask(f'{head}\r\n'.encode(), ASK_MS)
        pool.close()
        return answer.status, answer.body

    async def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Send a GET to an address of a node itself."""
        pool = ClientPool(address, BootClock().now)
        head = f'GET {path} HTTP/1.1\r\nHost: n\r\n\r\n'
        answer = await pool.ask(head.encode(), ASK_MS)
        pool.close()
        return answer.status, answer.body


class TestMesh(MeshCase):
    """Requests through the mesh."""

    async def test_each_key_has_one_owner_from_everywhere(self) -> None:
        """All nodes return the answer of the one target that holds a key."""
        number = 0
        for key in (0, 20_000, 40_000, 65_535):
            found = set()
            for host in self.hosts:
                number += 1
                found.add(await self.ask(host, '/desk/x', number, key))
            self.assertEqual(len(found), 1)
            self.assertEqual(found.pop()[0], 200)
        media = await self.ask(self.hosts[0], '/media/x', 99)
        self.assertEqual(media, (200, b't-three'))

    async def test_table_from_a_peer_ends_missing_state(self) -> None:
        """A node that found no table in the store reads it again after this."""
        for host in self.hosts[:2]:
            tables = host.node.tables
            tables._missing.add(ServiceName('desk'))
            table = tables.tables.pop(ServiceName('desk'))
            self.assertTrue(tables.learn(table))
            self.assertFalse(tables.is_missing(ServiceName('desk')))

    async def test_unknown_route_and_bad_key(self) -> None:
        """An unknown route is answered 404, a bad or missing key 400."""
        host = self.hosts[0]
        self.assertEqual((await self.ask(host, '/none/', 1))[0], 404)
        self.assertEqual((await self.ask(host, '/desk/x', 2, 99_999))[0], 400)
        self.assertEqual((await self.ask(host, '/desk/x', 3))[0], 400)

    async def test_draining_target_hands_over_its_keys(self) -> None:
        """The other target serves all keys of one that leaves."""
        leaving, staying = self.hosts[0], self.hosts[1]
        leaving.target.state = 'draining'
        await self.until(
            lambda: not leaving.target.rows and self.held_count() == 65_536
        )
        found = await self.ask(leaving, '/desk/x', 1, 0)
        self.assertEqual(found, (200, staying.target.name.encode()))

    async def test_requests_go_on_without_the_store(self) -> None:
        """Requests are served from cached state."""
        self.api.is_unavailable = True
        found = await self.ask(self.hosts[0], '/desk/x', 1, 0)
        self.assertEqual(found[0], 200)

    async def test_newer_configuration_is_in_force(self) -> None:
        """A route that was removed is gone, and does not come back."""
        newer = dict(CONFIG, version=8, virtual_hosts=[])
        self.api.put('config', 'main', newer)
        await self.until(
            lambda: all(host.node.configs.version == 8 for host in self.hosts)
        )
        self.assertEqual((await self.ask(self.hosts[2], '/media/x', 1))[0], 404)
        self.assertFalse(self.hosts[0].node.configs.accept(CONFIG, 'late'))

    async def test_ready_and_metrics(self) -> None:
        """A node reports whether it accepts callers, and its metrics."""
        host = self.hosts[0]
        self.assertEqual((await self.get(host.ready, '/v1/ready'))[0], 200)
        host.node.draining = True
        self.assertEqual((await self.get(host.ready, '/v1/ready'))[0], 503)
        status, body = await self.get(host.metrics, '/metrics')
        self.assertEqual(status, 200)
        self.assertIn(b'savoryhold_mesh_config_version 3', body)

    # A node ended before any other knew that it leaves.
    async def test_others_know_of_a_node_that_has_ended(self) -> None:
        """An idle node announces its leave to the others before it ends."""
        leaving, other = self.hosts[2], self.hosts[0]
        leaving.node._unready_answers = 2
        leaving.node._leave_requested.set()
        await asyncio.wait_for(self.tasks[4], LIMIT_S)
        member = other.node.members.members[NodeId('three')]
        self.assertTrue(member.status.leaving)

    async def test_stopping_node_answers_relayed_requests(self) -> None:
        """A relayed request runs to its end, over real links."""
        leaving, other = self.hosts[2], self.hosts[0]
        leaving.target.work_ms = 300
        asked = asyncio.ensure_future(self.ask(other, '/media/x', 1))
        await self.until(leaving.node.owner.pending_count)
        leaving.node._unready_answers = 2
        leaving.node._leave_requested.set()
        await asyncio.wait_for(self.tasks[4], LIMIT_S)
        self.assertEqual(await asked, (200, b't-three'))


def target_call(target: str, body: bytes) -> HttpRequest:
    """Return a call of a target to its node."""
    return HttpRequest(b'POST', target.encode(), [], body, 0, {})


class TestLeaving(unittest.TestCase):
    """How a stopping node divides its grace period."""

    def test_received_requests_have_time_to_end(self) -> None:
        """A grace period of 4 s left requests 150 ms (soak seed 414)."""
        for grace_ms in (1500, 4000, 6000, 30_000):
            with self.subTest(grace_ms=grace_ms):
                self.assertLessEqual(linger_ms(grace_ms), grace_ms / 2)
        self.assertEqual(linger_ms(6000), 3000)

    # With a grace period of 4 s, runs were cut off earlier than the last sixth,
    # in which a process may end them.
    def test_runs_are_not_cancelled_before_the_last_sixth(self) -> None:
        """Runs may go on for five sixths of the grace period."""
        for grace_ms in (1500, 4000, 6000, 30_000):
            with self.subTest(grace_ms=grace_ms):
                end = grace_ms * 5 / 6
                self.assertGreaterEqual(last_answer_ms(grace_ms), end)
                self.assertLess(last_answer_ms(grace_ms), leave_ms(grace_ms))
                self.assertLess(leave_ms(grace_ms), grace_ms)


def run_program(program: str) -> 'subprocess.CompletedProcess[bytes]':
    """Run a Python program as a process at the repository's root."""
    return subprocess.run(
        [sys.executable, '-c', program],
        cwd=pathlib.Path(__file__).parents[4],
        env={},
        check=False,
        capture_output=True,
    )


class TestStart(unittest.TestCase):
    """Signals that arrive before a node handles them."""

    def test_reload_during_start_is_ignored(self) -> None:
        """SIGHUP ended a process that was still importing (soak seed 706)."""
        program = (
            'import runpy, signal, sys\n'
            'sys.path.insert(0, "platform")\n'
            'try:\n'
            '    runpy.run_path("platform/run.py", run_name="__main__")\n'
            'except SystemExit:\n'
            '    kept = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n'
            '    sys.exit(0 if kept else 1)\n'
        )
        found = run_program(program)
        self.assertEqual(found.returncode, 0, found.stderr)


class TestEnd(unittest.TestCase):
    """Signals that arrive after a node has stopped."""

    # A SIGHUP just before the exit set the exit status of the process.
    def test_late_signals_do_not_change_the_exit_status(self) -> None:
        """Signals are blocked once the interpreter no longer handles them."""
        program = (
            'import asyncio, os, signal, sys, types\n'
            'sys.path.insert(0, "platform")\n'
            'import run\n'
            'class Node:\n'
            '    def __init__(self, *parts): pass\n'
            '    async def run(self):\n'
            '        loop = asyncio.get_running_loop()\n'
            '        for signum in (signal.SIGHUP, signal.SIGTERM):\n'
            '            loop.add_signal_handler(signum, print)\n'
            '        return 0\n'
            'run.MeshNode = Node\n'
            'run.PlatformAdapter = run.set_up_logs = lambda *given: None\n'
            'run._load = lambda: types.SimpleNamespace(store="", terms=())\n'
            'class Late:\n'
            '    def __del__(self, kill=os.kill, pid=os.getpid()):\n'
            '        kill(pid, 1)\n'
            'late = Late()\n'
            'status = run.main()\n'
            'sys.exit(status)\n'
        )
        found = run_program(program)
        self.assertEqual(found.returncode, 0, found.stderr)


class TestDecode(unittest.TestCase):
    """Decoding of the platform's messages."""

    def test_report(self) -> None:
        """A report names the target's incarnation, its rows and its state."""
        found = decode_call(target_call(REPORT_PATH, GOOD_REPORT))
        assert isinstance(found, TargetReport)
        self.assertEqual(found.keys.life.target, 'i-1')
        self.assertEqual(found.keys.held[0].fence, 1024)
        self.assertEqual(found.keys.released[0].token, 't')

    def test_leave(self) -> None:
        """A leave names its target, and its incarnation if that is valid."""
        path = '/v1/rpc?call=instances.leave&of=i-1'
        for body, born in (
            (b'', None),
            (b'{"born":7}', 7),
            (b'{"born":"x"}', None),
            (b'[7]', None),
        ):
            with self.subTest(body=body):
                found = decode_call(target_call(path, body))
                self.assertEqual(found, TargetLeave('i-1', born))

    def test_invalid_reports_are_rejected(self) -> None:
        """Missing fields, wrong types and invalid JSON decode to None."""
        for old, new in (
            (b'"ready"', b'"odd"'),
            (b'"seq":4', b'"seq":"4"'),
            (b'"slots":6', b'"slots":0'),
            (b'"slots":6', b'"slots":true'),
            (b'[[0,9,1024]]', b'[[9,0,1024]]'),
            (b'[[0,9,1024]]', b'[[0,70000,1]]'),
            (b'"born":7', b'"born":"x"'),
            (b'"10.0.0.1:80"', b'7'),
            (b'}', b''),
        ):
            with self.subTest(new=new):
                body = GOOD_REPORT.replace(old, new)
                self.assertIsNone(decode_call(target_call(REPORT_PATH, body)))

    def test_configuration_with_a_missing_field(self) -> None:
        """A missing field is a configuration error."""
        with self.assertRaises(ConfigurationError):
            decode_config({'version': 1, 'services': []})

    def test_empty_grants_and_no_grants(self) -> None:
        """An empty list revokes all keys; no list changes nothing."""
        self.assertEqual(encode_reply(None), b'{}')
        self.assertEqual(
            encode_reply(GrantReply((), 3000)), b'{"holds":[],"hold_ms":3000}'
        )


class TestTemplate(unittest.TestCase):
    """The template of settings that the platform fills in."""

    # A grace period of 4.5 s was read as 4 ms, so all requests were cut off.
    def test_bounds_may_be_fractions(self) -> None:
        """Seconds in any notation are converted to ms."""
        path = pathlib.Path(__file__).parents[4] / 'deploy' / 'settings.toml'
        template = path.read_text(encoding='utf-8')
        # Sections, which stand for bounds that a deployment may lack.
        template = re.sub('{{[#/].+}}\n', '', template)
        template = template.replace('{{contracts|json}}', '["base"]')
        for seconds in ('6', '6.0', '4.5'):
            with self.subTest(seconds=seconds):
                text = re.sub(
                    '{{bounds.[a-z_]+_s}}',
                    seconds,
                    re.sub('{{.+[|]json}}', '"10.0.0.1:80"', template),
                )
                text = re.sub('"{{.*}}"', '"10.0.0.1:80"', text)
                settings = parse_mesh_settings(re.sub('{{.+}}', '7', text))
                wanted = float(seconds) * 1000
                self.assertEqual(settings.grace_ms, wanted)
                self.assertEqual(settings.retry_window_ms, wanted)
