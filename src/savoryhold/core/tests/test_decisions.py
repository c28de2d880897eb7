"""Tests of retries, quarantine, balance, gossip, records and selection."""

import collections
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st

from savoryhold.core import errors
from savoryhold.core.balance import (
    BalancePolicy,
    HomeTable,
    LoadView,
    choose_balancing_move,
    choose_home_region_move,
    shards_to_request,
)
from savoryhold.core.claims import assign_shards
from savoryhold.core.classify import RouteClassifier
from savoryhold.core.configuration import ServiceClass
from savoryhold.core.gossip import (
    GossipTable,
    ObjectUpdate,
)
from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    ObjectName,
    Region,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
    Zone,
    node_object,
)
from savoryhold.core.poison import PoisonGuard, Strike, fingerprint_of
from savoryhold.core.records import (
    Grant,
    NodeRecord,
    NodeState,
    Profile,
    decode_record,
    encode_record,
)
from savoryhold.core.rendezvous import choose_standby
from savoryhold.core.retry import (
    INITIAL_RETRIES,
    AttemptHistory,
    RetryBudget,
    RetryBudgets,
    backoff_ms,
    may_retry,
)
from savoryhold.core.routing import Directory
from savoryhold.core.selection import LatencyTable, best_of_two

__all__ = [
    'TestAssignShards',
    'TestBalance',
    'TestGossip',
    'TestPoison',
    'TestRecords',
    'TestRetry',
    'TestSelection',
]

SERVICE = ServiceName('booking')
names = st.sampled_from([ObjectName(f'node/{num}') for num in range(6)])
items = st.builds(
    ObjectUpdate,
    names,
    st.integers(1, 9).map(Version),
    st.sampled_from(('a', 'b', None)),
)


def shard(number: int) -> ShardKey:
    """Return a shard."""
    return ShardKey(SERVICE, ShardId(number))


def profile(name: str, zone: str, region: str = 'sofia') -> Profile:
    """Return a node's profile."""
    return Profile(NodeId(name), f'{name}:1', Region(region), Zone(zone))


class TestRetry(unittest.TestCase):
    """Which errors allow another attempt."""

    def test_only_safe_errors_are_retried(self) -> None:
        """A request that may have run is retried only if idempotent."""
        cases = (
            (errors.NotOwnerError('x'), False, True),
            (errors.OverloadError('x'), False, True),
            (errors.UncertainError('x'), False, False),
            (errors.UncertainError('x'), True, True),
            (errors.BadRequestError('x'), True, False),
            (errors.UnknownServiceError('x'), True, False),
        )
        for exc, idempotent, expected in cases:
            with self.subTest(exc=exc, idempotent=idempotent):
                self.assertIs(may_retry(exc, idempotent=idempotent), expected)

    def test_uncertain_attempt_decides_outcome(self) -> None:
        """After an uncertain attempt a request is not refused as not run.

        A request whose link broke was refused so after its second attempt.
        """
        history = AttemptHistory()
        history.record_failure(errors.UncertainError('cut'))
        history.record_failure(errors.NotOwnerError('no link'))
        self.assertIsInstance(history.outcome(), errors.UncertainError)

    def test_budget_follows_successes(self) -> None:
        """Retries stop when nothing succeeds."""
        budget = RetryBudget(
            successes_per_retry=10, max_retries=2, unspent_successes=20
        )
        self.assertEqual(
            [budget.spend() for _ in range(3)], [True, True, False]
        )
        for _ in range(10):
            budget.record_success()
        self.assertTrue(budget.spend())
        self.assertFalse(budget.spend())

    # One bucket used to hold the retries of all services, and started full.
    def test_budgets_are_per_service_and_start_low(self) -> None:
        """Successes of one service pay for no retry of another."""
        budgets = RetryBudgets()
        for _ in range(1000):
            budgets.of(SERVICE).record_success()
        other = budgets.of(ServiceName('other'))
        granted = [other.spend() for _ in range(2 * INITIAL_RETRIES)]
        self.assertEqual(sum(granted), INITIAL_RETRIES)

    def test_backoff_is_bounded(self) -> None:
        """Waits grow, with jitter, to a ceiling."""
        waits = [backoff_ms(attempt, 1.0) for attempt in range(100)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(max(waits), 200)


class TestPoison(unittest.TestCase):
    """Requests that crash their targets."""

    def test_two_incidents_quarantine(self) -> None:
        """A crash counts once, however often it is reported."""
        guard = PoisonGuard()
        fingerprint = fingerprint_of('booking', 'GET', '/x', b'')
        self.assertTrue(guard.strike(Strike(fingerprint, 'crash-1'), 0))
        self.assertFalse(guard.strike(Strike(fingerprint, 'crash-1'), 1))
        self.assertFalse(guard.is_quarantined(fingerprint, 2))
        self.assertTrue(guard.strike(Strike(fingerprint, 'crash-2'), 3))
        self.assertTrue(guard.is_quarantined(fingerprint, 4))
        self.assertFalse(guard.is_quarantined(fingerprint, 700_000))

    def test_completed_request_is_not_quarantined(self) -> None:
        """A frequent request is running on most targets that are killed.

        After two kills, all requests of a route without distinct paths were
        refused for ten minutes (soak seed 209).
        """
        guard = PoisonGuard()
        fingerprint = fingerprint_of('booking', 'GET', '/x', b'')
        guard.strike(Strike(fingerprint, 'crash-1'), 0)
        self.assertTrue(guard.clear_strikes(fingerprint))
        self.assertFalse(guard.clear_strikes(fingerprint))
        guard.strike(Strike(fingerprint, 'crash-2'), 3)
        self.assertFalse(guard.is_quarantined(fingerprint, 4))
        guard.strike(Strike(fingerprint, 'crash-3'), 5)
        self.assertTrue(guard.is_quarantined(fingerprint, 6))

    def test_fingerprint_tells_requests_apart(self) -> None:
        """Path, method and body all count."""
        fingerprints = {
            fingerprint_of('booking', 'GET', '/x', b''),
            fingerprint_of('booking', 'PUT', '/x', b''),
            fingerprint_of('booking', 'GET', '/y', b''),
            fingerprint_of('booking', 'GET', '/x', b'1'),
            fingerprint_of('booking', 'GET', '/x', b'', 7),
        }
        self.assertEqual(len(fingerprints), 5)


class TestBalance(unittest.TestCase):
    """Which shard moves where."""

    def test_noise_moves_nothing(self) -> None:
        """A difference within the measurement noise causes no move."""
        loads = {shard(num): 3.0 for num in range(10)}
        peers = {NodeId('b'): 26.0}
        view = LoadView(loads, loads, peers)
        self.assertIsNone(choose_balancing_move(view, BalancePolicy()))

    def test_move_does_not_reverse_the_loads(self) -> None:
        """A shard of more than half of the difference is not moved."""
        loads = {shard(0): 900.0, shard(1): 200.0, shard(2): 50.0}
        peers = {NodeId('b'): 500.0, NodeId('c'): 700.0}
        move = choose_balancing_move(
            LoadView(loads, loads, peers), BalancePolicy()
        )
        assert move is not None
        self.assertEqual((move.key, move.target), (shard(1), NodeId('b')))

    def test_shard_that_just_came_stays(self) -> None:
        """A shard that has just arrived is not moved again."""
        loads = {shard(0): 900.0, shard(1): 200.0}
        peers = {NodeId('b'): 100.0}
        settled = {shard(0)}
        view = LoadView(loads, settled, peers)
        self.assertIsNone(choose_balancing_move(view, BalancePolicy()))

    def test_shard_goes_to_the_region_of_its_callers(self) -> None:
        """A shard moves to the region where its requests arrive, and stays."""
        homes = HomeTable()
        far = Region('plovdiv')
        for _ in range(8):
            homes.measure(
                [shard(0), shard(1)],
                {shard(0): {far: 9}, shard(1): {far: 2, Region('sofia'): 2}},
                1,
            )
        self.assertEqual(homes.homes(), {shard(0): far})
        node = NodeId('far')
        loads = {shard(0): 9.0, shard(1): 4.0}
        view = LoadView(loads, loads, {node: 1.0}, {node: far}, homes.homes())
        move = choose_home_region_move(view, Region('sofia'))
        assert move is not None
        self.assertEqual((move.key, move.target), (shard(0), node))
        self.assertIsNone(choose_home_region_move(view, far))
        other = dataclasses.replace(view, regions={node: Region('sofia')})
        self.assertFalse(other.may_move(shard(0), node))

    @hypothesis.given(
        st.dictionaries(
            st.sampled_from([NodeId(f'n{num}') for num in range(8)]),
            st.integers(0, 40),
            min_size=2,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_joiner_gets_its_share_only(
        self, counts: dict[NodeId, int]
    ) -> None:
        """No more than 1/N of the shards move for a joiner."""
        joiner = min(counts)
        requested = shards_to_request({**counts, joiner: 0}, joiner)
        total = sum(counts.values()) - counts[joiner]
        self.assertLessEqual(sum(requested.values()), total // len(counts))


class TestAssignShards(unittest.TestCase):
    """New owners of a lost node's shards."""

    def test_concurrent_claims_choose_different_nodes(self) -> None:
        """The claims of a lost zone all chose the same lowest-ranked nodes."""
        directory = Directory()
        for num in range(40):
            record = NodeRecord(
                dataclasses.replace(
                    profile(f'n{num}', 'z'), services=frozenset({SERVICE})
                )
            )
            name = node_object(record.node)
            directory.observe(name, Version(num + 1), record, 0)
        chosen = collections.Counter(
            node
            for claim in range(20)
            for node in assign_shards(
                [shard(4 * claim + num) for num in range(4)],
                directory,
                frozenset(),
                f'lost-{claim}',
            ).values()
        )
        self.assertEqual(sum(chosen.values()), 80)
        self.assertGreater(len(chosen), 25)
        self.assertLess(max(chosen.values()), 10)


class TestGossip(unittest.TestCase):
    """Digests and the differences that they find."""

    @hypothesis.given(
        st.lists(items, max_size=30), st.lists(items, max_size=30)
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_exchange_makes_tables_equal(
        self, ours: list[ObjectUpdate], theirs: list[ObjectUpdate]
    ) -> None:
        """After one exchange both know the newest live versions."""
        one, two = GossipTable(), GossipTable()
        for item in _consistent(ours):
            one.learn(item)
        for item in _consistent(theirs):
            two.learn(item)
        differing = one.digest().differing(two.digest())
        for item in two.newer_than(one.versions(differing), differing):
            one.learn(item)
        for item in one.newer_than(two.versions(differing), differing):
            two.learn(item)
        self.assertEqual(one.digest(), two.digest())

    def test_older_version_is_ignored(self) -> None:
        """An older version does not replace a newer one."""
        table = GossipTable()
        name = ObjectName('config/booking')
        self.assertTrue(table.learn(ObjectUpdate(name, Version(5), 'new')))
        self.assertFalse(table.learn(ObjectUpdate(name, Version(4), 'old')))
        kept = table.get(name)
        assert kept is not None
        self.assertEqual(kept.text, 'new')


class TestOddRecords(unittest.TestCase):
    """Records that another writer has left."""

    # A record that raised another error ended the task that read it.
    def test_odd_record_is_malformed(self) -> None:
        """Nested or too large fields raise `MalformedMessageError`."""
        good = (
            '{"node":"n","address":"a","region":"r","zone":"z","services":[],'
            '"state":"ACTIVE","claimant":null,"standby":null,"serial":1,'
            '"owned":{"s":{"1":2}},"outgoing":{}}'
        )
        self.assertEqual(decode_record(good).node, 'n')
        for old, new in (
            ('"serial":1', '"serial":1e999'),
            ('"serial":1', '"serial":99999999999999999999'),
            ('{"1":2}', '{"1":1e999}'),
            ('{"1":2}', '{"1":99999999999999999999}'),
            ('"claimant":null', '"claimant":[]'),
            ('"standby":null', '"standby":7'),
            (good, '[' * 100_000),
        ):
            with self.subTest(new=new[:30]):
                with self.assertRaises(MalformedMessageError):
                    decode_record(good.replace(old, new))


class TestRecords(unittest.TestCase):
    """Node records as text."""

    def test_round_trip(self) -> None:
        """A record survives encoding."""
        record = NodeRecord(
            profile('a.1', 'z'),
            NodeState.LEAVING,
            None,
            NodeId('b.1'),
            {shard(1): Epoch(4)},
            {shard(2): Grant(Epoch(3), NodeId('c.1'))},
            7,
        )
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_garbage_is_refused(self) -> None:
        """Malformed text of any kind raises the same error."""
        texts = ('', '[]', '{}', '{"node": 1}', '"x"', '{"owned": 3}', 'null')
        for text in texts:
            with self.subTest(text=text):
                with self.assertRaises(errors.MalformedMessageError):
                    decode_record(text)

    def test_standbys_are_in_the_other_zone(self) -> None:
        """The loss of a zone does not take a holder and its standby."""
        live = [
            NodeRecord(profile(f'n{num}', f'z{num % 2}')) for num in range(10)
        ]
        live.append(NodeRecord(profile('far', 'z9', 'plovdiv')))
        zones = {record.node: record.profile.zone for record in live}
        standbys = []
        for record in live[:10]:
            standby = choose_standby(record.profile, live, frozenset())
            assert standby is not None
            self.assertNotEqual(zones[standby], record.profile.zone)
            standbys.append(standby)
        self.assertEqual(len(set(standbys)), 10)
        self.assertIsNone(choose_standby(live[10].profile, live, frozenset()))


class TestSelection(unittest.TestCase):
    """Nodes for services without keys, and classes of routes."""

    def test_better_of_two(self) -> None:
        """The slower of two is not chosen."""
        table = LatencyTable()
        slow, quick = NodeId('slow'), NodeId('quick')
        for _ in range(20):
            for node, took_ms in ((slow, 90), (quick, 3)):
                table.begin(node)
                table.end(node, took_ms)
        draws = iter((0.0, 0.9))
        chosen = best_of_two([slow, quick], table, lambda: next(draws))
        self.assertEqual(chosen, quick)
        self.assertIsNone(best_of_two([], table, lambda: 0.5))

    def test_failures_are_not_fast(self) -> None:
        """A node that fails fast must not look good."""
        table = LatencyTable()
        bad, good = NodeId('bad'), NodeId('good')
        for _ in range(10):
            table.begin(bad)
            table.record_failure(bad)
            table.end(bad, 0)
            table.begin(good)
            table.end(good, 5)
        self.assertGreater(table.cost(bad), table.cost(good))

    def test_learned_class(self) -> None:
        """A route that runs many times longer than others is long."""
        classifier = RouteClassifier()
        for _ in range(10):
            classifier.observe('GET /slots', 5)
            classifier.observe('GET /export', 900)
        learned = ServiceClass.LEARNED
        self.assertIs(
            classifier.resolve('GET /export', learned), ServiceClass.LONG
        )
        self.assertIs(
            classifier.resolve('GET /slots', learned), ServiceClass.SHORT
        )


def _consistent(found: list[ObjectUpdate]) -> list[ObjectUpdate]:
    """Give each version of an object one text, as the store does."""
    return [
        ObjectUpdate(
            item.name,
            item.version,
            None if item.version % 3 == 0 else f'v{item.version}',
        )
        for item in found
    ]
