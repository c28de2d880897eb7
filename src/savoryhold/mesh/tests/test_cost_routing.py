"""Nodes with forecasts of costs, beside targets that refuse or are slow.

Load pattern: two services on six nodes, where one target rejects most of its
requests, or takes five times as long as the others.
"""

import dataclasses
from unittest import mock

from savoryhold.mesh.tests import fleet as fleet_module
from savoryhold.mesh.tests.fleet import DESK, Fleet, VirtualTimeCase
from savoryhold.traffic import Feature

RATES = {'/desk/': 60.0, '/files/': 60.0}
PLAY_S = 10
BY_COST = dataclasses.replace(
    fleet_module.CONFIG, features=frozenset({Feature.COST_ROUTING})
)


class TestCostRouting(VirtualTimeCase):
    """Requests are served, and those targets get less."""

    async def test_feature_that_is_off_changes_nothing(self) -> None:
        """Without the feature, nodes forecast and report nothing."""
        fleet = Fleet(6, seed=5)
        await fleet.run_load(2, RATES)
        for node in fleet.nodes:
            self.assertIsNone(node.owner.queue.work)
            self.assertFalse(len(node.ingress.forecasts.costs))
            self.assertFalse(node.owner.queue.work_ms(0))

    async def test_rejecting_target_gets_less(self) -> None:
        """A target that rejects requests gets under half of its share."""
        with mock.patch.object(fleet_module, 'CONFIG', BY_COST):
            fleet = Fleet(6, seed=6)
            bad, *good = fleet.targets(DESK)
            bad.reject_rate = 0.9
            await fleet.run_load(PLAY_S, RATES)
        mean = sum(target.arrived for target in good) / len(good)
        self.assertLess(bad.arrived, mean / 2)
        self.assertGreater(bad.arrived, 0)

    async def test_slow_target_gets_less(self) -> None:
        """A target that is five times slower gets under half of its share."""
        with mock.patch.object(fleet_module, 'CONFIG', BY_COST):
            fleet = Fleet(6, seed=7)
            slow, *usual = fleet.targets(DESK)
            slow.work_ms *= 5
            await fleet.run_load(PLAY_S, RATES)
        mean = sum(target.arrived for target in usual) / len(usual)
        self.assertLess(slow.arrived, mean / 2)
        node = fleet.nodes[1]
        forecast = node.ingress.forecasts.costs.route_class(DESK, 'desk')
        self.assertAlmostEqual(forecast.mean_ms(), 45, delta=25)
