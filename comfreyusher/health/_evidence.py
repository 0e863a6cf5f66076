"""Outlier detection: a cumulative sum (CUSUM) test for each upstream.

Every request adds one log likelihood ratio to the evidence against its
upstream: positive when the request stalled, failed or was cut off, negative
when it was answered in time. The sum stays between zero and a limit, so that
old successes cannot outweigh a new fault, and an old outage cannot keep a
recovered upstream out of service.
"""

import dataclasses
import enum
import math
import statistics

from comfreyusher.flow import replace

FAILURE_RATE_WHEN_HEALTHY = 0.05
FAILURE_RATE_WHEN_FAILING = 0.5
FAILURE_WEIGHT = math.log(FAILURE_RATE_WHEN_FAILING / FAILURE_RATE_WHEN_HEALTHY)
SUCCESS_WEIGHT = math.log(
    (1 - FAILURE_RATE_WHEN_FAILING) / (1 - FAILURE_RATE_WHEN_HEALTHY)
)
MIN_SAMPLES = 8
MAX_EVIDENCE = 16.0


class Standing(str, enum.Enum):
    """Status of an upstream in the view of the owner of its group.

    ``COLD`` is the slow start of a new upstream. ``EJECTED`` upstreams get no
    requests for a limited time. ``PROBATION`` is the half-open state after an
    ejection: a few real requests probe the upstream. ``LEAVING`` upstreams get
    no new requests.
    """

    COLD = "cold"
    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Health:
    """Health of one upstream; times are monotonic seconds.

    ``since_s`` is the time of the last registration, ejection, start of probation
    or return to service. The end of slow start does not change it. ``evidence`` is
    the cumulative sum. ``ejections`` counts ejections in close succession, and
    ``successes`` counts responses in time since the last failure or change of
    ``since_s``.
    """

    standing: Standing = Standing.COLD
    since_s: float = 0.0
    evidence: float = 0.0
    last_success_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0
    successes: int = 0
    unreachable: bool = False


def record_success(health, now):
    """Return the health after a request was answered in time."""
    return replace(
        health,
        evidence=max(0.0, health.evidence + SUCCESS_WEIGHT),
        last_success_s=now,
        successes=health.successes + 1,
        unreachable=False,
    )


def record_failure(health, unreachable=False):
    """Return the health after a request stalled or failed."""
    return replace(
        health,
        evidence=min(MAX_EVIDENCE, health.evidence + FAILURE_WEIGHT),
        successes=0,
        unreachable=unreachable,
    )


def stall_threshold_s(durations_s, detection):
    """Return the age in seconds at which a request counts as stalled.

    ``durations_s`` are recent durations in seconds of completed requests of one
    work class in the whole group. The third quartile is a usable reference while
    up to a quarter of the responses come from failing upstreams.
    """
    if len(durations_s) < MIN_SAMPLES:
        return detection.first_stall_ms / 1000
    third_quartile_s = statistics.quantiles(durations_s, n=4)[2]
    return max(detection.min_stall_ms / 1000, third_quartile_s * detection.stall_factor)
