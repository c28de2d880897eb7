"""Placement of keys: the first table, claims for lost nodes, balancing.

The first ready node of a service by name plans.  Two planners at a time do no
harm: only owners hand keys over, and a claim is a conditional write.
"""

import asyncio
from collections.abc import Sequence

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.mesh.losses import LossDetector
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import messages
from savoryhold.ranges import (
    HandoverOrder,
    RangeTable,
    TargetLoad,
    initial_rows,
    plan_claims,
    plan_handovers,
)

__all__ = ['PlacementTask']

MS_PER_SECOND = 1000
PLAN_INTERVAL_MS = 300
PLAN_PAUSE_MS = 1500  # until a handover shows in the reported loads
FIRST_TABLE_DELAY_MS = 2500  # all nodes of a new fleet have reported by then
CLAIM_AFTER_START_MS = 4500  # missing nodes may be starting, too
ORDER_LIMIT_MS = 250


class PlacementTask:
    """Plans the key ranges of the local service if this node is its planner.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    """

    def __init__(self, context: NodeContext) -> None:
        self._node = context.settings.node
        self._tables = context.tables
        self._members = context.members
        self._losses = LossDetector(context.members)
        self._owner = context.owner
        self._pool = context.pool
        self._clock = context.clock
        self._log = context.log
        self._started_at = context.clock.now()
        self._ready_since: int | None = None
        self._ordered_at: dict[NodeId, int] = {}

    async def run(self) -> None:
        """Plan regularly, while this node is the planner, until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_MS / MS_PER_SECOND)
            now = self._clock.now()
            report = self._owner.target.report
            if (
                report is None
                or report.service not in self._tables.keyed_services()
            ):
                continue
            if self._ready_since is None:
                self._ready_since = now
            if self._is_planner(report.service, now):
                await self._place_keys(report.service, now)

    def _is_planner(self, service: ServiceName, now: int) -> bool:
        if not self._owner.target.is_ready():
            return False
        return all(
            self._node < member.status.node
            for member in self._members.serving_members(service, now)
        )

    async def _place_keys(self, service: ServiceName, now: int) -> None:
        loads = self._tables.loads(service, now, include_self=True)
        table = self._tables.tables.get(service)
        if table is None:
            await self._create_first_table(service, loads, now)
            return
        if now - self._started_at > CLAIM_AFTER_START_MS:
            lost = self._lost_owners(table, now)
            changes = plan_claims(table, lost, loads)
            if changes and self._tables.may_write(now):
                self._log.warning('claim', service=service, lost=sorted(lost))
                await self._tables.write(service, changes, (), 'claim')
                return
        for order in plan_handovers(
            loads, by_work=self._owner.queue.work is not None
        ):
            self._send_order(service, order, now)

    def _lost_owners(self, table: RangeTable, now: int) -> set[NodeId]:
        lost = self._losses.lost_nodes(now)
        return {
            owner
            for owner in table.owners()
            if owner != self._node
            and (owner in lost or owner not in self._members.addresses)
        }

    async def _create_first_table(
        self, service: ServiceName, loads: Sequence[TargetLoad], now: int
    ) -> None:
        if not self._tables.is_missing(service):
            await self._tables.read(service)
            return
        if self._ready_since is None or not loads:
            return
        if now - self._ready_since < FIRST_TABLE_DELAY_MS:
            return
        owners = [(load.node, float(load.slots)) for load in loads]
        await self._tables.create(service, initial_rows(owners))

    def _send_order(
        self, service: ServiceName, order: HandoverOrder, now: int
    ) -> None:
        ordered_at = max(
            self._ordered_at.get(order.giver, 0),
            self._ordered_at.get(order.taker, 0),
        )
        # Orders of the same round may concern the same node.
        if ordered_at != now and now - ordered_at < PLAN_PAUSE_MS:
            return
        self._ordered_at[order.giver] = now
        self._ordered_at[order.taker] = now
        self._log.info(
            'order',
            service=service,
            giver=order.giver,
            taker=order.taker,
            share=round(order.share, 3),
        )
        if order.giver == self._node:
            self._tables.start_handover(service, order.taker, order.share)
            return
        address = self._members.addresses.get(order.giver)
        if address is not None:
            message = messages.HandoverOrder(
                service_name=service, taker=order.taker, share=order.share
            )
            asyncio.ensure_future(self._deliver_order(address, message))

    async def _deliver_order(
        self, address: str, message: messages.Message
    ) -> None:
        try:
            await self._pool.call(address, message, ORDER_LIMIT_MS)
        except LinkError as exc:
            # The next round plans again.
            self._log.info(
                'order_not_delivered', address=address, error=str(exc)
            )
