"""Transitions of an upstream between the standings, and the slots of each."""

from comfreyusher.flow import replace
from comfreyusher.health._evidence import Health, Standing

PROBATION_SLOTS = 1
EJECTION_COUNT_RESET_S = 300.0


def eject(health, detection, now):
    """Return the health of an upstream that is ejected now.

    The period doubles with each ejection in close succession, up to a limit.
    """
    changed_recently = now - health.since_s < EJECTION_COUNT_RESET_S
    ejections = health.ejections + 1 if changed_recently else 1
    period_ms = detection.ejection_ms * 2 ** (ejections - 1)
    period_s = min(period_ms, detection.max_ejection_ms) / 1000
    return replace(
        health,
        standing=Standing.EJECTED,
        since_s=now,
        evidence=0.0,
        ejections=ejections,
        ejected_until_s=now + period_s,
        successes=0,
    )


def is_ejection_over(health, now):
    """Tell whether the upstream is ejected and its ejection period has ended."""
    return health.standing is Standing.EJECTED and now >= health.ejected_until_s


def begin_probation(health, now):
    """Return the health of a half-open upstream, probed with a few real requests."""
    return replace(
        health, standing=Standing.PROBATION, since_s=now, evidence=0.0, successes=0
    )


def return_to_service(health, now):
    """Return the health of an upstream that begins its regular service again."""
    return replace(
        health, standing=Standing.HEALTHY, since_s=now, evidence=0.0, successes=0
    )


def usable_slots(slots, health, slow_start_s, now):
    """Return how many requests an upstream may run at once now.

    The slots grow linearly for ``slow_start_s`` seconds after an upstream was
    registered or returned to service.
    """
    if health.standing in (Standing.EJECTED, Standing.LEAVING):
        return 0
    if health.standing is Standing.PROBATION:
        return min(slots, PROBATION_SLOTS)
    age_s = now - health.since_s
    if slow_start_s <= 0 or age_s >= slow_start_s:
        return slots
    return min(slots, 1 + int(slots * age_s / slow_start_s))


def end_slow_start(health, now):
    """Return the health of a cold upstream whose slow start has ended."""
    if health.standing is not Standing.COLD:
        return health
    return replace(health, standing=Standing.HEALTHY)


def new_health(now, leaving=False):
    """Return the health of an upstream that is new or has restarted."""
    standing = Standing.LEAVING if leaving else Standing.COLD
    return Health(standing=standing, since_s=now)
