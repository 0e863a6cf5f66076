"""Decisions of an entry node on the tokens that its requests need.

A step's item holds the numbers that are counted, as ``Spent``. Times are monotonic
seconds.
"""

import math

from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.messages import TokenRequest, ToNode
from comfreyusher.quota._alone import (
    begin_alone,
    end_alone,
    find_isolation,
    spend_alone,
)
from comfreyusher.quota._requests import (
    GRANTED_MEAN_S,
    count_demand,
    decide,
    granted_rate,
    refuse,
    refuse_unanswered,
    take_lease,
)
from comfreyusher.quota._state import (
    AccountTokens,
    Ask,
    Lease,
    Spent,
)
from comfreyusher.quota._view import rank_members

DATAGRAMS = "datagrams"
LEASE_S = 0.2
# Half the lifetime of a lease, so that few tokens expire unused.
PREFETCH_S = 0.1
RESEND_S = 0.05
SILENT_AFTER_S = 0.1
# A first member that was heard within this time gets as much longer to answer.
BUSY_HOLDER_S = 0.3
SILENT_KEPT_S = 2.0
GIVE_UP_S = 0.4
MAX_QUIET_S = 0.5
TOKENS_KEPT_S = 120.0


# Requests ---------------------------------------------------------------------------


def want_token(state, view, exchange, name, now):
    """Give a request a leased token, refuse it, or ask the holder for one."""
    if name not in view.accounts:
        return end_pipe((state, view), Spent(), decide(exchange, name, True))
    tokens = count_demand(state.accounts.get(name, AccountTokens()), now)
    tokens, lease = take_lease(tokens, now)
    if lease is not None:
        state = _set(state, name, tokens)
        return end_pipe((state, view), Spent(), decide(exchange, name, True))
    if now < tokens.quiet_until_s:
        tokens, refusal = refuse(view, tokens, name, exchange, now)
        return end_pipe((_set(state, name, tokens), view), Spent(refused=1), refusal)
    tokens = replace(tokens, waiting=(*tokens.waiting, exchange))
    covered = sum(ask.wanted for ask in tokens.asks)
    state = _set(state, name, tokens)
    if covered >= len(tokens.waiting):
        return end_pipe((state, view), Spent())
    prefetch = int(tokens.demand_per_s * PREFETCH_S)
    missing = len(tokens.waiting) - covered
    return _ask(state, view, name, missing + prefetch, now)


def _set(state, name, tokens):
    active = state.active
    if tokens.asks or tokens.leases or tokens.unused:
        active = active.set(name, None)
    accounts = state.accounts.set(name, tokens)
    return replace(state, accounts=accounts, active=active)


def return_token(state, name):
    """Note that a token was not used; the next request to its holder returns it."""
    tokens = state.accounts.get(name)
    if tokens is None or not tokens.lender:
        return state
    return _set(state, name, replace(tokens, unused=tokens.unused + 1))


# Holders ----------------------------------------------------------------------------


def _ask(state, view, name, wanted, now):
    """Ask the first member, and the second as well if the first is known as silent."""
    view, ranking = rank_members(view, name)
    if not ranking:
        return end_pipe((state, view), Spent())
    tokens = state.accounts[name]
    first = ranking[0].node
    number = state.number + 1
    returned = tokens.unused if tokens.lender == first else 0
    ask = Ask(number, wanted, first, now, now)
    messages = (_build_request(view, name, ask, first, 0, returned),)
    if _is_silent(state, first, now) and len(ranking) > 1:
        second = _choose_second(ranking, first)
        ask = replace(ask, second=second)
        messages += (_build_request(view, name, ask, ask.second, 1, 0),)
    tokens = replace(tokens, asks=(*tokens.asks, ask), unused=0)
    state = replace(_set(state, name, tokens), number=number)
    return end_pipe((state, view), Spent(), *messages)


def _choose_second(ranking, first):
    """Return the second member: reserves of more than one would add up."""
    return next((r.node for r in ranking if r.node != first), "")


def _build_request(view, name, ask, node, rank, returned):
    request = TokenRequest(view.own.node, ask.number, name, ask.wanted, returned, rank)
    return Envelope(DATAGRAMS, ToNode(node, request))


def _is_silent(state, node, now):
    return now - state.silent.get(node, -math.inf) < SILENT_KEPT_S


def record_heard(state, view, node, now):
    """Return the state after any message of another node."""
    if node == view.own.node:
        return state
    heard = state.heard.set(node, now)
    silent = state.silent
    if node in silent:
        silent = silent.delete(node)
    return replace(state, heard=heard, silent=silent, heard_s=now)


def handle_token_grant(state, view, grant, now):
    """Use lent tokens, ask another member, or refuse requests until the time told."""
    state = record_heard(state, view, grant.node, now)
    tokens = state.accounts.get(grant.account)
    ask = _find_ask(tokens, grant.number)
    if ask is None:
        return end_pipe((state, view), Spent())
    if grant.account not in view.accounts:
        return _end_asks(state, view, grant.account)
    if grant.first:
        return _follow(state, view, grant, ask, now)
    if grant.node != ask.first:
        return _use_reserve(state, view, grant, ask, now)
    tokens = end_alone(tokens)
    tokens = replace(tokens, asks=_without_ask(tokens, ask), lender=grant.node)
    state, messages = _use(state, view, grant, ask, tokens, now)
    if not grant.retry_after_ms:
        return end_pipe((state, view), Spent(), *messages)
    tokens = state.accounts[grant.account]
    quiet_s = min(MAX_QUIET_S, grant.retry_after_ms / 1000)
    tokens = replace(tokens, quiet_until_s=now + quiet_s, denied_s=now)
    step = _refuse_uncovered(state, view, grant.account, tokens, now)
    return end_pipe(step.state, step.item, *messages, *step.messages)


def _find_ask(tokens, number):
    if tokens is None:
        return None
    return next((ask for ask in tokens.asks if ask.number == number), None)


def _without_ask(tokens, ask):
    return tuple(other for other in tokens.asks if other.number != ask.number)


def _use(state, view, grant, ask, tokens, now):
    """Give lent tokens to the requests that wait, and keep the rest for a while."""
    served = tokens.waiting[: grant.granted]
    messages = tuple(decide(exchange, grant.account, True) for exchange in served)
    leases, left = tokens.leases, grant.granted - len(served)
    if left > 0:
        leases = (*leases, Lease(grant.node, left, ask.asked_s + LEASE_S))
    granted = granted_rate(tokens, now) + grant.granted / GRANTED_MEAN_S
    tokens = replace(
        tokens,
        waiting=tokens.waiting[len(served) :],
        leases=leases,
        granted_per_s=granted,
        granted_s=now,
    )
    return _set(state, grant.account, tokens), messages


def _refuse_uncovered(state, view, name, tokens, now):
    """Refuse the requests that wait for no other answer."""
    covered = sum(ask.wanted for ask in tokens.asks)
    kept, refused = tokens.waiting[:covered], tokens.waiting[covered:]
    tokens, messages = replace(tokens, waiting=kept), ()
    for exchange in refused:
        tokens, refusal = refuse(view, tokens, name, exchange, now)
        messages += (refusal,)
    state = _set(state, name, tokens)
    return end_pipe((state, view), Spent(refused=len(refused)), *messages)


def _follow(state, view, grant, ask, now):
    """Ask the member that another one has named, once."""
    if grant.node != ask.first or ask.followed:
        return end_pipe((state, view), Spent())
    followed = replace(ask, first=grant.first, followed=True, sent_s=now)
    state = _replace_ask(state, grant.account, followed)
    request = _build_request(view, grant.account, followed, grant.first, 2, 0)
    return end_pipe((state, view), Spent(), request)


def _replace_ask(state, name, ask):
    tokens = state.accounts[name]
    asks = tuple(ask if a.number == ask.number else a for a in tokens.asks)
    return _set(state, name, replace(tokens, asks=asks))


def _use_reserve(state, view, grant, ask, now):
    """Use tokens of a reserve; without any the first member may still answer."""
    if not grant.granted:
        return end_pipe((state, view), Spent())
    tokens = state.accounts[grant.account]
    tokens = replace(tokens, asks=_without_ask(tokens, ask))
    served = tokens.waiting[: grant.granted]
    messages = tuple(decide(exchange, grant.account, True) for exchange in served)
    left = grant.granted - len(served)
    leases = tokens.leases
    if left > 0:
        leases = (*leases, Lease("", left, ask.asked_s + LEASE_S))
    tokens = replace(tokens, waiting=tokens.waiting[len(served) :], leases=leases)
    step = _continue_waiting(state, view, grant.account, tokens, now)
    return end_pipe(step.state, step.item, *messages, *step.messages)


def _continue_waiting(state, view, name, tokens, now):
    """Ask again for the requests that wait without an ask."""
    state = _set(state, name, tokens)
    missing = len(tokens.waiting) - sum(ask.wanted for ask in tokens.asks)
    if missing <= 0:
        return end_pipe((state, view), Spent())
    return _ask(state, view, name, missing, now)


# Time -------------------------------------------------------------------------------


def advance_tokens(state, view, now):
    """Repeat requests to holders, give up those without an answer, expire leases."""
    messages, spent = (), Spent()
    for name in state.active:
        state = _expire_leases(state, name, now)
        for ask in state.accounts[name].asks:
            step = _advance_ask(state, view, name, ask, now)
            state, view = step.state
            messages += step.messages
            spent = spent.add(step.item)
        step = _return_unused(state, view, name, now)
        state, view = step.state
        messages += step.messages
        tokens = state.accounts[name]
        if not (tokens.asks or tokens.leases or tokens.unused):
            state = replace(state, active=state.active.delete(name))
    return end_pipe((state, view), spent, *messages)


def _expire_leases(state, name, now):
    tokens = state.accounts[name]
    expired = [lease for lease in tokens.leases if lease.expires_s <= now]
    if not expired:
        return state
    # Tokens of a reserve have no lender, as an account has before its first answer.
    returned = [e for e in expired if e.lender and e.lender == tokens.lender]
    unused = sum(lease.count for lease in returned)
    leases = tuple(lease for lease in tokens.leases if lease.expires_s > now)
    tokens = replace(tokens, leases=leases, unused=tokens.unused + unused)
    return _set(state, name, tokens)


def _return_unused(state, view, name, now):
    """Return unused tokens to their holder; a lost datagram loses them."""
    tokens = state.accounts[name]
    if not tokens.unused or tokens.asks:
        return end_pipe((state, view), Spent())
    number = state.number + 1
    request = TokenRequest(view.own.node, number, name, 0, tokens.unused, 0)
    state = replace(_set(state, name, replace(tokens, unused=0)), number=number)
    envelope = Envelope(DATAGRAMS, ToNode(tokens.lender, request))
    return end_pipe((state, view), Spent(), envelope)


def _advance_ask(state, view, name, ask, now):
    if name not in view.accounts:
        return _end_asks(state, view, name)
    view, ranking = rank_members(view, name)
    first_silent = _is_silent(state, ask.first, now)
    second_silent = not ask.second or _is_silent(state, ask.second, now)
    # A busy first member answers late, and one that does not know the account never.
    is_busy = now - state.heard.get(ask.first, -math.inf) < BUSY_HOLDER_S
    busy_s = BUSY_HOLDER_S if is_busy else 0.0
    give_up_s = SILENT_AFTER_S if first_silent and second_silent else GIVE_UP_S
    # A node that has just started holds its requests: holders that started with it
    # lend nothing until they know the fleet.
    waits = now < view.settled_s + GIVE_UP_S
    was_asked = bool(ask.second) or len(ranking) < 2
    if now - ask.asked_s >= give_up_s + busy_s and was_asked and not waits:
        state = _mark_silent(state, view, ask, now)
        return _give_up(state, view, name, ask, now)
    messages = ()
    if now - ask.sent_s >= RESEND_S * min(ask.sends, 2):
        rank = 2 if ask.followed else 0
        messages = (_build_request(view, name, ask, ask.first, rank, 0),)
        ask = replace(ask, sends=ask.sends + 1, sent_s=now)
    if now - ask.asked_s >= SILENT_AFTER_S + busy_s and not ask.second:
        state = replace(state, silent=state.silent.set(ask.first, now))
        second = _choose_second(ranking, ask.first)
        if second:
            ask = replace(ask, second=second)
            messages += (_build_request(view, name, ask, second, 1, 0),)
    state = _replace_ask(state, name, ask)
    return end_pipe((state, view), Spent(), *messages)


def _end_asks(state, view, name):
    """Let all requests run that wait for an account without a rate."""
    tokens = state.accounts[name]
    decisions = tuple(decide(exchange, name, True) for exchange in tokens.waiting)
    state = _set(state, name, replace(tokens, asks=(), waiting=()))
    return end_pipe((state, view), Spent(), *decisions)


def _mark_silent(state, view, ask, now):
    silent = state.silent
    for node in (ask.first, ask.second):
        if node and state.heard.get(node, -math.inf) < ask.asked_s:
            silent = silent.set(node, now)
    return replace(state, silent=silent)


def _give_up(state, view, name, ask, now):
    """End an ask that no member answered: spend alone what is allowed, or refuse."""
    tokens = state.accounts[name]
    tokens = replace(tokens, asks=_without_ask(tokens, ask))
    covered = sum(other.wanted for other in tokens.asks)
    count = max(0, len(tokens.waiting) - covered)
    affected, waiting = tokens.waiting[:count], tokens.waiting[count:]
    account = view.accounts[name]
    rate = granted_rate(tokens, now)
    tokens = begin_alone(tokens, view, account, ask.first, rate, now)
    isolation = find_isolation(state, view, now)
    messages, alone = (), 0
    for exchange in affected:
        tokens, granted = spend_alone(tokens, view, account, ask.first, isolation, now)
        alone += granted
        answer = decide(exchange, name, True)
        if not granted:
            answer = refuse_unanswered(view, name, exchange)
        messages += (answer,)
    state = _set(state, name, replace(tokens, waiting=waiting))
    spent = Spent(alone=alone, refused=len(affected) - alone)
    return end_pipe((state, view), spent, *messages)


def prune_tokens(state, now):
    """Drop accounts that are not in use here, and what was heard long ago."""
    accounts = state.accounts
    for name, tokens in accounts.items():
        idle = now - max(tokens.demand_s, tokens.alone_s or 0.0) > TOKENS_KEPT_S
        if idle and name not in state.active and not tokens.waiting:
            accounts = accounts.delete(name)
    heard = state.heard
    for node, heard_s in heard.items():
        if now - heard_s > BUSY_HOLDER_S:
            heard = heard.delete(node)
    silent = state.silent
    for node, silent_s in silent.items():
        if now - silent_s > SILENT_KEPT_S:
            silent = silent.delete(node)
    return replace(state, accounts=accounts, heard=heard, silent=silent)
