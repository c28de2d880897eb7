"""What all links of a process share."""

import itertools
import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.served_calls import ProcessId, ServedCalls
from savoryhold.peer.stream import LinkStream

if TYPE_CHECKING:
    from savoryhold.peer.link import Link

__all__ = ['Endpoint', 'PeerHandler']

LIFE_BYTES = 8

PeerHandler = Callable[[LinkStream, messages.Message], Awaitable[None]]


class Endpoint:
    """What all links of this process share.

    Parameters
    ----------
    node : str
        This node's id.
    secret : bytes
        The secret that all daemons share.
    handler : callable
        Awaited for each call that a peer begins.
    """

    def __init__(self, node: str, secret: bytes, handler: PeerHandler) -> None:
        self.node = node
        self.secret = secret
        self.handler = handler
        self.life = secrets.token_hex(LIFE_BYTES)
        self.numbers = itertools.count(1)
        self.orders = itertools.count(1)
        self.served = ServedCalls()
        self.newest: dict[ProcessId, 'Link'] = {}
        # What happens to a link: garbage came; it closed; it closed with calls
        # that can move; calls served on it have to come by another one.
        self.on_malformed: Callable[[str], None] = lambda reason: None
        self.on_closed: Callable[['Link'], None] = lambda link: None
        self.on_movable: Callable[['Link', list[LinkStream]], None] = _end_all
        self.on_left: Callable[['Link'], None] = lambda link: None

    async def serve(self, call: LinkStream, message: messages.Message) -> None:
        """Serve a call of a peer."""
        try:
            await self.handler(call, message)
        except LinkError:
            # The peer went away; its own end reports that.
            return


def _end_all(link: 'Link', calls: list[LinkStream]) -> None:
    for call in calls:
        call.deliver(None)
