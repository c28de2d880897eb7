"""A node's own record: its lease, its shards and their planned moves."""

import dataclasses

from savoryhold.core.actions import (
    Action,
    DrainShard,
    HandOverLedger,
    LeaveFinished,
    ReadObject,
    Rejoin,
    ResumeShard,
    SendHeartbeat,
    ShardAcquired,
    ShardReleased,
    WriteObject,
)
from savoryhold.core.claims import (
    assign_shards,
    stranded_grants,
    unsettled_grants,
)
from savoryhold.core.events import (
    HeartbeatAnswered,
    LedgerHandedOver,
    MoveRequested,
    RecordSeen,
    WriteEnded,
    WriteOutcome,
)
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    ServiceName,
    ShardKey,
    Version,
    WriteId,
    node_object,
)
from savoryhold.core.lease import (
    HEARTBEAT_MS,
    LEASE_MS,
    HolderLease,
    PendingWrite,
)
from savoryhold.core.moves import Move, MoveState, MoveTable
from savoryhold.core.records import Grant, NodeRecord, NodeState, Profile
from savoryhold.core.rendezvous import choose_standby
from savoryhold.core.routing import Directory

__all__ = ['Holder']

RETRY_MS = 200
BATCH_MS = 50  # changes within this time share one write
RENEW_BEFORE_MS = LEASE_MS // 2
LEAVE_MOVES_AT_ONCE = 64


class Holder:
    """State machine of this node's own record.

    Parameters
    ----------
    profile : Profile
        The node's id, address, region, zone and services.
    directory : Directory
        Latest known records, shared with the rest of the ownership machine.
    """

    def __init__(self, profile: Profile, directory: Directory) -> None:
        self.profile = profile
        self.name = node_object(profile.node)
        self.lease = HolderLease()
        self.state = NodeState.ACTIVE
        self.moves = MoveTable()
        self.held: dict[ShardKey, Epoch] = {}
        self.is_claimed = False
        self.has_left = False
        self._directory = directory
        self._highest_epochs: dict[ShardKey, Epoch] = {}
        # Shards that the pending write grants to others, with own epochs.
        self._releasing: dict[ShardKey, Epoch] = {}
        # Stranded grants to take back with the next write, at new epochs.
        self._reclaiming: dict[ShardKey, Epoch] = {}
        self._dirty_at: int | None = None
        self._heartbeat_at = 0
        self._next_write_at = 0
        self._deleting = False
        self._last_write_id = 0

    @property
    def is_deleting(self) -> bool:
        """Return whether the pending write deletes the record."""
        return self._deleting

    def may_admit(self, key: ShardKey, now: int) -> bool:
        """Return whether a new request of a shard may start here."""
        return self.may_send(key, now) and key not in self.moves

    def may_send(self, key: ShardKey, now: int) -> bool:
        """Return whether an admitted request may be sent to the target now."""
        return (
            key in self.held
            and self.lease.is_valid(now)
            and not self.lease.may_have_released(key)
            and not self.is_claimed
        )

    def is_listed(self, key: ShardKey) -> bool:
        """Return whether this node's confirmed record lists the shard."""
        confirmed = self.lease.confirmed
        return confirmed is not None and (
            confirmed.record.owned.get(key) == self.held.get(key)
        )

    def tick(self, now: int) -> list[Action]:
        """Return the actions that are due."""
        if self.is_claimed or self.has_left:
            return []
        actions: list[Action] = []
        for move in self.moves.overdue_moves(now):
            actions.extend(self._abort_move(move))
        actions.extend(self._due_heartbeats(now))
        actions.extend(self._leave_step(now))
        actions.extend(self._write_step(now))
        return actions

    def on_record(self, event: RecordSeen) -> list[Action]:
        """Handle an observed version of this node's own record."""
        confirmed = self.lease.confirmed
        if confirmed is not None and event.version <= confirmed.version:
            return []
        if event.record is None:
            return self._on_deleted()
        if not event.record.is_live:
            return self._on_claimed()
        return self._on_own_version(event.version, event.record)

    def on_grant(self, key: ShardKey, epoch: Epoch, now: int) -> list[Action]:
        """Acquire a shard that another record grants to this node."""
        known = max(
            self._highest_epochs.get(key, Epoch(0)),
            self._directory.listed_epoch(key),
        )
        if epoch <= known or self.is_claimed:
            return []
        self._hold(key, epoch)
        self.mark_dirty(now)
        return [ShardAcquired(key)]

    def on_promise(self, event: HeartbeatAnswered) -> list[Action]:
        """Record a standby's promise."""
        self.lease.add_promise(event.standby, event.sent_at)
        return []

    def on_write(self, event: WriteEnded, now: int) -> list[Action]:
        """Handle the outcome of a write of this node's own record."""
        pending = self.pending_of(event)
        if pending is None:
            return []
        pending.in_flight = False
        pending.retry_at = now + RETRY_MS
        handlers = {
            WriteOutcome.DONE: self._on_done,
            WriteOutcome.CONFLICT: self._on_conflict,
            WriteOutcome.UNCERTAIN: self._on_uncertain,
            WriteOutcome.REFUSED: self._on_refused,
        }
        return handlers[event.outcome](event, now)

    def pending_of(self, event: WriteEnded) -> PendingWrite | None:
        """Return the pending write if the outcome is of its latest attempt."""
        pending = self.lease.pending
        if pending is None or pending.number != event.number:
            return None
        return pending

    def on_move_request(self, event: MoveRequested, now: int) -> list[Action]:
        """Start a planned move if the shard is listed and served here."""
        movable = self.may_admit(event.key, now) and self.is_listed(event.key)
        if not movable or not self._may_receive(event.target):
            return []
        self.moves.start(event.key, event.target, now)
        return [DrainShard(event.key)]

    def on_drained(self, key: ShardKey) -> list[Action]:
        """Hand over the ledger of a shard that has no running requests."""
        move = self.moves.advance(key, MoveState.DRAINING)
        if move is None:
            return []
        return [HandOverLedger(self.name, move.target, frozenset({key}))]

    def on_ledger_handed_over(
        self, event: LedgerHandedOver, now: int
    ) -> list[Action]:
        """Schedule the write of a move whose ledger was stored, else abort."""
        actions: list[Action] = []
        for key in event.keys:
            if self.moves.target_of(key) != event.target:
                continue
            move = self.moves.advance(key, MoveState.HANDING_OVER)
            if move is None:
                continue
            if event.taken:
                self.mark_dirty(now)
            else:
                actions.extend(self._abort_move(move))
        return actions

    def on_target_services(
        self, services: frozenset[ServiceName], now: int
    ) -> list[Action]:
        """Schedule a write if the services of the local target changed."""
        if services != self.profile.services:
            self.profile = dataclasses.replace(self.profile, services=services)
            self.mark_dirty(now)
        return []

    def on_leave_request(self, now: int) -> list[Action]:
        """Start leaving: take no new shards and move all held ones away."""
        if self.state is NodeState.ACTIVE:
            self.state = NodeState.LEAVING
            self.mark_dirty(now)
        return []

    def reclaim_grants(self, snapshot: Directory, now: int) -> None:
        """Reclaim stranded grants of this record.

        Parameters
        ----------
        snapshot : Directory
            All records of the store, read at one instant.
        now : int
            Current time in ms.
        """
        confirmed = self.lease.confirmed
        if confirmed is None or self.lease.pending is not None:
            return
        entry = snapshot.entry(self.name)
        if entry is None or entry.version != confirmed.version:
            return
        for key in stranded_grants(confirmed.record, snapshot):
            grant = confirmed.record.outgoing[key]
            self._reclaiming[key] = Epoch(grant.epoch + 1)
            self.mark_dirty(now)

    def needs_snapshot(self) -> bool:
        """Return whether a grant of this record appears to be stranded."""
        confirmed = self.lease.confirmed
        if confirmed is None:
            return False
        return bool(stranded_grants(confirmed.record, self._directory))

    def mark_dirty(self, now: int) -> None:
        """Schedule a write of the record, batched with other changes."""
        if self._dirty_at is None:
            self._dirty_at = now

    def _may_receive(self, target: NodeId) -> bool:
        record = self._directory.record_of(target)
        return (
            target != self.profile.node
            and record is not None
            and record.state is NodeState.ACTIVE
        )

    def _hold(self, key: ShardKey, epoch: Epoch) -> None:
        self.held[key] = epoch
        self._highest_epochs[key] = epoch

    def _abort_move(self, move: Move) -> list[Action]:
        self.moves.remove(move.key)
        return [ResumeShard(move.key)]

    def _due_heartbeats(self, now: int) -> list[Action]:
        confirmed = self.lease.confirmed
        if confirmed is None or now < self._heartbeat_at:
            return []
        self._heartbeat_at = now + HEARTBEAT_MS
        return [
            SendHeartbeat(standby, confirmed.version, now)
            for standby in sorted(self.lease.standbys())
        ]

    def _write_step(self, now: int) -> list[Action]:
        pending = self.lease.pending
        if pending is not None:
            if pending.in_flight or now < pending.retry_at:
                return []
            if self.lease.confirmed is None:
                # The write that creates the record is sent only once: a
                # retry could take effect after the record was claimed and
                # deleted, and would create it again.
                pending.retry_at = now + RETRY_MS
                return [ReadObject(self.name)]
            pending.in_flight = True
            return [self._write_action()]
        if now < self._next_write_at or not self._needs_write(now):
            return []
        self._begin_write(now)
        return [
            self._write_action(),
            *(ShardReleased(key) for key in self._releasing),
        ]

    def _needs_write(self, now: int) -> bool:
        confirmed = self.lease.confirmed
        if confirmed is None:
            return True
        if self._dirty_at is not None:
            return now - self._dirty_at >= BATCH_MS
        if self.lease.valid_until() - now < RENEW_BEFORE_MS:
            return True
        return self._needs_other_standby(confirmed.record)

    def _needs_other_standby(self, record: NodeRecord) -> bool:
        if record.standby is not None:
            standby = self._directory.record_of(record.standby)
            if standby is not None and standby.state is NodeState.ACTIVE:
                return False
        choice = self._choose_standby(frozenset())
        return choice is not None and choice != record.standby

    def _begin_write(self, now: int) -> None:
        pending = self.lease.begin(self._compose_record(now), now)
        self._dirty_at = None
        released = set(self.held).intersection(pending.record.outgoing)
        for key in sorted(released):
            self._releasing[key] = self.held.pop(key)
            self.moves.remove(key)

    def _write_action(self) -> WriteObject:
        self._last_write_id += 1
        number = WriteId(self._last_write_id)
        pending = self.lease.pending
        confirmed = self.lease.confirmed
        expect = confirmed.version if confirmed else None
        record = None
        if pending is not None:
            pending.number = number
            record = None if self._deleting else pending.record
        return WriteObject(number, self.name, record, expect)

    def _compose_record(self, now: int) -> NodeRecord:
        confirmed = self.lease.confirmed
        previous = confirmed.record if confirmed else NodeRecord(self.profile)
        outgoing = unsettled_grants(previous, self._directory)
        owned = dict(self.held)
        for move in self.moves.ready_moves():
            if move.key in previous.owned and move.key in owned:
                epoch = Epoch(owned.pop(move.key) + 1)
                outgoing[move.key] = Grant(epoch, move.target)
        for key, epoch in self._reclaiming.items():
            if outgoing.pop(key, None) is not None:
                owned[key] = epoch
        return NodeRecord(
            self.profile,
            self.state,
            None,
            self._next_standby(previous, now),
            owned,
            outgoing,
            previous.serial + 1,
        )

    def _next_standby(self, previous: NodeRecord, now: int) -> NodeId | None:
        current = previous.standby
        expires_soon = self.lease.valid_until() - now < RENEW_BEFORE_MS
        if current is not None and not expires_soon:
            standby = self._directory.record_of(current)
            if standby is not None and standby.state is NodeState.ACTIVE:
                return current
        avoid = frozenset({current}) if current else frozenset()
        return self._choose_standby(avoid)

    def _choose_standby(self, avoid: frozenset[NodeId]) -> NodeId | None:
        return choose_standby(self.profile, self._directory.active(), avoid)

    def _on_done(self, event: WriteEnded, now: int) -> list[Action]:
        if self._deleting:
            return self._on_deleted()
        return self._confirm_write(event.version)

    def _on_conflict(self, event: WriteEnded, now: int) -> list[Action]:
        return [ReadObject(self.name)]

    def _on_uncertain(self, event: WriteEnded, now: int) -> list[Action]:
        if self.lease.pending is not None:
            self.lease.pending.uncertain = True
        return []

    def _on_refused(self, event: WriteEnded, now: int) -> list[Action]:
        pending = self.lease.pending
        if pending is None or pending.uncertain:
            return []
        self.lease.discard_pending()
        self._deleting = False
        self._next_write_at = now + RETRY_MS
        self.mark_dirty(now)
        for key, epoch in self._releasing.items():
            self.held[key] = epoch
        restored = [ResumeShard(shard) for shard in self._releasing]
        self._releasing.clear()
        return list(restored)

    def _confirm_write(self, version: Version) -> list[Action]:
        self.lease.confirm_pending(version)
        self._releasing.clear()
        confirmed = self.lease.confirmed
        acquired: list[Action] = []
        for key, epoch in list(self._reclaiming.items()):
            if confirmed and confirmed.record.owned.get(key) == epoch:
                self._hold(key, epoch)
                acquired.append(ShardAcquired(key))
        self._reclaiming.clear()
        return acquired

    def _on_own_version(
        self, version: Version, record: NodeRecord
    ) -> list[Action]:
        pending = self.lease.pending
        if pending is not None and pending.record.serial == record.serial:
            return self._confirm_write(version)
        confirmed = self.lease.confirmed
        if confirmed is not None and record.serial <= confirmed.record.serial:
            # This node's record was claimed and deleted, and a delayed write
            # of this node has created it again.
            return self._stop_owning(Rejoin())
        self.lease.adopt(version, record)
        return []

    def _on_claimed(self) -> list[Action]:
        return self._stop_owning(Rejoin())

    def _on_deleted(self) -> list[Action]:
        if self._deleting:
            self.has_left = True
            return [LeaveFinished()]
        return self._stop_owning(Rejoin())

    def _stop_owning(self, action: Action) -> list[Action]:
        if self.is_claimed:
            return []
        self.is_claimed = True
        released = [ShardReleased(key) for key in self.held]
        self.held.clear()
        return [*released, action]

    def _leave_step(self, now: int) -> list[Action]:
        actions = self._move_away(now)
        if self.state is not NodeState.LEAVING:
            return actions
        if self.held or self._releasing:
            return actions
        if self._may_delete():
            self._deleting = True
            self.lease.begin(self._compose_record(now), now)
            return [self._write_action()]
        return []

    def _may_delete(self) -> bool:
        confirmed = self.lease.confirmed
        if confirmed is None or self.lease.pending is not None:
            return False
        record = confirmed.record
        if record.state is not NodeState.LEAVING or record.owned:
            return False
        if unsettled_grants(record, self._directory):
            return False
        return not self._is_standby()

    def _is_standby(self) -> bool:
        me = self.profile.node
        return any(
            entry.record is not None
            and entry.record.is_live
            and entry.record.standby == me
            for entry in self._directory.entries()
        )

    def _must_move(self, key: ShardKey) -> bool:
        if key in self.moves:
            return False
        if self.state is NodeState.LEAVING:
            return True
        return key.service not in self.profile.services

    def _move_away(self, now: int) -> list[Action]:
        actions: list[Action] = []
        free = LEAVE_MOVES_AT_ONCE - len(self.moves)
        keys = [key for key in self.held if self._must_move(key)]
        avoid = frozenset({self.profile.node})
        targets = assign_shards(keys[: max(free, 0)], self._directory, avoid)
        for key, target in targets.items():
            actions.extend(
                self.on_move_request(MoveRequested(key, target), now)
            )
        return actions
