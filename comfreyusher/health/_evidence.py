"""Evidence from work: a cumulative sum test per upstream.

Every piece of work adds one log likelihood ratio: positive when it stalled,
failed or was cut, negative when it was answered in time. The sum stays between
zero and a limit, so that neither old good work can outweigh a fresh fault, nor
an old outage keep a recovered upstream out.
"""

import dataclasses
import enum
import math
import statistics

from comfreyusher.flow import replace

BAD_SHARE_WHEN_HEALTHY = 0.05
BAD_SHARE_WHEN_FAILING = 0.5
BAD_WEIGHT = math.log(BAD_SHARE_WHEN_FAILING / BAD_SHARE_WHEN_HEALTHY)
GOOD_WEIGHT = math.log((1 - BAD_SHARE_WHEN_FAILING) / (1 - BAD_SHARE_WHEN_HEALTHY))
MIN_SAMPLES = 8
MAX_EVIDENCE = 16.0


class Standing(str, enum.Enum):
    """What the owner of a group thinks of an upstream."""

    COLD = "cold"
    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Health:
    """Health of one upstream; times are monotonic seconds."""

    standing: Standing = Standing.COLD
    since_s: float = 0.0
    evidence: float = 0.0
    last_answer_s: float = 0.0
    ejections: int = 0
    until_s: float = 0.0
    successes: int = 0
    unreachable: bool = False


def note_good(health, now):
    """Return the health after work that was answered in time."""
    return replace(
        health,
        evidence=max(0.0, health.evidence + GOOD_WEIGHT),
        last_answer_s=now,
        successes=health.successes + 1,
        unreachable=False,
    )


def note_bad(health, unreachable=False):
    """Return the health after work that stalled or failed."""
    return replace(
        health,
        evidence=min(MAX_EVIDENCE, health.evidence + BAD_WEIGHT),
        successes=0,
        unreachable=unreachable,
    )


def stall_limit(recent_s, detection):
    """Return the age in seconds at which work counts as stalled.

    ``recent_s`` are durations of completed work of one class on the whole
    group. The third quartile stays usable while up to a quarter of the
    answers come from failing upstreams.
    """
    if len(recent_s) < MIN_SAMPLES:
        return detection.first_stall_ms / 1000
    quartile = statistics.quantiles(recent_s, n=4)[2]
    return max(detection.min_stall_ms / 1000, quartile * detection.stall_factor)
