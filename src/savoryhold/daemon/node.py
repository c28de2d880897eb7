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
from savoryhold.daemon.backup import BackupTask
from savoryhold.daemon.convert import news_from_entry, to_ledger_item
from savoryhold.daemon.logs import get_log
from savoryhold.daemon.metrics import Metrics
from savoryhold.peer import PeerPool, messages
from savoryhold.store import ObjectVersion, PlatformClient, Snapshot
from savoryhold.settings import Settings

__all__ = ['NodeTask']

TICK_MS = 50
MS_PER_SECOND = 1000
HEARTBEAT_LIMIT_MS = 400
HAND_LIMIT_MS = 250
HANDOVER_BYTES = 4_000_000
INCARNATION_BYTES = 4
TOMBSTONE_MS = 21_600_000
PRUNE_EVERY_MS = 60_000
REASON_EVERY_MS = 60_000
REASONS_KEPT = 100


class NodeTask:
    """Owns the ownership machine, the news table and the configuration.

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
        Where to count.

    Notes
    -----
    Events come in through `post` and are handled one at a time by `run`.
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
        self.news = GossipTable()
        self.backup = BackupLedger(
            LedgerLimits(
                settings.limits.ledger_count,
                age_ms=settings.limits.ledger_age_ms,
            )
        )
        self.left = asyncio.Event()
        self.on_news: Callable[[ObjectUpdate], None] = lambda news: None
        self.on_drain: Callable[[ShardKey], None] = lambda key: None
        self.on_rejoin: Callable[[OwnershipMachine], None] = lambda new: None
        self.backups = BackupTask(lambda: self.machine, pool, clock)
        self.machine = self._new_machine(frozenset())
        self.log = get_log(node=self.machine.node)
        self._inbox: asyncio.Queue[events.Event] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._prune_at = 0
        self._refused: dict[str, int] = {}
        pool.endpoint.on_malformed = self._log_refused

    @property
    def node(self) -> NodeId:
        """Return this node's present id."""
        return self.machine.node

    def post(self, event: events.Event) -> None:
        """Put an event in the inbox."""
        self._inbox.put_nowait(event)

    def address_of(self, node: NodeId) -> str | None:
        """Return a node's peer address, None when it has no record."""
        record = self.machine.directory.record_of(node)
        return None if record is None else record.profile.address

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            event = await self._inbox.get()
            found = self.machine.handle(event, self.clock.now())
            for action in found:
                self._perform(action)

    async def tick(self) -> None:
        """Post a tick every `TICK_MS` until cancelled."""
        while True:
            self.post(events.Tick())
            now = self.clock.now()
            if now >= self._prune_at:
                self._prune_at = now + PRUNE_EVERY_MS
                self._prune(now)
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)

    def learn(self, item: ObjectUpdate) -> bool:
        """Take in a version of an object; return whether it was news."""
        if not self.news.learn(item):
            return False
        if item.name.startswith(CONFIG_PREFIX):
            self._learn_config(item)
        elif item.name.startswith((NODE_PREFIX, SERVICE_PREFIX)):
            self._learn_record(item)
        self.on_news(item)
        return True

    def learn_object(self, found: ObjectVersion) -> None:
        """Take in a version that was read from the store."""
        self.learn(ObjectUpdate(found.name, found.version, found.text))

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the inbox, and keep hold of it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_refused(self, reason: str) -> None:
        """Log why a peer link was refused, once a minute for each reason."""
        now = self.clock.now()
        if now < self._refused.get(reason, 0):
            return
        if len(self._refused) >= REASONS_KEPT:
            self._refused.clear()
        self._refused[reason] = now + REASON_EVERY_MS
        self.metrics.events.inc({'kind': 'peer-refused'})
        self.log.warning('peer_refused', reason=reason)

    def _prune(self, now: int) -> None:
        before = now - TOMBSTONE_MS
        directory = self.machine.directory
        for item in list(self.news.items()):
            entry = directory.entry(item.name)
            gone = item.text is None and entry is not None
            if gone and entry and entry.observed_at < before:
                self.news.forget(item.name)
        directory.prune(before)

    def _new_machine(
        self, services: frozenset[ServiceName]
    ) -> OwnershipMachine:
        cfg = self.settings.node
        suffix = secrets.token_hex(INCARNATION_BYTES)
        profile = Profile(
            NodeId(f'{cfg.host}.{suffix}'),
            self.settings.listen.peers,
            Region(cfg.region),
            Zone(cfg.zone),
            services,
        )
        return OwnershipMachine(profile, self.clock.now())

    def _learn_config(self, item: ObjectUpdate) -> None:
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
            known = events.ServiceConfigured(ServiceName(cfg.name), cfg.shards)
            self.post(known)

    def _learn_record(self, item: ObjectUpdate) -> None:
        try:
            record = None if item.text is None else decode_record(item.text)
        except MalformedMessageError as exc:
            self.log.error('record_malformed', name=item.name, error=str(exc))
            return
        self.post(events.RecordSeen(item.name, item.version, record))

    @singledispatchmethod
    def _perform(self, action: actions.Action) -> None:
        raise TypeError(f'action is {type(action).__name__}')

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
        self.log.info('move_given_up', shard=str(action.key))

    @_perform.register
    def _(self, action: actions.HandOverLedger) -> None:
        self.start_task(self._hand(action))

    @_perform.register
    def _(self, action: actions.ShardAcquired) -> None:
        self.metrics.moves.inc({'kind': 'taken'})
        epoch = self.machine.holder.held.get(action.key)
        self.log.info('shard_taken', shard=str(action.key), epoch=epoch)

    @_perform.register
    def _(self, action: actions.ShardReleased) -> None:
        self.metrics.moves.inc({'kind': 'given'})
        self.log.info('shard_given', shard=str(action.key))

    @_perform.register
    def _(self, action: actions.Rejoin) -> None:
        self._rejoin()

    @_perform.register
    def _(self, action: actions.LeaveFinished) -> None:
        self.log.info('left')
        self.left.set()

    def _rejoin(self) -> None:
        self.log.warning('rejoin', reason='the record was claimed')
        self.metrics.events.inc({'kind': 'rejoin'})
        self.machine = self._new_machine(self.machine.holder.profile.services)
        self.log = get_log(node=self.node)
        self.pool.node = self.node
        for compiled in self.configs.all():
            if compiled.cfg.keyed:
                known = events.ServiceConfigured(
                    compiled.name, compiled.cfg.shards
                )
                self.post(known)
        for item in list(self.news.items()):
            if not item.name.startswith(CONFIG_PREFIX):
                self._learn_record(item)
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
            if self.news.learn(item):
                self.on_news(item)

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
        # The news may be known already and the machine still ask for it.
        self._learn_record(ObjectUpdate(found.name, found.version, found.text))

    async def try_snapshot(self) -> None:
        """Do as `read_snapshot`, but only log a failure."""
        try:
            await self.read_snapshot()
        except PlatformError as exc:
            self.log.warning('snapshot_failed', error=str(exc))

    async def read_snapshot(self) -> Version:
        """Read the whole store and tell the machine of it at one instant.

        Returns
        -------
        Version
            The store's revision.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        seen = await self.platform.snapshot('')
        self._learn_absent(seen)
        entries = []
        for found in seen.objects:
            self.learn_object(found)
            if found.name.startswith(CONFIG_PREFIX) or found.text is None:
                continue
            try:
                record = decode_record(found.text)
            except MalformedMessageError:
                continue
            entries.append(events.RecordSeen(found.name, found.version, record))
        self.post(events.SnapshotSeen(tuple(entries)))
        return seen.revision

    def _learn_absent(self, seen: Snapshot) -> None:
        present = {found.name for found in seen.objects}
        for item in list(self.news.items()):
            older = item.version < seen.revision
            if older and item.name not in present and item.text is not None:
                self.learn(ObjectUpdate(item.name, seen.revision, None))

    async def _heartbeat(self, action: actions.SendHeartbeat) -> None:
        address = self.address_of(action.standby)
        if address is None:
            return
        message = messages.Heartbeat(holder=self.node, version=action.version)
        machine = self.machine
        try:
            reply = await self.pool.call(address, message, HEARTBEAT_LIMIT_MS)
        except LinkError:
            # A missing promise is seen by the lease itself.
            return
        if reply.promised and machine is self.machine:
            self.post(events.HeartbeatAnswered(action.standby, action.sent_at))
        for news in reply.newer or ():
            self.learn(news_from_entry(news))

    async def _hand(self, action: actions.HandOverLedger) -> None:
        taken = await self._hand_ledger(action)
        self.post(
            events.LedgerHandedOver(
                action.name, action.target, action.keys, taken
            )
        )

    async def _hand_ledger(self, action: actions.HandOverLedger) -> bool:
        address = self.address_of(action.target)
        if address is None:
            return False
        source = NodeId(action.name.removeprefix(NODE_PREFIX))
        entries = self.backups.export(action.keys)
        entries.extend(self.backup.export(source, action.keys))
        now = self.clock.now()
        for batch in in_batches(entries, HANDOVER_BYTES):
            handover = messages.LedgerHandover(
                source=source,
                items=[to_ledger_item(entry, now) for entry in batch],
            )
            try:
                reply = await self.pool.call(address, handover, HAND_LIMIT_MS)
            except LinkError:
                return False
            if not reply.ok:
                return False
        return True


def jittered(base_ms: int) -> float:
    """Return a pause in seconds, spread over half of its length."""
    return base_ms * (1 - random.random() / 2) / MS_PER_SECOND
