"""The entry node of a request: sends it to an upstream and returns the response."""

from comfreyusher.entry._arrival import ARRIVAL_PIPE
from comfreyusher.entry._messages import (
    EndRequests,
    NodeView,
    RequestFinished,
    SendReport,
)
from comfreyusher.entry._state import (
    ActiveRequest,
    Attempt,
    AttemptPhase,
    EntryState,
    UpstreamGroup,
    new_entry_state,
)
from comfreyusher.entry._task import EntryTask

__all__ = [
    "ARRIVAL_PIPE",
    "ActiveRequest",
    "Attempt",
    "AttemptPhase",
    "EndRequests",
    "EntryState",
    "EntryTask",
    "NodeView",
    "RequestFinished",
    "SendReport",
    "UpstreamGroup",
    "new_entry_state",
]
