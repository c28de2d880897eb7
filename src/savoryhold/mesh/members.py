"""Membership: the last status of each other node.

In a small fleet each node sends its status to every other node at a regular
period.  In a larger one statuses go to the nodes of the own zone only; two
relays a zone pass on digests of them (see `DigestTask`).
"""

import dataclasses
import itertools
from collections.abc import Callable

from savoryhold.core.ids import NodeId, Region, ServiceName, Zone
from savoryhold.mesh.node_status import NodeStatus
from savoryhold.mesh.places import Place, ZoneIndex
from savoryhold.traffic import TargetRecord

__all__ = ['Member', 'MemberTable', 'NodeStatus']

STATUS_MS = 400  # period of statuses in a small fleet
FULL_RATE_NODES = 16  # the period grows with the receivers beyond this number
MAX_PERIOD_MS = 1000  # older load figures would mislead the choice of nodes
REMOTE_REGION_FACTOR = 2  # of the period, for nodes of other regions
DIRECT_NODES = 32  # larger fleets exchange statuses by zone
DIGEST_MS = 500  # period of digests between zones of one region
REMOTE_DIGEST_MS = 1000  # and of those between regions, where traffic is billed
FORWARD_MS = 400  # period at which relays pass on digests of other zones
RELAYS = 2  # of a zone
ALIVE_PERIODS = 2.5  # two statuses in a row may be lost
LOST_PERIODS = 4.0  # silence after which the keys of a node may be claimed
ALIVE_SLACK_MS = 300
STALE_PERIODS = 2.0  # age at which a reported wait is disregarded
NO_ZONE = Zone('')


@dataclasses.dataclass(slots=True)
class Member:
    """A node's last status and the number of requests relayed to it.

    ``received_at`` is when this node, or the relay that passed the status on,
    received it from the member itself.  ``record`` is what requests to its
    target have shown.
    """

    status: NodeStatus
    received_at: int
    outstanding: int = 0
    record: TargetRecord = dataclasses.field(default_factory=TargetRecord)


class MemberTable:
    """Statuses and addresses of all nodes except this one.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    region : Region
        Region of this node.
    zone : Zone
        Zone of this node.
    started_at : int
        Start time of this process in ms.
    """

    def __init__(
        self,
        node: NodeId,
        region: Region,
        zone: Zone = NO_ZONE,
        started_at: int = 0,
    ) -> None:
        self.node = node
        self.place = Place(zone, region)
        self.started_at = started_at
        self.members: dict[NodeId, Member] = {}
        self.addresses: dict[NodeId, str] = {}
        self.index = ZoneIndex()
        self.index.add(node, self.place)
        self.registry_loaded = False
        # Called with each status that is newer than the one before.
        self.on_status: Callable[[NodeStatus], None] = lambda status: None
        # Ages up to which statuses count as recent, which depend on the sizes
        # of the fleet and of its zones.
        self._recent_ms: dict[Place, float] = {}

    @property
    def by_zone(self) -> bool:
        """Return whether statuses are exchanged within zones only."""
        return len(self.addresses) >= DIRECT_NODES

    def period_ms(self, place: Place) -> int:
        """Return the period of the statuses exchanged with a place.

        Notes
        -----
        Traffic grows with the square of the nodes that exchange statuses.
        The period therefore grows with their number, and, where each node
        sends to every other, more so over the link between regions.
        """
        if self.by_zone:
            exchanging = len(self.index.nodes(place.zone))
        else:
            exchanging = 1 + len(self.addresses)
        factor = max(1.0, exchanging / FULL_RATE_NODES)
        period = min(MAX_PERIOD_MS, STATUS_MS * factor)
        remote = place.region != self.place.region
        if remote and factor > 1 and not self.by_zone:
            period *= REMOTE_REGION_FACTOR
        return round(period)

    def digest_ms(self, region: Region) -> int:
        """Return the period of digests that are sent to a region."""
        is_own = region == self.place.region
        return DIGEST_MS if is_own else REMOTE_DIGEST_MS

    def learn(self, status: NodeStatus, heard_at: int) -> bool:
        """Store a node's status, unless it is outdated.

        Parameters
        ----------
        status : NodeStatus
            The status.
        heard_at : int
            When it was received from the node itself, in ms.

        Returns
        -------
        bool
            Whether the status is newer than the one that was known.
        """
        if status.node == self.node:
            return False
        member = self.members.get(status.node)
        if member is not None and _is_outdated(status, heard_at, member):
            return False
        self.addresses[status.node] = status.address
        place = Place(status.zone, status.region)
        if self.index.places.get(status.node) != place:
            self.index.add(status.node, place)
            self._recent_ms.clear()
        if member is None:
            self.members[status.node] = Member(status, heard_at)
        else:
            member.status = status
            member.received_at = max(member.received_at, heard_at)
            member.record.on_status(member.received_at)
        self.on_status(status)
        return True

    def add_address(
        self, node: NodeId, address: str, place: Place | None = None
    ) -> None:
        """Add the address of a node that has sent no status yet."""
        if node == self.node:
            return
        self.addresses.setdefault(node, address)
        if node not in self.index.places:
            self._recent_ms.clear()
            self.index.add(node, place or Place(NO_ZONE, Region('')))

    def fleet_size(self) -> int | None:
        """Return the number of nodes, None until the registry was loaded."""
        return 1 + len(self.addresses) if self.registry_loaded else None

    def is_alive(self, node: NodeId, now: int) -> bool:
        """Return whether a node has sent a status recently."""
        if node == self.node:
            return True
        member = self.members.get(node)
        return member is not None and self._is_recent(member, now)

    def live_members(self, now: int) -> list[Member]:
        """Return the members that have sent a status recently."""
        return [
            member
            for member in self.members.values()
            if self._is_recent(member, now)
        ]

    def zone_peers(self) -> set[NodeId]:
        """Return the other nodes of this node's zone."""
        return self.index.nodes(self.place.zone) - {self.node}

    def live_zone_peers(self, now: int) -> list[NodeId]:
        """Return the other nodes of this node's zone that are alive."""
        return [node for node in self.zone_peers() if self.is_alive(node, now)]

    def other_zones(self) -> list[Zone]:
        """Return the zones other than this node's, by name."""
        return [zone for zone in self.index.zones() if zone != self.place.zone]

    def relays(self, zone: Zone, now: int) -> list[NodeId]:
        """Return the nodes that relay between a zone and the others.

        Notes
        -----
        Each zone chooses for itself, and by rank, so that all nodes agree
        without a word as far as they hear of the same nodes.
        """
        relays = (
            node
            for node in self.index.by_rank(zone)
            if node == self.node or self._may_relay(node, now)
        )
        return list(itertools.islice(relays, RELAYS))

    def _may_relay(self, node: NodeId, now: int) -> bool:
        return (
            self.is_alive(node, now) and not self.members[node].status.leaving
        )

    def is_among_first(self, count: int, now: int) -> bool:
        """Return whether this node is among the first of its region by name.

        Notes
        -----
        Nodes that are leaving are skipped, and so are up to `count` that cannot
        reach the store.  Skipping all of the latter would make every node try
        in an outage of the store.
        """
        preceding = [
            member.status.store_lost
            for member in self.live_members(now)
            if member.status.region == self.place.region
            and member.status.node < self.node
            and not member.status.leaving
        ]
        return len(preceding) < count + min(count, preceding.count(True))

    def any_reaches_store(self, now: int) -> bool:
        """Return whether any live node reports that it reaches the store."""
        return any(
            not member.status.store_lost for member in self.live_members(now)
        )

    def serving_members(self, service: ServiceName, now: int) -> list[Member]:
        """Return the members whose target accepts requests of a service."""
        return [
            member
            for member in self.members.values()
            if member.status.service == service
            and member.status.ready
            and not member.status.leaving
            and self._is_recent(member, now)
        ]

    def wait_ms(self, member: Member, now: int) -> float:
        """Return the wait at a member, scaled down as its status ages."""
        age = now - member.received_at
        place = self.index.places[member.status.node]
        limit = STALE_PERIODS * self.period_ms(place) + self.relay_ms(place)
        return member.status.wait_ms * max(0.0, 1 - age / limit)

    def relay_ms(self, place: Place) -> int:
        """Return how much later than direct ones relayed statuses may come.

        Notes
        -----
        A status waits for the next digest of its zone, which may get lost,
        and for the next time at which relays pass digests on.
        """
        if not self.by_zone or place.zone == self.place.zone:
            return 0
        return 2 * self.digest_ms(place.region) + FORWARD_MS

    def silence_ms(self, place: Place) -> float:
        """Return the silence after which a node of a place counts as silent."""
        period = self.period_ms(place)
        return LOST_PERIODS * period + ALIVE_SLACK_MS + self.relay_ms(place)

    def alive_ms(self, place: Place) -> float:
        """Return up to which silence its neighbours rely on a node."""
        return ALIVE_PERIODS * self.period_ms(place) + ALIVE_SLACK_MS

    def _is_recent(self, member: Member, now: int) -> bool:
        place = self.index.places[member.status.node]
        limit = self._recent_ms.get(place)
        if limit is None:
            limit = self.alive_ms(place) + self.relay_ms(place)
            self._recent_ms[place] = limit
        return now - member.received_at < limit


def _is_outdated(status: NodeStatus, heard_at: int, known: Member) -> bool:
    """Return whether a status is not newer than the one that is known.

    Notes
    -----
    A process that has reported that it is leaving does not take that back.
    """
    last = known.status
    if status.life != last.life:
        return heard_at < known.received_at
    if last.leaving and not status.leaving:
        return True
    return 0 < status.sent_at <= last.sent_at
