"""State of the membership protocol of one node."""

import dataclasses
import enum

import immutables


class MemberStanding(enum.IntEnum):
    """Standing of a member; a higher one wins at the same version."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class GossipKind(enum.IntEnum):
    """Kinds of datagrams."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    JOIN = 3
    PAGE = 4


@dataclasses.dataclass(frozen=True)
class MemberRecord:
    """What a node says of a member.

    ``node`` is ``name.incarnation``. ``version`` grows when the member itself
    refutes a suspicion. ``offset`` is the configuration offset it had.
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


@dataclasses.dataclass(frozen=True, slots=True)
class GossipMessage:
    """One datagram; ``target`` is the node that a request is about."""

    sender: str
    kind: GossipKind
    sequence: int = 0
    target: str = ""
    members: tuple[MemberRecord, ...] = ()
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SendGossip:
    """A datagram to send."""

    host: str
    port: int
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """An unanswered ping; ``indirect`` once others were asked."""

    node: str
    sequence: int
    sent_s: float
    indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent for another node that asked for it."""

    asker: str
    asker_sequence: int
    sent_s: float


@dataclasses.dataclass(frozen=True)
class MembershipState:
    """Members by name, and the protocol's own counters.

    ``news`` maps names to how often their record must still be sent.
    ``order`` holds the names that the current round still has to ping.
    ``suspected`` maps names to the time at which they are declared dead.
    """

    own: MemberRecord
    members: immutables.Map = immutables.Map()
    news: immutables.Map = immutables.Map()
    suspected: immutables.Map = immutables.Map()
    buried: immutables.Map = immutables.Map()
    order: tuple = ()
    probe: Probe | None = None
    relays: immutables.Map = immutables.Map()
    sequence: int = 0
    periods: int = 0
    page: int = 0


def new_state(own):
    """Return the state of a node that knows only itself."""
    return MembershipState(own=own, members=immutables.Map({own.name: own}))


def live_members(state):
    """Return the members that take new work, sorted by name."""
    found = [
        record
        for record in state.members.values()
        if record.standing in (MemberStanding.ALIVE, MemberStanding.SUSPECT)
    ]
    return sorted(found, key=lambda record: record.name)
