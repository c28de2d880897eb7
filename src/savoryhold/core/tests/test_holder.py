"""Regression tests of a node's own record, found by fuzzing."""

import unittest

from savoryhold.core import actions, events
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    Region,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
    WriteId,
    Zone,
    node_object,
)
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.core.records import Grant, NodeRecord, NodeState, Profile

__all__ = ['TestOwnRecord']

SERVICE = ServiceName('booking')
KEY = ShardKey(SERVICE, ShardId(3))
ME = NodeId('me.1')
OTHER = NodeId('other.1')


def profile(node: NodeId) -> Profile:
    """Return a profile in one region."""
    return Profile(
        node, f'{node}:1', Region('r'), Zone('z'), frozenset({SERVICE})
    )


def first_write(found: list[actions.Action]) -> actions.WriteObject:
    """Return the first write among some actions."""
    writes = [
        action for action in found if isinstance(action, actions.WriteObject)
    ]
    return writes[0]


class TestOwnRecord(unittest.TestCase):
    """A machine that has written its record once."""

    def setUp(self) -> None:
        """Start one node that knows of another one."""
        self.machine = OwnershipMachine(profile(ME), 0)
        other = NodeRecord(profile(OTHER))
        self.show_record(node_object(OTHER), 1, other, 0)
        write = first_write(self.machine.handle(events.Tick(), 0))
        self.confirm_write(write, 2, 10)

    def show_record(
        self, name: str, version: int, record: NodeRecord, now: int
    ) -> None:
        """Show the machine a version of a record."""
        self.machine.handle(
            events.RecordSeen(
                node_object(NodeId(name.partition('/')[2])),
                Version(version),
                record,
            ),
            now,
        )

    def confirm_write(
        self, write: actions.WriteObject, version: int, now: int
    ) -> None:
        """Tell the machine that a write took effect."""
        self.machine.handle(
            events.WriteEnded(
                write.number,
                write.name,
                events.WriteOutcome.DONE,
                Version(version),
            ),
            now,
        )

    def test_late_reply_is_not_taken_for_another_write(self) -> None:
        """A refused retry of a confirmed write discarded the next write."""
        self.machine.holder.mark_dirty(100)
        write = first_write(self.machine.handle(events.Tick(), 200))
        stale = events.WriteEnded(
            WriteId(write.number - 1),
            write.name,
            events.WriteOutcome.REFUSED,
        )
        self.machine.handle(stale, 210)
        pending = self.machine.holder.lease.pending
        assert pending is not None
        self.assertEqual(pending.number, write.number)

    def test_outcome_of_unknown_update_is_not_a_deletion(self) -> None:
        """An outcome without its update was taken for a deleted record."""
        forgotten = events.WriteEnded(
            WriteId(99),
            node_object(OTHER),
            events.WriteOutcome.DONE,
            Version(50),
        )
        self.machine.handle(forgotten, 20)
        self.assertTrue(self.machine.directory.is_live(OTHER))

    def test_regained_shard_is_not_released_by_old_grant(self) -> None:
        """A node that granted a shard and got it back released it again."""
        granted = NodeRecord(
            profile(OTHER), outgoing={KEY: Grant(Epoch(3), ME)}
        )
        confirmed = self.machine.holder.lease.confirmed
        assert confirmed is not None
        confirmed.record.outgoing[KEY] = Grant(Epoch(2), OTHER)  # type: ignore
        self.show_record(node_object(OTHER), 5, granted, 30)
        self.assertEqual(self.machine.holder.held, {KEY: Epoch(3)})
        write = first_write(self.machine.handle(events.Tick(), 200))
        assert write.record is not None
        self.assertEqual(write.record.owned, {KEY: Epoch(3)})
        self.assertNotIn(KEY, write.record.outgoing)
        self.assertIn(KEY, self.machine.holder.held)

    def test_recreated_record_is_not_adopted(self) -> None:
        """A delayed write created a claimed record again (walk 40007)."""
        granted = NodeRecord(
            profile(OTHER), outgoing={KEY: Grant(Epoch(3), ME)}
        )
        self.show_record(node_object(OTHER), 5, granted, 30)
        first = NodeRecord(profile(ME), serial=1)
        seen = events.RecordSeen(node_object(ME), Version(87), first)
        found = self.machine.handle(seen, 60)
        self.assertIn(actions.Rejoin(), found)
        self.assertFalse(self.machine.may_send(KEY, 60))

    def test_creation_is_sent_once(self) -> None:
        """An uncertain creation is read back, not sent again."""
        machine = OwnershipMachine(profile(NodeId('new.1')), 0)
        write = first_write(machine.handle(events.Tick(), 0))
        uncertain = events.WriteEnded(
            write.number, write.name, events.WriteOutcome.UNCERTAIN
        )
        machine.handle(uncertain, 100)
        for now in range(400, 2000, 400):
            found = machine.handle(events.Tick(), now)
            self.assertEqual(found, [actions.ReadObject(write.name)])
        absent = events.RecordSeen(write.name, Version(9), None)
        self.assertIn(actions.Rejoin(), machine.handle(absent, 2100))

    def test_shard_moves_only_once_it_is_listed(self) -> None:
        """A move that began earlier was never written and admitted nothing."""
        granted = NodeRecord(
            profile(OTHER), outgoing={KEY: Grant(Epoch(3), ME)}
        )
        self.show_record(node_object(OTHER), 5, granted, 30)
        self.machine.handle(events.MoveRequested(KEY, OTHER), 40)
        self.assertTrue(self.machine.may_admit(KEY, 41))
        write = first_write(self.machine.handle(events.Tick(), 100))
        self.confirm_write(write, 6, 110)
        found = self.machine.handle(events.MoveRequested(KEY, OTHER), 120)
        self.assertEqual(found, [actions.DrainShard(KEY)])

    def test_claimed_node_serves_nothing(self) -> None:
        """A node that sees its record claimed stops serving at once."""
        granted = NodeRecord(
            profile(OTHER), outgoing={KEY: Grant(Epoch(3), ME)}
        )
        self.show_record(node_object(OTHER), 5, granted, 30)
        self.assertTrue(self.machine.may_admit(KEY, 40))
        claimed = events.RecordSeen(
            node_object(ME),
            Version(9),
            NodeRecord(profile(ME), NodeState.CLAIMED, OTHER),
        )
        found = self.machine.handle(claimed, 50)
        self.assertIn(actions.Rejoin(), found)
        self.assertFalse(self.machine.may_send(KEY, 50))
