"""Simulation of one group: demand, upstreams with faults and an entry node.

Scheduled events on a simulated clock drive the owner's pure decisions. The
simulation neither sleeps nor opens sockets, and a run repeats exactly with the same
seed.
"""

import dataclasses
import enum
import itertools
import random

from comfreyusher.declarations import Profile
from comfreyusher.messages import (
    AttemptReport,
    Denial,
    Grant,
    GrantRequest,
    QueuedAck,
    ReportAck,
    Verdict,
    WorkClass,
)
from comfreyusher.owner import (
    CheckDue,
    Plan,
    PlanChanged,
    UpstreamSpec,
    decide,
    new_group,
)
from tests.events import EventClock

GROUP = "s@r"
CHECK_PERIOD_S = 0.1
ERROR_RESPONSE_S = 0.004
RETURN_AT_ONCE_S = 0.02
HONOURED_SHARE = 1 / 3
FAILURES = (Verdict.FAULT, Verdict.BROKEN, Verdict.CRASHED)


class Returns(enum.Enum):
    """When a caller sends a refused request again, until its deadline."""

    NEVER = "never"
    AS_TOLD = "as told, up to a third of the remaining time"
    AT_ONCE = "at once"


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request and its demand; ``duration_s`` is the median duration."""

    name: str
    rate_per_s: float
    duration_s: float
    idempotent: bool = True
    priority: int = 0
    deadline_s: float = 2.0
    target_s: float = 1.2
    large: bool = False
    work_class: WorkClass = WorkClass.SHORT
    max_attempts: int = 2
    error_share: float = 0.0
    client_account: str = ""
    returns: Returns = Returns.NEVER


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How an upstream behaves; times are in seconds.

    It fails in episodes with a mean period of about ``episode_period_s``, which
    last for ``failing_time_share`` of the period, and within ``failing_span``. It
    then fails ``failure_share`` of its requests, within ``failing_span`` with the
    verdict ``failure``. ``slowdown`` multiplies the durations of requests. Within
    ``hang_span`` it does not respond. It sheds ``shed_share`` of its requests.
    """

    failing_time_share: float = 0.0
    episode_period_s: float = 9.0
    failure_share: float = 0.75
    failure: Verdict = Verdict.FAULT
    slowdown: float = 1.0
    hang_span: tuple = ()
    failing_span: tuple = ()
    shed_share: float = 0.0
    data_centre: str = "d"


@dataclasses.dataclass
class Request:
    """A request of a caller, and its outcome.

    ``refusals`` holds the time of each refusal, and the time told to wait.
    """

    kind: RequestKind
    number: int
    arrived_s: float
    attempts: int = 0
    sends: int = 0
    tried_upstreams: tuple = ()
    executions: int = 0
    ended_s: float = 0.0
    outcome: str = ""
    refusals: list = dataclasses.field(default_factory=list)


class Simulation(EventClock):
    """Runs a group on simulated time."""

    def __init__(
        self,
        behaviours,
        kinds,
        seed=1,
        slots=4,
        profile=None,
        slack=20,
        fair_sharing=False,
    ):
        super().__init__(now=100.0)
        self.random = random.Random(seed)
        self.start_s = self.now
        self.behaviours = {f"u{n}": b for n, b in enumerate(behaviours)}
        self.slots = slots
        self.profile = profile or Profile("p")
        self.slack = slack
        self.fair_sharing = fair_sharing
        self.request_numbers = itertools.count(1)
        self.leaving = set()
        self.group = new_group(self.plan(), self.now)
        self.running = dict.fromkeys(self.behaviours, 0)
        self.episodes = {
            n: self._failure_episodes(b) for n, b in self.behaviours.items()
        }
        self.kinds = kinds
        self.requests = []
        self.pending = {}
        self.grants = []
        self.failures = []
        self.lost_until_s = 0.0
        self.hooks = []

    def plan(self):
        """Return the plan of the group."""
        specs = tuple(
            UpstreamSpec(name, "h", 1, self.slots, name in self.leaving, b.data_centre)
            for name, b in self.behaviours.items()
        )
        slots = self.slots * len(specs)
        return Plan(GROUP, self.profile, slots, specs, self.slack, self.fair_sharing)

    def _failure_episodes(self, behaviour):
        """Return the spans in which an upstream fails, for the next 10 minutes."""
        spans, start_s = [], self.now
        if not behaviour.failing_time_share:
            return spans
        while start_s < self.now + 600:
            start_s += self.random.expovariate(1 / (behaviour.episode_period_s * 0.7))
            length_s = behaviour.episode_period_s * behaviour.failing_time_share
            spans.append((start_s, start_s + length_s))
            start_s += length_s
        return spans

    # Events --------------------------------------------------------------------

    def run(self, seconds):
        """Run with demand for some seconds, then until all requests have ended."""
        end_s = self.now + seconds
        for kind in self.kinds:
            self._schedule_arrival(kind, end_s)
        self._schedule_checks(end_s + 8)
        while self.events:
            self.step()
        return self

    def _schedule_arrival(self, kind, end_s):
        if kind.rate_per_s <= 0:
            return
        when = self.now + self.random.expovariate(kind.rate_per_s)

        def arrive():
            self.start_request(kind)
            self._schedule_arrival(kind, end_s)

        if when < end_s:
            self.at(when, arrive)

    def _schedule_checks(self, end_s):
        def tick():
            self.send(CheckDue())
            if self.now < end_s:
                self.at(self.now + CHECK_PERIOD_S, tick)

        self.at(self.now + CHECK_PERIOD_S, tick)

    # Callers ----------------------------------------------------------------------

    def start_request(self, kind):
        """Add a request that arrives now."""
        request = Request(kind, next(self.request_numbers), self.now)
        self.requests.append(request)
        if self.now < self.lost_until_s:
            self.end_request(request, "lost")
            return
        self.request_grant(request)

    def request_grant(self, request):
        """Send the owner a grant request for the next attempt."""
        kind = request.kind
        request.attempts += 1
        remaining_s = request.arrived_s + kind.deadline_s - self.now
        target_s = request.arrived_s + kind.target_s - self.now
        grant_request = GrantRequest(
            "n.1",
            request.number,
            request.attempts,
            GROUP,
            kind.name,
            kind.work_class,
            0,
            kind.idempotent,
            kind.large,
            kind.priority,
            max(0, int(remaining_s * 1000)),
            max(0, int(target_s * 1000)),
            request.sends,
            request.sends + 1 >= kind.max_attempts,
            False,
            "d",
            f"r{request.number}",
            f"f{request.number}",
            request.tried_upstreams,
            client_account=kind.client_account,
        )
        self.pending[grant_request.key] = request
        self.send(grant_request)

    def send(self, message):
        """Run one decision, and handle its messages."""
        step = decide(self.group, message, self.now)
        self.group = step.state
        for envelope in step.messages:
            body = getattr(envelope.body, "body", envelope.body)
            if isinstance(body, Grant):
                self.dispatch(body)
            elif isinstance(body, Denial):
                self.handle_denial(body)
            elif not isinstance(body, QueuedAck | ReportAck):
                for hook in self.hooks:
                    hook(body)

    def handle_denial(self, denial):
        """Refuse a request that got no upstream."""
        self.refuse(self.pending.pop(denial.key), denial.retry_after_ms / 1000)

    def refuse(self, request, retry_after_s):
        """End a refused request, or let its caller send it again later."""
        request.refusals.append((self.now, retry_after_s))
        remaining_s = request.arrived_s + request.kind.deadline_s - self.now
        returns = request.kind.returns
        wait_s = RETURN_AT_ONCE_S
        if returns is Returns.AS_TOLD:
            wait_s = max(wait_s, min(retry_after_s, remaining_s * HONOURED_SHARE))
        if returns is Returns.NEVER or request.executions or wait_s >= remaining_s:
            self.end_request(request, "refused")
            return
        request.number, request.attempts = next(self.request_numbers), 0
        self.at(self.now + wait_s, lambda: self.request_grant(request))

    def lose_nodes(self, seconds):
        """Lose all nodes for a time: their requests, and what the owner knew."""
        self.lost_until_s = self.now + seconds
        for request in self.pending.values():
            self.end_request(request, "lost")
        self.pending.clear()
        self.at(self.lost_until_s, self.start_new_owner)

    def start_new_owner(self):
        """Replace the owner by a new one that knows only the plan."""
        self.group = new_group(self.plan(), self.now)

    # Upstreams ------------------------------------------------------------------------

    def dispatch(self, grant):
        """Run an attempt on an upstream, according to its behaviour."""
        request = self.pending.get(grant.key)
        if request is None:
            return
        self.grants.append((self.now, grant.upstream, request))
        behaviour = self.behaviours[grant.upstream]
        remaining_s = request.arrived_s + request.kind.deadline_s - self.now
        verdict, took_s = self.attempt_result(grant.upstream, behaviour, request.kind)
        if took_s >= remaining_s:
            verdict, took_s = Verdict.LATE, max(0.0, remaining_s)
        sent_s = self.now
        self.at(
            self.now + took_s,
            lambda: self.report(grant, request, verdict, self.now - sent_s),
        )

    def attempt_result(self, name, behaviour, kind):
        """Return the verdict and the duration of an attempt that starts now."""
        duration_s = (
            self.random.lognormvariate(0, 0.3) * kind.duration_s * behaviour.slowdown
        )
        if self._is_within(behaviour.hang_span):
            return Verdict.LATE, 1e9
        if self.random.random() < behaviour.shed_share:
            return Verdict.SHED, ERROR_RESPONSE_S
        harmed = self._is_within(behaviour.failing_span)
        failing = harmed or any(a <= self.now < b for a, b in self.episodes[name])
        if failing and self.random.random() < behaviour.failure_share:
            return behaviour.failure if harmed else Verdict.FAULT, ERROR_RESPONSE_S
        if self.random.random() < kind.error_share:
            return Verdict.FAULT, duration_s
        return Verdict.GOOD, duration_s

    def _is_within(self, span):
        since_s = self.now - self.start_s
        return bool(span) and span[0] <= since_s < span[1]

    def report(self, grant, request, verdict, took_s):
        """Report an attempt, and end or retry the request."""
        if self.pending.pop(grant.key, None) is None:
            return
        arrived = verdict is not Verdict.UNREACHED
        if verdict in FAILURES:
            self.failures.append((self.now, grant.upstream))
        request.sends += arrived
        request.executions += arrived and verdict is not Verdict.SHED
        request.tried_upstreams += (grant.upstream,)
        took_ms = int(took_s * 1000)
        report = AttemptReport(grant.key, GROUP, grant.upstream, verdict, took_ms)
        self.send(report)
        if verdict is Verdict.GOOD:
            self.end_request(request, "served")
        elif self.may_retry(request, verdict):
            self.request_grant(request)
        else:
            self.end_request(
                request, "refused" if verdict is Verdict.SHED else "failed"
            )

    def may_retry(self, request, verdict):
        """Tell whether an entry node would retry the request."""
        remaining_s = request.arrived_s + request.kind.deadline_s - self.now
        if request.sends >= request.kind.max_attempts or remaining_s <= 0.02:
            return False
        return request.kind.idempotent or not request.executions

    def end_request(self, request, outcome):
        """Record the outcome of a request."""
        request.outcome = outcome
        request.ended_s = self.now

    # Results --------------------------------------------------------------------------

    def add_upstream(self, name, behaviour):
        """Register an upstream."""
        self.behaviours[name] = behaviour
        self.episodes[name] = self._failure_episodes(behaviour)
        self.send(PlanChanged(self.plan()))

    def remove_upstream(self, name):
        """Mark an upstream as leaving."""
        self.leaving.add(name)
        self.send(PlanChanged(self.plan()))

    def requests_of(self, kind):
        """Return the requests of a kind, given by its name."""
        return [r for r in self.requests if r.kind.name == kind]

    def outcome_share(self, outcome, kind=""):
        """Return the share of the requests that have an outcome."""
        found = self.requests_of(kind) if kind else self.requests
        return sum(r.outcome == outcome for r in found) / max(1, len(found))

    def share_in_time(self, kind):
        """Return the share of the requests of a kind that met their target."""
        found = self.requests_of(kind)
        met = [
            r
            for r in found
            if r.outcome == "served" and r.ended_s - r.arrived_s <= r.kind.target_s
        ]
        return len(met) / max(1, len(found))
