"""A mesh node: connects its tasks, starts and stops them."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

from savoryhold import __version__
from savoryhold.core.clock import BootClock
from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import LineBuffer, format_frames, get_log
from savoryhold.mesh.config import ConfigTask
from savoryhold.mesh.config_checks import ConfigCheckTask
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.evacuations import EvacuationTask
from savoryhold.mesh.inbound_links import InboundLinks
from savoryhold.mesh.ingress import IngressTask
from savoryhold.mesh.interface import (
    Adapter,
)
from savoryhold.mesh.members import MemberTable
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.node_metrics import NodeMetrics
from savoryhold.mesh.owner import OwnerTask
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.place_rules import PlaceRules
from savoryhold.mesh.placement import PlacementTask
from savoryhold.mesh.places import Place
from savoryhold.mesh.quarantine_record import QuarantineRecord
from savoryhold.mesh.registration import RegistrationTask
from savoryhold.mesh.reports import ReportHandler
from savoryhold.mesh.settings import MeshSettings
from savoryhold.mesh.table_proofs import TableProofTask
from savoryhold.mesh.tables import TableTask
from savoryhold.mesh.telemetry import Telemetry
from savoryhold.peer import Link, LinkStream, PeerPool, messages
from savoryhold.traffic import CallerLimits, RouteTable
from savoryhold.wire import PROCESS_BUDGET, Exchange, HttpServer

__all__ = [
    'MeshNode',
    'last_answer_ms',
    'leave_ms',
    'linger_ms',
]

SECRET = b'savoryhold-mesh'
MS_PER_SECOND = 1000
BACKLOG = 1024
LOG_FLUSH_MS = 250
REGISTER_RETRY_MS = 400
LEAVE_POLL_MS = 20
# The end of the grace period is kept for cleaning up.  Together with the margin
# for the last answer it is less than the last sixth of the period, in which
# requests that still run may be cut off.
RESERVE_MS = 700
RESERVE_SHARE = 1 / 9
ANSWER_MARGIN_MS = 200
ANSWER_MARGIN_SHARE = 1 / 24
UNREADY_ANSWERS = 2  # readiness checks; the platform then redirects callers
LINGER_MS = 3000  # limit, as the platform may not check at all
LINGER_SHARE = 0.5  # of the grace; the rest is for requests already read
LAST_CALLERS_MS = 150  # for callers sent here before the redirection
MAINTENANCE_MS = 1000
FIGURES_ROUNDS = 10  # maintenance rounds between two lines of figures
CONFIG_WATCHERS = 2  # per region; other nodes learn of changes from them
MAX_REPORT_BYTES = 4_194_304  # with thousands of key ranges
MAX_CHECK_BYTES = 65_536
EXIT_OK = 0
EXIT_FAILED = 1


class MeshNode:
    """A node with all its tasks.

    Parameters
    ----------
    settings : MeshSettings
        Validated settings.
    adapter : Adapter
        Adapter to the platform.
    lines : LineBuffer
        Buffer of log lines.
    reload : callable
        Reads the settings again; raises `ConfigurationError` if invalid.
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
        self.members = MemberTable(
            settings.node, settings.region, settings.zone, clock.now()
        )
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
        self._places = PlaceRules(Place(settings.zone, settings.region))
        context = NodeContext(
            settings,
            self.members,
            self.owner,
            self.tables,
            self.configs,
            self.pool,
            clock,
            self.log,
            self._places,
        )
        self.peers = PeerTask(context)
        self._placement = PlacementTask(context)
        self._evacuations = EvacuationTask(context, adapter)
        self._config_checks = ConfigCheckTask(context)
        self.departures = Departures(settings.node, adapter.store, self.log)
        self._quarantine = QuarantineRecord(
            settings.node, adapter.store, self.owner.target, clock, self.log
        )
        self._registration = RegistrationTask(
            context,
            adapter.store,
            self.departures,
            self.peers,
            self._quarantine,
        )
        self._proofs = TableProofTask(context)
        self.telemetry = Telemetry(clock, self.log)
        self.ingress = IngressTask(context, adapter.names, self.telemetry)
        self._reports = ReportHandler(
            adapter, context, self._proofs, self.departures
        )
        PROCESS_BUDGET.set_memory(settings.memory_mb)
        self.pool.endpoint.pending_handshakes.set_fds(settings.max_fds)
        self.caller_server = HttpServer(
            self.ingress.handle,
            clock.now,
            self.configs.limits,
            settings.intake,
        )
        intake = settings.intake.for_control_port()
        self.report_server = HttpServer(
            self._reports.handle, clock.now, _limit_reports, intake
        )
        self.ready_server = HttpServer(
            self._on_ready, clock.now, _limit_checks, intake
        )
        self.metrics_server = HttpServer(
            self._on_metrics, clock.now, _limit_checks, intake
        )
        self._metrics = NodeMetrics(context, self.caller_server)
        self._lines = lines
        self._reload = reload
        self.draining = False
        self._peer_server: asyncio.Server | None = None
        self._failure = ''
        self._unready_answers = 0
        self._calls_cut = 0
        self._is_closed = False
        self._grace_ms = settings.grace_ms
        self._inbound = InboundLinks()
        self._leave_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._connect_tasks()

    async def run(self) -> int:
        """Run until a signal or a failed task stops the node.

        Returns
        -------
        int
            Exit status, 0 unless a task failed.
        """
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._leave_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        await self._listen()
        self.log.info('started', version=__version__)
        for work in self._background_tasks():
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
        self._is_closed = True
        for server in (
            self.caller_server,
            self.report_server,
            self.ready_server,
            self.metrics_server,
        ):
            server.stop()
        if self._peer_server is not None:
            self._peer_server.close()
        if self.owner.target.pool is not None:
            self.owner.target.pool.close()
        self.pool.close()
        self._lines.flush()

    def _connect_tasks(self) -> None:
        self._places.routes = self._routes
        self.tables.places = self._places
        self.owner.check_place = self._places.check_local
        self._evacuations.should_watch = self._should_watch_config
        self._evacuations.pull_statuses = self.peers.digests.pull
        self._evacuations.on_announce = self.peers.broadcast_status
        self._evacuations.on_ended = self.owner.on_evacuation_ended
        self.members.on_status = self._evacuations.on_status
        self.tables.keyed_services = self.configs.keyed_services
        self.configs.should_watch = self._should_watch_config
        self.configs.peers_reach_store = self._peers_reach_store
        self.configs.on_change = self.peers.broadcast_config
        self.tables.on_table_written = self.peers.broadcast_table
        self.owner.machine_of = self.tables.machines.get
        self.owner.is_peer_alive = self._is_alive
        strikes = self.peers.strikes
        self.owner.target.on_strike = strikes.broadcast
        self.owner.target.on_acquitted = strikes.broadcast_acquittal
        self.owner.target.poison.on_change = self._on_quarantine
        self.owner.may_log = self.telemetry.may_log
        capacity = self.owner.capacity
        capacity.routes = self._routes
        capacity.warmup_over = self.settings.warmup_over
        capacity.warmup_slack = self.settings.warmup_slack
        self.owner.on_target_dead = self.peers.broadcast_status
        self.pool.endpoint.on_closed = self._on_link_closed
        self.pool.on_moved = self._on_calls_moved

    def _on_quarantine(self) -> None:
        self.peers.strikes.wake()
        self._quarantine.wake()

    def _background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self.configs.run(),
            self._config_checks.run(),
            self._evacuations.run(),
            self._registration.run(),
            self._quarantine.run(),
            self.peers.strikes.run(),
            self.peers.run(),
            self.peers.digests.run(),
            self.owner.tick(),
            self.owner.target.watch(),
            self.tables.run(),
            self._proofs.run(),
            self._placement.run(),
            self.pool.probe_silent_links(),
            self.caller_server.sweep(),
            self.report_server.sweep(),
            self.ready_server.sweep(),
            self.metrics_server.sweep(),
            self._flush(),
            self._maintain(),
        ]

    async def _listen(self) -> None:
        cfg = self.settings
        loop = asyncio.get_running_loop()
        host, _, port = cfg.peers.rpartition(':')
        self._peer_server = await loop.create_server(
            self._accept, host, int(port), backlog=BACKLOG
        )
        await self.report_server.start(cfg.reports, BACKLOG)
        await self.caller_server.start(cfg.callers, BACKLOG)
        await self.ready_server.start(cfg.ready, BACKLOG)
        if cfg.metrics:
            try:
                await self.metrics_server.start(cfg.metrics, BACKLOG)
            except OSError as exc:
                self.log.warning('metrics_unavailable', error=str(exc))

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
        if self._is_closed or not link.peer:
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
        """Return whether the platform may send callers to this node."""
        if self.draining or self.configs.routes is None:
            return False
        if not self._places.is_settled:
            return False
        return bool(self.members.live_members(self.clock.now())) or not (
            self.members.addresses
        )

    def _is_alive(self, node: NodeId) -> bool:
        return self.members.is_alive(node, self.clock.now())

    def _routes(self) -> RouteTable | None:
        return self.configs.routes

    def _should_watch_config(self) -> bool:
        now = self.clock.now()
        return self.members.is_among_first(CONFIG_WATCHERS, now)

    def _peers_reach_store(self) -> bool:
        return self.members.any_reaches_store(self.clock.now())

    def _on_metrics(self, exchange: Exchange) -> None:
        gauges = {
            **self._metrics.gauges(),
            'calls_cut': float(self._calls_cut),
            'log_lines_lost': float(self._lines.lost_count),
            'reports_refused': float(self._reports.refused_count),
        }
        exchange.reply(
            HTTPStatus.OK,
            b'content-type: text/plain\r\n',
            self.telemetry.render(gauges),
        )

    def _on_hup(self) -> None:
        """Reload the grace period; other settings need a restart."""
        try:
            settings = self._reload()
        except ConfigurationError as exc:
            self.log.error('reload_refused', error=str(exc))
            return
        self.log.info('reloaded', changed=settings != self.settings)
        self._grace_ms = settings.grace_ms

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        self._failure = f'{exc!r} at {format_frames(exc)}'
        self._leave_requested.set()
        self.log.error('task_failed', error=repr(exc), at=format_frames(exc))

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH_MS / MS_PER_SECOND)
            self._lines.flush()

    async def _maintain(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(MAINTENANCE_MS / MS_PER_SECOND)
            self.owner.heat.drop_cold_keys(self.clock.now())
            self.ingress.forecasts.refresh()
            self._metrics.log_refusals()
            rounds += 1
            if rounds % FIGURES_ROUNDS == 0:
                self._log_figures()

    def _log_figures(self) -> None:
        """Log the main figures of this node."""
        store = self.adapter.store.calls
        self.log.info(
            'figures',
            members=len(self.members.live_members(self.clock.now())),
            keys=self.tables.owned_key_count(),
            running=len(self.owner.queue.running),
            waiting=len(self.owner.queue.waiting),
            writes=self.tables.writer.writes,
            store_calls=' '.join(
                f'{kind}={count}' for kind, count in sorted(store.items())
            ),
            lines_lost=self._lines.lost_count,
            unlogged=self.telemetry.unlogged_count,
        )

    async def _leave(self) -> None:
        """Drain callers, finish the requests that were read, then stop.

        Notes
        -----
        The platform redirects callers once two readiness checks in a row have
        failed; until then the node serves them as before.
        """
        # The settings file may have changed without a SIGHUP.
        self._on_hup()
        self.log.info('leaving', unanswered=self.caller_server.unanswered)
        self.draining = True
        ends_at = self.clock.now() + last_answer_ms(self._grace_ms)
        self.ingress.cap_deadlines(ends_at)
        self.owner.runs.process_ends_at = ends_at
        limit = leave_ms(self._grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit / MS_PER_SECOND):
                await self._wait_for_callers()
                self.peers.leaving = True
                self.peers.broadcast_status()
                await self._finish_requests()
        self.log.info(
            'stopped',
            unanswered=self.caller_server.unanswered,
            running=self.owner.pending_count(),
            failure=self._failure,
        )

    async def _wait_for_callers(self) -> None:
        # Measured by the clock: on a busy host, sleeps take longer.
        limit = linger_ms(self._grace_ms) - LAST_CALLERS_MS
        until = self.clock.now() + limit
        left = limit
        while self._unready_answers < UNREADY_ANSWERS and left > 0:
            await asyncio.sleep(min(left, LEAVE_POLL_MS) / MS_PER_SECOND)
            left = until - self.clock.now()
        await asyncio.sleep(LAST_CALLERS_MS / MS_PER_SECOND)

    async def _finish_requests(self) -> None:
        # Runs at the local target may still make nested calls.
        self.ingress.accept_only_nested()
        await self._inbound.announce(self.peers.status_message())
        while self.owner.pending_count() or self._inbound.running_count:
            await asyncio.sleep(LEAVE_POLL_MS / MS_PER_SECOND)
        await asyncio.gather(
            self.caller_server.drain(), self._inbound.wait_until_read()
        )


def linger_ms(grace_ms: int) -> int:
    """Return how long a leaving node waits for readiness checks."""
    return min(LINGER_MS, round(grace_ms * LINGER_SHARE))


def leave_ms(grace_ms: int) -> int:
    """Return when a leaving node cuts off requests that still run."""
    return grace_ms - round(min(RESERVE_MS, grace_ms * RESERVE_SHARE))


def last_answer_ms(grace_ms: int) -> int:
    """Return the latest deadline of requests at a leaving node."""
    slack = round(min(ANSWER_MARGIN_MS, grace_ms * ANSWER_MARGIN_SHARE))
    return leave_ms(grace_ms) - slack


def _limit_reports() -> CallerLimits:
    return CallerLimits(body_bytes=MAX_REPORT_BYTES)


def _limit_checks() -> CallerLimits:
    return CallerLimits(body_bytes=MAX_CHECK_BYTES)
