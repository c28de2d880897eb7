"""The holder's side of a lease: until when a node may act as owner.

Notes
-----
A node may act as owner while each version of its record that may be current
is covered: by the write of that version or by a heartbeat that its standby
answered with a promise, either sent less than `LEASE_MS` ago.  After a write
whose reply was lost both the old and the new version may be current, until a
version newer than the old one is seen.
"""

import dataclasses

from savoryhold.core.ids import NodeId, ShardKey, Version, WriteId
from savoryhold.core.records import NodeRecord

__all__ = [
    'DRIFT_MS',
    'HEARTBEAT_MS',
    'LEASE_MS',
    'ConfirmedWrite',
    'HolderLease',
    'PendingWrite',
]

LEASE_MS = 1000
HEARTBEAT_MS = 250
DRIFT_MS = 50
NO_WRITE = WriteId(0)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedWrite:
    """A record known to have been written, and when its write was sent."""

    version: Version
    record: NodeRecord
    sent_at: int


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A write that may take effect; all its attempts carry one record."""

    record: NodeRecord
    first_sent_at: int
    number: WriteId
    uncertain: bool = False
    in_flight: bool = True
    retry_at: int = 0


class HolderLease:
    """Tracks the lease of one node's own record."""

    def __init__(self) -> None:
        self.confirmed: ConfirmedWrite | None = None
        self.pending: PendingWrite | None = None
        self._promises: dict[NodeId, int] = {}

    def begin(self, record: NodeRecord, now: int) -> PendingWrite:
        """Register a write of `record` that is about to be sent."""
        self.pending = PendingWrite(record, now, NO_WRITE)
        return self.pending

    def confirm_pending(self, version: Version) -> None:
        """Record that the pending write took effect at `version`."""
        if self.pending is None:
            return
        self.confirmed = ConfirmedWrite(
            version, self.pending.record, self.pending.first_sent_at
        )
        self.pending = None

    def adopt(self, version: Version, record: NodeRecord) -> None:
        """Accept a record that was read and that no pending write explains."""
        sent_at = self.confirmed.sent_at if self.confirmed else 0
        self.confirmed = ConfirmedWrite(version, record, sent_at)
        self.pending = None

    def discard_pending(self) -> None:
        """Discard the pending write, which was never sent."""
        self.pending = None

    def add_promise(self, standby: NodeId, sent_at: int) -> None:
        """Record a promise for the heartbeat sent at `sent_at`."""
        previous = self._promises.get(standby, sent_at)
        self._promises[standby] = max(previous, sent_at)

    def valid_until(self) -> int:
        """Return when the lease expires, in ms; 0 without a record.

        Returns
        -------
        int
            The earliest expiry over all records that may be current.
        """
        if self.confirmed is None:
            return 0
        expires_at = self._expires_at(
            self.confirmed.record, self.confirmed.sent_at
        )
        if self.pending is None:
            return expires_at
        pending_expires_at = self._expires_at(
            self.pending.record, self.pending.first_sent_at
        )
        return min(expires_at, pending_expires_at)

    def is_valid(self, now: int) -> bool:
        """Return whether the node may act as owner at `now`."""
        return now < self.valid_until()

    def standbys(self) -> set[NodeId]:
        """Return the standbys of all records that may be current."""
        records = [
            candidate.record
            for candidate in (self.confirmed, self.pending)
            if candidate is not None
        ]
        return {record.standby for record in records if record.standby}

    def may_have_released(self, key: ShardKey) -> bool:
        """Return whether a pending write grants the shard to another node."""
        return self.pending is not None and key in self.pending.record.outgoing

    def _expires_at(self, record: NodeRecord, sent_at: int) -> int:
        renewed_at = sent_at
        if record.standby is not None:
            renewed_at = max(sent_at, self._promises.get(record.standby, 0))
        return renewed_at + LEASE_MS
