"""Simulation of nodes, targets and a store that detects double ownership.

It injects, at any time, every fault that the protocol must tolerate: late and
lost messages, writes that take effect seconds after they were sent, restarts
of processes, crashes of targets, claims on nodes that are alive, an
unavailable store, and target clocks that run 2% slow.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

from savoryhold.core.ids import NodeId, ServiceName, Version
from savoryhold.ranges import (
    ChangeRequest,
    TableDraft,
    LEASE_MS,
    GrantMachine,
    GrantReply,
    HeldSpan,
    OwnershipChange,
    RangeTable,
    ReleasedSpan,
    Report,
    Row,
    Span,
    TargetLife,
    initial_rows,
)

__all__ = ['OracleError', 'OwnershipSimulation']

NODES = tuple(NodeId(name) for name in 'abcd')
SERVICE = ServiceName('booking')
REPORT_MS = 870
REPORT_LIMIT_MS = 1000
SLOW_CLOCK = 0.98
STEP_MS = 40
HEAL_MS = 3 * LEASE_MS  # a claimed row waits for one lease, sometimes two
MAX_PARTITION_MS = 3 * LEASE_MS  # enough for a claim and its lease wait
MAX_COPY_AGE_MS = 3000
MAX_LATE_REPORTS = 8
PROBES = tuple(range(0, 65_536, 1024))


class OracleError(AssertionError):
    """An ownership invariant is violated."""


@dataclasses.dataclass
class Target:
    """The state of a target, on its own slow clock.

    ``rows`` maps each held span to its fencing token and the end of its hold.
    ``asked_at`` is when the report was sent whose reply it still waits for.
    """

    life: TargetLife
    up: bool = True
    rows: dict[Span, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    released: list[ReleasedSpan] = dataclasses.field(default_factory=list)
    highest: dict[int, int] = dataclasses.field(default_factory=dict)
    asked_at: int | None = None

    def holds(self, key: int, now: float) -> int | None:
        """Return the fencing token of a held key, None if it is not held."""
        for span, (fence, until) in self.rows.items():
            if span.first <= key <= span.last and now < until:
                return fence
        return None


class OwnershipSimulation:
    """All nodes, their targets and the store, on one virtual clock.

    Parameters
    ----------
    seed : int
        Seed of all random decisions.
    create_machine : callable
        Creates the `GrantMachine` of a node, or a mutant of it.
    stale_starts : bool
        Whether a process that starts may first learn a copy of the table that
        is some seconds old, and get a late report of a former target.
    """

    def __init__(
        self,
        seed: int,
        create_machine: Callable[[NodeId, int], GrantMachine] = GrantMachine,
        *,
        stale_starts: bool = False,
    ) -> None:
        self.stale_starts = stale_starts
        self.rng = random.Random(seed)
        self.create_machine = create_machine
        self.now = 0
        self.sequence = itertools.count(1)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.table = RangeTable(
            SERVICE,
            Version(1),
            initial_rows([(node, 1.0) for node in NODES]),
        )
        # Former tables, and until when they were stored.
        self.history: list[tuple[int, RangeTable]] = []
        self.former_reports: dict[NodeId, list[Report]] = {}
        self.store_up = True
        self.faults_enabled = True
        self.partitioned: set[NodeId] = set()
        self.machines = {node: create_machine(node, 0) for node in NODES}
        self.targets = {node: self.new_target(node) for node in NODES}
        self.fences: dict[int, dict[TargetLife, int]] = {}
        for node in NODES:
            self.schedule(
                self.rng.randrange(REPORT_MS), partial(self.send_report, node)
            )
            self.schedule(self.rng.randrange(300), partial(self.step, node))

    def chance(self, share: float) -> bool:
        """Return true with the given probability."""
        return self.rng.random() < share

    def schedule(self, delay: int, work: Callable[[], None]) -> None:
        """Schedule an event after a delay in ms."""
        heapq.heappush(
            self.events, (self.now + max(1, delay), next(self.sequence), work)
        )

    def run(self, until: int) -> None:
        """Process events, checking the invariants after each, until a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, work = heapq.heappop(self.events)
            work()
            self.check()
            if self.faults_enabled and self.chance(0.02):
                self.inject_fault()
        self.now = until

    def heal(self) -> None:
        """End all faults, then check that each key gets a holder."""
        self.faults_enabled = False
        self.store_up = True
        self.partitioned.clear()
        self.run(self.now + HEAL_MS)
        for key in PROBES:
            if not any(
                target.up and target.holds(key, self.now) is not None
                for target in self.targets.values()
            ):
                raise OracleError(
                    f'key {key} has no holder after the faults ended'
                )

    def check(self) -> None:
        """Check that no key has two holders."""
        for key in PROBES:
            holders = [
                (node, fence)
                for node, target in self.targets.items()
                if target.up
                and (fence := target.holds(key, self.now)) is not None
            ]
            if len(holders) > 1:
                raise OracleError(
                    f'{self.now} ms: key {key} is held by {holders}'
                )

    # Faults -----------------------------------------------------------------

    def inject_fault(self) -> None:
        """Inject a random fault at a random node."""
        node = self.rng.choice(NODES)
        self.rng.choice(
            (
                self.toggle_store,
                lambda: self.partition(node),
                lambda: self.restart(node),
                lambda: self.crash(node),
                lambda: self.claim(node),
                lambda: self.start_handover(node),
                lambda: self.start_handover(node),
                lambda: self.lose_power(node),
            )
        )()

    def toggle_store(self) -> None:
        """Make the store unavailable for a while, or available again."""
        self.store_up = not self.store_up
        if not self.store_up:
            self.schedule(self.rng.randrange(9000), self.restore_store)

    def restore_store(self) -> None:
        """Make the store available."""
        self.store_up = True

    def partition(self, node: NodeId) -> None:
        """Partition a node from the store for some seconds."""
        self.partitioned.add(node)
        self.schedule(
            self.rng.randrange(MAX_PARTITION_MS),
            lambda: self.partitioned.discard(node),
        )

    def restart(self, node: NodeId) -> None:
        """Replace a node's process by a new one."""
        self.machines[node] = self.create_machine(node, self.now)
        if self.stale_starts:
            self.begin_with_old_news(node)

    def begin_with_old_news(self, node: NodeId) -> None:
        """Let a process learn an old copy, and get a late report."""
        machine = self.machines[node]
        copies = [
            table
            for at, table in self.history
            if self.now - at < MAX_COPY_AGE_MS
        ]
        if copies and self.chance(0.5):
            machine.learn(self.rng.choice(copies), self.now)
        reports = self.former_reports.get(node)
        if reports and self.chance(0.5):
            machine.on_report(self.rng.choice(reports), self.now)

    def crash(self, node: NodeId) -> None:
        """Replace a node's target by a new incarnation."""
        self.targets[node] = self.new_target(node)

    def lose_power(self, node: NodeId) -> None:
        """Replace a node's process and its target at once."""
        self.restart(node)
        self.crash(node)

    def claim(self, node: NodeId) -> None:
        """Let a random node reassign all keys of another, dead or alive."""
        others = [other for other in NODES if other != node]
        taker = self.rng.choice(others)
        table = self.machines[taker].table
        if table is None:
            return
        changes = [
            OwnershipChange(row.span, self.rng.choice(others))
            for row in table.rows_of(node)
        ]
        self.write(table, changes)

    def start_handover(self, node: NodeId) -> None:
        """Let a node start to hand over a random part of a row."""
        machine = self.machines[node]
        rows = machine.grantable_rows()
        if not rows:
            return
        span = self.rng.choice(rows).span
        first = self.rng.randint(span.first, span.last)
        cut = Span(first, self.rng.randint(first, span.last))
        machine.start_handover(cut, self.rng.choice(NODES))

    def new_target(self, node: NodeId) -> Target:
        """Return a new incarnation of a node's target."""
        life = TargetLife(f't-{node}-{next(self.sequence)}', self.now)
        return Target(life)

    # The store --------------------------------------------------------------

    def write(self, table: RangeTable, changes: list[OwnershipChange]) -> None:
        """Send a conditional write, which may take effect late."""
        if not self.store_up or not changes:
            return
        late = self.faults_enabled and self.chance(0.2)
        delay = self.rng.randrange(5000) if late else self.rng.randrange(30)
        if self.chance(0.5):
            request = ChangeRequest.on(table, changes, ())
            self.schedule(delay, lambda: self.commit_request(request))
            return
        rows = table.with_changes(changes)
        self.schedule(delay, lambda: self.commit(table.version, rows))

    def commit_request(self, request: ChangeRequest) -> None:
        """Have another node write what is still true of the stored rows."""
        draft = TableDraft(self.table)
        draft.apply(request)
        if draft.changed:
            self.commit(self.table.version, draft.rows())

    def commit(self, version: int, rows: list[Row]) -> None:
        """Apply a write if the stored version still matches."""
        if self.table.version == version:
            self.history.append((self.now, self.table))
            self.table = RangeTable(SERVICE, Version(version + 1), rows)

    def read(self, node: NodeId) -> None:
        """Let a node read the table; the answer may be late or lost."""
        lost = self.faults_enabled and self.chance(0.2)
        if not self.store_up or lost or node in self.partitioned:
            return
        machine, sent_at = self.machines[node], self.now
        found: list[RangeTable] = []
        self.schedule(
            self.rng.randrange(1, 20), lambda: found.append(self.table)
        )

        self.schedule(
            self.rng.randrange(20, 400),
            partial(self.finish_read, node, machine, found, sent_at),
        )

    def finish_read(
        self,
        node: NodeId,
        machine: GrantMachine,
        found: list[RangeTable],
        sent_at: int,
    ) -> None:
        """Deliver the result of a read, unless the process has restarted."""
        if found and self.machines[node] is machine:
            machine.learn(found[0], self.now)
            machine.record_proof(found[0].version, sent_at)

    # A node's work ----------------------------------------------------------

    def step(self, node: NodeId) -> None:
        """Run one iteration of a node's ownership loop."""
        slow = self.faults_enabled and self.chance(0.02)
        pause = self.rng.randrange(3000) if slow else STEP_MS
        self.schedule(pause, partial(self.step, node))
        if self.chance(0.1):
            self.read(node)
        machine = self.machines[node]
        if machine.table is None:
            return
        changes = [
            OwnershipChange(span, taker, settled=True)
            for span, taker in machine.completed_handovers(self.now).items()
        ]
        changes.extend(
            OwnershipChange(row.span, node, settled=row.settled)
            for row in machine.stale_rows()
        )
        changes.extend(
            OwnershipChange(span, node, settled=True)
            for span in machine.mergeable_spans()
        )
        self.write(machine.table, changes)
        self.request_confirmations(machine)

    def request_confirmations(self, machine: GrantMachine) -> None:
        """Let a node ask the previous owners of its waiting rows."""
        for row in machine.waiting_rows(self.now):
            if row.previous not in self.machines:
                continue
            if self.faults_enabled and self.chance(0.3):
                continue
            previous_owner = self.machines[row.previous]
            confirmation = previous_owner.release_confirmation(
                row.span, row.epoch, self.now
            )
            if confirmation is not None:
                self.schedule(
                    self.rng.randrange(1, 300),
                    partial(machine.apply_confirmation, confirmation),
                )

    # A target's reports -----------------------------------------------------

    def send_report(self, node: NodeId) -> None:
        """Send a report of a node's target and schedule the next one."""
        target = self.targets[node]
        if self.is_waiting(target):
            self.schedule(STEP_MS, partial(self.send_report, node))
            return
        target.asked_at = self.now
        held = tuple(
            HeldSpan(span, fence)
            for span, (fence, until) in target.rows.items()
            if self.now < until
        )
        report = Report(target.life, held, tuple(target.released))
        self.former_reports.setdefault(node, []).append(report)
        del self.former_reports[node][:-MAX_LATE_REPORTS]
        late = self.faults_enabled and self.chance(0.1)
        delay = self.rng.randrange(900) if late else self.rng.randrange(1, 10)
        self.schedule(
            delay, partial(self.receive_report, node, target, self.now, report)
        )
        often = self.reports_often(node, target)
        self.schedule(
            100 if often else REPORT_MS, partial(self.send_report, node)
        )

    def is_waiting(self, target: Target) -> bool:
        """Return whether a target waits for a reply; it sends no more then."""
        if target.asked_at is None:
            return False
        return self.now - target.asked_at <= REPORT_LIMIT_MS

    def reports_often(self, node: NodeId, target: Target) -> bool:
        """Return whether the target reports often, as during a handover."""
        return bool(self.machines[node].handovers) and target.up

    def receive_report(
        self, node: NodeId, target: Target, sent_at: int, report: Report
    ) -> None:
        """Deliver a report to its node and send the reply."""
        if target is not self.targets[node]:
            return
        # A crash closes all connections, which shows the node that the former
        # incarnation has ended.
        reply = self.machines[node].on_report(
            report, self.now, former_ended=True
        )
        delay = self.rng.randrange(1, 10)
        if self.faults_enabled and self.chance(0.1):
            delay = self.rng.randrange(900)
        self.schedule(delay, lambda: self.receive_reply(target, sent_at, reply))

    def receive_reply(
        self, target: Target, sent_at: int, reply: GrantReply | None
    ) -> None:
        """Deliver a reply; the target ignores it if it is too late."""
        late = self.now - sent_at > REPORT_LIMIT_MS
        if target.asked_at == sent_at:
            target.asked_at = None
        if late or reply is None or target not in self.targets.values():
            return
        until = sent_at + reply.hold_ms / SLOW_CLOCK
        rows = {}
        for grant in reply.grants:
            self.check_fence(target, grant.span, grant.fence)
            rows[grant.span] = (grant.fence, until)
        target.released = [
            ReleasedSpan(span, f'{target.life.target}/{span.first}')
            for span in target.rows
            if span not in rows
        ]
        target.rows = rows

    def check_fence(self, target: Target, span: Span, fence: int) -> None:
        """Check that a fence exceeds those of all other incarnations."""
        for key in PROBES:
            if not span.first <= key <= span.last:
                continue
            seen = self.fences.setdefault(key, {})
            others = [
                other for life, other in seen.items() if life != target.life
            ]
            if others and fence <= max(others):
                raise OracleError(
                    f'{self.now} ms: key {key}: fence {fence}, others {others}'
                )
            seen[target.life] = max(fence, seen.get(target.life, 0))
