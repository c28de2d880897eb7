"""Where keys should go: first spread, lost nodes, uneven load."""

import dataclasses
from collections.abc import Collection, Sequence

from savoryhold.core.ids import NodeId
from savoryhold.ranges.table import OwnershipChange, RangeTable, Span

__all__ = [
    'TargetLoad',
    'HandoverOrder',
    'plan_claims',
    'plan_handovers',
    'distribute_spans',
]

BUSY = 0.6  # of a target's slots; below it an uneven load delays nobody
UNEVEN = 1.25  # busiest over mean that is worth a move
SMALLEST = 0.3  # slots; a smaller move is lost in the noise
MOST_ORDERS = 4  # spans that one node gives away at once


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What one target of a service carries.

    Parameters
    ----------
    node : NodeId
        The node beside the target.
    demand : float
        Work that its keys bring, in slots at this target's own speed.
    slots : int
        Requests that it runs at once.
    keys : int
        How many keys its node owns.
    """

    node: NodeId
    demand: float
    slots: int
    keys: int

    @property
    def use(self) -> float:
        """Return demand over capacity."""
        return self.demand / max(1, self.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverOrder:
    """Asks a node to give a share of its work to another."""

    giver: NodeId
    taker: NodeId
    share: float


def plan_handovers(loads: Sequence[TargetLoad]) -> list[HandoverOrder]:
    """Return the moves that level the load, and feed empty targets."""
    if len(loads) < 2:
        return []
    fed = _feed(loads)
    if fed:
        return fed
    slots = sum(load.slots for load in loads)
    mean = sum(load.demand for load in loads) / max(1, slots)
    givers = sorted(
        (load for load in loads if _is_over(load, mean)),
        key=_busiest_first,
    )
    room = {
        load.node: (mean - load.use) * load.slots
        for load in loads
        if load.use < mean
    }
    found: list[HandoverOrder] = []
    for giver in givers:
        found.extend(_relieve(giver, mean, room))
    return found


def distribute_spans(
    spans: Sequence[Span], takers: Sequence[TargetLoad]
) -> list[tuple[Span, NodeId]]:
    """Return who takes which part of spans whose owner leaves.

    Notes
    -----
    The takers' shares follow the room that they have left.
    """
    if not takers:
        return []
    size = sum(span.size for span in spans)
    room = [max(0.1, taker.slots - taker.demand) for taker in takers]
    quota = [size * part / sum(room) for part in room]
    found: list[tuple[Span, NodeId]] = []
    place = 0
    for span in spans:
        rest: Span | None = span
        while rest is not None:
            last = place == len(takers) - 1
            take = rest.size if last else min(rest.size, round(quota[place]))
            if take > 0:
                cut = Span(rest.first, rest.first + take - 1)
                found.append((cut, takers[place].node))
                quota[place] -= take
            rest = _after(rest, take)
            if not last and quota[place] < 1:
                place += 1
    return found


def plan_claims(
    table: RangeTable, lost: Collection[NodeId], takers: Sequence[TargetLoad]
) -> list[OwnershipChange]:
    """Return the changes that give the keys of lost nodes to others."""
    spans = [row.span for row in table.rows if row.owner in lost]
    return [
        OwnershipChange(span, node)
        for span, node in distribute_spans(spans, takers)
    ]


def _after(span: Span, taken: int) -> Span | None:
    if taken >= span.size:
        return None
    return Span(span.first + taken, span.last)


def _feed(loads: Sequence[TargetLoad]) -> list[HandoverOrder]:
    empty = [load for load in loads if not load.keys]
    givers = [load for load in loads if load.keys]
    if not empty or not givers:
        return []
    share = 1 / len(loads)
    return [
        HandoverOrder(giver.node, empty[place % len(empty)].node, share)
        for place, giver in enumerate(sorted(givers, key=_busiest_first))
    ]


def _busiest_first(load: TargetLoad) -> tuple[float, NodeId]:
    return -load.use, load.node


def _is_over(load: TargetLoad, mean: float) -> bool:
    return load.use > BUSY and load.use > mean * UNEVEN and load.keys > 1


def _relieve(
    giver: TargetLoad, mean: float, room: dict[NodeId, float]
) -> list[HandoverOrder]:
    excess = giver.demand - mean * giver.slots
    found: list[HandoverOrder] = []
    roomiest = sorted(room, key=room.__getitem__, reverse=True)
    for taker in roomiest[:MOST_ORDERS]:
        part = min(excess, room[taker])
        if part < SMALLEST:
            continue
        found.append(HandoverOrder(giver.node, taker, part / giver.demand))
        room[taker] -= part
        excess -= part
    return found
