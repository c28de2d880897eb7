"""Quarantined requests while processes of nodes start, and links are cut.

Load pattern: a request that crashes its targets comes again about once a second
while the nodes are restarted in turn, or all at once.
"""

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

from savoryhold.core.clock import ManualClock
from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId
from savoryhold.core.poison import (
    MAX_INCIDENTS,
    QUARANTINE_MS,
    PoisonGuard,
    Strike,
    fingerprint_of,
    fingerprint_with_key,
)
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.quarantine_record import MAX_RECORDED, QuarantineRecord
from savoryhold.mesh.strikes import MAX_REPEATED
from savoryhold.mesh.tests.fleet import DESK
from savoryhold.mesh.tests.fleet_model import FleetModel, ModelNode
from savoryhold.mesh.tests.test_departures import Registry
from savoryhold.mesh.tests.test_poisoned_requests import (
    PATH,
    PoisonCase,
    connect,
)
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase

NODE, OTHER = NodeId('n0'), NodeId('n1')
CRASH, OTHER_CRASH = f'{NODE}/t/1', f'{OTHER}/t/1'
REQUEST = fingerprint_of('h', 'GET', '/x', b'')
SEED = 1
IN_TOUCH_S = 3  # after which a process that has started must know all
STORED_S = 0.1
WALL_MS = 1_750_000_000_000


class TestRestarts(PoisonCase):
    """Nodes of a fleet that are restarted without a store."""

    async def asyncSetUp(self) -> None:
        """Choose whom nodes tell of strikes."""
        random.seed(SEED)

    # Each node that was restarted let a quarantined request crash its target
    # again.
    async def test_nodes_restarted_in_turn_keep_the_quarantine(self) -> None:
        """The others repeat its strikes."""
        self.start(lambda request: b': desk\r\n' in request)
        await self.send_poisoned(4)
        crashes = len(self.crash_times())
        self.assertGreater(crashes, 1)
        for target in self.targets:
            target.node.process.kill()
            target.node.start()
            connect(target.node)
            target.start()
            await self.gossip_for(IN_TOUCH_S)
            await self.send_poisoned(4)
        self.assertEqual(len(self.crash_times()), crashes)

    async def send_poisoned(self, count: int) -> None:
        """Send requests that crash their targets, one a second."""
        for number in range(count):
            self.nodes_of(DESK)[number].ask(PATH, f'p{number}')
            await self.gossip_for(1)

    # A notice is sent once; a node that was cut off then never heard of it.
    async def test_lost_notices_are_made_good(self) -> None:
        """Strikes and acquittals reach a node that was cut off."""
        self.start(lambda request: False)
        one, other = self.fleet.nodes[2], self.fleet.nodes[5]
        guards = [node.owner.target.poison for node in (one, other)]
        now = self.fleet.clock.now()
        for incident in ('c1', 'c2'):
            guards[0].strike(Strike(REQUEST, incident), now)
        await self.gossip_for(10)
        self.assertTrue(guards[1].is_quarantined(REQUEST, now))
        guards[0].record_completion(REQUEST, self.fleet.clock.now())
        await self.gossip_for(10)
        for guard in guards:
            self.assertFalse(guard.quarantined(self.fleet.clock.now()))

    async def gossip_for(self, seconds: int) -> None:
        """Let nodes exchange statuses."""
        for _ in range(seconds):
            self.fleet.gossip()
            await asyncio.sleep(1)


class TestMessages(VirtualTimeCase):
    """What repeated strikes cost."""

    async def test_nodes_send_to_one_other_at_a_time(self) -> None:
        """Nothing while no request is quarantined, whatever the fleet."""
        for size in (9, 60, 195):
            with self.subTest(size=size):
                model = FleetModel(size)
                await model.start()
                await asyncio.sleep(3)
                self.check_repeats(next(iter(model.nodes.values())))
                model.stop()

    def check_repeats(self, node: ModelNode) -> None:
        """Check what a node repeats."""
        guard, sent = PoisonGuard(), _Sent()
        cast(Any, node.peers._owner).target.poison = guard
        strikes = node.peers.strikes
        strikes._send = sent
        self.assertFalse(strikes.repeat())
        self.assertEqual(sent.messages, [])
        for number in range(2 * MAX_REPEATED):
            fingerprint = fingerprint_with_key(REQUEST, number)
            for crash in range(9):
                strike = Strike(fingerprint, f'c{crash}')
                guard.strike(strike, 0)
        self.assertTrue(strikes.repeat())
        self.assertEqual(len(set(sent.addresses)), 1)
        self.assertLessEqual(len(sent.messages), MAX_INCIDENTS * MAX_REPEATED)


class _Sent:
    """Records messages in place of sending them."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.messages: list[Any] = []

    def __call__(self, address: str, message: Any) -> None:
        """Record a message."""
        self.addresses.append(address)
        self.messages.append(message)


class TestRecord(VirtualTimeCase):
    """Processes of one node, one after the other, with the store."""

    async def asyncSetUp(self) -> None:
        """Start the first process."""
        self.clock = LoopClock()
        self.wall = ManualClock(WALL_MS)
        self.registry = Registry()
        self.calls = 0
        self.start()

    def start(self, node: NodeId = NODE) -> None:
        """Start a process with no memory of the last one."""
        self.guard = PoisonGuard()
        self.record = QuarantineRecord(
            node,
            cast(Any, self),
            cast(Any, SimpleNamespace(poison=self.guard)),
            self.clock,
            get_log(node=node),
            self.wall,
        )
        self.guard.on_change = self.record.wake
        self.record.load({NODE: self.registry.spec})
        self.task = asyncio.ensure_future(self.record.run())

    async def read(self, *args: Any) -> Any:
        """Pass on a call to the store."""
        self.calls += 1
        return await self.registry.read(*args)

    async def replace(self, *args: Any) -> Any:
        """Pass on a call to the store."""
        self.calls += 1
        return await self.registry.replace(*args)

    async def strike(self, *incidents: str) -> None:
        """Count strikes, and wait until they may have been stored."""
        for incident in incidents:
            self.guard.strike(Strike(REQUEST, incident), self.clock.now())
        await asyncio.sleep(STORED_S)

    def is_quarantined(self) -> bool:
        """Return whether the present process refuses the request."""
        return self.guard.is_quarantined(REQUEST, self.clock.now())

    # Nodes that were all killed forgot which requests crash their targets.
    async def test_processes_that_start_know_the_quarantine(self) -> None:
        """Those of all nodes, until it ends."""
        await self.strike(CRASH)
        self.assertEqual(self.calls, 0)
        await self.strike(OTHER_CRASH)
        self.assertEqual(self.calls, 2)
        for node in (NODE, NodeId('n2'), NodeId('n3')):
            self.start(node)
            self.assertTrue(self.is_quarantined())
        self.wall.advance(QUARANTINE_MS)
        self.start()
        self.assertFalse(self.is_quarantined())
        await asyncio.sleep(STORED_S)
        self.assertEqual(self.calls, 2)

    async def test_only_nodes_of_crashed_targets_write(self) -> None:
        """A node that was told of both crashes does not."""
        await self.strike(OTHER_CRASH, f'{OTHER}/t/2')
        self.assertTrue(self.is_quarantined())
        self.assertEqual(self.calls, 0)

    async def test_acquitted_request_is_removed(self) -> None:
        """A process that starts later serves it."""
        await self.strike(CRASH, OTHER_CRASH)
        self.guard.record_completion(REQUEST, self.clock.now())
        await asyncio.sleep(STORED_S)
        self.assertNotIn('quarantined', self.registry.spec)
        self.start()
        self.assertFalse(self.is_quarantined())

    async def test_other_parts_of_the_entry_are_kept(self) -> None:
        """Only the record changes, also if another write comes first."""
        self.registry.spec |= {'departed': [['t', 7]]}
        await self.strike(CRASH, OTHER_CRASH)
        self.assertEqual(self.registry.spec['departed'], [['t', 7]])
        self.assertIn('quarantined', self.registry.spec)

    async def test_store_is_tried_again(self) -> None:
        """A store that fails does not end the task."""
        self.registry.is_silent = True
        await self.strike(CRASH, OTHER_CRASH)
        await asyncio.sleep(5)
        self.registry.is_silent = False
        await asyncio.sleep(5)
        self.assertIn('quarantined', self.registry.spec)
        calls = self.calls
        await asyncio.sleep(60)
        self.assertEqual(self.calls, calls)

    async def test_clock_that_is_set_causes_no_writes(self) -> None:
        """Neither forward, past the end of the quarantine, nor back."""
        await self.strike(CRASH, OTHER_CRASH)
        for step in (2 * QUARANTINE_MS, -4 * QUARANTINE_MS):
            self.wall = ManualClock(WALL_MS + step)
            self.record._wall = self.wall
            self.record.wake()
            await asyncio.sleep(STORED_S)
        self.assertEqual(self.calls, 2)
        self.start()
        self.assertTrue(self.is_quarantined())

    async def test_record_is_bounded(self) -> None:
        """The latest requests are kept."""
        for number in range(3 * MAX_RECORDED):
            fingerprint = fingerprint_with_key(REQUEST, number)
            for incident in (CRASH, OTHER_CRASH):
                strike = Strike(fingerprint, incident)
                self.guard.strike(strike, self.clock.now())
        await asyncio.sleep(STORED_S)
        rows = self.registry.spec['quarantined']
        self.assertEqual(len(rows), MAX_RECORDED)
        self.assertEqual(rows[-1][0], f'{fingerprint:016x}')
        calls = self.calls
        await asyncio.sleep(60)
        self.assertEqual(self.calls, calls)

    async def test_odd_rows_are_ignored(self) -> None:
        """Another writer may have written the entry of any node."""
        await self.strike(CRASH, OTHER_CRASH)
        good = self.registry.spec
        for odd in (7, [7], [['x', 1, ['c']]], [['f' * 16, 1, []]], None):
            self.start()
            self.guard.clear_strikes(REQUEST)
            self.record.load({OTHER: {'quarantined': odd}, NODE: good})
            self.assertTrue(self.is_quarantined())
            self.assertEqual(len(self.guard.quarantined(0)), 1)

    async def test_entry_that_is_gone(self) -> None:
        """It is tried again later, as the node may register anew."""
        found = self.registry.read
        cast(Any, self.registry).read = _fail
        await self.strike(CRASH, OTHER_CRASH)
        cast(Any, self.registry).read = found
        await asyncio.sleep(5)
        self.assertIn('quarantined', self.registry.spec)


async def _fail(*args: Any) -> None:
    raise PlatformError('no such object')
