"""Entry point of ``savoryholdd``: wires the tasks and runs them."""

import argparse
import asyncio
import contextlib
import logging
import pathlib
import signal
import sys
from collections.abc import Iterator

import aiohttp
import uvicorn
import uvloop

from savoryhold import __version__
from savoryhold.core import events
from savoryhold.core.clock import MonotonicClock
from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import Region, ShardKey
from savoryhold.core.poison import Strike
from savoryhold.daemon.balancer import BalancerTask
from savoryhold.daemon.gossiper import GossipTask
from savoryhold.daemon.listeners import open_listeners
from savoryhold.daemon.loads import LoadTable
from savoryhold.daemon.logs import set_up_logs
from savoryhold.daemon.metrics import Metrics
from savoryhold.daemon.node import NodeTask
from savoryhold.daemon.owner import OwnerTask
from savoryhold.daemon.peers import PeerTask
from savoryhold.daemon.router import RouterTask
from savoryhold.daemon.service import DaemonService
from savoryhold.daemon.watcher import WatcherTask
from savoryhold.gateway import CallerGateway, admin_app
from savoryhold.peer import LinkStream, PeerPool, messages
from savoryhold.store import PlatformClient
from savoryhold.settings import Settings, load_settings
from savoryhold.target import TargetTracker

__all__ = ['Daemon', 'main']

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
TICK_MS = 50
MS_PER_SECOND = 1000
BACKLOG = 4096
# Longer than callers keep idle connections.  A server that closes first can
# close a connection on which a caller has just sent a request.
CALLER_KEEP_ALIVE_S = 75
SEED_RETRY_MS = 500


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class Daemon:
    """The tasks of one ``savoryholdd`` process, wired together.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    session : aiohttp.ClientSession
        HTTP session for calls of the platform's object API.
    """

    def __init__(
        self, settings: Settings, session: aiohttp.ClientSession
    ) -> None:
        self.settings = settings
        clock = MonotonicClock()
        self.metrics = Metrics()
        self.platform = PlatformClient(settings.platform.url, session)
        secret = settings.peers.secret.encode()
        self.pool = PeerPool('starting', secret, self._on_peer)
        self.node = NodeTask(
            settings, clock, self.platform, self.pool, self.metrics
        )
        self.pool.node = self.node.node
        self.owner = OwnerTask(
            self.node.machine,
            self.node.configs,
            TargetTracker(clock),
            clock,
            settings.limits,
            self.node.replicator.append,
        )
        self.loads = LoadTable(clock)
        self.gossip = GossipTask(self.node, self.loads, clock)
        self.balancer = BalancerTask(self.node, self.owner, self.loads, clock)
        self.router = RouterTask(self.node, self.owner, clock)
        self.watcher = WatcherTask(self.node)
        self.service = DaemonService(
            self.node, self.owner, self.router, self.gossip, self.watcher
        )
        self.peers = PeerTask(
            self.node,
            self.owner,
            self.gossip,
            self.balancer,
            self.service,
            clock,
        )
        self.gateway = CallerGateway(
            self.router,
            self.node.configs,
            clock,
            Region(settings.node.region),
            self.metrics,
        )
        self._failed = False
        self._connect()

    async def run(self) -> int:
        """Run until a leave is requested, then hand over all shards.

        Returns
        -------
        int
            Exit status; not 0 if a task failed.

        Raises
        ------
        ConfigurationError
            If the daemon can't listen on a configured address.
        """
        loop = asyncio.get_running_loop()
        listeners = open_listeners(self.settings.listen)
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.service.leave_requested.set)
        peer_server = await loop.create_server(
            self.pool.accept, sock=listeners.peers, backlog=BACKLOG
        )
        callers = self._http(self.gateway)
        admin = self._http(
            admin_app(self.service, self.metrics, self.settings.admin_token)
        )
        self.node.log.info('started', version=__version__)
        background = [
            asyncio.create_task(work)
            for work in (
                self.node.run(),
                self.node.tick(),
                self.node.replicator.run(),
                self.watcher.run(),
                self.gossip.push(),
                self.gossip.swap(),
                self.balancer.run(),
                self.pool.probe_silent_links(),
                self._owner_ticks(),
                self._fetch_from_seeds(),
                callers.serve([listeners.callers]),
                admin.serve([listeners.admin]),
            )
        ]
        for task in background:
            task.add_done_callback(self._on_background_end)
        await self.service.leave_requested.wait()
        await self._leave(callers)
        admin.should_exit = True
        for task in background[:-2]:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        peer_server.close()
        self.pool.close()
        await self.owner.close()
        return EXIT_FAILED if self._failed else EXIT_OK

    def _connect(self) -> None:
        self.node.on_drain = self.owner.drain
        self.node.replicator.export = self.owner.ledger.export
        self.node.on_rejoin = self._on_rejoin
        self.owner.on_idle = self._on_idle
        self.owner.on_target_gone = self._on_target_gone

    def _on_rejoin(self, machine: object) -> None:
        self.owner.machine = self.node.machine
        self.balancer.reset()

    def _on_idle(self, key: ShardKey) -> None:
        if key in self.node.machine.holder.moves:
            self.node.post(events.ShardDrained(key))

    def _on_target_gone(self, strikes: list[Strike]) -> None:
        self.node.log.warning('target_gone', running=len(strikes))
        for strike in strikes:
            self.metrics.events.inc({'kind': 'strike'})
            self.owner.poison.strike(strike, self.node.clock.now())
            self.gossip.push_strike(strike)
        self.service.check_target()

    def _on_background_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self._failed = True
        self.service.leave_requested.set()
        self.node.log.error('task_failed', error=repr(task.exception()))

    async def _on_peer(
        self, call: LinkStream, message: messages.Message
    ) -> None:
        await self.peers.handle(call, message)

    async def _owner_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            self.owner.tick()
            self.service.check_target()

    async def _fetch_from_seeds(self) -> None:
        # A daemon that starts while the store is down gets configuration
        # and records from its seed peers.
        while not self.watcher.synced.is_set():
            for seed in self.settings.peers.seeds:
                await self.gossip.fetch_all(seed)
            await asyncio.sleep(SEED_RETRY_MS / MS_PER_SECOND)

    async def _leave(self, callers: uvicorn.Server) -> None:
        limit_ms = self.settings.limits.leave_ms
        self.node.log.info('leaving', limit_ms=limit_ms)
        self.owner.accepting = False
        self.node.post(events.LeaveRequested())
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self.node.left.wait()
        except TimeoutError:
            self.node.log.warning(
                'leave_incomplete',
                held=len(self.node.machine.holder.held),
                reason='shards or standby duties are not handed over yet; '
                'other nodes claim the shards after the lease lapses',
            )
        callers.should_exit = True
        if not await self.owner.wait_idle(limit_ms):
            self.node.log.warning('work_cut', running=self.owner.running)

    def _http(self, app: object) -> _Server:
        cfg = uvicorn.Config(
            app,  # type: ignore[arg-type]
            log_level='critical',
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            lifespan='off',
            timeout_keep_alive=CALLER_KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(
                1, self.settings.limits.leave_ms // MS_PER_SECOND
            ),
        )
        return _Server(cfg)


def main() -> None:
    """Run the daemon."""
    options = _parser().parse_args()
    try:
        settings = load_settings(options.settings)
    except ConfigurationError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(EXIT_SETTINGS)
    if options.check_settings:
        sys.stdout.write(f'{options.settings}: settings are valid\n')
        sys.exit(EXIT_OK)
    level = getattr(logging, options.log_level.upper())
    lines = set_up_logs(sys.stderr.fileno(), level)
    status = _run(settings)
    lines.flush()
    sys.exit(status)


def _run(settings: Settings) -> int:
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_serve(settings))
    except ConfigurationError as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_SETTINGS


async def _serve(settings: Settings) -> int:
    async with aiohttp.ClientSession() as session:
        return await Daemon(settings, session).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='savoryholdd', description='The savoryhold daemon.'
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        help='TOML file with the settings',
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='check the settings file and exit',
    )
    parser.add_argument(
        '--log-level',
        choices=['debug', 'info', 'warning', 'error'],
        default='info',
    )
    parser.add_argument('--version', action='version', version=__version__)
    return parser


if __name__ == '__main__':
    main()
