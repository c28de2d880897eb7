"""Entries of another writer, among those that a node reads.

One odd entry, very deeply nested, with a number too large or with a port out of
range, must not end its reader, nor hide the other entries.
"""

import json
import pathlib
import sys
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import ConfigurationError, PlatformError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.interface import Listing, StoredObject
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.registration import RegistrationTask
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.tests.fleet import mesh_settings
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.peer import PeerPool, messages
from savoryhold.wire import ClientAnswer, HttpRequest

sys.path.insert(0, str(pathlib.Path(__file__).parents[4] / 'platform'))

from adapter import PlatformAdapter  # noqa: E402
from decode import decode_call, decode_config  # noqa: E402
from names import HEARTBEAT_CALL, LEAVE_CALL, RPC_PATH  # noqa: E402
from objects import ObjectStore  # noqa: E402

DEEP = b'[' * 100_000
DEEP_LIST = '[' * 5000 + '"]"' + ']' * 5000
HUGE = '1e999'
TOO_LONG = str(2**64)
ODD_PORTS = ('99999', '0', '-1', 'x', '', '²')
ODD_HOSTS = ('', 'a' * 300, 'no.such.host', '10.0.0.256')


def heartbeat(**changes: str) -> bytes:
    """Return the body of a report, with some JSON texts replaced."""
    texts = {
        'address': '"10.0.0.1:80"',
        'born': '1',
        'seq': '1',
        'slots': '4',
        'holds': '[]',
        'released': '[]',
    }
    texts.update(changes)
    return (
        f'{{"address":{texts["address"]},"born":{texts["born"]},'
        f'"info":{{"service":"s","slots":{texts["slots"]}}},'
        f'"status":{{"state":"ready","seq":{texts["seq"]}}},'
        f'"holds":{texts["holds"]},"released":{texts["released"]}}}'
    ).encode()


def decode(body: bytes, call: str = HEARTBEAT_CALL) -> Any:
    """Decode a call of a target."""
    target = f'{RPC_PATH}?call={call}&of=t'.encode()
    return decode_call(HttpRequest(b'POST', target, [], body, 0, {}))


class TestReports(VirtualTimeCase):
    """Reports of targets that no node can use."""

    # A deeply nested report raised RecursionError, 1e999 OverflowError.
    async def test_unreadable_report_is_no_report(self) -> None:
        """Decoding returns None, which the handler answers with 400."""
        self.assertIsNotNone(decode(heartbeat()))
        odd = {
            'address': [f'"10.0.0.1:{port}"' for port in ODD_PORTS]
            + [f'"{host}:80"' for host in ODD_HOSTS],
            'born': [HUGE, TOO_LONG, '1.5', '-1'],
            'seq': [HUGE, TOO_LONG, 'true'],
            'slots': [HUGE, TOO_LONG, '0'],
            'holds': [f'[[0,1,{HUGE}]]', f'[[0,{HUGE},1]]', '[[0,1]]', '7'],
            'released': [f'[[0,{HUGE},""]]', f'[[{TOO_LONG},1,""]]'],
        }
        odd['holds'].append(f'[[0,1,{TOO_LONG}]]')
        for field, texts in odd.items():
            for text in texts:
                with self.subTest(field=field, text=text):
                    self.assertIsNone(decode(heartbeat(**{field: text})))
        self.assertIsNone(decode(DEEP))

    async def test_unreadable_leave_names_no_incarnation(self) -> None:
        """The leave itself is certain: the target's id is in the path."""
        for body in (DEEP, b'{"born":1e999}', b'7', b''):
            with self.subTest(body=body[:20]):
                self.assertIsNone(decode(body, LEAVE_CALL).born)

    async def test_unreadable_configuration_is_refused(self) -> None:
        """No other error leaves the decoder."""
        for text in ('{"version":1e999}', f'{{"version":{TOO_LONG}}}', '[]'):
            with self.subTest(text=text):
                with self.assertRaises(ConfigurationError):
                    decode_config(json.loads(text))


def stored(name: str, text: str) -> str:
    """Return the JSON text of a stored object."""
    metadata = f'{{"name":"{name}","revision":3}}'
    return f'{{"metadata":{metadata},"spec":{text}}}'


ODD_ENTRIES = (
    '7',
    'null',
    '{}',
    '{"metadata":7}',
    '{"metadata":{"name":"x","revision":1e999}}',
    '{"metadata":{"name":"x","revision":"x"}}',
    # Such a name ended the nodes that told others of it.
    r'{"metadata":{"name":"\ud800","revision":1},"spec":{}}',
    '{"metadata":{"name":7,"revision":1},"spec":{}}',
    DEEP_LIST,
    f'{{"metadata":{DEEP_LIST}}}',
)


class TestListing(VirtualTimeCase):
    """Listings and changes with an odd entry."""

    async def asyncSetUp(self) -> None:
        """Create a client whose store answers with a given body."""
        self.client = ObjectStore('127.0.0.1:1', BootClock().now)
        self.bodies: list[bytes] = []
        self.client._pool = cast(Any, self)

    async def ask(self, request: bytes, limit_ms: float) -> ClientAnswer:
        """Answer a call of the client."""
        return ClientAnswer(200, [], {}, self.bodies.pop(0))

    # One odd entry hid all others of its kind.
    async def test_odd_entry_hides_no_other(self) -> None:
        """A listing has the entries that can be read."""
        for odd in ODD_ENTRIES:
            with self.subTest(odd=odd[:60]):
                items = f'[{stored("a", "1")},{odd},{stored("b", "2")}]'
                body = f'{{"items":{items},"has_more":false,"at":5}}'
                self.bodies = [body.encode()]
                listing = await self.client.list('k')
                names = [entry.name for entry in listing.objects]
                self.assertEqual(names, ['a', 'b'])
                self.assertEqual(listing.unreadable, 1)

    async def test_page_that_ends_with_an_odd_entry_is_continued(self) -> None:
        """The next page is asked for behind the last name known."""
        pages = (
            (f'[{stored("a", "1")},7]', 'true'),
            (f'[{stored("b", "2")}]', 'false'),
        )
        self.bodies = [
            f'{{"items":{items},"has_more":{more},"at":5}}'.encode()
            for items, more in pages
        ]
        listing = await self.client.list('k')
        self.assertEqual([one.name for one in listing.objects], ['a', 'b'])

    # One odd change ended the task that watches.
    async def test_odd_change_hides_no_other(self) -> None:
        """A watch returns the changes that can be read."""
        for odd in ('7', '{}', *(f'{{"object":{one}}}' for one in ODD_ENTRIES)):
            with self.subTest(odd=odd[:60]):
                good = f'{{"object":{stored("a", "1")}}}'
                gone = f'{{"object":{stored("b", "1")},"deleted":true}}'
                body = f'{{"events":[{odd},{good},{gone}],"at":9}}'
                self.bodies = [body.encode()]
                listing = await self.client.watch('k', 5, 1)
                self.assertEqual([one.name for one in listing.objects], ['a'])
                self.assertEqual(listing.deleted, ('b',))

    # The last change counted as the configuration, whatever its name.
    async def test_other_name_is_not_the_configuration(self) -> None:
        """A watch of the configuration returns its changes only."""
        events = ','.join(
            f'{{"object":{stored(name, "1")}}}' for name in ('main', 'other')
        )
        self.bodies = [f'{{"events":[{events}],"at":9}}'.encode()]
        adapter = PlatformAdapter('127.0.0.1:1', BootClock().now)
        adapter.store = self.client
        listing = await adapter.watch_config(5, 1)
        self.assertEqual([one.name for one in listing.objects], ['main'])

    async def test_unreadable_answer_is_a_failed_call(self) -> None:
        """The caller of the client tries again later."""
        for body in (DEEP, b'7', b'{"items":7}', b'{"items":[],"at":1e999}'):
            with self.subTest(body=body[:20]):
                self.bodies = [body]
                with self.assertRaises(PlatformError):
                    await self.client.list('k')


class TestReaders(VirtualTimeCase):
    """What nodes do with odd entries that they have received."""

    # An address with a port out of range ended the task that dialled it.
    async def test_registered_address_is_checked(self) -> None:
        """The other nodes of the registry are known."""
        good = [('a', '10.0.0.1:80'), ('b', '10.0.0.2:80')]
        bad = [('c', f'10.0.0.3:{port}') for port in ODD_PORTS]
        members = MemberTable(NodeId('n'), Region('r'))
        entries = [
            StoredObject(name, Version(1), {'address': address})
            for name, address in (*bad, *good)
        ]
        entries.extend(
            StoredObject('d', Version(1), odd)
            for odd in (
                7,
                {'address': 7},
                {'address': good[0][1], 'zone': '\ud800'},
                {'address': good[0][1], 'region': ['r']},
            )
        )
        store = mock.AsyncMock()
        store.list.return_value = Listing(1, tuple(entries))
        context = SimpleNamespace(
            settings=None, members=members, log=get_log(node='n')
        )
        task = RegistrationTask(
            cast(Any, context), store, mock.Mock(), mock.Mock()
        )
        await task.read_registry()
        self.assertEqual(members.addresses, dict(good))

    async def test_port_out_of_range_is_a_failed_dial(self) -> None:
        """Whoever calls such an address is told that it is unreachable."""
        pool = PeerPool('n', b's', mock.AsyncMock())
        clock = LoopClock()
        adapter = cast(Any, SimpleNamespace(decode_config=decode_config))
        task = ConfigTask(adapter, pool, clock, get_log(node='n'))
        for port in ODD_PORTS:
            with self.subTest(port=port):
                self.assertIsNone(await task._pull(f'127.0.0.1:{port}'))

    async def test_configuration_is_read_after_an_odd_change(self) -> None:
        """The odd change may have been one of the configuration."""
        spec = {'version': 2, 'virtual_hosts': [], 'services': []}
        adapter = SimpleNamespace(
            decode_config=decode_config,
            watch_config=mock.AsyncMock(return_value=Listing(9, (), (), 1)),
            list_config=mock.AsyncMock(
                return_value=Listing(
                    9, (StoredObject('main', Version(8), spec),)
                )
            ),
        )
        pool = cast(PeerPool, mock.Mock())
        clock, log = LoopClock(), get_log(node='n')
        task = ConfigTask(cast(Any, adapter), pool, clock, log)
        self.assertIsNone(await task._watch(5))
        await task._next_revision(None)
        self.assertEqual(task.version, 2)

    async def test_unreadable_update_changes_nothing(self) -> None:
        """The version in force stays."""
        pool = cast(PeerPool, mock.Mock())
        adapter = cast(Any, SimpleNamespace(decode_config=decode_config))
        task = ConfigTask(adapter, pool, LoopClock(), get_log(node='n'))
        spec = {'version': 1, 'virtual_hosts': [], 'services': []}
        self.assertTrue(task.accept(spec, 'test'))
        for base in (0, 1):
            for text in (DEEP, b'7', b'[[]]', b'[["i",[[1e999,["v",1]]]]]'):
                update = messages.ConfigUpdate(version=2, text=text, base=base)
                with self.subTest(base=base, text=text[:20]):
                    self.assertFalse(task.apply_update(update, 'peer'))
                    self.assertEqual(task.version, 1)

    async def test_unreadable_table_changes_nothing(self) -> None:
        """A stored table, or one of a peer, is refused."""
        settings = mesh_settings('n', 's')
        tables = TableTask(
            settings,
            cast(Any, mock.Mock()),
            MemberTable(NodeId('n'), Region('r')),
            cast(Any, mock.Mock()),
            cast(PeerPool, mock.Mock()),
            LoopClock(),
            get_log(node='n'),
        )
        row = [0, 65_535, 'n', 1, '']
        odd_rows: tuple[Any, ...] = (
            [[0, 65_535, 'n', 2**64, '']],
            [[0, 65_535, 'n', -1, '']],
            [[0, 65_535, 7, 1, '']],
            [[0, 65_535, 'n', 1, 7]],
            [[0, 65_535, 'n', True, '']],
            [7],
            7,
        )
        for rows in odd_rows:
            text = json.dumps(rows).encode()
            update = messages.TableUpdate(
                service_name='s', version=5, rows=text
            )
            with self.subTest(rows=rows):
                tables.apply_update(update)
                spec = {'rows': rows, 'lives': [1e999, 2**80]}
                tables._learn_stored(
                    ServiceName('s'), StoredObject('s', Version(5), spec)
                )
                self.assertEqual(tables.tables, {})
        tables.apply_update(
            messages.TableUpdate(service_name='s', version=5, rows=DEEP)
        )
        self.assertEqual(tables.tables, {})
        spec = {'rows': [row], 'lives': [1e999, 2**80, 'x', 3]}
        tables._learn_stored(
            ServiceName('s'), StoredObject('s', Version(5), spec)
        )
        self.assertEqual(tables.tables[ServiceName('s')].lives, {3})
