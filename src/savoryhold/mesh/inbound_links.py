"""The links that peers have opened, and what is at work for these peers."""

import asyncio
from weakref import WeakSet

from savoryhold.core.errors import LinkError
from savoryhold.peer import Carrier, Link, LinkStream, messages

__all__ = ['InboundLinks']

TOLD_LIMIT_MS = 800  # for a peer to say that it has read all on its link


class InboundLinks:
    """Knows which peers still wait for something of a node that ends."""

    def __init__(self) -> None:
        self.under_way = 0
        self._links: WeakSet[Link] = WeakSet()
        self._served: WeakSet[Carrier] = WeakSet()

    def add(self, link: Link) -> None:
        """Take in a link that a peer opens."""
        self._links.add(link)

    def begin(self) -> None:
        """Note that a request of a peer is at work."""
        self.under_way += 1

    def end(self, call: LinkStream) -> None:
        """Note that a request of a peer has its answer, or needs none."""
        self.under_way -= 1
        self._served.add(call.link)

    async def tell(self, news: messages.Message) -> None:
        """Send news on all links, and wait until they have been read.

        Notes
        -----
        A link keeps its order: what a peer has sent on it before it read the
        news has come before its answer.
        """
        # What was answered before is read before the news.
        self._served.clear()
        await asyncio.gather(*(_tell(link, news) for link in self._open()))

    async def confirm(self) -> None:
        """Wait until all answers that were sent have been read.

        Notes
        -----
        What a process has written but not sent ends with it.
        """
        await asyncio.gather(
            *(_confirm(link) for link in self._open() if link in self._served)
        )

    def _open(self) -> list[Link]:
        """Return the links whose peer has been greeted."""
        return [link for link in self._links if link.peer and not link.closed]


async def _tell(link: Link, news: messages.Message) -> None:
    call = link.open()
    try:
        call.send(news)
    except LinkError:
        # With the link all has ended that its peer waited for.
        return
    finally:
        call.close()
    await _confirm(link)


async def _confirm(link: Link) -> None:
    try:
        await link.call(messages.Probe(), TOLD_LIMIT_MS)
    except LinkError:
        # The peer is gone, or silent; it must not keep this node.
        return
