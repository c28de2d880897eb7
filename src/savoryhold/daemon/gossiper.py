"""Gossip between daemons: pushed updates, digest swaps and load figures."""

import asyncio
import random

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError
from savoryhold.core.gossip import Digest, ObjectUpdate
from savoryhold.core.ids import ObjectName, Version
from savoryhold.core.poison import Strike
from savoryhold.core.records import NodeRecord
from savoryhold.daemon.convert import update_from_message, update_to_message
from savoryhold.daemon.loads import LoadTable
from savoryhold.daemon.node import NodeTask, jittered
from savoryhold.peer import messages

__all__ = ['GossipTask']

PUSH_FANOUT = 3
SWAP_INTERVAL_MS = 1000
CALL_TIMEOUT_MS = 500
REMOTE_SHARE = 0.1
SAME_ZONE_SHARE = 0.7
LOADS_PER_SWAP = 8


class GossipTask:
    """Keeps the gossip table in step with those of other daemons.

    Parameters
    ----------
    node : NodeTask
        Holds the gossip table, and links to the peers.
    loads : LoadTable
        Load figures, which digest swaps carry.
    clock : Clock
        Source of time.
    """

    def __init__(self, node: NodeTask, loads: LoadTable, clock: Clock) -> None:
        self.swaps = 0
        self.pulls = 0
        self._node = node
        self._loads = loads
        self._clock = clock
        self._outbox: asyncio.Queue[ObjectUpdate] = asyncio.Queue()
        node.on_update = self._outbox.put_nowait

    async def push(self) -> None:
        """Push new versions to `PUSH_FANOUT` random peers until cancelled.

        Notes
        -----
        All queued updates go out as one batch.  Nodes to which a record
        hands over shards receive it, too.
        """
        while True:
            items = [await self._outbox.get()]
            while not self._outbox.empty():
                items.append(self._outbox.get_nowait())
            for address in self._push_targets(items):
                batch = [update_to_message(item) for item in items]
                message = messages.ObjectUpdateBatch(items=batch)
                self._node.start_task(self._send_message(address, message))

    async def swap(self) -> None:
        """Swap digests with a random peer about each `SWAP_INTERVAL_MS`."""
        while True:
            await asyncio.sleep(jittered(SWAP_INTERVAL_MS))
            peer = self._choose_peer()
            if peer is not None:
                await self._swap_with(peer)

    def push_strike(self, strike: Strike) -> None:
        """Send a strike to `PUSH_FANOUT` random peers."""
        message = messages.StrikeNotice(
            fingerprint=strike.fingerprint, incident=strike.incident
        )
        for record in self._sample_nodes(PUSH_FANOUT):
            self._node.start_task(
                self._send_message(record.profile.address, message)
            )

    def answer_digest(self, message: messages.Message) -> messages.Message:
        """Return this node's digest and merge the peer's load figures.

        Notes
        -----
        The answer has no buckets if both tables have the same root.
        """
        self._loads.merge(message.loads or ())
        digest = self._node.gossip_table.digest()
        same = digest.root == message.root
        return messages.DigestSwap(
            root=digest.root,
            buckets=[] if same else list(digest.buckets),
            loads=self._loads.sample(LOADS_PER_SWAP),
        )

    def answer_pull(self, message: messages.Message) -> messages.Message:
        """Return the versions that a peer lacks.

        Notes
        -----
        The answer also names the objects (``wanted``) of which the peer has
        a newer version than this node.
        """
        versions = {
            ObjectName(entry.name): Version(entry.version)
            for entry in message.versions or ()
        }
        gossip_table = self._node.gossip_table
        items = gossip_table.newer_than(versions, message.buckets)
        wanted = [
            name
            for name, version in versions.items()
            if _known_version(gossip_table.get(name)) < version
        ]
        return messages.PullAnswer(
            items=[update_to_message(item) for item in items], wanted=wanted
        )

    async def fetch_all(self, address: str) -> bool:
        """Fetch all objects that a peer knows.

        Returns
        -------
        bool
            Whether the peer answered with any object.
        """
        empty = Digest((0,) * len(self._node.gossip_table.digest().buckets))
        everything = list(range(len(empty.buckets)))
        pull = messages.Pull(buckets=everything, versions=[])
        try:
            reply = await self._node.pool.call(address, pull, CALL_TIMEOUT_MS)
        except LinkError:
            return False
        for entry in reply.items or ():
            self._node.learn(update_from_message(entry))
        return bool(reply.items)

    def _push_targets(self, items: list[ObjectUpdate]) -> set[str]:
        addresses = {
            record.profile.address for record in self._sample_nodes(PUSH_FANOUT)
        }
        addresses.update(self._new_owners(items))
        addresses.discard(self._node.settings.listen.peers)
        return addresses

    def _new_owners(self, items: list[ObjectUpdate]) -> set[str]:
        # The new owners of shards must learn of the handover at once.
        directory = self._node.machine.directory
        found: set[str] = set()
        for item in items:
            entry = directory.entry(item.name)
            if entry is None or entry.record is None:
                continue
            for grant in entry.record.outgoing.values():
                address = self._node.address_of(grant.owner)
                if address is not None:
                    found.add(address)
        return found

    def _other_nodes(self) -> list[NodeRecord]:
        own = self._node.node
        return [
            record
            for record in self._node.machine.directory.active()
            if record.node != own
        ]

    def _sample_nodes(self, count: int) -> list[NodeRecord]:
        peers = self._other_nodes()
        return random.sample(peers, min(count, len(peers)))

    def _choose_peer(self) -> NodeRecord | None:
        peers = self._other_nodes()
        cfg = self._node.settings.node
        here = [peer for peer in peers if peer.profile.region == cfg.region]
        zone = [peer for peer in here if peer.profile.zone == cfg.zone]
        remote = [peer for peer in peers if peer.profile.region != cfg.region]
        if remote and random.random() < REMOTE_SHARE:
            return random.choice(remote)
        if zone and random.random() < SAME_ZONE_SHARE:
            return random.choice(zone)
        pool = here or remote
        return random.choice(pool) if pool else None

    async def _send_message(
        self, address: str, message: messages.Message
    ) -> None:
        try:
            await self._node.pool.call(address, message, CALL_TIMEOUT_MS)
        except LinkError:
            # A later digest swap repairs a lost push.
            return

    async def _swap_with(self, peer: NodeRecord) -> None:
        self.swaps += 1
        digest = self._node.gossip_table.digest()
        message = messages.DigestSwap(
            root=digest.root,
            buckets=[],
            loads=self._loads.sample(LOADS_PER_SWAP),
        )
        address = peer.profile.address
        try:
            reply = await self._node.pool.call(
                address, message, CALL_TIMEOUT_MS
            )
            self._loads.merge(reply.loads or ())
            if reply.buckets:
                theirs = Digest(tuple(reply.buckets))
                await self._pull(address, digest.differing(theirs))
        except LinkError as exc:
            self._node.log.debug(
                'digest_swap_failed', peer=peer.node, error=str(exc)
            )

    async def _pull(self, address: str, buckets: list[int]) -> None:
        self.pulls += 1
        gossip_table = self._node.gossip_table
        versions = [
            messages.VersionEntry(name=name, version=version)
            for name, version in gossip_table.versions(buckets).items()
        ]
        pull = messages.Pull(buckets=buckets, versions=versions)
        reply = await self._node.pool.call(address, pull, CALL_TIMEOUT_MS)
        for entry in reply.items or ():
            self._node.learn(update_from_message(entry))
        wanted = [
            gossip_table.get(ObjectName(name)) for name in reply.wanted or ()
        ]
        items = [update_to_message(item) for item in wanted if item is not None]
        if items:
            batch = messages.ObjectUpdateBatch(items=items)
            await self._node.pool.call(address, batch, CALL_TIMEOUT_MS)


def _known_version(item: ObjectUpdate | None) -> int:
    return 0 if item is None else item.version
