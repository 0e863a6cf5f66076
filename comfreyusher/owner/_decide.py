"""The owner's decisions: ``(group, message, now) -> Step``.

The decisions are independent of sockets, encodings and tasks.
"""

from comfreyusher.flow import end_pipe
from comfreyusher.messages import AttemptReport, GrantRequest
from comfreyusher.owner._grants import grant_queued, handle_grant_request
from comfreyusher.owner._messages import CheckDue, Leave, PlanChanged
from comfreyusher.owner._periodic_checks import (
    handle_check_due,
    handle_leave,
    handle_plan_changed,
)
from comfreyusher.owner._reports import handle_attempt_report

MESSAGE_HANDLERS = {
    GrantRequest: handle_grant_request,
    AttemptReport: handle_attempt_report,
    CheckDue: handle_check_due,
    PlanChanged: handle_plan_changed,
    Leave: handle_leave,
}
SLOT_FREEING_MESSAGES = frozenset((AttemptReport, PlanChanged))


def decide(group, message, now):
    """Return the next state of the group and the messages to send."""
    step = MESSAGE_HANDLERS[type(message)](group, message, now)
    if type(message) not in SLOT_FREEING_MESSAGES or not step.state.queue:
        return step
    granted = grant_queued(step.state, now)
    return end_pipe(granted.state, None, *step.messages, *granted.messages)
