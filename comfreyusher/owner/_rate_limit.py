"""Limits of requests per second that upstreams name in their responses.

The owner of a group gives every grant of its upstreams, so it keeps to a limit for
all nodes together. While owners change, two may keep to it at the same time.
"""

from comfreyusher.flow import replace
from comfreyusher.messages import UNKNOWN_LIMIT, Verdict
from comfreyusher.owner._state import RateLimit, replace_upstream

BURST_REQUESTS = 1.0
BURST_S = 0.1
# Tokens that a request takes, by the rank of the owner that it asked. The owners
# before it may still be granting as well, and all nodes ask themselves at last.
TOKENS_BY_RANK = (1.0, 2.5, 20.0)


def record_limit(group, report, now):
    """Return the group after a report, which tells what its upstream's response named.

    A successful response without a limit ends the limit, unless the request was sent
    before the limit was named.
    """
    upstream = group.upstreams[report.upstream]
    if report.limit_per_s > 0:
        limit = _name_limit(upstream.rate_limit, report.limit_per_s, now)
    elif report.verdict is not Verdict.GOOD:
        return group
    elif _is_older(report, upstream.rate_limit, now):
        return group
    else:
        limit = None
    if upstream.limit_known and limit is upstream.rate_limit:
        return group
    upstream = replace(upstream, rate_limit=limit, limit_known=True)
    return replace_upstream(group, upstream)


def _name_limit(known, per_s, now):
    if known is None:
        return RateLimit(per_s, 0.0, now, now)
    tokens = min(count_tokens(known, now), _burst(per_s))
    return RateLimit(per_s, tokens, now, now)


def _is_older(report, limit, now):
    return limit is not None and now - report.took_ms / 1000 < limit.named_s


def _burst(per_s):
    return BURST_REQUESTS + BURST_S * per_s


def count_tokens(limit, now):
    """Return how many requests may be granted now."""
    earned = (now - limit.refilled_s) * limit.per_s
    return min(_burst(limit.per_s), limit.tokens + earned)


def has_token(upstream, now):
    """Tell whether the limit of an upstream, if it has one, allows a request now."""
    return upstream.rate_limit is None or count_tokens(upstream.rate_limit, now) >= 1


def take_token(upstream, owner_rank, now):
    """Return the upstream after a request was granted."""
    limit = upstream.rate_limit
    if limit is None:
        return upstream
    last_rank = len(TOKENS_BY_RANK) - 1
    cost = TOKENS_BY_RANK[min(owner_rank, last_rank)]
    tokens = count_tokens(limit, now) - cost
    limit = replace(limit, tokens=tokens, refilled_s=now)
    return replace(upstream, rate_limit=limit)


def limit_to_tell(upstream):
    """Return what a grant tells its entry node of an upstream's limit."""
    if upstream.rate_limit is not None:
        return upstream.rate_limit.per_s
    return 0.0 if upstream.limit_known else UNKNOWN_LIMIT


def limit_slots(upstream, slots, mean_s):
    """Return how many slots requests of ``mean_s`` seconds can keep busy."""
    if upstream.rate_limit is None:
        return slots
    return min(slots, upstream.rate_limit.per_s * mean_s)
