"""Decisions on requests that time out, and at shutdown."""

from comfreyusher.entry._attempt_ends import cancel_all
from comfreyusher.entry._attempts import TIMEOUT_STATUS
from comfreyusher.entry._grant_requests import live_attempts
from comfreyusher.entry._responses import send_error, send_held_response
from comfreyusher.entry._state import AttemptPhase
from comfreyusher.flow import end_pipe
from comfreyusher.messages import Outcome, Verdict

RESPONSE_GRACE_S = 0.1
STREAM_GRACE_S = 0.4
BODY_TIMEOUT_STATUS = 408


def end_overdue(state, request):
    """Cancel the attempts of an overdue request and send an error response."""
    not_run_reason = "no upstream was free before the deadline"
    if request.held_for_body:
        not_run_reason = "the request body did not come before the deadline"
    return _end_unanswered(
        state, request, "no answer came before the deadline", not_run_reason
    )


def end_for_shutdown(state, request):
    """Answer a request that is unanswered when this node has to end.

    A response that only waits for the replication of its account entry is sent.
    """
    if request.held_responses:
        return send_held_response(state, request, None)
    reason = "this node ended before an answer came"
    return _end_unanswered(state, request, reason, reason)


def end_stalled_body(state, request, _):
    """Answer a request whose caller stopped sending its body.

    An upstream may already work on what has arrived. A response that only waits for
    the replication of its account entry is sent after that.
    """
    if request.held_responses:
        return end_pipe(state, request)
    reason = "the request body took too long"
    return _end_unanswered(
        state, request, reason, reason, BODY_TIMEOUT_STATUS, Verdict.CANCELLED
    )


def _end_unanswered(
    state,
    request,
    unknown_reason,
    not_run_reason,
    not_run_status=503,
    verdict=Verdict.LATE,
):
    """End a request; status and reason depend on whether it may have run.

    ``verdict`` is the one on its attempts.
    """
    reached_upstream = any(
        attempt.phase is AttemptPhase.SENT for attempt in live_attempts(request)
    )
    cancels = cancel_all(state, request, verdict)
    request = cancels.item
    if reached_upstream or request.may_have_run:
        step = send_error(
            state, request, Outcome.UNKNOWN, TIMEOUT_STATUS, unknown_reason
        )
    else:
        step = send_error(
            state, request, Outcome.NOT_RUN, not_run_status, not_run_reason
        )
    return end_pipe(step.state, step.item, *cancels.messages, *step.messages)


def is_overdue(request, now):
    """Tell whether a request is past its deadline and a grace period.

    An upstream stops by itself at the deadline. The grace period leaves time for
    its response to arrive.
    """
    if request.held_responses or not request.deadline_s:
        return False
    return now > request.deadline_s + _grace_s(request)


def _grace_s(request):
    if request.streaming_attempt:
        return STREAM_GRACE_S
    waits_for_upstream = any(a.phase is AttemptPhase.SENT for a in request.attempts)
    return RESPONSE_GRACE_S if waits_for_upstream else 0.0
