"""Where keys go: the first table, claims of lost nodes, uneven load.

The first node of a service by name plans.  Two that plan at once do no harm:
owners alone give keys away, and a claim is a conditional write.
"""

import asyncio
from collections.abc import Sequence

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import messages
from savoryhold.ranges import (
    TargetLoad,
    HandoverOrder,
    RangeTable,
    plan_claims,
    initial_rows,
    plan_handovers,
)

__all__ = ['PlanTask']

MS_PER_SECOND = 1000
PLAN_EVERY_MS = 300
PLAN_PAUSE_MS = 1500  # until a move shows in the loads
FIRST_TABLE_MS = 2500  # all nodes of a first start have reported by then
CLAIM_AFTER_START_MS = 4500  # other nodes may be starting, too
TELL_LIMIT_MS = 250


class PlanTask:
    """Plans for the service of the local target, if it is this node's turn.

    Parameters
    ----------
    parts : Parts
        The node.
    """

    def __init__(self, parts: NodeContext) -> None:
        self._me = parts.settings.node
        self._tables = parts.tables
        self._members = parts.members
        self._owner = parts.owner
        self._pool = parts.pool
        self._clock = parts.clock
        self._log = parts.log
        self._started_at = parts.clock.now()
        self._ready_since: int | None = None
        self._planned_at: dict[NodeId, int] = {}

    async def run(self) -> None:
        """Give keys their places, if this node is the one to plan."""
        while True:
            await asyncio.sleep(PLAN_EVERY_MS / MS_PER_SECOND)
            now = self._clock.now()
            report = self._owner.report
            if report is None or report.service not in self._tables.keyed():
                continue
            if self._ready_since is None:
                self._ready_since = now
            if self._is_planner(report.service, now):
                await self._plan(report.service, now)

    def _is_planner(self, service: ServiceName, now: int) -> bool:
        if not self._owner.is_ready():
            return False
        return all(
            self._me < member.status.node
            for member in self._members.serving(service, now)
        )

    async def _plan(self, service: ServiceName, now: int) -> None:
        loads = self._tables.loads(service, now, me=True)
        table = self._tables.tables.get(service)
        if table is None:
            await self._first_table(service, loads, now)
            return
        if now - self._started_at > CLAIM_AFTER_START_MS:
            lost = self._lost_owners(table, now)
            changes = plan_claims(table, lost, loads)
            if changes and self._tables.may_write(now):
                self._log.warning('claim', service=service, lost=sorted(lost))
                await self._tables.write(service, changes, (), 'claim')
                return
        for order in plan_handovers(loads):
            self._send_order(service, order, now)

    def _lost_owners(self, table: RangeTable, now: int) -> set[NodeId]:
        lost = self._members.lost(now)
        return {
            owner
            for owner in table.owners()
            if owner != self._me
            and (owner in lost or owner not in self._members.addresses)
        }

    async def _first_table(
        self, service: ServiceName, loads: Sequence[TargetLoad], now: int
    ) -> None:
        if not self._tables.is_missing(service):
            await self._tables.read(service)
            return
        if self._ready_since is None:
            return
        if now - self._ready_since < FIRST_TABLE_MS:
            return
        owners = [(load.node, float(load.slots)) for load in loads]
        await self._tables.create(service, initial_rows(owners))

    def _send_order(
        self, service: ServiceName, order: HandoverOrder, now: int
    ) -> None:
        paused = max(
            self._planned_at.get(order.giver, 0),
            self._planned_at.get(order.taker, 0),
        )
        # Orders of one round may share a node.
        if paused != now and now - paused < PLAN_PAUSE_MS:
            return
        self._planned_at[order.giver] = now
        self._planned_at[order.taker] = now
        self._log.info(
            'order',
            service=service,
            giver=order.giver,
            taker=order.taker,
            share=round(order.share, 3),
        )
        if order.giver == self._me:
            self._tables.start_handover(service, order.taker, order.share)
            return
        address = self._members.addresses.get(order.giver)
        if address is not None:
            message = messages.HandoverOrder(
                service_name=service, taker=order.taker, share=order.share
            )
            asyncio.ensure_future(self._tell(address, message))

    async def _tell(self, address: str, message: messages.Message) -> None:
        try:
            await self._pool.call(address, message, TELL_LIMIT_MS)
        except LinkError as exc:
            # The next round plans anew.
            self._log.info('order_lost', address=address, error=str(exc))
