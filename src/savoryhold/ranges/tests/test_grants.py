"""Grants: who may hold which keys, through restarts, moves and waits."""

import unittest

from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version
from savoryhold.ranges import (
    KEY_COUNT,
    LEASE_MS,
    OwnershipChange,
    ReleaseConfirmation,
    GrantMachine,
    GrantReply,
    HeldSpan,
    RangeTable,
    ReleasedSpan,
    Report,
    Row,
    Span,
    TargetLife,
)

ME = NodeId('me')
OTHER = NodeId('other')
SERVICE = ServiceName('booking')
ALL = Span(0, KEY_COUNT - 1)
LOW = Span(0, 999)
HIGH = Span(1000, KEY_COUNT - 1)
LIFE = TargetLife('t-1', 100)
SECOND_LIFE = TargetLife('t-2', 200)


def table(version: int, *rows: Row) -> RangeTable:
    """Return a table of some rows."""
    return RangeTable(SERVICE, Version(version), rows)


def row(
    span: Span, owner: NodeId, epoch: int, previous: NodeId | str = ''
) -> Row:
    """Return a row."""
    return Row(span, owner, Epoch(epoch), NodeId(previous))


def report(
    life: TargetLife,
    *held: tuple[Span, int],
    released: tuple[ReleasedSpan, ...] = (),
) -> Report:
    """Return a target's report."""
    rows = tuple(HeldSpan(span, fence) for span, fence in held)
    return Report(life, rows, released)


class GrantCase(unittest.TestCase):
    """A machine that is told of tables and reports."""

    def setUp(self) -> None:
        """Start the machine at time 0 with a table of another owner."""
        self.machine = GrantMachine(ME, 0)

    def learn(self, found: RangeTable, now: int) -> None:
        """Take in a table that was read at this moment."""
        self.machine.learn(found, now)
        self.machine.record_proof(found.version, now)

    def spans(self, reply: GrantReply | None) -> list[Span]:
        """Return what a reply grants."""
        self.assertIsNotNone(reply)
        assert reply is not None
        return [grant.span for grant in reply.grants]


class TestRestart(GrantCase):
    """A process that starts beside rows that an earlier life owned."""

    def test_living_target_goes_on(self) -> None:
        """What the target reports as held is extended at once."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        reply = self.machine.on_report(report(LIFE, (ALL, 3 * 1024 + 2)), 10)
        self.assertEqual(self.spans(reply), [ALL])
        assert reply is not None
        self.assertEqual(reply.grants[0].fence, 3 * 1024 + 2)
        self.assertEqual(self.machine.stale(), [])

    def test_new_target_needs_a_new_epoch(self) -> None:
        """A target that holds nothing gets no fence of an earlier life."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        reply = self.machine.on_report(report(LIFE), 10)
        self.assertEqual(self.spans(reply), [])
        self.assertEqual(self.machine.stale(), [row(ALL, ME, 3)])
        self.learn(table(2, row(ALL, ME, 4)), 20)
        reply = self.machine.on_report(report(LIFE), 30)
        self.assertEqual(self.spans(reply), [ALL])

    def test_report_that_comes_before_the_table(self) -> None:
        """What it holds was forgotten, and its rows got a new epoch."""
        self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
        self.learn(table(1, row(ALL, ME, 3)), 5)
        self.assertEqual(self.machine.stale(), [])
        self.assertEqual(self.spans(self.machine.reply(10)), [ALL])

    def test_first_report_is_answered_once_a_proof_is_there(self) -> None:
        """A restarted node left its target without keys until a later report.

        The reply to the first one said nothing, for want of a proof.
        """
        self.machine.learn(table(1, row(ALL, ME, 3)), 0)
        self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
        self.assertFalse(self.machine.can_reply(10))
        self.machine.record_proof(1, 12)
        self.assertTrue(self.machine.can_reply(20))
        self.assertEqual(self.spans(self.machine.reply(20)), [ALL])

    def test_first_report_is_answered_once_epochs_are_new(self) -> None:
        """After a loss of power the reply waits for the write, too."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        self.machine.record_report(report(LIFE))
        self.assertFalse(self.machine.can_reply(10))
        self.learn(table(2, row(ALL, ME, 4)), 20)
        self.assertTrue(self.machine.can_reply(30))
        self.assertEqual(self.spans(self.machine.reply(30)), [ALL])

    def test_word_does_not_replace_the_new_epoch(self) -> None:
        """A former owner's word cleared a row that an earlier life granted.

        All machines had lost power; the new target got the fence that the
        target before it had had.
        """
        inherited = row(ALL, ME, 3, OTHER)
        self.learn(table(1, inherited), 0)
        self.machine.on_report(report(LIFE), 10)
        self.machine.apply_confirmation(ReleaseConfirmation(ALL, Epoch(3)))
        reply = self.machine.on_report(report(LIFE), 20)
        self.assertEqual(self.spans(reply), [])
        self.assertEqual(self.machine.stale(), [inherited])

    def test_wait_does_not_replace_the_new_epoch(self) -> None:
        """Nor does the end of the wait for the lease."""
        inherited = row(ALL, ME, 3, OTHER)
        self.learn(table(1, inherited), 0)
        self.machine.on_report(report(LIFE), 10)
        self.machine.record_proof(1, LEASE_MS + 10)
        reply = self.machine.on_report(report(LIFE), LEASE_MS + 20)
        self.assertEqual(self.spans(reply), [])

    def test_what_the_last_life_granted_is_dropped_first(self) -> None:
        """A new process gave away what its target held from the last one.

        It had granted nothing itself, and took that for nothing held.
        """
        mine = table(1, row(LOW, ME, 3), row(HIGH, OTHER, 1))
        held = report(LIFE, (LOW, 3 * 1024))
        self.machine.learn(mine, 0)
        self.assertIsNone(self.machine.on_report(held, 10))
        self.machine.start_handover(LOW, OTHER)
        self.assertEqual(self.machine.given(15), {})
        self.machine.record_proof(1, 16)
        self.machine.on_report(held, 20)
        self.assertEqual(self.machine.given(25), {})
        self.machine.on_report(report(LIFE), 30)
        self.assertEqual(self.machine.given(35), {LOW: OTHER})

    def test_word_on_what_the_last_life_granted(self) -> None:
        """Nor is a word given while the target reports the span."""
        self.machine.learn(
            table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2)), 0
        )
        self.machine.on_report(report(LIFE, (LOW, 2048)), 10)
        self.assertIsNone(self.machine.release_confirmation(LOW, Epoch(3), 15))
        self.machine.on_report(report(LIFE), 20)
        self.assertIsNotNone(
            self.machine.release_confirmation(LOW, Epoch(3), 25)
        )

    def test_new_life_gets_higher_fences(self) -> None:
        """Within a process, each life of the target has a higher fence."""
        self.learn(table(1, row(LOW, OTHER, 1), row(HIGH, OTHER, 1)), 0)
        self.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 1)
        first = self.machine.on_report(report(LIFE), 10)
        second = self.machine.on_report(report(SECOND_LIFE), 20)
        assert first is not None
        assert second is not None
        self.assertGreater(second.grants[0].fence, first.grants[0].fence)


class TestClaim(GrantCase):
    """A row that was taken from an owner that fell silent."""

    def setUp(self) -> None:
        """Own nothing at first, then a claimed row."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.claimed = row(ALL, ME, 2, OTHER)
        self.learn(table(2, self.claimed), 1000)

    def test_claimed_row_waits_for_the_lease(self) -> None:
        """The former owner may extend grants until its copy is too old."""
        self.machine.record_proof(2, 1000 + LEASE_MS - 1)
        early = self.machine.on_report(report(LIFE), 1000 + LEASE_MS - 1)
        self.assertEqual(self.spans(early), [])
        due = self.machine.on_report(report(LIFE), 1000 + LEASE_MS)
        self.assertEqual(self.spans(due), [ALL])

    def test_word_ends_the_wait(self) -> None:
        """The former owner's word makes the wait needless."""
        release = ReleasedSpan(LOW, 'token')
        self.machine.apply_confirmation(
            ReleaseConfirmation(ALL, Epoch(2), (release,))
        )
        reply = self.machine.on_report(report(LIFE), 1010)
        self.assertEqual(self.spans(reply), [LOW, HIGH])
        assert reply is not None
        self.assertEqual(reply.grants[0].token, 'token')

    def test_word_of_another_epoch_is_passed_over(self) -> None:
        """A word on an earlier epoch says nothing of this one."""
        self.machine.apply_confirmation(ReleaseConfirmation(ALL, Epoch(1)))
        reply = self.machine.on_report(report(LIFE), 1010)
        self.assertEqual(self.spans(reply), [])

    def test_row_that_was_never_granted_leaves_no_one_to_ask(self) -> None:
        """After two claims in a row the word of the second is not enough."""
        rows = table(2, self.claimed).changed(
            [OwnershipChange(ALL, NodeId('third'))]
        )
        self.assertEqual(rows[0].previous, '*')


class TestLease(GrantCase):
    """Grants end with the proof that the table is current."""

    def setUp(self) -> None:
        """Own all keys."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.learn(table(2, row(ALL, ME, 2)), 0)

    def test_hold_ends_within_the_lease(self) -> None:
        """A hold, stretched by a slow clock, ends before the lease does."""
        for now in range(0, LEASE_MS, 100):
            reply = self.machine.on_report(report(LIFE), now)
            if reply is not None:
                self.assertLess(now + reply.hold_ms * 1.02, LEASE_MS)

    def test_hold_keeps_to_the_limit(self) -> None:
        """An installation may allow less than the usual hold."""
        machine = GrantMachine(ME, 0, 1200)
        machine.learn(table(1, row(ALL, OTHER, 1)), 0)
        machine.learn(table(2, row(ALL, ME, 2)), 0)
        machine.record_proof(2, 0)
        reply = machine.on_report(report(LIFE), 10)
        assert reply is not None
        self.assertEqual(reply.hold_ms, 1200)

    def test_nothing_is_extended_without_proof(self) -> None:
        """An old copy of the table extends nothing."""
        self.assertIsNone(self.machine.on_report(report(LIFE), LEASE_MS - 400))

    def test_proof_outlives_changes_of_other_rows(self) -> None:
        """In a busy table, a proof of the version before was worth nothing.

        Each node then read the store itself, about once a second.
        """
        machine = GrantMachine(ME, 0)
        machine.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 0)
        third = NodeId('third')
        machine.learn(table(3, row(LOW, ME, 2), row(HIGH, third, 2)), 5)
        machine.record_proof(2, 40)
        self.assertEqual(machine.proved_at, 40)

    def test_proof_from_before_an_own_row_counts_for_nothing(self) -> None:
        """It does not show that the row was this node's then."""
        machine = GrantMachine(ME, 0)
        machine.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 0)
        machine.learn(table(3, row(LOW, ME, 2), row(HIGH, ME, 2)), 5)
        machine.record_proof(2, 40)
        self.assertLess(machine.proved_at, 0)

    def test_proof_of_another_version_counts_for_nothing(self) -> None:
        """A proof of a version that is not the copy is passed over."""
        self.machine.record_proof(3, LEASE_MS - 400)
        self.assertIsNone(self.machine.on_report(report(LIFE), LEASE_MS - 400))


class TestGive(GrantCase):
    """A span that is given to another node."""

    def setUp(self) -> None:
        """Own all keys, granted to a target."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.learn(table(2, row(ALL, ME, 2)), 0)
        self.machine.on_report(report(LIFE), 0)

    def test_span_is_given_once_the_target_has_dropped_it(self) -> None:
        """The reply leaves it out; a later report must not hold it."""
        self.assertTrue(self.machine.start_handover(LOW, OTHER))
        self.assertEqual(self.machine.given(5), {})
        reply = self.machine.on_report(report(LIFE, (ALL, 2048)), 10)
        self.assertEqual(self.spans(reply), [HIGH])
        self.assertEqual(self.machine.given(15), {})
        self.machine.on_report(report(LIFE, (HIGH, 2048)), 20)
        self.assertEqual(self.machine.given(25), {LOW: OTHER})

    def test_word_is_given_only_after_the_drop(self) -> None:
        """A former owner is silent as long as its target holds the span."""
        self.machine.on_report(report(LIFE, (ALL, 2048)), 10)
        moved = table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2))
        self.learn(moved, 20)
        self.assertIsNone(self.machine.release_confirmation(LOW, Epoch(3), 25))
        self.machine.on_report(report(LIFE, (ALL, 2048)), 30)
        self.assertIsNone(self.machine.release_confirmation(LOW, Epoch(3), 35))
        token = ReleasedSpan(LOW, 'token')
        self.machine.on_report(
            report(LIFE, (HIGH, 2048), released=(token,)), 40
        )
        word = self.machine.release_confirmation(LOW, Epoch(3), 45)
        self.assertEqual(word, ReleaseConfirmation(LOW, Epoch(3), (token,)))

    def test_restarted_owner_waits_for_a_report(self) -> None:
        """A new process does not know what its last life granted."""
        fresh = GrantMachine(ME, 0)
        moved = table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2))
        fresh.learn(moved, 0)
        self.assertIsNone(fresh.release_confirmation(LOW, Epoch(3), 5))

    def test_span_of_a_waiting_row_is_not_given(self) -> None:
        """What may not be granted may not be given, either."""
        self.learn(table(3, row(ALL, OTHER, 3, ME)), 10)
        self.learn(table(4, row(ALL, ME, 4, OTHER)), 20)
        self.assertFalse(self.machine.start_handover(LOW, OTHER))

    def test_span_is_not_given_to_its_own_node(self) -> None:
        """A span that left for its own node was dropped again and again."""
        self.assertFalse(self.machine.start_handover(LOW, ME))

    def test_dead_target_frees_its_spans(self) -> None:
        """A target whose process has ended holds nothing."""
        self.machine.target_lost()
        self.machine.start_handover(LOW, OTHER)
        self.assertEqual(self.machine.given(5), {LOW: OTHER})
