"""Stateful fuzzing of the ownership machine against a simple oracle.

The oracle: at any time at most one node would send requests of a shard; the
highest epoch of a shard never decreases; after all faults have ended, each
shard is served again.
"""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from savoryhold.core.tests.simulation import HOSTS, Simulation

__all__ = ['OwnershipFuzz', 'TestOwnership']

WARM_UP_ROUNDS = 20
hosts = st.integers(0, HOSTS - 1)
numbers = st.integers(0, 63)
faults = st.sampled_from((0, 0, 0, 0, 6, 7, 8, 9))
steps_ms = st.sampled_from((10, 50, 100, 250, 600))


class OwnershipFuzz(RuleBasedStateMachine):
    """Drives some nodes through faults of all kinds and combinations."""

    def __init__(self) -> None:
        """Start the simulation without faults."""
        super().__init__()
        self.simulation = Simulation()
        self.simulation.run_without_faults(WARM_UP_ROUNDS)

    @rule(host=hosts, delta_ms=steps_ms)
    def tick(self, host: int, delta_ms: int) -> None:
        """Let time pass, and send a clock tick to one node."""
        self.simulation.advance(delta_ms)
        self.simulation.tick(host)

    @rule(delta_ms=steps_ms)
    def tick_all(self, delta_ms: int) -> None:
        """Let time pass, and send a clock tick to all nodes."""
        self.simulation.advance(delta_ms)
        for host in range(HOSTS):
            self.simulation.tick(host)

    @precondition(lambda fuzz: fuzz.simulation.jobs)
    @rule(number=numbers, fault=faults)
    def perform(self, number: int, fault: int) -> None:
        """Perform, lose, delay or refuse an action that a node requested."""
        self.simulation.perform(number, fault)

    @precondition(lambda fuzz: fuzz.simulation.replies)
    @rule(number=numbers)
    def deliver(self, number: int) -> None:
        """Deliver a reply, in any order."""
        self.simulation.deliver(number)

    @precondition(lambda fuzz: fuzz.simulation.delayed_writes)
    @rule(number=numbers)
    def apply_delayed_write(self, number: int) -> None:
        """Let a delayed write reach the store."""
        self.simulation.apply_delayed_write(number)

    @rule(host=hosts, number=numbers, newest=st.booleans())
    def show_version(self, host: int, number: int, newest: bool) -> None:
        """Show a node a new or old version of an object."""
        self.simulation.show_version(host, number, newest=newest)

    @rule(host=hosts)
    def pause(self, host: int) -> None:
        """Pause a node or let it continue."""
        self.simulation.pause(host)

    @rule(host=hosts)
    def restart(self, host: int) -> None:
        """Replace a node's process."""
        self.simulation.restart(host)

    @rule(one=hosts, two=hosts)
    def toggle_link(self, one: int, two: int) -> None:
        """Break or restore a link."""
        self.simulation.toggle_link(one, two)

    @rule()
    def toggle_region_links(self) -> None:
        """Break or restore all links between two halves of the nodes."""
        for one in (0, 1):
            for two in (2, 3):
                self.simulation.toggle_link(one, two)

    @rule()
    def toggle_store(self) -> None:
        """Stop the store or start it again."""
        self.simulation.toggle_store()

    @rule(host=hosts, to=hosts, shard=numbers)
    def move(self, host: int, to: int, shard: int) -> None:
        """Request a planned move."""
        self.simulation.move(host, to, shard)

    @rule(host=hosts)
    def leave(self, host: int) -> None:
        """Request that a node leaves."""
        self.simulation.leave(host)

    @rule(host=hosts)
    def isolate_until_claimable(self, host: int) -> None:
        """Lose a holder's heartbeats and writes, and delay its claim."""
        self.simulation.isolate_until_claimable(host)

    @rule(one=hosts, two=hosts)
    def isolate_pair(self, one: int, two: int) -> None:
        """Isolate two nodes from all but each other."""
        self.simulation.isolate_pair(one, two)

    @rule(host=hosts)
    def withhold_updates(self, host: int) -> None:
        """Withhold record updates from a node."""
        self.simulation.withhold_updates(host)

    @rule(host=hosts)
    def exchange_heartbeats(self, host: int) -> None:
        """Deliver a holder's heartbeats and the replies to them."""
        self.simulation.exchange_heartbeats(host)

    @invariant()
    def at_most_one_owner(self) -> None:
        """Check the rules of the oracle."""
        self.simulation.check()

    def teardown(self) -> None:
        """End all faults: each shard must be served again."""
        self.simulation.heal()
        self.simulation.check_served()


TestOwnership = OwnershipFuzz.TestCase
TestOwnership.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
