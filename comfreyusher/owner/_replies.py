"""Decisions on messages from the upstreams' connections."""

from comfreyusher.flow import change, stopped
from comfreyusher.health import Standing
from comfreyusher.messages import (
    OfferCredit,
    Outcome,
    Result,
    ResultBody,
    SendCancel,
    find_header,
)
from comfreyusher.owner._messages import to_origin, to_upstream
from comfreyusher.owner._offers import requeue
from comfreyusher.owner._poison import clear_suspicion, note_crash
from comfreyusher.owner._settle import (
    forget,
    judge_bad,
    judge_good,
    note_duration,
    refuse,
    release,
    replace_upstream,
)
from comfreyusher.owner._state import set_standing
from comfreyusher.owner._trace import end_spans

REFUSED_HEADER = b"request-refused"
DRAINING_HEADER = b"upstream-draining"
SHED = "shed"
DRAINING = "draining"
FAULT_STATUSES = frozenset((500, 502, 504))
RESULT_STATUS_REFUSED = 503


def current_work(group, attempt):
    """Return the work of a dispatch that is still the latest one."""
    work = group.works.get(attempt.key)
    if work is None or not work.upstream or work.attempts != attempt.number:
        return None
    return work


def take_reply(group, reply, now):
    """Pass a reply on, or try elsewhere when the upstream refused the work."""
    work = current_work(group, reply.exchange)
    if work is None:
        return _drop(group, reply)
    refused = find_header(reply.head, REFUSED_HEADER)
    if refused and reply.head.status == RESULT_STATUS_REFUSED:
        return _take_refused(group, reply, work, refused, now)
    group = _judge_reply(group, reply, work, now)
    work = change(work, started=True, held=(), credited=True)
    group = change(group, works=group.works.set(work.offer.key, work))
    result = Result(
        work.offer.key,
        work.upstream,
        reply.head,
        reply.body,
        reply.ended,
        (work.dispatched_s - work.queued_s) * 1000,
        work.attempts,
    )
    if not reply.ended:
        return stopped(group, work, to_origin(result))
    group = forget(release(group, work), work)
    return stopped(group, work, to_origin(result), *end_spans(work, now))


def _drop(group, reply):
    """Close the connection of a reply that nobody waits for."""
    if reply.ended:
        return stopped(group, None)
    return stopped(group, None, to_upstream(SendCancel(reply.exchange)))


def _take_refused(group, reply, work, refused, now):
    """Handle an upstream's own refusal: the work was not run there."""
    upstream = group.upstreams[work.upstream]
    group = release(group, work)
    upstream = group.upstreams[work.upstream]
    if refused == DRAINING:
        group = replace_upstream(group, set_standing(upstream, Standing.LEAVING))
    else:
        lowered = change(upstream, shed_limit=max(1, upstream.in_flight))
        group = replace_upstream(group, lowered)
    messages = _drop(group, reply).messages
    if may_repeat_unrun(group, work):
        step = requeue(group, work, may_have_run=False)
        return stopped(step.state, work, *messages)
    reason = "every upstream tried refused the request"
    step = refuse(group, work, Outcome.NOT_RUN, 503, reason, 1000)
    return stopped(step.state, work, *messages, *step.messages)


def _judge_reply(group, reply, work, now):
    if find_header(reply.head, DRAINING_HEADER):
        upstream = group.upstreams.get(work.upstream)
        if upstream is not None:
            leaving = set_standing(upstream, Standing.LEAVING)
            group = replace_upstream(group, leaving)
    group = clear_suspicion(group, work)
    group = note_duration(group, work, now)
    if reply.head.status in FAULT_STATUSES:
        return judge_bad(group, work.upstream)
    if work.stalls:
        return group
    return judge_good(group, work.upstream, now)


def pass_reply_body(group, reply, now):
    """Pass answer bytes on."""
    work = current_work(group, reply.exchange)
    if work is None:
        return _drop(group, reply)
    body = ResultBody(work.offer.key, reply.body, reply.ended)
    if not reply.ended:
        return stopped(group, work, to_origin(body))
    group = forget(release(group, work), work)
    return stopped(group, work, to_origin(body), *end_spans(work, now))


def pass_interim(group, interim, now):
    """Pass a 1xx answer on."""
    work = current_work(group, interim.exchange)
    if work is None:
        return stopped(group, None)
    result = Result(work.offer.key, work.upstream, interim.head)
    return stopped(group, work, to_origin(result))


def pass_sent_credit(group, credit, now):
    """Let the entry node send more body bytes."""
    work = current_work(group, credit.exchange)
    if work is None:
        return stopped(group, None)
    if not work.credited and not work.offer.ended:
        work = change(work, credited=True, held=())
        works = group.works.set(work.offer.key, work)
        group = change(group, works=works)
    passed_on = OfferCredit(work.offer.key, credit.size_bytes)
    return stopped(group, work, to_origin(passed_on))


def take_failure(group, failure, now):
    """Handle a dispatch that brought no complete answer."""
    work = current_work(group, failure.exchange)
    if work is None:
        return stopped(group, None)
    group = release(group, work)
    if failure.started or work.started:
        group = judge_bad(group, work.upstream)
        reason = f"the upstream's answer was cut: {failure.reason}"
        return refuse(group, work, Outcome.UNKNOWN, 502, reason)
    if not failure.sent:
        return _take_unreached(group, failure, work, now)
    group = judge_bad(group, work.upstream)
    crash = note_crash(group, work, now)
    group = crash.state
    if crash.ended:
        return crash
    if may_repeat_run(group, work):
        group = spend_retry(group)
        return requeue(group, work, may_have_run=True)
    reason = f"the upstream broke off: {failure.reason}"
    return refuse(group, work, Outcome.UNKNOWN, 502, reason)


def _take_unreached(group, failure, work, now):
    group = judge_bad(group, work.upstream, unreachable=True)
    if may_repeat_unrun(group, work):
        return requeue(group, work, may_have_run=False)
    reason = f"no upstream could be reached: {failure.reason}"
    return refuse(group, work, Outcome.NOT_RUN, 503, reason, 1000)


def may_repeat_unrun(group, work):
    """Tell whether work that certainly did not run may be sent again."""
    return work.attempts < group.plan.profile.retries.max_attempts


def may_repeat_run(group, work):
    """Tell whether work that may have run can be repeated without harm."""
    return (
        work.offer.idempotent
        and not work.started
        and (work.offer.ended or not work.credited)
        and work.attempts < group.plan.profile.retries.max_attempts
        and group.retry_tokens >= 1
    )


def spend_retry(group):
    """Return the group with one retry less in its budget."""
    return change(group, retry_tokens=group.retry_tokens - 1)
