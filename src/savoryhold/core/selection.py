"""Choice of a target for requests without keys: best of two."""

import dataclasses
from collections.abc import Callable, Sequence

from savoryhold.core.ids import NodeId

__all__ = ['LatencyTable', 'best_of_two']

SMOOTHING = 0.2
FIRST_GUESS_MS = 1.0
PENALTY_MS = 200.0


@dataclasses.dataclass(slots=True)
class _Seen:
    mean_ms: float = FIRST_GUESS_MS
    in_flight: int = 0


class LatencyTable:
    """Own measurements of each node: latency and work in flight."""

    def __init__(self) -> None:
        self._seen: dict[NodeId, _Seen] = {}

    def begin(self, node: NodeId) -> None:
        """Note a request sent to a node."""
        self._of(node).in_flight += 1

    def end(self, node: NodeId, took_ms: float) -> None:
        """Note the end of a request and how long it took."""
        seen = self._of(node)
        seen.in_flight -= 1
        seen.mean_ms += SMOOTHING * (took_ms - seen.mean_ms)

    def record_failure(self, node: NodeId) -> None:
        """Note a failure, which may come fast and must not look good."""
        seen = self._of(node)
        seen.mean_ms += SMOOTHING * (PENALTY_MS - seen.mean_ms)

    def cost(self, node: NodeId) -> float:
        """Return the expected wait at a node, in ms."""
        seen = self._of(node)
        return seen.mean_ms * (seen.in_flight + 1)

    def _of(self, node: NodeId) -> _Seen:
        return self._seen.setdefault(node, _Seen())


def best_of_two(
    nodes: Sequence[NodeId],
    table: LatencyTable,
    pick: Callable[[], float],
) -> NodeId | None:
    """Return the better of two nodes drawn at random.

    Parameters
    ----------
    nodes : sequence of NodeId
        Nodes to choose from.
    table : LatencyTable
        Own measurements.
    pick : callable
        Returns a random number from 0 to 1.

    Notes
    -----
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """
    if not nodes:
        return None
    first = nodes[int(pick() * len(nodes))]
    second = nodes[int(pick() * len(nodes))]
    return min(first, second, key=table.cost)
