"""Transitions of an upstream between cold, healthy, ejected and probation."""

from comfreyusher.flow import replace
from comfreyusher.health._evidence import Health, Standing

PROBATION_SLOTS = 1
FORGIVEN_AFTER_S = 300.0


def eject(health, detection, now):
    """Return the health of an upstream that gets no work for a while."""
    recently = now - health.since_s < FORGIVEN_AFTER_S
    ejections = health.ejections + 1 if recently else 1
    period_ms = detection.ejection_ms * 2 ** (ejections - 1)
    period_s = min(period_ms, detection.max_ejection_ms) / 1000
    return replace(
        health,
        standing=Standing.EJECTED,
        since_s=now,
        evidence=0.0,
        ejections=ejections,
        until_s=now + period_s,
        successes=0,
    )


def is_return_due(health, now):
    """Tell whether an ejection period has ended."""
    return health.standing is Standing.EJECTED and now >= health.until_s


def begin_probation(health, now):
    """Return the health of an upstream that gets a trickle of real work."""
    return replace(
        health, standing=Standing.PROBATION, since_s=now, evidence=0.0, successes=0
    )


def return_to_service(health, now):
    """Return the health of an upstream that proved itself on probation."""
    return replace(
        health, standing=Standing.HEALTHY, since_s=now, evidence=0.0, successes=0
    )


def usable_slots(slots, health, slow_start_s, now):
    """Return how many requests an upstream may run at once now."""
    if health.standing in (Standing.EJECTED, Standing.LEAVING):
        return 0
    if health.standing is Standing.PROBATION:
        return min(slots, PROBATION_SLOTS)
    age_s = now - health.since_s
    if slow_start_s <= 0 or age_s >= slow_start_s:
        return slots
    return min(slots, 1 + int(slots * age_s / slow_start_s))


def warm(health, now):
    """Return the health of a cold upstream whose slow start has ended."""
    if health.standing is not Standing.COLD:
        return health
    return replace(health, standing=Standing.HEALTHY)


def new_health(now, leaving=False):
    """Return the health of an upstream seen for the first time."""
    standing = Standing.LEAVING if leaving else Standing.COLD
    return Health(standing=standing, since_s=now)
