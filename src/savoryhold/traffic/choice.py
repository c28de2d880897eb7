"""Which node runs a request that any target of its service may run."""

import dataclasses
from collections.abc import Iterable

from savoryhold.core.ids import NodeId, Region, Zone

__all__ = ['Candidate', 'Origin', 'choose']

ZONE_MS = 4.0  # round trip between zones and the hop itself
REGION_MS = 22.0  # round trip between regions and the hop itself
LARGE_ZONE_MS = 60.0  # large answers take the narrow links of a zone
LARGE_REGION_MS = 600.0  # and more so the one link between regions


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a request enters."""

    zone: Zone
    region: Region


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node with a target that may run the request."""

    node: NodeId
    zone: Zone
    region: Region
    wait_ms: float


def choose(
    found: Iterable[Candidate], here: Origin, *, large: bool
) -> NodeId | None:
    """Return the node with the least expected completion time."""
    best = min(
        found,
        key=lambda one: (
            one.wait_ms + _far_ms(one, here, large=large),
            one.node,
        ),
        default=None,
    )
    return None if best is None else best.node


def _far_ms(one: Candidate, here: Origin, *, large: bool) -> float:
    if one.zone == here.zone:
        return 0.0
    if one.region == here.region:
        return LARGE_ZONE_MS if large else ZONE_MS
    return LARGE_REGION_MS if large else REGION_MS
