"""Proofs that the stored table is the copy that a node acts on.

The first node of a service by name reads the table; the others ask it, and
date its answer by the sending of their own question.
"""

import asyncio
import random

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.mesh.node_context import NodeContext
from savoryhold.peer import messages
from savoryhold.ranges import GrantMachine

__all__ = ['ProofTask']

MS_PER_SECOND = 1000
PROOF_EVERY_MS = 300
PROOF_FRESH_MS = 900  # a younger proof needs no new one
PROOF_OWN_MS = 1900  # an older proof is renewed by an own read
ASK_LIMIT_MS = 250
MOST_ASKED = 3  # nodes that are asked when the store does not answer
HASTEN_MS = 400  # a reply counts if it comes within a second
HASTEN_PAUSE_MS = 15
HASTEN_PROOF_MS = 150  # between two attempts at a proof
HASTEN_REST_MS = 3000
JITTER = (0.8, 1.3)


class ProofTask:
    """Keeps the proof of the local target's table fresh.

    Parameters
    ----------
    parts : Parts
        The node.
    """

    def __init__(self, parts: NodeContext) -> None:
        self._me = parts.settings.node
        self._service = parts.settings.service
        self._tables = parts.tables
        self._members = parts.members
        self._owner = parts.owner
        self._pool = parts.pool
        self._clock = parts.clock
        self._log = parts.log
        self._hasten_from = 0

    async def run(self) -> None:
        """Renew the proof until cancelled."""
        while True:
            await asyncio.sleep(PROOF_EVERY_MS * _jitter() / MS_PER_SECOND)
            report = self._owner.report
            service = self._service if report is None else report.service
            if service in self._tables.keyed():
                await self._prove(service)

    async def hasten(self, service: ServiceName) -> None:
        """Do now what a target's report waits for, within `HASTEN_MS`."""
        machine = self._tables.machine(service)
        if self._clock.now() < self._hasten_from:
            return
        try:
            async with asyncio.timeout(HASTEN_MS / MS_PER_SECOND):
                await self._hasten(machine, service)
        except TimeoutError:
            # In an outage each report would wait in vain.
            self._hasten_from = self._clock.now() + HASTEN_REST_MS
            self._log.info(
                'report_not_hastened',
                service=service,
                proof_age_ms=self._clock.now() - machine.proved_at,
                stale=len(machine.stale()),
            )

    async def _hasten(
        self, machine: GrantMachine, service: ServiceName
    ) -> None:
        proved_at = 0
        while not machine.can_reply(self._clock.now()):
            if self._tables.is_missing(service):
                return
            if self._clock.now() - proved_at > HASTEN_PROOF_MS:
                proved_at = self._clock.now()
                await self._prove(service)
            await self._tables.step(service)
            await asyncio.sleep(HASTEN_PAUSE_MS / MS_PER_SECOND)

    async def _prove(self, service: ServiceName) -> None:
        machine = self._tables.machine(service)
        now = self._clock.now()
        if now - machine.proved_at < PROOF_FRESH_MS:
            return
        names = sorted(
            member.status.node
            for member in self._members.alive(now)
            if member.status.service == service
        )
        first = bool(names) and names[0] < self._me
        if first:
            await self._ask_proof(machine, service, names[0])
        now = self._clock.now()
        if first and self._tables.is_missing(service):
            # The first node creates the table and tells of it.
            return
        if not first or now - machine.proved_at >= PROOF_OWN_MS:
            if await self._tables.read(service):
                return
            for name in names[:MOST_ASKED]:
                await self._ask_proof(machine, service, name)

    async def _ask_proof(
        self, machine: GrantMachine, service: ServiceName, name: str
    ) -> None:
        address = self._members.addresses[NodeId(name)]
        sent_at = self._clock.now()
        ask = messages.ProofQuery(service_name=service)
        try:
            reply = await self._pool.call(address, ask, ASK_LIMIT_MS)
        except LinkError:
            # The own read that follows replaces the answer.
            return
        if reply.version is None or reply.age_ms is None:
            return
        if machine.table is None or reply.version > machine.table.version:
            await self._tables.pull(service, address)
        machine.record_proof(reply.version, sent_at - reply.age_ms)


def _jitter() -> float:
    # Nodes that started together must not call together.
    return random.uniform(*JITTER)
