"""Node records: the lease and the assignment of one node in one object."""

import dataclasses
import enum
import json
from collections.abc import Mapping
from typing import Any

from savoryhold.core.decoding import UNREADABLE, parse_json, whole_number
from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    Region,
    ServiceName,
    ShardId,
    ShardKey,
    Zone,
)

__all__ = [
    'Grant',
    'NodeRecord',
    'NodeState',
    'Profile',
    'decode_record',
    'encode_record',
]


class NodeState(enum.Enum):
    """State of a node record."""

    ACTIVE = 'ACTIVE'
    LEAVING = 'LEAVING'
    CLAIMED = 'CLAIMED'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The owner of a shard, and the epoch from which it owns the shard."""

    epoch: Epoch
    owner: NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Identity, address, location and services of a node."""

    node: NodeId
    address: str
    region: Region
    zone: Zone
    services: frozenset[ServiceName] = frozenset()


# Types of `NodeRecord.owned` and `NodeRecord.outgoing`.
Owned = Mapping[ShardKey, Epoch]
Outgoing = Mapping[ShardKey, Grant]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """One node's lease and assignment, as stored in the object API.

    ``owned`` lists the shards that the node owns, ``outgoing`` those granted
    to new owners, which may not have listed them yet.  ``claimant`` is the
    node that has claimed the record, ``standby`` the one that may claim it.
    ``serial`` counts the node's own distinct writes, so that a node can tell
    which of its writes took effect.
    """

    profile: Profile
    state: NodeState = NodeState.ACTIVE
    claimant: NodeId | None = None
    standby: NodeId | None = None
    owned: Owned = dataclasses.field(default_factory=dict)
    outgoing: Outgoing = dataclasses.field(default_factory=dict)
    serial: int = 0

    @property
    def node(self) -> NodeId:
        """Return the id of the node that the record describes."""
        return self.profile.node

    @property
    def is_live(self) -> bool:
        """Return whether the node itself still writes this record."""
        return self.state is not NodeState.CLAIMED


def encode_record(record: NodeRecord) -> str:
    """Return the JSON text of a record; equal records give equal texts."""
    profile = record.profile
    fields = {
        'node': profile.node,
        'address': profile.address,
        'region': profile.region,
        'zone': profile.zone,
        'services': sorted(profile.services),
        'state': record.state.value,
        'claimant': record.claimant,
        'standby': record.standby,
        'serial': record.serial,
        'owned': _encode_owned(record.owned),
        'outgoing': _encode_outgoing(record.outgoing),
    }
    return json.dumps(fields, sort_keys=True, separators=(',', ':'))


def decode_record(text: str) -> NodeRecord:
    """Return the record that a JSON text describes.

    Raises
    ------
    MalformedMessageError
        If the text is not JSON or a field is missing or of a wrong type.
    """
    try:
        return _decode_fields(parse_json(text))
    except UNREADABLE as exc:
        raise MalformedMessageError(f'malformed node record: {exc!r}') from exc


def _decode_fields(fields: Any) -> NodeRecord:
    profile = Profile(
        NodeId(str(fields['node'])),
        str(fields['address']),
        Region(str(fields['region'])),
        Zone(str(fields['zone'])),
        frozenset(ServiceName(name) for name in fields['services']),
    )
    return NodeRecord(
        profile,
        NodeState(fields['state']),
        _node_or_none(fields['claimant']),
        _node_or_none(fields['standby']),
        _decode_owned(fields['owned']),
        _decode_outgoing(fields['outgoing']),
        whole_number(fields['serial']),
    )


def _node_or_none(field: Any) -> NodeId | None:
    if field is not None and not isinstance(field, str):
        raise TypeError(f'{field!r} is not the name of a node')
    return field if field is None else NodeId(field)


def _encode_owned(owned: Owned) -> dict[str, dict[str, int]]:
    fields: dict[str, dict[str, int]] = {}
    for key, epoch in owned.items():
        fields.setdefault(key.service, {})[str(key.shard)] = epoch
    return fields


def _encode_outgoing(outgoing: Outgoing) -> dict[str, dict[str, list[Any]]]:
    fields: dict[str, dict[str, list[Any]]] = {}
    for key, grant in outgoing.items():
        shards = fields.setdefault(key.service, {})
        shards[str(key.shard)] = [grant.epoch, grant.owner]
    return fields


def _decode_owned(fields: Any) -> dict[ShardKey, Epoch]:
    return {
        ShardKey(ServiceName(service), ShardId(int(shard))): Epoch(
            whole_number(epoch)
        )
        for service, shards in fields.items()
        for shard, epoch in shards.items()
    }


def _decode_outgoing(fields: Any) -> dict[ShardKey, Grant]:
    return {
        ShardKey(ServiceName(service), ShardId(int(shard))): Grant(
            Epoch(whole_number(epoch)), NodeId(str(owner))
        )
        for service, shards in fields.items()
        for shard, (epoch, owner) in shards.items()
    }
