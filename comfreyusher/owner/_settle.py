"""Effects of dispatches: messages out, and bookkeeping when work leaves."""

from comfreyusher.flow import Step, change, stopped
from comfreyusher.health import note_bad, note_good
from comfreyusher.messages import (
    Outcome,
    Refusal,
    RequestHead,
    SendBody,
    SendStart,
)
from comfreyusher.owner._messages import to_origin, to_upstream
from comfreyusher.owner._state import RECENT_DURATIONS, Attempt
from comfreyusher.owner._trace import upstream_trace_parent

DEADLINE_HEADER = b"Request-Deadline-Ms"
REQUEST_ID_HEADER = b"Request-Id"
TRACE_HEADER = b"traceparent"


def dispatch(group, work, upstream, now):
    """Return the group with the work on an upstream, and what to send."""
    work = change(
        work,
        upstream=upstream.name,
        dispatched_s=now,
        ready_s=now if work.offer.ended or work.held_ended else 0.0,
        attempts=work.attempts + 1,
        stalls=0,
    )
    upstream = change(
        upstream,
        in_flight=upstream.in_flight + 1,
        long_in_flight=upstream.long_in_flight + group.is_long(work),
        last_pick=group.picks + 1,
    )
    group = change(
        group,
        picks=group.picks + 1,
        works=group.works.set(work.offer.key, work),
        upstreams=group.upstreams.set(upstream.name, upstream),
    )
    return Step(group, work, _sends(work, upstream, now))


def _sends(work, upstream, now):
    offer = work.offer
    attempt = Attempt(offer.key, work.attempts)
    head = _head_for_upstream(work, work.deadline_s - now)
    ended = offer.ended
    fresh = not offer.idempotent
    start = SendStart(
        attempt, upstream.host, upstream.port, head, offer.body, ended, fresh
    )
    sends = [to_upstream(start)]
    last = len(work.held) - 1
    for index, body in enumerate(work.held):
        ended = work.held_ended and index == last
        sends.append(to_upstream(SendBody(attempt, body, ended)))
    return tuple(sends)


def _head_for_upstream(work, remaining_s):
    offer = work.offer
    own = {DEADLINE_HEADER.lower(), REQUEST_ID_HEADER.lower(), TRACE_HEADER}
    kept = tuple(pair for pair in offer.head.headers if pair[0].lower() not in own)
    added = (
        (DEADLINE_HEADER, b"%d" % max(1, int(remaining_s * 1000))),
        (REQUEST_ID_HEADER, offer.request_id.encode()),
        (TRACE_HEADER, upstream_trace_parent(work).encode()),
    )
    return RequestHead(offer.head.method, offer.head.target, kept + added)


def release(group, work):
    """Return the group with the work's slot free; the work is kept."""
    upstream = group.upstreams.get(work.upstream)
    if upstream is None:
        return group
    upstream = change(
        upstream,
        in_flight=upstream.in_flight - 1,
        long_in_flight=upstream.long_in_flight - group.is_long(work),
    )
    return replace_upstream(group, upstream)


def forget(group, work):
    """Return the group without the work."""
    return change(group, works=group.works.delete(work.offer.key))


def refuse(group, work, outcome, status, reason, retry_after_ms=0):
    """End work with a refusal to its entry node.

    Work that may have run in an earlier dispatch is never told as not run.
    """
    if work.may_have_run and outcome is Outcome.NOT_RUN:
        outcome, retry_after_ms = Outcome.UNKNOWN, 0
    refusal = Refusal(work.offer.key, outcome, status, reason, retry_after_ms)
    if work.offer.key in group.works:
        group = forget(group, work)
    if outcome is Outcome.NOT_RUN:
        group = change(group, refused_total=group.refused_total + 1)
    return stopped(group, work, to_origin(refusal))


def replace_upstream(group, upstream):
    """Return the group with one upstream replaced."""
    return change(group, upstreams=group.upstreams.set(upstream.name, upstream))


def judge_good(group, name, now):
    """Return the group after good work on an upstream."""
    upstream = group.upstreams.get(name)
    if upstream is None:
        return group
    health = note_good(upstream.health, now)
    return replace_upstream(group, change(upstream, health=health))


def judge_bad(group, name, unreachable=False):
    """Return the group after a stall or fault on an upstream."""
    upstream = group.upstreams.get(name)
    if upstream is None:
        return group
    health = note_bad(upstream.health, unreachable)
    return replace_upstream(group, change(upstream, health=health))


def note_duration(group, work, now):
    """Return the group with one more completed duration."""
    duration_s = now - (work.ready_s or work.dispatched_s)
    if group.is_long(work):
        recent = (group.recent_long_s + (duration_s,))[-RECENT_DURATIONS:]
        return change(group, recent_long_s=recent)
    recent = (group.recent_short_s + (duration_s,))[-RECENT_DURATIONS:]
    return change(group, recent_short_s=recent)
