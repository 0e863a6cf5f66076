"""Requests that crash the upstreams that run them.

One crash makes every request that was in flight there a suspect. Suspects run
apart from each other. A request that was in flight at crashes of several
upstreams is quarantined on all nodes, and those crashes do not count against
the upstreams. An answer clears a suspect.
"""

from comfreyusher.flow import Address, change, passed, stopped
from comfreyusher.messages import Outcome, PoisonHeard, ToOthers
from comfreyusher.owner._messages import PEERS
from comfreyusher.owner._settle import refuse, replace_upstream
from comfreyusher.owner._state import Suspicion

SUSPICION_S = 60.0
POISONED = "the request crashed every upstream that ran it"


def note_crash(group, work, now):
    """Return the group after an upstream broke off while running the work.

    The step has ended when the request is condemned.
    """
    fingerprint = work.offer.fingerprint
    known = group.suspicions.get(fingerprint)
    crashed = known.crashed if known else frozenset()
    crashed |= {work.upstream}
    suspicion = Suspicion(crashed, now)
    group = change(group, suspicions=group.suspicions.set(fingerprint, suspicion))
    if len(crashed) < group.plan.profile.poison_crashes:
        return passed(group, work)
    return _condemn(group, work, crashed)


def _condemn(group, work, crashed):
    for name in crashed:
        group = _acquit_upstream(group, name)
    fingerprint = work.offer.fingerprint
    group = change(group, suspicions=group.suspicions.delete(fingerprint))
    heard = PoisonHeard(fingerprint, group.plan.profile.quarantine_ms)
    step = refuse(group, work, Outcome.UNKNOWN, 422, POISONED)
    spread = Address(PEERS, ToOthers(heard))
    return stopped(step.state, work, spread, *step.messages)


def _acquit_upstream(group, name):
    upstream = group.upstreams.get(name)
    if upstream is None:
        return group
    health = change(upstream.health, evidence=0.0)
    return replace_upstream(group, change(upstream, health=health))


def clear_suspicion(group, work):
    """Return the group after the request was answered."""
    fingerprint = work.offer.fingerprint
    if fingerprint not in group.suspicions:
        return group
    return change(group, suspicions=group.suspicions.delete(fingerprint))


def expire_suspicions(group, now):
    """Return the group without suspicions older than ``SUSPICION_S``."""
    for fingerprint, suspicion in group.suspicions.items():
        if now - suspicion.seen_s > SUSPICION_S:
            suspicions = group.suspicions.delete(fingerprint)
            group = change(group, suspicions=suspicions)
    return group
