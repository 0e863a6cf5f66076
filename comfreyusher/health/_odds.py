"""The odds that an upstream fails right now, moved by each answer.

An upstream is sound or failing, and changes between the two within seconds.
Each answer moves the probability by Bayes' rule; with time it returns to the
share of upstreams that fail at any moment. One failure makes an upstream much
less likely to be chosen at once, and is forgotten soon. What lasts is found
by the evidence of ``_evidence`` and ends in an ejection.
"""

import dataclasses
import math

from comfreyusher.flow import replace

FAILS_WHEN_SOUND = 0.012
FAILS_WHEN_FAILING = 0.75
SHEDS_WHEN_SOUND = 0.1
SLOW_WHEN_SOUND = 0.04
# An upstream may have turned bad while the last good answer was under way.
LEAST_FAILING = 0.04
MOST_FAILING = 0.999


@dataclasses.dataclass(frozen=True, slots=True)
class Odds:
    """Probability that the upstream was failing at ``since_s``."""

    failing: float
    since_s: float


def new_odds(detection, now):
    """Return the odds of an upstream that nothing is known of."""
    return Odds(detection.failing_share, now)


def failing_now(odds, detection, now):
    """Return the probability that the upstream fails now."""
    age_s = max(0.0, now - odds.since_s)
    kept = math.exp(-age_s * 1000 / detection.odds_memory_ms)
    return detection.failing_share + (odds.failing - detection.failing_share) * kept


def after_good(odds, detection, now):
    """Return the odds after a good answer."""
    ratio = (1 - FAILS_WHEN_FAILING) / (1 - FAILS_WHEN_SOUND)
    return _after(odds, detection, now, ratio)


def after_bad(odds, detection, now):
    """Return the odds after a failure."""
    return _after(odds, detection, now, FAILS_WHEN_FAILING / FAILS_WHEN_SOUND)


def after_shed(odds, detection, now):
    """Return the odds after a refusal by an upstream that had room."""
    return _after(odds, detection, now, FAILS_WHEN_FAILING / SHEDS_WHEN_SOUND)


def after_stall(odds, detection, now):
    """Return the odds after work took several times its usual time."""
    return _after(odds, detection, now, FAILS_WHEN_FAILING / SLOW_WHEN_SOUND)


def _after(odds, detection, now, likelihood_ratio):
    failing = failing_now(odds, detection, now)
    ratio = failing / (1 - failing) * likelihood_ratio
    failing = max(LEAST_FAILING, min(MOST_FAILING, ratio / (1 + ratio)))
    return replace(odds, failing=failing, since_s=now)
