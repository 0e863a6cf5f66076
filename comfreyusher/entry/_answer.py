"""Answers to callers: outcome, status, headers and account."""

import dataclasses

from comfreyusher.accounts import RequestEnded
from comfreyusher.entry._messages import Forget
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.http import build_text_response
from comfreyusher.messages import (
    Outcome,
    ResponseAbort,
    ResponseBody,
    ResponseHead,
    ResponseStart,
)
from comfreyusher.platform import mark_answer
from comfreyusher.telemetry import HopEnded, RequestMeasured

OUTCOME_HEADER = b"Comfreyusher-Outcome"
REQUEST_ID_HEADER = b"Request-Id"
UPSTREAM_HEADER = b"Comfreyusher-Upstream"
RETRY_AFTER_HEADER = b"Retry-After"
OWN_NAMES = frozenset(
    name.lower() for name in (OUTCOME_HEADER, REQUEST_ID_HEADER, UPSTREAM_HEADER)
)
CALLERS = "callers"


def refuse(state, visit, outcome, status, reason, retry_after_ms=0):
    """Answer a caller that no upstream's answer will come."""
    if visit.streaming:
        messages = (Envelope(CALLERS, ResponseAbort(visit.exchange)),)
    else:
        messages = _say(visit, outcome, status, reason, retry_after_ms)
    messages += finish(state, visit, outcome, status, reason)
    return end_pipe(state, visit, *messages)


def _say(visit, outcome, status, reason, retry_after_ms):
    headers = [
        (OUTCOME_HEADER, outcome.value.encode()),
        (REQUEST_ID_HEADER, visit.request_id.encode("latin-1")),
        *mark_answer(visit.request_id),
    ]
    if retry_after_ms and outcome is Outcome.NOT_RUN:
        seconds = f"{retry_after_ms / 1000:.2f}".encode()
        headers.append((RETRY_AFTER_HEADER, seconds))
    text = f"{reason} ({outcome.value})"
    head, body = build_text_response(status, text, headers)
    return (Envelope(CALLERS, ResponseStart(visit.exchange, head, body, ended=True)),)


def finish(state, visit, outcome, status, reason=""):
    """Return the messages that end a visit: account, metric, span."""
    messages = (Envelope("entry", Forget(visit.exchange, outcome, status, reason)),)
    if visit.accounted:
        took_ms = int((state.now_s - visit.began_s) * 1000)
        ended_ms = visit.began_ms + took_ms
        ended = RequestEnded(visit.exchange, outcome.value, status, ended_ms)
        messages += (Envelope("accounts", ended),)
    service = visit.match.service if visit.match else ""
    duration_s = state.now_s - visit.began_s
    measured = RequestMeasured(service, outcome.value, status, duration_s)
    messages += (Envelope("telemetry", measured),)
    if visit.trace.sampled:
        messages += (Envelope("telemetry", _span(state, visit, outcome, status)),)
    return messages


def _span(state, visit, outcome, status):
    owner = visit.attempts[-1].owner if visit.attempts else ""
    attributes = (
        ("comfreyusher.request_id", visit.request_id),
        ("comfreyusher.outcome", outcome.value),
        ("comfreyusher.owner", owner),
        ("http.request.method", visit.request.head.method),
        ("http.response.status_code", status),
    )
    return HopEnded(
        "entry",
        visit.trace,
        visit.trace_before,
        visit.began_s,
        state.now_s,
        attributes,
    )


# Answers of upstreams ------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete answer of an upstream."""

    head: ResponseHead
    body: bytes
    upstream: str


def deliver(state, visit, answer):
    """Give the caller an upstream's complete answer, once it is accounted."""
    if visit.accounted and not visit.copied:
        return end_pipe(state, replace(visit, answers=(answer,)))
    start = ResponseStart(
        visit.exchange,
        _head_for(visit, answer.head, answer.upstream),
        answer.body,
        True,
    )
    messages = finish(state, visit, Outcome.DONE, answer.head.status)
    return end_pipe(state, visit, Envelope(CALLERS, start), *messages)


def begin_stream(state, visit, attempt):
    """Begin to pass on an answer that is too large to be held."""
    visit = replace(visit, streaming=attempt.ask.attempt)
    head = _head_for(visit, attempt.head, attempt.upstream)
    start = ResponseStart(visit.exchange, head, b"".join(attempt.parts))
    return end_pipe(state, visit, Envelope(CALLERS, start))


def continue_stream(state, visit, attempt, body, ended):
    """Pass on more of an answer; end the visit with its last byte."""
    more = Envelope(CALLERS, ResponseBody(visit.exchange, body, ended))
    if not ended:
        return end_pipe(state, visit, more)
    messages = finish(state, visit, Outcome.DONE, attempt.head.status)
    return end_pipe(state, visit, more, *messages)


def confirm_copy(state, visit, confirmed):
    """Release the answer that waited for the copy of its account entry."""
    answers = visit.answers
    visit = replace(visit, copied=True, answers=())
    if not answers:
        return end_pipe(state, visit)
    return deliver(state, visit, answers[0])


def _head_for(visit, head, upstream):
    kept = tuple(pair for pair in head.headers if pair[0].lower() not in OWN_NAMES)
    added = (
        (OUTCOME_HEADER, Outcome.DONE.value.encode()),
        (REQUEST_ID_HEADER, visit.request_id.encode("latin-1")),
        (UPSTREAM_HEADER, upstream.encode("latin-1")),
    )
    return ResponseHead(head.status, kept + added, head.reason)
