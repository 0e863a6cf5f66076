"""The floor: how much healthy capacity ejection must leave.

The share of a group is fixed by the declarations alone. The sum over the
groups of a service is at least the service's floor, so that no combination
of owners' views can cross it.
"""

import math

from comfreyusher.health._evidence import Standing


def floor_slots(profile, configured_slots):
    """Return the healthy slots that ejection must leave in a group."""
    return math.ceil(profile.floor_share * configured_slots)


def allows_ejection(upstreams, candidate, floor):
    """Tell whether the group stays at its floor without the candidate.

    ``upstreams`` are objects with ``name``, ``slots`` and ``health``. Cold,
    leaving, ejected and returning upstreams do not count as healthy.
    """
    left = sum(
        upstream.slots
        for upstream in upstreams
        if upstream.health.standing is Standing.HEALTHY
        and upstream.name != candidate.name
    )
    return left >= floor
