"""Hot spans and hot keys that move by work.

Load pattern: 62 targets of 3 slots; 60 or 200 adjacent keys of 65,536 get 30%
of the work for some seconds, or one key gets a third.  Handovers that moved a
span to four targets at a time took longer than the peak, and a single hot key
was handed on from target to target.
"""

import random
import unittest
from collections.abc import Sequence

from savoryhold.core.ids import NodeId
from savoryhold.ranges import (
    KEY_COUNT,
    KeyHeat,
    Span,
    TargetLoad,
    plan_handovers,
)

TARGETS = 62
SLOTS = 3
LOAD = 0.75  # of the capacity
PER_S = 650
STEP_MS = 10
PLAN_MS = 300
PAUSE_MS = 1500  # between orders of one node
HOT_FROM_MS = 2000
MEASURED_MS = 1000  # at the end
SEED = 20_261_206


class _Fleet:
    """Owners of keys, which plan and hand over as nodes do."""

    def __init__(self, hot: Span, share: float, *, by_work: bool) -> None:
        self.moved: list[Span] = []
        self._hot = hot
        self._share = share
        self._by_work = by_work
        self._rng = random.Random(SEED)
        self._owners = [key * TARGETS // KEY_COUNT for key in range(KEY_COUNT)]
        self._heats = [KeyHeat() for _ in range(TARGETS)]
        self._ordered_at: dict[NodeId, int] = {}

    def imbalance(self, until_ms: int) -> float:
        """Run until a time; return the busiest over the mean work."""
        done = [0.0 for _ in range(TARGETS)]
        for now in range(0, until_ms, STEP_MS):
            for _ in range(round(PER_S * STEP_MS / 1000)):
                owner, work_ms = self._run(now)
                if now >= until_ms - MEASURED_MS:
                    done[owner] += work_ms
            if now % PLAN_MS == 0 and now > HOT_FROM_MS:
                self._plan(now)
        return max(done) * TARGETS / sum(done)

    def _run(self, now: int) -> tuple[int, float]:
        is_hot = now > HOT_FROM_MS and self._rng.random() < self._share
        key = (
            self._rng.randint(self._hot.first, self._hot.last)
            if is_hot
            else self._rng.randrange(KEY_COUNT)
        )
        mean_ms = TARGETS * SLOTS * LOAD * 1000 / PER_S
        work_ms = self._rng.lognormvariate(-0.32, 0.8) * mean_ms
        owner = self._owners[key]
        self._heats[owner].add(key, work_ms, now)
        return owner, work_ms

    def _plan(self, now: int) -> None:
        loads = [
            TargetLoad(NodeId(str(number)), heat.total(now), SLOTS, 1000)
            for number, heat in enumerate(self._heats)
        ]
        for order in plan_handovers(loads, by_work=self._by_work):
            pair = (order.giver, order.taker)
            last = max(self._ordered_at.get(node, 0) for node in pair)
            if last == now or now - last >= PAUSE_MS:
                self._ordered_at.update(dict.fromkeys(pair, now))
                self._hand_over(int(order.giver), int(order.taker), order.share)

    def _hand_over(self, giver: int, taker: int, share: float) -> None:
        # The time in between is an optimistic zero for both rules.
        now = self._ordered_at[NodeId(str(giver))]
        heat = self._heats[giver]
        spans = _spans_of(self._owners, giver)
        if self._by_work:
            cut = heat.cut_by_work(spans, share, now)
        else:
            cut = heat.cut(spans, share, now)
        if cut is None:
            return
        self.moved.append(cut)
        for key in range(cut.first, cut.last + 1):
            self._owners[key] = taker
        if self._by_work:
            heat.remove(cut)


def _spans_of(owners: Sequence[int], owner: int) -> list[Span]:
    spans = []
    first = None
    for key, found in enumerate([*owners, -1]):
        if found == owner and first is None:
            first = key
        elif found != owner and first is not None:
            spans.append(Span(first, key - 1))
            first = None
    return spans


class TestHotWork(unittest.TestCase):
    """Balance within the length of a peak, and the number of handovers."""

    def test_hot_span_is_spread_within_a_peak(self) -> None:
        """Five seconds after its start, a hot span is spread over targets."""
        for size in (60, 200):
            hot = Span(30_000, 30_000 + size - 1)
            old = _Fleet(hot, 0.3, by_work=False)
            new = _Fleet(hot, 0.3, by_work=True)
            imbalance = new.imbalance(HOT_FROM_MS + 5500)
            with self.subTest(size=size):
                self.assertLess(
                    imbalance, old.imbalance(HOT_FROM_MS + 5500) * 0.6
                )
                self.assertLess(len(new.moved), 3 * TARGETS)

    def test_single_hot_key_is_not_handed_on(self) -> None:
        """A key with a third of the work stays; other keys leave it."""
        key = Span(30_000, 30_000)
        old = _Fleet(key, 0.33, by_work=False)
        new = _Fleet(key, 0.33, by_work=True)
        for fleet in (old, new):
            fleet.imbalance(HOT_FROM_MS + 6000)
        handed_on = [
            sum(span.contains(key) for span in fleet.moved)
            for fleet in (old, new)
        ]
        self.assertGreater(handed_on[0], 2)
        self.assertEqual(handed_on[1], 0)
        self.assertLess(len(new.moved), len(old.moved))

    def test_even_load_moves_little(self) -> None:
        """Without a hot span, no more keys move than before."""
        nowhere = Span(0, KEY_COUNT - 1)
        old = _Fleet(nowhere, 0.0, by_work=False)
        new = _Fleet(nowhere, 0.0, by_work=True)
        old.imbalance(6000)
        new.imbalance(6000)
        self.assertLessEqual(len(new.moved), len(old.moved) * 1.2)

    def test_pace_moves_units_of_work(self) -> None:
        """A slow target gives less to equal slots than its demand says."""
        loads = [
            TargetLoad(NodeId('slow'), 6.0, 3, 100, 2.0),
            TargetLoad(NodeId('fast'), 1.0, 3, 100, 0.5),
        ]
        order = plan_handovers(loads)[0]
        # Of 5 units of work for a capacity of 7.5, the slow target keeps 1.
        self.assertAlmostEqual(order.share * 3.0, 2.0)

    def test_any_share_of_any_heat(self) -> None:
        """For random heat, the cut lies in one of the spans, if any."""
        rng = random.Random(SEED)
        spans = [Span(0, 9), Span(20, 20), Span(30, 50)]
        for _ in range(300):
            heat = KeyHeat()
            for _ in range(rng.randint(0, 30)):
                heat.add(rng.randint(0, 50), rng.random() * 100, 0)
            cut = heat.cut_by_work(spans, rng.random() ** 4, 0)
            self.assertTrue(
                cut is None or any(span.contains(cut) for span in spans)
            )
