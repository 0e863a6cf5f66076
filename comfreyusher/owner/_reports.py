"""Decisions on reports of entry nodes: what an attempt says of its upstream."""

from comfreyusher.flow import drop_before, end_pipe, replace
from comfreyusher.health import (
    Standing,
    estimate_after_failure,
    estimate_after_shed,
    estimate_after_success,
    record_failure,
    record_success,
)
from comfreyusher.messages import NOT_RUN_VERDICTS, ReportAck, Verdict
from comfreyusher.owner._messages import to_asker
from comfreyusher.owner._poison import clear_suspicion, note_crash
from comfreyusher.owner._queue import dequeue
from comfreyusher.owner._state import (
    RECENT_DURATIONS,
    replace_upstream,
    set_standing,
)
from comfreyusher.owner._window import count

USUAL_WEIGHT = 0.05
PACE_WEIGHT = 0.2
MIN_PACE, MAX_PACE = 0.5, 12.0
LATE_FACTOR = 3.0
UNREACHED_S = 3.0
NODES_THAT_PROVE = 2
UNSERVED = frozenset((Verdict.FAULT, Verdict.BROKEN, Verdict.CRASHED, Verdict.LATE))


def take_report(group, report, now):
    """Free the slot, and learn from how the attempt ended.

    A report about a grant of an earlier owner still tells of the upstream.
    """
    heard = to_asker(ReportAck(report.key))
    work = group.works.get(report.key)
    if work is not None:
        group = end_work(group, work)
    elif not report.upstream:
        return end_pipe(group, None, heard)
    if report.upstream in group.upstreams:
        step = JUDGES[report.verdict](group, report, work, now)
        group = note_served(step.state, report, work, now)
        return end_pipe(group, None, heard, *step.messages)
    return end_pipe(group, None, heard)


def end_work(group, work):
    """Return the group without an attempt, and with its slot free."""
    group = replace(group, works=group.works.delete(work.ask.key))
    if not work.upstream:
        return dequeue(group, work)
    upstream = group.upstreams.get(work.upstream)
    if upstream is None:
        return group
    upstream = replace(
        upstream,
        in_flight=upstream.in_flight - 1,
        long_in_flight=upstream.long_in_flight - group.is_long(work),
    )
    return replace_upstream(group, upstream)


def note_served(group, report, work, now):
    """Return the group with one more request that was served, or was not.

    A failure that the entry node answers by another attempt does not count, nor
    one that the spread of work brought, which would keep the spread going.
    """
    if report.verdict is Verdict.CANCELLED or report.verdict in NOT_RUN_VERDICTS:
        return group
    missed = report.verdict in UNSERVED
    if missed and work is not None:
        mended = work.ask.idempotent and not work.ask.last_attempt
        if mended or work.spread:
            return group
    return replace(group, served=count(group.served, missed, now))


# One judge a verdict -----------------------------------------------------------


def _judge_good(group, report, work, now):
    """Count a good answer, unless the upstream failed after its dispatch."""
    group = clear_suspicion(group, report.fingerprint)
    upstream = group.upstreams[report.upstream]
    took_s = report.took_ms / 1000
    if now - took_s >= upstream.last_bad_s:
        odds = estimate_after_success(upstream.odds, group.plan.profile.detection, now)
        health = record_success(upstream.health, now)
        upstream = replace(upstream, odds=odds, health=health)
    group = replace_upstream(group, upstream)
    if work is not None:
        group = note_duration(group, work, took_s)
    return end_pipe(group, None)


def judge_bad(group, name, now, unreachable=False):
    """Return the group after an upstream failed an attempt."""
    upstream = group.upstreams[name]
    odds = estimate_after_failure(upstream.odds, group.plan.profile.detection, now)
    health = record_failure(upstream.health, unreachable)
    upstream = replace(upstream, odds=odds, health=health, last_bad_s=now)
    return replace_upstream(group, upstream)


def _judge_fault(group, report, work, now):
    return end_pipe(judge_bad(group, report.upstream, now), None)


def _judge_crash(group, report, work, now):
    """Count a connection that broke while the upstream had the request."""
    group = judge_bad(group, report.upstream, now)
    crash = note_crash(group, report, now)
    return end_pipe(crash.state, None, *crash.messages)


def _judge_late(group, report, work, now):
    """Count a missed deadline if the upstream had had ample time."""
    if work is None or work.stalls:
        return end_pipe(group, None)
    usual_s = group.usual_s.get(work.ask.route_key, 0.0)
    if report.took_ms / 1000 < LATE_FACTOR * usual_s:
        return end_pipe(group, None)
    return end_pipe(judge_bad(group, report.upstream, now), None)


def _judge_shed(group, report, work, now):
    """Lower the load of a full upstream; doubt one that had room."""
    upstream = group.upstreams[report.upstream]
    if upstream.in_flight + 1 >= upstream.slots:
        upstream = replace(upstream, shed_limit=max(1, upstream.in_flight))
        return end_pipe(replace_upstream(group, upstream), None)
    odds = estimate_after_shed(upstream.odds, group.plan.profile.detection, now)
    upstream = replace(upstream, odds=odds)
    return end_pipe(replace_upstream(group, upstream), None)


def _judge_leaving(group, report, work, now):
    """Stop giving work to an upstream that is leaving or has been replaced."""
    upstream = set_standing(group.upstreams[report.upstream], Standing.LEAVING)
    return end_pipe(replace_upstream(group, upstream), None)


def _judge_unreached(group, report, work, now):
    """Count an upstream that several VMs cannot reach.

    One VM alone may be cut off from it, and asks for another upstream itself.
    """
    upstream = group.upstreams[report.upstream]
    unreached = upstream.unreached.set(report.key.node, now)
    unreached = drop_before(unreached, now - UNREACHED_S)
    group = replace_upstream(group, replace(upstream, unreached=unreached))
    if len(unreached) < NODES_THAT_PROVE:
        return end_pipe(group, None)
    return end_pipe(judge_bad(group, report.upstream, now, unreachable=True), None)


def _judge_nothing(group, report, work, now):
    return end_pipe(group, None)


JUDGES = {
    Verdict.GOOD: _judge_good,
    Verdict.FAULT: _judge_fault,
    Verdict.BROKEN: _judge_fault,
    Verdict.CRASHED: _judge_crash,
    Verdict.LATE: _judge_late,
    Verdict.SHED: _judge_shed,
    Verdict.DRAINING: _judge_leaving,
    Verdict.MISDIRECTED: _judge_leaving,
    Verdict.UNREACHED: _judge_unreached,
    Verdict.CANCELLED: _judge_nothing,
}


def note_duration(group, work, took_s):
    """Return the group after a completed duration."""
    flow = work.ask.route_key
    usual_s = group.usual_s.get(flow)
    upstream = group.upstreams[work.upstream]
    if usual_s is None:
        usual_s = took_s
    pace = min(MAX_PACE, max(MIN_PACE, took_s / max(usual_s, 0.001)))
    pace = upstream.pace + PACE_WEIGHT * (pace - upstream.pace)
    group = replace_upstream(group, replace(upstream, pace=pace))
    usual_s += USUAL_WEIGHT * (took_s - usual_s)
    group = replace(group, usual_s=group.usual_s.set(flow, usual_s))
    if group.is_long(work):
        recent = (group.recent_long_s + (took_s,))[-RECENT_DURATIONS:]
        return replace(group, recent_long_s=recent)
    recent = (group.recent_short_s + (took_s,))[-RECENT_DURATIONS:]
    return replace(group, recent_short_s=recent)
