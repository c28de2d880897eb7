"""How a node ends: in virtual time, with stand-ins of its neighbours.

Pattern: a process is told to end while requests are on their way to it, at
work in it, or on their way back.
"""

import asyncio
import os
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from savoryhold.mesh.node import MeshNode, linger_ms
from savoryhold.mesh.telemetry import set_up_mesh_logs
from savoryhold.mesh.tests.fleet import NAMES, LoopClock, VirtualTimeCase
from savoryhold.mesh.tests.fleet import mesh_settings as settings_of

GRACE_MS = 6000
BUSY_S = 0.06  # of other work whenever the node wakes
WAKE_S = 0.02
MS_PER_SECOND = 1000


class LeavingCase(VirtualTimeCase):
    """A node that listens nowhere."""

    async def asyncSetUp(self) -> None:
        """Make the node."""
        adapter = SimpleNamespace(names=NAMES, store=None)
        self.settings = settings_of('n0', 'desk', grace_ms=GRACE_MS)
        with mock.patch('savoryhold.mesh.node.BootClock', LoopClock):
            self.node = MeshNode(
                self.settings,
                cast(Any, adapter),
                set_up_mesh_logs(os.open(os.devnull, os.O_WRONLY)),
                lambda: self.settings,
            )
        self.drained_at = -1
        self.node.callers.drain = self.drain  # type: ignore[method-assign]

    async def drain(self) -> None:
        """Note when the callers' connections are closed."""
        self.drained_at = self.node.clock.now()


class TestCallers(LeavingCase):
    """How long a node that nobody asks goes on taking callers."""

    # Polls were counted for time: a node that was short of processor time
    # took callers until the end of its grace, and cut all of them.
    async def test_a_node_short_of_time_leaves_time_for_what_was_read(
        self,
    ) -> None:
        """Callers are taken for a part of the grace, whatever wakes take."""
        hog = asyncio.ensure_future(self.hog())
        await self.node._leave()
        hog.cancel()
        self.assertGreaterEqual(self.drained_at, 0)
        late_ms = 2 * (BUSY_S + WAKE_S) * MS_PER_SECOND
        self.assertLessEqual(self.drained_at, linger_ms(GRACE_MS) + late_ms)

    # Requests were taken 150 ms beyond the linger.
    async def test_last_callers_come_within_the_linger(self) -> None:
        """The time for callers on their way is a part of the linger."""
        await self.node._leave()
        self.assertGreaterEqual(self.drained_at, 0)
        self.assertLessEqual(self.drained_at, linger_ms(GRACE_MS))

    async def hog(self) -> None:
        """Take processor time whenever the node wakes."""
        loop = cast(Any, asyncio.get_running_loop())
        while True:
            await asyncio.sleep(WAKE_S)
            loop.advance(BUSY_S)
