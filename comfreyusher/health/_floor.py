"""The floor: the healthy capacity that ejection must leave in a group.

The floor of a group depends on the declarations alone. The sum of the floors
of the groups of a service is at least the floor of the service. The owners of
the groups may see different upstreams as healthy, but together they cannot
eject below the floor of the service.
"""

import math

from comfreyusher.health._evidence import Standing


def floor_slots(profile, configured_slots):
    """Return the number of healthy slots that ejection must leave in a group."""
    return math.ceil(profile.floor_share * configured_slots)


def allows_ejection(upstreams, candidate, floor):
    """Tell whether the group keeps its floor without the candidate.

    ``upstreams`` are objects with ``name``, ``slots`` and ``health``; ``floor``
    is in slots. Only the standing ``HEALTHY`` counts as healthy: not cold,
    ejected or leaving upstreams, nor those on probation.
    """
    remaining_slots = sum(
        upstream.slots
        for upstream in upstreams
        if upstream.health.standing is Standing.HEALTHY
        and upstream.name != candidate.name
    )
    return remaining_slots >= floor
