"""Decisions on reports of entry nodes: what attempts say about upstreams."""

import math

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
from comfreyusher.owner._fair_queue import correct_cost
from comfreyusher.owner._hedges import record_route_time
from comfreyusher.owner._messages import to_entry_node
from comfreyusher.owner._poison_requests import clear_suspect, record_crash
from comfreyusher.owner._queue import dequeue
from comfreyusher.owner._rate_limit import record_limit
from comfreyusher.owner._refusals import record_refusal
from comfreyusher.owner._stalls import is_stall_due, record_stall
from comfreyusher.owner._state import (
    MAX_DURATIONS,
    replace_upstream,
    set_standing,
)
from comfreyusher.owner._window import count_event

TYPICAL_SMOOTHING = 0.05
DURATION_RATIO_SMOOTHING = 0.2
MIN_DURATION_RATIO, MAX_DURATION_RATIO = 0.5, 12.0
LATE_TYPICAL_FACTOR = 3.0
UNREACHED_WINDOW_S = 3.0
MIN_UNREACHED_NODES = 2
FAILED_VERDICTS = frozenset(
    (Verdict.FAULT, Verdict.BROKEN, Verdict.CRASHED, Verdict.LATE)
)


def handle_attempt_report(group, report, now):
    """Free the slot, and update the upstream by how the attempt ended.

    A report on a grant of an earlier owner is still evidence about the upstream.
    """
    ack = to_entry_node(ReportAck(report.key))
    attempt = group.attempts.get(report.key)
    if attempt is not None:
        group = record_route_time(end_attempt(group, attempt), attempt, report, now)
        if group.plan.fair_sharing and attempt.upstream:
            queue = correct_cost(group.queue, attempt, report.took_ms)
            group = replace(group, queue=queue)
    elif not report.upstream:
        return end_pipe(group, None, ack)
    if report.upstream in group.upstreams:
        group = record_statement(group, report, now)
        step = VERDICT_HANDLERS[report.verdict](group, report, attempt, now)
        group = record_outcome(step.state, report, attempt, now)
        return end_pipe(group, None, ack, *step.messages)
    return end_pipe(group, None, ack)


def record_statement(group, report, now):
    """Return the group after what an upstream said of itself since its last start."""
    upstream = group.upstreams[report.upstream]
    if report.started_ms != upstream.started_ms:
        return group
    group = record_refusal(record_limit(group, report, now), report, now)
    if not report.leaving:
        return group
    leaving = set_standing(group.upstreams[report.upstream], Standing.LEAVING)
    return replace_upstream(group, leaving)


def end_attempt(group, attempt):
    """Return the group without the attempt, and with its slot free."""
    group = replace(group, attempts=group.attempts.delete(attempt.request.key))
    if not attempt.upstream:
        return dequeue(group, attempt)
    upstream = group.upstreams.get(attempt.upstream)
    if upstream is None:
        return group
    upstream = replace(
        upstream,
        in_flight=upstream.in_flight - 1,
        long_in_flight=upstream.long_in_flight - group.is_long(attempt),
    )
    return replace_upstream(group, upstream)


def record_outcome(group, report, attempt, now):
    """Return the group with one more request that was served or failed.

    A failure that the entry node can retry does not count. Neither does one on an
    upstream that was chosen by load spreading, since it would prolong the
    spreading.
    """
    if report.verdict is Verdict.CANCELLED or report.verdict in NOT_RUN_VERDICTS:
        return group
    failed = report.verdict in FAILED_VERDICTS
    if failed and attempt is not None:
        retried = attempt.request.idempotent and not attempt.request.last_attempt
        if retried or attempt.spread:
            return group
    return replace(group, outcomes=count_event(group.outcomes, failed, now))


# Handlers of verdicts ---------------------------------------------------------


def _handle_good(group, report, attempt, now):
    """Count a successful response, unless the upstream failed after the dispatch."""
    cleared = clear_suspect(group, report.fingerprint)
    group = cleared.state
    upstream = group.upstreams[report.upstream]
    took_s = report.took_ms / 1000
    if now - took_s >= upstream.last_failure_s:
        failure_estimate = estimate_after_success(
            upstream.failure_estimate, group.plan.profile.detection, now
        )
        health = record_success(upstream.health, now)
        upstream = replace(
            upstream,
            failure_estimate=failure_estimate,
            health=health,
            failures_in_row=0,
            failing_since_s=math.inf,
        )
    group = replace_upstream(group, upstream)
    if attempt is not None:
        group = record_duration(group, attempt, took_s)
    return end_pipe(group, None, *cleared.messages)


def record_upstream_failure(group, name, now, unreachable=False):
    """Return the group after an upstream failed an attempt."""
    upstream = group.upstreams[name]
    failure_estimate = estimate_after_failure(
        upstream.failure_estimate, group.plan.profile.detection, now
    )
    health = record_failure(upstream.health, unreachable)
    upstream = replace(
        upstream,
        failure_estimate=failure_estimate,
        health=health,
        failing_since_s=min(upstream.failing_since_s, now),
        last_failure_s=now,
    )
    return replace_upstream(group, upstream)


def _handle_fault(group, report, attempt, now):
    group = record_upstream_failure(group, report.upstream, now)
    return end_pipe(_count_failure(group, report.upstream), None)


def _count_failure(group, name):
    """Return the group after a failure that freed its slot at once.

    Stalls and unreachable upstreams do not count: an owner or a node that is slow
    itself sees them too.
    """
    upstream = group.upstreams[name]
    failures_in_row = upstream.failures_in_row + 1
    return replace_upstream(group, replace(upstream, failures_in_row=failures_in_row))


def _handle_crashed(group, report, attempt, now):
    """Count a connection that broke before the response started."""
    group = record_upstream_failure(group, report.upstream, now)
    group = _count_failure(group, report.upstream)
    crash = record_crash(group, report, now)
    return end_pipe(crash.state, None, *crash.messages)


def _handle_late(group, report, attempt, now):
    """Count a missed deadline if the upstream had ample time.

    An attempt with counted stalls is not counted again.
    """
    if attempt is None or attempt.stalls:
        return end_pipe(group, None)
    typical_s = group.typical_s.get(attempt.request.route_key, 0.0)
    if report.took_ms / 1000 < LATE_TYPICAL_FACTOR * typical_s:
        return end_pipe(group, None)
    return end_pipe(record_upstream_failure(group, report.upstream, now), None)


def _handle_shed(group, report, attempt, now):
    """Lower the limit of a full upstream; suspect one that had free slots."""
    if report.retry_after_ms:
        return end_pipe(group, None)  # it has named the time for which it is full
    upstream = group.upstreams[report.upstream]
    if upstream.in_flight + 1 >= upstream.slots:
        upstream = replace(upstream, shed_limit=max(1, upstream.in_flight))
        return end_pipe(replace_upstream(group, upstream), None)
    failure_estimate = estimate_after_shed(
        upstream.failure_estimate, group.plan.profile.detection, now
    )
    upstream = replace(upstream, failure_estimate=failure_estimate, last_shed_s=now)
    return end_pipe(replace_upstream(group, upstream), None)


def _handle_leaving(group, report, attempt, now):
    """Send no more requests to an upstream that is leaving or has been replaced."""
    upstream = set_standing(group.upstreams[report.upstream], Standing.LEAVING)
    return end_pipe(replace_upstream(group, upstream), None)


def _handle_unreached(group, report, attempt, now):
    """Count a failure of an upstream that several VMs cannot reach.

    A single VM may itself be cut off from the upstream. Its entry node requests
    another upstream.
    """
    upstream = group.upstreams[report.upstream]
    unreached_by = upstream.unreached_by.set(report.key.node, now)
    unreached_by = drop_before(unreached_by, now - UNREACHED_WINDOW_S)
    group = replace_upstream(group, replace(upstream, unreached_by=unreached_by))
    if len(unreached_by) < MIN_UNREACHED_NODES:
        return end_pipe(group, None)
    return end_pipe(
        record_upstream_failure(group, report.upstream, now, unreachable=True), None
    )


def _handle_cancelled(group, report, attempt, now):
    """Count a stall of an attempt whose response came from another upstream first.

    The entry node has measured its age, so that the delay of this node adds nothing.
    """
    if attempt is None or not attempt.upstream or attempt.stalls:
        return end_pipe(group, None)
    if is_stall_due(group, attempt, report.took_ms / 1000):
        group = record_stall(group, attempt, now)
    return end_pipe(group, None)


VERDICT_HANDLERS = {
    Verdict.GOOD: _handle_good,
    Verdict.FAULT: _handle_fault,
    Verdict.BROKEN: _handle_fault,
    Verdict.CRASHED: _handle_crashed,
    Verdict.LATE: _handle_late,
    Verdict.SHED: _handle_shed,
    Verdict.DRAINING: _handle_leaving,
    Verdict.MISDIRECTED: _handle_leaving,
    Verdict.UNREACHED: _handle_unreached,
    Verdict.CANCELLED: _handle_cancelled,
}


def record_duration(group, attempt, took_s):
    """Return the group after a request was completed in ``took_s`` seconds."""
    route_key = attempt.request.route_key
    typical_s = group.typical_s.get(route_key)
    upstream = group.upstreams[attempt.upstream]
    if typical_s is None:
        typical_s = took_s
    duration_ratio = min(
        MAX_DURATION_RATIO, max(MIN_DURATION_RATIO, took_s / max(typical_s, 0.001))
    )
    duration_ratio = upstream.duration_ratio + DURATION_RATIO_SMOOTHING * (
        duration_ratio - upstream.duration_ratio
    )
    group = replace_upstream(group, replace(upstream, duration_ratio=duration_ratio))
    typical_s += TYPICAL_SMOOTHING * (took_s - typical_s)
    group = replace(group, typical_s=group.typical_s.set(route_key, typical_s))
    if group.is_long(attempt):
        durations_s = (group.long_durations_s + (took_s,))[-MAX_DURATIONS:]
        return replace(group, long_durations_s=durations_s)
    durations_s = (group.short_durations_s + (took_s,))[-MAX_DURATIONS:]
    return replace(group, short_durations_s=durations_s)
