"""The pipe of a new request, up to the grant request to the owner of a group."""

import uuid6

from comfreyusher.accounts import AccountEntry, RequestAccepted
from comfreyusher.entry._body import waits_for_whole_body
from comfreyusher.entry._client_accounts import identify_client_account
from comfreyusher.entry._fingerprint import (
    compute_fingerprint,
    may_be_quarantined,
    parse_host,
)
from comfreyusher.entry._grant_requests import begin_attempt
from comfreyusher.entry._responses import send_error
from comfreyusher.entry._state import ActiveRequest
from comfreyusher.entry._tokens import require_token
from comfreyusher.flow import Envelope, continue_pipe, end_pipe, pipe, replace
from comfreyusher.messages import Outcome, find_header
from comfreyusher.platform import parse_caller_headers
from comfreyusher.routing import (
    find_customer,
    find_customer_by_host,
    find_route,
    has_client_accounts,
    has_routes,
)
from comfreyusher.telemetry import derive_context, parse_context, start_context

DEADLINE_HEADER = b"request-deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MAX_DEADLINE_DIGITS = 9
STARTING_RETRY_AFTER_MS = 500
NO_PROFILE_RETRY_AFTER_MS = 5000


def build_request(state, start, now_s, now_ms):
    """Return the ``ActiveRequest`` of a request that arrives now.

    ``now_s`` is monotonic, ``now_ms`` of the wall clock.
    """
    parent = None
    for name, value in start.head.headers:
        if name.lower() == b"traceparent":
            parent = parse_context(value.decode("latin-1"))
    if parent is None:
        context = start_context(state.sampling_ratio)
    else:
        context = derive_context(parent, f"{state.node}/{start.exchange}")
    return ActiveRequest(
        start.exchange,
        start if start.ended else replace(start, body=b""),
        parse_caller_headers(start.head).request_id or uuid6.uuid7().hex,
        context,
        now_s,
        now_ms,
        parent,
        body_parts=(start.body,) if start.body else (),
        buffered_bytes=len(start.body),
        body_ended=start.ended,
    )


def require_configuration(state, request):
    """Reject the request if the node has no configuration yet."""
    if not state.ready or not has_routes(state.table):
        reason = "this node has no configuration yet"
        return send_error(
            state, request, Outcome.NOT_RUN, 503, reason, STARTING_RETRY_AFTER_MS
        )
    return continue_pipe(state, request)


def find_service(state, request):
    """Find the route, service and profile by host, path and method."""
    head = request.start.head
    match = find_route(
        state.table, head.method, parse_host(head), head.target, request.request_id
    )
    if match is None:
        reason = "no service has a route for this method and path"
        return send_error(state, request, Outcome.NOT_RUN, 404, reason)
    if match.profile is None:
        reason = f"service {match.service} runs under a profile that is not declared"
        return send_error(
            state, request, Outcome.NOT_RUN, 503, reason, NO_PROFILE_RETRY_AFTER_MS
        )
    return continue_pipe(state, replace(request, match=match))


def identify_customer(state, request):
    """Find the customer by the key in the request, or by its host."""
    head = request.start.head
    value = _find_credentials(state, head)
    if value.lower().startswith(BEARER):
        customer = find_customer(state.table, value[len(BEARER) :].strip())
    else:
        customer = find_customer_by_host(state.table, parse_host(head)) or None
    if customer is None and state.keys_required:
        reason = "send a customer's key as 'Authorization: Bearer KEY'"
        return send_error(state, request, Outcome.NOT_RUN, 401, reason)
    return continue_pipe(state, replace(request, customer=customer or ""))


def _find_credentials(state, head):
    """Return the value of ``Authorization`` that may hold a customer's key.

    Where requests carry the key of a client account, a customer's key may stand in
    another ``Authorization`` beside it.
    """
    if has_client_accounts(state.table):
        for name, value in head.headers:
            text = value.decode("latin-1").strip()
            if name.lower() == AUTHORIZATION and text.lower().startswith(BEARER):
                return text
    return find_header(head, AUTHORIZATION) or ""


def open_account(state, request):
    """Begin an entry for the request in its customer's account."""
    if not request.customer:
        return continue_pipe(state, request)
    entry = AccountEntry(
        state.node,
        0,
        request.arrived_ms,
        request.request_id,
        request.customer,
        request.match.service,
        request.start.head.method,
        request.start.head.target,
    )
    request = replace(request, accounted=True)
    return continue_pipe(
        state, request, Envelope("accounts", RequestAccepted(request.exchange, entry))
    )


def set_deadline(state, request):
    """Set the deadline of the route, or the caller's if that is earlier.

    While this node shuts down, no request may last longer than the node does.
    """
    caller_headers = parse_caller_headers(request.start.head)
    if caller_headers.fault:
        return send_error(state, request, Outcome.NOT_RUN, 400, caller_headers.fault)
    route = request.match.route
    limit_ms = route.deadline_ms
    header = find_header(request.start.head, DEADLINE_HEADER)
    if header is not None:
        if not header.isdecimal() or len(header) > MAX_DEADLINE_DIGITS:
            reason = "Request-Deadline-Ms must be a whole number of milliseconds"
            return send_error(state, request, Outcome.NOT_RUN, 400, reason)
        limit_ms = min(limit_ms, int(header))
    if caller_headers.deadline_ms is not None:
        limit_ms = min(limit_ms, caller_headers.deadline_ms)
    target_ms = min(limit_ms, route.target_ms or limit_ms)
    last_s = state.last_response_s
    request = replace(
        request,
        deadline_s=min(last_s, request.arrived_s + limit_ms / 1000),
        target_s=min(last_s, request.arrived_s + target_ms / 1000),
        fingerprint=compute_fingerprint(request),
    )
    return continue_pipe(state, request)


def wait_for_body(state, request):
    """Hold the request until its body shows whether it is quarantined.

    While many requests are being received, hold it until its body is here.
    """
    if may_be_quarantined(state, request) or waits_for_whole_body(request):
        return end_pipe(state, replace(request, held_for_body=True))
    return continue_pipe(state, request)


ARRIVAL_PIPE = pipe(
    require_configuration,
    identify_customer,
    find_service,
    identify_client_account,
    open_account,
    set_deadline,
    wait_for_body,
    require_token,
    begin_attempt,
)
