"""A world of nodes, targets and a store, that looks for two holders.

Everything that the rules allow may happen at any moment: messages late or
lost, writes that take effect seconds after they were sent, processes that
restart, targets that crash, claims on nodes that are alive, a store that is
away, and target clocks that run 2% slow.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

from savoryhold.core.ids import NodeId, ServiceName, Version
from savoryhold.ranges import (
    LEASE_MS,
    OwnershipChange,
    GrantMachine,
    GrantReply,
    HeldSpan,
    RangeTable,
    ReleasedSpan,
    Report,
    Row,
    Span,
    TargetLife,
    initial_rows,
)

__all__ = ['OracleError', 'World']

NODES = tuple(NodeId(name) for name in 'abcd')
SERVICE = ServiceName('booking')
REPORT_MS = 870
REPORT_LIMIT_MS = 1000
SLOW_CLOCK = 0.98
STEP_MS = 40
HEAL_MS = 3 * LEASE_MS  # a claimed row waits for one lease, at times for two
CUT_MS = 3 * LEASE_MS  # long enough for a claim and its wait behind the cut
PROBES = tuple(range(0, 65_536, 1024))


class OracleError(AssertionError):
    """A rule of ownership is broken."""


@dataclasses.dataclass
class Target:
    """A target as it sees itself."""

    life: TargetLife
    up: bool = True
    rows: dict[Span, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    released: list[ReleasedSpan] = dataclasses.field(default_factory=list)
    highest: dict[int, int] = dataclasses.field(default_factory=dict)

    def holds(self, key: int, now: float) -> int | None:
        """Return the fence under which a key is held, None if it is not."""
        for span, (fence, until) in self.rows.items():
            if span.first <= key <= span.last and now < until:
                return fence
        return None


class World:
    """Everything, on one virtual clock.

    Parameters
    ----------
    seed : int
        Decides all that is random.
    make : callable
        Makes a node's machine; a mutant may be given.
    """

    def __init__(
        self,
        seed: int,
        make: Callable[[NodeId, int], GrantMachine] = GrantMachine,
    ) -> None:
        self.rng = random.Random(seed)
        self.make = make
        self.now = 0
        self.numbers = itertools.count(1)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.table = RangeTable(
            SERVICE,
            Version(1),
            initial_rows([(node, 1.0) for node in NODES]),
        )
        self.store_up = True
        self.faults = True
        self.cut: set[NodeId] = set()
        self.machines = {node: make(node, 0) for node in NODES}
        self.targets = {node: self.new_target(node) for node in NODES}
        self.fences: dict[int, dict[TargetLife, int]] = {}
        for node in NODES:
            self.later(self.rng.randrange(REPORT_MS), partial(self.send, node))
            self.later(self.rng.randrange(300), partial(self.step, node))

    def chance(self, share: float) -> bool:
        """Return whether something happens that happens this often."""
        return self.rng.random() < share

    def later(self, delay: int, work: Callable[[], None]) -> None:
        """Do something after a delay in ms."""
        heapq.heappush(
            self.events, (self.now + max(1, delay), next(self.numbers), work)
        )

    def run(self, until: int) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, work = heapq.heappop(self.events)
            work()
            self.check()
            if self.faults and self.chance(0.02):
                self.fault()
        self.now = until

    def heal(self) -> None:
        """End all faults, then check that each key is held."""
        self.faults = False
        self.store_up = True
        self.cut.clear()
        self.run(self.now + HEAL_MS)
        for key in PROBES:
            if not any(
                target.up and target.holds(key, self.now) is not None
                for target in self.targets.values()
            ):
                raise OracleError(f'key {key} is held by nobody after healing')

    def check(self) -> None:
        """Check that no key is held twice, and that fences rise."""
        for key in PROBES:
            holders = [
                (node, fence)
                for node, target in self.targets.items()
                if target.up
                and (fence := target.holds(key, self.now)) is not None
            ]
            if len(holders) > 1:
                raise OracleError(f'{self.now}: {key} is held by {holders}')

    # Faults -----------------------------------------------------------------

    def fault(self) -> None:
        """Let one of the faults happen."""
        node = self.rng.choice(NODES)
        self.rng.choice(
            (
                self.toggle_store,
                lambda: self.cut_off(node),
                lambda: self.restart(node),
                lambda: self.crash(node),
                lambda: self.claim(node),
                lambda: self.start_handover(node),
                lambda: self.start_handover(node),
                lambda: self.lose_power(node),
            )
        )()

    def toggle_store(self) -> None:
        """Take the store away, or bring it back."""
        self.store_up = not self.store_up
        if not self.store_up:
            self.later(self.rng.randrange(9000), self.bring_store)

    def bring_store(self) -> None:
        """Bring the store back."""
        self.store_up = True

    def cut_off(self, node: NodeId) -> None:
        """Cut a node off from the store for some seconds."""
        self.cut.add(node)
        self.later(self.rng.randrange(CUT_MS), lambda: self.cut.discard(node))

    def restart(self, node: NodeId) -> None:
        """Let a node's process end and a new one start."""
        self.machines[node] = self.make(node, self.now)

    def crash(self, node: NodeId) -> None:
        """Let a target end and a new one start."""
        self.targets[node] = self.new_target(node)

    def lose_power(self, node: NodeId) -> None:
        """Let a process and its target end together."""
        self.restart(node)
        self.crash(node)

    def claim(self, node: NodeId) -> None:
        """Let some node take all keys of another, alive or not."""
        others = [other for other in NODES if other != node]
        taker = self.rng.choice(others)
        known = self.machines[taker].table
        if known is None:
            return
        changes = [
            OwnershipChange(row.span, self.rng.choice(others))
            for row in known.rows_of(node)
        ]
        self.write(known, changes)

    def start_handover(self, node: NodeId) -> None:
        """Let a node begin to give a part of a row away."""
        machine = self.machines[node]
        rows = machine.grantable_rows()
        if not rows:
            return
        span = self.rng.choice(rows).span
        first = self.rng.randint(span.first, span.last)
        cut = Span(first, self.rng.randint(first, span.last))
        machine.start_handover(cut, self.rng.choice(NODES))

    def new_target(self, node: NodeId) -> Target:
        """Return a new life of a node's target."""
        life = TargetLife(f't-{node}-{next(self.numbers)}', self.now)
        return Target(life)

    # The store --------------------------------------------------------------

    def write(self, known: RangeTable, changes: list[OwnershipChange]) -> None:
        """Send a conditional write, which may take effect late."""
        if not self.store_up or not changes:
            return
        rows = known.changed(changes)
        late = self.faults and self.chance(0.2)
        delay = self.rng.randrange(5000) if late else self.rng.randrange(30)
        self.later(delay, lambda: self.apply(known.version, rows))

    def apply(self, version: int, rows: list[Row]) -> None:
        """Apply a write if its condition still holds."""
        if self.table.version == version:
            self.table = RangeTable(SERVICE, Version(version + 1), rows)

    def read(self, node: NodeId) -> None:
        """Let a node read the table; the answer may come late."""
        lost = self.faults and self.chance(0.2)
        if not self.store_up or lost or node in self.cut:
            return
        machine, sent_at = self.machines[node], self.now
        found: list[RangeTable] = []
        self.later(self.rng.randrange(1, 20), lambda: found.append(self.table))

        self.later(
            self.rng.randrange(20, 400),
            partial(self.answer, node, machine, found, sent_at),
        )

    def answer(
        self,
        node: NodeId,
        machine: GrantMachine,
        found: list[RangeTable],
        sent_at: int,
    ) -> None:
        """Let a node take in what it has read."""
        if found and self.machines[node] is machine:
            machine.learn(found[0], self.now)
            machine.record_proof(found[0].version, sent_at)

    # A node's work ----------------------------------------------------------

    def step(self, node: NodeId) -> None:
        """Do what a node does every few ms."""
        slow = self.faults and self.chance(0.02)
        pause = self.rng.randrange(3000) if slow else STEP_MS
        self.later(pause, partial(self.step, node))
        if self.chance(0.1):
            self.read(node)
        machine = self.machines[node]
        if machine.table is None:
            return
        changes = [
            OwnershipChange(span, to, settled=True)
            for span, to in machine.given(self.now).items()
        ]
        changes.extend(
            OwnershipChange(row.span, node, settled=row.settled)
            for row in machine.stale()
        )
        changes.extend(
            OwnershipChange(span, node, settled=True)
            for span in machine.mergeable()
        )
        self.write(machine.table, changes)
        self.ask_words(machine)

    def ask_words(self, machine: GrantMachine) -> None:
        """Let a node ask the former owners of its waiting rows."""
        for row in machine.waiting(self.now):
            if row.previous not in self.machines:
                continue
            if self.faults and self.chance(0.3):
                continue
            former = self.machines[row.previous]
            word = former.release_confirmation(row.span, row.epoch, self.now)
            if word is not None:
                self.later(
                    self.rng.randrange(1, 300),
                    partial(machine.apply_confirmation, word),
                )

    # A target's reports -----------------------------------------------------

    def send(self, node: NodeId) -> None:
        """Send a report of a node's target."""
        target = self.targets[node]
        held = tuple(
            HeldSpan(span, fence)
            for span, (fence, until) in target.rows.items()
            if self.now < until
        )
        report = Report(target.life, held, tuple(target.released))
        late = self.faults and self.chance(0.1)
        there = self.rng.randrange(900) if late else self.rng.randrange(1, 10)
        self.later(there, partial(self.receive, node, target, self.now, report))
        busy = self.dropped(node, target)
        self.later(100 if busy else REPORT_MS, partial(self.send, node))

    def dropped(self, node: NodeId, target: Target) -> bool:
        """Return whether the target reports often, as it has dropped keys."""
        return bool(self.machines[node].leaving) and target.up

    def receive(
        self, node: NodeId, target: Target, sent_at: int, report: Report
    ) -> None:
        """Let a node take a report in, and its reply go back."""
        if target is not self.targets[node]:
            return
        reply = self.machines[node].on_report(report, self.now)
        back = self.rng.randrange(1, 10)
        if self.faults and self.chance(0.1):
            back = self.rng.randrange(900)
        self.later(back, lambda: self.take(target, sent_at, reply))

    def take(
        self, target: Target, sent_at: int, reply: GrantReply | None
    ) -> None:
        """Let a target take a reply in."""
        late = self.now - sent_at > REPORT_LIMIT_MS
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
        """Check that a fence is above those of all other targets."""
        for key in PROBES:
            if not span.first <= key <= span.last:
                continue
            seen = self.fences.setdefault(key, {})
            others = [
                known for life, known in seen.items() if life != target.life
            ]
            if others and fence <= max(others):
                raise OracleError(
                    f'{self.now}: {key} got fence {fence}, others {others}'
                )
            seen[target.life] = max(fence, seen.get(target.life, 0))
