"""Callers and nested calls that compete for targets without enough room.

Load pattern: runs of `desk` make nested calls to `files`, whose targets
callers overload.
"""

import asyncio
import dataclasses

from savoryhold.mesh.tests.fleet import CONFIG, Caller, Fleet, VirtualTimeCase
from savoryhold.traffic import Feature

FAIR = dataclasses.replace(CONFIG, features=frozenset({Feature.FAIR_ADMISSION}))
LOAD_S = 3
DESK_RATE = 100
FILES_RATE = 200  # with the nested calls, 1.8 times the capacity of 2 targets
FILES_MS = 150
MIN_SERVED = 0.95
MIN_USED = 0.42  # at twice the capacity; 0.5 fills the slots
SETTLED_S = 2
GOSSIP_EVERY = 60  # requests, thus each 200 ms


async def desk_share(fleet: Fleet) -> float:
    """Return the share of requests to `desk` that succeed under the load."""
    for node in fleet.nodes:
        node.process.spawn(node.owner.tick())
        node.target.nested_call_rate = 1.0
        node.target.work_ms = FILES_MS if node.target.service == 'files' else 40
    callers = []
    for _ in range(LOAD_S * (DESK_RATE + FILES_RATE)):
        await asyncio.sleep(fleet.rng.expovariate(DESK_RATE + FILES_RATE))
        is_desk = fleet.rng.random() * (DESK_RATE + FILES_RATE) < DESK_RATE
        node = fleet.rng.choice(fleet.nodes)
        number = fleet.next_number()
        path = '/desk/' if is_desk else '/files/'
        body = b'%d' % number
        caller = node.ask(path, f'r{number}', body=body)
        if number % GOSSIP_EVERY == 0:
            fleet.gossip()
        if is_desk:
            callers.append(caller)
    await asyncio.sleep(SETTLED_S)
    statuses = [caller.status.result() for caller in callers]
    await fleet.close()
    return statuses.count(200) / len(statuses)


class TestNestedCalls(VirtualTimeCase):
    """Runs whose nested calls go to overloaded targets."""

    # Nested calls used to queue behind callers' requests, so that their runs
    # failed after they had held a slot.
    async def test_nested_calls_precede_callers(self) -> None:
        """Runs succeed, though callers overload the service that they call."""
        fair = await desk_share(Fleet(6, seed=1, config=FAIR))
        before = await desk_share(Fleet(6, seed=1))
        self.assertGreaterEqual(fair, MIN_SERVED)
        self.assertLess(before, fair)


class TestEntry(VirtualTimeCase):
    """An ingress whose requests all go to one owner."""

    async def test_overload_is_shed_and_forgotten(self) -> None:
        """The ingress sheds the excess, and nothing 2 s after its end."""
        fleet = Fleet(3, seed=1, config=FAIR)
        for node in fleet.nodes:
            node.process.spawn(node.owner.tick())
            node.target.work_ms = FILES_MS
        outcomes = fleet.nodes[0].ingress.telemetry.outcomes
        await self._ask(fleet, 160)
        shed = outcomes[('no-room', 'not-run')]
        self.assertGreater(shed, 0)
        refusals = fleet.nodes[0].ingress.telemetry.refusals
        self.assertEqual(refusals[('files', 'z', 'no-room')], shed)
        self.assertGreater(outcomes[('files', 'answered')], 180)
        await asyncio.sleep(SETTLED_S)
        fleet.gossip()
        for caller in await self._ask(fleet, 40):
            self.assertEqual(await caller.status, 200)
        await fleet.close()

    async def test_owner_restarts_under_overload(self) -> None:
        """A new process of the owner, which has learned nothing, is used."""
        fleet = Fleet(3, seed=1, config=FAIR)
        owner = fleet.nodes[2]
        owner.target.work_ms = FILES_MS
        await self._ask(fleet, 160)
        owner.process.kill()
        owner.start()
        owner.process.spawn(owner.owner.tick())
        callers = await self._ask(fleet, 160)
        await asyncio.sleep(SETTLED_S)
        statuses = [caller.status.result() for caller in callers]
        self.assertGreaterEqual(statuses.count(200), MIN_USED * len(statuses))
        await fleet.close()

    async def _ask(self, fleet: Fleet, per_s: int) -> list[Caller]:
        callers = []
        for _ in range(LOAD_S * per_s):
            await asyncio.sleep(fleet.rng.expovariate(per_s))
            number = fleet.next_number()
            body = b'%d' % number
            callers.append(
                fleet.nodes[0].ask('/files/', f'r{number}', body=body)
            )
            if number % (per_s // 5) == 0:
                fleet.gossip()
        return callers


class TestDepartedCallers(VirtualTimeCase):
    """Slots of runs whose callers have disconnected."""

    # A run that must not be cancelled lost its slot in the queue, so that the
    # target got more requests than it has slots.
    async def test_slots_follow_the_target(self) -> None:
        """A slot is free at once if the run is cancelled, else at its end."""
        for path, held in (('/files/', 0), ('/book/', 1)):
            fleet = Fleet(3, seed=1, config=FAIR)
            owner = fleet.nodes[2].owner
            fleet.nodes[2].target.work_ms = 400
            caller = fleet.nodes[0].ask(path, 'r1')
            await asyncio.sleep(0.1)
            self.assertEqual(len(owner.queue.running), 1)
            caller.disconnect()
            await asyncio.sleep(0.1)
            with self.subTest(path=path):
                self.assertEqual(len(owner.queue.running), held)
                self.assertEqual(len(fleet.running), held)
                await asyncio.sleep(0.4)
                self.assertEqual(len(owner.queue.running), 0)
            await fleet.close()


class TestReturningCallers(VirtualTimeCase):
    """Callers that repeat refused requests at once."""

    async def test_early_return_reaches_no_target(self) -> None:
        """A caller that returns before the time told is refused again."""
        fleet = Fleet(3, seed=1, config=FAIR)
        for node in fleet.nodes:
            node.target.work_ms = 400
            node.owner.queue.record_run_time('files', 400)
        node = fleet.nodes[2]
        for number in range(40):
            node.ask('/files/', f'f{number}', body=b'%d' % number)
        refused = node.ask('/files/', 'a', body=b'a')
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(await refused.status, 503)
        arrived = len(fleet.arrivals)
        again = [
            node.ask('/files/', f'a{number}', body=b'a') for number in range(3)
        ]
        statuses = [await caller.status for caller in again]
        self.assertEqual(statuses, [503, 503, 503])
        self.assertEqual(len(fleet.arrivals), arrived)
        outcomes = node.ingress.telemetry.outcomes
        self.assertEqual(outcomes[('early-return', 'not-run')], 3)
        await fleet.close()
