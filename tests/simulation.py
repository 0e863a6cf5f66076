"""One group on simulated time: demand, upstreams with faults, an entry.

It drives the owner's pure decisions with an event heap. Nothing here sleeps
or opens a socket, and every run repeats from its seed.
"""

import dataclasses
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
    Clock,
    Member,
    Plan,
    PlanChanged,
    decide,
    new_group,
)
from tests.events import EventClock

GROUP = "s@r"
WATCH_S = 0.1
ERROR_S = 0.004


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request and its demand."""

    name: str
    per_s: float
    work_s: float
    idempotent: bool = True
    priority: int = 0
    deadline_s: float = 2.0
    target_s: float = 1.2
    large: bool = False
    work_class: WorkClass = WorkClass.SHORT
    max_attempts: int = 2
    error_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How an upstream behaves; times are seconds.

    ``noise`` is the share of time in which it fails ``fails`` of its work, in
    episodes that begin every ``every_s``. ``slow`` multiplies its work.
    ``hangs`` is a span in which it answers nothing, ``sheds`` the share of
    work that it refuses.
    """

    noise: float = 0.0
    every_s: float = 9.0
    fails: float = 0.75
    slow: float = 1.0
    hangs: tuple = ()
    fails_in: tuple = ()
    sheds: float = 0.0
    data_centre: str = "d"


@dataclasses.dataclass
class Request:
    """One request of a caller, and what became of it."""

    kind: Kind
    number: int
    began_s: float
    attempts: int = 0
    sends: int = 0
    tried: tuple = ()
    ran: int = 0
    ended_s: float = 0.0
    outcome: str = ""


class Simulation(EventClock):
    """Runs a group for some seconds."""

    def __init__(self, behaviours, kinds, seed=1, slots=4, profile=None, slack=20):
        super().__init__(now=100.0)
        self.random = random.Random(seed)
        self.start_s = self.now
        self.behaviours = {f"u{n}": b for n, b in enumerate(behaviours)}
        self.slots = slots
        self.profile = profile or Profile("p")
        self.slack = slack
        self.leaving = set()
        self.group = new_group(self.plan(), self.now)
        self.running = dict.fromkeys(self.behaviours, 0)
        self.episodes = {n: self._episodes(b) for n, b in self.behaviours.items()}
        self.kinds = kinds
        self.requests = []
        self.open = {}
        self.grants = []
        self.hooks = []

    def plan(self):
        """Return the group's plan."""
        members = tuple(
            Member(name, "h", 1, self.slots, name in self.leaving, b.data_centre)
            for name, b in self.behaviours.items()
        )
        slots = self.slots * len(members)
        return Plan(GROUP, self.profile, slots, members, self.slack)

    def _episodes(self, behaviour):
        """Return the spans in which an upstream fails, some minutes ahead."""
        spans, at = [], self.now
        if not behaviour.noise:
            return spans
        while at < self.now + 600:
            at += self.random.expovariate(1 / (behaviour.every_s * 0.7))
            length = behaviour.every_s * behaviour.noise
            spans.append((at, at + length))
            at += length
        return spans

    # Events --------------------------------------------------------------------

    def run(self, seconds):
        """Let the demand flow for some seconds, and all requests end."""
        end_s = self.now + seconds
        for kind in self.kinds:
            self._next_arrival(kind, end_s)
        self._watch(end_s + 8)
        while self.events:
            self.step()
        return self

    def _next_arrival(self, kind, end_s):
        if kind.per_s <= 0:
            return
        when = self.now + self.random.expovariate(kind.per_s)

        def arrive():
            self.begin(kind)
            self._next_arrival(kind, end_s)

        if when < end_s:
            self.at(when, arrive)

    def _watch(self, end_s):
        def tick():
            self.send(Clock())
            if self.now < end_s:
                self.at(self.now + WATCH_S, tick)

        self.at(self.now + WATCH_S, tick)

    # Callers ----------------------------------------------------------------------

    def begin(self, kind):
        """One request arrives."""
        request = Request(kind, len(self.requests) + 1, self.now)
        self.requests.append(request)
        self.ask(request)

    def ask(self, request):
        """Ask the owner for an upstream."""
        kind = request.kind
        request.attempts += 1
        left_s = request.began_s + kind.deadline_s - self.now
        target_s = request.began_s + kind.target_s - self.now
        ask = GrantRequest(
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
            max(0, int(left_s * 1000)),
            max(0, int(target_s * 1000)),
            request.sends,
            request.sends + 1 >= kind.max_attempts,
            False,
            "d",
            f"r{request.number}",
            f"f{request.number}",
            request.tried,
        )
        self.open[ask.key] = request
        self.send(ask)

    def send(self, message):
        """Run one decision, and act on its messages."""
        step = decide(self.group, message, self.now)
        self.group = step.state
        for address in step.messages:
            body = getattr(address.body, "body", address.body)
            if isinstance(body, Grant):
                self.dispatch(body)
            elif isinstance(body, Denial):
                self.end(self.open.pop(body.key), "refused")
            elif not isinstance(body, QueuedAck | ReportAck):
                for hook in self.hooks:
                    hook(body)

    # Upstreams ------------------------------------------------------------------------

    def dispatch(self, grant):
        """Let an upstream run an attempt, by its behaviour."""
        request = self.open.get(grant.key)
        if request is None:
            return
        self.grants.append((self.now, grant.upstream, request))
        behaviour = self.behaviours[grant.upstream]
        left_s = request.began_s + request.kind.deadline_s - self.now
        verdict, took_s = self.result(grant.upstream, behaviour, request.kind)
        if took_s >= left_s:
            verdict, took_s = Verdict.LATE, max(0.0, left_s)
        sent_s = self.now
        self.at(
            self.now + took_s,
            lambda: self.report(grant, request, verdict, self.now - sent_s),
        )

    def result(self, name, behaviour, kind):
        """Return how an attempt that starts now ends, and when."""
        work_s = self.random.lognormvariate(0, 0.3) * kind.work_s * behaviour.slow
        if self._is_within(behaviour.hangs):
            return Verdict.LATE, 1e9
        if self.random.random() < behaviour.sheds:
            return Verdict.SHED, ERROR_S
        failing = any(a <= self.now < b for a, b in self.episodes[name])
        failing = failing or self._is_within(behaviour.fails_in)
        if failing and self.random.random() < behaviour.fails:
            return Verdict.FAULT, ERROR_S
        if self.random.random() < kind.error_share:
            return Verdict.FAULT, work_s
        return Verdict.GOOD, work_s

    def _is_within(self, span):
        since_s = self.now - self.start_s
        return bool(span) and span[0] <= since_s < span[1]

    def report(self, grant, request, verdict, took_s):
        """Report an attempt, and end or repeat the request."""
        if self.open.pop(grant.key, None) is None:
            return
        arrived = verdict is not Verdict.UNREACHED
        request.sends += arrived
        request.ran += arrived and verdict is not Verdict.SHED
        request.tried += (grant.upstream,)
        took_ms = int(took_s * 1000)
        report = AttemptReport(grant.key, GROUP, grant.upstream, verdict, took_ms)
        self.send(report)
        if verdict is Verdict.GOOD:
            self.end(request, "served")
        elif self.may_repeat(request, verdict):
            self.ask(request)
        else:
            self.end(request, "refused" if verdict is Verdict.SHED else "failed")

    def may_repeat(self, request, verdict):
        """Tell whether the entry would try again."""
        left_s = request.began_s + request.kind.deadline_s - self.now
        if request.sends >= request.kind.max_attempts or left_s <= 0.02:
            return False
        return request.kind.idempotent or not request.ran

    def end(self, request, outcome):
        """Note the end of a request."""
        request.outcome = outcome
        request.ended_s = self.now

    # Results --------------------------------------------------------------------------

    def join(self, name, behaviour):
        """Put an upstream on the list."""
        self.behaviours[name] = behaviour
        self.episodes[name] = self._episodes(behaviour)
        self.send(PlanChanged(self.plan()))

    def leave(self, name):
        """Take an upstream off the list."""
        self.leaving.add(name)
        self.send(PlanChanged(self.plan()))

    def of(self, kind):
        """Return the requests of a kind, by its name."""
        return [r for r in self.requests if r.kind.name == kind]

    def share(self, outcome, kind=""):
        """Return the share of requests with an outcome."""
        found = self.of(kind) if kind else self.requests
        return sum(r.outcome == outcome for r in found) / max(1, len(found))

    def in_time(self, kind):
        """Return the share of a kind's requests that met their target."""
        found = self.of(kind)
        good = [
            r
            for r in found
            if r.outcome == "served" and r.ended_s - r.began_s <= r.kind.target_s
        ]
        return len(good) / max(1, len(found))
