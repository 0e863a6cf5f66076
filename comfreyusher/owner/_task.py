"""The task that holds the groups of this node and runs their decisions."""

import dataclasses

from comfreyusher.events import log_info
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.messages import (
    AttemptReport,
    Denial,
    DenialReason,
    Grant,
    GrantRequest,
    ReportAck,
    ToNode,
    Verdict,
)
from comfreyusher.owner._decide import decide
from comfreyusher.owner._messages import DATAGRAMS, Clock, Leave, PlanChanged
from comfreyusher.owner._state import new_group
from comfreyusher.owner._trace import owner_span
from comfreyusher.owner._watch import WATCH_PERIOD_S
from comfreyusher.telemetry import AttemptCounted, DenialCounted

CHANNEL = "owner"
PART = "owner"
STATUS_PERIOD_S = 1.0
IDLE_GROUP_S = 60.0
REST_AFTER_S = 5.0
FRESH_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlansKnown:
    """All plans by group name, as the node derives them."""

    plans: object


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStatus:
    """The groups that this node owns, for the operators' address."""

    groups: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveGroups:
    """This node shuts down: queued work goes to other owners."""


class OwnerTask(Task):
    """Routes messages to groups and keeps their next states.

    It watches the time only while some group has work or had some lately.
    """

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.groups = {}
        self.plans = {}
        self.last_used = {}
        self.watching = False
        self.leaving = False
        self.started_s = self.clock()
        self.message_handlers = {
            GrantRequest: self.take_ask,
            AttemptReport: self.take_report,
            PlansKnown: self.take_plans,
            LeaveGroups: self.leave,
            Tick: self.watch,
        }

    def prepare(self):
        """Subscribe to the status."""
        self.send_message("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))

    def take_ask(self, ask):
        """Find or create the group of the attempt."""
        plan = self.plans.get(ask.group)
        if plan is None or self.leaving:
            unknown = plan is None
            reason = DenialReason.NOT_OWNER if unknown else DenialReason.LEAVING
            self.send_message(DATAGRAMS, ToNode(ask.node, Denial(ask.key, reason)))
            return
        now = self.clock()
        if ask.group not in self.groups:
            self.groups[ask.group] = self._begin_group(plan, now)
            log_info(PART, "owning", group=ask.group, upstreams=len(plan.members))
        self.last_used[ask.group] = now
        self._watch_time()
        self.decide(ask.group, ask)

    def _begin_group(self, plan, now):
        """Return a new group; many fresh nodes may own the same one."""
        if now - self.started_s < FRESH_S:
            return new_group(plan, now, first_slack=0)
        return new_group(plan, now)

    def take_report(self, report):
        """Decide on how an attempt ended; one for no group is confirmed."""
        if report.group in self.groups:
            self.decide(report.group, report)
        else:
            heard = ReportAck(report.key)
            self.send_message(DATAGRAMS, ToNode(report.key.node, heard))

    def take_plans(self, known):
        """Take new plans; groups that changed get theirs."""
        self.plans = known.plans
        for name, group in list(self.groups.items()):
            plan = known.plans.get(name)
            if plan is not None and plan != group.plan:
                self.decide(name, PlanChanged(plan))

    def leave(self, _):
        """Send queued work to other owners, and take no more."""
        self.leaving = True
        for name in list(self.groups):
            self.decide(name, Leave())

    def watch(self, tick):
        """Let every group see the time, and forget idle ones."""
        if tick.name == "status":
            self.send_message("operators", OwnerStatus(tuple(self.groups.values())))
            return
        busy = False
        for name, group in list(self.groups.items()):
            unused_s = tick.now_s - self.last_used[name]
            busy = busy or bool(group.works) or unused_s < REST_AFTER_S
            self.decide(name, Clock())
            if not group.works and unused_s > IDLE_GROUP_S:
                del self.groups[name]
        if not busy:
            self.watching = False
            self.send_message("timers", Unsubscribe(CHANNEL, "watch"))

    def _watch_time(self):
        if not self.watching:
            self.watching = True
            self.send_message("timers", Subscribe(CHANNEL, "watch", WATCH_PERIOD_S))

    @property
    def busy(self):
        """Number of attempts that have not ended."""
        return sum(len(group.works) for group in self.groups.values())

    def decide(self, name, body):
        """Run one decision and keep its state."""
        step = decide(self.groups[name], body, self.clock())
        self.groups[name] = step.state
        if type(body) is AttemptReport:
            counted = AttemptCounted(body.upstream, body.verdict.value)
            self.send_message("telemetry", counted)
            if body.verdict is not Verdict.GOOD:
                self._log_report(step.state, body)
        for address in step.messages:
            self._log_answer(step.state, address.body)
            self._trace_grant(step.state, address.body)
            self.send_message(address.channel, address.body)

    def _trace_grant(self, group, addressed):
        body = getattr(addressed, "body", None)
        work = group.works.get(body.key) if type(body) is Grant else None
        hop = owner_span(work) if work is not None else None
        if hop is not None:
            self.send_message("telemetry", hop)

    def _log_report(self, group, report):
        upstream = group.upstreams.get(report.upstream)
        log_info(
            PART,
            "evidence",
            group=report.group,
            upstream=report.upstream,
            verdict=report.verdict.value,
            took_ms=report.took_ms,
            failing=round(upstream.odds.probability, 2) if upstream else None,
            evidence=round(upstream.health.evidence, 1) if upstream else None,
        )

    def _log_answer(self, group, addressed):
        body = getattr(addressed, "body", None)
        if type(body) is Denial:
            counted = DenialCounted(group.plan.group, body.reason.value)
            self.send_message("telemetry", counted)
            log_info(
                PART,
                "denied",
                node=body.key.node,
                number=body.key.number,
                attempt=body.key.attempt,
                group=group.plan.group,
                reason=body.reason.value,
                queued=len(group.queue),
                retry_after_ms=body.retry_after_ms,
            )
        elif type(body) is Grant and body.queued_ms:
            log_info(
                PART,
                "granted after waiting",
                node=body.key.node,
                number=body.key.number,
                upstream=body.upstream,
                risk=body.risk,
                queued_ms=body.queued_ms,
            )
