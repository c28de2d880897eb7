"""The memory of a link's large frames, counted in the process's budget."""

import asyncio
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from savoryhold.core.verdict import Verdict
from savoryhold.peer import messages
from savoryhold.peer.endpoint import Endpoint
from savoryhold.peer.frames import Frame
from savoryhold.peer.resumable import ResumableCalls
from savoryhold.peer.served_calls import CallKey
from savoryhold.peer.stream import LinkStream
from savoryhold.wire.memory_budget import PROCESS_BUDGET, Part, Waiter

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['LinkMemory']

RETRY_MS = 500
PAUSE_BYTES = 65_536  # of an answer; without room, larger ones stay unread
RELAY = messages.code_of(messages.Relay())


class LinkMemory:
    """Admits large frames to memory, and refuses requests without room.

    Parameters
    ----------
    link : Link
        The link.
    endpoint : Endpoint
        State that the links of this process share.
    resumable : ResumableCalls
        The resumable calls of the peer.
    """

    def __init__(
        self, link: 'Link', endpoint: Endpoint, resumable: ResumableCalls
    ) -> None:
        self._resumable = resumable
        self._link = link
        self._endpoint = endpoint
        # Sizes of the frames that arrive or wait for `on_handled`, in order:
        # one read may complete a frame and begin the next.
        self._held: deque[int] = deque()
        self._waiter: Waiter | None = None
        # Bytes of large replies in the buffer of a peer that does not read.
        self._unread = 0

    def may_hold(self, frame: Frame, size: int) -> bool:
        """Count a large frame; return whether there is room for it.

        Notes
        -----
        Only a request may be dropped: it is refused as not run.  Before a very
        large answer without room, the link pauses; smaller ones, such as
        tables, are read all the same.
        """
        if frame.code == RELAY and not frame.is_reply:
            if not PROCESS_BUDGET.reserve(Part.RELAYS, size):
                PROCESS_BUDGET.refusals['memory_mb:relays'] += 1
                return False
        else:
            has_room = PROCESS_BUDGET.fits(Part.RELAYS, size)
            PROCESS_BUDGET.take(Part.RELAYS, size)
            if not has_room and size > PAUSE_BYTES and self._waiter is None:
                self._wait(size)
        self._held.append(size)
        return True

    def on_handled(self, frame: Frame) -> None:
        """Release a frame with its call, if it began one, else at once."""
        if not self._held:
            # The message closed the link.
            return
        size = self._held.popleft()
        task = None if frame.is_reply else self._task_of(frame)
        if task is None or task.done():
            PROCESS_BUDGET.give_later(Part.RELAYS, size)
            return
        task.add_done_callback(
            lambda done: PROCESS_BUDGET.give(Part.RELAYS, size)
        )

    def refuse(self, frame: Frame) -> None:
        """Refuse the request of a dropped frame as not run."""
        refusal = messages.RelayAnswer(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            failed=True,
            verdict=Verdict.NOT_RUN.value,
            code='memory',
            text='limit: memory_mb of the node that owns the key',
            retry_after_ms=RETRY_MS,
        )
        if frame.resumable:
            self._resumable.refuse(frame.correlation, refusal)
        else:
            self._link.send(refusal, frame.correlation, is_reply=True)

    def on_reply_sent(self, size: int) -> None:
        """Count a large reply that the peer has not read yet."""
        self._unread += size
        PROCESS_BUDGET.take(Part.UNREAD, size)

    def on_drained(self) -> None:
        """Count the replies no longer."""
        PROCESS_BUDGET.give(Part.UNREAD, self._unread)
        self._unread = 0

    def close(self) -> None:
        """Release what the closed link holds."""
        self.on_drained()
        PROCESS_BUDGET.give(Part.RELAYS, sum(self._held))
        self._held.clear()
        if self._waiter is not None:
            PROCESS_BUDGET.forget(self._waiter)
            self._waiter = None

    def _task_of(self, frame: Frame) -> 'asyncio.Task[None] | None':
        call: LinkStream | None = self._link.served_call(frame.correlation)
        if frame.resumable:
            key = CallKey(self._link.process, frame.correlation)
            call = self._endpoint.served.get(key)
        return None if call is None else call.task

    def _wait(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = Waiter(
            Part.ANSWERS, 0, size, loop.time(), self._go_on, self._go_on
        )
        PROCESS_BUDGET.wait(self._waiter)
        self._link.pause_reading()

    def _go_on(self) -> None:
        # Without room for long, one more answer is read: a target ran it.
        self._waiter = None
        self._link.resume_reading()
