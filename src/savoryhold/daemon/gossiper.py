"""Spreads news between daemons: pushes, digests and load figures."""

import asyncio
import random

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError
from savoryhold.core.gossip import Digest, ObjectUpdate
from savoryhold.core.ids import ObjectName, Version
from savoryhold.core.poison import Strike
from savoryhold.core.records import NodeRecord
from savoryhold.daemon.convert import news_from_entry, news_to_entry
from savoryhold.daemon.loads import LoadTable
from savoryhold.daemon.node import NodeTask, jittered
from savoryhold.peer import messages

__all__ = ['GossipTask']

PUSH_FANOUT = 3
SWAP_EVERY_MS = 1000
CALL_LIMIT_MS = 500
REMOTE_SHARE = 0.1
ZONE_SHARE = 0.7
LOADS_PER_SWAP = 8


class GossipTask:
    """Gossip of one daemon.

    Parameters
    ----------
    node : NodeTask
        Source and sink of news.
    loads : LoadTable
        Load figures to pass on.
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
        node.on_news = self._outbox.put_nowait

    async def push(self) -> None:
        """Send news to a few random peers, in batches, until cancelled."""
        while True:
            items = [await self._outbox.get()]
            while not self._outbox.empty():
                items.append(self._outbox.get_nowait())
            for address in self._push_targets(items):
                batch = [news_to_entry(item) for item in items]
                message = messages.ObjectUpdateBatch(items=batch)
                self._node.start_task(self._tell(address, message))

    async def swap(self) -> None:
        """Swap digests with one random peer a round until cancelled."""
        while True:
            await asyncio.sleep(jittered(SWAP_EVERY_MS))
            peer = self._choose_peer()
            if peer is not None:
                await self._swap_with(peer)

    def push_strike(self, strike: Strike) -> None:
        """Tell all peers of a strike."""
        message = messages.StrikeNotice(
            fingerprint=strike.fingerprint, incident=strike.incident
        )
        for record in self._sample(PUSH_FANOUT):
            self._node.start_task(self._tell(record.profile.address, message))

    def answer_digest(self, message: messages.Message) -> messages.Message:
        """Return this node's digest; take in the peer's loads."""
        self._loads.merge(message.loads or ())
        digest = self._node.news.digest()
        same = digest.root == message.root
        return messages.DigestSwap(
            root=digest.root,
            buckets=[] if same else list(digest.buckets),
            loads=self._loads.sample(LOADS_PER_SWAP),
        )

    def answer_pull(self, message: messages.Message) -> messages.Message:
        """Return what a peer lacks and name what this node lacks."""
        versions = {
            ObjectName(entry.name): Version(entry.version)
            for entry in message.versions or ()
        }
        news = self._node.news
        items = news.newer_than(versions, message.buckets)
        wanted = [
            name
            for name, version in versions.items()
            if _known_version(news.get(name)) < version
        ]
        return messages.PullAnswer(
            items=[news_to_entry(item) for item in items], wanted=wanted
        )

    async def fetch_all(self, address: str) -> bool:
        """Take in everything that a peer knows; return whether it told."""
        empty = Digest((0,) * len(self._node.news.digest().buckets))
        everything = list(range(len(empty.buckets)))
        pull = messages.Pull(buckets=everything, versions=[])
        try:
            reply = await self._node.pool.call(address, pull, CALL_LIMIT_MS)
        except LinkError:
            return False
        for news in reply.items or ():
            self._node.learn(news_from_entry(news))
        return bool(reply.items)

    def _push_targets(self, items: list[ObjectUpdate]) -> set[str]:
        addresses = {
            record.profile.address for record in self._sample(PUSH_FANOUT)
        }
        addresses.update(self._new_owners(items))
        addresses.discard(self._node.settings.listen.peers)
        return addresses

    def _new_owners(self, items: list[ObjectUpdate]) -> set[str]:
        # Those that a record gives shards to are told of it at once.
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

    def _peers(self) -> list[NodeRecord]:
        me = self._node.node
        return [
            record
            for record in self._node.machine.directory.active()
            if record.node != me
        ]

    def _sample(self, count: int) -> list[NodeRecord]:
        peers = self._peers()
        return random.sample(peers, min(count, len(peers)))

    def _choose_peer(self) -> NodeRecord | None:
        peers = self._peers()
        cfg = self._node.settings.node
        here = [peer for peer in peers if peer.profile.region == cfg.region]
        zone = [peer for peer in here if peer.profile.zone == cfg.zone]
        remote = [peer for peer in peers if peer.profile.region != cfg.region]
        if remote and random.random() < REMOTE_SHARE:
            return random.choice(remote)
        if zone and random.random() < ZONE_SHARE:
            return random.choice(zone)
        pool = here or remote
        return random.choice(pool) if pool else None

    async def _tell(self, address: str, message: messages.Message) -> None:
        try:
            await self._node.pool.call(address, message, CALL_LIMIT_MS)
        except LinkError:
            # The next digest swap brings what this push did not.
            return

    async def _swap_with(self, peer: NodeRecord) -> None:
        self.swaps += 1
        digest = self._node.news.digest()
        message = messages.DigestSwap(
            root=digest.root,
            buckets=[],
            loads=self._loads.sample(LOADS_PER_SWAP),
        )
        address = peer.profile.address
        try:
            reply = await self._node.pool.call(address, message, CALL_LIMIT_MS)
            self._loads.merge(reply.loads or ())
            if reply.buckets:
                theirs = Digest(tuple(reply.buckets))
                await self._pull(address, digest.differing(theirs))
        except LinkError as exc:
            self._node.log.debug('swap_failed', peer=peer.node, error=str(exc))

    async def _pull(self, address: str, buckets: list[int]) -> None:
        self.pulls += 1
        news = self._node.news
        versions = [
            messages.VersionEntry(name=name, version=version)
            for name, version in news.versions(buckets).items()
        ]
        pull = messages.Pull(buckets=buckets, versions=versions)
        reply = await self._node.pool.call(address, pull, CALL_LIMIT_MS)
        for entry in reply.items or ():
            self._node.learn(news_from_entry(entry))
        wanted = [news.get(ObjectName(name)) for name in reply.wanted or ()]
        items = [news_to_entry(item) for item in wanted if item is not None]
        if items:
            batch = messages.ObjectUpdateBatch(items=items)
            await self._node.pool.call(address, batch, CALL_LIMIT_MS)


def _known_version(item: ObjectUpdate | None) -> int:
    return 0 if item is None else item.version
