"""One multiplexed connection to another node."""

import asyncio
from functools import partial
from typing import cast

from savoryhold.core.errors import LinkError, MalformedMessageError
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.frames import (
    LARGE_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    pack_parts,
)
from savoryhold.peer.handshake import MAX_HANDSHAKE_BYTES, Handshake
from savoryhold.peer.link_memory import LinkMemory
from savoryhold.peer.resumable import ResumableCalls
from savoryhold.peer.served_calls import ProcessId
from savoryhold.peer.stream import LinkStream
from savoryhold.send_buffer import count_unacknowledged

__all__ = ['Link']


class Link(asyncio.Protocol):
    """A connection between two nodes, authenticated by a shared secret.

    Parameters
    ----------
    endpoint : Endpoint
        State that the links of this process share.
    dialled : bool
        Whether this end opened the connection.
    """

    def __init__(self, endpoint: Endpoint, *, dialled: bool) -> None:
        # Ids of the peer's node and process; `life` stays empty if the peer
        # does not state one, as calls to such a peer are not resumable.
        self.peer = ''
        self.life = ''
        self.address = ''
        self.ready: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.last_received = 0.0
        self.waiting_since = 0.0
        self.bytes_sent = 0
        self.transit = TransitDelay()
        self.reason = ''
        self.dialled = dialled
        # Counts the links of this process in the order of their handshakes.
        self.order = 0
        # Whether a newer link of the peer's process has replaced this one.
        self.retired = False
        self._endpoint = endpoint
        self._handshake = Handshake(endpoint, dialled=dialled)
        self._resumable_calls = ResumableCalls(self, endpoint)
        self._memory = LinkMemory(self, endpoint, self._resumable_calls)
        self._reader = FrameReader(self._memory.may_hold)
        # A peer that is not authenticated yet fills no memory.
        self._reader.max_bytes = 2 * MAX_HANDSHAKE_BYTES
        self._is_paused = False
        self._writes_pause = False
        self._transport: asyncio.Transport | None = None
        # Calls opened by this end, and by the peer, by number; resumable
        # calls of the peer are in `Endpoint.served` instead.
        self._calls: dict[int, LinkStream] = {}
        self._served: dict[int, LinkStream] = {}
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._closed

    @property
    def waiting(self) -> int:
        """Return how many calls opened by this end are under way."""
        return len(self._calls)

    @property
    def silent_since(self) -> float:
        """Return since when calls have waited without any bytes arriving."""
        if self._is_paused:
            # This end does not read.
            return _now()
        return max(self.last_received, self.waiting_since)

    @property
    def in_frame(self) -> bool:
        """Return whether a frame has arrived in part."""
        return not self._closed and self._reader.in_frame

    @property
    def unacknowledged_bytes(self) -> int:
        """Return how many bytes the other kernel has not acknowledged."""
        if self._closed or self._transport is None:
            return 0
        return count_unacknowledged(self._transport)

    @property
    def serving(self) -> int:
        """Return how many calls opened by the peer are being served."""
        return len(self._served) + len(self._endpoint.served.active_on(self))

    @property
    def process(self) -> ProcessId:
        """Return the id of the peer's process."""
        return ProcessId(self.life)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; the accepting end sends the challenge."""
        self._transport = cast(asyncio.Transport, transport)
        if not self.dialled:
            self._endpoint.pending_handshakes.add(self)
            self.send(self._handshake.challenge(), 0)

    def data_received(self, received: bytes) -> None:
        """Parse bytes; malformed data closes the link."""
        if self._closed:
            return
        self.last_received = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(received):
                self._on_frame(frame)
        except MalformedMessageError as exc:
            self._endpoint.on_malformed(str(exc))
            self.abort(exc)

    def pause_writing(self) -> None:
        """Count the large replies that are sent from now on."""
        self._writes_pause = True

    def resume_writing(self) -> None:
        """Count no replies, as the peer has read them."""
        self._writes_pause = False
        self._memory.on_drained()

    def pause_reading(self) -> None:
        """Leave the bytes of the peer unread."""
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._is_paused = False
        self.last_received = _now()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def served_call(self, number: int) -> LinkStream | None:
        """Return a call of the peer that is not resumable."""
        return self._served.get(number)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the link and end its calls."""
        self.abort(exc or ConnectionError('connection closed'))

    def abort(self, exc: Exception) -> None:
        """Close the connection; calls that cannot move get a `LinkError`."""
        if self._closed:
            return
        self._closed = True
        self._endpoint.pending_handshakes.discard(self)
        self._memory.close()
        self.reason = str(exc)
        self._endpoint.on_closed(self)
        if self._transport is not None:
            self._transport.abort()
        if not self.ready.done():
            self.ready.set_exception(LinkError(str(exc), sent=False))
            self.ready.exception()
        for served in list(self._served.values()):
            served.cancel()
        if self._endpoint.newest_links.get(self.process) is self:
            self._endpoint.newest_links.pop(self.process)
        self._endpoint.on_orphaned(self)
        movable = self.take_movable_calls()
        for call in list(self._calls.values()):
            call.deliver(None)
        if movable:
            self._endpoint.on_calls_movable(self, movable)

    def take_movable_calls(self) -> list[LinkStream]:
        """Remove and return the calls that can continue on another link."""
        found = [call for call in self._calls.values() if call.movable]
        for call in found:
            self._calls.pop(call.number)
        return found

    def take_over(self) -> None:
        """Have the peer retire all earlier links of this process.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        if self.life:
            self.send(messages.LinkTakeover(), 0)

    def adopt(self, call: LinkStream) -> None:
        """Continue a call of an earlier link on this one.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self._register(call)
        call.move(self)

    def open(self) -> LinkStream:
        """Return a new call to the peer."""
        number = next(self._endpoint.call_numbers)
        call = LinkStream(self, number, is_initiator=True)
        self._register(call)
        return call

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and return the one reply.

        Raises
        ------
        LinkError
            If the link is or gets closed, or no reply arrives in time.
        """
        call = self.open()
        try:
            call.send(message)
            return await call.receive(timeout_ms)
        finally:
            call.close()

    def send(
        self,
        message: messages.Message,
        correlation: int,
        *,
        is_reply: bool = False,
        resumable: bool = False,
    ) -> None:
        """Send one frame.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        if self._closed or self._transport is None:
            raise LinkError(f'link to {self.peer} is closed', sent=False)
        parts = messages.encode_parts(message)
        code = messages.code_of(message)
        frame = Frame(code, correlation, is_reply, b'', resumable)
        packed = pack_parts(frame, parts)
        size = sum(map(len, packed))
        self.bytes_sent += size
        if len(packed) == 1:
            self._transport.write(packed[0])
        else:
            self._transport.writelines(packed)
        if self._writes_pause and is_reply and size > LARGE_BYTES:
            self._memory.on_reply_sent(size)

    def forget(self, correlation: int, *, is_initiator: bool) -> None:
        """Drop the state of a call."""
        table = self._calls if is_initiator else self._served
        table.pop(correlation, None)

    def hand_over(self, call: LinkStream) -> None:
        """Have a call of this closed link continue on the next one."""
        self._calls.pop(call.number, None)
        self._endpoint.on_calls_movable(self, [call])

    def _register(self, call: LinkStream) -> None:
        if not self._calls:
            self.waiting_since = _now()
        self._calls[call.number] = call

    def _on_frame(self, frame: Frame) -> None:
        if not self.ready.done():
            self._handshake.check_frame(frame)
        if frame.dropped:
            self._memory.refuse(frame)
            return
        is_large = len(frame.payload) > LARGE_BYTES
        self._dispatch(frame, messages.decode(frame.code, frame.payload))
        if is_large:
            self._memory.on_handled(frame)

    def _dispatch(self, frame: Frame, message: messages.Message) -> None:
        if not self.ready.done():
            self._on_handshake(message)
        elif frame.is_reply:
            call = self._calls.get(frame.correlation)
            if call is not None:
                call.deliver(message)
        elif isinstance(message, messages.LinkTakeover):
            self._resumable_calls.take_over()
        elif frame.resumable:
            self._resumable_calls.dispatch(frame.correlation, message)
        else:
            self._on_request(frame.correlation, message)

    def _on_request(self, correlation: int, message: messages.Message) -> None:
        served = self._served.get(correlation)
        if isinstance(message, messages.Cancel):
            if served is not None:
                served.cancel()
            return
        if served is not None:
            served.deliver(message)
            return
        if isinstance(message, messages.Credit):
            # Late credit, for a call whose last chunk has been sent.
            return
        served = LinkStream(self, correlation, is_initiator=False)
        self._served[correlation] = served
        served.task = asyncio.create_task(self._endpoint.serve(served, message))
        # A task cancelled before its first step runs none of its code, also
        # no `finally`; a callback always runs.
        served.task.add_done_callback(partial(_close, served))

    def _on_handshake(self, message: messages.Message) -> None:
        reply = self._handshake.reply_to(message)
        if not isinstance(message, messages.Challenge):
            self.peer = message.node
            self.life = message.life or ''
            self._reader.max_bytes = MAX_FRAME_BYTES
            self._endpoint.pending_handshakes.discard(self)
            self.order = next(self._endpoint.link_orders)
            self.ready.set_result(None)
        if reply is not None:
            self.send(reply, 0)


def _close(call: LinkStream, task: 'asyncio.Task[None]') -> None:
    call.close()


def _now() -> float:
    return asyncio.get_running_loop().time()
