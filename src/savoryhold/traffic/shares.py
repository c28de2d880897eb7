"""Shares of one target's capacity under overload.

Within one kind of request, zones share evenly, and so do the ingress nodes of
a zone.  A node that sends more than its share while others wait is served
after them, with what they leave.  Kinds are served by priority, but one that
has waited for long has a turn.
"""

import dataclasses
from collections.abc import Callable

__all__ = ['KindTurns', 'NodeShares']

ACTIVE_MS = 2000  # a node that is silent for longer takes no share
REFRESH_MS = 100  # between two counts of the active nodes
BURST = 1.0  # requests of usual cost that a node may be ahead of its share
MAX_NODES = 1024
TURN_SHARE = 0.01  # of the capacity, at least, is left to each priority


def _no_zone(node: str) -> str:
    """Return the same zone for all nodes."""
    return ''


@dataclasses.dataclass(slots=True)
class _Kind:
    """Start-time fair queueing of one kind, in virtual ms of one slot."""

    virtual_time: float = 0.0
    finish_tags: dict[str, float] = dataclasses.field(default_factory=dict)


class NodeShares:
    """Shares of the ingress nodes, by start-time fair queueing.

    Notes
    -----
    See Goyal, Vin and Cheng, 1996.  A request starts at its node's last
    finish tag or at the virtual time, which is the start tag of the last
    request started; it finishes by its expected work, divided by the share of
    its node, later.  The share of a silent node falls with its age, and the
    others' widen.
    """

    def __init__(self) -> None:
        self.zone_of: Callable[[str], str] = _no_zone
        self._kinds: dict[str, _Kind] = {}
        self._heard: dict[str, int] = {}
        self._shares: dict[str, float] = {}
        self._refreshed_at = -REFRESH_MS

    def hear(self, node: str, now: int) -> None:
        """Record that a node has offered a request."""
        is_new = node not in self._heard
        self._heard[node] = now
        if is_new or now - self._refreshed_at >= REFRESH_MS:
            self._refresh(now)

    def share(self, node: str) -> float:
        """Return the share of the capacity that a node is entitled to."""
        return self._shares.get(node, 1.0)

    def exceeds(self, kind: str, node: str, work_ms: float) -> bool:
        """Return whether a node of several has got more than its share."""
        flows = self._kinds.get(kind)
        if flows is None or node not in flows.finish_tags:
            return False
        share = self.share(node)
        ahead = flows.finish_tags[node] - flows.virtual_time
        return share < 1 and ahead > BURST * work_ms / share

    def admit(self, kind: str, node: str, work_ms: float) -> float:
        """Charge an admitted request to its node; return its start tag."""
        flows = self._kinds.setdefault(kind, _Kind())
        start = max(flows.virtual_time, flows.finish_tags.get(node, 0.0))
        flows.finish_tags[node] = start + work_ms / self.share(node)
        return start

    def start(self, kind: str, start_tag: float) -> None:
        """Advance the virtual time to the tag of a request that starts."""
        flows = self._kinds.get(kind)
        if flows is not None:
            flows.virtual_time = max(flows.virtual_time, start_tag)

    def reset(self) -> None:
        """Forget past service, as nobody waits."""
        self._kinds.clear()

    def _refresh(self, now: int) -> None:
        """Count the active nodes, each by how recently it was heard."""
        self._refreshed_at = now
        activity = {
            node: 1 - (now - at) / ACTIVE_MS
            for node, at in self._heard.items()
            if now - at < ACTIVE_MS
        }
        if len(self._heard) > MAX_NODES:
            self._heard = {node: self._heard[node] for node in activity}
        by_zone: dict[str, dict[str, float]] = {}
        for node in activity:
            nodes = by_zone.setdefault(self.zone_of(node), {})
            nodes[node] = activity[node]
        zones = sum(max(nodes.values()) for nodes in by_zone.values())
        self._shares = {}
        for nodes in by_zone.values():
            in_zone = sum(nodes.values())
            self._shares |= {
                each: _part(active, in_zone, zones)
                for each, active in nodes.items()
            }


def _part(active: float, in_zone: float, zones: float) -> float:
    """Return a node's share, as if it were fully active itself."""
    return 1 / (max(1.0, in_zone + 1 - active) * max(1.0, zones))


class KindTurns:
    """Turns of kinds of lower priority that would else never start."""

    def __init__(self) -> None:
        self._started_at: dict[int, int] = {}
        # Number of the ticket that has the next turn, and its time.
        self._turns: dict[int, tuple[int, float]] = {}

    def wait_ms(
        self, priority: int, now: int, work_ms: float, slots: int
    ) -> float:
        """Return when a request of a priority without starts has a turn."""
        period = work_ms / (TURN_SHARE * max(1, slots))
        return self._started_at.setdefault(priority, now) + period - now

    def reserve(self, priority: int, number: int, at: float) -> None:
        """Give the next turn of a priority to a ticket."""
        self._turns[priority] = (number, at)

    def holder(self, priority: int) -> int | None:
        """Return the ticket that has the next turn of a priority."""
        return self._turns.get(priority, (None, 0))[0]

    def due(self, now: int) -> list[int]:
        """Return the tickets whose turns have come."""
        return [number for number, at in self._turns.values() if at <= now]

    def start(self, priority: int, number: int, now: int) -> None:
        """Record that a ticket has started."""
        self._started_at[priority] = now
        if self.holder(priority) == number:
            del self._turns[priority]
