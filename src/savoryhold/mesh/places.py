"""Availability zones and regions of the known nodes."""

import dataclasses
from collections import defaultdict

from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.core.rendezvous import rank

__all__ = ['Place', 'ZoneIndex']


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Availability zone and region of a host."""

    zone: Zone
    region: Region


class ZoneIndex:
    """The places of nodes, and the nodes of each zone."""

    def __init__(self) -> None:
        self.places: dict[NodeId, Place] = {}
        self._zones: defaultdict[Zone, set[NodeId]] = defaultdict(set)
        self._regions: dict[Zone, Region] = {}
        self._by_rank: dict[Zone, list[NodeId]] = {}

    def add(self, node: NodeId, place: Place) -> None:
        """Record the place of a node."""
        known = self.places.get(node)
        if known == place:
            return
        if known is not None:
            self._zones[known.zone].discard(node)
            self._by_rank.pop(known.zone, None)
        self.places[node] = place
        self._zones[place.zone].add(node)
        self._regions[place.zone] = place.region
        self._by_rank.pop(place.zone, None)

    def zones(self) -> list[Zone]:
        """Return the zones that have nodes, by name."""
        return sorted(zone for zone, nodes in self._zones.items() if nodes)

    def nodes(self, zone: Zone) -> set[NodeId]:
        """Return the nodes of a zone."""
        return self._zones.get(zone, set())

    def by_rank(self, zone: Zone) -> list[NodeId]:
        """Return the nodes of a zone in the order of their ranks."""
        if zone not in self._by_rank:
            self._by_rank[zone] = sorted(self.nodes(zone), key=rank)
        return self._by_rank[zone]

    def region_of(self, zone: Zone) -> Region:
        """Return the region of a zone that has, or had, nodes."""
        return self._regions.get(zone, Region(''))
