"""Ledgers of request ids, so that a request runs at most once."""

import dataclasses
import enum
from collections import OrderedDict
from collections.abc import Iterable, Iterator

from savoryhold.core.ids import NodeId, RequestId, ShardKey

__all__ = [
    'BackupLedger',
    'Ledger',
    'LedgerEntry',
    'LedgerLimits',
    'LedgerState',
    'StoredAnswer',
    'in_batches',
]

ENTRY_BYTES = 400  # counted for each entry besides the body of its answer
MAX_COPIES = 8  # of an id; the oldest belongs to a holder lost long ago


class LedgerState(enum.Enum):
    """State of a request id."""

    NEW = 'new'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bounds of a ledger."""

    count: int = 200_000
    size_bytes: int = 64_000_000
    age_ms: int = 600_000
    answer_bytes: int = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A target's complete answer, stored so that it can be replayed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerEntry:
    """State of one request id of one shard, recorded ``at`` a time in ms."""

    key: ShardKey
    request: RequestId
    state: LedgerState
    at: int
    answer: StoredAnswer | None = None

    @property
    def size(self) -> int:
        """Return the bytes that the entry counts towards the limit."""
        body = self.answer.body if self.answer else b''
        return ENTRY_BYTES + len(body)


_EntryId = tuple[ShardKey, RequestId]


class Ledger:
    """The owner's ledger of non-idempotent requests.

    Parameters
    ----------
    limits : LedgerLimits
        Bounds; when one is reached, new requests are refused and no recorded
        one is dropped.
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        self._entries: OrderedDict[_EntryId, LedgerEntry] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        """Return how many ids are stored."""
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return the bytes that all entries count towards the limit."""
        return self._size

    def find(
        self, key: ShardKey, request: RequestId, now: int
    ) -> LedgerEntry | None:
        """Return the entry of an id, None if it is unknown."""
        self.expire(now)
        return self._entries.get((key, request))

    def begin(self, key: ShardKey, request: RequestId, now: int) -> LedgerEntry:
        """Return the entry of an id; record a new id as running.

        Returns
        -------
        LedgerEntry
            Its state is ``NEW`` if the request may run now, ``FULL`` if
            the ledger has no room for it, else the recorded state.
        """
        self.expire(now)
        known = self._entries.get((key, request))
        if known is not None:
            return known
        limits = self._limits
        has_room = self._size + ENTRY_BYTES <= limits.size_bytes
        if len(self._entries) >= limits.count or not has_room:
            return LedgerEntry(key, request, LedgerState.FULL, now)
        self._put(LedgerEntry(key, request, LedgerState.RUNNING, now))
        return LedgerEntry(key, request, LedgerState.NEW, now)

    def finish(
        self, key: ShardKey, request: RequestId, answer: StoredAnswer, now: int
    ) -> None:
        """Store the answer of a request that ran.

        Notes
        -----
        An answer that is too large, or for which there is no room, is not
        stored; the id then becomes ``UNKNOWN``: its request has run, but the
        answer cannot be replayed.
        """
        entry = LedgerEntry(key, request, LedgerState.DONE, now, answer)
        too_large = len(answer.body) > self._limits.answer_bytes
        has_room = self._size + len(answer.body) <= self._limits.size_bytes
        if too_large or not has_room:
            entry = LedgerEntry(key, request, LedgerState.UNKNOWN, now)
        self._put(entry)

    def record_uncertain(
        self, key: ShardKey, request: RequestId, now: int
    ) -> None:
        """Record that a request may have run."""
        self._put(LedgerEntry(key, request, LedgerState.UNKNOWN, now))

    def forget(self, key: ShardKey, request: RequestId) -> None:
        """Remove an id whose request certainly did not run."""
        entry = self._entries.pop((key, request), None)
        if entry is not None:
            self._size -= entry.size

    def export(self, keys: frozenset[ShardKey]) -> list[LedgerEntry]:
        """Return the entries of some shards; running ones as unknown."""
        return [
            _as_settled(entry)
            for entry in self._entries.values()
            if entry.key in keys
        ]

    def adopt(self, entries: Iterable[LedgerEntry]) -> None:
        """Add entries of a previous owner; existing entries are kept."""
        for entry in entries:
            if (entry.key, entry.request) not in self._entries:
                self._put(entry)

    def expire(self, now: int) -> None:
        """Remove settled entries that are older than the age bound."""
        oldest = now - self._limits.age_ms
        while self._entries:
            entry_id, entry = next(iter(self._entries.items()))
            if entry.at >= oldest or entry.state is LedgerState.RUNNING:
                return
            self._entries.pop(entry_id)
            self._size -= entry.size

    def _put(self, entry: LedgerEntry) -> None:
        entry_id = (entry.key, entry.request)
        previous = self._entries.pop(entry_id, None)
        if previous is not None:
            self._size -= previous.size
        self._entries[entry_id] = entry
        self._size += entry.size


class BackupLedger:
    """The standby's copy of its holders' request ids.

    Parameters
    ----------
    limits : LedgerLimits
        Bounds over all holders; when one is reached, no more ids are accepted.

    Notes
    -----
    An id counts once towards the limit, however many holders had it in turn.
    A new owner's copy of an adopted id is therefore always accepted.
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        # Times of the copies by holder, the newest copy last.
        self._copies: OrderedDict[_EntryId, dict[NodeId, int]] = OrderedDict()

    def __len__(self) -> int:
        """Return how many ids are stored."""
        return len(self._copies)

    def append(
        self, holder: NodeId, key: ShardKey, request: RequestId, now: int
    ) -> bool:
        """Store an id; return whether there was room for it."""
        self.expire(now)
        entry_id = (key, request)
        if entry_id not in self._copies:
            if len(self._copies) >= self._limits.count:
                return False
            self._copies[entry_id] = {}
        copies = self._copies[entry_id]
        copies.pop(holder, None)
        copies[holder] = now
        if len(copies) > MAX_COPIES:
            copies.pop(next(iter(copies)))
        return True

    def export(
        self, holder: NodeId, keys: frozenset[ShardKey]
    ) -> list[LedgerEntry]:
        """Return a holder's ids of some shards, as unknown outcomes."""
        return [
            LedgerEntry(key, request, LedgerState.UNKNOWN, copies[holder])
            for (key, request), copies in self._copies.items()
            if holder in copies and key in keys
        ]

    def expire(self, now: int) -> None:
        """Remove ids whose copies are all older than the age bound."""
        oldest = now - self._limits.age_ms
        while self._copies:
            entry_id, copies = next(iter(self._copies.items()))
            if max(copies.values()) >= oldest:
                return
            self._copies.pop(entry_id)


def in_batches(
    entries: Iterable[LedgerEntry], limit_bytes: int
) -> Iterator[list[LedgerEntry]]:
    """Split entries into batches of about `limit_bytes`; at least one."""
    batch: list[LedgerEntry] = []
    size = 0
    for entry in entries:
        if batch and size + entry.size > limit_bytes:
            yield batch
            batch = []
            size = 0
        batch.append(entry)
        size += entry.size
    yield batch


def _as_settled(entry: LedgerEntry) -> LedgerEntry:
    if entry.state is LedgerState.RUNNING:
        return dataclasses.replace(entry, state=LedgerState.UNKNOWN)
    return entry
