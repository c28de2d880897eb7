"""Resumable calls: classification of messages, kept answers, without I/O."""

import asyncio
import itertools
import unittest
from unittest import mock

from savoryhold.core.errors import LinkError
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages, served_calls
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.link import Link
from savoryhold.peer.stream import LinkStream
from savoryhold.peer.served_calls import (
    Arrival,
    CallKey,
    ProcessId,
    ServedCall,
    ServedCalls,
)

__all__ = [
    'TestAnswers',
    'TestArrival',
    'TestEviction',
    'TestReplacedLinks',
]

PROCESS = ProcessId('a life')
OTHER_PROCESS = ProcessId('another life')
NUMBER = 5
KEY = CallKey(PROCESS, NUMBER)
OLDER, ORDER, NEWER = 1, 2, 3
BODY = b'x' * 10


class FakeLink:
    """A link that records what is sent on it."""

    def __init__(self) -> None:
        self.peer = 'peer'
        self.life = 'life'
        self.reason = 'broken'
        self.transit = TransitDelay()
        self.closed = False
        self.sent: list[messages.Message] = []
        self.numbers: set[int] = set()

    def send(
        self,
        message: messages.Message,
        correlation: int,
        *,
        is_reply: bool = False,
        resumable: bool = False,
    ) -> None:
        """Record a message, or fail if closed."""
        if self.closed:
            raise LinkError('closed', sent=False)
        assert is_reply and resumable
        self.numbers.add(correlation)
        self.sent.append(message)

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Fail: serving ends open no calls."""
        raise LinkError('not asked', sent=False)

    def forget(self, correlation: int, *, is_initiator: bool) -> None:
        """Do nothing."""

    def hand_over(self, call: LinkStream) -> None:
        """Do nothing: only initiators hand calls over."""


def answer_part(body: bytes = BODY) -> messages.Message:
    """Return a part of an answer."""
    return messages.Chunk(body=body)


def add_ended_call(
    calls: ServedCalls, key: CallKey, now: float, size: int
) -> None:
    """Add a call that has been answered and has ended."""
    call = ServedCall(FakeLink(), NUMBER, ORDER)
    calls.begin(key, call, now)
    if size:
        call.send(answer_part(b'x' * size))
    calls.end(key, now)


class TestArrival(unittest.TestCase):
    """Classification of messages by known calls and by link."""

    def setUp(self) -> None:
        """Start without calls."""
        self.calls = ServedCalls()
        self.link = FakeLink()
        self.call = ServedCall(self.link, NUMBER, ORDER)

    def arrivals(self, link: FakeLink, order: int) -> tuple[Arrival, Arrival]:
        """Classify a message on a link in use, and on a replaced one."""
        in_use, retired = (
            self.calls.classify(KEY, link, order, retired=retired)
            for retired in (False, True)
        )
        return in_use, retired

    def check_known(self) -> None:
        """Check the classification of messages of a known call."""
        self.assertEqual(
            self.arrivals(self.link, ORDER),
            (Arrival.FOLLOW_UP, Arrival.FOLLOW_UP),
        )
        self.assertEqual(
            self.arrivals(FakeLink(), NEWER), (Arrival.RESUMED, Arrival.RESUMED)
        )
        for order in (OLDER, ORDER):
            self.assertEqual(
                self.arrivals(FakeLink(), order), (Arrival.STALE, Arrival.STALE)
            )

    def test_unknown(self) -> None:
        """An unknown call begins, unless its link has been replaced."""
        for order in (OLDER, ORDER, NEWER):
            self.assertEqual(
                self.arrivals(self.link, order), (Arrival.BEGIN, Arrival.STALE)
            )

    def test_running(self) -> None:
        """A running call is resumed, and does not begin again."""
        self.calls.begin(KEY, self.call, 0)
        self.check_known()

    def test_answered(self) -> None:
        """A call that has ended is resumed, and does not begin again."""
        self.calls.begin(KEY, self.call, 0)
        self.call.send(answer_part())
        self.calls.end(KEY, 0)
        self.check_known()

    def test_cancelled(self) -> None:
        """A cancelled call does not begin again."""
        self.calls.begin(KEY, self.call, 0)
        self.call.cancel()
        self.check_known()
        self.calls.end(KEY, 0)
        self.check_known()

    def test_cancelled_before_it_arrived(self) -> None:
        """A call does not begin if its cancellation arrived first."""
        self.calls.refuse(KEY, self.call, 0)
        self.check_known()

    def test_moved(self) -> None:
        """Late messages on the link that the call has left are stale."""
        self.calls.begin(KEY, self.call, 0)
        newer = FakeLink()
        self.call.move_to(newer, NEWER)
        self.assertEqual(
            self.arrivals(self.link, ORDER), (Arrival.STALE, Arrival.STALE)
        )
        self.assertEqual(
            self.arrivals(newer, NEWER),
            (Arrival.FOLLOW_UP, Arrival.FOLLOW_UP),
        )

    def test_forgotten(self) -> None:
        """A call that has ended and is no longer kept does not begin."""
        for refused in (True, False):
            self.calls = ServedCalls()
            call = ServedCall(self.link, NUMBER, ORDER)
            if refused:
                self.calls.refuse(KEY, call, 0)
            else:
                self.calls.begin(KEY, call, 0)
                self.calls.end(KEY, 0)
            later = CallKey(PROCESS, NUMBER + 1)
            self.calls.begin(later, self.call, served_calls.KEPT_S + 1)
            self.assertEqual(
                self.arrivals(FakeLink(), NEWER), (Arrival.ENDED, Arrival.STALE)
            )


class TestAnswers(unittest.TestCase):
    """Answers kept until they are known to have arrived."""

    def setUp(self) -> None:
        """Start serving a call."""
        self.old, self.new = FakeLink(), FakeLink()
        self.call = ServedCall(self.old, NUMBER, ORDER)

    def move(self) -> list[messages.Message]:
        """Resume on a newer link; return what is sent there."""
        self.call.move_to(self.new, NEWER)
        return self.new.sent

    def test_nothing_yet(self) -> None:
        """A call without answers so far sends nothing when it is resumed."""
        self.assertEqual(self.move(), [])
        self.call.send(answer_part())
        self.assertEqual(self.new.sent, [answer_part()])
        self.assertEqual(self.old.sent, [])

    def test_sent_again_in_order(self) -> None:
        """All answers so far are sent again, and later ones follow."""
        parts = [answer_part(body) for body in (b'1', b'2', b'3')]
        for sent in parts[:2]:
            self.call.send(sent)
        self.assertTrue(self.call.answered)
        self.assertEqual(self.move(), parts[:2])
        self.call.send(parts[2])
        self.assertEqual(self.new.sent, parts)
        self.assertEqual(self.old.sent, parts[:2])
        self.assertEqual(self.new.numbers, {NUMBER})

    def test_sent_again_on_each_link(self) -> None:
        """An answer is kept across any number of links."""
        self.call.send(answer_part())
        for order in (NEWER, NEWER + 1):
            link = FakeLink()
            self.call.move_to(link, order)
            self.assertEqual(link.sent, [answer_part()])

    def test_answered_on_a_broken_link(self) -> None:
        """An answer that the broken link refused is sent on the next."""
        self.old.closed = True
        self.call.send(answer_part())
        self.assertEqual(self.move(), [answer_part()])

    def test_acknowledged(self) -> None:
        """A message of the initiator proves that the answer has arrived."""
        self.call.send(answer_part())
        self.call.deliver(messages.Credit(chunks=1))
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertTrue(self.call.answered)
        self.call.send(answer_part())
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_acknowledged_and_broken(self) -> None:
        """An answer that is not kept cannot be sent on a broken link."""
        self.call.deliver(messages.Credit(chunks=1))
        self.old.closed = True
        with self.assertRaises(LinkError):
            self.call.send(answer_part())

    def test_ended_without_an_answer(self) -> None:
        """An initiator that resumes a call that ended unanswered is told so."""
        calls = ServedCalls()
        calls.begin(KEY, self.call, 0)
        calls.end(KEY, 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_cancelled(self) -> None:
        """A cancelled call keeps no answers, and its task is cancelled."""
        self.call.send(answer_part())
        task = mock.Mock()
        self.call.task = task
        self.call.cancel()
        task.cancel.assert_called_once_with()
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_refused(self) -> None:
        """The same holds for a call that is cancelled before it began."""
        ServedCalls().refuse(KEY, self.call, 0)
        self.assertEqual(self.move(), [messages.CallEnded()])


class TestEviction(unittest.TestCase):
    """Limits on kept calls in time and bytes, and what remains known."""

    def setUp(self) -> None:
        """Start without calls."""
        self.calls = ServedCalls()

    def classify(self, number: int, process: ProcessId = PROCESS) -> Arrival:
        """Classify a message that arrives on a newer link."""
        key = CallKey(process, number)
        return self.calls.classify(key, FakeLink(), NEWER, retired=False)

    def begin(self, number: int, now: float) -> ServedCall:
        """Add a call that does not end."""
        call = ServedCall(FakeLink(), number, ORDER)
        self.calls.begin(CallKey(PROCESS, number), call, now)
        return call

    def test_time(self) -> None:
        """An answer is kept for `KEPT_S`, and dropped at a later call."""
        add_ended_call(self.calls, KEY, 0, 1)
        self.begin(NUMBER + 1, served_calls.KEPT_S)
        self.assertIs(self.classify(NUMBER), Arrival.RESUMED)
        self.begin(NUMBER + 2, served_calls.KEPT_S + 0.001)
        self.assertIs(self.classify(NUMBER), Arrival.ENDED)
        self.assertEqual(len(self.calls), 2)

    def test_running_calls_stay(self) -> None:
        """A running call stays known, even if old and below the floor."""
        self.begin(NUMBER - 1, 0)
        add_ended_call(self.calls, KEY, 1, 1)
        self.begin(NUMBER + 1, 100 * served_calls.KEPT_S)
        self.assertIs(self.classify(NUMBER - 1), Arrival.RESUMED)
        self.assertIs(self.classify(NUMBER), Arrival.ENDED)

    def test_floor(self) -> None:
        """Unknown calls up to the highest dropped number have ended."""
        for number in (NUMBER, NUMBER - 2):
            add_ended_call(self.calls, CallKey(PROCESS, number), 0, 0)
        self.begin(NUMBER + 2, served_calls.KEPT_S + 1)
        self.assertEqual(
            {self.classify(number) for number in range(1, NUMBER + 1)},
            {Arrival.ENDED},
        )
        self.assertEqual(
            [self.classify(NUMBER + above) for above in (1, 2, 3)],
            [Arrival.BEGIN, Arrival.RESUMED, Arrival.BEGIN],
        )
        self.assertIs(self.classify(NUMBER, OTHER_PROCESS), Arrival.BEGIN)

    def test_bytes(self) -> None:
        """The oldest answers are dropped if all together are too large."""
        size = served_calls.MAX_KEPT_BYTES // 2
        for number in (1, 2):
            add_ended_call(self.calls, CallKey(PROCESS, number), 0, size)
        self.assertEqual(len(self.calls), 2)
        add_ended_call(self.calls, CallKey(PROCESS, 3), 0, 1)
        self.assertEqual(
            [self.classify(number) for number in (1, 2, 3)],
            [Arrival.ENDED, Arrival.RESUMED, Arrival.RESUMED],
        )

    def test_one_large_answer(self) -> None:
        """An answer over the limit is not kept, and not counted for good."""
        add_ended_call(self.calls, KEY, 0, served_calls.MAX_KEPT_BYTES + 1)
        self.assertIs(self.classify(NUMBER), Arrival.ENDED)
        add_ended_call(
            self.calls,
            CallKey(PROCESS, NUMBER + 1),
            0,
            served_calls.MAX_KEPT_BYTES,
        )
        self.assertIs(self.classify(NUMBER + 1), Arrival.RESUMED)

    def test_acknowledged_answers_are_not_counted_for_good(self) -> None:
        """A call counts by its size at its end, even if dropped later."""
        for number in (1, 2, 3):
            call = self.begin(number, number)
            call.send(answer_part(b'x' * served_calls.MAX_KEPT_BYTES))
            self.calls.end(CallKey(PROCESS, number), number)
            call.drop_answers()
        self.assertIs(self.classify(3), Arrival.RESUMED)
        self.assertEqual(len(self.calls), 1)

    def test_end_of_an_unknown_call(self) -> None:
        """The end of an unknown call is ignored."""
        self.calls.end(KEY, 0)
        self.assertIs(self.classify(NUMBER), Arrival.BEGIN)

    def test_processes(self) -> None:
        """The floor of the least recent process is evicted."""
        names = [ProcessId(name) for name in 'abc']
        with mock.patch.object(served_calls, 'MAX_PROCESSES', 2):
            for now, name in enumerate(
                (names[0], names[1], names[0], names[2])
            ):
                add_ended_call(self.calls, CallKey(name, now + 1), now * 10, 0)
            self.begin(1, 100)
        found = [self.classify(1, name) for name in names]
        self.assertEqual(found, [Arrival.ENDED, Arrival.BEGIN, Arrival.ENDED])

    def test_calls_of_a_link(self) -> None:
        """Calls that have ended are active on no link."""
        link = FakeLink()
        running, over, gone, moved = (
            ServedCall(link, number, ORDER) for number in range(4)
        )
        for number, call in enumerate((running, over, gone, moved)):
            self.calls.begin(CallKey(PROCESS, number), call, 0)
        self.calls.end(CallKey(PROCESS, 1), 0)
        gone.cancel()
        moved.link = FakeLink()
        self.assertEqual(self.calls.active_on(link), [running])


class TestReplacedLinks(unittest.IsolatedAsyncioTestCase):
    """Which links begin calls, in whatever order their messages arrive."""

    async def asyncSetUp(self) -> None:
        """Create two links of one process, the older one first."""
        self.begun: list[int] = []
        self.orphaned: list[Link] = []
        self.endpoint = Endpoint('a', b'secret', self.serve)
        self.endpoint.on_orphaned = self.orphaned.append
        self.orders = itertools.count(1)
        self.old, self.new = self.link(), self.link()

    def link(self) -> Link:
        """Return another link."""
        link = Link(self.endpoint, dialled=False)
        link.connection_made(mock.Mock())
        link.life, link.order = PROCESS, next(self.orders)
        return link

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Record a call that begins."""
        self.begun.append(call.number)

    async def deliver(self, link: Link, message: messages.Message) -> None:
        """Deliver a message of the call."""
        link._resumable_calls.dispatch(NUMBER, message)
        await asyncio.sleep(0)

    async def test_replaced(self) -> None:
        """A link begins calls until a newer one replaces it."""
        self.old._resumable_calls.take_over()
        await self.deliver(self.old, messages.Relay())
        self.assertEqual(self.begun, [NUMBER])
        self.new._resumable_calls.take_over()
        self.assertEqual(self.orphaned, [self.old])
        self.old._resumable_calls.dispatch(NUMBER + 1, messages.Relay())
        await asyncio.sleep(0)
        self.assertEqual(self.begun, [NUMBER])

    async def test_delayed_takeover(self) -> None:
        """A takeover by the older link has no effect after the newer one's."""
        self.new._resumable_calls.take_over()
        self.old._resumable_calls.take_over()
        await self.deliver(self.old, messages.Relay())
        self.assertEqual(self.begun, [])
        await self.deliver(self.new, messages.Relay())
        self.assertEqual(self.begun, [NUMBER])

    async def test_delayed_takeover_after_the_newer_closed(self) -> None:
        """A cancelled call does not begin, though no newer link is left."""
        self.new._resumable_calls.take_over()
        await self.deliver(self.new, messages.Cancel())
        self.new.abort(ConnectionResetError('reset'))
        self.old._resumable_calls.take_over()
        await self.deliver(self.old, messages.Relay())
        self.assertEqual(self.begun, [])

    async def test_cancellation_first(self) -> None:
        """A call that is cancelled before it arrives begins on no link."""
        await self.deliver(self.new, messages.Cancel())
        await self.deliver(self.link(), messages.Relay())
        await self.deliver(self.old, messages.Relay())
        self.assertEqual(self.begun, [])

    async def test_another_process(self) -> None:
        """Links and calls of one process do not affect another process."""
        self.old._resumable_calls.take_over()
        self.new.life = OTHER_PROCESS
        self.new._resumable_calls.take_over()
        for link in (self.old, self.new):
            await self.deliver(link, messages.Relay())
        self.assertEqual(self.begun, [NUMBER, NUMBER])
        self.assertEqual(self.orphaned, [])
