"""Decisions on the messages of owners and upstreams about an attempt."""

from comfreyusher.entry._body import UPSTREAMS, release_body
from comfreyusher.entry._fingerprint import is_quarantined
from comfreyusher.entry._grant_requests import (
    LOW_RISK,
    MAX_ATTEMPTS,
    begin_attempt,
    give_up,
    live_attempts,
    max_sends,
    replace_attempt,
    request_from_next_owner,
    try_other_region,
)
from comfreyusher.entry._messages import SendReport
from comfreyusher.entry._responses import (
    UpstreamResponse,
    continue_stream,
    send_held_response,
    send_response,
    start_stream,
)
from comfreyusher.entry._state import (
    SHUTDOWN_MARGIN_S,
    AttemptPhase,
    GrantConditions,
)
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import (
    NOT_RUN_VERDICTS,
    UNKNOWN_LIMIT,
    AttemptReport,
    ClientRequestCancel,
    ClientRequestStart,
    CrashNotice,
    DenialReason,
    InterimResponse,
    Verdict,
    find_header,
)
from comfreyusher.platform import (
    build_upstream_head,
    parse_limit,
    parse_upstream_headers,
)
from comfreyusher.quarantine import CrashObserved
from comfreyusher.telemetry import SpanEnded, derive_context, format_context

ENTRY = "entry"
STREAM_THRESHOLD_BYTES = 65536
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
IDEMPOTENT_MAX_IDLE_S = 6.0
CONNECT_TIMEOUT_S = 0.15
CROSS_REGION_CONNECT_TIMEOUT_S = 0.4
AVOID_UNREACHED_S = 3.0
FAULT_STATUSES = frozenset((500, 502, 503, 504))
TIMEOUT_STATUS = 504
MIN_RETRY_REMAINING_S = 0.02
REFUSED_HEADER = b"request-refused"
DRAINING = "draining"
REFUSED_RETRY_AFTER_MS = 500
SHUTDOWN_RETRY_AFTER_MS = 50
MIN_SHUTDOWN_WORK_S = 0.3
SHUTDOWN_TYPICAL_FACTOR = 2.0


def find_attempt(request, key):
    """Return the attempt with a key, if it has not ended."""
    if not 0 < key.attempt <= len(request.attempts):
        return None
    attempt = request.attempts[key.attempt - 1]
    return attempt if attempt.phase is not AttemptPhase.ENDED else None


# Owners ------------------------------------------------------------------------


def handle_queued_ack(state, request, ack):
    """Record that the owner acknowledged the attempt and queued it."""
    attempt = find_attempt(request, ack.key)
    if attempt is None or attempt.phase is AttemptPhase.SENT:
        return end_pipe(state, request)
    attempt = replace(
        attempt,
        phase=AttemptPhase.QUEUED,
        unanswered_requests=0,
        last_contact_s=state.running_s,
    )
    return end_pipe(state, replace_attempt(request, attempt))


def handle_grant(state, request, grant):
    """Send the request to the upstream that the owner granted."""
    attempt = find_attempt(request, grant.key)
    if attempt is None or attempt.phase is AttemptPhase.SENT:
        return end_pipe(state, request)
    if request.body_released:
        return end_attempt(state, request, attempt, Verdict.CANCELLED)
    if grant.upstream in state.departed:
        attempt = replace(attempt, upstream=grant.upstream)
        return _end_unreached(state, request, attempt)
    if grant.limit_per_s == UNKNOWN_LIMIT and grant.upstream in state.limits:
        return _return_grant(state, request, attempt, grant)
    if _ends_too_soon(state, grant):
        return _refuse_for_shutdown(state, request, attempt, grant)
    last_s = min(request.deadline_s, state.ends_s - SHUTDOWN_MARGIN_S)
    remaining_s = last_s - state.now_s
    is_refused = remaining_s <= 0 or is_quarantined(state, request)
    attempt = replace(
        attempt,
        phase=AttemptPhase.SENT,
        upstream=grant.upstream,
        sent_s=state.now_s,
        typical_s=grant.typical_ms / 1000,
        started_ms=grant.started_ms,
    )
    request = replace_attempt(request, attempt)
    if is_refused:
        return end_attempt(state, request, attempt, Verdict.CANCELLED)
    head = build_upstream_head(
        _traced_head(request, attempt),
        grant.upstream,
        int(remaining_s * 1000),
        request.request_id,
    )
    non_idempotent = not request.match.route.idempotent
    cross_region = attempt.region != state.region
    upstream_request = ClientRequestStart(
        attempt.key,
        grant.host,
        grant.port,
        head,
        b"".join(request.body_parts),
        request.body_ended,
        NON_IDEMPOTENT_MAX_IDLE_S if non_idempotent else IDEMPOTENT_MAX_IDLE_S,
        request.request_id,
        CROSS_REGION_CONNECT_TIMEOUT_S if cross_region else CONNECT_TIMEOUT_S,
    )
    return end_pipe(state, release_body(request), Envelope(UPSTREAMS, upstream_request))


def _return_grant(state, request, attempt, grant):
    """Tell a new owner the limit of an upstream, and ask it once more."""
    limit_per_s = state.limits[grant.upstream]
    attempt = replace(
        attempt,
        phase=AttemptPhase.ENDED,
        upstream=grant.upstream,
        limit_per_s=limit_per_s,
    )
    report = build_report(state, request, attempt, Verdict.CANCELLED)
    step = begin_attempt(state, replace_attempt(request, attempt))
    return end_pipe(step.state, step.item, report, *step.messages)


def _ends_too_soon(state, grant):
    """Tell whether this node ends before the request could be answered."""
    typical_s = grant.typical_ms / 1000
    needed_s = max(MIN_SHUTDOWN_WORK_S, SHUTDOWN_TYPICAL_FACTOR * typical_s)
    return state.ends_s - state.now_s < needed_s


def _refuse_for_shutdown(state, request, attempt, grant):
    """Refuse a request that has not run, so that its caller asks another node."""
    attempt = replace(attempt, phase=AttemptPhase.ENDED, upstream=grant.upstream)
    report = build_report(state, request, attempt, Verdict.CANCELLED)
    request = replace_attempt(request, attempt)
    if live_attempts(request):
        return end_pipe(state, request, report)
    reason = "this node ends before an answer could come"
    step = give_up(state, request, reason, SHUTDOWN_RETRY_AFTER_MS)
    return end_pipe(step.state, step.item, report, *step.messages)


def _traced_head(request, attempt):
    """Return the caller's head, with a trace context if the request is sampled."""
    head = request.start.head
    if not request.trace.sampled:
        return head
    kept = tuple(pair for pair in head.headers if pair[0].lower() != b"traceparent")
    context = format_context(dispatch_context(request, attempt))
    return replace(head, headers=(*kept, (b"traceparent", context.encode())))


def dispatch_context(request, attempt):
    """Return the trace context of an attempt for its upstream."""
    owner = derive_context(request.trace, "owner")
    return derive_context(owner, f"dispatch-{attempt.grant_request.attempt}")


def handle_denial(state, request, denial):
    """Ask another owner or another region, or give up."""
    attempt = find_attempt(request, denial.key)
    if attempt is None or attempt.phase is AttemptPhase.SENT:
        return end_pipe(state, request)
    if denial.reason in (DenialReason.NOT_OWNER, DenialReason.LEAVING):
        if attempt.owner != state.node:
            return request_from_next_owner(state, request, attempt)
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    if live_attempts(request):
        return end_pipe(state, request)
    if denial.reason is DenialReason.TOO_RISKY:
        step = try_other_region(state, request, LOW_RISK)
        return step or begin_attempt(state, replace(request, spilled=True))
    if attempt.tentative:
        return begin_attempt(state, request)
    if denial.reason in (DenialReason.NO_UPSTREAM, DenialReason.TOO_LATE):
        step = try_other_region(state, request, GrantConditions())
        if step is not None:
            return step
    return give_up(state, request, denial.reason.value, denial.retry_after_ms)


# Responses ----------------------------------------------------------------------


def handle_response_start(state, request, response):
    """Hold a response until it is complete or too large to be held."""
    attempt = find_attempt(request, response.exchange)
    if attempt is None:
        return _discard_response(state, request, response)
    limit_per_s = parse_limit(response.head)
    state = _record_limit(state, attempt.upstream, limit_per_s, response.head.status)
    attempt = replace(
        attempt,
        limit_per_s=limit_per_s,
        head=response.head,
        body_parts=(response.body,),
        size_bytes=len(response.body),
    )
    request = replace_attempt(request, attempt)
    if response.ended:
        return handle_complete_response(state, request, attempt)
    return _stream_if_large(state, request, attempt)


def _record_limit(state, upstream, limit_per_s, status):
    """Return the state after a response that names a limit, or none any more."""
    if limit_per_s:
        return replace(state, limits=state.limits.set(upstream, limit_per_s))
    if upstream in state.limits and status < 300:
        return replace(state, limits=state.limits.delete(upstream))
    return state


def handle_response_body(state, request, response):
    """Hold or stream more of a response."""
    attempt = find_attempt(request, response.exchange)
    if attempt is None:
        return _discard_response(state, request, response)
    if request.streaming_attempt == attempt.grant_request.attempt:
        step = continue_stream(state, request, attempt, response.body, response.ended)
        if not response.ended:
            return step
        report = build_report(state, request, attempt, Verdict.GOOD)
        return end_pipe(step.state, step.item, report, *step.messages)
    attempt = replace(
        attempt,
        body_parts=(*attempt.body_parts, response.body),
        size_bytes=attempt.size_bytes + len(response.body),
    )
    request = replace_attempt(request, attempt)
    if response.ended:
        return handle_complete_response(state, request, attempt)
    return _stream_if_large(state, request, attempt)


def _discard_response(state, request, response):
    """Close the connection of a response to an attempt that has ended."""
    if response.ended:
        return end_pipe(state, request)
    return end_pipe(
        state, request, Envelope(UPSTREAMS, ClientRequestCancel(response.exchange))
    )


def _stream_if_large(state, request, attempt):
    if attempt.size_bytes < STREAM_THRESHOLD_BYTES or request.streaming_attempt:
        return end_pipe(state, request)
    verdict = classify_response(attempt.head)
    if verdict is not Verdict.GOOD:
        return _end_large_failure(state, request, attempt, verdict)
    if request.accounted and not request.replication_finished:
        return end_pipe(state, request)
    step = start_stream(state, request, attempt)
    cancels = _cancel_others(step.state, step.item, attempt)
    return end_pipe(step.state, cancels.item, *step.messages, *cancels.messages)


def release_held_response(state, request, finished):
    """Release a complete response, or the start of a large one, after replication.

    Replication of an account entry also finishes when no node acknowledged the
    replica in time.
    """
    step = send_held_response(state, request, finished)
    for attempt in live_attempts(step.item):
        if attempt.size_bytes >= STREAM_THRESHOLD_BYTES:
            return _stream_if_large(step.state, step.item, attempt)
    return step


def _end_large_failure(state, request, attempt, verdict):
    """End an attempt whose error response is too large to be held.

    Its response may never end, so it is cancelled.
    """
    cancel = Envelope(UPSTREAMS, ClientRequestCancel(attempt.key))
    step = end_attempt(state, request, attempt, verdict)
    return end_pipe(step.state, step.item, cancel, *step.messages)


def classify_response(head):
    """Return the verdict on a response, judged by its head."""
    upstream_headers = parse_upstream_headers(head)
    if upstream_headers.misdirected:
        return Verdict.MISDIRECTED
    refused = find_header(head, REFUSED_HEADER)
    if refused == DRAINING:
        return Verdict.DRAINING
    if upstream_headers.not_run or refused:
        return Verdict.SHED
    if head.status == TIMEOUT_STATUS:
        return Verdict.LATE
    if head.status in FAULT_STATUSES:
        return Verdict.FAULT
    if head.status < 300 and not upstream_headers.sealed:
        return Verdict.BROKEN
    return Verdict.GOOD


def handle_complete_response(state, request, attempt):
    """Send a complete response to the caller, or retry after a failure."""
    verdict = classify_response(attempt.head)
    if verdict is Verdict.GOOD:
        report = build_report(state, request, attempt, verdict)
        request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
        cancels = _cancel_others(state, request, attempt)
        response = _build_response(attempt)
        step = send_response(state, cancels.item, response)
        messages = (report, *cancels.messages, *step.messages)
        return end_pipe(step.state, step.item, *messages)
    if verdict in (Verdict.FAULT, Verdict.LATE):
        request = replace(request, failed_responses=(_build_response(attempt),))
    return end_attempt(state, request, attempt, verdict)


def _build_response(attempt):
    body = b"".join(attempt.body_parts)
    return UpstreamResponse(attempt.head, body, attempt.upstream)


def handle_request_failed(state, request, failure):
    """End an attempt that got no complete response."""
    attempt = find_attempt(request, failure.exchange)
    if attempt is None:
        return end_pipe(state, request)
    if not failure.sent:
        return _end_unreached(state, request, attempt)
    if failure.response_started:
        return end_attempt(state, request, attempt, Verdict.BROKEN)
    return end_attempt(state, request, attempt, Verdict.CRASHED)


def _end_unreached(state, request, attempt):
    """End an attempt that was not sent, and avoid its upstream for a while."""
    avoided_upstreams = state.avoided_upstreams.set(
        attempt.upstream, state.now_s + AVOID_UNREACHED_S
    )
    state = replace(state, avoided_upstreams=avoided_upstreams)
    return end_attempt(state, request, attempt, Verdict.UNREACHED)


def handle_interim_response(state, request, interim):
    """Forward a 1xx response to the caller."""
    if request.streaming_attempt or find_attempt(request, interim.exchange) is None:
        return end_pipe(state, request)
    response = InterimResponse(request.exchange, interim.head)
    return end_pipe(state, request, Envelope("callers", response))


# Ends of attempts ----------------------------------------------------------------


def build_report(state, request, attempt, verdict):
    """Return the report of an attempt, in an envelope for the entry task.

    That task sends the report until the owner acknowledges it.
    """
    took_ms = int((state.now_s - attempt.sent_s) * 1000) if attempt.sent_s else 0
    report = AttemptReport(
        attempt.key,
        attempt.grant_request.group,
        attempt.upstream,
        verdict,
        took_ms,
        request.fingerprint,
        attempt.started_ms,
        attempt.limit_per_s,
    )
    span = _build_span(state, request, attempt)
    return Envelope(ENTRY, SendReport(attempt.owner, report, span))


def _build_span(state, request, attempt):
    """Return the span of a sent attempt, or ``None`` if the request is not traced."""
    if not request.trace.sampled or not attempt.sent_s:
        return None
    return SpanEnded(
        "upstream",
        dispatch_context(request, attempt),
        derive_context(request.trace, "owner"),
        attempt.sent_s,
        state.now_s,
        (("comfreyusher.upstream", attempt.upstream),),
    )


def end_attempt(state, request, attempt, verdict):
    """Report a failed attempt, and retry the request if that is allowed."""
    report = build_report(state, request, attempt, verdict)
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    reached_upstream = verdict not in (Verdict.UNREACHED, Verdict.CANCELLED)
    request = replace(
        request,
        tried_upstreams=(*request.tried_upstreams, attempt.upstream),
        sends=request.sends + reached_upstream,
        may_have_run=request.may_have_run
        or (reached_upstream and verdict not in NOT_RUN_VERDICTS),
    )
    crash = _build_crash(request, attempt) if verdict is Verdict.CRASHED else ()
    step = _continue_request(state, request, attempt, verdict)
    return end_pipe(step.state, step.item, report, *crash, *step.messages)


def _build_crash(request, attempt):
    """Return the message about an upstream that crashed during an attempt."""
    profile = request.match.profile
    notice = CrashNotice(
        request.fingerprint,
        attempt.upstream,
        attempt.started_ms,
        profile.poison_crashes,
        profile.quarantine_ms,
    )
    return (Envelope("quarantine", CrashObserved(notice)),)


def _continue_request(state, request, attempt, verdict):
    if request.streaming_attempt == attempt.grant_request.attempt:
        reason = f"the upstream's answer was cut ({verdict.value})"
        return give_up(state, request, reason)
    if live_attempts(request):
        return end_pipe(state, request)
    if may_retry(state, request):
        return begin_attempt(state, request)
    reason = f"the upstream failed the request ({verdict.value})"
    return give_up(state, request, reason, REFUSED_RETRY_AFTER_MS)


def may_retry(state, request):
    """Tell whether the request may be sent to one more upstream."""
    if request.body_released or request.streaming_attempt:
        return False
    if request.may_have_run and not request.match.route.idempotent:
        return False
    if request.deadline_s - state.now_s < MIN_RETRY_REMAINING_S:
        return False
    if len(request.attempts) >= MAX_ATTEMPTS:
        return False
    return request.sends < max_sends(request)


def _cancel_others(state, request, kept):
    """Cancel every other attempt of a request that has its response."""
    messages = ()
    for attempt in live_attempts(request):
        if attempt.grant_request.attempt != kept.grant_request.attempt:
            step = cancel_attempt(state, request, attempt, Verdict.CANCELLED)
            request = step.item
            messages += step.messages
    return end_pipe(state, request, *messages)


def cancel_attempt(state, request, attempt, verdict):
    """End an attempt whose response is not needed any more."""
    messages = (build_report(state, request, attempt, verdict),)
    if attempt.phase is AttemptPhase.SENT:
        messages += (Envelope(UPSTREAMS, ClientRequestCancel(attempt.key)),)
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    return end_pipe(state, request, *messages)


def cancel_all(state, request, verdict):
    """Cancel every live attempt of a request."""
    messages = ()
    for attempt in live_attempts(request):
        step = cancel_attempt(state, request, attempt, verdict)
        request = step.item
        messages += step.messages
    return end_pipe(state, request, *messages)
