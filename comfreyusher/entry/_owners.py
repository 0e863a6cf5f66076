"""Which owners respond, and when to resend a grant request to one."""

import collections

import immutables

from comfreyusher.entry._state import AttemptPhase
from comfreyusher.flow import drop_before, replace
from comfreyusher.messages import UpstreamLoad

RESEND_TIMEOUT_S = 0.05
CROSS_REGION_RESEND_TIMEOUT_S = 0.15
MAX_RESEND_TIMEOUT_S = 0.4
QUEUED_RESEND_TIMEOUT_S = 0.4
RESEND_TIMEOUT_PER_REQUEST_S = 0.001
BUSY_OWNER_S = 0.3
STATEMENT_KEPT_S = 600.0
MAX_TOLD_LOADS = 32  # a datagram stays below 1,400 bytes


def record_owner_message(state, owner):
    """Return the state after any message from an owner."""
    silent = state.silent_owners
    if owner in silent:
        silent = silent.delete(owner)
    last_received_s = state.last_received_s.set(owner, state.running_s)
    return replace(state, last_received_s=last_received_s, silent_owners=silent)


def count_attempts(state, requests):
    """Return the state with each owner's unacknowledged attempts and used grants."""
    unacknowledged, granted = collections.Counter(), {}
    for request in requests:
        for attempt in request.attempts:
            if attempt.phase is AttemptPhase.REQUESTED:
                unacknowledged[attempt.owner] += 1
            elif attempt.phase is AttemptPhase.SENT:
                by_owner = granted.setdefault(attempt.grant_request.group, {})
                counts = by_owner.setdefault(attempt.owner, collections.Counter())
                counts[attempt.upstream] += 1
    return replace(
        state,
        unacknowledged_attempts=immutables.Map(unacknowledged),
        granted=immutables.Map(granted),
    )


def find_other_loads(state, group_name, owner):
    """Return what other owners granted on upstreams of the group, as counts."""
    by_owner = state.granted.get(group_name, {})
    counts = collections.Counter()
    for other, granted in by_owner.items():
        if other != owner:
            counts.update(granted)
    return tuple(
        UpstreamLoad(upstream, count)
        for upstream, count in counts.most_common(MAX_TOLD_LOADS)
    )


def drop_expired(state):
    """Return the state without expired entries of owners and upstreams."""
    silent = drop_before(state.silent_owners, state.now_s)
    avoided_upstreams = drop_before(state.avoided_upstreams, state.now_s)
    last_received_s = drop_before(state.last_received_s, state.running_s - BUSY_OWNER_S)
    statements = state.statements
    for upstream, statement in statements.items():
        if state.now_s - statement.heard_s > STATEMENT_KEPT_S:
            statements = statements.delete(upstream)
    return replace(
        state,
        statements=statements,
        silent_owners=silent,
        avoided_upstreams=avoided_upstreams,
        last_received_s=last_received_s,
    )


def is_busy(state, owner):
    """Tell whether an owner has sent any message within ``BUSY_OWNER_S``.

    Such an owner is working through its queue and is not silent.
    """
    last_s = state.last_received_s.get(owner)
    return last_s is not None and state.running_s - last_s < BUSY_OWNER_S


def is_resend_due(state, attempt):
    """Tell whether the grant request of an attempt should be sent again.

    Until the first acknowledgement the timeout grows with the number of requests
    that wait for this owner, since it needs time for each of them.
    """
    if attempt.phase is AttemptPhase.QUEUED:
        wait_s = (
            QUEUED_RESEND_TIMEOUT_S
            if attempt.unanswered_requests == 0
            else CROSS_REGION_RESEND_TIMEOUT_S
        )
    elif attempt.phase is AttemptPhase.REQUESTED:
        wait_s = RESEND_TIMEOUT_S
        if is_busy(state, attempt.owner):
            wait_s = min(
                MAX_RESEND_TIMEOUT_S,
                RESEND_TIMEOUT_S * 2 ** (attempt.unanswered_requests - 1),
            )
        wait_s += RESEND_TIMEOUT_PER_REQUEST_S * state.unacknowledged_attempts.get(
            attempt.owner, 0
        )
    else:
        return False
    return state.running_s - attempt.last_contact_s >= wait_s
