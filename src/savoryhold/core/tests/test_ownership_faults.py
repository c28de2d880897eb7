"""The fuzzing finds each of four rules when it is taken out.

Each test removes one rule from the real code and walks until the oracle
objects; the same walks without the change do not.
"""

import unittest
import unittest.mock
from typing import Any

from savoryhold.core.actions import Action, TakeSnapshot
from savoryhold.core.claims import stranded
from savoryhold.core.ids import Epoch, NodeId, Version, node_object
from savoryhold.core.ownership import OwnershipMachine, PromiseAnswer
from savoryhold.core.standby import StandbyDuties
from savoryhold.core.tests.world import (
    DoubleOwnerError,
    LostShardError,
    World,
    walk,
)

__all__ = ['TestRulesTakenOut', 'TestWalks']

STEPS = 300
AIM = 4
SEEDS = range(20, 80)
WARM_ROUNDS = 20
MOVE_MS = 800
CLAIM_MS = 4500
REISSUE_MS = 1500
CLAIM_DUE = StandbyDuties.claim_due


def finds_fault() -> bool:
    """Return whether some walk makes the oracle object."""
    for seed in SEEDS:
        try:
            walk(seed, STEPS, AIM)
        except (DoubleOwnerError, LostShardError):
            return True
    return False


def claim_after_promise(
    duties: StandbyDuties, holder: NodeId, observed_at: int
) -> int:
    """Wait after the last promise only."""
    return CLAIM_DUE(duties, holder, 0)


def always_promise(
    duties: StandbyDuties, holder: NodeId, version: Version
) -> bool:
    """Promise even after a claim was sent."""
    return True


def promise_when_lapsed(
    machine: OwnershipMachine, holder: NodeId, version: Version, now: int
) -> PromiseAnswer:
    """Promise without a valid lease of one's own."""
    entry = machine.directory.entry(node_object(holder))
    if entry is not None and entry.version > version:
        return PromiseAnswer(promised=False, newer=entry)
    if machine.duties.may_promise(holder, version):
        machine.claimer.cancel(node_object(holder))
        machine.duties.promise(holder, now)
        return PromiseAnswer(promised=True)
    return PromiseAnswer(promised=False)


def reissue_by_hearsay(machine: OwnershipMachine, now: int) -> list[Action]:
    """Issue a grant again on what news says, without a snapshot."""
    holder = machine.holder
    confirmed = holder.lease.confirmed
    if confirmed is not None and holder.lease.pending is None:
        for key in stranded(confirmed.record, machine.directory):
            epoch = Epoch(confirmed.record.outgoing[key].epoch + 1)
            holder._taking_back[key] = epoch
            holder.mark_dirty(now)
    wants = machine.claimer.wants_snapshot()
    return [TakeSnapshot()] if wants else []


def never_reissue(machine: OwnershipMachine, now: int) -> list[Action]:
    """Leave grants that nobody took."""
    return []


def taken_twice() -> None:
    """Let a giver miss that its grant was listed, lost and given on."""
    world = World()
    world.settle(WARM_ROUNDS)
    giver = world.nodes[0].machine
    taker = world.nodes[2].machine.node
    key = next(iter(giver.holder.held))
    deaf = frozenset({0})
    world.move(0, 2, key.shard)
    world.run(MOVE_MS, deaf=deaf)
    world.restart(2)
    world.run(CLAIM_MS, deaf=deaf)
    versions = [
        number
        for number, seen in enumerate(world.store.history)
        if seen.name == node_object(taker)
    ]
    world.news(0, versions[-1], newest=False)
    world.run(REISSUE_MS, deaf=deaf)
    world.heal()
    world.check_served()


def patched(owner: type, name: str, change: Any) -> Any:
    """Return a context in which a method is replaced."""
    return unittest.mock.patch.object(owner, name, change)


class TestRulesTakenOut(unittest.TestCase):
    """Each rule is needed."""

    def test_wait_on_observed_version(self) -> None:
        """A claim must wait after it first saw the present version."""
        with patched(StandbyDuties, 'claim_due', claim_after_promise):
            self.assertTrue(finds_fault())

    def test_no_promise_after_claim(self) -> None:
        """A sent claim may land late, so it forbids promises."""
        with patched(StandbyDuties, 'may_promise', always_promise):
            self.assertTrue(finds_fault())

    def test_promise_under_own_lease(self) -> None:
        """A standby whose own lease lapsed may have been claimed."""
        with patched(OwnershipMachine, 'heartbeat', promise_when_lapsed):
            self.assertTrue(finds_fault())

    def test_reissue_needs_snapshot(self) -> None:
        """News out of order hides that a grant was listed and given on."""
        taken_twice()
        change = patched(OwnershipMachine, '_ask_snapshot', reissue_by_hearsay)
        with change, self.assertRaises(DoubleOwnerError):
            taken_twice()

    def test_reissue_is_needed(self) -> None:
        """A grant whose receiver died unlisted is issued again."""
        change = patched(OwnershipMachine, '_ask_snapshot', never_reissue)
        with change, self.assertRaises(LostShardError):
            self._lose_receivers()
        self._lose_receivers()

    def _lose_receivers(self) -> None:
        for place in (1, 2, 3):
            world = World()
            world.settle(WARM_ROUNDS)
            key = next(iter(world.nodes[0].machine.holder.held))
            world.move(0, place, key.shard)
            world.run(MOVE_MS, deaf=frozenset({place}))
            world.restart(place)
            world.heal()
            world.check_served()


class TestWalks(unittest.TestCase):
    """Walks of the unchanged code."""

    def test_walks_hold(self) -> None:
        """No walk makes the oracle object, and all end served."""
        walks = [(seed, STEPS, AIM) for seed in range(30)]
        # Found two owners when a late creation brought a record back.
        walks.append((40007, 400, 3))
        for seed, steps, aim in walks:
            with self.subTest(seed=seed):
                world = walk(seed, steps, aim)
                world.heal()
                world.check_served()
