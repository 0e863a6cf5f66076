"""Capacity: which upstreams may run an attempt, and how many slots they have."""

import math

from comfreyusher.health import Standing, usable_slots
from comfreyusher.messages import WorkClass
from comfreyusher.owner._known_failing import find_known_failing
from comfreyusher.owner._rate_limit import count_tokens, limit_slots
from comfreyusher.owner._refusals import refused_until_s

MIN_LONG_SLOTS_SHARE = 0.1
SHORT_PEAK_MARGIN_FACTOR = 1.15
AVOID_UPSTREAMS_S = 0.2
DEFAULT_SERVICE_S = 0.05
PROBATION_IDEMPOTENT_ONLY_S = 2.0


def accepts_requests(upstream):
    """Tell whether the upstream gets any requests."""
    standing = upstream.health.standing
    return standing is not Standing.EJECTED and standing is not Standing.LEAVING


def is_allowed(upstream, attempt, now):
    """Tell whether an upstream that accepts requests may get this attempt.

    An upstream to avoid may get it once the attempt has been queued for a moment.
    One on probation first gets only idempotent requests, which may be retried.
    """
    request = attempt.request
    if upstream.name in request.excluded_upstreams:
        return False
    if refused_until_s(upstream, request.node) > now:
        return False
    if (
        upstream.name in request.avoided_upstreams
        and now - attempt.queued_s < AVOID_UPSTREAMS_S
    ):
        return False
    if upstream.health.standing is Standing.PROBATION and not request.idempotent:
        return now - upstream.health.since_s > PROBATION_IDEMPOTENT_ONLY_S
    return True


def may_take_slot(group, upstream, attempt):
    """Tell whether this attempt may take a free slot of the upstream."""
    if is_suspect(group, attempt) and runs_suspect(group, upstream):
        return False
    if group.is_long(attempt):
        free = upstream.long_in_flight < long_concurrency_limit(group, upstream)
        return free and count_running_long(group) < group_long_concurrency_limit(group)
    return True


def concurrency_limit(group, upstream, now):
    """Return how many requests an upstream may run concurrently now."""
    if upstream.held_until_s > now:
        return 0
    slow_start_s = group.plan.profile.slow_start_ms / 1000
    slots = usable_slots(upstream.slots, upstream.health, slow_start_s, now)
    if now < upstream.warmup_until_s:
        slots = min(slots, max(1, upstream.slots // 2))
    return min(slots, upstream.shed_limit)


def long_concurrency_limit(group, upstream):
    """Return how many long requests an upstream may run concurrently.

    The reserve for short requests is kept even if the routes of the profile have
    none, since short requests may arrive at any moment.
    """
    reserved = group.plan.profile.short_reserved_share * upstream.slots
    return max(1, upstream.slots - math.ceil(reserved))


def count_running_long(group):
    """Return how many long requests run in the group."""
    return sum(upstream.long_in_flight for upstream in group.upstreams.values())


def group_long_concurrency_limit(group):
    """Return how many long requests the group may run concurrently.

    Long requests cannot be interrupted. They leave somewhat more slots free than
    short requests have recently needed at once, even when that is more than the
    reserve. A small share of the slots is always left for long requests.
    """
    slots = sum(upstream.slots for upstream in group.upstreams.values())
    min_limit = max(1, int(slots * MIN_LONG_SLOTS_SHARE))
    return max(
        min_limit, slots - math.ceil(group.short_demand_peak * SHORT_PEAK_MARGIN_FACTOR)
    )


def is_suspect(group, attempt):
    """Tell whether the request was in flight on an upstream that crashed."""
    return attempt.request.fingerprint in group.suspects


def runs_suspect(group, upstream):
    """Tell whether an upstream runs a suspect request now.

    An upstream runs one suspect at a time, so that its next crash identifies the
    request that caused it.
    """
    return any(
        attempt.upstream == upstream.name and is_suspect(group, attempt)
        for attempt in group.attempts.values()
    )


def count_free_limited(group, now):
    """Return how many requests upstreams that name a limit can take at once."""
    free = 0
    for upstream in group.upstreams.values():
        if upstream.rate_limit is not None and accepts_requests(upstream):
            free_slots = concurrency_limit(group, upstream, now) - upstream.in_flight
            tokens = count_tokens(upstream.rate_limit, now)
            free += max(0, int(min(free_slots, tokens)))
    return free


def count_usable_slots(group, work_class, now):
    """Return how many slots of the group a work class can use now."""
    total = 0
    mean_s = group.short_mean_s or DEFAULT_SERVICE_S
    known_failing = find_known_failing(group, now)
    for upstream in group.upstreams.values():
        if upstream.name in known_failing:
            continue
        slots = concurrency_limit(group, upstream, now)
        slots = limit_slots(upstream, slots, mean_s)
        if work_class is WorkClass.LONG:
            slots = min(slots, long_concurrency_limit(group, upstream))
        total += slots
    if work_class is WorkClass.LONG:
        return min(total, group_long_concurrency_limit(group))
    return total
