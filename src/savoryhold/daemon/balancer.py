"""Balancing of load: measures the shards held here and moves some away."""

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
MIN_RESIDENCE_MS = 5000
RESPONSIVE_STORE_MS = 100
JOINING_MS = 8000
RESERVATION_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    """Load of a shard that another node may be about to move here."""

    until: int
    load: float


CALL_TIMEOUT_MS = 500
MS_PER_SECOND = 1000


class BalancerTask:
    """Measures shard loads and starts moves.

    Parameters
    ----------
    node : NodeTask
        Performs moves, and calls peers and the store.
    owner : OwnerTask
        Counts requests by shard and by region of entry.
    loads : LoadTable
        Loads of other nodes.
    clock : Clock
        Source of time.

    Notes
    -----
    A node that joins first requests shards until it holds its share by
    number; after that only load decides.
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
        self._measurements: dict[ShardKey, int] = {}
        self._reservations: list[_Reservation] = []
        self._has_initial_share: set[ServiceName] = set()
        self._moved_at = 0
        self._homes = HomeTable()
        self._held_since: dict[ShardKey, int] = {}

    async def run(self) -> None:
        """Measure loads and start moves, once a round, until cancelled."""
        pause_ms = self._node.settings.limits.balance_ms
        while True:
            await asyncio.sleep(jittered(pause_ms))
            self._measure()
            await self._request_shares()
            await self._start_moves()

    def reset(self) -> None:
        """Start again as a joining node, after a change of the node id."""
        self._started_at = self._clock.now()
        self._has_initial_share.clear()

    async def on_share_request(
        self, peer: NodeId, service: ServiceName, wanted: int
    ) -> None:
        """Move shards to a joining node that requested some.

        Notes
        -----
        At most as many as this node holds above the mean of all nodes; those
        whose load is nearest to this node's mean go first.
        """
        if not await self._is_store_responsive():
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
        served, self._owner.served_counts = self._owner.served_counts, Counter()
        held = self._node.machine.holder.held
        entered, self._owner.ingress_counts = self._owner.ingress_counts, {}
        self._homes.measure(held, entered, seconds)
        self._held_since = {key: self._held_since.get(key, now) for key in held}
        self._measurements = {
            key: self._measurements.get(key, 0) + 1 for key in held
        }
        self._rates = {
            key: self._smoothed(key, served[key] / seconds) for key in held
        }
        if now - self._started_at >= JOINING_MS:
            # A joining node publishes no load at first: it requests its
            # share of shards by number, and is no target of moves by load.
            self._loads.set_local(self._node.node, sum(self._rates.values()))

    def _smoothed(self, key: ShardKey, rate: float) -> float:
        # The first measurements of a shard weigh more, so that a shard that
        # was just acquired does not seem idle.
        weight = max(SMOOTHING, 1 / self._measurements[key])
        old = self._rates.get(key, 0)
        return old + weight * (rate - old)

    def _counts(self, service: ServiceName) -> dict[NodeId, int]:
        directory = self._node.machine.directory
        return {
            record.node: directory.shard_count(record.node)
            for record in directory.offering(service)
        }

    async def _request_shares(self) -> None:
        own = self._node.node
        for service in self._node.machine.holder.profile.services:
            counts = self._counts(service)
            if own not in counts or service in self._has_initial_share:
                continue
            missing = shards_to_request(counts, own)
            for peer, wanted in missing.items():
                await self._request_share(peer, service, wanted)
            if sum(counts.values()) and not missing:
                # From now on load decides, not the number of shards held.
                self._has_initial_share.add(service)

    async def _request_share(
        self, peer: NodeId, service: ServiceName, wanted: int
    ) -> None:
        address = self._node.address_of(peer)
        if address is None:
            return
        message = messages.ShareRequest(
            node=self._node.node, service_name=service, wanted=wanted
        )
        try:
            await self._node.pool.call(address, message, CALL_TIMEOUT_MS)
        except LinkError:
            # The next round repeats the request.
            return

    async def _is_store_responsive(self) -> bool:
        """Return whether a read of the store ends within a short time.

        Notes
        -----
        A shard is not served while the write that hands it over is in
        progress, so no move is started while the store is slow or down.
        """
        started = self._clock.now()
        try:
            await self._node.platform.read(self._node.machine.holder.name)
        except PlatformError:
            return False
        return self._clock.now() - started < RESPONSIVE_STORE_MS

    async def _start_moves(self) -> None:
        now = self._clock.now()
        if now - self._moved_at < COOLDOWN_MS:
            return
        for service in self._node.machine.holder.profile.services:
            view = self._load_view(service, now)
            region = self._node.machine.holder.profile.region
            move = choose_home_region_move(view, region)
            move = move or choose_balancing_move(view, self._policy)
            if move is None or not await self._is_still_useful(view, move):
                continue
            if await self._is_store_responsive():
                self._moved_at = now
                self._node.log.info(
                    'balancing_move',
                    shard=str(move.key),
                    target=move.target,
                    load=round(move.gain, 1),
                )
                self._node.post(events.MoveRequested(move.key, move.target))

    async def _is_still_useful(
        self, view: LoadView, move: ProposedMove
    ) -> bool:
        """Query the target node's load and evaluate the move again with it.

        Notes
        -----
        Gossiped figures are seconds old, so several nodes could choose the
        same target node.  Its answer includes the load that others have
        announced to move there.
        """
        address = self._node.address_of(move.target)
        if address is None:
            return False
        query = messages.LoadQuery(
            service_name=move.key.service, load=move.gain
        )
        try:
            reply = await self._node.pool.call(address, query, CALL_TIMEOUT_MS)
        except LinkError:
            return False
        current = dataclasses.replace(view, peers={move.target: reply.load})
        if view.homes.get(move.key) == view.regions.get(move.target):
            return True
        chosen = choose_balancing_move(current, self._policy)
        return chosen is not None

    def answer_load(self, query: messages.Message) -> messages.Message:
        """Return this node's load and reserve the load of the query.

        Notes
        -----
        The answer counts the loads that earlier queries reserved.
        """
        now = self._clock.now()
        self._reservations = [
            entry for entry in self._reservations if entry.until > now
        ]
        reserved = sum(entry.load for entry in self._reservations)
        self._reservations.append(
            _Reservation(now + RESERVATION_MS, query.load)
        )
        total = sum(self._rates.values()) + reserved
        return messages.NodeLoad(
            node=self._node.node, load=total, waiting=0, stamp=0
        )

    def _load_view(self, service: ServiceName, now: int) -> LoadView:
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
                if now - self._held_since.get(key, now) >= MIN_RESIDENCE_MS
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
