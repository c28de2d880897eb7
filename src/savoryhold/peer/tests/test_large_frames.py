"""Messages with large bodies: their encoding, and frames without room."""

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize

from savoryhold.core.errors import MalformedMessageError
from savoryhold.core.verdict import Verdict
from savoryhold.peer import Endpoint, Frame, FrameReader, Link, messages
from savoryhold.peer.frames import MAX_FRAME_BYTES, pack_parts
from savoryhold.peer.stream import LinkStream
from savoryhold.wire import MemoryBudget
from savoryhold.wire.memory_budget import Part

BODY = bytes(range(256)) * 1000
DECODER = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]
MEDIUM_BYTES = 20_000
SEGMENT_BYTES = 1400
NUMBER = 7


def relay() -> messages.Message:
    """Return a request with a large body."""
    return messages.Relay(
        request_id='r1',
        key=3,
        head=b'a: b\r\n',
        body=BODY,
        repeatable=True,
        sent_at=4,
        regions=['x', 'y'],
        origin='n1',
        expected_ms=1.5,
    )


def as_read(payload: bytes) -> bytes:
    """Return a payload as the reader of frames passes on large ones."""
    return cast(bytes, bytearray(payload))


def packed(message: messages.Message, *, resumable: bool = True) -> bytes:
    """Return the frame of a message."""
    code = messages.code_of(message)
    frame = Frame(code, NUMBER, False, b'', resumable)
    return b''.join(pack_parts(frame, messages.encode_parts(message)))


class TestEncoding(unittest.TestCase):
    """Bodies that are spliced into the encoded message."""

    def test_nodes_of_the_previous_version_decode_it(self) -> None:
        """The parts are a struct of the thrift binary protocol."""
        encoded = b''.join(messages.encode_parts(relay()))
        found = deserialize(messages.Relay(), encoded, DECODER)
        self.assertEqual((found.body, found.origin), (BODY, 'n1'))

    def test_bodies_of_the_previous_version_are_decoded(self) -> None:
        """The body may stand in the middle of the struct."""
        code = messages.code_of(relay())
        for encoded in (
            messages.encode(relay()),
            b''.join(messages.encode_parts(relay())),
        ):
            found = messages.decode(code, as_read(encoded))
            self.assertEqual(found.body, BODY)
            self.assertEqual(found.regions, ['x', 'y'])
            self.assertEqual((found.origin, found.expected_ms), ('n1', 1.5))

    def test_damaged_structs_are_refused(self) -> None:
        """A struct that is cut before the end of its body is malformed."""
        code = messages.code_of(relay())
        encoded = messages.encode(relay())
        for end in (0, 1, 5, 40, 200, len(BODY)):
            with self.subTest(end=end):
                with self.assertRaises(MalformedMessageError):
                    messages.decode(code, as_read(encoded[:end]))

    def test_frames_in_segments(self) -> None:
        """Large frames are found between small ones; dropped ones are empty."""
        small = packed(messages.Probe())
        stream = small + packed(relay()) + small + packed(relay()) + small
        admitted = iter((True, False))
        reader = FrameReader(lambda frame, size: next(admitted))
        found = [
            frame
            for start in range(0, len(stream), SEGMENT_BYTES)
            for frame in reader.feed(stream[start : start + SEGMENT_BYTES])
        ]
        dropped = [frame.dropped for frame in found]
        self.assertEqual(dropped, [False, False, False, True, False])
        self.assertFalse(reader.in_frame)


class TestMemory(unittest.IsolatedAsyncioTestCase):
    """Frames that a link receives count in the budget."""

    async def asyncSetUp(self) -> None:
        """Create a link of an authenticated peer."""
        self.budget = MemoryBudget()
        patched = mock.patch(
            'savoryhold.peer.link_memory.PROCESS_BUDGET', self.budget
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.begun: list[int] = []
        self.may_end = asyncio.Event()
        self.endpoint = Endpoint('n0', b'secret', self.serve)
        self.link = Link(self.endpoint, dialled=False)
        self.link.connection_made(mock.Mock())
        self.link.ready.set_result(None)
        self.link.life, self.link.order = 'process', 1
        self.link._reader.max_bytes = MAX_FRAME_BYTES
        self.sent: list[messages.Message] = []

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Serve a call until the test lets it end."""
        self.begun.append(call.number)
        await self.may_end.wait()

    def record(self, message: messages.Message, *rest: Any, **how: Any) -> None:
        """Record a message that the link sends."""
        self.sent.append(message)

    async def receive(self, sent: bytes) -> None:
        """Receive bytes; record what is sent in return."""
        with mock.patch.object(self.link, 'send', self.record):
            self.link.data_received(sent)
            await asyncio.sleep(0)

    async def test_request_counts_until_it_ends(self) -> None:
        """The bytes are given back when the call has been served."""
        await self.receive(packed(relay()))
        self.assertGreaterEqual(self.budget.parts[Part.RELAYS], len(BODY))
        self.may_end.set()
        await asyncio.sleep(0.01)
        self.assertEqual(self.budget.used, 0)

    # Only relayed requests above 64 KiB counted, of which a node held hundreds.
    async def test_relayed_request_of_some_kilobytes_counts(self) -> None:
        """It is refused without room, too."""
        small = relay()
        small.body = BODY[:MEDIUM_BYTES]
        await self.receive(packed(small))
        self.assertGreaterEqual(self.budget.parts[Part.RELAYS], MEDIUM_BYTES)
        self.budget.set_memory(60)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        await self.receive(packed(small, resumable=False))
        self.assertEqual(len(self.sent), 1)

    async def test_table_without_room_pauses_nothing(self) -> None:
        """The messages of the link behind it are read."""
        self.budget.set_memory(60)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        table = messages.TableUpdate(
            service_name='desk', version=5, rows=BODY[:MEDIUM_BYTES]
        )
        await self.receive(packed(table, resumable=False))
        self.assertEqual(self.begun, [NUMBER])
        self.assertEqual(self.budget.waiting, 0)

    # One read completes a frame and begins the next; the first was counted on.
    async def test_frames_that_share_a_read_are_all_given_back(self) -> None:
        """The bytes of both frames are given back."""
        self.may_end.set()
        frame = packed(relay(), resumable=False)
        await self.receive(frame + frame[:100])
        await self.receive(frame[100:])
        await asyncio.sleep(0.05)
        self.assertEqual(self.budget.used, 0)

    async def test_request_without_room_is_refused_and_never_runs(self) -> None:
        """It is refused as not run, also when it arrives once more."""
        self.budget.set_memory(60)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        for resumable in (True, False):
            await self.receive(packed(relay(), resumable=resumable))
        self.assertEqual(self.begun, [])
        refusal = self.sent[0]
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN.value)
        self.assertEqual(len(self.sent), 2)

    # A request that runs must not be refused when a new link brings it again.
    async def test_running_request_is_not_refused(self) -> None:
        """A copy of a running request without room is ignored."""
        await self.receive(packed(relay()))
        self.budget.set_memory(60)
        self.budget.take(Part.REQUESTS, self.budget.limit)
        await self.receive(packed(relay()))
        self.assertEqual(self.begun, [NUMBER])
        self.assertEqual(self.sent, [])

    async def test_strangers_fill_no_memory(self) -> None:
        """Before the handshake, a large frame closes the link at its head."""
        stranger = Link(self.endpoint, dialled=False)
        stranger.connection_made(mock.Mock())
        stranger.data_received(packed(relay())[:100])
        self.assertTrue(stranger.closed)
