"""Nodes with forecasts of costs, beside targets that refuse or are slow.

Load pattern: two services on six nodes, where one target rejects most of its
requests, or takes five times as long as the others.
"""

import dataclasses
import unittest
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.mesh.telemetry import SAMPLE_EVERY, Telemetry
from savoryhold.mesh.tests.fleet import (
    CONFIG,
    DESK,
    Fleet,
    VirtualTimeCase,
)
from savoryhold.traffic import Choice, Feature, Outlook

RATES = {'/desk/': 60.0, '/files/': 60.0}
PLAY_S = 10
BY_COST = dataclasses.replace(
    CONFIG, features=frozenset({Feature.COST_ROUTING})
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
        fleet = Fleet(6, seed=6, config=BY_COST)
        bad, *good = fleet.targets(DESK)
        bad.reject_rate = 0.9
        await fleet.run_load(PLAY_S, RATES)
        mean = sum(target.arrived for target in good) / len(good)
        self.assertLess(bad.arrived, mean / 2)
        self.assertGreater(bad.arrived, 0)
        # Its quick refusals must not count as quick runs.
        assert bad.node is not None
        work = bad.node.owner.queue.work
        assert work is not None
        self.assertGreater(work.steady_pace(fleet.clock.now()), 0.7)

    async def test_slow_target_gets_less(self) -> None:
        """A target that is five times slower gets under half of its share."""
        fleet = Fleet(6, seed=7, config=BY_COST)
        slow, *usual = fleet.targets(DESK)
        slow.work_ms *= 5
        await fleet.run_load(PLAY_S, RATES)
        mean = sum(target.arrived for target in usual) / len(usual)
        self.assertLess(slow.arrived, mean / 2)
        node = fleet.nodes[1]
        forecast = node.ingress.forecasts.costs.route_class(DESK, 'desk')
        self.assertAlmostEqual(forecast.mean_ms(), 45, delta=25)


class TestCostTelemetry(unittest.TestCase):
    """What operators see of forecasts and choices."""

    def setUp(self) -> None:
        """Create the telemetry of a node."""
        self.log = mock.Mock()
        clock = cast(Any, SimpleNamespace(now=int))
        self.telemetry = Telemetry(clock, self.log)

    def test_forecast_error_is_a_metric(self) -> None:
        """The sums of forecasts, run times and errors are exposed."""
        self.telemetry.record_forecast('desk', 100, 150)
        self.telemetry.record_forecast('desk', 100, 70)
        text = self.telemetry.render({}).decode()
        name = 'savoryhold_mesh_forecast_ms_total{route="desk",figure='
        for line in ('"error"} 80', '"expected"} 200', '"measured"} 220'):
            self.assertIn(f'{name}{line}\n', text)

    def test_choices_are_sampled(self) -> None:
        """Few first choices, but all second ones, show the best targets."""
        outlook = Outlook(
            NodeId('b'), Zone('z'), Region('r'), 5, 0, 0, 1, 1, 0, 0
        )
        choice = Choice(outlook, [90.0, 70.0])
        req = cast(Any, mock.Mock(request='r1', expected_ms=50))
        nodes = [NodeId('a'), NodeId('b')]
        for _ in range(SAMPLE_EVERY):
            self.telemetry.record_choice(req, choice, nodes, again=False)
        self.assertEqual(self.log.info.call_count, 1)
        self.telemetry.record_choice(req, choice, nodes, again=True)
        fields = self.log.info.call_args.kwargs
        self.assertEqual(self.log.info.call_count, 2)
        self.assertEqual(fields['best'], 'b:70 a:90')
