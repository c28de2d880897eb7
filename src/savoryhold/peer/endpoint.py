"""State that all links of a process share."""

import itertools
import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.served_calls import ProcessId, ServedCalls
from savoryhold.peer.pending_handshakes import PendingHandshakes
from savoryhold.peer.stream import LinkStream

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['Endpoint', 'PeerHandler']

LIFE_BYTES = 8

PeerHandler = Callable[[LinkStream, messages.Message], Awaitable[None]]


class Endpoint:
    """State that all links of this process share.

    Parameters
    ----------
    node : str
        This node's id.
    secret : bytes
        The secret that all nodes share.
    handler : callable
        Awaited for each call that a peer opens.
    """

    def __init__(self, node: str, secret: bytes, handler: PeerHandler) -> None:
        self.node = node
        self.secret = secret
        self.handler = handler
        # Identifies this process among successive ones of the same node.
        self.life = secrets.token_hex(LIFE_BYTES)
        self.call_numbers = itertools.count(1)
        self.link_orders = itertools.count(1)
        self.served = ServedCalls()
        self.pending_handshakes = PendingHandshakes()
        self.newest_links: dict[ProcessId, 'Link'] = {}
        # Called if a link received malformed data, with the reason.
        self.on_malformed: Callable[[str], None] = lambda reason: None
        # Called when a link closes.
        self.on_closed: Callable[['Link'], None] = lambda link: None
        # Called when a link closes, with its open calls that can continue on
        # another link; by default, these calls are cut off.
        self.on_calls_movable: Callable[['Link', list[LinkStream]], None] = (
            _end_all
        )
        # Called when a link closes or is replaced: resumable calls served on
        # it continue only if their initiator resumes them on a newer link.
        self.on_orphaned: Callable[['Link'], None] = lambda link: None

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Serve a call that a peer opened."""
        try:
            await self.handler(call, message)
        except LinkError:
            # The link is gone; the initiator reports that at its own end.
            return


def _end_all(link: 'Link', calls: list[LinkStream]) -> None:
    for call in calls:
        call.deliver(None)
