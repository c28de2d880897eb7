"""The versioned table that maps the key ranges of a service to owners."""

import contextlib
import dataclasses
from bisect import bisect_right
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Any

from savoryhold.core.decoding import whole_number
from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version

__all__ = [
    'KEY_COUNT',
    'NO_PREVIOUS',
    'UNKNOWN_OWNER',
    'OwnershipChange',
    'RangeTable',
    'Row',
    'Span',
    'apply_change',
    'initial_rows',
    'merge_rows',
    'rows_from_fields',
    'rows_to_fields',
    'rows_within',
]

KEY_COUNT = 65_536  # keys of a service run from 0 to KEY_COUNT - 1
ROW_FIELDS = 5  # of an encoded row
NO_PREVIOUS = NodeId('')  # `Row.previous` of a settled row
UNKNOWN_OWNER = NodeId('*')  # `Row.previous` with several candidates


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Span:
    """A contiguous key range from `first` to `last`, both inclusive."""

    first: int
    last: int

    @property
    def size(self) -> int:
        """Return the number of keys in the span."""
        return self.last - self.first + 1

    def overlaps(self, other: 'Span') -> bool:
        """Return whether the spans have a key in common."""
        return self.first <= other.last and other.first <= self.last

    def contains(self, other: 'Span') -> bool:
        """Return whether this span includes all keys of the other one."""
        return self.first <= other.first and other.last <= self.last

    def without(self, other: 'Span') -> 'list[Span]':
        """Return this span minus the other one, as at most two spans."""
        if not self.overlaps(other):
            return [self]
        parts = []
        if self.first < other.first:
            parts.append(Span(self.first, other.first - 1))
        if other.last < self.last:
            parts.append(Span(other.last + 1, self.last))
        return parts

    def intersection(self, other: 'Span') -> 'Span':
        """Return the intersection of two overlapping spans."""
        return Span(max(self.first, other.first), min(self.last, other.last))


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Row:
    """One span and its owner.

    ``previous`` names the previous owner while that node may still extend
    grants on the span.  It is empty once the span has settled, and
    `UNKNOWN_OWNER` if several earlier owners may still extend grants.
    """

    span: Span
    owner: NodeId
    epoch: Epoch
    previous: NodeId = NO_PREVIOUS

    @property
    def settled(self) -> bool:
        """Return whether the owner need not wait for an earlier owner."""
        return not self.previous


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipChange:
    """A request to assign a span to an owner under a new epoch.

    ``settled`` states that the current owner may grant the span.  A new
    owner then has to wait for the current owner only, and a current owner
    that stays has to wait for nobody.
    """

    span: Span
    owner: NodeId
    settled: bool = False


class RangeTable:
    """The rows of one service at one version of the stored object.

    Parameters
    ----------
    service : ServiceName
        Service that the keys belong to.
    version : Version
        Version of the stored object.
    rows : iterable of Row
        Rows in key order that cover all keys without overlap.
    lives : iterable of int
        Process incarnations of the nodes that served the service when the
        table was created.
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
        """Return the row that contains a key."""
        return self.rows[bisect_right(self._firsts, key) - 1]

    def rows_of(self, node: NodeId) -> list[Row]:
        """Return the rows that a node owns."""
        return [row for row in self.rows if row.owner == node]

    def owners(self) -> set[NodeId]:
        """Return the nodes that own at least one row."""
        return {row.owner for row in self.rows}

    def key_counts(self) -> Counter[NodeId]:
        """Return the number of keys that each owner has."""
        found: Counter[NodeId] = Counter()
        for row in self.rows:
            found[row.owner] += row.span.size
        return found

    def overlapping(self, span: Span) -> Iterator[Row]:
        """Yield the rows that overlap a span, in key order."""
        index = max(0, bisect_right(self._firsts, span.first) - 1)
        while index < len(self.rows):
            row = self.rows[index]
            if row.span.first > span.last:
                return
            if row.span.overlaps(span):
                yield row
            index += 1

    def with_changes(
        self, changes: Sequence[OwnershipChange], settled: Collection[Row] = ()
    ) -> list[Row]:
        """Return the rows after some changes, with alike neighbours merged.

        Parameters
        ----------
        changes : sequence of OwnershipChange
            Spans and their new owners.
        settled : collection of Row
            Rows that no longer have to wait for an earlier owner.

        Notes
        -----
        Each change gives its span an epoch that is one above the highest in
        it, so that a later grant of a key always has a higher fencing token.
        Adjacent rows are merged if they differ only in their spans.
        """
        rows = [
            dataclasses.replace(row, previous=NO_PREVIOUS)
            if row in settled
            else row
            for row in self.rows
        ]
        for change in changes:
            rows = apply_change(rows, change)
        return merge_rows(rows)

    def rows_changed_since(self, older: 'RangeTable') -> list[Row]:
        """Return the rows that an older version of the table lacks."""
        known = set(older.rows)
        return [row for row in self.rows if row not in known]

    def with_rows(self, version: Version, rows: Iterable[Row]) -> 'RangeTable':
        """Return a later version of the table, given the rows that differ."""
        found: list[Row] = []
        key = 0
        for row in sorted(rows):
            found.extend(self._rows_between(key, row.span.first - 1))
            found.append(row)
            key = max(key, row.span.last + 1)
        found.extend(self._rows_between(key, KEY_COUNT - 1))
        return RangeTable(self.service, version, found, self.lives)

    def _rows_between(self, first: int, last: int) -> list[Row]:
        """Return the rows of a key range, clipped to the range."""
        if first > last:
            return []
        start = bisect_right(self._firsts, first) - 1
        rows = list(self.rows[start : bisect_right(self._firsts, last)])
        keys = Span(first, last)
        for index in (0, -1):
            if not keys.contains(rows[index].span):
                span = rows[index].span.intersection(keys)
                rows[index] = dataclasses.replace(rows[index], span=span)
        return rows

    def to_fields(self) -> list[list[Any]]:
        """Return the rows as plain lists, for storage and messages."""
        return rows_to_fields(self.rows)

    @classmethod
    def from_fields(
        cls,
        service: ServiceName,
        version: Version,
        fields: Any,
        lives: Any = (),
    ) -> 'RangeTable':
        """Decode the output of `to_fields`.

        Raises
        ------
        MalformedMessageError
            If the fields are not rows, or do not cover all keys exactly once.
        """
        return cls(
            service, version, rows_from_fields(fields), _valid_lives(lives)
        )


def initial_rows(owners: Sequence[tuple[NodeId, float]]) -> list[Row]:
    """Return the first assignment of all keys, in proportion to capacity.

    Parameters
    ----------
    owners : sequence of (NodeId, float)
        At least one owner, each with its capacity in slots.
    """
    total = sum(weight for _, weight in owners)
    rows = []
    start = 0
    cumulative = 0.0
    for owner, weight in owners:
        cumulative += weight
        end = round(KEY_COUNT * cumulative / total)
        if end > start:
            rows.append(Row(Span(start, end - 1), owner, Epoch(1)))
        start = end
    return rows


def rows_to_fields(rows: Iterable[Row]) -> list[list[Any]]:
    """Encode rows as plain lists of fields."""
    return [
        [row.span.first, row.span.last, row.owner, row.epoch, row.previous]
        for row in rows
    ]


def rows_from_fields(fields: Any) -> list[Row]:
    """Decode the output of `rows_to_fields`.

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
    if not isinstance(owner, str) or not isinstance(previous, str):
        raise MalformedMessageError(
            f'range table: {entry!r}: owners must be names of nodes'
        )
    try:
        span = Span(whole_number(first), whole_number(last))
        return Row(
            span, NodeId(owner), Epoch(whole_number(epoch)), NodeId(previous)
        )
    except ValueError as exc:
        raise MalformedMessageError(f'range table: {entry!r}: {exc}') from exc


def _valid_lives(lives: Any) -> list[int]:
    found = []
    for life in lives or ():
        with contextlib.suppress(ValueError):
            found.append(whole_number(life))
    return found


def _check_cover(rows: Sequence[Row]) -> None:
    expected = 0
    for row in rows:
        if row.span.first != expected or row.span.last < expected:
            raise MalformedMessageError(
                f'range table: gap or overlap at key {expected}'
            )
        expected = row.span.last + 1
    if expected != KEY_COUNT:
        raise MalformedMessageError(
            f'range table: rows must cover all keys, but end before {expected}'
        )


def apply_change(rows: list[Row], change: OwnershipChange) -> list[Row]:
    """Return rows with one change applied; neighbours are not merged."""
    place = rows_within(rows, change.span)
    inside = rows[place]
    # A single epoch for the whole span, so that its rows can be merged.
    epoch = Epoch(1 + max(row.epoch for row in inside))
    found = []
    for row in inside:
        for part in row.span.without(change.span):
            found.append(dataclasses.replace(row, span=part))
        span = row.span.intersection(change.span)
        found.append(Row(span, change.owner, epoch, _previous(row, change)))
    return [*rows[: place.start], *sorted(found), *rows[place.stop :]]


def rows_within(rows: Sequence[Row], span: Span) -> slice:
    """Return where the rows stand that overlap a span, among rows in order."""
    start = bisect_right(rows, span.first, key=_first_key) - 1
    return slice(start, bisect_right(rows, span.last, key=_first_key))


def _first_key(row: Row) -> int:
    return row.span.first


def _previous(row: Row, change: OwnershipChange) -> NodeId:
    settled = row.settled or change.settled
    if row.owner == change.owner:
        return NO_PREVIOUS if settled else row.previous
    return row.owner if settled else UNKNOWN_OWNER


def merge_rows(rows: Iterable[Row]) -> list[Row]:
    """Return rows with neighbours merged that differ in their spans only."""
    found: list[Row] = []
    for row in rows:
        last = found[-1] if found else None
        if last is not None and _can_merge(last, row):
            whole = Span(last.span.first, row.span.last)
            found[-1] = dataclasses.replace(last, span=whole)
        else:
            found.append(row)
    return found


def _can_merge(left: Row, right: Row) -> bool:
    return (left.owner, left.epoch, left.previous) == (
        right.owner,
        right.epoch,
        right.previous,
    )
