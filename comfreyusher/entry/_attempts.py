"""Decisions on the messages of owners and upstreams about an attempt."""

from comfreyusher.entry._attempt_ends import (
    build_report,
    cancel_others,
    end_attempt,
    end_unreached,
    find_attempt,
)
from comfreyusher.entry._body import UPSTREAMS
from comfreyusher.entry._connections import record_idle_connection
from comfreyusher.entry._grant_requests import (
    LOW_RISK,
    begin_attempt,
    give_up,
    live_attempts,
    replace_attempt,
    request_from_first_owner,
    request_from_next_owner,
    try_other_region,
)
from comfreyusher.entry._hedges import handle_hedge_denial
from comfreyusher.entry._responses import (
    UpstreamResponse,
    continue_stream,
    is_unconfirmed_refusal,
    replace_refusal,
    send_held_response,
    send_response,
    start_stream,
)
from comfreyusher.entry._state import (
    AttemptPhase,
    GrantConditions,
)
from comfreyusher.entry._statements import record_statement
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import (
    HEDGE_DENIALS,
    ClientRequestCancel,
    DenialReason,
    InterimResponse,
    Verdict,
    find_header,
)
from comfreyusher.platform import (
    parse_upstream_headers,
)

STREAM_THRESHOLD_BYTES = 65536
MAX_ATTEMPTS_WITH_RETURNS = 8  # leaves some for other retries
FAULT_STATUSES = frozenset((500, 502, 503, 504))
TIMEOUT_STATUS = 504
REFUSAL_REASON_HEADER = b"request-refused"
DRAINING = "draining"


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


def handle_denial(state, request, denial):
    """Ask another owner or another region, or give up."""
    attempt = find_attempt(request, denial.key)
    if attempt is None or attempt.phase is AttemptPhase.SENT:
        return end_pipe(state, request)
    if denial.reason in (DenialReason.NOT_OWNER, DenialReason.LEAVING):
        if attempt.owner != state.node:
            return request_from_next_owner(state, request, attempt)
    if denial.reason in HEDGE_DENIALS:
        return handle_hedge_denial(state, request, attempt, denial)
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    if live_attempts(request):
        return end_pipe(state, request)
    if _may_ask_first_owner(request, attempt, denial):
        return request_from_first_owner(state, request, attempt)
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


def _may_ask_first_owner(request, attempt, denial):
    """Tell whether a later owner denied a retry that the first one may grant.

    The first owner has counted the requests of the group, and has most of its
    budget of retries. It may only have been slow.
    """
    if denial.reason is not DenialReason.OVER_BUDGET:
        return False
    is_later = attempt.grant_request.owner_rank > 0
    return is_later and len(request.attempts) < MAX_ATTEMPTS_WITH_RETURNS


# Responses ----------------------------------------------------------------------


def handle_response_start(state, request, response):
    """Hold a response until it is complete or too large to be held."""
    attempt = find_attempt(request, response.exchange)
    if attempt is None:
        return _discard_response(state, request, response)
    attempt = replace(
        attempt,
        said=parse_upstream_headers(response.head),
        head=response.head,
        body_parts=(response.body,),
        size_bytes=len(response.body),
    )
    request = replace_attempt(request, attempt)
    statement = record_statement(state, attempt)
    if response.ended:
        step = handle_complete_response(statement.state, request, attempt)
    else:
        step = _stream_if_large(statement.state, request, attempt)
    return end_pipe(step.state, step.item, *statement.messages, *step.messages)


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
    verdict = classify_response(attempt.head, attempt.said)
    if verdict is not Verdict.GOOD:
        return _end_large_failure(state, request, attempt, verdict)
    if is_unconfirmed_refusal(request, attempt.head):
        return _end_large_refusal(state, request, attempt)
    if request.accounted and not request.replication_finished:
        return end_pipe(state, request)
    step = start_stream(state, request, attempt)
    cancels = cancel_others(step.state, step.item, attempt)
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


def _end_large_refusal(state, request, attempt):
    """End a request whose large response must not be sent to the caller.

    Its upstream has answered, so that the attempt is reported as a good one.
    """
    cancel = Envelope(UPSTREAMS, ClientRequestCancel(attempt.key))
    report = build_report(state, request, attempt, Verdict.GOOD)
    request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
    step = replace_refusal(state, request, attempt.head)
    return end_pipe(step.state, step.item, cancel, report, *step.messages)


def classify_response(head, upstream_headers):
    """Return the verdict on a response, judged by its head and what that says."""
    if upstream_headers.misdirected:
        return Verdict.MISDIRECTED
    if upstream_headers.not_run:
        is_draining = find_header(head, REFUSAL_REASON_HEADER) == DRAINING
        return Verdict.DRAINING if is_draining else Verdict.SHED
    if head.status == TIMEOUT_STATUS:
        return Verdict.LATE
    if head.status in FAULT_STATUSES:
        return Verdict.FAULT
    if head.status < 300 and not upstream_headers.sealed:
        return Verdict.BROKEN
    return Verdict.GOOD


def handle_complete_response(state, request, attempt):
    """Send a complete response to the caller, or retry after a failure."""
    verdict = classify_response(attempt.head, attempt.said)
    if verdict is Verdict.GOOD:
        state = record_idle_connection(state, attempt)
        report = build_report(state, request, attempt, verdict)
        request = replace_attempt(request, replace(attempt, phase=AttemptPhase.ENDED))
        cancels = cancel_others(state, request, attempt)
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
        return end_unreached(state, request, attempt)
    if failure.response_started:
        return end_attempt(state, request, attempt, Verdict.BROKEN)
    return end_attempt(state, request, attempt, Verdict.CRASHED)


def handle_interim_response(state, request, interim):
    """Forward a 1xx response to the caller."""
    if request.streaming_attempt or find_attempt(request, interim.exchange) is None:
        return end_pipe(state, request)
    response = InterimResponse(request.exchange, interim.head)
    return end_pipe(state, request, Envelope("callers", response))
