"""Decisions on the parts of a request body that follow its head."""

from comfreyusher.entry._client_accounts import identify_client_account
from comfreyusher.entry._fingerprint import is_complete, update_fingerprint
from comfreyusher.entry._grant_requests import begin_attempt, live_attempts
from comfreyusher.entry._responses import CALLERS
from comfreyusher.entry._state import AttemptPhase
from comfreyusher.entry._tokens import require_token
from comfreyusher.flow import Envelope, end_pipe, pipe, replace
from comfreyusher.messages import ClientRequestBody, RequestCredit

UPSTREAMS = "upstreams"
MAX_BUFFERED_BODY_BYTES = 1 << 20
# The key may have been removed while the request waited for its body.
RELEASE_PIPE = pipe(identify_client_account, require_token, begin_attempt)
# Parts below this size are joined: each part costs memory and work of its own.
MIN_PART_BYTES = 16384


def credit_caller(request, size_bytes):
    """Return the messages that grant flow-control credit to the caller."""
    if not size_bytes:
        return ()
    credit = RequestCredit(
        request.exchange, size_bytes, buffered=not request.body_released
    )
    return (Envelope(CALLERS, credit),)


def append_part(parts, data):
    """Return the parts of a body with one more, joined to a short last part."""
    if not data:
        return parts
    if parts and len(parts[-1]) < MIN_PART_BYTES:
        return (*parts[:-1], parts[-1] + data)
    return (*parts, data)


def waits_for_whole_body(request):
    """Tell whether a request must not be sent before its whole body is here.

    A body that is too large to be buffered is sent while it arrives.
    """
    if not request.start.crowded or request.body_ended:
        return False
    return request.buffered_bytes < MAX_BUFFERED_BODY_BYTES


def may_be_sent(request):
    """Tell whether what a request was held for is here."""
    return is_complete(request) and not waits_for_whole_body(request)


def add_body(state, request, chunk):
    """Buffer a part of a body up to a limit, and forward it to the upstreams."""
    size = request.buffered_bytes + len(chunk.body)
    sent = [a for a in live_attempts(request) if a.phase is AttemptPhase.SENT]
    was_complete = is_complete(request)
    request = replace(request, body_ended=chunk.ended)
    credits = ()
    if request.body_released or (sent and size > MAX_BUFFERED_BODY_BYTES):
        request = replace(request, body_parts=(), body_released=True)
    else:
        request = replace(
            request,
            body_parts=append_part(request.body_parts, chunk.body),
            buffered_bytes=size,
        )
        if size <= MAX_BUFFERED_BODY_BYTES:
            credits = credit_caller(request, len(chunk.body))
    sends = (
        Envelope(UPSTREAMS, ClientRequestBody(attempt.key, chunk.body, chunk.ended))
        for attempt in sent
    )
    if not was_complete and request.fingerprint:
        request = replace(request, fingerprint=update_fingerprint(request))
    if request.held_for_body and may_be_sent(request):
        step = RELEASE_PIPE(state, replace(request, held_for_body=False))
        return end_pipe(step.state, step.item, *credits, *step.messages)
    return end_pipe(state, request, *credits, *sends)


def release_body(request):
    """Return the request without a body that is too large to be buffered.

    Called when the body is sent to an upstream. From then on the caller sends
    as fast as the upstream reads.
    """
    if request.buffered_bytes <= MAX_BUFFERED_BODY_BYTES:
        return request
    return replace(request, body_parts=(), body_released=True)


def handle_request_credit(state, request, credit):
    """Pass the upstream's credit to the caller if the body is not buffered."""
    if not request.body_released:
        return end_pipe(state, request)
    return end_pipe(state, request, *credit_caller(request, credit.size_bytes))
