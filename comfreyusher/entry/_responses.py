"""Responses to callers: outcome, status, headers and account entry."""

import dataclasses

from comfreyusher.accounts import RequestEnded
from comfreyusher.entry._messages import RequestFinished
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.http import build_text_response
from comfreyusher.messages import (
    Outcome,
    ResponseAbort,
    ResponseBody,
    ResponseHead,
    ResponseHeld,
    ResponseStart,
)
from comfreyusher.platform import build_request_id_headers
from comfreyusher.quota import TokenReturned
from comfreyusher.telemetry import RequestMeasured, SpanEnded

OUTCOME_HEADER = b"Comfreyusher-Outcome"
REQUEST_ID_HEADER = b"Request-Id"
UPSTREAM_HEADER = b"Comfreyusher-Upstream"
RETRY_AFTER_HEADER = b"Retry-After"
KEY_CHALLENGE = (b"WWW-Authenticate", b"Token")
OWN_HEADER_NAMES = frozenset(
    name.lower() for name in (OUTCOME_HEADER, REQUEST_ID_HEADER, UPSTREAM_HEADER)
)
CALLERS = "callers"
# Statuses by which callers take a request for one that has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
UNKNOWN_STATUS = 502


def send_error(state, request, outcome, status, reason, retry_after_ms=0):
    """End a request with an error response, or abort a response that has started.

    ``outcome`` tells the caller whether the request may have run.
    """
    if request.streaming_attempt:
        messages = (Envelope(CALLERS, ResponseAbort(request.exchange)),)
    else:
        messages = _build_error(request, outcome, status, reason, retry_after_ms)
    messages += finish(state, request, outcome, status, reason)
    return end_pipe(state, request, *messages)


def _build_error(request, outcome, status, reason, retry_after_ms):
    headers = [
        (OUTCOME_HEADER, outcome.value.encode()),
        (REQUEST_ID_HEADER, request.request_id.encode("latin-1")),
        *build_request_id_headers(request.request_id),
    ]
    if retry_after_ms and outcome is Outcome.NOT_RUN:
        seconds = f"{retry_after_ms / 1000:.2f}".encode()
        headers.append((RETRY_AFTER_HEADER, seconds))
    if request.key_fault and status == 401:
        headers.append(KEY_CHALLENGE)
    text = f"{reason} ({outcome.value})"
    head, body = build_text_response(status, text, headers)
    return (Envelope(CALLERS, ResponseStart(request.exchange, head, body, ended=True)),)


def finish(state, request, outcome, status, reason=""):
    """Return the messages that end a request: log, account entry, metric, span."""
    messages = (
        Envelope("entry", RequestFinished(request.exchange, outcome, status, reason)),
    )
    if request.has_token and outcome is Outcome.NOT_RUN:
        returned = TokenReturned(request.client_account.name)
        messages += (Envelope("quota", returned),)
    if request.accounted:
        took_ms = int((state.now_s - request.arrived_s) * 1000)
        ended_ms = request.arrived_ms + took_ms
        ended = RequestEnded(request.exchange, outcome.value, status, ended_ms)
        messages += (Envelope("accounts", ended),)
    service = request.match.service if request.match else ""
    duration_s = state.now_s - request.arrived_s
    measured = RequestMeasured(service, outcome.value, status, duration_s)
    messages += (Envelope("telemetry", measured),)
    if request.trace.sampled:
        messages += (
            Envelope("telemetry", _build_span(state, request, outcome, status)),
        )
    return messages


def _build_span(state, request, outcome, status):
    owner = request.attempts[-1].owner if request.attempts else ""
    attributes = (
        ("comfreyusher.request_id", request.request_id),
        ("comfreyusher.outcome", outcome.value),
        ("comfreyusher.owner", owner),
        ("http.request.method", request.start.head.method),
        ("http.response.status_code", status),
    )
    return SpanEnded(
        "entry",
        request.trace,
        request.parent_trace,
        request.arrived_s,
        state.now_s,
        attributes,
    )


# Responses of upstreams ----------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    head: ResponseHead
    body: bytes
    upstream: str


def is_unconfirmed_refusal(request, head):
    """Tell whether an upstream's status would make a promise to the caller.

    An upstream states in a header that it has not run a request. Such a request is
    retried or answered by this node, so its response is never sent to the caller. A
    response without the statement may follow a run, whatever its status is. An
    idempotent request may be repeated, so its response is sent unchanged.
    """
    return head.status in NOT_RUN_STATUSES and not request.match.route.idempotent


def replace_refusal(state, request, head):
    """End a request whose upstream refused it and may have run it."""
    reason = f"the upstream answered {head.status} and may have run the request"
    return send_error(state, request, Outcome.UNKNOWN, UNKNOWN_STATUS, reason)


def send_response(state, request, response):
    """Send a complete response, or hold it until replication has finished.

    Only responses of requests with an account entry wait for replication.
    """
    if is_unconfirmed_refusal(request, response.head):
        return replace_refusal(state, request, response.head)
    if request.accounted and not request.replication_finished:
        held = ResponseHeld(request.exchange, len(response.body))
        request = replace(request, held_responses=(response,))
        return end_pipe(state, request, Envelope(CALLERS, held))
    start = ResponseStart(
        request.exchange,
        _build_head(request, response.head, response.upstream),
        response.body,
        True,
    )
    messages = finish(state, request, Outcome.DONE, response.head.status)
    return end_pipe(state, request, Envelope(CALLERS, start), *messages)


def start_stream(state, request, attempt):
    """Start to stream a response that is too large to be held."""
    request = replace(request, streaming_attempt=attempt.grant_request.attempt)
    head = _build_head(request, attempt.head, attempt.upstream)
    start = ResponseStart(request.exchange, head, b"".join(attempt.body_parts))
    return end_pipe(state, request, Envelope(CALLERS, start))


def continue_stream(state, request, attempt, body, ended):
    """Stream more of a response, and end the request with the last part."""
    envelope = Envelope(CALLERS, ResponseBody(request.exchange, body, ended))
    if not ended:
        return end_pipe(state, request, envelope)
    messages = finish(state, request, Outcome.DONE, attempt.head.status)
    return end_pipe(state, request, envelope, *messages)


def send_held_response(state, request, finished):
    """Send the response that was held until replication finished, if there is one."""
    held_responses = request.held_responses
    request = replace(request, replication_finished=True, held_responses=())
    if not held_responses:
        return end_pipe(state, request)
    return send_response(state, request, held_responses[0])


def _build_head(request, head, upstream):
    kept = tuple(
        pair for pair in head.headers if pair[0].lower() not in OWN_HEADER_NAMES
    )
    added = (
        (OUTCOME_HEADER, Outcome.DONE.value.encode()),
        (REQUEST_ID_HEADER, request.request_id.encode("latin-1")),
        (UPSTREAM_HEADER, upstream.encode("latin-1")),
    )
    return ResponseHead(head.status, kept + added, head.reason)
