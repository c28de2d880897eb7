"""Listening sockets, all bound before any task of the daemon starts."""

import dataclasses
import socket

from savoryhold.core.errors import ConfigurationError
from savoryhold.settings import ListenSettings

__all__ = ['Listeners', 'open_listeners']


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Bound sockets for peers, callers and the admin interface."""

    peers: socket.socket
    callers: socket.socket
    admin: socket.socket


def open_listeners(listen: ListenSettings) -> Listeners:
    """Bind a socket to each configured address.

    Raises
    ------
    ConfigurationError
        If an address is in use or does not belong to this host; the message
        names the setting.
    """
    return Listeners(
        _open('listen.peers', listen.peers),
        _open('listen.callers', listen.callers),
        _open('listen.admin', listen.admin),
    )


def _open(field: str, address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as exc:
        listener.close()
        reason = exc.strerror or repr(exc)
        raise ConfigurationError(f'{field}: {address}: {reason}') from exc
    return listener
