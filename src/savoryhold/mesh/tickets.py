"""Tickets of relayed requests in their owner's queue."""

from savoryhold.mesh.requests import BusyError, RelayedRequest
from savoryhold.traffic import QueueRefusal, TargetQueue, Ticket

__all__ = ['queue_error', 'room_ms', 'ticket_of']


def ticket_of(req: RelayedRequest, number: int, now: int) -> Ticket:
    """Return the ticket of a request that arrives now."""
    return Ticket(
        number,
        req.route,
        req.priority,
        now,
        req.aim_at,
        req.deadline,
        expected_ms=req.expected_ms,
        size=len(req.body),
        nested=req.nested,
        returning=req.returning,
        origin=req.origin,
    )


def queue_error(refusal: QueueRefusal) -> BusyError:
    """Return the error of a request that the queue has refused."""
    text = f'queue: {refusal.reason}'
    if refusal.share:
        text += f', share {refusal.share:.2f} of {refusal.ticket.origin}'
    exc = BusyError(text, refusal.retry_ms)
    exc.room_ms = refusal.room_ms
    return exc


def room_ms(queue: TargetQueue, req: RelayedRequest, now: int) -> float:
    """Return the wait to expect for the next request like one."""
    return queue.room_ms(req.priority, now, returning=req.returning)
