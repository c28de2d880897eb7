"""A fleet in one process, in virtual time and without a network.

Ingress, peers and owners are the real tasks; callers and targets are
stand-ins, and so are links unless a fleet is wired.  A loop whose clock jumps
to the next timer replaces real waiting.
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
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.mesh.tests.stub_links import QuickLinks
from savoryhold.mesh.tests.virtual_time import LoopClock, VirtualTimeCase
from savoryhold.mesh.tests.simulated_network import Life, Path, Wires
from savoryhold.peer import LinkStream, PeerPool, messages
from savoryhold.ranges import Report, TargetLife
from savoryhold.traffic import (
    CallerLimits,
    MeshConfig,
    WeightedService,
    Route,
    RouteKind,
    RouteTable,
    ServiceInfo,
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
RATIO = 0.2
SLACK = 45
WINDOW_MS = 10_000
SLOTS = 12
STATUS_MS = 200
PEER_PORT = 1
SECRET = b'a secret for tests'
DESK = ServiceName('desk')
FILES = ServiceName('files')


def _route(
    name: str, service: ServiceName, kind: RouteKind = RouteKind.IDEMPOTENT
) -> Route:
    parts = (WeightedService(service, 1),)
    return Route(name, 'h', f'/{name}/', kind, 5000, 500, 3, 2, parts)


# Only runs of the first route make calls; answers of `plain` are not lost.
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
    """The caller's end of one request."""

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
        """Take the answer."""
        if not self.status.done():
            self.status.set_result(status)

    def leave(self) -> None:
        """Close the connection."""
        if self.on_disconnect is not None and not self.status.done():
            self.on_disconnect()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a target."""

    at: int
    service: ServiceName
    request: str


class Target:
    """A server with behaviour that a test sets.

    Parameters
    ----------
    service : ServiceName
        What it runs.
    fleet : Fleet
        Where it records what arrives.
    """

    def __init__(self, service: ServiceName, fleet: 'Fleet') -> None:
        self.service = service
        self.work_ms = 40
        self.rejects = 0.0
        self.loses = 0.0
        self.calls = 0.0
        self.dial_ms = 0
        self.refused = 0
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
    ) -> ClientAnswer:
        """Take a request as a pool of connections to the target does."""
        if self.dial_ms:
            await asyncio.sleep(self.dial_ms / MS_PER_SECOND)
        if on_sent is not None:
            on_sent()
        rng = self._fleet.rng
        name = _field(request, NAMES.request_id)
        self._fleet.arrived(self.service, name)
        if rng.random() < self.rejects:
            return _answer(503, NAMES.not_run.lower())
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                status = await self._work(name, request)
        except asyncio.CancelledError:
            self._fleet.stopped[name] = self._fleet.clock.now()
            raise
        if rng.random() < self.loses and b' /plain/' not in request:
            raise LinkError('connection reset', sent=True)
        return _answer(status)

    async def _work(self, name: str, request: bytes) -> int:
        self._fleet.running.add(name)
        try:
            await asyncio.sleep(self.work_ms / MS_PER_SECOND)
            calls = self._fleet.rng.random() < self.calls
            if calls and b' /desk/' in request and self.node is not None:
                called = f'{name}.{self._fleet.number()}'
                caller = self.node.ask('/files/', called)
                return 200 if await caller.status == 200 else 500
        finally:
            self._fleet.running.discard(name)
        return 200


class Node:
    """The real tasks of one node beside a target."""

    def __init__(self, fleet: 'Fleet', index: int, target: Target) -> None:
        self.name = NodeId(f'n{index}')
        self.address = (
            f'10.0.0.{index}:{PEER_PORT}' if fleet.wired else self.name
        )
        self.target = target
        self.fleet = fleet
        target.node = self
        self.start()

    def start(self) -> None:
        """Begin a new life of the process, which knows nothing."""
        fleet = self.fleet
        self.life = Life(self.address.partition(':')[0], fleet.wires)
        settings = mesh_settings(
            self.name, self.target.service, advertised=self.address
        )
        log = get_log(node=self.name)
        self.members = MemberTable(self.name, settings.region)
        self.owner = OwnerTask(self.name, NAMES, fleet.clock, log, 1000, 1000)
        self.owner.on_report(target_report(self.name, self.target.service))
        self.owner.pool = cast(Any, self.target)
        self.pool = self._links()
        parts = NodeContext(
            settings,
            self.members,
            self.owner,
            cast(Any, SimpleNamespace(tables={}, machines={})),
            cast(Any, SimpleNamespace(routes=RouteTable(CONFIG))),
            self.pool,
            fleet.clock,
            log,
        )
        self.peers = PeerTask(parts)
        self.ingress = IngressTask(parts, NAMES, Telemetry(fleet.clock, log))
        self.owner.may_log = bool
        if fleet.wired:
            self.life.spawn(self.pool.probe_silent_links())
            self.life.spawn(self.owner.tick())

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
        """Send a request to this node."""
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
        self.fleet.asked(path, name)
        self.life.run(self.ingress.handle, cast(Exchange, caller))
        return caller

    def _links(self) -> PeerPool:
        if not self.fleet.wired:
            return cast(PeerPool, QuickLinks(self.fleet))
        pool = PeerPool(self.name, SECRET, self.on_peer)
        self.fleet.wires.listen(self.life, PEER_PORT, pool.accept)
        return pool


class Fleet:
    """Nodes of two services, and what their targets saw.

    Parameters
    ----------
    nodes : int
        How many nodes; each third runs ``files``, the others ``desk``.
    seed : int
        Of all that is random.
    wired : bool
        Whether nodes have real links, on connections of `wires`.
    """

    def __init__(self, nodes: int, seed: int, *, wired: bool = False) -> None:
        self.wired = wired
        self.wires = Wires()
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.arrivals: list[Arrival] = []
        self.requests: list[Arrival] = []
        self.running: set[str] = set()
        self.stopped: dict[str, int] = {}
        self.by_name: dict[NodeId, Node] = {}
        self.is_cut = False
        self.relay_ms = 0
        self._numbers = 0
        for index in range(nodes):
            service = FILES if index % 3 == 2 else DESK
            node = Node(self, index, Target(service, self))
            self.by_name[node.name] = node
        self.nodes = list(self.by_name.values())
        self.gossip()
        self._teller = asyncio.ensure_future(self._tell()) if wired else None

    async def close(self) -> None:
        """End all processes of a wired fleet."""
        if self._teller is not None:
            self._teller.cancel()
        for node in self.nodes:
            node.life.kill()
        await asyncio.sleep(0)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(STATUS_MS / MS_PER_SECOND)
            self.gossip()

    def targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service."""
        return [
            node.target for node in self.nodes if node.target.service == service
        ]

    def path(self, one: int, other: int) -> Path:
        """Return what lies between two nodes of a wired fleet."""
        hosts = (self.nodes[one].life.host, self.nodes[other].life.host)
        return self.wires.path(*hosts)

    def number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

    def arrived(self, service: ServiceName, name: str) -> None:
        """Record a request at a target."""
        self.arrivals.append(Arrival(self.clock.now(), service, name))

    def asked(self, path: str, name: str) -> None:
        """Record a request of a caller or of a target."""
        service = SERVICE_OF[path]
        self.requests.append(Arrival(self.clock.now(), service, name))

    def gossip(self) -> None:
        """Let each node hear each other."""
        now = self.clock.now()
        live = [node for node in self.nodes if not node.life.is_over]
        for node in [] if self.is_cut else live:
            node.members.registry_loaded = True
            for other in live:
                node.members.learn(_status(other), now)

    async def play(self, seconds: float, rates: dict[str, float]) -> None:
        """Let callers send requests to random nodes.

        Parameters
        ----------
        seconds : float
            For how long.
        rates : dict of str to float
            Requests a second by path.
        """
        end = self.clock.now() + seconds * MS_PER_SECOND
        total = sum(rates.values())
        paths, weights = list(rates), list(rates.values())
        told_at = self.clock.now()
        while self.clock.now() < end:
            await asyncio.sleep(self.rng.expovariate(total))
            if self.clock.now() - told_at >= STATUS_MS:
                told_at = self.clock.now()
                self.gossip()
            path = self.rng.choices(paths, weights)[0]
            self.rng.choice(self.nodes).ask(path, f'r{self.number()}')

    def excess(self, service: ServiceName) -> float:
        """Return by how much repeats exceed their budget in any window.

        Notes
        -----
        A repeat is an arrival after the first of its request, or a call
        that a repeated run makes.  The bound is a ratio of the requests in
        the window, or in one that begins a half or a whole window before,
        and a slack for the fleet.
        """
        repeats = self._repeats(service)
        asked = [one.at for one in self.requests if one.service == service]
        worst = float('-inf')
        for start in repeats:
            count = _within(repeats, start)
            requests = max(
                _within(asked, start - back)
                for back in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            worst = max(worst, count - RATIO * requests - SLACK)
        return worst

    def _repeats(self, service: ServiceName) -> list[int]:
        seen: Counter[str] = Counter()
        repeated: dict[str, int] = {}
        found = []
        for one in self.arrivals:
            seen[one.request] += 1
            parent = one.request.rpartition('.')[0]
            again = seen[one.request] > 1 or parent in repeated
            if again:
                repeated[one.request] = one.at
            if again and one.service == service:
                found.append(one.at)
        return found


def _within(times: list[int], start: int) -> int:
    return sum(1 for at in times if start <= at < start + WINDOW_MS)


def _field(request: bytes, name: bytes) -> str:
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
    """Return a report of the target beside a node."""
    keys = Report(TargetLife(f't-{name}', 1), (), ())
    return TargetReport(keys, service, '127.0.0.1:1', slots, False, 1)


def _status(node: Node) -> NodeStatus:
    return NodeStatus(
        node.name,
        node.address,
        node.target.service,
        Zone('z'),
        Region('r'),
        SLOTS,
        node.owner.queue.backlog_ms(),
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
        retry_ratio=RATIO,
        retry_slack=SLACK,
        retry_window_ms=WINDOW_MS,
    )
