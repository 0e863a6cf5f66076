"""The owner of a group of upstreams: one queue, one view, pure decisions."""

from comfreyusher.owner._decide import decide
from comfreyusher.owner._messages import Clock, Ejected, PlanChanged
from comfreyusher.owner._state import (
    Attempt,
    Group,
    Member,
    Plan,
    Upstream,
    Work,
    new_group,
)
from comfreyusher.owner._task import OwnerStatus, OwnerTask, PlansKnown

__all__ = [
    "Attempt",
    "Clock",
    "Ejected",
    "Group",
    "Member",
    "OwnerStatus",
    "OwnerTask",
    "Plan",
    "PlanChanged",
    "PlansKnown",
    "Upstream",
    "Work",
    "decide",
    "new_group",
]
