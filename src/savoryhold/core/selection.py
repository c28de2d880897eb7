"""Choice of a node for requests without keys: the better of two."""

import dataclasses
from collections.abc import Callable, Sequence

from savoryhold.core.ids import NodeId

__all__ = ['LatencyTable', 'best_of_two']

SMOOTHING = 0.2
INITIAL_LATENCY_MS = 1.0
PENALTY_MS = 200.0  # latency that a failure counts as


@dataclasses.dataclass(slots=True)
class _NodeStats:
    mean_ms: float = INITIAL_LATENCY_MS
    in_flight: int = 0


class LatencyTable:
    """Latency and requests in flight of each node, as measured here."""

    def __init__(self) -> None:
        self._stats: dict[NodeId, _NodeStats] = {}

    def begin(self, node: NodeId) -> None:
        """Count a request sent to a node."""
        self._stats_of(node).in_flight += 1

    def end(self, node: NodeId, took_ms: float) -> None:
        """Record the end of a request and how long it took."""
        stats = self._stats_of(node)
        stats.in_flight -= 1
        stats.mean_ms += SMOOTHING * (took_ms - stats.mean_ms)

    def record_failure(self, node: NodeId) -> None:
        """Record a failure as slow: a fast one must not attract requests."""
        stats = self._stats_of(node)
        stats.mean_ms += SMOOTHING * (PENALTY_MS - stats.mean_ms)

    def cost(self, node: NodeId) -> float:
        """Return the expected wait at a node, in ms."""
        stats = self._stats_of(node)
        return stats.mean_ms * (stats.in_flight + 1)

    def _stats_of(self, node: NodeId) -> _NodeStats:
        return self._stats.setdefault(node, _NodeStats())


def best_of_two(
    nodes: Sequence[NodeId],
    table: LatencyTable,
    draw: Callable[[], float],
) -> NodeId | None:
    """Return the better of two nodes drawn at random.

    Parameters
    ----------
    nodes : sequence of NodeId
        Nodes to choose from.
    table : LatencyTable
        Measurements of the nodes.
    draw : callable
        Returns a random number, at least 0 and less than 1.

    Notes
    -----
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """
    if not nodes:
        return None
    first = nodes[int(draw() * len(nodes))]
    second = nodes[int(draw() * len(nodes))]
    return min(first, second, key=table.cost)
