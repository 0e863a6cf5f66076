"""Room: which upstreams may take a piece of work, and how many slots are free."""

import math

from comfreyusher.health import Standing, usable_slots
from comfreyusher.messages import WorkClass

LONG_LEAST_SHARE = 0.1
PEAK_MARGIN = 1.15
AVOID_S = 0.2
PROBATION_PATIENCE_S = 2.0


def takes_work(upstream):
    """Tell whether the upstream gets any work at all."""
    standing = upstream.health.standing
    return standing is not Standing.EJECTED and standing is not Standing.LEAVING


def is_allowed(upstream, work, now):
    """Tell whether an upstream that takes work may get this one."""
    ask = work.ask
    if upstream.name in ask.excluded_upstreams:
        return False
    if upstream.name in ask.avoided_upstreams and now - work.queued_s < AVOID_S:
        return False
    if upstream.health.standing is Standing.PROBATION and not ask.idempotent:
        return now - upstream.health.since_s > PROBATION_PATIENCE_S
    return True


def fits(group, upstream, work):
    """Tell whether this work may take a free slot of the upstream."""
    if is_suspect(group, work) and runs_suspect(group, upstream):
        return False
    if group.is_long(work):
        free = upstream.long_in_flight < long_limit(group, upstream)
        return free and long_running(group) < group_long_limit(group)
    return True


def free_limit(group, upstream, now):
    """Return how many requests an upstream may run at once now."""
    slow_start_s = group.plan.profile.slow_start_ms / 1000
    slots = usable_slots(upstream.slots, upstream.health, slow_start_s, now)
    if now < upstream.warm_s:
        slots = min(slots, max(1, upstream.slots // 2))
    return min(slots, upstream.shed_limit)


def long_limit(group, upstream):
    """Return how many long requests an upstream may run at once.

    Without any short work in the profile's routes, the reserve is still kept,
    since short work may come at any moment.
    """
    reserved = group.plan.profile.short_reserved_share * upstream.slots
    return max(1, upstream.slots - math.ceil(reserved))


def long_running(group):
    """Return how many long requests run in the group."""
    return sum(upstream.long_in_flight for upstream in group.upstreams.values())


def group_long_limit(group):
    """Return how many long requests the group may run at once.

    Long work cannot be interrupted, so it leaves somewhat more slots than short
    work has recently needed at once, even when that is more than the reserve.
    A small share of the slots stays for long work whatever the short work is.
    """
    slots = sum(upstream.slots for upstream in group.upstreams.values())
    least = max(1, int(slots * LONG_LEAST_SHARE))
    return max(least, slots - math.ceil(group.short_peak * PEAK_MARGIN))


def is_suspect(group, work):
    """Tell whether this request was in flight on an upstream that crashed."""
    return work.ask.fingerprint in group.suspicions


def runs_suspect(group, upstream):
    """Tell whether an upstream runs a suspect request now.

    Suspects run apart, so that the next crash tells which one is to blame.
    """
    return any(
        work.upstream == upstream.name and is_suspect(group, work)
        for work in group.works.values()
    )


def usable_total(group, work_class, now):
    """Return the slots that a class of work can use in the group now."""
    total = 0
    for upstream in group.upstreams.values():
        slots = free_limit(group, upstream, now)
        if work_class is WorkClass.LONG:
            slots = min(slots, long_limit(group, upstream))
        total += slots
    if work_class is WorkClass.LONG:
        return min(total, group_long_limit(group))
    return total
