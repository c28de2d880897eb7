"""Checks, shared by all nodes, that no newer configuration is stored.

A watch whose answer is lost looks like one without changes, and all nodes that
watch may have lost theirs at once.  Each status therefore says when its node
last knew that its version was the newest.  If no node has known that for
`CHECK_MS`, the first live node by name asks the store; while it has no answer,
the next ones ask in their order.  The number of checks does not grow with the
fleet.
"""

import asyncio
import random

from savoryhold.core.errors import PlatformError
from savoryhold.core.ids import NodeId
from savoryhold.mesh.config import ConfigCheck
from savoryhold.mesh.node_context import NodeContext

__all__ = ['ConfigCheckTask']

MS_PER_SECOND = 1000
SHORTEST_PAUSE_MS = 20  # between two checks of this node
CHECK_MS = 1000  # a change is to be in force within twice that
NEXT_NODE_MS = 250  # between the checks of one node and of the next by name
FIRST_RETRY_MS = 400  # of the first node, on which the others rely
RETRY_MS = 2000


class ConfigCheckTask:
    """Checks the configuration if no node has done so for some time.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    """

    def __init__(self, context: NodeContext) -> None:
        self._configs = context.configs
        self._members = context.members
        self._clock = context.clock
        self._log = context.log
        self._not_before = 0

    async def run(self) -> None:
        """Check whenever it is due until cancelled."""
        while True:
            due_ms = max(SHORTEST_PAUSE_MS, self.due_in(self._clock.now()))
            await asyncio.sleep(due_ms / MS_PER_SECOND)
            # Another node may have checked meanwhile.
            now = self._clock.now()
            if self.due_in(now) <= 0:
                await self._check(now)

    def due_in(self, now: int) -> int:
        """Return after how many ms this node is to check, if no other does."""
        if not self._configs.version or self._is_behind(now):
            return CHECK_MS
        due_at = self.last_check(now).at + self._wait_ms(now)
        return max(due_at, self._not_before) - now

    def last_check(self, now: int) -> ConfigCheck:
        """Return the last check, by any node, of the version in force."""
        checks = [self._configs.checked]
        for member in self._members.live_members(now):
            status = member.status
            if status.config_at and (
                status.config_version == self._configs.version
            ):
                at = member.received_at - status.config_age_ms
                checks.append(ConfigCheck(status.config_at, at))
        return max(checks, key=lambda check: check.at)

    def _is_behind(self, now: int) -> bool:
        """Return whether a newer version is being fetched.

        Notes
        -----
        The revision that its nodes tell of proves nothing of an older version.
        """
        return any(
            member.status.config_version > self._configs.version
            for member in self._members.live_members(now)
        )

    def _wait_ms(self, now: int) -> int:
        """Return the age of the last check at which this node checks."""
        preceding = self._preceding_nodes(now)
        if not preceding:
            return CHECK_MS
        # The check of another node is known here once its status has come.
        place = self._members.index.places[min(preceding)]
        status_ms = self._members.period_ms(place) + self._members.relay_ms(
            place
        )
        return CHECK_MS + status_ms + NEXT_NODE_MS * len(preceding)

    def _preceding_nodes(self, now: int) -> list[NodeId]:
        """Return the nodes whose turn is before that of this one."""
        return [
            member.status.node
            for member in self._members.live_members(now)
            if member.status.node < self._members.node
            and not member.status.leaving
        ]

    async def _check(self, now: int) -> None:
        try:
            await self._configs.check(self.last_check(now).revision)
        except PlatformError as exc:
            is_first = not self._preceding_nodes(now)
            pause = FIRST_RETRY_MS if is_first else RETRY_MS
            self._not_before = self._clock.now() + round(
                pause * (0.5 + random.random())
            )
            self._log.info(
                'config_not_checked',
                error=str(exc),
                took_ms=self._clock.now() - now,
            )
