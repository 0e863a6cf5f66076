"""Demand of an entry node for an account's tokens, and its refusals.

Times are monotonic seconds.
"""

import math

import xxhash

from comfreyusher.flow import Envelope, replace
from comfreyusher.quota._messages import TokenDecision
from comfreyusher.quota._view import count_known

ENTRY = "entry"
DEMAND_MEAN_S = 1.0
GRANTED_MEAN_S = 5.0
MAX_RETRY_AFTER_S = 5.0
NO_HOLDER_RETRY_AFTER_MS = 500


def decide(exchange, name, granted, retry_after_ms=0):
    return Envelope(ENTRY, TokenDecision(exchange, granted, retry_after_ms, name))


def count_demand(tokens, now):
    elapsed_s = max(0.0, now - tokens.demand_s)
    demand = tokens.demand_per_s * math.exp(-elapsed_s / DEMAND_MEAN_S)
    return replace(tokens, demand_per_s=demand + 1 / DEMAND_MEAN_S, demand_s=now)


def take_lease(tokens, now):
    """Return the tokens less one, and the lease that it was taken from or ``None``."""
    for index, lease in enumerate(tokens.leases):
        if lease.expires_s > now:
            left = replace(lease, count=lease.count - 1)
            kept = (left,) if left.count else ()
            leases = (*tokens.leases[:index], *kept, *tokens.leases[index + 1 :])
            return replace(tokens, leases=leases), lease
    return tokens, None


def refuse(view, tokens, name, exchange, now):
    """Refuse a request behind all that were refused before it and may come again.

    The requests refused count as a queue that this node's share of the rate serves.
    """
    rate = _own_rate(view, tokens, name, now)
    backlog = max(0.0, tokens.backlog - (now - tokens.backlog_s) * rate)
    # No two callers of a node, and hardly two of the fleet, are told the same time.
    spread = _spread(view, exchange)
    wait_s = max(0.0, tokens.quiet_until_s - now) + (backlog + spread) / rate
    horizon_s = MAX_RETRY_AFTER_S * (1 + spread) / 2
    backlog = min(backlog + 1, MAX_RETRY_AFTER_S * rate)
    tokens = replace(tokens, backlog=backlog, backlog_s=now)
    retry_after_ms = max(1, math.ceil(min(wait_s, horizon_s) * 1000))
    return tokens, decide(exchange, name, False, retry_after_ms)


def _own_rate(view, tokens, name, now):
    """Return the tokens per second that this node may expect."""
    fair = view.accounts[name].rate_per_s / count_known(view, now)
    return max(granted_rate(tokens, now), fair)


def granted_rate(tokens, now):
    """Return the tokens per second that this node got in the last seconds."""
    elapsed_s = max(0.0, now - tokens.granted_s)
    return tokens.granted_per_s * math.exp(-elapsed_s / GRANTED_MEAN_S)


def refuse_unanswered(view, name, exchange):
    """Refuse a request since no holder answers; it may find one at another node."""
    spread = _spread(view, exchange)
    retry_after_ms = int(NO_HOLDER_RETRY_AFTER_MS * (1 + 2 * spread))
    decision = TokenDecision(exchange, False, retry_after_ms, name, unanswered=True)
    return Envelope(ENTRY, decision)


def _spread(view, exchange):
    """Return a number from 0 to 1 that differs between the requests of the fleet."""
    return xxhash.xxh32_intdigest(f"{view.own.node}{exchange}".encode()) / 2**32
