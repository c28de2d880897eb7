"""Which node owns which keys of one service, as one versioned table."""

import dataclasses
from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Any

from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version

__all__ = [
    'KEY_COUNT',
    'UNKNOWN_OWNER',
    'OwnershipChange',
    'RangeTable',
    'Row',
    'Span',
    'initial_rows',
    'rows_from_fields',
    'rows_to_fields',
]

KEY_COUNT = 65_536  # keys of a service run from 0 to KEY_COUNT - 1
ROW_FIELDS = 5
SETTLED = NodeId('')
UNKNOWN_OWNER = NodeId('*')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Span:
    """Keys from `first` to `last`, both included."""

    first: int
    last: int

    @property
    def size(self) -> int:
        """Return how many keys the span holds."""
        return self.last - self.first + 1

    def overlaps(self, other: 'Span') -> bool:
        """Return whether the spans share a key."""
        return self.first <= other.last and other.first <= self.last

    def contains(self, other: 'Span') -> bool:
        """Return whether all keys of the other span are in this one."""
        return self.first <= other.first and other.last <= self.last

    def without(self, other: 'Span') -> 'list[Span]':
        """Return what is left of the span, in at most two parts."""
        if not self.overlaps(other):
            return [self]
        parts = []
        if self.first < other.first:
            parts.append(Span(self.first, other.first - 1))
        if other.last < self.last:
            parts.append(Span(other.last + 1, self.last))
        return parts

    def common(self, other: 'Span') -> 'Span':
        """Return the keys in both spans, which must overlap."""
        return Span(max(self.first, other.first), min(self.last, other.last))


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Row:
    """One span and its owner.

    ``previous`` names the owner before, as long as that node may still
    extend grants on the span; it is empty once the span has settled, and
    `UNKNOWN_OWNER` if more than one earlier owner may.
    """

    span: Span
    owner: NodeId
    epoch: Epoch
    previous: NodeId = SETTLED

    @property
    def settled(self) -> bool:
        """Return whether no earlier owner has to be waited for."""
        return not self.previous


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipChange:
    """Asks that a span gets an owner, with a new epoch.

    ``settled`` says that the present owner may grant the span, so that it
    alone has to be waited for, or, if it stays the owner, nobody.
    """

    span: Span
    owner: NodeId
    settled: bool = False


class RangeTable:
    """All rows of one service at one version of the stored object.

    Parameters
    ----------
    service : ServiceName
        Whose keys these are.
    version : Version
        Version of the stored object.
    rows : iterable of Row
        Rows that cover all keys without overlap, in order.
    lives : iterable of int
        Lives of the nodes' processes that saw the table created.
    """

    def __init__(
        self,
        service: ServiceName,
        version: Version,
        rows: Iterable[Row],
        lives: Iterable[int] = (),
    ) -> None:
        self.service = service
        self.version = version
        self.lives = frozenset(lives)
        self.rows = tuple(rows)
        self._firsts = [row.span.first for row in self.rows]
        _check_cover(self.rows)

    def row_at(self, key: int) -> Row:
        """Return the row that holds a key."""
        return self.rows[bisect_right(self._firsts, key) - 1]

    def rows_of(self, node: NodeId) -> list[Row]:
        """Return the rows of one owner."""
        return [row for row in self.rows if row.owner == node]

    def owners(self) -> set[NodeId]:
        """Return all owners."""
        return {row.owner for row in self.rows}

    def overlapping(self, span: Span) -> Iterator[Row]:
        """Return the rows that share keys with a span, in order."""
        place = max(0, bisect_right(self._firsts, span.first) - 1)
        while place < len(self.rows):
            row = self.rows[place]
            if row.span.first > span.last:
                return
            if row.span.overlaps(span):
                yield row
            place += 1

    def changed(
        self, changes: Sequence[OwnershipChange], settled: Collection[Row] = ()
    ) -> list[Row]:
        """Return the rows after some changes, merged where they are alike.

        Parameters
        ----------
        changes : sequence of Change
            New owners.
        settled : collection of Row
            Rows whose earlier owners need not be waited for any more.

        Notes
        -----
        A change of owner raises the epoch by one, so that a later grant of
        a key always carries a higher fencing token.
        """
        rows = [
            dataclasses.replace(row, previous=SETTLED)
            if row in settled
            else row
            for row in self.rows
        ]
        for change in changes:
            rows = _apply(rows, change)
        return _merged(rows)

    def rows_changed_since(self, older: 'RangeTable') -> list[Row]:
        """Return the rows that an older version of the table has not."""
        known = set(older.rows)
        return [row for row in self.rows if row not in known]

    def with_rows(self, version: Version, rows: Iterable[Row]) -> 'RangeTable':
        """Return a later version, of which the rows that differ are given."""
        found: list[Row] = []
        key = 0
        for row in sorted(rows):
            found.extend(self._between(key, row.span.first - 1))
            found.append(row)
            key = max(key, row.span.last + 1)
        found.extend(self._between(key, KEY_COUNT - 1))
        return RangeTable(self.service, version, found, self.lives)

    def _between(self, first: int, last: int) -> list[Row]:
        """Return the rows of some keys, cut where they go beyond."""
        if first > last:
            return []
        start = bisect_right(self._firsts, first) - 1
        rows = list(self.rows[start : bisect_right(self._firsts, last)])
        keys = Span(first, last)
        for place in (0, -1):
            if not keys.contains(rows[place].span):
                span = rows[place].span.common(keys)
                rows[place] = dataclasses.replace(rows[place], span=span)
        return rows

    def to_fields(self) -> list[list[Any]]:
        """Return the rows as plain lists, for storing and sending."""
        return rows_to_fields(self.rows)

    @classmethod
    def from_fields(
        cls,
        service: ServiceName,
        version: Version,
        fields: Any,
        lives: Any = (),
    ) -> 'RangeTable':
        """Read what `to_fields` wrote.

        Raises
        ------
        MalformedMessageError
            If the fields are not rows that cover all keys.
        """
        whole = (life for life in lives or () if isinstance(life, int))
        return cls(service, version, rows_from_fields(fields), whole)


def initial_rows(owners: Sequence[tuple[NodeId, float]]) -> list[Row]:
    """Return a first assignment by weight.

    Parameters
    ----------
    owners : sequence of (NodeId, float)
        Each owner with its capacity in slots; at least one.
    """
    total = sum(weight for _, weight in owners)
    rows = []
    start = 0
    passed = 0.0
    for owner, weight in owners:
        passed += weight
        end = round(KEY_COUNT * passed / total)
        if end > start:
            rows.append(Row(Span(start, end - 1), owner, Epoch(1)))
        start = end
    return rows


def rows_to_fields(rows: Iterable[Row]) -> list[list[Any]]:
    """Return rows as plain lists."""
    return [
        [row.span.first, row.span.last, row.owner, row.epoch, row.previous]
        for row in rows
    ]


def rows_from_fields(fields: Any) -> list[Row]:
    """Read what `rows_to_fields` wrote.

    Raises
    ------
    MalformedMessageError
        If the fields are not rows.
    """
    if not isinstance(fields, list):
        raise MalformedMessageError('range table: rows are not a list')
    return [_row_of(entry) for entry in fields]


def _row_of(entry: Any) -> Row:
    if not isinstance(entry, list) or len(entry) != ROW_FIELDS:
        raise MalformedMessageError(f'range table: {entry!r} is not a row')
    first, last, owner, epoch, previous = entry
    numbers = (first, last, epoch)
    if not all(isinstance(number, int) for number in numbers):
        raise MalformedMessageError(f'range table: {entry!r} has no numbers')
    return Row(
        Span(first, last), NodeId(str(owner)), Epoch(epoch), NodeId(previous)
    )


def _check_cover(rows: Sequence[Row]) -> None:
    expected = 0
    for row in rows:
        if row.span.first != expected or row.span.last < expected:
            raise MalformedMessageError(
                f'range table: gap or overlap at key {expected}'
            )
        expected = row.span.last + 1
    if expected != KEY_COUNT:
        raise MalformedMessageError(f'range table: ends at key {expected}')


def _apply(rows: list[Row], change: OwnershipChange) -> list[Row]:
    found = []
    inside = [row for row in rows if row.span.overlaps(change.span)]
    # One epoch for all, so that rows that have become alike are merged.
    epoch = Epoch(1 + max(row.epoch for row in inside))
    for row in rows:
        if not row.span.overlaps(change.span):
            found.append(row)
            continue
        for part in row.span.without(change.span):
            found.append(dataclasses.replace(row, span=part))
        span = row.span.common(change.span)
        found.append(Row(span, change.owner, epoch, _previous(row, change)))
    return sorted(found)


def _previous(row: Row, change: OwnershipChange) -> NodeId:
    settled = row.settled or change.settled
    if row.owner == change.owner:
        return SETTLED if settled else row.previous
    return row.owner if settled else UNKNOWN_OWNER


def _merged(rows: list[Row]) -> list[Row]:
    found: list[Row] = []
    for row in rows:
        last = found[-1] if found else None
        if last is not None and _alike(last, row):
            whole = Span(last.span.first, row.span.last)
            found[-1] = dataclasses.replace(last, span=whole)
        else:
            found.append(row)
    return found


def _alike(left: Row, right: Row) -> bool:
    return (left.owner, left.epoch, left.previous) == (
        right.owner,
        right.epoch,
        right.previous,
    )
