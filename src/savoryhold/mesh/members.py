"""Membership: the last status of each other node, and failure detection.

Each node sends its status to every other node at a regular period.  A node
whose statuses stop arriving counts as silent; a node that at least half of
its neighbours report as silent counts as lost, and its keys may be claimed.
"""

import dataclasses

from savoryhold.core.ids import NodeId, Region, ServiceName, Zone

__all__ = ['Member', 'MemberTable', 'NodeStatus']

STATUS_MS = 400  # period of statuses in a small fleet
FULL_RATE_NODES = 16  # the period grows with the fleet beyond this size
MAX_PERIOD_MS = 1000  # older load figures would mislead the choice of nodes
REMOTE_REGION_FACTOR = 2  # of the period, for nodes of other regions
ALIVE_PERIODS = 2.5  # two statuses in a row may be lost
LOST_PERIODS = 4.0  # silence after which the keys of a node may be claimed
ALIVE_SLACK_MS = 300
STALE_PERIODS = 2.0  # age at which a reported wait is disregarded


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status that a node reports of itself.

    Parameters
    ----------
    node : NodeId
        Name of the node.
    address : str
        Address at which it accepts links of other nodes.
    service : ServiceName
        Service of its local target.
    zone, region : Zone, Region
        Availability zone and region of its host.
    slots : int
        Number of requests that its target runs at once.
    wait_ms : float
        Expected wait of a request in its queue.
    demand : float
        Load that its requests offer, in slots.
    keys : int
        Number of keys that it owns.
    ready : bool
        Whether its target takes requests.
    leaving : bool
        Whether the node is stopping.
    life : int
        Random id of this start of its process.
    silent : frozenset of NodeId
        The nodes from which it receives no statuses.
    store_lost : bool
        Whether it cannot reach the store.
    """

    node: NodeId
    address: str
    service: ServiceName
    zone: Zone
    region: Region
    slots: int
    wait_ms: float
    demand: float
    keys: int
    ready: bool
    leaving: bool
    life: int
    silent: frozenset[NodeId]
    store_lost: bool = False


@dataclasses.dataclass(slots=True)
class Member:
    """A node's last status and the number of requests relayed to it."""

    status: NodeStatus
    received_at: int
    outstanding: int = 0


class MemberTable:
    """Statuses and addresses of all nodes except this one.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    region : Region
        Region of this node.
    """

    def __init__(self, node: NodeId, region: Region) -> None:
        self.node = node
        self.members: dict[NodeId, Member] = {}
        self.addresses: dict[NodeId, str] = {}
        self.registry_loaded = False
        self._region = region

    def period_ms(self, region: Region) -> int:
        """Return the period of this node's statuses to a region.

        Notes
        -----
        Every node sends to every other, so that the traffic grows with the
        square of the fleet.  The period therefore grows with the fleet, and
        more so over the link between regions, which has less bandwidth.
        """
        factor = max(1.0, (1 + len(self.addresses)) / FULL_RATE_NODES)
        period = min(MAX_PERIOD_MS, STATUS_MS * factor)
        if region != self._region and factor > 1:
            period *= REMOTE_REGION_FACTOR
        return round(period)

    def learn(self, status: NodeStatus, now: int) -> None:
        """Store a node's status, unless it is outdated."""
        if status.node == self.node:
            return
        self.addresses[status.node] = status.address
        member = self.members.get(status.node)
        if member is None:
            self.members[status.node] = Member(status, now)
        elif _is_outdated(status, member.status):
            return
        else:
            member.status = status
            member.received_at = now

    def add_address(self, node: NodeId, address: str) -> None:
        """Add the address of a node that has sent no status yet."""
        if node != self.node:
            self.addresses.setdefault(node, address)

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

    def silent_nodes(self, now: int) -> frozenset[NodeId]:
        """Return the nodes from which no statuses arrive at this node."""
        return frozenset(
            node for node in self.addresses if self._is_silent(node, now)
        )

    def lost_nodes(self, now: int) -> frozenset[NodeId]:
        """Return the nodes silent to at least half of their neighbours."""
        return frozenset(
            node
            for node in self.addresses
            if not self.is_alive(node, now)
            and self._is_reported_silent(node, now)
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
            if member.status.region == self._region
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
            for member in self.live_members(now)
            if member.status.service == service
            and member.status.ready
            and not member.status.leaving
        ]

    def wait_ms(self, member: Member, now: int) -> float:
        """Return the wait at a member, scaled down as its status ages."""
        age = now - member.received_at
        limit = STALE_PERIODS * self.period_ms(member.status.region)
        return member.status.wait_ms * max(0.0, 1 - age / limit)

    def _is_recent(self, member: Member, now: int) -> bool:
        period = self.period_ms(member.status.region)
        limit = ALIVE_PERIODS * period + ALIVE_SLACK_MS
        return now - member.received_at < limit

    def _is_silent(self, node: NodeId, now: int) -> bool:
        member = self.members.get(node)
        if member is None:
            return True
        period = self.period_ms(member.status.region)
        limit = LOST_PERIODS * period + ALIVE_SLACK_MS
        return now - member.received_at >= limit

    def _is_reported_silent(self, node: NodeId, now: int) -> bool:
        """Return whether at least half of a node's neighbours report it silent.

        Notes
        -----
        Neighbours are the live members of the node's region, or all live
        members if there are none.  This node must find it silent, too, unless
        the node is in another region that has live members.
        """
        alive = self.live_members(now)
        known = self.members.get(node)
        neighbours = [
            member
            for member in alive
            if known is not None and member.status.region == known.status.region
        ]
        voters = neighbours or alive
        votes = sum(1 for member in voters if node in member.status.silent)
        if (
            known is None
            or known.status.region == self._region
            or not neighbours
        ):
            if not self._is_silent(node, now):
                return False
        return votes >= len(voters) / 2


def _is_outdated(status: NodeStatus, last: NodeStatus) -> bool:
    """Return whether a status was sent before its process began to leave.

    Notes
    -----
    A process that has reported that it is leaving does not take that back.
    """
    same_life = status.life == last.life
    return same_life and last.leaving and not status.leaving
