"""The node task: runs the ownership machine and performs its actions."""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

from savoryhold.core import actions, events
from savoryhold.core.clock import Clock
from savoryhold.core.configuration import parse_accepted
from savoryhold.core.errors import (
    ConfigurationError,
    LinkError,
    MalformedMessageError,
    PlatformError,
    VersionConflictError,
    WriteUncertainError,
)
from savoryhold.core.gossip import ObjectUpdate, GossipTable
from savoryhold.core.ids import (
    CONFIG_PREFIX,
    NODE_PREFIX,
    SERVICE_PREFIX,
    NodeId,
    ObjectName,
    Region,
    ServiceName,
    ShardKey,
    Version,
    Zone,
)
from savoryhold.core.ledger import BackupLedger, LedgerLimits, in_batches
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.core.records import Profile, decode_record, encode_record
from savoryhold.core.services import ConfigTable
from savoryhold.daemon.replication import LedgerReplicator
from savoryhold.daemon.convert import update_from_message, to_ledger_item
from savoryhold.daemon.logs import get_log
from savoryhold.daemon.metrics import Metrics
from savoryhold.peer import PeerPool, messages
from savoryhold.store import ObjectVersion, PlatformClient, Snapshot
from savoryhold.settings import Settings

__all__ = ['NodeTask']

TICK_MS = 50
MS_PER_SECOND = 1000
HEARTBEAT_TIMEOUT_MS = 400
LEDGER_HANDOVER_TIMEOUT_MS = 250
HANDOVER_BATCH_BYTES = 4_000_000
NODE_SUFFIX_BYTES = 4
TOMBSTONE_MS = 21_600_000
PRUNE_INTERVAL_MS = 60_000
REFUSAL_LOG_INTERVAL_MS = 60_000
MAX_LOGGED_REASONS = 100


class NodeTask:
    """Owns the ownership machine, the gossip table and the configuration.

    Parameters
    ----------
    settings : Settings
        The daemon's settings.
    clock : Clock
        Source of time.
    platform : PlatformClient
        The object API.
    pool : PeerPool
        Links to other daemons.
    metrics : Metrics
        Counters of moves and other events.

    Notes
    -----
    `post` queues events for the ownership machine; `run` handles them one at
    a time.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: PlatformClient,
        pool: PeerPool,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.pool = pool
        self.metrics = metrics
        self.configs = ConfigTable()
        self.gossip_table = GossipTable()
        self.backup_ledger = BackupLedger(
            LedgerLimits(
                settings.limits.ledger_count,
                age_ms=settings.limits.ledger_age_ms,
            )
        )
        self.left = asyncio.Event()
        self.on_update: Callable[[ObjectUpdate], None] = lambda update: None
        self.on_drain: Callable[[ShardKey], None] = lambda key: None
        self.on_rejoin: Callable[[OwnershipMachine], None] = lambda new: None
        self.replicator = LedgerReplicator(lambda: self.machine, pool, clock)
        self.machine = self._new_machine(frozenset())
        self.log = get_log(node=self.machine.node)
        self._inbox: asyncio.Queue[events.Event] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._prune_at = 0
        self._refused: dict[str, int] = {}
        pool.endpoint.on_malformed = self._log_refused_link

    @property
    def node(self) -> NodeId:
        """Return this node's current id; `Rejoin` changes it."""
        return self.machine.node

    def post(self, event: events.Event) -> None:
        """Queue an event for the ownership machine."""
        self._inbox.put_nowait(event)

    def address_of(self, node: NodeId) -> str | None:
        """Return a node's peer address, None if its record is not known."""
        record = self.machine.directory.record_of(node)
        return None if record is None else record.profile.address

    async def run(self) -> None:
        """Handle queued events until cancelled."""
        while True:
            event = await self._inbox.get()
            requested = self.machine.handle(event, self.clock.now())
            for action in requested:
                self._perform(action)

    async def tick(self) -> None:
        """Post a tick every `TICK_MS` until cancelled."""
        while True:
            self.post(events.Tick())
            now = self.clock.now()
            if now >= self._prune_at:
                self._prune_at = now + PRUNE_INTERVAL_MS
                self._prune(now)
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)

    def learn(self, item: ObjectUpdate) -> bool:
        """Apply a version of an object.

        Parameters
        ----------
        item : ObjectUpdate
            The version, from the store or from a peer.

        Returns
        -------
        bool
            Whether it is newer than the version known here.
        """
        if not self.gossip_table.learn(item):
            return False
        if item.name.startswith(CONFIG_PREFIX):
            self._apply_config(item)
        elif item.name.startswith((NODE_PREFIX, SERVICE_PREFIX)):
            self._post_record(item)
        self.on_update(item)
        return True

    def learn_object(self, found: ObjectVersion) -> None:
        """Apply a version that was read from the store."""
        self.learn(ObjectUpdate(found.name, found.version, found.text))

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a background task and keep a reference until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_refused_link(self, reason: str) -> None:
        """Log the refusal of a peer link, each reason once a minute."""
        now = self.clock.now()
        if now < self._refused.get(reason, 0):
            return
        if len(self._refused) >= MAX_LOGGED_REASONS:
            self._refused.clear()
        self._refused[reason] = now + REFUSAL_LOG_INTERVAL_MS
        self.metrics.events.inc({'kind': 'peer-refused'})
        self.log.warning('peer_refused', reason=reason)

    def _prune(self, now: int) -> None:
        before = now - TOMBSTONE_MS
        directory = self.machine.directory
        for item in list(self.gossip_table.items()):
            entry = directory.entry(item.name)
            deleted = item.text is None and entry is not None
            if deleted and entry and entry.observed_at < before:
                self.gossip_table.forget(item.name)
        directory.prune(before)

    def _new_machine(
        self, services: frozenset[ServiceName]
    ) -> OwnershipMachine:
        cfg = self.settings.node
        suffix = secrets.token_hex(NODE_SUFFIX_BYTES)
        profile = Profile(
            NodeId(f'{cfg.host}.{suffix}'),
            self.settings.listen.peers,
            Region(cfg.region),
            Zone(cfg.zone),
            services,
        )
        return OwnershipMachine(profile, self.clock.now())

    def _apply_config(self, item: ObjectUpdate) -> None:
        service = item.name.removeprefix(CONFIG_PREFIX)
        if item.text is None:
            self.configs.remove(service)
            return
        try:
            accepted = parse_accepted(item.text)
        except ConfigurationError as exc:
            self.log.error('config_malformed', name=item.name, error=str(exc))
            return
        self.configs.accept(accepted)
        self.log.info(
            'config_in_force', service=service, revision=accepted.revision
        )
        cfg = accepted.service
        if cfg.keyed:
            event = events.ServiceConfigured(ServiceName(cfg.name), cfg.shards)
            self.post(event)

    def _post_record(self, item: ObjectUpdate) -> None:
        try:
            record = None if item.text is None else decode_record(item.text)
        except MalformedMessageError as exc:
            self.log.error('record_malformed', name=item.name, error=str(exc))
            return
        self.post(events.RecordSeen(item.name, item.version, record))

    @singledispatchmethod
    def _perform(self, action: actions.Action) -> None:
        raise TypeError(f'no handler for action {type(action).__name__}')

    @_perform.register
    def _(self, action: actions.WriteObject) -> None:
        self.start_task(self._write(action))

    @_perform.register
    def _(self, action: actions.ReadObject) -> None:
        self.start_task(self._read(action.name))

    @_perform.register
    def _(self, action: actions.TakeSnapshot) -> None:
        self.start_task(self.try_snapshot())

    @_perform.register
    def _(self, action: actions.SendHeartbeat) -> None:
        self.start_task(self._heartbeat(action))

    @_perform.register
    def _(self, action: actions.DrainShard) -> None:
        self.on_drain(action.key)

    @_perform.register
    def _(self, action: actions.ResumeShard) -> None:
        self.log.info('move_aborted', shard=str(action.key))

    @_perform.register
    def _(self, action: actions.HandOverLedger) -> None:
        self.start_task(self._hand_over(action))

    @_perform.register
    def _(self, action: actions.ShardAcquired) -> None:
        self.metrics.moves.inc({'kind': 'taken'})
        epoch = self.machine.holder.held.get(action.key)
        self.log.info('shard_acquired', shard=str(action.key), epoch=epoch)

    @_perform.register
    def _(self, action: actions.ShardReleased) -> None:
        self.metrics.moves.inc({'kind': 'given'})
        self.log.info('shard_released', shard=str(action.key))

    @_perform.register
    def _(self, action: actions.Rejoin) -> None:
        self._rejoin()

    @_perform.register
    def _(self, action: actions.LeaveFinished) -> None:
        self.log.info('left')
        self.left.set()

    def _rejoin(self) -> None:
        self.log.warning(
            'rejoin',
            reason='another node claimed the record of this node; it joins '
            'again under a new node id',
        )
        self.metrics.events.inc({'kind': 'rejoin'})
        self.machine = self._new_machine(self.machine.holder.profile.services)
        self.log = get_log(node=self.node)
        self.pool.node = self.node
        for compiled in self.configs.all():
            if compiled.cfg.keyed:
                event = events.ServiceConfigured(
                    compiled.name, compiled.cfg.shards
                )
                self.post(event)
        for item in list(self.gossip_table.items()):
            if not item.name.startswith(CONFIG_PREFIX):
                self._post_record(item)
        self.on_rejoin(self.machine)
        self.start_task(self.try_snapshot())

    async def _write(self, action: actions.WriteObject) -> None:
        outcome = events.WriteOutcome.DONE
        version = Version(0)
        text = None if action.record is None else encode_record(action.record)
        try:
            version = await self._write_text(action, text)
        except VersionConflictError:
            outcome = events.WriteOutcome.CONFLICT
        except WriteUncertainError as exc:
            self.log.warning('write_uncertain', error=str(exc))
            outcome = events.WriteOutcome.UNCERTAIN
        except PlatformError as exc:
            self.log.warning('write_refused', error=str(exc))
            outcome = events.WriteOutcome.REFUSED
        self.post(
            events.WriteEnded(action.number, action.name, outcome, version)
        )
        if outcome is events.WriteOutcome.DONE:
            item = ObjectUpdate(action.name, version, text)
            if self.gossip_table.learn(item):
                self.on_update(item)

    async def _write_text(
        self, action: actions.WriteObject, text: str | None
    ) -> Version:
        if text is not None:
            return await self.platform.write(action.name, text, action.expect)
        return await self.platform.delete(
            action.name, action.expect or Version(0)
        )

    async def _read(self, name: ObjectName) -> None:
        try:
            found = await self.platform.read(name)
        except PlatformError as exc:
            self.log.warning('read_failed', name=name, error=str(exc))
            return
        self.learn_object(found)
        # `learn` posts nothing if this version is already known, but the
        # machine waits for the result of its read.
        self._post_record(ObjectUpdate(found.name, found.version, found.text))

    async def try_snapshot(self) -> None:
        """Call `read_snapshot` and log a failure instead of raising it."""
        try:
            await self.read_snapshot()
        except PlatformError as exc:
            self.log.warning('snapshot_failed', error=str(exc))

    async def read_snapshot(self) -> Version:
        """Read the whole store at one revision and post it as one event.

        Returns
        -------
        Version
            The store's revision at which the snapshot was taken.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        snapshot = await self.platform.snapshot('')
        self._learn_deleted(snapshot)
        entries = []
        for found in snapshot.objects:
            self.learn_object(found)
            if found.name.startswith(CONFIG_PREFIX) or found.text is None:
                continue
            try:
                record = decode_record(found.text)
            except MalformedMessageError:
                continue
            entries.append(events.RecordSeen(found.name, found.version, record))
        self.post(events.SnapshotSeen(tuple(entries)))
        return snapshot.revision

    def _learn_deleted(self, snapshot: Snapshot) -> None:
        if snapshot.unreadable:
            # An entry that cannot be read may be that of any object.
            self.log.warning('entries_unreadable', count=snapshot.unreadable)
            return
        present = {found.name for found in snapshot.objects}
        for item in list(self.gossip_table.items()):
            older = item.version < snapshot.revision
            if older and item.name not in present and item.text is not None:
                self.learn(ObjectUpdate(item.name, snapshot.revision, None))

    async def _heartbeat(self, action: actions.SendHeartbeat) -> None:
        address = self.address_of(action.standby)
        if address is None:
            return
        message = messages.Heartbeat(holder=self.node, version=action.version)
        machine = self.machine
        try:
            reply = await self.pool.call(address, message, HEARTBEAT_TIMEOUT_MS)
        except LinkError:
            # Without a renewed promise the lease lapses by itself.
            return
        if reply.promised and machine is self.machine:
            self.post(events.HeartbeatAnswered(action.standby, action.sent_at))
        for entry in reply.newer or ():
            self.learn(update_from_message(entry))

    async def _hand_over(self, action: actions.HandOverLedger) -> None:
        accepted = await self._send_ledger(action)
        self.post(
            events.LedgerHandedOver(
                action.name, action.target, action.keys, accepted
            )
        )

    async def _send_ledger(self, action: actions.HandOverLedger) -> bool:
        address = self.address_of(action.target)
        if address is None:
            return False
        source = NodeId(action.name.removeprefix(NODE_PREFIX))
        entries = self.replicator.export(action.keys)
        entries.extend(self.backup_ledger.export(source, action.keys))
        now = self.clock.now()
        for batch in in_batches(entries, HANDOVER_BATCH_BYTES):
            handover = messages.LedgerHandover(
                source=source,
                items=[to_ledger_item(entry, now) for entry in batch],
            )
            try:
                reply = await self.pool.call(
                    address, handover, LEDGER_HANDOVER_TIMEOUT_MS
                )
            except LinkError:
                return False
            if not reply.ok:
                return False
        return True


def jittered(base_ms: int) -> float:
    """Return a random pause in seconds, of half to all of `base_ms`."""
    return base_ms * (1 - random.random() / 2) / MS_PER_SECOND
