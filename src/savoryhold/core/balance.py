"""Load balancing: which shard a node should move, and to which node."""

import dataclasses
import math
from collections.abc import Collection, Mapping

from savoryhold.core.ids import NodeId, Region, ShardKey

__all__ = [
    'BalancePolicy',
    'HomeTable',
    'LoadView',
    'ProposedMove',
    'choose_balancing_move',
    'choose_home_region_move',
    'shards_to_request',
]

MIN_SHARD_LOAD = 1e-9  # a shard with less counts as idle and stays
HOME_SHARE = 0.6  # of a shard's requests must arrive in its home region
HOME_MIN_RATE = 0.5  # requests a second; a shard with fewer has no home
HOME_OVERLOAD = 2.5  # times the mean load; above it a node gets no shards home
SMOOTHING = 0.3  # weight of a new rate in the moving average


@dataclasses.dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Thresholds above which a difference of load justifies a move.

    Parameters
    ----------
    margin : float
        Fraction of its own load by which a node must exceed the peer.
    sigmas : float
        Standard deviations of the measured difference that count as noise.
    window_s : float
        Time over which loads are measured, in seconds.
    """

    margin: float = 0.1
    sigmas: float = 2.0
    window_s: float = 5.0

    def threshold(self, own_load: float, peer_load: float) -> float:
        """Return the difference of load above which a move is justified.

        Notes
        -----
        Counts of arrivals over a window vary as a Poisson variable does:
        the difference of two rates has variance ``(a + b) / window``.
        """
        noise = math.sqrt((own_load + peer_load) / self.window_s)
        return max(self.sigmas * noise, self.margin * own_load)


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedMove:
    """A shard that should move, its new node and the load that it moves."""

    key: ShardKey
    target: NodeId
    gain: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """Loads of one service as known to one node.

    Parameters
    ----------
    shards : mapping of ShardKey to float
        Load of each shard of this node, in requests a second.
    settled : collection of ShardKey
        Shards that have been here long enough to be moved again.
    peers : mapping of NodeId to float
        Load of each other node that could receive a shard.
    regions : mapping of NodeId to Region
        Region of each of these nodes.
    homes : mapping of ShardKey to Region
        Region in which most requests of a shard arrive, if there is one.
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

    def may_move(self, key: ShardKey, target: NodeId) -> bool:
        """Return whether a settled shard may move to a node.

        A shard with a home region moves only to nodes of that region.
        """
        home = self.homes.get(key)
        in_home = home is None or home == self.regions.get(target)
        return in_home and key in self.settled


def choose_balancing_move(
    view: LoadView, policy: BalancePolicy
) -> ProposedMove | None:
    """Return the move that best balances this node and a peer.

    Returns
    -------
    ProposedMove or None
        A move that brings both loads closer without reversing their order.

    Notes
    -----
    A shard of load s that moves from a node of load a to a node of load b
    leaves loads a - s and b + s.  These are closer and not reversed if s is
    at most half of the difference, so the largest such shard gains the most.
    """
    own_load = view.total
    peers = sorted(view.peers, key=lambda node: (view.peers[node], node))
    for target in peers:
        gap = own_load - view.peers[target]
        if gap <= policy.threshold(own_load, view.peers[target]):
            return None
        candidates = [
            (load, key)
            for key, load in view.shards.items()
            if MIN_SHARD_LOAD < load <= gap / 2 and view.may_move(key, target)
        ]
        if candidates:
            load, key = max(candidates)
            return ProposedMove(key, target, load)
    return None


def choose_home_region_move(
    view: LoadView, own_region: Region
) -> ProposedMove | None:
    """Return a move of a shard to the region of its callers.

    Parameters
    ----------
    view : LoadView
        Loads and homes.
    own_region : Region
        Region of this node.

    Returns
    -------
    ProposedMove or None
        The busiest shard whose home is another region, and the least loaded
        node there, unless that node is already far busier than the mean.
    """
    misplaced = [
        (view.shards[key], key)
        for key in view.settled
        if key in view.shards and view.homes.get(key, own_region) != own_region
    ]
    for load, key in sorted(misplaced, reverse=True):
        home = view.homes[key]
        nodes = [node for node in view.peers if view.regions[node] == home]
        if not nodes:
            continue
        target = _least_loaded(nodes, view.peers)
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
        """Update the rates with the requests counted in `seconds`."""
        self._rates = {
            key: _smoothed(
                self._rates.get(key, {}), counts.get(key, {}), seconds
            )
            for key in held
        }

    def homes(self) -> dict[ShardKey, Region]:
        """Return the region in which most requests of a shard arrive."""
        found: dict[ShardKey, Region] = {}
        for key, rates in self._rates.items():
            total = sum(rates.values())
            dominant = [
                region
                for region, rate in rates.items()
                if total >= HOME_MIN_RATE and rate > HOME_SHARE * total
            ]
            if dominant:
                found[key] = dominant[0]
        return found


def shards_to_request(
    counts: Mapping[NodeId, int], joiner: NodeId
) -> dict[NodeId, int]:
    """Return how many shards a joining node requests of each other node.

    Parameters
    ----------
    counts : mapping of NodeId to int
        Shards owned by each node, the joiner included.
    joiner : NodeId
        The node that has joined and has fewer shards than its share.

    Returns
    -------
    dict of NodeId to int
        Shards to request of each node; the fullest nodes come first.
    """
    fair_share = sum(counts.values()) // max(len(counts), 1)
    missing = fair_share - counts.get(joiner, 0)
    requested: dict[NodeId, int] = {}
    remaining = dict(counts)
    remaining.pop(joiner, None)
    while missing > 0 and remaining:
        fullest = _fullest(remaining)
        if remaining[fullest] <= fair_share:
            break
        remaining[fullest] -= 1
        requested[fullest] = requested.get(fullest, 0) + 1
        missing -= 1
    return requested


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


def _least_loaded(nodes: list[NodeId], loads: Mapping[NodeId, float]) -> NodeId:
    return min(nodes, key=lambda node: (loads[node], node))
