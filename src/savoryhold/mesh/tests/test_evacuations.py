"""Evacuations while announcements, watches and the store fail.

Load pattern: 48 nodes in eight zones of two regions, which exchange statuses
by zone; an operator orders the evacuation of a zone, and ends it.
"""

import asyncio
import dataclasses
import functools
import unittest
from collections import Counter
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import HistoryLostError, PlatformError
from savoryhold.core.ids import Region, Version, Zone
from savoryhold.mesh.evacuations import (
    MAX_ZONES,
    EvacuationSet,
    EvacuationTask,
)
from savoryhold.mesh.interface import Listing, StoredObject
from savoryhold.mesh.places import Place
from savoryhold.mesh.requests import WrongPlaceError
from savoryhold.mesh.tests.fleet import Fleet
from savoryhold.mesh.tests.fleet_model import FleetModel, ModelNode
from savoryhold.mesh.tests.test_platform import MeshCase
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase

NODES = 48
EVACUATE_MS = 5000
WATCH_GRACE_S = 1.5
SETTLE_S = 4.0
ANNOUNCED_S = 0.3
LIMIT_S = EVACUATE_MS / 1000
ZONE = Zone('z3')
NONE: frozenset[Zone] = frozenset()


class Store:
    """Holds evacuations; its answers may get lost, or not reach back."""

    def __init__(self) -> None:
        self.revision = 100
        self.zones: set[str] = set()
        self.events: list[tuple[int, str, bool]] = []
        self.oldest = 0
        self.is_out = False
        self.loses_watches = False
        self.calls: Counter[str] = Counter()

    def change(self, zone: str, *, deleted: bool = False) -> None:
        """Store or delete an evacuation."""
        self.revision += 1
        self.events.append((self.revision, zone, deleted))
        (self.zones.discard if deleted else self.zones.add)(zone)

    async def list_evacuations(self) -> Listing:
        """Return all evacuations."""
        self.calls['list'] += 1
        await asyncio.sleep(0.004)
        if self.is_out:
            raise PlatformError('out')
        return Listing(self.revision, tuple(map(stored, sorted(self.zones))))

    async def watch_evacuations(self, at: int, wait_ms: int) -> Listing:
        """Return the changes after a revision."""
        self.calls['watch'] += 1
        if at < self.oldest:
            raise HistoryLostError('too old')
        found: list[tuple[int, str, bool]] = []
        for _ in range(wait_ms // 10):
            await asyncio.sleep(0.01)
            found = [event for event in self.events if event[0] > at]
            if self.is_out:
                raise PlatformError('out')
            if found:
                break
        if found and self.loses_watches:
            await asyncio.sleep(wait_ms / 1000 + WATCH_GRACE_S)
            raise PlatformError('no answer')
        return Listing(
            self.revision,
            tuple(stored(zone) for _, zone, deleted in found if not deleted),
            tuple(zone for _, zone, deleted in found if deleted),
        )


def stored(zone: str) -> StoredObject:
    """Return the object of an evacuation."""
    return StoredObject(zone, Version(1), {})


class EvacuationFleet(FleetModel):
    """Nodes that follow the evacuations in one store."""

    def __init__(self, store: Store) -> None:
        super().__init__(NODES)
        self.evacuations = {
            name: self.follow(node, store) for name, node in self.nodes.items()
        }

    def follow(self, node: ModelNode, store: Store) -> EvacuationTask:
        """Return the task of a node, connected as in a real one."""
        owner = cast(Any, node.context.owner)
        owner.wake = lambda: None
        context = dataclasses.replace(
            node.context,
            settings=dataclasses.replace(
                node.context.settings, evacuate_ms=EVACUATE_MS
            ),
        )
        task = EvacuationTask(context, cast(Any, store))
        task.should_watch = lambda: node.members.is_among_first(
            2, self.clock.now()
        )
        task.on_announce = node.peers.broadcast_status
        node.members.on_status = task.on_status
        return task

    def unaware(self, zones: frozenset[Zone]) -> list[str]:
        """Return the nodes that do not go by a set of zones."""
        return [
            name
            for name, node in self.nodes.items()
            if node.context.places.evacuated != zones
        ]


class TestFleet(VirtualTimeCase):
    """When all nodes know of a change."""

    async def asyncSetUp(self) -> None:
        """Start all nodes, and let them hear of one another."""
        self.store = Store()
        self.fleet = EvacuationFleet(self.store)
        await self.fleet.start()
        self.tasks = [
            asyncio.ensure_future(task.run())
            for task in self.fleet.evacuations.values()
        ]
        await asyncio.sleep(SETTLE_S)
        self.store.calls.clear()

    async def asyncTearDown(self) -> None:
        """Stop all nodes."""
        self.fleet.stop()
        for task in self.tasks:
            task.cancel()

    async def test_begin_and_end_are_announced(self) -> None:
        """Guards against a change that only waits for statuses."""
        for deleted, zones in ((False, {ZONE}), (True, NONE)):
            self.store.change(ZONE, deleted=deleted)
            await asyncio.sleep(ANNOUNCED_S)
            self.assertEqual(self.fleet.unaware(frozenset(zones)), [])

    async def test_only_watchers_call_the_store(self) -> None:
        """Two of each region, at a rate that does not grow with the fleet."""
        await asyncio.sleep(10)
        self.assertEqual(self.store.calls['list'], 0)
        self.assertLess(self.store.calls['watch'], 4 * 10)

    async def test_missed_announcement(self) -> None:
        """A node that was cut off catches up with the next statuses."""
        cut = [node for node in self.fleet.nodes.values()][20:28]
        for node in cut:
            node.is_cut = True
        self.store.change(ZONE)
        await asyncio.sleep(1)
        for node in cut:
            node.is_cut = False
        await asyncio.sleep(LIMIT_S - 1)
        self.assertEqual(self.fleet.unaware(frozenset({ZONE})), [])

    async def test_answers_to_all_watches_are_lost(self) -> None:
        """It looks like a watch without changes."""
        self.store.loses_watches = True
        self.store.change(ZONE)
        await asyncio.sleep(LIMIT_S)
        self.assertEqual(self.fleet.unaware(frozenset({ZONE})), [])

    async def test_outage_keeps_the_set(self) -> None:
        """What changes meanwhile is found afterwards, without its history."""
        self.store.change(ZONE)
        await asyncio.sleep(1)
        self.store.is_out = True
        await asyncio.sleep(20)
        self.assertEqual(self.fleet.unaware(frozenset({ZONE})), [])
        self.store.change(ZONE, deleted=True)
        self.store.oldest = self.store.revision + 1
        self.store.is_out = False
        await asyncio.sleep(LIMIT_S)
        self.assertEqual(self.fleet.unaware(NONE), [])

    async def test_restart_learns_from_peers(self) -> None:
        """In an outage, too, and without a call to the store."""
        self.store.change(ZONE)
        await asyncio.sleep(1)
        self.store.is_out = True
        await asyncio.sleep(1)
        self.store.calls.clear()
        node = self.fleet.nodes[cast(Any, 'n0019')]
        node.context.places.evacuated = NONE
        task = self.fleet.follow(node, Store())
        self.assertFalse(node.context.places.is_settled)
        for status in self.fleet.nodes.values():
            if status.place.zone == node.place.zone and status is not node:
                message = status.peers.status_message()
                node.peers._receive(status.name, message)
        self.assertEqual(node.context.places.evacuated, {ZONE})
        self.assertTrue(node.context.places.is_settled)
        self.assertTrue(task.known.is_known)

    async def test_hook_of_cold_targets(self) -> None:
        """Only nodes of the zone are told that its evacuation has ended."""
        told: list[Zone] = []
        for name, task in self.fleet.evacuations.items():
            zone = self.fleet.nodes[name].place.zone
            task.on_ended = functools.partial(told.append, zone)
        self.store.change(ZONE)
        await asyncio.sleep(1)
        self.assertEqual(told, [])
        self.store.change(ZONE, deleted=True)
        await asyncio.sleep(1)
        self.assertEqual(told, [ZONE] * (NODES // 8))  # noqa: WPS435


class TestSet(unittest.TestCase):
    """What the set makes of odd listings."""

    def test_changes_that_need_a_read(self) -> None:
        """The order of a deletion and a new object is not known."""
        known = EvacuationSet()
        known.replace(Listing(7, (stored('a'),)), ())
        for changes in (
            Listing(8, (stored('a'),), ('a',)),
            Listing(8, (), (), unreadable=1),
        ):
            self.assertFalse(known.apply(changes))
            self.assertEqual((known.zones, known.revision), ({'a'}, 7))
        self.assertTrue(known.apply(Listing(9, (stored('b'),), ('a',))))
        self.assertEqual((known.zones, known.revision), ({'b'}, 9))

    def test_older_knowledge_changes_nothing(self) -> None:
        """The highest revision wins, whoever tells of it."""
        known = EvacuationSet()
        self.assertTrue(known.learn(frozenset({ZONE}), 9))
        self.assertFalse(known.learn(NONE, 8))
        self.assertFalse(known.replace(Listing(8, ()), ()))
        self.assertTrue(known.apply(Listing(8, (), (ZONE,))))
        self.assertEqual((known.zones, known.revision), ({ZONE}, 9))

    def test_many_objects_of_another_writer(self) -> None:
        """They neither grow each status nor hide a zone that has nodes."""
        known = EvacuationSet()
        odd = [stored(f'a{number}') for number in range(1000)]
        known.replace(Listing(7, (*odd, stored(ZONE))), [ZONE])
        self.assertEqual(len(known.zones), MAX_ZONES)
        self.assertIn(ZONE, known.zones)
        self.assertFalse(known.apply(Listing(8, (), (ZONE,))))

    def test_empty_store_is_known_to_be_empty(self) -> None:
        """A fleet on a new store must not wait for its first revision."""
        known = EvacuationSet()
        self.assertTrue(known.replace(Listing(0, ()), ()))
        self.assertTrue(known.is_known)


class TestRequests(VirtualTimeCase):
    """Requests without keys, while a zone is evacuated."""

    async def test_requests_move_and_runs_end(self) -> None:
        """The ingress of the zone goes on serving its callers."""
        places = {
            number: Place(Zone('out'), Region('r')) for number in range(3)
        }
        fleet = Fleet(6, 1, places=places)
        here = fleet.nodes[0]
        here.target.work_ms = 300
        running = here.ask('/plain/', 'running')
        await asyncio.sleep(0.01)
        self.assertEqual(here.target.received, ['running'])
        for node in fleet.nodes[:3]:
            node.places.evacuated = frozenset({Zone('out')})
        # The last node does not know yet, and is told by the owners.
        ignorant = fleet.nodes[5]
        for node in fleet.nodes[3:5]:
            node.owner.target.dead = True
        callers = [here.ask('/plain/', f'r{number}') for number in range(5)]
        found = [await caller.status for caller in callers]
        self.assertEqual(found, [503] * 5)  # noqa: WPS435
        for node in fleet.nodes[3:5]:
            node.owner.target.dead = False
        callers = [
            node.ask('/plain/', f'{node.name}-{number}')
            for number in range(9)
            for node in (here, ignorant)
        ]
        found = [await caller.status for caller in callers]
        self.assertEqual(set(found), {200})
        self.assertEqual(await running.status, 200)
        self.assertEqual(here.target.received, ['running'])
        self.assertEqual(fleet.nodes[1].target.received, [])

    async def test_one_refusal_bars_the_zone(self) -> None:
        """Guards against a body that is relayed to each node of the zone."""
        places = {number: Place(Zone('out'), Region('r')) for number in (0, 1)}
        fleet = Fleet(6, 1, places=places)
        checks = []
        for node in fleet.nodes[:2]:
            node.places.evacuated = frozenset({Zone('out')})
            check = mock.Mock(wraps=node.owner.check_place)
            node.owner.check_place = check
            checks.append(check)
        for node in fleet.nodes[3:5]:
            node.owner.target.dead = True
            for other in fleet.nodes:
                if other is not node:
                    member = other.members.members[node.name]
                    member.status = dataclasses.replace(
                        member.status, ready=False
                    )
        chooser = fleet.nodes[5].ingress._chooser
        with mock.patch.object(
            chooser, 'choose', wraps=chooser.choose
        ) as choose:
            self.assertEqual(
                await fleet.nodes[5].ask('/plain/', 'a').status, 503
            )
        self.assertEqual(sum(check.call_count for check in checks), 1)
        # The second choice finds no place, which is final.
        self.assertEqual(choose.call_count, 2)

    async def test_refusal_does_not_wait_for_a_slot(self) -> None:
        """The ingress is to choose again while the deadline allows it."""
        fleet = Fleet(3, 1)
        node = fleet.nodes[0]
        node.target.work_ms = 400
        running = [node.ask('/plain/', f'r{number}') for number in range(24)]
        await asyncio.sleep(0.01)
        node.places.evacuated = frozenset({node.place.zone})
        req, _ = node.ingress._reader.read(running[0].req)
        began = fleet.clock.now()
        with self.assertRaises(WrongPlaceError):
            await node.owner.submit(req)
        self.assertEqual(fleet.clock.now(), began)

    async def test_nothing_runs_until_the_set_is_known(self) -> None:
        """A node that restarts in an evacuated zone does not serve it."""
        fleet = Fleet(3, 1)
        node = fleet.nodes[0]
        node.places.is_settled = False
        self.assertEqual(await node.ask('/plain/', 'a').status, 503)
        self.assertEqual(await fleet.nodes[2].ask('/plain/', 'b').status, 200)
        self.assertEqual(node.target.received, [])


class TestKeys(MeshCase):
    """Keys of an evacuated zone, with real nodes on loopback."""

    evacuate_ms = EVACUATE_MS

    async def test_keys_leave_and_return(self) -> None:
        """Requests for them run outside, also for callers in the zone."""
        out = self.hosts[1]
        self.api.put('evacuations', 'b', {})
        await self.until(lambda: not out.target.rows)
        await self.until(lambda: self.held_count() == 65_536)
        ran = len(out.target.runs)
        for number, key in enumerate((0, 40_000, 65_535)):
            status, _ = await self.ask(out, '/desk/x', number, key)
            self.assertEqual(status, 200)
        self.assertEqual(len(out.target.runs), ran)
        self.assertTrue(out.node.is_ready())
        self.api.remove('evacuations', 'b')
        await self.until(lambda: out.target.rows)
        status, text = await self.get(out.metrics, '/metrics')
        self.assertIn(b'savoryhold_mesh_zones_evacuated 0.0', text)
