"""Hedges: a second upstream for a slow idempotent request."""

from comfreyusher.entry._attempt_ends import may_retry
from comfreyusher.entry._grant_requests import (
    begin_attempt,
    choose_group,
    give_up,
    live_attempts,
    max_sends,
    replace_attempt,
    request_grant,
)
from comfreyusher.entry._state import AttemptPhase, GrantConditions
from comfreyusher.flow import end_pipe, replace

HEDGE_DELAY_FACTOR = 2.5
MIN_HEDGE_DELAY_S = 0.25
HEDGE_RETRY_DELAY_S = 0.25
MAX_ATTEMPTS_WITH_HEDGES = 8  # leaves some for retries


def is_hedge_due(state, request):
    """Tell whether a slow attempt should be hedged with a second upstream."""
    if not request.match.route.idempotent or request.sends + 1 >= max_sends(request):
        return False
    live = live_attempts(request)
    if (
        len(live) != 1
        or live[0].phase is not AttemptPhase.SENT
        or live[0].head is not None
    ):
        return False
    attempt = live[0]
    if not _may_hedge_now(state, request, attempt):
        return False
    waited_s = state.now_s - attempt.sent_s
    if not attempt.typical_s or request.body_released:
        return False
    if request.deadline_s - state.now_s < attempt.typical_s / 2:
        return False
    return waited_s > hedge_delay_s(attempt.typical_s, attempt.hedge_after_s)


def hedge_delay_s(typical_s, hedge_after_s):
    """Return the age at which an attempt is hedged.

    It is what the owner derived from the durations of the route, if it did.
    """
    if hedge_after_s:
        return hedge_after_s
    return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * typical_s)


def _may_hedge_now(state, request, attempt):
    """Tell whether no second upstream was granted, and none denied just now.

    All slots may be in use when the first hedge is denied.
    """
    later = request.attempts[attempt.grant_request.attempt :]
    if not later:
        return True
    if any(hedged.upstream for hedged in later):
        return False
    if len(request.attempts) >= MAX_ATTEMPTS_WITH_HEDGES:
        return False
    denied = later[-1]
    pause_s = max(HEDGE_RETRY_DELAY_S, denied.hedge_pause_s)
    return state.running_s - denied.last_contact_s >= pause_s


def hedge(state, request):
    """Request a second upstream, one with a free slot."""
    first = live_attempts(request)[0]
    group = choose_group(state, request)
    if group is None:
        return end_pipe(state, request)
    tried_upstreams = request.tried_upstreams
    request = replace(
        request,
        tried_upstreams=(*tried_upstreams, first.upstream),
        sends=request.sends + 1,
    )
    step = request_grant(
        state, request, group, GrantConditions(no_wait=True, hedge=True)
    )
    request = replace(
        step.item, tried_upstreams=tried_upstreams, sends=step.item.sends - 1
    )
    return end_pipe(step.state, request, *step.messages)


def handle_hedge_denial(state, request, attempt, denial):
    """Do without a hedge that its owner did not allow, and pause before the next.

    If the first attempt has failed meanwhile, the request is retried as without it.
    """
    pause_s = denial.retry_after_ms / 1000
    attempt = replace(attempt, phase=AttemptPhase.ENDED, hedge_pause_s=pause_s)
    request = replace_attempt(request, attempt)
    if live_attempts(request):
        return end_pipe(state, request)
    if may_retry(state, request):
        return begin_attempt(state, request)
    return give_up(state, request, denial.reason.value, denial.retry_after_ms)
