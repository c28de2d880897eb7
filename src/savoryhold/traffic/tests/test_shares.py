"""Ingress nodes and zones that compete for one target.

Load patterns: one node at ten times the load of each other one, demand that
moves from one zone to another, news of a node that stop, and urgent requests
at twice the capacity.  The ingress nodes restart in one of them.
"""

import unittest

from savoryhold.traffic import NodeShares, ReturnTracker
from savoryhold.traffic.tests.contention_model import Contention, Crowd
from savoryhold.traffic.tests.model import Kind
from savoryhold.traffic.tests.test_contention import SLOTS, read, simulated

OTHERS = 4
MOVED_AT_S = 8


def heavy() -> list[Crowd]:
    """Return one crowd of 30 requests a second and four of 3."""
    others = [Crowd(read(3), f'n{number}') for number in range(OTHERS)]
    return [Crowd(read(30), 'heavy'), *others]


class TestShares(unittest.TestCase):
    """Shares of the requests that are served."""

    # A node at ten times its share used to take the others' room.
    def test_one_heavy_node_takes_no_room_of_others(self) -> None:
        """The others are served almost wholly, the heavy one with the rest."""
        loud, *others = simulated(heavy(), fair=True)
        loud_today, *others_today = simulated(heavy(), fair=False)
        for other in others:
            self.assertGreaterEqual(other.share, 0.8)
        served = loud.served + sum(other.served for other in others)
        today = loud_today.served + sum(other.served for other in others_today)
        self.assertGreaterEqual(served, today)
        self.assertLess(max(other.share for other in others_today), 0.7)

    def test_demand_that_moves_between_zones(self) -> None:
        """A zone's share follows its demand; the light zone is served."""
        light = Crowd(read(3), 'c', 'zone-c')
        crowds = [
            Crowd(read(30), 'a', 'zone-a', (0, MOVED_AT_S)),
            Crowd(read(6), 'a', 'zone-a', (MOVED_AT_S, 2 * MOVED_AT_S)),
            Crowd(read(6), 'b', 'zone-b', (0, MOVED_AT_S)),
            Crowd(read(30), 'b', 'zone-b', (MOVED_AT_S, 2 * MOVED_AT_S)),
            light,
        ]
        found = simulated(crowds, fair=True)
        for crowd in (found[1], found[2], found[4]):
            with self.subTest(origin=crowd.origin):
                self.assertGreaterEqual(crowd.share, 0.75)
        for crowd in (found[0], found[3]):
            with self.subTest(origin=crowd.origin):
                self.assertGreaterEqual(crowd.share, 0.3)

    def test_shares_widen_as_news_stop(self) -> None:
        """A silent node keeps its share at first, and loses it with time."""
        shares = NodeShares()
        for node in ('a', 'b'):
            shares.hear(node, 0)
        found = []
        for now in (50, 1000, 2000):
            shares.hear('a', now)
            found.append(shares.share('a'))
        self.assertEqual(found[0], 0.5)
        self.assertGreater(found[1], 0.6)
        self.assertLess(found[1], 1.0)
        self.assertEqual(found[2], 1.0)

    def test_restart_of_the_ingress_under_overload(self) -> None:
        """Callers that an ingress has forgotten are served like new ones."""
        crowds = heavy()
        model = Contention(SLOTS, crowds, 1, fair=True)

        model.at_ms[5000] = lambda now: model.trackers.update(
            {crowd.origin: ReturnTracker() for crowd in crowds}
        )
        model.run()
        for crowd in crowds[1:]:
            self.assertGreaterEqual(crowd.share, 0.75)

    def test_no_kind_is_starved(self) -> None:
        """Less urgent kinds run though urgent ones have twice the capacity."""
        crowds = [
            Crowd(read(45)),
            Crowd(Kind('submission', 2, 290, 1200, 3500, 1, 1, 0.8)),
            Crowd(Kind('export', 1, 880, 4000, 9000, 2, 1, 0.8)),
        ]
        for crowd in simulated(crowds, fair=True):
            with self.subTest(kind=crowd.kind.name):
                self.assertGreaterEqual(crowd.share, 0.15)
