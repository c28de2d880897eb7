"""Which shard a node offers to which other node, and when."""

import dataclasses
import math
from collections.abc import Collection, Mapping

from savoryhold.core.ids import NodeId, Region, ShardKey

__all__ = [
    'BalancePolicy',
    'HomeTable',
    'LoadView',
    'ProposedMove',
    'choose_home_region_move',
    'choose_balancing_move',
    'shards_to_request',
]

NOISE = 1e-9
HOME_SHARE = 0.6
HOME_MIN_RATE = 0.5
HOME_OVERLOAD = 2.5
SMOOTHING = 0.3


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
class ProposedMove:
    """A shard that should move, and where to."""

    key: ShardKey
    target: NodeId
    gain: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """What one node knows of the loads of a service.

    Parameters
    ----------
    shards : mapping of ShardKey to float
        Load of each shard of this node, in requests a second.
    settled : collection of ShardKey
        Shards that have been here long enough to be moved on.
    peers : mapping of NodeId to float
        Load of each node that could take a shard.
    regions : mapping of NodeId to Region
        Region of each of these nodes.
    homes : mapping of ShardKey to Region
        Region that most requests of a shard enter by, where there is one.
    """

    shards: Mapping[ShardKey, float]
    settled: Collection[ShardKey]
    peers: Mapping[NodeId, float]
    regions: Mapping[NodeId, Region] = dataclasses.field(default_factory=dict)
    homes: Mapping[ShardKey, Region] = dataclasses.field(default_factory=dict)

    @property
    def total(self) -> float:
        """Return the load of all shards of this node."""
        return sum(self.shards.values())

    @property
    def mean(self) -> float:
        """Return the mean load over this node and its peers."""
        return (self.total + sum(self.peers.values())) / (len(self.peers) + 1)

    def may_go(self, key: ShardKey, target: NodeId) -> bool:
        """Return whether a shard may move without leaving its callers."""
        home = self.homes.get(key)
        in_home = home is None or home == self.regions.get(target)
        return in_home and key in self.settled


def choose_balancing_move(
    view: LoadView, policy: BalancePolicy
) -> ProposedMove | None:
    """Return the move that best evens out this node and a peer.

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
    mine = view.total
    peers = sorted(view.peers, key=lambda node: (view.peers[node], node))
    for target in peers:
        gap = mine - view.peers[target]
        if gap <= policy.threshold(mine, view.peers[target]):
            return None
        fitting = [
            (load, key)
            for key, load in view.shards.items()
            if NOISE < load <= gap / 2 and view.may_go(key, target)
        ]
        if fitting:
            load, key = max(fitting)
            return ProposedMove(key, target, load)
    return None


def choose_home_region_move(
    view: LoadView, here: Region
) -> ProposedMove | None:
    """Return a move of a shard to the region of its callers.

    Parameters
    ----------
    view : LoadView
        Loads and homes.
    here : Region
        Region of this node.

    Returns
    -------
    Offer or None
        The busiest shard whose home is another region, and the least loaded
        node there, unless that node is already far busier than the mean.
    """
    away = [
        (view.shards[key], key)
        for key in view.settled
        if key in view.shards and view.homes.get(key, here) != here
    ]
    for load, key in sorted(away, reverse=True):
        home = view.homes[key]
        nodes = [node for node in view.peers if view.regions[node] == home]
        if not nodes:
            continue
        target = _idlest(nodes, view.peers)
        if view.peers[target] <= HOME_OVERLOAD * view.mean + load:
            return ProposedMove(key, target, load)
    return None


class HomeTable:
    """Smoothed rates of each shard's requests, by region of entry."""

    def __init__(self) -> None:
        self._rates: dict[ShardKey, dict[Region, float]] = {}

    def measure(
        self,
        held: Collection[ShardKey],
        counts: Mapping[ShardKey, Mapping[Region, int]],
        seconds: float,
    ) -> None:
        """Take in the requests counted since the last time."""
        self._rates = {
            key: _smoothed(
                self._rates.get(key, {}), counts.get(key, {}), seconds
            )
            for key in held
        }

    def homes(self) -> dict[ShardKey, Region]:
        """Return the region that most requests of a shard enter by."""
        found: dict[ShardKey, Region] = {}
        for key, rates in self._rates.items():
            total = sum(rates.values())
            main = [
                region
                for region, rate in rates.items()
                if total >= HOME_MIN_RATE and rate > HOME_SHARE * total
            ]
            if main:
                found[key] = main[0]
        return found


def shards_to_request(
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


def _smoothed(
    old: Mapping[Region, float], counts: Mapping[Region, int], seconds: float
) -> dict[Region, float]:
    regions = {*old, *counts}
    return {
        region: (1 - SMOOTHING) * old.get(region, 0)
        + SMOOTHING * counts.get(region, 0) / seconds
        for region in regions
    }


def _idlest(nodes: list[NodeId], loads: Mapping[NodeId, float]) -> NodeId:
    return min(nodes, key=lambda node: (loads[node], node))
