"""Messages between nodes outside the path of a request, and their addressing.

The order and the types of the fields of messages between nodes are the wire
format.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationRequest:
    """Ask a node to keep replicas of account entries until the log has them.

    ``origin`` is the node whose entries they are, ``batch_number`` counts its
    batches. ``entries`` are encoded account entries. Entries up to the number
    ``last_logged`` are in the log, so their replicas may be dropped.
    """

    origin: str
    batch_number: int
    last_logged: int
    entries: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationAck:
    """Acknowledge that the node ``replica`` has all batches up to this one."""

    replica: str
    batch_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetUpdate:
    """The offset up to which a node has read the declarations.

    Sent when the offset grows and in response to an ``OffsetRequest``.
    """

    node: str
    offset: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetRequest:
    """Ask a node for its offset in the declarations."""

    requester: str


@dataclasses.dataclass(frozen=True, slots=True)
class ToNode:
    """Send a message to the node with this id, ``name.incarnation``."""

    node: str
    body: object


@dataclasses.dataclass(frozen=True, slots=True)
class ToHostPort:
    """Send a message to a host and port, whichever node listens there."""

    host: str
    port: int
    body: object


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The connection to a node is closed or could not be opened.

    ``sent`` is false when no message on the connection can have reached the
    node.
    """

    node: str
    sent: bool
