"""Messages of the membership protocol."""

import dataclasses
import enum


class MemberStanding(enum.IntEnum):
    """Standing of a member; at the same version the higher standing wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class GossipKind(enum.IntEnum):
    """Kinds of datagrams of the membership protocol.

    PING_REQUEST asks another member for an indirect probe, JOIN for all members,
    and PAGE carries a part of the members that its sender knows.
    """

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    JOIN = 3
    PAGE = 4


@dataclasses.dataclass(frozen=True)
class MemberRecord:
    """What a node knows of a member.

    ``node`` is ``name.incarnation``. ``version`` grows when the member itself
    refutes a suspicion. ``offset`` is the configuration offset that the member
    had, in the ``era`` of the store.
    """

    node: str
    name: str
    host: str
    gossip_port: int
    peer_port: int
    data_centre: str
    region: str
    incarnation: int
    standing: MemberStanding = MemberStanding.ALIVE
    version: int = 0
    offset: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One datagram; ``target`` is the node that an indirect probe is about."""

    sender: str
    kind: GossipKind
    sequence: int = 0
    target: str = ""
    members: tuple[MemberRecord, ...] = ()
    offset: int = 0
    era: int = 0
