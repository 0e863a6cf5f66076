"""Decisions that time alone brings: deadlines and rivals of slow upstreams."""

from comfreyusher.entry._answer import refuse
from comfreyusher.entry._ask import (
    ask_group,
    choose_group,
    live_attempts,
    max_sends,
)
from comfreyusher.entry._attempts import TIMEOUT_STATUS, cancel_all
from comfreyusher.entry._state import Phase, Terms
from comfreyusher.flow import end_pipe, replace
from comfreyusher.messages import Outcome, Verdict

HEDGE_FACTOR = 2.5
MIN_HEDGE_S = 0.25
ANSWER_GRACE_S = 0.1
STREAM_GRACE_S = 0.4


def end_overdue(state, visit):
    """Answer a request whose deadline has passed."""
    arrived = any(attempt.phase is Phase.SENT for attempt in live_attempts(visit))
    cancels = cancel_all(state, visit, Verdict.LATE)
    visit = cancels.item
    if arrived or visit.ran:
        reason = "no answer came before the deadline"
        step = refuse(state, visit, Outcome.UNKNOWN, TIMEOUT_STATUS, reason)
    else:
        reason = "no upstream was free before the deadline"
        step = refuse(state, visit, Outcome.NOT_RUN, 503, reason)
    return end_pipe(step.state, step.item, *cancels.messages, *step.messages)


def is_overdue(visit, now):
    """Tell whether a visit has to be answered now.

    An upstream stops at the deadline by itself; its answer is waited for.
    """
    if visit.answers or not visit.deadline_s:
        return False
    return now > visit.deadline_s + _grace_s(visit)


def _grace_s(visit):
    if visit.streaming:
        return STREAM_GRACE_S
    waits_for_upstream = any(a.phase is Phase.SENT for a in visit.attempts)
    return ANSWER_GRACE_S if waits_for_upstream else 0.0


def is_hedge_due(state, visit):
    """Tell whether a second upstream should be asked beside a slow one."""
    if not visit.match.route.idempotent or visit.sends + 1 >= max_sends(visit):
        return False
    live = live_attempts(visit)
    if len(live) != 1 or live[0].phase is not Phase.SENT or live[0].head is not None:
        return False
    attempt = live[0]
    if attempt.ask.attempt != len(visit.attempts):
        return False
    waited_s = state.now_s - attempt.sent_s
    if not attempt.usual_s or visit.body_moved:
        return False
    if visit.deadline_s - state.now_s < attempt.usual_s / 2:
        return False
    return waited_s > max(MIN_HEDGE_S, HEDGE_FACTOR * attempt.usual_s)


def hedge(state, visit):
    """Ask for a second upstream that is free now."""
    first = live_attempts(visit)[0]
    place = choose_group(state, visit)
    if place is None:
        return end_pipe(state, visit)
    tried = visit.tried
    visit = replace(visit, tried=(*tried, first.upstream), sends=visit.sends + 1)
    step = ask_group(state, visit, place, Terms(spare=True))
    visit = replace(step.item, tried=tried, sends=step.item.sends - 1)
    return end_pipe(step.state, visit, *step.messages)
