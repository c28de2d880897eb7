"""End-to-end tests with real processes: daemons, targets and the store."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import unittest
from typing import Any

import aiohttp

from savoryhold import declare
from savoryhold.cli.apply import (
    ChangeConflictError,
    apply_service,
    read_current,
)
from savoryhold.store import PlatformClient
from savoryhold.standins.fleet import (
    Fleet,
    Host,
    HostPlan,
    PortReservation,
)

__all__ = ['TestEndToEnd']

SHARDS = 12
TRIES = 200
PAUSE_S = 0.1
MAX_BODY = 4096
EXIT_CONFLICT = 3
EXIT_USAGE = 2


def booking(timeout_ms: int = 10_000) -> declare.Service:
    """Return the service under test."""
    service = declare.keyed_service(
        'booking',
        key=declare.key_in_path('/patients/{key}/**'),
        shards=SHARDS,
        timeout_ms=timeout_ms,
        max_body_bytes=MAX_BODY,
    )
    return service.route(
        'POST', '/patients/{key}/bookings', idempotent=False, runs='short'
    )


def media() -> declare.Service:
    """Return an unkeyed service that no target serves."""
    return declare.unkeyed_service('media', timeout_ms=300)


class TestEndToEnd(unittest.IsolatedAsyncioTestCase):
    """Three hosts in two zones."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and apply the configuration of both services."""
        cls.fleet = Fleet(
            [
                HostPlan(f'host-{num}', 'sofia', f'sofia-{num % 2}', 'booking')
                for num in range(3)
            ],
            {'leave_ms': 20_000},
        )
        cls.fleet.start()
        asyncio.run(cls._bring_up())

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop all processes."""
        cls.fleet.stop()

    @classmethod
    async def _bring_up(cls) -> None:
        async with aiohttp.ClientSession() as session:
            await cls.fleet.wait_store(session)
            platform = PlatformClient(cls.fleet.platform_url, session)
            for service in (booking(), media()):
                base = await read_current(platform, service.name)
                await apply_service(platform, service.config, 'first', base)
            await cls.fleet.wait_ready(session, {'booking': SHARDS})

    async def asyncSetUp(self) -> None:
        """Open a session."""
        self.session = aiohttp.ClientSession()
        self.platform = PlatformClient(self.fleet.platform_url, self.session)

    async def asyncTearDown(self) -> None:
        """Close the session."""
        await self.session.close()

    async def send(
        self, host: Host, method: str, path: str, **options: Any
    ) -> tuple[int, str, bytes]:
        """Send a request; return status, verdict and body."""
        url = f'{host.caller_url}{path}'
        async with self.session.request(method, url, **options) as answer:
            body = await answer.read()
            verdict = answer.headers.get('X-Savoryhold-Verdict', '')
            return answer.status, verdict, body

    async def test_any_daemon_reaches_the_owner(self) -> None:
        """Requests for a key reach its owner from every daemon.

        A shard may move to another host between two requests, under a
        higher epoch.  So each epoch of a shard belongs to one host, and its
        epochs never decrease.
        """
        for patient in ('p1', 'p2', 'p3', 'p4'):
            for host in self.fleet.hosts:
                found = await self.send(
                    host, 'GET', f'/booking/patients/{patient}/slots'
                )
                self.assertEqual(found[:2], (200, 'done'))
        owners: dict[str, str] = {}
        newest: dict[str, int] = {}
        runs = sorted(self.fleet.journal(), key=lambda line: line.start_ms)
        for line in runs:
            self.assertEqual(
                owners.setdefault(line.fence, line.host), line.host
            )
            shard, _, epoch = line.fence.partition('=')
            self.assertGreaterEqual(int(epoch), newest.get(shard, 0))
            newest[shard] = int(epoch)
        self.assertGreaterEqual(len(runs), 4 * len(self.fleet.hosts))

    async def test_same_id_runs_once(self) -> None:
        """An order repeated through each daemon runs once."""
        headers = {'Idempotency-Key': 'order-1'}
        path = '/booking/patients/p9/bookings'
        answers = [
            await self.send(host, 'POST', path, headers=headers)
            for host in (*self.fleet.hosts, *self.fleet.hosts)
        ]
        self.assertEqual(len(set(answers)), 1)
        self.assertEqual(answers[0][:2], (200, 'done'))
        runs = [
            line
            for line in self.fleet.journal()
            if line.request_id == 'order-1'
        ]
        self.assertEqual(len(runs), 1)

    async def test_bad_requests_are_refused(self) -> None:
        """A bad request is refused as not run, with the reason."""
        host = self.fleet.hosts[0]
        big = b'x' * (MAX_BODY + 1)
        good = '/booking/patients/p1/slots'
        cases: tuple[tuple[str, str, dict[str, Any], int, bytes], ...]
        cases = (
            ('GET', '/nothing/x', {}, 404, b'nothing'),
            ('GET', '/', {}, 404, b'not configured'),
            ('GET', '/booking/doctors/1', {}, 400, b'patients/{key}'),
            ('POST', good, {'data': big}, 413, b'body'),
            (
                'GET',
                good,
                {'headers': {'X-Savoryhold-Timeout-Ms': 'soon'}},
                400,
                b'X-Savoryhold-Timeout-Ms',
            ),
            (
                'GET',
                good,
                {'headers': {'Idempotency-Key': 'a b'}},
                400,
                b'Idempotency-Key',
            ),
            (
                'GET',
                good,
                {'headers': {f'X-{num}': 'x' * 300 for num in range(64)}},
                413,
                b'headers',
            ),
            ('GET', '/media/videos/7', {}, 503, b'media'),
        )
        for method, path, options, status, words in cases:
            with self.subTest(path=path, status=status):
                found = await self.send(host, method, path, **options)
                self.assertEqual(found[:2], (status, 'not-run'))
                self.assertIn(words, found[2])

    async def test_large_answer_arrives_whole(self) -> None:
        """An answer of many chunks passes a peer link complete."""
        size = 3_000_001
        for host in self.fleet.hosts:
            status, verdict, body = await self.send(
                host, 'GET', f'/booking/patients/p5/archive?bytes={size}'
            )
            self.assertEqual((status, verdict, len(body)), (200, 'done', size))

    async def test_half_an_answer_is_not_taken_for_the_whole(self) -> None:
        """An answer that its target breaks off ends in an error.

        The caller of a lookup gets a broken connection, that of an order
        504, because the order may have run.
        """
        for host in self.fleet.hosts:
            path = '/booking/patients/p6/archive?bytes=900000&cut=1'
            with self.assertRaises(aiohttp.ClientError):
                await self.send(host, 'GET', path)
        path = '/booking/patients/p6/bookings?bytes=40000&cut=1'
        found = await self.send(self.fleet.hosts[0], 'POST', path)
        self.assertEqual(found[:2], (504, 'may-have-run'))

    async def test_garbage_on_the_peer_port_is_logged_once(self) -> None:
        """Bytes that are no frame close their connection only."""
        host = self.fleet.hosts[0]
        for _ in range(3):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', host.peers
            )
            writer.write(b'\xff' * 64)
            try:
                await reader.read()
            except ConnectionResetError:
                pass
            writer.close()
        self.assertEqual(host.log.read_text().count('event=peer_refused'), 1)
        found = await self.send(host, 'GET', '/booking/patients/p1/slots')
        self.assertEqual(found[:2], (200, 'done'))

    async def test_address_in_use_is_named(self) -> None:
        """A port in use ends the daemon with an error that names it.

        It was logged as a failed task, and the daemon exited with 0.
        """
        host = self.fleet.hosts[0]
        for field, address in (
            ('listen.peers', host.peers),
            ('listen.callers', host.callers),
            ('listen.admin', host.admin),
        ):
            with self.subTest(field=field):
                done = await asyncio.to_thread(
                    self.start_with_port_in_use, host, field, address
                )
                self.assertEqual(done.returncode, EXIT_USAGE)
                self.assertIn(f'{field}: 127.0.0.1:{address}: ', done.stderr)
                self.assertIn('in use', done.stderr)

    def start_with_port_in_use(
        self, host: Host, field: str, taken: int
    ) -> subprocess.CompletedProcess[str]:
        """Start a second daemon that has one port of a running one."""
        text = host.settings.read_text()
        free = PortReservation(3)
        for port, other in zip(
            (host.peers, host.callers, host.admin), free.ports, strict=True
        ):
            if port != taken:
                text = text.replace(f':{port}"', f':{other}"')
        settings = self.fleet.folder / 'beside.toml'
        settings.write_text(text)
        try:
            return subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'savoryhold.daemon.main',
                    f'--settings={settings}',
                ],
                capture_output=True,
                text=True,
                check=False,
                timeout=60,
            )
        finally:
            free.release()

    async def test_two_operators_at_once(self) -> None:
        """Of two changes to one revision, one is applied, one is refused."""
        base = await read_current(self.platform, 'booking')
        change = booking(timeout_ms=9000).config
        other = booking(timeout_ms=8000).config
        ended = await asyncio.gather(
            apply_service(self.platform, change, 'one', base),
            apply_service(self.platform, other, 'two', base),
            return_exceptions=True,
        )
        lost = [one for one in ended if isinstance(one, Exception)]
        self.assertEqual(len(lost), 1)
        self.assertIsInstance(lost[0], ChangeConflictError)
        self.assertIn('timeout_ms', str(lost[0]))

    async def test_lost_reply_is_settled(self) -> None:
        """A change whose reply is lost is applied once and confirmed."""
        base = await read_current(self.platform, 'booking')
        change = booking(timeout_ms=7000).config
        await self.fleet.set_fault(self.session, mode='lose-replies')
        try:
            done = await apply_service(self.platform, change, 'lost', base)
        finally:
            await self.fleet.set_fault(self.session, mode='none')
        self.assertEqual(done.revision, base.revision + 1)
        current = await read_current(self.platform, 'booking')
        self.assertEqual(current.revision, base.revision + 1)

    async def test_configuration_survives_a_restart_without_store(
        self,
    ) -> None:
        """A daemon started without the store is configured by its peers."""
        host = self.fleet.hosts[2]
        await self.fleet.set_fault(self.session, mode='down')
        try:
            self.restart(host)
            await self.wait_configured(host)
        finally:
            await self.fleet.set_fault(self.session, mode='none')
        await self.fleet.wait_ready(self.session, {'booking': SHARDS})

    def restart(self, host: Host) -> None:
        """Kill a daemon and start it again."""
        assert host.daemon is not None
        host.daemon.kill()
        host.daemon.wait()
        host.start_daemon()

    async def wait_configured(self, host: Host) -> None:
        """Wait until a daemon has the revisions that the first one has."""
        first = await self.fleet.status(self.session, self.fleet.hosts[0])
        assert first is not None
        found = None
        for _ in range(TRIES):
            found = await self.fleet.status(self.session, host)
            if found is not None and found['revisions'] == first['revisions']:
                return
            await asyncio.sleep(PAUSE_S)
        self.fail(f'{host.plan.name}: {found}')

    async def test_command_line(self) -> None:
        """Each command prints its result and exits with its status code."""
        document = self.fleet.folder / 'test.toml'
        document.write_text(declare.to_toml([booking(6000)]))
        bad = self.fleet.folder / 'bad.toml'
        bad.write_text('format = 1\n[services.x]\nkeyed = 3\n')
        cases = (
            (('check', str(document)), 0, 'booking'),
            (('check', str(bad)), EXIT_USAGE, 'services.x.keyed'),
            (('check', 'missing.toml'), EXIT_USAGE, 'missing.toml'),
            (('diff', str(document)), 1, 'timeout_ms'),
            (('apply', str(document), '--reason=test'), 0, 'accepted'),
            (('apply', str(document), '--reason=test'), 0, 'unchanged'),
            (('diff', str(document)), 0, 'no differences'),
            (('show',), 0, 'services.booking'),
            (('audit',), 0, "reason='test'"),
            (('status',), 0, 'ACTIVE'),
            (('--json', 'status'), 0, '"nodes"'),
            (('owner', 'booking', 'p1'), 0, 'host-'),
            (('owner', 'nothing', 'p1'), 4, 'nothing'),
            (('move', 'booking', '0', 'nobody'), 4, 'nobody'),
        )
        for command, code, words in cases:
            with self.subTest(command=command):
                done = await asyncio.to_thread(self.run_command, command)
                output = done.stdout + done.stderr
                self.assertEqual(done.returncode, code, output)
                self.assertIn(words, output)

    def run_command(
        self, command: tuple[str, ...]
    ) -> subprocess.CompletedProcess[str]:
        """Run the ``savoryhold`` command line with these arguments."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'savoryhold.cli.main',
                f'--platform={self.fleet.platform_url}',
                f'--admin={self.fleet.hosts[0].admin_url}',
                *command,
            ],
            capture_output=True,
            text=True,
            check=False,
            cwd=pathlib.Path.cwd(),
        )

    async def test_graceful_leave(self) -> None:
        """On SIGTERM a daemon hands over all shards and exits with 0."""
        host = self.fleet.hosts[1]
        assert host.daemon is not None
        host.daemon.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(host.daemon.wait, 60)
        self.assertEqual(status, 0)
        self.assertIn('event=left', host.log.read_text())
        for num in range(20):
            found = await self.send(
                self.fleet.hosts[0], 'GET', f'/booking/patients/p{num}/slots'
            )
            self.assertEqual(found[:2], (200, 'done'))
        host.start_daemon()
        await self.fleet.wait_ready(self.session, {'booking': SHARDS})
