"""The pipe of an arriving request, up to its offer to the owner of a group."""

import xxhash

from comfreyusher.accounts import AccountEntry, Begun
from comfreyusher.entry._answer import Forget, refuse, replay, without_claim
from comfreyusher.entry._claims import (
    ClaimState,
    add_waiter,
    claim_name,
    start_claim,
)
from comfreyusher.entry._forward import forward
from comfreyusher.entry._keys import KeyKind, KeyRefused, mint_key, parse_key
from comfreyusher.flow import Address, change, passed, pipe, stopped
from comfreyusher.http import answer_text
from comfreyusher.messages import (
    ClaimAsked,
    HandOver,
    Outcome,
    ToNode,
    WorkKey,
    find_header,
)
from comfreyusher.routing import find_customer, find_route

MINT_TARGET = "/.well-known/comfreyusher/idempotency-keys"
KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"request-deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MAX_DEADLINE_DIGITS = 9


def require_configuration(state, visit):
    """Serve only with a complete configuration."""
    if not state.ready:
        reason = "this node has no configuration yet"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)
    return passed(state, visit)


def identify_customer(state, visit):
    """Find the customer by the key in the request."""
    value = find_header(visit.request.head, AUTHORIZATION) or ""
    if not value.lower().startswith(BEARER):
        reason = "send the customer's key as 'Authorization: Bearer KEY'"
        return refuse(state, visit, Outcome.NOT_RUN, 401, reason)
    customer = find_customer(state.table, value[len(BEARER) :].strip())
    if customer is None:
        reason = "no customer has this key"
        return refuse(state, visit, Outcome.NOT_RUN, 401, reason)
    return passed(state, change(visit, customer=customer))


def hand_out_key(state, visit):
    """Answer a request for an idempotency key."""
    head = visit.request.head
    if head.target != MINT_TARGET:
        return passed(state, visit)
    if head.method != "POST":
        return refuse(state, visit, Outcome.NOT_RUN, 405, "use POST")
    if state.draining:
        reason = "this node is leaving; ask again"
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)
    answer = answer_text(visit.exchange, 201, mint_key(state.node))
    return stopped(
        state,
        visit,
        Address("callers", answer),
        Address("entry", Forget(visit.exchange)),
    )


def find_service(state, visit):
    """Find service, profile and route by host, path and method."""
    head = visit.request.head
    host = (find_header(head, b"host") or "").partition(":")[0].lower()
    match = find_route(state.table, head.method, host, head.target)
    if match is None:
        reason = "no service has a route for this method and path"
        return refuse(state, visit, Outcome.NOT_RUN, 404, reason)
    if match.profile is None:
        reason = (
            f"service {match.service.name} runs under the unknown profile "
            f"{match.service.profile}"
        )
        return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 5000)
    return passed(state, change(visit, match=match))


def open_account(state, visit):
    """Number the request in its customer's account."""
    entry = AccountEntry(
        state.node,
        0,
        visit.began_ms,
        visit.request_id,
        visit.customer,
        visit.match.service.name,
        visit.request.head.method,
        visit.request.head.target,
    )
    visit = change(visit, accounted=True)
    return passed(state, visit, Address("accounts", Begun(visit.exchange, entry)))


def set_deadline(state, visit):
    """Take the route's deadline, or the caller's if it is earlier."""
    limit_ms = visit.match.route.deadline_ms
    asked = find_header(visit.request.head, DEADLINE_HEADER)
    if asked is not None:
        if not asked.isdecimal() or len(asked) > MAX_DEADLINE_DIGITS:
            reason = "Request-Deadline-Ms must be a whole number of milliseconds"
            return refuse(state, visit, Outcome.NOT_RUN, 400, reason)
        limit_ms = min(limit_ms, int(asked))
    deadline_s = visit.began_s + limit_ms / 1000
    return passed(state, change(visit, deadline_s=deadline_s))


def refuse_poisoned(state, visit):
    """Refuse requests that crash upstreams."""
    visit = change(visit, fingerprint=_fingerprint(visit))
    until_s = state.quarantine.get(visit.fingerprint)
    if until_s is not None and state.now_s < until_s:
        reason = "this request crashed upstreams and is quarantined"
        return refuse(state, visit, Outcome.NOT_RUN, 422, reason)
    return passed(state, visit)


def _fingerprint(visit):
    head = visit.request.head
    digest = xxhash.xxh3_128()
    for part in (visit.customer, head.method, head.target):
        digest.update(part.encode() + b"\0")
    digest.update(visit.request.body)
    return digest.hexdigest()


def read_key(state, visit):
    """Require and check the key of a request that may run only once."""
    if visit.match.route.idempotent:
        return passed(state, visit)
    text = find_header(visit.request.head, KEY_HEADER)
    if not text:
        reason = (
            "this request runs at most once and needs an Idempotency-Key: a UUID "
            f"of version 7, or a key from POST {MINT_TARGET}"
        )
        return refuse(state, visit, Outcome.NOT_RUN, 400, reason)
    window_ms = visit.match.profile.key_window_ms
    try:
        key = parse_key(text, state.now_ms, window_ms)
    except KeyRefused as error:
        if error.too_old:
            return refuse(state, visit, Outcome.UNKNOWN, 409, str(error))
        return refuse(state, visit, Outcome.NOT_RUN, 400, str(error))
    return passed(state, change(visit, key=key))


def claim(state, visit):
    """Let only the holder of the key run the request."""
    if visit.key is None:
        return passed(state, visit)
    if visit.key.kind is KeyKind.CALLER:
        name = claim_name(visit.customer, visit.match.service.name, visit.key)
        if name in state.claims:
            return take_claim(state, visit)
        asked = ClaimAsked(name, visit.exchange)
        return stopped(state, visit, Address("claims", asked))
    return go_to_holder(state, visit, visit.key.holder)


def go_to_holder(state, visit, holder):
    """Run a claimed request here, or hand it over to the key's holder."""
    if holder == state.node:
        return take_claim(state, visit)
    if visit.origin is not None or holder not in state.live:
        reason = "the node that holds this key is gone; the request may have run"
        return refuse(state, visit, Outcome.UNKNOWN, 409, reason)
    key = WorkKey(state.node, state.works + 1)
    state = change(state, works=state.works + 1)
    request = visit.request
    body = b"".join((request.body, *visit.held))
    handed = HandOver(key, visit.customer, request.head, body, visit.body_ended)
    visit = change(visit, work=key, owner=holder, held=())
    return stopped(state, visit, Address("peers", ToNode(holder, handed)))


def take_claim(state, visit):
    """Run, join or answer by the state of the claim on this node."""
    name = claim_name(visit.customer, visit.match.service.name, visit.key)
    known = state.claims.get(name)
    if known is None or known.state is ClaimState.FREE:
        claims = start_claim(state.claims, name, visit.key.made_ms, visit.exchange)
        state = change(state, claims=claims)
        return passed(state, change(visit, claim=name))
    if known.state is ClaimState.RUNNING:
        claims = add_waiter(state.claims, name, visit.exchange)
        state = change(state, claims=claims)
        return stopped(state, without_claim(visit))
    if known.state is ClaimState.DONE:
        return replay(state, visit, known)
    reason = "an earlier request with this key may have run"
    return refuse(state, visit, Outcome.UNKNOWN, 409, reason)


ARRIVAL = pipe(
    require_configuration,
    identify_customer,
    hand_out_key,
    find_service,
    open_account,
    set_deadline,
    refuse_poisoned,
    read_key,
    claim,
    forward,
)


# Other ways into the pipe ----------------------------------------------------------


def find_holder(state, visit):
    """Go on after the log has settled who holds a caller's key."""
    return go_to_holder(state, visit, visit.owner)


GRANTED = pipe(find_holder, forward)

HANDED_OVER = pipe(
    require_configuration,
    find_service,
    set_deadline,
    refuse_poisoned,
    read_key,
    take_claim,
    forward,
)
