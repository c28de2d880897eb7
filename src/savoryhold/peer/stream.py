"""One call on a link: messages of one number, both ways."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from savoryhold.core.errors import LinkError
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages

__all__ = ['Carrier', 'LinkStream', 'Renew']

MS_PER_SECOND = 1000

Renew = Callable[[], messages.Message]


class Carrier(Protocol):
    """What a call needs of the link that carries it."""

    peer: str
    life: str
    reason: str
    transit: TransitDelay

    @property
    def closed(self) -> bool:
        """Return whether the connection is gone."""

    def send(
        self,
        message: messages.Message,
        correlation: int,
        *,
        is_reply: bool = False,
        lasting: bool = False,
    ) -> None:
        """Send one frame."""

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and return the one reply."""

    def forget(self, correlation: int, *, ours: bool) -> None:
        """Drop what is kept of a call."""


class LinkStream:
    """One end of a call.

    Parameters
    ----------
    link : Carrier
        Link that carries the call now.
    number : int
        Number of the call, chosen by the end that began it.
    ours : bool
        Whether this end began it.
    """

    def __init__(self, link: Carrier, number: int, *, ours: bool) -> None:
        self.link = link
        self.number = number
        self.lasting = False
        self.task: asyncio.Task[None] | None = None
        self._ours = ours
        self._renew: Renew | None = None
        self._received = False
        self._is_within = False
        self._given_up = False
        self._inbox: deque[messages.Message | None] = deque()
        self._waiter: asyncio.Future[None] | None = None

    @property
    def peer(self) -> str:
        """Return the id of the node at the other end."""
        return self.link.peer

    @property
    def movable(self) -> bool:
        """Return whether the call can go on over another link."""
        return self._given_up or (self.lasting and not self._received)

    def begin(self, renew: Renew) -> None:
        """Send the first message of a call that may move to another link.

        Parameters
        ----------
        renew : callable
            Returns the first message as it has to be now; called again for
            each link to which the call moves.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self.lasting = bool(self.link.life)
        self._renew = renew
        self.send(renew())

    def move(self, link: Carrier) -> None:
        """Go on over another link, which gets the first message again.

        Raises
        ------
        LinkError
            If that link is closed, too.
        """
        self.link = link
        if self._renew is not None:
            self.send(self._renew())

    def send(self, message: messages.Message) -> None:
        """Send a message of this call.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self._write(message)

    def cancel_at_peer(self) -> None:
        """Have the peer end the call, whatever becomes of this link.

        Notes
        -----
        The call stays on its link until the peer has confirmed, so that a
        silent link is noticed and the word goes out again on the next one.
        One that has its whole answer, or its end, is over at the peer, too.
        """
        if self._received and not self._is_within:
            return
        self._given_up = self.lasting
        self._renew = messages.Cancel
        try:
            self.send(messages.Cancel())
        except LinkError:
            # A call that does not move ends with its link.
            return

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
        if isinstance(message, messages.CallEnded):
            raise LinkError('the peer has dropped the call', sent=True)
        return message

    def deliver(self, message: messages.Message | None) -> None:
        """Put a received message, or None for the end, in the inbox."""
        self._received = True
        self._is_within = bool(getattr(message, 'more', False))
        if self._given_up:
            # A part of the answer was sent before the peer knew.
            if message is None or isinstance(message, messages.CallEnded):
                self._given_up = False
                self.close()
            return
        self._inbox.append(message)
        self._wake()

    def cancel(self) -> None:
        """Stop serving the call: its beginner is gone."""
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Forget the call; one given up, once the peer has confirmed."""
        if self._given_up:
            return
        self._renew = None
        self.lasting = False
        self.link.forget(self.number, ours=self._ours)

    def _write(self, message: messages.Message) -> None:
        self.link.send(
            message,
            self.number,
            is_reply=not self._ours,
            lasting=self.lasting,
        )

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
