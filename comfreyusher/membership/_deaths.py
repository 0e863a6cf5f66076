"""How members learn that they were declared dead, and refute it.

A member that was cut off or frozen does not know that it was declared dead. For a
while it is told so: some dead members each period, and each one that sends anything.
It refutes its death to its whole region at once.
"""

from comfreyusher.flow import end_pipe, replace
from comfreyusher.membership._records import is_death
from comfreyusher.membership._sending import member_name, send_to
from comfreyusher.membership._state import dead_members, region_members
from comfreyusher.messages import GossipKind, MemberStanding

# How many dead members a node contacts each period, and for how long after a death.
DEAD_CONTACTS = 3
DEAD_CONTACT_S = 30.0
# Bounds the datagrams of two nodes that do not accept each other's records.
MAX_REPLIES_PER_PERIOD = 128


def reply_to_death(state, message):
    """Refute that this node is dead, and let a sender refute it that counts as dead.

    The refutation has a later version than the claim, so no reply follows it.
    """
    sender = state.members.get(member_name(message.sender))
    if sender is None or sender.node != message.sender:
        return end_pipe(state, None)
    records = ()
    if any(is_death(state.own, record) for record in message.members):
        records += (state.own,)
    if sender.standing is MemberStanding.DEAD:
        records += (sender,)
    if not records or state.death_replies >= MAX_REPLIES_PER_PERIOD:
        return end_pipe(state, None)
    state = replace(state, death_replies=state.death_replies + 1)
    reply = send_to(state, sender, GossipKind.PAGE, members=records)
    return end_pipe(state, None, reply)


def announce_own(state, now, settings):
    """Send the own record to the whole region, at most once a period.

    After a cut, gossip alone would need several periods, in which no other node of
    the region sends anything to this one. Members that this node took for dead
    during the cut are among those that refute it.
    """
    if now - state.announced_s < settings.period_s:
        return end_pipe(state, None)
    sends = [
        send_to(state, record, GossipKind.PAGE, members=(state.own,))
        for record in region_members(state)
    ]
    sends += [
        send_to(state, record, GossipKind.PAGE, members=(state.own, record))
        for record in _find_recently_dead(state, now)
    ]
    return end_pipe(replace(state, announced_s=now), None, *sends)


def contact_dead(state, now, shuffle):
    """Return messages that let some recently dead members refute their death."""
    recent = {record.name: record for record in _find_recently_dead(state, now)}
    chosen = shuffle(tuple(recent))[:DEAD_CONTACTS]
    return tuple(
        send_to(state, recent[name], GossipKind.PAGE, members=(recent[name],))
        for name in chosen
    )


def _find_recently_dead(state, now):
    return [
        record
        for record in dead_members(state)
        if now - state.tombstones[record.name][1] <= DEAD_CONTACT_S
    ]
