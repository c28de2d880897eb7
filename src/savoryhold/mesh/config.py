"""The operators' configuration: watched, and taken from other nodes."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from savoryhold.core.clock import Clock
from savoryhold.core.errors import (
    ConfigurationError,
    HistoryLostError,
    LinkError,
    MalformedMessageError,
    PlatformError,
)
from savoryhold.core.ids import ServiceName
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import Adapter, StoredObject
from savoryhold.peer import PeerPool, messages
from savoryhold.peer.packing import pack, unpack
from savoryhold.traffic import CallerLimits, RouteTable

__all__ = ['ConfigTask']

MS_PER_SECOND = 1000
WATCH_MS = 30_000  # the longest that the store allows
REST_MS = 500
RETRY_MS = 400
TOLD_RETRY_MS = 2000  # if others whom the store answers tell of changes
STORM_MS = 400  # changes that follow each other within this are skipped over
STORM_REST_MS = 250
ABSENT_MS = 1000  # before the operators have written the first version
REREAD_MS = 150  # a store without history would be read in a busy loop
PULL_LIMIT_MS = 500
DEFAULT_LIMITS = CallerLimits()


class ConfigTask:
    """Owns the configuration in force; it never goes back.

    Parameters
    ----------
    adapter : Adapter
        Reads what the platform stores.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Where decisions go.
    """

    def __init__(
        self, adapter: Adapter, pool: PeerPool, clock: Clock, log: Log
    ) -> None:
        self.routes: RouteTable | None = None
        self.version = 0
        self.on_change: Callable[[], None] = lambda: None
        self._adapter = adapter
        self._pool = pool
        self._clock = clock
        self._log = log
        self._spec: Any = None
        self.store_reachable = True
        # `bool()` is False: without other nodes nobody tells this one.
        self.peers_reach_store: Callable[[], bool] = bool
        self._changed_at = 0
        self._packed: tuple[int, bytes, bool] | None = None
        self.known = asyncio.Event()
        self._pulling: asyncio.Task[None] | None = None
        self.watches: Callable[[], bool] = lambda: True

    def keyed(self) -> set[ServiceName]:
        """Return the services that have keys."""
        if self.routes is None:
            return set()
        return {
            known.name for known in self.routes.services.values() if known.keyed
        }

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        return DEFAULT_LIMITS if self.routes is None else self.routes.cfg.limits

    async def run(self) -> None:
        """Read and watch the stored configuration until cancelled."""
        at: int | None = None
        while True:
            try:
                at = await self._follow(at)
            except HistoryLostError:
                # The present version is read instead of the changes to it.
                at = None
                await asyncio.sleep(REREAD_MS / MS_PER_SECOND)
            except PlatformError as exc:
                at = None
                self._note_lost(str(exc))
                usual = TOLD_RETRY_MS if self.peers_reach_store() else RETRY_MS
                pause = usual * (0.5 + random.random())
                await asyncio.sleep(pause / MS_PER_SECOND)
            else:
                self._note_back()

    def accept(self, spec: Any, source: str) -> bool:
        """Put a configuration in force if it is newer and readable."""
        try:
            cfg = self._adapter.decode_config(spec)
        except ConfigurationError as exc:
            self._log.error('config_refused', source=source, error=str(exc))
            return False
        if cfg.version <= self.version:
            return False
        self._log.info(
            'config_in_force',
            version=cfg.version,
            before=self.version,
            routes=len(cfg.routes),
            source=source,
        )
        self.routes = RouteTable(cfg)
        self.version = cfg.version
        self._spec = spec
        self.known.set()
        return True

    def news(self) -> messages.Message:
        """Return the message that brings the configuration."""
        if self._packed is None or self._packed[0] != self.version:
            text = json.dumps(self._spec, separators=(',', ':')).encode()
            self._packed = (self.version, *pack(text))
        version, text, packed = self._packed
        return messages.ConfigUpdate(version=version, text=text, packed=packed)

    def schedule_pull(self, address: str) -> None:
        """Fetch another node's configuration, one fetch at a time."""
        if self._pulling is None or self._pulling.done():
            self._pulling = asyncio.ensure_future(self.pull(address))

    async def pull(self, address: str) -> None:
        """Fetch another node's configuration, or else the stored one."""
        ask = messages.MeshPull(service_name='')
        try:
            reply = await self._pool.call(address, ask, PULL_LIMIT_MS)
        except LinkError as exc:
            self._log.info('config_not_pulled', peer=address, error=str(exc))
            await self._read_instead()
        else:
            self.apply_update(reply, address)

    def apply_update(self, news: messages.Message, source: str) -> bool:
        """Put another node's configuration in force if it is newer."""
        if not isinstance(news, messages.ConfigUpdate) or not news.text:
            return False
        try:
            spec = json.loads(unpack(news.text, packed=bool(news.packed)))
        except (ValueError, MalformedMessageError) as exc:
            self._log.error('config_unreadable', error=str(exc))
            return False
        return self.accept(spec, source)

    async def _read_instead(self) -> None:
        """Read what is stored, since the path to a peer is in trouble."""
        try:
            found = await self._adapter.read_config()
        except PlatformError as exc:
            self._log.info('config_not_read', error=str(exc))
            return
        if found is not None:
            self._accept_first(found, 'store')

    async def _follow(self, at: int | None) -> int | None:
        """Read, watch or rest; return the revision to go on from."""
        if at is None:
            return await self._read()
        if not self.watches():
            # Others watch, and their statuses tell of a newer version.
            await asyncio.sleep(REST_MS / MS_PER_SECOND)
            return at
        return await self._watch(at)

    async def _read(self) -> int | None:
        found = await self._adapter.read_config()
        if found is None:
            await asyncio.sleep(ABSENT_MS / MS_PER_SECOND)
            return None
        self._accept_first(found, 'store')
        return found.version

    async def _watch(self, at: int) -> int | None:
        seen = await self._adapter.watch_config(at, WATCH_MS)
        if not seen.objects:
            return seen.at
        self._accept_first(seen.objects[-1], 'watch')
        before, self._changed_at = self._changed_at, self._clock.now()
        if self._changed_at - before > STORM_MS:
            return seen.at
        # A watch would bring each of the versions, a read only the last.
        await asyncio.sleep(STORM_REST_MS / MS_PER_SECOND)
        return None

    def _accept_first(self, found: StoredObject, source: str) -> None:
        """Accept what the store sent, and tell the nodes that rely on it."""
        if self.accept(found.spec, source):
            self.on_change()

    def _note_lost(self, error: str) -> None:
        if self.store_reachable:
            self.store_reachable = False
            self._log.warning('store_lost', error=error)

    def _note_back(self) -> None:
        if not self.store_reachable:
            self.store_reachable = True
            self._log.info('store_back')
