"""Retry budgets while targets reject requests or lose answers.

About half of a service's requests are rejected, or their answers lost, while
another service is healthy, nodes restart one after the other, or runs make
nested calls.  The repeats of each service must stay within its own budget.
"""

import asyncio

from savoryhold.mesh.tests.fleet import DESK, FILES, Fleet, VirtualTimeCase

PLAY_S = 13
RATES = {'/desk/': 90.0, '/files/': 90.0}
FIRST_START_S = 6.0
STARTS = 4
START_EVERY_S = 0.8


class TestRetryBudgets(VirtualTimeCase):
    """Repeats per service and window stay within the budget."""

    # One service spent the retries that requests for all services had
    # earned.
    async def test_rejections_of_one_service_spend_only_its_own_budget(
        self,
    ) -> None:
        """Requests for a healthy service earn no repeats for another one."""
        fleet = Fleet(6, seed=1)
        for target in fleet.targets(DESK):
            target.reject_rate = 0.6
        await fleet.run_load(PLAY_S, RATES)
        self.assertLessEqual(fleet.excess_repeats(DESK), 0)
        self.assertGreater(len(fleet.arrivals), len(fleet.requests))

    # Each node that started granted itself the slack of the whole fleet, and
    # did not count the repeats before its start.
    async def test_restarts_add_no_budget(self) -> None:
        """Restarts of nodes that receive no gossip allow no more repeats."""
        fleet = Fleet(6, seed=2)
        for target in fleet.targets(DESK) + fleet.targets(FILES):
            target.reject_rate = 0.7
        starts = asyncio.ensure_future(restart_all_repeatedly(fleet))
        await fleet.run_load(PLAY_S, RATES)
        await starts
        self.assertLessEqual(fleet.excess_repeats(DESK), 0)
        self.assertLessEqual(fleet.excess_repeats(FILES), 0)

    # Nested calls of repeated runs were counted as new requests, not as
    # repeats.
    async def test_nested_calls_of_repeats_count_as_repeats(self) -> None:
        """Nested calls of repeats stay within the called service's budget."""
        fleet = Fleet(6, seed=3)
        for target in fleet.targets(DESK):
            target.loss_rate = 0.5
            target.nested_call_rate = 1.0
        for target in fleet.targets(FILES):
            target.reject_rate = 0.5
        await fleet.run_load(PLAY_S, {'/desk/': 120.0, '/files/': 10.0})
        self.assertLessEqual(fleet.excess_repeats(DESK), 0)
        self.assertLessEqual(fleet.excess_repeats(FILES), 0)

    # Ingress nodes spent retries that other nodes had already used up.
    async def test_calls_of_repeats_and_rejected_calls_share_a_budget(
        self,
    ) -> None:
        """All repeats at the called service stay within its budget."""
        fleet = Fleet(9, seed=4)
        for target in fleet.targets(DESK):
            target.loss_rate = 0.7
            target.nested_call_rate = 1.0
        for target in fleet.targets(FILES):
            target.reject_rate = 0.6
        rates = {'/desk/': 60.0, '/plain/': 160.0, '/files/': 30.0}
        await fleet.run_load(PLAY_S, rates)
        self.assertLessEqual(fleet.excess_repeats(DESK), 0)
        self.assertLessEqual(fleet.excess_repeats(FILES), 0)


async def restart_all_repeatedly(fleet: Fleet) -> None:
    """Restart all processes a few times, while no gossip passes."""
    await asyncio.sleep(FIRST_START_S)
    fleet.is_partitioned = True
    for _ in range(STARTS):
        for node in fleet.nodes:
            node.start()
        await asyncio.sleep(START_EVERY_S)
    fleet.is_partitioned = False
