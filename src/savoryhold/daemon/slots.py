"""Admission of requests to the slots of the local target."""

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
    """Awaitable front of the admission queues, one queue a service.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    Each waiting request has a future, which is resolved when its queue
    admits or refuses it.
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
        """Set a service's limits; requests may be waiting and running."""
        queue = self._queues.get(service)
        if queue is None:
            self._queues[service] = AdmissionQueue(limits)
        elif queue.limits != limits:
            queue.reconfigure(limits)

    def restart(self) -> None:
        """Limit concurrency as for a target that has just started."""
        for queue in self._queues.values():
            queue.restart()

    def expire(self) -> None:
        """Refuse waiting requests that can't end before their deadline."""
        for queue in self._queues.values():
            self._resolve(queue.expire(self._clock.now()))

    def refuse(self, number: int, exc: RequestError) -> None:
        """Refuse a request if it is still waiting."""
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_exception(exc)

    async def admit(self, service: ServiceName, ticket: Ticket) -> None:
        """Wait until a ticket is admitted.

        Raises
        ------
        RequestError
            If the ticket is refused.
        """
        queue = self._queues[service]
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = fut
        try:
            await self._enqueue(queue, ticket, fut)
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
        self._resolve(queue.finish(ticket, now, took_ms=took_ms))

    async def _enqueue(
        self, queue: AdmissionQueue, ticket: Ticket, fut: asyncio.Future[None]
    ) -> None:
        self._resolve(queue.offer(ticket, self._clock.now()))
        await fut

    def _resolve(self, decisions: list[Decision]) -> None:
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
    return OverloadError('the admission queue is full', REFUSED_RETRY_MS)


def _deadline_unreachable() -> RequestError:
    return DeadlineError(
        'the request would not end before its deadline', REFUSED_RETRY_MS
    )


_REFUSALS: dict[Refusal, Callable[[], RequestError]] = {
    Refusal.QUEUE_FULL: _queue_full,
    Refusal.DEADLINE: _deadline_unreachable,
}
