"""Links to other daemons, dialled on demand and probed when silent."""

import asyncio
from collections.abc import Callable
from functools import partial

from savoryhold.core.errors import LinkError
from savoryhold.peer import messages
from savoryhold.peer.endpoint import Endpoint, PeerHandler
from savoryhold.peer.link import Link
from savoryhold.peer.stream import LinkStream

__all__ = ['LinkProgress', 'PeerPool']

MS_PER_SECOND = 1000
SILENCE_MS = 300
PROBE_LIMIT_MS = 300
DIAL_LIMIT_MS = 500
CHECK_EVERY_MS = 100
# A beginner that lives and is reached has dialled anew and answered a probe.
MOVE_LIMIT_MS = DIAL_LIMIT_MS + PROBE_LIMIT_MS
MOVE_RETRY_MS = 50
IDLE_POLL_MS = 10


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
        self.probed = 0
        self.replaced = 0
        self.moved = 0
        self.blocked: set[str] = set()
        self.on_moved: Callable[[Link, Link | None, int], None] = _ignore
        self._endpoint = Endpoint(node, secret, handler)
        self._endpoint.on_movable = self._move_soon
        self._endpoint.on_left = self._end_orphans_later
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, asyncio.Task[Link]] = {}
        self._probing: set[str] = set()
        self._moves: set[asyncio.Task[None]] = set()
        self._asked = asyncio.Event()
        self._is_closed = False

    @property
    def node(self) -> str:
        """Return this node's id."""
        return self._endpoint.node

    @node.setter
    def node(self, node: str) -> None:
        self._endpoint.node = node

    @property
    def endpoint(self) -> Endpoint:
        """Return what all links share, with hooks for what happens to them."""
        return self._endpoint

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
        return Link(self._endpoint, dialled=False)

    async def probe_silent_links(self) -> None:
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
            silent_ms = (now - link.silent_since) * MS_PER_SECOND
            if not link.waiting or address in self._probing:
                continue
            if silent_ms >= SILENCE_MS:
                self._probing.add(address)
                asyncio.create_task(self._probe(address, link))

    def close(self) -> None:
        """Close all links."""
        self._is_closed = True
        for move in self._moves:
            move.cancel()
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
        await asyncio.shield(task)
        # `_dialled` has seen to it that one connection is in use.
        link = self._links.get(address)
        if link is None or link.closed:
            raise LinkError(f'link to {address} is closed', sent=False)
        return link

    def _adopt(self, address: str, link: Link) -> None:
        link.take_over()
        self._links[address] = link

    def _dialled(self, address: str, task: 'asyncio.Task[Link]') -> None:
        """Use the new connection, whether or not anybody waits for it yet."""
        self._dialling.pop(address, None)
        if task.cancelled() or task.exception() is not None:
            return
        link = task.result()
        known = self._links.get(address)
        if self._is_closed or (known is not None and not known.closed):
            link.abort(ConnectionError('not needed'))
        elif not link.closed:
            self._adopt(address, link)

    async def _dial(self, address: str) -> Link:
        if address in self.blocked:
            raise LinkError(f'link to {address} is cut', sent=False)
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = Link(self._endpoint, dialled=True)
        link.address = address
        try:
            async with asyncio.timeout(DIAL_LIMIT_MS / MS_PER_SECOND):
                await loop.create_connection(lambda: link, host, int(port))
                await link.ready
        except (OSError, TimeoutError, ValueError) as exc:
            link.abort(exc)
            raise LinkError(f'{address}: {exc!r}', sent=False) from exc
        link.last_received = loop.time()
        return link

    async def _probe(self, address: str, link: Link) -> None:
        """Replace a link that answers nothing while a new one does.

        Notes
        -----
        A call may take long, and a probe waits behind what is queued on its
        link: one that has brought anything since is slow, not silent, and so
        is one that is still taking what was sent before.
        """
        self.probed += 1
        try:
            look = LinkProgress(link)
            if not await _answers(link):
                await self._replace(address, link, look)
        finally:
            self._probing.discard(address)

    async def _replace(
        self, address: str, link: Link, look: 'LinkProgress'
    ) -> None:
        try:
            fresh = await self._dial(address)
        except LinkError:
            # The path is cut for all connections; a new one is no remedy.
            return
        answers = await _answers(fresh)
        slow = look.is_slow()
        if slow or not answers or self._links.get(address) is not link:
            fresh.abort(ConnectionError('not needed'))
            return
        self.replaced += 1
        self._adopt(address, fresh)
        self._retire(link)

    # Calls that move ------------------------------------------------------

    def _retire(self, link: Link) -> None:
        """Move the calls of a replaced link; those that cannot go on there."""
        self._move_movable(link)
        if link.waiting:
            asyncio.create_task(self._close_idle(link))
        else:
            link.abort(ConnectionError('replaced; a new connection answers'))

    def _move_movable(self, link: Link) -> None:
        movable = link.movable()
        if movable:
            self._move_soon(link, movable)

    async def _close_idle(self, link: Link) -> None:
        """Close a replaced link behind the calls that could not move."""
        while link.waiting and not link.closed:
            await asyncio.sleep(IDLE_POLL_MS / MS_PER_SECOND)
            # Calls within their answer may move once they are given up.
            self._move_movable(link)
        link.abort(ConnectionError('replaced; a new connection answers'))

    def _move_soon(self, old: Link, calls: list[LinkStream]) -> None:
        if self._is_closed:
            _end(calls)
            return
        move = asyncio.create_task(self._move(old, calls))
        self._moves.add(move)
        move.add_done_callback(self._moves.discard)

    async def _move(self, old: Link, calls: list[LinkStream]) -> None:
        """Have calls go on over the next link to the same process."""
        link: Link | None = None
        try:
            async with asyncio.timeout(MOVE_LIMIT_MS / MS_PER_SECOND):
                link = await self._next_link(old.address)
        except (LinkError, TimeoutError):
            # The line of `on_moved` says that there was none.
            link = None
        finally:
            if link is None or link.life != old.life:
                _end(calls)
        if link is not None and link.life == old.life:
            self._carry_on(link, calls)
        self.on_moved(old, link, len(calls))

    def _carry_on(self, link: Link, calls: list[LinkStream]) -> None:
        for call in sorted(calls, key=_number):
            if not call.movable:
                # Its beginner has closed it meanwhile.
                continue
            try:
                link.adopt(call)
            except LinkError:
                # The next link has closed in turn.
                call.deliver(None)
            else:
                self.moved += 1
        self._asked.set()

    async def _next_link(self, address: str) -> Link:
        while True:
            try:
                return await self._link(address)
            except LinkError as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    # The process is gone, and what it ran with it.
                    raise
            await asyncio.sleep(MOVE_RETRY_MS / MS_PER_SECOND)

    def _end_orphans_later(self, link: Link) -> None:
        if not self._endpoint.served.on_link(link):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(MOVE_LIMIT_MS / MS_PER_SECOND, self._end_orphans, link)

    def _end_orphans(self, link: Link) -> None:
        """End the calls of a link that their beginner has not moved."""
        newest = self._endpoint.newest.get(link.process, link)
        loop = asyncio.get_running_loop()
        silent_ms = (loop.time() - newest.last_received) * MS_PER_SECOND
        if newest.in_frame and silent_ms < SILENCE_MS:
            # The calls may stand behind what is arriving.
            wait_s = MOVE_RETRY_MS / MS_PER_SECOND
            loop.call_later(wait_s, self._end_orphans, link)
            return
        for call in self._endpoint.served.on_link(link):
            if link.closed or not call.answered:
                call.cancel()


class LinkProgress:
    """What a link had brought and taken at some time."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._at = asyncio.get_running_loop().time()
        self._sent = link.bytes_sent
        self._taken = self._sent - link.unsent

    def is_slow(self) -> bool:
        """Return whether the link brings something, or takes what is older.

        Notes
        -----
        What is written after the look, such as a probe, does not count: some
        other process between the two ends may take it for good.
        """
        link = self._link
        if link.last_received >= self._at:
            return True
        return self._taken < link.bytes_sent - link.unsent <= self._sent


async def _answers(link: Link) -> bool:
    """Return whether a link answers a probe."""
    try:
        await link.call(messages.Probe(), PROBE_LIMIT_MS)
    except LinkError:
        return False
    return True


def _number(call: LinkStream) -> int:
    return call.number


def _end(calls: list[LinkStream]) -> None:
    for call in calls:
        call.deliver(None)


def _ignore(old: Link, link: Link | None, calls: int) -> None:
    """Take no note of calls that move."""
