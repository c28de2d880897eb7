"""Writes of key range tables, of which there is one stored object a service.

In a large fleet nodes that write at the same time would conflict, and each
conflict costs a call and a whole table.  There, the first ready node of a
service by name collects the requests of the others and writes them together.
Any node may write: what a request says of its rows is checked against the
table that is replaced, and the write is conditional on its version.
"""

import asyncio
import dataclasses
import enum
import json
from collections import defaultdict
from typing import Any, Protocol

from savoryhold.core.clock import Clock
from savoryhold.core.decoding import UNREADABLE, parse_json
from savoryhold.core.errors import LinkError, PlatformError
from savoryhold.core.ids import NodeId, ServiceName
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import (
    MeshStore,
    StoreConflictError,
    StoredObject,
)
from savoryhold.mesh.members import MemberTable
from savoryhold.peer import PeerPool, messages
from savoryhold.ranges import (
    ChangeRequest,
    OwnershipChange,
    RangeTable,
    TableDraft,
)

__all__ = ['TABLE_KIND', 'TableWriter', 'WriteOutcome', 'table_spec']

TABLE_KIND = 'savoryhold-ranges'
MS_PER_SECOND = 1000
COLLECT_MS = 30  # in which requests join a write
MAX_CONFLICTS = 5  # of one write, which then fails
REQUEST_LIMIT_MS = 500  # of the call to the node that writes
SHOWN_SPANS = 8  # of a write, in its log line


class WriteOutcome(enum.Enum):
    """What has become of a request."""

    STORED = enum.auto()
    REFUSED = enum.auto()  # its rows have changed
    FAILED = enum.auto()  # the store has not taken the table


@dataclasses.dataclass(slots=True)
class _Pending:
    """Requests for one service that wait for the next write."""

    requests: list[tuple[ChangeRequest, 'asyncio.Future[WriteOutcome]']]
    task: 'asyncio.Task[None] | None' = None


class TableCopies(Protocol):
    """The tables as they are known here, and how they change."""

    tables: dict[ServiceName, RangeTable]

    async def learn_conflict(
        self, service: ServiceName, stored: StoredObject | None
    ) -> None:
        """Learn the table that has made a write fail."""

    async def on_write_failed(self, service: ServiceName) -> None:
        """Find out whether a write has taken effect, and pause writing."""

    def learn_written(
        self,
        service: ServiceName,
        stored: StoredObject,
        older: RangeTable,
        sent_at: int,
    ) -> None:
        """Learn a table that was written here, and announce it."""

    async def wait_for(
        self, service: ServiceName, version: int, address: str
    ) -> None:
        """Wait for a version that the node at an address has written."""


class TableWriter:
    """Writes changes of tables, for this node and for others.

    Parameters
    ----------
    node : NodeId
        This node.
    store : MeshStore
        Store of the tables.
    copies : TableCopies
        The tables as they are known here.
    members : MemberTable
        Status of the other nodes.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    """

    def __init__(
        self,
        node: NodeId,
        store: MeshStore,
        copies: TableCopies,
        members: MemberTable,
        pool: PeerPool,
        clock: Clock,
        log: Log,
    ) -> None:
        self.writes = 0
        self.moves = 0
        self._node = node
        self._store = store
        self._copies = copies
        self._members = members
        self._pool = pool
        self._clock = clock
        self._log = log
        self._pending: defaultdict[ServiceName, _Pending] = defaultdict(
            lambda: _Pending([])
        )

    async def request(
        self, service: ServiceName, request: ChangeRequest
    ) -> bool:
        """Have changes written here or elsewhere; return whether they are."""
        writer = self._writer_of(service)
        if writer is not None:
            written = await self._request_from(writer, service, request)
            if written is not None:
                return written
        return await self.collect(service, request) is WriteOutcome.STORED

    async def collect(
        self, service: ServiceName, request: ChangeRequest
    ) -> WriteOutcome:
        """Write a request together with others."""
        pending = self._pending[service]
        fut: asyncio.Future[WriteOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        pending.requests.append((request, fut))
        if pending.task is None or pending.task.done():
            pending.task = asyncio.ensure_future(self._flush(service, pending))
        return await fut

    async def serve(
        self, service: ServiceName, text: bytes
    ) -> messages.Message:
        """Serve a request of another node."""
        try:
            request = ChangeRequest.from_fields(parse_json(text))
        except UNREADABLE as exc:
            self._log.warning('table_request_unreadable', error=repr(exc))
            return messages.TableWritten()
        if service not in self._copies.tables:
            return messages.TableWritten()
        outcome = await self.collect(service, request)
        if outcome is WriteOutcome.FAILED:
            # The sender may reach the store where this node does not.
            return messages.TableWritten()
        return messages.TableWritten(
            written=outcome is WriteOutcome.STORED,
            version=self._copies.tables[service].version,
        )

    def _writer_of(self, service: ServiceName) -> NodeId | None:
        """Return the node that writes for this one, None if it does so."""
        if not self._members.by_zone:
            return None
        first = min(
            (
                member.status.node
                for member in self._members.serving_members(
                    service, self._clock.now()
                )
            ),
            default=self._node,
        )
        return None if first >= self._node else first

    async def _request_from(
        self, writer: NodeId, service: ServiceName, request: ChangeRequest
    ) -> bool | None:
        """Return whether a request was written, None if that is not known."""
        query = messages.TableRequest(
            service_name=service,
            changes=json.dumps(request.to_fields()).encode(),
        )
        address = self._members.addresses[writer]
        try:
            reply = await self._pool.call(address, query, REQUEST_LIMIT_MS)
        except LinkError as exc:
            self._log.info(
                'table_request_failed', writer=writer, error=str(exc)
            )
            return None
        if not reply.version:
            return None
        await self._copies.wait_for(service, reply.version, address)
        return bool(reply.written)

    async def _flush(self, service: ServiceName, pending: _Pending) -> None:
        """Write what is pending until nothing is."""
        while pending.requests:
            if self._members.by_zone:
                await asyncio.sleep(COLLECT_MS / MS_PER_SECOND)
            taken = list(pending.requests)
            pending.requests.clear()
            outcomes = [WriteOutcome.FAILED for _ in taken]
            try:
                outcomes = await self._write(
                    service, [request for request, _ in taken]
                )
            finally:
                _resolve([fut for _, fut in taken], outcomes)

    async def _write(
        self, service: ServiceName, requests: list[ChangeRequest]
    ) -> list[WriteOutcome]:
        for _ in range(MAX_CONFLICTS):
            table = self._copies.tables[service]
            draft = TableDraft(table)
            outcomes = [
                WriteOutcome.STORED
                if draft.apply(request)
                else WriteOutcome.REFUSED
                for request in requests
            ]
            if not draft.changed:
                return outcomes
            try:
                await self._replace(service, table, draft, requests)
            except StoreConflictError as exc:
                await self._copies.learn_conflict(service, exc.stored)
                continue
            except PlatformError as exc:
                self._log.warning(
                    'table_write_failed', service=service, error=str(exc)
                )
                await self._copies.on_write_failed(service)
                break
            self.moves += draft.changed
            return outcomes
        return [WriteOutcome.FAILED for _ in requests]

    async def _replace(
        self,
        service: ServiceName,
        table: RangeTable,
        draft: TableDraft,
        requests: list[ChangeRequest],
    ) -> None:
        updated = RangeTable(service, table.version, draft.rows(), table.lives)
        self.writes += 1
        sent_at = self._clock.now()
        stored = await self._store.replace(
            TABLE_KIND, service, table_spec(updated), table.version
        )
        changes = [one.change for each in requests for one in each.changes]
        self._log.info(
            'table_written',
            service=service,
            reason=','.join(sorted({one.reason for one in requests})),
            requests=len(requests),
            changes=len(changes),
            spans=_format_spans(changes),
            version=stored.version,
            took_ms=self._clock.now() - sent_at,
        )
        self._copies.learn_written(service, stored, table, sent_at)


def _resolve(
    futures: list['asyncio.Future[WriteOutcome]'],
    outcomes: list[WriteOutcome],
) -> None:
    for fut, outcome in zip(futures, outcomes, strict=True):
        if not fut.done():
            fut.set_result(outcome)


def table_spec(table: RangeTable) -> dict[str, Any]:
    """Return the stored form of a table."""
    return {'rows': table.to_fields(), 'lives': sorted(table.lives)}


def _format_spans(changes: list[OwnershipChange]) -> str:
    return ','.join(
        f'{change.span.first}-{change.span.last}>{change.owner}'
        for change in changes[:SHOWN_SPANS]
    )
