"""The task that calls the platform's store over HTTP."""

import dataclasses
import itertools

import msgspec

from comfreyusher.events import log_info, log_warning
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.messages import (
    ClientRequestCancel,
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseCredit,
    ClientResponseStart,
    RequestHead,
)
from comfreyusher.platform._calls import (
    Append,
    Appended,
    AppendFailed,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from comfreyusher.platform._decode import DecodeError
from comfreyusher.platform._wire import (
    build_append_body,
    build_append_target,
    build_newest_target,
    build_read_target,
    decode_append,
    decode_first_offset,
    decode_newest,
    decode_records,
)

CHANNEL = "platform"
HTTP_CHANNEL = "platform-http"
PART = "platform"
SWEEP_PERIOD_S = 0.25
CALL_TIMEOUT_S = 1.5
MAX_RESPONSE_BYTES = 8 << 20
MAX_IDLE_S = 30.0
CALLS_PER_S = 10.0
BURST_CALLS = 40.0
OK, GONE, CONFLICT, PRECONDITION_FAILED = 200, 410, 409, 412
DEFINITE_FAILURE_STATUSES = frozenset((400, 403, 404, 429, 503, 507))


@dataclasses.dataclass(frozen=True, slots=True)
class CallKey:
    """The exchange of a call; ``number`` makes it unique."""

    number: int


class PendingCall:
    """A call to the store and the part of its response received so far.

    ``pages`` holds the earlier pages of a ``ReadNewest``, ``due_s`` is the time
    when the call times out.
    """

    def __init__(self, request, due_s, pages=()):
        self.request = request
        self.due_s = due_s
        self.pages = pages
        self.status = 0
        self.size_bytes = 0
        self.chunks = []


class PlatformTask(Task):
    """Runs appends and reads; a token bucket limits the calls per second."""

    def __init__(self, host, port, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.host = host
        self.port = port
        self.calls = {}
        self.call_numbers = itertools.count(1)
        self.reachable = True
        self.tokens = BURST_CALLS
        self.refilled_s = self.clock()
        self.last_sweep_s = self.clock()
        self.sweeping = False
        self.call_count = 0
        self.message_handlers = {
            Append: self.handle_append,
            ReadRecords: self.handle_read_records,
            ReadNewest: self.handle_read_newest,
            ClientResponseStart: self.handle_response_start,
            ClientResponseBody: self.handle_response_body,
            ClientRequestFailed: self.handle_request_failed,
            Tick: self.handle_tick,
        }

    # Calls -----------------------------------------------------------------

    def handle_append(self, request):
        """Send an append."""
        self._call(
            request, "POST", build_append_target(request), 0, build_append_body(request)
        )

    def handle_read_records(self, request):
        """Send a read of the records from an offset on."""
        self._call(request, "GET", build_read_target(request), request.wait_ms)

    def handle_read_newest(self, request, after_key="", pages=()):
        """Send a read of a page of newest records.

        The pages of a read are requested one after another: ``after_key`` and
        ``pages`` come from the earlier ones.
        """
        target = build_newest_target(request.topic, after_key or request.after_key)
        self._call(request, "GET", target, 0, pages=pages)

    def _call(self, request, method, target, wait_ms, body=b"", pages=()):
        if not self._take_token():
            self._fail(request, "over the budget of calls", definite=True)
            return
        self.call_count += 1
        key = CallKey(next(self.call_numbers))
        due_s = self.clock() + CALL_TIMEOUT_S + wait_ms / 1000
        self.calls[key] = PendingCall(request, due_s, pages)
        self._start_sweeps()
        headers = ((b"Host", f"{self.host}:{self.port}".encode()),)
        head = RequestHead(method, target, headers)
        start = ClientRequestStart(
            key, self.host, self.port, head, body, max_idle_s=MAX_IDLE_S
        )
        self.send_message(HTTP_CHANNEL, start)

    def _start_sweeps(self):
        if not self.sweeping:
            self.sweeping = True
            self.last_sweep_s = self.clock()
            self.send_message("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def _take_token(self):
        now = self.clock()
        earned = (now - self.refilled_s) * CALLS_PER_S
        self.tokens = min(BURST_CALLS, self.tokens + earned)
        self.refilled_s = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    # Responses -------------------------------------------------------------

    def handle_response_start(self, response):
        """Handle the head of a response, and any body that comes with it."""
        call = self.calls.get(response.exchange)
        if call is not None:
            call.status = response.head.status
            self._add_chunk(response, call)

    def handle_response_body(self, response):
        """Handle more of the body of a response."""
        call = self.calls.get(response.exchange)
        if call is not None:
            self._add_chunk(response, call)

    def _add_chunk(self, response, call):
        call.chunks.append(response.body)
        call.size_bytes += len(response.body)
        if call.size_bytes > MAX_RESPONSE_BYTES:
            del self.calls[response.exchange]
            if not response.ended:
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(response.exchange))
            self._fail(call.request, f"an answer over {MAX_RESPONSE_BYTES} bytes")
            return
        if not response.ended:
            credit = ClientResponseCredit(response.exchange, len(response.body))
            self.send_message(HTTP_CHANNEL, credit)
            return
        del self.calls[response.exchange]
        self._finish_call(call, b"".join(call.chunks))

    def _finish_call(self, call, body):
        request = call.request
        if call.status == GONE:
            self._send_expired(request, body)
            return
        if call.status in (CONFLICT, PRECONDITION_FAILED):
            self._set_reachable(True)
            reason = "the topic has moved on"
            self.send_message(
                request.channel, AppendFailed(request.token, reason, True)
            )
            return
        if call.status != OK:
            definite = call.status in DEFINITE_FAILURE_STATUSES
            self._fail(request, f"the store answered {call.status}", definite)
            return
        try:
            self._send_result(call, body)
        except (DecodeError, msgspec.MsgspecError) as error:
            self._fail(request, str(error))
            return
        self._set_reachable(True)

    def _send_expired(self, request, body):
        self._set_reachable(True)
        try:
            first_offset = decode_first_offset(body)
        except DecodeError as error:
            log_warning(PART, "unreadable response from the store", reason=str(error))
            first_offset = 0
        reason = "the offset has expired"
        self.send_message(
            request.channel, ReadFailed(request.topic, reason, True, first_offset)
        )

    def _send_result(self, call, body):
        request = call.request
        if isinstance(request, Append):
            appended = Appended(request.token, decode_append(body))
            self.send_message(request.channel, appended)
        elif isinstance(request, ReadRecords):
            page = decode_records(body, request.start_offset)
            read = RecordsRead(
                request.topic,
                request.start_offset,
                page.next_offset,
                page.end_offset,
                page.records,
            )
            self.send_message(request.channel, read)
        else:
            self._add_page(call, decode_newest(body))

    def _add_page(self, call, page):
        request = call.request
        pages = (*call.pages, page)
        if page.after_key and request.all_pages:
            self.handle_read_newest(request, page.after_key, pages)
            return
        records = tuple(record for page in pages for record in page.records)
        read = NewestRead(request.topic, pages[0].end_offset, records, page.after_key)
        self.send_message(request.channel, read)

    def handle_request_failed(self, failure):
        """Handle a call that failed without a complete response."""
        call = self.calls.pop(failure.exchange, None)
        if call is not None:
            self._fail(call.request, failure.reason, definite=not failure.sent)

    def _fail(self, request, reason, definite=False):
        self._set_reachable(False, reason)
        if isinstance(request, Append):
            self.send_message(
                request.channel, AppendFailed(request.token, reason, definite)
            )
        else:
            self.send_message(request.channel, ReadFailed(request.topic, reason))

    def _set_reachable(self, reachable, reason=""):
        if reachable is self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_info(PART, "store regained")
        else:
            log_warning(PART, "store lost", reason=reason)

    def handle_tick(self, tick):
        """Time out calls.

        A sweep that is late moves all deadlines by its delay, since responses may
        have arrived that this node was too busy to read.
        """
        late_s = max(0.0, tick.now_s - self.last_sweep_s - 2 * SWEEP_PERIOD_S)
        self.last_sweep_s = tick.now_s
        for key, call in list(self.calls.items()):
            call.due_s += late_s
            if tick.now_s > call.due_s:
                del self.calls[key]
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(key))
                self._fail(call.request, "no answer in time")
        if not self.calls:
            self.sweeping = False
            self.send_message("timers", Unsubscribe(CHANNEL, "sweep"))
