"""Evacuations: zones whose targets get no requests until operators end it.

An evacuation is an object of the store whose name is the zone.  The nodes that
watch the configuration watch these, too, and announce each change.  All
statuses carry the set of zones and the revision of the store at which it was
known; the highest revision wins, so that a node that missed the announcement
catches up with the next status.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection

from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import Zone
from savoryhold.mesh.interface import Adapter, Listing
from savoryhold.mesh.members import NodeStatus
from savoryhold.mesh.node_context import NodeContext

__all__ = ['EvacuationSet', 'EvacuationTask']

MS_PER_SECOND = 1000
# Of the time in which an evacuation takes effect.  A watch whose answer is lost
# is given up 1.5 s after this; of 5 s, 2 s remain to read and to announce.
WATCH_SHARE = 0.3
PAUSE_MS = 50  # between two calls, if the store answers at once
IDLE_MS = 500  # after which a node checks again whether to watch
RETRY_MS = 400
LONG_RETRY_MS = 2000  # of nodes that need not watch
REGISTRY_MS = 1000  # longest wait for the addresses of peers after a start
REGISTRY_POLL_MS = 20
MAX_ZONES = 32  # a status carries all; other writers may store any number
FIRST_REVISION = 1  # an empty store may be at revision 0
STORE = 'store'


class EvacuationSet:
    """The evacuated zones and the store's revision of that knowledge."""

    def __init__(self) -> None:
        self.zones: frozenset[Zone] = frozenset()
        self.revision = 0
        # Whether more zones are stored than `zones` has.
        self._is_cut = False

    @property
    def is_known(self) -> bool:
        """Return whether the set comes from the store, or from a peer."""
        return self.revision > 0

    def learn(self, zones: frozenset[Zone], revision: int) -> bool:
        """Learn a peer's set; return whether it is newer than this one."""
        if revision <= self.revision:
            return False
        self.zones, self.revision = zones, revision
        self._is_cut = len(zones) >= MAX_ZONES
        return True

    def replace(self, listing: Listing, known: Collection[Zone]) -> bool:
        """Learn all stored objects; return whether they are not outdated.

        Parameters
        ----------
        listing : Listing
            All objects of the kind.
        known : collection of Zone
            Zones that have nodes; of too many, these count first.
        """
        revision = max(
            listing.at,
            FIRST_REVISION,
            *(entry.version for entry in listing.objects),
        )
        if revision < self.revision:
            return False
        named = sorted(
            {Zone(entry.name) for entry in listing.objects},
            key=lambda zone: (zone not in known, zone),
        )
        self.zones = frozenset(named[:MAX_ZONES])
        self.revision = revision
        self._is_cut = len(named) > MAX_ZONES
        return True

    def apply(self, changes: Listing) -> bool:
        """Apply changes up to a revision; return False if a read must follow.

        Notes
        -----
        A listing does not tell the order in which one object was stored and
        deleted.  Changes that are older than the set are contained in it.
        """
        if changes.at < self.revision:
            return True
        stored = {Zone(entry.name) for entry in changes.objects}
        deleted = {Zone(name) for name in changes.deleted}
        if changes.unreadable or stored & deleted:
            return False
        zones = self.zones.union(stored) - deleted
        if zones != self.zones and (self._is_cut or len(zones) > MAX_ZONES):
            return False
        self.zones = zones
        versions = (entry.version for entry in changes.objects)
        self.revision = max(changes.at, FIRST_REVISION, *versions)
        return True


class EvacuationTask:
    """Keeps the evacuated zones of a node up to date.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    adapter : Adapter
        Access to the platform's store.
    """

    def __init__(self, context: NodeContext, adapter: Adapter) -> None:
        self.known = EvacuationSet()
        self.should_watch: Callable[[], bool] = lambda: True
        self.pull_statuses: Callable[[], Awaitable[None]] | None = None
        self.on_announce: Callable[[], None] = lambda: None
        # Called when the evacuation of this node's zone has ended.
        self.on_ended: Callable[[], None] = lambda: None
        self._zone = context.settings.zone
        self._limit_ms = context.settings.evacuate_ms
        self._adapter = adapter
        self._members = context.members
        self._owner = context.owner
        self._places = context.places
        self._log = context.log
        self._must_read = True
        self._store_reachable = True
        if self._limit_ms:
            self._places.is_settled = False

    async def run(self) -> None:
        """Follow the stored evacuations until cancelled."""
        if not self._limit_ms:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._limit_ms / MS_PER_SECOND, self._assume_none)
        await self._ask_peers()
        while True:
            pause_ms = await self.follow_once()
            await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def on_status(self, status: NodeStatus) -> None:
        """Learn what a peer knows, if that is newer."""
        if not self._limit_ms or status.evacuated_at <= self.known.revision:
            return
        before = self.known.zones
        self.known.learn(status.evacuated, status.evacuated_at)
        self._must_read = False
        self._put_in_force(before, status.node)

    async def follow_once(self) -> float:
        """Read, watch or wait; return the pause until the next time in ms."""
        watches = self.should_watch()
        if self.known.is_known and not watches:
            # If it is to watch later, it goes on from what peers have told.
            self._must_read = False
            return IDLE_MS
        try:
            await self._ask_store()
        except PlatformError as exc:
            # The store cuts off watches and drops its history at any time.
            # What is stored now is read instead; the set in force holds.
            self._log_failure(str(exc))
            usual = RETRY_MS if watches else LONG_RETRY_MS
            return usual * (0.5 + random.random())
        if not self._store_reachable:
            self._store_reachable = True
            self._log.info('evacuations_readable')
        return PAUSE_MS

    async def _ask_peers(self) -> None:
        """Ask peers for their statuses, unless these have come already."""
        waited_ms = 0
        while not self._members.registry_loaded and waited_ms < REGISTRY_MS:
            await asyncio.sleep(REGISTRY_POLL_MS / MS_PER_SECOND)
            waited_ms += REGISTRY_POLL_MS
        if not self.known.is_known and self.pull_statuses is not None:
            await self.pull_statuses()

    async def _ask_store(self) -> None:
        before, was_known = self.known.zones, self.known.is_known
        if self._must_read:
            listing = await self._adapter.list_evacuations()
            self.known.replace(listing, self._members.index.zones())
            self._must_read = False
        else:
            # Unless the watch is answered, a read must follow.
            self._must_read = True
            changes = await self._adapter.watch_evacuations(
                self.known.revision, round(self._limit_ms * WATCH_SHARE)
            )
            before = self.known.zones
            self._must_read = not self.known.apply(changes)
        # Many nodes may be starting, and each reads for itself.
        if self._put_in_force(before, STORE) and was_known:
            self.on_announce()

    def _put_in_force(self, before: frozenset[Zone], source: str) -> bool:
        """Apply the set that is known now; return whether it has changed."""
        zones = self.known.zones
        self._places.is_settled = True
        self._places.evacuated = zones
        self._places.evacuated_at = self.known.revision
        for zone in sorted(zones ^ before):
            self._log.warning(
                'evacuation_begun' if zone in zones else 'evacuation_ended',
                zone=zone,
                revision=self.known.revision,
                source=source,
            )
        if zones == before:
            return False
        if self._zone in before - zones:
            self.on_ended()
        # Requests that wait for keys here look again where they may run.
        self._owner.wake()
        return True

    def _assume_none(self) -> None:
        """Serve without knowledge rather than not at all."""
        if not self._places.is_settled:
            self._places.is_settled = True
            self._log.error('evacuations_unknown', after_ms=self._limit_ms)

    def _log_failure(self, error: str) -> None:
        if self._store_reachable:
            self._store_reachable = False
            self._log.info('evacuations_not_read', error=error)
