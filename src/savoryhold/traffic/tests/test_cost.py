"""Forecasts of run times, and what they learn from."""

import random
import unittest

from savoryhold.traffic import (
    CostModel,
    PaceEstimate,
    RequestTraits,
    TargetRecord,
    Ticket,
    WorkLeft,
)
from savoryhold.traffic.cost import HALF_LIFE_MS, INITIAL_MS, MAX_CLASSES

LOOKUP = RequestTraits('s', 'lookup', b'GET')
REPORT = RequestTraits('s', 'report', b'GET')


def train(
    model: CostModel, traits: RequestTraits, mean_ms: float, count: int = 200
) -> None:
    """Record run times with a mean, every 100 ms."""
    rng = random.Random(7)
    for number in range(count):
        run_ms = rng.lognormvariate(-0.32, 0.8) * mean_ms
        model.record(traits, run_ms, 1.0, number * 100)


class TestCostModel(unittest.TestCase):
    """Forecasts of classes of requests."""

    def test_first_forecast(self) -> None:
        """Before any sample, and for a new class, forecasts are sound."""
        model = CostModel()
        self.assertEqual(model.forecast_ms(LOOKUP), INITIAL_MS)
        train(model, LOOKUP, 200)
        found = model.forecast_ms(RequestTraits('s', 'lookup', b'POST', 9000))
        self.assertAlmostEqual(found, 200, delta=30)

    def test_one_long_run_moves_little(self) -> None:
        """The first sample of a class counts for less than a third."""
        model = CostModel()
        train(model, LOOKUP, 100)
        model.record(REPORT, 3000, 1.0, 20_000)
        self.assertLess(model.forecast_ms(REPORT), 1000)

    def test_change_is_learned_in_half_lives(self) -> None:
        """Three half-lives after a change, an eighth of the old is left."""
        model = CostModel()
        train(model, LOOKUP, 100, 300)
        for number in range(900):
            model.record(LOOKUP, 300, 1.0, 30_000 + number * 100)
        self.assertEqual(HALF_LIFE_MS * 3, 90_000)
        self.assertAlmostEqual(model.forecast_ms(LOOKUP), 282, delta=15)

    def test_pause_forgets_little(self) -> None:
        """A day without requests does not return a class to the prior."""
        model = CostModel()
        train(model, LOOKUP, 300)
        model.record(LOOKUP, 300, 1.0, 86_400_000)
        self.assertAlmostEqual(model.forecast_ms(LOOKUP), 300, delta=50)

    def test_long_and_short_of_one_route(self) -> None:
        """Large bodies and nested calls have forecasts of their own."""
        model = CostModel()
        large = RequestTraits('s', 'lookup', b'POST', 300_000)
        nested = RequestTraits('s', 'lookup', b'GET', 0, 'nested')
        train(model, LOOKUP, 50)
        train(model, large, 400)
        train(model, nested, 20)
        self.assertGreater(model.forecast_ms(large), 330)
        self.assertLess(model.forecast_ms(LOOKUP), 80)
        self.assertLess(model.forecast_ms(nested), 35)

    def test_number_of_classes_is_bounded(self) -> None:
        """Classes used recently survive a flood of others."""
        model = CostModel()
        train(model, LOOKUP, 300)
        for number in range(4 * MAX_CLASSES):
            model.record(RequestTraits('s', f'r{number}'), 5, 1.0, number)
            model.forecast_ms(LOOKUP)
        self.assertEqual(len(model), MAX_CLASSES)
        self.assertGreater(model.forecast_ms(LOOKUP), 200)

    def test_heavy_key(self) -> None:
        """A key that always takes long is expected to, others are not."""
        model = CostModel()
        rng = random.Random(3)
        for number in range(2000):
            key = 5 if number % 20 == 0 else rng.randrange(6, 65_536)
            run_ms = 400.0 if key == 5 else 50.0
            traits = RequestTraits('s', 'lookup', b'GET', key=key)
            model.record(traits, run_ms, 1.0, number * 20)
        heavy, usual = (
            model.forecast_ms(RequestTraits('s', 'lookup', b'GET', key=key))
            for key in (5, 77)
        )
        self.assertGreater(heavy, 4 * usual)
        self.assertLess(usual, 80)

    def test_quantile(self) -> None:
        """Nine of ten runs end below the quantile."""
        model = CostModel()
        train(model, LOOKUP, 100, 1000)
        found = model.route_class('s', 'lookup').quantile_ms(0.9)
        self.assertAlmostEqual(found, 202, delta=40)


class TestPace(unittest.TestCase):
    """Speeds of targets are told apart from costs of requests."""

    def test_speeds_are_not_costs(self) -> None:
        """Targets of speeds 0.7, 0.7 and 1.7 do not change the forecast.

        A slow target used to make its requests look expensive everywhere.
        """
        rng = random.Random(11)
        model = CostModel()
        paces = [0.7, 0.7, 1.7]
        estimates = [PaceEstimate() for _ in paces]
        for number in range(3000):
            now = number * 10
            which = rng.choices(range(3), [1, 1, 4])[0]
            run_ms = rng.lognormvariate(-0.32, 0.8) * 200 * paces[which]
            pace = estimates[which].current(now)
            expected = model.forecast_ms(LOOKUP)
            estimates[which].record(run_ms, expected, now)
            model.record(LOOKUP, run_ms, pace, now)
        found = [estimate.current(30_000) for estimate in estimates]
        self.assertGreater(found[2], 1.8 * max(found[:2]))
        expected = model.forecast_ms(LOOKUP) * found[2]
        self.assertAlmostEqual(expected, 340, delta=70)

    def test_slow_target_is_tried_again(self) -> None:
        """Without new runs, a pace tends to the usual one."""
        pace = PaceEstimate()
        for number in range(50):
            pace.record(300, 100, number)
        self.assertGreater(pace.current(100), 2.5)
        self.assertLess(pace.current(60_000), 1.1)

    def test_work_sent_since_the_status(self) -> None:
        """A status includes what was sent before it, not what came after."""
        record = TargetRecord()
        record.begin(1, 100.0, 10)
        record.begin(2, 50.0, 20)
        record.begin(3, 25.0, 30)
        record.end(2)
        record.on_status(15)
        self.assertEqual(record.pending_ms, 25.0)
        record.end(1)
        record.end(3)
        self.assertEqual(record.pending_ms, 0.0)


class TestWorkLeft(unittest.TestCase):
    """Work left at a target."""

    def test_long_run_is_recognized(self) -> None:
        """A run that exceeds its usual time is probably a long one.

        Load pattern: one request in twenty takes 20 times as long as the
        others, which look alike.
        """
        model = CostModel()
        for number in range(400):
            run_ms = 1000 if number % 20 == 0 else 50
            model.record(LOOKUP, run_ms, 1.0, number * 20)
        work = WorkLeft(model, 's')
        ticket = Ticket(1, 'lookup', 0, 0, 2000, 4000)
        self.assertAlmostEqual(work.left_ms(ticket, 0), 97, delta=15)
        self.assertGreater(work.left_ms(ticket, 200), 500)
        self.assertLess(work.left_ms(ticket, 950), 200)

    def test_long_runs_do_not_free_slots(self) -> None:
        """Behind long runs, short work waits for the other slots."""
        model = CostModel()
        train(model, LOOKUP, 50)
        train(model, REPORT, 2000)
        work = WorkLeft(model, 's')
        short = [Ticket(each, 'lookup', 0, 0, 1, 1) for each in range(3)]
        long_runs = [Ticket(each, 'report', 0, 0, 1, 1) for each in range(3)]
        usual = work.slot_free_ms(short, short, 3, 1)
        blocked = work.slot_free_ms(short, [*long_runs[:2], short[0]], 3, 1)
        self.assertGreater(blocked, 1.8 * usual)
        self.assertEqual(work.slot_free_ms([], short[:2], 3, 1), 0)
