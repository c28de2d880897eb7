"""Key range tables: local copies, proofs, handovers, writes and claims."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from functools import partial

from savoryhold.core.clock import Clock
from savoryhold.core.decoding import UNREADABLE
from savoryhold.core.errors import (
    LinkError,
    PlatformError,
)
from savoryhold.core.ids import Epoch, NodeId, ServiceName, Version
from savoryhold.daemon.logs import Log
from savoryhold.mesh.codec import table_from_message
from savoryhold.mesh.interface import (
    MeshStore,
    StoredObject,
)
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.place_rules import PlaceRules
from savoryhold.mesh.places import Place
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.table_deltas import EarlyDeltas
from savoryhold.mesh.table_follower import TableFollower
from savoryhold.mesh.table_writer import TABLE_KIND, TableWriter, table_spec
from savoryhold.peer import PeerPool, messages
from savoryhold.ranges import (
    ChangeRequest,
    HOLD_MS,
    UNKNOWN_OWNER,
    GrantMachine,
    OwnershipChange,
    RangeTable,
    ReleaseConfirmation,
    ReleasedSpan,
    Row,
    Span,
    TargetLoad,
    distribute_spans,
)

__all__ = ['TABLE_KIND', 'TableTask']

MS_PER_SECOND = 1000
STEP_MS = 40  # while the grants have pending work
IDLE_STEP_MS = 300  # also bounds the time until a leaving target is noticed
ASK_LIMIT_MS = 250
PULL_LIMIT_MS = 1000  # other announcers are asked meanwhile
ASK_INTERVAL_MS = 120
WRITE_PAUSE_MS = 150
ANNOUNCED_MS = 60  # until a version that another node has written arrives
ANNOUNCED_POLL_MS = 10
MAX_ASKED_ROWS = 1000
HOLD_REPORTS = 3.4  # report intervals; two lost reports do not end a hold
LIFE_BITS = 48
MERGE_THRESHOLD = 4  # more mergeable spans justify a write of their own


class TableTask:
    """Owns the copies of all tables and the grants to the local target.

    Parameters
    ----------
    settings : MeshSettings
        This node's settings.
    store : MeshStore
        Store of the tables.
    members : MemberTable
        Status of the other nodes.
    owner : OwnerTask
        Queue and connections of the local target.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
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
        self.keyed_services: Callable[[], set[ServiceName]] = set
        self.life = random.getrandbits(LIFE_BITS)
        self.place = Place(settings.zone, settings.region)
        self.places = PlaceRules(self.place)
        self.on_table_written: Callable[
            [RangeTable, RangeTable | None], None
        ] = lambda table, older: None
        self.writer = TableWriter(
            settings.node, store, self, members, pool, clock, log
        )
        self._store = store
        self._members = members
        self._owner = owner
        self._pool = pool
        self._clock = clock
        self._log = log
        self._started_at = clock.now()
        self._asked_at: dict[Row, int] = {}
        self._no_writes_before = 0
        self._missing: set[ServiceName] = set()
        self._step_lock = asyncio.Lock()
        self._due = asyncio.Event()
        self._early_deltas = EarlyDeltas()
        self._follower = TableFollower(
            self._known_version, partial(self.pull, limit_ms=PULL_LIMIT_MS)
        )

    # Copies -----------------------------------------------------------

    def learn(self, table: RangeTable) -> bool:
        """Replace the copy of a table; return whether the table is newer."""
        known = self.tables.get(table.service)
        if known is not None and known.version >= table.version:
            return False
        self.tables[table.service] = table
        self._missing.discard(table.service)
        if table.rows_of(self.node) or table.service in self.machines:
            self._update_machine(self.machine(table.service), table)
        self._log.info(
            'table_learned',
            service=table.service,
            version=table.version,
            rows=len(table.rows),
            own=len(table.rows_of(self.node)),
        )
        self._due.set()
        self._owner.wake()
        self._apply_early_delta(table)
        return True

    def _known_version(self, service: ServiceName) -> int:
        known = self.tables.get(service)
        return 0 if known is None else known.version

    def _apply_early_delta(self, table: RangeTable) -> None:
        """Apply the difference from a version, if it has arrived before."""
        update = self._early_deltas.take(table.service, table.version)
        later = update and table_from_message(update, table)
        if later is not None:
            self.learn(later)

    def machine(self, service: ServiceName) -> GrantMachine:
        """Return the state of this node's grants for a service."""
        machine = self.machines.get(service)
        if machine is None:
            machine = GrantMachine(
                self.node, self._started_at, self._hold_limit_ms
            )
            self.machines[service] = machine
            table = self.tables.get(service)
            if table is not None:
                self._update_machine(machine, table)
        return machine

    def _update_machine(self, machine: GrantMachine, table: RangeTable) -> None:
        fresh = self.life in table.lives
        machine.learn(table, self._clock.now(), fresh=fresh)

    def last_proof(self, service: ServiceName) -> tuple[int, int] | None:
        """Return the version of the last proof and its age in ms."""
        machine = self.machines.get(service)
        if machine is None or machine.table is None:
            return None
        version, at = machine.proof
        return version, self._clock.now() - at

    def owned_key_count(self) -> int:
        """Return the number of keys that this node owns."""
        return sum(
            row.span.size
            for table in self.tables.values()
            for row in table.rows_of(self.node)
        )

    async def read(self, service: ServiceName) -> bool:
        """Read a table from the store; return whether the store answered."""
        sent_at = self._clock.now()
        try:
            stored = await self._store.read(TABLE_KIND, service)
        except PlatformError as exc:
            self._log.info('table_read_failed', service=service, error=str(exc))
            return False
        if stored is None:
            self._missing.add(service)
            return True
        self._missing.discard(service)
        self._learn_stored(service, stored)
        machine = self.machines.get(service)
        if machine is not None:
            machine.record_proof(stored.version, sent_at)
        return True

    # Loops ------------------------------------------------------------

    async def run(self) -> None:
        """Advance the grants of all services until cancelled."""
        while True:
            now = self._clock.now()
            busy = any(
                machine.has_pending_work(now)
                for machine in self.machines.values()
            )
            await self._wait_until_due(STEP_MS if busy else IDLE_STEP_MS)
            for service in list(self.machines):
                await self.step(service)

    async def _wait_until_due(self, limit_ms: int) -> None:
        """Wait for a time, or until there is new work."""
        self._due.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self._due.wait()

    # Grants -----------------------------------------------------------

    async def step(self, service: ServiceName) -> None:
        """Advance the pending grants and handovers of a service."""
        # Two concurrent steps would write the same change twice.
        async with self._step_lock:
            await self._step_locked(service)

    async def _step_locked(self, service: ServiceName) -> None:
        machine = self.machines[service]
        now = self._clock.now()
        if (
            not self._owner.target.serves(service)
            and self._owner.target.report is not None
        ):
            machine.mark_no_target()
        self._hand_over_all(machine, service, now)
        await self._request_confirmations(machine, now)
        changes = self._due_changes(machine, now)
        if changes and self.may_write(now):
            await self.write(
                service, changes, machine.unsettled_rows(), 'owner'
            )

    def _due_changes(
        self, machine: GrantMachine, now: int
    ) -> list[OwnershipChange]:
        changes = [
            OwnershipChange(span, to, settled=True)
            for span, to in machine.completed_handovers(now).items()
        ]
        changes.extend(
            OwnershipChange(row.span, self.node, settled=row.settled)
            for row in machine.stale_rows()
        )
        mergeable = machine.mergeable_spans()
        if changes or len(mergeable) > MERGE_THRESHOLD:
            changes.extend(
                OwnershipChange(span, self.node, settled=True)
                for span in mergeable
            )
        return changes

    def _hand_over_all(
        self, machine: GrantMachine, service: ServiceName, now: int
    ) -> None:
        """Hand over all keys if the local target may not keep them.

        It is leaving or has stopped, its zone is evacuated, or the service's
        routes do not allow its region.
        """
        target = self._owner.target
        may_own = self.places.may_own(service, self.place)
        if may_own and target.serves(service) and target.is_ready():
            return
        if self._owner.target.report is None:
            return
        machine.retain_handovers(
            lambda to: (
                self._members.is_alive(to, now) and self._may_take(service, to)
            )
        )
        rows = machine.grantable_rows()
        takers = self.loads(service, now)
        for span, to in distribute_spans([row.span for row in rows], takers):
            machine.start_handover(span, to)

    async def _request_confirmations(
        self, machine: GrantMachine, now: int
    ) -> None:
        """Ask the previous owners of waiting rows to confirm the release."""
        for row in machine.waiting_rows(now):
            asked_at = self._asked_at.get(row, 0)
            if (
                row.previous in {'', UNKNOWN_OWNER}
                or now - asked_at < ASK_INTERVAL_MS
            ):
                continue
            self._asked_at[row] = now
            asyncio.ensure_future(self._request_confirmation(machine, row))
        if len(self._asked_at) > MAX_ASKED_ROWS:
            self._asked_at.clear()

    async def _request_confirmation(
        self, machine: GrantMachine, row: Row
    ) -> None:
        table = machine.table
        if table is None:
            return
        address = self._members.addresses.get(row.previous)
        if address is None:
            return
        query = messages.ReleaseQuery(
            service_name=table.service,
            first=row.span.first,
            last=row.span.last,
            epoch=row.epoch,
        )
        try:
            reply = await self._pool.call(address, query, ASK_LIMIT_MS)
        except LinkError:
            # Without a confirmation, the row waits until the lease expires.
            return
        if reply.known:
            machine.apply_confirmation(_decode_confirmation(row, reply))
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
        """Have ownership changes written; return whether they are stored.

        Parameters
        ----------
        service : ServiceName
            Service of the table.
        changes : sequence of OwnershipChange
            Spans and their new owners.
        settled : sequence of Row
            Rows whose earlier owners can no longer extend a grant.
        reason : str
            Reason to log.
        """
        request = ChangeRequest.on(
            self.tables[service], changes, settled, reason
        )
        return await self.writer.request(service, request)

    async def learn_conflict(
        self, service: ServiceName, stored: StoredObject | None
    ) -> None:
        """Learn the table that has made a write fail."""
        if stored is None:
            await self.read(service)
        else:
            self._learn_stored(service, stored)

    async def on_write_failed(self, service: ServiceName) -> None:
        """Find out whether a write has taken effect, and pause writing."""
        self._no_writes_before = self._clock.now() + WRITE_PAUSE_MS
        await self.read(service)

    def learn_written(
        self,
        service: ServiceName,
        stored: StoredObject,
        older: RangeTable,
        sent_at: int,
    ) -> None:
        """Learn a table that was written here, and announce it."""
        self._learn_stored(service, stored)
        machine = self.machines.get(service)
        if machine is not None:
            machine.record_proof(stored.version, sent_at)
        self.on_table_written(self.tables[service], older)

    async def wait_for(
        self, service: ServiceName, version: int, address: str
    ) -> None:
        """Wait for a version that the node at an address has written."""
        until = self._clock.now() + ANNOUNCED_MS
        while self.tables[service].version < version:
            if self._clock.now() >= until:
                await self.pull(service, address)
                return
            await asyncio.sleep(ANNOUNCED_POLL_MS / MS_PER_SECOND)

    def _learn_stored(self, service: ServiceName, stored: StoredObject) -> None:
        try:
            table = RangeTable.from_fields(
                service,
                stored.version,
                stored.spec['rows'],
                stored.spec.get('lives'),
            )
        except UNREADABLE as exc:
            self._log.error(
                'table_unreadable', service=service, error=repr(exc)
            )
            return
        self.learn(table)

    # Updates -------------------------------------------------------------

    def schedule_pull(
        self, service: ServiceName, version: int, address: str
    ) -> None:
        """Fetch a table in a task if a peer has announced a newer version."""
        self._follower.on_announced(service, version, address)

    async def pull(
        self, service: ServiceName, address: str, limit_ms: int = ASK_LIMIT_MS
    ) -> None:
        """Pull a peer's copy of a table."""
        query = messages.MeshPull(service_name=service)
        try:
            reply = await self._pool.call(address, query, limit_ms)
        except LinkError:
            # The peer's next status triggers another pull.
            return
        self.apply_update(reply)

    def apply_update(self, update: messages.Message) -> None:
        """Process a table that a peer has sent."""
        service = ServiceName(update.service_name or '')
        known = self.tables.get(service)
        table = table_from_message(update, known)
        if table is not None:
            self.learn(table)
        elif update.base and (known is None or update.base > known.version):
            self._early_deltas.add(update)

    def may_write(self, now: int) -> bool:
        """Return whether the pause after the last failed write is over."""
        return now >= self._no_writes_before

    def is_missing(self, service: ServiceName) -> bool:
        """Return whether the store has answered that there is no table."""
        return service in self._missing

    async def create(self, service: ServiceName, rows: Sequence[Row]) -> None:
        """Create the first table of a service, unless it exists."""
        now = self._clock.now()
        lives = [
            member.status.life
            for member in self._members.serving_members(service, now)
        ]
        table = RangeTable(service, Version(0), rows, [*lives, self.life])
        try:
            stored = await self._store.create(
                TABLE_KIND, service, table_spec(table)
            )
        except PlatformError as exc:
            self._log.warning('table_create_failed', error=str(exc))
            self._missing.discard(service)
            return
        self._log.info('table_created', service=service, rows=len(rows))
        self._learn_stored(service, stored)
        self.machine(service).record_proof(stored.version, now)
        self.on_table_written(self.tables[service], None)

    def loads(
        self, service: ServiceName, now: int, *, include_self: bool = False
    ) -> list[TargetLoad]:
        """Return the loads of the ready targets that may own keys of a service.

        Parameters
        ----------
        service : ServiceName
            Service of the targets.
        now : int
            Current time in ms.
        include_self : bool
            Whether to include the local target.
        """
        table = self.tables.get(service)
        keys = {} if table is None else table.key_counts()
        by_work = self._owner.queue.work is not None
        loads = [
            TargetLoad(
                member.status.node,
                member.status.demand,
                member.status.slots,
                keys.get(member.status.node, 0),
                member.status.pace if by_work else 1.0,
            )
            for member in self._members.serving_members(service, now)
            if self._may_take(service, member.status.node)
        ]
        if (
            include_self
            and self.places.may_own(service, self.place)
            and self._owner.target.is_ready()
            and self._owner.target.report is not None
        ):
            loads.append(
                TargetLoad(
                    self.node,
                    self._owner.demand(now),
                    self._owner.advertised_slots(),
                    keys.get(self.node, 0),
                    self._owner.queue.steady_pace(now),
                )
            )
        return sorted(loads, key=lambda load: load.node)

    def _may_take(self, service: ServiceName, node: NodeId) -> bool:
        """Return whether a node's place allows it to own keys of a service."""
        place = self._members.index.places.get(node)
        return place is None or self.places.may_own(service, place)

    def start_handover(
        self, service: ServiceName, taker: NodeId, share: float
    ) -> None:
        """Begin to hand over a share of this node's load to another node."""
        machine = self.machines.get(service)
        if machine is None or not self._may_take(service, taker):
            return
        now = self._clock.now()
        spans = machine.free_spans()
        heat = self._owner.heat
        by_work = self._owner.queue.work is not None
        if by_work:
            cut = heat.cut_by_work(spans, share, now)
        else:
            cut = heat.cut(spans, share, now)
        if cut is None or not machine.start_handover(cut, taker):
            return
        if by_work:
            # The next order must not count the same work again.
            heat.remove(cut)
        self._log.info(
            'giving',
            service=service,
            first=cut.first,
            last=cut.last,
            to=taker,
            share=round(share, 3),
        )
        self._due.set()

    def confirmation_for(
        self, service: ServiceName, span: Span, epoch: Epoch
    ) -> ReleaseConfirmation | None:
        """Confirm that this node has released a row, None if it has not."""
        machine = self.machines.get(service)
        if machine is None:
            return None
        return machine.release_confirmation(span, epoch, self._clock.now())


def _decode_confirmation(
    row: Row, reply: messages.Message
) -> ReleaseConfirmation:
    releases = tuple(
        ReleasedSpan(Span(entry.first, entry.last), entry.token)
        for entry in reply.releases or ()
    )
    return ReleaseConfirmation(row.span, row.epoch, releases)
