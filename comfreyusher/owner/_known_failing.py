"""Upstreams that fail every request now, by their last few.

The floor may keep them from being ejected. Since they fail at once, their slots
are free while those of the others are in use.
"""

from comfreyusher.health import Standing

# One that fails half of its requests still serves some, and is used under load.
MIN_FAILURES = 6
TRIAL_PERIOD_S = 1.0
OUT_OF_SERVICE = (Standing.EJECTED, Standing.LEAVING)


def find_known_failing(group, now):
    """Return the names of the upstreams that get no request but probes.

    A single request tries such an upstream again after ``TRIAL_PERIOD_S``. If all
    upstreams fail, requests have to try them as before.
    """
    active, failing = 0, []
    for upstream in group.upstreams.values():
        if upstream.health.standing in OUT_OF_SERVICE:
            continue
        active += 1
        if upstream.failures_in_row < MIN_FAILURES:
            continue
        since_s = now - upstream.last_failure_s
        if upstream.in_flight or since_s < TRIAL_PERIOD_S:
            failing.append(upstream.name)
    return frozenset(failing) if len(failing) < active else frozenset()
