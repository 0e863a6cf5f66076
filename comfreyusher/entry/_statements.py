"""Decisions on what upstreams say of themselves in their responses to this node.

Times are monotonic seconds.
"""

import dataclasses

from comfreyusher.departures import DepartureObserved
from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import UNKNOWN_LIMIT, DepartureNotice
from comfreyusher.telemetry import HeadersUnreadable

DEPARTURES = "departures"
TELEMETRY = "telemetry"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatement:
    """What an upstream said last to this node, since its start at ``started_ms``.

    ``limit_per_s`` is how many requests per second it takes from the whole fleet, 0
    if it names no limit. It wants no request from this node before
    ``refuses_until_s``.
    """

    started_ms: int
    heard_s: float
    limit_per_s: float = 0.0
    refuses_until_s: float = 0.0


def record_statement(state, attempt):
    """Keep what the response to an attempt says of its upstream, and tell others."""
    said = attempt.said
    if said.misdirected:
        return end_pipe(state, None)
    messages = ()
    if said.leaving and attempt.upstream not in state.departed:
        departed = state.departed.set(attempt.upstream, state.now_s)
        state = replace(state, departed=departed)
        notice = DepartureNotice(attempt.upstream, attempt.started_ms)
        messages = (Envelope(DEPARTURES, DepartureObserved(notice)),)
    if said.unreadable:
        unreadable = HeadersUnreadable(attempt.upstream, said.unreadable)
        messages += (Envelope(TELEMETRY, unreadable),)
    return end_pipe(_update_statement(state, attempt), None, *messages)


def _update_statement(state, attempt):
    known = find_statement(state, attempt.upstream, attempt.started_ms)
    said, succeeded = attempt.said, attempt.head.status < 300
    limit_per_s = said.limit_per_s
    if not limit_per_s and not succeeded:
        limit_per_s = known.limit_per_s
    refuses_until_s = known.refuses_until_s
    if said.retry_after_s:
        refuses_until_s = max(refuses_until_s, state.now_s + said.retry_after_s)
    statement = UpstreamStatement(
        attempt.started_ms, state.now_s, limit_per_s, refuses_until_s
    )
    if limit_per_s or refuses_until_s > state.now_s:
        statements = state.statements.set(attempt.upstream, statement)
    elif attempt.upstream in state.statements:
        statements = state.statements.delete(attempt.upstream)
    else:
        return state
    return replace(state, statements=statements)


def find_statement(state, upstream, started_ms):
    """Return what an upstream said since a start; an empty statement for nothing."""
    statement = state.statements.get(upstream)
    if statement is None or statement.started_ms != started_ms:
        return UpstreamStatement(started_ms, state.now_s)
    return statement


def is_unaware(state, grant):
    """Tell whether the owner has still to be told what the granted upstream said."""
    statement = find_statement(state, grant.upstream, grant.started_ms)
    if statement.refuses_until_s > state.now_s:
        return True
    return bool(statement.limit_per_s) and grant.limit_per_s == UNKNOWN_LIMIT


def is_refused_by(state, grant):
    """Tell whether the granted upstream wants no request from this node now."""
    statement = find_statement(state, grant.upstream, grant.started_ms)
    return statement.refuses_until_s > state.now_s
