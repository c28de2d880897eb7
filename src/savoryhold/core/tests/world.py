"""A small world for the ownership machine: store, network and clocks.

All faults are operations of the world: late and lost writes, lost replies,
cuts, pauses, restarts and outages.  `World.check` is the oracle.
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

__all__ = ['DoubleOwnerError', 'LostShardError', 'World', 'walk']

NOBODY: frozenset[int] = frozenset()
SERVICE = ServiceName('booking')
SHARDS = 4
PLACES = 4
RATE_BASE = 1000
RATES = (985, 1000, 1015, 1000)
HEAL_MS = 20_000
HEAL_STEP_MS = 50
STARVE_MS = 1300
WARM_ROUNDS = 20
ISOLATE_MS = 3500
RUN_STEP_MS = 100
FATE_LOST = 7
FATE_LATE = 8


class DoubleOwnerError(AssertionError):
    """Two nodes would send bytes for one shard."""


class LostShardError(AssertionError):
    """A shard that was assigned has no owner."""


@dataclasses.dataclass(slots=True)
class Node:
    """One process and its machine."""

    place: int
    machine: OwnershipMachine
    paused: bool = False
    dead: bool = False
    synced: bool = False


@dataclasses.dataclass(slots=True)
class Store:
    """The platform's objects, their versions and their history."""

    objects: dict[ObjectName, events.RecordSeen] = dataclasses.field(
        default_factory=dict
    )
    history: list[events.RecordSeen] = dataclasses.field(default_factory=list)
    revision: int = 0
    down: bool = False

    def apply(self, write: actions.WriteObject) -> Version | None:
        """Perform a conditional write; return its version if it held."""
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


class World:
    """Some nodes, the store and what is in flight between them."""

    def __init__(self) -> None:
        self.time = 1_000_000
        self.store = Store()
        self.cut: set[frozenset[int]] = set()
        self.jobs: list[Job] = []
        self.late: list[actions.WriteObject] = []
        self.replies: list[Reply] = []
        self.nodes: list[Node] = []
        self.epochs: dict[ShardKey, Epoch] = {}
        self._incarnations = 0
        for place in range(PLACES):
            self.nodes.append(self._new_node(place))

    def now(self, place: int) -> int:
        """Return a place's own clock, which drifts."""
        return self.time * RATES[place] // RATE_BASE

    def advance(self, delta_ms: int) -> None:
        """Let time pass."""
        self.time += delta_ms

    def tick(self, place: int) -> None:
        """Let a node look at its clock."""
        self._handle(self.nodes[place], events.Tick())

    def perform(self, number: int, fate: int) -> None:
        """Carry out something that a node asked for.

        Parameters
        ----------
        number : int
            Which job, modulo their count.
        fate : int
            0 to 5: as asked; 6: reply lost after it took effect; 7: lost;
            8: lost, and it may take effect later; 9: refused.
        """
        if not self.jobs:
            return
        node, machine, action = self.jobs.pop(number % len(self.jobs))
        if node.dead:
            return
        if isinstance(action, actions.WriteObject):
            self._write(machine, action, fate)
        elif isinstance(action, actions.SendHeartbeat):
            self._heartbeat(node, machine, action, fate)
        else:
            self._simple(node, machine, action, fate)

    def land_late(self, number: int) -> None:
        """Let a delayed write reach the store."""
        if self.late:
            self.store.apply(self.late.pop(number % len(self.late)))

    def deliver(self, number: int) -> None:
        """Deliver a reply that is on its way."""
        if not self.replies:
            return
        place = number % len(self.replies)
        machine, event = self.replies[place]
        node = self._node_of(machine)
        if node is None:
            self.replies.pop(place)
            return
        if node.paused:
            return
        self.replies.pop(place)
        self._handle(node, event)

    def news(self, place: int, number: int, *, newest: bool) -> None:
        """Tell a node of some version of some object."""
        if newest and self.store.objects:
            names = sorted(self.store.objects)
            seen = self.store.objects[names[number % len(names)]]
            self._handle(self.nodes[place], seen)
        elif self.store.history:
            seen = self.store.history[number % len(self.store.history)]
            self._handle(self.nodes[place], seen)

    def pause(self, place: int) -> None:
        """Freeze a node, or let it go on."""
        node = self.nodes[place]
        node.paused = not node.paused

    def restart(self, place: int) -> None:
        """End a process and start a new one at the same address."""
        self.nodes[place].dead = True
        self.nodes[place] = self._new_node(place)
        self.sync(place)

    def sync(self, place: int) -> None:
        """Let a node read the whole store once, as it does at its start."""
        node = self.nodes[place]
        if not self.store.down and not node.synced and not node.paused:
            node.synced = True
            self._snapshot(node.machine)

    def starve(self, place: int) -> None:
        """Lose a node's heartbeats and writes until it may be claimed.

        Claims that others send meanwhile are late.
        """
        alone = frozenset({place})
        self.run(STARVE_MS, deaf=alone, starved=alone, late=True)

    def isolate(self, one: int, two: int) -> None:
        """Cut two nodes off from all but each other, for some leases."""
        pair = frozenset({one, two})
        self.run(ISOLATE_MS, deaf=pair, starved=pair)

    def deafen(self, place: int) -> None:
        """Keep all news from a node for a while; all else works."""
        self.run(ISOLATE_MS, deaf=frozenset({place}))

    def run(
        self,
        delta_ms: int,
        *,
        deaf: frozenset[int],
        starved: frozenset[int] = NOBODY,
        late: bool = False,
    ) -> None:
        """Let time pass for all nodes, with some of them troubled.

        Parameters
        ----------
        delta_ms : int
            How long, in ms.
        deaf : frozenset of int
            Places that hear no news.
        starved : frozenset of int
            Places that reach only each other, and not the store.
        late : bool
            Whether writes to others' records are delayed.
        """
        for _ in range(delta_ms // RUN_STEP_MS):
            self.advance(RUN_STEP_MS)
            for node in tuple(self.nodes):
                if node.place not in deaf:
                    self._tell_newest(node)
                self.tick(node.place)
            for _ in tuple(self.jobs):
                self._run_job(starved, late=late)
            self._deliver_all()
            self.check()

    def beat(self, place: int) -> None:
        """Let a node's heartbeats and their answers pass."""
        self.tick(place)
        for job in list(self.jobs):
            node, _, action = job
            is_beat = isinstance(action, actions.SendHeartbeat)
            if is_beat and node.place == place:
                self.perform(self.jobs.index(job), 0)
        self._deliver_all()

    def _run_job(self, starved: frozenset[int], *, late: bool) -> None:
        node, machine, action = self.jobs[0]
        fate = 0
        if node.place in starved:
            fate = FATE_LOST
            if isinstance(action, actions.SendHeartbeat):
                guard = self._find(action.standby)
                near = guard is not None and guard.place in starved
                fate = 0 if near else FATE_LATE
        elif isinstance(action, actions.WriteObject) and late:
            is_own = action.name == f'node/{machine.node}'
            fate = 0 if is_own else FATE_LATE
        elif isinstance(action, actions.SendHeartbeat):
            guard = self._find(action.standby)
            far = guard is not None and guard.place in starved
            fate = FATE_LATE if far else 0
        self.perform(0, fate)

    def _deliver_all(self) -> None:
        progress = True
        while progress:
            progress = any(self._deliver_if_awake(one) for one in self.replies)

    def _deliver_if_awake(self, reply: Reply) -> bool:
        node = self._node_of(reply[0])
        if node is not None and node.paused:
            return False
        self.deliver(self.replies.index(reply))
        return True

    def toggle_cut(self, one: int, two: int) -> None:
        """Cut or mend the link between two nodes."""
        if one != two:
            self.cut ^= {frozenset({one, two})}

    def outage(self) -> None:
        """Take the store down, or bring it back."""
        self.store.down = not self.store.down

    def move(self, place: int, target: int, shard: int) -> None:
        """Ask for a planned move."""
        key = ShardKey(SERVICE, ShardId(shard % SHARDS))
        to = self.nodes[target].machine.node
        self._handle(self.nodes[place], events.MoveRequested(key, to))

    def leave(self, place: int) -> None:
        """Have a node leave."""
        self._handle(self.nodes[place], events.LeaveRequested())

    def check(self) -> None:
        """Compare the world with the oracle.

        Raises
        ------
        DoubleOwnerError
            If two nodes would send bytes for one shard now.
        LostShardError
            If the store's highest epoch of a shard went down, or two
            records hold it.
        """
        for num in range(SHARDS):
            key = ShardKey(SERVICE, ShardId(num))
            owners = self.owners(key)
            if len(owners) > 1:
                raise DoubleOwnerError(f'{key}: {owners} at {self.time}')
            self._check_epochs(key)

    def owners(self, key: ShardKey) -> list[NodeId]:
        """Return the nodes that would send bytes for a shard now."""
        return [
            node.machine.node
            for node in self.nodes
            if node.machine.may_send(key, self.now(node.place))
        ]

    def heal(self) -> None:
        """End all faults and let a fair time pass."""
        self.cut.clear()
        self.store.down = False
        while self.late:
            self.land_late(0)
        for node in self.nodes:
            node.paused = False
        for _ in range(HEAL_MS // HEAL_STEP_MS):
            self._fair_round()
            self.check()

    def check_served(self) -> None:
        """Check that each shard has an owner that admits, after `heal`.

        Raises
        ------
        LostShardError
            If a shard has no owner, or its owner takes no new request.
        """
        for num in range(SHARDS):
            key = ShardKey(SERVICE, ShardId(num))
            if not self.owners(key):
                raise LostShardError(f'{key} has no owner after healing')
            if not any(self._admits(node, key) for node in self.nodes):
                raise LostShardError(f'{key} admits nothing after healing')

    def _admits(self, node: Node, key: ShardKey) -> bool:
        return node.machine.may_admit(key, self.now(node.place))

    def settle(self, rounds: int) -> None:
        """Let some rounds pass without new faults."""
        for _ in range(rounds):
            self._fair_round()

    def _fair_round(self) -> None:
        self.advance(HEAL_STEP_MS)
        for node in list(self.nodes):
            self._tell_newest(node)
            self.sync(node.place)
            self.tick(node.place)
        while self.jobs or self.replies:
            self.perform(0, 0)
            self.deliver(0)

    def _tell_newest(self, node: Node) -> None:
        for present in tuple(self.store.objects.values()):
            self._handle(node, present)
        for seen in self.store.history:
            if seen.record is None and seen.name not in self.store.objects:
                self._handle(node, seen)

    def _new_node(self, place: int) -> Node:
        self._incarnations += 1
        profile = Profile(
            NodeId(f'n{place}.{self._incarnations}'),
            f'address-{place}',
            Region('sofia'),
            Zone(f'sofia-{place % 2}'),
            frozenset({SERVICE}),
        )
        machine = OwnershipMachine(profile, self.now(place))
        machine.handle(
            events.ServiceConfigured(SERVICE, SHARDS), self.now(place)
        )
        return Node(place, machine)

    def _node_of(self, machine: OwnershipMachine) -> Node | None:
        for node in self.nodes:
            if node.machine is machine:
                return node
        return None

    def _handle(self, node: Node, event: events.Event) -> None:
        if node.paused or node.dead:
            return
        found = node.machine.handle(event, self.now(node.place))
        for action in found:
            if isinstance(action, actions.Rejoin | actions.LeaveFinished):
                self.restart(node.place)
                return
            self.jobs.append((node, node.machine, action))

    def _write(
        self, machine: OwnershipMachine, write: actions.WriteObject, fate: int
    ) -> None:
        ended = functools.partial(events.WriteEnded, write.number, write.name)
        refused = ended(events.WriteOutcome.REFUSED)
        uncertain = ended(events.WriteOutcome.UNCERTAIN)
        if fate == 9:
            self.replies.append((machine, refused))
            return
        if fate == 8:
            self.late.append(write)
        if fate >= 7 or self.store.down:
            self.replies.append((machine, uncertain))
            return
        version = self.store.apply(write)
        if fate == 6:
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
        fate: int,
    ) -> None:
        guard = self._find(action.standby)
        if guard is None or guard.paused or fate >= 8:
            return
        if frozenset({node.place, guard.place}) in self.cut:
            return
        answer = guard.machine.heartbeat(
            machine.node, action.version, self.now(guard.place)
        )
        if fate >= 6:
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

    def _simple(
        self,
        node: Node,
        machine: OwnershipMachine,
        action: actions.Action,
        fate: int,
    ) -> None:
        if isinstance(action, actions.DrainShard):
            drained = events.ShardDrained(action.key)
            self.replies.append((machine, drained))
        elif isinstance(action, actions.HandOverLedger):
            taken = fate < 7 and self._reaches(node, action.target)
            self.replies.append(
                (
                    machine,
                    events.LedgerHandedOver(
                        action.name, action.target, action.keys, taken
                    ),
                )
            )
        elif self.store.down or fate >= 7:
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
        return frozenset({node.place, other.place}) not in self.cut

    def _find(self, name: NodeId) -> Node | None:
        for node in self.nodes:
            if node.machine.node == name:
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
            raise LostShardError(f'{key}: epoch fell to {highest}')
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
    world: World, source: random.Random, aim: int
) -> list[tuple[int, Callable[[], None]]]:
    place = source.randrange(PLACES)
    other = source.randrange(PLACES)
    number = source.randrange(1000)
    fate = source.randrange(10)
    return [
        (20, lambda: world.tick(place)),
        (30, lambda: world.perform(number, fate)),
        (30, lambda: world.deliver(number)),
        (12, lambda: world.advance(source.choice((10, 50, 100, 250, 600)))),
        (12, lambda: world.news(place, number, newest=True)),
        (4, lambda: world.news(place, number, newest=False)),
        (2, lambda: world.land_late(number)),
        (2, lambda: world.pause(place)),
        (1, lambda: world.restart(place)),
        (2, lambda: world.toggle_cut(place, other)),
        (1, world.outage),
        (4, lambda: world.move(place, other, number)),
        (1, lambda: world.leave(place)),
        (aim, lambda: world.starve(place)),
        (aim, lambda: world.isolate(place, other)),
        (aim, lambda: world.deafen(place)),
        (3 * aim, lambda: world.beat(place)),
        (3 * aim, lambda: world.land_late(number)),
    ]


def walk(seed: int, steps: int, aim: int = 1) -> World:
    """Run a random walk of the world with all faults, checked each step.

    Parameters
    ----------
    seed : int
        Seed of the walk.
    steps : int
        Number of operations.
    aim : int
        Weight of the operations that starve a holder and delay its claim.
    """
    source = random.Random(seed)
    world = World()
    world.settle(WARM_ROUNDS)
    for _ in range(steps):
        choices = _operations(world, source, aim)
        weights = [weight for weight, _ in choices]
        _, operation = source.choices(choices, weights)[0]
        operation()
        world.check()
    return world
