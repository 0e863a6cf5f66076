"""Stalls: requests that run much longer than such requests usually do."""

from comfreyusher.flow import replace
from comfreyusher.health import estimate_after_stall, record_failure
from comfreyusher.owner._state import replace_upstream

MAX_STALLS_PER_ATTEMPT = 3
STALL_TYPICAL_FACTOR = 3.0


def record_stall(group, attempt, now):
    """Return the group after a request on an upstream exceeded its threshold."""
    upstream = group.upstreams.get(attempt.upstream)
    if upstream is None:
        return group
    failure_estimate = estimate_after_stall(
        upstream.failure_estimate, group.plan.profile.detection, now
    )
    health = record_failure(upstream.health)
    upstream = replace(
        upstream, failure_estimate=failure_estimate, health=health, last_stall_s=now
    )
    return replace_upstream(group, upstream)


def is_stall_due(group, attempt, age_s):
    """Tell whether an attempt of an age reached the next multiple of its threshold.

    The second and later multiples count only if the upstream has had no successful
    response since the grant.
    """
    if attempt.stalls >= MAX_STALLS_PER_ATTEMPT:
        return False
    detection = group.plan.profile.detection
    typical_s = group.typical_s.get(attempt.request.route_key)
    if typical_s is None or group.is_long(attempt):
        threshold_s = _class_stall_threshold_s(group, attempt)
    else:
        threshold_s = max(
            detection.min_stall_ms / 1000, STALL_TYPICAL_FACTOR * typical_s
        )
    if age_s < threshold_s * (attempt.stalls + 1):
        return False
    if attempt.stalls == 0:
        return True
    upstream = group.upstreams.get(attempt.upstream)
    return upstream is not None and upstream.health.last_success_s <= attempt.granted_s


def _class_stall_threshold_s(group, attempt):
    return (
        group.long_stall_threshold_s
        if group.is_long(attempt)
        else group.short_stall_threshold_s
    )
