"""Fuzz test of calls that outlive their connections, and its mutation test.

Each mutant disables one or two of these rules, and the oracle must object:

- a call that is known is not run again;
- a call that has ended and is forgotten is not run again (floors);
- a call resumes at the same process only, not at one that was started since;
- a cancellation is sent again until it is confirmed;
- a call that its caller does not resume is cancelled;
- answers are kept until they are known to have arrived;
- a call that resumes is removed from its old connection;
- a call that is cancelled before it arrives is not run (tombstones), together
  with either of: a connection that was replaced starts no call; a newer
  connection takes the place of older ones (`LinkTakeover`).

Each of the last three rules alone is covered by another of them in these
simulations; ``peer/tests/test_served_calls.py`` tests each by itself.
"""

import asyncio
import contextlib
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests.call_fuzz import violations_of
from savoryhold.peer import PeerPool, messages
from savoryhold.peer.link import Link
from savoryhold.peer.resumable import ResumableCalls
from savoryhold.peer.served_calls import Arrival, ServedCall, ServedCalls
from savoryhold.peer.stream import LinkStream

SEEDS = range(100)  # one of which must detect each mutant

Rule = tuple[type, str, Callable[..., Any]]

_classify = ServedCalls.classify


def begin_on_retired_link(
    self: ServedCalls, *args: Any, retired: bool
) -> Arrival:
    """Accept a message as if its connection had not been replaced."""
    return _classify(self, *args, retired=False)


def begin_known_call_again(
    self: ServedCalls, *args: Any, retired: bool
) -> Arrival:
    """Run a call again that has been resumed."""
    arrival = _classify(self, *args, retired=retired)
    return Arrival.BEGIN if arrival is Arrival.RESUMED else arrival


def begin_forgotten_call(
    self: ServedCalls, *args: Any, retired: bool
) -> Arrival:
    """Run a call again that has ended and is forgotten."""
    arrival = _classify(self, *args, retired=retired)
    return Arrival.BEGIN if arrival is Arrival.ENDED else arrival


def forget_cancellation(self: ResumableCalls, *args: Any) -> None:
    """Confirm that a call has ended, but leave no tombstone."""
    self._send_ended(*args)


def keep_older_links(self: ResumableCalls) -> None:
    """Do not retire older connections."""


def keep_orphans(self: PeerPool, link: Link) -> None:
    """Do not cancel calls that nobody resumes."""


def discard_answers(self: ServedCall, message: messages.Message) -> None:
    """Send a message of an answer without keeping it."""
    self.drop_answers()
    self._write(message)


def cancel_once(self: LinkStream) -> None:
    """Send the cancellation of a call only once."""
    try:
        self.send(messages.Cancel())
    except LinkError:
        return


def keep_on_old_link(self: Link) -> list[LinkStream]:
    """Leave calls that are resumed on their old link, too."""
    return [call for call in self._calls.values() if call.movable]


async def move_to_any_process(
    self: PeerPool, old: Link, calls: list[LinkStream]
) -> None:
    """Move calls to any process that listens at the address."""
    try:
        async with asyncio.timeout(1):
            link = await self._next_link(old.address, calls)
    except (LinkError, TimeoutError):
        for call in calls:
            call.deliver(None)
        return
    self._resume_calls(link, calls)


Mutant = tuple[Rule, ...]

_retired: Rule = (ServedCalls, 'classify', begin_on_retired_link)
_cancelled: Rule = (ResumableCalls, '_refuse', forget_cancellation)

MUTANTS: dict[str, Mutant] = {
    'retired and tombstones': (_retired, _cancelled),
    'fence and tombstones': (
        (ResumableCalls, 'take_over', keep_older_links),
        _cancelled,
    ),
    'known': ((ServedCalls, 'classify', begin_known_call_again),),
    'floors': ((ServedCalls, 'classify', begin_forgotten_call),),
    'orphans': ((PeerPool, '_end_orphans_later', keep_orphans),),
    'answers kept': ((ServedCall, 'send', discard_answers),),
    'cancellation': ((LinkStream, 'cancel_at_peer', cancel_once),),
    'old link': ((Link, 'take_movable_calls', keep_on_old_link),),
    'same process': ((PeerPool, '_move', move_to_any_process),),
}


def first_seed_that_detects(mutant: Mutant) -> int:
    """Return the first seed that detects a mutant, or -1."""
    with contextlib.ExitStack() as stack:
        for rule in mutant:
            stack.enter_context(mock.patch.object(*rule))
        for seed in SEEDS:
            if violations_of(seed):
                return seed
    return -1


class TestCallFuzz(unittest.TestCase):
    """Calls run at most once and are answered, whatever fails."""

    def test_calls_through_all_faults(self) -> None:
        """No rule is broken, and nothing is leaked at the end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(violations_of(seed), [])

    def test_each_rule_is_needed(self) -> None:
        """The oracle detects each mutant."""
        for name, mutant in MUTANTS.items():
            with self.subTest(rule=name):
                self.assertGreaterEqual(first_seed_that_detects(mutant), 0)
