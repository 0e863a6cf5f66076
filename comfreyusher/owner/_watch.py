"""Periodic decisions: stalls, ejections, returns, deadlines, grants."""

import statistics

from comfreyusher.flow import Envelope, continue_pipe, end_pipe, pipe, replace
from comfreyusher.health import (
    Standing,
    allows_ejection,
    begin_probation,
    eject,
    end_slow_start,
    estimate_after_stall,
    floor_slots,
    is_ejection_over,
    record_failure,
    return_to_service,
    stall_threshold_s,
)
from comfreyusher.messages import DenialReason, WorkClass
from comfreyusher.owner._admit import (
    estimate_behind,
    is_hopeless,
    retry_after_ms,
    room_of,
)
from comfreyusher.owner._arrivals import urgent_rate
from comfreyusher.owner._asks import deny, grant_ready
from comfreyusher.owner._messages import Ejected
from comfreyusher.owner._poison import expire_suspicions
from comfreyusher.owner._reports import end_work
from comfreyusher.owner._spread import needs_spread, seems_sound
from comfreyusher.owner._state import apply_plan, replace_upstream

WATCH_PERIOD_S = 0.1
MAX_STALL_COUNTS = 3
SHED_RECOVERY_PER_TICK = 0.1
PEAK_HALF_LIFE_S = 14.0
PEAK_HALF_LIFE_IN_LONG_WORK = 3.5
PACE_KEPT_PER_TICK = 0.98
COMMON_CAUSE_SHARE = 0.5
STALL_USUAL_FACTOR = 3.0
REPORT_GRACE_S = 0.7
NODE = "node"


def watch(group, message, now):
    """Run the periodic pipe."""
    return WATCH(group, now)


def change_plan(group, message, now):
    """Take a new profile or list."""
    return end_pipe(apply_plan(group, message.plan, now), None)


# Filters of the periodic pipe ------------------------------------------------


def refresh_limits(group, now):
    """Derive stall limits and means from recent durations."""
    detection = group.plan.profile.detection
    group = replace(group, long_mean_s=_mean(group.recent_long_s))
    group = replace(
        group,
        short_limit_s=stall_threshold_s(group.recent_short_s, detection),
        short_mean_s=_mean(group.recent_short_s),
        long_limit_s=10 * stall_threshold_s(group.recent_long_s, detection),
        short_peak=group.short_peak * _peak_kept(group),
    )
    return continue_pipe(expire_suspicions(group, now), now)


def _peak_kept(group):
    """Return the part of the short peak that is kept for one more period.

    The reserve for short work is remembered in proportion to how long a slot
    is gone when long work has taken it.
    """
    half_life_s = PEAK_HALF_LIFE_S
    if group.long_mean_s:
        long_s = group.long_mean_s * PEAK_HALF_LIFE_IN_LONG_WORK
        half_life_s = min(half_life_s, long_s)
    return 0.5 ** (WATCH_PERIOD_S / half_life_s)


def refuse_hopeless(group, now):
    """Refuse queued work as soon as it cannot be answered in time."""
    messages = ()
    for work, estimate in _find_hopeless(group, now):
        wait_ms = retry_after_ms(estimate)
        step = deny(group, work, DenialReason.TOO_LATE, wait_ms)
        group = step.state
        messages += step.messages
    return continue_pipe(group, now, *messages)


def _find_hopeless(group, now):
    """Return hopeless work with its estimate, in one walk along the queue."""
    rooms = {kind: room_of(group, kind, now) for kind in WorkClass}
    arrivals = group.arrivals
    urgent = {rank: urgent_rate(arrivals, rank, now) for rank in arrivals.by_priority}
    ahead = dict.fromkeys(WorkClass, 0)
    found = []
    for place in group.queue:
        work = group.works[place.key]
        kind = work.ask.work_class
        urgent_per_s = urgent[work.ask.priority]
        estimate = estimate_behind(group, work, ahead[kind], rooms[kind], urgent_per_s)
        if is_hopeless(work, estimate, now):
            found.append((work, estimate))
        else:
            ahead[kind] += 1
    return found


def expire_granted(group, now):
    """Forget grants whose entry node did not report in time."""
    for work in group.works.values():
        if work.upstream and now > work.deadline_s + REPORT_GRACE_S:
            group = end_work(group, work)
    return continue_pipe(group, now)


def count_stalls(group, now):
    """Add evidence for running work that is older than the stall limit."""
    for work in group.works.values():
        if work.upstream and _is_stalled_again(group, work, now):
            counted = replace(work, stalls=work.stalls + 1)
            group = replace(group, works=group.works.set(work.ask.key, counted))
            group = _judge_stall(group, work, now)
    return continue_pipe(group, now)


def _judge_stall(group, work, now):
    upstream = group.upstreams.get(work.upstream)
    if upstream is None:
        return group
    odds = estimate_after_stall(upstream.odds, group.plan.profile.detection, now)
    health = record_failure(upstream.health)
    upstream = replace(upstream, odds=odds, health=health, last_stall_s=now)
    return replace_upstream(group, upstream)


def _is_stalled_again(group, work, now):
    """Tell whether the work reached the next multiple of its usual time.

    After the first one, only silence of the whole upstream counts.
    """
    if work.stalls >= MAX_STALL_COUNTS:
        return False
    detection = group.plan.profile.detection
    usual_s = group.usual_s.get(work.ask.route_key)
    if usual_s is None or group.is_long(work):
        limit_s = _class_limit(group, work)
    else:
        limit_s = max(detection.min_stall_ms / 1000, STALL_USUAL_FACTOR * usual_s)
    if now - work.granted_s < limit_s * (work.stalls + 1):
        return False
    if work.stalls == 0:
        return True
    upstream = group.upstreams.get(work.upstream)
    return upstream is not None and upstream.health.last_success_s <= work.granted_s


def _class_limit(group, work):
    return group.long_limit_s if group.is_long(work) else group.short_limit_s


def eject_failing(group, now):
    """Eject upstreams with enough evidence, within the floor."""
    messages = ()
    detection = group.plan.profile.detection
    accused = [
        upstream
        for upstream in group.upstreams.values()
        if upstream.health.evidence >= detection.evidence_to_eject
        and upstream.health.standing not in (Standing.EJECTED, Standing.LEAVING)
    ]
    accused.sort(key=lambda upstream: (-upstream.health.evidence, upstream.name))
    if has_common_cause(group, accused):
        return continue_pipe(group, now)
    for upstream in accused:
        step = _try_ejection(group, upstream, now)
        group = step.state
        messages += step.messages
    return continue_pipe(group, now, *messages)


def has_common_cause(group, accused):
    """Tell whether so many upstreams fail that ejection would not help."""
    present = sum(
        1
        for upstream in group.upstreams.values()
        if upstream.health.standing is not Standing.LEAVING
    )
    return present > 2 and len(accused) > present * COMMON_CAUSE_SHARE


def _try_ejection(group, upstream, now):
    profile = group.plan.profile
    floor = floor_slots(profile, group.plan.configured_slots)
    counted = upstream.health.standing is Standing.HEALTHY
    if counted and not allows_ejection(group.upstreams.values(), upstream, floor):
        return end_pipe(group, None)
    reason = "evidence from work"
    if upstream.health.unreachable:
        reason = "unreachable from several nodes"
    return eject_now(group, upstream, now, reason)


def eject_now(group, upstream, now, reason):
    """Eject an upstream."""
    health = eject(upstream.health, group.plan.profile.detection, now)
    group = replace_upstream(group, replace(upstream, health=health))
    group = replace(group, ejected_total=group.ejected_total + 1)
    ejected = Ejected(group.plan.group, upstream.name, reason)
    return end_pipe(group, None, Envelope(NODE, ejected))


def move_standings(group, now):
    """Warm cold upstreams, start probation, end it, let limits recover.

    While requests fail, an ejected upstream returns as soon as it seems sound.
    """
    profile = group.plan.profile
    spreading = needs_spread(group, now)
    for upstream in group.upstreams.values():
        health = upstream.health
        out = health.standing in (Standing.EJECTED, Standing.PROBATION)
        if out and spreading and seems_sound(upstream, now):
            health = return_to_service(health, now)
        elif is_ejection_over(health, now):
            health = begin_probation(health, now)
        elif health.standing is Standing.PROBATION:
            if health.successes >= profile.detection.successes_to_return:
                health = return_to_service(health, now)
        elif now - health.since_s >= profile.slow_start_ms / 1000:
            health = end_slow_start(health, now)
        limit = upstream.shed_limit + SHED_RECOVERY_PER_TICK
        limit = float("inf") if limit >= upstream.slots else limit
        pace = 1.0 + (upstream.pace - 1.0) * PACE_KEPT_PER_TICK
        moved = replace(upstream, health=health, shed_limit=limit, pace=pace)
        group = replace_upstream(group, moved)
    return continue_pipe(group, now)


def grant_waiting(group, now):
    """Grant what may run now."""
    step = grant_ready(group, now)
    return continue_pipe(step.state, now, *step.messages)


WATCH = pipe(
    refresh_limits,
    refuse_hopeless,
    expire_granted,
    count_stalls,
    eject_failing,
    move_standings,
    grant_waiting,
)


def leave(group, message, now):
    """Send everything that is queued to the next owner."""
    messages = ()
    for place in group.queue:
        work = group.works.get(place.key)
        step = deny(group, work, DenialReason.LEAVING)
        group = step.state
        messages += step.messages
    return end_pipe(group, None, *messages)


def _mean(durations):
    return statistics.fmean(durations) if durations else 0.0
