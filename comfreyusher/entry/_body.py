"""Decisions on the bytes of a request body that follow its head."""

from comfreyusher.entry._answer import CALLERS
from comfreyusher.entry._ask import live_attempts
from comfreyusher.entry._state import Phase
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import ClientRequestBody, RequestCredit

UPSTREAMS = "upstreams"
MAX_KEPT_BODY_BYTES = 1 << 20


def credit_caller(visit, size_bytes):
    """Return the messages that let the caller send more of its body."""
    if not size_bytes:
        return ()
    return (Envelope(CALLERS, RequestCredit(visit.exchange, size_bytes)),)


def take_body(state, visit, more):
    """Keep body bytes as long as they are few, and pass them on."""
    size = visit.kept_bytes + len(more.body)
    sent = [a for a in live_attempts(visit) if a.phase is Phase.SENT]
    visit = replace(visit, body_ended=more.ended)
    credits = ()
    if visit.body_moved or (sent and size > MAX_KEPT_BODY_BYTES):
        visit = replace(visit, parts=(), body_moved=True)
    else:
        visit = replace(visit, parts=(*visit.parts, more.body), kept_bytes=size)
        if size <= MAX_KEPT_BODY_BYTES:
            credits = credit_caller(visit, len(more.body))
    sends = (
        Envelope(UPSTREAMS, ClientRequestBody(attempt.key, more.body, more.ended))
        for attempt in sent
    )
    return end_pipe(state, visit, *credits, *sends)


def release_body(visit):
    """Return the visit without a body that is too large to be kept.

    It is called once an upstream gets the body. From then on the caller sends
    as fast as the upstream takes.
    """
    if visit.kept_bytes <= MAX_KEPT_BODY_BYTES:
        return visit
    return replace(visit, parts=(), body_moved=True)


def pass_credit(state, visit, credit):
    """Let the caller send more of a body that is not kept."""
    if not visit.body_moved:
        return end_pipe(state, visit)
    return end_pipe(state, visit, *credit_caller(visit, credit.size_bytes))
