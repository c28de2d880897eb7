"""Requests of several nodes that are applied to one version of a table."""

import unittest

import hypothesis
from hypothesis import strategies as st

from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import NodeId, ServiceName, Version
from savoryhold.ranges import (
    KEY_COUNT,
    ChangeRequest,
    OwnershipChange,
    RangeTable,
    Span,
    TableDraft,
    initial_rows,
)

DESK = ServiceName('desk')
OWNERS = [NodeId(name) for name in 'abcd']
KEYS = st.integers(min_value=0, max_value=KEY_COUNT - 1)


def first_table() -> RangeTable:
    """Return a table with four owners."""
    rows = initial_rows([(owner, 1.0) for owner in OWNERS])
    return RangeTable(DESK, Version(1), rows)


@st.composite
def changes(draw: st.DrawFn) -> OwnershipChange:
    """Draw a change of a part of one owner's keys."""
    row = first_table().rows[draw(st.integers(0, len(OWNERS) - 1))]
    ends = sorted(
        draw(st.integers(row.span.first, row.span.last)) for _ in range(2)
    )
    return OwnershipChange(
        Span(ends[0], ends[1]),
        draw(st.sampled_from(OWNERS)),
        settled=draw(st.booleans()),
    )


class TestDraft(unittest.TestCase):
    """Which changes are applied, and what they result in."""

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(st.lists(changes(), max_size=6))
    def test_applied_changes_equal_those_of_the_table(
        self, wanted: list[OwnershipChange]
    ) -> None:
        """A request is applied whole, or finds its rows changed."""
        table = first_table()
        draft = TableDraft(table)
        applied = [
            change
            for change in wanted
            if draft.apply(ChangeRequest.on(table, [change], ()))
        ]
        self.assertEqual(draft.rows(), table.with_changes(applied))
        taken: list[Span] = []
        for change in applied:
            self.assertFalse(any(span.overlaps(change.span) for span in taken))
            taken.append(change.span)

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(st.lists(changes(), max_size=3))
    def test_request_survives_a_message(
        self, wanted: list[OwnershipChange]
    ) -> None:
        """Decoding returns what was encoded."""
        table = first_table()
        request = ChangeRequest.on(table, wanted, table.rows[:2], 'test')
        decoded = ChangeRequest.from_fields(request.to_fields())
        self.assertEqual(decoded, request)

    def test_odd_request_is_refused(self) -> None:
        """No other error leaves the decoder."""
        for odd in (7, [], ['x', [7], []], ['x', [[1, 2, 'a']], []]):
            with self.subTest(odd=odd):
                with self.assertRaises(MalformedMessageError):
                    ChangeRequest.from_fields(odd)

    def test_settled_row_is_marked_if_unchanged(self) -> None:
        """A row that has changed since keeps its previous owner."""
        table = first_table()
        change = OwnershipChange(Span(0, 10), OWNERS[1], settled=True)
        moved = RangeTable(DESK, Version(2), table.with_changes([change]))
        draft = TableDraft(moved)
        settled = moved.row_at(5)
        self.assertTrue(draft.apply(ChangeRequest((), (settled,))))
        self.assertTrue(draft.rows()[0].settled)
        other = TableDraft(moved)
        other.apply(ChangeRequest((), (table.rows[0],)))
        self.assertEqual(other.changed, 0)
