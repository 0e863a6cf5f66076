"""Decisions on crashes: which requests the whole fleet refuses.

A few nodes, the holders of a fingerprint, count its crashes for all groups, owners
and regions. Rendezvous hashing chooses them, so that every node knows them without
an election. Times are monotonic seconds.
"""

import dataclasses

import immutables

from comfreyusher.flow import drop_before, replace
from comfreyusher.membership import choose_holders

SUSPECT_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request in flight on upstreams that crashed.

    ``notices`` maps the names and start times of these upstreams to ``CrashNotice``.
    """

    notices: immutables.Map = immutables.Map()
    last_crash_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineState:
    """Suspects, and the ends of quarantines, by fingerprint."""

    suspects: immutables.Map = immutables.Map()
    quarantined: immutables.Map = immutables.Map()


def choose_crash_holders(members, fingerprint):
    """Return the members that count the crashes of a fingerprint, the first one first.

    ``members`` are ``MemberRecord`` instances.
    """
    return choose_holders(members, "crashes", fingerprint)


def record_crash(state, notice, now):
    """Return the state after a crash; the request is quarantined at its limit.

    A notice that was received before changes nothing.
    """
    state = expire(state, now)
    fingerprint = notice.fingerprint
    if fingerprint in state.quarantined:
        return state
    known = state.suspects.get(fingerprint, Suspect())
    crash = (notice.upstream, notice.started_ms)
    suspect = Suspect(known.notices.set(crash, notice), now)
    if len(suspect.notices) < notice.crash_limit:
        return replace(state, suspects=state.suspects.set(fingerprint, suspect))
    return quarantine(state, fingerprint, now + notice.quarantine_ms / 1000)


def quarantine(state, fingerprint, until_s):
    """Return the state with a request quarantined until ``until_s`` at least."""
    until_s = max(until_s, state.quarantined.get(fingerprint, until_s))
    suspects = state.suspects
    if fingerprint in suspects:
        suspects = suspects.delete(fingerprint)
    return QuarantineState(suspects, state.quarantined.set(fingerprint, until_s))


def acquit(state, fingerprint):
    """Return the state after an upstream answered a suspected request."""
    if fingerprint not in state.suspects:
        return state
    return replace(state, suspects=state.suspects.delete(fingerprint))


def expire(state, now):
    """Return the state without old suspects and quarantines that have ended."""
    suspects = state.suspects
    for fingerprint, suspect in state.suspects.items():
        if now - suspect.last_crash_s > SUSPECT_EXPIRY_S:
            suspects = suspects.delete(fingerprint)
    return QuarantineState(suspects, drop_before(state.quarantined, now))
