"""Fuzzing of grants against an oracle, and rules that are taken out."""

import unittest

from savoryhold.core.ids import Epoch, NodeId
from savoryhold.ranges import (
    ReleaseConfirmation,
    GrantMachine,
    GrantReply,
    Report,
    Span,
)
from savoryhold.ranges.tests.world import OracleError, World

SEEDS = range(40)
MUTANT_SEEDS = range(150)
RUN_MS = 30_000


class NoWait(GrantMachine):
    """Grants a claimed row at once."""

    def _settle(self, now: int) -> None:
        super()._settle(now + 100_000)


class NoProof(GrantMachine):
    """Extends grants on an old copy of the table."""

    def hold_ms(self, now: int) -> int:
        """Return a full hold, whatever is proved."""
        return 3000


class HastyWord(GrantMachine):
    """Gives its word while its target may still hold the span."""

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Return a word as soon as the row is another's."""
        if self.table is None:
            return None
        if any(row.owner == self.node for row in self.table.overlapping(span)):
            return None
        return ReleaseConfirmation(span, epoch)


class ForgetfulStart(GrantMachine):
    """Takes its own start for the start of everything."""

    def on_report(self, report: Report, now: int) -> GrantReply | None:
        """Clear inherited rows as if no earlier life had granted them."""
        self._inherited.clear()
        for row in self._seen_at:
            if row.settled:
                self._clear(row.span, row.epoch)
        return super().on_report(report, now)


class HastyGift(GrantMachine):
    """Lists a span for its next owner before the target has dropped it."""

    def given(self, now: int) -> dict[Span, NodeId]:
        """Return all leaving spans."""
        return dict(self.leaving)

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Return a word at once."""
        return ReleaseConfirmation(span, epoch)


def found_by(mutant: type[GrantMachine]) -> int:
    """Return the first seed whose world objects to a mutant, or -1."""
    for seed in MUTANT_SEEDS:
        world = World(seed, mutant)
        try:
            world.run(RUN_MS)
        except OracleError:
            return seed
    return -1


class TestOwnershipWorld(unittest.TestCase):
    """No key has two holders, whatever happens."""

    def test_one_holder_through_all_faults(self) -> None:
        """The oracle objects to nothing, and all keys are held at the end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed)
                world.run(RUN_MS)
                world.heal()

    def test_each_rule_is_needed(self) -> None:
        """The oracle finds each rule that is taken out."""
        for mutant in (
            NoWait,
            NoProof,
            HastyWord,
            ForgetfulStart,
            HastyGift,
        ):
            with self.subTest(mutant=mutant.__name__):
                self.assertGreaterEqual(found_by(mutant), 0)
