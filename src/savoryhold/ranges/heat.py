"""How much work each key brings, with recent work counting most."""

import math
from collections.abc import Iterable

from savoryhold.ranges.table import Span

__all__ = ['KeyHeat']

DECAY_MS = 2000.0  # long enough to count a key's visits, short for a rush
FORGET = 0.01  # slots; a colder key is dropped from the count
SPREAD = 0.25  # part of the heat taken as spread evenly over all keys
ENOUGH = 0.75  # of the wanted work; a narrower span may carry this much


class KeyHeat:
    """Work by key in slots, averaged with an exponential decay."""

    def __init__(self) -> None:
        self._heat: dict[int, tuple[float, int]] = {}

    def add(self, key: int, work_ms: float, now: int) -> None:
        """Count work that a request of a key brings."""
        heat, at = self._heat.get(key, (0.0, now))
        self._heat[key] = (heat * _decay(now - at) + work_ms / DECAY_MS, now)

    def total(self, now: int) -> float:
        """Return all work in slots."""
        return sum(heat for _, heat in self._current(now))

    def drop_cold_keys(self, now: int) -> None:
        """Forget keys that have grown cold."""
        self._heat = {
            key: (heat, at)
            for key, (heat, at) in self._heat.items()
            if heat * _decay(now - at) > FORGET
        }

    def cut(self, spans: Iterable[Span], share: float, now: int) -> Span | None:
        """Return the narrowest span that carries a share of the work.

        Parameters
        ----------
        spans : iterable of Span
            Where the result may lie: wholly in one of them.
        share : float
            Part of the work of all spans, from 0 to 1.
        now : int
            Time in ms.
        """
        ordered = sorted(spans)
        size = sum(span.size for span in ordered)
        if not size or share <= 0:
            return None
        inside = self._inside(ordered, now)
        total = sum(heat for found in inside.values() for _, heat in found)
        base = (total * SPREAD + FORGET) / size
        wanted = share * (total + base * size)
        cuts = [
            cut
            for span, found in inside.items()
            for cut in _narrowest(span, found, base, wanted)
        ]
        if not cuts:
            return max(ordered, key=lambda span: span.size)
        return min(cuts, key=lambda cut: cut.size)

    def _inside(
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


def _decay(age_ms: int) -> float:
    return math.exp(-age_ms / DECAY_MS)


def _narrowest(
    span: Span, found: list[tuple[int, float]], base: float, wanted: float
) -> list[Span]:
    """Return the narrowest parts of a span with enough work, if any."""
    cuts = []
    if base * span.size >= wanted * ENOUGH:
        size = min(span.size, max(1, round(wanted / base)))
        cuts.append(Span(span.first, span.first + size - 1))
    enough = wanted * ENOUGH
    left = 0
    heat = 0.0
    for right, (key, added) in enumerate(found):
        heat += added
        while left < right:
            rest = heat - found[left][1]
            if rest + base * (key - found[left + 1][0] + 1) < enough:
                break
            heat = rest
            left += 1
        if heat + base * (key - found[left][0] + 1) >= enough:
            cuts.append(Span(found[left][0], key))
    return cuts
