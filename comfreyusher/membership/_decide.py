"""Decisions of the membership protocol, after SWIM (Das et al., 2002).

Each period a node pings one member. Without an answer it asks others to ping,
so that a one-way cut between two nodes kills neither. A member that nobody
reached is suspect and, unless it refutes that in time, dead.
"""

import dataclasses

from comfreyusher.flow import Step, end_pipe, replace
from comfreyusher.membership._records import (
    expire_members,
    merge_record,
    spread_record,
    suspect_member,
)
from comfreyusher.membership._state import (
    Probe,
    Relay,
    near_members,
    other_members,
)
from comfreyusher.messages import (
    GossipKind,
    GossipMessage,
    MemberStanding,
    ToHostPort,
)

MEMBERS_PER_MESSAGE = 8
MEMBERS_PER_PAGE = 16
MEETING_TICKS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Timing of the protocol.

    Pings go to members of the own region. Once in ``far_periods`` a page goes
    to a member of another region, since that link is narrow.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.4
    suspicion_s: float = 3.0
    indirect_probes: int = 3
    spread_factor: float = 3.0
    page_periods: int = 5
    far_periods: int = 5


def join(state, places):
    """Greet the places that the platform's list shows, as ``(host, port)``."""
    sends = tuple(
        _send(state, host, port, GossipKind.JOIN, members=(state.own,))
        for host, port in places
    )
    return end_pipe(state, None, *sends)


def begin_leaving(state, settings):
    """Tell members at once that this node takes no new work."""
    own = replace(
        state.own, standing=MemberStanding.LEAVING, version=state.own.version + 1
    )
    state = spread_record(replace(state, own=own), own, settings)
    sends = tuple(
        _send_to(state, record, GossipKind.PAGE, members=(own,))
        for record in other_members(state)
    )
    return end_pipe(state, None, *sends)


def hear(state, message, now, settings):
    """Take one datagram."""
    for record in message.members:
        state = merge_record(state, record, now, settings)
    handlers = {
        GossipKind.PING: _hear_ping,
        GossipKind.ACK: _hear_ack,
        GossipKind.PING_REQUEST: _hear_ping_request,
        GossipKind.JOIN: _hear_join,
    }
    handle = handlers.get(message.kind)
    if handle is None:
        return end_pipe(state, None)
    return handle(state, message, now, settings)


def run_period(state, now, settings, shuffle):
    """Advance time: time out probes and suspicions, start the next ping.

    It is called several times a period. ``shuffle`` returns a shuffled tuple.
    """
    meeting = _meet_early(state, shuffle)
    step = _advance(meeting.state, now, settings, shuffle)
    return end_pipe(step.state, None, *meeting.messages, *step.messages)


def _meet_early(state, shuffle):
    """Ask a member of the own region for all that it knows, soon after the start.

    A fleet that starts at once knows few of its members in the first answers.
    """
    if state.ticks >= MEETING_TICKS:
        return end_pipe(state, None)
    state = replace(state, ticks=state.ticks + 1)
    near = tuple(record.name for record in near_members(state))
    if not near:
        return end_pipe(state, None)
    target = state.members[shuffle(near)[0]]
    join = _send_to(state, target, GossipKind.JOIN, members=(state.own,))
    return end_pipe(state, None, join)


def _advance(state, now, settings, shuffle):
    state = expire_members(state, now, settings)
    probe = state.probe
    if probe is None:
        return _start_probe(state, now, settings, shuffle)
    age_s = now - probe.sent_s
    if age_s >= settings.period_s:
        state = suspect_member(state, probe.node, now, settings)
        state = replace(state, probe=None)
        return _start_probe(state, now, settings, shuffle)
    if age_s >= settings.ack_timeout_s and not probe.indirect and probe.node:
        return _ask_others(state, probe, settings, shuffle)
    return end_pipe(state, None)


# Hearing -----------------------------------------------------------------------


def _hear_ping(state, message, now, settings):
    sender = state.members.get(_name_of(message.sender))
    if sender is None:
        return end_pipe(state, None)
    step = _with_news(state, settings)
    news = step.item
    if sender.standing is not MemberStanding.ALIVE:
        news += (sender,)  # so that a member counted as dead can refute it
    reply = _send_to(
        step.state, sender, GossipKind.ACK, message.sequence, message.target, news
    )
    return end_pipe(step.state, None, reply)


def _hear_ack(state, message, now, settings):
    probe = state.probe
    if probe is not None and probe.sequence == message.sequence and probe.node:
        answered = replace(probe, node="")
        return end_pipe(replace(state, probe=answered), None)
    relay = state.relays.get(message.sequence)
    if relay is None:
        return end_pipe(state, None)
    state = replace(state, relays=state.relays.delete(message.sequence))
    asker = state.members.get(_name_of(relay.asker))
    if asker is None:
        return end_pipe(state, None)
    reply = _send_to(state, asker, GossipKind.ACK, relay.asker_sequence)
    return end_pipe(state, None, reply)


def _hear_ping_request(state, message, now, settings):
    target = state.members.get(message.target)
    if target is None:
        return end_pipe(state, None)
    sequence = state.sequence + 1
    relay = Relay(message.sender, message.sequence, now)
    state = replace(state, sequence=sequence, relays=state.relays.set(sequence, relay))
    ping = _send_to(state, target, GossipKind.PING, sequence)
    return end_pipe(state, None, ping)


def _hear_join(state, message, now, settings):
    """Answer a fresh node with all members, a page a datagram."""
    sender = state.members.get(_name_of(message.sender))
    if sender is None:
        return end_pipe(state, None)
    records = sorted(state.members.values(), key=lambda record: record.name)
    pages = tuple(
        _send_to(
            state,
            sender,
            GossipKind.PAGE,
            members=tuple(records[start : start + MEMBERS_PER_PAGE]),
        )
        for start in range(0, len(records), MEMBERS_PER_PAGE)
    )
    return end_pipe(state, None, *pages)


# Periods -------------------------------------------------------------------------


def _start_probe(state, now, settings, shuffle):
    if not state.order:
        near = tuple(record.name for record in near_members(state))
        state = replace(state, order=shuffle(near))
    if not state.order:
        return _reach_far(state, settings, shuffle)
    name, order = state.order[0], state.order[1:]
    sequence = state.sequence + 1
    probe = Probe(name, sequence, now)
    state = replace(
        state,
        order=order,
        sequence=sequence,
        probe=probe,
        periods=state.periods + 1,
    )
    target = state.members.get(name)
    if target is None:
        return end_pipe(replace(state, probe=None), None)
    step = _with_news(state, settings)
    ping = _send_to(step.state, target, GossipKind.PING, sequence, "", step.item)
    page = _share_page(step.state, target, settings)
    far = _tell_far(page.state, settings, shuffle)
    return end_pipe(far.state, None, ping, *page.messages, *far.messages)


def _reach_far(state, settings, shuffle):
    """Go on telling other regions while no member of the own one is known."""
    state = replace(state, periods=state.periods + 1)
    return _tell_far(state, settings, shuffle)


def _tell_far(state, settings, shuffle):
    """Now and then send a page of members to another region."""
    if state.periods % settings.far_periods:
        return end_pipe(state, None)
    far = tuple(
        record.name
        for record in other_members(state)
        if record.region != state.own.region
    )
    if not far:
        return end_pipe(state, None)
    target = state.members[shuffle(far)[0]]
    return _send_page(state, target)


def _share_page(state, target, settings):
    """Now and then send a page of members, which heals what gossip missed."""
    if state.periods % settings.page_periods:
        return end_pipe(state, None)
    return _send_page(state, target)


def _send_page(state, target):
    """Send the next page of members."""
    records = sorted(state.members.values(), key=lambda record: record.name)
    start = state.page * MEMBERS_PER_PAGE
    chunk = tuple(records[start : start + MEMBERS_PER_PAGE])
    following = state.page + 1
    page = following if following * MEMBERS_PER_PAGE < len(records) else 0
    state = replace(state, page=page)
    send = _send_to(state, target, GossipKind.PAGE, members=chunk)
    return end_pipe(state, None, send)


def _ask_others(state, probe, settings, shuffle):
    names = tuple(
        record.name for record in near_members(state) if record.name != probe.node
    )
    helpers = shuffle(names)[: settings.indirect_probes]
    sends = tuple(
        _send_to(
            state,
            state.members[name],
            GossipKind.PING_REQUEST,
            probe.sequence,
            probe.node,
        )
        for name in helpers
    )
    asked = replace(probe, indirect=True)
    return end_pipe(replace(state, probe=asked), None, *sends)


# Sending -------------------------------------------------------------------------


def _with_news(state, settings):
    """Take the records that were sent least often."""
    chosen = sorted(state.news.items(), key=lambda item: -item[1])
    records = ()
    news = state.news
    for name, left in chosen[:MEMBERS_PER_MESSAGE]:
        records += (state.members[name],) if name in state.members else ()
        news = news.set(name, left - 1) if left > 1 else news.delete(name)
    return Step(replace(state, news=news), records)


def _send_to(state, record, kind, sequence=0, target="", members=()):
    return _send(
        state, record.host, record.gossip_port, kind, sequence, target, members
    )


def _send(state, host, port, kind, sequence=0, target="", members=()):
    own = state.own
    if own not in members and kind is not GossipKind.PAGE:
        members = (own, *members)
    message = GossipMessage(own.node, kind, sequence, target, members, own.offset)
    return ToHostPort(host, port, message)


def _name_of(node):
    return node.rpartition(".")[0]
