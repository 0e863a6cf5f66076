"""What a node believes of members: newer records win, the dead stay dead."""

import math

from comfreyusher.flow import replace
from comfreyusher.messages import MemberStanding

BURIED_S = 120.0


def merge_record(state, record, now, settings):
    """Return the state after one record was heard."""
    if record.name == state.own.name:
        return _defend(state, record, settings)
    buried = state.buried.get(record.name)
    if buried is not None and _rank(record) <= buried[0]:
        return state
    known = state.members.get(record.name)
    if known is not None and _rank(record) <= _rank(known):
        return _take_offset(state, known, record)
    if known is None and record.standing is MemberStanding.DEAD:
        return state
    state = spread_record(state, record, settings)
    return _set_suspicion(state, record, now, settings)


def _defend(state, record, settings):
    """Refute what is false about this node itself."""
    own = state.own
    if record.incarnation != own.incarnation:
        return state
    if _rank(record) <= _rank(own):
        return state
    version = max(own.version, record.version) + 1
    own = replace(own, version=version)
    return spread_record(replace(state, own=own), own, settings)


def _take_offset(state, known, record):
    if record.node != known.node or record.offset <= known.offset:
        return state
    known = replace(known, offset=record.offset)
    return replace(state, members=state.members.set(known.name, known))


def _set_suspicion(state, record, now, settings):
    suspected = state.suspected
    if record.standing is MemberStanding.SUSPECT:
        suspected = suspected.set(record.name, now + settings.suspicion_s)
    elif record.name in suspected:
        suspected = suspected.delete(record.name)
    state = replace(state, suspected=suspected)
    if record.standing is MemberStanding.DEAD:
        return _bury(state, record, now)
    return state


def _rank(record):
    """Order of records of one name: incarnation, version, standing."""
    return (record.incarnation, record.version, int(record.standing))


def spread_record(state, record, settings):
    """Keep a record and send it on a number of times that fits the fleet."""
    members = state.members.set(record.name, record)
    times = math.ceil(settings.spread_factor * math.log2(len(members) + 1))
    return replace(
        state, members=members, news=state.news.set(record.name, max(1, times))
    )


def suspect_member(state, name, now, settings):
    """Suspect a member that nobody reached."""
    record = state.members.get(name)
    if record is None or record.standing is not MemberStanding.ALIVE:
        return _count_leaver_dead(state, record, now, settings)
    suspect = replace(record, standing=MemberStanding.SUSPECT)
    state = spread_record(state, suspect, settings)
    return _set_suspicion(state, suspect, now, settings)


def _count_leaver_dead(state, record, now, settings):
    """A leaving member that stopped to answer has gone."""
    if record is None or record.standing is not MemberStanding.LEAVING:
        return state
    dead = replace(record, standing=MemberStanding.DEAD)
    return _bury(spread_record(state, dead, settings), dead, now)


def expire_members(state, now, settings):
    """Declare overdue suspects dead and forget old relays and burials."""
    for name, due_s in state.suspected.items():
        record = state.members.get(name)
        if now < due_s or record is None:
            continue
        dead = replace(record, standing=MemberStanding.DEAD)
        state = spread_record(state, dead, settings)
        state = _set_suspicion(state, dead, now, settings)
    for sequence, relay in state.relays.items():
        if now - relay.sent_s > settings.period_s:
            relays = state.relays.delete(sequence)
            state = replace(state, relays=relays)
    for name, (_, since_s) in state.buried.items():
        if now - since_s > BURIED_S:
            state = _unbury(state, name)
    return state


def _bury(state, record, now):
    """Remember a dead member, so that old news does not revive it."""
    buried = state.buried.set(record.name, (_rank(record), now))
    suspected = state.suspected
    if record.name in suspected:
        suspected = suspected.delete(record.name)
    return replace(state, buried=buried, suspected=suspected)


def _unbury(state, name):
    members = state.members
    record = members.get(name)
    if record is not None and record.standing is MemberStanding.DEAD:
        members = members.delete(name)
    return replace(state, members=members, buried=state.buried.delete(name))
