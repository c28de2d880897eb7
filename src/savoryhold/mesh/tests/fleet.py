"""A fleet of nodes in one process, in virtual time and without sockets.

The ingress, peer and owner tasks are the real ones; callers and targets are
stubs, and so are links unless `Fleet` is told to use real ones.  The loop's
clock jumps to the next timer, so that no test waits in real time.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId, Region, ServiceName, Zone
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.ingress import IngressTask
from savoryhold.mesh.interface import TargetReport
from savoryhold.mesh.members import MemberTable, NodeStatus
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.place_rules import PlaceRules
from savoryhold.mesh.places import Place
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.mesh.tests.simulated_network import (
    NetworkPath,
    SimulatedNetwork,
    SimulatedProcess,
)
from savoryhold.mesh.tests.stub_links import StubLinkPool
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.peer import LinkStream, PeerPool, messages
from savoryhold.ranges import Report, TargetLife
from savoryhold.traffic import (
    CallerLimits,
    MeshConfig,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
    WeightedService,
)
from savoryhold.wire import ClientAnswer, Exchange, HeaderNames, HttpRequest

__all__ = [
    'CONFIG',
    'Caller',
    'Fleet',
    'LoopClock',
    'Target',
    'VirtualTimeCase',
    'mesh_settings',
    'target_report',
]

MS_PER_SECOND = 1000
NAMES = HeaderNames(answer_signature=b'', call_id_separator='.')
RETRY_RATIO = 0.2
RETRY_SLACK = 45
RETRY_WINDOW_MS = 10_000
SLOTS = 12
STATUS_MS = 200
PEER_PORT = 1
PLACE = Place(Zone('z'), Region('r'))
SECRET = b'a secret for tests'
DESK = ServiceName('desk')
FILES = ServiceName('files')


def _route(
    name: str, service: ServiceName, kind: RouteKind = RouteKind.IDEMPOTENT
) -> Route:
    parts = (WeightedService(service, 1),)
    return Route(name, 'h', f'/{name}/', kind, 5000, 500, 3, 2, parts)


# Only runs of `desk` make nested calls; answers of `plain` are never lost.
ROUTES = (
    _route('desk', DESK),
    _route('plain', DESK),
    _route('files', FILES),
    _route('book', FILES, RouteKind.NON_IDEMPOTENT),
)
SERVICE_OF = {route.prefix: route.parts[0].service for route in ROUTES}
CONFIG = MeshConfig(
    1,
    ROUTES,
    (ServiceInfo(DESK, keyed=False), ServiceInfo(FILES, keyed=False)),
    CallerLimits(),
)


class Caller:
    """Stub of the exchange with the caller of one request."""

    def __init__(self, req: HttpRequest) -> None:
        self.req = req
        self.on_disconnect: Callable[[], None] | None = None
        self.status: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )

    def reply(
        self,
        status: int,
        head: bytes = b'',
        body: bytes = b'',
        *,
        sized: bool = True,
    ) -> None:
        """Record the status of the answer."""
        if not self.status.done():
            self.status.set_result(status)

    def disconnect(self) -> None:
        """Disconnect before the answer has come."""
        if self.on_disconnect is not None and not self.status.done():
            self.on_disconnect()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request that was sent by a caller or arrived at a target."""

    at: int
    service: ServiceName
    request: str


class Target:
    """A stub target whose behaviour a test sets.

    Parameters
    ----------
    service : ServiceName
        Service that it runs.
    fleet : Fleet
        Fleet that records its requests.
    """

    def __init__(self, service: ServiceName, fleet: 'Fleet') -> None:
        self.service = service
        self.work_ms = 40
        self.reject_rate = 0.0
        self.loss_rate = 0.0
        self.nested_call_rate = 0.0
        self.dial_ms = 0
        self.refused = 0
        self.arrived = 0
        self.emptied_at: int | None = None
        self.received: list[str] = []
        self.node: Node | None = None
        self._fleet = fleet

    def close(self) -> None:
        """Satisfy the interface of a pool of connections."""

    async def ask(
        self,
        request: bytes,
        timeout_ms: float,
        answer_matches: Any = None,
        on_sent: Callable[[], None] | None = None,
        request_id: bytes = b'',
        body: bytes = b'',
    ) -> ClientAnswer:
        """Run a request, in place of a pool of connections to the target."""
        if self.dial_ms:
            await asyncio.sleep(self.dial_ms / MS_PER_SECOND)
        if on_sent is not None:
            on_sent()
        rng = self._fleet.rng
        name = _header_value(request, NAMES.request_id)
        self.arrived += 1
        self._fleet.record_arrival(self.service, name)
        self.received.append(name)
        if rng.random() < self.reject_rate:
            return _answer(503, NAMES.not_run.lower())
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                status = await self._work(name, request)
        except asyncio.CancelledError:
            self._fleet.stopped[name] = self._fleet.clock.now()
            raise
        if rng.random() < self.loss_rate and b' /plain/' not in request:
            raise LinkError('connection reset', sent=True)
        return _answer(status)

    async def _work(self, name: str, request: bytes) -> int:
        self._fleet.running.add(name)
        try:
            await asyncio.sleep(self.work_ms / MS_PER_SECOND)
            makes_nested_call = self._fleet.rng.random() < self.nested_call_rate
            if (
                makes_nested_call
                and b' /desk/' in request
                and self.node is not None
            ):
                called = f'{name}.{self._fleet.next_number()}'
                caller = self.node.ask('/files/', called)
                return 200 if await caller.status == 200 else 500
        finally:
            self._fleet.running.discard(name)
        return 200


class Node:
    """The real tasks of one node, and the stub of its target."""

    def __init__(self, fleet: 'Fleet', index: int, target: Target) -> None:
        self.name = NodeId(f'n{index}')
        self.address = (
            f'10.0.0.{index}:{PEER_PORT}' if fleet.real_links else self.name
        )
        self.target = target
        self.fleet = fleet
        self.place = fleet.places.get(index, PLACE)
        target.node = self
        self.start()

    def start(self) -> None:
        """Start the process, or restart it with no memory of the last run."""
        fleet = self.fleet
        self.process = SimulatedProcess(
            self.address.partition(':')[0], fleet.network
        )
        settings = dataclasses.replace(
            mesh_settings(
                self.name, self.target.service, advertised=self.address
            ),
            zone=self.place.zone,
            region=self.place.region,
        )
        log = get_log(node=self.name)
        self.members = MemberTable(self.name, settings.region, settings.zone)
        self.owner = OwnerTask(self.name, NAMES, fleet.clock, log, 1000, 1000)
        self.owner.on_report(target_report(self.name, self.target.service))
        self.owner.target.pool = cast(Any, self.target)
        self.pool = self._links()
        self.configs = SimpleNamespace(
            routes=RouteTable(fleet.config), version=1
        )
        self.places = PlaceRules(self.place)
        self.places.routes = lambda: self.configs.routes
        self.owner.check_place = self.places.check_local
        context = NodeContext(
            settings,
            self.members,
            self.owner,
            cast(Any, SimpleNamespace(tables={}, machines={})),
            cast(Any, self.configs),
            self.pool,
            fleet.clock,
            log,
            self.places,
        )
        self.peers = PeerTask(context)
        self.ingress = IngressTask(context, NAMES, Telemetry(fleet.clock, log))
        self.owner.may_log = bool
        if fleet.real_links:
            self.process.spawn(self.pool.probe_silent_links())
            self.process.spawn(self.owner.tick())

    async def on_peer(
        self, call: LinkStream, message: messages.Message
    ) -> None:
        """Serve a call of another node."""
        await self.peers.handle(call, message)

    def ask(
        self,
        path: str,
        name: str,
        deadline_ms: int = 1500,
        body: bytes = b'',
    ) -> Caller:
        """Send a caller's request to this node."""
        fields = {
            b'host': b'h',
            NAMES.request_id.lower(): name.encode(),
            NAMES.deadline.lower(): b'%d' % deadline_ms,
        }
        now = self.fleet.clock.now()
        method = b'POST' if path.startswith('/book/') else b'GET'
        headers = list(fields.items())
        caller = Caller(
            HttpRequest(method, path.encode(), headers, body, now, fields)
        )
        self.fleet.record_request(path, name)
        self.process.run(self.ingress.handle, cast(Exchange, caller))
        return caller

    def _links(self) -> PeerPool:
        if not self.fleet.real_links:
            return cast(PeerPool, StubLinkPool(self.fleet, self.name))
        pool = PeerPool(self.name, SECRET, self.on_peer)
        self.fleet.network.listen(self.process, PEER_PORT, pool.accept)
        return pool


class Fleet:
    """Nodes of two services, and the requests that their targets saw.

    Parameters
    ----------
    nodes : int
        Number of nodes; each third runs ``files``, the others ``desk``.
    seed : int
        Seed of all random choices.
    real_links : bool
        Whether nodes have real links, over a `SimulatedNetwork`.
    places : dict of int to Place
        Places of nodes, by number; all others are in one zone.
    config : MeshConfig
        The configuration in force.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        *,
        real_links: bool = False,
        places: dict[int, Place] | None = None,
        config: MeshConfig = CONFIG,
    ) -> None:
        self.places = places or {}
        self.real_links = real_links
        self.config = config
        self.network = SimulatedNetwork()
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.arrivals: list[RequestRecord] = []
        self.requests: list[RequestRecord] = []
        self.running: set[str] = set()
        self.stopped: dict[str, int] = {}
        self.by_name: dict[NodeId, Node] = {}
        self.is_partitioned = False
        self.relay_ms = 0
        self._numbers = 0
        for index in range(nodes):
            service = FILES if index % 3 == 2 else DESK
            node = Node(self, index, Target(service, self))
            self.by_name[node.name] = node
        self.nodes = list(self.by_name.values())
        self.gossip()
        self._gossip_task = (
            asyncio.ensure_future(self._gossip_forever())
            if real_links
            else None
        )

    async def close(self) -> None:
        """Kill all processes."""
        if self._gossip_task is not None:
            self._gossip_task.cancel()
        for node in self.nodes:
            node.process.kill()
        await asyncio.sleep(0)

    async def _gossip_forever(self) -> None:
        while True:
            await asyncio.sleep(STATUS_MS / MS_PER_SECOND)
            self.gossip()

    def targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service."""
        return [
            node.target for node in self.nodes if node.target.service == service
        ]

    def path(self, first: int, second: int) -> NetworkPath:
        """Return the network path between two nodes with real links."""
        hosts = (
            self.nodes[first].process.host,
            self.nodes[second].process.host,
        )
        return self.network.path(*hosts)

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._numbers += 1
        return self._numbers

    def record_arrival(self, service: ServiceName, name: str) -> None:
        """Record a request that arrived at a target."""
        self.arrivals.append(RequestRecord(self.clock.now(), service, name))

    def record_request(self, path: str, name: str) -> None:
        """Record a request of a caller or of a target."""
        service = SERVICE_OF[path]
        self.requests.append(RequestRecord(self.clock.now(), service, name))

    def gossip(self) -> None:
        """Give each live node the status of all live nodes."""
        now = self.clock.now()
        live = [node for node in self.nodes if not node.process.has_exited]
        for node in [] if self.is_partitioned else live:
            node.members.registry_loaded = True
            for other in live:
                node.members.learn(_status(other), now)

    async def run_load(self, seconds: float, rates: dict[str, float]) -> None:
        """Let callers send requests to random nodes.

        Parameters
        ----------
        seconds : float
            Duration.
        rates : dict of str to float
            Requests per second by path.
        """
        end = self.clock.now() + seconds * MS_PER_SECOND
        total = sum(rates.values())
        paths, weights = list(rates), list(rates.values())
        gossiped_at = self.clock.now()
        while self.clock.now() < end:
            await asyncio.sleep(self.rng.expovariate(total))
            if self.clock.now() - gossiped_at >= STATUS_MS:
                gossiped_at = self.clock.now()
                self.gossip()
            path = self.rng.choices(paths, weights)[0]
            self.rng.choice(self.nodes).ask(path, f'r{self.next_number()}')

    def excess_repeats(self, service: ServiceName) -> float:
        """Return the excess of repeats over the budget in the worst window.

        Notes
        -----
        A repeat is an arrival after the first of its request, or a
        nested call of a repeated run.  The budget is a ratio of the requests in
        the window, or in one that begins half a window or a whole one
        earlier if that has more, plus a slack for the fleet.
        """
        repeats = self._repeat_times(service)
        requested = [
            record.at for record in self.requests if record.service == service
        ]
        worst = float('-inf')
        for start in repeats:
            count = _count_in_window(repeats, start)
            requests = max(
                _count_in_window(requested, start - back)
                for back in (0, RETRY_WINDOW_MS // 2, RETRY_WINDOW_MS)
            )
            worst = max(worst, count - RETRY_RATIO * requests - RETRY_SLACK)
        return worst

    def _repeat_times(self, service: ServiceName) -> list[int]:
        seen: Counter[str] = Counter()
        repeated: dict[str, int] = {}
        found = []
        for record in self.arrivals:
            seen[record.request] += 1
            parent = record.request.rpartition('.')[0]
            is_repeat = seen[record.request] > 1 or parent in repeated
            if is_repeat:
                repeated[record.request] = record.at
            if is_repeat and record.service == service:
                found.append(record.at)
        return found


def _count_in_window(times: list[int], start: int) -> int:
    return sum(1 for at in times if start <= at < start + RETRY_WINDOW_MS)


def _header_value(request: bytes, name: bytes) -> str:
    for line in request.split(b'\r\n'):
        found, _, text = line.partition(b': ')
        if found.lower() == name.lower():
            return text.decode()
    return ''


def _answer(status: int, flag: bytes = b'') -> ClientAnswer:
    fields = {flag: b'1'} if flag else {}
    return ClientAnswer(status, list(fields.items()), fields, b'')


def target_report(
    name: NodeId, service: ServiceName, slots: int = SLOTS
) -> TargetReport:
    """Return a report of the target of a node."""
    keys = Report(TargetLife(f't-{name}', 1), (), ())
    return TargetReport(keys, service, '127.0.0.1:1', slots, False, 1)


def _status(node: Node) -> NodeStatus:
    return NodeStatus(
        node.name,
        node.address,
        node.target.service,
        node.place.zone,
        node.place.region,
        SLOTS,
        node.owner.queue.backlog_ms(node.fleet.clock.now()),
        0.0,
        0,
        True,
        False,
        1,
        frozenset(),
    )


def mesh_settings(
    name: str,
    service: str,
    grace_ms: int = 2000,
    advertised: str = '127.0.0.1:1',
    target: str = '',
) -> MeshSettings:
    """Return the settings of a node that listens nowhere."""
    return MeshSettings(
        node=NodeId(name),
        zone=Zone('z'),
        region=Region('r'),
        service=ServiceName(service),
        callers='127.0.0.1:1',
        reports='127.0.0.1:1',
        ready='127.0.0.1:1',
        peers='127.0.0.1:1',
        metrics='',
        advertised=advertised,
        store='127.0.0.1:1',
        report_ms=1000,
        drain_ms=1000,
        grace_ms=grace_ms,
        hold_max_ms=10_000,
        retry_ratio=RETRY_RATIO,
        retry_slack=RETRY_SLACK,
        retry_window_ms=RETRY_WINDOW_MS,
        target=target,
    )
