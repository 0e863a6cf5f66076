"""Requests in flight on upstreams that other owners of the group granted.

While owners change, two of them may grant the same slots. Entry nodes know what
they have in flight, so they tell each owner what another one granted. Only the
owner that takes over, or returns, gets such counts.
"""

import dataclasses

import immutables

from comfreyusher.flow import replace

# Nodes repeat their counts with each grant request.
LOAD_KEPT_S = 0.5
NO_LOADS = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLoad:
    """What an entry node had in flight at ``heard_s``: counts by upstream."""

    counts: immutables.Map
    heard_s: float


def record_load(group, request, now):
    """Return the group after a grant request told of grants of other owners."""
    loads = group.other_loads
    if request.other_loads:
        counts = immutables.Map(
            {load.upstream: load.count for load in request.other_loads}
        )
        return replace(
            group, other_loads=loads.set(request.node, NodeLoad(counts, now))
        )
    if request.node in loads:
        return replace(group, other_loads=loads.delete(request.node))
    return group


def count_other_loads(group, now):
    """Return the requests that other owners granted, a map of counts by upstream."""
    if not group.other_loads:
        return NO_LOADS
    counts = {}
    for load in group.other_loads.values():
        if now - load.heard_s <= LOAD_KEPT_S:
            for upstream, count in load.counts.items():
                counts[upstream] = counts.get(upstream, 0) + count
    return counts
