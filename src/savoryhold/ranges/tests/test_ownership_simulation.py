"""Fuzz tests of grants against an oracle, and mutants that break a rule."""

import unittest

from savoryhold.core.ids import Epoch, NodeId
from savoryhold.ranges import (
    GrantMachine,
    GrantReply,
    ReleaseConfirmation,
    Report,
    Span,
)
from savoryhold.ranges.tests.ownership_simulation import (
    OracleError,
    OwnershipSimulation,
)

SEEDS = range(40)
MUTANT_SEEDS = range(200)
RUN_MS = 30_000


class SkipsLeaseWait(GrantMachine):
    """Grants a claimed row without waiting for the lease."""

    def _expire_waits(self, now: int) -> None:
        super()._expire_waits(now + 100_000)


class IgnoresProofAge(GrantMachine):
    """Extends grants from an outdated copy of the table."""

    def hold_ms(self, now: int) -> int:
        """Return a full hold whatever the age of the proof."""
        return 3000


class ConfirmsTooEarly(GrantMachine):
    """Confirms a release while its target may still hold the span."""

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Confirm as soon as another node owns the row."""
        if self.table is None:
            return None
        if any(row.owner == self.node for row in self.table.overlapping(span)):
            return None
        return ReleaseConfirmation(span, epoch)


class IgnoresEarlierProcess(GrantMachine):
    """Ignores that an earlier process of the node made grants."""

    def on_report(
        self, report: Report, now: int, *, former_ended: bool = False
    ) -> GrantReply | None:
        """Grant inherited rows as if no earlier process had done so."""
        self._inherited.clear()
        for row in self._first_seen:
            if row.settled:
                self._mark_grantable(row.span, row.epoch)
        return super().on_report(report, now, former_ended=former_ended)


class HandsOverTooEarly(GrantMachine):
    """Hands a span over before the target has dropped it."""

    def completed_handovers(self, now: int) -> dict[Span, NodeId]:
        """Return all spans in handover."""
        return dict(self.handovers)

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Confirm unconditionally."""
        return ReleaseConfirmation(span, epoch)


def first_failing_seed(mutant: type[GrantMachine]) -> int:
    """Return the first seed with which the oracle rejects a mutant, or -1."""
    for seed in MUTANT_SEEDS:
        simulation = OwnershipSimulation(seed, mutant)
        try:
            simulation.run(RUN_MS)
        except OracleError:
            return seed
    return -1


class TestOwnershipSimulation(unittest.TestCase):
    """No key has two holders under any of the faults."""

    def test_one_holder_through_all_faults(self) -> None:
        """No invariant is violated, and all keys are held at the end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = OwnershipSimulation(seed)
                simulation.run(RUN_MS)
                simulation.heal()

    # A process that started with an old copy of the table, or with a late
    # report of a former target, granted with a fence that was in use.
    def test_one_holder_after_starts_with_old_news(self) -> None:
        """The same where processes start with what is no longer true."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = OwnershipSimulation(seed, stale_starts=True)
                simulation.run(RUN_MS)
                simulation.heal()

    def test_each_rule_is_needed(self) -> None:
        """The oracle rejects each mutant, so that each rule is necessary."""
        for mutant in (
            SkipsLeaseWait,
            IgnoresProofAge,
            ConfirmsTooEarly,
            IgnoresEarlierProcess,
            HandsOverTooEarly,
        ):
            with self.subTest(mutant=mutant.__name__):
                self.assertGreaterEqual(first_failing_seed(mutant), 0)
