"""Listening sockets.

This module imports little, so that a node can listen before the rest is loaded.
"""

import socket

from comfreyusher.errors import ComfreyusherError

BACKLOG_CONNECTIONS = 4096


class ListenError(ComfreyusherError):
    """The node cannot listen on an address, or cannot load its certificate."""

    hint = "check that no other process listens there, and the settings file"


def bind_listener(host, port):
    """Return a listening, non-blocking TCP socket.

    Raises ``OSError`` if the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener


def open_listener(address):
    """Return the listening socket of an address of the settings.

    Raises ``ListenError`` if the address cannot be bound.
    """
    host, port = address.host, address.port
    try:
        return bind_listener(host, port)
    except OSError as error:
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
