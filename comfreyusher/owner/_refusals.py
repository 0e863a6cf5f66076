"""Upstreams that want no requests from a node, or from any, for some time.

An upstream that turns a request away may name a time in which it wants no further
one from that node. The requests of other nodes go on: the upstream may have room for
some of them. Once it has turned several nodes away without serving a request in
between, all nodes wait until the first of these times is over.
"""

from comfreyusher.flow import drop_before, replace
from comfreyusher.messages import Verdict
from comfreyusher.owner._state import replace_upstream

MIN_REFUSED_NODES = 2
MILLISECONDS_PER_SECOND = 1000


def record_refusal(group, report, now):
    """Return the group after a report, which tells what its upstream's response named.

    A success of a request that was sent after the last refusal ends the wait of the
    nodes that were not refused themselves.
    """
    upstream = group.upstreams[report.upstream]
    if report.retry_after_ms:
        upstream = _refuse(upstream, report, now)
        until_s = max(group.refusals_until_s, *upstream.refused_until_s.values())
        group = replace(group, refusals_until_s=until_s)
        return replace_upstream(group, upstream)
    sent_s = now - report.took_ms / MILLISECONDS_PER_SECOND
    served = report.verdict is Verdict.GOOD and sent_s >= upstream.last_refusal_s
    if served and upstream.held_until_s > now:
        return replace_upstream(group, replace(upstream, held_until_s=0.0))
    return group


def _refuse(upstream, report, now):
    until_s = now + report.retry_after_ms / MILLISECONDS_PER_SECOND
    refused_until_s = drop_before(upstream.refused_until_s, now)
    until_s = max(until_s, refused_until_s.get(report.key.node, until_s))
    refused_until_s = refused_until_s.set(report.key.node, until_s)
    held_until_s = upstream.held_until_s
    if len(refused_until_s) >= MIN_REFUSED_NODES:
        held_until_s = min(refused_until_s.values())
    return replace(
        upstream,
        refused_until_s=refused_until_s,
        held_until_s=held_until_s,
        last_refusal_s=now,
    )


def refused_until_s(upstream, node):
    """Return when the upstream wants requests from a node again, or a past time."""
    return max(upstream.held_until_s, upstream.refused_until_s.get(node, 0.0))
