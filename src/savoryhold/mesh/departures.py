"""Departures: targets of a node that have announced that they leave.

They are stored with the node's entry in the registry before an announcement is
confirmed, so that no later process of the node uses such a target again.
"""

import asyncio
from collections import deque
from typing import Any

from savoryhold.core.decoding import UNREADABLE, plain_text, whole_number
from savoryhold.core.errors import PlatformError, VersionConflictError
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import NODE_KIND, MeshStore
from savoryhold.ranges import TargetLife

__all__ = ['Departures']

MS_PER_SECOND = 1000
RECORD_MS = 500  # the target ignores a confirmation after one second
ATTEMPTS = 2
MAX_DEPARTED = 8  # reports of older incarnations have long arrived
FIELD = 'departed'


class Departures:
    """Incarnations of the local target that have announced their leave.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    store : MeshStore
        Store of the registry.
    log : Log
        Logger of this node.
    """

    def __init__(self, node: NodeId, store: MeshStore, log: Log) -> None:
        # Set once the entry that an earlier process has left is known.
        self.loaded = asyncio.Event()
        self._node = node
        self._store = store
        self._log = log
        self._lives: deque[TargetLife] = deque(maxlen=MAX_DEPARTED)
        self._stored: frozenset[TargetLife] = frozenset()
        self._lock = asyncio.Lock()

    def has(self, life: TargetLife) -> bool:
        """Return whether an incarnation has announced its leave."""
        return life in self._lives

    def is_stored(self, life: TargetLife) -> bool:
        """Return whether later processes of the node will know of a leave."""
        return life in self._stored

    def restore(self, entry: Any) -> None:
        """Take over what this node's entry in the registry tells."""
        try:
            stored = [_decode(row) for row in entry.get(FIELD, ())]
        except UNREADABLE as exc:
            self._log.warning('departures_unreadable', error=repr(exc))
            return
        for life in stored:
            self._add(life)
        self._stored = frozenset(stored)

    def add_to(self, entry: dict[str, Any]) -> dict[str, Any]:
        """Return an entry of this node with the departures in it."""
        if not self._lives:
            return entry
        rows = [[life.target, life.born] for life in self._lives]
        return {**entry, FIELD: rows}

    async def record(self, life: TargetLife) -> bool:
        """Record a departure; return whether it is stored."""
        self._add(life)
        try:
            async with asyncio.timeout(RECORD_MS / MS_PER_SECOND):
                await self._store_departure(life)
        except (PlatformError, TimeoutError) as exc:
            self._log.warning(
                'departure_not_stored',
                target=life.target,
                born=life.born,
                error=repr(exc),
            )
        return self.is_stored(life)

    async def _store_departure(self, life: TargetLife) -> None:
        # The target repeats its announcement while this runs.
        async with self._lock:
            for _ in range(ATTEMPTS):
                if self.is_stored(life) or await self._write():
                    return

    async def _write(self) -> bool:
        """Add the departures to the entry; return whether it has changed."""
        stored = await self._store.read(NODE_KIND, self._node)
        if stored is None or not isinstance(stored.spec, dict):
            raise PlatformError(f'{self._node} is not registered')
        self.restore(stored.spec)
        entry = self.add_to(stored.spec)
        if entry == stored.spec:
            return True
        try:
            written = await self._store.replace(
                NODE_KIND, self._node, entry, stored.version
            )
        except VersionConflictError:
            return False
        self.restore(written.spec)
        return True

    def _add(self, life: TargetLife) -> None:
        if life not in self._lives:
            self._lives.append(life)


def _decode(row: Any) -> TargetLife:
    target, born = row
    return TargetLife(plain_text(target), whole_number(born))
