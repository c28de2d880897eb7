"""Accepted connections whose other end has not proved that it is a node."""

import asyncio
from typing import TYPE_CHECKING

from savoryhold.wire.memory_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['Strangers']

MS_PER_SECOND = 1000
HANDSHAKE_LIMIT_MS = 2000  # a node that dials gives up sooner
MAX_STRANGERS = 256  # more than the nodes of a zone that start at once


class Strangers:
    """Bounds the connections without a handshake, in number and time.

    Notes
    -----
    Beyond the number, the oldest is closed: a node proves itself within
    milliseconds, so that it is rarely the one.
    """

    def __init__(self) -> None:
        # In the order of their arrival.
        self._timers: dict['Link', asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        """Return the number of the connections."""
        return len(self._timers)

    def add(self, link: 'Link') -> None:
        """Add a connection that has been accepted."""
        if len(self._timers) >= MAX_STRANGERS:
            self._close(next(iter(self._timers)), 'max_handshakes')
        self._timers[link] = asyncio.get_running_loop().call_later(
            HANDSHAKE_LIMIT_MS / MS_PER_SECOND,
            self._close,
            link,
            'handshake_timeout',
        )

    def discard(self, link: 'Link') -> None:
        """Remove a connection that has proved itself, or is closed."""
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()

    def _close(self, link: 'Link', limit: str) -> None:
        PROCESS_BUDGET.refusals[limit] += 1
        link.abort(ConnectionError(f'no handshake: {limit}'))
