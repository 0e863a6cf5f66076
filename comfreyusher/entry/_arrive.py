"""The pipe of an arriving request, up to its ask to the owner of a group."""

import xxhash

from comfreyusher.accounts import AccountEntry, RequestAccepted
from comfreyusher.entry._answer import refuse
from comfreyusher.entry._ask import begin_attempt
from comfreyusher.flow import Envelope, continue_pipe, pipe, replace
from comfreyusher.messages import Outcome, find_header
from comfreyusher.platform import read_call
from comfreyusher.routing import (
    find_customer,
    find_host_customer,
    find_route,
    has_routes,
)

DEADLINE_HEADER = b"request-deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MAX_DEADLINE_DIGITS = 9
STARTING_RETRY_MS = 500
NO_PROFILE_RETRY_MS = 5000


def require_configuration(state, visit):
    """Serve only with a configuration."""
    if not state.ready or not has_routes(state.table):
        reason = "this node has no configuration yet"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, STARTING_RETRY_MS)
    return continue_pipe(state, visit)


def find_service(state, visit):
    """Find route, service and profile by host, path and method."""
    head = visit.request.head
    match = find_route(
        state.table, head.method, host_of(head), head.target, visit.request_id
    )
    if match is None:
        reason = "no service has a route for this method and path"
        return refuse(state, visit, Outcome.NOT_RUN, 404, reason)
    if match.profile is None:
        reason = f"service {match.service} runs under a profile that is not declared"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, NO_PROFILE_RETRY_MS)
    return continue_pipe(state, replace(visit, match=match))


def identify_customer(state, visit):
    """Find the customer by the key in the request, or by its host."""
    head = visit.request.head
    value = find_header(head, AUTHORIZATION) or ""
    if value.lower().startswith(BEARER):
        customer = find_customer(state.table, value[len(BEARER) :].strip())
    else:
        customer = find_host_customer(state.table, host_of(head)) or None
    if customer is None and state.keys_required:
        reason = "send a customer's key as 'Authorization: Bearer KEY'"
        return refuse(state, visit, Outcome.NOT_RUN, 401, reason)
    return continue_pipe(state, replace(visit, customer=customer or ""))


def open_account(state, visit):
    """Number the request in its customer's account."""
    if not visit.customer:
        return continue_pipe(state, visit)
    entry = AccountEntry(
        state.node,
        0,
        visit.began_ms,
        visit.request_id,
        visit.customer,
        visit.match.service,
        visit.request.head.method,
        visit.request.head.target,
    )
    visit = replace(visit, accounted=True)
    return continue_pipe(
        state, visit, Envelope("accounts", RequestAccepted(visit.exchange, entry))
    )


def set_deadline(state, visit):
    """Take the route's deadline, or the caller's if it is earlier."""
    facts = read_call(visit.request.head)
    if facts.fault:
        return refuse(state, visit, Outcome.NOT_RUN, 400, facts.fault)
    route = visit.match.route
    limit_ms = route.deadline_ms
    asked = find_header(visit.request.head, DEADLINE_HEADER)
    if asked is not None:
        if not asked.isdecimal() or len(asked) > MAX_DEADLINE_DIGITS:
            reason = "Request-Deadline-Ms must be a whole number of milliseconds"
            return refuse(state, visit, Outcome.NOT_RUN, 400, reason)
        limit_ms = min(limit_ms, int(asked))
    if facts.deadline_ms is not None:
        limit_ms = min(limit_ms, facts.deadline_ms)
    target_ms = min(limit_ms, route.target_ms or limit_ms)
    visit = replace(
        visit,
        deadline_s=visit.began_s + limit_ms / 1000,
        target_s=visit.began_s + target_ms / 1000,
        fingerprint=fingerprint_of(visit),
    )
    return continue_pipe(state, visit)


def fingerprint_of(visit):
    """Return what equal requests have in common, to find those that crash."""
    head = visit.request.head
    digest = xxhash.xxh3_64()
    length = find_header(head, b"content-length") or ""
    for part in (visit.customer, head.method, host_of(head), head.target, length):
        digest.update(part.encode() + b"\0")
    if visit.request.ended:
        digest.update(visit.request.body)
    return digest.hexdigest()


def host_of(head):
    """Return the host name of a request, without its port."""
    return (find_header(head, b"host") or "").partition(":")[0].lower()


ARRIVAL = pipe(
    require_configuration,
    identify_customer,
    find_service,
    open_account,
    set_deadline,
    begin_attempt,
)
