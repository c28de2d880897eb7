"""Moves shards towards an even load."""

import asyncio
from collections import Counter

from savoryhold.core import events
from savoryhold.core.balance import BalancePolicy, choose_offer, join_share
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
        self.offers = 0
        self._node = node
        self._owner = owner
        self._loads = loads
        self._clock = clock
        self._policy = BalancePolicy()
        self._rates: dict[ShardKey, float] = {}
        self._measured_at = clock.now()
        self._moved_at = 0
        self._since: dict[ShardKey, int] = {}

    async def run(self) -> None:
        """Look at the balance once a round until cancelled."""
        pause_ms = self._node.settings.limits.balance_ms
        while True:
            await asyncio.sleep(jittered(pause_ms))
            self._measure()
            await self._ask_share()
            await self._offer()

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
        keys.sort(key=lambda key: self._rates.get(key, 0))
        for key in keys[: min(wanted, max(spare, 0))]:
            self._node.post(events.MoveAsked(key, peer))

    def _measure(self) -> None:
        now = self._clock.now()
        seconds = max(now - self._measured_at, 1) / MS_PER_SECOND
        self._measured_at = now
        served, self._owner.served = self._owner.served, Counter()
        held = self._node.machine.holder.held
        self._since = {key: self._since.get(key, now) for key in held}
        self._rates = {
            key: (1 - SMOOTHING) * self._rates.get(key, 0)
            + SMOOTHING * served[key] / seconds
            for key in held
        }
        self._loads.set_own(self._node.node, sum(self._rates.values()))

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
            if me not in counts:
                continue
            for peer, wanted in join_share(counts, me).items():
                await self._ask(peer, service, wanted)

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
            peers = self._peer_loads(service)
            rates = {
                key: rate
                for key, rate in self._rates.items()
                if key.service == service
            }
            settled = {
                key
                for key in rates
                if now - self._since.get(key, now) >= RESIDENCE_MS
            }
            offer = choose_offer(rates, settled, peers, self._policy)
            if offer is not None and await self._store_is_quick():
                self.offers += 1
                self._moved_at = now
                self._node.post(events.MoveAsked(offer.key, offer.target))

    def _peer_loads(self, service: ServiceName) -> dict[NodeId, float]:
        loads: dict[NodeId, float] = {}
        for record in self._node.machine.directory.offering(service):
            load = self._loads.get(record.node)
            if record.node != self._node.node and load is not None:
                loads[record.node] = load
        return loads
