"""Decisions on grant requests of entry nodes: admission, queue, grants."""

import dataclasses
import math

from comfreyusher.flow import continue_pipe, end_pipe, pipe, replace
from comfreyusher.health import Standing
from comfreyusher.messages import Denial, DenialReason, Grant, QueuedAck
from comfreyusher.owner._arrivals import record_arrival
from comfreyusher.owner._choose import (
    Purpose,
    choose_upstream,
    find_candidates,
    refresh_candidate,
)
from comfreyusher.owner._fair_queue import is_light, serials_of
from comfreyusher.owner._handover_load import record_load
from comfreyusher.owner._hedges import (
    count_hedgeable,
    find_hedge_delay_ms,
    refuse_hedge,
    spend_hedge,
)
from comfreyusher.owner._load_shedding import (
    estimate_wait,
    find_certain_delay,
    is_too_late,
)
from comfreyusher.owner._messages import to_entry_node
from comfreyusher.owner._next_attempt import Waiting, find_next, requirements_of
from comfreyusher.owner._queue import (
    count_queued_short,
    dequeue,
    dequeue_granted,
    enqueue,
    expected_cost_ms,
)
from comfreyusher.owner._rate_limit import limit_to_tell, take_token
from comfreyusher.owner._refusals import refused_until_s
from comfreyusher.owner._retry_budget import allows_retry, available_slack
from comfreyusher.owner._return_times import plan_return
from comfreyusher.owner._state import Attempt, replace_upstream
from comfreyusher.owner._window import count_event

MAX_SCANNED_POSITIONS = 64
SECOND_OWNER_SLACK = 2
FIRST_ATTEMPT = 1
BUDGET_RETRY_AFTER_MS = 500
HEDGE_RETRY_AFTER_MS = 250
NO_UPSTREAM_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt in the admission pipe, and the time of its arrival."""

    attempt: Attempt
    now: float


def handle_grant_request(group, request, now):
    """Run the admission pipe; respond to a duplicate as before."""
    if request.other_loads or group.other_loads:
        group = record_load(group, request, now)
    known = group.attempts.get(request.key)
    if known is not None:
        return end_pipe(group, None, to_entry_node(_repeat_response(group, known)))
    attempt = Attempt(
        request,
        now + request.remaining_ms / 1000,
        now + request.target_ms / 1000,
        queued_s=now,
        cost_ms=expected_cost_ms(group, request) if group.plan.fair_sharing else 0,
    )
    hedging = group.plan.hedge_share is not None
    admit = HEDGING_ADMISSION_PIPE if hedging else ADMISSION_PIPE
    step = admit(group, Arrival(attempt, now))
    if step.ended:
        return step
    granted = grant_queued(step.state, now)
    group = granted.state
    attempt = group.attempts.get(request.key)
    if attempt is not None and not attempt.upstream:
        if request.no_wait:
            denied = deny(group, attempt, DenialReason.NO_UPSTREAM)
            return end_pipe(denied.state, None, *granted.messages, *denied.messages)
        return end_pipe(
            group, None, *granted.messages, to_entry_node(QueuedAck(request.key))
        )
    return end_pipe(group, None, *granted.messages)


def _repeat_response(group, attempt):
    if not attempt.upstream:
        return QueuedAck(attempt.request.key)
    return _grant_of(group, attempt)


def deny_quarantined(group, arrival):
    """Deny quarantined poison requests."""
    until_s = group.quarantine.get(arrival.attempt.request.fingerprint)
    if until_s is not None and arrival.now < until_s:
        return deny(group, arrival.attempt, DenialReason.QUARANTINED)
    return continue_pipe(group, arrival)


def deny_without_upstream(group, arrival):
    """Deny when no upstream is left to try."""
    attempt = arrival.attempt
    waits_s = [NO_UPSTREAM_RETRY_AFTER_S]
    for upstream in group.upstreams.values():
        leaving = upstream.health.standing is Standing.LEAVING
        if leaving or upstream.name in attempt.request.excluded_upstreams:
            continue
        until_s = refused_until_s(upstream, attempt.request.node)
        if until_s < attempt.deadline_s:
            return continue_pipe(group, arrival)
        waits_s.append(until_s - arrival.now)
    wait_ms = int(min(waits_s) * 1000)
    return deny(group, attempt, DenialReason.NO_UPSTREAM, wait_ms)


def deny_over_budget(group, arrival):
    """Count first attempts, and deny retries beyond the retry budget."""
    request = arrival.attempt.request
    if is_over_budget(group, request, arrival.now):
        return deny(
            group, arrival.attempt, DenialReason.OVER_BUDGET, BUDGET_RETRY_AFTER_MS
        )
    if request.attempt == FIRST_ATTEMPT and not request.prior_sends:
        retry_budget = count_event(group.retry_budget, marked=False, now=arrival.now)
        group = replace(group, retry_budget=retry_budget)
    return continue_pipe(group, arrival)


def deny_hedge(group, arrival):
    """Deny a hedge beyond the share of hedges, or while room is short."""
    reason = refuse_hedge(group, arrival.attempt.request, arrival.now)
    if reason is not None:
        return deny(group, arrival.attempt, reason, HEDGE_RETRY_AFTER_MS)
    return continue_pipe(count_hedgeable(group, arrival.attempt.request), arrival)


def is_over_budget(group, request, now):
    """Tell whether the request is a retry that the retry budget does not allow."""
    if not request.prior_sends:
        return False
    retries = group.plan.profile.retries
    slack = SECOND_OWNER_SLACK
    if not request.owner_rank:
        full_slack, window_s = group.plan.budget_slack, retries.window_ms / 1000
        slack = available_slack(
            full_slack, group.initial_slack, group.owned_since_s, window_s, now
        )
    return not allows_retry(group.retry_budget, retries.budget_share, slack, now)


def deny_late(group, arrival):
    """Deny an attempt that would wait too long to be answered in time."""
    estimate = estimate_wait(group, arrival.attempt, arrival.now)
    if is_too_late(group, arrival.attempt, estimate, arrival.now):
        return deny_too_late(group, arrival.attempt, estimate, arrival.now)
    return continue_pipe(group, arrival)


def deny_too_late(group, attempt, estimate, now):
    """End an attempt that cannot be answered in time, and tell when to come back."""
    planned = plan_return(group, attempt, estimate, now)
    return deny(planned.group, attempt, DenialReason.TOO_LATE, planned.retry_after_ms)


def join_queue(group, arrival):
    """Add the attempt to the queue."""
    attempt = arrival.attempt
    light = group.plan.fair_sharing and is_light(group.queue, attempt.request)
    arrivals = record_arrival(group.arrivals, attempt.request, arrival.now, light)
    group = replace(group, arrivals=arrivals)
    group = replace(
        enqueue(group, attempt),
        attempts=group.attempts.set(attempt.request.key, attempt),
    )
    group = replace(
        group, short_demand_peak=max(group.short_demand_peak, short_demand(group))
    )
    return continue_pipe(group, arrival)


def short_demand(group):
    """Return how many slots the running and queued short requests need now.

    They cannot use more slots than the group has, however many are queued.
    """
    slots = sum(upstream.slots for upstream in group.upstreams.values())
    return min(slots, count_short(group))


def count_short(group):
    """Return how many short requests run or are queued."""
    running = sum(
        upstream.in_flight - upstream.long_in_flight
        for upstream in group.upstreams.values()
    )
    return running + count_queued_short(group)


ADMISSION_PIPE = pipe(
    deny_quarantined,
    deny_without_upstream,
    deny_over_budget,
    deny_late,
    join_queue,
)
HEDGING_ADMISSION_PIPE = pipe(
    deny_quarantined,
    deny_without_upstream,
    deny_over_budget,
    deny_hedge,
    deny_late,
    join_queue,
)


def deny(group, attempt, reason, retry_after_ms=0):
    """End an attempt without a grant."""
    key = attempt.request.key
    if key in group.attempts:
        group = replace(dequeue(group, attempt), attempts=group.attempts.delete(key))
    group = replace(group, denied_total=group.denied_total + 1)
    return end_pipe(group, attempt, to_entry_node(Denial(key, reason, retry_after_ms)))


# Grants -----------------------------------------------------------------------


def grant_queued(group, now):
    """Grant free slots to queued attempts, in queue order.

    If an attempt has to wait, those behind it may still get another upstream, so
    the scan goes on for a bounded number of positions. It skips attempts with the
    same requirements as one that has to wait, unless their target is earlier.
    """
    if group.plan.fair_sharing:
        return _grant_fairly(group, now)
    messages = ()
    candidate_set = find_candidates(group, now)
    refusing = group.refusals_until_s > now
    waiting_target_s = {}
    for position in group.queue[:MAX_SCANNED_POSITIONS]:
        if not candidate_set.has_free_slot():
            break
        attempt = group.attempts[position.key]
        if position.deadline_s <= now:
            continue
        requirements = requirements_of(group, attempt, refusing)
        if attempt.target_s >= waiting_target_s.get(requirements, math.inf):
            continue
        choice = choose_upstream(group, attempt, candidate_set, now)
        if choice is None:
            waiting_target_s[requirements] = attempt.target_s
            continue
        step = grant(group, attempt, choice, now)
        group = step.state
        candidate_set = refresh_candidate(
            candidate_set, group, choice.upstream.name, now
        )
        messages += step.messages
    return end_pipe(group, None, *messages)


def _grant_fairly(group, now):
    """Grant free slots to the flows in turn.

    Each grant changes the order of the flows, so the search for the next attempt
    begins anew. Attempts found to wait are not looked at again.
    """
    messages = ()
    candidate_set = find_candidates(group, now)
    refusing = group.refusals_until_s > now
    waiting = Waiting({}, set())
    while candidate_set.has_free_slot():
        found = find_next(group, candidate_set, waiting, refusing, now)
        if found is None:
            break
        attempt, choice = found
        late = find_certain_delay(group, attempt, now)
        if late is not None:
            step = deny_too_late(group, attempt, late, now)
        else:
            step = grant(group, attempt, choice, now)
        group = step.state
        candidate_set = refresh_candidate(
            candidate_set, group, choice.upstream.name, now
        )
        messages += step.messages
    return end_pipe(group, None, *messages)


def grant(group, attempt, choice, now):
    """Return the group after a grant or a denial of the chosen upstream."""
    spread = choice.purpose is Purpose.SPREAD
    if choice.risk > attempt.request.max_risk and not spread:
        return deny(group, attempt, DenialReason.TOO_RISKY)
    if is_over_budget(group, attempt.request, now):
        return deny(group, attempt, DenialReason.OVER_BUDGET, BUDGET_RETRY_AFTER_MS)
    if attempt.request.prior_sends:
        retry_budget = count_event(group.retry_budget, marked=True, now=now)
        group = replace(group, retry_budget=retry_budget)
    if group.plan.fair_sharing:
        serials = serials_of(group.queue, attempt.request)
        attempt = replace(attempt, charged_serials=serials)
    group = spend_hedge(dequeue_granted(group, attempt), attempt.request)
    upstream = choice.upstream
    attempt = replace(
        attempt,
        upstream=upstream.name,
        granted_s=now,
        risk=choice.risk,
        spread=spread,
    )
    upstream = replace(
        upstream,
        in_flight=upstream.in_flight + 1,
        long_in_flight=upstream.long_in_flight + group.is_long(attempt),
        last_grant_s=now,
    )
    upstream = take_token(upstream, attempt.request.owner_rank, now)
    group = replace_upstream(group, upstream)
    group = replace(group, attempts=group.attempts.set(attempt.request.key, attempt))
    return end_pipe(group, attempt, to_entry_node(_grant_of(group, attempt)))


def _grant_of(group, attempt):
    upstream = group.upstreams[attempt.upstream]
    typical_s = group.typical_s.get(attempt.request.route_key, 0.0)
    return Grant(
        attempt.request.key,
        upstream.name,
        upstream.host,
        upstream.port,
        round(attempt.risk, 3),
        int((attempt.granted_s - attempt.queued_s) * 1000),
        int(typical_s * 1000),
        upstream.started_ms,
        limit_to_tell(upstream),
        find_hedge_delay_ms(group, attempt.request),
    )
