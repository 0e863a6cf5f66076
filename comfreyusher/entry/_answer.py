"""Answers to callers: outcome, status, headers, account and claim."""

import dataclasses

from comfreyusher.accounts import Ended
from comfreyusher.entry._claims import (
    MAX_KEPT_ANSWER_BYTES,
    ClaimState,
    settle_claim,
)
from comfreyusher.flow import Address, change, stopped
from comfreyusher.http import plain_answer
from comfreyusher.messages import (
    AnswerBody,
    AnswerBroken,
    AnswerHead,
    AnswerStart,
    Outcome,
    Refusal,
    Result,
    ResultBody,
    ToNode,
)
from comfreyusher.telemetry import HopEnded, RequestMeasured

OUTCOME_HEADER = b"Comfreyusher-Outcome"
REQUEST_ID_HEADER = b"Request-Id"
UPSTREAM_HEADER = b"Comfreyusher-Upstream"
RETRY_AFTER_HEADER = b"Retry-After"
CALLERS = "callers"


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """The entry task may drop a visit."""

    exchange: int


def refuse(state, visit, outcome, status, reason, retry_after_ms=0, claim=None):
    """Answer a caller that no upstream's answer will come.

    ``claim`` is the state that the visit's claim takes; by default it follows
    from the outcome.
    """
    messages = ()
    if visit.claim:
        step = _settle(state, visit, outcome, claim, status, reason)
        state, messages = step.state, step.messages
    if visit.origin is not None:
        refusal = Refusal(visit.origin, outcome, status, reason, retry_after_ms)
        messages += (to_origin_node(visit, refusal),)
    elif visit.started:
        messages += (Address(CALLERS, AnswerBroken(visit.exchange)),)
    else:
        messages += _say(visit, outcome, status, reason, retry_after_ms)
    messages += finish(state, visit, outcome, status)
    return stopped(state, visit, *messages)


def _say(visit, outcome, status, reason, retry_after_ms):
    headers = [
        (OUTCOME_HEADER, outcome.value.encode()),
        (REQUEST_ID_HEADER, visit.request_id.encode()),
    ]
    if retry_after_ms and outcome is Outcome.NOT_RUN:
        seconds = max(1, round(retry_after_ms / 1000))
        headers.append((RETRY_AFTER_HEADER, b"%d" % seconds))
    text = f"{reason} ({outcome.value})"
    head, body = plain_answer(status, text, headers)
    return (Address(CALLERS, AnswerStart(visit.exchange, head, body, ended=True)),)


def _settle(state, visit, outcome, claim, status, reason):
    """Settle the claim of a visit that brought no answer."""
    states = {
        Outcome.NOT_RUN: ClaimState.FREE,
        Outcome.UNKNOWN: ClaimState.UNKNOWN,
        Outcome.DONE: ClaimState.DONE,
    }
    waiters = state.claims[visit.claim].waiters
    claims = settle_claim(state.claims, visit.claim, claim or states[outcome])
    state = change(state, claims=claims)
    messages = tuple(
        Address("entry", Settled(exchange, visit.claim, outcome, status, reason))
        for exchange in waiters
    )
    return stopped(state, visit, *messages)


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """A claim that other exchanges wait for has ended."""

    exchange: int
    claim: str
    outcome: Outcome
    status: int
    reason: str


def finish(state, visit, outcome, status):
    """Return the messages that end a visit: account, metric, span."""
    messages = (Address("entry", Forget(visit.exchange)),)
    if visit.accounted:
        took_ms = int((state.now_s - visit.began_s) * 1000)
        ended_ms = visit.began_ms + took_ms
        ended = Ended(visit.exchange, outcome.value, status, ended_ms)
        messages += (Address("accounts", ended),)
    service = visit.match.service.name if visit.match else ""
    duration_s = state.now_s - visit.began_s
    measured = RequestMeasured(service, outcome.value, status, duration_s)
    messages += (Address("telemetry", measured),)
    if visit.trace.sampled:
        messages += (Address("telemetry", _span(state, visit, outcome, status)),)
    return messages


def _span(state, visit, outcome, status):
    attributes = (
        ("comfreyusher.request_id", visit.request_id),
        ("comfreyusher.outcome", outcome.value),
        ("comfreyusher.owner", visit.owner),
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


def start_answer(state, visit, result):
    """Pass on the head of an answer, and end the visit if it is complete."""
    visit = change(visit, started=True, answer_head=result.head)
    visit = _keep(visit, result.body)
    if visit.origin is not None:
        answer = to_origin_node(visit, change(result, key=visit.origin))
    else:
        answer = Address(CALLERS, _answer_of(visit, result))
    if result.ended:
        return end_answer(state, visit, answer)
    return stopped(state, visit, answer)


def continue_answer(state, visit, body):
    """Pass on more of an answer."""
    visit = _keep(visit, body.body)
    if visit.origin is not None:
        answer = to_origin_node(visit, ResultBody(visit.origin, body.body, body.ended))
    else:
        more = AnswerBody(visit.exchange, body.body, body.ended)
        answer = Address(CALLERS, more)
    if not body.ended:
        return stopped(state, visit, answer)
    return end_answer(state, visit, answer)


def end_answer(state, visit, answer):
    """End a visit whose answer is complete, and settle its claim."""
    messages = (answer,)
    head = visit.answer_head
    status = head.status
    if visit.claim:
        body = b"".join(visit.kept)
        kept = len(body) < MAX_KEPT_ANSWER_BYTES
        waiters = state.claims[visit.claim].waiters
        claims = settle_claim(
            state.claims, visit.claim, ClaimState.DONE, head, body, kept
        )
        state = change(state, claims=claims)
        messages += tuple(
            Address("entry", Settled(one, visit.claim, Outcome.DONE, status, ""))
            for one in waiters
        )
    messages += finish(state, visit, Outcome.DONE, status)
    return stopped(state, visit, *messages)


def replay(state, visit, claim):
    """Answer a repeated request with the kept answer of the first."""
    if not claim.kept or claim.head is None:
        reason = "this key has run; its answer is too large to be kept"
        return refuse(state, without_claim(visit), Outcome.DONE, 409, reason)
    visit = without_claim(visit)
    if visit.origin is not None:
        result = Result(visit.origin, "", claim.head, claim.body, True)
        messages = (to_origin_node(visit, result),)
    else:
        head = AnswerHead(
            claim.head.status, _headers_for(visit, claim.head, ""), claim.head.reason
        )
        answer = AnswerStart(visit.exchange, head, claim.body, ended=True)
        messages = (Address(CALLERS, answer),)
    messages += finish(state, visit, Outcome.DONE, claim.head.status)
    return stopped(state, visit, *messages)


def without_claim(visit):
    """Return a visit that does not run its claim itself."""
    return change(visit, claim="")


def to_origin_node(visit, body):
    """Address a message to the node that handed the request over."""
    return Address("peers", ToNode(visit.origin.node, body))


def _answer_of(visit, result):
    head = AnswerHead(
        result.head.status,
        _headers_for(visit, result.head, result.upstream),
        result.head.reason,
    )
    return AnswerStart(visit.exchange, head, result.body, result.ended)


def _headers_for(visit, head, upstream):
    own = {OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower(), UPSTREAM_HEADER.lower()}
    kept = tuple(pair for pair in head.headers if pair[0].lower() not in own)
    added = (
        (OUTCOME_HEADER, Outcome.DONE.value.encode()),
        (REQUEST_ID_HEADER, visit.request_id.encode()),
    )
    if upstream:
        added += ((UPSTREAM_HEADER, upstream.encode()),)
    return kept + added


def _keep(visit, body):
    """Keep a claimed answer's bytes, as long as they are few."""
    if not visit.claim or not body:
        return visit
    size = sum(len(part) for part in visit.kept)
    if size >= MAX_KEPT_ANSWER_BYTES:
        return visit
    return change(visit, kept=visit.kept + (body,))
