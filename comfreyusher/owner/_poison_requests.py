"""Quarantine of poison requests, which crash the upstreams that run them.

A crash makes the request that was in flight a suspect. Suspects are kept on
different upstreams. A request that crashed several upstreams is quarantined:
the owner, which every attempt needs a grant of, denies all its further attempts,
and the crashes no longer count against the upstreams. A successful response
clears the suspect.

An owner sees the crashes of its group only, and forgets them with its process.
``comfreyusher.quarantine`` counts for the whole fleet.
"""

from comfreyusher.flow import Envelope, continue_pipe, end_pipe, replace
from comfreyusher.health import new_failure_estimate
from comfreyusher.owner._messages import Quarantined
from comfreyusher.owner._state import SuspectRequest, replace_upstream
from comfreyusher.quarantine import SuspectAcquitted

SUSPECT_EXPIRY_S = 60.0
NODE_CHANNEL = "node"
QUARANTINE_CHANNEL = "quarantine"


def record_crash(group, report, now):
    """Return the group after an upstream crashed while it ran a request."""
    fingerprint = report.fingerprint
    known = group.suspects.get(fingerprint)
    crashes = known.crashes if known else frozenset()
    crashes |= {(report.upstream, report.started_ms)}
    suspect = SuspectRequest(crashes, now)
    group = replace(group, suspects=group.suspects.set(fingerprint, suspect))
    if len(crashes) < group.plan.profile.poison_crashes:
        return continue_pipe(group, report)
    return _quarantine_request(group, report, {name for name, _ in crashes}, now)


def _quarantine_request(group, report, crashed_upstreams, now):
    for name in crashed_upstreams:
        group = _reset_health(group, name, now)
    fingerprint = report.fingerprint
    until_s = now + group.plan.profile.quarantine_ms / 1000
    group = replace(
        group,
        suspects=group.suspects.delete(fingerprint),
        quarantine=group.quarantine.set(fingerprint, until_s),
    )
    names = tuple(sorted(crashed_upstreams))
    quarantined = Quarantined(
        group.plan.group, fingerprint, names, group.plan.profile.quarantine_ms
    )
    return end_pipe(group, report, Envelope(NODE_CHANNEL, quarantined))


def _reset_health(group, name, now):
    upstream = group.upstreams.get(name)
    if upstream is None:
        return group
    health = replace(upstream.health, evidence=0.0)
    failure_estimate = new_failure_estimate(group.plan.profile.detection, now)
    return replace_upstream(
        group, replace(upstream, health=health, failure_estimate=failure_estimate)
    )


def clear_suspect(group, fingerprint):
    """Clear a request that an upstream answered successfully."""
    if fingerprint not in group.suspects:
        return continue_pipe(group, None)
    group = replace(group, suspects=group.suspects.delete(fingerprint))
    acquitted = Envelope(QUARANTINE_CHANNEL, SuspectAcquitted(fingerprint))
    return continue_pipe(group, None, acquitted)


def expire_suspects(group, now):
    """Return the group without old suspects and quarantines that have ended."""
    for fingerprint, suspect in group.suspects.items():
        if now - suspect.last_crash_s > SUSPECT_EXPIRY_S:
            suspects = group.suspects.delete(fingerprint)
            group = replace(group, suspects=suspects)
    for fingerprint, until_s in group.quarantine.items():
        if until_s < now:
            quarantine = group.quarantine.delete(fingerprint)
            group = replace(group, quarantine=quarantine)
    return group
