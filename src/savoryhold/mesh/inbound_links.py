"""Links that peers have opened, and peers' requests that run here."""

import asyncio
from weakref import WeakSet

from savoryhold.core.errors import LinkError
from savoryhold.peer import Carrier, Link, LinkStream, messages

__all__ = ['InboundLinks']

PROBE_LIMIT_MS = 800  # for a peer to confirm that it has read its link


class InboundLinks:
    """Tracks what peers still expect from a node that is stopping."""

    def __init__(self) -> None:
        self.running_count = 0
        self._links: WeakSet[Link] = WeakSet()
        self._answered_links: WeakSet[Carrier] = WeakSet()

    def add(self, link: Link) -> None:
        """Track a link that a peer has opened."""
        self._links.add(link)

    def begin(self) -> None:
        """Record that a peer's request has started."""
        self.running_count += 1

    def end(self, call: LinkStream) -> None:
        """Record that a peer's request was answered or cancelled."""
        self.running_count -= 1
        self._answered_links.add(call.link)

    async def announce(self, message: messages.Message) -> None:
        """Send a message on all links and wait until the peers read it.

        Notes
        -----
        A link preserves the order of messages: once a peer confirms the
        message, every request that it sent before reading it has arrived.
        """
        # A peer that confirms the message has read earlier answers, too.
        self._answered_links.clear()
        await asyncio.gather(
            *(_announce(link, message) for link in self._open())
        )

    async def wait_until_read(self) -> None:
        """Wait until peers have read all answers sent to them.

        Notes
        -----
        Bytes that a process has written but not sent are lost when it exits.
        """
        await asyncio.gather(
            *(
                _wait_until_read(link)
                for link in self._open()
                if link in self._answered_links
            )
        )

    def _open(self) -> list[Link]:
        """Return the open links that have completed their handshake."""
        return [link for link in self._links if link.peer and not link.closed]


async def _announce(link: Link, message: messages.Message) -> None:
    call = link.open()
    try:
        call.send(message)
    except LinkError:
        # The link is closed: its peer no longer waits for answers on it.
        return
    finally:
        call.close()
    await _wait_until_read(link)


async def _wait_until_read(link: Link) -> None:
    try:
        await link.call(messages.Probe(), PROBE_LIMIT_MS)
    except LinkError:
        # A peer that is gone or silent must not delay the stop.
        return
