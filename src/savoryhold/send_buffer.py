"""Unacknowledged output in the send buffers of a connection."""

import array
import asyncio
import fcntl
import termios

__all__ = ['count_unacknowledged']


def count_unacknowledged(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes the kernel at the other end has not acknowledged.

    Notes
    -----
    Counts the bytes in the transport's buffer, in this kernel's send buffer
    and in flight.
    """
    in_transport = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None or transport.is_closing():
        return in_transport
    in_kernel = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, in_kernel)
    except OSError:
        # Not every kernel has this ioctl; count the transport's buffer only.
        return in_transport
    return in_transport + in_kernel[0]
