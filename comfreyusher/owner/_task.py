"""The task that holds the groups of this node and runs their decisions."""

import dataclasses

from comfreyusher.events import log_info
from comfreyusher.flow import (
    Subscribe,
    Task,
    Tick,
    TickMonitor,
    Unsubscribe,
    record_tick,
)
from comfreyusher.messages import (
    HEDGE_DENIALS,
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
from comfreyusher.owner._hedge_counts import HedgeCounts
from comfreyusher.owner._messages import DATAGRAMS_CHANNEL, CheckDue, Leave, PlanChanged
from comfreyusher.owner._periodic_checks import CHECK_PERIOD_S
from comfreyusher.owner._queue_summary import summarize_queue
from comfreyusher.owner._return_times import NO_REFUSALS, count_new_refusals
from comfreyusher.owner._state import new_group
from comfreyusher.owner._trace import owner_span
from comfreyusher.owner._usage import is_below_floor, measure_usage
from comfreyusher.telemetry import AttemptEnded, GrantDenied, SharingRefused

CHANNEL = "owner"
PART = "owner"
STATUS_PERIOD_S = 1.0
GROUP_EXPIRY_S = 60.0
CHECKS_AFTER_REQUEST_S = 5.0
STARTUP_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlansUpdated:
    """The node has derived new plans; ``plans`` maps group names to ``Plan``."""

    plans: object


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStatus:
    """The groups that this node owns, for the operators' address."""

    groups: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveGroups:
    """This node shuts down; queued attempts go to other owners."""


class OwnerTask(Task):
    """Passes messages to the decisions of their group, and keeps the next state.

    The periodic checks run only while some group has attempts or had a grant
    request recently.
    """

    def __init__(self, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.groups = {}
        self.plans = {}
        self.last_request_s = {}
        self.logged_refusals = {}
        self.checking = False
        self.leaving = False
        self.started_s = self.clock()
        self.tick_monitor = TickMonitor(self.started_s)
        self.hedge_counts = HedgeCounts(
            lambda channel, body: self.send_message(channel, body)
        )
        self.message_handlers = {
            GrantRequest: self.handle_grant_request,
            AttemptReport: self.handle_attempt_report,
            PlansUpdated: self.handle_plans_updated,
            LeaveGroups: self.handle_leave_groups,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the ticks of the status."""
        self.send_message("timers", Subscribe(CHANNEL, "status", STATUS_PERIOD_S))

    def handle_grant_request(self, request):
        """Find or create the group of the attempt, and decide on the request.

        Deny it if this node does not own the group or is shutting down.
        """
        plan = self.plans.get(request.group)
        if plan is None or self.leaving:
            unknown = plan is None
            reason = DenialReason.NOT_OWNER if unknown else DenialReason.LEAVING
            self.send_message(
                DATAGRAMS_CHANNEL, ToNode(request.node, Denial(request.key, reason))
            )
            return
        now = self.clock()
        if request.group not in self.groups:
            self.groups[request.group] = self._create_group(plan, now)
            log_info(
                PART, "owning", group=request.group, upstreams=len(plan.upstream_specs)
            )
        self.last_request_s[request.group] = now
        self._subscribe_checks()
        self.decide(request.group, request)

    def _create_group(self, plan, now):
        """Return a new group.

        It has no initial slack right after the start of the process, since many nodes
        of a starting fleet may own the same group.
        """
        if now - self.started_s < STARTUP_PERIOD_S:
            return new_group(plan, now, initial_slack=0)
        return new_group(plan, now)

    def handle_attempt_report(self, report):
        """Decide on a report; acknowledge one on a group that is not owned."""
        if report.group in self.groups:
            self.decide(report.group, report)
        else:
            ack = ReportAck(report.key)
            self.send_message(DATAGRAMS_CHANNEL, ToNode(report.key.node, ack))

    def handle_plans_updated(self, updated):
        """Keep the new plans, and apply those of owned groups that changed."""
        self.plans = updated.plans
        for name, group in list(self.groups.items()):
            plan = updated.plans.get(name)
            if plan is not None and plan != group.plan:
                self.decide(name, PlanChanged(plan))

    def handle_leave_groups(self, _):
        """Deny queued and further attempts, so that they go to other owners."""
        self.leaving = True
        for name in list(self.groups):
            self.decide(name, Leave())

    def handle_tick(self, tick):
        """Send the status, or run the periodic checks and drop idle groups."""
        if tick.name == "status":
            self.send_message("operators", OwnerStatus(tuple(self.groups.values())))
            self._log_usage()
            self._log_refusals()
            self.hedge_counts.log(self.groups)
            return
        self.tick_monitor = record_tick(self.tick_monitor, self.clock(), CHECK_PERIOD_S)
        active = False
        for name, group in list(self.groups.items()):
            idle_s = tick.now_s - self.last_request_s[name]
            active = active or bool(group.attempts) or idle_s < CHECKS_AFTER_REQUEST_S
            self.decide(name, CheckDue(self.tick_monitor.late))
            if not group.attempts and idle_s > GROUP_EXPIRY_S:
                del self.groups[name]
                self.logged_refusals.pop(name, None)
        if not active:
            self.checking = False
            self.send_message("timers", Unsubscribe(CHANNEL, "checks"))

    def _subscribe_checks(self):
        if not self.checking:
            self.checking = True
            self.tick_monitor = TickMonitor(self.clock())
            self.send_message("timers", Subscribe(CHANNEL, "checks", CHECK_PERIOD_S))

    @property
    def open_attempts(self):
        """Number of attempts that have not ended."""
        return sum(len(group.attempts) for group in self.groups.values())

    def decide(self, name, body):
        """Run one decision, keep the next state and send the messages."""
        before = self.groups[name]
        step = decide(before, body, self.clock())
        self.groups[name] = step.state
        if type(body) is GrantRequest:
            self.hedge_counts.count_decision(before, body, step.messages)
        if type(body) is AttemptReport:
            self.hedge_counts.count_report(before, body)
            self._log_limit(before, step.state, body)
            measurement = AttemptEnded(body.upstream, body.verdict.value)
            self.send_message("telemetry", measurement)
            if body.verdict is not Verdict.GOOD:
                self._log_report(step.state, body)
        for envelope in step.messages:
            self._log_decision(step.state, envelope.body)
            self._send_span(step.state, envelope.body)
            self.send_message(envelope.channel, envelope.body)

    def _send_span(self, group, message):
        body = getattr(message, "body", None)
        attempt = group.attempts.get(body.key) if type(body) is Grant else None
        span = owner_span(attempt) if attempt is not None else None
        if span is not None:
            self.send_message("telemetry", span)

    def _log_usage(self):
        """Log the groups that use too few of their sound upstreams."""
        now = self.clock()
        for name, group in self.groups.items():
            usage = measure_usage(group, now)
            if is_below_floor(group, usage):
                log_info(
                    PART, "upstreams unused", group=name, **dataclasses.asdict(usage)
                )

    def _log_refusals(self):
        """Log and count what fair sharing refused since the last status, by cause."""
        for name, group in self.groups.items():
            logged = self.logged_refusals.get(name, NO_REFUSALS)
            if group.refusals == logged:
                continue
            self.logged_refusals[name] = group.refusals
            refused = count_new_refusals(logged, group.refusals)
            for cause, count in refused.items():
                measurement = SharingRefused(name, cause, count)
                self.send_message("telemetry", measurement)
            log_info(
                PART,
                "sharing",
                group=name,
                refused=refused,
                **dataclasses.asdict(summarize_queue(group.queue)),
            )

    def _log_report(self, group, report):
        upstream = group.upstreams.get(report.upstream)
        log_info(
            PART,
            "evidence",
            group=report.group,
            upstream=report.upstream,
            verdict=report.verdict.value,
            took_ms=report.took_ms,
            failing=round(upstream.failure_estimate.probability, 2)
            if upstream
            else None,
            evidence=round(upstream.health.evidence, 1) if upstream else None,
        )

    def _log_limit(self, before, group, report):
        """Log a limit that an upstream names for the first time, changes or ends."""
        old, new = (_find_limit(state, report.upstream) for state in (before, group))
        if old != new:
            log_info(
                PART,
                "limit",
                group=report.group,
                upstream=report.upstream,
                per_s=new,
                before=old,
                node=report.key.node,
            )

    def _log_decision(self, group, message):
        body = getattr(message, "body", None)
        if type(body) is Denial:
            measurement = GrantDenied(group.plan.group, body.reason.value)
            self.send_message("telemetry", measurement)
            if body.reason in HEDGE_DENIALS:
                return  # counted in the line of the group's hedges
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


def _find_limit(group, name):
    """Return the limit of an upstream in requests per second, or ``None``."""
    upstream = group.upstreams.get(name)
    if upstream is None or upstream.rate_limit is None:
        return None
    return upstream.rate_limit.per_s
