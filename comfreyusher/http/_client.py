"""HTTP client task: one request a connection at a time, kept-alive pools.

An answer belongs to the connection that carried its request, so answers can
neither cross nor arrive out of order.
"""

import collections
import re

from comfreyusher.events import log_info
from comfreyusher.flow import StreamTask, Subscribe, Tick, Unsubscribe
from comfreyusher.http._errors import HttpError
from comfreyusher.http._parse import Body, Head, Origin, ReplyParser
from comfreyusher.http._write import write_chunk, write_request_head
from comfreyusher.messages import (
    ClientInterimResponse,
    ClientRequestBody,
    ClientRequestCancel,
    ClientRequestCredit,
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseCredit,
    ClientResponseStart,
    RequestHead,
)

SWEEP_PERIOD_S = 0.1
IDLE_TIMEOUT_S = 30.0
KEEP_ALIVE_MARGIN_S = 1.5
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
CONNECT_TIMEOUT_S = 1.0
WINDOW_BYTES = 262144
MAX_IDLE_CONNECTIONS = 16
MAX_FAILED_IDS = 16
FIRST_ERROR_STATUS = 400


def with_host(head, place):
    """Return the head with a ``Host``, which HTTP/1.0 callers may leave out."""
    if any(name.lower() == b"host" for name, _ in head.headers):
        return head
    host = (b"Host", f"{place[0]}:{place[1]}".encode())
    return RequestHead(head.method, head.target, (host, *head.headers))


def idle_limit(head):
    """Return how long a connection may stay idle, by its ``Keep-Alive``."""
    for name, value in head.headers:
        if name.lower() == b"keep-alive":
            match = KEEP_ALIVE_TIMEOUT.search(value)
            if match:
                return max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)
    return float("inf")


class ClientConnection:
    """State of one connection to a server.

    ``used`` tells that it carried a request before the present one,
    ``failed_ids`` are the requests whose failure or refusal came over it.
    """

    def __init__(self, place, now):
        self.place = place
        self.parser = ReplyParser()
        self.exchange = None
        self.up = False
        self.opened = now
        self.connect_timeout_s = 0.0
        self.last_used = now
        self.idle_limit_s = float("inf")
        self.sent = False
        self.chunked = False
        self.request_ended = False
        self.reply_started = False
        self.reply_ended = False
        self.keep_alive = True
        self.owed_bytes = 0
        self.uncredited_bytes = 0
        self.used = False
        self.reply_id = ""
        self.failed_ids = ()


class HttpClientTask(StreamTask):
    """Sends requests and reports their replies to the task on ``consumer``."""

    def __init__(
        self,
        channel,
        consumer,
        poller,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        reply_id_of=None,
        **kwargs,
    ):
        super().__init__(channel, poller, **kwargs)
        self.consumer = consumer
        self.reply_id_of = reply_id_of
        self.sweeping = False
        self.opened_total = 0
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.states = {}
        self.exchanges = {}
        self.idle = collections.defaultdict(list)
        self.message_handlers = {
            ClientRequestStart: self.start_request,
            ClientRequestBody: self.continue_request,
            ClientRequestCancel: self.cancel,
            ClientResponseCredit: self.take_credit,
            Tick: self.sweep,
        }

    def _watch_time(self):
        """Sweep for timeouts while there are connections."""
        if self.states and not self.sweeping:
            self.send_message(
                "timers", Subscribe(self.channel, "sweep", SWEEP_PERIOD_S)
            )
        elif self.sweeping and not self.states:
            self.send_message("timers", Unsubscribe(self.channel, "sweep"))
        self.sweeping = bool(self.states)

    # Requests ------------------------------------------------------------

    def start_request(self, start):
        """Take a kept-alive connection or open one, and write the request."""
        place = (start.host, start.port)
        number = self._take_idle(place, start)
        if number is None:
            number = self.open_connection(start.host, start.port)
            self.opened_total += 1
            state = ClientConnection(place, self.clock())
            state.connect_timeout_s = start.connect_timeout_s or self.connect_timeout_s
            self.states[number] = state
            self._watch_time()
        state = self.states[number]
        state.exchange = start.exchange
        self.exchanges[start.exchange] = number
        self._write_start(number, state, start)

    def _take_idle(self, place, start):
        """Return the connection that was used last, if that is recent enough.

        A request that failed on a connection does not return there: its first
        reply, written once more, would be taken for the second.
        """
        numbers = self.idle.pop(place, [])
        now = self.clock()
        kept, found = [], None
        while numbers and found is None:
            number = numbers.pop()
            state = self.states.get(number)
            if state is None:
                continue
            if now - state.last_used >= min(start.max_idle_s, state.idle_limit_s):
                self.abort(number)
            elif start.response_id and start.response_id in state.failed_ids:
                kept.insert(0, number)
            else:
                found = number
        if numbers or kept:
            self.idle[place] = numbers + kept
        return found

    def _write_start(self, number, state, start):
        state.parser.expect_reply(start.head.method, self._origin_for(start, state))
        state.reply_id = start.response_id
        state.reply_started = False
        state.reply_ended = False
        state.request_ended = start.ended
        state.sent = state.up
        length = len(start.body) if start.ended else None
        framed = any(
            name.lower() == b"content-length" for name, _ in start.head.headers
        )
        state.chunked = not start.ended and not framed
        asked = with_host(start.head, state.place)
        head = write_request_head(asked, state.chunked, length)
        body = write_chunk(start.body, state.chunked) if start.body else b""
        state.owed_bytes = len(start.body)
        self.write(number, head + body)
        self._pay_credit(number, state)

    def _origin_for(self, start, state):
        """Return a function that tells the ``Origin`` of a reply from its head."""
        if not start.response_id or self.reply_id_of is None:
            return None

        def origin_of(head):
            found = self.reply_id_of(head)
            if found:
                return Origin.OWN if found == start.response_id else Origin.OTHER
            return Origin.UNKNOWN if state.used else Origin.OWN

        return origin_of

    def continue_request(self, more):
        """Write more body bytes."""
        number = self.exchanges.get(more.exchange)
        if number is None:
            return
        state = self.states[number]
        if more.body:
            state.owed_bytes += len(more.body)
            self.write(number, write_chunk(more.body, state.chunked))
        if more.ended:
            state.request_ended = True
            if state.chunked:
                self.write(number, b"0\r\n\r\n")
        self._pay_credit(number, state)
        self._finish(number, state)

    def cancel(self, cancel):
        """Close the connection of a request that nobody waits for."""
        number = self.exchanges.pop(cancel.exchange, None)
        if number is not None:
            self.states[number].exchange = None
            self.abort(number)

    def _pay_credit(self, number, state):
        if state.owed_bytes and state.up and not self.unsent_bytes(number):
            if state.exchange is not None:
                credit = ClientRequestCredit(state.exchange, state.owed_bytes)
                self.send_message(self.consumer, credit)
            state.owed_bytes = 0

    # Socket hooks --------------------------------------------------------

    def on_connected(self, event):
        state = self.states.get(event.connection)
        if state is not None:
            state.up = True
            state.sent = True

    def on_drained(self, event):
        state = self.states.get(event.connection)
        if state is not None:
            self._pay_credit(event.connection, state)

    def on_received(self, event):
        state = self.states.get(event.connection)
        if state is None:
            return
        if state.exchange is None:
            self.abort(event.connection)
            return
        try:
            events = self._parse(state, event.data)
        except HttpError as error:
            log_info(
                self.channel, "reply refused", server=state.place, reason=str(error)
            )
            self._fail(event.connection, state, str(error))
            return
        self._report(event.connection, state, events)
        if not event.data and event.connection in self.states:
            self._fail(event.connection, state, "the reply was cut")

    def _parse(self, state, data):
        return state.parser.feed(data) if data else state.parser.feed_end()

    def on_closed(self, event):
        state = self.states.pop(event.connection, None)
        if state is not None and state.exchange is not None:
            self._tell_failure(state, event.reason)
        if not self.states:
            self._watch_time()

    def _fail(self, number, state, reason):
        if state.exchange is not None:
            self._tell_failure(state, reason)
            state.exchange = None
        self.abort(number)

    def _tell_failure(self, state, reason):
        self.exchanges.pop(state.exchange, None)
        failure = ClientRequestFailed(
            state.exchange, state.sent, state.reply_started, reason
        )
        self.send_message(self.consumer, failure)

    # Replies -------------------------------------------------------------

    def _report(self, number, state, events):
        """Tell the consumer a head with its first bytes, then more bytes."""
        head = None
        parts = []
        for event in events:
            if isinstance(event, Head):
                if 100 <= event.head.status < 200:
                    self._tell_interim(state, event.head)
                    continue
                head = event
            elif isinstance(event, Body):
                parts.append(event.data)
            else:
                state.reply_ended = True
        body = b"".join(parts)
        state.uncredited_bytes += len(body)
        if head is not None:
            state.reply_started = True
            state.keep_alive = head.keep_alive
            state.idle_limit_s = idle_limit(head.head)
            if state.reply_id and head.head.status >= FIRST_ERROR_STATUS:
                state.failed_ids = (*state.failed_ids, state.reply_id)
            reply = ClientResponseStart(
                state.exchange, head.head, body, state.reply_ended
            )
            self.send_message(self.consumer, reply)
        elif body or state.reply_ended:
            reply = ClientResponseBody(state.exchange, body, state.reply_ended)
            self.send_message(self.consumer, reply)
        if state.uncredited_bytes >= WINDOW_BYTES:
            self.pause_reading(number)
        self._finish(number, state)

    def _tell_interim(self, state, head):
        if head.status not in (100, 101):
            self.send_message(
                self.consumer, ClientInterimResponse(state.exchange, head)
            )

    def take_credit(self, credit):
        """Read on once the consumer took earlier bytes."""
        number = self.exchanges.get(credit.exchange)
        if number is None:
            return
        state = self.states[number]
        state.uncredited_bytes = max(0, state.uncredited_bytes - credit.size_bytes)
        if state.uncredited_bytes < WINDOW_BYTES:
            self.resume_reading(number)

    def _finish(self, number, state):
        """Pool or close the connection after a complete exchange."""
        if not state.reply_ended or state.exchange is None:
            return
        complete = state.request_ended and not self.unsent_bytes(number)
        self.exchanges.pop(state.exchange, None)
        state.exchange = None
        state.last_used = self.clock()
        state.uncredited_bytes = 0
        state.used = True
        pool = self.idle[state.place]
        usable = state.keep_alive and complete and not state.parser.dirty
        usable = usable and len(state.failed_ids) < MAX_FAILED_IDS
        if not usable or len(pool) >= MAX_IDLE_CONNECTIONS:
            self.abort(number)
            return
        self.resume_reading(number)
        pool.append(number)

    # Timeouts ------------------------------------------------------------

    def sweep(self, tick):
        """End connects that take too long and connections unused too long.

        A connect that the kernel has done only waits to be seen by this
        process, which may be busy.
        """
        for number, state in list(self.states.items()):
            if not state.up and tick.now_s - state.opened > state.connect_timeout_s:
                if not self.is_established(number):
                    self._fail(number, state, "the connect timed out")
            elif state.exchange is None:
                if tick.now_s - state.last_used > self.idle_timeout_s:
                    self.abort(number)
