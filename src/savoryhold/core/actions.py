"""Actions that the ownership machine asks its surroundings to perform."""

import dataclasses

from savoryhold.core.ids import (
    NodeId,
    ObjectName,
    ShardKey,
    Version,
    WriteId,
)
from savoryhold.core.records import NodeRecord

__all__ = [
    'Action',
    'DrainShard',
    'HandOverLedger',
    'LeaveFinished',
    'ReadObject',
    'Rejoin',
    'ResumeShard',
    'SendHeartbeat',
    'ShardReleased',
    'ShardAcquired',
    'TakeSnapshot',
    'WriteObject',
]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Write a record on condition; answered by `WriteEnded`.

    ``number`` names this try and comes back in its `WriteEnded`.
    ``expect`` is the version that must be present, None for no object;
    ``record`` is None to delete.
    """

    number: WriteId

    name: ObjectName
    record: NodeRecord | None
    expect: Version | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadObject:
    """Read one object from the store; answered by `RecordSeen`."""

    name: ObjectName


@dataclasses.dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Read all records at one instant; answered by `SnapshotSeen`."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Ask a standby for a promise; answered by `HeartbeatAnswered`."""

    standby: NodeId
    version: Version
    sent_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainShard:
    """Let running requests of a shard end; answered by `ShardDrained`."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeShard:
    """A move was given up: the shard is served here again."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverLedger:
    """Send request ids of shards to a node; answered by `LedgerHandedOver`."""

    name: ObjectName
    target: NodeId
    keys: frozenset[ShardKey]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardAcquired:
    """This node now holds a shard."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class ShardReleased:
    """This node no longer holds a shard."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoin:
    """This node's record was claimed; only a new node id may go on."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveFinished:
    """This node's record is gone and the process may end."""


Action = (
    WriteObject
    | ReadObject
    | TakeSnapshot
    | SendHeartbeat
    | DrainShard
    | ResumeShard
    | HandOverLedger
    | ShardAcquired
    | ShardReleased
    | Rejoin
    | LeaveFinished
)
