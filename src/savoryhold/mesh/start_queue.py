"""Requests that wait for their start at the local target."""

import asyncio
import itertools

from savoryhold.core.clock import Clock
from savoryhold.mesh.requests import RelayedRequest
from savoryhold.mesh.target_capacity import TargetCapacity
from savoryhold.mesh.tickets import queue_error, ticket_of
from savoryhold.traffic import QueueRefusal, TargetQueue, Ticket

__all__ = ['StartQueue']

MS_PER_SECOND = 1000
TICK_MS = 25


class StartQueue:
    """Lets the requests of a queue wait until their tickets start.

    Parameters
    ----------
    queue : TargetQueue
        Decides which ticket starts when.
    capacity : TargetCapacity
        Counts the starts.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, queue: TargetQueue, capacity: TargetCapacity, clock: Clock
    ) -> None:
        self._queue = queue
        self._capacity = capacity
        self._clock = clock
        self._numbers = itertools.count(1)
        self._futures: dict[int, asyncio.Future[QueueRefusal | None]] = {}
        self._unsent: set[int] = set()
        self._added = asyncio.Event()

    async def tick(self) -> None:
        """Refuse late tickets and start due ones until cancelled."""
        while True:
            if not self._queue.waiting:
                self._added.clear()
                await self._added.wait()
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            now = self._clock.now()
            for refusal in self._queue.refuse_late(now):
                self._resolve(refusal.ticket.number, refusal)
            self.start_due()

    async def admit(self, req: RelayedRequest) -> Ticket:
        """Return the started ticket of a request.

        Raises
        ------
        BusyError
            If it cannot start in time.
        """
        now = self._clock.now()
        ticket = ticket_of(req, next(self._numbers), now)
        refusal = self._queue.offer(ticket, now)
        if refusal is None:
            refusal = await self._wait_for_start(ticket)
        if refusal is not None:
            raise queue_error(refusal)
        return ticket

    def start_due(self) -> None:
        """Start the tickets for which there are slots."""
        now = self._clock.now()
        ticket = self._queue.start_next(now)
        while ticket is not None:
            self._capacity.record_start()
            self._unsent.add(ticket.number)
            self._resolve(ticket.number, None)
            ticket = self._queue.start_next(now)

    def record_sent(self, ticket: Ticket) -> None:
        """Record that the request of a started ticket is being sent."""
        if ticket.number in self._unsent:
            self._unsent.remove(ticket.number)
            self._capacity.limiter.record_sent(self._clock.now())

    def end(self, number: int) -> None:
        """Remove a ticket, and start others in its place."""
        self._remove(number)
        self.start_due()

    def _remove(self, number: int) -> None:
        self._queue.remove(number)
        if number in self._unsent:
            self._unsent.remove(number)
            self._capacity.limiter.return_unsent()

    async def _wait_for_start(self, ticket: Ticket) -> QueueRefusal | None:
        fut = asyncio.get_running_loop().create_future()
        self._futures[ticket.number] = fut
        self._added.set()
        self.start_due()
        try:
            refusal: QueueRefusal | None = await fut
        except asyncio.CancelledError:
            self.end(ticket.number)
            raise
        finally:
            self._futures.pop(ticket.number, None)
        return refusal

    def _resolve(self, number: int, refusal: QueueRefusal | None) -> None:
        fut = self._futures.get(number)
        if fut is None or fut.done():
            self._remove(number)
            return
        fut.set_result(refusal)
