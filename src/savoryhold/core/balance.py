"""Which shard a node offers to which other node, and when."""

import dataclasses
import math
from collections.abc import Collection, Mapping

from savoryhold.core.ids import NodeId, ShardKey

__all__ = ['BalancePolicy', 'Offer', 'choose_offer', 'join_share']

NOISE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class BalancePolicy:
    """When a difference of load is worth a move.

    Parameters
    ----------
    margin : float
        Share of the own load by which it must exceed the other.
    sigmas : float
        Standard deviations of the measured difference that count as noise.
    window_s : float
        Time over which loads are measured, in seconds.
    """

    margin: float = 0.1
    sigmas: float = 2.0
    window_s: float = 5.0

    def threshold(self, mine: float, theirs: float) -> float:
        """Return the difference of load that is worth a move.

        Notes
        -----
        Counts of arrivals over a window vary as a Poisson variable does:
        the difference of two rates has variance ``(a + b) / window``.
        """
        noise = math.sqrt((mine + theirs) / self.window_s)
        return max(self.sigmas * noise, self.margin * mine)


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A shard that should move, and where to."""

    key: ShardKey
    target: NodeId
    gain: float


def choose_offer(
    shard_loads: Mapping[ShardKey, float],
    settled: Collection[ShardKey],
    peer_loads: Mapping[NodeId, float],
    policy: BalancePolicy,
) -> Offer | None:
    """Return the move that best evens out this node and a peer.

    Parameters
    ----------
    shard_loads : mapping of ShardKey to float
        Load of each shard of this node, in requests a second.
    settled : collection of ShardKey
        Shards that have been here long enough to be moved on.
    peer_loads : mapping of NodeId to float
        Load of each node that could take a shard.
    policy : BalancePolicy
        Margin and floor.

    Returns
    -------
    Offer or None
        A move that leaves the pair closer and does not reverse it.

    Notes
    -----
    A shard of load s moved from load a to load b leaves the pair at
    a - s and b + s; it is closer and not reversed if s is at most half of
    the difference.  The largest such shard gains the most.
    """
    if not peer_loads or not shard_loads:
        return None
    mine = sum(shard_loads.values())
    target = min(peer_loads, key=lambda node: (peer_loads[node], node))
    gap = mine - peer_loads[target]
    if gap <= policy.threshold(mine, peer_loads[target]):
        return None
    fitting = [
        (load, key)
        for key, load in shard_loads.items()
        if key in settled and NOISE < load <= gap / 2
    ]
    if not fitting:
        return None
    load, key = max(fitting)
    return Offer(key, target, load)


def join_share(
    counts: Mapping[NodeId, int], joiner: NodeId
) -> dict[NodeId, int]:
    """Return how many shards each node gives to one that has too few.

    Parameters
    ----------
    counts : mapping of NodeId to int
        Shards owned by each node, the joiner included.
    joiner : NodeId
        The node that asks.

    Returns
    -------
    dict of NodeId to int
        Shards to ask of each node; the fullest give first.
    """
    fair = sum(counts.values()) // max(len(counts), 1)
    missing = fair - counts.get(joiner, 0)
    asked: dict[NodeId, int] = {}
    left = dict(counts)
    left.pop(joiner, None)
    while missing > 0 and left:
        fullest = _fullest(left)
        if left[fullest] <= fair:
            break
        left[fullest] -= 1
        asked[fullest] = asked.get(fullest, 0) + 1
        missing -= 1
    return asked


def _fullest(counts: Mapping[NodeId, int]) -> NodeId:
    return max(counts, key=lambda node: (counts[node], node))
