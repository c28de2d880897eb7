"""Stateful fuzzing of the ownership machine against a simple oracle.

The oracle: at each instant at most one node would send a byte for a shard;
the highest epoch of a shard never falls; once all faults end, each shard is
served again.
"""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from savoryhold.core.tests.world import PLACES, World

__all__ = ['OwnershipFuzz', 'TestOwnership']

WARM_ROUNDS = 20
places = st.integers(0, PLACES - 1)
numbers = st.integers(0, 63)
fates = st.sampled_from((0, 0, 0, 0, 6, 7, 8, 9))
steps_ms = st.sampled_from((10, 50, 100, 250, 600))


class OwnershipFuzz(RuleBasedStateMachine):
    """Drives some nodes through faults of any kind, two at once too."""

    def __init__(self) -> None:
        """Bring the world up without faults."""
        super().__init__()
        self.world = World()
        self.world.settle(WARM_ROUNDS)

    @rule(place=places, delta_ms=steps_ms)
    def tick(self, place: int, delta_ms: int) -> None:
        """Let time pass, and one node look at its clock."""
        self.world.advance(delta_ms)
        self.world.tick(place)

    @rule(delta_ms=steps_ms)
    def tick_all(self, delta_ms: int) -> None:
        """Let time pass, and all nodes look at their clocks."""
        self.world.advance(delta_ms)
        for place in range(PLACES):
            self.world.tick(place)

    @precondition(lambda fuzz: fuzz.world.jobs)
    @rule(number=numbers, fate=fates)
    def perform(self, number: int, fate: int) -> None:
        """Carry out, lose or delay something that a node asked for."""
        self.world.perform(number, fate)

    @precondition(lambda fuzz: fuzz.world.replies)
    @rule(number=numbers)
    def deliver(self, number: int) -> None:
        """Deliver a reply, in any order."""
        self.world.deliver(number)

    @precondition(lambda fuzz: fuzz.world.late)
    @rule(number=numbers)
    def land_late(self, number: int) -> None:
        """Let a delayed write reach the store."""
        self.world.land_late(number)

    @rule(place=places, number=numbers, newest=st.booleans())
    def news(self, place: int, number: int, newest: bool) -> None:
        """Tell a node of a new or old version of an object."""
        self.world.news(place, number, newest=newest)

    @rule(place=places)
    def pause(self, place: int) -> None:
        """Freeze a node or let it go on."""
        self.world.pause(place)

    @rule(place=places)
    def restart(self, place: int) -> None:
        """Replace a process."""
        self.world.restart(place)

    @rule(one=places, two=places)
    def cut(self, one: int, two: int) -> None:
        """Cut or mend a link."""
        self.world.toggle_cut(one, two)

    @rule()
    def cut_regions(self) -> None:
        """Cut or mend all links between two halves."""
        for one in (0, 1):
            for two in (2, 3):
                self.world.toggle_cut(one, two)

    @rule()
    def outage(self) -> None:
        """Take the store down or bring it back."""
        self.world.outage()

    @rule(place=places, to=places, shard=numbers)
    def move(self, place: int, to: int, shard: int) -> None:
        """Ask for a planned move."""
        self.world.move(place, to, shard)

    @rule(place=places)
    def leave(self, place: int) -> None:
        """Have a node leave."""
        self.world.leave(place)

    @rule(place=places)
    def starve(self, place: int) -> None:
        """Lose a holder's heartbeats and writes, and delay its claim."""
        self.world.starve(place)

    @rule(one=places, two=places)
    def isolate(self, one: int, two: int) -> None:
        """Cut two nodes off from all but each other."""
        self.world.isolate(one, two)

    @rule(place=places)
    def deafen(self, place: int) -> None:
        """Keep all news from a node for a while."""
        self.world.deafen(place)

    @rule(place=places)
    def beat(self, place: int) -> None:
        """Let a holder's heartbeats pass."""
        self.world.beat(place)

    @invariant()
    def at_most_one_owner(self) -> None:
        """Compare with the oracle."""
        self.world.check()

    def teardown(self) -> None:
        """End all faults: each shard must be served again."""
        self.world.heal()
        self.world.check_served()


TestOwnership = OwnershipFuzz.TestCase
TestOwnership.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
