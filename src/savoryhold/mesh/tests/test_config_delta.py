"""Differences between versions of a configuration."""

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from savoryhold.core.errors import MalformedMessageError
from savoryhold.mesh.config_delta import (
    DeltaHistory,
    apply_delta,
    make_delta,
)

DEEP = 900
JSON_DATA = st.recursive(
    st.none() | st.text(max_size=3) | st.integers(0, 5),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=2), inner, max_size=4)
    ),
    max_leaves=20,
)


class TestDelta(unittest.TestCase):
    """Differences, and what they are applied to."""

    @given(JSON_DATA, JSON_DATA)
    def test_difference_turns_the_old_value_into_the_new(
        self, old: Any, new: Any
    ) -> None:
        """The difference survives JSON, and neither value is changed."""
        before = json.dumps([old, new])
        delta = json.loads(json.dumps(make_delta(old, new)))
        self.assertEqual(apply_delta(old, delta), new)
        self.assertEqual(json.dumps([old, new]), before)

    @given(JSON_DATA, JSON_DATA)
    def test_any_difference_is_applied_or_refused(
        self, old: Any, delta: Any
    ) -> None:
        """What is not a difference raises no other error."""
        try:
            apply_delta(old, delta)
        except MalformedMessageError:
            return

    def test_added_route_costs_what_it_adds(self) -> None:
        """The difference does not grow with the number of routes."""
        paths = [{'path_prefix': f'/{number}/'} for number in range(1000)]
        old = {'virtual_hosts': [{'host': 'h', 'paths': paths}], 'version': 1}
        added = [*paths[:500], {'path_prefix': '/new/'}, *paths[500:]]
        new = {'virtual_hosts': [{'host': 'h', 'paths': added}], 'version': 2}
        self.assertLess(len(json.dumps(make_delta(old, new))), 200)

    def test_deep_values_are_replaced_or_refused(self) -> None:
        """Nesting beyond the interpreter's limit raises no RecursionError."""
        old: Any = 0
        new: Any = 1
        for _ in range(DEEP):
            old, new = {'a': old}, {'a': new}
        try:
            self.assertEqual(apply_delta(old, make_delta(old, new)), new)
        except MalformedMessageError:
            return

    def test_differences_since_a_version(self) -> None:
        """Only versions that were in force here have differences."""
        history = DeltaHistory()
        history.add(1, ['v', 4])
        history.add(4, ['v', 9])
        self.assertEqual(history.since(1), [['v', 4], ['v', 9]])
        self.assertEqual(history.since(4), [['v', 9]])
        self.assertIsNone(history.since(2))
        self.assertIsNone(history.since(9))
