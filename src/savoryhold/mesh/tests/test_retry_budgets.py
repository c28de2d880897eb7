"""Repeats of requests while targets reject or lose part of them.

Pattern: half of a service's requests are rejected, or answers are lost, while
another service is well, nodes restart in series, and runs make calls.
"""

import asyncio

from savoryhold.mesh.tests.fleet import DESK, FILES, Fleet, VirtualTimeCase

PLAY_S = 13
RATES = {'/desk/': 90.0, '/files/': 90.0}
FIRST_START_S = 6.0
STARTS = 4
START_EVERY_S = 0.8


class TestRepeatsInTrouble(VirtualTimeCase):
    """Arrivals beyond the first of each request, per service and window."""

    # The retries earned by requests for all services went to one service.
    async def test_rejections_of_one_service_spend_only_its_own_budget(
        self,
    ) -> None:
        """The healthy service's requests earn no repeats for the other."""
        fleet = Fleet(6, seed=1)
        for target in fleet.targets(DESK):
            target.rejects = 0.6
        await fleet.play(PLAY_S, RATES)
        self.assertLessEqual(fleet.excess(DESK), 0)
        self.assertGreater(len(fleet.arrivals), len(fleet.requests))

    # Each node that started took the whole fleet's slack, and no past.
    async def test_nodes_that_start_bring_no_budget(self) -> None:
        """Starts of all nodes, which hear nobody, bring no repeats."""
        fleet = Fleet(6, seed=2)
        for target in fleet.targets(DESK) + fleet.targets(FILES):
            target.rejects = 0.7
        starts = asyncio.ensure_future(start_all_in_series(fleet))
        await fleet.play(PLAY_S, RATES)
        await starts
        self.assertLessEqual(fleet.excess(DESK), 0)
        self.assertLessEqual(fleet.excess(FILES), 0)

    # Calls of repeated runs were counted as requests instead of as repeats.
    async def test_calls_of_repeated_runs_count_as_repeats(self) -> None:
        """What repeats of one service call stays in the other's budget."""
        fleet = Fleet(6, seed=3)
        for target in fleet.targets(DESK):
            target.loses = 0.5
            target.calls = 1.0
        for target in fleet.targets(FILES):
            target.rejects = 0.5
        await fleet.play(PLAY_S, {'/desk/': 120.0, '/files/': 10.0})
        self.assertLessEqual(fleet.excess(DESK), 0)
        self.assertLessEqual(fleet.excess(FILES), 0)

    # Nodes beside callers of a service overdrew what others had left of it.
    async def test_calls_of_repeats_and_rejected_calls_share_a_budget(
        self,
    ) -> None:
        """All repeats at the called service together stay in its budget."""
        fleet = Fleet(9, seed=4)
        for target in fleet.targets(DESK):
            target.loses = 0.7
            target.calls = 1.0
        for target in fleet.targets(FILES):
            target.rejects = 0.6
        rates = {'/desk/': 60.0, '/plain/': 160.0, '/files/': 30.0}
        await fleet.play(PLAY_S, rates)
        self.assertLessEqual(fleet.excess(DESK), 0)
        self.assertLessEqual(fleet.excess(FILES), 0)


async def start_all_in_series(fleet: Fleet) -> None:
    """Kill and start all processes a few times, out of each other's reach."""
    await asyncio.sleep(FIRST_START_S)
    fleet.is_cut = True
    for _ in range(STARTS):
        for node in fleet.nodes:
            node.start()
        await asyncio.sleep(START_EVERY_S)
    fleet.is_cut = False
