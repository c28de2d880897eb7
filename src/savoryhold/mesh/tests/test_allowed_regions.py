"""Requests that may run in some regions only.

Load pattern: callers of all regions send to a route whose list names one; some
nodes do not know the list yet, or the targets of its region are away.
"""

import asyncio
import dataclasses
import unittest
from unittest import mock

from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.place_rules import PlaceRules
from savoryhold.mesh.places import Place
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.tests.fleet import (
    CONFIG,
    Fleet,
    LoopClock,
    VirtualTimeCase,
    mesh_settings,
)
from savoryhold.ranges import KEY_COUNT, RangeTable, initial_rows
from savoryhold.traffic import (
    ANYWHERE,
    AllowedRegions,
    Route,
    RouteTable,
)

NORTH, SOUTH = Region('north'), Region('south')
DESK = ServiceName('desk')
NORTH_LIST = frozenset({NORTH})
# `desk` runs at 0, 1, 3 and 4; of these, 0 and 3 are in the north.
PLACES = {
    number: Place(Zone(f'{region}-{number // 3}'), region)
    for number, region in enumerate((NORTH, SOUTH, NORTH) * 2)
}
PLACES[4] = Place(Zone('south-1'), SOUTH)
REQUESTS = 40
OK, UNAVAILABLE = 200, 503


def make_status(name: str, zone: Zone, region: Region) -> NodeStatus:
    """Return the status of a node with a ready target."""
    return NodeStatus(
        NodeId(name),
        name,
        DESK,
        zone,
        region,
        slots=4,
        wait_ms=0,
        demand=0,
        keys=0,
        ready=True,
        leaving=False,
        life=1,
        silent=frozenset(),
    )


def routes_with(*lists: frozenset[Region]) -> RouteTable:
    """Return the fleet's routes, of which the first have these lists."""
    routes: list[Route] = list(CONFIG.routes)
    for index, regions in enumerate(lists):
        routes[index] = dataclasses.replace(routes[index], regions=regions)
    return RouteTable(dataclasses.replace(CONFIG, routes=tuple(routes)))


class TestAllowedRegions(unittest.TestCase):
    """The type that decides."""

    def test_nowhere_is_not_anywhere(self) -> None:
        """Guards against lists without a common region that allow all."""
        north = AllowedRegions.from_list(NORTH_LIST)
        south = AllowedRegions.from_list({SOUTH})
        both = AllowedRegions.in_all([north, south])
        self.assertTrue(both.is_nowhere)
        self.assertFalse(both.is_anywhere)
        self.assertFalse(both.allows(NORTH) or both.allows(SOUTH))
        self.assertTrue((both & ANYWHERE).is_nowhere)
        self.assertTrue(AllowedRegions.from_list([]).is_anywhere)
        self.assertTrue(AllowedRegions.in_all([]).is_anywhere)

    def test_keys_need_a_region_that_all_routes_allow(self) -> None:
        """One route without a list leaves the keys of its service anywhere."""
        place = {one: Place(Zone('z'), one) for one in (NORTH, SOUTH)}
        rules = PlaceRules(place[NORTH])
        for lists, north, south in (
            ((NORTH_LIST, NORTH_LIST), True, False),
            ((NORTH_LIST, frozenset({NORTH, SOUTH})), True, False),
            ((NORTH_LIST, frozenset({SOUTH})), False, False),
            ((NORTH_LIST,), True, True),
            ((frozenset(), NORTH_LIST), True, True),
        ):
            table = routes_with(*lists)
            rules.routes = lambda table=table: table  # type: ignore[misc]
            with self.subTest(lists=lists):
                self.assertEqual(rules.may_own(DESK, place[NORTH]), north)
                self.assertEqual(rules.may_own(DESK, place[SOUTH]), south)


class TestRegionsOfKeys(VirtualTimeCase):
    """Who takes the keys of a service whose routes all have lists."""

    async def test_owner_outside_hands_over_to_those_inside(self) -> None:
        """Guards against keys that stay, or go to another forbidden node."""
        own = Place(Zone('a'), SOUTH)
        settings = dataclasses.replace(
            mesh_settings('own', DESK), zone=own.zone, region=own.region
        )
        members = MemberTable(settings.node, own.region, own.zone)
        for name, region in (('north', NORTH), ('south', SOUTH)):
            status = make_status(name, Zone(f'z-{name}'), region)
            members.learn(status, 0)
        tables = TableTask(
            settings,
            mock.Mock(),
            members,
            mock.Mock(demand=lambda now: 0),
            mock.Mock(),
            LoopClock(),
            get_log(node='own'),
        )
        rows = initial_rows([(settings.node, 1.0)])
        tables.learn(RangeTable(DESK, Version(1), rows, [tables.life]))
        machine = tables.machines[DESK]
        tables._hand_over_all(machine, DESK, 0)
        self.assertEqual(machine.handovers, {})
        self.assertEqual(len(tables.loads(DESK, 0, include_self=True)), 3)
        tables.places.routes = lambda: routes_with(NORTH_LIST, NORTH_LIST)
        takers = tables.loads(DESK, 0, include_self=True)
        self.assertEqual([load.node for load in takers], ['north'])
        tables._hand_over_all(machine, DESK, 0)
        self.assertEqual(set(machine.handovers.values()), {'north'})
        size = sum(span.size for span in machine.handovers)
        self.assertEqual(size, KEY_COUNT)


class TestRegionsOfRequests(VirtualTimeCase):
    """Where requests run, in a fleet of two regions."""

    async def asyncSetUp(self) -> None:
        """Start six nodes that know the list of `desk`."""
        self.fleet = Fleet(6, 1, places=PLACES)
        for node in self.fleet.nodes:
            node.configs.routes = routes_with(NORTH_LIST)

    async def statuses(self, number: int, path: str = '/desk/') -> set[int]:
        """Send requests to a node, and return the statuses of the answers."""
        callers = []
        for _ in range(REQUESTS):
            name = f'r{self.fleet.next_number()}'
            callers.append(self.fleet.nodes[number].ask(path, name))
        return set(await asyncio.gather(*(one.status for one in callers)))

    def received(self, number: int) -> int:
        """Return how many requests a node's target has received."""
        return len(self.fleet.nodes[number].target.received)

    async def test_only_targets_of_the_region_run_them(self) -> None:
        """The ingress may be anywhere; other routes are not affected."""
        for number in range(6):
            self.assertEqual(await self.statuses(number), {OK})
        self.assertEqual(self.received(1) + self.received(4), 0)
        self.assertEqual(await self.statuses(1, '/plain/'), {OK})
        self.assertGreater(self.received(1), 0)

    async def test_owner_refuses_what_the_ingress_does_not_know(self) -> None:
        """The list was stored a moment ago, and has not come to the ingress."""
        ingress = self.fleet.nodes[1]
        ingress.configs.routes = routes_with()
        ingress.owner.target.dead = True
        # The nearest other target is in the south, too.
        self.assertEqual(await self.statuses(1), {OK})
        self.assertEqual(self.received(1) + self.received(4), 0)

    async def test_owner_heeds_the_list_that_a_relay_carries(self) -> None:
        """The owner does not know the list yet, or no longer."""
        for node in self.fleet.nodes:
            node.configs.routes = routes_with()
        ingress = self.fleet.nodes[1]
        ingress.configs.routes = routes_with(NORTH_LIST)
        req, _ = ingress.ingress._reader.read(ingress.ask('/desk/', 'x').req)
        with self.assertRaisesRegex(Exception, 'may run in north'):
            await self.fleet.nodes[4].owner.submit(req)

    async def test_list_that_changes_while_a_request_waits(self) -> None:
        """What waits for a slot is refused, and runs where it now may."""
        south = self.fleet.nodes[1]
        for node in self.fleet.nodes:
            node.configs.routes = routes_with(frozenset({SOUTH}))
        self.fleet.nodes[4].process.kill()
        self.fleet.nodes[4].target.work_ms = 100
        south.target.work_ms = 100
        callers = [south.ask('/desk/', f'w{number}') for number in range(30)]
        await asyncio.sleep(0.05)
        started = self.received(1) + self.received(4)
        for node in self.fleet.nodes:
            node.configs.routes = routes_with(NORTH_LIST)
        found = await asyncio.gather(*(one.status for one in callers))
        self.assertEqual(self.received(1) + self.received(4), started)
        # They still carry the former list, so that no place is left for them.
        self.assertEqual(found.count(OK), started)
        self.assertEqual(found.count(UNAVAILABLE), 30 - started)

    async def test_no_target_of_the_region_is_a_refusal_at_once(self) -> None:
        """Guards against a fallback to other regions, and against waiting."""
        for node in self.fleet.nodes:
            for number in (0, 3):
                member = node.members.members.get(f'n{number}')  # type: ignore
                if member is not None:
                    member.status = dataclasses.replace(
                        member.status, ready=False
                    )
        began = self.fleet.clock.now()
        self.assertEqual(await self.statuses(1), {UNAVAILABLE})
        self.assertLess(self.fleet.clock.now() - began, 5)
        self.assertEqual(self.received(1) + self.received(4), 0)
        self.assertEqual(await self.statuses(1, '/plain/'), {OK})
