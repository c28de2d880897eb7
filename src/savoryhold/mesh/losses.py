"""Failure detection: which nodes count as lost.

A node whose statuses stop arriving counts as silent.  One that at least half
of its neighbours report as silent counts as lost, and its keys may be claimed.
Its neighbours are the nodes of its zone in a fleet that exchanges statuses by
zone, and those of its region in a smaller one.
"""

from savoryhold.core.ids import NodeId, Zone
from savoryhold.mesh.members import Member, MemberTable
from savoryhold.mesh.places import Place

__all__ = ['LossDetector']

NEVER_HEARD_MS = 2500  # after a start; a missing node may be starting, too


class LossDetector:
    """Finds silent and lost nodes among the members.

    Parameters
    ----------
    members : MemberTable
        Statuses of the other nodes.
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members

    def silent_nodes(self, now: int) -> frozenset[NodeId]:
        """Return the neighbours from which no statuses arrive at this node."""
        members = self._members
        nodes = members.zone_peers() if members.by_zone else members.addresses
        return frozenset(node for node in nodes if self._is_silent(node, now))

    def silent_zones(self, now: int) -> frozenset[Zone]:
        """Return the other zones from which no status arrives at this node.

        Notes
        -----
        A zone whose relays have all ended is silent until it has replaced them.
        """
        members = self._members
        if not members.by_zone:
            return frozenset()
        return frozenset(
            zone
            for zone in members.other_zones()
            if self._is_zone_silent(zone, now)
        )

    def _is_zone_silent(self, zone: Zone, now: int) -> bool:
        members = self._members
        place = Place(zone, members.index.region_of(zone))
        replaced_by = now - round(members.alive_ms(place))
        return all(
            self._is_silent(node, replaced_by)
            for node in members.index.nodes(zone)
        )

    def lost_nodes(self, now: int) -> frozenset[NodeId]:
        """Return the nodes silent to at least half of their neighbours."""
        if self._members.by_zone:
            return self._lost_by_zone(now)
        return frozenset(
            node
            for node in self._members.addresses
            if not self._members.is_alive(node, now)
            and self._is_reported_silent(node, now)
        )

    def _is_silent(self, node: NodeId, now: int) -> bool:
        members = self._members
        member = members.members.get(node)
        if member is None:
            age = now - members.started_at
            return not members.by_zone or age >= NEVER_HEARD_MS
        limit = members.silence_ms(members.index.places[node])
        return now - member.received_at >= limit

    def _lost_by_zone(self, now: int) -> frozenset[NodeId]:
        alive = self._members.live_members(now)
        found: set[NodeId] = set()
        for zone in self._members.index.zones():
            found.update(self._lost_of(zone, alive, now))
        return frozenset(found)

    def _lost_of(
        self, zone: Zone, alive: list[Member], now: int
    ) -> set[NodeId]:
        """Return the lost nodes of a zone, by the votes of their neighbours."""
        nodes = self._members.index.nodes(zone) - {self._members.node}
        voters = [one.status for one in alive if one.status.zone == zone]
        lists = [status.silent for status in voters]
        if zone == self._members.place.zone:
            lists.append(self.silent_nodes(now))
        if lists:
            return {
                node
                for node in nodes
                if _is_majority(sum(node in one for one in lists), len(lists))
            }
        if not self._is_zone_silent(zone, now):
            return set()
        votes = 1 + sum(zone in one.status.silent_zones for one in alive)
        return nodes if _is_majority(votes, 1 + len(alive)) else set()

    def _is_reported_silent(self, node: NodeId, now: int) -> bool:
        """Return whether at least half of a node's neighbours report it silent.

        Notes
        -----
        Neighbours are the live members of the node's region, or all live
        members if there are none.  This node must find it silent, too, unless
        the node is in another region that has live members.
        """
        members = self._members
        alive = members.live_members(now)
        known = members.members.get(node)
        neighbours = [
            member
            for member in alive
            if known is not None and member.status.region == known.status.region
        ]
        voters = neighbours or alive
        votes = sum(1 for member in voters if node in member.status.silent)
        if (
            known is None
            or known.status.region == members.place.region
            or not neighbours
        ):
            if not self._is_silent(node, now):
                return False
        return _is_majority(votes, len(voters))


def _is_majority(votes: int, voters: int) -> bool:
    return votes >= voters / 2
