"""HTTP server task: callers' sockets, strict parsing, ordered answers."""

import collections
import dataclasses
import itertools

from comfreyusher.flow import StreamTask, Subscribe, Tick, replace
from comfreyusher.http._errors import HttpError
from comfreyusher.http._parse import Body, Head, RequestParser
from comfreyusher.http._write import plain_answer, write_answer_head, write_chunk
from comfreyusher.messages import (
    CallerDisconnected,
    InterimResponse,
    Outcome,
    RequestBody,
    RequestCredit,
    RequestStart,
    ResponseAbort,
    ResponseBody,
    ResponseCredit,
    ResponseHead,
    ResponseStart,
)

SWEEP_PERIOD_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OUTCOME_HEADER = b"Comfreyusher-Outcome"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """What a caller may send.

    With ``end_means_left`` a caller that closes its side while it waits has
    left; otherwise it may still read its answer.
    """

    max_head_bytes: int = 32768
    max_body_bytes: int = 1 << 40
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    window_bytes: int = 262144
    max_pipelined: int = 64
    end_means_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IdleTimeout:
    """How long callers may keep idle connections."""

    seconds: float


class ServerConnection:
    """State of one caller's connection."""

    def __init__(self, host, limits, now):
        self.host = host
        self.parser = RequestParser(limits.max_head_bytes, limits.max_body_bytes)
        self.waiting = collections.deque()
        self.exchange = 0
        self.head = None
        self.receiving = False
        self.uncredited_bytes = 0
        self.paused = False
        self.answer_started = False
        self.chunked = False
        self.close_after = False
        self.owed_bytes = 0
        self.ended = False
        self.failure = None
        self.last_heard = now
        self.head_started = None


class HttpServerTask(StreamTask):
    """Turns bytes of callers into messages for the task on ``consumer``."""

    def __init__(self, channel, consumer, poller, limits=None, **kwargs):
        super().__init__(channel, poller, **kwargs)
        self.consumer = consumer
        self.limits = limits or HttpLimits()
        self.states = {}
        self.exchanges = {}
        self.exchange_numbers = itertools.count(1)
        self.closing_idle = False
        self.message_handlers = {
            ResponseStart: self.start_answer,
            ResponseBody: self.continue_answer,
            InterimResponse: self.send_interim,
            ResponseAbort: self.break_answer,
            RequestCredit: self.take_credit,
            IdleTimeout: self.take_idle_timeout,
            Tick: self.sweep,
        }

    def prepare(self):
        """Subscribe to the sweep that ends slow connections."""
        self.send_message("timers", Subscribe(self.channel, "sweep", SWEEP_PERIOD_S))

    def close_after_answers(self):
        """Close every connection after its next answer."""
        self.closing_idle = True

    def close_idle(self):
        """Close idle connections now and busy ones after their answer."""
        self.closing_idle = True
        for number, state in list(self.states.items()):
            if not state.exchange and not state.waiting:
                self.close(number)

    def take_idle_timeout(self, message):
        """Keep idle connections for another time from now on."""
        self.limits = replace(self.limits, idle_timeout_s=message.seconds)

    @property
    def busy(self):
        """Number of requests that wait for the end of their answer."""
        return len(self.exchanges)

    # Socket hooks --------------------------------------------------------

    def on_accepted(self, event):
        state = ServerConnection(event.host, self.limits, self.clock())
        self.states[event.connection] = state

    def on_received(self, event):
        state = self.states.get(event.connection)
        if state is None:
            return
        state.last_heard = self.clock()
        if not event.data:
            self._end_input(event.connection, state)
            return
        if state.failure is None:
            self._parse(state, event.data)
        self._advance(event.connection, state)

    def on_drained(self, event):
        state = self.states.get(event.connection)
        if state is not None and state.owed_bytes and state.exchange:
            self.send_message(
                self.consumer, ResponseCredit(state.exchange, state.owed_bytes)
            )
            state.owed_bytes = 0

    def on_closed(self, event):
        state = self.states.pop(event.connection, None)
        if state is not None and state.exchange:
            del self.exchanges[state.exchange]
            self.send_message(self.consumer, CallerDisconnected(state.exchange))

    # Requests ------------------------------------------------------------

    def _parse(self, state, data):
        try:
            events = state.parser.feed(data)
        except HttpError as error:
            events = state.parser.take()
            state.failure = error
        state.waiting.extend(events)
        in_head = state.parser.in_head and state.parser.head_bytes > 0
        if not in_head:
            state.head_started = None
        elif state.head_started is None:
            state.head_started = self.clock()

    def _advance(self, number, state):
        """Deliver as many waiting events as the order of answers allows."""
        while state.waiting:
            if isinstance(state.waiting[0], Head):
                if state.exchange:
                    break
                self._start_request(number, state, state.waiting.popleft())
            else:
                self._deliver_body(state)
        if state.failure and not state.waiting and number in self.states:
            self._fail(number, state)
        elif number in self.states:
            self._adjust_reading(number, state)

    def _start_request(self, number, state, start):
        state.exchange = next(self.exchange_numbers)
        self.exchanges[state.exchange] = number
        state.head = start.head
        state.answer_started = False
        state.close_after = not start.keep_alive
        state.receiving = True
        body, ended = self._collect_body(state)
        if start.expects_continue and not ended and not body:
            self.write(number, CONTINUE)
        request = RequestStart(state.exchange, state.host, start.head, body, ended)
        self.send_message(self.consumer, request)

    def _collect_body(self, state):
        """Join the body events that wait, up to the end of the message."""
        parts = []
        while state.waiting and isinstance(state.waiting[0], Body):
            parts.append(state.waiting.popleft().data)
        body = b"".join(parts)
        state.uncredited_bytes += len(body)
        ended = bool(state.waiting) and not isinstance(state.waiting[0], Head)
        if ended:
            state.waiting.popleft()
            state.receiving = False
        return body, ended

    def _deliver_body(self, state):
        body, ended = self._collect_body(state)
        if state.exchange:
            self.send_message(self.consumer, RequestBody(state.exchange, body, ended))
        if not state.receiving and not state.exchange:
            state.uncredited_bytes = 0

    def _adjust_reading(self, number, state):
        full = state.uncredited_bytes >= self.limits.window_bytes
        full = full or len(state.waiting) > self.limits.max_pipelined
        if full and not state.paused:
            self.pause_reading(number)
        elif state.paused and not full:
            self.resume_reading(number)
            state.last_heard = self.clock()
        state.paused = full

    def take_credit(self, credit):
        """Read on once the consumer took earlier bytes."""
        number = self.exchanges.get(credit.exchange)
        if number is None:
            return
        state = self.states[number]
        state.uncredited_bytes = max(0, state.uncredited_bytes - credit.size_bytes)
        self._adjust_reading(number, state)

    def _end_input(self, number, state):
        """Handle a half-closed caller: it may still wait for answers."""
        state.ended = True
        left = self.limits.end_means_left and state.exchange
        if state.receiving or left:
            self.abort(number)
        elif not state.exchange and not state.waiting:
            self.close(number)

    def _fail(self, number, state):
        if state.receiving and state.exchange and state.answer_started:
            self.abort(number)
            return
        if state.exchange and not state.receiving:
            return
        error = state.failure
        headers = ((OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),)
        if state.exchange:
            headers = ()
        self._refuse(number, error.status, str(error), headers)

    def _refuse(self, number, status, text, headers=()):
        """Answer a fault of the HTTP layer and close the connection."""
        head, body = plain_answer(status, text, headers)
        self.write(number, write_answer_head(head, close=True) + body)
        self._finish(number)

    def _finish(self, number):
        """End a connection whose caller may still be sending."""
        state = self.states.pop(number, None)
        if state is not None and state.exchange:
            del self.exchanges[state.exchange]
            self.send_message(self.consumer, CallerDisconnected(state.exchange))
        self.close_lingering(number)

    # Answers -------------------------------------------------------------

    def start_answer(self, answer):
        """Write the head and the first body bytes."""
        number = self.exchanges.get(answer.exchange)
        if number is None:
            return
        state = self.states[number]
        state.answer_started = True
        head = answer.head
        bare = head.status in (204, 304) or state.head.method == "HEAD"
        framed = any(name.lower() == b"content-length" for name, _ in head.headers)
        length = None
        if answer.ended and not framed and not bare:
            length = len(answer.body)
        old = state.head.version == "1.0"
        streaming = not framed and length is None and not bare
        state.chunked = streaming and not old
        last = state.ended and not state.waiting
        if state.receiving or answer.close_connection or self.closing_idle or last:
            state.close_after = True
        state.close_after = state.close_after or (streaming and old)
        data = write_answer_head(head, state.chunked, state.close_after, length)
        body = b"" if bare else answer.body
        self._write_answer(number, state, data, body, answer.ended)
        if answer.ended:
            self._end_answer(number, state)

    def continue_answer(self, answer):
        """Write more body bytes."""
        number = self.exchanges.get(answer.exchange)
        if number is None:
            return
        state = self.states[number]
        body = b"" if state.head.method == "HEAD" else answer.body
        self._write_answer(number, state, b"", body, answer.ended)
        if answer.ended:
            self._end_answer(number, state)

    def _write_answer(self, number, state, head, body, ended):
        framed = write_chunk(body, state.chunked) if body else b""
        state.owed_bytes += 0 if ended else len(body)
        exchange = state.exchange
        self.write(number, head + framed)
        if state.owed_bytes and number in self.states:
            if not self.unsent_bytes(number):
                self.send_message(
                    self.consumer, ResponseCredit(exchange, state.owed_bytes)
                )
                state.owed_bytes = 0

    def _end_answer(self, number, state):
        if number not in self.states:
            return
        if state.chunked:
            self.write(number, b"0\r\n\r\n")
        if number not in self.states:
            return
        del self.exchanges[state.exchange]
        state.exchange = 0
        state.owed_bytes = 0
        state.uncredited_bytes = 0
        state.last_heard = self.clock()
        if state.close_after and state.receiving:
            self._finish(number)
            return
        if state.close_after or (state.ended and not state.waiting):
            self.close(number)
            return
        self._advance(number, state)

    def send_interim(self, interim):
        """Write a 1xx answer for callers that know them."""
        number = self.exchanges.get(interim.exchange)
        if number is None or interim.head.status in (100, 101):
            return
        state = self.states[number]
        if state.head.version != "1.0" and not state.answer_started:
            self.write(number, write_answer_head(interim.head))

    def break_answer(self, broken):
        """Break the connection, so that the caller sees a cut answer."""
        number = self.exchanges.get(broken.exchange)
        if number is not None:
            self.abort(number)

    # Timeouts ------------------------------------------------------------

    def sweep(self, tick):
        """End connections that are idle or slow to send their request."""
        self.drop_lingering(tick.now_s)
        for number, state in list(self.states.items()):
            self._check_pace(number, state, tick.now_s)

    def _check_pace(self, number, state, now):
        silent_s = now - state.last_heard
        if state.head_started is not None and not state.exchange:
            if now - state.head_started > self.limits.head_timeout_s:
                self._time_out(number)
        elif state.receiving and not state.paused:
            if silent_s > self.limits.body_timeout_s:
                self._time_out_body(number, state)
        elif not state.exchange and silent_s > self.limits.idle_timeout_s:
            self.close(number)

    def _time_out(self, number):
        headers = ((OUTCOME_HEADER, Outcome.NOT_RUN.value.encode()),)
        self._refuse(number, 408, "the request head took too long", headers)

    def _time_out_body(self, number, state):
        if state.answer_started:
            self.abort(number)
            return
        self._refuse(number, 408, "the request body took too long")


def answer_text(exchange, status, text, headers=()):
    """Return a complete plain text answer message."""
    head, body = plain_answer(status, text, headers)
    return ResponseStart(exchange, head, body, ended=True)


def answer_bytes(exchange, status, body, content_type=b"application/json"):
    """Return a complete answer message with a body of the given type."""
    headers = (
        (b"Content-Type", content_type),
        (b"Content-Length", b"%d" % len(body)),
    )
    return ResponseStart(exchange, ResponseHead(status, headers), body, ended=True)
