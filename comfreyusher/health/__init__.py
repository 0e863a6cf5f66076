"""Pure decisions on the health of upstreams."""

from comfreyusher.health._evidence import (
    FAILURE_WEIGHT,
    Health,
    Standing,
    record_failure,
    record_success,
    stall_threshold_s,
)
from comfreyusher.health._failure_estimate import (
    FailureEstimate,
    estimate_after_failure,
    estimate_after_shed,
    estimate_after_stall,
    estimate_after_success,
    failure_probability,
    new_failure_estimate,
)
from comfreyusher.health._floor import allows_ejection, floor_slots
from comfreyusher.health._transitions import (
    begin_probation,
    eject,
    end_slow_start,
    is_ejection_over,
    new_health,
    return_to_service,
    usable_slots,
)

__all__ = [
    "FAILURE_WEIGHT",
    "FailureEstimate",
    "Health",
    "Standing",
    "allows_ejection",
    "begin_probation",
    "eject",
    "end_slow_start",
    "estimate_after_failure",
    "estimate_after_shed",
    "estimate_after_stall",
    "estimate_after_success",
    "failure_probability",
    "floor_slots",
    "is_ejection_over",
    "new_failure_estimate",
    "new_health",
    "record_failure",
    "record_success",
    "return_to_service",
    "stall_threshold_s",
    "usable_slots",
]
