"""Links to other daemons, dialled on demand and probed when silent."""

import asyncio
from collections.abc import Callable
from functools import partial

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.link import (
    MS_PER_SECOND,
    Link,
    LinkStream,
    PeerHandler,
)

__all__ = ['PeerPool']

SILENCE_MS = 300
PROBE_LIMIT_MS = 300
DIAL_LIMIT_MS = 500
CHECK_EVERY_MS = 100


class PeerPool:
    """All links that this daemon dials.

    Parameters
    ----------
    node : str
        This node's id.
    secret : bytes
        The shared secret.
    handler : callable
        Awaited for calls that a peer begins on a dialled link.
    """

    def __init__(self, node: str, secret: bytes, handler: PeerHandler) -> None:
        self.node = node
        self.replaced = 0
        self.blocked: set[str] = set()
        self.on_malformed: Callable[[str], None] = lambda reason: None
        self.on_closed: Callable[[Link], None] = lambda link: None
        self._secret = secret
        self._handler = handler
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, asyncio.Task[Link]] = {}
        self._probing: set[str] = set()
        self._asked = asyncio.Event()

    def cut(self, addresses: set[str]) -> None:
        """Drop and refuse the links to some addresses, for failure tests."""
        self.blocked = addresses
        for address in addresses:
            link = self._links.get(address)
            if link is not None:
                link.abort(ConnectionError('link is cut'))

    def bytes_sent(self) -> dict[str, int]:
        """Return the bytes sent on the open links, by address."""
        return {
            address: link.bytes_sent for address, link in self._links.items()
        }

    async def call(
        self, address: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message to a peer and return its reply.

        Raises
        ------
        LinkError
            If the peer is not reached or does not reply in time.
        """
        link = await self._link(address)
        self._asked.set()
        return await link.call(message, timeout_ms)

    async def open(self, address: str) -> LinkStream:
        """Return a new call to a peer.

        Raises
        ------
        LinkError
            If the peer is not reached.
        """
        link = await self._link(address)
        self._asked.set()
        return link.open()

    def accept(self) -> Link:
        """Return the protocol for a connection that a peer opened."""
        return self._new_link(dialled=False)

    async def watch_silence(self) -> None:
        """Replace links on which calls wait and nothing arrives."""
        while True:
            if not any(link.waiting for link in self._links.values()):
                self._asked.clear()
                await self._asked.wait()
            await asyncio.sleep(CHECK_EVERY_MS / MS_PER_SECOND)
            self._probe_silent()

    def _probe_silent(self) -> None:
        now = asyncio.get_running_loop().time()
        for address, link in list(self._links.items()):
            silent_ms = (now - link.last_received) * MS_PER_SECOND
            if not link.waiting or address in self._probing:
                continue
            if silent_ms >= SILENCE_MS:
                self._probing.add(address)
                asyncio.create_task(self._probe(address, link))

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.abort(ConnectionError('shutting down'))

    async def _link(self, address: str) -> Link:
        link = self._links.get(address)
        if link is not None and not link.closed:
            return link
        task = self._dialling.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address))
            self._dialling[address] = task
            task.add_done_callback(partial(self._dialled, address))
        link = await asyncio.shield(task)
        self._links[address] = link
        return link

    def _dialled(self, address: str, task: 'asyncio.Task[Link]') -> None:
        self._dialling.pop(address, None)
        if not task.cancelled():
            # Whoever waited for the link may have given up before.
            task.exception()

    async def _dial(self, address: str) -> Link:
        if address in self.blocked:
            raise LinkError(f'link to {address} is cut', sent=False)
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = self._new_link(dialled=True)
        try:
            async with asyncio.timeout(DIAL_LIMIT_MS / MS_PER_SECOND):
                await loop.create_connection(lambda: link, host, int(port))
                await link.ready
        except (OSError, TimeoutError, ValueError) as exc:
            link.abort(exc)
            raise LinkError(f'{address}: {exc!r}', sent=False) from exc
        link.last_received = loop.time()
        return link

    def _new_link(self, *, dialled: bool) -> Link:
        link = Link(self.node, self._secret, self._handler, dialled=dialled)
        link.on_malformed = self.on_malformed
        link.on_closed = self._closed
        return link

    def _closed(self, link: Link) -> None:
        self.on_closed(link)

    async def _probe(self, address: str, link: Link) -> None:
        # A call may take long: only a link that answers no probe is silent.
        fresh: Link | None = None
        try:
            if await _answers(link):
                return
            fresh = await self._dial(address)
            await fresh.call(messages.Probe(), PROBE_LIMIT_MS)
        except LinkError:
            return
        finally:
            self._probing.discard(address)
        now = asyncio.get_running_loop().time()
        if (now - link.last_received) * MS_PER_SECOND < SILENCE_MS:
            fresh.abort(ConnectionError('old link answers'))
            return
        self.replaced += 1
        self._links[address] = fresh
        link.abort(ConnectionError('silent; a new connection answers'))


async def _answers(link: Link) -> bool:
    """Return whether a link answers a probe."""
    try:
        await link.call(messages.Probe(), PROBE_LIMIT_MS)
    except LinkError:
        return False
    return True
