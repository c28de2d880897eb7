"""Tables that change often, in a large fleet.

Load pattern: hundreds of rows and several changes a second, each of them
propagated to all nodes.
"""

import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version
from savoryhold.ranges import KEY_COUNT, RangeTable, Span
from savoryhold.ranges.table import OwnershipChange, Row, initial_rows

DESK = ServiceName('desk')
NODES = 200
KEYS = st.integers(min_value=0, max_value=KEY_COUNT - 1)
SPANS = st.tuples(KEYS, KEYS).map(lambda ends: Span(min(ends), max(ends)))
CHANGES = st.lists(
    st.builds(
        OwnershipChange,
        SPANS,
        st.integers(min_value=0, max_value=5).map(
            lambda number: NodeId(f'n{number}')
        ),
    ),
    max_size=4,
)


def table(count: int) -> RangeTable:
    """Return a table with one row of equal size for each node."""
    owners = [(NodeId(f'n{index}'), 1.0) for index in range(count)]
    return RangeTable(DESK, Version(1), initial_rows(owners))


class TestTableChanges(unittest.TestCase):
    """Tables rebuilt from an older copy and the rows that differ."""

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(st.lists(CHANGES, min_size=1, max_size=4))
    def test_differences_yield_the_later_table(
        self, steps: list[list[OwnershipChange]]
    ) -> None:
        """A copy updated by differences equals the version that was written."""
        written = table(6)
        copy = written
        for step in steps:
            later = RangeTable(
                DESK, Version(written.version + 1), written.with_changes(step)
            )
            copy = copy.with_rows(
                later.version, later.rows_changed_since(written)
            )
            written = later
            self.assertEqual(copy.rows, written.rows)

    # Each change used to recreate every row of the table, at every node.
    def test_unchanged_rows_are_reused(self) -> None:
        """Only the changed row and its neighbours are new objects."""
        known = table(NODES)
        span = Span(100, 200)
        later = known.with_rows(Version(2), [Row(span, NodeId('x'), Epoch(2))])
        same = {id(row) for row in known.rows}
        fresh = [row for row in later.rows if id(row) not in same]
        self.assertLessEqual(len(fresh), 3)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(-9, KEY_COUNT + 9), st.integers(-9, KEY_COUNT + 9)
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_malformed_rows_leave_no_gap(
        self, ends: list[tuple[int, int]]
    ) -> None:
        """Rows that do not cover all keys exactly once are rejected."""
        rows = [Row(Span(*pair), NodeId('x'), Epoch(2)) for pair in ends]
        try:
            later = table(6).with_rows(Version(2), rows)
        except MalformedMessageError:
            return
        self.assertEqual(sum(row.span.size for row in later.rows), KEY_COUNT)
        ordered = sorted(row.span for row in later.rows)
        for left, right in itertools.pairwise(ordered):
            self.assertEqual(left.last + 1, right.first)
