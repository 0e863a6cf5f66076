"""The owner's decisions: ``(group, message, now) -> Step``.

Nothing here knows of sockets, encodings or tasks.
"""

from comfreyusher.flow import end_pipe
from comfreyusher.messages import AttemptReport, GrantRequest
from comfreyusher.owner._asks import grant_ready, take_ask
from comfreyusher.owner._messages import Clock, Leave, PlanChanged
from comfreyusher.owner._reports import take_report
from comfreyusher.owner._watch import change_plan, leave, watch

DECISIONS = {
    GrantRequest: take_ask,
    AttemptReport: take_report,
    Clock: watch,
    PlanChanged: change_plan,
    Leave: leave,
}
FREES_SLOT = frozenset((AttemptReport, PlanChanged))


def decide(group, message, now):
    """Return the next state of the group and the messages to send."""
    step = DECISIONS[type(message)](group, message, now)
    if type(message) not in FREES_SLOT or not step.state.queue:
        return step
    ready = grant_ready(step.state, now)
    return end_pipe(ready.state, None, *step.messages, *ready.messages)
