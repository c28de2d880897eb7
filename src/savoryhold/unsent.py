"""How much of what was written the other end's kernel has not taken yet."""

import array
import asyncio
import fcntl
import termios

__all__ = ['count_unsent']


def count_unsent(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes no kernel at the other end has acknowledged.

    Notes
    -----
    What waits in this process is counted, and so is what waits in its kernel
    or is on its way.
    """
    waiting = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None or transport.is_closing():
        return waiting
    in_kernel = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, in_kernel)
    except OSError:
        # Not every kernel counts; what waits here is known all the same.
        return waiting
    return waiting + in_kernel[0]
