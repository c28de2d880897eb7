"""Configurations in quick succession, and a store that rejects calls.

With 25 versions within two seconds, each of some 35 kB, and narrow links,
each watching node read all versions, and each other node fetched most of them
from a peer, which filled the link between regions for seconds.
"""

import asyncio
import unittest
from collections import Counter
from typing import Any

from savoryhold.core.clock import BootClock
from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.interface import Listing, StoredObject
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.peer import PeerPool
from savoryhold.traffic import CallerLimits, MeshConfig

VERSIONS = 25
LIMIT_S = 10
ROUTES = [{'path': f'/route-{number}/'} for number in range(200)]


class StormStore:
    """A store whose watch returns one more version each time."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.rejects_calls = False
        self.version = 1

    async def list_config(self) -> Listing:
        """Return the current version."""
        self.calls['read'] += 1
        if self.rejects_calls:
            raise PlatformError('call rejected')
        return Listing(self.version, (self._stored(),))

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Return a change at once, until there are no more."""
        self.calls['watch'] += 1
        if self.version >= VERSIONS:
            await asyncio.sleep(wait_ms / 1000)
        self.version += 1
        return Listing(self.version, (self._stored(),))

    def decode_config(self, spec: Any) -> MeshConfig:
        """Decode a stored configuration."""
        return MeshConfig(spec['version'], (), (), CallerLimits())

    def _stored(self) -> StoredObject:
        spec = {'version': self.version, 'routes': ROUTES}
        return StoredObject('main', Version(self.version), spec)


def make_task(store: StormStore) -> ConfigTask:
    """Return a configuration task of a store."""
    pool = PeerPool('n', b's', lambda call, message: asyncio.sleep(0))
    clock = BootClock()
    adapter: Any = store
    return ConfigTask(adapter, pool, clock, get_log(node='n'))


class TestStorm(unittest.IsolatedAsyncioTestCase):
    """Calls to the store, and updates to peers, while versions change."""

    async def test_frequent_versions_are_rate_limited(self) -> None:
        """The store is called less often from the second change on."""
        store = StormStore()
        task = make_task(store)
        versions: list[int] = []
        task.on_change = lambda: versions.append(task.version)
        work = asyncio.create_task(task.run())
        await asyncio.sleep(1.0)
        work.cancel()
        self.assertLessEqual(sum(store.calls.values()), 15)
        self.assertEqual(versions, sorted(versions))

    async def test_updates_are_small(self) -> None:
        """A version is sent to a peer compressed, and applied there."""
        store = StormStore()
        task, other = make_task(store), make_task(store)
        task.accept(store._stored().spec, 'store')
        update_message = task.update_message(0)
        self.assertLess(len(update_message.text), 1000)
        self.assertTrue(other.apply_update(update_message, 'peer'))
        self.assertEqual(other.version, 1)

    async def test_rejected_node_backs_off(self) -> None:
        """Peers announce changes, so a node need not call a failing store."""
        store = StormStore()
        store.rejects_calls = True
        task = make_task(store)
        task.peers_reach_store = lambda: True
        work = asyncio.create_task(task.run())
        await asyncio.sleep(0.9)
        work.cancel()
        self.assertEqual(store.calls['read'], 1)


class TestPull(unittest.IsolatedAsyncioTestCase):
    """How a node that does not watch the store gets newer versions."""

    async def hear_of_version(self, store: StormStore) -> ConfigTask:
        """Hear of a version of a peer that cannot be reached."""
        task = make_task(store)
        work = asyncio.create_task(task.follower.run())
        task.follower.on_announced(1, NodeId('gone'), '127.0.0.1:1')
        await asyncio.sleep(0.3)
        work.cancel()
        return task

    # A node went on calling an unreachable peer for 4.7 s.
    async def test_store_is_read_if_the_peer_is_unreachable(self) -> None:
        """The store is read once when the peer cannot be reached."""
        store = StormStore()
        task = await self.hear_of_version(store)
        self.assertEqual(task.version, 1)
        self.assertEqual(store.calls['read'], 1)

    async def test_unavailable_store_is_tolerated(self) -> None:
        """Peer and store are tried again, at a pace."""
        store = StormStore()
        store.rejects_calls = True
        task = await self.hear_of_version(store)
        self.assertEqual(task.version, 0)
        self.assertIn(store.calls['read'], {1, 2})


class TestWatchers(unittest.TestCase):
    """Which nodes of a region watch the store."""

    def table(self, lost: set[str]) -> MemberTable:
        """Return the member table of the fifth of six nodes."""
        table = MemberTable(NodeId('n4'), Region('r'))
        for name in ('n0', 'n1', 'n2', 'n3', 'n5'):
            status = NodeStatus(
                NodeId(name),
                'a',
                ServiceName('s'),
                Zone('z'),
                Region('r'),
                1,
                0,
                0,
                0,
                ready=True,
                leaving=False,
                life=1,
                silent=frozenset(),
                store_lost=name in lost,
            )
            table.learn(status, 100)
        return table

    def test_two_of_a_region(self) -> None:
        """The fifth node is among the first five, not among the first two."""
        self.assertFalse(self.table(set()).is_among_first(2, 100))
        self.assertTrue(self.table(set()).is_among_first(5, 100))

    def test_nodes_that_lost_the_store_are_skipped(self) -> None:
        """The next nodes watch in their place, but not all of them."""
        self.assertTrue(self.table({'n0', 'n1', 'n2'}).is_among_first(3, 100))
        lost = {'n0', 'n1', 'n2', 'n3'}
        self.assertFalse(self.table(lost).is_among_first(2, 100))
