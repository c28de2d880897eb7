"""The directory of records and the routes derived from them."""

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
    """The newest version seen of each record, and the owner of each shard.

    Notes
    -----
    The owner of a shard is the one that any record names with the highest
    epoch.  Epochs only rise, so an update that arrives late reverts no route.
    """

    def __init__(self) -> None:
        self._entries: dict[ObjectName, Entry] = {}
        self._by_node: dict[NodeId, ObjectName] = {}
        self._routes: dict[ShardKey, Grant] = {}
        self._listed_epochs: dict[ShardKey, Epoch] = {}
        self._counts: Counter[NodeId] = Counter()
        self.change_count = 0

    def observe(
        self,
        name: ObjectName,
        version: Version,
        record: NodeRecord | None,
        now: int,
    ) -> bool:
        """Record an observed version of an object.

        Returns
        -------
        bool
            Whether it is newer than the version known before.
        """
        known = self._entries.get(name)
        if known is not None and known.version >= version:
            return False
        self._entries[name] = Entry(name, version, record, now)
        self.change_count += 1
        if record is not None:
            self._by_node[record.node] = name
            self._update_routes(record)
        return True

    def entry(self, name: ObjectName) -> Entry | None:
        """Return the newest version seen of an object."""
        return self._entries.get(name)

    def entry_of(self, node: NodeId) -> Entry | None:
        """Return the newest version seen of a node's record."""
        name = self._by_node.get(node)
        return None if name is None else self._entries[name]

    def entries(self) -> Iterator[Entry]:
        """Iterate over all objects that are not known to be deleted."""
        for entry in self._entries.values():
            if entry.record is not None:
                yield entry

    def record_of(self, node: NodeId) -> NodeRecord | None:
        """Return a node's record, None when unknown or deleted."""
        entry = self.entry_of(node)
        return None if entry is None else entry.record

    def is_live(self, node: NodeId) -> bool:
        """Return whether a node's record exists and is not claimed."""
        record = self.record_of(node)
        return record is not None and record.is_live

    def active(self) -> list[NodeRecord]:
        """Return the records of all nodes in state ``ACTIVE``."""
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
        """Return the owner of a shard and its epoch, None if unknown."""
        return self._routes.get(key)

    def routes(self) -> Iterator[tuple[ShardKey, Grant]]:
        """Iterate over all shards and their owners."""
        yield from self._routes.items()

    def listed_epoch(self, key: ShardKey) -> Epoch:
        """Return the highest epoch at which an owner listed a shard."""
        return self._listed_epochs.get(key, Epoch(0))

    def shard_count(self, node: NodeId) -> int:
        """Return how many shards a node owns."""
        return self._counts[node]

    def prune(self, before: int) -> None:
        """Forget deleted objects whose deletion was seen before `before`."""
        expired = [
            entry
            for entry in self._entries.values()
            if entry.record is None and entry.observed_at < before
        ]
        for entry in expired:
            self._entries.pop(entry.name)
        self._by_node = {
            node: name
            for node, name in self._by_node.items()
            if name in self._entries
        }

    def _update_routes(self, record: NodeRecord) -> None:
        for key, epoch in record.owned.items():
            self._listed_epochs[key] = max(self.listed_epoch(key), epoch)
            self._update_route(key, Grant(epoch, record.node))
        for key, grant in record.outgoing.items():
            self._update_route(key, grant)

    def _update_route(self, key: ShardKey, grant: Grant) -> None:
        known = self._routes.get(key)
        if known is not None:
            if known.epoch >= grant.epoch:
                return
            self._counts[known.owner] -= 1
        self._routes[key] = grant
        self._counts[grant.owner] += 1
