"""The owner of a group: queue, choice of upstreams, health and retry budget."""

from comfreyusher.owner._decide import decide
from comfreyusher.owner._messages import (
    CheckDue,
    Ejected,
    Leave,
    PlanChanged,
    Quarantined,
)
from comfreyusher.owner._state import Group, Plan, UpstreamSpec, new_group
from comfreyusher.owner._task import LeaveGroups, OwnerStatus, OwnerTask, PlansUpdated

__all__ = [
    "CheckDue",
    "Ejected",
    "Group",
    "Leave",
    "LeaveGroups",
    "OwnerStatus",
    "OwnerTask",
    "Plan",
    "PlanChanged",
    "PlansUpdated",
    "Quarantined",
    "UpstreamSpec",
    "decide",
    "new_group",
]
