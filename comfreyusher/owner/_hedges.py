"""Hedges of a group: a share of its idempotent requests, and some at once beyond it.

Each idempotent request adds the share to a token bucket that holds the burst at most,
and each hedge that is granted takes one token. So in any span of time the hedges are at
most the share of the requests in it and the burst. A new owner starts with an empty
bucket, since an earlier one may have spent the burst just before.

Without a share nothing is counted and no hedge is denied here.
"""

from comfreyusher.flow import replace
from comfreyusher.messages import DenialReason, Verdict
from comfreyusher.owner._capacity import accepts_requests, concurrency_limit
from comfreyusher.owner._known_failing import find_known_failing
from comfreyusher.owner._load_spreading import do_many_requests_fail
from comfreyusher.owner._route_times import RouteTimes, add_time
from comfreyusher.owner._stalls import is_stall_due, record_stall

MIN_FREE_SHARE = 0.1
NO_TIMES = RouteTimes()


def refuse_hedge(group, request, now):
    """Return the reason to deny a hedge, or ``None`` for any other request.

    Only the first owner hedges: later ones know neither the level of its bucket nor how
    many slots are free.
    """
    if group.plan.hedge_share is None or not request.hedge:
        return None
    if not request.idempotent or request.owner_rank:
        return DenialReason.HEDGE_NOT_ALLOWED
    if is_short_of_room(group, now):
        return DenialReason.HEDGE_NO_ROOM
    if group.hedge_tokens < 1.0:
        return DenialReason.HEDGE_OVER_SHARE
    return None


def is_short_of_room(group, now):
    """Tell whether the group needs its slots for requests that have none yet.

    That is so while requests are queued, few slots are free, or many requests fail.
    """
    if group.queue or do_many_requests_fail(group, now):
        return True
    known_failing = find_known_failing(group, now)
    usable, free = 0, 0
    for upstream in group.upstreams.values():
        if accepts_requests(upstream) and upstream.name not in known_failing:
            slots = concurrency_limit(group, upstream, now)
            usable += slots
            free += max(0, slots - upstream.in_flight)
    return free < max(1, MIN_FREE_SHARE * usable)


def count_hedgeable(group, request):
    """Return the group after a request that may be hedged has arrived."""
    share = group.plan.hedge_share
    is_first = request.attempt == 1 and not request.prior_sends
    if share is None or not request.idempotent or not is_first:
        return group
    tokens = min(float(group.plan.hedge_burst), group.hedge_tokens + share)
    return replace(group, hedge_tokens=tokens)


def spend_hedge(group, request):
    """Return the group after a grant, which takes a token if it is for a hedge."""
    if group.plan.hedge_share is None or not request.hedge:
        return group
    return replace(group, hedge_tokens=max(0.0, group.hedge_tokens - 1.0))


def record_route_time(group, attempt, report, now):
    """Return the group after the report of a granted attempt of a request.

    Hedges are left out: they tell how long chosen upstreams take, and those that lose
    are cancelled early.
    """
    share = group.plan.hedge_share
    request = attempt.request
    if not share or request.hedge or not attempt.upstream or not request.idempotent:
        return group
    if report.verdict not in (Verdict.GOOD, Verdict.CANCELLED, Verdict.LATE):
        return group
    times = group.route_times.get(request.route_key, NO_TIMES)
    completed = report.verdict is Verdict.GOOD
    if not completed and report.took_ms >= times.hedge_after_ms > 0:
        group = record_lost_race(group, attempt, report.took_ms / 1000, now)
    times = add_time(times, report.took_ms, completed, share)
    return replace(group, route_times=group.route_times.set(request.route_key, times))


def record_lost_race(group, attempt, took_s, now):
    """Return the group after an attempt was slower than its hedge.

    Hedges that begin early end attempts before their age counts as a stall, and would
    hide a slow upstream from the choice of upstreams. So a lost race is a stall.
    """
    if attempt.upstream not in group.upstreams or attempt.stalls:
        return group
    if is_stall_due(group, attempt, took_s):
        return group  # counted by the report of the cancelled attempt
    return record_stall(group, attempt, now)


def find_hedge_delay_ms(group, request):
    """Return the delay after which the request is worth a hedge; 0: not known."""
    if not group.plan.hedge_share or not request.idempotent:
        return 0
    return group.route_times.get(request.route_key, NO_TIMES).hedge_after_ms
