"""A fleet of any size that exchanges statuses, in virtual time.

Only membership is real: statuses, digests and broadcasts.  Every message is
encoded, counted and delivered after the delay between the two places, unless
one of its ends has stopped or is cut off.
"""

import asyncio
import dataclasses
from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.core.transit import TransitDelay
from savoryhold.mesh.config import ConfigCheck, ConfigTask
from savoryhold.mesh.losses import LossDetector
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.places import Place
from savoryhold.mesh.tests.fleet import mesh_settings
from savoryhold.mesh.tests.virtual_time import LoopClock
from savoryhold.peer import messages

__all__ = ['FleetModel', 'ModelNode']

MS_PER_SECOND = 1000
REGIONS = (Region('north'), Region('south'))
ZONES = 8
SERVICE = 'desk'
ZONE_DELAY_MS = 1.4
REGION_DELAY_MS = 8.0
START_SPREAD_MS = 700


class SilentLog:
    """A log that keeps nothing: large fleets log a line a pair of nodes."""

    def info(self, *args: Any, **fields: Any) -> None:  # noqa: WPS110
        """Drop a line."""

    def warning(self, *args: Any, **fields: Any) -> None:
        """Drop a warning."""


class ModelPeerTask(PeerTask):
    """Sends messages over the model of the network."""

    model: 'FleetModel'

    def _send_soon(self, address: str, message: messages.Message) -> None:
        self.model.send(self._settings.node, address, message)


class ModelNode:
    """Membership of one node."""

    def __init__(self, model: 'FleetModel', name: NodeId, place: Place) -> None:
        self.name = name
        self.place = place
        self.address = address_of(name)
        self.is_running = True
        self.is_cut = False
        clock = model.clock
        settings = dataclasses.replace(
            mesh_settings(name, SERVICE, advertised=self.address),
            zone=place.zone,
            region=place.region,
        )
        self.members = MemberTable(name, place.region, place.zone, clock.now())
        self.losses = LossDetector(self.members)
        queue = SimpleNamespace(work_ms=lambda now: 0.0)
        figures = {'slots': 2, 'wait_ms': 25.5}
        owner = SimpleNamespace(
            target=SimpleNamespace(report=None, is_ready=lambda: True),
            queue=queue,
            advertised=lambda: figures,
            demand=lambda now: 1.25,
        )
        tables = SimpleNamespace(
            life=hash(name) & 0xFFFF, tables={}, owned_key_count=lambda: 555
        )
        self.context = NodeContext(
            settings,
            self.members,
            cast(Any, owner),
            cast(Any, tables),
            model.make_configs(name),
            cast(Any, None),
            clock,
            cast(Any, SilentLog()),
        )
        self.peers = ModelPeerTask(self.context)
        self.peers.model = model
        self.tasks: list[asyncio.Task[None]] = []
        self._calls: dict[NodeId, Any] = {}

    def start(self) -> None:
        """Begin to send statuses and digests."""
        self.members.registry_loaded = True
        self.peers.introduce()
        self.tasks = [
            asyncio.ensure_future(self.peers.run()),
            asyncio.ensure_future(self.peers.digests.run()),
        ]

    def stop(self) -> None:
        """End the process without a word."""
        self.is_running = False
        for task in self.tasks:
            task.cancel()

    def call_from(self, sender: NodeId) -> Any:
        """Return the call on which a message of a node arrives."""
        if sender not in self._calls:
            link = SimpleNamespace(transit=TransitDelay())
            self._calls[sender] = SimpleNamespace(peer=sender, link=link)
        return self._calls[sender]


class FleetModel:
    """Nodes in eight zones of two regions, and the messages between them.

    Parameters
    ----------
    size : int
        Number of nodes.
    """

    def __init__(self, size: int) -> None:
        self.clock = LoopClock()
        self.sent: Counter[NodeId] = Counter()
        self.received: Counter[NodeId] = Counter()
        self.bytes_between_regions = 0
        self.nodes: dict[NodeId, ModelNode] = {}
        for number in range(size):
            zone = number % ZONES
            place = Place(Zone(f'z{zone}'), REGIONS[zone % len(REGIONS)])
            node = ModelNode(self, NodeId(f'n{number:04}'), place)
            self.nodes[node.name] = node
        self._by_address = {one.address: one for one in self.nodes.values()}

    def make_configs(self, name: NodeId) -> ConfigTask:
        """Return what a node knows of the configuration."""
        stub = SimpleNamespace(
            version=1,
            store_reachable=True,
            checked=ConfigCheck(0, self.clock.now()),
            follower=SimpleNamespace(on_announced=lambda *given: None),
        )
        return cast(ConfigTask, stub)

    async def start(self) -> None:
        """Start all nodes within a moment, each knowing those before it."""
        started: list[ModelNode] = []
        pause_s = START_SPREAD_MS / len(self.nodes) / MS_PER_SECOND
        for node in self.nodes.values():
            for other in started:
                node.members.add_address(other.name, other.address, other.place)
            started.append(node)
            node.start()
            await asyncio.sleep(pause_s)

    def stop(self) -> None:
        """End all nodes."""
        for node in self.nodes.values():
            node.stop()

    def reset_counts(self) -> None:
        """Count messages and bytes from now on."""
        self.sent.clear()
        self.received.clear()
        self.bytes_between_regions = 0

    def send(
        self, sender: NodeId, address: str, message: messages.Message
    ) -> None:
        """Deliver a message after the delay between two places."""
        source, target = self.nodes[sender], self._by_address[address]
        payload = messages.encode(message)
        self.sent[sender] += 1
        is_remote = source.place.region != target.place.region
        if is_remote:
            self.bytes_between_regions += len(payload)
        delay_ms = REGION_DELAY_MS if is_remote else ZONE_DELAY_MS
        if source.is_cut or target.is_cut or not source.is_running:
            return
        asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND,
            self._deliver,
            source,
            target,
            (messages.code_of(message), payload),
        )

    def _deliver(
        self, source: ModelNode, target: ModelNode, frame: tuple[int, bytes]
    ) -> None:
        if not target.is_running or target.is_cut:
            return
        self.received[target.name] += 1
        call = target.call_from(source.name)
        work = target.peers.handle(call, messages.decode(*frame))
        # One-way messages are processed in one step, without a task.
        try:
            work.send(None)
        except StopIteration:
            return
        raise AssertionError('a one-way message must not wait')


def address_of(name: NodeId) -> str:
    """Return the address of a node, which its number determines."""
    number = int(name[1:])
    return f'10.0.{number // 250}.{number % 250 + 1}:1'
