"""A mesh node: wires its tasks, starts and stops them."""

import asyncio
import contextlib
import random
import signal
import traceback
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

from savoryhold import __version__
from savoryhold.core.clock import BootClock
from savoryhold.core.errors import ConfigurationError, PlatformError
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import get_log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.inbound_links import InboundLinks
from savoryhold.mesh.ingress import IngressTask
from savoryhold.mesh.interface import Adapter, StoreConflictError
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.placement import PlanTask
from savoryhold.mesh.table_proofs import ProofTask
from savoryhold.mesh.reports import ReportHandler
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.telemetry import LineBuffer, Telemetry
from savoryhold.peer import Link, LinkStream, PeerPool, messages
from savoryhold.wire import Exchange, HttpServer

__all__ = [
    'NODE_KIND',
    'MeshNode',
    'last_answer_ms',
    'leave_ms',
    'linger_ms',
]

NODE_KIND = 'savoryhold-nodes'
SECRET = b'savoryhold-mesh'
MS_PER_SECOND = 1000
BACKLOG = 1024
FLUSH_MS = 250
REGISTER_RETRY_MS = 400
LEAVE_POLL_MS = 20
# Of the grace; with the answer's slack less than the sixth of it in which
# what is still at work may be broken off.
END_MS = 700
END_SHARE = 1 / 9
ANSWER_MS = 200
ANSWER_SHARE = 1 / 24
LEAVE_ANSWERS = 2  # the platform then sends callers elsewhere
LINGER_MS = 3000  # the platform may not ask at all
LINGER_SHARE = 0.5  # of the grace; the rest is for what was read
LAST_CALLERS_MS = 150  # callers that were sent here meanwhile
TIDY_MS = 1000
FIGURES_EVERY = 10  # tidy rounds
CONFIG_WATCHERS = 2  # of a region; the others hear of changes from them
EXIT_OK = 0
EXIT_FAILED = 1
TRACE_FRAMES = 4


class MeshNode:
    """All tasks of one node.

    Parameters
    ----------
    settings : MeshSettings
        Validated settings.
    adapter : Adapter
        The platform.
    lines : LineBuffer
        Where log lines wait.
    reload : callable
        Reads the settings again; raises `ConfigurationError`.
    """

    def __init__(
        self,
        settings: MeshSettings,
        adapter: Adapter,
        lines: LineBuffer,
        reload: Callable[[], MeshSettings],
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.log = get_log(node=settings.node)
        self.clock = BootClock()
        clock = self.clock
        self.pool = PeerPool(settings.node, SECRET, self._on_peer)
        self.members = MemberTable(settings.node, settings.region)
        self.configs = ConfigTask(adapter, self.pool, clock, self.log)
        self.owner = OwnerTask(
            settings.node,
            adapter.names,
            clock,
            self.log,
            settings.report_ms,
            settings.drain_ms,
        )
        self.tables = TableTask(
            settings,
            adapter.store,
            self.members,
            self.owner,
            self.pool,
            clock,
            self.log,
        )
        parts = NodeContext(
            settings,
            self.members,
            self.owner,
            self.tables,
            self.configs,
            self.pool,
            clock,
            self.log,
        )
        self.peers = PeerTask(parts)
        self._planner = PlanTask(parts)
        self._proofs = ProofTask(parts)
        self.telemetry = Telemetry(clock, self.log)
        self.ingress = IngressTask(parts, adapter.names, self.telemetry)
        reports = ReportHandler(
            adapter,
            self.owner,
            self.tables,
            self._proofs,
            self.configs.known,
            clock,
            self.log,
        )
        self.callers = HttpServer(
            self.ingress.handle, clock.now, self.configs.limits
        )
        self.reports = HttpServer(reports.handle, clock.now)
        self.ready = HttpServer(self._on_ready, clock.now)
        self.metrics = HttpServer(self._on_metrics, clock.now)
        self._lines = lines
        self._reload = reload
        self.draining = False
        self._peer_server: asyncio.Server | None = None
        self._failure = ''
        self._unready_answers = 0
        self._calls_cut = 0
        self._is_over = False
        self._grace_ms = settings.grace_ms
        self._inbound = InboundLinks()
        self._leave_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._connect()

    async def run(self) -> int:
        """Run until told to stop.

        Returns
        -------
        int
            Exit status; not 0 if a task failed.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._leave_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        await self._listen()
        self.log.info('started', version=__version__)
        for work in self._loops():
            task = asyncio.create_task(work)
            task.add_done_callback(self._on_task_end)
            self._tasks.append(task)
        await self._leave_requested.wait()
        await self._leave()
        for task in self._tasks:
            task.cancel()
        self.close()
        return EXIT_FAILED if self._failure else EXIT_OK

    def close(self) -> None:
        """Close all sockets and write the last log lines."""
        self._is_over = True
        for server in (self.callers, self.reports, self.ready, self.metrics):
            server.stop()
        if self._peer_server is not None:
            self._peer_server.close()
        if self.owner.pool is not None:
            self.owner.pool.close()
        self.pool.close()
        self._lines.flush()

    def _connect(self) -> None:
        self.tables.keyed = self.configs.keyed
        self.configs.watches = self._watches_config
        self.configs.peers_reach_store = self._is_told
        self.configs.on_change = self.peers.tell_all
        self.tables.on_table = self.peers.tell_table
        self.owner.machine_of = self.tables.machines.get
        self.owner.hears = self._hears
        self.owner.on_strike = self.peers.tell_strike
        self.owner.may_log = self.telemetry.may_log
        self.owner.on_acquit = self.peers.tell_acquittal
        self.owner.on_dead = self.peers.tell_all
        self.pool.endpoint.on_closed = self._on_link_closed
        self.pool.on_moved = self._on_calls_moved

    def _loops(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.configs.run(),
            self._register(),
            self.peers.run(),
            self.owner.tick(),
            self.owner.watch_target(),
            self.tables.run(),
            self._proofs.run(),
            self._planner.run(),
            self.pool.probe_silent_links(),
            self.callers.sweep(),
            self._flush(),
            self._tidy(),
        ]

    async def _listen(self) -> None:
        cfg = self.settings
        loop = asyncio.get_running_loop()
        host, _, port = cfg.peers.rpartition(':')
        self._peer_server = await loop.create_server(
            self._accept, host, int(port), backlog=BACKLOG
        )
        await self.reports.start(cfg.reports, BACKLOG)
        await self.callers.start(cfg.callers, BACKLOG)
        await self.ready.start(cfg.ready, BACKLOG)
        if cfg.metrics:
            try:
                await self.metrics.start(cfg.metrics, BACKLOG)
            except OSError as exc:
                self.log.warning('metrics_unavailable', error=str(exc))

    async def _register(self) -> None:
        """List this node in the store, and learn of the others."""
        while True:
            try:
                await self._register_once()
            except PlatformError as exc:
                self.log.info('register_failed', error=str(exc))
                pause = REGISTER_RETRY_MS * (0.5 + random.random())
                await asyncio.sleep(pause / MS_PER_SECOND)
            else:
                return

    async def _register_once(self) -> None:
        cfg = self.settings
        spec = {
            'address': cfg.advertised,
            'zone': cfg.zone,
            'region': cfg.region,
        }
        store = self.adapter.store
        try:
            await store.create(NODE_KIND, cfg.node, spec)
        except StoreConflictError:
            self.log.debug('registered_before')
        # After the write, so that of two nodes one sees the other.
        known = await self._introduce_all()
        if known.get(cfg.node) != spec:
            await store.replace(NODE_KIND, cfg.node, spec, None)
        self.log.info('registered', members=len(self.members.addresses))
        self.peers.tell_all()

    async def _introduce_all(self) -> dict[str, Any]:
        found = await self.adapter.store.list(NODE_KIND)
        for entry in found.objects:
            if isinstance(entry.spec, dict):
                address = str(entry.spec.get('address', ''))
                self.members.introduce(NodeId(entry.name), address)
        self.members.registry_loaded = True
        return {known.name: known.spec for known in found.objects}

    async def _on_peer(
        self, call: LinkStream, message: messages.Message
    ) -> None:
        if not isinstance(message, messages.Relay):
            await self.peers.handle(call, message)
            return
        self._inbound.begin()
        try:
            await self.peers.handle(call, message)
        finally:
            self._inbound.end(call)

    def _accept(self) -> Link:
        link = self.pool.accept()
        self._inbound.add(link)
        return link

    def _on_link_closed(self, link: Link) -> None:
        if self._is_over or not link.peer:
            return
        if self.telemetry.may_log():
            silent_s = asyncio.get_running_loop().time() - link.last_received
            self.log.info(
                'link_closed',
                peer=link.peer,
                reason=link.reason,
                dialled=link.dialled,
                calls=link.waiting,
                serving=link.serving,
                silent_ms=round(silent_s * MS_PER_SECOND),
            )

    def _on_calls_moved(self, old: Link, new: Link | None, calls: int) -> None:
        moved = new is not None and new.life == old.life
        if not moved:
            self._calls_cut += calls
        if self.telemetry.may_log():
            self.log.info(
                'calls_moved' if moved else 'calls_cut',
                peer=old.peer,
                calls=calls,
                reason=old.reason,
                peer_restarted=new is not None and not moved,
            )

    def _on_ready(self, exchange: Exchange) -> None:
        if not self.adapter.is_ready_check(exchange.req):
            exchange.reply(HTTPStatus.NOT_FOUND)
            return
        if self.draining:
            self._unready_answers += 1
        exchange.reply(
            HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        if self.draining or self.configs.routes is None:
            return False
        return bool(self.members.alive(self.clock.now())) or not (
            self.members.addresses
        )

    def _hears(self, node: NodeId) -> bool:
        return self.members.is_alive(node, self.clock.now())

    def _watches_config(self) -> bool:
        now = self.clock.now()
        return self.members.is_among_first(CONFIG_WATCHERS, now)

    def _is_told(self) -> bool:
        return self.members.reach_store(self.clock.now())

    def _on_metrics(self, exchange: Exchange) -> None:
        gauges = {
            'keys_owned': float(self.tables.keys()),
            'config_version': float(self.configs.version),
            'target_connections_opened': float(
                self.owner.pool.opened if self.owner.pool else 0
            ),
            'table_writes': float(self.tables.writes),
            'key_moves': float(self.tables.moves),
            'runs_stopped': float(self.owner.runs.stopped),
            'queue_waiting': float(len(self.owner.queue.waiting)),
            'queue_running': float(len(self.owner.queue.running)),
            'members_heard': float(len(self.members.alive(self.clock.now()))),
            'links_probed': float(self.pool.probed),
            'links_replaced': float(self.pool.replaced),
            'calls_moved': float(self.pool.moved),
            'calls_cut': float(self._calls_cut),
            'log_lines_lost': float(self._lines.lost),
        }
        exchange.reply(
            HTTPStatus.OK,
            b'content-type: text/plain\r\n',
            self.telemetry.render(gauges),
        )

    def _on_hup(self) -> None:
        """Take over the grace; the rest holds from the next start on."""
        try:
            found = self._reload()
        except ConfigurationError as exc:
            self.log.error('reload_refused', error=str(exc))
            return
        self.log.info('reloaded', changed=found != self.settings)
        self._grace_ms = found.grace_ms

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        self.log.error('task_failed', error=repr(exc), at=_place(exc))
        self._failure = f'{exc!r} at {_place(exc)}'
        self._leave_requested.set()

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_MS / MS_PER_SECOND)
            self._lines.flush()

    async def _tidy(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(TIDY_MS / MS_PER_SECOND)
            self.owner.heat.drop_cold_keys(self.clock.now())
            rounds += 1
            if rounds % FIGURES_EVERY == 0:
                self._log_figures()

    def _log_figures(self) -> None:
        """Log what an engineer on call asks first."""
        store = self.adapter.store.calls
        self.log.info(
            'figures',
            members=len(self.members.alive(self.clock.now())),
            keys=self.tables.keys(),
            running=len(self.owner.queue.running),
            waiting=len(self.owner.queue.waiting),
            writes=self.tables.writes,
            store_calls=' '.join(
                f'{kind}={count}' for kind, count in sorted(store.items())
            ),
            lines_lost=self._lines.lost,
            unlogged=self.telemetry.unlogged,
        )

    async def _leave(self) -> None:
        """Answer what was read, then end.

        Notes
        -----
        Callers are sent elsewhere once two questions in a row found the node
        not ready; until then it serves as before.
        """
        # The file may have changed without a signal.
        self._on_hup()
        self.log.info('leaving', unanswered=self.callers.unanswered)
        self.draining = True
        ends_at = self.clock.now() + last_answer_ms(self._grace_ms)
        self.ingress.end_by(ends_at)
        self.owner.runs.ends_at = ends_at
        limit = leave_ms(self._grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit / MS_PER_SECOND):
                await self._callers_leave()
                self.peers.leaving = True
                self.peers.tell_all()
                await self._idle()
        self.log.info(
            'stopped',
            unanswered=self.callers.unanswered,
            running=self.owner.running(),
            failure=self._failure,
        )

    async def _callers_leave(self) -> None:
        # By the clock: a node that is short of time wakes late.
        limit = linger_ms(self._grace_ms) - LAST_CALLERS_MS
        until = self.clock.now() + limit
        left = limit
        while self._unready_answers < LEAVE_ANSWERS and left > 0:
            await asyncio.sleep(min(left, LEAVE_POLL_MS) / MS_PER_SECOND)
            left = until - self.clock.now()
        await asyncio.sleep(LAST_CALLERS_MS / MS_PER_SECOND)

    async def _idle(self) -> None:
        # Runs call for others here until they end.
        self.ingress.only_nested_calls()
        await self._inbound.tell(self.peers.status())
        while self.owner.running() or self._inbound.under_way:
            await asyncio.sleep(LEAVE_POLL_MS / MS_PER_SECOND)
        await asyncio.gather(self.callers.drain(), self._inbound.confirm())


def linger_ms(grace_ms: int) -> int:
    """Return how long a leaving node goes on taking callers, unasked."""
    return min(LINGER_MS, round(grace_ms * LINGER_SHARE))


def leave_ms(grace_ms: int) -> int:
    """Return when a leaving node gives up what is still at work."""
    return grace_ms - round(min(END_MS, grace_ms * END_SHARE))


def last_answer_ms(grace_ms: int) -> int:
    """Return when a leaving node must have the last answer."""
    slack = round(min(ANSWER_MS, grace_ms * ANSWER_SHARE))
    return leave_ms(grace_ms) - slack


def _place(exc: BaseException | None) -> str:
    """Return where an exception was raised: file and line, innermost last."""
    if exc is None:
        return ''
    frames = traceback.extract_tb(exc.__traceback__)
    return ' '.join(
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno}'
        for frame in frames[-TRACE_FRAMES:]
    )
