"""Many nodes of a large fleet that change one table at the same moment.

Load pattern: the heat of a few keys, or new targets, make dozens of owners hand
keys over within a second.  Each on its own would replace the stored table,
lose against the others, and begin anew.
"""

import asyncio
from typing import Any, cast
from unittest import mock

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError, PlatformError
from savoryhold.core.ids import NodeId, Region, ServiceName, Version, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.interface import StoreConflictError, StoredObject
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.table_writer import (
    TableWriter,
    WriteOutcome,
    table_spec,
)
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.peer import messages
from savoryhold.ranges import (
    ChangeRequest,
    OwnershipChange,
    RangeTable,
    Span,
    initial_rows,
)

DESK = ServiceName('desk')
OWNERS = 118
WRITE_S = 0.025
MS_PER_SECOND = 1000


class Store:
    """A stored table with conditional writes that take time."""

    def __init__(self, table: RangeTable) -> None:
        self.table = table
        self.writes = 0
        self.error: PlatformError | None = None

    async def replace(
        self, kind: str, name: str, spec: Any, version: Version
    ) -> StoredObject:
        """Replace the table if its version is the one given."""
        self.writes += 1
        await asyncio.sleep(WRITE_S)
        if self.error is not None:
            raise self.error
        if version != self.table.version:
            raise StoreConflictError('conflict', self.stored())
        self.table = RangeTable.from_fields(
            DESK, Version(version + 1), spec['rows'], spec['lives']
        )
        return self.stored()

    def stored(self) -> StoredObject:
        """Return the stored object."""
        return StoredObject('desk', self.table.version, table_spec(self.table))


class Node:
    """The copies of one node, and its writer."""

    def __init__(
        self, name: str, store: Store, pool: Any, nodes: list[str]
    ) -> None:
        self.clock: Clock = LoopClock()
        self.tables = {DESK: store.table}
        self.failures = 0
        members = MemberTable(NodeId(name), Region('r'), Zone('z'))
        for other in nodes:
            members.learn(make_status(other), self.clock.now())
        self.writer = TableWriter(
            NodeId(name),
            cast(Any, store),
            cast(Any, self),
            members,
            pool,
            self.clock,
            get_log(node=name),
        )

    async def learn_conflict(
        self, service: ServiceName, stored: StoredObject | None
    ) -> None:
        """Learn the table that has made a write fail."""
        assert stored is not None
        self.learn(stored)

    async def on_write_failed(self, service: ServiceName) -> None:
        """Count a failure."""
        self.failures += 1

    def learn_written(
        self,
        service: ServiceName,
        stored: StoredObject,
        older: RangeTable,
        sent_at: int,
    ) -> None:
        """Learn a table that was written here."""
        self.learn(stored)

    async def wait_for(
        self, service: ServiceName, version: int, address: str
    ) -> None:
        """Do nothing: the tests look at the store."""

    def learn(self, stored: StoredObject) -> None:
        """Learn a stored table."""
        self.tables[DESK] = RangeTable.from_fields(
            DESK, stored.version, stored.spec['rows'], stored.spec['lives']
        )

    def handover(self, number: int, taker: str) -> ChangeRequest:
        """Return the request of an owner that hands its last key over."""
        row = self.tables[DESK].rows_of(NodeId(owner(number)))[-1]
        span = Span(row.span.last, row.span.last)
        change = OwnershipChange(span, NodeId(taker), settled=True)
        return ChangeRequest.on(self.tables[DESK], [change], ())


def owner(number: int) -> str:
    """Return the name of an owner."""
    return f'n{number:03}'


def make_status(name: str) -> NodeStatus:
    """Return the status of a ready node."""
    return NodeStatus(
        NodeId(name),
        f'{name}:1',
        DESK,
        Zone('z'),
        Region('r'),
        2,
        0,
        0,
        0,
        ready=True,
        leaving=False,
        life=1,
        silent=frozenset(),
    )


class TestContention(VirtualTimeCase):
    """118 owners, of which the first writes for all."""

    async def asyncSetUp(self) -> None:
        """Store the first table."""
        names = [owner(number) for number in range(OWNERS)]
        rows = initial_rows([(NodeId(name), 2.0) for name in names])
        self.store = Store(RangeTable(DESK, Version(1), rows))
        self.pool = mock.Mock(call=self.call)
        self.nodes = [
            Node(name, self.store, self.pool, names) for name in names
        ]
        self.first = self.nodes[0]
        self.is_reachable = True

    async def call(
        self, address: str, message: messages.Message, limit_ms: float
    ) -> messages.Message:
        """Deliver a request to the first node."""
        self.assertEqual(address, f'{owner(0)}:1')
        if not self.is_reachable:
            raise LinkError('unreachable', sent=False)
        return await self.first.writer.serve(DESK, message.changes)

    async def hand_over_all(self) -> list[bool]:
        """Let all owners hand over a key at the same moment."""
        return await asyncio.gather(
            *(
                node.writer.request(
                    DESK, node.handover(number, owner(OWNERS - 1 - number))
                )
                for number, node in enumerate(self.nodes)
            )
        )

    # 64 writes of one node, most of them in vain; 7362 calls in 42 s.
    async def test_simultaneous_changes_take_few_writes(self) -> None:
        """All changes are stored by three writes at most."""
        outcomes = await self.hand_over_all()
        self.assertTrue(all(outcomes))
        self.assertLessEqual(self.store.writes, 3)
        moved = [row for row in self.store.table.rows if row.epoch > 1]
        self.assertEqual(len(moved), OWNERS)

    async def test_own_write_if_the_writer_is_unreachable(self) -> None:
        """Each node then writes for itself, and loses no change."""
        self.is_reachable = False
        pair = self.nodes[5:7]
        outcomes = await asyncio.gather(
            *(
                node.writer.request(DESK, node.handover(number, owner(9)))
                for number, node in enumerate(pair, start=5)
            )
        )
        self.assertEqual(outcomes, [True, True])
        moved = [row for row in self.store.table.rows if row.epoch > 1]
        self.assertEqual(len(moved), 2)

    async def test_row_that_has_changed_is_left_alone(self) -> None:
        """Of two requests on the same row only the first is applied."""
        first, second = (
            self.nodes[5].handover(5, taker) for taker in (owner(1), owner(2))
        )
        outcomes = await asyncio.gather(
            self.first.writer.collect(DESK, first),
            self.first.writer.collect(DESK, second),
        )
        self.assertEqual(outcomes, [WriteOutcome.STORED, WriteOutcome.REFUSED])
        key = first.changes[0].change.span.first
        self.assertEqual(self.store.table.row_at(key).owner, owner(1))

    async def test_store_that_fails_is_not_taken_for_written(self) -> None:
        """Nobody is told that a change is stored."""
        self.store.error = PlatformError('down')
        outcomes = await asyncio.gather(
            *(
                self.first.writer.collect(
                    DESK, self.nodes[number].handover(number, owner(0))
                )
                for number in range(1, 4)
            )
        )
        self.assertEqual(len(outcomes), 3)
        self.assertEqual(set(outcomes), {WriteOutcome.FAILED})
        self.assertEqual(self.first.failures, 1)

    # The node that writes answered as if the rows had changed: as long as the
    # store turned that node away, no other one handed a key over.
    async def test_own_write_if_the_store_turns_the_writer_away(self) -> None:
        """A node writes for itself if the writer cannot reach the store."""
        turned_away = Store(self.store.table)
        turned_away.error = PlatformError('status 503')
        self.first.writer._store = cast(Any, turned_away)
        node = self.nodes[40]
        outcome = await node.writer.request(DESK, node.handover(40, owner(9)))
        self.assertTrue(outcome)
        self.assertEqual(turned_away.writes, 1)
        self.assertEqual(self.store.writes, 1)

    async def test_unreadable_request_is_no_request(self) -> None:
        """The sender then writes for itself."""
        for text in (b'7', b'[', b'["x",[[0,1]],[]]', b'["x",[],7]'):
            with self.subTest(text=text):
                reply = await self.first.writer.serve(DESK, text)
                self.assertFalse(reply.written)
                self.assertFalse(reply.version)
        self.assertEqual(self.store.writes, 0)
