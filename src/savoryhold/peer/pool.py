"""Links to other nodes, dialled on demand and probed when silent."""

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
# By then, an initiator that is alive and reachable has dialled a new link and
# had an answer to a probe on it.
MOVE_LIMIT_MS = DIAL_LIMIT_MS + PROBE_LIMIT_MS
MOVE_RETRY_MS = 50
CANCEL_LIMIT_MS = 20_000  # longer than a call may be served
CANCEL_RETRY_MS = 400
IDLE_POLL_MS = 10


class PeerPool:
    """Links to other nodes: dials one per address, and accepts theirs.

    Parameters
    ----------
    node : str
        This node's id.
    secret : bytes
        The shared secret.
    handler : callable
        Awaited for each call that a peer opens.
    """

    def __init__(self, node: str, secret: bytes, handler: PeerHandler) -> None:
        self.probed = 0
        self.replaced = 0
        self.moved = 0
        self.blocked_addresses: set[str] = set()
        self.on_moved: Callable[[Link, Link | None, int], None] = _ignore
        self._endpoint = Endpoint(node, secret, handler)
        self._endpoint.on_calls_movable = self._move_soon
        self._endpoint.on_orphaned = self._end_orphans_later
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, asyncio.Task[Link]] = {}
        self._probing: set[str] = set()
        self._moves: set[asyncio.Task[None]] = set()
        self._call_started = asyncio.Event()
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
        """Return the state that all links share, and the hooks on it."""
        return self._endpoint

    def cut(self, addresses: set[str]) -> None:
        """Abort and refuse the links to some addresses, for failure tests."""
        self.blocked_addresses = addresses
        for address in addresses:
            link = self._links.get(address)
            if link is not None:
                link.abort(ConnectionError('link is cut by a failure test'))

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
            If the peer is unreachable or does not reply in time.
        """
        link = await self._get_link(address)
        self._call_started.set()
        return await link.call(message, timeout_ms)

    async def open(self, address: str) -> LinkStream:
        """Return a new call to a peer.

        Raises
        ------
        LinkError
            If the peer is unreachable.
        """
        link = await self._get_link(address)
        self._call_started.set()
        return link.open()

    def send_now(self, address: str, message: messages.Message) -> bool:
        """Send a one-way message on an open link; return whether there is one.

        Notes
        -----
        Spares the task that `open` needs where a link has to be dialled.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return False
        call = link.open()
        call.send(message)
        call.close()
        return True

    def accept(self) -> Link:
        """Return the protocol for a connection that a peer opened."""
        return Link(self._endpoint, dialled=False)

    async def probe_silent_links(self) -> None:
        """Probe links on which calls wait in silence; replace dead ones."""
        while True:
            if not any(link.waiting for link in self._links.values()):
                self._call_started.clear()
                await self._call_started.wait()
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

    async def _get_link(self, address: str) -> Link:
        link = self._links.get(address)
        if link is not None and not link.closed:
            return link
        task = self._dialling.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address))
            self._dialling[address] = task
            task.add_done_callback(partial(self._on_dialled, address))
        await asyncio.shield(task)
        # `_on_dialled` has put the new link, or another open one, into use.
        link = self._links.get(address)
        if link is None or link.closed:
            raise LinkError(f'link to {address} is closed', sent=False)
        return link

    def _put_into_use(self, address: str, link: Link) -> None:
        link.take_over()
        self._links[address] = link

    def _on_dialled(self, address: str, task: 'asyncio.Task[Link]') -> None:
        """Put a new link into use, even if nobody waits for it any more."""
        self._dialling.pop(address, None)
        if task.cancelled() or task.exception() is not None:
            return
        link = task.result()
        known = self._links.get(address)
        if self._is_closed or (known is not None and not known.closed):
            link.abort(ConnectionError('another link is in use'))
        elif not link.closed:
            self._put_into_use(address, link)

    async def _dial(self, address: str) -> Link:
        if address in self.blocked_addresses:
            raise LinkError(
                f'link to {address} is cut by a failure test', sent=False
            )
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = Link(self._endpoint, dialled=True)
        link.address = address
        try:
            async with asyncio.timeout(DIAL_LIMIT_MS / MS_PER_SECOND):
                await loop.create_connection(lambda: link, host, int(port))
                await link.ready
        except (OSError, ValueError, OverflowError) as exc:
            # The last two tell of an address that is not host:port.
            link.abort(exc)
            raise LinkError(f'{address}: {exc!r}', sent=False) from exc
        link.last_received = loop.time()
        return link

    async def _probe(self, address: str, link: Link) -> None:
        """Replace a link that answers no probe, if a new link does.

        Notes
        -----
        Calls may take long, and a probe queues behind earlier data on its
        link.  A link that has received anything since, or on which the peer
        still acknowledges earlier data, is slow rather than dead.
        """
        self.probed += 1
        try:
            progress = LinkProgress(link)
            if not await _answers_probe(link):
                await self._replace(address, link, progress)
        finally:
            self._probing.discard(address)

    async def _replace(
        self, address: str, link: Link, progress: 'LinkProgress'
    ) -> None:
        try:
            fresh = await self._dial(address)
        except LinkError:
            # No connection gets through, so a new link would not help.
            return
        answers = await _answers_probe(fresh)
        slow = progress.is_slow()
        if slow or not answers or self._links.get(address) is not link:
            fresh.abort(ConnectionError('the old link is still in use'))
            return
        self.replaced += 1
        self._put_into_use(address, fresh)
        self._retire(link)

    # Moving calls to another link ------------------------------------------

    def _retire(self, link: Link) -> None:
        """Move the calls off a replaced link; leave those that cannot move."""
        self._move_movable(link)
        if link.waiting:
            asyncio.create_task(self._close_idle(link))
        else:
            link.abort(ConnectionError('replaced; a new connection answers'))

    def _move_movable(self, link: Link) -> None:
        movable = link.take_movable_calls()
        if movable:
            self._move_soon(link, movable)

    async def _close_idle(self, link: Link) -> None:
        """Close a replaced link once the calls left on it have ended."""
        while link.waiting and not link.closed:
            await asyncio.sleep(IDLE_POLL_MS / MS_PER_SECOND)
            # A call in the middle of its answer can move once cancelled.
            self._move_movable(link)
        link.abort(ConnectionError('replaced; a new connection answers'))

    def _move_soon(self, old: Link, calls: list[LinkStream]) -> None:
        if self._is_closed:
            _cut_off(calls)
            return
        move = asyncio.create_task(self._move(old, calls))
        self._moves.add(move)
        move.add_done_callback(self._moves.discard)

    async def _move(self, old: Link, calls: list[LinkStream]) -> None:
        """Continue calls on the next link, if it is to the same process."""
        link: Link | None = None
        only_cancelled = all(call.cancel_pending for call in calls)
        limit_ms = CANCEL_LIMIT_MS if only_cancelled else MOVE_LIMIT_MS
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                link = await self._next_link(old.address, calls)
        except TimeoutError:
            if not only_cancelled:
                calls = self._keep_cancelling(old, calls)
        except LinkError:
            # `on_moved` reports that there is no link.
            link = None
        finally:
            if link is None or link.life != old.life:
                _cut_off(calls)
        if link is not None and link.life == old.life:
            self._resume_calls(link, calls)
        self.on_moved(old, link, len(calls))

    def _keep_cancelling(
        self, old: Link, calls: list[LinkStream]
    ) -> list[LinkStream]:
        """Move cancelled calls on their own; return the others.

        Notes
        -----
        A peer that cannot be reached may still serve them.  Nobody waits for
        them here, so that their cancellations can be sent far later.
        """
        cancelled = [call for call in calls if call.cancel_pending]
        if cancelled:
            self._move_soon(old, cancelled)
        return [call for call in calls if not call.cancel_pending]

    def _resume_calls(self, link: Link, calls: list[LinkStream]) -> None:
        for call in sorted(calls, key=_number):
            if not call.movable:
                # The initiator has closed it meanwhile.
                continue
            try:
                link.adopt(call)
            except LinkError:
                # The next link has closed, too.
                call.deliver(None)
            else:
                self.moved += 1
        self._call_started.set()

    async def _next_link(self, address: str, calls: list[LinkStream]) -> Link:
        while True:
            try:
                return await self._get_link(address)
            except LinkError as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    # The process has ended, and its calls with it.
                    raise
            urgent = any(not call.cancel_pending for call in calls)
            pause_ms = MOVE_RETRY_MS if urgent else CANCEL_RETRY_MS
            await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _end_orphans_later(self, link: Link) -> None:
        if not self._endpoint.served.active_on(link):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(MOVE_LIMIT_MS / MS_PER_SECOND, self._end_orphans, link)

    def _end_orphans(self, link: Link) -> None:
        """Cancel the calls of a link that their initiator has not resumed."""
        newest = self._endpoint.newest_links.get(link.process, link)
        loop = asyncio.get_running_loop()
        silent_ms = (loop.time() - newest.last_received) * MS_PER_SECOND
        if newest.in_frame and silent_ms < SILENCE_MS:
            # The resumed calls may be queued behind the frame under way.
            wait_s = MOVE_RETRY_MS / MS_PER_SECOND
            loop.call_later(wait_s, self._end_orphans, link)
            return
        for call in self._endpoint.served.active_on(link):
            if link.closed or not call.answered:
                call.cancel()


class LinkProgress:
    """Traffic of a link as of one moment, to tell slow from dead links."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._at = asyncio.get_running_loop().time()
        self._sent = link.bytes_sent
        self._acknowledged = self._sent - link.unacknowledged_bytes

    def is_slow(self) -> bool:
        """Return whether the link has made progress since that moment.

        Progress means that bytes were received, or that the other kernel
        acknowledged bytes that had been sent before.

        Notes
        -----
        Bytes sent later, such as a probe, do not count: a proxy between the
        two ends may acknowledge them and never pass them on.
        """
        link = self._link
        if link.last_received >= self._at:
            return True
        return (
            self._acknowledged
            < link.bytes_sent - link.unacknowledged_bytes
            <= self._sent
        )


async def _answers_probe(link: Link) -> bool:
    """Return whether a link answers a probe."""
    try:
        await link.call(messages.Probe(), PROBE_LIMIT_MS)
    except LinkError:
        return False
    return True


def _number(call: LinkStream) -> int:
    return call.number


def _cut_off(calls: list[LinkStream]) -> None:
    for call in calls:
        call.deliver(None)


def _ignore(old: Link, link: Link | None, calls: int) -> None:
    """Do nothing when calls move."""
