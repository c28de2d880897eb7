"""Load figures of nodes, as gossip carries them."""

import random
from collections.abc import Iterable

from savoryhold.core.clock import Clock
from savoryhold.core.ids import NodeId
from savoryhold.peer import messages

__all__ = ['LoadTable']

FRESH_MS = 10_000


class LoadTable:
    """The newest load figure known of each node.

    Parameters
    ----------
    clock : Clock
        Source of time; ages, not times, travel between nodes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[NodeId, tuple[float, int]] = {}

    def set_own(self, node: NodeId, load: float) -> None:
        """Set this node's own figure: requests a second."""
        self._loads[node] = (load, self._clock.now())

    def get(self, node: NodeId) -> float | None:
        """Return a node's load if it is fresh."""
        found = self._loads.get(node)
        if found is None or self._clock.now() - found[1] > FRESH_MS:
            return None
        return found[0]

    def sample(self, count: int) -> list[messages.Message]:
        """Return some fresh figures, for a digest."""
        now = self._clock.now()
        self._loads = {
            node: (load, at)
            for node, (load, at) in self._loads.items()
            if now - at <= FRESH_MS
        }
        chosen = random.sample(
            sorted(self._loads), min(count, len(self._loads))
        )
        return [
            messages.NodeLoad(
                node=node,
                load=self._loads[node][0],
                waiting=0,
                stamp=now - self._loads[node][1],
            )
            for node in chosen
        ]

    def merge(self, loads: Iterable[messages.Message]) -> None:
        """Take in figures from a peer, where they are newer."""
        now = self._clock.now()
        for entry in loads:
            node = NodeId(entry.node)
            seen_at = now - entry.stamp
            known = self._loads.get(node)
            if known is None or known[1] < seen_at:
                self._loads[node] = (entry.load, seen_at)
