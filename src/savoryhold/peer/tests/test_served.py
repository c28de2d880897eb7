"""What a message of a call means, and what is kept of calls, without I/O."""

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
    'TestForgetting',
    'TestReplacedLinks',
]

HERE = ProcessId('a life')
THERE = ProcessId('another life')
NUMBER = 5
KEY = CallKey(HERE, NUMBER)
OLDER, ORDER, NEWER = 1, 2, 3
BODY = b'x' * 10


class Wire:
    """A connection that notes what is sent on it."""

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
        lasting: bool = False,
    ) -> None:
        """Note a message, or refuse it."""
        if self.closed:
            raise LinkError('closed', sent=False)
        assert is_reply and lasting
        self.numbers.add(correlation)
        self.sent.append(message)

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Refuse; served ends do not ask."""
        raise LinkError('not asked', sent=False)

    def forget(self, correlation: int, *, ours: bool) -> None:
        """Keep nothing."""


def part(body: bytes = BODY) -> messages.Message:
    """Return a message of an answer."""
    return messages.Chunk(body=body)


def ended(calls: ServedCalls, key: CallKey, now: float, size: int) -> None:
    """Note a call that has been answered."""
    call = ServedCall(Wire(), NUMBER, ORDER)
    calls.begin(key, call, now)
    if size:
        call.send(part(b'x' * size))
    calls.end(key, now)


class TestArrival(unittest.TestCase):
    """The table of what is known and where a message arrives."""

    def setUp(self) -> None:
        """Begin without calls."""
        self.calls = ServedCalls()
        self.wire = Wire()
        self.call = ServedCall(self.wire, NUMBER, ORDER)

    def arrivals(self, wire: Wire, order: int) -> tuple[Arrival, Arrival]:
        """Return what a message means, on a link in use and a replaced one."""
        in_use, retired = (
            self.calls.arrival(KEY, wire, order, retired=retired)
            for retired in (False, True)
        )
        return in_use, retired

    def check_known(self) -> None:
        """See what messages of a known call mean."""
        self.assertEqual(
            self.arrivals(self.wire, ORDER),
            (Arrival.FOLLOW_UP, Arrival.FOLLOW_UP),
        )
        self.assertEqual(
            self.arrivals(Wire(), NEWER), (Arrival.RESUMED, Arrival.RESUMED)
        )
        for order in (OLDER, ORDER):
            self.assertEqual(
                self.arrivals(Wire(), order), (Arrival.LATE, Arrival.LATE)
            )

    def test_unknown(self) -> None:
        """A call begins, but not on a connection that was replaced."""
        for order in (OLDER, ORDER, NEWER):
            self.assertEqual(
                self.arrivals(self.wire, order), (Arrival.BEGIN, Arrival.LATE)
            )

    def test_running(self) -> None:
        """A call that runs goes on, and begins nowhere."""
        self.calls.begin(KEY, self.call, 0)
        self.check_known()

    def test_answered(self) -> None:
        """A call that has ended is asked for again, and begins nowhere."""
        self.calls.begin(KEY, self.call, 0)
        self.call.send(part())
        self.calls.end(KEY, 0)
        self.check_known()

    def test_cancelled(self) -> None:
        """A call that is cancelled begins nowhere."""
        self.calls.begin(KEY, self.call, 0)
        self.call.cancel()
        self.check_known()
        self.calls.end(KEY, 0)
        self.check_known()

    def test_cancelled_before_it_arrived(self) -> None:
        """Nor does one whose cancellation came first."""
        self.calls.refuse(KEY, self.call, 0)
        self.check_known()

    def test_moved(self) -> None:
        """What comes late on the link that it has left means nothing."""
        self.calls.begin(KEY, self.call, 0)
        newer = Wire()
        self.call.move_to(newer, NEWER)
        self.assertEqual(
            self.arrivals(self.wire, ORDER), (Arrival.LATE, Arrival.LATE)
        )
        self.assertEqual(
            self.arrivals(newer, NEWER),
            (Arrival.FOLLOW_UP, Arrival.FOLLOW_UP),
        )

    def test_forgotten(self) -> None:
        """A call that has ended and is forgotten does not begin."""
        for refused in (True, False):
            self.calls = ServedCalls()
            call = ServedCall(self.wire, NUMBER, ORDER)
            if refused:
                self.calls.refuse(KEY, call, 0)
            else:
                self.calls.begin(KEY, call, 0)
                self.calls.end(KEY, 0)
            later = CallKey(HERE, NUMBER + 1)
            self.calls.begin(later, self.call, served_calls.KEPT_S + 1)
            self.assertEqual(
                self.arrivals(Wire(), NEWER), (Arrival.ENDED, Arrival.LATE)
            )


class TestAnswers(unittest.TestCase):
    """What is kept of an answer until it is known to have arrived."""

    def setUp(self) -> None:
        """Begin to serve a call."""
        self.old, self.new = Wire(), Wire()
        self.call = ServedCall(self.old, NUMBER, ORDER)

    def move(self) -> list[messages.Message]:
        """Return what a newer link is sent."""
        self.call.move_to(self.new, NEWER)
        return self.new.sent

    def test_nothing_yet(self) -> None:
        """A call that has answered nothing says nothing."""
        self.assertEqual(self.move(), [])
        self.call.send(part())
        self.assertEqual(self.new.sent, [part()])
        self.assertEqual(self.old.sent, [])

    def test_sent_again_in_order(self) -> None:
        """All that was answered is sent again, and the rest behind it."""
        parts = [part(body) for body in (b'1', b'2', b'3')]
        for sent in parts[:2]:
            self.call.send(sent)
        self.assertTrue(self.call.answered)
        self.assertEqual(self.move(), parts[:2])
        self.call.send(parts[2])
        self.assertEqual(self.new.sent, parts)
        self.assertEqual(self.old.sent, parts[:2])
        self.assertEqual(self.new.numbers, {NUMBER})

    def test_sent_again_on_each_link(self) -> None:
        """An answer is kept over any number of links."""
        self.call.send(part())
        for order in (NEWER, NEWER + 1):
            wire = Wire()
            self.call.move_to(wire, order)
            self.assertEqual(wire.sent, [part()])

    def test_answered_behind_a_broken_link(self) -> None:
        """What no link took is sent on the next."""
        self.old.closed = True
        self.call.send(part())
        self.assertEqual(self.move(), [part()])

    def test_heard(self) -> None:
        """A message of the beginner shows that the answer has arrived."""
        self.call.send(part())
        self.call.deliver(messages.Credit(chunks=1))
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertTrue(self.call.answered)
        self.call.send(part())
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_heard_and_broken(self) -> None:
        """What nobody will ask for again is refused as on any link."""
        self.call.deliver(messages.Credit(chunks=1))
        self.old.closed = True
        with self.assertRaises(LinkError):
            self.call.send(part())

    def test_ended_without_an_answer(self) -> None:
        """A call that ended with nothing is told as over."""
        calls = ServedCalls()
        calls.begin(KEY, self.call, 0)
        calls.end(KEY, 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_cancelled(self) -> None:
        """A call that is cancelled keeps nothing, and its run is stopped."""
        self.call.send(part())
        task = mock.Mock()
        self.call.task = task
        self.call.cancel()
        task.cancel.assert_called_once_with()
        self.assertEqual(self.call.kept_bytes(), 0)
        self.assertEqual(self.move(), [messages.CallEnded()])

    def test_refused(self) -> None:
        """So is one that never began."""
        ServedCalls().refuse(KEY, self.call, 0)
        self.assertEqual(self.move(), [messages.CallEnded()])


class TestForgetting(unittest.TestCase):
    """Bounds in time and bytes, and what is known beyond them."""

    def setUp(self) -> None:
        """Begin without calls."""
        self.calls = ServedCalls()

    def means(self, number: int, process: ProcessId = HERE) -> Arrival:
        """Return what a message means that comes on a newer link."""
        key = CallKey(process, number)
        return self.calls.arrival(key, Wire(), NEWER, retired=False)

    def begin(self, number: int, now: float) -> ServedCall:
        """Begin a call that does not end."""
        call = ServedCall(Wire(), number, ORDER)
        self.calls.begin(CallKey(HERE, number), call, now)
        return call

    def test_time(self) -> None:
        """An answer is kept for its time, and goes with a later call."""
        ended(self.calls, KEY, 0, 1)
        self.begin(NUMBER + 1, served_calls.KEPT_S)
        self.assertIs(self.means(NUMBER), Arrival.RESUMED)
        self.begin(NUMBER + 2, served_calls.KEPT_S + 0.001)
        self.assertIs(self.means(NUMBER), Arrival.ENDED)
        self.assertEqual(len(self.calls), 2)

    def test_running_calls_stay(self) -> None:
        """What still runs is known, however old, and below the floor."""
        self.begin(NUMBER - 1, 0)
        ended(self.calls, KEY, 1, 1)
        self.begin(NUMBER + 1, 100 * served_calls.KEPT_S)
        self.assertIs(self.means(NUMBER - 1), Arrival.RESUMED)
        self.assertIs(self.means(NUMBER), Arrival.ENDED)

    def test_floor(self) -> None:
        """Up to the highest forgotten, unknown calls of that process ended."""
        for number in (NUMBER, NUMBER - 2):
            ended(self.calls, CallKey(HERE, number), 0, 0)
        self.begin(NUMBER + 2, served_calls.KEPT_S + 1)
        self.assertEqual(
            {self.means(number) for number in range(1, NUMBER + 1)},
            {Arrival.ENDED},
        )
        self.assertEqual(
            [self.means(NUMBER + above) for above in (1, 2, 3)],
            [Arrival.BEGIN, Arrival.RESUMED, Arrival.BEGIN],
        )
        self.assertIs(self.means(NUMBER, THERE), Arrival.BEGIN)

    def test_bytes(self) -> None:
        """The oldest answers go when all are too large together."""
        size = served_calls.MAX_KEPT_BYTES // 2
        for number in (1, 2):
            ended(self.calls, CallKey(HERE, number), 0, size)
        self.assertEqual(len(self.calls), 2)
        ended(self.calls, CallKey(HERE, 3), 0, 1)
        self.assertEqual(
            [self.means(number) for number in (1, 2, 3)],
            [Arrival.ENDED, Arrival.RESUMED, Arrival.RESUMED],
        )

    def test_one_large_answer(self) -> None:
        """An answer beyond the bound is not kept, and leaves no debt."""
        ended(self.calls, KEY, 0, served_calls.MAX_KEPT_BYTES + 1)
        self.assertIs(self.means(NUMBER), Arrival.ENDED)
        ended(
            self.calls,
            CallKey(HERE, NUMBER + 1),
            0,
            served_calls.MAX_KEPT_BYTES,
        )
        self.assertIs(self.means(NUMBER + 1), Arrival.RESUMED)

    def test_heard_answers_leave_no_debt(self) -> None:
        """What was dropped meanwhile is counted out as it was counted in."""
        for number in (1, 2, 3):
            call = self.begin(number, number)
            call.send(part(b'x' * served_calls.MAX_KEPT_BYTES))
            self.calls.end(CallKey(HERE, number), number)
            call.drop()
        self.assertIs(self.means(3), Arrival.RESUMED)
        self.assertEqual(len(self.calls), 1)

    def test_end_of_an_unknown_call(self) -> None:
        """Nothing is noted of a call that is not known."""
        self.calls.end(KEY, 0)
        self.assertIs(self.means(NUMBER), Arrival.BEGIN)

    def test_processes(self) -> None:
        """The floor of the process that was not heard of longest goes."""
        names = [ProcessId(name) for name in 'abc']
        with mock.patch.object(served_calls, 'MAX_PROCESSES', 2):
            for now, name in enumerate(
                (names[0], names[1], names[0], names[2])
            ):
                ended(self.calls, CallKey(name, now + 1), now * 10, 0)
            self.begin(1, 100)
        found = [self.means(1, name) for name in names]
        self.assertEqual(found, [Arrival.ENDED, Arrival.BEGIN, Arrival.ENDED])

    def test_calls_of_a_link(self) -> None:
        """Calls that are over are not served on any link."""
        wire = Wire()
        running, over, gone, moved = (
            ServedCall(wire, number, ORDER) for number in range(4)
        )
        for number, call in enumerate((running, over, gone, moved)):
            self.calls.begin(CallKey(HERE, number), call, 0)
        self.calls.end(CallKey(HERE, 1), 0)
        gone.cancel()
        moved.link = Wire()
        self.assertEqual(self.calls.on_link(wire), [running])


class TestReplacedLinks(unittest.IsolatedAsyncioTestCase):
    """Which connections begin calls, in whatever order they are heard of."""

    async def asyncSetUp(self) -> None:
        """Have two connections of one process, the first the older."""
        self.begun: list[int] = []
        self.left: list[Link] = []
        self.endpoint = Endpoint('a', b'secret', self.serve)
        self.endpoint.on_left = self.left.append
        self.orders = itertools.count(1)
        self.old, self.new = self.link(), self.link()

    def link(self) -> Link:
        """Return one more connection."""
        link = Link(self.endpoint, dialled=False)
        link.connection_made(mock.Mock())
        link.life, link.order = HERE, next(self.orders)
        return link

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Note a call that begins."""
        self.begun.append(call.number)

    async def take(self, link: Link, message: messages.Message) -> None:
        """Have a message of the call arrive."""
        link._lasting.take(NUMBER, message)
        await asyncio.sleep(0)

    async def test_replaced(self) -> None:
        """A connection begins calls until a newer one takes its place."""
        self.old._lasting.take_over()
        await self.take(self.old, messages.Relay())
        self.assertEqual(self.begun, [NUMBER])
        self.new._lasting.take_over()
        self.assertEqual(self.left, [self.old])
        self.old._lasting.take(NUMBER + 1, messages.Relay())
        await asyncio.sleep(0)
        self.assertEqual(self.begun, [NUMBER])

    async def test_held_up(self) -> None:
        """A connection whose word comes late does not take the place back."""
        self.new._lasting.take_over()
        self.old._lasting.take_over()
        await self.take(self.old, messages.Relay())
        self.assertEqual(self.begun, [])
        await self.take(self.new, messages.Relay())
        self.assertEqual(self.begun, [NUMBER])

    async def test_held_up_beyond_the_newer(self) -> None:
        """What was given up does not begin, though nothing is newer now."""
        self.new._lasting.take_over()
        await self.take(self.new, messages.Cancel())
        self.new.abort(ConnectionResetError('reset'))
        self.old._lasting.take_over()
        await self.take(self.old, messages.Relay())
        self.assertEqual(self.begun, [])

    async def test_given_up_first(self) -> None:
        """A call whose end arrives first does not begin on a third link."""
        await self.take(self.new, messages.Cancel())
        await self.take(self.link(), messages.Relay())
        await self.take(self.old, messages.Relay())
        self.assertEqual(self.begun, [])

    async def test_another_process(self) -> None:
        """A process takes no place of another's, nor do its calls."""
        self.old._lasting.take_over()
        self.new.life = THERE
        self.new._lasting.take_over()
        for link in (self.old, self.new):
            await self.take(link, messages.Relay())
        self.assertEqual(self.begun, [NUMBER, NUMBER])
        self.assertEqual(self.left, [])
