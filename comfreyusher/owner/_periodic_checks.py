"""Periodic checks: stalls, ejections, returns to service, deadlines, grants."""

import statistics

from comfreyusher.flow import Envelope, continue_pipe, end_pipe, pipe, replace
from comfreyusher.health import (
    Standing,
    allows_ejection,
    begin_probation,
    eject,
    end_slow_start,
    floor_slots,
    is_ejection_over,
    return_to_service,
    stall_threshold_s,
)
from comfreyusher.messages import DenialReason
from comfreyusher.owner._grants import deny, deny_too_late, grant_queued
from comfreyusher.owner._late_queued import find_late_queued
from comfreyusher.owner._load_spreading import (
    do_many_requests_fail,
    has_no_recent_trouble,
)
from comfreyusher.owner._messages import Ejected
from comfreyusher.owner._poison_requests import expire_suspects
from comfreyusher.owner._queue import rebuild_queue
from comfreyusher.owner._reports import end_attempt
from comfreyusher.owner._return_times import drop_past_returns
from comfreyusher.owner._stalls import is_stall_due, record_stall
from comfreyusher.owner._state import apply_plan, replace_upstream

CHECK_PERIOD_S = 0.1
SHED_RECOVERY_PER_CHECK = 0.1
PEAK_HALF_LIFE_S = 14.0
PEAK_HALF_LIFE_LONG_DURATIONS = 3.5
SLOWNESS_KEPT_PER_CHECK = 0.98
COMMON_CAUSE_SHARE = 0.5
REPORT_GRACE_S = 0.7
NODE_CHANNEL = "node"


def handle_check_due(group, message, now):
    """Run the pipe of periodic checks."""
    return LATE_CHECKS(group, now) if message.late else PERIODIC_CHECKS(group, now)


def handle_plan_changed(group, message, now):
    """Apply a new profile or new registered upstreams."""
    return end_pipe(rebuild_queue(apply_plan(group, message.plan, now)), None)


# Filters of the pipe of periodic checks ---------------------------------------


def refresh_statistics(group, now):
    """Derive stall thresholds and means from recent durations."""
    detection = group.plan.profile.detection
    group = replace(group, long_mean_s=_mean(group.long_durations_s))
    group = replace(
        group,
        short_stall_threshold_s=stall_threshold_s(group.short_durations_s, detection),
        short_mean_s=_mean(group.short_durations_s),
        long_stall_threshold_s=10
        * stall_threshold_s(group.long_durations_s, detection),
        short_demand_peak=group.short_demand_peak * _peak_decay_factor(group),
    )
    return continue_pipe(expire_suspects(group, now), now)


def _peak_decay_factor(group):
    """Return the factor by which the peak of short demand decays in one period.

    The half-life is proportional to the mean duration of long requests, since a
    slot is occupied for that time once a long request has got it. It is at most
    ``PEAK_HALF_LIFE_S``.
    """
    half_life_s = PEAK_HALF_LIFE_S
    if group.long_mean_s:
        long_s = group.long_mean_s * PEAK_HALF_LIFE_LONG_DURATIONS
        half_life_s = min(half_life_s, long_s)
    return 0.5 ** (CHECK_PERIOD_S / half_life_s)


def deny_late_queued(group, now):
    """Deny queued attempts as soon as they cannot be answered in time."""
    messages = ()
    for attempt, estimate in find_late_queued(group, now):
        step = deny_too_late(group, attempt, estimate, now)
        group = step.state
        messages += step.messages
    group = drop_past_returns(group, now) if group.returns else group
    return continue_pipe(group, now, *messages)


def expire_grants(group, now):
    """End granted attempts whose entry node did not report in time."""
    for attempt in group.attempts.values():
        if attempt.upstream and now > attempt.deadline_s + REPORT_GRACE_S:
            group = end_attempt(group, attempt)
    return continue_pipe(group, now)


def count_stalls(group, now):
    """Add evidence for running attempts that exceed the stall threshold."""
    for attempt in group.attempts.values():
        if attempt.upstream and is_stall_due(group, attempt, now - attempt.granted_s):
            updated = replace(attempt, stalls=attempt.stalls + 1)
            group = replace(
                group, attempts=group.attempts.set(attempt.request.key, updated)
            )
            group = record_stall(group, attempt, now)
    return continue_pipe(group, now)


def eject_failing(group, now):
    """Eject upstreams with enough evidence, down to the floor."""
    messages = ()
    detection = group.plan.profile.detection
    failing = [
        upstream
        for upstream in group.upstreams.values()
        if upstream.health.evidence >= detection.evidence_to_eject
        and upstream.health.standing not in (Standing.EJECTED, Standing.LEAVING)
    ]
    failing.sort(key=lambda upstream: (-upstream.health.evidence, upstream.name))
    if has_common_cause(group, failing):
        return continue_pipe(group, now)
    for upstream in failing:
        step = _try_ejection(group, upstream, now)
        group = step.state
        messages += step.messages
    return continue_pipe(group, now, *messages)


def has_common_cause(group, failing):
    """Tell whether so many upstreams fail at once that ejection would not help."""
    active = sum(
        1
        for upstream in group.upstreams.values()
        if upstream.health.standing is not Standing.LEAVING
    )
    return active > 2 and len(failing) > active * COMMON_CAUSE_SHARE


def _try_ejection(group, upstream, now):
    profile = group.plan.profile
    floor = floor_slots(profile, group.plan.configured_slots)
    healthy = upstream.health.standing is Standing.HEALTHY
    if healthy and not allows_ejection(group.upstreams.values(), upstream, floor):
        return end_pipe(group, None)
    reason = "evidence from work"
    if upstream.health.unreachable:
        reason = "unreachable from several nodes"
    return eject_upstream(group, upstream, now, reason)


def eject_upstream(group, upstream, now, reason):
    """Eject an upstream, and tell the node's task why."""
    health = eject(upstream.health, group.plan.profile.detection, now)
    group = replace_upstream(group, replace(upstream, health=health))
    group = replace(group, ejected_total=group.ejected_total + 1)
    ejected = Ejected(group.plan.group, upstream.name, reason)
    return end_pipe(group, None, Envelope(NODE_CHANNEL, ejected))


def update_standings(group, now):
    """End slow starts, begin and end probations, and let limits recover.

    While many requests fail, an upstream that is ejected or on probation
    returns to service as soon as it has no recent failure.
    """
    profile = group.plan.profile
    failing = do_many_requests_fail(group, now)
    for upstream in group.upstreams.values():
        health = upstream.health
        out_of_service = health.standing in (Standing.EJECTED, Standing.PROBATION)
        if out_of_service and failing and has_no_recent_trouble(upstream, now):
            health = return_to_service(health, now)
        elif is_ejection_over(health, now):
            health = begin_probation(health, now)
        elif health.standing is Standing.PROBATION:
            if health.successes >= profile.detection.successes_to_return:
                health = return_to_service(health, now)
        elif now - health.since_s >= profile.slow_start_ms / 1000:
            health = end_slow_start(health, now)
        shed_limit = upstream.shed_limit + SHED_RECOVERY_PER_CHECK
        shed_limit = float("inf") if shed_limit >= upstream.slots else shed_limit
        duration_ratio = 1.0 + (upstream.duration_ratio - 1.0) * SLOWNESS_KEPT_PER_CHECK
        updated = replace(
            upstream,
            health=health,
            shed_limit=shed_limit,
            duration_ratio=duration_ratio,
        )
        group = replace_upstream(group, updated)
    return continue_pipe(group, now)


def grant_after_checks(group, now):
    """Grant free slots after the other checks."""
    step = grant_queued(group, now)
    return continue_pipe(step.state, now, *step.messages)


PERIODIC_CHECKS = pipe(
    refresh_statistics,
    deny_late_queued,
    expire_grants,
    count_stalls,
    eject_failing,
    update_standings,
    grant_after_checks,
)


# An attempt is not taken for stalled while its report may wait to be handled.
LATE_CHECKS = pipe(
    refresh_statistics,
    deny_late_queued,
    update_standings,
    grant_after_checks,
)


def handle_leave(group, message, now):
    """Deny all queued attempts, so that entry nodes ask the next owner."""
    messages = ()
    for position in group.queue:
        attempt = group.attempts.get(position.key)
        step = deny(group, attempt, DenialReason.LEAVING)
        group = step.state
        messages += step.messages
    return end_pipe(group, None, *messages)


def _mean(durations):
    return statistics.fmean(durations) if durations else 0.0
