"""The next version of a table, from the changes of several nodes.

Each node asks for changes of the rows that it has seen.  A request is applied
only if these rows are unchanged, whatever has happened to others, so that many
requests fit into one write.
"""

import dataclasses
from collections.abc import Sequence
from typing import Any

from savoryhold.core.decoding import whole_number
from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import Epoch, NodeId
from savoryhold.ranges.table import (
    NO_PREVIOUS,
    OwnershipChange,
    RangeTable,
    Row,
    Span,
    apply_change,
    merge_rows,
    rows_from_fields,
    rows_to_fields,
    rows_within,
)

__all__ = ['ChangeRequest', 'ExpectedChange', 'TableDraft']


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedChange:
    """A change, and the rows to which it applies.

    ``owner`` and ``epoch`` are those of all rows that overlap the span; the
    epoch is the highest of them.
    """

    change: OwnershipChange
    owner: NodeId
    epoch: Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Changes that one node asks for.

    ``settled`` are rows whose earlier owners can no longer extend a grant.
    ``reason`` is for the log.
    """

    changes: tuple[ExpectedChange, ...]
    settled: tuple[Row, ...]
    reason: str = 'owner'

    @classmethod
    def on(
        cls,
        table: RangeTable,
        changes: Sequence[OwnershipChange],
        settled: Sequence[Row],
        reason: str = 'owner',
    ) -> 'ChangeRequest':
        """Return the request for changes of a table as it is known here."""
        expected = []
        for change in changes:
            rows = list(table.overlapping(change.span))
            epoch = max(row.epoch for row in rows)
            expected.append(ExpectedChange(change, rows[0].owner, epoch))
        return cls(tuple(expected), tuple(settled), reason)

    def to_fields(self) -> list[Any]:
        """Return the request as plain lists, for messages."""
        changes = [
            [
                one.change.span.first,
                one.change.span.last,
                one.change.owner,
                one.change.settled,
                one.owner,
                one.epoch,
            ]
            for one in self.changes
        ]
        return [self.reason, changes, rows_to_fields(self.settled)]

    @classmethod
    def from_fields(cls, fields: Any) -> 'ChangeRequest':
        """Decode the output of `to_fields`.

        Raises
        ------
        MalformedMessageError
            If the fields are not a request.
        """
        try:
            reason, changes, settled = fields
            expected = tuple(_expected_change(entry) for entry in changes)
        except (TypeError, ValueError) as exc:
            raise MalformedMessageError(f'change request: {exc}') from exc
        return cls(expected, tuple(rows_from_fields(settled)), str(reason))


class TableDraft:
    """Rows of a table with the changes of several requests applied.

    Parameters
    ----------
    table : RangeTable
        The table as stored.
    """

    def __init__(self, table: RangeTable) -> None:
        self.changed = 0
        self._rows = list(table.rows)

    def apply(self, request: ChangeRequest) -> bool:
        """Apply a request; return whether all its changes were applied."""
        for row in request.settled:
            self._settle(row)
        outcomes = [self._change(expected) for expected in request.changes]
        return all(outcomes)

    def rows(self) -> list[Row]:
        """Return the rows, with alike neighbours merged."""
        return merge_rows(self._rows)

    def _change(self, expected: ExpectedChange) -> bool:
        span = expected.change.span
        rows = self._rows[rows_within(self._rows, span)]
        known = {row.owner for row in rows} == {expected.owner}
        if not known or max(row.epoch for row in rows) != expected.epoch:
            return False
        self._rows = apply_change(self._rows, expected.change)
        self.changed += 1
        return True

    def _settle(self, row: Row) -> None:
        index = rows_within(self._rows, row.span).start
        if self._rows[index] == row:
            self._rows[index] = dataclasses.replace(row, previous=NO_PREVIOUS)
            self.changed += 1


def _expected_change(entry: Any) -> ExpectedChange:
    first, last, *outcome = entry
    taker, settled, owner, epoch = outcome
    span = Span(whole_number(first), whole_number(last))
    change = OwnershipChange(span, NodeId(str(taker)), settled=bool(settled))
    return ExpectedChange(
        change, NodeId(str(owner)), Epoch(whole_number(epoch))
    )
