"""Merging of records of members into the state of a node.

A record with a newer incarnation or version replaces an older one. The tombstone
of a dead member rejects its older records until it expires.
"""

import math

from comfreyusher.flow import replace
from comfreyusher.messages import MemberStanding

TOMBSTONE_LIFETIME_S = 120.0


def merge_record(state, record, now, settings):
    """Return the state after one record was received."""
    if record.name == state.own.name:
        return _refute_record(state, record, settings)
    tombstone = state.tombstones.get(record.name)
    if tombstone is not None and _precedence(record) <= tombstone[0]:
        return state
    known = state.members.get(record.name)
    if known is not None and _precedence(record) <= _precedence(known):
        return _update_offset(state, known, record)
    if known is None and record.standing is MemberStanding.DEAD:
        return state
    state = disseminate_record(state, record, settings)
    return _update_suspicion(state, record, now, settings)


def _refute_record(state, record, settings):
    """Refute a newer record about this node itself, such as a suspicion."""
    own = state.own
    if record.incarnation != own.incarnation:
        return state
    if _precedence(record) <= _precedence(own):
        return state
    version = max(own.version, record.version) + 1
    own = replace(own, version=version)
    return disseminate_record(replace(state, own=own), own, settings)


def is_death(own, record):
    """Tell whether a record declares this node dead."""
    return record.node == own.node and record.standing is MemberStanding.DEAD


def is_newer_death(own, record):
    """Tell whether a record declares this node dead, and was not refuted before."""
    return is_death(own, record) and _precedence(record) > _precedence(own)


def _update_offset(state, known, record):
    if record.node != known.node:
        return state
    if (record.era, record.offset) <= (known.era, known.offset):
        return state
    known = replace(known, offset=record.offset, era=record.era)
    return replace(state, members=state.members.set(known.name, known))


def _update_suspicion(state, record, now, settings):
    deadlines = state.suspicion_deadlines
    if record.standing is MemberStanding.SUSPECT:
        deadlines = deadlines.set(record.name, now + settings.suspicion_s)
    elif record.name in deadlines:
        deadlines = deadlines.delete(record.name)
    state = replace(state, suspicion_deadlines=deadlines)
    if record.standing is MemberStanding.DEAD:
        return _add_tombstone(state, record, now)
    return state


def _precedence(record):
    """Return the sort key of records of one member; the greatest one wins."""
    return (record.incarnation, record.version, int(record.standing))


def disseminate_record(state, record, settings):
    """Store a record and schedule how often it is sent to others.

    The number of sends grows with the logarithm of the number of members.
    """
    members = state.members.set(record.name, record)
    sends = math.ceil(settings.retransmit_factor * math.log2(len(members) + 1))
    return replace(
        state,
        members=members,
        remaining_sends=state.remaining_sends.set(record.name, max(1, sends)),
    )


def suspect_member(state, name, now, settings):
    """Suspect a member that neither direct nor indirect probes reached."""
    record = state.members.get(name)
    if record is None or record.standing is not MemberStanding.ALIVE:
        return _declare_leaver_dead(state, record, now, settings)
    suspect = replace(record, standing=MemberStanding.SUSPECT)
    state = disseminate_record(state, suspect, settings)
    return _update_suspicion(state, suspect, now, settings)


def _declare_leaver_dead(state, record, now, settings):
    """Declare a leaving member dead that no longer acknowledges pings."""
    if record is None or record.standing is not MemberStanding.LEAVING:
        return state
    dead = replace(record, standing=MemberStanding.DEAD)
    return _add_tombstone(disseminate_record(state, dead, settings), dead, now)


def expire_members(state, now, settings):
    """Declare overdue suspects dead; drop old relayed pings and tombstones."""
    for name, deadline_s in state.suspicion_deadlines.items():
        record = state.members.get(name)
        if now < deadline_s or record is None:
            continue
        dead = replace(record, standing=MemberStanding.DEAD)
        state = disseminate_record(state, dead, settings)
        state = _update_suspicion(state, dead, now, settings)
    for sequence, relayed in state.relayed_pings.items():
        if now - relayed.sent_s > settings.period_s:
            relayed_pings = state.relayed_pings.delete(sequence)
            state = replace(state, relayed_pings=relayed_pings)
    for name, (_, died_s) in state.tombstones.items():
        if now - died_s > TOMBSTONE_LIFETIME_S:
            state = _remove_tombstone(state, name)
    return state


def _add_tombstone(state, record, now):
    """Record the death of a member, so that older records do not revive it."""
    tombstones = state.tombstones.set(record.name, (_precedence(record), now))
    deadlines = state.suspicion_deadlines
    if record.name in deadlines:
        deadlines = deadlines.delete(record.name)
    return replace(state, tombstones=tombstones, suspicion_deadlines=deadlines)


def _remove_tombstone(state, name):
    members = state.members
    record = members.get(name)
    if record is not None and record.standing is MemberStanding.DEAD:
        members = members.delete(name)
    return replace(state, members=members, tombstones=state.tombstones.delete(name))
