"""Unread input in the kernel's receive buffer of a connection."""

import asyncio
import select

__all__ = ['has_unread_input']


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the close of the connection, are unread.

    Notes
    -----
    An event loop that was blocked may run a callback that sends a request
    before it polls the sockets.  If an idle connection has been closed
    meanwhile, a request sent on it is lost, and nobody can tell that it did
    not run.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))
