"""Holds the watch on the store, if this node is one that should."""

import asyncio

from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import Version
from savoryhold.core.rendezvous import is_watcher
from savoryhold.daemon.node import NodeTask, jittered

__all__ = ['WatcherTask']

WATCH_MS = 10_000
IDLE_MS = 500
RETRY_MS = 500


class WatcherTask:
    """Reads the store at the start, then watches it when chosen.

    Parameters
    ----------
    node : NodeTask
        Where news goes.
    """

    def __init__(self, node: NodeTask) -> None:
        self.synced = asyncio.Event()
        self.watching = False
        self._node = node

    async def run(self) -> None:
        """Watch until cancelled."""
        revision: Version | None = None
        while True:
            try:
                revision = await self._round(revision)
            except PlatformError as exc:
                self._node.log.warning('watch_failed', error=str(exc))
                revision = None
                await asyncio.sleep(jittered(RETRY_MS))

    async def _round(self, revision: Version | None) -> Version | None:
        if self.synced.is_set() and not self._chosen():
            self.watching = False
            await asyncio.sleep(jittered(IDLE_MS))
            return None
        if revision is None:
            found_at = await self._node.read_snapshot()
            self.synced.set()
            return found_at
        self.watching = True
        seen = await self._node.platform.watch('', revision, WATCH_MS)
        for found in seen.objects:
            self._node.learn_object(found)
        return seen.revision

    def _chosen(self) -> bool:
        machine = self._node.machine
        return is_watcher(machine.holder.profile, machine.directory.active())
