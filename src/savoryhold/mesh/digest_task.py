"""Relays: nodes that pass on the statuses of a zone to the other zones.

In a large fleet each node sends its status to its own zone only.  The first
two live nodes of a zone by rank send digests of these statuses to the relays
of the other zones, the first relay to the first and the second to the second.
Who receives such a digest passes it on in its own zone, whether it takes
itself for a relay or not.  A node thus receives O(zone + zones) messages a
period, and no statuses of a zone get lost with one relay.
"""

import asyncio
import random
from collections.abc import Callable

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, Zone
from savoryhold.mesh.codec import status_from_message
from savoryhold.mesh.digests import digest_message, statuses_from_digest
from savoryhold.mesh.members import (
    DIGEST_MS,
    FORWARD_MS,
    Member,
    MemberTable,
    NodeStatus,
)
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import PeerPool, messages

__all__ = ['DigestTask']

MS_PER_SECOND = 1000
STEP_MS = 100  # in which periods are counted
PULL_LIMIT_MS = 500
PULLED_PEERS = 2  # a peer that has just started knows little

Send = Callable[[str, messages.Message], None]
StatusMaker = Callable[[], messages.Message]


class DigestTask:
    """Exchanges the statuses of zones as a relay, and receives digests.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    send : callable
        Sends a one-way message to an address.
    make_status : callable
        Returns this node's status.
    """

    def __init__(
        self, context: NodeContext, send: Send, make_status: StatusMaker
    ) -> None:
        self._members: MemberTable = context.members
        self._pool: PeerPool = context.pool
        self._clock = context.clock
        self._log = context.log
        self._send = send
        self._make_status = make_status
        self._rounds = 0
        self._digest_sent_at: dict[Zone, int] = {}
        self._forwarded_at = 0
        self._to_forward: set[NodeId] = set()
        self._was_relay = False

    async def run(self) -> None:
        """Send the digests that are due until cancelled."""
        # Spreads the digests of zones that started at the same time.
        await asyncio.sleep(random.random() * DIGEST_MS / MS_PER_SECOND)
        while True:
            await asyncio.sleep(STEP_MS / MS_PER_SECOND)
            if self._members.by_zone:
                self.send_due()

    def send_due(self) -> None:
        """Send digests to other zones, and pass on theirs, if due."""
        now = self._clock.now()
        self._send_to_zones(now)
        if self._to_forward and now - self._forwarded_at >= FORWARD_MS:
            self._forwarded_at = now
            self._forward(now)

    def receive(self, digest: messages.Message) -> list[NodeStatus]:
        """Learn the statuses of a digest; return those newly heard of.

        Returns
        -------
        list of NodeStatus
            Empty if the digest was forwarded within the zone: the sender's own
            status tells what it knows.
        """
        now = self._clock.now()
        learned = [
            status
            for status, heard_at in statuses_from_digest(digest, now)
            if self._members.learn(status, heard_at)
        ]
        if digest.forwarded:
            return []
        self._to_forward.update(status.node for status in learned)
        return learned

    async def pull(self) -> None:
        """Ask nodes of the own zone for the statuses that they know."""
        nodes = sorted(self._members.zone_peers())
        count = min(PULLED_PEERS, len(nodes))
        for node in random.sample(nodes, count):
            await self._pull_from(self._members.addresses[node])

    def all_known(self) -> messages.Message:
        """Return a digest of all live members, and of this node."""
        now = self._clock.now()
        known = [self._own_member(now), *self._members.live_members(now)]
        return digest_message(known, now, forwarded=True)

    async def _pull_from(self, address: str) -> None:
        query = messages.MembersQuery()
        try:
            reply = await self._pool.call(address, query, PULL_LIMIT_MS)
        except LinkError:
            # Statuses and digests bring the same a little later.
            return
        if isinstance(reply, messages.MemberDigest):
            self.receive(reply)

    def _send_to_zones(self, now: int) -> None:
        members = self._members
        own_relays = members.relays(members.place.zone, now)
        is_relay = members.node in own_relays
        if is_relay != self._was_relay:
            self._was_relay = is_relay
            self._log.info('relay', active=is_relay, zone=members.place.zone)
        if not is_relay:
            return
        place = own_relays.index(members.node)
        due = [
            zone for zone in members.other_zones() if self._is_due(zone, now)
        ]
        if not due:
            return
        self._rounds += 1
        digest = digest_message(self._zone_members(now), now, forwarded=False)
        for zone in due:
            self._digest_sent_at[zone] = now
            node = self._receiver(zone, place, now)
            self._deliver(node, digest)

    def _is_due(self, zone: Zone, now: int) -> bool:
        period = self._members.digest_ms(self._members.index.region_of(zone))
        return now - self._digest_sent_at.get(zone, 0) >= period

    def _receiver(self, zone: Zone, place: int, now: int) -> NodeId:
        """Return the relay of a zone for this node's digests.

        Notes
        -----
        As long as no node of the zone is known to live, each is tried in turn.
        """
        relays = self._members.relays(zone, now)
        if relays:
            return relays[place % len(relays)]
        nodes = sorted(self._members.index.nodes(zone))
        return nodes[(self._rounds + place) % len(nodes)]

    def _forward(self, now: int) -> None:
        members = self._members
        fresh = [
            members.members[node]
            for node in sorted(self._to_forward)
            if node in members.members
        ]
        self._to_forward.clear()
        digest = digest_message(fresh, now, forwarded=True)
        for node in members.live_zone_peers(now):
            self._deliver(node, digest)

    def _deliver(self, node: NodeId, digest: messages.Message) -> None:
        self._send(self._members.addresses[node], digest)

    def _zone_members(self, now: int) -> list[Member]:
        members = self._members
        nodes = members.live_zone_peers(now)
        return [
            self._own_member(now),
            *(members.members[node] for node in sorted(nodes)),
        ]

    def _own_member(self, now: int) -> Member:
        return Member(status_from_message(self._make_status()), now)
