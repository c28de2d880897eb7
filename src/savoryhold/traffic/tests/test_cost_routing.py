"""Choice of targets by expected completion, against the rule without forecasts.

Load patterns: 77 or 84 ingress nodes in 4 zones act on statuses of up to 1 s
age; targets of different speeds; hosts that are three times slower in episodes
of 400 ms; long runs among short ones that look alike; targets that refuse for
some seconds.
"""

import random
import unittest
from collections import Counter
from collections.abc import Callable

from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.traffic import Origin, Outlook, Transfer, choose_outlook
from savoryhold.traffic.tests.fleet_model import FleetModel, Load, ModelTarget

SECONDS = 10
EPISODE_MS = 400
SPEEDS = (0.7, 0.7, 1.7)
SLOW = 3.0
SLOW_SHARE = 0.2
# Chance alone gives about 1.15: each target runs some 200 requests.
MAX_IMBALANCE = 1.25
SEED = 20_261_206


def episodes(seed: int) -> Callable[[int], float]:
    """Return the pace of a host that is slow a fifth of the time."""
    rng = random.Random(seed)
    paces = rng.choices([SLOW, 1.0], [SLOW_SHARE, 1 - SLOW_SHARE], k=100)
    return lambda now: paces[now // EPISODE_MS % len(paces)]


def simulate(
    make_targets: Callable[[], list[ModelTarget]],
    ingresses: int,
    loads: list[Load],
    seconds: int = SECONDS,
) -> tuple[FleetModel, FleetModel]:
    """Run a load with the rule without forecasts, and with forecasts."""
    models = []
    for by_cost in (False, True):
        model = FleetModel(
            make_targets(), ingresses, loads, SEED, by_cost=by_cost
        )
        model.simulate(seconds)
        models.append(model)
    return models[0], models[1]


def exam(load: float, capacity: float) -> list[Load]:
    """Return the kind of the fleet of 77 hosts, at a share of the slots."""
    per_s = load * capacity / 0.22
    return [Load('exam', per_s, 220, 1000, tail=0.01, times=5)]


class TestCostRouting(unittest.TestCase):
    """Shares of requests within their aim, and evenness of targets."""

    def test_uneven_targets(self) -> None:
        """Targets that run 2.4 times as long as others do not miss aims."""
        load = Load('lookup', 250, 190, 882, tail=0.03, times=7)
        old, new = simulate(
            lambda: [ModelTarget(SPEEDS[each % 3], 3) for each in range(21)],
            84,
            [load],
        )
        self.assertGreater(new.share_in_aim(), 0.92)
        self.assertGreater(new.share_in_aim(), old.share_in_aim() + 0.1)

    def test_pace_that_changes(self) -> None:
        """Slow episodes of hosts cost few aims."""
        old, new = simulate(
            lambda: [
                ModelTarget(pace_at=episodes(number)) for number in range(33)
            ],
            77,
            exam(0.65, 165),
        )
        self.assertGreater(new.share_in_aim(), 0.9)
        self.assertGreater(new.share_in_aim(), old.share_in_aim() + 0.1)

    def test_no_herding_on_stale_news(self) -> None:
        """77 nodes that have the same news spread their requests."""
        old, new = simulate(
            lambda: [ModelTarget() for _ in range(33)], 77, exam(0.85, 165)
        )
        self.assertLess(new.imbalance(), MAX_IMBALANCE)
        self.assertLess(new.imbalance(), old.imbalance())
        self.assertGreater(new.share_in_aim(), 0.95)

    def test_long_among_short(self) -> None:
        """A target that a long run has caught gets less meanwhile."""
        load = Load('lookup', 200, 190, 882, tail=0.03, times=7)
        old, new = simulate(
            lambda: [ModelTarget(slots=3) for _ in range(20)], 40, [load]
        )
        self.assertGreater(new.share_in_aim(), 0.9)
        self.assertGreater(new.share_in_aim(), old.share_in_aim() + 0.1)

    def test_refusing_target_recovers(self) -> None:
        """A target that refuses for 8 s gets little, and then its share."""
        old, new = simulate(
            lambda: [
                ModelTarget(refuses=_refuses) if not number else ModelTarget()
                for number in range(33)
            ],
            77,
            exam(0.75, 165),
            seconds=18,
        )
        self.assertLess(_rate(new, 4, 10), 0.2 * _rate(old, 4, 10))
        before = sum(len(one.sent) for one in new.targets[1:]) / 32 / 18
        self.assertLess(_rate(new, 4, 10), 1.5 * before)
        self.assertGreater(_rate(new, 14, 18), 0.6 * before)


def _refuses(now: int) -> bool:
    return 2000 <= now < 10_000


def _rate(model: FleetModel, first_s: int, last_s: int) -> float:
    """Return the requests a second that the first target got in a time."""
    sent = model.targets[0].sent
    found = sum(first_s <= at / 1000 < last_s for at in sent)
    return found / (last_s - first_s)


class TestNearness(unittest.TestCase):
    """Distance and bytes against waits."""

    def setUp(self) -> None:
        """Create four targets: here, in the zone, the region, and beyond."""
        places = (('z', 'r'), ('z', 'r'), ('y', 'r'), ('x', 'q'))
        self.outlooks = [
            Outlook(
                NodeId(f'{number}'),
                Zone(zone),
                Region(region),
                5,
                0.0,
                0.0,
                1.0,
                1.0,
                demand=1.0,
                age_ms=500 if number else 0,
                is_local=not number,
            )
            for number, (zone, region) in enumerate(places)
        ]
        self.rng = random.Random(SEED)

    def _counts(self, transfer: Transfer) -> Counter[str]:
        origin = Origin(Zone('z'), Region('r'))
        return Counter(
            choose_outlook(
                self.outlooks, origin, 200.0, transfer, self.rng
            ).chosen.node
            for _ in range(1000)
        )

    def test_light_load_stays_in_its_zone(self) -> None:
        """At a fifth of the capacity, few requests leave their zone."""
        counts = self._counts(Transfer())
        self.assertGreater(counts['0'] + counts['1'], 700)
        self.assertEqual(counts['3'], 0)

    def test_only_repeatable_requests_explore(self) -> None:
        """A target that breaks requests off gets none that must not repeat."""
        self.outlooks[1].acceptance = 0.1
        origin = Origin(Zone('z'), Region('r'))
        for explore in (False, True):
            chosen = {
                choose_outlook(
                    self.outlooks,
                    origin,
                    200.0,
                    Transfer(),
                    self.rng,
                    explore=explore,
                ).chosen.node
                for _ in range(500)
            }
            self.assertEqual('1' in chosen, explore)

    def test_large_bodies_stay_local(self) -> None:
        """360 KB over a link of 10 Mbit/s go elsewhere only if it helps.

        They take 288 ms in the region, and fill the link between regions.
        """
        upload = Transfer(360_000, 10.0)
        for outlook in self.outlooks:
            outlook.demand = 5.0
        self.assertGreater(self._counts(upload)['0'], 700)
        self.outlooks[0].work_ms = 5 * 1500.0
        counts = self._counts(upload)
        self.assertLess(counts['0'], 100)
        self.assertEqual(counts['3'], 0)
