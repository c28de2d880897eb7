"""Record of quarantined requests, which outlasts the processes of all nodes.

A node whose target crashed on a quarantined request keeps its strikes in the
node's own entry in the registry.  Every process that starts reads all entries.
"""

import asyncio
import dataclasses
from typing import Any

from savoryhold.core.clock import Clock, WallClock
from savoryhold.core.decoding import UNREADABLE, plain_text, whole_number
from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId
from savoryhold.core.poison import QUARANTINE_MS, Fingerprint, Strike
from savoryhold.daemon.logs import Log
from savoryhold.mesh.interface import MeshStore
from savoryhold.mesh.local_target import LocalTarget
from savoryhold.mesh.node_entry import NodeEntry

__all__ = ['QuarantineRecord']

MS_PER_SECOND = 1000
RETRY_MS = 2000
MAX_RECORDED = 16
FIELD = 'quarantined'
HEX = 16  # base, and digits
ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """Strikes of one request; `at` is the time of day of the last crash."""

    at: int
    incidents: frozenset[str]


class QuarantineRecord:
    """Keeps the quarantined requests that crashed the local target.

    Parameters
    ----------
    node : NodeId
        Name of this node.
    store : MeshStore
        Store of the registry.
    target : LocalTarget
        Target whose guard is kept.
    clock : Clock
        Source of time of the guard.
    log : Log
        Logger of this node.
    wall : Clock
        Time of day, for what is stored.
    """

    def __init__(
        self,
        node: NodeId,
        store: MeshStore,
        target: LocalTarget,
        clock: Clock,
        log: Log,
        wall: Clock | None = None,
    ) -> None:
        self._entry = NodeEntry(node, store)
        self._node = node
        self._target = target
        self._clock = clock
        self._log = log
        self._wall = wall or WallClock()
        self._stored: dict[Fingerprint, _Row] = {}
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Write the record if it has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Write the record whenever it has changed, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self._try_to_write():
                await asyncio.sleep(RETRY_MS / MS_PER_SECOND)
                self._changed.set()

    async def _try_to_write(self) -> bool:
        """Write the record, if need be; return whether it is stored."""
        try:
            async with asyncio.timeout(RETRY_MS / MS_PER_SECOND):
                await self._write()
        except (PlatformError, TimeoutError) as exc:
            self._log.warning('quarantine_not_stored', error=repr(exc))
        return not self._is_outdated()

    async def _write(self) -> None:
        for _ in range(ATTEMPTS):
            if not self._is_outdated() or await self._entry.write(self):
                return

    def load(self, registry: dict[str, Any]) -> None:
        """Take over the strikes in the entries of all nodes."""
        for node, entry in registry.items():
            try:
                rows = _decode(entry)
            except UNREADABLE as exc:
                self._log.warning(
                    'quarantine_unreadable', name=node, error=repr(exc)
                )
                continue
            if node == self._node:
                self._stored = rows
            self._adopt(rows)

    def restore(self, entry: Any) -> None:
        """Take over what this node's entry holds."""
        try:
            self._stored = _decode(entry)
        except UNREADABLE:
            # Another writer has changed it; it is written anew.
            self._stored = {}

    def add_to(self, entry: dict[str, Any]) -> dict[str, Any]:
        """Return an entry of this node with the record in it."""
        rows = [
            [f'{fingerprint:0{HEX}x}', row.at, sorted(row.incidents)]
            for fingerprint, row in self._rows().items()
        ]
        others = {name: entry[name] for name in entry if name != FIELD}
        return {**others, FIELD: rows} if rows else others

    def _adopt(self, rows: dict[Fingerprint, _Row]) -> None:
        now, wall = self._clock.now(), self._wall.now()
        for fingerprint, row in rows.items():
            # The time of day may have been set back.
            ago_ms = max(0, wall - row.at)
            if ago_ms >= QUARANTINE_MS:
                continue
            for incident in sorted(row.incidents):
                strike = Strike(fingerprint, incident, ago_ms)
                self._target.poison.strike(strike, now)

    def _rows(self) -> dict[Fingerprint, _Row]:
        """Return what is to be stored, the latest requests only."""
        now, wall = self._clock.now(), self._wall.now()
        found = {}
        for fingerprint, strikes in self._target.poison.quarantined(
            now
        ).items():
            incidents = frozenset(strike.incident for strike in strikes)
            if not any(self._is_own(incident) for incident in incidents):
                continue
            known = self._stored.get(fingerprint)
            if known is None or known.incidents != incidents:
                at = wall - min(strike.ago_ms for strike in strikes)
                known = _Row(at, incidents)
            found[fingerprint] = known
        return dict(list(found.items())[-MAX_RECORDED:])

    def _is_own(self, incident: str) -> bool:
        return incident.startswith(f'{self._node}/')

    def _is_outdated(self) -> bool:
        """Return whether the stored record lacks a request, or has one more.

        Notes
        -----
        A further strike changes nothing, and a request whose quarantine has
        ended is dropped with the next write.
        """
        rows, wall = self._rows(), self._wall.now()
        if rows.keys() - self._stored.keys():
            return True
        return any(
            wall - self._stored[fingerprint].at < QUARANTINE_MS
            for fingerprint in self._stored.keys() - rows.keys()
        )


def _decode(entry: Any) -> dict[Fingerprint, _Row]:
    rows = {}
    for text, at, incidents in entry.get(FIELD, ()):
        fingerprint = Fingerprint(whole_number(int(plain_text(text), HEX)))
        names = frozenset(plain_text(incident) for incident in incidents)
        rows[fingerprint] = _Row(whole_number(at), names)
    return rows
