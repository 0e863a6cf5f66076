"""The membership protocol, after SWIM (Das et al., 2002).

Each period a node pings one member. Without an acknowledgement it asks other
members for indirect pings, so that a one-way loss between two nodes does not get
either of them declared dead. A member that no ping reached becomes suspect and,
unless it refutes the suspicion in time, is declared dead.
"""

import dataclasses

from comfreyusher.flow import end_pipe, replace
from comfreyusher.membership._deaths import announce_own, contact_dead, reply_to_death
from comfreyusher.membership._records import (
    disseminate_record,
    expire_members,
    is_newer_death,
    merge_record,
    suspect_member,
)
from comfreyusher.membership._sending import member_name, pick_updates, send, send_to
from comfreyusher.membership._state import (
    Probe,
    RelayedPing,
    other_members,
    region_members,
)
from comfreyusher.messages import (
    GossipKind,
    MemberStanding,
)

MEMBERS_PER_PAGE = 16
EARLY_JOIN_TICKS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Timing of the protocol.

    Pings go to members of the node's own region. Every ``page_periods`` the pinged
    member also gets a page of members. Links to other regions are narrow, so members
    there get no pings: one of them gets a page every ``remote_page_periods``. A
    changed record is sent ``retransmit_factor`` * log2(members + 1) times.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.4
    suspicion_s: float = 3.0
    indirect_probes: int = 3
    retransmit_factor: float = 3.0
    page_periods: int = 5
    remote_page_periods: int = 5


def join(state, addresses):
    """Ask the nodes at these ``(host, port)`` addresses for all members."""
    sends = tuple(
        send(state, host, port, GossipKind.JOIN, members=(state.own,))
        for host, port in addresses
    )
    return end_pipe(state, None, *sends)


def begin_leaving(state, settings):
    """Tell all members at once that this node takes no new requests."""
    own = replace(
        state.own, standing=MemberStanding.LEAVING, version=state.own.version + 1
    )
    state = disseminate_record(replace(state, own=own), own, settings)
    sends = tuple(
        send_to(state, record, GossipKind.PAGE, members=(own,))
        for record in other_members(state)
    )
    return end_pipe(state, None, *sends)


def handle_message(state, message, now, settings):
    """Handle one datagram of another node."""
    is_new_death = any(is_newer_death(state.own, record) for record in message.members)
    for record in message.members:
        state = merge_record(state, record, now, settings)
    step = _handle_kind(state, message, now, settings)
    reply = reply_to_death(step.state, message)
    messages = (*step.messages, *reply.messages)
    if not is_new_death:
        return end_pipe(reply.state, None, *messages)
    announcement = announce_own(reply.state, now, settings)
    return end_pipe(announcement.state, None, *messages, *announcement.messages)


def _handle_kind(state, message, now, settings):
    """Handle what a datagram asks for, after its records were merged."""
    handlers = {
        GossipKind.PING: _handle_ping,
        GossipKind.ACK: _handle_ack,
        GossipKind.PING_REQUEST: _handle_ping_request,
        GossipKind.JOIN: _handle_join,
    }
    handle = handlers.get(message.kind)
    if handle is None:
        return end_pipe(state, None)
    return handle(state, message, now, settings)


def advance_time(state, now, settings, shuffle):
    """Expire probes and suspicions, and start the next probe when it is due.

    Called several times a period. ``shuffle`` returns names as a shuffled tuple.
    """
    early = _request_members_early(state, shuffle)
    step = _advance_probe(early.state, now, settings, shuffle)
    return end_pipe(step.state, None, *early.messages, *step.messages)


def _request_members_early(state, shuffle):
    """Ask a member of the own region for all members, in the first ticks.

    When a whole fleet starts at once, the first pages that a node receives hold
    only the few members that had joined by then.
    """
    if state.early_ticks >= EARLY_JOIN_TICKS:
        return end_pipe(state, None)
    state = replace(state, early_ticks=state.early_ticks + 1)
    names = tuple(record.name for record in region_members(state))
    if not names:
        return end_pipe(state, None)
    target = state.members[shuffle(names)[0]]
    request = send_to(state, target, GossipKind.JOIN, members=(state.own,))
    return end_pipe(state, None, request)


def _advance_probe(state, now, settings, shuffle):
    state = expire_members(state, now, settings)
    probe = state.probe
    if probe is None:
        return _start_period(state, now, settings, shuffle)
    age_s = now - probe.sent_s
    if age_s >= settings.period_s:
        state = suspect_member(state, probe.target, now, settings)
        state = replace(state, probe=None)
        return _start_period(state, now, settings, shuffle)
    if age_s >= settings.ack_timeout_s and not probe.indirect and probe.target:
        return _request_indirect_probes(state, probe, settings, shuffle)
    return end_pipe(state, None)


# Messages ----------------------------------------------------------------------


def _handle_ping(state, message, now, settings):
    sender = state.members.get(member_name(message.sender))
    if sender is None:
        return end_pipe(state, None)
    step = pick_updates(state, settings)
    updates = step.item
    if sender.standing is MemberStanding.SUSPECT:
        updates += (sender,)  # lets the member refute the suspicion
    ack = send_to(
        step.state, sender, GossipKind.ACK, message.sequence, message.target, updates
    )
    return end_pipe(step.state, None, ack)


def _handle_ack(state, message, now, settings):
    probe = state.probe
    if probe is not None and probe.sequence == message.sequence and probe.target:
        acknowledged = replace(probe, target="")
        return end_pipe(replace(state, probe=acknowledged), None)
    relayed = state.relayed_pings.get(message.sequence)
    if relayed is None:
        return end_pipe(state, None)
    state = replace(state, relayed_pings=state.relayed_pings.delete(message.sequence))
    requester = state.members.get(member_name(relayed.requester))
    if requester is None:
        return end_pipe(state, None)
    ack = send_to(state, requester, GossipKind.ACK, relayed.requester_sequence)
    return end_pipe(state, None, ack)


def _handle_ping_request(state, message, now, settings):
    target = state.members.get(message.target)
    if target is None:
        return end_pipe(state, None)
    sequence = state.sequence + 1
    relayed = RelayedPing(message.sender, message.sequence, now)
    state = replace(
        state,
        sequence=sequence,
        relayed_pings=state.relayed_pings.set(sequence, relayed),
    )
    ping = send_to(state, target, GossipKind.PING, sequence)
    return end_pipe(state, None, ping)


def _handle_join(state, message, now, settings):
    """Send all members to a joining node, one page per datagram."""
    sender = state.members.get(member_name(message.sender))
    if sender is None:
        return end_pipe(state, None)
    records = sorted(state.members.values(), key=lambda record: record.name)
    pages = tuple(
        send_to(
            state,
            sender,
            GossipKind.PAGE,
            members=tuple(records[start : start + MEMBERS_PER_PAGE]),
        )
        for start in range(0, len(records), MEMBERS_PER_PAGE)
    )
    return end_pipe(state, None, *pages)


# Periods -------------------------------------------------------------------------


def _start_period(state, now, settings, shuffle):
    """Start a probe, and tell some dead members that they are taken for dead."""
    state = replace(state, death_replies=0)
    step = _start_probe(state, now, settings, shuffle)
    contacts = contact_dead(step.state, now, shuffle)
    return end_pipe(step.state, None, *step.messages, *contacts)


def _start_probe(state, now, settings, shuffle):
    if not state.probe_order:
        names = tuple(record.name for record in region_members(state))
        state = replace(state, probe_order=shuffle(names))
    if not state.probe_order:
        return _skip_probe(state, settings, shuffle)
    name, order = state.probe_order[0], state.probe_order[1:]
    sequence = state.sequence + 1
    probe = Probe(name, sequence, now)
    state = replace(
        state,
        probe_order=order,
        sequence=sequence,
        probe=probe,
        periods=state.periods + 1,
    )
    target = state.members.get(name)
    if target is None:
        return end_pipe(replace(state, probe=None), None)
    step = pick_updates(state, settings)
    ping = send_to(step.state, target, GossipKind.PING, sequence, "", step.item)
    page = _sync_member(step.state, target, settings)
    remote = _sync_remote_region(page.state, settings, shuffle)
    return end_pipe(remote.state, None, ping, *page.messages, *remote.messages)


def _skip_probe(state, settings, shuffle):
    """Count a period in which no other member of the own region is known.

    Pages still go to other regions, so that the node finds the fleet again.
    """
    state = replace(state, periods=state.periods + 1)
    return _sync_remote_region(state, settings, shuffle)


def _sync_remote_region(state, settings, shuffle):
    """Send a page to a member of another region, once in some periods."""
    if state.periods % settings.remote_page_periods:
        return end_pipe(state, None)
    names = tuple(
        record.name
        for record in other_members(state)
        if record.region != state.own.region
    )
    if not names:
        return end_pipe(state, None)
    target = state.members[shuffle(names)[0]]
    return _send_page(state, target)


def _sync_member(state, target, settings):
    """Send a page to a pinged member, once in some periods.

    Pages repair differences that the updates in pings and acknowledgements left.
    """
    if state.periods % settings.page_periods:
        return end_pipe(state, None)
    return _send_page(state, target)


def _send_page(state, target):
    """Send the next page of members, in the order of their names."""
    records = sorted(state.members.values(), key=lambda record: record.name)
    start = state.next_page * MEMBERS_PER_PAGE
    page = tuple(records[start : start + MEMBERS_PER_PAGE])
    page_number = state.next_page + 1
    next_page = page_number if page_number * MEMBERS_PER_PAGE < len(records) else 0
    state = replace(state, next_page=next_page)
    send = send_to(state, target, GossipKind.PAGE, members=page)
    return end_pipe(state, None, send)


def _request_indirect_probes(state, probe, settings, shuffle):
    names = tuple(
        record.name for record in region_members(state) if record.name != probe.target
    )
    helpers = shuffle(names)[: settings.indirect_probes]
    sends = tuple(
        send_to(
            state,
            state.members[name],
            GossipKind.PING_REQUEST,
            probe.sequence,
            probe.target,
        )
        for name in helpers
    )
    indirect = replace(probe, indirect=True)
    return end_pipe(replace(state, probe=indirect), None, *sends)
