"""Work per key, weighted towards recent requests, to find hot spans."""

import math
from collections.abc import Iterable

from savoryhold.ranges.table import Span

__all__ = ['KeyHeat']

DECAY_MS = 2000.0  # long enough for several requests of a key, short for a peak
MIN_HEAT = 0.01  # slots; keys with less are dropped
EVEN_SHARE = 0.25  # part of the heat assumed to be uniform over all keys
MIN_CUT_SHARE = 0.75  # of the wanted work, for the sake of a narrower span
MAX_CUT_SHARE = 1.5  # of it, in one key; more would overload the next owner


class KeyHeat:
    """Work per key in slots, as an average with exponential decay."""

    def __init__(self) -> None:
        self._heat: dict[int, tuple[float, int]] = {}

    def add(self, key: int, work_ms: float, now: int) -> None:
        """Add the work of one request of a key."""
        heat, at = self._heat.get(key, (0.0, now))
        self._heat[key] = (heat * _decay(now - at) + work_ms / DECAY_MS, now)

    def total(self, now: int) -> float:
        """Return the work of all keys in slots."""
        return sum(heat for _, heat in self._current(now))

    def drop_cold_keys(self, now: int) -> None:
        """Drop keys whose heat has decayed below `MIN_HEAT`."""
        self._heat = {
            key: (heat, at)
            for key, (heat, at) in self._heat.items()
            if heat * _decay(now - at) > MIN_HEAT
        }

    def remove(self, span: Span) -> None:
        """Drop the heat of keys that are handed over."""
        self._heat = {
            key: entry
            for key, entry in self._heat.items()
            if not span.first <= key <= span.last
        }

    def cut_by_work(
        self, spans: Iterable[Span], share: float, now: int
    ) -> Span | None:
        """Return a span with a share of the work, but no key that has more.

        Notes
        -----
        A single key cannot be split.  One that has more than the wanted work
        stays, and other keys are handed over instead: it would overload each
        target that it moves to.
        """
        ordered = sorted(spans)
        heat_by_span = self._heat_by_span(ordered, now)
        found = [entry for each in heat_by_span.values() for entry in each]
        total = sum(heat for _, heat in found)
        limit = share * total * MAX_CUT_SHARE
        hot = {key: heat for key, heat in found if heat > limit}
        if not hot:
            return self.cut(ordered, share, now)
        parts = [part for span in ordered for part in _without(span, list(hot))]
        left = total - sum(hot.values())
        if not parts or left <= 0:
            return None
        return self.cut(parts, min(1.0, share * total / left), now)

    def cut(self, spans: Iterable[Span], share: float, now: int) -> Span | None:
        """Return the narrowest span that carries a share of the work.

        At least `MIN_CUT_SHARE` of that share is enough.  If no part of the
        spans has it, the largest of the spans is returned.

        Parameters
        ----------
        spans : iterable of Span
            Spans to search; the result lies wholly in one of them.
        share : float
            Wanted part of the work of all spans, from 0 to 1.
        now : int
            Time in ms.
        """
        ordered = sorted(spans)
        size = sum(span.size for span in ordered)
        if not size or share <= 0:
            return None
        heat_by_span = self._heat_by_span(ordered, now)
        total = sum(
            heat for found in heat_by_span.values() for _, heat in found
        )
        background = (total * EVEN_SHARE + MIN_HEAT) / size
        wanted = share * (total + background * size)
        candidates = [
            cut
            for span, found in heat_by_span.items()
            for cut in _narrowest(span, found, background, wanted)
        ]
        if not candidates:
            return max(ordered, key=lambda span: span.size)
        return min(candidates, key=lambda cut: cut.size)

    def _heat_by_span(
        self, spans: list[Span], now: int
    ) -> dict[Span, list[tuple[int, float]]]:
        current = self._current(now)
        return {
            span: [
                (key, heat)
                for key, heat in current
                if span.first <= key <= span.last
            ]
            for span in spans
        }

    def _current(self, now: int) -> list[tuple[int, float]]:
        return sorted(
            (key, heat * _decay(now - at))
            for key, (heat, at) in self._heat.items()
        )


def _without(span: Span, keys: list[int]) -> list[Span]:
    """Return the parts of a span between keys in ascending order."""
    parts = []
    first = span.first
    for key in keys:
        if not span.first <= key <= span.last:
            continue
        if key > first:
            parts.append(Span(first, key - 1))
        first = key + 1
    if first <= span.last:
        parts.append(Span(first, span.last))
    return parts


def _decay(age_ms: int) -> float:
    return math.exp(-age_ms / DECAY_MS)


def _narrowest(
    span: Span, found: list[tuple[int, float]], background: float, wanted: float
) -> list[Span]:
    """Return the narrowest parts of a span with enough work, if any.

    Parameters
    ----------
    span : Span
        Span to search.
    found : list of (int, float)
        Its keys with their heat, in key order.
    background : float
        Heat of each key that is assumed to be uniform.
    wanted : float
        Work to look for, in slots.
    """
    candidates = []
    if background * span.size >= wanted * MIN_CUT_SHARE:
        size = min(span.size, max(1, round(wanted / background)))
        candidates.append(Span(span.first, span.first + size - 1))
    required = wanted * MIN_CUT_SHARE
    left = 0
    heat = 0.0
    for right, (key, key_heat) in enumerate(found):
        heat += key_heat
        while left < right:
            rest = heat - found[left][1]
            if rest + background * (key - found[left + 1][0] + 1) < required:
                break
            heat = rest
            left += 1
        if heat + background * (key - found[left][0] + 1) >= required:
            candidates.append(Span(found[left][0], key))
    return candidates
