"""Watch on the store, held by a few chosen nodes."""

import asyncio

from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import Version
from savoryhold.core.rendezvous import is_watcher
from savoryhold.daemon.node import NodeTask, jittered

__all__ = ['WatcherTask']

# A watch whose answer is lost looks like one without changes until it ends.
WATCH_MS = 1000
IDLE_MS = 500
RETRY_MS = 500


class WatcherTask:
    """Reads the store once, then watches it while this node is a watcher.

    Parameters
    ----------
    node : NodeTask
        Calls the store and applies what is read from it.

    Notes
    -----
    Nodes that are not watchers learn of changes by gossip.
    """

    def __init__(self, node: NodeTask) -> None:
        self.synced = asyncio.Event()
        self.watching = False
        self._node = node

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        revision: Version | None = None
        while True:
            try:
                revision = await self._watch_once(revision)
            except PlatformError as exc:
                self._node.log.warning('watch_failed', error=str(exc))
                revision = None
                await asyncio.sleep(jittered(RETRY_MS))

    async def _watch_once(self, revision: Version | None) -> Version | None:
        if self.synced.is_set() and not self._is_watcher():
            self.watching = False
            await asyncio.sleep(jittered(IDLE_MS))
            return None
        if revision is None:
            read_at = await self._node.read_snapshot()
            self.synced.set()
            return read_at
        self.watching = True
        changed = await self._node.platform.watch('', revision, WATCH_MS)
        for found in changed.objects:
            self._node.learn_object(found)
        # What cannot be read may hide a change of any object.
        return None if changed.unreadable else changed.revision

    def _is_watcher(self) -> bool:
        machine = self._node.machine
        return is_watcher(machine.holder.profile, machine.directory.active())
