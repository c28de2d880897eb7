"""The directory of records and the routes that follow from them."""

import dataclasses
from collections import Counter
from collections.abc import Iterator

from savoryhold.core.hashing import hash64
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    ObjectName,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
)
from savoryhold.core.records import Grant, NodeRecord, NodeState

__all__ = ['Directory', 'Entry', 'shard_of']


def shard_of(key: str, shards: int) -> ShardId:
    """Return the shard of a key among `shards` shards."""
    return ShardId(hash64(key) % shards)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The newest version seen of one object, and when it was first seen."""

    name: ObjectName
    version: Version
    record: NodeRecord | None
    observed_at: int


class Directory:
    """All records seen, by version, and the owner of each shard.

    Notes
    -----
    The owner of a shard is the highest epoch named for it in any record.
    Epochs only rise, so a route is never taken back when news arrives late.
    """

    def __init__(self) -> None:
        self._entries: dict[ObjectName, Entry] = {}
        self._by_node: dict[NodeId, ObjectName] = {}
        self._routes: dict[ShardKey, Grant] = {}
        self._listed: dict[ShardKey, Epoch] = {}
        self._counts: Counter[NodeId] = Counter()
        self.changes = 0

    def observe(
        self,
        name: ObjectName,
        version: Version,
        record: NodeRecord | None,
        now: int,
    ) -> bool:
        """Take in a version of an object.

        Returns
        -------
        bool
            Whether it is newer than what was known.
        """
        known = self._entries.get(name)
        if known is not None and known.version >= version:
            return False
        self._entries[name] = Entry(name, version, record, now)
        self.changes += 1
        if record is not None:
            self._by_node[record.node] = name
            self._learn(record)
        return True

    def entry(self, name: ObjectName) -> Entry | None:
        """Return the newest version seen of an object."""
        return self._entries.get(name)

    def entry_of(self, node: NodeId) -> Entry | None:
        """Return the newest version seen of a node's record."""
        name = self._by_node.get(node)
        return None if name is None else self._entries[name]

    def entries(self) -> Iterator[Entry]:
        """Iterate over all objects that exist as far as is known."""
        for entry in self._entries.values():
            if entry.record is not None:
                yield entry

    def record_of(self, node: NodeId) -> NodeRecord | None:
        """Return a node's record, None when unknown or deleted."""
        entry = self.entry_of(node)
        return None if entry is None else entry.record

    def is_live(self, node: NodeId) -> bool:
        """Return whether a node writes its own record."""
        record = self.record_of(node)
        return record is not None and record.is_live

    def active(self) -> list[NodeRecord]:
        """Return the records of all nodes that take on work."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record and entry.record.state is NodeState.ACTIVE
        ]

    def offering(self, service: ServiceName) -> list[NodeRecord]:
        """Return the active records whose target serves `service`."""
        return [
            record
            for record in self.active()
            if service in record.profile.services
        ]

    def route(self, key: ShardKey) -> Grant | None:
        """Return the highest epoch known of a shard and its owner."""
        return self._routes.get(key)

    def routes(self) -> Iterator[tuple[ShardKey, Grant]]:
        """Iterate over all shards and their owners."""
        yield from self._routes.items()

    def listed(self, key: ShardKey) -> Epoch:
        """Return the highest epoch that an owner listed of a shard."""
        return self._listed.get(key, Epoch(0))

    def shard_count(self, node: NodeId) -> int:
        """Return how many shards a node owns."""
        return self._counts[node]

    def prune(self, before: int) -> None:
        """Forget deleted objects that were last seen before `before`."""
        gone = [
            entry
            for entry in self._entries.values()
            if entry.record is None and entry.observed_at < before
        ]
        for entry in gone:
            self._entries.pop(entry.name)
        self._by_node = {
            node: name
            for node, name in self._by_node.items()
            if name in self._entries
        }

    def _learn(self, record: NodeRecord) -> None:
        for key, epoch in record.owned.items():
            self._listed[key] = max(self.listed(key), epoch)
            self._raise_route(key, Grant(epoch, record.node))
        for shard, grant in record.outgoing.items():
            self._raise_route(shard, grant)

    def _raise_route(self, key: ShardKey, grant: Grant) -> None:
        known = self._routes.get(key)
        if known is not None:
            if known.epoch >= grant.epoch:
                return
            self._counts[known.owner] -= 1
        self._routes[key] = grant
        self._counts[grant.owner] += 1
