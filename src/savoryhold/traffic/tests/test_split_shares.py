"""Shares of the parts of a route over a fleet whose configuration changes.

Each node selects parts on its own and begins anew with each version, so that
few requests a node and version must give the same shares as many.
"""

import dataclasses
import random
import unittest
from collections import Counter

from savoryhold.core.ids import ServiceName
from savoryhold.traffic import (
    CallerLimits,
    MeshConfig,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
    WeightedService,
)

NODES = 58
REQUESTS = 1000
ALLOWED_OFF = 0.1  # of a share from that of its weight
LONG_RUN = 1000  # requests of one node
LONG_RUN_OFF = 0.01
WEIGHTS = ((1, 1), (70, 30), (9, 1), (0.2, 0.3, 0.5), (5, 0))


def make_config(weights: tuple[float, ...]) -> MeshConfig:
    """Return a configuration with one route of several parts."""
    parts = tuple(
        WeightedService(ServiceName(f's{number}'), weight)
        for number, weight in enumerate(weights)
    )
    kind = RouteKind.IDEMPOTENT
    route = Route('r', 'h', '/r/', kind, 1000, 100, 1, 0, parts)
    services = tuple(ServiceInfo(part.service, keyed=False) for part in parts)
    return MeshConfig(1, (route,), services, CallerLimits())


def most_off(weights: tuple[float, ...], runs: Counter[str]) -> float:
    """Return how far a part's share lies from that of its weight."""
    shares = [weight / sum(weights) for weight in weights]
    return max(
        abs(runs[f's{number}'] / runs.total() - share)
        for number, share in enumerate(shares)
    )


class TestShares(unittest.TestCase):
    """Parts that are selected by many nodes."""

    def setUp(self) -> None:
        """Make the choices of the nodes repeatable."""
        random.seed(54)

    # Each node sent its first request of each version to the same part, which
    # got nearly all requests while versions changed.
    def test_versions_in_quick_succession(self) -> None:
        """A version brings about one request to each node."""
        rng = random.Random(54)
        for weights in WEIGHTS:
            cfg = make_config(weights)
            runs: Counter[str] = Counter()
            for number in range(REQUESTS):
                if not number % NODES:
                    nodes = [RouteTable(cfg) for _ in range(NODES)]
                node = rng.choice(nodes)
                runs[node.select_service(cfg.routes[0])] += 1
            with self.subTest(weights=weights):
                self.assertLess(most_off(weights, runs), ALLOWED_OFF)

    def test_requests_of_one_node(self) -> None:
        """The shares of a long run are close to the weights."""
        for weights in WEIGHTS:
            cfg = make_config(weights)
            node = RouteTable(cfg)
            runs: Counter[str] = Counter(
                node.select_service(cfg.routes[0]) for _ in range(LONG_RUN)
            )
            with self.subTest(weights=weights):
                self.assertLess(most_off(weights, runs), LONG_RUN_OFF)

    # Routes of several hosts may have one name; their requests took turns
    # with one another.
    def test_routes_of_one_name(self) -> None:
        """Requests of two hosts alternate, as do the parts."""
        cfg = make_config((1, 1))
        first = cfg.routes[0]
        second = dataclasses.replace(first, host='other')
        node = RouteTable(cfg)
        runs: dict[str, Counter[str]] = {'h': Counter(), 'other': Counter()}
        for _ in range(LONG_RUN):
            for route in (first, second):
                runs[route.host][node.select_service(route)] += 1
        for host, found in runs.items():
            with self.subTest(host=host):
                self.assertLess(most_off((1, 1), found), LONG_RUN_OFF)


if __name__ == '__main__':
    unittest.main()
