"""Simulation of ownership machines with their store, network and clocks.

All faults are operations of the simulation: delayed and lost writes, lost
replies, broken links, pauses, restarts and outages of the store.
`Simulation.check` is the oracle.
"""

import dataclasses
import functools
import random
from collections.abc import Callable

from savoryhold.core import actions, events
from savoryhold.core.ids import (
    Epoch,
    NodeId,
    ObjectName,
    Region,
    ServiceName,
    ShardId,
    ShardKey,
    Version,
    Zone,
)
from savoryhold.core.ownership import OwnershipMachine
from savoryhold.core.records import NodeRecord, Profile

__all__ = ['DoubleOwnerError', 'LostShardError', 'Simulation', 'random_walk']

NO_HOSTS: frozenset[int] = frozenset()
SERVICE = ServiceName('booking')
SHARDS = 4
HOSTS = 4
RATE_BASE = 1000
CLOCK_RATES = (985, 1000, 1015, 1000)
HEAL_MS = 20_000
HEAL_STEP_MS = 50
CLAIMABLE_MS = 1300
WARM_UP_ROUNDS = 20
ISOLATE_MS = 3500
RUN_STEP_MS = 100
FAULT_LOST = 7
FAULT_DELAYED = 8


class DoubleOwnerError(AssertionError):
    """Two nodes would send requests of the same shard."""


class LostShardError(AssertionError):
    """A shard has no owner that admits requests, or its epoch decreased."""


@dataclasses.dataclass(slots=True)
class Node:
    """One process on a host and its ownership machine."""

    host: int
    machine: OwnershipMachine
    paused: bool = False
    dead: bool = False
    synced: bool = False


@dataclasses.dataclass(slots=True)
class Store:
    """The platform's objects, and all versions of them in order."""

    objects: dict[ObjectName, events.RecordSeen] = dataclasses.field(
        default_factory=dict
    )
    history: list[events.RecordSeen] = dataclasses.field(default_factory=list)
    revision: int = 0
    down: bool = False

    def apply(self, write: actions.WriteObject) -> Version | None:
        """Perform a conditional write; return its version if it succeeded."""
        present = self.objects.get(write.name)
        version = present.version if present else None
        if version != write.expect:
            return None
        self.revision += 1
        seen = events.RecordSeen(
            write.name, Version(self.revision), write.record
        )
        if write.record is None:
            self.objects.pop(write.name)
        else:
            self.objects[write.name] = seen
        self.history.append(seen)
        return seen.version


Job = tuple[Node, OwnershipMachine, actions.Action]
Reply = tuple[OwnershipMachine, events.Event]


class Simulation:
    """One node on each host, the store, and messages in flight."""

    def __init__(self) -> None:
        self.time = 1_000_000
        self.store = Store()
        self.broken_links: set[frozenset[int]] = set()
        self.jobs: list[Job] = []
        self.delayed_writes: list[actions.WriteObject] = []
        self.replies: list[Reply] = []
        self.nodes: list[Node] = []
        self.epochs: dict[ShardKey, Epoch] = {}
        self._incarnations = 0
        for host in range(HOSTS):
            self.nodes.append(self._new_node(host))

    def now(self, host: int) -> int:
        """Return the time of a host's clock, which drifts."""
        return self.time * CLOCK_RATES[host] // RATE_BASE

    def advance(self, delta_ms: int) -> None:
        """Let time pass."""
        self.time += delta_ms

    def tick(self, host: int) -> None:
        """Send a clock tick to a node."""
        self._handle(self.nodes[host], events.Tick())

    def perform(self, number: int, fault: int) -> None:
        """Perform an action that a node requested, perhaps with a fault.

        Parameters
        ----------
        number : int
            Index of the action, modulo their count.
        fault : int
            0 to 5: none; 6: reply lost after it took effect; 7: lost;
            8: lost, but it may take effect later; 9: refused.
        """
        if not self.jobs:
            return
        node, machine, action = self.jobs.pop(number % len(self.jobs))
        if node.dead:
            return
        if isinstance(action, actions.WriteObject):
            self._write(machine, action, fault)
        elif isinstance(action, actions.SendHeartbeat):
            self._heartbeat(node, machine, action, fault)
        else:
            self._answer_action(node, machine, action, fault)

    def apply_delayed_write(self, number: int) -> None:
        """Let a delayed write reach the store."""
        if self.delayed_writes:
            self.store.apply(
                self.delayed_writes.pop(number % len(self.delayed_writes))
            )

    def deliver(self, number: int) -> None:
        """Deliver a reply that is in flight."""
        if not self.replies:
            return
        index = number % len(self.replies)
        machine, event = self.replies[index]
        node = self._node_of(machine)
        if node is None:
            self.replies.pop(index)
            return
        if node.paused:
            return
        self.replies.pop(index)
        self._handle(node, event)

    def show_version(self, host: int, number: int, *, newest: bool) -> None:
        """Show a node some version of some object."""
        if newest and self.store.objects:
            names = sorted(self.store.objects)
            seen = self.store.objects[names[number % len(names)]]
            self._handle(self.nodes[host], seen)
        elif self.store.history:
            seen = self.store.history[number % len(self.store.history)]
            self._handle(self.nodes[host], seen)

    def pause(self, host: int) -> None:
        """Pause a node, or let it continue."""
        node = self.nodes[host]
        node.paused = not node.paused

    def restart(self, host: int) -> None:
        """Stop a process and start a new one at the same address."""
        self.nodes[host].dead = True
        self.nodes[host] = self._new_node(host)
        self.sync(host)

    def sync(self, host: int) -> None:
        """Let a node read the whole store once, as it does when it starts."""
        node = self.nodes[host]
        if not self.store.down and not node.synced and not node.paused:
            node.synced = True
            self._snapshot(node.machine)

    def isolate_until_claimable(self, host: int) -> None:
        """Lose a node's heartbeats and writes until it may be claimed.

        Claims that others send meanwhile are delayed.
        """
        alone = frozenset({host})
        self.run(
            CLAIMABLE_MS,
            without_updates=alone,
            isolated=alone,
            delay_claims=True,
        )

    def isolate_pair(self, first: int, second: int) -> None:
        """Isolate two nodes from all but each other, for a few lease times."""
        pair = frozenset({first, second})
        self.run(ISOLATE_MS, without_updates=pair, isolated=pair)

    def withhold_updates(self, host: int) -> None:
        """Withhold record updates from a node; all else works."""
        self.run(ISOLATE_MS, without_updates=frozenset({host}))

    def run(
        self,
        delta_ms: int,
        *,
        without_updates: frozenset[int],
        isolated: frozenset[int] = NO_HOSTS,
        delay_claims: bool = False,
    ) -> None:
        """Let time pass for all nodes, with faults on some hosts.

        Parameters
        ----------
        delta_ms : int
            How long, in ms.
        without_updates : frozenset of int
            Hosts that receive no record updates.
        isolated : frozenset of int
            Hosts that reach only each other, and not the store.
        delay_claims : bool
            Whether writes to other nodes' records are delayed.
        """
        for _ in range(delta_ms // RUN_STEP_MS):
            self.advance(RUN_STEP_MS)
            for node in tuple(self.nodes):
                if node.host not in without_updates:
                    self._show_newest_versions(node)
                self.tick(node.host)
            for _ in tuple(self.jobs):
                self._run_job(isolated, delay_claims=delay_claims)
            self._deliver_all()
            self.check()

    def exchange_heartbeats(self, host: int) -> None:
        """Deliver a node's heartbeats and the replies to them."""
        self.tick(host)
        for job in list(self.jobs):
            node, _, action = job
            is_heartbeat = isinstance(action, actions.SendHeartbeat)
            if is_heartbeat and node.host == host:
                self.perform(self.jobs.index(job), 0)
        self._deliver_all()

    def _run_job(self, isolated: frozenset[int], *, delay_claims: bool) -> None:
        node, machine, action = self.jobs[0]
        fault = 0
        if node.host in isolated:
            fault = FAULT_LOST
            if isinstance(action, actions.SendHeartbeat):
                standby = self._find(action.standby)
                is_isolated_too = (
                    standby is not None and standby.host in isolated
                )
                fault = 0 if is_isolated_too else FAULT_DELAYED
        elif isinstance(action, actions.WriteObject) and delay_claims:
            is_own = action.name == f'node/{machine.node}'
            fault = 0 if is_own else FAULT_DELAYED
        elif isinstance(action, actions.SendHeartbeat):
            standby = self._find(action.standby)
            is_isolated = standby is not None and standby.host in isolated
            fault = FAULT_DELAYED if is_isolated else 0
        self.perform(0, fault)

    def _deliver_all(self) -> None:
        progress = True
        while progress:
            progress = any(
                self._deliver_if_awake(reply) for reply in self.replies
            )

    def _deliver_if_awake(self, reply: Reply) -> bool:
        node = self._node_of(reply[0])
        if node is not None and node.paused:
            return False
        self.deliver(self.replies.index(reply))
        return True

    def toggle_link(self, first: int, second: int) -> None:
        """Break or restore the link between two nodes."""
        if first != second:
            self.broken_links ^= {frozenset({first, second})}

    def toggle_store(self) -> None:
        """Stop the store, or start it again."""
        self.store.down = not self.store.down

    def move(self, host: int, target: int, shard: int) -> None:
        """Request a planned move."""
        key = ShardKey(SERVICE, ShardId(shard % SHARDS))
        new_owner = self.nodes[target].machine.node
        self._handle(self.nodes[host], events.MoveRequested(key, new_owner))

    def leave(self, host: int) -> None:
        """Request that a node leaves."""
        self._handle(self.nodes[host], events.LeaveRequested())

    def check(self) -> None:
        """Check the rules of the oracle.

        Raises
        ------
        DoubleOwnerError
            If two nodes would send requests of the same shard now.
        LostShardError
            If the highest epoch of a shard in the store has decreased.
        """
        for num in range(SHARDS):
            key = ShardKey(SERVICE, ShardId(num))
            owners = self.owners(key)
            if len(owners) > 1:
                raise DoubleOwnerError(f'{key}: {owners} at {self.time}')
            self._check_epochs(key)

    def owners(self, key: ShardKey) -> list[NodeId]:
        """Return the nodes that would send requests of a shard now."""
        return [
            node.machine.node
            for node in self.nodes
            if node.machine.may_send(key, self.now(node.host))
        ]

    def heal(self) -> None:
        """End all faults and let enough time pass to recover."""
        self.broken_links.clear()
        self.store.down = False
        while self.delayed_writes:
            self.apply_delayed_write(0)
        for node in self.nodes:
            node.paused = False
        for _ in range(HEAL_MS // HEAL_STEP_MS):
            self._faultless_round()
            self.check()

    def check_served(self) -> None:
        """Check, after `heal`, that each shard has an owner that admits it.

        Raises
        ------
        LostShardError
            If a shard has no owner, or its owner admits no new request.
        """
        for num in range(SHARDS):
            key = ShardKey(SERVICE, ShardId(num))
            if not self.owners(key):
                raise LostShardError(f'{key} has no owner after healing')
            if not any(self._admits(node, key) for node in self.nodes):
                raise LostShardError(f'{key} admits no request after healing')

    def _admits(self, node: Node, key: ShardKey) -> bool:
        return node.machine.may_admit(key, self.now(node.host))

    def run_without_faults(self, rounds: int) -> None:
        """Run some rounds without new faults."""
        for _ in range(rounds):
            self._faultless_round()

    def _faultless_round(self) -> None:
        self.advance(HEAL_STEP_MS)
        for node in list(self.nodes):
            self._show_newest_versions(node)
            self.sync(node.host)
            self.tick(node.host)
        while self.jobs or self.replies:
            self.perform(0, 0)
            self.deliver(0)

    def _show_newest_versions(self, node: Node) -> None:
        for present in tuple(self.store.objects.values()):
            self._handle(node, present)
        for seen in self.store.history:
            if seen.record is None and seen.name not in self.store.objects:
                self._handle(node, seen)

    def _new_node(self, host: int) -> Node:
        self._incarnations += 1
        profile = Profile(
            NodeId(f'n{host}.{self._incarnations}'),
            f'address-{host}',
            Region('sofia'),
            Zone(f'sofia-{host % 2}'),
            frozenset({SERVICE}),
        )
        machine = OwnershipMachine(profile, self.now(host))
        machine.handle(
            events.ServiceConfigured(SERVICE, SHARDS), self.now(host)
        )
        return Node(host, machine)

    def _node_of(self, machine: OwnershipMachine) -> Node | None:
        for node in self.nodes:
            if node.machine is machine:
                return node
        return None

    def _handle(self, node: Node, event: events.Event) -> None:
        if node.paused or node.dead:
            return
        found = node.machine.handle(event, self.now(node.host))
        for action in found:
            if isinstance(action, actions.Rejoin | actions.LeaveFinished):
                self.restart(node.host)
                return
            self.jobs.append((node, node.machine, action))

    def _write(
        self, machine: OwnershipMachine, write: actions.WriteObject, fault: int
    ) -> None:
        ended = functools.partial(events.WriteEnded, write.number, write.name)
        refused = ended(events.WriteOutcome.REFUSED)
        uncertain = ended(events.WriteOutcome.UNCERTAIN)
        if fault == 9:
            self.replies.append((machine, refused))
            return
        if fault == 8:
            self.delayed_writes.append(write)
        if fault >= 7 or self.store.down:
            self.replies.append((machine, uncertain))
            return
        version = self.store.apply(write)
        if fault == 6:
            self.replies.append((machine, uncertain))
            return
        outcome = events.WriteOutcome.CONFLICT
        if version is not None:
            outcome = events.WriteOutcome.DONE
        self.replies.append((machine, ended(outcome, version or Version(0))))

    def _heartbeat(
        self,
        node: Node,
        machine: OwnershipMachine,
        action: actions.SendHeartbeat,
        fault: int,
    ) -> None:
        standby = self._find(action.standby)
        if standby is None or standby.paused or fault >= 8:
            return
        if frozenset({node.host, standby.host}) in self.broken_links:
            return
        answer = standby.machine.heartbeat(
            machine.node, action.version, self.now(standby.host)
        )
        if fault >= 6:
            return
        if answer.promised:
            promise = events.HeartbeatAnswered(action.standby, action.sent_at)
            self.replies.append((machine, promise))
        elif answer.newer is not None:
            newer = answer.newer
            self.replies.append(
                (
                    machine,
                    events.RecordSeen(newer.name, newer.version, newer.record),
                )
            )

    def _answer_action(
        self,
        node: Node,
        machine: OwnershipMachine,
        action: actions.Action,
        fault: int,
    ) -> None:
        if isinstance(action, actions.DrainShard):
            drained = events.ShardDrained(action.key)
            self.replies.append((machine, drained))
        elif isinstance(action, actions.HandOverLedger):
            taken = fault < 7 and self._reaches(node, action.target)
            self.replies.append(
                (
                    machine,
                    events.LedgerHandedOver(
                        action.name, action.target, action.keys, taken
                    ),
                )
            )
        elif self.store.down or fault >= 7:
            return
        else:
            self._answer_read(machine, action)

    def _answer_read(
        self, machine: OwnershipMachine, action: actions.Action
    ) -> None:
        if isinstance(action, actions.ReadObject):
            self.replies.append((machine, self._read(action.name)))
        elif isinstance(action, actions.TakeSnapshot):
            self._snapshot(machine)

    def _reaches(self, node: Node, target: NodeId) -> bool:
        other = self._find(target)
        if other is None or other.paused:
            return False
        return frozenset({node.host, other.host}) not in self.broken_links

    def _find(self, node_id: NodeId) -> Node | None:
        for node in self.nodes:
            if node.machine.node == node_id:
                return node
        return None

    def _read(self, name: ObjectName) -> events.RecordSeen:
        missing = events.RecordSeen(name, Version(self.store.revision), None)
        return self.store.objects.get(name, missing)

    def _snapshot(self, machine: OwnershipMachine) -> None:
        seen = tuple(self.store.objects.values())
        self.replies.append((machine, events.SnapshotSeen(seen)))

    def _check_epochs(self, key: ShardKey) -> None:
        named = [
            epoch
            for seen in self.store.objects.values()
            if seen.record is not None
            for epoch in _epochs(seen.record, key)
        ]
        if not named and key not in self.epochs:
            return
        highest = max(named, default=Epoch(0))
        if highest < self.epochs.get(key, Epoch(0)):
            raise LostShardError(f'{key}: epoch decreased to {highest}')
        self.epochs[key] = highest


def _epochs(record: NodeRecord, key: ShardKey) -> list[Epoch]:
    found = []
    owned = record.owned.get(key)
    if owned is not None:
        found.append(owned)
    grant = record.outgoing.get(key)
    if grant is not None:
        found.append(grant.epoch)
    return found


def _operations(
    simulation: Simulation, rng: random.Random, fault_weight: int
) -> list[tuple[int, Callable[[], None]]]:
    host = rng.randrange(HOSTS)
    other = rng.randrange(HOSTS)
    number = rng.randrange(1000)
    fault = rng.randrange(10)
    return [
        (20, lambda: simulation.tick(host)),
        (30, lambda: simulation.perform(number, fault)),
        (30, lambda: simulation.deliver(number)),
        (12, lambda: simulation.advance(rng.choice((10, 50, 100, 250, 600)))),
        (12, lambda: simulation.show_version(host, number, newest=True)),
        (4, lambda: simulation.show_version(host, number, newest=False)),
        (2, lambda: simulation.apply_delayed_write(number)),
        (2, lambda: simulation.pause(host)),
        (1, lambda: simulation.restart(host)),
        (2, lambda: simulation.toggle_link(host, other)),
        (1, simulation.toggle_store),
        (4, lambda: simulation.move(host, other, number)),
        (1, lambda: simulation.leave(host)),
        (fault_weight, lambda: simulation.isolate_until_claimable(host)),
        (fault_weight, lambda: simulation.isolate_pair(host, other)),
        (fault_weight, lambda: simulation.withhold_updates(host)),
        (3 * fault_weight, lambda: simulation.exchange_heartbeats(host)),
        (3 * fault_weight, lambda: simulation.apply_delayed_write(number)),
    ]


def random_walk(seed: int, steps: int, fault_weight: int = 1) -> Simulation:
    """Run random operations with all faults, and check after each one.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    steps : int
        Number of operations.
    fault_weight : int
        Weight of the operations that isolate a holder and delay its claim.
    """
    rng = random.Random(seed)
    simulation = Simulation()
    simulation.run_without_faults(WARM_UP_ROUNDS)
    for _ in range(steps):
        choices = _operations(simulation, rng, fault_weight)
        weights = [weight for weight, _ in choices]
        _, operation = rng.choices(choices, weights)[0]
        operation()
        simulation.check()
    return simulation
