"""Mutation tests: the simulation fails if a rule of ownership is disabled.

Each test disables one rule of the real code and runs the simulation until the
oracle reports a fault; without the change the same runs pass.
"""

import unittest
import unittest.mock
from typing import Any

from savoryhold.core.actions import Action, TakeSnapshot
from savoryhold.core.claims import stranded_grants
from savoryhold.core.ids import Epoch, NodeId, Version, node_object
from savoryhold.core.ownership import (
    HeartbeatReply,
    OwnershipMachine,
)
from savoryhold.core.standby import StandbyDuties
from savoryhold.core.tests.simulation import (
    DoubleOwnerError,
    LostShardError,
    Simulation,
    random_walk,
)

__all__ = ['TestDisabledRules', 'TestWalks']

STEPS = 300
FAULT_WEIGHT = 4
SEEDS = range(20, 80)
WARM_UP_ROUNDS = 20
MOVE_MS = 800
CLAIM_MS = 4500
REISSUE_MS = 1500
CLAIM_ALLOWED_AT = StandbyDuties.claim_allowed_at


def finds_fault() -> bool:
    """Return whether the oracle reports a fault in some walk."""
    for seed in SEEDS:
        try:
            random_walk(seed, STEPS, FAULT_WEIGHT)
        except (DoubleOwnerError, LostShardError):
            return True
    return False


def claim_after_promise(
    duties: StandbyDuties, holder: NodeId, observed_at: int
) -> int:
    """Count the wait from the last promise only."""
    return CLAIM_ALLOWED_AT(duties, holder, 0)


def always_promise(
    duties: StandbyDuties, holder: NodeId, version: Version
) -> bool:
    """Promise even after a claim was sent."""
    return True


def promise_with_expired_lease(
    machine: OwnershipMachine, holder: NodeId, version: Version, now: int
) -> HeartbeatReply:
    """Promise although this node's own lease has expired."""
    entry = machine.directory.entry(node_object(holder))
    if entry is not None and entry.version > version:
        return HeartbeatReply(promised=False, newer=entry)
    if machine.duties.may_promise(holder, version):
        machine.claimer.cancel(node_object(holder))
        machine.duties.record_promise(holder, now)
        return HeartbeatReply(promised=True)
    return HeartbeatReply(promised=False)


def reissue_without_snapshot(
    machine: OwnershipMachine, now: int
) -> list[Action]:
    """Reissue grants that updates show as stranded, without a snapshot."""
    holder = machine.holder
    confirmed = holder.lease.confirmed
    if confirmed is not None and holder.lease.pending is None:
        for key in stranded_grants(confirmed.record, machine.directory):
            epoch = Epoch(confirmed.record.outgoing[key].epoch + 1)
            holder._reclaiming[key] = epoch
            holder.mark_dirty(now)
    is_needed = machine.claimer.needs_snapshot()
    return [TakeSnapshot()] if is_needed else []


def never_reissue(machine: OwnershipMachine, now: int) -> list[Action]:
    """Leave stranded grants as they are."""
    return []


def reissue_missed_grant() -> None:
    """Let a node miss that its grant was listed and then claimed."""
    simulation = Simulation()
    simulation.run_without_faults(WARM_UP_ROUNDS)
    granter = simulation.nodes[0].machine
    receiver = simulation.nodes[2].machine.node
    key = next(iter(granter.holder.held))
    without_updates = frozenset({0})
    simulation.move(0, 2, key.shard)
    simulation.run(MOVE_MS, without_updates=without_updates)
    simulation.restart(2)
    simulation.run(CLAIM_MS, without_updates=without_updates)
    versions = [
        number
        for number, seen in enumerate(simulation.store.history)
        if seen.name == node_object(receiver)
    ]
    simulation.show_version(0, versions[-1], newest=False)
    simulation.run(REISSUE_MS, without_updates=without_updates)
    simulation.heal()
    simulation.check_served()


def patched(patched_class: type, name: str, replacement: Any) -> Any:
    """Return a context in which a method is replaced."""
    return unittest.mock.patch.object(patched_class, name, replacement)


class TestDisabledRules(unittest.TestCase):
    """Each rule of ownership is needed."""

    def test_wait_on_observed_version(self) -> None:
        """A claim must wait from when the current version was first seen."""
        with patched(StandbyDuties, 'claim_allowed_at', claim_after_promise):
            self.assertTrue(finds_fault())

    def test_no_promise_after_claim(self) -> None:
        """A claim that was sent may take effect late, so no promise follows."""
        with patched(StandbyDuties, 'may_promise', always_promise):
            self.assertTrue(finds_fault())

    def test_promise_under_own_lease(self) -> None:
        """A standby whose own lease has expired may have been claimed."""
        with patched(OwnershipMachine, 'heartbeat', promise_with_expired_lease):
            self.assertTrue(finds_fault())

    def test_reissue_needs_snapshot(self) -> None:
        """Updates out of order may hide that a grant was listed and claimed."""
        reissue_missed_grant()
        change = patched(
            OwnershipMachine, '_request_snapshot', reissue_without_snapshot
        )
        with change, self.assertRaises(DoubleOwnerError):
            reissue_missed_grant()

    def test_reissue_is_needed(self) -> None:
        """A grant is reissued if its receiver died before it listed it."""
        change = patched(OwnershipMachine, '_request_snapshot', never_reissue)
        with change, self.assertRaises(LostShardError):
            self._lose_receivers()
        self._lose_receivers()

    def _lose_receivers(self) -> None:
        for host in (1, 2, 3):
            simulation = Simulation()
            simulation.run_without_faults(WARM_UP_ROUNDS)
            key = next(iter(simulation.nodes[0].machine.holder.held))
            simulation.move(0, host, key.shard)
            simulation.run(MOVE_MS, without_updates=frozenset({host}))
            simulation.restart(host)
            simulation.heal()
            simulation.check_served()


class TestWalks(unittest.TestCase):
    """Random walks with the unchanged code."""

    def test_walks_hold(self) -> None:
        """The oracle reports no fault, and all shards are served at the end."""
        walks = [(seed, STEPS, FAULT_WEIGHT) for seed in range(30)]
        # Found two owners after a delayed write created a record again.
        walks.append((40007, 400, 3))
        for seed, steps, fault_weight in walks:
            with self.subTest(seed=seed):
                simulation = random_walk(seed, steps, fault_weight)
                simulation.heal()
                simulation.check_served()
