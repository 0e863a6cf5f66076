"""What an entry node may spend while no holder answers it.

Such a node cannot tell a dead holder from one that others still reach. So the sum over
all nodes that may be cut off is bounded; docs/design/quotas.md adds it up.
"""

import dataclasses

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
CUT_OFF_PARTS = {
    SAME_DATA_CENTRE_SHARE: 0.1,
    SAME_REGION_SHARE: 0.25,
    OTHER_REGION_SHARE: 0.5,
}
# The nodes that may spend one in a fleet of four data centres whose holder is dead.
FIRST_PART = 0.42
FIRST_TOKEN_SLACK_SHARE = 0.5
CUT_OFF_AFTER_S = 2.0
MIN_SILENT = 2
# Other nodes send several messages a second to each node under load.
LONELY_AFTER_S = 0.6
FIRST_TOKEN_MARGIN_S = 0.5


def begin_alone(tokens, view, account, holder, rate_per_s, now):
    """Return the tokens of an account whose holder does not answer from now on."""
    if tokens.alone_since_s is not None:
        return tokens
    steady = account.rate_per_s * view.window_s
    usual = steady / (steady + account.burst)
    return replace(
        tokens,
        alone=0.0 if _is_forgotten(tokens, view, now) else tokens.alone,
        alone_s=now,
        alone_since_s=now,
        alone_rate_per_s=rate_per_s * usual * _find_share(view, holder),
    )


def end_alone(tokens):
    """Return the tokens of an account whose holder answers."""
    if tokens.alone_since_s is None:
        return tokens
    return replace(tokens, alone_since_s=None)


def _is_forgotten(tokens, view, now):
    return tokens.alone_s is None or now - tokens.alone_s > view.window_s


def _may_spend_first(tokens, view, account, holder, lonely, now):
    """Tell whether this node may spend the one token that a window allows it.

    Most nodes have had no request of an account for a while. None may spend one for an
    account that was over its rate, and none soon after a start: a whole fleet that
    starts anew has no denials, and would spend one token a node.
    """
    if now - tokens.denied_s < DENIED_KEPT_S:
        return False
    if now < view.settled_s + view.window_s:
        return False
    if now - tokens.first_s < view.window_s + FIRST_TOKEN_MARGIN_S:
        return False
    drawn = xxhash.xxh32_intdigest(f"{view.own.node}{account.name}".encode()) / 2**32
    return drawn < _first_probability(view, account, holder, lonely, now)


def _first_probability(view, account, holder, lonely, now):
    """Return the part of the nodes that may spend a first token.

    If the holder lives, the nodes that a fault cuts off from it stay within the slack.
    If it is dead, all nodes stay within what it would have lent besides.
    """
    nodes = count_known(view, now)
    allowed = view.slack * FIRST_TOKEN_SLACK_SHARE + view.overshoot * account.burst
    if lonely:
        return min(1.0, allowed / (CUT_OFF_PART * nodes))
    part = CUT_OFF_PARTS[_find_share(view, holder)]
    whole = allowed + account.rate_per_s * view.window_s
    return min(1.0, allowed / (part * nodes)) * min(1.0, whole / (FIRST_PART * nodes))


def _find_share(view, holder):
    record = view.members.get(holder.rpartition(".")[0])
    if record is None or record.region != view.own.region:
        return OTHER_REGION_SHARE
    if record.data_centre != view.own.data_centre:
        return SAME_REGION_SHARE
    return SAME_DATA_CENTRE_SHARE


def spend_alone(tokens, view, account, holder, isolation, now):
    """Return the tokens, and whether one request may run without a holder.

    A ``lonely`` node hears no other, so that it is cut off rather than its holder dead.
    """
    level = tokens.alone + _earn(tokens, view, account, isolation.cut_off, now)
    level = min(level, max(1.0, tokens.alone_rate_per_s))
    if level >= 1:
        return replace(tokens, alone=level - 1, alone_s=now), True
    tokens = replace(tokens, alone=level, alone_s=now)
    if _may_spend_first(tokens, view, account, holder, isolation.lonely, now):
        return replace(tokens, first_s=now), True
    return tokens, False


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """Whether this node hears no other for a moment, and whether it is cut off."""

    lonely: bool
    cut_off: bool


def find_isolation(state, view, now):
    """Return the ``Isolation`` of this node."""
    silent_s = now - max(state.heard_s, view.started_s)
    return Isolation(silent_s > LONELY_AFTER_S, is_cut_off(state, view, now))


def _earn(tokens, view, account, cut_off, now):
    """Return what was earned since the last time, at the rate of each phase."""
    since_s = tokens.alone_since_s
    spend_s = min(now, since_s + SPEND_S) - tokens.alone_s
    earned = max(0.0, spend_s) * tokens.alone_rate_per_s
    if cut_off:
        share_s = now - max(tokens.alone_s, since_s + SHARE_AFTER_S)
        earned += max(0.0, share_s) * account.rate_per_s / count_known(view, now)
    return earned


def is_cut_off(state, view, now):
    """Tell whether no other node answers this one, which is not alone in the fleet."""
    others = count_known(view, now) - 1
    # A node that sees no other has none that could be silent.
    askable = len(view.members) + len(view.lost) - 1
    if others < 1 or len(state.silent) < min(MIN_SILENT, askable):
        return False
    return now - max(state.heard_s, view.started_s) > CUT_OFF_AFTER_S
