"""What an entry node may spend while no holder answers it.

Such a node cannot tell a dead holder from one that others still reach. So the sum over
all nodes that may be cut off is bounded; docs/design/quotas.md adds it up.
"""

import xxhash

from comfreyusher.flow import replace
from comfreyusher.quota._view import count_known

# Shares of a node's recent granted rate, by where the holder is: links between
# regions, and between data centres, fail for many nodes at the same time.
SAME_DATA_CENTRE_SHARE = 0.5
SAME_REGION_SHARE = 0.2
OTHER_REGION_SHARE = 0.1
SPEND_S = 4.0
# By then the other nodes have declared a node dead that is cut off from them.
SHARE_AFTER_S = 6.0
DENIED_KEPT_S = 60.0
# The first tokens of all nodes in this part of the fleet stay within the slack.
CUT_OFF_PART = 0.1
FIRST_TOKEN_SLACK_SHARE = 0.5
CUT_OFF_AFTER_S = 2.0
MIN_SILENT = 2


def begin_alone(tokens, view, account, holder, rate_per_s, now):
    """Return the tokens of an account whose holder does not answer from now on."""
    if tokens.alone_since_s is not None:
        return tokens
    is_again = tokens.alone_s is not None and now - tokens.alone_s < view.window_s
    level = tokens.alone if is_again else _first_tokens(tokens, view, account, now)
    steady = account.rate_per_s * view.window_s
    usual = steady / (steady + account.burst)
    return replace(
        tokens,
        alone=level,
        alone_s=now,
        alone_since_s=now,
        alone_rate_per_s=rate_per_s * usual * _find_share(view, holder),
    )


def end_alone(tokens):
    """Return the tokens of an account whose holder answers."""
    if tokens.alone_since_s is None:
        return tokens
    return replace(tokens, alone_since_s=None)


def _first_tokens(tokens, view, account, now):
    """Return 1 or 0: most nodes have had no request of an account for a while.

    In a large fleet only some nodes may spend a first token, by a hash. None may for
    an account that was over its rate, and none soon after a start: a whole fleet that
    starts anew has no denials, and would spend one token a node.
    """
    if now - tokens.denied_s < DENIED_KEPT_S:
        return 0.0
    if now < view.settled_s + view.window_s:
        return 0.0
    allowed = view.slack * FIRST_TOKEN_SLACK_SHARE + view.overshoot * account.burst
    probability = allowed / (CUT_OFF_PART * count_known(view))
    drawn = xxhash.xxh32_intdigest(f"{view.own.node}{account.name}".encode()) / 2**32
    return 1.0 if drawn < probability else 0.0


def _find_share(view, holder):
    record = view.members.get(holder.rpartition(".")[0])
    if record is None or record.region != view.own.region:
        return OTHER_REGION_SHARE
    if record.data_centre != view.own.data_centre:
        return SAME_REGION_SHARE
    return SAME_DATA_CENTRE_SHARE


def spend_alone(tokens, view, account, cut_off, now):
    """Return the tokens, and whether one request may run without a holder."""
    level = tokens.alone + _earn(tokens, view, account, cut_off, now)
    level = min(level, max(1.0, tokens.alone_rate_per_s))
    granted = level >= 1
    return replace(tokens, alone=level - granted, alone_s=now), granted


def _earn(tokens, view, account, cut_off, now):
    """Return what was earned since the last time, at the rate of each phase."""
    since_s = tokens.alone_since_s
    spend_s = min(now, since_s + SPEND_S) - tokens.alone_s
    earned = max(0.0, spend_s) * tokens.alone_rate_per_s
    if cut_off:
        share_s = now - max(tokens.alone_s, since_s + SHARE_AFTER_S)
        earned += max(0.0, share_s) * account.rate_per_s / count_known(view)
    return earned


def is_cut_off(state, view, now):
    """Tell whether no other node answers this one, which is not alone in the fleet."""
    others = len(view.members) + len(view.lost) - 1
    if others < 1 or len(state.silent) < min(MIN_SILENT, others):
        return False
    return now - max(state.heard_s, view.started_s) > CUT_OFF_AFTER_S
