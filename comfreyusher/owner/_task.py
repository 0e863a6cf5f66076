"""The task that holds the groups of this node and runs their decisions."""

import dataclasses

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.messages import (
    Offer,
    OfferBody,
    OpinionGiven,
    Outcome,
    Refusal,
    RefusalStatus,
    ReplyBody,
    ReplyInterim,
    ReplyStart,
    ResultCredit,
    SendCredit,
    SendFailed,
    ToNode,
    Withdraw,
)
from comfreyusher.owner._decide import decide
from comfreyusher.owner._messages import PEERS, Clock, PlanChanged
from comfreyusher.owner._state import new_group

CHANNEL = "owner"
WATCH_PERIOD_S = 0.1
STATUS_PERIOD_S = 1.0
IDLE_GROUP_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlansKnown:
    """All plans by group name, as the node derives them."""

    plans: object


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStatus:
    """The groups that this node owns, for the operators' address."""

    groups: tuple


class OwnerTask(Task):
    """Routes messages to groups by work key and keeps their next states."""

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.groups = {}
        self.group_of = {}
        self.plans = {}
        self.last_used = {}
        self.routes = {
            Offer: self.take_offer,
            OfferBody: self.by_key,
            ResultCredit: self.by_key,
            Withdraw: self.by_key,
            ReplyStart: self.by_attempt,
            ReplyBody: self.by_attempt,
            ReplyInterim: self.by_attempt,
            SendCredit: self.by_attempt,
            SendFailed: self.by_attempt,
            OpinionGiven: self.take_opinion,
            PlansKnown: self.take_plans,
            Tick: self.watch,
        }

    def prepare(self):
        """Subscribe to the watch."""
        self.tell("timers", Subscribe(CHANNEL, "watch", WATCH_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))

    def take_offer(self, offer):
        """Find or create the group of the offered work."""
        plan = self.plans.get(offer.group)
        if plan is None:
            self._refuse_unknown(offer)
            return
        now = self.clock()
        if offer.group not in self.groups:
            self.groups[offer.group] = new_group(plan, now)
        self.last_used[offer.group] = now
        self.group_of[offer.key] = offer.group
        self.decide(offer.group, offer)

    def _refuse_unknown(self, offer):
        reason = f"this node does not know the group {offer.group}"
        status = RefusalStatus.MISDIRECTED
        refusal = Refusal(offer.key, Outcome.NOT_RUN, status, reason, 1000)
        self.tell(PEERS, ToNode(offer.key.node, refusal))

    def by_key(self, body):
        """Decide on a message that names its work."""
        group = self.group_of.get(body.key)
        if group is not None:
            self.decide(group, body)

    def by_attempt(self, body):
        """Decide on a message that names a dispatch."""
        group = self.group_of.get(body.exchange.key)
        if group is not None:
            self.decide(group, body)

    def take_opinion(self, opinion):
        """Hand a second opinion to the groups that know the upstream."""
        for name, group in list(self.groups.items()):
            if opinion.upstream in group.upstreams:
                self.decide(name, opinion)

    def take_plans(self, known):
        """Take new plans; groups that changed get theirs."""
        self.plans = known.plans
        for name, group in list(self.groups.items()):
            plan = known.plans.get(name)
            if plan is not None and plan != group.plan:
                self.decide(name, PlanChanged(plan))

    def watch(self, tick):
        """Let every group see the time, and forget idle ones."""
        for name, group in list(self.groups.items()):
            self.decide(name, Clock())
            unused_s = tick.now_s - self.last_used[name]
            if not group.works and unused_s > IDLE_GROUP_S:
                del self.groups[name]
        if tick.name == "status":
            self.tell("operators", OwnerStatus(tuple(self.groups.values())))

    @property
    def busy(self):
        """Number of works that have not ended."""
        return sum(len(group.works) for group in self.groups.values())

    def decide(self, name, body):
        """Run one decision and keep its state."""
        before = self.groups[name]
        step = decide(before, body, self.clock())
        self.groups[name] = step.state
        self._forget_ended(before, step.state, body)
        self.tell_all(step.messages)

    def _forget_ended(self, before, after, body):
        """Drop the index entries of work that has ended."""
        if len(after.works) >= len(before.works) and not isinstance(body, Offer):
            return
        if len(self.group_of) > 64 + 2 * sum(
            len(g.works) for g in self.groups.values()
        ):
            self.group_of = {
                key: name for name, group in self.groups.items() for key in group.works
            }
