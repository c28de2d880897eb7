"""Load of each node, as spread by gossip."""

import random
from collections.abc import Iterable

from savoryhold.core.clock import Clock
from savoryhold.core.ids import NodeId
from savoryhold.peer import messages

__all__ = ['LoadTable']

MAX_LOAD_AGE_MS = 10_000


class LoadTable:
    """The newest known load of each node, in requests a second.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    Messages carry the age of a figure and not its time, because clocks of
    different nodes can't be compared.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[NodeId, tuple[float, int]] = {}

    def set_local(self, node: NodeId, load: float) -> None:
        """Set this node's own load, in requests a second."""
        self._loads[node] = (load, self._clock.now())

    def get(self, node: NodeId) -> float | None:
        """Return a node's load, None if it is unknown or too old."""
        known = self._loads.get(node)
        if known is None or self._clock.now() - known[1] > MAX_LOAD_AGE_MS:
            return None
        return known[0]

    def sample(self, count: int) -> list[messages.Message]:
        """Return up to `count` random figures that are not too old."""
        now = self._clock.now()
        self._loads = {
            node: (load, at)
            for node, (load, at) in self._loads.items()
            if now - at <= MAX_LOAD_AGE_MS
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
        """Merge a peer's figures; the newer one of each node is kept."""
        now = self._clock.now()
        for entry in loads:
            node = NodeId(entry.node)
            seen_at = now - entry.stamp
            known = self._loads.get(node)
            if known is None or known[1] < seen_at:
                self._loads[node] = (entry.load, seen_at)
