"""Stub links that never fail, and are fast to simulate."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from savoryhold.core.errors import LinkError
from savoryhold.core.ids import NodeId
from savoryhold.core.transit import TransitDelay
from savoryhold.peer import messages

if TYPE_CHECKING:
    from savoryhold.mesh.tests.fleet import Fleet, Node

__all__ = ['StubLinkPool']

MS_PER_SECOND = 1000


class StubLinkPool:
    """Replaces the pool of links to other nodes.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose nodes can be called.
    node : NodeId
        Name of the calling node.
    """

    def __init__(self, fleet: 'Fleet', node: NodeId) -> None:
        self._fleet = fleet
        self._node = node

    def send_now(self, address: str, message: messages.Message) -> bool:
        """Have the node open a call instead."""
        return False

    async def open(self, address: str) -> '_Call':
        """Open a call to a node."""
        return _Call(self._fleet.by_name[NodeId(address)], self._node)


class _Call:
    """Both ends of one call."""

    def __init__(self, node: 'Node', peer: NodeId) -> None:
        self.peer = peer
        self._node = node
        self._task: asyncio.Task[None] | None = None
        self._reply: asyncio.Future[messages.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self.link = SimpleNamespace(transit=TransitDelay())

    def begin(self, renew: Callable[[], messages.Message]) -> None:
        """Send the first message."""
        self.send(renew())

    def cancel_at_peer(self) -> None:
        """Cancel the call at the other end."""
        self.send(messages.Cancel())

    def send(self, message: messages.Message) -> None:
        """Deliver a message of either end."""
        if isinstance(message, (messages.Relay, messages.StrikeNotice)):
            self._task = asyncio.ensure_future(self._serve(message))
        elif isinstance(message, messages.Cancel):
            if self._task is not None:
                self._task.cancel()
        elif not self._reply.done():
            self._reply.set_result(message)

    async def _serve(self, message: messages.Message) -> None:
        await asyncio.sleep(self._node.fleet.relay_ms / MS_PER_SECOND)
        await self._node.peers.handle(cast(Any, self), message)

    async def receive(self, timeout_ms: float) -> messages.Message:
        """Return the reply."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await asyncio.shield(self._reply)
        except TimeoutError:
            raise LinkError('no reply in time', sent=True) from None

    def close(self) -> None:
        """Satisfy the interface of a call."""
