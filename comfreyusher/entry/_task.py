"""The task that holds the requests of this node and runs decisions on them."""

import time

from comfreyusher.accounts import ReplicationFinished
from comfreyusher.entry._arrival import ARRIVAL_PIPE, build_request
from comfreyusher.entry._attempt_ends import cancel_all
from comfreyusher.entry._attempts import (
    handle_denial,
    handle_interim_response,
    handle_queued_ack,
    handle_request_failed,
    handle_response_body,
    handle_response_start,
    release_held_response,
)
from comfreyusher.entry._body import add_body, credit_caller, handle_request_credit
from comfreyusher.entry._grant_requests import live_attempts, repeat_grant_request
from comfreyusher.entry._grants import handle_grant
from comfreyusher.entry._hedges import hedge, is_hedge_due
from comfreyusher.entry._key_refusals import KeyRefusals
from comfreyusher.entry._log import log_answered, log_failure
from comfreyusher.entry._messages import (
    EndRequests,
    NodeView,
    RequestFinished,
    SendReport,
)
from comfreyusher.entry._owners import (
    count_attempts,
    drop_expired,
    is_resend_due,
    record_owner_message,
)
from comfreyusher.entry._report_sender import ReportSender
from comfreyusher.entry._timeouts import (
    end_for_shutdown,
    end_overdue,
    end_stalled_body,
    is_overdue,
)
from comfreyusher.entry._tokens import (
    handle_token_decision,
    is_unused,
)
from comfreyusher.events import log_warning
from comfreyusher.feeds import ConfigurationKnown
from comfreyusher.flow import (
    Subscribe,
    Task,
    Tick,
    TickMonitor,
    Unsubscribe,
    record_tick,
    replace,
)
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
    RequestBodyTimedOut,
    RequestStart,
    ResponseCredit,
    Verdict,
)
from comfreyusher.quarantine import QuarantinesChanged
from comfreyusher.quota import TokenDecision, TokenReturned

CHANNEL = "entry"
PART = "entry"
TICK_PERIOD_S = 0.05
STARTUP_WAIT_S = 1.0


class EntryTask(Task):
    """Holds an ``ActiveRequest`` for each request, and their ``EntryState``.

    The task gets ticks only while it has requests or reports. Requests that arrive
    within ``STARTUP_WAIT_S`` of its start wait for the first view of the node that
    has routes and groups of upstreams.
    """

    def __init__(self, state, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.state = state
        self.wall_clock = wall_clock
        self.requests = {}
        self.reports = ReportSender(
            lambda channel, body: self.send_message(channel, body)
        )
        self.key_refusals = KeyRefusals(
            lambda channel, body: self.send_message(channel, body)
        )
        self.ticking = False
        self.tick_monitor = TickMonitor(self.clock())
        self.starting = True
        self.started_s = self.clock()
        self.early_requests = []
        self.message_handlers = {
            RequestStart: self.handle_request_start,
            RequestBody: self.handle_request_body,
            RequestBodyTimedOut: self.handle_request_body_timed_out,
            CallerDisconnected: self.handle_caller_disconnected,
            ResponseCredit: self.handle_response_credit,
            QueuedAck: self.owner_handler(handle_queued_ack),
            Grant: self.owner_handler(handle_grant),
            Denial: self.owner_handler(handle_denial),
            ReportAck: self.handle_report_ack,
            ClientResponseStart: self.upstream_handler(handle_response_start),
            ClientResponseBody: self.upstream_handler(handle_response_body),
            ClientInterimResponse: self.upstream_handler(handle_interim_response),
            ClientRequestCredit: self.upstream_handler(handle_request_credit),
            ClientRequestFailed: self.upstream_handler(handle_request_failed),
            ReplicationFinished: self.handle_replication_finished,
            SendReport: self.handle_send_report,
            RequestFinished: self.handle_request_finished,
            TokenDecision: self.handle_token_decision,
            NodeView: self.handle_node_view,
            ConfigurationKnown: self.handle_configuration_known,
            QuarantinesChanged: self.handle_quarantines_changed,
            EndRequests: self.handle_end_requests,
            Tick: self.handle_tick,
        }

    @property
    def in_flight(self):
        """Return the number of requests and reports that have not ended."""
        return len(self.requests) + len(self.reports)

    # Running decisions -------------------------------------------------------

    def run(self, decision, request, *message):
        """Run a decision on a request, store the result and send its messages.

        A decision is a pure function of the state, the request and the message. It
        returns the new state, the new request and the messages to send.
        """
        state = self._state_at(self.clock())
        step = decision(state, request, *message)
        self.state = step.state
        self.requests[request.exchange] = step.item
        for envelope in step.messages:
            method = None
            if envelope.channel == CHANNEL:
                method = self.message_handlers.get(type(envelope.body))
            if method is not None:
                method(envelope.body)
            else:
                self.send_message(envelope.channel, envelope.body)

    def _state_at(self, now):
        return replace(
            self.state, now_s=now, running_s=self.tick_monitor.running_s(now)
        )

    def owner_handler(self, decision):
        """Return a handler that runs a decision on a message from an owner."""

        def run(body):
            request = self.requests.get(body.key.number)
            if request is not None and body.key.node == self.state.node:
                self._record_owner_message(request, body.key)
                self.run(decision, request, body)

        return run

    def _record_owner_message(self, request, key):
        if 0 < key.attempt <= len(request.attempts):
            owner = request.attempts[key.attempt - 1].owner
            self.state = record_owner_message(self._state_at(self.clock()), owner)

    def upstream_handler(self, decision):
        """Return a handler that runs a decision on a message about an attempt."""

        def run(body):
            request = self.requests.get(body.exchange.number)
            if request is not None:
                self.run(decision, request, body)

        return run

    def handle_token_decision(self, decision):
        """Begin or refuse a held request; the token of one that has ended goes back."""
        request = self.requests.get(decision.exchange)
        if request is not None:
            self.run(handle_token_decision, request, decision)
        elif decision.granted:
            self.send_message("quota", TokenReturned(decision.account))

    def handle_replication_finished(self, finished):
        """Release the response that waits for the replication of its account entry."""
        request = self.requests.get(finished.exchange)
        if request is not None:
            self.run(release_held_response, request, finished)

    def handle_request_finished(self, finished):
        """Drop a finished request, and log its outcome or count its refusal."""
        request = self.requests.pop(finished.exchange, None)
        if request is None:
            return
        if request.key_fault:
            self.key_refusals.count(request, self.state.now_s)
        else:
            log_answered(self.state, request, finished)

    # Callers -----------------------------------------------------------------

    def handle_request_start(self, start):
        """Run the arrival pipe for a request."""
        arrived_ms = int(self.wall_clock() * 1000)
        request = build_request(self.state, start, self.clock(), arrived_ms)
        self.requests[request.exchange] = request
        self._start_ticking()
        for envelope in credit_caller(request, len(start.body)):
            self.send_message(envelope.channel, envelope.body)
        if self.starting and request.arrived_s - self.started_s < STARTUP_WAIT_S:
            self.early_requests.append(request.exchange)
            return
        self.run(ARRIVAL_PIPE, request)

    def handle_request_body(self, chunk):
        """Add a part of a request body."""
        request = self.requests.get(chunk.exchange)
        if request is not None:
            self.run(add_body, request, chunk)

    def handle_request_body_timed_out(self, timed_out):
        """Answer a request whose body stopped arriving."""
        request = self.requests.get(timed_out.exchange)
        if request is not None:
            self.run(end_stalled_body, request, timed_out)

    def _start_early_requests(self):
        """Start the requests that arrived before the first view of the node."""
        early_requests, self.early_requests = self.early_requests, []
        for exchange in early_requests:
            request = self.requests.get(exchange)
            if request is not None:
                self.run(ARRIVAL_PIPE, request)

    def handle_caller_disconnected(self, disconnected):
        """Cancel all attempts of a caller that disconnected."""
        request = self.requests.get(disconnected.exchange)
        if request is None:
            return
        self.run(cancel_all, request, Verdict.CANCELLED)
        if is_unused(request):
            self.send_message("quota", TokenReturned(request.client_account.name))
        outcome = (
            Outcome.UNKNOWN if request.sends or request.attempts else Outcome.NOT_RUN
        )
        self.handle_request_finished(
            RequestFinished(disconnected.exchange, outcome, 499, "the caller went away")
        )

    def handle_response_credit(self, credit):
        """Pass the caller's credit for a streamed response to the upstream."""
        request = self.requests.get(credit.exchange)
        if request is not None and request.streaming_attempt:
            key = request.attempts[request.streaming_attempt - 1].key
            self.send_message("upstreams", ClientResponseCredit(key, credit.size_bytes))

    # Owners ----------------------------------------------------------------------

    def handle_send_report(self, message):
        """Send a report, and resend it until its owner acknowledges it."""
        report = message.report
        if message.span is not None:
            self.send_message("telemetry", message.span)
        if report.verdict not in (Verdict.GOOD, Verdict.CANCELLED):
            log_failure(self.requests.get(report.key.number), report)
        running_s = self.tick_monitor.running_s(self.clock())
        self.reports.send(message.owner, report, running_s)
        self._start_ticking()

    def handle_report_ack(self, ack):
        """Stop resending a report that its owner has acknowledged."""
        owner = self.reports.acknowledge(ack.key)
        if owner is not None:
            self.state = record_owner_message(self._state_at(self.clock()), owner)

    # Node ----------------------------------------------------------------------------

    def handle_node_view(self, view):
        """Apply a new configuration or view of the fleet."""
        self.state = replace(
            self.state,
            table=view.table,
            ready=view.ready,
            draining=view.draining,
            groups=view.groups,
            ownership=view.ownership,
            departed=view.departed,
            ends_s=view.ends_s,
        )
        if self.starting and view.ready and view.groups:
            self.starting = False
            self._start_early_requests()

    def handle_end_requests(self, _):
        """Answer the requests in flight: whether they may have run, or have not."""
        for request in list(self.requests.values()):
            self.run(end_for_shutdown, request)

    def handle_configuration_known(self, known):
        """Note whether a newer configuration exists than the one in force here."""
        self.state = replace(
            self.state, newest_version=known.version, newer_exists=known.newer_exists
        )

    def handle_quarantines_changed(self, changed):
        """Refuse the quarantined requests from now on."""
        self.state = replace(self.state, quarantined=changed.quarantined)

    def _start_ticking(self):
        if not self.ticking:
            self.ticking = True
            self.tick_monitor = replace(self.tick_monitor, last_tick_s=self.clock())
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_tick(self, tick):
        """Resend grant requests and reports, hedge, and end overdue requests."""
        now = tick.now_s
        self.tick_monitor = record_tick(self.tick_monitor, now, TICK_PERIOD_S)
        if self.early_requests and now - self.started_s >= STARTUP_WAIT_S:
            self._start_early_requests()
        self.state = count_attempts(self.state, self.requests.values())
        state = self._state_at(now)
        for request in list(self.requests.values()):
            self._check_request(request, state)
        running_s = self.tick_monitor.running_s(now)
        self.reports.resend(running_s, self.state.draining)
        self.key_refusals.report_if_due(now)
        if not self.requests and not self.reports and not self.key_refusals:
            self.ticking = False
            self.send_message("timers", Unsubscribe(CHANNEL, "tick"))
            self.state = drop_expired(self._state_at(now))

    def _check_request(self, request, state):
        if request.match is None:
            return  # still waits for the first view of the node
        if is_overdue(request, state.now_s):
            self.run(end_overdue, request)
            return
        for attempt in live_attempts(request):
            if is_resend_due(state, attempt):
                self._repeat_grant_request(request.exchange, attempt)
        request = self.requests.get(request.exchange)
        if request is None or self.tick_monitor.late:
            return
        if is_hedge_due(state, request):
            self.run(hedge, request)

    def _repeat_grant_request(self, exchange, attempt):
        request = self.requests.get(exchange)
        if request is None:
            return
        silent_before = self.state.silent_owners
        self.run(repeat_grant_request, request, attempt)
        if self.state.silent_owners is not silent_before:
            log_warning(
                PART,
                "owner silent",
                request=request.request_id,
                group=attempt.grant_request.group,
                owner=attempt.owner,
            )
