"""How many of the sound upstreams of a group get requests."""

import dataclasses

from comfreyusher.health import Standing, failure_probability
from comfreyusher.owner._window import count_totals

RECENT_FAILURE_S = 2.0
USAGE_SPAN_S = 2.0
FAILING_RISK = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUsage:
    """The sound upstreams of a group, and why some of them got no request lately.

    ``used`` upstreams got a request in the last ``USAGE_SPAN_S``. Of the others,
    ``ejected`` are ejected or on probation, ``risky`` are likely to fail, and ``idle``
    have no fault. ``served`` and ``failed`` count requests of the last
    ``OUTCOMES_SPAN_S``.
    """

    sound: int
    used: int
    ejected: int
    risky: int
    idle: int
    served: int
    failed: int


def is_sound(upstream, now):
    """Tell whether an upstream is listed and has not failed a request recently.

    Ejection does not matter here: it is this owner's decision.
    """
    if upstream.health.standing is Standing.LEAVING:
        return False
    return now - upstream.last_failure_s > RECENT_FAILURE_S


def measure_usage(group, now):
    """Return the ``UpstreamUsage`` of a group."""
    sound = [u for u in group.upstreams.values() if is_sound(u, now)]
    unused = [u for u in sound if now - u.last_grant_s > USAGE_SPAN_S]
    ejected, risky = 0, 0
    for upstream in unused:
        if upstream.health.standing in (Standing.EJECTED, Standing.PROBATION):
            ejected += 1
        elif is_risky(group, upstream, now):
            risky += 1
    served, failed = count_totals(group.outcomes, now)
    used = len(sound) - len(unused)
    idle = len(unused) - ejected - risky
    return UpstreamUsage(len(sound), used, ejected, risky, idle, served, failed)


def is_risky(group, upstream, now):
    """Tell whether an upstream is likely to fail its next request."""
    detection = group.plan.profile.detection
    risk = failure_probability(upstream.failure_estimate, detection, now)
    return risk >= FAILING_RISK


def is_below_floor(group, usage):
    """Tell whether too few sound upstreams got requests, though there were enough.

    With fewer requests than sound upstreams, most upstreams cannot get any.
    """
    enough_requests = usage.served + usage.failed >= usage.sound
    floor_share = group.plan.profile.floor_share
    return enough_requests and usage.used < floor_share * usage.sound
