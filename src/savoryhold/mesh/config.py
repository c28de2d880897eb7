"""The operators' configuration: watched in the store or pulled from peers.

A few nodes of each region watch the store.  They send the others what has
changed; a node that lacks the version from which it has changed, or that only
learns from a status of a newer one, fetches it (`ConfigFollower`).  In case
the answers to all watches are lost, one node checks (`ConfigCheckTask`).
"""

import asyncio
import dataclasses
import functools
import json
import random
from collections.abc import Callable
from typing import Any

from savoryhold.core.clock import Clock
from savoryhold.core.decoding import parse_json
from savoryhold.core.errors import (
    ConfigurationError,
    HistoryLostError,
    LinkError,
    MalformedMessageError,
    PlatformError,
)
from savoryhold.core.ids import ServiceName
from savoryhold.daemon.logs import Log
from savoryhold.mesh.config_delta import (
    DeltaHistory,
    apply_delta,
    make_delta,
)
from savoryhold.mesh.config_follower import ConfigFollower, ConfigSources
from savoryhold.mesh.interface import Adapter, Listing
from savoryhold.peer import PeerPool, messages
from savoryhold.peer.packing import MAX_STATE_BYTES, pack, unpack
from savoryhold.traffic import CallerLimits, RouteTable

__all__ = ['ConfigCheck', 'ConfigTask']

MS_PER_SECOND = 1000
WATCH_MS = 30_000  # longest wait that the store allows
WATCH_LAG_MS = 1000  # after which a watch without a change in force is lost
IDLE_POLL_MS = 500  # after which a node checks again whether to watch
RETRY_MS = 400
LONG_RETRY_MS = 2000  # if a peer reaches the store and announces changes
STORM_MS = 400  # of changes that come faster, only the last is read
STORM_PAUSE_MS = 250
ABSENT_MS = 1000  # between reads until operators write the first version
REREAD_MS = 150  # avoids a busy loop if watches fail at once
PULL_LIMIT_MS = 2000  # other sources are tried meanwhile
MAX_REFUSED_LINES = 20  # a version that disables more than that says how many
MAX_PUSH_BYTES = 4096  # a larger difference is sent only to who asks for it
DEFAULT_LIMITS = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigCheck:
    """Proof that the version in force was the newest.

    Parameters
    ----------
    revision : int
        Revision of the store, 0 if unknown.
    at : int
        Time in ms.
    """

    revision: int
    at: int


class ConfigTask:
    """Owns the configuration in force, whose version never decreases.

    Parameters
    ----------
    adapter : Adapter
        Access to the platform's store and its formats.
    pool : PeerPool
        Links to the other nodes.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    """

    def __init__(
        self, adapter: Adapter, pool: PeerPool, clock: Clock, log: Log
    ) -> None:
        self.routes: RouteTable | None = None
        self.version = 0
        self.failed_pulls = 0
        self.checked = ConfigCheck(0, clock.now())
        self.on_change: Callable[[], None] = lambda: None
        # Done once the watch under way is considered lost.
        self._doubt: asyncio.Future[None] | None = None
        self._adapter = adapter
        self._pool = pool
        self._clock = clock
        self._log = log
        self._spec: Any = None
        self.store_reachable = True
        # `bool()` is False: without peers nobody announces changes.
        self.peers_reach_store: Callable[[], bool] = bool
        self._changed_at = 0
        self._previous = 0
        self._history = DeltaHistory()
        # Messages with the version in force, by the base of their difference.
        self._updates: dict[int, messages.Message] = {}
        self.loaded = asyncio.Event()
        self.should_watch: Callable[[], bool] = lambda: True
        self.follower = ConfigFollower(
            ConfigSources(
                self._version_in_force, self._pull, self._read_stored
            ),
            clock,
            log,
        )

    def keyed_services(self) -> set[ServiceName]:
        """Return the services whose requests have keys."""
        if self.routes is None:
            return set()
        return {
            service.name
            for service in self.routes.services.values()
            if service.keyed
        }

    def refused_count(self) -> int:
        """Return the number of routes disabled by invalid fields."""
        return 0 if self.routes is None else len(self.routes.cfg.refused)

    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return DEFAULT_LIMITS if self.routes is None else self.routes.cfg.limits

    async def run(self) -> None:
        """Watch the store and follow announcements until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_store())
            group.create_task(self.follower.run())

    def accept(self, spec: Any, source: str) -> bool:
        """Put a configuration in force if it is valid and newer."""
        began = self._clock.now()
        try:
            cfg = self._adapter.decode_config(spec)
        except ConfigurationError as exc:
            self._log.error('config_refused', source=source, error=str(exc))
            return False
        if cfg.version <= self.version:
            return False
        self.routes = RouteTable(cfg)
        now = self._clock.now()
        self._log.info(
            'config_in_force',
            version=cfg.version,
            before=self.version,
            routes=len(cfg.routes),
            refused=len(cfg.refused),
            source=source,
            decode_ms=now - began,
            announced=self.follower.announced,
            announced_ms=self.follower.behind_ms(cfg.version),
        )
        for refused in cfg.refused[:MAX_REFUSED_LINES]:
            self._log.error(
                'route_refused',
                host=refused.host,
                path=refused.prefix,
                field=refused.field,
                error=refused.error,
            )
        if self.version:
            self._history.add(self.version, make_delta(self._spec, spec))
        self._previous, self.version = self.version, cfg.version
        self._spec = spec
        self._updates.clear()
        self.loaded.set()
        if self._doubt is not None:
            self._doubt.get_loop().call_later(
                WATCH_LAG_MS / MS_PER_SECOND, _resolve, self._doubt
            )
        return True

    async def check(self, revision: int) -> None:
        """Accept what was stored after a revision, and record the check.

        Raises
        ------
        PlatformError
            If the store does not answer; the watch under way is then
            considered lost.
        """
        sent_at = self._clock.now()
        try:
            listing = await self._changes_since(revision)
        except PlatformError:
            if self._doubt is not None:
                _resolve(self._doubt)
            raise
        self._accept_listing(listing, 'check', sent_at)

    def update_message(self, base: int) -> messages.Message:
        """Return the message with the configuration in force.

        Parameters
        ----------
        base : int
            Version that the receiver has, 0 if none.
        """
        if base >= self.version:
            return messages.ConfigUpdate(version=self.version)
        update = self._updates.get(base)
        if update is None:
            update = self._delta_message(base) or self._whole_message()
            self._updates[base] = update
        return update

    def push_message(self) -> messages.Message | None:
        """Return what the version in force has changed, None if that is much.

        Notes
        -----
        Every node that watches sends it to all others, so that each receives
        it several times.
        """
        update = self.update_message(self._previous)
        small = bool(update.base) and len(update.text) <= MAX_PUSH_BYTES
        return update if small else None

    def apply_update(self, update: messages.Message, source: str) -> bool:
        """Put a peer's configuration in force if it is newer."""
        if not isinstance(update, messages.ConfigUpdate) or not update.text:
            return False
        if update.base and update.base != self.version:
            return False
        try:
            text = unpack(
                update.text, packed=bool(update.packed), most=MAX_STATE_BYTES
            )
            spec = parse_json(text)
            if update.base:
                spec = functools.reduce(apply_delta, spec, self._spec)
        except (TypeError, MalformedMessageError) as exc:
            self._log.error('config_unreadable', error=str(exc))
            return False
        return self.accept(spec, source)

    def _delta_message(self, base: int) -> messages.Message | None:
        """Return the differences from a version, None if it is not known."""
        deltas = self._history.since(base) if base else None
        if deltas is None:
            return None
        encoded = _to_json(deltas)
        if len(encoded) > MAX_STATE_BYTES:
            return None
        text, packed = pack(encoded)
        is_large = len(text) > MAX_PUSH_BYTES
        if is_large and len(text) >= len(self._whole_message().text):
            return None
        return messages.ConfigUpdate(
            version=self.version, text=text, packed=packed, base=base
        )

    def _whole_message(self) -> messages.Message:
        whole = self._updates.get(0)
        if whole is None:
            text, packed = pack(_to_json(self._spec))
            whole = messages.ConfigUpdate(
                version=self.version, text=text, packed=packed
            )
            self._updates[0] = whole
        return whole

    def _version_in_force(self) -> int:
        return self.version

    async def _pull(self, address: str) -> int | None:
        """Pull a peer's configuration; return its version, None on failure."""
        while True:
            base = self.version
            query = messages.MeshPull(service_name='', version=base)
            began = self._clock.now()
            try:
                reply = await self._pool.call(address, query, PULL_LIMIT_MS)
            except LinkError as exc:
                self.failed_pulls += 1
                self._log.info(
                    'config_not_pulled',
                    peer=address,
                    error=str(exc),
                    took_ms=self._clock.now() - began,
                )
                return None
            if self.apply_update(reply, address) or self.version == base:
                return getattr(reply, 'version', None)
            # Another source was faster; the difference is from an old version.

    async def _read_stored(self) -> int | None:
        """Read the store; return the version found, None on failure."""
        began = self._clock.now()
        try:
            listing = await self._adapter.list_config()
        except PlatformError as exc:
            self._log.info(
                'config_not_read',
                error=str(exc),
                took_ms=self._clock.now() - began,
            )
            return None
        self._accept_listing(listing, 'store', began)
        return self.version

    async def _changes_since(self, revision: int) -> Listing:
        if not revision:
            return await self._adapter.list_config()
        try:
            listing = await self._adapter.check_config(revision)
        except HistoryLostError:
            return await self._adapter.list_config()
        if listing.unreadable:
            # One of the changes may have been of the configuration.
            return await self._adapter.list_config()
        return listing

    async def _watch_store(self) -> None:
        """Read and watch the stored configuration until cancelled."""
        revision: int | None = None
        while True:
            try:
                revision = await self._next_revision(revision)
            except PlatformError as exc:
                revision = None
                self._log_store_lost(str(exc))
                usual = LONG_RETRY_MS if self.peers_reach_store() else RETRY_MS
                pause = usual * (0.5 + random.random())
                await asyncio.sleep(pause / MS_PER_SECOND)
            else:
                self._log_store_back()

    async def _next_revision(self, revision: int | None) -> int | None:
        """Read, watch or wait; return the revision to continue from."""
        if revision is None:
            return await self._read()
        if not self.should_watch():
            # Other nodes watch, and their statuses announce newer versions.
            await asyncio.sleep(IDLE_POLL_MS / MS_PER_SECOND)
            return revision
        return await self._watch(revision)

    async def _read(self) -> int | None:
        sent_at = self._clock.now()
        listing = await self._adapter.list_config()
        if not listing.objects:
            await asyncio.sleep(ABSENT_MS / MS_PER_SECOND)
            return None
        self._accept_listing(listing, 'store', sent_at)
        # The revision of the object may be older than the store's history.
        return listing.at

    async def _watch(self, revision: int) -> int | None:
        try:
            listing = await self._watch_or_doubt(revision)
        except PlatformError as exc:
            # The store cuts off watches and drops its history at any time.
            # The version of now is read instead; if that fails, it is lost.
            self._log.info('watch_ended', error=str(exc))
            pause = REREAD_MS * (0.5 + random.random())
            await asyncio.sleep(pause / MS_PER_SECOND)
            return None
        if not listing.unreadable:
            self._accept_listing(listing, 'watch', self._clock.now())
        if not listing.objects and not listing.unreadable:
            return listing.at
        previous, self._changed_at = self._changed_at, self._clock.now()
        if self._changed_at - previous > STORM_MS and not listing.unreadable:
            return listing.at
        # A watch would return every version, a read only the last one; and a
        # change that cannot be read may have been one of the configuration.
        await asyncio.sleep(STORM_PAUSE_MS / MS_PER_SECOND)
        return None

    async def _watch_or_doubt(self, revision: int) -> Listing:
        """Watch until the store answers, or until the watch seems lost."""
        watch = asyncio.ensure_future(
            self._adapter.watch_config(revision, WATCH_MS)
        )
        self._doubt = asyncio.get_running_loop().create_future()
        try:
            await asyncio.wait(
                (watch, self._doubt), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
        finally:
            self._doubt = None
            watch.cancel()
        raise PlatformError('no answer to a watch that seems lost')

    def _accept_listing(
        self, listing: Listing, source: str, asked_at: int
    ) -> None:
        """Accept and announce what is stored; it was the newest when asked."""
        stored = listing.objects
        if stored and self.accept(stored[-1].spec, source):
            self.on_change()
        self.checked = ConfigCheck(listing.at, asked_at)

    def _log_store_lost(self, error: str) -> None:
        if self.store_reachable:
            self.store_reachable = False
            self._log.warning('store_lost', error=error)

    def _log_store_back(self) -> None:
        if not self.store_reachable:
            self.store_reachable = True
            self._log.info('store_back')


def _resolve(fut: 'asyncio.Future[None]') -> None:
    if not fut.done():
        fut.set_result(None)


def _to_json(fields: Any) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()
