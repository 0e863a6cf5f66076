"""What an entry knows of owners: who answers, and how long to wait for one."""

import collections

import immutables

from comfreyusher.entry._state import Phase
from comfreyusher.flow import drop_before, replace

ASK_WAIT_S = 0.05
ASK_WAIT_FAR_S = 0.15
ASK_WAIT_MOST_S = 0.4
QUEUED_ASK_WAIT_S = 0.4
ASK_COST_S = 0.001
BUSY_OWNER_S = 0.3


def note_heard(state, owner):
    """Return the state after an owner has answered anything."""
    silent = state.silent_owners
    if owner in silent:
        silent = silent.delete(owner)
    heard = state.heard.set(owner, state.awake_s)
    return replace(state, heard=heard, silent_owners=silent)


def count_asking(state, visits):
    """Return the state with the number of unanswered attempts of each owner."""
    counts = collections.Counter(
        attempt.owner
        for visit in visits
        for attempt in visit.attempts
        if attempt.phase is Phase.ASKING
    )
    return replace(state, asking=immutables.Map(counts))


def forget_old(state):
    """Return the state without memories whose time is over."""
    silent = drop_before(state.silent_owners, state.now_s)
    avoided = drop_before(state.avoided, state.now_s)
    heard = drop_before(state.heard, state.awake_s - BUSY_OWNER_S)
    return replace(state, silent_owners=silent, avoided=avoided, heard=heard)


def is_busy(state, owner):
    """Tell whether an owner answers, though not everything at once."""
    heard_s = state.heard.get(owner)
    return heard_s is not None and state.awake_s - heard_s < BUSY_OWNER_S


def is_ask_due(state, attempt):
    """Tell whether an owner that has not answered should be asked again.

    An owner needs some time for each of the asks that it has got.
    """
    if attempt.phase is Phase.QUEUED:
        wait_s = QUEUED_ASK_WAIT_S if attempt.unheard == 0 else ASK_WAIT_FAR_S
    elif attempt.phase is Phase.ASKING:
        wait_s = ASK_WAIT_S
        if is_busy(state, attempt.owner):
            wait_s = min(ASK_WAIT_MOST_S, ASK_WAIT_S * 2 ** (attempt.unheard - 1))
        wait_s += ASK_COST_S * state.asking.get(attempt.owner, 0)
    else:
        return False
    return state.awake_s - attempt.told_s >= wait_s
