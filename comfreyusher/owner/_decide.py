"""The owner's decisions: ``(group, message, now) -> Step``.

Nothing here knows of sockets, encodings or tasks.
"""

from comfreyusher.flow import stopped
from comfreyusher.messages import (
    Offer,
    OfferBody,
    OpinionGiven,
    ReplyBody,
    ReplyInterim,
    ReplyStart,
    ResultCredit,
    SendCredit,
    SendFailed,
    Withdraw,
)
from comfreyusher.owner._messages import Clock, PlanChanged
from comfreyusher.owner._offers import (
    hold_body,
    pass_credit,
    take_offer,
    withdraw,
)
from comfreyusher.owner._replies import (
    pass_interim,
    pass_reply_body,
    pass_sent_credit,
    take_failure,
    take_reply,
)
from comfreyusher.owner._watch import (
    change_plan,
    dispatch_ready,
    take_opinion,
    watch,
)

DECISIONS = {
    Offer: take_offer,
    OfferBody: hold_body,
    ResultCredit: pass_credit,
    Withdraw: withdraw,
    ReplyStart: take_reply,
    ReplyBody: pass_reply_body,
    ReplyInterim: pass_interim,
    SendCredit: pass_sent_credit,
    SendFailed: take_failure,
    Clock: watch,
    PlanChanged: change_plan,
    OpinionGiven: take_opinion,
}
FREES_SLOT = frozenset(
    (Offer, Withdraw, ReplyStart, ReplyBody, SendFailed, Clock, PlanChanged)
)


def decide(group, message, now):
    """Return the next state of the group and the messages to send."""
    decision = DECISIONS.get(type(message))
    if decision is None:
        return stopped(group, None)
    step = decision(group, message, now)
    if type(message) not in FREES_SLOT:
        return step
    ready = dispatch_ready(step.state, now)
    return stopped(ready.state, None, *step.messages, *ready.messages)
