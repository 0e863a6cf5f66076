"""The task that holds the visits of this node and runs their pipes."""

import dataclasses
import time

import immutables
import uuid6

from comfreyusher.accounts import ReplicationFinished
from comfreyusher.entry._arrive import ARRIVAL
from comfreyusher.entry._ask import ask_again, live_attempts
from comfreyusher.entry._attempts import (
    cancel_all,
    pass_interim,
    release_held,
    take_denial,
    take_failure,
    take_grant,
    take_queued,
    take_reply,
    take_reply_body,
)
from comfreyusher.entry._body import credit_caller, pass_credit, take_body
from comfreyusher.entry._messages import Forget, ReportTo
from comfreyusher.entry._overdue import (
    end_overdue,
    hedge,
    is_hedge_due,
    is_overdue,
)
from comfreyusher.entry._owners import (
    count_asking,
    forget_old,
    is_ask_due,
    note_heard,
)
from comfreyusher.entry._state import Outgoing, Visit
from comfreyusher.events import log_info, log_warning
from comfreyusher.flow import (
    Subscribe,
    Task,
    Tick,
    TickMonitor,
    Unsubscribe,
    record_tick,
    replace,
)
from comfreyusher.membership import Ownership
from comfreyusher.messages import (
    CallerDisconnected,
    ClientInterimResponse,
    ClientRequestCredit,
    ClientRequestFailed,
    ClientResponseBody,
    ClientResponseCredit,
    ClientResponseStart,
    Denial,
    Grant,
    Outcome,
    QueuedAck,
    ReportAck,
    RequestBody,
    RequestStart,
    ResponseCredit,
    ToNode,
    Verdict,
)
from comfreyusher.platform import read_call
from comfreyusher.routing import RoutingTable
from comfreyusher.telemetry import derive_context, parse_context, start_context

CHANNEL = "entry"
PART = "entry"
TICK_PERIOD_S = 0.05
REPORT_WAIT_S = 0.15
REPORT_TRIES = 6
REPORT_TRIES_DRAINING = 3
START_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What the node knows of configuration and fleet."""

    table: RoutingTable
    ready: bool
    draining: bool
    groups: immutables.Map
    ownership: Ownership
    departed: immutables.Map = immutables.Map()


class EntryTask(Task):
    """Keeps one frozen ``Visit`` a request, and their shared ``EntryState``.

    It watches the time only while requests or reports are under way. Requests
    that arrive in the first moments of the process wait for its first reads.
    """

    def __init__(self, state, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.state = state
        self.wall_clock = wall_clock
        self.visits = {}
        self.reports = {}
        self.ticking = False
        self.pace = TickMonitor(self.clock())
        self.starting = True
        self.started_s = self.clock()
        self.early = []
        self.message_handlers = {
            RequestStart: self.arrive,
            RequestBody: self.take_more,
            CallerDisconnected: self.lose_caller,
            ResponseCredit: self.pass_answer_credit,
            QueuedAck: self.by_key(take_queued),
            Grant: self.by_key(take_grant),
            Denial: self.by_key(take_denial),
            ReportAck: self.forget_report,
            ClientResponseStart: self.by_exchange(take_reply),
            ClientResponseBody: self.by_exchange(take_reply_body),
            ClientInterimResponse: self.by_exchange(pass_interim),
            ClientRequestCredit: self.by_exchange(pass_credit),
            ClientRequestFailed: self.by_exchange(take_failure),
            ReplicationFinished: self.take_copy,
            ReportTo: self.report,
            Forget: self.forget,
            Situation: self.take_situation,
            Tick: self.on_tick,
        }

    @property
    def busy(self):
        """Number of requests and reports that have not ended."""
        return len(self.visits) + len(self.reports)

    # Running decisions -------------------------------------------------------

    def run(self, decision, visit, *message):
        """Run a decision on a visit, and keep what it returns."""
        state = self._state_at(self.clock())
        step = decision(state, visit, *message)
        self.state = step.state
        self.visits[visit.exchange] = step.item
        for address in step.messages:
            method = None
            if address.channel == CHANNEL:
                method = self.message_handlers.get(type(address.body))
            if method is not None:
                method(address.body)
            else:
                self.send_message(address.channel, address.body)

    def _state_at(self, now):
        return replace(self.state, now_s=now, awake_s=self.pace.running_s(now))

    def by_key(self, decision):
        """Return a method that runs a decision for the visit of an owner's word."""

        def run(body):
            visit = self.visits.get(body.key.number)
            if visit is not None and body.key.node == self.state.node:
                self._hear(visit, body.key)
                self.run(decision, visit, body)

        return run

    def _hear(self, visit, key):
        if 0 < key.attempt <= len(visit.attempts):
            owner = visit.attempts[key.attempt - 1].owner
            self.state = note_heard(self._state_at(self.clock()), owner)

    def by_exchange(self, decision):
        """Return a method that runs a decision for the visit of an attempt."""

        def run(body):
            visit = self.visits.get(body.exchange.number)
            if visit is not None:
                self.run(decision, visit, body)

        return run

    def take_copy(self, confirmed):
        """Release an answer whose account entry is copied."""
        visit = self.visits.get(confirmed.exchange)
        if visit is not None:
            self.run(release_held, visit, confirmed)

    def forget(self, ended):
        """Drop a visit that has ended, and log its outcome."""
        visit = self.visits.pop(ended.exchange, None)
        if visit is None:
            return
        last = visit.attempts[-1] if visit.attempts else None
        took_ms = round((self.state.now_s - visit.began_s) * 1000, 1)
        log_info(
            PART,
            "answered",
            request=visit.request_id,
            number=visit.exchange,
            outcome=ended.outcome.value,
            status=ended.status,
            reason=ended.reason,
            service=visit.match.service if visit.match else "",
            attempts=len(visit.attempts),
            tried=visit.tried,
            upstream=last.upstream if last else "",
            owner=last.owner if last else "",
            version=self.state.table.version,
            sent_ms=_since_arrival_ms(visit, last),
            took_ms=took_ms,
        )

    # Callers -----------------------------------------------------------------

    def arrive(self, request):
        """Run the arrival pipe for a request."""
        visit = self._new_visit(request)
        self.visits[visit.exchange] = visit
        self._watch_time()
        for address in credit_caller(visit, len(request.body)):
            self.send_message(address.channel, address.body)
        if self.starting and visit.began_s - self.started_s < START_S:
            self.early.append(visit.exchange)
            return
        self.run(ARRIVAL, visit)

    def take_more(self, more):
        """Handle more of a request body."""
        visit = self.visits.get(more.exchange)
        if visit is not None:
            self.run(take_body, visit, more)

    def _begin_early(self):
        """Begin the requests that came before the node knew what to do."""
        early, self.early = self.early, []
        for exchange in early:
            visit = self.visits.get(exchange)
            if visit is not None:
                self.run(ARRIVAL, visit)

    def _new_visit(self, request):
        before = None
        for name, value in request.head.headers:
            if name.lower() == b"traceparent":
                before = parse_context(value.decode("latin-1"))
        if before is None:
            context = start_context(self.state.sampling_ratio)
        else:
            context = derive_context(before, f"{self.state.node}/{request.exchange}")
        return Visit(
            request.exchange,
            request,
            read_call(request.head).request_id or uuid6.uuid7().hex,
            context,
            self.clock(),
            int(self.wall_clock() * 1000),
            before,
            parts=(request.body,) if request.body else (),
            kept_bytes=len(request.body),
            body_ended=request.ended,
        )

    def lose_caller(self, gone):
        """Cancel everything that runs for a caller that went away."""
        visit = self.visits.get(gone.exchange)
        if visit is None:
            return
        self.run(cancel_all, visit, Verdict.CANCELLED)
        outcome = Outcome.UNKNOWN if visit.sends or visit.attempts else Outcome.NOT_RUN
        self.forget(Forget(gone.exchange, outcome, 499, "the caller went away"))

    def pass_answer_credit(self, credit):
        """Tell the upstream's connection that the caller took answer bytes."""
        visit = self.visits.get(credit.exchange)
        if visit is not None and visit.streaming:
            key = visit.attempts[visit.streaming - 1].key
            self.send_message("upstreams", ClientResponseCredit(key, credit.size_bytes))

    # Owners ----------------------------------------------------------------------

    def report(self, outgoing):
        """Send a report until its owner has heard it."""
        report = outgoing.report
        if outgoing.hop is not None:
            self.send_message("telemetry", outgoing.hop)
        if report.verdict not in (Verdict.GOOD, Verdict.CANCELLED):
            self._log_failure(report)
        self.reports[report.key] = Outgoing(
            outgoing.owner, report, self.pace.running_s(self.clock())
        )
        self.send_message("datagrams", ToNode(outgoing.owner, report))
        self._watch_time()

    def _log_failure(self, report):
        visit = self.visits.get(report.key.number)
        log_info(
            PART,
            "attempt failed",
            request=visit.request_id if visit else "",
            number=report.key.number,
            attempt=report.key.attempt,
            upstream=report.upstream,
            verdict=report.verdict.value,
            took_ms=report.took_ms,
        )

    def forget_report(self, heard):
        """The owner has a report."""
        outgoing = self.reports.pop(heard.key, None)
        if outgoing is not None:
            self.state = note_heard(self._state_at(self.clock()), outgoing.owner)

    def _report_again(self, awake_s):
        most = REPORT_TRIES_DRAINING if self.state.draining else REPORT_TRIES
        for key, outgoing in list(self.reports.items()):
            wait_s = REPORT_WAIT_S * 2 ** (outgoing.tries - 1)
            if awake_s - outgoing.told_s < wait_s:
                continue
            if outgoing.tries >= most:
                del self.reports[key]
                log_info(
                    PART, "report unheard", owner=outgoing.owner, number=key.number
                )
                continue
            outgoing.tries += 1
            outgoing.told_s = awake_s
            self.send_message("datagrams", ToNode(outgoing.owner, outgoing.report))

    # Node ----------------------------------------------------------------------------

    def take_situation(self, situation):
        """Take a new configuration or view of the fleet."""
        self.state = replace(
            self.state,
            table=situation.table,
            ready=situation.ready,
            draining=situation.draining,
            groups=situation.groups,
            ownership=situation.ownership,
            departed=situation.departed,
        )
        if self.starting and situation.ready and situation.groups:
            self.starting = False
            self._begin_early()

    def _watch_time(self):
        if not self.ticking:
            self.ticking = True
            self.pace = replace(self.pace, last_tick_s=self.clock())
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def on_tick(self, tick):
        """Repeat asks and reports, hedge, and end what is overdue."""
        now = tick.now_s
        self.pace = record_tick(self.pace, now, TICK_PERIOD_S)
        if self.early and now - self.started_s >= START_S:
            self._begin_early()
        self.state = count_asking(self.state, self.visits.values())
        state = self._state_at(now)
        for visit in list(self.visits.values()):
            self._watch_visit(visit, state)
        self._report_again(self.pace.running_s(now))
        if not self.visits and not self.reports:
            self.ticking = False
            self.send_message("timers", Unsubscribe(CHANNEL, "tick"))
            self.state = forget_old(self._state_at(now))

    def _watch_visit(self, visit, state):
        if visit.match is None:
            return  # it waits for the first reads of a fresh process
        if is_overdue(visit, state.now_s):
            self.run(end_overdue, visit)
            return
        for attempt in live_attempts(visit):
            if is_ask_due(state, attempt):
                self._ask_again(visit.exchange, attempt)
        visit = self.visits.get(visit.exchange)
        if visit is None or self.pace.late:
            return
        if is_hedge_due(state, visit):
            self.run(hedge, visit)

    def _ask_again(self, exchange, attempt):
        visit = self.visits.get(exchange)
        if visit is None:
            return
        before = self.state.silent_owners
        self.run(ask_again, visit, attempt)
        if self.state.silent_owners is not before:
            log_warning(
                PART,
                "owner silent",
                request=visit.request_id,
                group=attempt.ask.group,
                owner=attempt.owner,
            )


def _since_arrival_ms(visit, attempt):
    """Return when an attempt was sent, after the arrival, or ``None``."""
    if attempt is None or not attempt.sent_s:
        return None
    return round((attempt.sent_s - visit.began_s) * 1000, 1)
