"""Fetching a version of the configuration that other nodes have announced.

Several sources are tried in a staggered race, so that one that does not answer
delays a version by one step only.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from savoryhold.core.clock import Clock
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import Log

__all__ = ['ConfigFollower', 'ConfigSources']

MS_PER_SECOND = 1000
# Between the starts of two attempts.  On a busy link, several at once would
# slow one another down.
STEP_MS = 250
STORE_AFTER_MS = 800  # the store sends the whole configuration, uncompressed
MAX_RETRY_MS = 2000
MAX_PULLS = 3  # at once
STORE = ''  # stands for the store among the addresses of peers


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSources:
    """Where the configuration can be fetched; each call returns a version.

    Parameters
    ----------
    version : callable
        Returns the version in force, 0 if there is none.
    pull : callable
        Pulls the configuration from the peer at an address.  Returns the
        peer's version, None if it cannot be fetched.
    read : callable
        Reads the configuration from the store.  Returns the stored version,
        None if it cannot be read.
    """

    version: Callable[[], int]
    pull: Callable[[str], Awaitable[int | None]]
    read: Callable[[], Awaitable[int | None]]


@dataclasses.dataclass(slots=True)
class _Announcement:
    """The newest version that a peer has announced, and when."""

    version: int
    at: int


class ConfigFollower:
    """Follows the versions that other nodes announce.

    Parameters
    ----------
    sources : ConfigSources
        Access to the version in force, the peers and the store.
    clock : Clock
        Source of time.
    log : Log
        Logger of this node.
    """

    def __init__(self, sources: ConfigSources, clock: Clock, log: Log) -> None:
        self._sources = sources
        self._clock = clock
        self._log = log
        # By address, in the order of arrival.  Versions of nodes from which
        # nothing may be fetched are kept under the address of the store.
        self._announced: dict[str, _Announcement] = {}
        self._last_source = STORE
        self._failures: dict[str, int] = {}
        self._retry_at: dict[str, int] = {}
        self._attempts: dict[str, asyncio.Task[int | None]] = {}
        self._began_at: dict[str, int] = {}
        self._is_behind = asyncio.Event()
        self._announced_at = 0
        self._highest = 0

    @property
    def announced(self) -> int:
        """Return the newest version that was announced, 0 if none."""
        return self._highest

    def behind_ms(self, version: int) -> int:
        """Return the time since a version was announced, 0 if it was not."""
        if version > self._highest:
            return 0
        return self._clock.now() - self._announced_at

    def on_announced(self, version: int, node: NodeId, address: str) -> None:
        """Record that a node has a version.

        Parameters
        ----------
        version : int
            Version of the node.
        node : NodeId
            Name of the node.
        address : str
            Address to pull from; empty if nothing may be fetched from the
            node.
        """
        if version <= self._sources.version():
            return
        now = self._clock.now()
        known = self._announced.get(address)
        if known is None or known.version < version:
            self._announced[address] = _Announcement(version, now)
        if version > self._highest:
            self._highest, self._announced_at = version, now
            self._log.info(
                'config_announced',
                version=version,
                peer=node,
                in_force=self._sources.version(),
            )
        self._is_behind.set()

    async def run(self) -> None:
        """Fetch what is announced until cancelled."""
        while True:
            await self._is_behind.wait()
            try:
                await self._catch_up()
            finally:
                self._end_attempts()

    async def _catch_up(self) -> None:
        """Try sources until nothing newer than what is in force is known."""
        in_force, since = self._sources.version(), self._clock.now()
        while self._is_still_behind():
            if self._sources.version() != in_force:
                in_force, since = self._sources.version(), self._clock.now()
            self._start_next(since)
            if self._attempts:
                await asyncio.wait(
                    self._attempts.values(),
                    timeout=STEP_MS / MS_PER_SECOND,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            else:
                await asyncio.sleep(STEP_MS / MS_PER_SECOND)
            self._collect()

    def _is_still_behind(self) -> bool:
        in_force = self._sources.version()
        for address, known in list(self._announced.items()):
            if known.version <= in_force:
                del self._announced[address]
        if not self._announced:
            self._is_behind.clear()
        return bool(self._announced)

    # Attempts ---------------------------------------------------------------

    def _start_next(self, since: int) -> None:
        """Start an attempt at the best source that is not being tried.

        Parameters
        ----------
        since : int
            When the version in force was put in force, or was first found to
            be behind.
        """
        now = self._clock.now()
        if self._may_try(STORE, now) and now - since >= STORE_AFTER_MS:
            self._start(STORE, self._sources.read())
            return
        peers = self._peers_to_try(now)
        if peers:
            # The last source is likely to have the version that this node
            # has, and to send only what has changed since.
            best = min(peers, key=self._rank)
            self._start(best, self._sources.pull(best))
        elif self._may_try(STORE, now) and self._has_failed():
            self._start(STORE, self._sources.read())

    def _peers_to_try(self, now: int) -> list[str]:
        pulls = len(self._attempts) - (STORE in self._attempts)
        if pulls >= MAX_PULLS:
            return []
        return [
            address
            for address in self._announced
            if address != STORE and self._may_try(address, now)
        ]

    def _has_failed(self) -> bool:
        """Return whether peers have failed and none is being tried."""
        failed = any(address in self._failures for address in self._announced)
        return failed and not self._attempts

    def _may_try(self, address: str, now: int) -> bool:
        return address not in self._attempts and now >= self._retry_at.get(
            address, 0
        )

    def _rank(self, address: str) -> tuple[int, bool]:
        return self._failures.get(address, 0), address != self._last_source

    def _start(self, address: str, work: Awaitable[int | None]) -> None:
        self._began_at[address] = self._clock.now()
        self._attempts[address] = asyncio.ensure_future(work)

    def _collect(self) -> None:
        """Process the attempts that have ended."""
        for address, task in list(self._attempts.items()):
            if not task.done():
                continue
            del self._attempts[address]
            version = task.result()
            if version is None or version > self._sources.version():
                # Not fetched, or fetched and not put in force.
                self._record_failure(address)
            else:
                self._record_success(address, version)

    def _record_failure(self, address: str) -> None:
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        pause = min(MAX_RETRY_MS, STEP_MS * 2**failures)
        pause = round(pause * (0.5 + random.random()))
        self._retry_at[address] = self._clock.now() + pause

    def _record_success(self, address: str, version: int) -> None:
        self._failures.pop(address, None)
        self._retry_at.pop(address, None)
        if address != STORE:
            self._last_source = address
        began_at = self._began_at[address]
        for source, known in list(self._announced.items()):
            # The store has all versions that any node announced before.
            disproved = source == address or address == STORE
            if disproved and known.at <= began_at and known.version > version:
                del self._announced[source]
                self._log.warning(
                    'config_not_found',
                    version=known.version,
                    found=version,
                    announced_by=source,
                )

    def _end_attempts(self) -> None:
        for task in self._attempts.values():
            task.cancel()
        self._attempts.clear()
