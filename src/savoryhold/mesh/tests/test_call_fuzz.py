"""Fuzzing of calls that move, and rules that are taken out.

These rules are taken out, one or two at a time, and the oracle objects:

- a call that is known is not begun again;
- what has ended and is forgotten is not begun again (floors);
- calls move to the same process only, not to one started since;
- a give-up is sent again until it is confirmed;
- calls that their beginner does not move are cancelled;
- answers are kept until they are known to have arrived;
- a call that moves is taken off its old connection;
- what is cancelled before it arrives is not begun (tombstones), together with
  either of: connections that were replaced begin no call; a newer connection
  takes the place of older ones (`LinkTakeover`).

Each of the last three alone is covered by another of them in these worlds;
``peer/tests/test_served.py`` has tests of each.
"""

import asyncio
import contextlib
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from savoryhold.core.errors import LinkError
from savoryhold.mesh.tests.call_fuzz import faults_of
from savoryhold.peer import PeerPool, messages
from savoryhold.peer.resumable import ResumableCalls
from savoryhold.peer.link import Link
from savoryhold.peer.stream import LinkStream
from savoryhold.peer.served_calls import Arrival, ServedCall, ServedCalls

SEEDS = range(100)  # of which the mutants are to be found by one each

Rule = tuple[type, str, Callable[..., Any]]

_arrival = ServedCalls.arrival


def retired_begins(self: ServedCalls, *args: Any, retired: bool) -> Arrival:
    """Take a message as if its connection was in use."""
    return _arrival(self, *args, retired=False)


def known_begins(self: ServedCalls, *args: Any, retired: bool) -> Arrival:
    """Begin a call that has moved."""
    arrival = _arrival(self, *args, retired=retired)
    return Arrival.BEGIN if arrival is Arrival.RESUMED else arrival


def forgotten_begins(self: ServedCalls, *args: Any, retired: bool) -> Arrival:
    """Begin a call that is not known any more."""
    arrival = _arrival(self, *args, retired=retired)
    return Arrival.BEGIN if arrival is Arrival.ENDED else arrival


def cancelled_begins(self: ResumableCalls, *args: Any) -> None:
    """Confirm that a call has ended, and take no note of it."""
    self._send_ended(*args)


def no_fence(self: ResumableCalls) -> None:
    """Leave older connections in use."""


def no_orphans(self: PeerPool, link: Link) -> None:
    """Let calls run that nobody moves."""


def no_answers(self: ServedCall, message: messages.Message) -> None:
    """Send a message of an answer, and keep none."""
    self.drop()
    self._write(message)


def one_word(self: LinkStream) -> None:
    """Send the word that a call is given up once."""
    try:
        self.send(messages.Cancel())
    except LinkError:
        return


def left_on_old(self: Link) -> list[LinkStream]:
    """Leave calls that move on their old link, too."""
    return [call for call in self._calls.values() if call.movable]


async def any_life(self: PeerPool, old: Link, calls: list[LinkStream]) -> None:
    """Move calls to whoever is there."""
    try:
        async with asyncio.timeout(1):
            link = await self._next_link(old.address)
    except (LinkError, TimeoutError):
        for call in calls:
            call.deliver(None)
        return
    self._carry_on(link, calls)


Mutant = tuple[Rule, ...]

_retired: Rule = (ServedCalls, 'arrival', retired_begins)
_cancelled: Rule = (ResumableCalls, '_refuse', cancelled_begins)

MUTANTS: dict[str, Mutant] = {
    'retired and tombstones': (_retired, _cancelled),
    'fence and tombstones': (
        (ResumableCalls, 'take_over', no_fence),
        _cancelled,
    ),
    'known': ((ServedCalls, 'arrival', known_begins),),
    'floors': ((ServedCalls, 'arrival', forgotten_begins),),
    'orphans': ((PeerPool, '_end_orphans_later', no_orphans),),
    'answers kept': ((ServedCall, 'send', no_answers),),
    'give-up': ((LinkStream, 'cancel_at_peer', one_word),),
    'taken off': ((Link, 'movable', left_on_old),),
    'same life': ((PeerPool, '_move', any_life),),
}


def found_by(mutant: Mutant) -> int:
    """Return the first seed whose world objects to a mutant, or -1."""
    with contextlib.ExitStack() as stack:
        for rule in mutant:
            stack.enter_context(mock.patch.object(*rule))
        for seed in SEEDS:
            if faults_of(seed):
                return seed
    return -1


class TestCallsWorld(unittest.TestCase):
    """Calls run at most once and are answered, whatever happens."""

    def test_calls_through_all_faults(self) -> None:
        """The oracle objects to nothing, and nothing is kept at the end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(faults_of(seed), [])

    def test_each_rule_is_needed(self) -> None:
        """The oracle finds each rule that is taken out."""
        for name, mutant in MUTANTS.items():
            with self.subTest(rule=name):
                self.assertGreaterEqual(found_by(mutant), 0)
