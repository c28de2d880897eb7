"""The holder's side of a lease: which records may be current, until when.

Notes
-----
A node may act as owner while, for each of its own records that may now be
current, it has either a promise of that record's standby or a write of its
own, sent less than `LEASE_MS` ago.  A write whose reply was lost leaves two
records that may be current until a version past the old one is seen.
"""

import dataclasses

from savoryhold.core.ids import NodeId, ShardKey, Version, WriteId
from savoryhold.core.records import NodeRecord

__all__ = [
    'DRIFT_MS',
    'HEARTBEAT_MS',
    'LEASE_MS',
    'Candidate',
    'HolderLease',
    'PendingWrite',
]

LEASE_MS = 1000
HEARTBEAT_MS = 250
DRIFT_MS = 50
NO_WRITE = WriteId(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A record known to have been written, and when its write was sent."""

    version: Version
    record: NodeRecord
    sent_at: int


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A write that may take effect; all its tries carry one record."""

    record: NodeRecord
    first_sent_at: int
    number: WriteId
    uncertain: bool = False
    in_flight: bool = True
    retry_at: int = 0


class HolderLease:
    """Tracks the lease of one node's own record."""

    def __init__(self) -> None:
        self.confirmed: Candidate | None = None
        self.pending: PendingWrite | None = None
        self._promised: dict[NodeId, int] = {}

    def begin(self, record: NodeRecord, now: int) -> PendingWrite:
        """Note that a write of `record` is about to be sent."""
        self.pending = PendingWrite(record, now, NO_WRITE)
        return self.pending

    def landed(self, version: Version) -> None:
        """Note that the pending write took effect at `version`."""
        if self.pending is None:
            return
        self.confirmed = Candidate(
            version, self.pending.record, self.pending.first_sent_at
        )
        self.pending = None

    def adopt(self, version: Version, record: NodeRecord) -> None:
        """Take a record read back that no pending write explains."""
        sent_at = self.confirmed.sent_at if self.confirmed else 0
        self.confirmed = Candidate(version, record, sent_at)
        self.pending = None

    def dropped(self) -> None:
        """Note that the pending write was never sent."""
        self.pending = None

    def promised(self, standby: NodeId, sent_at: int) -> None:
        """Note a promise for the heartbeat sent at `sent_at`."""
        previous = self._promised.get(standby, sent_at)
        self._promised[standby] = max(previous, sent_at)

    def valid_until(self) -> int:
        """Return when the lease lapses, in ms; 0 without a record.

        Returns
        -------
        int
            The earliest lapse over all records that may be current.
        """
        if self.confirmed is None:
            return 0
        lapse = self._lapse(self.confirmed.record, self.confirmed.sent_at)
        if self.pending is None:
            return lapse
        unsettled = self._lapse(self.pending.record, self.pending.first_sent_at)
        return min(lapse, unsettled)

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

    def may_have_given(self, key: ShardKey) -> bool:
        """Return whether a pending write gives the shard away."""
        return self.pending is not None and key in self.pending.record.outgoing

    def _lapse(self, record: NodeRecord, sent_at: int) -> int:
        renewed_at = sent_at
        if record.standby is not None:
            renewed_at = max(sent_at, self._promised.get(record.standby, 0))
        return renewed_at + LEASE_MS
