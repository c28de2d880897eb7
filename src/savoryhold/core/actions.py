"""Actions that the ownership machine asks its caller to perform."""

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
    'ShardAcquired',
    'ShardReleased',
    'TakeSnapshot',
    'WriteObject',
]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteObject:
    """Write a record conditionally; answered by `WriteEnded`.

    ``number`` identifies this attempt and is repeated in its `WriteEnded`.
    ``expect`` is the version that the object must have, None if it must not
    exist; ``record`` is None to delete it.
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
    """Wait for running requests of a shard; answered by `ShardDrained`."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeShard:
    """A move was aborted: the shard is served here again."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverLedger:
    """Send request ids of shards to a node; answered by `LedgerHandedOver`.

    ``name`` is the record whose write waits for the handover.
    """

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
    """This node's record was claimed; it must rejoin with a new node id."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveFinished:
    """This node's record is deleted and the process may exit."""


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
