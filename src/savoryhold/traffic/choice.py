"""Selection of a node for requests that any target of a service may run."""

import dataclasses
from collections.abc import Iterable

from savoryhold.core.ids import NodeId, Region, Zone

__all__ = ['Candidate', 'Origin', 'choose']

ZONE_MS = 4.0  # round trip between zones, plus the relay hop
REGION_MS = 22.0  # round trip between regions, plus the relay hop
LARGE_ZONE_MS = 60.0  # a large answer fills the narrow links of a zone
LARGE_REGION_MS = 600.0  # and even more the only link between regions


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Zone and region of the node at which a request enters."""

    zone: Zone
    region: Region


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node whose target may run the request.

    ``wait_ms`` is the expected wait for a slot of the target.
    """

    node: NodeId
    zone: Zone
    region: Region
    wait_ms: float


def choose(
    candidates: Iterable[Candidate], origin: Origin, *, large: bool
) -> NodeId | None:
    """Return the node with the lowest sum of wait and network delay.

    Parameters
    ----------
    candidates : iterable of Candidate
        Nodes to choose from.
    origin : Origin
        Where the request enters.
    large : bool
        Whether its answer is large.
    """
    best = min(
        candidates,
        key=lambda candidate: (
            candidate.wait_ms + _network_ms(candidate, origin, large=large),
            candidate.node,
        ),
        default=None,
    )
    return None if best is None else best.node


def _network_ms(candidate: Candidate, origin: Origin, *, large: bool) -> float:
    if candidate.zone == origin.zone:
        return 0.0
    if candidate.region == origin.region:
        return LARGE_ZONE_MS if large else ZONE_MS
    return LARGE_REGION_MS if large else REGION_MS
