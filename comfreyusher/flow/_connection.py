"""Connections of a stream task: their state and the events about them."""

import collections
import dataclasses

from comfreyusher.flow._circuits import Event


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An incoming connection was accepted; ``host`` is the IP address of its peer."""

    connection: int
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Connected:
    """An outgoing connection was established."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Bytes arrived; empty bytes mean that the peer closed its sending side."""

    connection: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The kernel took all written bytes."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The connection ended; ``connected`` tells whether it was ever established."""

    connection: int
    connected: bool
    reason: str


class _failed(Event):
    """Report a ``connect`` that failed before the poller watched the socket."""


class Connection:
    """State of one socket.

    ``closing`` is set to close the socket once ``unsent`` is empty;
    ``linger_started_s`` is the monotonic time at which a lingering close began,
    or 0; ``eof_received`` tells that the peer closed its sending side.
    """

    def __init__(self, sock, number, connected):
        self.sock = sock
        self.number = number
        self.connected = connected
        self.handshaking = False
        self.unsent = collections.deque()
        self.unsent_bytes = 0
        self.closing = False
        self.linger_started_s = 0.0
        self.eof_received = False
