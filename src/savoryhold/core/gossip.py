"""Gossip about versioned objects, and digests that find missing versions."""

import dataclasses
from collections.abc import Iterable, Iterator

from savoryhold.core.hashing import hash64
from savoryhold.core.ids import ObjectName, Version

__all__ = [
    'BUCKETS',
    'Digest',
    'GossipTable',
    'ObjectUpdate',
]

BUCKETS = 64
_DIGEST_BITS = 63
# Digests travel as signed 64-bit integers.
_MASK = (1 << _DIGEST_BITS) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectUpdate:
    """A version of an object; `text` is None when it was deleted."""

    name: ObjectName
    version: Version
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """One hash over the names and versions in each bucket."""

    buckets: tuple[int, ...]

    @property
    def root(self) -> int:
        """Return one hash over all buckets."""
        joined = ','.join(str(bucket) for bucket in self.buckets)
        return hash64(joined) & _MASK

    def differing(self, other: 'Digest') -> list[int]:
        """Return the numbers of the buckets that differ."""
        pairs = zip(self.buckets, other.buckets, strict=True)
        return [
            num for num, (mine, theirs) in enumerate(pairs) if mine != theirs
        ]


class GossipTable:
    """The newest known version of each object.

    Notes
    -----
    The digest of a bucket is the exclusive or of the hashes of all its
    (name, version) pairs, so one change updates it in constant time.  It
    leaves out deleted objects, so that nodes may forget them independently.
    """

    def __init__(self) -> None:
        self._items: dict[ObjectName, ObjectUpdate] = {}
        self._buckets = [0 for _ in range(BUCKETS)]

    def __len__(self) -> int:
        """Return how many objects are known."""
        return len(self._items)

    def get(self, name: ObjectName) -> ObjectUpdate | None:
        """Return the newest known version of an object."""
        return self._items.get(name)

    def items(self) -> Iterator[ObjectUpdate]:
        """Iterate over the newest version of each object."""
        yield from self._items.values()

    def learn(self, item: ObjectUpdate) -> bool:
        """Record a version; return whether it is newer than the known one."""
        known = self._items.get(item.name)
        if known is not None and known.version >= item.version:
            return False
        self._toggle(known)
        self._toggle(item)
        self._items[item.name] = item
        return True

    def forget(self, name: ObjectName) -> None:
        """Remove an object, such as a deleted one that all nodes know of."""
        self._toggle(self._items.pop(name, None))

    def digest(self) -> Digest:
        """Return the digest of all objects."""
        return Digest(tuple(self._buckets))

    def versions(self, buckets: Iterable[int]) -> dict[ObjectName, Version]:
        """Return the versions of the objects in some buckets."""
        wanted = set(buckets)
        return {
            name: item.version
            for name, item in self._items.items()
            if _bucket(name) in wanted
        }

    def newer_than(
        self, versions: dict[ObjectName, Version], buckets: Iterable[int]
    ) -> list[ObjectUpdate]:
        """Return objects of some buckets whose version a peer lacks."""
        wanted = set(buckets)
        return [
            item
            for name, item in self._items.items()
            if _bucket(name) in wanted and versions.get(name, 0) < item.version
        ]

    def _toggle(self, item: ObjectUpdate | None) -> None:
        if item is not None and item.text is not None:
            self._buckets[_bucket(item.name)] ^= _hash(item)


def _bucket(name: ObjectName) -> int:
    return hash64(name) % BUCKETS


def _hash(item: ObjectUpdate) -> int:
    return hash64(f'{item.name}@{item.version}') & _MASK
