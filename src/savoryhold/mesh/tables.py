"""The stored tables of key ranges: copies, proofs, writes and claims."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Any

from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    LinkError,
    MalformedMessageError,
    PlatformError,
)
from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version
from savoryhold.daemon.logs import Log
from savoryhold.mesh.codec import table_of_news
from savoryhold.mesh.interface import (
    MeshStore,
    StoreConflictError,
    StoredObject,
)
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.settings import MeshSettings
from savoryhold.peer import PeerPool, messages
from savoryhold.ranges import (
    HOLD_MS,
    UNKNOWN_OWNER,
    OwnershipChange,
    ReleaseConfirmation,
    GrantMachine,
    TargetLoad,
    RangeTable,
    ReleasedSpan,
    Row,
    Span,
    distribute_spans,
)

__all__ = ['TABLE_KIND', 'TableTask']

TABLE_KIND = 'savoryhold-ranges'
MS_PER_SECOND = 1000
STEP_MS = 40  # while rows or spans wait for somebody
IDLE_STEP_MS = 300  # a leaving target is seen this soon, too
ASK_LIMIT_MS = 250
WORD_EVERY_MS = 120
WRITE_PAUSE_MS = 150
WORDS_KEPT = 1000
HOLD_REPORTS = 3.4  # report intervals, so that two lost reports are borne
LIFE_BITS = 48
MERGE_RUNS = 4  # runs of own rows that are worth a write of their own


class TableTask:
    """Owns all tables, and the grants of the local target.

    Parameters
    ----------
    settings : MeshSettings
        This node's settings.
    store : MeshStore
        Where the tables are kept.
    members : MemberTable
        The other nodes.
    owner : OwnerTask
        The local target.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Where decisions go.
    """

    def __init__(
        self,
        settings: MeshSettings,
        store: MeshStore,
        members: MemberTable,
        owner: OwnerTask,
        pool: PeerPool,
        clock: Clock,
        log: Log,
    ) -> None:
        self.node = settings.node
        self._service = settings.service
        self._hold_limit_ms = min(
            settings.hold_max_ms,
            max(HOLD_MS, round(settings.report_ms * HOLD_REPORTS)),
        )
        self.tables: dict[ServiceName, RangeTable] = {}
        self.machines: dict[ServiceName, GrantMachine] = {}
        self.keyed: Callable[[], set[ServiceName]] = set
        self.life = random.getrandbits(LIFE_BITS)
        self.on_table: Callable[[RangeTable, RangeTable | None], None] = (
            lambda table, older: None
        )
        self.writes = 0
        self.moves = 0
        self._store = store
        self._members = members
        self._owner = owner
        self._pool = pool
        self._clock = clock
        self._log = log
        self._started_at = clock.now()
        self._word_at: dict[Row, int] = {}
        self._pause_until = 0
        self._missing: set[ServiceName] = set()
        self._stepping = asyncio.Lock()
        self._due = asyncio.Event()
        self._pulling: dict[ServiceName, asyncio.Task[None]] = {}

    # Copies -----------------------------------------------------------

    def learn(self, table: RangeTable) -> bool:
        """Take in a table; return whether it is newer than the copy."""
        known = self.tables.get(table.service)
        if known is not None and known.version >= table.version:
            return False
        self.tables[table.service] = table
        self._missing.discard(table.service)
        if table.rows_of(self.node) or table.service in self.machines:
            self._teach(self.machine(table.service), table)
        self._log.info(
            'table_learned',
            service=table.service,
            version=table.version,
            rows=len(table.rows),
            own=len(table.rows_of(self.node)),
        )
        self._due.set()
        self._owner.wake()
        return True

    def machine(self, service: ServiceName) -> GrantMachine:
        """Return the grants of a service at this node."""
        machine = self.machines.get(service)
        if machine is None:
            machine = GrantMachine(
                self.node, self._started_at, self._hold_limit_ms
            )
            self.machines[service] = machine
            table = self.tables.get(service)
            if table is not None:
                self._teach(machine, table)
        return machine

    def _teach(self, machine: GrantMachine, table: RangeTable) -> None:
        fresh = self.life in table.lives
        machine.learn(table, self._clock.now(), fresh=fresh)

    def proof(self, service: ServiceName) -> tuple[int, int] | None:
        """Return the version that the stored table had, and the age."""
        machine = self.machines.get(service)
        if machine is None or machine.table is None:
            return None
        version, at = machine.proof
        return version, self._clock.now() - at

    def keys(self) -> int:
        """Return how many keys this node owns."""
        return sum(
            row.span.size
            for table in self.tables.values()
            for row in table.rows_of(self.node)
        )

    async def read(self, service: ServiceName) -> bool:
        """Read a table from the store; return whether it answered."""
        sent_at = self._clock.now()
        try:
            found = await self._store.read(TABLE_KIND, service)
        except PlatformError as exc:
            self._log.info('table_read_failed', service=service, error=str(exc))
            return False
        if found is None:
            self._missing.add(service)
            return True
        self._missing.discard(service)
        self._learn_stored(service, found)
        machine = self.machines.get(service)
        if machine is not None:
            machine.record_proof(found.version, sent_at)
        return True

    # Loops ------------------------------------------------------------

    async def run(self) -> None:
        """Do what is due until cancelled."""
        while True:
            now = self._clock.now()
            busy = any(
                machine.has_pending_work(now)
                for machine in self.machines.values()
            )
            await self._rest(STEP_MS if busy else IDLE_STEP_MS)
            for service in list(self.machines):
                await self.step(service)

    async def _rest(self, limit_ms: int) -> None:
        """Wait for a time, or until something is due."""
        self._due.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self._due.wait()

    # Steps of the owner -------------------------------------------------

    async def step(self, service: ServiceName) -> None:
        """Do what is due for the grants of a service."""
        # Two steps at once would write the same change twice.
        async with self._stepping:
            await self._step_alone(service)

    async def _step_alone(self, service: ServiceName) -> None:
        machine = self.machines[service]
        now = self._clock.now()
        if not self._owner.serves(service) and self._owner.report is not None:
            machine.mark_no_target()
        self._shed(machine, service, now)
        await self._ask_words(machine, now)
        changes = self._due_changes(machine, now)
        if changes and self.may_write(now):
            await self.write(service, changes, machine.unsettled(), 'owner')

    def _due_changes(
        self, machine: GrantMachine, now: int
    ) -> list[OwnershipChange]:
        changes = [
            OwnershipChange(span, to, settled=True)
            for span, to in machine.given(now).items()
        ]
        changes.extend(
            OwnershipChange(row.span, self.node, settled=row.settled)
            for row in machine.stale()
        )
        runs = machine.mergeable()
        if changes or len(runs) > MERGE_RUNS:
            changes.extend(
                OwnershipChange(span, self.node, settled=True) for span in runs
            )
        return changes

    def _shed(
        self, machine: GrantMachine, service: ServiceName, now: int
    ) -> None:
        """Give all keys away if the local target leaves or has gone."""
        if self._owner.serves(service) and self._owner.is_ready():
            return
        if self._owner.report is None:
            return
        machine.retain_handovers(lambda to: self._members.is_alive(to, now))
        rows = machine.grantable_rows()
        takers = self.loads(service, now)
        for span, to in distribute_spans([row.span for row in rows], takers):
            machine.start_handover(span, to)

    async def _ask_words(self, machine: GrantMachine, now: int) -> None:
        """Ask the former owners of waiting rows for their word."""
        for row in machine.waiting(now):
            asked = self._word_at.get(row, 0)
            if (
                row.previous in {'', UNKNOWN_OWNER}
                or now - asked < WORD_EVERY_MS
            ):
                continue
            self._word_at[row] = now
            asyncio.ensure_future(self._ask_word(machine, row))
        if len(self._word_at) > WORDS_KEPT:
            self._word_at.clear()

    async def _ask_word(self, machine: GrantMachine, row: Row) -> None:
        table = machine.table
        if table is None:
            return
        address = self._members.addresses.get(row.previous)
        if address is None:
            return
        ask = messages.ReleaseQuery(
            service_name=table.service,
            first=row.span.first,
            last=row.span.last,
            epoch=row.epoch,
        )
        try:
            reply = await self._pool.call(address, ask, ASK_LIMIT_MS)
        except LinkError:
            # The wait for the lease ends without the word, too.
            return
        if reply.known:
            machine.apply_confirmation(_confirmation(row, reply))
            self._log.info(
                'row_confirmed',
                service=table.service,
                first=row.span.first,
                last=row.span.last,
                epoch=row.epoch,
                by=row.previous,
            )
            self._owner.wake()

    # Writes -------------------------------------------------------------

    async def write(
        self,
        service: ServiceName,
        changes: Sequence[OwnershipChange],
        settled: Sequence[Row],
        reason: str,
    ) -> bool:
        """Write changes of owners; return whether they are stored.

        Parameters
        ----------
        service : ServiceName
            Whose table.
        changes : sequence of Change
            New owners.
        settled : sequence of Row
            Rows whose earlier owners need not be waited for any more.
        reason : str
            For the log.
        """
        table = self.tables[service]
        rows = table.changed(changes, settled)
        updated = RangeTable(service, table.version, rows, table.lives)
        spec = _spec_of(updated)
        self.writes += 1
        sent_at = self._clock.now()
        try:
            found = await self._store.replace(
                TABLE_KIND, service, spec, table.version
            )
        except StoreConflictError as exc:
            if exc.found is None:
                await self.read(service)
            else:
                self._learn_stored(service, exc.found)
            return False
        except PlatformError as exc:
            self._log.warning(
                'table_write_failed', service=service, error=str(exc)
            )
            self._pause_until = self._clock.now() + WRITE_PAUSE_MS
            await self.read(service)
            return False
        self.moves += len(changes)
        self._log.info(
            'table_written',
            service=service,
            reason=reason,
            changes=len(changes),
            spans=_spans_text(changes),
            version=found.version,
            took_ms=self._clock.now() - sent_at,
        )
        self._learn_stored(service, found)
        machine = self.machines.get(service)
        if machine is not None:
            machine.record_proof(found.version, sent_at)
        self.on_table(self.tables[service], table)
        return True

    def _learn_stored(self, service: ServiceName, found: StoredObject) -> None:
        try:
            table = RangeTable.from_fields(
                service,
                found.version,
                found.spec['rows'],
                found.spec.get('lives'),
            )
        except (MalformedMessageError, KeyError, TypeError) as exc:
            self._log.error(
                'table_unreadable', service=service, error=repr(exc)
            )
            return
        self.learn(table)

    # News ----------------------------------------------------------------

    def schedule_pull(self, service: ServiceName, address: str) -> None:
        """Fetch another node's copy of a table, one fetch at a time."""
        pulling = self._pulling.get(service)
        if pulling is None or pulling.done():
            self._pulling[service] = asyncio.ensure_future(
                self.pull(service, address)
            )

    async def pull(self, service: ServiceName, address: str) -> None:
        """Fetch another node's copy of a table."""
        ask = messages.MeshPull(service_name=service)
        try:
            reply = await self._pool.call(address, ask, ASK_LIMIT_MS)
        except LinkError:
            # Another status from there will ask for it again.
            return
        self.on_news(reply)

    def on_news(self, news: messages.Message) -> None:
        """Take in a table that another node sent."""
        service = ServiceName(news.service_name or '')
        table = table_of_news(news, self.tables.get(service))
        if table is not None:
            self.learn(table)

    def may_write(self, now: int) -> bool:
        """Return whether no failed write asks for a pause."""
        return now >= self._pause_until

    def is_missing(self, service: ServiceName) -> bool:
        """Return whether the store has said that there is no table."""
        return service in self._missing

    async def create(self, service: ServiceName, rows: Sequence[Row]) -> None:
        """Store the first table of a service, unless there is one."""
        now = self._clock.now()
        lives = [
            member.status.life for member in self._members.serving(service, now)
        ]
        table = RangeTable(service, Version(0), rows, [*lives, self.life])
        try:
            found = await self._store.create(
                TABLE_KIND, service, _spec_of(table)
            )
        except PlatformError as exc:
            self._log.warning('first_table_failed', error=str(exc))
            self._missing.discard(service)
            return
        self._log.info('first_table', service=service, rows=len(rows))
        self._learn_stored(service, found)
        self.machine(service).record_proof(found.version, now)
        self.on_table(self.tables[service], None)

    def loads(
        self, service: ServiceName, now: int, *, me: bool = False
    ) -> list[TargetLoad]:
        """Return what the ready targets of a service carry.

        Parameters
        ----------
        service : ServiceName
            The service.
        now : int
            Time in ms.
        me : bool
            Whether to count the local target.
        """
        found = [
            TargetLoad(
                member.status.node,
                member.status.demand,
                member.status.slots,
                member.status.keys,
            )
            for member in self._members.serving(service, now)
        ]
        if me and self._owner.is_ready() and self._owner.report is not None:
            found.append(
                TargetLoad(
                    self.node,
                    self._owner.demand(now),
                    self._owner.report.slots,
                    self.keys(),
                )
            )
        return sorted(found, key=lambda load: load.node)

    def start_handover(
        self, service: ServiceName, taker: NodeId, share: float
    ) -> None:
        """Begin to give a share of this node's work to another node."""
        machine = self.machines.get(service)
        if machine is None:
            return
        now = self._clock.now()
        spans = [row.span for row in machine.grantable_rows()]
        cut = self._owner.heat.cut(spans, share, now)
        if cut is None or not machine.start_handover(cut, taker):
            return
        self._log.info(
            'giving',
            service=service,
            first=cut.first,
            last=cut.last,
            to=taker,
            share=round(share, 3),
        )
        self._due.set()

    def word(
        self, service: ServiceName, span: Span, epoch: Epoch
    ) -> ReleaseConfirmation | None:
        """Return this node's word on a row that it owned."""
        machine = self.machines.get(service)
        if machine is None:
            return None
        return machine.release_confirmation(span, epoch, self._clock.now())


def _confirmation(row: Row, reply: messages.Message) -> ReleaseConfirmation:
    releases = tuple(
        ReleasedSpan(Span(entry.first, entry.last), entry.token)
        for entry in reply.releases or ()
    )
    return ReleaseConfirmation(row.span, row.epoch, releases)


def _spec_of(table: RangeTable) -> dict[str, Any]:
    return {'rows': table.to_fields(), 'lives': sorted(table.lives)}


def _spans_text(changes: Sequence[OwnershipChange]) -> str:
    return ','.join(
        f'{change.span.first}-{change.span.last}>{change.owner}'
        for change in changes[:8]
    )
