"""The nodes that this node hears of, and what they say of themselves."""

import dataclasses

from savoryhold.core.ids import NodeId, Region, ServiceName, Zone

__all__ = ['Member', 'MemberTable', 'NodeStatus']

STATUS_MS = 400  # a node tells its status this often in a small fleet
CROWD = 16  # nodes; a larger fleet tells more rarely
MAX_PERIOD_MS = 1000  # load news that is older misleads
FAR_FACTOR = 2  # over the link between regions
ALIVE_PERIODS = 2.5  # two statuses may be lost
LOST_PERIODS = 4.0  # after this long its keys may be claimed
ALIVE_SLACK_MS = 300
STALE_PERIODS = 2.0  # a forecast this old says nothing


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """What a node says of itself.

    Parameters
    ----------
    node : NodeId
        Its name.
    address : str
        Where it listens for other nodes.
    service : ServiceName
        The service of the target beside it.
    zone, region : Zone, Region
        Where it stands.
    slots : int
        Requests that its target runs at once.
    wait_ms : float
        How long a request must wait there.
    demand : float
        Work that its keys bring, in slots.
    keys : int
        How many keys it owns.
    ready : bool
        Whether its target takes requests.
    leaving : bool
        Whether the node is stopping.
    life : int
        Changes with each start of its process.
    silent : frozenset of NodeId
        The nodes that it does not hear.
    store_lost : bool
        Whether the store does not answer it.
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
    """A node, when it was last heard, and what is under way there."""

    status: NodeStatus
    heard_at: int
    outstanding: int = 0


class MemberTable:
    """All members but this node itself.

    Parameters
    ----------
    node : NodeId
        This node.
    region : Region
        Where it stands.
    """

    def __init__(self, node: NodeId, region: Region) -> None:
        self.node = node
        self.members: dict[NodeId, Member] = {}
        self.addresses: dict[NodeId, str] = {}
        self.registry_loaded = False
        self._region = region

    def period_ms(self, region: Region) -> int:
        """Return how often this node tells those of a region its status.

        Notes
        -----
        Each node tells each other, so that a large fleet tells more rarely,
        and even more so over the narrow link between regions.
        """
        crowd = max(1.0, (1 + len(self.addresses)) / CROWD)
        period = min(MAX_PERIOD_MS, STATUS_MS * crowd)
        if region != self._region and crowd > 1:
            period *= FAR_FACTOR
        return round(period)

    def learn(self, status: NodeStatus, now: int) -> None:
        """Take in a node's status."""
        if status.node == self.node:
            return
        self.addresses[status.node] = status.address
        member = self.members.get(status.node)
        if member is None:
            self.members[status.node] = Member(status, now)
        elif _is_earlier(status, member.status):
            return
        else:
            member.status = status
            member.heard_at = now

    def introduce(self, node: NodeId, address: str) -> None:
        """Note the address of a node that has not been heard yet."""
        if node != self.node:
            self.addresses.setdefault(node, address)

    def fleet_size(self) -> int | None:
        """Return how many nodes there are, None before they were listed."""
        return 1 + len(self.addresses) if self.registry_loaded else None

    def is_alive(self, node: NodeId, now: int) -> bool:
        """Return whether a node was heard lately."""
        if node == self.node:
            return True
        member = self.members.get(node)
        return member is not None and self._is_heard(member, now)

    def alive(self, now: int) -> list[Member]:
        """Return the members heard lately."""
        return [
            member
            for member in self.members.values()
            if self._is_heard(member, now)
        ]

    def silent(self, now: int) -> frozenset[NodeId]:
        """Return the nodes that this node does not hear."""
        return frozenset(
            node for node in self.addresses if self._is_silent(node, now)
        )

    def lost(self, now: int) -> frozenset[NodeId]:
        """Return the nodes that most of their neighbours do not hear."""
        return frozenset(
            node
            for node in self.addresses
            if not self.is_alive(node, now) and self._is_outvoted(node, now)
        )

    def is_among_first(self, count: int, now: int) -> bool:
        """Return whether few nodes of the region come before this.

        Notes
        -----
        Nodes that the store does not answer are passed over, but not more
        than `count` of them: in an outage not all shall ask in their place.
        """
        before = [
            member.status.store_lost
            for member in self.alive(now)
            if member.status.region == self._region
            and member.status.node < self.node
        ]
        return len(before) < count + min(count, before.count(True))

    def reach_store(self, now: int) -> bool:
        """Return whether the store answers any node that is heard."""
        return any(not member.status.store_lost for member in self.alive(now))

    def serving(self, service: ServiceName, now: int) -> list[Member]:
        """Return the members with a target of a service that takes work."""
        return [
            member
            for member in self.alive(now)
            if member.status.service == service
            and member.status.ready
            and not member.status.leaving
        ]

    def wait_ms(self, member: Member, now: int) -> float:
        """Return the wait at a member; an old word counts for less."""
        age = now - member.heard_at
        limit = STALE_PERIODS * self.period_ms(member.status.region)
        return member.status.wait_ms * max(0.0, 1 - age / limit)

    def _is_heard(self, member: Member, now: int) -> bool:
        period = self.period_ms(member.status.region)
        limit = ALIVE_PERIODS * period + ALIVE_SLACK_MS
        return now - member.heard_at < limit

    def _is_silent(self, node: NodeId, now: int) -> bool:
        member = self.members.get(node)
        if member is None:
            return True
        period = self.period_ms(member.status.region)
        limit = LOST_PERIODS * period + ALIVE_SLACK_MS
        return now - member.heard_at >= limit

    def _is_outvoted(self, node: NodeId, now: int) -> bool:
        """Return whether those near a node do not hear it, either."""
        alive = self.alive(now)
        known = self.members.get(node)
        near = [
            member
            for member in alive
            if known is not None and member.status.region == known.status.region
        ]
        voters = near or alive
        votes = sum(1 for member in voters if node in member.status.silent)
        if known is None or known.status.region == self._region or not near:
            if not self._is_silent(node, now):
                return False
        return votes >= len(voters) / 2


def _is_earlier(status: NodeStatus, known: NodeStatus) -> bool:
    """Return whether a life that is known to leave sent a status before."""
    same_life = status.life == known.life
    return same_life and known.leaving and not status.leaving
