"""Failures of a target whose status reads as "not run" to callers."""

import dataclasses
import itertools
from http import HTTPStatus
from typing import Any, cast
from unittest import TestCase, mock

from savoryhold.core.clock import BootClock
from savoryhold.core.verdict import Verdict
from savoryhold.mesh.requests import (
    BusyError,
    RelayedAnswer,
    ShedError,
    UnprovenRefusalError,
)
from savoryhold.mesh.target_calls import TargetCalls
from savoryhold.mesh.tests.fleet import Fleet
from savoryhold.mesh.tests.test_target_restarts import booking
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.wire import ClientAnswer, HeaderNames

NAMES = HeaderNames(answer_signature=b'X-Signature')
SIGNED = b'x-signature'
NOT_RUN = NAMES.not_run.lower()
EARNING_S = 12  # of requests that earn the budget for a retry
REFUSALS = (408, 421, 429, 503)


class TestUnprovenRefusals(TestCase):
    """Which verdict an answer with such a status has."""

    # A booking that had run was answered with the 503 of its target, so that
    # its caller booked once more.
    def test_unmarked_refusal_of_a_booking_may_have_run(self) -> None:
        """Callers get a status that promises nothing."""
        for status in REFUSALS:
            with self.subTest(status=status):
                with self.assertRaises(UnprovenRefusalError) as caught:
                    check(status, SIGNED)
                self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
                self.assertNotIn(caught.exception.status, REFUSALS)
        with self.assertRaises(UnprovenRefusalError):
            check(503)

    def test_marked_refusal_has_not_run(self) -> None:
        """The mark decides, and an unsigned 421 of another target."""
        for status in REFUSALS:
            with self.subTest(status=status), self.assertRaises(ShedError):
                check(status, NOT_RUN)
        with self.assertRaises(ShedError):
            check(421)

    def test_other_answers_are_returned_unchanged(self) -> None:
        """Failures of bookings, and all that repeatable requests get."""
        for status in (200, 400, 404, 500, 504):
            self.assertEqual(check(status, SIGNED).status, status)
        for status in (408, 429, 503):
            answer = check(status, SIGNED, repeatable=True)
            self.assertEqual(answer.status, status)
            self.assertIn(SIGNED, answer.head)


class TestRefusedRetries(VirtualTimeCase):
    """A request that has run with a failure, and is refused when repeated."""

    # The refusal of the second target hid the answer of the first.
    async def test_failure_is_delivered_if_the_retry_is_refused(self) -> None:
        """A request that has run is not answered 503."""
        fleet = Fleet(6, seed=1)
        await fleet.run_load(EARNING_S, {'/files/': 90.0})
        node = fleet.nodes[0]
        ask = mock.AsyncMock(
            side_effect=itertools.chain(
                [RelayedAnswer(500, b'', b'')],
                itertools.repeat(BusyError('full')),
            )
        )
        with mock.patch.object(node.ingress, '_ask', ask):
            caller = node.ask('/files/', 'r1')
            status = await caller.status
        self.assertEqual(status, HTTPStatus.INTERNAL_SERVER_ERROR)
        self.assertGreater(ask.await_count, 1)


def check(
    status: int, *fields: bytes, repeatable: bool = False
) -> RelayedAnswer:
    """Pass an answer with these header fields through the check."""
    headers = [(name, b'1') for name in fields]
    answer = ClientAnswer(status, headers, dict(headers), b'')
    req = dataclasses.replace(booking(0), repeatable=repeatable)
    calls = TargetCalls(cast(Any, mock.Mock()), NAMES, BootClock())
    return calls.check(req, answer, 1)
