"""One multiplexed connection to another daemon."""

import asyncio
import hmac
import secrets
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import cast

from savoryhold.core.errors import LinkError, MalformedMessageError
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages
from savoryhold.peer.frames import Frame, FrameReader, pack_frame

__all__ = ['Link', 'LinkStream', 'PeerHandler']

NONCE_BYTES = 16
MAX_GREETING_BYTES = 1024
MS_PER_SECOND = 1000

PeerHandler = Callable[['LinkStream', messages.Message], Awaitable[None]]


class LinkStream:
    """One call on a link: messages of one correlation id, both ways."""

    def __init__(self, link: 'Link', correlation: int, *, ours: bool) -> None:
        self.link = link
        self._correlation = correlation
        self._ours = ours
        self._inbox: deque[messages.Message | None] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def peer(self) -> str:
        """Return the id of the node at the other end."""
        return self.link.peer

    def send(self, message: messages.Message) -> None:
        """Send a message of this call.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self.link.send(message, self._correlation, is_reply=not self._ours)

    async def receive(self, timeout_ms: float) -> messages.Message:
        """Return the next message of this call.

        Raises
        ------
        LinkError
            If the link closes or no message comes in time.
        """
        if not self._inbox:
            await self._wait(timeout_ms)
        if not self._inbox:
            raise LinkError('no reply in time', sent=True)
        message = self._inbox.popleft()
        if message is None:
            raise LinkError(f'link closed: {self.link.reason}', sent=True)
        return message

    def deliver(self, message: messages.Message | None) -> None:
        """Put a received message, or None for the end, in the inbox."""
        self._inbox.append(message)
        self._wake()

    def cancel(self) -> None:
        """Stop serving the call: its beginner is gone."""
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Forget the call at this end."""
        self.link.forget(self._correlation, ours=self._ours)

    async def _wait(self, timeout_ms: float) -> None:
        # A future and a timer cost less than `asyncio.wait_for`'s task.
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(timeout_ms / MS_PER_SECOND, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Link(asyncio.Protocol):
    """A connection between two daemons, greeted by a shared secret.

    Parameters
    ----------
    node : str
        This node's id.
    secret : bytes
        The secret that all daemons share.
    handler : callable
        Awaited for each call that the peer begins.
    dialled : bool
        Whether this end opened the connection.

    Notes
    -----
    Both ends prove the secret by an HMAC-SHA256 over the other's nonce.
    """

    def __init__(
        self, node: str, secret: bytes, handler: PeerHandler, *, dialled: bool
    ) -> None:
        self.peer = ''
        self.ready: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.last_received = 0.0
        self.bytes_sent = 0
        self.transit = TransitDelay()
        self.reason = ''
        self.on_malformed: Callable[[str], None] = lambda reason: None
        self.on_closed: Callable[[Link], None] = lambda link: None
        self._node = node
        self._secret = secret
        self._handler = handler
        self.dialled = dialled
        self._nonce = secrets.token_hex(NONCE_BYTES)
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._calls: dict[int, LinkStream] = {}
        self._served: dict[int, LinkStream] = {}
        self._next = 1
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the connection is gone."""
        return self._closed

    @property
    def waiting(self) -> int:
        """Return how many own calls wait for messages."""
        return len(self._calls)

    @property
    def serving(self) -> int:
        """Return how many calls of the peer are being served."""
        return len(self._served)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the greeting."""
        self._transport = cast(asyncio.Transport, transport)
        if not self.dialled:
            self.send(messages.Challenge(nonce=self._nonce), 0)

    def data_received(self, received: bytes) -> None:
        """Take in bytes; garbage closes the link."""
        if self._closed:
            return
        self.last_received = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(received):
                self._on_frame(frame)
        except MalformedMessageError as exc:
            self.on_malformed(str(exc))
            self.abort(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all calls."""
        self.abort(exc or ConnectionError('connection closed'))

    def abort(self, exc: Exception) -> None:
        """Close the connection; calls in flight end with `LinkError`."""
        if self._closed:
            return
        self._closed = True
        self.reason = str(exc)
        self.on_closed(self)
        if self._transport is not None:
            self._transport.abort()
        if not self.ready.done():
            self.ready.set_exception(LinkError(str(exc), sent=False))
            self.ready.exception()
        for call in list(self._calls.values()):
            call.deliver(None)
        for served in list(self._served.values()):
            served.cancel()

    def open(self) -> LinkStream:
        """Return a new call to the peer."""
        self._next += 1
        call = LinkStream(self, self._next, ours=True)
        self._calls[self._next] = call
        return call

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and return the one reply.

        Raises
        ------
        LinkError
            If the link is or gets closed, or no reply comes in time.
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
    ) -> None:
        """Send one frame.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        if self._closed or self._transport is None:
            raise LinkError(f'link to {self.peer} is closed', sent=False)
        payload = messages.encode(message)
        code = messages.code_of(message)
        packed = pack_frame(Frame(code, correlation, is_reply, payload))
        self.bytes_sent += len(packed)
        self._transport.write(packed)

    def forget(self, correlation: int, *, ours: bool) -> None:
        """Drop what is kept of a call."""
        table = self._calls if ours else self._served
        table.pop(correlation, None)

    def _on_frame(self, frame: Frame) -> None:
        if not self.ready.done():
            self._check_greeting(frame)
        message = messages.decode(frame.code, frame.payload)
        if not self.ready.done():
            self._greet(message)
        elif frame.is_reply:
            call = self._calls.get(frame.correlation)
            if call is not None:
                call.deliver(message)
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
            # Credit for an answer whose last chunk is already sent.
            return
        served = LinkStream(self, correlation, ours=False)
        self._served[correlation] = served
        served.task = asyncio.create_task(self._serve(served, message))
        # A task that is cancelled before its first step runs no `finally`.
        served.task.add_done_callback(partial(_close, served))

    async def _serve(
        self, served: LinkStream, message: messages.Message
    ) -> None:
        try:
            await self._handler(served, message)
        except LinkError:
            # The peer went away; its own end reports that.
            return

    def _check_greeting(self, frame: Frame) -> None:
        small = len(frame.payload) <= MAX_GREETING_BYTES
        if not small or not messages.is_greeting(frame.code):
            raise MalformedMessageError('no greeting at the start of a link')

    def _greet(self, message: messages.Message) -> None:
        if isinstance(message, messages.Challenge) and self.dialled:
            mac = self._mac(message.nonce, self._node)
            hello = messages.Hello(node=self._node, nonce=self._nonce, mac=mac)
            self.send(hello, 0)
        elif isinstance(message, messages.Hello) and not self.dialled:
            self._check(message.mac, self._nonce, message.node)
            mac = self._mac(message.nonce, self._node)
            self.send(messages.Welcome(node=self._node, mac=mac), 0)
        elif isinstance(message, messages.Welcome) and self.dialled:
            self._check(message.mac, self._nonce, message.node)
        else:
            name = type(message).__name__
            raise MalformedMessageError(f'{name} before the greeting')

    def _check(self, mac: str, nonce: str, node: str) -> None:
        expected = self._mac(nonce, node)
        if not hmac.compare_digest(str(mac).encode(), expected.encode()):
            raise MalformedMessageError(
                f'greeting of {node!r} does not prove the shared secret'
            )
        self.peer = node
        self.ready.set_result(None)

    def _mac(self, nonce: str, node: str) -> str:
        text = f'{nonce}|{node}'.encode()
        return hmac.new(self._secret, text, 'sha256').hexdigest()


def _close(call: LinkStream, task: 'asyncio.Task[None]') -> None:
    call.close()
