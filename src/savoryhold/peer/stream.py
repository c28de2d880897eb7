"""One end of a call: the messages with one number, in both directions."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from savoryhold.core.errors import LinkError
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages

__all__ = ['Carrier', 'LinkStream', 'MakeMessage']

MS_PER_SECOND = 1000

MakeMessage = Callable[[], messages.Message]


class Carrier(Protocol):
    """The part of a link that its calls use."""

    peer: str
    life: str
    reason: str
    transit: TransitDelay

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""

    def send(
        self,
        message: messages.Message,
        correlation: int,
        *,
        is_reply: bool = False,
        resumable: bool = False,
    ) -> None:
        """Send one frame."""

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and return the one reply."""

    def forget(self, correlation: int, *, is_initiator: bool) -> None:
        """Drop the state of a call."""

    def hand_over(self, call: 'LinkStream') -> None:
        """Have a call of a closed link continue on the next one."""


class LinkStream:
    """One end of a call.

    Parameters
    ----------
    link : Carrier
        Link that currently carries the call.
    number : int
        Number of the call, chosen by its initiator.
    is_initiator : bool
        Whether this end is the initiator.
    """

    def __init__(
        self, link: Carrier, number: int, *, is_initiator: bool
    ) -> None:
        self.link = link
        self.number = number
        self.resumable = False
        self.task: asyncio.Task[None] | None = None
        self._is_initiator = is_initiator
        self._make_first: MakeMessage | None = None
        self._has_received = False
        self._expects_more = False
        self._cancel_pending = False
        self._is_cut_off = False
        self._inbox: deque[messages.Message | None] = deque()
        self._waiter: asyncio.Future[None] | None = None

    @property
    def peer(self) -> str:
        """Return the id of the node at the other end."""
        return self.link.peer

    @property
    def movable(self) -> bool:
        """Return whether the call can continue on another link."""
        unanswered = not (self._has_received or self._is_cut_off)
        return self._cancel_pending or (self.resumable and unanswered)

    @property
    def cancel_pending(self) -> bool:
        """Return whether the peer has yet to confirm a cancellation."""
        return self._cancel_pending

    def begin(self, make_first: MakeMessage) -> None:
        """Send the first message of a resumable call.

        Parameters
        ----------
        make_first : callable
            Builds the first message, for instance with the time that is left
            now; called again for each link to which the call moves.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self.resumable = bool(self.link.life)
        self._make_first = make_first
        self.send(make_first())

    def move(self, link: Carrier) -> None:
        """Continue on another link, by sending the first message again.

        Raises
        ------
        LinkError
            If that link is closed.
        """
        self.link = link
        if self._make_first is not None:
            self.send(self._make_first())

    def send(self, message: messages.Message) -> None:
        """Send a message of this call.

        Raises
        ------
        LinkError
            If the link is closed.
        """
        self._write(message)

    def cancel_at_peer(self) -> None:
        """Have the peer cancel the call, even if this link fails.

        Notes
        -----
        The call stays registered on its link until the peer confirms the
        cancellation.  A silent link is thus noticed, and the cancellation is
        sent again on the next link.  A call whose whole answer or end has
        been received has ended at the peer already.
        """
        if self._has_received and not self._expects_more:
            return
        self._cancel_pending = self.resumable
        self._make_first = messages.Cancel
        try:
            self.send(messages.Cancel())
        except LinkError:
            # A call that is not resumable ends with its link.
            if self._cancel_pending:
                self.link.hand_over(self)

    async def receive(self, timeout_ms: float) -> messages.Message:
        """Return the next message of this call.

        Raises
        ------
        LinkError
            If the link closes or no message arrives in time.
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
        """Queue a received message; None means that the call was cut off."""
        if message is None:
            self._is_cut_off = True
        else:
            self._has_received = True
            self._expects_more = bool(getattr(message, 'more', False))
        if self._cancel_pending:
            # Ignore answers that crossed the cancellation.
            if message is None or isinstance(message, messages.CallEnded):
                self._cancel_pending = False
                self.close()
            return
        self._inbox.append(message)
        self._wake()

    def cancel(self) -> None:
        """Stop serving the call, as its initiator no longer waits."""
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Drop the call; if it is being cancelled, `deliver` does so later."""
        if self._cancel_pending:
            return
        self._make_first = None
        self.resumable = False
        self.link.forget(self.number, is_initiator=self._is_initiator)

    def _write(self, message: messages.Message) -> None:
        self.link.send(
            message,
            self.number,
            is_reply=not self._is_initiator,
            resumable=self.resumable,
        )

    async def _wait(self, timeout_ms: float) -> None:
        # A future and a timer are cheaper than the task of `asyncio.wait_for`.
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
