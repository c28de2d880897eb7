"""The nodes that this node hears of, and what they say of themselves."""

import dataclasses
from collections import Counter

from savoryhold.core.ids import NodeId, Region, ServiceName, Zone

__all__ = ['ALIVE_MS', 'LOST_MS', 'Member', 'MemberTable', 'NodeStatus']

ALIVE_MS = 1300  # several statuses are missing
LOST_MS = 2000  # its keys may be claimed
STALE_WAIT_MS = 400.0  # a forecast this old says little


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
    silent : frozenset of NodeId
        The nodes that it does not hear.
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
    silent: frozenset[NodeId]


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
    """

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.members: dict[NodeId, Member] = {}
        self.addresses: dict[NodeId, str] = {}

    def learn(self, status: NodeStatus, now: int) -> None:
        """Take in a node's status."""
        if status.node == self.node:
            return
        self.addresses[status.node] = status.address
        member = self.members.get(status.node)
        if member is None:
            self.members[status.node] = Member(status, now)
        else:
            member.status = status
            member.heard_at = now

    def introduce(self, node: NodeId, address: str) -> None:
        """Note the address of a node that has not been heard yet."""
        if node != self.node:
            self.addresses.setdefault(node, address)

    def is_alive(self, node: NodeId, now: int) -> bool:
        """Return whether a node was heard lately."""
        if node == self.node:
            return True
        member = self.members.get(node)
        return member is not None and now - member.heard_at < ALIVE_MS

    def alive(self, now: int) -> list[Member]:
        """Return the members heard lately."""
        return [
            member
            for member in self.members.values()
            if now - member.heard_at < ALIVE_MS
        ]

    def silent(self, now: int) -> frozenset[NodeId]:
        """Return the nodes that this node does not hear."""
        return frozenset(
            node
            for node in self.addresses
            if node not in self.members
            or now - self.members[node].heard_at >= LOST_MS
        )

    def lost(self, now: int) -> frozenset[NodeId]:
        """Return the nodes that most nodes that are heard do not hear."""
        own = self.silent(now)
        alive = self.alive(now)
        votes = Counter(
            node for member in alive for node in member.status.silent
        )
        needed = len(alive) / 2
        return frozenset(node for node in own if votes[node] >= needed)

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
        """Return the wait at a member, with what was sent there since."""
        age = now - member.heard_at
        told = member.status.wait_ms * max(0.0, 1 - age / STALE_WAIT_MS / 2)
        return max(told, 0.0)
