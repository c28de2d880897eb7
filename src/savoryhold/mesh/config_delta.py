"""Differences between two versions of plain JSON data.

A version of a configuration usually changes one route of many.  Nodes that have
an earlier version are sent only the difference from it.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from savoryhold.core.decoding import UNREADABLE
from savoryhold.core.errors import MalformedMessageError

__all__ = ['DeltaHistory', 'apply_delta', 'make_delta']

HISTORY = 64  # differences kept, enough for a storm of versions
# The first element of a difference.
REPLACE = 'v'  # [REPLACE, value]
OBJECT = 'o'  # [OBJECT, {key: difference}, [removed keys]]
ITEMS = 'i'  # [ITEMS, [[index, difference], ...]]
SPLICE = 's'  # [SPLICE, index, count removed, [inserted items]]


def make_delta(old: Any, new: Any) -> list[Any]:
    """Return the difference that turns one value into another.

    Notes
    -----
    Values that compare equal, such as 1 and 1.0, count as unchanged.
    """
    try:
        return _make(old, new)
    except RecursionError:
        return [REPLACE, new]


def apply_delta(old: Any, delta: Any) -> Any:
    """Return the new value; it shares its unchanged parts with the old one.

    Raises
    ------
    MalformedMessageError
        If the difference is not one from this value.
    """
    try:
        return _apply(old, delta)
    except UNREADABLE as exc:
        raise MalformedMessageError(f'difference: {exc!r}') from exc


class DeltaHistory:
    """The latest differences, each from the version before it."""

    def __init__(self) -> None:
        self._steps: deque[tuple[int, list[Any]]] = deque(maxlen=HISTORY)

    def add(self, base: int, delta: list[Any]) -> None:
        """Add the difference of the next version from version `base`."""
        self._steps.append((base, delta))

    def since(self, base: int) -> list[Any] | None:
        """Return the differences from a version on, None if it is unknown."""
        steps = list(self._steps)
        for index, (start, _) in enumerate(steps):
            if start == base:
                return [delta for _, delta in steps[index:]]
        return None


def _make(old: Any, new: Any) -> list[Any]:
    if isinstance(old, dict) and isinstance(new, dict):
        changed = {
            key: _make(old[key], field) if key in old else [REPLACE, field]
            for key, field in new.items()
            if key not in old or old[key] != field
        }
        return [OBJECT, changed, [key for key in old if key not in new]]
    if isinstance(old, list) and isinstance(new, list):
        return _make_list(old, new)
    return [REPLACE, new]


def _make_list(old: list[Any], new: list[Any]) -> list[Any]:
    if len(old) == len(new):
        return [
            ITEMS,
            [
                [index, _make(before, after)]
                for index, (before, after) in enumerate(
                    zip(old, new, strict=True)
                )
                if before != after
            ],
        ]
    shorter = min(len(old), len(new))
    first = 0
    while first < shorter and old[first] == new[first]:
        first += 1
    last = 0
    while last < shorter - first and old[-1 - last] == new[-1 - last]:
        last += 1
    inserted = new[first : len(new) - last]
    return [SPLICE, first, len(old) - last - first, inserted]


def _apply(old: Any, delta: Any) -> Any:
    kind, *fields = delta
    return _APPLY[kind](old, *fields)


def _replace(old: Any, field: Any) -> Any:
    return field


def _change_keys(old: Any, changed: Any, removed: Any) -> dict[str, Any]:
    kept = {key: old[key] for key in old if key not in removed}
    for key, delta in changed.items():
        kept[key] = _apply(old.get(key), delta)
    return kept


def _change_items(old: Any, changed: Any) -> list[Any]:
    items = list(old)
    for index, delta in changed:
        items[index] = _apply(items[index], delta)
    return items


def _splice(old: Any, first: Any, count: Any, inserted: Any) -> list[Any]:
    after = first + count
    if first < 0 or count < 0 or after > len(old):
        raise ValueError(f'items {first} to {after} do not exist')
    return [*old[:first], *inserted, *old[after:]]


_APPLY: dict[str, Callable[..., Any]] = {
    REPLACE: _replace,
    OBJECT: _change_keys,
    ITEMS: _change_items,
    SPLICE: _splice,
}
