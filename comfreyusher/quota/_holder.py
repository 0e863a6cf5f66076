"""Decisions of the holder of an account's bucket on the requests of other nodes.

A step's item holds the counts of what was lent and refused, as ``Counted``.
"""

import math

from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import BucketHandover, TokenGrant, ToNode
from comfreyusher.quota._bucket import (
    change_limits,
    new_bucket,
    put_back,
    refill,
    take,
    take_reserve,
)
from comfreyusher.quota._holder_state import Answer, Counted, Pull
from comfreyusher.quota._view import (
    count_known,
    first_since_s,
    is_settled,
    rank_members,
    reachable_share,
)

DATAGRAMS = "datagrams"
# A view of another node follows a handover within this time.
HANDOVER_VALID_S = 10.0
HANDOVER_RESEND_S = 0.05
HANDOVER_TRIES = 4
MAX_ASK_DELAY_S = 0.5
RESERVE_RETRY_AFTER_MS = 1000
NO_LEVEL = -1.0


def handle_token_request(state, view, request, now):
    """Lend tokens, or tell when or whom to ask again.

    Returns the state, the view and the step's messages; a node that does not know the
    fleet or the account yet gives no answer.
    """
    account = view.accounts.get(request.account)
    if account is None or not is_settled(view, now):
        return end_pipe((state, view), Counted())
    repeated = state.answers.get((request.node, request.number))
    if repeated is not None:
        return end_pipe((state, view), Counted(), _to(request.node, repeated.body))
    view, ranking = rank_members(view, request.account)
    successor = _find_successor(state, request.account, now)
    if successor is not None:
        return _redirect(state, view, request, successor[0], now)
    if request.account in state.pulls:
        return _hold(state, view, request)
    is_first = bool(ranking) and ranking[0].node == view.own.node and not view.leaving
    if is_first or state.inherited.get(request.account, 0.0) > now:
        return _lend_as_first(state, view, account, ranking, request, now)
    others = [record.node for record in ranking if record.node != view.own.node]
    if request.rank == 0 and others:
        return _redirect(state, view, request, others[0], now)
    return _lend_reserve(state, view, account, request, now)


def _find_successor(state, name, now):
    """Return who was given the bucket, until when that holds, and the level."""
    successor = state.successors.get(name)
    if successor is None or successor[1] <= now:
        return None
    return successor


def _to(node, body):
    return Envelope(DATAGRAMS, ToNode(node, body))


def _answer(state, view, request, body, now, counted):
    key = (request.node, request.number)
    answers = state.answers.set(key, Answer(body, now))
    state = replace(state, answers=answers)
    return end_pipe((state, view), counted, _to(request.node, body))


def _redirect(state, view, request, node, now):
    """Name the member to ask, unless another one has named this node."""
    if request.rank != 0:
        account = view.accounts[request.account]
        return _lend_reserve(state, view, account, request, now)
    body = TokenGrant(view.own.node, request.number, request.account, 0, 0, node)
    # Not kept as an answer, since the request is repeated when views agree.
    return end_pipe((state, view), Counted(), _to(request.node, body))


def find_share(state, view, now):
    """Return the share of a rate that this node may lend at as the first member."""
    if state.is_cut_off:
        return 1 / count_known(view, now)
    return reachable_share(view, now)


def refill_bucket(state, view, bucket, now):
    """Return a bucket with what it has earned until now."""
    share = find_share(state, view, now)
    return refill(bucket, share, view, now)


def _lend_as_first(state, view, account, ranking, request, now):
    bucket = state.buckets.get(account.name)
    if bucket is None or not bucket.is_first:
        since_s = first_since_s(view, account.name)
        pulled = _begin_pull(state, view, account, ranking, since_s, request, now)
        if pulled is not None:
            return pulled
        bucket = _begin_bucket(state, view, account, since_s, now)
    else:
        bucket = refill_bucket(state, view, bucket, now)
    if request.returned:
        bucket = put_back(bucket, request.returned)
    bucket, count = take(bucket, request.wanted, now)
    missing = request.wanted - count
    retry_after_ms = 0
    if missing:
        bucket, retry_after_ms = _assign_slot(state, view, bucket, now)
    body = TokenGrant(
        view.own.node, request.number, account.name, count, retry_after_ms
    )
    state = replace(state, buckets=state.buckets.set(account.name, bucket))
    counted = Counted(account.name, lent=count, refused=missing)
    return _answer(state, view, request, body, now, counted)


def _assign_slot(state, view, bucket, now):
    """Return when the next token is free that no other node was told to ask for."""
    rate = max(bucket.rate_per_s * find_share(state, view, now), 1e-6)
    free_s = now + max(0.0, 1 - bucket.level) / rate
    slot_s = max(free_s, min(bucket.slot_s + 1 / rate, free_s + MAX_ASK_DELAY_S))
    retry_after_ms = max(1, math.ceil((slot_s - now) * 1000))
    return replace(bucket, slot_s=slot_s), retry_after_ms


def _begin_bucket(state, view, account, since_s, now):
    """Return a bucket that has earned its tokens since this node is the first one."""
    rate = account.rate_per_s * find_share(state, view, now)
    level = max(0.0, now - since_s) * rate
    bucket = new_bucket(account, level, now, view.slack)
    known = state.buckets.get(account.name)
    if known is not None:
        known = refill_bucket(state, view, known, now)
        bucket = replace(bucket, reserve=known.reserve)
    return replace(bucket, is_first=True)


def _lend_reserve(state, view, account, request, now):
    """Lend from the reserve, since another member may lend at the full rate."""
    bucket = state.buckets.get(account.name)
    if bucket is None:
        bucket = new_bucket(account, 0.0, now, view.slack)
    else:
        bucket = refill_bucket(state, view, bucket, now)
    bucket, count = take_reserve(bucket, request.wanted, now)
    missing = request.wanted - count
    body = TokenGrant(
        view.own.node,
        request.number,
        account.name,
        count,
        RESERVE_RETRY_AFTER_MS if missing else 0,
    )
    state = replace(state, buckets=state.buckets.set(account.name, bucket))
    counted = Counted(account.name, reserve=count, refused=missing)
    return _answer(state, view, request, body, now, counted)


# Handover -----------------------------------------------------------------------


def _begin_pull(state, view, account, ranking, since_s, request, now):
    """Ask the member that was first before this node joined for its level.

    Returns ``None`` if there is none, or if it has been behind for long enough to have
    learned of this node and for the bucket to be full.
    """
    if len(ranking) < 2 or since_s != view.settled_s:
        return None
    known_s = HANDOVER_VALID_S + account.burst / account.rate_per_s
    if now - since_s > known_s:
        return None
    target = ranking[1].node
    pull = Pull(target, 1, now, (request,))
    state = replace(state, pulls=state.pulls.set(account.name, pull))
    body = BucketHandover(view.own.node, account.name, wanted=True)
    return end_pipe((state, view), Counted(), _to(target, body))


def _hold(state, view, request):
    pull = state.pulls[request.account]
    if any(
        held.node == request.node and held.number == request.number
        for held in pull.requests
    ):
        return end_pipe((state, view), Counted())
    pull = replace(pull, requests=(*pull.requests, request))
    state = replace(state, pulls=state.pulls.set(request.account, pull))
    return end_pipe((state, view), Counted())


def handle_handover(state, view, handover, now):
    """Give a bucket to the node that asks for it, or take one over."""
    if handover.wanted:
        return _give_bucket(state, view, handover, now)
    account = view.accounts.get(handover.account)
    pull = state.pulls.get(handover.account)
    bucket = state.buckets.get(handover.account)
    if account is None or (bucket is not None and bucket.is_first):
        return end_pipe((state, view), Counted())
    if handover.level >= 0:
        fresh = new_bucket(account, handover.level, now, view.slack)
        bucket = replace(fresh, is_first=True)
        inherited = state.inherited.set(account.name, now + HANDOVER_VALID_S)
        state = replace(
            state,
            buckets=state.buckets.set(account.name, bucket),
            inherited=inherited,
            successors=_without(state.successors, account.name),
        )
    elif pull is None:
        return end_pipe((state, view), Counted())
    # The member before has lent nothing at the full rate, and this node nothing since
    # its process started.
    return _end_pull(state, view, account, view.started_s, now)


def _end_pull(state, view, account, empty_s, now):
    """Answer the requests that waited; the bucket was empty at ``empty_s`` at worst."""
    pull = state.pulls.get(account.name)
    if pull is None:
        return end_pipe((state, view), Counted())
    state = replace(state, pulls=state.pulls.delete(account.name))
    bucket = state.buckets.get(account.name)
    if bucket is None or not bucket.is_first:
        bucket = _begin_bucket(state, view, account, empty_s, now)
        state = replace(state, buckets=state.buckets.set(account.name, bucket))
    messages, lent, refused = (), 0, 0
    for request in pull.requests:
        step = handle_token_request(state, view, request, now)
        state, view = step.state
        messages += step.messages
        lent += step.item.lent
        refused += step.item.refused
    counted = Counted(account.name, lent=lent, refused=refused)
    return end_pipe((state, view), counted, *messages)


def _give_bucket(state, view, handover, now):
    """Answer with the level, and lend no more of it from now on."""
    name = handover.account
    bucket = state.buckets.get(name)
    successor = _find_successor(state, name, now)
    level = NO_LEVEL
    if successor is None and bucket is not None and bucket.is_first:
        level = max(0.0, refill_bucket(state, view, bucket, now).level)
    elif successor is None and name in view.accounts and is_settled(view, now):
        view, ranking = rank_members(view, name)
        if ranking and ranking[0].node == view.own.node:
            since_s = first_since_s(view, name)
            account = view.accounts[name]
            level = _begin_bucket(state, view, account, since_s, now).level
    elif successor is not None:
        level = successor[2] if successor[0] == handover.node else 0.0
    if level >= 0 and (successor is None or successor[0] == handover.node):
        state = _end_lending(state, name, handover.node, level, now)
    body = BucketHandover(view.own.node, name, level)
    return end_pipe((state, view), Counted(), _to(handover.node, body))


def _end_lending(state, name, node, level, now):
    until_s = now + HANDOVER_VALID_S
    bucket = state.buckets.get(name)
    buckets = state.buckets
    if bucket is not None:
        buckets = buckets.set(name, replace(bucket, is_first=False, level=0.0))
    return replace(
        state,
        buckets=buckets,
        successors=state.successors.set(name, (node, until_s, level)),
        inherited=_without(state.inherited, name),
    )


def _without(entries, name):
    return entries.delete(name) if name in entries else entries


def _drop_successors(state, before, view):
    """Forget successors that have been members and no longer are.

    A successor that has never been one may have joined without being seen yet.
    """
    if view.members is before.members or not state.successors:
        return state
    successors = state.successors
    gone = {r.node for r in before.members.values()}
    gone -= {r.node for r in view.members.values()}
    for name, successor in successors.items():
        if successor[0] in gone:
            successors = successors.delete(name)
    return replace(state, successors=successors)


def apply_view(state, before, view, now):
    """Use a changed view: other limits, another holder, or this node leaves.

    ``before`` is the view until now. Buckets whose first member is another node are
    handed over to it.
    """
    messages = ()
    state = _drop_successors(state, before, view)
    for name, bucket in state.buckets.items():
        bucket = refill_bucket(state, before, bucket, now)
        account = view.accounts.get(name)
        if account is not None:
            bucket = change_limits(bucket, account)
        state = replace(state, buckets=state.buckets.set(name, bucket))
        if not bucket.is_first or state.inherited.get(name, 0.0) > now:
            if not view.leaving:
                continue
        view, ranking = rank_members(view, name)
        others = [record.node for record in ranking if record.node != view.own.node]
        stays = ranking and ranking[0].node == view.own.node and not view.leaving
        if stays or not others or not bucket.is_first:
            continue
        level = max(0.0, bucket.level)
        state = _end_lending(state, name, others[0], level, now)
        body = BucketHandover(view.own.node, name, level)
        messages += (_to(others[0], body),)
    return end_pipe((state, view), Counted(), *messages)


def advance_holder(state, view, now):
    """Repeat or end the requests for levels."""
    messages, counted = (), Counted()
    for name, pull in state.pulls.items():
        if now - pull.sent_s < HANDOVER_RESEND_S:
            continue
        account = view.accounts.get(name)
        if account is None:
            state = replace(state, pulls=state.pulls.delete(name))
        elif pull.tries >= HANDOVER_TRIES:
            # What the member before has lent is not known.
            step = _end_pull(state, view, account, now, now)
            (state, view), counted = step.state, step.item
            messages += step.messages
        else:
            pull = replace(pull, tries=pull.tries + 1, sent_s=now)
            state = replace(state, pulls=state.pulls.set(name, pull))
            body = BucketHandover(view.own.node, name, wanted=True)
            messages += (_to(pull.target, body),)
    return end_pipe((state, view), counted, *messages)
