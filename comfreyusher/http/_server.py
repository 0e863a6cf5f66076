"""HTTP server task: callers' connections, strict parsing, responses in order."""

import dataclasses

from comfreyusher.flow import Subscribe, Tick, replace
from comfreyusher.http._encode import encode_chunk, encode_response_head
from comfreyusher.http._errors import HttpError
from comfreyusher.http._parse import BodyData, ParsedHead
from comfreyusher.http._server_bounds import NOT_RUN_HEADERS
from comfreyusher.http._server_connection import (
    HttpLimits,
    ServerConnection,
    count_event_bytes,
)
from comfreyusher.http._server_pipelining import PipeliningServerTask
from comfreyusher.messages import (
    InterimResponse,
    RequestBody,
    RequestCredit,
    RequestStart,
    ResponseAbort,
    ResponseBody,
    ResponseCredit,
    ResponseHeld,
    ResponseStart,
)

SWEEP_PERIOD_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bytes parsed at a time, so that few events are parsed beyond those that may wait.
PARSE_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class IdleTimeout:
    """Set how long callers may keep idle connections."""

    seconds: float


class HttpServerTask(PipeliningServerTask):
    """Turns callers' requests into messages for the task on ``consumer``."""

    def __init__(self, channel, consumer, poller, limits=None, **kwargs):
        super().__init__(channel, consumer, poller, limits or HttpLimits(), **kwargs)
        self.message_handlers = {
            ResponseStart: self.handle_response_start,
            ResponseBody: self.handle_response_body,
            InterimResponse: self.handle_interim_response,
            ResponseAbort: self.handle_response_abort,
            ResponseHeld: self.handle_response_held,
            RequestCredit: self.handle_request_credit,
            IdleTimeout: self.handle_idle_timeout,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the sweep that closes slow and idle connections."""
        self.send_message("timers", Subscribe(self.channel, "sweep", SWEEP_PERIOD_S))

    def close_after_responses(self):
        """Close every connection after its next response."""
        self.closing_connections = True

    def close_idle_connections(self):
        """Close idle connections now and the others after their response."""
        self.closing_connections = True
        for number, state in list(self.states.items()):
            if not state.exchange and not state.pending_events:
                self.close_after_sending(number, state)

    def handle_idle_timeout(self, message):
        """Apply a new timeout of idle connections."""
        self.limits = replace(self.limits, idle_timeout_s=message.seconds)

    @property
    def requests_in_flight(self):
        """Number of requests whose response has not ended."""
        return len(self.number_by_exchange)

    # Socket hooks --------------------------------------------------------

    def on_accepted(self, event):
        state = ServerConnection(event.host, self.limits, self.clock())
        self.states[event.connection] = state
        self.count_connection(event.connection, state)

    def on_received(self, event):
        state = self.states.get(event.connection)
        if state is None or (state.closing and event.data):
            return
        now = state.last_activity_s = self.clock()
        if not event.data:
            self._handle_eof(event.connection, state)
            return
        state.count_progress(len(event.data), now)
        if state.parse_error is None:
            state.unparsed += event.data
            self._parse(state)
        self._deliver_events(event.connection, state)
        self.count_connection(event.connection, state)

    def on_drained(self, event):
        state = self.states.get(event.connection)
        if state is not None and state.credit_due_bytes and state.exchange:
            self.send_message(
                self.consumer, ResponseCredit(state.exchange, state.credit_due_bytes)
            )
            state.credit_due_bytes = 0
        if state is None:
            return
        state.last_progress_s = self.clock()
        if state.paused:
            self._deliver_events(event.connection, state)
        self.count_connection(event.connection, state)

    def on_closed(self, event):
        self.release_connection(event.connection)

    # Requests ------------------------------------------------------------

    def _parse(self, state):
        """Parse received bytes, and keep the rest while too many events wait."""
        parser, data, start = state.parser, state.unparsed, 0
        while start < len(data) and not state.parse_error:
            if len(state.pending_events) > self.limits.max_pending_events:
                break
            try:
                events = parser.feed(data[start : start + PARSE_BYTES])
            except HttpError as error:
                events = parser.take_events()
                # Without the traceback, whose frames hold what has been received.
                state.parse_error = HttpError(error.status, str(error))
            start += PARSE_BYTES
            state.pending_events.extend(events)
            state.pending_bytes += count_event_bytes(events)
        state.unparsed = b"" if state.parse_error else data[start:]
        if not parser.head_started:
            state.head_started_s = None
        elif state.head_started_s is None:
            state.head_started_s = state.last_progress_s = self.clock()

    def _deliver_events(self, number, state):
        """Deliver pending events, up to a request that cannot start yet.

        Pipelined requests start side by side where ``may_run_beside`` allows it, and
        only while the caller reads the responses.
        """
        while state.pending_events:
            if isinstance(state.pending_events[0], ParsedHead):
                if self._is_unread(number):
                    break
                if not state.exchange:
                    self._start_request(number, state, state.pending_events.popleft())
                elif self._may_run_beside(number, state):
                    self._start_beside(number, state)
                else:
                    break
            else:
                self._deliver_body(state)
            if state.unparsed:
                self._parse(state)
        if state.parse_error and not state.pending_events and number in self.states:
            self._handle_parse_error(number, state)
        elif number in self.states:
            self._adjust_reading(number, state)

    def _start_request(self, number, state, parsed_head):
        exchange = next(self.exchange_numbers)
        state.begin_exchange(exchange, parsed_head, self.clock())
        state.close_expected = False
        self.number_by_exchange[exchange] = number
        state.pending_bytes -= parsed_head.memory_bytes
        state.receiving = True
        body, ended = self._collect_body(state)
        request = RequestStart(
            state.exchange,
            state.host,
            parsed_head.head,
            body,
            ended,
            not ended and self.budget.crowded,
        )
        self.send_message(self.consumer, request)
        if parsed_head.expects_continue and not ended and not body:
            self.write(number, CONTINUE)  # may close the connection

    def _collect_body(self, state):
        """Return the pending bytes of a body, and whether the body ends with them."""
        parts = []
        while state.pending_events and isinstance(state.pending_events[0], BodyData):
            parts.append(state.pending_events.popleft().data)
        body = b"".join(parts)
        state.pending_bytes -= len(body)
        state.unconsumed_bytes += len(body)
        ended = bool(state.pending_events) and not isinstance(
            state.pending_events[0], ParsedHead
        )
        if ended:
            state.pending_events.popleft()
            state.receiving = False
        return body, ended

    def _deliver_body(self, state):
        body, ended = self._collect_body(state)
        if state.exchange:
            self.send_message(self.consumer, RequestBody(state.exchange, body, ended))
        if not state.receiving and not state.exchange:
            state.unconsumed_bytes = 0

    def _adjust_reading(self, number, state):
        waiting_bytes = state.unconsumed_bytes + state.pending_bytes
        full = waiting_bytes >= self.limits.window_bytes
        full = full or len(state.pending_events) > self.limits.max_pending_events
        full = full or self._is_unread(number)
        if full and not state.paused:
            self.pause_reading(number)
        elif state.paused and not full:
            self.resume_reading(number)
            state.last_activity_s = self.clock()
        state.paused = full

    def _is_unread(self, number):
        """Tell whether a whole window of responses waits for the caller."""
        return self.unsent_bytes(number) >= self.limits.window_bytes

    def handle_request_credit(self, credit):
        """Resume reading once the consumer has consumed enough bytes."""
        number = self.number_by_exchange.get(credit.exchange)
        if number is None:
            return
        state = self.states[number]
        if credit.exchange != state.exchange:
            return  # requests behind the front have no body
        state.unconsumed_bytes = max(0, state.unconsumed_bytes - credit.size_bytes)
        if credit.buffered:
            state.buffered_bytes += credit.size_bytes
        else:
            state.buffered_bytes = 0
        self._adjust_reading(number, state)
        self.count_connection(number, state)

    def handle_response_held(self, held):
        """Count a response that the consumer holds."""
        number = self.number_by_exchange.get(held.exchange)
        if number is None:
            return
        state = self.states[number]
        if held.exchange == state.exchange:
            state.held_response_bytes = held.size_bytes
        else:
            self._count_held_response(state, held)
        self.count_connection(number, state)

    def _handle_eof(self, number, state):
        """Handle a half-closed connection; its caller may still wait for responses."""
        state.eof_received = True
        caller_left = self.limits.abort_on_half_close and state.exchange
        if state.receiving or caller_left:
            self.abort(number)
        elif not state.exchange and not state.pending_events:
            self.close(number)

    def _handle_parse_error(self, number, state):
        if state.receiving and state.exchange and state.response_started:
            self.abort(number)
            return
        if state.exchange and not state.receiving:
            return
        error = state.parse_error
        headers = () if state.exchange else NOT_RUN_HEADERS
        self._send_error(number, error.status, str(error), headers)

    # Responses -----------------------------------------------------------

    def handle_response_start(self, response):
        """Write a response head and the first bytes of the body."""
        number = self.number_by_exchange.get(response.exchange)
        if number is None:
            return
        state = self.states[number]
        if response.exchange != state.exchange:
            self._hold_message(number, state, response)
            return
        state.response_started = True
        state.held_response_bytes = 0
        head = response.head
        without_body = head.status in (204, 304) or state.request_head.method == "HEAD"
        has_length = any(name.lower() == b"content-length" for name, _ in head.headers)
        length = None
        if response.ended and not has_length and not without_body:
            length = len(response.body)
        is_http_1_0 = state.request_head.version == "1.0"
        unknown_length = not has_length and length is None and not without_body
        state.chunked = unknown_length and not is_http_1_0
        is_last = not state.waiting and (
            self.closing_connections
            or (state.eof_received and not state.pending_events)
        )
        if state.receiving or response.close_connection or is_last:
            state.close_after_response = True
        state.close_after_response = state.close_after_response or (
            unknown_length and is_http_1_0
        )
        if state.close_after_response and state.waiting:
            self.cancel_waiting(state)
        data = encode_response_head(
            head, state.chunked, state.close_after_response, length
        )
        body = b"" if without_body else response.body
        self._write_response(number, state, data, body, response.ended)
        if response.ended:
            self._end_response(number, state)
        self.count_connection(number, state)

    def handle_response_body(self, response):
        """Write more of a response body."""
        number = self.number_by_exchange.get(response.exchange)
        if number is None:
            return
        state = self.states[number]
        if response.exchange != state.exchange:
            self._hold_message(number, state, response)
            return
        body = b"" if state.request_head.method == "HEAD" else response.body
        self._write_response(number, state, b"", body, response.ended)
        if response.ended:
            self._end_response(number, state)
        self.count_connection(number, state)

    def _write_response(self, number, state, head, body, ended):
        encoded_body = encode_chunk(body, state.chunked) if body else b""
        state.credit_due_bytes += 0 if ended else len(body)
        exchange = state.exchange
        self.write(number, head + encoded_body)
        if state.credit_due_bytes and number in self.states:
            if not self.unsent_bytes(number):
                self.send_message(
                    self.consumer, ResponseCredit(exchange, state.credit_due_bytes)
                )
                state.credit_due_bytes = 0

    def _end_response(self, number, state):
        if number not in self.states:
            return
        if state.chunked:
            self.write(number, b"0\r\n\r\n")
        if number not in self.states:
            return
        del self.number_by_exchange[state.exchange]
        state.exchange = 0
        state.request_head = None
        state.credit_due_bytes = 0
        state.unconsumed_bytes = 0
        state.last_activity_s = self.clock()
        if state.close_after_response and state.receiving:
            self._end_connection(number)
            return
        if state.close_after_response or self._is_last(state):
            self.close_after_sending(number, state)
        elif state.waiting or state.advancing:
            self._advance(number, state)
        else:
            self._deliver_events(number, state)

    def _is_last(self, state):
        """Tell whether the response that has ended is the last of its connection.

        At shutdown, requests that have not been passed on are not started.
        """
        if state.waiting:
            return False
        if state.pending_events:
            return self.closing_connections
        return state.eof_received

    def handle_interim_response(self, interim):
        """Write an informational (1xx) response, except to HTTP/1.0 callers."""
        number = self.number_by_exchange.get(interim.exchange)
        if number is None or interim.head.status in (100, 101):
            return
        state = self.states[number]
        if interim.exchange != state.exchange:
            self._hold_message(number, state, interim)
            return
        if state.request_head.version != "1.0" and not state.response_started:
            self.write(number, encode_response_head(interim.head))
            self.count_connection(number, state)

    def handle_response_abort(self, abort):
        """Abort the connection, so that the caller sees a truncated response."""
        number = self.number_by_exchange.get(abort.exchange)
        if number is None:
            return
        state = self.states[number]
        if abort.exchange == state.exchange:
            self.abort(number)
        else:
            self._hold_message(number, state, abort)
