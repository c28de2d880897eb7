"""Departures: targets of a node that have announced that they leave.

They are stored with the node's entry in the registry before an announcement is
confirmed, so that no later process of the node uses such a target again.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from savoryhold.core.decoding import UNREADABLE, plain_text, whole_number
from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import MeshStore
from savoryhold.mesh.node_entry import NodeEntry
from savoryhold.ranges import TargetLife

__all__ = ['Departures']

MS_PER_SECOND = 1000
RECORD_MS = 500  # the target ignores a confirmation after one second
ATTEMPTS = 2
MAX_DEPARTED = 8
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
        self.on_loaded: Callable[[], None] = lambda: None
        self._entry = NodeEntry(node, store)
        self._log = log
        self._lives: list[TargetLife] = []
        self._stored: frozenset[TargetLife] = frozenset()
        self._lock = asyncio.Lock()

    def has(self, life: TargetLife) -> bool:
        """Return whether an incarnation has announced its leave."""
        return life in self._lives

    def has_later(self, life: TargetLife) -> bool:
        """Return whether one that has left was started after an incarnation."""
        return any(other.born > life.born for other in self._lives)

    def is_stored(self, life: TargetLife) -> bool:
        """Return whether later processes of the node will know of a leave."""
        return life in self._stored

    def load(self, entry: Any) -> None:
        """Take over the entry that an earlier process has left, if any."""
        if entry is not None:
            self.restore(entry)
        self.loaded.set()
        self.on_loaded()

    def restore(self, entry: Any) -> None:
        """Take over what this node's entry in the registry tells."""
        try:
            stored = [_decode(row) for row in entry.get(FIELD, ())]
        except UNREADABLE as exc:
            self._log.warning('departures_unreadable', error=repr(exc))
            return
        self._stored = frozenset(stored)
        for life in stored:
            self.add(life)

    def add_to(self, entry: dict[str, Any]) -> dict[str, Any]:
        """Return an entry of this node with the departures in it."""
        if not self._lives:
            return entry
        rows = [[life.target, life.born] for life in self._lives]
        return {**entry, FIELD: rows}

    def add(self, life: TargetLife) -> None:
        """Add a departure, which is not stored yet."""
        if life in self._lives:
            return
        self._lives.append(life)
        if len(self._lives) > MAX_DEPARTED:
            # Later ones show that the earliest has ended.
            known = [each for each in self._lives if each in self._stored]
            self._lives.remove(min(known or self._lives, key=_born_at))

    async def record(self, life: TargetLife) -> bool:
        """Record a departure; return whether it is stored."""
        self.add(life)
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
                if self.is_stored(life) or await self._entry.write(self):
                    return


def _decode(row: Any) -> TargetLife:
    target, born = row
    return TargetLife(plain_text(target), whole_number(born))


def _born_at(life: TargetLife) -> int:
    return life.born
