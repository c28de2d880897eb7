"""Links: handshake, garbage, silence and calls, on loopback sockets."""

import asyncio
import unittest
import zlib
from functools import partial
from typing import cast
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from savoryhold.core.errors import LinkError, MalformedMessageError
from savoryhold.peer import Frame, FrameReader, PeerPool, messages, pack_frame
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.link import Link
from savoryhold.peer.pending_handshakes import MAX_PENDING
from savoryhold.peer.stream import LinkStream
from savoryhold.peer.packing import MAX_CHUNK_BYTES, pack, unpack
from savoryhold.send_buffer import count_unacknowledged

__all__ = [
    'TestCancelled',
    'TestFrames',
    'TestLinkTakeover',
    'TestLinks',
    'TestPacking',
    'TestSilence',
    'TestPendingHandshakes',
    'TestUnacknowledged',
]

SECRET = b'a secret for tests'
LIMIT_MS = 10_000
LIMIT_NAME = 'savoryhold.peer.pending_handshakes.HANDSHAKE_LIMIT_MS'
MANY_BYTES = 30_000_000  # more than kernels take for a process


class TestFrames(unittest.TestCase):
    """Splitting a byte stream into frames."""

    @hypothesis.given(
        st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 9)
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_frames_do_not_depend_on_chunks(
        self, payloads: list[bytes], step: int
    ) -> None:
        """However the bytes are split, the same frames are read."""
        frames = [
            Frame(8, num, num % 2 == 0, payload)
            for num, payload in enumerate(payloads)
        ]
        stream = b''.join(pack_frame(frame) for frame in frames)
        reader = FrameReader()
        found = [
            frame
            for start in range(0, len(stream), step)
            for frame in reader.feed(stream[start : start + step])
        ]
        self.assertEqual(found, frames)

    @hypothesis.given(st.binary(min_size=17, max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_garbage_raises_or_waits(self, garbage: bytes) -> None:
        """No frame with a wrong checksum is returned."""
        try:
            frames = FrameReader().feed(garbage)
        except MalformedMessageError:
            return
        self.assertEqual(frames, [])

    @hypothesis.given(st.integers(1, 3), st.binary(max_size=120))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    def test_malformed_handshake_terminates(
        self, code: int, garbage: bytes
    ) -> None:
        """The decoder looped on truncated input from an unknown peer."""
        try:
            messages.decode(code, garbage)
        except MalformedMessageError:
            return


class TestPacking(unittest.TestCase):
    """Compressed bodies."""

    @hypothesis.given(st.binary(max_size=3000), st.integers(1, 20))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_round_trip(self, body: bytes, times: int) -> None:
        """Any body is restored, and never grows."""
        sent, packed = pack(body * times)
        self.assertLessEqual(len(sent), len(body * times))
        self.assertEqual(unpack(sent, packed=packed), body * times)

    def test_garbage_and_decompression_bombs_are_refused(self) -> None:
        """Data that does not expand to a bounded chunk is an error."""
        bomb = zlib.compress(b'x' * (MAX_CHUNK_BYTES + 1))
        for body in (b'', b'garbage', bomb, bomb[:50]):
            with self.subTest(body=body[:20]):
                with self.assertRaises(MalformedMessageError):
                    unpack(body, packed=True)


async def answer(call: LinkStream, message: messages.Message) -> None:
    """Answer probes; leave all else without an answer."""
    if isinstance(message, messages.Probe):
        call.send(messages.Ack(ok=True, text=call.peer))
    else:
        await call.receive(LIMIT_MS)


class LossyProxy:
    """A proxy that can silently drop what its open connections carry."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.lost = False
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        self.writers.extend((writer, far_writer))
        has_dropped = [False]
        pumps = (
            asyncio.create_task(self._pump(reader, far_writer, has_dropped)),
            asyncio.create_task(self._pump(far_reader, writer, has_dropped)),
        )
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            # The test is over; its open connections end with it.
            return
        finally:
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        has_dropped: list[bool],
    ) -> None:
        while chunk := await reader.read(65536):
            has_dropped[0] = has_dropped[0] or self.lost
            if not has_dropped[0]:
                writer.write(chunk)


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """A server pool and a client pool."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.begun: list[str] = []
        self.server = PeerPool('server', SECRET, self.serve)
        self.listener = await asyncio.get_running_loop().create_server(
            self.server.accept, '127.0.0.1', 0
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Record which call began, and answer it."""
        self.begun.append(type(message).__name__)
        await answer(call, message)

    async def asyncTearDown(self) -> None:
        """Stop listening."""
        self.listener.close()


class TestLinks(LinkCase):
    """Handshake and calls."""

    async def test_call_and_answer(self) -> None:
        """A peer with the secret is answered, and its name is known."""
        client = PeerPool('client', SECRET, answer)
        reply = await client.call(self.address, messages.Probe(), LIMIT_MS)
        self.assertEqual(reply.text, 'client')
        client.close()

    async def test_wrong_secret_is_refused(self) -> None:
        """A peer without the secret gets no link."""
        refused: list[str] = []
        self.server.endpoint.on_malformed = refused.append
        client = PeerPool('client', b'another secret', answer)
        with self.assertRaises(LinkError) as caught:
            await client.call(self.address, messages.Probe(), LIMIT_MS)
        self.assertFalse(caught.exception.sent)
        self.assertEqual(
            refused,
            ["handshake of 'client' does not prove the shared secret"],
        )

    async def test_garbage_closes_the_connection(self) -> None:
        """Garbage on the peer port ends that connection only."""
        for garbage in (b'GET / HTTP/1.1\r\n\r\n', b'\xff' * 64, b'\0' * 64):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.port
            )
            writer.write(garbage)
            try:
                await reader.read()
            except ConnectionResetError:
                pass
            writer.close()
        client = PeerPool('client', SECRET, answer)
        await client.call(self.address, messages.Probe(), LIMIT_MS)
        client.close()

    async def test_late_credit_begins_no_call(self) -> None:
        """Credit for a call that had ended was taken for a new call."""
        client = PeerPool('client', SECRET, answer)
        late = await client.open(self.address)
        late.send(messages.Credit(chunks=4))
        await client.call(self.address, messages.Probe(), LIMIT_MS)
        self.assertEqual(self.begun, ['Probe'])
        client.close()

    async def test_call_on_a_cut_link_may_have_been_sent(self) -> None:
        """A call in flight may have arrived; a later one certainly has not."""
        client = PeerPool('client', SECRET, answer)
        waiting = asyncio.create_task(
            client.call(self.address, messages.Cancel(), LIMIT_MS)
        )
        await client.call(self.address, messages.Probe(), LIMIT_MS)
        client.cut({self.address})
        with self.assertRaises(LinkError) as caught:
            await waiting
        self.assertTrue(caught.exception.sent)
        with self.assertRaises(LinkError) as refused:
            await client.call(self.address, messages.Probe(), LIMIT_MS)
        self.assertFalse(refused.exception.sent)


class TestCancelled(LinkCase):
    """Calls that their initiator cancels."""

    # A call cancelled just after its answer arrived waited for a confirmation
    # on a dead link, so that a replaced link stayed open and polled forever.
    async def test_call_cancelled_after_its_answer_is_dropped(self) -> None:
        """Nothing waits on the link for a call that has its answer."""
        client = PeerPool('client', SECRET, answer)
        call = await client.open(self.address)
        link = cast(Link, call.link)
        call.begin(messages.Probe)
        await client.call(self.address, messages.Probe(), LIMIT_MS)
        call.cancel_at_peer()
        call.close()
        self.assertEqual(link.waiting, 0)
        client.close()


class TestPendingHandshakes(unittest.IsolatedAsyncioTestCase):
    """Connections whose other end does not prove that it is a node."""

    async def asyncSetUp(self) -> None:
        """Listen on a free port."""
        self.pool = PeerPool('server', SECRET, answer)
        self.addCleanup(self.pool.close)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self.pool.accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def connect(self) -> asyncio.StreamReader:
        """Open a connection, and read the challenge."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        await reader.read(1)
        return reader

    # Such connections were kept for good, whatever their number.
    async def test_number_is_bounded_and_nodes_get_through(self) -> None:
        """The oldest is closed for a new one, which may be a node's."""
        first = await self.connect()
        for _ in range(MAX_PENDING):
            await self.connect()
        pending = self.pool.endpoint.pending_handshakes
        self.assertEqual(len(pending), MAX_PENDING)
        # The end of the connection is read behind the challenge.
        await first.read()
        client = PeerPool('client', SECRET, answer)
        self.addCleanup(client.close)
        await client.call(f'127.0.0.1:{self.port}', messages.Probe(), LIMIT_MS)
        self.assertEqual(len(pending), MAX_PENDING - 1)

    # A connection that sends nothing was kept for good.
    async def test_time_for_the_handshake_is_limited(self) -> None:
        """The connection is closed."""
        with mock.patch(LIMIT_NAME, 1):
            reader = await self.connect()
        await reader.read()
        self.assertEqual(len(self.pool.endpoint.pending_handshakes), 0)


class TestLinkTakeover(unittest.IsolatedAsyncioTestCase):
    """A link that replaces an earlier one of the same process."""

    # The first request on a new link counted as on time, however late it was,
    # so that its deadline was extended by the delay.
    async def test_new_link_inherits_the_usual_delay(self) -> None:
        """The delay of the first message on a new link is noticed."""
        endpoint = Endpoint('a', SECRET, answer)
        old = Link(endpoint, dialled=False)
        new = Link(endpoint, dialled=False)
        for order, link in enumerate((old, new)):
            link.life, link.order = 'a life', order
        old._resumable_calls.take_over()
        old.transit.excess_ms(0, 10)
        new._resumable_calls.take_over()
        self.assertEqual(new.transit.excess_ms(1000, 1510), 500)


class TestUnacknowledged(unittest.IsolatedAsyncioTestCase):
    """Bytes that the other kernel has not acknowledged."""

    # Bytes in the kernel's send buffer were not counted, so that a slow link
    # was taken for a dead one and replaced.
    async def test_bytes_count_until_acknowledged(self) -> None:
        """Bytes in either send buffer count, acknowledged ones do not."""
        may_read = asyncio.Event()
        server = await asyncio.start_server(
            partial(read_later, may_read), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(bytes(MANY_BYTES))
        unsent = count_unacknowledged(writer.transport)
        self.assertGreater(unsent, writer.transport.get_write_buffer_size())
        self.assertLessEqual(unsent, MANY_BYTES)
        may_read.set()
        async with asyncio.timeout(LIMIT_MS / 1000):
            while count_unacknowledged(writer.transport):
                await asyncio.sleep(0.01)
            writer.write_eof()
            await reader.read()
        writer.close()
        server.close()

    # On kernels without this ioctl, the error ended the supervision of links.
    async def test_kernel_without_the_ioctl(self) -> None:
        """Only the bytes buffered in the process are counted."""
        transport = mock.Mock()
        transport.get_write_buffer_size.return_value = 7
        transport.is_closing.return_value = False
        with mock.patch('fcntl.ioctl', side_effect=OSError):
            self.assertEqual(count_unacknowledged(transport), 7)


async def read_later(
    may_read: asyncio.Event,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Read to the end once that is allowed."""
    await may_read.wait()
    await reader.read()
    writer.close()


class TestCancelledAtOnce(unittest.IsolatedAsyncioTestCase):
    """Calls that are cancelled before their task has started."""

    async def asyncSetUp(self) -> None:
        """Start without any call."""
        self.served: list[messages.Message] = []

    # Such a call stayed registered forever.
    async def test_call_is_not_kept(self) -> None:
        """The call is not served, and its number is free."""
        link = Link(Endpoint('a', b'secret', self.serve), dialled=False)
        link._on_request(5, messages.Probe())
        link._on_request(5, messages.Cancel())
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual(self.served, [])
        self.assertEqual(link._served, {})

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Record a call."""
        self.served.append(message)


class TestSilentHandshake(unittest.IsolatedAsyncioTestCase):
    """A peer that accepts and sends nothing, as a paused process does."""

    async def test_connection_is_closed(self) -> None:
        """The connection stayed open, and a late challenge counted as a call.

        Soak seed 209 showed this as calls of the kind Challenge.
        """
        self.ended = asyncio.get_running_loop().create_future()
        silent = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        port = silent.sockets[0].getsockname()[1]
        client = PeerPool('client', SECRET, answer)
        with self.assertRaises(LinkError):
            await client.call(f'127.0.0.1:{port}', messages.Probe(), LIMIT_MS)
        async with asyncio.timeout(LIMIT_MS / 1000):
            self.assertEqual(await self.ended, b'')
        silent.close()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send nothing, and record how the connection ends."""
        try:
            self.ended.set_result(await reader.read())
        except ConnectionResetError:
            self.ended.set_result(b'')


class TestSilence(LinkCase):
    """An open connection that a device in between has dropped silently."""

    async def test_silent_link_is_replaced(self) -> None:
        """Its calls fail, and the next call uses a new connection."""
        proxy = LossyProxy(self.port)
        between = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
        port = between.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        client = PeerPool('client', SECRET, answer)
        watch = asyncio.create_task(client.probe_silent_links())
        await client.call(address, messages.Probe(), LIMIT_MS)
        proxy.lost = True
        lost = asyncio.create_task(
            client.call(address, messages.Probe(), LIMIT_MS)
        )
        # The proxy drops the open connection for good, and forwards new ones.
        await asyncio.sleep(0.05)
        proxy.lost = False
        with self.assertRaises(LinkError) as caught:
            await lost
        self.assertTrue(caught.exception.sent)
        self.assertEqual(client.replaced, 1)
        await client.call(address, messages.Probe(), LIMIT_MS)
        watch.cancel()
        client.close()
        between.close()
        for writer in proxy.writers:
            writer.close()
