"""The part of a server that its connections use."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from savoryhold.traffic.routes import CallerLimits
from savoryhold.wire.connection_counts import ConnectionCounts
from savoryhold.wire.exchange import Exchange
from savoryhold.wire.intake_limits import IntakeLimits

if TYPE_CHECKING:
    from savoryhold.wire.server_connection import ServerConnection

__all__ = ['Server']


class Server(Protocol):
    """The part of a server that its connections use."""

    handler: Callable[[Exchange], None]
    now: Callable[[], int]
    limits: Callable[[], CallerLimits]
    intake: IntakeLimits
    counts: ConnectionCounts
    closing: bool
    connections: set['ServerConnection']
    on_error: Callable[[int], None]

    def admit(self, conn: 'ServerConnection', address: str) -> bool:
        """Add a connection; return whether there is room for it."""
