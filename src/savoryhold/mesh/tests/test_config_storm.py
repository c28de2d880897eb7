"""Configurations in quick succession, and a store that turns nodes away.

Pattern: 25 versions within two seconds, each of some 35 kB, on narrow links.
Each watching node took all of them, and each other node fetched most from a
peer; the link between regions was full for seconds.
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


class StormyStore:
    """A store whose watch brings one more version each time."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.away = False
        self.version = 1

    async def read_config(self) -> StoredObject | None:
        """Return the present version."""
        self.calls['read'] += 1
        if self.away:
            raise PlatformError('turned away')
        return self._stored()

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Return a change at once until all were made."""
        self.calls['watch'] += 1
        if self.version >= VERSIONS:
            await asyncio.sleep(wait_ms / 1000)
        self.version += 1
        return Listing(self.version, (self._stored(),))

    def decode_config(self, spec: Any) -> MeshConfig:
        """Read what is stored."""
        return MeshConfig(spec['version'], (), (), CallerLimits())

    def _stored(self) -> StoredObject:
        spec = {'version': self.version, 'routes': ROUTES}
        return StoredObject('main', Version(self.version), spec)


def task_of(store: StormyStore) -> ConfigTask:
    """Return a task that follows a store."""
    pool = PeerPool('n', b's', lambda call, message: asyncio.sleep(0))
    clock = BootClock()
    adapter: Any = store
    return ConfigTask(adapter, pool, clock, get_log(node='n'))


class TestStorm(unittest.IsolatedAsyncioTestCase):
    """What a node asks of the store and of its peers."""

    async def test_versions_that_follow_each_other_are_read_once(self) -> None:
        """After a second change at once, the store is asked at a pace."""
        store = StormyStore()
        task = task_of(store)
        told: list[int] = []
        task.on_change = lambda: told.append(task.version)
        work = asyncio.create_task(task.run())
        await asyncio.sleep(1.0)
        work.cancel()
        self.assertLessEqual(sum(store.calls.values()), 15)
        self.assertEqual(told, sorted(told))

    async def test_news_are_small(self) -> None:
        """A version goes to a peer compressed, and is read there."""
        store = StormyStore()
        task, other = task_of(store), task_of(store)
        task.accept(store._stored().spec, 'store')
        news = task.news()
        self.assertLess(len(news.text), 1000)
        self.assertTrue(other.apply_update(news, 'peer'))
        self.assertEqual(other.version, 1)

    async def test_a_node_that_is_turned_away_asks_rarely(self) -> None:
        """Others tell it of changes, so that its calls help nobody."""
        store = StormyStore()
        store.away = True
        task = task_of(store)
        task.peers_reach_store = lambda: True
        work = asyncio.create_task(task.run())
        await asyncio.sleep(0.9)
        work.cancel()
        self.assertEqual(store.calls['read'], 1)


class TestPull(unittest.IsolatedAsyncioTestCase):
    """How a node that does not watch gets a version that others have."""

    # A node went on asking peers that it did not reach, for 4.7 s.
    async def test_version_is_read_where_no_peer_brings_it(self) -> None:
        """The store is asked once as the peer cannot be reached."""
        store = StormyStore()
        task = task_of(store)
        await task.pull('127.0.0.1:1')
        self.assertEqual(task.version, 1)
        self.assertEqual(store.calls['read'], 1)

    async def test_a_store_that_is_away_as_well_is_borne(self) -> None:
        """The next status of a peer asks again."""
        store = StormyStore()
        store.away = True
        task = task_of(store)
        await task.pull('127.0.0.1:1')
        self.assertEqual(task.version, 0)


class TestWatchers(unittest.TestCase):
    """Which nodes watch for all of a region."""

    def table(self, lost: set[str]) -> MemberTable:
        """Return what the fifth of six nodes knows."""
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
        """The fifth relies on the first."""
        self.assertFalse(self.table(set()).is_among_first(2, 100))
        self.assertTrue(self.table(set()).is_among_first(5, 100))

    def test_nodes_that_are_turned_away_are_passed_over(self) -> None:
        """The next ones watch in their place, but not all."""
        self.assertTrue(self.table({'n0', 'n1', 'n2'}).is_among_first(3, 100))
        lost = {'n0', 'n1', 'n2', 'n3'}
        self.assertFalse(self.table(lost).is_among_first(2, 100))
