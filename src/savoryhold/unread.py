"""Whether a connection has something that its process has not read yet."""

import asyncio
import select

__all__ = ['has_unread']


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the connection's end, wait to be read.

    Notes
    -----
    A loop that was held up learns of the end of an idle connection only
    after what it does now.  A request that is written on such a connection
    does not arrive, and nobody can tell that it did not run.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))
