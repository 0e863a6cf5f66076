"""HTTP client task with pools of kept-alive connections.

A connection carries one request at a time, without pipelining, so that responses
can neither be swapped nor arrive out of order.
"""

import collections
import re

from comfreyusher.events import log_info
from comfreyusher.flow import StreamTask, Subscribe, Tick, Unsubscribe
from comfreyusher.http._client_connection import ClientConnection
from comfreyusher.http._encode import encode_chunk, encode_request_head
from comfreyusher.http._errors import HttpError
from comfreyusher.http._parse import (
    INTERIM_STATUSES,
    BodyData,
    MatchedRequest,
    ParsedHead,
)
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
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d{1,6})")
CONNECT_TIMEOUT_S = 1.0
WINDOW_BYTES = 262144
MAX_IDLE_CONNECTIONS = 16
MAX_FAILED_IDS = 16
MIN_ERROR_STATUS = 400


def add_host_header(head, address):
    """Return the head with a ``Host`` header, which HTTP/1.0 callers may omit."""
    if any(name.lower() == b"host" for name, _ in head.headers):
        return head
    host = (b"Host", f"{address[0]}:{address[1]}".encode())
    return RequestHead(head.method, head.target, (host, *head.headers))


def read_keep_alive_timeout(head):
    """Return how long the server keeps an idle connection, in seconds.

    The value is the timeout in the ``Keep-Alive`` header less a margin, so that no
    request is sent while the server closes the connection, or infinity if the
    server names no timeout.
    """
    for name, value in head.headers:
        if name.lower() == b"keep-alive":
            match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
            if match:
                return max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)
    return float("inf")


class HttpClientTask(StreamTask):
    """Sends requests and passes their responses to the task on ``consumer``.

    ``read_response_id`` is a function that returns the request id in the head of
    a response, or an empty string. Without it, any response is accepted. ``states``
    maps numbers of connections to ``ClientConnection``, ``number_by_exchange`` the
    exchanges in progress to their connections. ``idle_connections`` maps
    ``(host, port)`` to the numbers of idle connections, the last used one last.
    """

    def __init__(
        self,
        channel,
        consumer,
        poller,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        read_response_id=None,
        **kwargs,
    ):
        super().__init__(channel, poller, **kwargs)
        self.consumer = consumer
        self.read_response_id = read_response_id
        self.sweeping = False
        self.opened_total = 0
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.states = {}
        self.number_by_exchange = {}
        self.idle_connections = collections.defaultdict(list)
        self.message_handlers = {
            ClientRequestStart: self.handle_request_start,
            ClientRequestBody: self.handle_request_body,
            ClientRequestCancel: self.handle_request_cancel,
            ClientResponseCredit: self.handle_response_credit,
            Tick: self.handle_tick,
        }

    def _update_sweep_timer(self):
        """Subscribe to the sweep for timeouts only while there are connections."""
        if self.states and not self.sweeping:
            self.send_message(
                "timers", Subscribe(self.channel, "sweep", SWEEP_PERIOD_S)
            )
        elif self.sweeping and not self.states:
            self.send_message("timers", Unsubscribe(self.channel, "sweep"))
        self.sweeping = bool(self.states)

    # Requests ------------------------------------------------------------

    def handle_request_start(self, request):
        """Write the request to a kept-alive connection or to a new one."""
        address = (request.host, request.port)
        number = self._take_idle_connection(address, request)
        if number is None:
            number = self.open_connection(request.host, request.port)
            self.opened_total += 1
            state = ClientConnection(address, self.clock())
            state.connect_timeout_s = (
                request.connect_timeout_s or self.connect_timeout_s
            )
            self.states[number] = state
            self._update_sweep_timer()
        state = self.states[number]
        state.exchange = request.exchange
        self.number_by_exchange[request.exchange] = number
        self._write_request(number, state, request)

    def _take_idle_connection(self, address, request):
        """Return the most recently used idle connection, or ``None``.

        Connections that were idle for too long are closed. A request that failed
        on a connection is not retried there: if the server repeated its first
        response, that would be taken for the response to the retry.
        """
        numbers = self.idle_connections.pop(address, [])
        now = self.clock()
        kept, found = [], None
        while numbers and found is None:
            number = numbers.pop()
            state = self.states.get(number)
            if state is None:
                continue
            if now - state.last_used_s >= min(
                request.max_idle_s, state.keep_alive_timeout_s
            ):
                self.abort(number)
            elif request.response_id and request.response_id in state.failed_ids:
                kept.insert(0, number)
            else:
                found = number
        if numbers or kept:
            self.idle_connections[address] = numbers + kept
        return found

    def _write_request(self, number, state, request):
        state.parser.expect_response(
            request.head.method, self._build_matcher(request.response_id, state)
        )
        state.response_id = request.response_id
        state.response_started = False
        state.response_ended = False
        state.request_ended = request.ended
        state.sent = state.connected
        length = len(request.body) if request.ended else None
        framed = any(
            name.lower() == b"content-length" for name, _ in request.head.headers
        )
        state.chunked = not request.ended and not framed
        request_head = add_host_header(request.head, state.address)
        head = encode_request_head(request_head, state.chunked, length)
        body = encode_chunk(request.body, state.chunked) if request.body else b""
        state.credit_due_bytes = len(request.body)
        self.write(number, head + body)
        self._send_credit(number, state)

    def _build_matcher(self, response_id, state):
        """Return a function from a response head to its ``MatchedRequest``.

        Returns ``None`` if any response is accepted. The function lives as long as
        the connection, so it must not keep the request.
        """
        if not response_id or self.read_response_id is None:
            return None

        def match_response(head):
            own_id = self.read_response_id(head)
            if own_id:
                return (
                    MatchedRequest.CURRENT
                    if own_id == response_id
                    else MatchedRequest.OTHER
                )
            return MatchedRequest.UNKNOWN if state.used else MatchedRequest.CURRENT

        return match_response

    def handle_request_body(self, message):
        """Write more of the request body."""
        number = self.number_by_exchange.get(message.exchange)
        if number is None:
            return
        state = self.states[number]
        if message.body:
            state.credit_due_bytes += len(message.body)
            self.write(number, encode_chunk(message.body, state.chunked))
        if message.ended:
            state.request_ended = True
            if state.chunked:
                self.write(number, b"0\r\n\r\n")
        self._send_credit(number, state)
        self._end_exchange(number, state)

    def handle_request_cancel(self, cancel):
        """Abort the connection of a cancelled request."""
        number = self.number_by_exchange.pop(cancel.exchange, None)
        if number is not None:
            self.states[number].exchange = None
            self.abort(number)

    def _send_credit(self, number, state):
        if state.credit_due_bytes and state.connected and not self.unsent_bytes(number):
            if state.exchange is not None:
                credit = ClientRequestCredit(state.exchange, state.credit_due_bytes)
                self.send_message(self.consumer, credit)
            state.credit_due_bytes = 0

    # Socket hooks --------------------------------------------------------

    def on_connected(self, event):
        state = self.states.get(event.connection)
        if state is not None:
            state.connected = True
            state.sent = True

    def on_drained(self, event):
        state = self.states.get(event.connection)
        if state is not None:
            self._send_credit(event.connection, state)

    def on_received(self, event):
        state = self.states.get(event.connection)
        if state is None:
            return
        if state.exchange is None:
            self.abort(event.connection)
            return
        try:
            events = self._parse(event.connection, state, event.data)
        except HttpError as error:
            log_info(
                self.channel, "reply refused", server=state.address, reason=str(error)
            )
            self._fail(event.connection, state, str(error))
            return
        self._deliver_response(event.connection, state, events)
        if not event.data and event.connection in self.states:
            self._fail(
                event.connection,
                state,
                "the reply was cut",
            )

    def _parse(self, number, state, data):
        """Return the events of received bytes, or of EOF if there are none.

        A response that ends with its connection is complete only if its request was
        sent as a whole: the rest of the request would reset the connection.
        """
        if data:
            return state.parser.feed(data)
        if state.request_ended and not self.unsent_bytes(number):
            return state.parser.feed_eof()
        return []

    def on_closed(self, event):
        state = self.states.pop(event.connection, None)
        if state is not None and state.exchange is not None:
            self._send_failure(state, event.reason)
        if not self.states:
            self._update_sweep_timer()

    def _fail(self, number, state, reason):
        if state.exchange is not None:
            self._send_failure(state, reason)
            state.exchange = None
        self.abort(number)

    def _send_failure(self, state, reason):
        self.number_by_exchange.pop(state.exchange, None)
        failure = ClientRequestFailed(
            state.exchange, state.sent, state.response_started, reason
        )
        self.send_message(self.consumer, failure)

    # Responses -----------------------------------------------------------

    def _deliver_response(self, number, state, events):
        """Send the consumer a response head with its first bytes, or more bytes."""
        head = None
        parts = []
        for event in events:
            if isinstance(event, ParsedHead):
                if event.head.status in INTERIM_STATUSES:
                    self._deliver_interim(state, event.head)
                    continue
                head = event
            elif isinstance(event, BodyData):
                parts.append(event.data)
            else:
                state.response_ended = True
        body = b"".join(parts)
        state.unconsumed_bytes += len(body)
        if head is not None:
            state.response_started = True
            state.keep_alive = head.keep_alive
            state.keep_alive_timeout_s = read_keep_alive_timeout(head.head)
            if state.response_id and head.head.status >= MIN_ERROR_STATUS:
                state.failed_ids = (*state.failed_ids, state.response_id)
            message = ClientResponseStart(
                state.exchange, head.head, body, state.response_ended
            )
            self.send_message(self.consumer, message)
        elif body or state.response_ended:
            message = ClientResponseBody(state.exchange, body, state.response_ended)
            self.send_message(self.consumer, message)
        if state.unconsumed_bytes >= WINDOW_BYTES:
            self.pause_reading(number)
        self._end_exchange(number, state)

    def _deliver_interim(self, state, head):
        if head.status not in (100, 101):
            self.send_message(
                self.consumer, ClientInterimResponse(state.exchange, head)
            )

    def handle_response_credit(self, credit):
        """Resume reading once the consumer has consumed enough bytes."""
        number = self.number_by_exchange.get(credit.exchange)
        if number is None:
            return
        state = self.states[number]
        state.unconsumed_bytes = max(0, state.unconsumed_bytes - credit.size_bytes)
        if state.unconsumed_bytes < WINDOW_BYTES:
            self.resume_reading(number)

    def _end_exchange(self, number, state):
        """Return the connection to its pool after a complete response, or close it."""
        if not state.response_ended or state.exchange is None:
            return
        complete = state.request_ended and not self.unsent_bytes(number)
        self.number_by_exchange.pop(state.exchange, None)
        state.exchange = None
        state.last_used_s = self.clock()
        state.unconsumed_bytes = 0
        state.used = True
        pool = self.idle_connections[state.address]
        usable = state.keep_alive and complete and not state.parser.has_extra_bytes
        usable = usable and len(state.failed_ids) < MAX_FAILED_IDS
        if not usable or len(pool) >= MAX_IDLE_CONNECTIONS:
            self.abort(number)
            return
        self.resume_reading(number)
        pool.append(number)

    # Timeouts ------------------------------------------------------------

    def handle_tick(self, tick):
        """Close connections that are idle or take too long to connect.

        A connection that the kernel has established does not time out: the event
        of the poller is only delayed because this process is busy.
        """
        for number, state in list(self.states.items()):
            if (
                not state.connected
                and tick.now_s - state.opened_s > state.connect_timeout_s
            ):
                if not self.is_established(number):
                    self._fail(number, state, "the connect timed out")
            elif state.exchange is None:
                if tick.now_s - state.last_used_s > self.idle_timeout_s:
                    self.abort(number)
