"""Time and memory that callers' connections may take."""

from comfreyusher.events import log_warning
from comfreyusher.flow import StreamTask
from comfreyusher.http._encode import build_text_response, encode_response_head
from comfreyusher.http._memory_budget import MemoryBudget, choose_connections
from comfreyusher.http._pipelining import SharedSlots
from comfreyusher.messages import (
    CallerDisconnected,
    CallerMemory,
    Outcome,
    RequestBodyTimedOut,
)

OUTCOME_HEADER = b"Comfreyusher-Outcome"
NOT_RUN_HEADERS = ((OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),)
RETRY_AFTER_HEADER = b"Retry-After"
# Spreads the retries of callers that are refused at the same time over a second.
RETRY_AFTER_STEPS = 16
BUSY_TEXT = "this node holds too much for its callers"


class BoundedServerTask(StreamTask):
    """Owns callers' connections, and closes those that take too much.

    ``states`` maps numbers of connections to ``ServerConnection``,
    ``number_by_exchange`` the exchanges in progress to their connections.
    ``turned_away`` are the numbers of connections that found no slot for a request
    behind the front, in the order of their attempts.
    ``memory_channel``, if there is one, gets a ``CallerMemory`` at each sweep in
    which its values differ.
    """

    def __init__(self, channel, consumer, poller, limits, memory_channel="", **kwargs):
        super().__init__(channel, poller, **kwargs)
        self.consumer = consumer
        self.limits = limits
        self.memory_channel = memory_channel
        self.states = {}
        self.number_by_exchange = {}
        self.budget = MemoryBudget(
            limits.max_held_bytes,
            limits.max_unfinished_requests,
            limits.max_connections,
        )
        self.slots = SharedSlots(limits.max_waiting_requests)
        self.turned_away = {}
        self.enforcing = False
        self.closed_total = 0
        self.closed_logged = 0
        self.reported_memory = CallerMemory()

    # Memory --------------------------------------------------------------

    def count_connection(self, number, state):
        """Update the budget by what a connection holds now, and enforce it."""
        if number not in self.states:
            return
        held_bytes = state.count_held_bytes(self.unsent_bytes(number))
        self.budget.update(number, held_bytes, state.unfinished)
        if self.budget.exceeded and not self.enforcing:
            self.enforcing = True  # closing connections counts them again
            self._enforce_budget()
            self.enforcing = False

    def _enforce_budget(self):
        """Close the connections that hold most and progress least."""
        now = self.clock()
        holdings = []
        for number, state in self.states.items():
            unsent_bytes = self.unsent_bytes(number)
            held_bytes = state.count_held_bytes(unsent_bytes)
            self.budget.update(number, held_bytes, state.unfinished)
            slow_reader = unsent_bytes >= self.limits.window_bytes
            holdings.append(state.build_holding(number, held_bytes, slow_reader, now))
        for holding in choose_connections(holdings, self.budget):
            state = self.states.get(holding.number)
            if state is not None:
                self._close_for_memory(holding.number, state)

    def _close_for_memory(self, number, state):
        """Refuse a request that was not passed on, or reset the connection.

        A refusal is written at once and not waited for: the kernel has room for it
        where no response is waiting to be read.
        """
        self.closed_total += 1
        if not state.exchange and state.unfinished and not self.unsent_bytes(number):
            retry_after_s = 1 + number % RETRY_AFTER_STEPS / RETRY_AFTER_STEPS
            seconds = f"{retry_after_s:.2f}".encode()
            headers = (*NOT_RUN_HEADERS, (RETRY_AFTER_HEADER, seconds))
            self._write_error(number, 503, BUSY_TEXT, headers)
            if not self.unsent_bytes(number):
                self.close(number)
                return
        self.abort(number)

    def release_connection(self, number):
        """Remove a connection from the tables, and tell the consumer."""
        state = self.states.pop(number, None)
        self.budget.remove(number)
        self.turned_away.pop(number, None)
        if state is None:
            return
        state.discard_requests()
        state.parser.close()
        if state.exchange:
            del self.number_by_exchange[state.exchange]
            self.send_message(self.consumer, CallerDisconnected(state.exchange))
        self.cancel_waiting(state)

    def cancel_waiting(self, state):
        """Cancel the requests behind one whose response ends the connection."""
        self.slots.used -= len(state.waiting)
        state.waiting_bytes = 0
        while state.waiting:
            exchange = state.waiting.popleft().exchange
            del self.number_by_exchange[exchange]
            self.send_message(self.consumer, CallerDisconnected(exchange))

    def close_after_sending(self, number, state):
        """Close a connection behind its last response; nothing more is read or run."""
        self.cancel_waiting(state)
        state.discard_requests()
        self.close(number)

    def _report_memory(self):
        """Log closed connections and report what is held; called once a second."""
        if self.closed_total > self.closed_logged:
            log_warning(
                self.channel,
                "callers closed",
                closed=self.closed_total - self.closed_logged,
                held_bytes=self.budget.held_bytes,
                unfinished=len(self.budget.unfinished),
            )
            self.closed_logged = self.closed_total
        memory = CallerMemory(
            self.budget.held_bytes, len(self.budget.unfinished), self.closed_total
        )
        if self.memory_channel and memory != self.reported_memory:
            self.send_message(self.memory_channel, memory)
            self.reported_memory = memory

    # Errors --------------------------------------------------------------

    def _write_error(self, number, status, text, headers):
        head, body = build_text_response(status, text, headers)
        self.write(number, encode_response_head(head, close=True) + body)

    def _send_error(self, number, status, text, headers=()):
        """Send an error response of the HTTP layer and close the connection."""
        self._write_error(number, status, text, headers)
        self._end_connection(number)

    def _end_connection(self, number):
        """Close a connection whose caller may still be sending."""
        self.release_connection(number)
        self.close_lingering(number)

    # Timeouts ------------------------------------------------------------

    def handle_tick(self, tick):
        """Close connections that are idle or slow to send their request."""
        self.drop_lingering(tick.now_s)
        self._offer_slots()
        for number, state in list(self.states.items()):
            self._check_timeouts(number, state, tick.now_s)
        self._report_memory()

    def _check_timeouts(self, number, state, now):
        unsent_bytes = self.unsent_bytes(number)
        if unsent_bytes < state.unsent_seen_bytes:
            state.last_activity_s = now
            state.count_progress(state.unsent_seen_bytes - unsent_bytes, now)
        state.unsent_seen_bytes = unsent_bytes
        inactive_s = now - state.last_activity_s
        if state.head_started_s is not None and not state.exchange:
            if now - state.head_started_s > self.limits.head_timeout_s:
                text = "the request head took too long"
                self._send_error(number, 408, text, NOT_RUN_HEADERS)
        elif state.receiving and not state.paused:
            if inactive_s > self.limits.body_timeout_s:
                self._time_out_body(number, state)
        elif not state.exchange and inactive_s > self.limits.idle_timeout_s:
            self._close_idle(number, unsent_bytes)

    def _close_idle(self, number, unsent_bytes):
        """Close a connection whose caller neither sends nor reads."""
        if unsent_bytes:
            self.abort(number)
        else:
            self.close(number)

    def _time_out_body(self, number, state):
        """Let the consumer answer, which knows whether the request may have run."""
        if state.response_started:
            self.abort(number)
            return
        self.send_message(self.consumer, RequestBodyTimedOut(state.exchange))
