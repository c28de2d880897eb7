"""Replication of the owner's ledger of request ids to its standbys."""

import asyncio
from collections.abc import Callable, Iterable

from savoryhold.core.clock import Clock
from savoryhold.core.errors import LinkError, NotOwnerError
from savoryhold.core.ids import NodeId, RequestId, ShardKey
from savoryhold.core.ledger import LedgerEntry
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.daemon.convert import ledger_id
from savoryhold.peer import PeerPool, messages

__all__ = ['LedgerReplicator']

MS_PER_SECOND = 1000
SYNC_INTERVAL_MS = 100
APPEND_TIMEOUT_MS = 150
APPEND_PAUSE_MS = 20
IDS_PER_MESSAGE = 5000

Export = Callable[[frozenset[ShardKey]], list[LedgerEntry]]


class LedgerReplicator:
    """Sends request ids to the standbys named in this node's record.

    Parameters
    ----------
    machine : callable
        Returns the current ownership machine; a rejoin replaces it.
    pool : PeerPool
        Links to other daemons.
    clock : Clock
        Source of time.

    Notes
    -----
    A standby counts as synced only once it has the whole ledger; until
    then new non-idempotent requests wait.
    """

    def __init__(
        self,
        machine: Callable[[], OwnershipMachine],
        pool: PeerPool,
        clock: Clock,
    ) -> None:
        self.export: Export = lambda keys: []
        self._machine = machine
        self._pool = pool
        self._clock = clock
        self._synced: set[NodeId] = set()

    async def run(self) -> None:
        """Sync new standbys each `SYNC_INTERVAL_MS` until cancelled."""
        while True:
            await self.sync()
            await asyncio.sleep(SYNC_INTERVAL_MS / MS_PER_SECOND)

    async def sync(self) -> None:
        """Send the whole ledger to each standby that lacks it."""
        standbys = self._standbys()
        self._synced &= standbys
        for standby in sorted(standbys - self._synced):
            await self._sync_one(standby)

    async def resync(self) -> None:
        """Send the ledger again, after another owner handed over its ids."""
        self._synced.clear()
        await self.sync()

    async def append(
        self, key: ShardKey, request: RequestId, limit_ms: float
    ) -> None:
        """Store a request id at all standbys.

        Raises
        ------
        NotOwnerError
            If a standby does not confirm it within `limit_ms`.
        """
        until = self._clock.now() + limit_ms
        confirmed: set[NodeId] = set()
        missing = self._standbys()
        while missing:
            for standby in sorted(missing):
                await self._append_one(standby, key, request, until)
            confirmed |= missing
            # A standby named in the meantime must store the id as well.
            missing = self._standbys() - confirmed

    async def _append_one(
        self, standby: NodeId, key: ShardKey, request: RequestId, until: float
    ) -> None:
        ids = [ledger_id(key, request)]
        while standby in self._standbys():
            if self._clock.now() >= until:
                raise NotOwnerError(
                    f'standby {standby} did not confirm the request id in time'
                )
            if standby not in self._synced:
                await self._sync_one(standby)
            if standby in self._synced and await self._send(standby, ids):
                return
            # A lost standby is replaced in the record within half a lease.
            await asyncio.sleep(APPEND_PAUSE_MS / MS_PER_SECOND)

    async def _sync_one(self, standby: NodeId) -> None:
        held = frozenset(self._machine().holder.held)
        ids = [
            ledger_id(entry.key, entry.request) for entry in self.export(held)
        ]
        for start in range(0, len(ids), IDS_PER_MESSAGE):
            batch = ids[start : start + IDS_PER_MESSAGE]
            if not await self._send(standby, batch):
                return
        self._synced.add(standby)

    async def _send(
        self, standby: NodeId, ids: Iterable[messages.Message]
    ) -> bool:
        machine = self._machine()
        record = machine.directory.record_of(standby)
        if record is None:
            return False
        message = messages.LedgerAppend(holder=machine.node, ids=list(ids))
        try:
            reply = await self._pool.call(
                record.profile.address, message, APPEND_TIMEOUT_MS
            )
        except LinkError:
            return False
        return bool(reply.ok)

    def _standbys(self) -> set[NodeId]:
        return self._machine().holder.lease.standbys()
