"""Decisions on the grants of owners: to use one, to return it, or to refuse."""

from comfreyusher.entry._attempt_ends import (
    build_report,
    dispatch_context,
    end_attempt,
    end_unreached,
    find_attempt,
)
from comfreyusher.entry._body import UPSTREAMS, release_body
from comfreyusher.entry._client_accounts import name_account
from comfreyusher.entry._connections import find_max_idle_s, record_used_connection
from comfreyusher.entry._fingerprint import is_quarantined
from comfreyusher.entry._grant_requests import (
    MAX_ATTEMPTS,
    begin_attempt,
    give_up,
    live_attempts,
    replace_attempt,
)
from comfreyusher.entry._state import AttemptPhase
from comfreyusher.entry._statements import (
    find_statement,
    is_refused_by,
    is_unaware,
)
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import (
    ClientRequestStart,
    Verdict,
    replace_headers,
)
from comfreyusher.platform import UpstreamHeaders, build_upstream_head
from comfreyusher.telemetry import format_context

CONNECT_TIMEOUT_S = 0.15
CROSS_REGION_CONNECT_TIMEOUT_S = 0.4
SHUTDOWN_RETRY_AFTER_MS = 50
MIN_SHUTDOWN_WORK_S = 0.3
SHUTDOWN_TYPICAL_FACTOR = 2.0


def handle_grant(state, request, grant):
    """Send the request to the upstream that the owner granted."""
    attempt = find_attempt(request, grant.key)
    if attempt is None or attempt.phase is AttemptPhase.SENT:
        return end_pipe(state, request)
    if request.body_released:
        return end_attempt(state, request, attempt, Verdict.CANCELLED)
    if grant.upstream in state.departed:
        attempt = replace(attempt, upstream=grant.upstream)
        return end_unreached(state, request, attempt)
    if is_unaware(state, grant) and len(request.attempts) < MAX_ATTEMPTS:
        return _return_grant(state, request, attempt, grant)
    if is_refused_by(state, grant):
        return end_attempt(state, request, attempt, Verdict.CANCELLED)
    if _ends_too_soon(state, grant):
        return _refuse_for_shutdown(state, request, attempt, grant)
    remaining_s = min(request.deadline_s, state.last_response_s) - state.now_s
    is_refused = remaining_s <= 0 or is_quarantined(state, request)
    attempt = replace(
        attempt,
        phase=AttemptPhase.SENT,
        upstream=grant.upstream,
        sent_s=state.now_s,
        typical_s=grant.typical_ms / 1000,
        started_ms=grant.started_ms,
        hedge_after_s=grant.hedge_after_ms / 1000,
    )
    request = replace_attempt(request, attempt)
    if is_refused:
        return end_attempt(state, request, attempt, Verdict.CANCELLED)
    head = build_upstream_head(
        _traced_head(request, attempt),
        grant.upstream,
        int(remaining_s * 1000),
        request.request_id,
        name_account(state, request),
    )
    cross_region = attempt.region != state.region
    upstream_request = ClientRequestStart(
        attempt.key,
        grant.host,
        grant.port,
        head,
        b"".join(request.body_parts),
        request.body_ended,
        find_max_idle_s(request.match.route),
        request.request_id,
        CROSS_REGION_CONNECT_TIMEOUT_S if cross_region else CONNECT_TIMEOUT_S,
    )
    group_name = attempt.grant_request.group
    state = record_used_connection(state, group_name, grant.upstream)
    return end_pipe(state, release_body(request), Envelope(UPSTREAMS, upstream_request))


def _return_grant(state, request, attempt, grant):
    """Tell an owner what the upstream said to this node, and ask it once more."""
    statement = find_statement(state, grant.upstream, grant.started_ms)
    attempt = replace(
        attempt,
        phase=AttemptPhase.ENDED,
        upstream=grant.upstream,
        started_ms=grant.started_ms,
        said=UpstreamHeaders(
            limit_per_s=statement.limit_per_s,
            retry_after_s=max(0.0, statement.refuses_until_s - state.now_s),
        ),
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
    context = format_context(dispatch_context(request, attempt))
    added = ((b"traceparent", context.encode()),)
    return replace(
        head, headers=replace_headers(head.headers, (b"traceparent",), added)
    )
