"""State of the membership protocol of one node."""

import dataclasses
import math

import immutables

from comfreyusher.messages import MemberRecord, MemberStanding


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """The current probe: a ping of one member, until its period is over.

    ``target`` is the name of the member, empty once an acknowledgement arrived.
    ``indirect`` tells that other members were asked to ping it too.
    """

    target: str
    sequence: int
    sent_s: float
    indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping of an indirect probe, sent for the node ``requester``."""

    requester: str
    requester_sequence: int
    sent_s: float


@dataclasses.dataclass(frozen=True)
class MembershipState:
    """Records of members by name, and the protocol's timers and counters.

    ``remaining_sends`` maps names to how often their record must still be sent.
    ``suspicion_deadlines`` maps names to the time at which they are declared dead.
    ``tombstones`` maps names of dead members to the precedence of their last
    record and the time of death. ``probe_order`` holds the names that the current
    round still has to ping. ``relayed_pings`` maps sequence numbers to pings sent
    for other nodes. ``early_ticks`` counts the first ticks after the start.
    ``next_page`` is the page of members to send next. ``announced_s`` is when this
    node last sent its own record to its whole region. ``death_replies`` counts the
    replies of this period to nodes that take others for dead.
    """

    own: MemberRecord
    members: immutables.Map = immutables.Map()
    remaining_sends: immutables.Map = immutables.Map()
    suspicion_deadlines: immutables.Map = immutables.Map()
    tombstones: immutables.Map = immutables.Map()
    probe_order: tuple = ()
    probe: Probe | None = None
    relayed_pings: immutables.Map = immutables.Map()
    sequence: int = 0
    periods: int = 0
    early_ticks: int = 0
    next_page: int = 0
    announced_s: float = -math.inf
    death_replies: int = 0


def new_state(own):
    """Return the state of a node that knows only itself."""
    return MembershipState(own=own, members=immutables.Map({own.name: own}))


def live_members(state):
    """Return the members that take new requests, sorted by name."""
    live = [
        record
        for record in state.members.values()
        if record.standing in (MemberStanding.ALIVE, MemberStanding.SUSPECT)
    ]
    return sorted(live, key=lambda record: record.name)


def other_members(state):
    """Return all members except this node and the dead ones, sorted by name."""
    return [
        record
        for name, record in sorted(state.members.items())
        if name != state.own.name and record.standing is not MemberStanding.DEAD
    ]


def region_members(state):
    """Return the other members in the region of this node, sorted by name."""
    own_region = state.own.region
    return [record for record in other_members(state) if record.region == own_region]


def dead_members(state):
    """Return the dead members of the region of this node, sorted by name."""
    return [
        state.members[name]
        for name in sorted(state.tombstones)
        if name in state.members
        and state.members[name].standing is MemberStanding.DEAD
        and state.members[name].region == state.own.region
    ]
