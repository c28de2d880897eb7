"""Events that the ownership machine handles."""

import dataclasses
import enum

from savoryhold.core.ids import (
    NodeId,
    ObjectName,
    ServiceName,
    ShardKey,
    Version,
    WriteId,
)
from savoryhold.core.records import NodeRecord

__all__ = [
    'Event',
    'HeartbeatAnswered',
    'LeaveRequested',
    'LedgerHandedOver',
    'MoveRequested',
    'RecordSeen',
    'RecoveryRequested',
    'ServiceConfigured',
    'ShardDrained',
    'SnapshotSeen',
    'TargetServicesChanged',
    'Tick',
    'WriteEnded',
    'WriteOutcome',
]


class WriteOutcome(enum.Enum):
    """How a conditional write ended, as far as its sender knows."""

    DONE = 'done'
    CONFLICT = 'conflict'
    UNCERTAIN = 'uncertain'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSeen:
    """A version of an object was seen; `record` is None when deleted."""

    name: ObjectName
    version: Version
    record: NodeRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotSeen:
    """All record objects of the store at one instant."""

    entries: tuple[RecordSeen, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEnded:
    """The outcome of a `WriteObject` action."""

    number: WriteId
    name: ObjectName
    outcome: WriteOutcome
    version: Version = Version(0)


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """A standby answered the heartbeat sent at `sent_at` with a promise."""

    standby: NodeId
    sent_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfigured:
    """A keyed service with this number of shards is configured."""

    service: ServiceName
    shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetServicesChanged:
    """The local target's services changed."""

    services: frozenset[ServiceName]


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequested:
    """A shard of this node should move to another node."""

    key: ShardKey
    target: NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class ShardDrained:
    """A shard that is being moved has no running requests any more."""

    key: ShardKey


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerHandedOver:
    """A `HandOverLedger` action ended; `taken` says whether it was stored."""

    name: ObjectName
    target: NodeId
    keys: frozenset[ShardKey]
    taken: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This node should hand over all its shards and leave."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryRequested:
    """An operator states that a node is gone and may be claimed."""

    node: NodeId


Event = (
    Tick
    | RecordSeen
    | SnapshotSeen
    | WriteEnded
    | HeartbeatAnswered
    | ServiceConfigured
    | TargetServicesChanged
    | MoveRequested
    | ShardDrained
    | LedgerHandedOver
    | LeaveRequested
    | RecoveryRequested
)
