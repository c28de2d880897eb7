"""Requests in the queue of a target."""

import dataclasses

__all__ = ['QueueRefusal', 'Ticket']

NESTED_RANK = -1  # their runs hold slots of other targets meanwhile
RETURNING_RANK = 0
NEW_RANK = 1


@dataclasses.dataclass(slots=True)
class Ticket:
    """A request that is queued or running; times in ms.

    ``aim_at`` is when it should have ended, ``deadline`` when it must have.
    Run times are measured for each ``kind``.  ``nested`` calls, which have the
    priority of their runs, precede callers' requests of that priority, and
    ``returning`` requests precede new ones.  ``origin`` is the node that it
    comes from.  ``urgency`` is the place in the order of service: by priority,
    by rank within the priority, and by aim.  An ``abandoned`` run goes on
    though its caller has gone.  ``expected_ms`` is the forecast of its run time
    at a target of usual pace, 0 if there is none, and ``size`` that of the body
    in bytes.
    """

    number: int
    kind: str
    priority: int
    arrived_at: int
    aim_at: int
    deadline: int
    started_at: int = 0
    expected_ms: float = 0.0
    size: int = 0
    nested: bool = False
    returning: bool = False
    origin: str = ''
    start_tag: float = 0.0
    abandoned: bool = False
    urgency: tuple[int, int, int, int] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the urgency, which does not change while it waits."""
        rank = RETURNING_RANK if self.returning else NEW_RANK
        self.rank(NESTED_RANK if self.nested else rank)

    def rank(self, rank: int) -> None:
        """Set the rank within the priority."""
        self.urgency = (self.priority, rank, self.aim_at, self.number)

    def demote(self) -> None:
        """Rank the ticket behind others, as its node exceeds its share."""
        self.rank(self.urgency[1] + 1)


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRefusal:
    """A ticket that will not run, and when its caller may retry.

    ``room_ms`` is the expected wait of such a ticket, 0 if it is not told, and
    ``share`` its node's share of the capacity, 0 if it does not matter.
    """

    ticket: Ticket
    reason: str
    retry_ms: int
    room_ms: float = 0.0
    share: float = 0.0
