"""Reports of another writer at the address for the local target's reports."""

import asyncio
import contextlib
import json
import pathlib
import sys
import unittest
from functools import partial
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.reports import ReportHandler
from savoryhold.mesh.tests.fleet import LoopClock, mesh_settings
from savoryhold.mesh.tests.test_platform import CONFIG, Host, MeshCase
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.wire import ClientPool, HeaderNames, HttpRequest

sys.path.insert(0, str(pathlib.Path(__file__).parents[4] / 'platform'))

from adapter import PlatformAdapter  # noqa: E402
from decode import decode_call  # noqa: E402
from names import HEARTBEAT_CALL, LEAVE_CALL, RPC_PATH  # noqa: E402

NODE = NodeId('n0')
SERVICE = 'desk'
TARGET_ADDRESS = '127.0.0.1:80'
ANSWER_MS = 300
LIMIT_S = 10
LATER = 2**41  # ms, after the start of any target here
ODD_TEXTS: tuple[Any, ...] = (
    7,
    None,
    True,
    [],
    {},
    '',
    'a' * 18_000,
    'a\nb',
    'a\0',
    '\ud800',
    '\x7f',
    '\u2028',
)


def heartbeat(
    service: Any = SERVICE, address: str = TARGET_ADDRESS, **extra: Any
) -> dict[str, Any]:
    """Return the fields of a report."""
    return {
        'address': address,
        'born': 1,
        'info': {'service': service, 'slots': 4, **extra},
        'status': {'state': 'ready', 'seq': 1},
    }


def call(
    fields: dict[str, Any], target: str = 't', name: str = HEARTBEAT_CALL
) -> HttpRequest:
    """Return a call of a target."""
    path = f'{RPC_PATH}?call={name}&of={target}'.encode()
    body = json.dumps(fields).encode()
    return HttpRequest(b'POST', path, [], body, 0, {})


class TestDecoding(unittest.TestCase):
    """Texts that no log line, header, label or message can carry."""

    # A `service` of any type became a caller service; text that UTF-8 cannot
    # hold made each later log line raise.
    def test_odd_text_makes_a_report_unreadable(self) -> None:
        """Each text of a report is checked where it is decoded."""
        self.assertIsNotNone(decode_call(call(heartbeat(zone='z'))))
        for odd in ODD_TEXTS:
            with self.subTest(odd=ascii(odd)[:40]):
                self.assertIsNone(decode_call(call(heartbeat(odd))))
                if odd != '':
                    found = decode_call(call(heartbeat(zone=odd)))
                    self.assertIsNone(found)
                    fields = heartbeat() | {'released': [[0, 1, odd]]}
                    self.assertIsNone(decode_call(call(fields)))

    # A line end in the id would have begun a header of its own in each request
    # to the target.
    def test_odd_id_names_no_target(self) -> None:
        """The id of a report or leave is checked as well."""
        for odd in ('a%0d%0aX-Odd:%201', 'a%00', 'a' * 18_000, ''):
            for name in (HEARTBEAT_CALL, LEAVE_CALL):
                with self.subTest(odd=odd[:40], name=name):
                    found = decode_call(call(heartbeat(), odd, name))
                    self.assertIsNone(found)


class TestHandling(VirtualTimeCase):
    """Well-formed reports that are not about the local target."""

    async def asyncSetUp(self) -> None:
        """Create a handler of reports with its owner."""
        self.statuses: list[int] = []
        clock, log = LoopClock(), get_log(node=NODE)
        self.owner = OwnerTask(NODE, HeaderNames(), clock, log, 1000, 1000)
        settings = mesh_settings(NODE, SERVICE, target=TARGET_ADDRESS)
        context = SimpleNamespace(
            settings=settings,
            configs=SimpleNamespace(loaded=SimpleNamespace(is_set=lambda: 1)),
            owner=self.owner,
            tables=SimpleNamespace(keyed_services=set),
            clock=clock,
            log=log,
        )
        adapter = PlatformAdapter('127.0.0.1:1', clock.now)
        store = mock.AsyncMock()
        store.read.return_value = None
        departures = Departures(NODE, store, log)
        departures.loaded.set()
        self.handler = ReportHandler(
            adapter, cast(Any, context), cast(Any, 0), departures
        )

    def handle(self, fields: dict[str, Any], target: str = 't') -> int:
        """Pass a report to the handler; return the status of the answer."""
        exchange = SimpleNamespace(
            req=call(fields, target),
            reply=lambda status, *rest: self.statuses.append(status),
        )
        self.handler.handle(cast(Any, exchange))
        return self.statuses[-1]

    # A report of another service replaced the local target, and its keys were
    # handed over while it still held them.
    async def test_report_about_another_target_is_refused(self) -> None:
        """It changes neither the target nor its address."""
        self.assertEqual(self.handle(heartbeat()), 200)
        known = self.owner.target.report
        odd = (
            heartbeat('files'),
            heartbeat('DESK'),
            heartbeat(7),
            heartbeat(address='127.0.0.1:9'),
        )
        for fields in odd:
            with self.subTest(fields=fields):
                self.assertEqual(self.handle(fields, 'other'), 400)
                self.assertIs(self.owner.target.report, known)
        self.assertEqual(self.handler.refused_count, len(odd))


class TestNode(MeshCase):
    """A whole node that another writer sends odd reports from its start on."""

    # After one of them the node served no further version of the configuration,
    # answered 404 for its routes, and ended with status 1.
    async def test_odd_reports_end_no_task(self) -> None:
        """Each version is put in force, and the node stops as usual."""
        host = self.hosts[0]
        for number, odd in enumerate(ODD_TEXTS):
            fields = heartbeat(odd) | {'born': LATER + number}
            await self.send_report(host.node.settings.reports, fields)
        for version in (8, 9):
            newer = dict(CONFIG, version=version)
            self.api.put('config', 'main', newer)
            await self.until(partial(self.has_version, host, version))
        found = await self.ask(host, '/desk/x', 1, 0)
        self.assertEqual(found[0], 200)
        host.node._unready_answers = 2
        host.node._leave_requested.set()
        self.assertEqual(await asyncio.wait_for(self.tasks[0], LIMIT_S), 0)

    def has_version(self, host: Host, version: int) -> bool:
        """Return whether a version is in force at a node."""
        return host.node.configs.version == version

    async def send_report(self, address: str, fields: dict[str, Any]) -> None:
        """Send a report of another target; its answer may be missing."""
        req = call(fields, 'odd')
        head = (
            f'POST {req.target.decode()} HTTP/1.1\r\nHost: n\r\n'
            f'Content-Length: {len(req.body)}\r\n\r\n'
        )
        pool = ClientPool(address, BootClock().now)
        with contextlib.suppress(TimeoutError):
            await pool.ask(head.encode() + req.body, ANSWER_MS)
        pool.close()
