"""Periodic decisions: stalls, ejections, returns, deadlines, dispatch."""

import statistics

from comfreyusher.flow import Address, change, passed, pipe, stopped
from comfreyusher.health import (
    Standing,
    allows_ejection,
    begin_probation,
    eject,
    floor_slots,
    is_return_due,
    return_to_service,
    stall_limit,
    warm,
)
from comfreyusher.messages import OpinionWanted, Outcome, SendCancel, WorkClass
from comfreyusher.owner._choose import choose_upstream
from comfreyusher.owner._messages import Ejected, to_upstream
from comfreyusher.owner._offers import cancel_running, requeue
from comfreyusher.owner._poison import expire_suspicions
from comfreyusher.owner._queue import dequeue, queue_of
from comfreyusher.owner._replies import may_repeat_run, spend_retry
from comfreyusher.owner._settle import (
    dispatch,
    judge_bad,
    refuse,
    release,
    replace_upstream,
)
from comfreyusher.owner._state import Attempt, apply_plan

MAX_STALL_COUNTS = 3
SHED_RECOVERY_PER_TICK = 0.1
PEAK_KEPT_PER_TICK = 0.995
COMMON_CAUSE_SHARE = 0.5
OPINION_WAIT_S = 1.0
NODE = "node"


def watch(group, message, now):
    """Run the periodic pipe."""
    return WATCH(group, now)


def change_plan(group, message, now):
    """Take a new profile or list."""
    return stopped(apply_plan(group, message.plan, now), None)


# Filters of the periodic pipe ------------------------------------------------


def refresh_limits(group, now):
    """Derive stall limits and means from recent durations."""
    detection = group.plan.profile.detection
    group = change(
        group,
        short_limit_s=stall_limit(group.recent_short_s, detection),
        short_mean_s=_mean(group.recent_short_s),
        long_limit_s=10 * stall_limit(group.recent_long_s, detection),
        long_mean_s=_mean(group.recent_long_s),
        short_peak=group.short_peak * PEAK_KEPT_PER_TICK,
    )
    return passed(expire_suspicions(group, now), now)


def expire_queued(group, now):
    """Refuse queued work whose deadline has passed."""
    messages = ()
    for work_class in WorkClass:
        for place in queue_of(group, work_class):
            if place.deadline_s > now:
                break
            work = group.works[place.key]
            reason = "the deadline passed in the queue"
            group = dequeue(group, work)
            step = refuse(group, work, Outcome.NOT_RUN, 503, reason, 1000)
            group = step.state
            messages += step.messages
    return passed(group, now, *messages)


def expire_running(group, now):
    """Cancel running work whose deadline has passed before its answer."""
    messages = ()
    for work in list(group.works.values()):
        if work.upstream and not work.started and work.deadline_s <= now:
            group = judge_late(group, work, now)
            step = cancel_running(group, work, 504, "the deadline passed")
            group = step.state
            messages += step.messages
    return passed(group, now, *messages)


def judge_late(group, work, now):
    """Count a missed deadline against an upstream unless counted already."""
    if work.stalls or not work.ready_s:
        return group
    return judge_bad(group, work.upstream)


def count_stalls(group, now):
    """Add evidence for running work that is older than the stall limit."""
    for work in group.works.values():
        if not work.upstream or work.started or not work.ready_s:
            continue
        if _is_stalled_again(group, work, now):
            counted = change(work, stalls=work.stalls + 1)
            works = group.works.set(work.offer.key, counted)
            group = change(group, works=works)
            group = judge_bad(group, work.upstream)
    return passed(group, now)


def _is_stalled_again(group, work, now):
    """Tell whether the work reached the next multiple of the stall limit.

    After the first one, only silence of the whole upstream counts.
    """
    if work.stalls >= MAX_STALL_COUNTS:
        return False
    limit_s = group.long_limit_s if group.is_long(work) else group.short_limit_s
    if now - work.ready_s < limit_s * (work.stalls + 1):
        return False
    if work.stalls == 0:
        return True
    upstream = group.upstreams.get(work.upstream)
    return upstream is not None and upstream.health.last_answer_s <= work.ready_s


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
        return passed(group, now)
    for upstream in accused:
        step = _try_ejection(group, upstream, now)
        group = step.state
        messages += step.messages
    return passed(group, now, *messages)


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
        return stopped(group, None)
    if upstream.health.unreachable and not upstream.opinion_asked_s:
        return _ask_opinion(group, upstream, now)
    if upstream.health.unreachable:
        if now - upstream.opinion_asked_s < OPINION_WAIT_S:
            return stopped(group, None)
    return eject_now(group, upstream, now, "evidence from work")


def _ask_opinion(group, upstream, now):
    asked = change(upstream, opinion_asked_s=now)
    wanted = OpinionWanted(upstream.name, upstream.host, upstream.port)
    group = replace_upstream(group, asked)
    return stopped(group, None, Address("peers", wanted))


def eject_now(group, upstream, now, reason):
    """Eject an upstream and rescue the idempotent work that waits on it."""
    health = eject(upstream.health, group.plan.profile.detection, now)
    ejected = change(upstream, health=health, opinion_asked_s=0.0)
    group = replace_upstream(group, ejected)
    group = change(group, ejected_total=group.ejected_total + 1)
    notice = Address(NODE, Ejected(group.plan.group, upstream.name, reason))
    messages = (notice,)
    for work in list(group.works.values()):
        if work.upstream == upstream.name and may_repeat_run(group, work):
            step = _rescue(group, work, now)
            group = step.state
            messages += step.messages
    return stopped(group, None, *messages)


def _rescue(group, work, now):
    cancel = to_upstream(SendCancel(Attempt(work.offer.key, work.attempts)))
    group = spend_retry(release(group, work))
    step = requeue(group, work, may_have_run=True)
    return stopped(step.state, None, cancel)


def take_opinion(group, opinion, now):
    """Eject what others cannot reach either; spare what only we cannot."""
    upstream = group.upstreams.get(opinion.upstream)
    if upstream is None or not upstream.opinion_asked_s:
        return stopped(group, None)
    if opinion.reachable:
        health = change(upstream.health, evidence=0.0)
        spared = change(upstream, health=health, opinion_asked_s=0.0)
        return stopped(replace_upstream(group, spared), None)
    floor = floor_slots(group.plan.profile, group.plan.configured_slots)
    counted = upstream.health.standing is Standing.HEALTHY
    if counted and not allows_ejection(group.upstreams.values(), upstream, floor):
        return stopped(group, None)
    return eject_now(group, upstream, now, "unreachable from here and elsewhere")


def move_standings(group, now):
    """Warm cold upstreams, start probation, end it, let shed limits recover."""
    profile = group.plan.profile
    for upstream in group.upstreams.values():
        health = upstream.health
        if is_return_due(health, now):
            health = begin_probation(health, now)
        elif health.standing is Standing.PROBATION:
            if health.successes >= profile.detection.successes_to_return:
                health = return_to_service(health, now)
        elif now - health.since_s >= profile.slow_start_ms / 1000:
            health = warm(health, now)
        limit = upstream.shed_limit + SHED_RECOVERY_PER_TICK
        limit = float("inf") if limit >= upstream.slots else limit
        if health is not upstream.health or limit != upstream.shed_limit:
            moved = change(upstream, health=health, shed_limit=limit)
            group = replace_upstream(group, moved)
    return passed(group, now)


WATCH = pipe(
    refresh_limits,
    expire_queued,
    expire_running,
    count_stalls,
    eject_failing,
    move_standings,
)


# Dispatch --------------------------------------------------------------------


def dispatch_ready(group, now):
    """Dispatch queued work while upstreams have free slots.

    Short work goes first; long work is held to its share by the choice of the
    upstream, so that neither class can starve the other.
    """
    messages = ()
    for work_class in WorkClass:
        for place in queue_of(group, work_class):
            work = group.works[place.key]
            if place.deadline_s <= now:
                continue
            upstream = choose_upstream(group, work, now)
            if upstream is None:
                if not work.tried and work.offer.fingerprint not in group.suspicions:
                    break
                continue
            step = dispatch(dequeue(group, work), work, upstream, now)
            group = step.state
            messages += step.messages
    return stopped(group, None, *messages)


def _mean(durations):
    return statistics.fmean(durations) if durations else 0.0
