"""Decisions on the end of an attempt: its report, a retry, or giving up."""

from comfreyusher.entry._body import UPSTREAMS
from comfreyusher.entry._grant_requests import (
    MAX_ATTEMPTS,
    begin_attempt,
    give_up,
    live_attempts,
    max_sends,
    replace_attempt,
)
from comfreyusher.entry._messages import SendReport
from comfreyusher.entry._state import AttemptPhase
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import (
    NOT_RUN_VERDICTS,
    AttemptReport,
    ClientRequestCancel,
    CrashNotice,
    Verdict,
)
from comfreyusher.quarantine import CrashObserved
from comfreyusher.telemetry import SpanEnded, derive_context

ENTRY = "entry"
AVOID_UNREACHED_S = 3.0
MIN_RETRY_REMAINING_S = 0.02
REFUSED_RETRY_AFTER_MS = 500


def find_attempt(request, key):
    """Return the attempt with a key, if it has not ended."""
    if not 0 < key.attempt <= len(request.attempts):
        return None
    attempt = request.attempts[key.attempt - 1]
    return attempt if attempt.phase is not AttemptPhase.ENDED else None


def dispatch_context(request, attempt):
    """Return the trace context of an attempt for its upstream."""
    owner = derive_context(request.trace, "owner")
    return derive_context(owner, f"dispatch-{attempt.grant_request.attempt}")


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
        attempt.said.limit_per_s,
        attempt.said.leaving,
        int(attempt.said.retry_after_s * 1000),
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


def cancel_others(state, request, kept):
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


def end_unreached(state, request, attempt):
    """End an attempt that was not sent, and avoid its upstream for a while."""
    avoided_upstreams = state.avoided_upstreams.set(
        attempt.upstream, state.now_s + AVOID_UNREACHED_S
    )
    state = replace(state, avoided_upstreams=avoided_upstreams)
    return end_attempt(state, request, attempt, Verdict.UNREACHED)
