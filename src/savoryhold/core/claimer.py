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
    claimed_record,
    root_record,
    settled_outgoing,
    assign_shards,
    stranded,
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
from savoryhold.core.rendezvous import lowest
from savoryhold.core.routing import Directory, Entry
from savoryhold.core.standby import StandbyDuties

__all__ = ['Claimer', 'Phase', 'Plan']

RETRY_MS = 200
HAND_LIMIT_MS = 300
TIDY_MS = 200
FIRST_ASSIGNMENT_MS = 600
ROOT_NODE_PREFIX = '@'


class Phase(enum.Enum):
    """Phase of a write to another node's record."""

    HANDING = 'handing'
    WRITING = 'writing'


@dataclasses.dataclass(slots=True)
class Plan:
    """One write to another node's record, on its way.

    ``give`` holds the new owners; ``record`` is what will be written.
    """

    name: ObjectName
    base: NodeRecord
    expect: Version | None
    give: dict[ShardKey, NodeId]
    is_claim: bool
    started_at: int
    phase: Phase = Phase.HANDING
    record: NodeRecord | None = None
    waiting: set[NodeId] = dataclasses.field(default_factory=set)
    handed: set[NodeId] = dataclasses.field(default_factory=set)
    failed: set[NodeId] = dataclasses.field(default_factory=set)
    number: WriteId = NO_WRITE
    in_flight: bool = False
    uncertain: bool = False
    retry_at: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Right:
    """The right to claim a record, and what its waits count from."""

    entry: Entry
    holder: NodeId
    since: int


class Claimer:
    """State machine of this node's writes to records of others.

    Parameters
    ----------
    profile : Profile
        This node.
    directory : Directory
        The records seen.
    duties : StandbyDuties
        Promises given and claims sent.
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
        self._plans: dict[ObjectName, Plan] = {}
        self._claimed_at: dict[NodeId, int] = {}
        self._services: dict[ServiceName, tuple[int, int]] = {}
        self._recover: set[NodeId] = set()
        self._tidy_at = started_at
        self._synced = False
        self._numbers = 0
        self._claims = 0
        self._refreshed = (-1, 0, 0)
        self._duty_list: list[_Right] = []
        self._care_list: list[Entry] = []

    def on_synced(self) -> None:
        """Note that the store has been read whole once."""
        self._synced = True

    def on_service(self, service: ServiceName, shards: int, now: int) -> None:
        """Note a keyed service that needs a first assignment."""
        self._services.setdefault(service, (shards, now))

    def on_recover(self, node: NodeId) -> None:
        """Note an operator's word that a node is gone."""
        self._recover.add(node)

    def on_record(self, entry: Entry, now: int) -> None:
        """Take in a new version of another node's record."""
        plan = self._plans.get(entry.name)
        if plan is not None and plan.expect != entry.version:
            self._plans.pop(entry.name)
        record = entry.record
        if record is None:
            return
        if not record.is_live and record.claimant == self._me.node:
            self._note_claimed(record.node, now)

    def cancel(self, name: ObjectName) -> None:
        """Give up a claim that was not sent: its holder is alive."""
        plan = self._plans.get(name)
        if plan is not None and plan.phase is Phase.HANDING:
            self._plans.pop(name)

    def tick(self, now: int) -> list[Action]:
        """Return what is due now."""
        actions: list[Action] = []
        for plan in list(self._plans.values()):
            actions.extend(self._advance(plan, now))
        for entry in self._due(now):
            actions.extend(self._start_claim(entry, now))
        if now >= self._tidy_at:
            self._tidy_at = now + TIDY_MS
            actions.extend(self._tidy(now))
        return actions

    def on_handed(self, event: LedgerHandedOver, now: int) -> list[Action]:
        """Note whether a new owner stored the ledger it was sent."""
        plan = self._plans.get(event.name)
        if plan is None or plan.phase is not Phase.HANDING:
            return []
        plan.waiting.discard(event.target)
        bucket = plan.handed if event.taken else plan.failed
        bucket.add(event.target)
        return self._advance(plan, now)

    def on_write(self, event: WriteEnded, now: int) -> list[Action]:
        """Take in how a write to another node's record ended."""
        plan = self.plan_of(event)
        if plan is None:
            return []
        plan.in_flight = False
        plan.retry_at = now + RETRY_MS
        if event.outcome is WriteOutcome.UNCERTAIN:
            plan.uncertain = True
            return []
        if event.outcome is WriteOutcome.REFUSED:
            if not plan.uncertain:
                self._plans.pop(event.name)
            return []
        self._plans.pop(event.name)
        if event.outcome is WriteOutcome.CONFLICT:
            return [ReadObject(event.name)]
        if plan.is_claim:
            self._note_claimed(plan.base.node, now)
        return []

    def plan_of(self, event: WriteEnded) -> Plan | None:
        """Return the plan whose last try an outcome belongs to."""
        plan = self._plans.get(event.name)
        if plan is None or plan.number != event.number:
            return None
        return plan

    def wants_snapshot(self) -> bool:
        """Return whether a record in this node's care has lost grants."""
        return any(
            entry.record is not None and stranded(entry.record, self._directory)
            for entry in self._in_care()
        )

    def on_snapshot(self, snapshot: Directory, now: int) -> list[Action]:
        """Issue again the grants that a snapshot shows as stranded."""
        actions: list[Action] = []
        for entry in self._in_care():
            seen = snapshot.entry(entry.name)
            if seen is None or seen.version != entry.version:
                continue
            if entry.name in self._plans or entry.record is None:
                continue
            keys = stranded(entry.record, snapshot)
            if keys:
                actions.extend(self._start_give(entry, keys, now))
        return actions

    def _note_claimed(self, node: NodeId, now: int) -> None:
        if node not in self._claimed_at:
            self._claimed_at[node] = now
            self._claims += 1

    def _due(self, now: int) -> list[Entry]:
        self._refresh()
        return [
            duty.entry
            for duty in self._duty_list
            if duty.entry.name not in self._plans
            and now >= self._duties.claim_due(duty.holder, duty.since)
        ]

    def _refresh(self) -> None:
        """Recompute which records concern this node, if anything changed."""
        state = (self._directory.changes, self._claims, len(self._recover))
        if state == self._refreshed:
            return
        self._refreshed = state
        self._duty_list.clear()
        self._care_list.clear()
        for entry in self._directory.entries():
            record = entry.record
            if record is not None and record.node != self._me.node:
                self._classify(entry, record)

    def _classify(self, entry: Entry, record: NodeRecord) -> None:
        if record.is_live:
            since = self._right_since(record)
            if since is not None:
                waits = max(entry.observed_at, since)
                self._duty_list.append(_Right(entry, record.node, waits))
        elif self._steward(record) == self._me.node:
            self._care_list.append(entry)

    def _right_since(self, record: NodeRecord) -> int | None:
        """Return since when this node may claim a record, None for never."""
        if record.node in self._recover:
            return self._started_at
        if record.profile.address == self._me.address:
            return self._started_at
        if record.standby is None:
            first = lowest(peer.node for peer in self._directory.active())
            return self._started_at if first == self._me.node else None
        if record.standby == self._me.node:
            return self._started_at
        return self._inherited_at(record.standby)

    def _inherited_at(self, standby: NodeId) -> int | None:
        seen = {standby}
        guard = self._directory.record_of(standby)
        while guard is not None and guard.claimant is not None:
            if guard.claimant == self._me.node:
                return self._claimed_at.get(guard.node)
            if guard.claimant in seen:
                return None
            seen.add(guard.claimant)
            guard = self._directory.record_of(guard.claimant)
        return None

    def _start_claim(self, entry: Entry, now: int) -> list[Action]:
        if entry.record is None:
            return []
        avoid = frozenset({entry.record.node})
        lost = entry.record.node
        give = assign_shards(entry.record.owned, self._directory, avoid, lost)
        plan = Plan(entry.name, entry.record, entry.version, give, True, now)
        return self._begin(plan, now)

    def _start_give(
        self, entry: Entry, keys: set[ShardKey], now: int
    ) -> list[Action]:
        if entry.record is None:
            return []
        give = assign_shards(
            keys, self._directory, frozenset({entry.record.node})
        )
        if not give:
            return []
        base = self._tidied(entry.record)
        plan = Plan(entry.name, base, entry.version, give, False, now)
        return self._begin(plan, now)

    def _begin(self, plan: Plan, now: int) -> list[Action]:
        self._plans[plan.name] = plan
        hands = self._hand(plan)
        return [*hands, *self._advance(plan, now)]

    def _hand(self, plan: Plan) -> list[Action]:
        actions: list[Action] = []
        for node in sorted(set(plan.give.values()) - plan.handed):
            if node in plan.waiting:
                continue
            keys = frozenset(
                key for key, owner in plan.give.items() if owner == node
            )
            if node == self._me.node:
                plan.handed.add(node)
                continue
            plan.waiting.add(node)
            actions.append(HandOverLedger(plan.name, node, keys))
        return actions

    def _advance(self, plan: Plan, now: int) -> list[Action]:
        if plan.phase is Phase.WRITING:
            return self._send(plan, now)
        if now - plan.started_at >= HAND_LIMIT_MS:
            plan.failed |= plan.waiting
            plan.waiting.clear()
        if plan.waiting:
            return []
        if plan.failed & set(plan.give.values()):
            return self._respread(plan, now)
        plan.phase = Phase.WRITING
        plan.record = self._next_record(plan)
        return self._send(plan, now)

    def _respread(self, plan: Plan, now: int) -> list[Action]:
        avoid = frozenset(plan.failed | {plan.base.node})
        plan.give = assign_shards(
            plan.give, self._directory, avoid, plan.base.node
        )
        plan.handed.clear()
        plan.started_at = now
        hands = self._hand(plan)
        return [*hands, *self._advance(plan, now)]

    def _next_record(self, plan: Plan) -> NodeRecord:
        base = plan.base
        if plan.name == service_object(ServiceName(_root_service(base.node))):
            if plan.expect is None:
                return root_record(base, plan.give)
        return _given_again(
            claimed_record(base, self._me.node, plan.give), plan.give
        )

    def _send(self, plan: Plan, now: int) -> list[Action]:
        if plan.in_flight or now < plan.retry_at:
            return []
        plan.in_flight = True
        if plan.is_claim and plan.expect is not None:
            self._duties.claim_sent(plan.base.node, plan.expect)
        self._numbers += 1
        plan.number = WriteId(self._numbers)
        return [WriteObject(plan.number, plan.name, plan.record, plan.expect)]

    def _in_care(self) -> list[Entry]:
        self._refresh()
        return list(self._care_list)

    def _steward(self, record: NodeRecord) -> NodeId | None:
        claimant = record.claimant
        if claimant is not None and self._directory.is_live(claimant):
            return claimant
        live = (peer.node for peer in self._directory.active())
        return lowest(live, record.node)

    def _tidy(self, now: int) -> list[Action]:
        actions = self._first_assignments(now)
        for entry in self._in_care():
            if entry.name not in self._plans and entry.record is not None:
                actions.extend(self._tidy_one(entry, entry.record, now))
        return actions

    def _tidy_one(
        self, entry: Entry, record: NodeRecord, now: int
    ) -> list[Action]:
        if record.owned:
            give = assign_shards(
                record.owned, self._directory, frozenset({record.node})
            )
            if give:
                base = self._tidied(record)
                plan = Plan(entry.name, base, entry.version, give, False, now)
                return self._begin(plan, now)
        tidied = self._tidied(record)
        if tidied.outgoing != record.outgoing:
            return self._write_now(entry, tidied, now)
        if self._may_delete(entry, record):
            return self._write_now(entry, None, now)
        return []

    def _write_now(
        self, entry: Entry, record: NodeRecord | None, now: int
    ) -> list[Action]:
        if entry.record is None:
            return []
        plan = Plan(entry.name, entry.record, entry.version, {}, False, now)
        plan.phase = Phase.WRITING
        plan.record = record
        self._plans[entry.name] = plan
        return self._send(plan, now)

    def _tidied(self, record: NodeRecord) -> NodeRecord:
        outgoing = settled_outgoing(record, self._directory)
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
        if not self._synced:
            return actions
        for service, (shards, known_at) in self._services.items():
            name = service_object(service)
            known = self._directory.entry(name) is not None
            if known or name in self._plans:
                continue
            if now - known_at < FIRST_ASSIGNMENT_MS:
                continue
            actions.extend(self._assign_first(service, shards, now))
        return actions

    def _assign_first(
        self, service: ServiceName, shards: int, now: int
    ) -> list[Action]:
        offering = self._directory.offering(service)
        if lowest(peer.node for peer in offering) != self._me.node:
            return []
        keys = [ShardKey(service, ShardId(num)) for num in range(shards)]
        give = assign_shards(keys, self._directory, frozenset())
        base = NodeRecord(
            Profile(
                NodeId(ROOT_NODE_PREFIX + service), '', Region(''), Zone('')
            ),
            NodeState.CLAIMED,
            self._me.node,
        )
        plan = Plan(service_object(service), base, None, give, False, now)
        return self._begin(plan, now)


def _root_service(node: NodeId) -> str:
    return node.removeprefix(ROOT_NODE_PREFIX)


def _given_again(
    record: NodeRecord, give: dict[ShardKey, NodeId]
) -> NodeRecord:
    outgoing = dict(record.outgoing)
    for key, owner in give.items():
        grant = outgoing.get(key)
        if grant is not None and grant.owner != owner:
            outgoing[key] = dataclasses.replace(
                grant, epoch=Epoch(grant.epoch + 1), owner=owner
            )
    return dataclasses.replace(record, outgoing=outgoing)
