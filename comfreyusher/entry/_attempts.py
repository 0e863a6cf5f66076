"""Decisions on what owners and upstreams say about an attempt."""

from comfreyusher.entry._answer import (
    UpstreamAnswer,
    begin_stream,
    confirm_copy,
    continue_stream,
    deliver,
)
from comfreyusher.entry._ask import (
    MAX_ATTEMPTS,
    SAFER,
    ask_next_owner,
    begin_attempt,
    give_up,
    live_attempts,
    max_sends,
    replace_attempt,
    try_other_region,
)
from comfreyusher.entry._body import UPSTREAMS, release_body
from comfreyusher.entry._messages import ReportTo
from comfreyusher.entry._state import Phase, Terms
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import (
    NOT_RUN_VERDICTS,
    AttemptReport,
    ClientRequestCancel,
    ClientRequestStart,
    DenialReason,
    InterimResponse,
    Verdict,
    find_header,
)
from comfreyusher.platform import address_request, read_reply
from comfreyusher.telemetry import HopEnded, derive_context, format_context

REPORTS = "entry"
HOLD_ANSWER_BYTES = 65536
ONCE_MAX_IDLE_S = 1.0
REPEATABLE_MAX_IDLE_S = 6.0
CONNECT_TIMEOUT_S = 0.15
CONNECT_TIMEOUT_FAR_S = 0.4
AVOID_UNREACHED_S = 3.0
FAULT_STATUSES = frozenset((500, 502, 503, 504))
TIMEOUT_STATUS = 504
MIN_REMAINING_S = 0.02
REFUSED_HEADER = b"request-refused"
DRAINING = "draining"
REJECTED_RETRY_MS = 500


def find_attempt(visit, key):
    """Return the attempt with a key, if it has not ended."""
    if not 0 < key.attempt <= len(visit.attempts):
        return None
    attempt = visit.attempts[key.attempt - 1]
    return attempt if attempt.phase is not Phase.ENDED else None


# Owners ------------------------------------------------------------------------


def take_queued(state, visit, queued):
    """Note that the owner holds the attempt."""
    attempt = find_attempt(visit, queued.key)
    if attempt is None or attempt.phase is Phase.SENT:
        return end_pipe(state, visit)
    attempt = replace(attempt, phase=Phase.QUEUED, unheard=0, told_s=state.awake_s)
    return end_pipe(state, replace_attempt(visit, attempt))


def take_grant(state, visit, grant):
    """Send the request to the upstream that the owner chose."""
    attempt = find_attempt(visit, grant.key)
    if attempt is None or attempt.phase is Phase.SENT:
        return end_pipe(state, visit)
    if visit.body_moved:
        return end_attempt(state, visit, attempt, Verdict.CANCELLED)
    if grant.upstream in state.departed:
        attempt = replace(attempt, upstream=grant.upstream)
        return _end_unreached(state, visit, attempt)
    remaining_s = visit.deadline_s - state.now_s
    attempt = replace(
        attempt,
        phase=Phase.SENT,
        upstream=grant.upstream,
        sent_s=state.now_s,
        usual_s=grant.typical_ms / 1000,
    )
    visit = replace_attempt(visit, attempt)
    if remaining_s <= 0:
        return end_attempt(state, visit, attempt, Verdict.CANCELLED)
    head = address_request(
        _traced_head(visit, attempt),
        grant.upstream,
        int(remaining_s * 1000),
        visit.request_id,
    )
    once = not visit.match.route.idempotent
    far = attempt.region != state.region
    send = ClientRequestStart(
        attempt.key,
        grant.host,
        grant.port,
        head,
        b"".join(visit.parts),
        visit.body_ended,
        ONCE_MAX_IDLE_S if once else REPEATABLE_MAX_IDLE_S,
        visit.request_id,
        CONNECT_TIMEOUT_FAR_S if far else CONNECT_TIMEOUT_S,
    )
    return end_pipe(state, release_body(visit), Envelope(UPSTREAMS, send))


def _traced_head(visit, attempt):
    """Return the caller's head, with a trace context if it is sampled."""
    head = visit.request.head
    if not visit.trace.sampled:
        return head
    kept = tuple(pair for pair in head.headers if pair[0].lower() != b"traceparent")
    context = format_context(dispatch_context(visit, attempt))
    return replace(head, headers=(*kept, (b"traceparent", context.encode())))


def dispatch_context(visit, attempt):
    """Return the trace context of an attempt's run on its upstream."""
    owner = derive_context(visit.trace, "owner")
    return derive_context(owner, f"dispatch-{attempt.ask.attempt}")


def take_denial(state, visit, denial):
    """Ask another owner, spill, or give up."""
    attempt = find_attempt(visit, denial.key)
    if attempt is None or attempt.phase is Phase.SENT:
        return end_pipe(state, visit)
    if denial.reason in (DenialReason.NOT_OWNER, DenialReason.LEAVING):
        if attempt.owner != state.node:
            return ask_next_owner(state, visit, attempt)
    visit = replace_attempt(visit, replace(attempt, phase=Phase.ENDED))
    if live_attempts(visit):
        return end_pipe(state, visit)
    if denial.reason is DenialReason.TOO_RISKY:
        step = try_other_region(state, visit, SAFER)
        return step or begin_attempt(state, replace(visit, spilled=True))
    if attempt.tentative:
        return begin_attempt(state, visit)
    if denial.reason in (DenialReason.NO_UPSTREAM, DenialReason.TOO_LATE):
        step = try_other_region(state, visit, Terms())
        if step is not None:
            return step
    return give_up(state, visit, denial.reason.value, denial.retry_after_ms)


# Replies ------------------------------------------------------------------------


def take_reply(state, visit, reply):
    """Hold a reply until it is complete, or too large to be held."""
    attempt = find_attempt(visit, reply.exchange)
    if attempt is None:
        return _drop(state, visit, reply)
    attempt = replace(
        attempt, head=reply.head, parts=(reply.body,), size_bytes=len(reply.body)
    )
    visit = replace_attempt(visit, attempt)
    if reply.ended:
        return take_whole_reply(state, visit, attempt)
    return _stream_if_large(state, visit, attempt)


def take_reply_body(state, visit, reply):
    """Take more of a reply."""
    attempt = find_attempt(visit, reply.exchange)
    if attempt is None:
        return _drop(state, visit, reply)
    if visit.streaming == attempt.ask.attempt:
        step = continue_stream(state, visit, attempt, reply.body, reply.ended)
        if not reply.ended:
            return step
        report = report_on(state, visit, attempt, Verdict.GOOD)
        return end_pipe(step.state, step.item, report, *step.messages)
    attempt = replace(
        attempt,
        parts=(*attempt.parts, reply.body),
        size_bytes=attempt.size_bytes + len(reply.body),
    )
    visit = replace_attempt(visit, attempt)
    if reply.ended:
        return take_whole_reply(state, visit, attempt)
    return _stream_if_large(state, visit, attempt)


def _drop(state, visit, reply):
    """Close the connection of a reply that nobody waits for."""
    if reply.ended:
        return end_pipe(state, visit)
    return end_pipe(
        state, visit, Envelope(UPSTREAMS, ClientRequestCancel(reply.exchange))
    )


def _stream_if_large(state, visit, attempt):
    if attempt.size_bytes < HOLD_ANSWER_BYTES or visit.streaming:
        return end_pipe(state, visit)
    verdict = judge_reply(attempt.head)
    if verdict is not Verdict.GOOD:
        return _end_large_failure(state, visit, attempt, verdict)
    if visit.accounted and not visit.copied:
        return end_pipe(state, visit)
    step = begin_stream(state, visit, attempt)
    cancels = _cancel_others(step.state, step.item, attempt)
    return end_pipe(step.state, cancels.item, *step.messages, *cancels.messages)


def release_held(state, visit, confirmed):
    """Release what waited for the copy: a whole answer, or the start of a large one."""
    step = confirm_copy(state, visit, confirmed)
    for attempt in live_attempts(step.item):
        if attempt.size_bytes >= HOLD_ANSWER_BYTES:
            return _stream_if_large(step.state, step.item, attempt)
    return step


def _end_large_failure(state, visit, attempt, verdict):
    """End an attempt whose failure is too large to be held, and may have no end."""
    cancel = Envelope(UPSTREAMS, ClientRequestCancel(attempt.key))
    step = end_attempt(state, visit, attempt, verdict)
    return end_pipe(step.state, step.item, cancel, *step.messages)


def judge_reply(head):
    """Return the verdict on a reply, from its head."""
    facts = read_reply(head)
    if facts.misdirected:
        return Verdict.MISDIRECTED
    refused = find_header(head, REFUSED_HEADER)
    if refused == DRAINING:
        return Verdict.DRAINING
    if facts.not_run or refused:
        return Verdict.SHED
    if head.status == TIMEOUT_STATUS:
        return Verdict.LATE
    if head.status in FAULT_STATUSES:
        return Verdict.FAULT
    if head.status < 300 and not facts.sealed:
        return Verdict.BROKEN
    return Verdict.GOOD


def take_whole_reply(state, visit, attempt):
    """Deliver a complete answer, or try again after a failure."""
    verdict = judge_reply(attempt.head)
    if verdict is Verdict.GOOD:
        report = report_on(state, visit, attempt, verdict)
        visit = replace_attempt(visit, replace(attempt, phase=Phase.ENDED))
        cancels = _cancel_others(state, visit, attempt)
        answer = _answer_of(attempt)
        step = deliver(state, cancels.item, answer)
        messages = (report, *cancels.messages, *step.messages)
        return end_pipe(step.state, step.item, *messages)
    if verdict in (Verdict.FAULT, Verdict.LATE):
        visit = replace(visit, failure=(_answer_of(attempt),))
    return end_attempt(state, visit, attempt, verdict)


def _answer_of(attempt):
    body = b"".join(attempt.parts)
    return UpstreamAnswer(attempt.head, body, attempt.upstream)


def take_failure(state, visit, failure):
    """Handle an attempt that brought no complete answer."""
    attempt = find_attempt(visit, failure.exchange)
    if attempt is None:
        return end_pipe(state, visit)
    if not failure.sent:
        return _end_unreached(state, visit, attempt)
    if failure.response_started:
        return end_attempt(state, visit, attempt, Verdict.BROKEN)
    return end_attempt(state, visit, attempt, Verdict.CRASHED)


def _end_unreached(state, visit, attempt):
    """End an attempt that was not sent, and avoid its upstream for a while."""
    avoided = state.avoided.set(attempt.upstream, state.now_s + AVOID_UNREACHED_S)
    state = replace(state, avoided=avoided)
    return end_attempt(state, visit, attempt, Verdict.UNREACHED)


def pass_interim(state, visit, interim):
    """Pass a 1xx answer on."""
    if visit.streaming or find_attempt(visit, interim.exchange) is None:
        return end_pipe(state, visit)
    passed_on = InterimResponse(visit.exchange, interim.head)
    return end_pipe(state, visit, Envelope("callers", passed_on))


# Ends of attempts ------------------------------------------------------------------


def report_on(state, visit, attempt, verdict):
    """Return the report of an attempt, addressed to the task that repeats it."""
    took_ms = int((state.now_s - attempt.sent_s) * 1000) if attempt.sent_s else 0
    report = AttemptReport(
        attempt.key,
        attempt.ask.group,
        attempt.upstream,
        verdict,
        took_ms,
        visit.fingerprint,
    )
    hop = _hop(state, visit, attempt)
    return Envelope(REPORTS, ReportTo(attempt.owner, report, hop))


def _hop(state, visit, attempt):
    """Return the span of an attempt's run, if the request is traced."""
    if not visit.trace.sampled or not attempt.sent_s:
        return None
    return HopEnded(
        "upstream",
        dispatch_context(visit, attempt),
        derive_context(visit.trace, "owner"),
        attempt.sent_s,
        state.now_s,
        (("comfreyusher.upstream", attempt.upstream),),
    )


def end_attempt(state, visit, attempt, verdict):
    """Report a failed attempt, and try again if that is allowed."""
    report = report_on(state, visit, attempt, verdict)
    visit = replace_attempt(visit, replace(attempt, phase=Phase.ENDED))
    arrived = verdict not in (Verdict.UNREACHED, Verdict.CANCELLED)
    visit = replace(
        visit,
        tried=(*visit.tried, attempt.upstream),
        sends=visit.sends + arrived,
        ran=visit.ran or (arrived and verdict not in NOT_RUN_VERDICTS),
    )
    step = _go_on(state, visit, attempt, verdict)
    return end_pipe(step.state, step.item, report, *step.messages)


def _go_on(state, visit, attempt, verdict):
    if visit.streaming == attempt.ask.attempt:
        reason = f"the upstream's answer was cut ({verdict.value})"
        return give_up(state, visit, reason)
    if live_attempts(visit):
        return end_pipe(state, visit)
    if may_repeat(state, visit):
        return begin_attempt(state, visit)
    reason = f"the upstream failed the request ({verdict.value})"
    return give_up(state, visit, reason, REJECTED_RETRY_MS)


def may_repeat(state, visit):
    """Tell whether the request may be sent to one more upstream."""
    if visit.body_moved or visit.streaming:
        return False
    if visit.ran and not visit.match.route.idempotent:
        return False
    if visit.deadline_s - state.now_s < MIN_REMAINING_S:
        return False
    if len(visit.attempts) >= MAX_ATTEMPTS:
        return False
    return visit.sends < max_sends(visit)


def _cancel_others(state, visit, kept):
    """Cancel every other attempt of a visit that has its answer."""
    messages = ()
    for attempt in live_attempts(visit):
        if attempt.ask.attempt != kept.ask.attempt:
            step = cancel_attempt(state, visit, attempt, Verdict.CANCELLED)
            visit = step.item
            messages += step.messages
    return end_pipe(state, visit, *messages)


def cancel_attempt(state, visit, attempt, verdict):
    """End an attempt that nobody waits for."""
    messages = (report_on(state, visit, attempt, verdict),)
    if attempt.phase is Phase.SENT:
        messages += (Envelope(UPSTREAMS, ClientRequestCancel(attempt.key)),)
    visit = replace_attempt(visit, replace(attempt, phase=Phase.ENDED))
    return end_pipe(state, visit, *messages)


def cancel_all(state, visit, verdict):
    """End every attempt of a visit."""
    messages = ()
    for attempt in live_attempts(visit):
        step = cancel_attempt(state, visit, attempt, verdict)
        visit = step.item
        messages += step.messages
    return end_pipe(state, visit, *messages)
