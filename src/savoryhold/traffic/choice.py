"""Selection of a node for requests that any target of a service may run."""

import dataclasses
import math
import random
from collections.abc import Iterable, Sequence

from savoryhold.core.ids import NodeId, Region, Zone

__all__ = [
    'Candidate',
    'Choice',
    'Origin',
    'Outlook',
    'Transfer',
    'choose',
    'choose_outlook',
]

ZONE_MS = 4.0  # round trip between zones, plus the relay hop
# Parts of the latency objective that a target has to gain: one in another
# region, and one in a region that other requests cannot leave.
REMOTE_SHARE = 0.25
SCARCE_SHARE = 0.5
REGION_MS = 22.0  # round trip between regions, plus the relay hop
LARGE_ZONE_MS = 60.0  # a large answer fills the narrow links of a zone
LARGE_REGION_MS = 600.0  # and even more the only link between regions
BITS_PER_BYTE = 8
KBPS_PER_MBPS = 1000.0  # kbit/s are bits in a ms
LINK_PRICE = 3.0  # a transfer also delays what waits for the link behind it
REGION_BYTES_FACTOR = 10.0  # all hosts share the link between two regions
MIN_ACCEPTANCE = 0.05
RETRY_MS = 60.0  # pause and hops of the try after a refusal
NEWS_MS = 3000.0  # over which reported work tends to the mean of the targets
SPREAD_SHARE = 0.15  # of the latency objective, by which queues fill unseen
MIN_SPREAD_MS = 2.0  # differences below it are noise
BACKLOG_SLOPE = 0.1  # wait for work that leaves slots free, by ms of work
FREE_RUNS = 0.5  # runs in a slot of which the work makes nobody wait
EXPLORED_SHARE = 0.03  # of the requests, over all targets that are avoided
AVOIDED_ACCEPTANCE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Zone and region of the node at which a request enters."""

    zone: Zone
    region: Region


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node whose target may run the request.

    ``wait_ms`` is the expected wait for a slot of the target.
    """

    node: NodeId
    zone: Zone
    region: Region
    wait_ms: float


def choose(
    candidates: Iterable[Candidate], origin: Origin, *, large: bool
) -> NodeId | None:
    """Return the node with the lowest sum of wait and network delay.

    Parameters
    ----------
    candidates : iterable of Candidate
        Nodes to choose from.
    origin : Origin
        Where the request enters.
    large : bool
        Whether its answer is large.
    """
    best = min(
        candidates,
        key=lambda candidate: (
            candidate.wait_ms + _network_ms(candidate, origin, large=large),
            candidate.node,
        ),
        default=None,
    )
    return None if best is None else best.node


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """What a request sends over links, and where it should stay.

    ``size`` is that of its body and expected answer in bytes.  ``link_mbps`` is
    the rate of the host's link, 0 if unknown.  ``aim_ms`` is what is left of
    its latency objective.  Targets in the regions ``scarce`` are left to
    requests that may not run elsewhere.
    """

    size: float = 0.0
    link_mbps: float = 0.0
    large: bool = False
    aim_ms: float = 0.0
    scarce: frozenset[Region] = frozenset()


@dataclasses.dataclass(slots=True)
class Outlook:
    """What is expected of a request at one target; times in ms.

    Parameters
    ----------
    node : NodeId
        Node of the target.
    zone, region : Zone, Region
        Where it is.
    slots : int
        Number of requests that it runs at once.
    work_ms : float
        Work left there, in ms of one slot.
    sent_ms : float
        Work sent there since that was known, at usual pace.
    pace : float
        Run times there, as a multiple of usual ones.
    acceptance : float
        Share of requests that the target does not refuse by itself.
    demand : float
        Load that requests offer there, in slots.
    age_ms : int
        Age of the news.
    is_local : bool
        Whether no link leads there.
    """

    node: NodeId
    zone: Zone
    region: Region
    slots: int
    work_ms: float
    sent_ms: float
    pace: float
    acceptance: float
    demand: float
    age_ms: int
    is_local: bool = False


@dataclasses.dataclass(slots=True)
class Choice:
    """A chosen target, and the expected completion times of all in ms.

    ``explored`` says that it was chosen to see whether it still refuses.
    """

    chosen: Outlook
    costs: Sequence[float]
    explored: bool = False


def choose_outlook(
    outlooks: Sequence[Outlook],
    origin: Origin,
    usual_ms: float,
    transfer: Transfer,
    rng: random.Random,
    *,
    explore: bool = True,
) -> Choice:
    """Choose a target with a low expected completion time.

    Parameters
    ----------
    outlooks : sequence of Outlook
        The targets, at least one.
    origin : Origin
        Where the request enters.
    usual_ms : float
        Expected run time at a target of usual pace.
    transfer : Transfer
        What it sends over links.
    rng : Random
        Source of random choices.
    explore : bool
        Whether it may go to a target that has refused or failed much.

    Notes
    -----
    All nodes act on the same news until the next status.  Requests are
    therefore spread as if the work that arrives during the age of the news
    filled the targets up to a common level (load interpretation, Dahlin, 2000).
    That work tends to nothing as the load falls below the capacity, when the
    nearest targets are as good as any.
    """
    if explore and rng.random() < EXPLORED_SHARE:
        avoided = [
            outlook
            for outlook in outlooks
            if outlook.acceptance < AVOIDED_ACCEPTANCE
        ]
        if avoided:
            return Choice(rng.choice(avoided), (), explored=True)
    distances = [
        _transfer_ms(outlook, origin, transfer)
        + _place_ms(outlook, origin, transfer)
        for outlook in outlooks
    ]
    costs, rates = _costs_and_rates(outlooks, distances, usual_ms)
    arriving = _arriving_ms(outlooks, distances, rates, transfer)
    level = _level(costs, rates, arriving)
    chances = [
        max(0.0, level - cost) * rate
        for cost, rate in zip(costs, rates, strict=True)
    ]
    chosen = rng.choices(outlooks, chances)[0]
    return Choice(chosen, costs)


def _costs_and_rates(
    outlooks: Sequence[Outlook], distances: Sequence[float], usual_ms: float
) -> tuple[list[float], list[float]]:
    """Return the expected completion times, and the rates of finishing work."""
    slots = sum(outlook.slots for outlook in outlooks) or 1
    mean_ms = sum(outlook.work_ms for outlook in outlooks) / slots
    costs = []
    rates = []
    for outlook, distance in zip(outlooks, distances, strict=True):
        accepted = max(MIN_ACCEPTANCE, outlook.acceptance)
        rates.append(max(1, outlook.slots) * accepted / outlook.pace)
        cost = _run_ms(outlook, usual_ms, mean_ms) + RETRY_MS * (1 - accepted)
        costs.append(cost / accepted + distance)
    return costs, rates


def _run_ms(outlook: Outlook, usual_ms: float, mean_ms: float) -> float:
    """Return the expected wait and run time at a target."""
    slots = max(1, outlook.slots)
    known_ms = outlook.work_ms / slots
    # Old news say less of the target than the mean of all.
    trust = NEWS_MS / (NEWS_MS + outlook.age_ms)
    backlog = mean_ms + (known_ms - mean_ms) * trust
    backlog += outlook.sent_ms * outlook.pace / slots
    run_ms = usual_ms * outlook.pace
    wait = max(0.0, backlog - run_ms * FREE_RUNS) + backlog * BACKLOG_SLOPE
    return wait + run_ms


def _arriving_ms(
    outlooks: Sequence[Outlook],
    distances: Sequence[float],
    rates: Sequence[float],
    transfer: Transfer,
) -> float:
    """Return the work that the targets are assumed to get unseen.

    Notes
    -----
    Admission bounds the queues by a part of the latency objective, so that
    beyond it more work is refused instead of filling a target.
    What arrives near a distant target stays there, so it does not fill the
    near ones.
    """
    demand = sum(outlook.demand for outlook in outlooks)
    load = min(1.0, demand / sum(rates))
    nearest = min(distances)
    most = transfer.aim_ms * SPREAD_SHARE or math.inf
    arriving = 0.0
    for outlook, distance, rate in zip(outlooks, distances, rates, strict=True):
        spread = min(most, outlook.age_ms * load**3 + MIN_SPREAD_MS)
        arriving += rate * spread * spread / (spread + distance - nearest)
    return arriving


def _level(
    costs: Sequence[float], rates: Sequence[float], arriving: float
) -> float:
    """Return the cost up to which work fills the targets, cheapest first."""
    filled = 0.0
    weighted = 0.0
    level = math.inf
    for cost, rate in sorted(zip(costs, rates, strict=True)):
        if cost >= level:
            break
        filled += rate
        weighted += rate * cost
        level = (arriving + weighted) / filled
    return level


def _place_ms(target: Outlook, origin: Origin, transfer: Transfer) -> float:
    """Return the time that a target has to gain because of its region.

    Notes
    -----
    The link between regions is narrow, and targets of a region that some
    requests may not leave are scarce.
    """
    share = 0.0
    if target.region != origin.region:
        share += REMOTE_SHARE
    if target.region in transfer.scarce:
        share += SCARCE_SHARE
    return share * transfer.aim_ms


def _transfer_ms(target: Outlook, origin: Origin, transfer: Transfer) -> float:
    """Return the time that the network adds to a request."""
    if target.is_local:
        return 0.0
    network = _network_ms(target, origin, large=transfer.large)
    if not transfer.link_mbps:
        return network
    rate = transfer.link_mbps * KBPS_PER_MBPS
    link_ms = transfer.size * BITS_PER_BYTE / rate * LINK_PRICE
    if target.region != origin.region:
        link_ms *= REGION_BYTES_FACTOR
    return max(network, link_ms)


def _network_ms(
    candidate: Candidate | Outlook, origin: Origin, *, large: bool
) -> float:
    if candidate.zone == origin.zone:
        return 0.0
    if candidate.region == origin.region:
        return LARGE_ZONE_MS if large else ZONE_MS
    return LARGE_REGION_MS if large else REGION_MS
