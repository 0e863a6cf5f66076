"""Requests that crash the upstreams that run them.

One crash makes the request that was in flight there a suspect. Suspects run
apart from each other. A request that crashed several upstreams is quarantined
by the owner, which every attempt has to ask, and those crashes do not count
against the upstreams. A good answer clears a suspect.
"""

from comfreyusher.flow import Envelope, continue_pipe, end_pipe, replace
from comfreyusher.health import new_failure_estimate
from comfreyusher.owner._messages import Quarantined
from comfreyusher.owner._state import Suspicion, replace_upstream

SUSPICION_S = 60.0
OWNER = "node"


def note_crash(group, report, now):
    """Return the group after an upstream broke off while it ran a request."""
    fingerprint = report.fingerprint
    known = group.suspicions.get(fingerprint)
    crashed = known.crashed if known else frozenset()
    crashed |= {report.upstream}
    suspicion = Suspicion(crashed, now)
    group = replace(group, suspicions=group.suspicions.set(fingerprint, suspicion))
    if len(crashed) < group.plan.profile.poison_crashes:
        return continue_pipe(group, report)
    return _condemn(group, report, crashed, now)


def _condemn(group, report, crashed, now):
    for name in crashed:
        group = _acquit_upstream(group, name, now)
    fingerprint = report.fingerprint
    until_s = now + group.plan.profile.quarantine_ms / 1000
    group = replace(
        group,
        suspicions=group.suspicions.delete(fingerprint),
        quarantine=group.quarantine.set(fingerprint, until_s),
    )
    names = tuple(sorted(crashed))
    told = Quarantined(group.plan.group, fingerprint, names)
    return end_pipe(group, report, Envelope(OWNER, told))


def _acquit_upstream(group, name, now):
    upstream = group.upstreams.get(name)
    if upstream is None:
        return group
    health = replace(upstream.health, evidence=0.0)
    odds = new_failure_estimate(group.plan.profile.detection, now)
    return replace_upstream(group, replace(upstream, health=health, odds=odds))


def clear_suspicion(group, fingerprint):
    """Return the group after the request was answered."""
    if fingerprint not in group.suspicions:
        return group
    return replace(group, suspicions=group.suspicions.delete(fingerprint))


def expire_suspicions(group, now):
    """Return the group without old suspicions and quarantines that ended."""
    for fingerprint, suspicion in group.suspicions.items():
        if now - suspicion.seen_s > SUSPICION_S:
            suspicions = group.suspicions.delete(fingerprint)
            group = replace(group, suspicions=suspicions)
    for fingerprint, until_s in group.quarantine.items():
        if until_s < now:
            quarantine = group.quarantine.delete(fingerprint)
            group = replace(group, quarantine=quarantine)
    return group
