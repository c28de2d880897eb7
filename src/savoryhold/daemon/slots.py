"""Waiting for a slot of the target, one future a request."""

import asyncio
from collections.abc import Callable

from savoryhold.core.admission import (
    AdmissionLimits,
    AdmissionQueue,
    Decision,
    Refusal,
    Ticket,
)
from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    DeadlineError,
    OverloadError,
    RequestError,
)
from savoryhold.core.ids import ServiceName

__all__ = ['SlotTask']

REFUSED_RETRY_MS = 200


class SlotTask:
    """Admits requests into the target's slots.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self._waiting: dict[int, asyncio.Future[None]] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(queue.waiting for queue in self._queues.values())

    def configure(self, service: ServiceName, limits: AdmissionLimits) -> None:
        """Put a service's limits in force, also while requests run."""
        queue = self._queues.get(service)
        if queue is None:
            self._queues[service] = AdmissionQueue(limits)
        elif queue.limits != limits:
            queue.reconfigure(limits)

    def restart(self) -> None:
        """Ramp up again, since the target has started anew."""
        for queue in self._queues.values():
            queue.restart()

    def expire(self) -> None:
        """Refuse requests that can no longer be in time."""
        for queue in self._queues.values():
            self._settle(queue.expire(self._clock.now()))

    def refuse(self, number: int, exc: RequestError) -> None:
        """Refuse a request if it still waits."""
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_exception(exc)

    async def admit(self, service: ServiceName, ticket: Ticket) -> None:
        """Wait until a ticket is admitted.

        Raises
        ------
        RequestError
            If it is refused.
        """
        queue = self._queues[service]
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = fut
        try:
            await self._offer(queue, ticket, fut)
        except BaseException:
            if not queue.withdraw(ticket) and _was_admitted(fut):
                self.finish(service, ticket, took_ms=None)
            raise
        finally:
            self._waiting.pop(ticket.number, None)

    def finish(
        self, service: ServiceName, ticket: Ticket, *, took_ms: int | None
    ) -> None:
        """Free a ticket's slot; see `AdmissionQueue.finish`."""
        now = self._clock.now()
        queue = self._queues[service]
        self._settle(queue.finish(ticket, now, took_ms=took_ms))

    async def _offer(
        self, queue: AdmissionQueue, ticket: Ticket, fut: asyncio.Future[None]
    ) -> None:
        self._settle(queue.offer(ticket, self._clock.now()))
        await fut

    def _settle(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            fut = self._waiting.get(decision.ticket.number)
            if fut is None or fut.done():
                continue
            if decision.refusal is None:
                fut.set_result(None)
            else:
                fut.set_exception(_REFUSALS[decision.refusal]())


def _was_admitted(fut: asyncio.Future[None]) -> bool:
    return fut.done() and not fut.cancelled() and fut.exception() is None


def _queue_full() -> RequestError:
    return OverloadError('the queue is full', REFUSED_RETRY_MS)


def _too_late() -> RequestError:
    return DeadlineError('it would not end in time', REFUSED_RETRY_MS)


_REFUSALS: dict[Refusal, Callable[[], RequestError]] = {
    Refusal.QUEUE_FULL: _queue_full,
    Refusal.DEADLINE: _too_late,
}
