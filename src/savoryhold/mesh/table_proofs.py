"""Proofs that a node's copy of its key range table is current.

A proof is the version that the table in the store had at some time; grants to
the local target expire unless it is renewed.  To spare the store, only the
first node of a service by name reads the table.  The others query that node
and date its answer by the time at which they sent the query, so that a proof
never seems more recent than it is.  In a large fleet only the first node of a
zone queries it, and the others of the zone query that one.
"""

import asyncio
import dataclasses
import random

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import messages
from savoryhold.ranges import GrantMachine

__all__ = ['TableProofTask']

MS_PER_SECOND = 1000
PROOF_INTERVAL_MS = 300
PROOF_FRESH_MS = 900  # a proof is renewed from this age on
PROOF_READ_MS = 1900  # age at which a node reads the store itself
# The same, where proofs come by way of the first node of a zone.
ZONE_PROOF_FRESH_MS = 1500
ZONE_PROOF_READ_MS = 3500
ASK_LIMIT_MS = 250
MAX_ASKED = 3  # peers queried if the store does not answer
PREPARE_LIMIT_MS = 400  # the target ignores a reply after one second
PREPARE_POLL_MS = 15
PREPARE_PROOF_MS = 150  # interval of attempts to renew the proof
PREPARE_BACKOFF_MS = 3000  # after an attempt that timed out
JITTER = (0.8, 1.3)


@dataclasses.dataclass(frozen=True, slots=True)
class ProofAges:
    """Ages of a proof, in ms, at which a node acts.

    ``renewed`` is the age from which it is renewed, ``read`` the one at which
    the node reads the store itself.
    """

    renewed: int
    read: int


USUAL_AGES = ProofAges(PROOF_FRESH_MS, PROOF_READ_MS)
ZONE_AGES = ProofAges(ZONE_PROOF_FRESH_MS, ZONE_PROOF_READ_MS)


class TableProofTask:
    """Renews the proof of the local target's table.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    """

    def __init__(self, context: NodeContext) -> None:
        self._node = context.settings.node
        self._service = context.settings.service
        self._tables = context.tables
        self._members = context.members
        self._pool = context.pool
        self._clock = context.clock
        self._log = context.log
        self._prepare_after = 0

    async def run(self) -> None:
        """Renew the proof until cancelled."""
        while True:
            await asyncio.sleep(PROOF_INTERVAL_MS * _jitter() / MS_PER_SECOND)
            if self._service in self._tables.keyed_services():
                await self._renew_proof(self._service)

    async def prepare_reply(self, service: ServiceName) -> None:
        """Obtain what the reply to a report needs, or time out.

        Notes
        -----
        Takes at most `PREPARE_LIMIT_MS`.
        """
        machine = self._tables.machine(service)
        if self._clock.now() < self._prepare_after:
            return
        try:
            async with asyncio.timeout(PREPARE_LIMIT_MS / MS_PER_SECOND):
                await self._prepare_reply(machine, service)
        except TimeoutError:
            # In an outage every report would wait for the full timeout.
            self._prepare_after = self._clock.now() + PREPARE_BACKOFF_MS
            self._log.info(
                'report_reply_not_ready',
                service=service,
                proof_age_ms=self._clock.now() - machine.proved_at,
                stale=len(machine.stale_rows()),
            )

    async def _prepare_reply(
        self, machine: GrantMachine, service: ServiceName
    ) -> None:
        attempted_at = 0
        while not machine.can_reply(self._clock.now()):
            if self._tables.is_missing(service):
                return
            if self._clock.now() - attempted_at > PREPARE_PROOF_MS:
                attempted_at = self._clock.now()
                await self._renew_proof(service)
            await self._tables.step(service)
            await asyncio.sleep(PREPARE_POLL_MS / MS_PER_SECOND)

    async def _renew_proof(self, service: ServiceName) -> None:
        machine = self._tables.machine(service)
        now = self._clock.now()
        if now - machine.proved_at < USUAL_AGES.renewed:
            return
        nodes = self._nodes_of(service, now)
        reader, ages = self._reader(nodes)
        if now - machine.proved_at < ages.renewed:
            return
        if reader is not None:
            await self._query_proof(machine, service, reader)
        now = self._clock.now()
        if reader is not None and self._tables.is_missing(service):
            # The first node creates the table and announces it.
            return
        if reader is None or now - machine.proved_at >= ages.read:
            if await self._tables.read(service):
                return
            for node in nodes[:MAX_ASKED]:
                await self._query_proof(machine, service, node)

    def _nodes_of(self, service: ServiceName, now: int) -> list[NodeId]:
        """Return the other live nodes of a service by name."""
        return sorted(
            member.status.node
            for member in self._members.live_members(now)
            if member.status.service == service
        )

    def _reader(self, nodes: list[NodeId]) -> tuple[NodeId | None, ProofAges]:
        """Return the node to query and when, None if this one reads."""
        preceding = [node for node in nodes if node < self._node]
        if self._members.by_zone:
            zone = self._members.index.nodes(self._members.place.zone)
            near = [node for node in preceding if node in zone]
            if near:
                return near[0], ZONE_AGES
        return next(iter(preceding), None), USUAL_AGES

    async def _query_proof(
        self, machine: GrantMachine, service: ServiceName, name: NodeId
    ) -> None:
        address = self._members.addresses[name]
        sent_at = self._clock.now()
        query = messages.ProofQuery(service_name=service)
        try:
            reply = await self._pool.call(address, query, ASK_LIMIT_MS)
        except LinkError:
            # The caller then reads the store or queries the next peer.
            return
        if reply.version is None or reply.age_ms is None:
            return
        if machine.table is None or reply.version > machine.table.version:
            await self._tables.pull(service, address)
        machine.record_proof(reply.version, sent_at - reply.age_ms)


def _jitter() -> float:
    # Spreads the queries of nodes that started at the same time.
    return random.uniform(*JITTER)
