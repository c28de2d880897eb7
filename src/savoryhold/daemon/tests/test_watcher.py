"""Watches of the store by the native daemon."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import Version
from savoryhold.daemon.logs import get_log
from savoryhold.daemon.watcher import WatcherTask
from savoryhold.mesh.tests.virtual_time import VirtualTimeCase
from savoryhold.store.client import WATCH_GRACE_MS

SEEN_S = 4.0  # a lost watch, a pause and a read


class TestLostWatch(VirtualTimeCase):
    """A watch whose answer is lost."""

    # A daemon waited 12 s for the answer to a watch before it read the store.
    async def test_store_is_read_soon_after_a_lost_watch(self) -> None:
        """Every daemon that watches may have lost its watch at once."""
        reads: list[float] = []
        loop = asyncio.get_running_loop()

        async def read() -> Version:  # noqa: WPS430
            reads.append(loop.time())
            return Version(1)

        async def watch(*given: Any) -> None:  # noqa: WPS430
            await asyncio.sleep((given[-1] + WATCH_GRACE_MS) / 1000)
            raise PlatformError('no answer')

        node = SimpleNamespace(
            read_snapshot=read,
            platform=SimpleNamespace(watch=watch),
            log=get_log(node='n'),
        )
        task = WatcherTask(cast(Any, node))
        with mock.patch.object(task, '_is_watcher', return_value=True):
            work = asyncio.ensure_future(task.run())
            await asyncio.sleep(2 * SEEN_S)
            work.cancel()
        self.assertGreaterEqual(len(reads), 3)
        self.assertLessEqual(reads[1] - reads[0], SEEN_S)
