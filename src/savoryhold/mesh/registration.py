"""Registration of a node in the store, and the nodes found there."""

import asyncio
import random
from typing import Any

from savoryhold.core.decoding import UNREADABLE, host_port, plain_text
from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId, Region, Zone
from savoryhold.mesh.departures import Departures
from savoryhold.mesh.interface import (
    NODE_KIND,
    MeshStore,
    StoreConflictError,
    StoredObject,
)
from savoryhold.mesh.node_context import NodeContext
from savoryhold.mesh.peers import PeerTask
from savoryhold.mesh.places import Place
from savoryhold.mesh.quarantine_record import QuarantineRecord

__all__ = ['RegistrationTask']

MS_PER_SECOND = 1000
REGISTER_RETRY_MS = 400


class RegistrationTask:
    """Registers this node once, and reads which other nodes there are.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    store : MeshStore
        Store of the registry.
    departures : Departures
        Incarnations of the target that have announced their leave.
    peers : PeerTask
        Introduces the node to the others.
    quarantine : QuarantineRecord, optional
        Quarantined requests in the entries of all nodes.
    """

    def __init__(
        self,
        context: NodeContext,
        store: MeshStore,
        departures: Departures,
        peers: PeerTask,
        quarantine: QuarantineRecord | None = None,
    ) -> None:
        self._settings = context.settings
        self._members = context.members
        self._log = context.log
        self._store = store
        self._departures = departures
        self._peers = peers
        self._quarantine = quarantine

    async def run(self) -> None:
        """Try to register until the store has accepted it."""
        while True:
            try:
                await self.register()
            except PlatformError as exc:
                self._log.info('register_failed', error=str(exc))
                pause = REGISTER_RETRY_MS * (0.5 + random.random())
                await asyncio.sleep(pause / MS_PER_SECOND)
            else:
                return

    async def register(self) -> None:
        """Register this node, and read the other nodes.

        Raises
        ------
        PlatformError
            If the store fails.
        """
        cfg = self._settings
        spec = {
            'address': cfg.advertised,
            'zone': cfg.zone,
            'region': cfg.region,
        }
        try:
            await self._store.create(NODE_KIND, cfg.node, spec)
        except StoreConflictError:
            self._log.debug('already_registered')
        # Read after the write, so that at least one of two nodes that start
        # together finds the other.
        registry = await self.read_registry()
        stored = registry.get(cfg.node)
        specs = {name: entry.spec for name, entry in registry.items()}
        if self._quarantine is not None:
            self._quarantine.load(specs)
            spec = self._quarantine.add_to(spec)
        self._departures.load(specs.get(cfg.node))
        spec = self._departures.add_to(spec)
        if stored is None or stored.spec != spec:
            # A departure may have been stored since the entries were read.
            version = None if stored is None else stored.version
            await self._store.replace(NODE_KIND, cfg.node, spec, version)
        self._log.info('registered', members=len(self._members.addresses))
        self._peers.introduce()
        if self._members.by_zone:
            await self._peers.digests.pull()

    async def read_registry(self) -> dict[str, StoredObject]:
        """Add the registered nodes to the members; return all entries."""
        listing = await self._store.list(NODE_KIND)
        if listing.unreadable:
            self._log.warning('entries_unreadable', count=listing.unreadable)
        for entry in listing.objects:
            try:
                address = host_port(entry.spec['address'])
                place = _place_of(entry.spec)
            except UNREADABLE as exc:
                self._log.warning(
                    'entry_unreadable', name=entry.name, error=repr(exc)
                )
            else:
                self._members.add_address(NodeId(entry.name), address, place)
        self._members.registry_loaded = True
        return {found.name: found for found in listing.objects}


def _place_of(spec: dict[str, Any]) -> Place:
    """Return the place that a node has registered."""
    return Place(
        Zone(plain_text(spec.get('zone', ''), least=0)),
        Region(plain_text(spec.get('region', ''), least=0)),
    )
