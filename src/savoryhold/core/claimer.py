"""Writes to records of other nodes: claims, first assignment, clean-up."""

import dataclasses
import enum

from savoryhold.core.actions import (
    Action,
    HandOverLedger,
    ReadObject,
    WriteObject,
)
from savoryhold.core.claims import (
    assign_shards,
    claimed_record,
    first_assignment_record,
    stranded_grants,
    unsettled_grants,
)
from savoryhold.core.events import LedgerHandedOver, WriteEnded, WriteOutcome
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    ObjectName,
    Region,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
    WriteId,
    Zone,
    node_object,
    service_object,
)
from savoryhold.core.lease import NO_WRITE
from savoryhold.core.records import NodeRecord, NodeState, Profile
from savoryhold.core.rendezvous import lowest_ranked
from savoryhold.core.routing import Directory, Entry
from savoryhold.core.standby import StandbyDuties

__all__ = ['Claimer', 'RecordUpdate', 'UpdatePhase']

RETRY_MS = 200
HANDOVER_LIMIT_MS = 300
CLEAN_UP_MS = 200
FIRST_ASSIGNMENT_MS = 600
# A first assignment is the record of a pseudo node named after the service.
SERVICE_NODE_PREFIX = '@'


class UpdatePhase(enum.Enum):
    """Phase of a write to another node's record."""

    HANDING_OVER = 'handing'
    WRITING = 'writing'


@dataclasses.dataclass(slots=True)
class RecordUpdate:
    """A pending write to another node's record.

    ``new_owners`` maps the shards to grant to their new owners.  ``record``
    is set once their ledgers are handed over; None then deletes the object.
    ``waiting``, ``handed_over`` and ``failed`` hold the new owners that have
    not answered yet, have stored their ledger, or have failed to.
    """

    name: ObjectName
    base: NodeRecord
    expect: Version | None
    new_owners: dict[ShardKey, NodeId]
    is_claim: bool
    started_at: int
    phase: UpdatePhase = UpdatePhase.HANDING_OVER
    record: NodeRecord | None = None
    waiting: set[NodeId] = dataclasses.field(default_factory=set)
    handed_over: set[NodeId] = dataclasses.field(default_factory=set)
    failed: set[NodeId] = dataclasses.field(default_factory=set)
    number: WriteId = NO_WRITE
    in_flight: bool = False
    uncertain: bool = False
    retry_at: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ClaimRight:
    """The right to claim a record, and when its waiting time starts."""

    entry: Entry
    holder: NodeId
    since: int


class Claimer:
    """State machine of this node's writes to the records of other nodes.

    Parameters
    ----------
    profile : Profile
        This node.
    directory : Directory
        Latest known records.
    duties : StandbyDuties
        Promises given to holders, and claims sent.
    started_at : int
        Time in ms at which this process started.
    """

    def __init__(
        self,
        profile: Profile,
        directory: Directory,
        duties: StandbyDuties,
        started_at: int,
    ) -> None:
        self._me = profile
        self._directory = directory
        self._duties = duties
        self._started_at = started_at
        self._updates: dict[ObjectName, RecordUpdate] = {}
        self._claimed_at: dict[NodeId, int] = {}
        # Shard count of each keyed service, and when it was registered.
        self._services: dict[ServiceName, tuple[int, int]] = {}
        self._declared_gone: set[NodeId] = set()
        self._clean_up_at = started_at
        self._store_was_read = False
        self._last_write_id = 0
        self._claim_count = 0
        self._classified_state = (-1, 0, 0)
        self._claim_rights: list[_ClaimRight] = []
        self._maintained: list[Entry] = []

    def on_store_read(self) -> None:
        """Record that the whole store has been read at least once."""
        self._store_was_read = True

    def on_service_configured(
        self, service: ServiceName, shards: int, now: int
    ) -> None:
        """Register a keyed service, which may need a first assignment."""
        self._services.setdefault(service, (shards, now))

    def on_recovery_request(self, node: NodeId) -> None:
        """Record an operator's statement that a node is gone."""
        self._declared_gone.add(node)

    def on_record(self, entry: Entry, now: int) -> None:
        """Handle a new version of another node's record."""
        update = self._updates.get(entry.name)
        if update is not None and update.expect != entry.version:
            self._updates.pop(entry.name)
        record = entry.record
        if record is None:
            return
        if not record.is_live and record.claimant == self._me.node:
            self._record_claim(record.node, now)

    def cancel(self, name: ObjectName) -> None:
        """Cancel a claim that was not sent, because its holder is alive."""
        update = self._updates.get(name)
        if update is not None and update.phase is UpdatePhase.HANDING_OVER:
            self._updates.pop(name)

    def tick(self, now: int) -> list[Action]:
        """Return the actions that are due."""
        actions: list[Action] = []
        for update in list(self._updates.values()):
            actions.extend(self._advance(update, now))
        for entry in self._due_claims(now):
            actions.extend(self._start_claim(entry, now))
        if now >= self._clean_up_at:
            self._clean_up_at = now + CLEAN_UP_MS
            actions.extend(self._clean_up(now))
        return actions

    def on_ledger_handed_over(
        self, event: LedgerHandedOver, now: int
    ) -> list[Action]:
        """Record whether a new owner stored the ledger sent to it."""
        update = self._updates.get(event.name)
        if update is None or update.phase is not UpdatePhase.HANDING_OVER:
            return []
        update.waiting.discard(event.target)
        bucket = update.handed_over if event.taken else update.failed
        bucket.add(event.target)
        return self._advance(update, now)

    def on_write(self, event: WriteEnded, now: int) -> list[Action]:
        """Handle the outcome of a write to another node's record."""
        update = self.update_of(event)
        if update is None:
            return []
        update.in_flight = False
        update.retry_at = now + RETRY_MS
        if event.outcome is WriteOutcome.UNCERTAIN:
            update.uncertain = True
            return []
        if event.outcome is WriteOutcome.REFUSED:
            if not update.uncertain:
                self._updates.pop(event.name)
            return []
        self._updates.pop(event.name)
        if event.outcome is WriteOutcome.CONFLICT:
            return [ReadObject(event.name)]
        if update.is_claim:
            self._record_claim(update.base.node, now)
        return []

    def update_of(self, event: WriteEnded) -> RecordUpdate | None:
        """Return the update if the outcome is of its latest attempt."""
        update = self._updates.get(event.name)
        if update is None or update.number != event.number:
            return None
        return update

    def needs_snapshot(self) -> bool:
        """Return whether a record that this node maintains has stranded grants.

        A claimed record, which its own node no longer writes, is maintained
        by its claimant, or by another node once the claimant is lost.
        """
        return any(
            entry.record is not None
            and stranded_grants(entry.record, self._directory)
            for entry in self._maintained_entries()
        )

    def on_snapshot(self, snapshot: Directory, now: int) -> list[Action]:
        """Reissue the grants that a snapshot shows to be stranded."""
        actions: list[Action] = []
        for entry in self._maintained_entries():
            seen = snapshot.entry(entry.name)
            if seen is None or seen.version != entry.version:
                continue
            if entry.name in self._updates or entry.record is None:
                continue
            keys = stranded_grants(entry.record, snapshot)
            if keys:
                actions.extend(self._start_reassignment(entry, keys, now))
        return actions

    def _record_claim(self, node: NodeId, now: int) -> None:
        if node not in self._claimed_at:
            self._claimed_at[node] = now
            self._claim_count += 1

    def _due_claims(self, now: int) -> list[Entry]:
        self._refresh()
        return [
            right.entry
            for right in self._claim_rights
            if right.entry.name not in self._updates
            and now >= self._duties.claim_allowed_at(right.holder, right.since)
        ]

    def _refresh(self) -> None:
        """Recompute which records this node may claim or must maintain.

        Does nothing if no record, claim or operator's statement is new.
        """
        state = (
            self._directory.change_count,
            self._claim_count,
            len(self._declared_gone),
        )
        if state == self._classified_state:
            return
        self._classified_state = state
        self._claim_rights.clear()
        self._maintained.clear()
        for entry in self._directory.entries():
            record = entry.record
            if record is not None and record.node != self._me.node:
                self._classify(entry, record)

    def _classify(self, entry: Entry, record: NodeRecord) -> None:
        if record.is_live:
            since = self._claim_right_since(record)
            if since is not None:
                wait_from = max(entry.observed_at, since)
                self._claim_rights.append(
                    _ClaimRight(entry, record.node, wait_from)
                )
        elif self._maintainer_of(record) == self._me.node:
            self._maintained.append(entry)

    def _claim_right_since(self, record: NodeRecord) -> int | None:
        """Return when the right to claim a record began, None if not given."""
        if record.node in self._declared_gone:
            return self._started_at
        if record.profile.address == self._me.address:
            return self._started_at
        if record.standby is None:
            first = lowest_ranked(
                peer.node for peer in self._directory.active()
            )
            return self._started_at if first == self._me.node else None
        if record.standby == self._me.node:
            return self._started_at
        return self._inherited_right_since(record.standby)

    def _inherited_right_since(self, standby: NodeId) -> int | None:
        seen = {standby}
        peer = self._directory.record_of(standby)
        while peer is not None and peer.claimant is not None:
            if peer.claimant == self._me.node:
                return self._claimed_at.get(peer.node)
            if peer.claimant in seen:
                return None
            seen.add(peer.claimant)
            peer = self._directory.record_of(peer.claimant)
        return None

    def _start_claim(self, entry: Entry, now: int) -> list[Action]:
        if entry.record is None:
            return []
        avoid = frozenset({entry.record.node})
        lost_node = entry.record.node
        new_owners = assign_shards(
            entry.record.owned, self._directory, avoid, lost_node
        )
        update = RecordUpdate(
            entry.name, entry.record, entry.version, new_owners, True, now
        )
        return self._begin(update, now)

    def _start_reassignment(
        self, entry: Entry, keys: set[ShardKey], now: int
    ) -> list[Action]:
        if entry.record is None:
            return []
        new_owners = assign_shards(
            keys, self._directory, frozenset({entry.record.node})
        )
        if not new_owners:
            return []
        base = self._without_settled_grants(entry.record)
        update = RecordUpdate(
            entry.name, base, entry.version, new_owners, False, now
        )
        return self._begin(update, now)

    def _begin(self, update: RecordUpdate, now: int) -> list[Action]:
        self._updates[update.name] = update
        handovers = self._hand_over_ledgers(update)
        return [*handovers, *self._advance(update, now)]

    def _hand_over_ledgers(self, update: RecordUpdate) -> list[Action]:
        actions: list[Action] = []
        for node in sorted(
            set(update.new_owners.values()) - update.handed_over
        ):
            if node in update.waiting:
                continue
            keys = frozenset(
                key for key, owner in update.new_owners.items() if owner == node
            )
            if node == self._me.node:
                update.handed_over.add(node)
                continue
            update.waiting.add(node)
            actions.append(HandOverLedger(update.name, node, keys))
        return actions

    def _advance(self, update: RecordUpdate, now: int) -> list[Action]:
        if update.phase is UpdatePhase.WRITING:
            return self._send(update, now)
        if now - update.started_at >= HANDOVER_LIMIT_MS:
            update.failed |= update.waiting
            update.waiting.clear()
        if update.waiting:
            return []
        if update.failed & set(update.new_owners.values()):
            return self._replace_failed_owners(update, now)
        update.phase = UpdatePhase.WRITING
        update.record = self._next_record(update)
        return self._send(update, now)

    def _replace_failed_owners(
        self, update: RecordUpdate, now: int
    ) -> list[Action]:
        avoid = frozenset(update.failed | {update.base.node})
        update.new_owners = assign_shards(
            update.new_owners, self._directory, avoid, update.base.node
        )
        update.handed_over.clear()
        update.started_at = now
        handovers = self._hand_over_ledgers(update)
        return [*handovers, *self._advance(update, now)]

    def _next_record(self, update: RecordUpdate) -> NodeRecord:
        base = update.base
        if update.name == service_object(ServiceName(_service_of(base.node))):
            if update.expect is None:
                return first_assignment_record(base, update.new_owners)
        return _reissue_grants(
            claimed_record(base, self._me.node, update.new_owners),
            update.new_owners,
        )

    def _send(self, update: RecordUpdate, now: int) -> list[Action]:
        if update.in_flight or now < update.retry_at:
            return []
        update.in_flight = True
        if update.is_claim and update.expect is not None:
            self._duties.record_claim(update.base.node, update.expect)
        self._last_write_id += 1
        update.number = WriteId(self._last_write_id)
        return [
            WriteObject(
                update.number, update.name, update.record, update.expect
            )
        ]

    def _maintained_entries(self) -> list[Entry]:
        self._refresh()
        return list(self._maintained)

    def _maintainer_of(self, record: NodeRecord) -> NodeId | None:
        claimant = record.claimant
        if claimant is not None and self._directory.is_live(claimant):
            return claimant
        live = (peer.node for peer in self._directory.active())
        return lowest_ranked(live, record.node)

    def _clean_up(self, now: int) -> list[Action]:
        actions = self._first_assignments(now)
        for entry in self._maintained_entries():
            if entry.name not in self._updates and entry.record is not None:
                actions.extend(self._clean_up_record(entry, entry.record, now))
        return actions

    def _clean_up_record(
        self, entry: Entry, record: NodeRecord, now: int
    ) -> list[Action]:
        if record.owned:
            new_owners = assign_shards(
                record.owned, self._directory, frozenset({record.node})
            )
            if new_owners:
                base = self._without_settled_grants(record)
                update = RecordUpdate(
                    entry.name, base, entry.version, new_owners, False, now
                )
                return self._begin(update, now)
        cleaned = self._without_settled_grants(record)
        if cleaned.outgoing != record.outgoing:
            return self._write_now(entry, cleaned, now)
        if self._may_delete(entry, record):
            return self._write_now(entry, None, now)
        return []

    def _write_now(
        self, entry: Entry, record: NodeRecord | None, now: int
    ) -> list[Action]:
        if entry.record is None:
            return []
        update = RecordUpdate(
            entry.name, entry.record, entry.version, {}, False, now
        )
        update.phase = UpdatePhase.WRITING
        update.record = record
        self._updates[entry.name] = update
        return self._send(update, now)

    def _without_settled_grants(self, record: NodeRecord) -> NodeRecord:
        outgoing = unsettled_grants(record, self._directory)
        return dataclasses.replace(record, outgoing=outgoing)

    def _may_delete(self, entry: Entry, record: NodeRecord) -> bool:
        if entry.name != node_object(record.node):
            return False
        if record.owned or record.outgoing:
            return False
        return not any(
            peer.record is not None
            and peer.record.is_live
            and peer.record.standby == record.node
            for peer in self._directory.entries()
        )

    def _first_assignments(self, now: int) -> list[Action]:
        actions: list[Action] = []
        if not self._store_was_read:
            return actions
        for service, (shards, known_at) in self._services.items():
            name = service_object(service)
            known = self._directory.entry(name) is not None
            if known or name in self._updates:
                continue
            if now - known_at < FIRST_ASSIGNMENT_MS:
                continue
            actions.extend(self._assign_first(service, shards, now))
        return actions

    def _assign_first(
        self, service: ServiceName, shards: int, now: int
    ) -> list[Action]:
        offering = self._directory.offering(service)
        if lowest_ranked(peer.node for peer in offering) != self._me.node:
            return []
        keys = [ShardKey(service, ShardId(num)) for num in range(shards)]
        new_owners = assign_shards(keys, self._directory, frozenset())
        base = NodeRecord(
            Profile(
                NodeId(SERVICE_NODE_PREFIX + service), '', Region(''), Zone('')
            ),
            NodeState.CLAIMED,
            self._me.node,
        )
        update = RecordUpdate(
            service_object(service), base, None, new_owners, False, now
        )
        return self._begin(update, now)


def _service_of(node: NodeId) -> str:
    return node.removeprefix(SERVICE_NODE_PREFIX)


def _reissue_grants(
    record: NodeRecord, new_owners: dict[ShardKey, NodeId]
) -> NodeRecord:
    outgoing = dict(record.outgoing)
    for key, owner in new_owners.items():
        grant = outgoing.get(key)
        if grant is not None and grant.owner != owner:
            outgoing[key] = dataclasses.replace(
                grant, epoch=Epoch(grant.epoch + 1), owner=owner
            )
    return dataclasses.replace(record, outgoing=outgoing)
