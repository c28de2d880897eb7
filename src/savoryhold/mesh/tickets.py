"""Tickets of relayed requests in their owner's queue."""

from savoryhold.mesh.requests import RelayedRequest
from savoryhold.traffic import Ticket

__all__ = ['ticket_of']


def ticket_of(req: RelayedRequest, number: int, now: int) -> Ticket:
    """Return the ticket of a request that arrives now."""
    return Ticket(
        number,
        req.route,
        req.priority,
        now,
        req.aim_at,
        req.deadline,
        nested=req.nested,
        returning=req.returning,
    )
