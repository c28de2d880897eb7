"""Tests of the holder's lease: when it is valid."""

import unittest

from savoryhold.core.ids import NodeId, Region, Version, Zone
from savoryhold.core.lease import LEASE_MS, HolderLease
from savoryhold.core.records import NodeRecord, Profile

__all__ = ['TestHolderLease']

FIRST_STANDBY = NodeId('standby.1')
SECOND_STANDBY = NodeId('standby.2')


def record(standby: NodeId | None) -> NodeRecord:
    """Return a record that names a standby."""
    profile = Profile(NodeId('me.1'), 'a:1', Region('r'), Zone('z'))
    return NodeRecord(profile, standby=standby)


class TestHolderLease(unittest.TestCase):
    """Validity under writes, promises and lost replies."""

    def setUp(self) -> None:
        """Start with a record written at 0."""
        self.lease = HolderLease()
        self.lease.begin(record(FIRST_STANDBY), 0)
        self.lease.confirm_pending(Version(1))

    def test_no_record_no_lease(self) -> None:
        """Before the first write nothing may be served."""
        self.assertFalse(HolderLease().is_valid(0))

    def test_write_counts_from_sending(self) -> None:
        """A write holds for one lease from when it was sent."""
        self.assertTrue(self.lease.is_valid(LEASE_MS - 1))
        self.assertFalse(self.lease.is_valid(LEASE_MS))

    def test_promise_extends(self) -> None:
        """A promise holds for one lease from the heartbeat's sending."""
        self.lease.add_promise(FIRST_STANDBY, 400)
        self.assertEqual(self.lease.valid_until(), 400 + LEASE_MS)

    def test_old_promise_does_not_shorten(self) -> None:
        """Promises may arrive in any order."""
        self.lease.add_promise(FIRST_STANDBY, 400)
        self.lease.add_promise(FIRST_STANDBY, 200)
        self.assertEqual(self.lease.valid_until(), 400 + LEASE_MS)

    def test_other_promise_does_not_count(self) -> None:
        """Only the named standby may claim, so only it can promise."""
        self.lease.add_promise(SECOND_STANDBY, 400)
        self.assertEqual(self.lease.valid_until(), LEASE_MS)

    def test_lost_reply_needs_both(self) -> None:
        """With two records that may be current both must be covered."""
        self.lease.begin(record(SECOND_STANDBY), 300)
        self.lease.add_promise(FIRST_STANDBY, 900)
        self.assertEqual(self.lease.valid_until(), 300 + LEASE_MS)
        self.lease.add_promise(SECOND_STANDBY, 500)
        self.assertEqual(self.lease.valid_until(), 500 + LEASE_MS)

    def test_confirmed_write_replaces(self) -> None:
        """Once the write is confirmed, only the new record counts."""
        self.lease.begin(record(SECOND_STANDBY), 300)
        self.lease.confirm_pending(Version(2))
        self.assertEqual(self.lease.standbys(), {SECOND_STANDBY})
        self.assertEqual(self.lease.valid_until(), 300 + LEASE_MS)
