"""The ownership machine: one node's lease, claims, grants and routes."""

import dataclasses
from functools import singledispatchmethod

from savoryhold.core.actions import Action, TakeSnapshot
from savoryhold.core.claimer import Claimer
from savoryhold.core.events import (
    Event,
    HeartbeatAnswered,
    LeaveRequested,
    LedgerHandedOver,
    MoveRequested,
    RecordSeen,
    RecoveryRequested,
    ServiceConfigured,
    ShardDrained,
    SnapshotSeen,
    TargetServicesChanged,
    Tick,
    WriteEnded,
    WriteOutcome,
)
from savoryhold.core.holder import Holder
from savoryhold.core.ids import NodeId, ShardKey, Version, node_object
from savoryhold.core.records import Profile
from savoryhold.core.routing import Directory, Entry
from savoryhold.core.standby import StandbyDuties

__all__ = [
    'HeartbeatReply',
    'OwnershipMachine',
]

SNAPSHOT_EVERY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply to a heartbeat: a promise, or a newer version of the record."""

    promised: bool
    newer: Entry | None = None


class OwnershipMachine:
    """State machine that decides which shards one node owns.

    Parameters
    ----------
    profile : Profile
        The node's id, address, region, zone and services.
    started_at : int
        Current time in ms.

    Notes
    -----
    `handle` takes an event and the time and returns actions; the machine
    itself reads no clock and does no input or output.
    """

    def __init__(self, profile: Profile, started_at: int) -> None:
        self.directory = Directory()
        self.duties = StandbyDuties(started_at)
        self.holder = Holder(profile, self.directory)
        self.claimer = Claimer(profile, self.directory, self.duties, started_at)
        self._snapshot_at = started_at

    @property
    def node(self) -> NodeId:
        """Return this node's id."""
        return self.holder.profile.node

    def may_admit(self, key: ShardKey, now: int) -> bool:
        """Return whether a new request of a shard may start here."""
        return self.holder.may_admit(key, now)

    def may_send(self, key: ShardKey, now: int) -> bool:
        """Return whether an admitted request may be sent to the target now."""
        return self.holder.may_send(key, now)

    def heartbeat(
        self, holder: NodeId, version: Version, now: int
    ) -> HeartbeatReply:
        """Answer a holder's heartbeat.

        Parameters
        ----------
        holder : NodeId
            The node that sent the heartbeat.
        version : Version
            Latest version of its record that the holder knows to be written.
        now : int
            Current time in ms.

        Returns
        -------
        HeartbeatReply
            A promise not to claim the record for the time of a lease.  It is
            given only if this node's own lease is valid and no claim that
            this node has sent can still take effect at `version`.
        """
        entry = self.directory.entry(node_object(holder))
        if entry is not None and entry.version > version:
            return HeartbeatReply(promised=False, newer=entry)
        if not self.holder.lease.is_valid(now) or self.holder.is_claimed:
            return HeartbeatReply(promised=False)
        if not self.duties.may_promise(holder, version):
            return HeartbeatReply(promised=False)
        self.claimer.cancel(node_object(holder))
        self.duties.record_promise(holder, now)
        return HeartbeatReply(promised=True)

    @singledispatchmethod
    def handle(self, event: Event, now: int) -> list[Action]:
        """Handle an event.

        Parameters
        ----------
        event : Event
            What happened.
        now : int
            Current time in ms.

        Returns
        -------
        list of Action
            What the caller must perform, in order.

        Raises
        ------
        TypeError
            If the event is of an unknown type.
        """
        raise TypeError(f'unsupported event type: {type(event).__name__}')

    @handle.register
    def _(self, event: Tick, now: int) -> list[Action]:
        if self.holder.is_claimed or self.holder.has_left:
            return []
        actions = self.holder.tick(now)
        actions.extend(self.claimer.tick(now))
        if now - self._snapshot_at >= SNAPSHOT_EVERY_MS:
            actions.extend(self._request_snapshot(now))
        return actions

    @handle.register
    def _(self, event: RecordSeen, now: int) -> list[Action]:
        newer = self.directory.observe(
            event.name, event.version, event.record, now
        )
        actions: list[Action] = []
        if event.name == self.holder.name:
            actions.extend(self.holder.on_record(event))
        if newer:
            actions.extend(self._on_newer_version(event, now))
        return actions

    @handle.register
    def _(self, event: SnapshotSeen, now: int) -> list[Action]:
        snapshot = Directory()
        actions: list[Action] = []
        for entry in event.entries:
            snapshot.observe(entry.name, entry.version, entry.record, now)
            actions.extend(self.handle(entry, now))
        self.claimer.on_store_read()
        self.holder.reclaim_grants(snapshot, now)
        actions.extend(self.claimer.on_snapshot(snapshot, now))
        return actions

    @handle.register
    def _(self, event: WriteEnded, now: int) -> list[Action]:
        seen = self._written_version(event)
        if event.name == self.holder.name:
            actions = self.holder.on_write(event, now)
        else:
            actions = self.claimer.on_write(event, now)
        if seen is not None:
            actions.extend(self.handle(seen, now))
        return actions

    @handle.register
    def _(self, event: HeartbeatAnswered, now: int) -> list[Action]:
        return self.holder.on_promise(event)

    @handle.register
    def _(self, event: ServiceConfigured, now: int) -> list[Action]:
        self.claimer.on_service_configured(event.service, event.shards, now)
        return []

    @handle.register
    def _(self, event: TargetServicesChanged, now: int) -> list[Action]:
        return self.holder.on_target_services(event.services, now)

    @handle.register
    def _(self, event: MoveRequested, now: int) -> list[Action]:
        return self.holder.on_move_request(event, now)

    @handle.register
    def _(self, event: ShardDrained, now: int) -> list[Action]:
        return self.holder.on_drained(event.key)

    @handle.register
    def _(self, event: LedgerHandedOver, now: int) -> list[Action]:
        if event.name == self.holder.name:
            return self.holder.on_ledger_handed_over(event, now)
        return self.claimer.on_ledger_handed_over(event, now)

    @handle.register
    def _(self, event: LeaveRequested, now: int) -> list[Action]:
        return self.holder.on_leave_request(now)

    @handle.register
    def _(self, event: RecoveryRequested, now: int) -> list[Action]:
        self.claimer.on_recovery_request(event.node)
        return []

    def _on_newer_version(self, event: RecordSeen, now: int) -> list[Action]:
        entry = self.directory.entry(event.name)
        if entry is None or event.name == self.holder.name:
            return []
        self.claimer.on_record(entry, now)
        if event.record is None:
            return []
        actions: list[Action] = []
        for key, grant in event.record.outgoing.items():
            if grant.owner == self.node:
                actions.extend(self.holder.on_grant(key, grant.epoch, now))
        return actions

    def _written_version(self, event: WriteEnded) -> RecordSeen | None:
        """Return the version that a successful write left in the store."""
        if event.outcome is not WriteOutcome.DONE:
            return None
        if event.name == self.holder.name:
            pending = self.holder.pending_of(event)
            if pending is None:
                return None
            record = None if self.holder.is_deleting else pending.record
        else:
            update = self.claimer.update_of(event)
            if update is None:
                return None
            record = update.record
        return RecordSeen(event.name, event.version, record)

    def _request_snapshot(self, now: int) -> list[Action]:
        self._snapshot_at = now
        if self.holder.needs_snapshot() or self.claimer.needs_snapshot():
            return [TakeSnapshot()]
        return []
