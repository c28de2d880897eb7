"""Grants of key ranges across restarts, claims, leases and handovers."""

import unittest

from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version
from savoryhold.ranges import (
    KEY_COUNT,
    LEASE_MS,
    GrantMachine,
    GrantReply,
    HeldSpan,
    OwnershipChange,
    RangeTable,
    ReleaseConfirmation,
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
    """Return a table with the given rows."""
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
    """Base class of tests that drive a `GrantMachine`."""

    def setUp(self) -> None:
        """Create a machine that starts at time 0."""
        self.machine = GrantMachine(ME, 0)

    def learn(self, found: RangeTable, now: int) -> None:
        """Pass a table that was read at this time to the machine."""
        self.machine.learn(found, now)
        self.machine.record_proof(found.version, now)

    def spans(self, reply: GrantReply | None) -> list[Span]:
        """Return the spans that a reply grants."""
        self.assertIsNotNone(reply)
        assert reply is not None
        return [grant.span for grant in reply.grants]


class TestRestart(GrantCase):
    """A process that starts with rows of an earlier process of its node."""

    def test_holds_of_a_running_target_are_extended(self) -> None:
        """The spans that the target reports as held are extended at once."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        reply = self.machine.on_report(report(LIFE, (ALL, 3 * 1024 + 2)), 10)
        self.assertEqual(self.spans(reply), [ALL])
        assert reply is not None
        self.assertEqual(reply.grants[0].fence, 3 * 1024 + 2)
        self.assertEqual(self.machine.stale_rows(), [])

    def test_new_target_needs_a_new_epoch(self) -> None:
        """A target that holds nothing gets no fence of an earlier epoch."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        reply = self.machine.on_report(report(LIFE), 10)
        self.assertEqual(self.spans(reply), [])
        self.assertEqual(self.machine.stale_rows(), [row(ALL, ME, 3)])
        self.learn(table(2, row(ALL, ME, 4)), 20)
        reply = self.machine.on_report(report(LIFE), 30)
        self.assertEqual(self.spans(reply), [ALL])

    def test_report_that_comes_before_the_table(self) -> None:
        """Holds reported before the table is known are adopted later.

        They used to be lost, so that their rows got a new epoch.
        """
        self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
        self.learn(table(1, row(ALL, ME, 3)), 5)
        self.assertEqual(self.machine.stale_rows(), [])
        self.assertEqual(self.spans(self.machine.reply(10)), [ALL])

    def test_first_report_is_answered_once_a_proof_is_there(self) -> None:
        """A reply to the first report is possible once the table is proved.

        A restarted node used to answer the first report at once and without
        grants, as it had no proof yet, so that its target had no keys until a
        later report.
        """
        self.machine.learn(table(1, row(ALL, ME, 3)), 0)
        self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
        self.assertFalse(self.machine.can_reply(10))
        self.machine.record_proof(1, 12)
        self.assertTrue(self.machine.can_reply(20))
        self.assertEqual(self.spans(self.machine.reply(20)), [ALL])

    def test_first_report_is_answered_once_epochs_are_new(self) -> None:
        """After a power loss the reply also waits for the new epochs."""
        self.learn(table(1, row(ALL, ME, 3)), 0)
        self.machine.record_report(report(LIFE))
        self.assertFalse(self.machine.can_reply(10))
        self.learn(table(2, row(ALL, ME, 4)), 20)
        self.assertTrue(self.machine.can_reply(30))
        self.assertEqual(self.spans(self.machine.reply(30)), [ALL])

    def test_confirmation_does_not_replace_the_new_epoch(self) -> None:
        """A confirmation does not make an inherited row grantable.

        It used to: after a power loss at all machines, the new target got the
        same fence as the target before it.
        """
        inherited = row(ALL, ME, 3, OTHER)
        self.learn(table(1, inherited), 0)
        self.machine.on_report(report(LIFE), 10)
        self.machine.apply_confirmation(ReleaseConfirmation(ALL, Epoch(3)))
        reply = self.machine.on_report(report(LIFE), 20)
        self.assertEqual(self.spans(reply), [])
        self.assertEqual(self.machine.stale_rows(), [inherited])

    def test_wait_does_not_replace_the_new_epoch(self) -> None:
        """The end of the lease wait does not make the row grantable, either."""
        inherited = row(ALL, ME, 3, OTHER)
        self.learn(table(1, inherited), 0)
        self.machine.on_report(report(LIFE), 10)
        self.machine.record_proof(1, LEASE_MS + 10)
        reply = self.machine.on_report(report(LIFE), LEASE_MS + 20)
        self.assertEqual(self.spans(reply), [])

    def test_grants_of_the_previous_process_are_dropped_first(self) -> None:
        """A handover waits until the target drops grants of the old process.

        A new process used to treat a span that it had not granted itself as
        not held, and handed it over while its target still held it.
        """
        mine = table(1, row(LOW, ME, 3), row(HIGH, OTHER, 1))
        held = report(LIFE, (LOW, 3 * 1024))
        self.machine.learn(mine, 0)
        self.assertIsNone(self.machine.on_report(held, 10))
        self.machine.start_handover(LOW, OTHER)
        self.assertEqual(self.machine.completed_handovers(15), {})
        self.machine.record_proof(1, 16)
        self.machine.on_report(held, 20)
        self.assertEqual(self.machine.completed_handovers(25), {})
        self.machine.on_report(report(LIFE), 30)
        self.assertEqual(self.machine.completed_handovers(35), {LOW: OTHER})

    def test_confirmation_waits_for_grants_of_the_previous_process(
        self,
    ) -> None:
        """No release is confirmed while the target reports the span."""
        self.machine.learn(
            table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2)), 0
        )
        self.machine.on_report(report(LIFE, (LOW, 2048)), 10)
        self.assertIsNone(self.machine.release_confirmation(LOW, Epoch(3), 15))
        self.machine.on_report(report(LIFE), 20)
        self.assertIsNotNone(
            self.machine.release_confirmation(LOW, Epoch(3), 25)
        )

    # After a delayed report of a former incarnation two targets got the same
    # fence, one after the other.
    def test_incarnation_after_an_adopted_one_needs_a_new_epoch(self) -> None:
        """The adopted one may not be the last one before the restart."""
        inherited = row(ALL, ME, 3)
        for report_first in (True, False):
            with self.subTest(report_first=report_first):
                self.setUp()
                if report_first:
                    self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
                self.learn(table(1, inherited), 0)
                self.machine.record_report(report(LIFE, (ALL, 3 * 1024)))
                reply = self.machine.on_report(
                    report(SECOND_LIFE), 20, former_ended=True
                )
                self.assertEqual(self.spans(reply), [])
                self.assertEqual(self.machine.stale_rows(), [inherited])
                self.learn(table(2, row(ALL, ME, 4)), 30)
                reply = self.machine.on_report(report(SECOND_LIFE), 40)
                self.assertEqual(self.spans(reply), [ALL])

    # A claim had made the row longer; the keys of the claimed part were granted
    # while the target of the node before still held them.
    def test_row_is_adopted_as_far_as_it_is_held(self) -> None:
        """The rest waits for its previous owner, under a new epoch."""
        self.learn(table(1, row(ALL, ME, 3, OTHER)), 0)
        reply = self.machine.on_report(report(LIFE, (HIGH, 3 * 1024)), 10)
        self.assertEqual(self.spans(reply), [HIGH])
        self.assertEqual(self.machine.stale_rows(), [row(LOW, ME, 3, OTHER)])

    # A process that learned an old copy of the table first granted rows that
    # the process before had gained since, with the same fence.
    def test_rows_of_a_copy_that_was_behind_are_inherited(self) -> None:
        """Until the copy is as new as the table was after the start."""
        self.machine.learn(table(1, row(ALL, OTHER, 1)), 0)
        gained = row(ALL, ME, 2)
        self.learn(table(3, gained), 10)
        reply = self.machine.on_report(report(LIFE), 20)
        self.assertEqual(self.spans(reply), [])
        self.assertEqual(self.machine.stale_rows(), [gained])

    def test_new_life_gets_higher_fences(self) -> None:
        """Each new incarnation of the target gets a higher fence."""
        self.learn(table(1, row(LOW, OTHER, 1), row(HIGH, OTHER, 1)), 0)
        self.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 1)
        first = self.machine.on_report(report(LIFE), 10)
        second = self.machine.on_report(
            report(SECOND_LIFE), 20, former_ended=True
        )
        assert first is not None
        assert second is not None
        self.assertGreater(second.grants[0].fence, first.grants[0].fence)


class TestClaim(GrantCase):
    """A row that was claimed from an owner that is considered lost."""

    def setUp(self) -> None:
        """Own nothing at first, then a claimed row."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.claimed = row(ALL, ME, 2, OTHER)
        self.learn(table(2, self.claimed), 1000)

    def test_claimed_row_waits_for_the_lease(self) -> None:
        """The previous owner may extend grants until its proof expires."""
        self.machine.record_proof(2, 1000 + LEASE_MS - 1)
        early = self.machine.on_report(report(LIFE), 1000 + LEASE_MS - 1)
        self.assertEqual(self.spans(early), [])
        due = self.machine.on_report(report(LIFE), 1000 + LEASE_MS)
        self.assertEqual(self.spans(due), [ALL])

    def test_confirmation_ends_the_wait(self) -> None:
        """A confirmation of the previous owner ends the lease wait."""
        release = ReleasedSpan(LOW, 'token')
        self.machine.apply_confirmation(
            ReleaseConfirmation(ALL, Epoch(2), (release,))
        )
        reply = self.machine.on_report(report(LIFE), 1010)
        self.assertEqual(self.spans(reply), [LOW, HIGH])
        assert reply is not None
        self.assertEqual(reply.grants[0].token, 'token')

    def test_confirmation_of_another_epoch_is_ignored(self) -> None:
        """A confirmation for an earlier epoch does not end the wait."""
        self.machine.apply_confirmation(ReleaseConfirmation(ALL, Epoch(1)))
        reply = self.machine.on_report(report(LIFE), 1010)
        self.assertEqual(self.spans(reply), [])

    def test_two_claims_leave_the_previous_owner_unknown(self) -> None:
        """After a second claim, no single node can confirm the release."""
        rows = table(2, self.claimed).with_changes(
            [OwnershipChange(ALL, NodeId('third'))]
        )
        self.assertEqual(rows[0].previous, '*')


class TestLease(GrantCase):
    """Grants last as long as the proof that the table is current."""

    def setUp(self) -> None:
        """Own all keys."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.learn(table(2, row(ALL, ME, 2)), 0)

    def test_hold_ends_within_the_lease(self) -> None:
        """Even on a slow clock a hold ends before the lease does."""
        for now in range(0, LEASE_MS, 100):
            reply = self.machine.on_report(report(LIFE), now)
            if reply is not None:
                self.assertLess(now + reply.hold_ms * 1.02, LEASE_MS)

    def test_hold_keeps_to_the_limit(self) -> None:
        """The hold respects a lower limit from the settings."""
        machine = GrantMachine(ME, 0, 1200)
        machine.learn(table(1, row(ALL, OTHER, 1)), 0)
        machine.learn(table(2, row(ALL, ME, 2)), 0)
        machine.record_proof(2, 0)
        reply = machine.on_report(report(LIFE), 10)
        assert reply is not None
        self.assertEqual(reply.hold_ms, 1200)

    def test_nothing_is_extended_without_proof(self) -> None:
        """No grant is extended when the proof is about to expire."""
        self.assertIsNone(self.machine.on_report(report(LIFE), LEASE_MS - 400))

    def test_proof_outlives_changes_of_other_rows(self) -> None:
        """A proof of an older version is valid if the own rows are the same.

        It used to be rejected, so that with frequent changes of the table
        each node read the store itself, about once a second.
        """
        machine = GrantMachine(ME, 0)
        machine.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 0)
        third = NodeId('third')
        machine.learn(table(3, row(LOW, ME, 2), row(HIGH, third, 2)), 5)
        machine.record_proof(2, 40)
        self.assertEqual(machine.proved_at, 40)

    def test_proof_from_before_an_own_row_is_ignored(self) -> None:
        """A version from before the row was owned proves nothing about it."""
        machine = GrantMachine(ME, 0)
        machine.learn(table(2, row(LOW, ME, 2), row(HIGH, OTHER, 1)), 0)
        machine.learn(table(3, row(LOW, ME, 2), row(HIGH, ME, 2)), 5)
        machine.record_proof(2, 40)
        self.assertLess(machine.proved_at, 0)

    def test_proof_of_a_newer_version_is_ignored(self) -> None:
        """A proof of a newer version than the copy extends nothing."""
        self.machine.record_proof(3, LEASE_MS - 400)
        self.assertIsNone(self.machine.on_report(report(LIFE), LEASE_MS - 400))


class TestHandover(GrantCase):
    """A span that is handed over to another node."""

    def setUp(self) -> None:
        """Own all keys and grant them to a target."""
        super().setUp()
        self.learn(table(1, row(ALL, OTHER, 1)), 0)
        self.learn(table(2, row(ALL, ME, 2)), 0)
        self.machine.on_report(report(LIFE), 0)

    def test_handover_completes_once_the_target_has_dropped_it(self) -> None:
        """A reply omits the span, and a later report no longer lists it."""
        self.assertTrue(self.machine.start_handover(LOW, OTHER))
        self.assertEqual(self.machine.completed_handovers(5), {})
        reply = self.machine.on_report(report(LIFE, (ALL, 2048)), 10)
        self.assertEqual(self.spans(reply), [HIGH])
        self.assertEqual(self.machine.completed_handovers(15), {})
        self.machine.on_report(report(LIFE, (HIGH, 2048)), 20)
        self.assertEqual(self.machine.completed_handovers(25), {LOW: OTHER})

    def test_release_is_confirmed_only_after_the_drop(self) -> None:
        """No release is confirmed as long as the target holds the span."""
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
        confirmation = self.machine.release_confirmation(LOW, Epoch(3), 45)
        self.assertEqual(
            confirmation, ReleaseConfirmation(LOW, Epoch(3), (token,))
        )

    def test_restarted_owner_waits_for_a_report(self) -> None:
        """A new process does not know the grants of the previous one."""
        fresh = GrantMachine(ME, 0)
        moved = table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2))
        fresh.learn(moved, 0)
        self.assertIsNone(fresh.release_confirmation(LOW, Epoch(3), 5))

    # A late report of a target that had ended made a new process confirm keys
    # that the running target held.
    def test_single_report_after_a_restart_releases_nothing(self) -> None:
        """It may be late; another one of the same target is not."""
        moved = table(3, row(LOW, OTHER, 3, ME), row(HIGH, ME, 2))
        for reports, at in ((1, 15), (2, 15), (1, LEASE_MS)):
            with self.subTest(reports=reports, at=at):
                fresh = GrantMachine(ME, 0)
                fresh.learn(moved, 0)
                for _ in range(reports):
                    fresh.on_report(report(LIFE), 10)
                confirmed = fresh.release_confirmation(LOW, Epoch(3), at)
                self.assertEqual(confirmed is None, (reports, at) == (1, 15))

    # The same for keys that a new process hands over.
    def test_single_report_after_a_restart_completes_no_handover(self) -> None:
        """The handover waits for another report, or for the former grants."""
        fresh = GrantMachine(ME, 0)
        fresh.learn(table(1, row(ALL, ME, 2)), 0)
        fresh.record_proof(1, 0)
        fresh.on_report(report(LIFE), 5)
        fresh.learn(table(2, row(ALL, ME, 3)), 10)
        fresh.record_proof(2, 10)
        fresh.start_handover(LOW, OTHER)
        fresh.reply(15)
        self.assertEqual(fresh.completed_handovers(20), {})
        fresh.on_report(report(LIFE), 25)
        self.assertEqual(fresh.completed_handovers(30), {LOW: OTHER})

    def test_span_of_a_waiting_row_is_not_handed_over(self) -> None:
        """A span that may not be granted may not be handed over either."""
        self.learn(table(3, row(ALL, OTHER, 3, ME)), 10)
        self.learn(table(4, row(ALL, ME, 4, OTHER)), 20)
        self.assertFalse(self.machine.start_handover(LOW, OTHER))

    def test_span_is_not_handed_over_to_its_own_node(self) -> None:
        """Such a handover made the target drop the span again and again."""
        self.assertFalse(self.machine.start_handover(LOW, ME))

    def test_dead_target_frees_its_spans(self) -> None:
        """After its process has ended, a target holds no span."""
        self.machine.drop_holds()
        self.machine.start_handover(LOW, OTHER)
        self.assertEqual(self.machine.completed_handovers(5), {LOW: OTHER})


class TestSuccession(GrantCase):
    """A report of another incarnation than the one that holds keys."""

    def setUp(self) -> None:
        """Let the first incarnation hold all keys, and hand some over."""
        super().setUp()
        self.learn(table(1, row(ALL, ME, 1)), 0)
        self.machine.learn(table(2, row(ALL, ME, 2)), 0)
        self.machine.record_proof(2, 0)
        self.machine.on_report(report(LIFE), 0)
        self.assertTrue(self.machine.may_send(0, 10))
        self.ends_at = self.machine.hold_until

    # A report of another incarnation counted as proof that the former had
    # ended, so that its keys were confirmed as released while it held them.
    def test_former_incarnation_keeps_its_keys_until_their_end(self) -> None:
        """Nothing is granted, handed over or confirmed before."""
        self.machine.start_handover(LOW, OTHER)
        self.machine.record_report(report(SECOND_LIFE))
        for now, over in ((20, False), (self.ends_at, True)):
            with self.subTest(now=now):
                self.machine.record_proof(2, now)
                reply = self.machine.reply(now)
                self.assertEqual(reply is not None, over)
                completed = self.machine.completed_handovers(now)
                self.assertEqual(bool(completed), over)
        reply = self.machine.reply(self.ends_at)
        self.assertEqual(self.spans(reply), [HIGH])

    def test_keys_of_the_former_are_not_confirmed_as_released(self) -> None:
        """The next owner waits until the grants of the former end."""
        self.machine.record_report(report(SECOND_LIFE))
        self.learn(table(3, row(ALL, OTHER, 3, ME)), 20)
        for now, over in ((20, False), (self.ends_at, True)):
            found = self.machine.release_confirmation(ALL, Epoch(3), now)
            self.assertEqual(found is not None, over)

    # A report of another service had the same effect.
    def test_keys_are_held_on_without_a_target_of_the_service(self) -> None:
        """Grants end by time, as the process that has them may still run."""
        self.machine.mark_no_target()
        self.learn(table(3, row(ALL, OTHER, 3, ME)), 20)
        for now, over in ((20, False), (self.ends_at, True)):
            found = self.machine.release_confirmation(ALL, Epoch(3), now)
            self.assertEqual(found is not None, over)

    def test_incarnation_that_has_ended_holds_nothing(self) -> None:
        """Its successor gets the keys at once, with a higher fence."""
        first = self.machine.on_report(report(LIFE), 15)
        assert first is not None
        self.machine.record_report(report(SECOND_LIFE), former_ended=True)
        reply = self.machine.reply(20)
        self.assertEqual(self.spans(reply), [ALL])
        assert reply is not None
        self.assertGreater(reply.grants[0].fence, first.grants[0].fence)
