"""How a confirmed configuration reaches the nodes that do not watch the store.

Nodes answered 404 for routes that had been confirmed over three seconds
before: a pull or a read that fails must not delay a version past the bound
within which it is to be in force.
"""

import asyncio
import copy
import json
import random
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import LinkError, PlatformError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.interface import Listing, StoredObject
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.tests.fleet import mesh_settings
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.peer import PeerPool, messages
from savoryhold.traffic import CallerLimits, MeshConfig

MS_PER_SECOND = 1000
IN_FORCE_S = 2.0  # the operators' bound, from the confirmation on
STORE_TIMEOUT_S = 1.0
ROUND_TRIP_S = 0.02
FAST = 1e9  # bytes a second
NARROW = 40_000  # bytes a second that traffic leaves on a busy link
ROUTES = 1400
SOME_ROUTES = 9000
MANY_ROUTES = 20_000
HOSTS = 20
SILENT_PEERS = 12
STORM_VERSIONS = range(3, 28)
STORM_GAP_S = 0.11
MANY_VERSIONS = range(3, 60)


def make_spec(version: int, routes: int = 3) -> dict[str, Any]:
    """Return a stored configuration; each version adds one route."""
    hosts: list[dict[str, Any]] = [
        {'host': f'host-{number}.example', 'paths': []}
        for number in range(HOSTS)
    ]
    for number in range(routes + version):
        path = {
            'name': f'route-{number}',
            # Random names do not compress as numbers would.
            'path_prefix': f'/{random.Random(number).getrandbits(40):x}/',
            'timeout_ms': 1000 + number,
        }
        hosts[number % HOSTS]['paths'].append(path)
    return {'version': version, 'virtual_hosts': hosts}


class StubStore:
    """The adapter of one node: a store that answers, or does not."""

    def __init__(self) -> None:
        self.version = 1
        self.routes = 3
        self.is_silent = False
        self.reads = 0
        self.watch_cut = asyncio.Event()

    async def list_config(self) -> Listing:
        """Return the stored configuration."""
        self.reads += 1
        if self.is_silent:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise PlatformError('no answer in time')
        await asyncio.sleep(ROUND_TRIP_S)
        return Listing(self.version, (self._stored(),))

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Wait until the test cuts the watch off."""
        await self.watch_cut.wait()
        self.watch_cut.clear()
        raise PlatformError('the connection was reset')

    def decode_config(self, spec: Any) -> MeshConfig:
        """Decode a stored configuration."""
        return MeshConfig(spec['version'], (), (), CallerLimits())

    def _stored(self) -> StoredObject:
        spec = make_spec(self.version, self.routes)
        return StoredObject('main', Version(self.version), spec)


class StubLinks:
    """Replaces the pool of links of one node.

    Replies take as long as their bytes need at the rate of the peer's path;
    a path with the rate 0 loses them.
    """

    def __init__(self) -> None:
        self.peers: dict[str, 'StubNode'] = {}
        self.rates: dict[str, float] = {}
        self.calls: list[str] = []

    def send_now(self, address: str, message: messages.Message) -> bool:
        """Have the node open a call instead."""
        return False

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Call a peer."""
        self.calls.append(address)
        rate = self.rates.get(address, FAST)
        reply = self.peers[address].peers._answer(message)
        took_s = ROUND_TRIP_S
        if rate:
            took_s += len(messages.encode(reply)) / rate
        if not rate or took_s * MS_PER_SECOND > timeout_ms:
            await asyncio.sleep(timeout_ms / MS_PER_SECOND)
            raise LinkError('no reply in time', sent=True)
        await asyncio.sleep(took_s)
        return reply


class StubNode:
    """The configuration and the peer task of one node."""

    def __init__(self, name: str) -> None:
        clock, log = LoopClock(), get_log(node=name)
        self.name = name
        self.store = StubStore()
        self.links = StubLinks()
        self.members = MemberTable(NodeId(name), Region('r'))
        pool = cast(PeerPool, self.links)
        self.configs = ConfigTask(cast(Any, self.store), pool, clock, log)
        self.configs.should_watch = bool
        self.peers = PeerTask(
            NodeContext(
                mesh_settings(name, 's', advertised=name),
                self.members,
                cast(Any, mock.Mock()),
                cast(Any, SimpleNamespace(tables={})),
                self.configs,
                pool,
                clock,
                log,
            )
        )

    def put_in_force(self, version: int) -> None:
        """Put a version in force, as if it had come from the store."""
        self.configs.accept(make_spec(version, self.store.routes), 'test')

    def hear(self, peer: 'StubNode', *, leaving: bool = False) -> None:
        """Receive the status of a peer."""
        self.peers._receive_update(
            messages.MeshStatus(
                node=peer.name,
                address=peer.name,
                service_name='s',
                zone='z',
                region='r',
                leaving=leaving,
                life=1,
                config_version=peer.configs.version,
            )
        )


class DeliveryCase(VirtualTimeCase):
    """One node that does not watch, and two that do."""

    async def asyncSetUp(self) -> None:
        """Start all with version 1 in force."""
        self.node, self.first, self.second = (
            StubNode(name) for name in ('node', 'first', 'second')
        )
        self.node.links.peers = {
            one.name: one for one in (self.first, self.second)
        }
        self.start(1, routes=3)

    def start(self, version: int, routes: int) -> None:
        """Put a version in force at all nodes, and in the store."""
        for one in (self.node, self.first, self.second):
            one.store.routes = routes
            one.store.version = version
            one.put_in_force(version)

    async def run_node(self) -> None:
        """Run the node's task until the test ends."""
        task = asyncio.create_task(self.node.configs.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(STORE_TIMEOUT_S)

    async def check_in_force(self, version: int) -> None:
        """Check that the node has a version within the bound."""
        await asyncio.sleep(IN_FORCE_S)
        self.assertEqual(self.node.configs.version, version)


class TestFailedPulls(DeliveryCase):
    """Pulls that fail, or bring less than was announced."""

    # Announcements were dropped while a pull from a silent peer, and the read
    # of the store that followed it, took their time.
    async def test_other_announcer_is_asked_if_the_first_is_silent(
        self,
    ) -> None:
        """The second announcer has the version as well."""
        await self.run_node()
        self.node.store.is_silent = True
        self.node.links.rates['first'] = 0
        for peer in (self.first, self.second):
            peer.put_in_force(2)
            self.node.hear(peer)
            await asyncio.sleep(ROUND_TRIP_S)
        await self.check_in_force(2)

    # A version that was announced during a pull of an older one came only
    # with the next status.
    async def test_version_announced_during_a_pull_is_fetched(self) -> None:
        """The pull brings version 2, version 3 is already confirmed."""
        await self.run_node()
        self.first.put_in_force(2)
        self.node.hear(self.first)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        self.second.put_in_force(3)
        self.node.hear(self.second)
        await self.check_in_force(3)

    # After a pull and a read that both failed, nothing was tried again.
    async def test_failed_round_is_repeated(self) -> None:
        """The path and the store recover after one second."""
        await self.run_node()
        self.node.store.version = 2
        self.node.store.is_silent = True
        self.node.links.rates['first'] = 0
        self.first.put_in_force(2)
        self.node.hear(self.first)
        await asyncio.sleep(STORE_TIMEOUT_S)
        self.node.links.rates['first'] = FAST
        self.node.store.is_silent = False
        await self.check_in_force(2)


class TestSilentPeers(DeliveryCase):
    """Peers that are heard and do not answer, as on a path cut one way."""

    # Silent peers took all attempts at once, and the store was not read.
    async def test_store_is_read_while_all_announcers_are_silent(
        self,
    ) -> None:
        """However many announce the version."""
        await self.run_node()
        self.node.store.version = 2
        for number in range(SILENT_PEERS):
            peer = StubNode(f'silent-{number}')
            self.node.links.peers[peer.name] = peer
            self.node.links.rates[peer.name] = 0
            peer.put_in_force(2)
            self.node.hear(peer)
        await self.check_in_force(2)


class TestLargeConfiguration(DeliveryCase):
    """Versions of a large configuration over a busy link."""

    # The whole configuration was sent for each version, and no pull of it
    # ended in time on a link that was busy.
    async def test_versions_in_quick_succession_over_a_narrow_link(
        self,
    ) -> None:
        """The last of 25 versions is in force within the bound."""
        self.start(2, ROUTES)
        await self.run_node()
        self.node.store.is_silent = True
        for peer in (self.first, self.second):
            self.node.links.rates[peer.name] = NARROW
        for version in STORM_VERSIONS:
            for peer in (self.first, self.second):
                peer.put_in_force(version)
                self.node.hear(peer)
            await asyncio.sleep(STORM_GAP_S)
        await self.check_in_force(STORM_VERSIONS[-1])

    # A configuration above 1 MiB, or differences that expand to more, could
    # not be unpacked: it came from the store, or not at all.
    async def test_configuration_of_the_largest_size(self) -> None:
        """A node that has just started fetches all of it from a peer."""
        for one in (self.first, self.second):
            one.store.routes = MANY_ROUTES
            one.put_in_force(2)
        self.assertGreater(len(json.dumps(self.first.configs._spec)), 2**20)
        self.node = StubNode('node')
        self.node.links.peers = {self.first.name: self.first}
        self.node.store.is_silent = True
        await self.run_node()
        self.node.hear(self.first)
        await self.check_in_force(2)

    async def test_differences_that_expand_to_more_than_the_whole(self) -> None:
        """Versions that each change many routes are fetched all the same."""
        self.start(2, SOME_ROUTES)
        await self.run_node()
        self.node.store.is_silent = True
        spec = make_spec(2, SOME_ROUTES)
        for version in MANY_VERSIONS:
            spec = copy.deepcopy(spec)
            spec['version'] = version
            for host in spec['virtual_hosts']:
                for path in host['paths'][: ROUTES // HOSTS]:
                    path['timeout_ms'] = version
            self.first.configs.accept(spec, 'test')
        self.node.hear(self.first)
        await self.check_in_force(MANY_VERSIONS[-1])


class TestPushes(DeliveryCase):
    """Differences that the watching nodes send to all."""

    async def push(self, version: int) -> None:
        """Put a version in force at the first peer and push it."""
        self.first.put_in_force(version)
        update = self.first.configs.push_message()
        assert update is not None
        call = SimpleNamespace(peer='first', link=mock.Mock())
        await self.node.peers.handle(cast(Any, call), update)

    async def test_difference_from_the_version_in_force_is_applied(
        self,
    ) -> None:
        """Nothing is fetched."""
        await self.run_node()
        await self.push(2)
        self.assertEqual(self.node.configs.version, 2)
        self.assertEqual(
            self.node.configs._spec, make_spec(2, self.node.store.routes)
        )
        self.assertEqual(self.node.links.calls, [])

    async def test_difference_from_another_version_is_an_announcement(
        self,
    ) -> None:
        """The node fetches what it lacks, from the node that sent it."""
        await self.run_node()
        self.first.put_in_force(2)
        self.node.hear(self.first)
        self.node.links.rates['first'] = 0
        await asyncio.sleep(ROUND_TRIP_S)
        self.node.links.rates['first'] = FAST
        self.node.store.version = 3
        await self.push(3)
        self.assertEqual(self.node.configs.version, 1)
        await self.check_in_force(3)

    async def test_late_difference_changes_nothing(self) -> None:
        """A version never decreases."""
        await self.run_node()
        self.first.put_in_force(2)
        late = self.first.configs.push_message()
        self.node.store.version = 3
        await self.push(3)
        await self.check_in_force(3)
        self.assertFalse(self.node.configs.apply_update(cast(Any, late), 'f'))
        self.assertEqual(self.node.configs.version, 3)

    async def test_large_difference_is_only_announced(self) -> None:
        """Each node would receive it several times."""
        self.first.store.routes = ROUTES
        self.first.put_in_force(2)
        self.assertIsNone(self.first.configs.push_message())


class TestSources(DeliveryCase):
    """Which nodes announce a version."""

    # A version that only leaving nodes had announced was not fetched at all.
    async def test_version_of_a_leaving_node_is_read_from_the_store(
        self,
    ) -> None:
        """Nothing is fetched from the leaving node itself."""
        await self.run_node()
        self.first.put_in_force(2)
        self.node.store.version = 2
        self.node.hear(self.first, leaving=True)
        await self.check_in_force(2)
        self.assertEqual(self.node.links.calls, [])

    # Both watching nodes of a region were leaving, and none took their place.
    async def test_leaving_nodes_do_not_watch_for_others(self) -> None:
        """A node watches in place of those that leave."""
        for name in ('a', 'b'):
            self.node.members.learn(make_status(name), 100)
        self.assertFalse(self.node.members.is_among_first(2, 100))
        self.node.members.learn(make_status('b', leaving=True), 100)
        self.assertTrue(self.node.members.is_among_first(2, 100))

    # A watch that was cut off once was renewed only after one to three seconds.
    async def test_watch_that_was_cut_off_is_renewed_at_once(self) -> None:
        """The version that came meanwhile is in force within the bound."""
        self.node.configs.should_watch = lambda: True
        self.node.configs.peers_reach_store = lambda: True
        with mock.patch('random.random', return_value=1.0):
            await self.run_node()
            self.node.store.version = 2
            self.node.store.watch_cut.set()
            await self.check_in_force(2)


def make_status(name: str, *, leaving: bool = False) -> NodeStatus:
    """Return the status of a node of the same region."""
    return NodeStatus(
        node=NodeId(name),
        address=name,
        service=ServiceName('s'),
        zone=Zone('z'),
        region=Region('r'),
        slots=1,
        wait_ms=0,
        demand=0,
        keys=0,
        ready=True,
        leaving=leaving,
        life=1,
        silent=frozenset(),
    )
