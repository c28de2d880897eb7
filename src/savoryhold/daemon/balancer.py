"""Moves shards towards an even load."""

import asyncio
import dataclasses
from collections import Counter

from savoryhold.core import events
from savoryhold.core.balance import (
    BalancePolicy,
    HomeTable,
    LoadView,
    ProposedMove,
    choose_home_region_move,
    choose_balancing_move,
    shards_to_request,
)
from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError, PlatformError
from savoryhold.core.ids import NodeId, ServiceName, ShardKey
from savoryhold.daemon.loads import LoadTable
from savoryhold.daemon.node import NodeTask, jittered
from savoryhold.daemon.owner import OwnerTask
from savoryhold.peer import messages

__all__ = ['BalancerTask']

SMOOTHING = 0.3
COOLDOWN_MS = 1000
RESIDENCE_MS = 5000
QUICK_STORE_MS = 100
NEWCOMER_MS = 8000
RESERVED_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class _Reserved:
    """Load that another node may be about to move here."""

    until: int
    load: float


CALL_LIMIT_MS = 500
MS_PER_SECOND = 1000


class BalancerTask:
    """Measures shard loads and starts moves.

    Parameters
    ----------
    node : NodeTask
        The machine that performs moves.
    owner : OwnerTask
        Counts requests by shard.
    loads : LoadTable
        Loads of other nodes.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        node: NodeTask,
        owner: OwnerTask,
        loads: LoadTable,
        clock: Clock,
    ) -> None:
        self._node = node
        self._owner = owner
        self._loads = loads
        self._clock = clock
        self._policy = BalancePolicy()
        self._rates: dict[ShardKey, float] = {}
        self._measured_at = clock.now()
        self._started_at = clock.now()
        self._looks: dict[ShardKey, int] = {}
        self._reserved: list[_Reserved] = []
        self._has_share: set[ServiceName] = set()
        self._moved_at = 0
        self._homes = HomeTable()
        self._since: dict[ShardKey, int] = {}

    async def run(self) -> None:
        """Look at the balance once a round until cancelled."""
        pause_ms = self._node.settings.limits.balance_ms
        while True:
            await asyncio.sleep(jittered(pause_ms))
            self._measure()
            await self._ask_share()
            await self._offer()

    def reset(self) -> None:
        """Begin as a newcomer, under a new node id."""
        self._started_at = self._clock.now()
        self._has_share.clear()

    async def on_offer(
        self, peer: NodeId, service: ServiceName, wanted: int
    ) -> None:
        """Move some shards to a node that has too few."""
        if not await self._store_is_quick():
            return
        machine = self._node.machine
        counts = self._counts(service)
        fair = sum(counts.values()) // max(len(counts), 1)
        holder = machine.holder
        keys = [
            key
            for key in holder.held
            if key.service == service and key not in holder.moves
        ]
        spare = len(keys) - fair
        mean = sum(self._rates.get(key, 0) for key in keys) / max(len(keys), 1)
        keys.sort(key=lambda key: abs(self._rates.get(key, 0) - mean))
        for key in keys[: min(wanted, max(spare, 0))]:
            self._node.post(events.MoveRequested(key, peer))

    def _measure(self) -> None:
        now = self._clock.now()
        seconds = max(now - self._measured_at, 1) / MS_PER_SECOND
        self._measured_at = now
        served, self._owner.served = self._owner.served, Counter()
        held = self._node.machine.holder.held
        entered, self._owner.entered = self._owner.entered, {}
        self._homes.measure(held, entered, seconds)
        self._since = {key: self._since.get(key, now) for key in held}
        self._looks = {key: self._looks.get(key, 0) + 1 for key in held}
        self._rates = {
            key: self._smoothed(key, served[key] / seconds) for key in held
        }
        if now - self._started_at >= NEWCOMER_MS:
            # A newcomer takes its share by count first, then by load.
            self._loads.set_own(self._node.node, sum(self._rates.values()))

    def _smoothed(self, key: ShardKey, rate: float) -> float:
        # The first looks at a shard count in full, so that one which has
        # just come does not seem idle.
        weight = max(SMOOTHING, 1 / self._looks[key])
        old = self._rates.get(key, 0)
        return old + weight * (rate - old)

    def _counts(self, service: ServiceName) -> dict[NodeId, int]:
        directory = self._node.machine.directory
        return {
            record.node: directory.shard_count(record.node)
            for record in directory.offering(service)
        }

    async def _ask_share(self) -> None:
        me = self._node.node
        for service in self._node.machine.holder.profile.services:
            counts = self._counts(service)
            if me not in counts or service in self._has_share:
                continue
            missing = shards_to_request(counts, me)
            for peer, wanted in missing.items():
                await self._ask(peer, service, wanted)
            if sum(counts.values()) and not missing:
                # From now on load decides, not the number of shards.
                self._has_share.add(service)

    async def _ask(
        self, peer: NodeId, service: ServiceName, wanted: int
    ) -> None:
        address = self._node.address_of(peer)
        if address is None:
            return
        message = messages.MoveOffer(
            node=self._node.node, service_name=service, wanted=wanted
        )
        try:
            await self._node.pool.call(address, message, CALL_LIMIT_MS)
        except LinkError:
            # The next round asks again.
            return

    async def _store_is_quick(self) -> bool:
        """Return whether a move would be written soon.

        Notes
        -----
        A shard is not served while the write that gives it away is under
        way, so that no move is begun when the store is slow or down.
        """
        started = self._clock.now()
        try:
            await self._node.platform.read(self._node.machine.holder.name)
        except PlatformError:
            return False
        return self._clock.now() - started < QUICK_STORE_MS

    async def _offer(self) -> None:
        now = self._clock.now()
        if now - self._moved_at < COOLDOWN_MS:
            return
        for service in self._node.machine.holder.profile.services:
            view = self._view(service, now)
            region = self._node.machine.holder.profile.region
            offer = choose_home_region_move(view, region)
            offer = offer or choose_balancing_move(view, self._policy)
            if offer is None or not await self._still_holds(view, offer):
                continue
            if await self._store_is_quick():
                self._moved_at = now
                self._node.log.info(
                    'shard_offered',
                    shard=str(offer.key),
                    target=offer.target,
                    load=round(offer.gain, 1),
                )
                self._node.post(events.MoveRequested(offer.key, offer.target))

    async def _still_holds(self, view: LoadView, offer: ProposedMove) -> bool:
        """Ask the target's present load, and whether the move still helps.

        Notes
        -----
        Gossiped figures are seconds old, so that several nodes would choose
        one target; it counts what has been offered to it.
        """
        address = self._node.address_of(offer.target)
        if address is None:
            return False
        query = messages.LoadQuery(
            service_name=offer.key.service, load=offer.gain
        )
        try:
            reply = await self._node.pool.call(address, query, CALL_LIMIT_MS)
        except LinkError:
            return False
        fresh = dataclasses.replace(view, peers={offer.target: reply.load})
        if view.homes.get(offer.key) == view.regions.get(offer.target):
            return True
        again = choose_balancing_move(fresh, self._policy)
        return again is not None

    def answer_load(self, query: messages.Message) -> messages.Message:
        """Return this node's load, and reserve what is offered to it."""
        now = self._clock.now()
        self._reserved = [held for held in self._reserved if held.until > now]
        offered = sum(held.load for held in self._reserved)
        self._reserved.append(_Reserved(now + RESERVED_MS, query.load))
        total = sum(self._rates.values()) + offered
        return messages.NodeLoad(
            node=self._node.node, load=total, waiting=0, stamp=0
        )

    def _view(self, service: ServiceName, now: int) -> LoadView:
        rates = {
            key: rate
            for key, rate in self._rates.items()
            if key.service == service
        }
        return LoadView(
            rates,
            {
                key
                for key in rates
                if now - self._since.get(key, now) >= RESIDENCE_MS
            },
            self._peer_loads(service),
            {
                record.node: record.profile.region
                for record in self._node.machine.directory.offering(service)
            },
            self._homes.homes(),
        )

    def _peer_loads(self, service: ServiceName) -> dict[NodeId, float]:
        loads: dict[NodeId, float] = {}
        for record in self._node.machine.directory.offering(service):
            load = self._loads.get(record.node)
            if record.node != self._node.node and load is not None:
                loads[record.node] = load
        return loads
