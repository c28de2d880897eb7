"""Accepted connections whose handshake is not complete."""

import asyncio
from typing import TYPE_CHECKING

from savoryhold.wire.memory_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['PendingHandshakes']

MS_PER_SECOND = 1000
HANDSHAKE_LIMIT_MS = 2000  # a node that dials gives up sooner
FD_SHARE = 0.1  # of the descriptors, for incomplete handshakes
MAX_PENDING = 256  # more than the nodes of a zone that start at once


class PendingHandshakes:
    """Bounds the number of incomplete handshakes and their time.

    Notes
    -----
    Beyond the number, the oldest is closed: a node completes it within
    milliseconds, so that it is rarely the one.
    """

    def __init__(self) -> None:
        self._most = MAX_PENDING
        # In the order of their arrival.
        self._timers: dict['Link', asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        """Return how many handshakes are not complete."""
        return len(self._timers)

    def set_fds(self, max_fds: int) -> None:
        """Keep to a share of the descriptors of the process, 0 if unknown."""
        self._most = min(MAX_PENDING, round(max_fds * FD_SHARE) or MAX_PENDING)

    def add(self, link: 'Link') -> None:
        """Add a connection that has been accepted."""
        if len(self._timers) >= self._most:
            self._close(next(iter(self._timers)), 'max_handshakes')
        self._timers[link] = asyncio.get_running_loop().call_later(
            HANDSHAKE_LIMIT_MS / MS_PER_SECOND,
            self._close,
            link,
            'handshake_timeout',
        )

    def discard(self, link: 'Link') -> None:
        """Remove a connection that is closed, or whose handshake is done."""
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()

    def _close(self, link: 'Link', limit: str) -> None:
        PROCESS_BUDGET.refusals[limit] += 1
        link.abort(ConnectionError(f'no handshake: {limit}'))
