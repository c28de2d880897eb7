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
    ShardReleased,
    ShardAcquired,
    WriteObject,
)
from savoryhold.core.claims import settled_outgoing, assign_shards, stranded
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
BATCH_MS = 50
RENEW_BEFORE_MS = LEASE_MS // 2
LEAVE_MOVES_AT_ONCE = 64


class Holder:
    """State machine of the one record that this node writes.

    Parameters
    ----------
    profile : Profile
        What the node says of itself.
    directory : Directory
        The records seen, shared with the rest of the machine.
    """

    def __init__(self, profile: Profile, directory: Directory) -> None:
        self.profile = profile
        self.name = node_object(profile.node)
        self.lease = HolderLease()
        self.state = NodeState.ACTIVE
        self.moves = MoveTable()
        self.held: dict[ShardKey, Epoch] = {}
        self.claimed = False
        self.gone = False
        self._directory = directory
        self._highest: dict[ShardKey, Epoch] = {}
        self._giving: dict[ShardKey, Epoch] = {}
        self._taking_back: dict[ShardKey, Epoch] = {}
        self._dirty_at: int | None = None
        self._heartbeat_at = 0
        self._quiet_until = 0
        self._deleting = False
        self._numbers = 0

    @property
    def is_deleting(self) -> bool:
        """Return whether the write under way deletes the record."""
        return self._deleting

    def may_admit(self, key: ShardKey, now: int) -> bool:
        """Return whether a new request of a shard may start here."""
        return self.may_send(key, now) and key not in self.moves

    def may_send(self, key: ShardKey, now: int) -> bool:
        """Return whether bytes of an admitted request may go out now."""
        return (
            key in self.held
            and self.lease.is_valid(now)
            and not self.lease.may_have_given(key)
            and not self.claimed
        )

    def is_listed(self, key: ShardKey) -> bool:
        """Return whether the store is known to list the shard as ours."""
        confirmed = self.lease.confirmed
        return confirmed is not None and (
            confirmed.record.owned.get(key) == self.held.get(key)
        )

    def tick(self, now: int) -> list[Action]:
        """Return what is due now."""
        if self.claimed or self.gone:
            return []
        actions: list[Action] = []
        for move in self.moves.overdue(now):
            actions.extend(self._give_up(move))
        actions.extend(self._heartbeats(now))
        actions.extend(self._leave_step(now))
        actions.extend(self._write_step(now))
        return actions

    def on_record(self, event: RecordSeen) -> list[Action]:
        """Take in a version of this node's own object."""
        confirmed = self.lease.confirmed
        if confirmed is not None and event.version <= confirmed.version:
            return []
        if event.record is None:
            return self._on_deleted()
        if not event.record.is_live:
            return self._on_claimed()
        return self._on_own_version(event.version, event.record)

    def on_grant(self, key: ShardKey, epoch: Epoch, now: int) -> list[Action]:
        """Take over a shard that another record gives to this node."""
        known = max(
            self._highest.get(key, Epoch(0)), self._directory.listed(key)
        )
        if epoch <= known or self.claimed:
            return []
        self._hold(key, epoch)
        self.mark_dirty(now)
        return [ShardAcquired(key)]

    def on_promise(self, event: HeartbeatAnswered) -> list[Action]:
        """Take in a standby's promise."""
        self.lease.promised(event.standby, event.sent_at)
        return []

    def on_write(self, event: WriteEnded, now: int) -> list[Action]:
        """Take in how a write of the own record ended."""
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
        """Return the pending write whose last try an outcome belongs to."""
        pending = self.lease.pending
        if pending is None or pending.number != event.number:
            return None
        return pending

    def on_move(self, event: MoveRequested, now: int) -> list[Action]:
        """Begin a planned move if the shard is listed and served here."""
        served = self.may_admit(event.key, now) and self.is_listed(event.key)
        if not served or not self._may_receive(event.target):
            return []
        self.moves.start(event.key, event.target, now)
        return [DrainShard(event.key)]

    def on_drained(self, key: ShardKey) -> list[Action]:
        """Hand the ledger of a shard that has come to rest."""
        move = self.moves.advance(key, MoveState.DRAINING)
        if move is None:
            return []
        return [HandOverLedger(self.name, move.target, frozenset({key}))]

    def on_handed(self, event: LedgerHandedOver, now: int) -> list[Action]:
        """Write a move whose ledger has arrived, or give it up."""
        actions: list[Action] = []
        for key in event.keys:
            if self.moves.target_of(key) != event.target:
                continue
            move = self.moves.advance(key, MoveState.HANDING)
            if move is None:
                continue
            if event.taken:
                self.mark_dirty(now)
            else:
                actions.extend(self._give_up(move))
        return actions

    def on_services(
        self, services: frozenset[ServiceName], now: int
    ) -> list[Action]:
        """Write a change of what the local target serves."""
        if services != self.profile.services:
            self.profile = dataclasses.replace(self.profile, services=services)
            self.mark_dirty(now)
        return []

    def on_leave(self, now: int) -> list[Action]:
        """Begin to leave: no new shards, all held ones move away."""
        if self.state is NodeState.ACTIVE:
            self.state = NodeState.LEAVING
            self.mark_dirty(now)
        return []

    def take_back(self, snapshot: Directory, now: int) -> None:
        """Own again the grants of this record that were never taken.

        Parameters
        ----------
        snapshot : Directory
            All records of the store at one instant.
        now : int
            Present time in ms.
        """
        confirmed = self.lease.confirmed
        if confirmed is None or self.lease.pending is not None:
            return
        entry = snapshot.entry(self.name)
        if entry is None or entry.version != confirmed.version:
            return
        for key in stranded(confirmed.record, snapshot):
            grant = confirmed.record.outgoing[key]
            self._taking_back[key] = Epoch(grant.epoch + 1)
            self.mark_dirty(now)

    def wants_snapshot(self) -> bool:
        """Return whether a grant of this record seems stranded."""
        confirmed = self.lease.confirmed
        if confirmed is None:
            return False
        return bool(stranded(confirmed.record, self._directory))

    def mark_dirty(self, now: int) -> None:
        """Have the record written soon, with whatever else changes."""
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
        self._highest[key] = epoch

    def _give_up(self, move: Move) -> list[Action]:
        self.moves.remove(move.key)
        return [ResumeShard(move.key)]

    def _heartbeats(self, now: int) -> list[Action]:
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
                # A creation is sent once: a second one could land after the
                # record was claimed and deleted, and bring it back.
                pending.retry_at = now + RETRY_MS
                return [ReadObject(self.name)]
            pending.in_flight = True
            return [self._write_action()]
        if now < self._quiet_until or not self._wants_write(now):
            return []
        self._begin_write(now)
        return [
            self._write_action(),
            *(ShardReleased(key) for key in self._giving),
        ]

    def _wants_write(self, now: int) -> bool:
        confirmed = self.lease.confirmed
        if confirmed is None:
            return True
        if self._dirty_at is not None:
            return now - self._dirty_at >= BATCH_MS
        if self.lease.valid_until() - now < RENEW_BEFORE_MS:
            return True
        return self._wants_other_standby(confirmed.record)

    def _wants_other_standby(self, record: NodeRecord) -> bool:
        if record.standby is not None:
            guard = self._directory.record_of(record.standby)
            if guard is not None and guard.state is NodeState.ACTIVE:
                return False
        choice = self._choose_standby(frozenset())
        return choice is not None and choice != record.standby

    def _begin_write(self, now: int) -> None:
        pending = self.lease.begin(self._compose(now), now)
        self._dirty_at = None
        leaving = set(self.held).intersection(pending.record.outgoing)
        for held in sorted(leaving):
            self._giving[held] = self.held.pop(held)
            self.moves.remove(held)

    def _write_action(self) -> WriteObject:
        self._numbers += 1
        number = WriteId(self._numbers)
        pending = self.lease.pending
        confirmed = self.lease.confirmed
        expect = confirmed.version if confirmed else None
        record = None
        if pending is not None:
            pending.number = number
            record = None if self._deleting else pending.record
        return WriteObject(number, self.name, record, expect)

    def _compose(self, now: int) -> NodeRecord:
        confirmed = self.lease.confirmed
        previous = confirmed.record if confirmed else NodeRecord(self.profile)
        outgoing = settled_outgoing(previous, self._directory)
        owned = dict(self.held)
        for move in self.moves.ready():
            if move.key in previous.owned and move.key in owned:
                epoch = Epoch(owned.pop(move.key) + 1)
                outgoing[move.key] = Grant(epoch, move.target)
        for key, epoch in self._taking_back.items():
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
        late = self.lease.valid_until() - now < RENEW_BEFORE_MS
        if current is not None and not late:
            guard = self._directory.record_of(current)
            if guard is not None and guard.state is NodeState.ACTIVE:
                return current
        avoid = frozenset({current}) if current else frozenset()
        return self._choose_standby(avoid)

    def _choose_standby(self, avoid: frozenset[NodeId]) -> NodeId | None:
        return choose_standby(self.profile, self._directory.active(), avoid)

    def _on_done(self, event: WriteEnded, now: int) -> list[Action]:
        if self._deleting:
            return self._on_deleted()
        return self._settle(event.version)

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
        self.lease.dropped()
        self._deleting = False
        self._quiet_until = now + RETRY_MS
        self.mark_dirty(now)
        for key, epoch in self._giving.items():
            self.held[key] = epoch
        restored = [ResumeShard(kept) for kept in self._giving]
        self._giving.clear()
        return list(restored)

    def _settle(self, version: Version) -> list[Action]:
        self.lease.landed(version)
        self._giving.clear()
        confirmed = self.lease.confirmed
        taken: list[Action] = []
        for key, epoch in list(self._taking_back.items()):
            if confirmed and confirmed.record.owned.get(key) == epoch:
                self._hold(key, epoch)
                taken.append(ShardAcquired(key))
        self._taking_back.clear()
        return taken

    def _on_own_version(
        self, version: Version, record: NodeRecord
    ) -> list[Action]:
        pending = self.lease.pending
        if pending is not None and pending.record.serial == record.serial:
            return self._settle(version)
        confirmed = self.lease.confirmed
        if confirmed is not None and record.serial <= confirmed.record.serial:
            # Ours was claimed and deleted; this is an old write of it.
            return self._end(Rejoin())
        self.lease.adopt(version, record)
        return []

    def _on_claimed(self) -> list[Action]:
        return self._end(Rejoin())

    def _on_deleted(self) -> list[Action]:
        if self._deleting:
            self.gone = True
            return [LeaveFinished()]
        return self._end(Rejoin())

    def _end(self, action: Action) -> list[Action]:
        if self.claimed:
            return []
        self.claimed = True
        given = [ShardReleased(key) for key in self.held]
        self.held.clear()
        return [*given, action]

    def _leave_step(self, now: int) -> list[Action]:
        actions = self._move_away(now)
        if self.state is not NodeState.LEAVING:
            return actions
        if self.held or self._giving:
            return actions
        if self._may_delete():
            self._deleting = True
            self.lease.begin(self._compose(now), now)
            return [self._write_action()]
        return []

    def _may_delete(self) -> bool:
        confirmed = self.lease.confirmed
        if confirmed is None or self.lease.pending is not None:
            return False
        record = confirmed.record
        if record.state is not NodeState.LEAVING or record.owned:
            return False
        if settled_outgoing(record, self._directory):
            return False
        return not self._is_needed()

    def _is_needed(self) -> bool:
        me = self.profile.node
        return any(
            entry.record is not None
            and entry.record.is_live
            and entry.record.standby == me
            for entry in self._directory.entries()
        )

    def _should_go(self, key: ShardKey) -> bool:
        if key in self.moves:
            return False
        if self.state is NodeState.LEAVING:
            return True
        return key.service not in self.profile.services

    def _move_away(self, now: int) -> list[Action]:
        actions: list[Action] = []
        free = LEAVE_MOVES_AT_ONCE - len(self.moves)
        keys = [key for key in self.held if self._should_go(key)]
        avoid = frozenset({self.profile.node})
        targets = assign_shards(keys[: max(free, 0)], self._directory, avoid)
        for key, target in targets.items():
            actions.extend(self.on_move(MoveRequested(key, target), now))
        return actions
