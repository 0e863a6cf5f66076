"""Connections of the stream task: their state, and what is told of them."""

import collections
import dataclasses
import socket

from circuits import Event

BACKLOG_CONNECTIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A caller connected; ``host`` is its address."""

    connection: int
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Connected:
    """An outgoing connection is established."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Bytes arrived; empty bytes mean that the other side sent its last."""

    connection: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """All written bytes were handed to the kernel."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The connection is gone; ``connected`` tells if it ever was up."""

    connection: int
    connected: bool
    reason: str


class _failed(Event):
    """A connect failed before the poller could report it."""


class Connection:
    """State of one socket: what is unsent and how it ends."""

    def __init__(self, sock, number, connected):
        self.sock = sock
        self.number = number
        self.connected = connected
        self.handshaking = False
        self.unsent = collections.deque()
        self.unsent_bytes = 0
        self.closing = False
        self.lingering_s = 0.0
        self.ended = False


def bind_listener(host, port):
    """Return a listening, non-blocking TCP socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener
