"""Pure functions that compute new owners, grants and claimed records."""

import dataclasses
import heapq
from collections.abc import Iterable, Mapping

from savoryhold.core.ids import Epoch, NodeId, ServiceName, ShardKey
from savoryhold.core.records import Grant, NodeRecord, NodeState
from savoryhold.core.rendezvous import rank
from savoryhold.core.routing import Directory

__all__ = [
    'assign_shards',
    'claimed_record',
    'first_assignment_record',
    'stranded_grants',
    'unsettled_grants',
]

FIRST_EPOCH = Epoch(1)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class _Receiver:
    """A node that may receive shards; the least loaded sorts first."""

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
        Breaks ties between equally loaded nodes; differs between claims, so
        that concurrent claims do not all choose the same nodes.

    Returns
    -------
    dict
        New owner by shard; shards that no node can serve are left out.
    """
    pools: dict[ServiceName, list[_Receiver]] = {}
    chosen: dict[ShardKey, NodeId] = {}
    for key in sorted(keys):
        if key.service not in pools:
            pools[key.service] = _receivers(key.service, directory, avoid, salt)
        pool = pools[key.service]
        if not pool:
            continue
        receiver = pool[0]
        chosen[key] = receiver.node
        heapq.heapreplace(
            pool, dataclasses.replace(receiver, shards=receiver.shards + 1)
        )
    return chosen


def claimed_record(
    record: NodeRecord, claimant: NodeId, owners: Mapping[ShardKey, NodeId]
) -> NodeRecord:
    """Return a record as claimed, with shards granted to new owners.

    Parameters
    ----------
    record : NodeRecord
        The record of a node whose lease has expired.
    claimant : NodeId
        The node that writes the record from now on.
    owners : mapping of ShardKey to NodeId
        New owner of each shard that has one; others stay in ``owned``.
    """
    owned = {
        key: epoch for key, epoch in record.owned.items() if key not in owners
    }
    grants = {
        key: Grant(Epoch(record.owned[key] + 1), owner)
        for key, owner in owners.items()
        if key in record.owned
    }
    return dataclasses.replace(
        record,
        state=NodeState.CLAIMED,
        claimant=claimant,
        owned=owned,
        outgoing={**record.outgoing, **grants},
    )


def first_assignment_record(
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


def unsettled_grants(
    record: NodeRecord, directory: Directory
) -> dict[ShardKey, Grant]:
    """Return a record's grants that their new owners have not yet listed.

    Notes
    -----
    A higher epoch of the shard in any record shows that the grant was listed
    too, since an owner must list a shard before it may grant it to another.
    """
    return {
        key: grant
        for key, grant in record.outgoing.items()
        if directory.listed_epoch(key) < grant.epoch
        and not _is_superseded(directory, key, grant)
    }


def stranded_grants(record: NodeRecord, directory: Directory) -> set[ShardKey]:
    """Return unlisted grants of a record whose new owner is not live.

    Notes
    -----
    Acting on the result is safe only if the directory was built from one
    snapshot of the store.  The new owner may have listed the shard, and its
    claimant may have granted it to another node; updates that arrive out of
    order would hide this.
    """
    return {
        key
        for key, grant in unsettled_grants(record, directory).items()
        if not directory.is_live(grant.owner) and directory.route(key) == grant
    }


def _is_superseded(directory: Directory, key: ShardKey, grant: Grant) -> bool:
    newest = directory.route(key)
    return newest is not None and newest.epoch > grant.epoch


def _receivers(
    service: ServiceName,
    directory: Directory,
    avoid: frozenset[NodeId],
    salt: str,
) -> list[_Receiver]:
    nodes = [record.node for record in directory.offering(service)]
    pool = [
        _Receiver(directory.shard_count(node), rank(node, salt), node)
        for node in nodes
        if node not in avoid
    ]
    heapq.heapify(pool)
    return pool
