"""Changes of the configuration while watches of the store are lost.

A watch whose answer is lost looks like one without changes.  A change must be
in force at all nodes in time even if all nodes that watch have lost theirs, at
a number of calls to the store that does not grow with the fleet.
"""

import asyncio
import dataclasses
from collections import Counter
from functools import partial
from typing import Any, cast

from savoryhold.core.errors import HistoryLostError, PlatformError
from savoryhold.core.ids import NodeId, Version
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.config_checks import CHECK_MS, ConfigCheckTask
from savoryhold.mesh.interface import Listing, StoredObject
from savoryhold.mesh.tests.fleet_model import FleetModel, ModelNode, SilentLog
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.traffic import CallerLimits, MeshConfig

CALL_S = 1.0
ROUND_TRIP_S = 0.004
WATCHERS = 2  # a region
FIRST_WATCHES_S = 35.0  # until only the chosen nodes watch
CALM_S = 3.0  # after a disturbance, until bounds hold again
IN_FORCE_S = 2.0  # from the confirmation of a change
SILENT_S = 9.0
SETTLE_S = 3.5  # until all nodes have heard of one another
QUIET_S = 20
CALLS_A_CHECK = 1.5  # a node may check just before it hears of another's


class Store:
    """Holds one configuration; its answers to some nodes get lost."""

    def __init__(self) -> None:
        self.version = 1
        self.revision = 100
        self.oldest_revision = 0
        self.calls: Counter[str] = Counter()
        self.silent: set[NodeId] = set()
        self.changed = asyncio.Event()

    def change(self) -> None:
        """Store the next version."""
        self.version += 1
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self) -> Listing:
        """Return what is stored."""
        spec = {'version': self.version}
        stored = StoredObject('main', Version(self.revision), spec)
        return Listing(self.revision, (stored,))


class Door:
    """The store, as one node reaches it."""

    def __init__(self, store: Store, node: NodeId) -> None:
        self.has_lost_connections = False
        self._store = store
        self._node = node

    async def list_config(self) -> Listing:
        """Return the stored configuration."""
        await self._call('list')
        return self._store.listing()

    async def check_config(self, at: int) -> Listing:
        """Return the changes after a revision."""
        await self._call('check')
        return self._changes(at)

    async def watch_config(self, at: int, wait_ms: int) -> Listing:
        """Wait for changes after a revision."""
        await self._call('watch')
        if at >= self._store.revision:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._store.changed.wait()
            except TimeoutError:
                return Listing(self._store.revision, ())
        if self._node in self._store.silent or self.has_lost_connections:
            await asyncio.sleep(wait_ms / 1000 + CALL_S)
            raise PlatformError('no answer')
        return self._changes(at)

    def decode_config(self, spec: Any) -> MeshConfig:
        """Decode a stored configuration."""
        return MeshConfig(spec['version'], (), (), CallerLimits())

    async def _call(self, kind: str) -> None:
        self._store.calls[kind] += 1
        if self._node in self._store.silent or self.has_lost_connections:
            await asyncio.sleep(CALL_S)
            self.has_lost_connections = False
            raise PlatformError('no answer')
        await asyncio.sleep(ROUND_TRIP_S)

    def _changes(self, at: int) -> Listing:
        store = self._store
        if at < store.oldest_revision:
            raise HistoryLostError('too old')
        if at >= store.revision:
            return Listing(store.revision, ())
        return store.listing()


class ConfigFleet(FleetModel):
    """Nodes that follow the configuration in one store."""

    def __init__(self, size: int) -> None:
        self.store = Store()
        self.doors: dict[NodeId, Door] = {}
        super().__init__(size)
        for node in self.nodes.values():
            configs = node.context.configs
            configs.on_change = node.peers.broadcast_config
            configs.should_watch = partial(self._should_watch, node)

    def make_configs(self, name: NodeId) -> ConfigTask:
        """Return the task that follows the configuration."""
        door = Door(self.store, name)
        self.doors[name] = door
        return ConfigTask(
            cast(Any, door),
            cast(Any, None),
            self.clock,
            cast(Any, SilentLog()),
        )

    def _should_watch(self, node: ModelNode) -> bool:
        return node.members.is_among_first(WATCHERS, self.clock.now())

    async def start(self) -> None:
        """Start all nodes."""
        await super().start()
        for node in self.nodes.values():
            checks = ConfigCheckTask(node.context)
            for work in (node.context.configs.run(), checks.run()):
                node.tasks.append(asyncio.ensure_future(work))

    def versions(self) -> set[int]:
        """Return the versions in force."""
        return {node.context.configs.version for node in self.nodes.values()}


class TestLostWatches(VirtualTimeCase):
    """A change that no watch brings."""

    async def asyncSetUp(self) -> None:
        """Start a fleet of two regions; its first nodes watch."""
        self.fleet = ConfigFleet(12)
        await self.fleet.start()
        await asyncio.sleep(FIRST_WATCHES_S)
        self.store = self.fleet.store
        self.addCleanup(self.fleet.stop)

    # No node learned of a change that was made while the store was silent to
    # the four nodes that watch, until their watches ended, 31.5 s after they
    # had begun.
    async def test_store_that_is_silent_to_all_watching_nodes(self) -> None:
        """The change is in force once the nodes are in touch again."""
        for silent in (range(4), range(12)):
            with self.subTest(silent=len(silent)):
                names = list(self.fleet.nodes)
                self.store.silent = {names[number] for number in silent}
                await asyncio.sleep(1)
                self.store.change()
                await asyncio.sleep(SILENT_S - 1)
                self.store.silent = set()
                await asyncio.sleep(CALM_S)
                self.assertEqual(self.fleet.versions(), {self.store.version})
                await asyncio.sleep(FIRST_WATCHES_S)

    # The same for connections that bring nothing further, while new ones work.
    async def test_connections_that_are_silent_for_good(self) -> None:
        """A change after the calm is in force within the usual bound."""
        for share in (4, 8, 12):
            with self.subTest(share=share):
                for door in list(self.fleet.doors.values())[:share]:
                    door.has_lost_connections = True
                await asyncio.sleep(CALM_S)
                self.store.change()
                await asyncio.sleep(IN_FORCE_S)
                self.assertEqual(self.fleet.versions(), {self.store.version})
                await asyncio.sleep(FIRST_WATCHES_S)

    # A node watched from the revision of the object, which was older than the
    # store's history, and read and watched in turn six times a second.
    async def test_store_that_has_forgotten_its_history(self) -> None:
        """A watch that was cut off goes on from the store's revision."""
        self.store.revision += 50
        self.store.oldest_revision = self.store.revision
        for node in self.fleet.nodes.values():
            doubt = node.context.configs._doubt
            if doubt is not None and not doubt.done():
                doubt.set_result(None)
        await asyncio.sleep(1)
        self.store.calls.clear()
        await asyncio.sleep(QUIET_S)
        calls = sum(self.store.calls.values())
        self.assertLessEqual(calls, QUIET_S * CALLS_A_CHECK)


class TestOldVersion(VirtualTimeCase):
    """A node that has not fetched the version of another yet."""

    # A check from the revision of a newer version finds no change, and would
    # have told all nodes that the older one is the newest.
    async def test_node_that_is_behind_does_not_check(self) -> None:
        """What nodes with a newer version know is no check of an older one."""
        fleet = ConfigFleet(2)
        await fleet.start()
        self.addCleanup(fleet.stop)
        await asyncio.sleep(SETTLE_S)
        first, second = fleet.nodes.values()
        checks = ConfigCheckTask(first.context)
        member = first.members.members[second.name]
        member.status = dataclasses.replace(
            member.status, config_version=2, config_at=900, config_age_ms=0
        )
        now = fleet.clock.now()
        self.assertNotEqual(checks.last_check(now).revision, 900)
        self.assertGreater(checks.due_in(now + CHECK_MS), 0)


class TestCost(VirtualTimeCase):
    """Calls of a quiet fleet."""

    async def test_calls_do_not_grow_with_the_fleet(self) -> None:
        """One node checks about once a second, whatever the size."""
        for size, seconds in ((9, QUIET_S), (58, 6), (195, 3)):
            with self.subTest(size=size):
                fleet = ConfigFleet(size)
                await fleet.start()
                await asyncio.sleep(SETTLE_S)
                fleet.store.calls.clear()
                await asyncio.sleep(seconds)
                limit = CALLS_A_CHECK * seconds * 1000 / CHECK_MS
                self.assertLessEqual(fleet.store.calls['check'], limit)
                self.assertEqual(fleet.store.calls['list'], 0)
                fleet.stop()
