"""Fetching the tables that other nodes have announced in newer versions."""

import asyncio
from collections.abc import Awaitable, Callable

from savoryhold.core.ids import ServiceName

__all__ = ['TableFollower']

MS_PER_SECOND = 1000
# Between the starts of two pulls.  On a busy link, several at once would slow
# one another down.
STEP_MS = 250


class TableFollower:
    """Pulls newer tables, from another announcer if one does not reply.

    Parameters
    ----------
    version : callable
        Returns the known version of a service's table, 0 if there is none.
    pull : callable
        Pulls a service's table from the peer at an address.
    """

    def __init__(
        self,
        version: Callable[[ServiceName], int],
        pull: Callable[[ServiceName, str], Awaitable[None]],
    ) -> None:
        self._version = version
        self._pull = pull
        # By service, the versions of the peers that have not been asked.
        self._announced: dict[ServiceName, dict[str, int]] = {}
        self._highest: dict[ServiceName, int] = {}
        self._tasks: dict[ServiceName, asyncio.Task[None]] = {}

    def on_announced(
        self, service: ServiceName, version: int, address: str
    ) -> None:
        """Fetch a table if the peer at an address has a newer one."""
        if version <= self._version(service):
            return
        self._announced.setdefault(service, {})[address] = version
        self._highest[service] = max(version, self._highest.get(service, 0))
        task = self._tasks.get(service)
        if task is None or task.done():
            self._tasks[service] = asyncio.ensure_future(
                self._catch_up(service)
            )

    async def _catch_up(self, service: ServiceName) -> None:
        """Pull until the newest announced version is known, or all failed."""
        pulls: set[asyncio.Future[None]] = set()
        try:
            while self._version(service) < self._highest[service]:
                address = self._next_address(service)
                if address is not None:
                    pulls.add(
                        asyncio.ensure_future(self._pull(service, address))
                    )
                if not pulls:
                    # The next status of a peer starts another round.
                    break
                _, pulls = await asyncio.wait(
                    pulls,
                    timeout=STEP_MS / MS_PER_SECOND,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            self._end(service, pulls)

    def _end(
        self, service: ServiceName, pulls: set[asyncio.Future[None]]
    ) -> None:
        for pull in pulls:
            pull.cancel()
        self._announced.pop(service, None)
        self._highest.pop(service, None)

    def _next_address(self, service: ServiceName) -> str | None:
        """Remove and return the peer with the newest version, if any."""
        announced = self._announced.get(service)
        if not announced:
            return None
        address = max(announced, key=announced.__getitem__)
        if announced.pop(address) <= self._version(service):
            announced.clear()
            return None
        return address
