"""The memory of one caller's connection: what it holds and waits for."""

import abc
import asyncio
from collections.abc import Callable
from http import HTTPStatus

from savoryhold.traffic.routes import CallerLimits
from savoryhold.wire.intake_limits import IntakeLimits
from savoryhold.wire.memory_budget import (
    PROCESS_BUDGET,
    SMALL_BODY,
    Holder,
    Part,
    Waiter,
)
from savoryhold.wire.request_parser import SLICE_BYTES, RequestParser

__all__ = ['ConnectionMemory']

GROW_BYTES = 262_144  # by which room for a body of unknown length grows
PROGRESS_BYTES = 4096  # fewer bytes than that are no progress
MS_PER_SECOND = 1000


class ConnectionMemory(RequestParser, Holder):
    """Counts what a connection holds, and pauses it without room.

    Parameters
    ----------
    limits : callable
        Returns the `CallerLimits` in force.
    intake : IntakeLimits
        Further limits.
    now : callable
        Returns the time in ms.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        intake: IntakeLimits,
        now: Callable[[], int],
    ) -> None:
        super().__init__(limits, intake, now)
        # When the caller last made progress, in ms.
        self.progress_at = now()
        self._transport: asyncio.Transport | None = None
        self._closing = False
        # Reasons for which reading is paused.
        self._pauses: set[str] = set()
        # Bytes counted in the budget for the request that is being read.
        self._held = 0
        self._waiter: Waiter | None = None
        # Bytes of answers that the caller has not read, if writing is paused.
        self._unread = 0
        self._progress_bytes = 0

    @property
    def blocked(self) -> bool:
        """Return whether nothing may be parsed at present."""
        return self._closing or bool(self._pauses)

    def on_length(self, length: int) -> None:
        """Wait for room for a large body before it is read."""
        if length > PROCESS_BUDGET.largest():
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'memory_mb')
        else:
            self._ask_for_room(length)

    def on_costly_slice(self) -> None:
        """Parse the rest in the loop's next turn."""
        self._pause('slice')
        self._count_unfinished()
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._unpause, 'slice')

    # Memory ---------------------------------------------------------------

    def _note_progress(self, place: int) -> None:
        if place - self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = place
            self.progress_at = self.now()
        elif place < self._progress_bytes:
            self._progress_bytes = place

    def _count_unread(self, count: int) -> None:
        PROCESS_BUDGET.take(Part.UNREAD, count - self._unread)
        if count < self._unread:
            PROCESS_BUDGET.give(Part.UNREAD, 0)
        self._unread = count
        self._progress_bytes = -count
        self._set_holder()

    def _hold(self, count: int) -> None:
        """Count other bytes for the request being read than before."""
        if count < self._held:
            PROCESS_BUDGET.give(Part.REQUESTS, self._held - count)
        else:
            PROCESS_BUDGET.take(Part.REQUESTS, count - self._held)
        self._held = count
        self._set_holder()

    def _set_holder(self) -> None:
        if self._held or self._unread:
            PROCESS_BUDGET.holders.add(self)
        else:
            PROCESS_BUDGET.holders.discard(self)

    def _count_unfinished(self) -> None:
        """Count the request that is being read; wait if there is no room."""
        count = self.unfinished_bytes
        if not count:
            self._hold(0)
            return
        self._note_progress(self.body_bytes)
        more = count - self._held
        if more <= 0:
            return
        if self.in_head and self._lacks_room(count):
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'memory_mb')
            return
        # These bytes are in memory, whether there is room for them or not.
        self._hold(count)
        if self._waiter is not None:
            self._waiter.held = count
            self._waiter.need = max(0, self._waiter.need - more)
        elif self._grows and count > SMALL_BODY:
            self._ask_for_room(GROW_BYTES)
        else:
            self._await_room_for_small(count)

    def _await_room_for_small(self, count: int) -> None:
        """Wait if the budget is exceeded, unless all room was reserved."""
        reserved = (self.body_length or 0) > SMALL_BODY
        if not reserved and not PROCESS_BUDGET.fits(Part.REQUESTS, 0, count):
            self._ask_for_room(0)

    @property
    def _grows(self) -> bool:
        """Return whether the body that is being read has no known length."""
        return not self.in_head and self.body_length is None

    @property
    def _read_limit(self) -> int:
        """Return how much may be read at once: room for it may be missing."""
        fits = PROCESS_BUDGET.fits(Part.REQUESTS, SMALL_BODY, self._held)
        free = SLICE_BYTES if PROCESS_BUDGET.waiting or not fits else SMALL_BODY
        return max(free, self._held - self.unfinished_bytes)

    def _lacks_room(self, count: int) -> bool:
        """Return whether a head of unusual size exceeds the budget."""
        more = count - self._held
        if more < SMALL_BODY:
            return False
        return not PROCESS_BUDGET.fits(Part.REQUESTS, more, self._held)

    def _ask_for_room(self, count: int) -> None:
        if PROCESS_BUDGET.reserve(Part.REQUESTS, count, self._held):
            self._held += count
            self._set_holder()
            return
        if self._held + count > PROCESS_BUDGET.largest():
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'memory_mb')
            return
        now = asyncio.get_running_loop().time()
        waited_ms = self.now() - (self.started_at or self.now())
        self._waiter = Waiter(
            Part.REQUESTS,
            count,
            self._held,
            now,
            self._on_room,
            self._on_no_room,
            now - waited_ms / MS_PER_SECOND,
        )
        self._pause('memory')
        PROCESS_BUDGET.wait(self._waiter)

    def _on_room(self) -> None:
        assert self._waiter is not None
        self._held += self._waiter.need
        self._waiter = None
        self.progress_at = self.now()
        self._set_holder()
        self._unpause('memory')

    def _on_no_room(self) -> None:
        self._waiter = None
        self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'memory_mb')

    @abc.abstractmethod
    def on_dropped(self) -> None:
        """Process the end of a request that was not read to its end."""

    def _release(self) -> None:
        """Release the memory of the request that is being read."""
        if self.started_at is not None:
            self.on_dropped()
        self.drop()
        if self._waiter is not None:
            PROCESS_BUDGET.forget(self._waiter)
            self._waiter = None
        self._hold(0)

    # Reading --------------------------------------------------------------

    def _pause(self, reason: str) -> None:
        if not self._pauses and self._transport is not None:
            self._transport.pause_reading()
        self._pauses.add(reason)

    def _unpause(self, reason: str) -> None:
        if reason not in self._pauses:
            return
        self._pauses.discard(reason)
        if self.in_head and self.started_at is not None:
            # The rest of the head may have arrived long ago.
            self.started_at = self.now()
        if self._unparsed and not self._closing:
            self.feed_unparsed()
            self._count_unfinished()
        transport = self._transport
        if not self._pauses and transport and not transport.is_closing():
            transport.resume_reading()
