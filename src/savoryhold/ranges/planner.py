"""Placement of keys: redistribution after node loss, and load balancing."""

import dataclasses
from collections.abc import Collection, Sequence

from savoryhold.core.ids import NodeId
from savoryhold.ranges.table import OwnershipChange, RangeTable, Span

__all__ = [
    'HandoverOrder',
    'TargetLoad',
    'distribute_spans',
    'plan_claims',
    'plan_handovers',
]

MIN_BUSY_USE = 0.6  # of a target's slots; below it, imbalance causes no delay
MIN_IMBALANCE = 1.25  # ratio of busiest to mean use that justifies handovers
MIN_HANDOVER_SLOTS = 0.3  # smaller handovers are within measurement noise
MAX_HANDOVERS = 4  # spans that one node hands over in one round
HOT_IMBALANCE = 3.0  # ratio to the mean use of a target with a hot span
MAX_HOT_HANDOVERS = 16  # of such a one; peaks of a span last 4 to 5 s
MAX_FILLERS = 4  # targets that hand over to one without keys
MAX_FILLING_SHARE = 0.5  # of a target's work; it keeps the other half


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load and capacity of one target of a service.

    Parameters
    ----------
    node : NodeId
        Node of the target.
    demand : float
        Work of the target's keys, in slots at its own speed.
    slots : int
        Number of requests that the target runs concurrently.
    keys : int
        Number of keys that the node owns.
    pace : float
        Run times at the target, as a multiple of usual ones.
    """

    node: NodeId
    demand: float
    slots: int
    keys: int
    pace: float = 1.0

    @property
    def work(self) -> float:
        """Return the demand in slots of a target of usual pace."""
        return self.demand / self.pace

    @property
    def capacity(self) -> float:
        """Return the slots, as a number of slots of usual pace."""
        return self.slots / self.pace

    @property
    def utilization(self) -> float:
        """Return the ratio of demand to capacity."""
        return self.demand / max(1, self.slots)


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverOrder:
    """A request that a node hands a part of its work over to another.

    ``share`` is that part of the giver's demand, from 0 to 1.
    """

    giver: NodeId
    taker: NodeId
    share: float


def plan_handovers(
    loads: Sequence[TargetLoad], *, by_work: bool = False
) -> list[HandoverOrder]:
    """Return the handovers that balance the load.

    With `by_work`, a hot target hands over to more targets at once.

    Targets without keys come first: the others hand over to them before any
    other imbalance is looked at.
    """
    if len(loads) < 2:
        return []
    filling_orders = _fill_empty_targets(loads)
    if filling_orders:
        return filling_orders
    # A part moves in units of work, as it takes another time at the taker.
    capacity = sum(load.capacity for load in loads) or 1.0
    mean = sum(load.work for load in loads) / capacity
    givers = sorted(
        (load for load in loads if _is_overloaded(load, mean)),
        key=_busiest_first,
    )
    spare_slots = {
        load.node: (mean - load.utilization) * load.capacity
        for load in loads
        if load.utilization < mean
    }
    found: list[HandoverOrder] = []
    for giver in givers:
        limit = MAX_HANDOVERS
        if by_work and giver.utilization > mean * HOT_IMBALANCE:
            limit = MAX_HOT_HANDOVERS
        found.extend(_offload(giver, mean, spare_slots, limit))
    return found


def _fill_empty_targets(loads: Sequence[TargetLoad]) -> list[HandoverOrder]:
    """Return orders that give each target without keys an equal part.

    Notes
    -----
    At most `MAX_FILLERS` targets hand over to an empty one: each handover is a
    write, and in a large fleet the parts of all others would be tiny.
    """
    empty = [load for load in loads if not load.keys]
    givers = sorted((load for load in loads if load.keys), key=_busiest_first)
    found: list[HandoverOrder] = []
    for index, taker in enumerate(empty):
        available = givers[index :: len(empty)]
        fillers = available[:MAX_FILLERS]
        if not fillers:
            break
        part = len(available) / len(fillers) / len(loads)
        share = min(MAX_FILLING_SHARE, part)
        found.extend(
            HandoverOrder(giver.node, taker.node, share) for giver in fillers
        )
    return found


def distribute_spans(
    spans: Sequence[Span], takers: Sequence[TargetLoad]
) -> list[tuple[Span, NodeId]]:
    """Return which taker gets which part of the spans of lost owners.

    Notes
    -----
    The takers' shares are proportional to their spare capacity.
    """
    if not takers:
        return []
    size = sum(span.size for span in spans)
    spare_slots = [max(0.1, taker.slots - taker.demand) for taker in takers]
    quota = [size * part / sum(spare_slots) for part in spare_slots]
    found: list[tuple[Span, NodeId]] = []
    index = 0
    for span in spans:
        rest: Span | None = span
        while rest is not None:
            last = index == len(takers) - 1
            take = rest.size if last else min(rest.size, round(quota[index]))
            if take > 0:
                cut = Span(rest.first, rest.first + take - 1)
                found.append((cut, takers[index].node))
                quota[index] -= take
            rest = _remainder(rest, take)
            if not last and quota[index] < 1:
                index += 1
    return found


def plan_claims(
    table: RangeTable, lost: Collection[NodeId], takers: Sequence[TargetLoad]
) -> list[OwnershipChange]:
    """Return the changes that reassign the keys of lost nodes."""
    spans = [row.span for row in table.rows if row.owner in lost]
    return [
        OwnershipChange(span, node)
        for span, node in distribute_spans(spans, takers)
    ]


def _remainder(span: Span, taken: int) -> Span | None:
    if taken >= span.size:
        return None
    return Span(span.first + taken, span.last)


def _busiest_first(load: TargetLoad) -> tuple[float, NodeId]:
    return -load.utilization, load.node


def _is_overloaded(load: TargetLoad, mean: float) -> bool:
    return (
        load.utilization > MIN_BUSY_USE
        and load.utilization > mean * MIN_IMBALANCE
        and load.keys > 1
    )


def _offload(
    giver: TargetLoad,
    mean: float,
    spare_slots: dict[NodeId, float],
    limit: int,
) -> list[HandoverOrder]:
    excess = giver.work - mean * giver.capacity
    found: list[HandoverOrder] = []
    by_spare_slots = sorted(
        spare_slots, key=spare_slots.__getitem__, reverse=True
    )
    for taker in by_spare_slots[:limit]:
        part = min(excess, spare_slots[taker])
        if part < MIN_HANDOVER_SLOTS:
            continue
        found.append(HandoverOrder(giver.node, taker, part / giver.work))
        spare_slots[taker] -= part
        excess -= part
    return found
