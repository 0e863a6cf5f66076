"""The probability that an upstream is failing now, updated by each request.

The model has two hidden states: an upstream is healthy or failing, and changes
between the two within seconds. The outcome of each request updates the
probability by Bayes' rule. Over time the probability decays to the prior, which
is the share of upstreams that fail at any moment. A single failure therefore
makes the choice of an upstream much less likely at once, but only for a short
time. Lasting failures are detected by the cumulative sum test in ``_evidence``
and lead to ejection.
"""

import dataclasses
import math

from comfreyusher.flow import replace

# Probabilities of the outcome of a request, given the state of the upstream.
FAILURE_GIVEN_HEALTHY = 0.012
FAILURE_GIVEN_FAILING = 0.75
SHED_GIVEN_HEALTHY = 0.1
STALL_GIVEN_HEALTHY = 0.04
# Not lower, since an upstream may have started to fail while its last successful
# response was on its way.
MIN_PROBABILITY = 0.04
MAX_PROBABILITY = 0.999


@dataclasses.dataclass(frozen=True, slots=True)
class FailureEstimate:
    """Probability that an upstream was failing when the estimate was updated.

    ``updated_s`` is in monotonic seconds.
    """

    probability: float
    updated_s: float


def new_failure_estimate(detection, now):
    """Return the prior estimate for an upstream without any requests."""
    return FailureEstimate(detection.failing_share, now)


def failure_probability(estimate, detection, now):
    """Return the probability that the upstream is failing now."""
    age_s = max(0.0, now - estimate.updated_s)
    retained = math.exp(-age_s * 1000 / detection.odds_memory_ms)
    return (
        detection.failing_share
        + (estimate.probability - detection.failing_share) * retained
    )


def estimate_after_success(estimate, detection, now):
    """Return the estimate after a successful response."""
    likelihood_ratio = (1 - FAILURE_GIVEN_FAILING) / (1 - FAILURE_GIVEN_HEALTHY)
    return _update(estimate, detection, now, likelihood_ratio)


def estimate_after_failure(estimate, detection, now):
    """Return the estimate after a failure."""
    return _update(
        estimate, detection, now, FAILURE_GIVEN_FAILING / FAILURE_GIVEN_HEALTHY
    )


def estimate_after_shed(estimate, detection, now):
    """Return the estimate after an upstream with free slots shed a request."""
    return _update(estimate, detection, now, FAILURE_GIVEN_FAILING / SHED_GIVEN_HEALTHY)


def estimate_after_stall(estimate, detection, now):
    """Return the estimate after a request took several times its typical time."""
    return _update(
        estimate, detection, now, FAILURE_GIVEN_FAILING / STALL_GIVEN_HEALTHY
    )


def _update(estimate, detection, now, likelihood_ratio):
    probability = failure_probability(estimate, detection, now)
    odds = probability / (1 - probability) * likelihood_ratio
    probability = max(MIN_PROBABILITY, min(MAX_PROBABILITY, odds / (1 + odds)))
    return replace(estimate, probability=probability, updated_s=now)
