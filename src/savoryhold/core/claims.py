"""Pure steps on records whose node no longer writes them."""

import dataclasses
import heapq
from collections.abc import Iterable, Mapping

from savoryhold.core.ids import Epoch, NodeId, ServiceName, ShardKey
from savoryhold.core.records import Grant, NodeRecord, NodeState
from savoryhold.core.rendezvous import rank
from savoryhold.core.routing import Directory

__all__ = [
    'claimed_record',
    'root_record',
    'settled_outgoing',
    'assign_shards',
    'stranded',
]

FIRST_EPOCH = Epoch(1)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class _Place:
    """A node that may take shards; the least loaded sorts first."""

    shards: int
    rank: int
    node: NodeId


def assign_shards(
    keys: Iterable[ShardKey],
    directory: Directory,
    avoid: frozenset[NodeId],
    salt: str = '',
) -> dict[ShardKey, NodeId]:
    """Assign each shard to the least loaded node that serves its service.

    Parameters
    ----------
    keys : iterable of ShardKey
        Shards without an owner.
    directory : Directory
        Source of the nodes and of how many shards each owns.
    avoid : frozenset of NodeId
        Nodes not to choose.
    salt : str
        Orders equally loaded nodes; differs from claim to claim, so that
        claims made at once do not all choose the same nodes.

    Returns
    -------
    dict
        New owner by shard; shards that no node can serve are left out.
    """
    pools: dict[ServiceName, list[_Place]] = {}
    chosen: dict[ShardKey, NodeId] = {}
    for key in sorted(keys):
        if key.service not in pools:
            pools[key.service] = _places(key.service, directory, avoid, salt)
        pool = pools[key.service]
        if not pool:
            continue
        place = pool[0]
        chosen[key] = place.node
        heapq.heapreplace(
            pool, dataclasses.replace(place, shards=place.shards + 1)
        )
    return chosen


def claimed_record(
    record: NodeRecord, claimant: NodeId, owners: Mapping[ShardKey, NodeId]
) -> NodeRecord:
    """Return a record with some owned shards given to new owners.

    Parameters
    ----------
    record : NodeRecord
        The record of a node whose lease has lapsed.
    claimant : NodeId
        The node that writes the record from now on.
    owners : mapping of ShardKey to NodeId
        New owner of each shard that has one; others stay in ``owned``.
    """
    owned = {
        key: epoch for key, epoch in record.owned.items() if key not in owners
    }
    given = {
        key: Grant(Epoch(record.owned[key] + 1), owner)
        for key, owner in owners.items()
        if key in record.owned
    }
    return dataclasses.replace(
        record,
        state=NodeState.CLAIMED,
        claimant=claimant,
        owned=owned,
        outgoing={**record.outgoing, **given},
    )


def root_record(
    record: NodeRecord, owners: Mapping[ShardKey, NodeId]
) -> NodeRecord:
    """Return a service's first assignment: all shards at epoch 1."""
    return dataclasses.replace(
        record,
        state=NodeState.CLAIMED,
        outgoing={
            key: Grant(FIRST_EPOCH, owner) for key, owner in owners.items()
        },
    )


def settled_outgoing(
    record: NodeRecord, directory: Directory
) -> dict[ShardKey, Grant]:
    """Return a record's grants that their new owners have not yet listed.

    Notes
    -----
    A higher epoch anywhere shows that the grant was listed too, since an
    owner must list a shard before it may hand it on.
    """
    return {
        key: grant
        for key, grant in record.outgoing.items()
        if directory.listed(key) < grant.epoch
        and not _is_passed(directory, key, grant)
    }


def stranded(record: NodeRecord, directory: Directory) -> set[ShardKey]:
    """Return unlisted grants of a record whose new owner is not live.

    Notes
    -----
    Only safe to act on for a directory made from one snapshot of the
    store: the new owner may have listed the shard and its claimant may have
    given it on, which news that arrives out of order would hide.
    """
    return {
        key
        for key, grant in settled_outgoing(record, directory).items()
        if not directory.is_live(grant.owner) and directory.route(key) == grant
    }


def _is_passed(directory: Directory, key: ShardKey, grant: Grant) -> bool:
    newest = directory.route(key)
    return newest is not None and newest.epoch > grant.epoch


def _places(
    service: ServiceName,
    directory: Directory,
    avoid: frozenset[NodeId],
    salt: str,
) -> list[_Place]:
    nodes = [record.node for record in directory.offering(service)]
    pool = [
        _Place(directory.shard_count(node), rank(node, salt), node)
        for node in nodes
        if node not in avoid
    ]
    heapq.heapify(pool)
    return pool
