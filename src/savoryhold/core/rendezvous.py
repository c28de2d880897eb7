"""Rendezvous hashing: ranks of nodes, and the choices made by rank."""

from collections.abc import Iterable

from savoryhold.core.hashing import hash64
from savoryhold.core.ids import NodeId
from savoryhold.core.records import NodeRecord, Profile

__all__ = ['choose_standby', 'is_watcher', 'lowest_ranked', 'rank']

WATCHERS_PER_ZONE = 2


def rank(node: NodeId, salt: str = '') -> int:
    """Return a node's rank: a 64-bit hash of its id and a salt."""
    return hash64(f'{salt}|{node}')


def lowest_ranked(nodes: Iterable[NodeId], salt: str = '') -> NodeId | None:
    """Return the node of lowest rank, None when there are no nodes."""
    return min(nodes, key=lambda node: rank(node, salt), default=None)


def choose_standby(
    holder: Profile, live: Iterable[NodeRecord], avoid: frozenset[NodeId]
) -> NodeId | None:
    """Return the node that should be the standby of a holder.

    Parameters
    ----------
    holder : Profile
        The node that needs a standby.
    live : iterable of NodeRecord
        Records of the nodes that may serve as standby.
    avoid : frozenset of NodeId
        Nodes not to choose unless there is no other.

    Returns
    -------
    NodeId or None
        A node of the holder's region, of another zone where there is one;
        None when the region has no other node.

    Notes
    -----
    The holder's position among its zone's nodes, ordered by rank, selects
    the position among the other zones' nodes, so that each node is standby
    of about the same number of holders.
    """
    peers = [
        record.profile
        for record in live
        if record.profile.region == holder.region and record.node != holder.node
    ]
    preferred = [peer for peer in peers if peer.node not in avoid]
    pool = preferred or peers
    other_zones = [peer for peer in pool if peer.zone != holder.zone]
    ordered = sorted(
        (peer.node for peer in other_zones or pool),
        key=rank,
    )
    if not ordered:
        return None
    zone = [peer.node for peer in peers if peer.zone == holder.zone]
    position = sum(1 for node in zone if rank(node) < rank(holder.node))
    return ordered[position % len(ordered)]


def is_watcher(me: Profile, live: Iterable[NodeRecord]) -> bool:
    """Return whether a node should hold a watch on the store."""
    zone = [
        record.node
        for record in live
        if record.profile.zone == me.zone and record.profile.region == me.region
    ]
    ordered = sorted({*zone, me.node}, key=rank)
    return me.node in ordered[:WATCHERS_PER_ZONE]
