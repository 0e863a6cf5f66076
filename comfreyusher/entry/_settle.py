"""Decisions on what owners, holders and the account task say about a visit."""

from comfreyusher.entry._answer import (
    continue_answer,
    refuse,
    replay,
    start_answer,
)
from comfreyusher.entry._claims import ClaimState
from comfreyusher.entry._forward import (
    may_offer_again,
    try_other_group,
    try_other_owner,
)
from comfreyusher.flow import Address, change, passed, stopped
from comfreyusher.messages import AnswerInterim, Outcome, RefusalStatus, Result

INFORMATIONAL_END = 200


def take_result(state, visit, result):
    """Pass a result on, once the account entry is copied."""
    if result.head.status < INFORMATIONAL_END:
        return _pass_interim(state, visit, result)
    if visit.accounted and not visit.copied:
        visit = change(visit, answers=visit.answers + (result,))
        return stopped(state, visit)
    return start_answer(state, visit, result)


def _pass_interim(state, visit, result):
    if visit.origin is not None or visit.started:
        return stopped(state, visit)
    interim = AnswerInterim(visit.exchange, result.head)
    return stopped(state, visit, Address("callers", interim))


def take_result_body(state, visit, body):
    """Pass more of a result on."""
    if visit.answers:
        visit = change(visit, answers=visit.answers + (body,))
        return stopped(state, visit)
    return continue_answer(state, visit, body)


def confirm_copy(state, visit, confirmed):
    """Release the answer that waited for the copy of its account entry."""
    answers = visit.answers
    step = passed(state, change(visit, copied=True, answers=()))
    messages = ()
    for answer in answers:
        take = start_answer if isinstance(answer, Result) else continue_answer
        step = take(step.state, step.item, answer)
        messages += step.messages
    return stopped(step.state, step.item, *messages)


def take_refusal(state, visit, refusal):
    """Try elsewhere what was not run, or tell the caller."""
    if refusal.outcome is Outcome.NOT_RUN and not _was_handed_over(visit):
        step = _try_elsewhere(state, visit, refusal)
        if step is not None:
            return step
    status = refusal.status
    if status == RefusalStatus.MISDIRECTED:
        status = RefusalStatus.UNAVAILABLE
    return refuse(
        state,
        visit,
        refusal.outcome,
        status,
        refusal.reason,
        refusal.retry_after_ms,
    )


def _try_elsewhere(state, visit, refusal):
    if refusal.status == RefusalStatus.MISDIRECTED:
        step = try_other_owner(state, visit)
        if step is not None:
            return step
    return try_other_group(state, visit)


def lose_owner(state, visit, lost):
    """Handle the loss of the node that the request was offered to."""
    if not lost.sent:
        return _lose_unsent(state, visit)
    repeatable = visit.match.route.idempotent and may_offer_again(visit)
    if repeatable and state.reoffer_tokens >= 1:
        state = change(state, reoffer_tokens=state.reoffer_tokens - 1)
        step = try_other_owner(state, visit)
        if step is not None:
            return step
    reason = "the owner of the group was lost while it had the request"
    return refuse(state, visit, Outcome.UNKNOWN, 502, reason)


def _lose_unsent(state, visit):
    if _was_handed_over(visit):
        reason = "the node that holds this key cannot be reached"
        return refuse(state, visit, Outcome.UNKNOWN, 409, reason)
    step = try_other_owner(state, visit)
    if step is not None:
        return step
    reason = "no owner of the group could be reached"
    return refuse(state, visit, Outcome.NOT_RUN, 503, reason, 1000)


def _was_handed_over(visit):
    """Tell whether the request went to the holder of its key."""
    return visit.work is not None and not visit.group


def settle_waiter(state, visit, settled):
    """Answer a request that waited for another with the same key."""
    claim = state.claims.get(settled.claim)
    if claim is not None and claim.state is ClaimState.DONE:
        return replay(state, visit, claim)
    if settled.outcome is Outcome.NOT_RUN:
        status, reason = settled.status, settled.reason
        return refuse(state, visit, Outcome.NOT_RUN, status, reason, 1000)
    reason = "an earlier request with this key may have run"
    return refuse(state, visit, Outcome.UNKNOWN, 409, reason)
