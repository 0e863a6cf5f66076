"""The task that calls the platform's store over HTTP."""

import dataclasses
import itertools

import msgspec

from comfreyusher.events import log_info, log_warning
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe, replace
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
    Topic,
)
from comfreyusher.platform._errors import DecodeError
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
MIN_SILENCE_TIMEOUT_S = 0.5
SILENCE_LATENCY_FACTOR = 2.5
MAX_RESPONSE_BYTES = 8 << 20
# 33,000 routes and 48,000 client accounts have 19 MB, or 25 MB in base64.
MAX_CONFIGURATION_BYTES = 32 << 20
MAX_READ_BYTES = 32 << 20
MAX_IDLE_S = 1.0
CALLS_PER_S = 10.0
BURST_CALLS = 40.0
OK, GONE, CONFLICT, PRECONDITION_FAILED = 200, 410, 409, 412
DEFINITE_FAILURE_STATUSES = frozenset((400, 403, 404, 429, 503, 507))


@dataclasses.dataclass(frozen=True, slots=True)
class CallKey:
    """The exchange of a call; ``number`` makes it unique."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a call sends to the store.

    The store may hold its response back for ``wait_ms``. ``pages`` holds the earlier
    pages of a ``ReadNewest``, which had ``pages_bytes``.
    """

    request: object
    method: str
    target: str
    wait_ms: int = 0
    body: bytes = b""
    pages: tuple = ()
    pages_bytes: int = 0


class PendingCall:
    """A call that was sent, and the part of its response received so far.

    The call times out at ``due_s``. A response should have started by
    ``silent_due_s``. ``may_reuse`` tells whether the call may have been sent on a
    connection that was idle before.
    """

    def __init__(self, call, now, silence_timeout_s, may_reuse):
        wait_s = call.wait_ms / 1000
        self.call = call
        self.may_reuse = may_reuse
        self.sent_s = now
        self.due_s = now + CALL_TIMEOUT_S + wait_s
        self.silent_due_s = now + silence_timeout_s + wait_s
        self.status = 0
        self.size_bytes = 0
        self.chunks = []

    @property
    def is_unanswered_read(self):
        """Whether it is a read whose response has not started."""
        return not self.status and not isinstance(self.call.request, Append)


class PlatformTask(Task):
    """Runs appends and reads; a token bucket limits the calls per second.

    A connection can go silent without a reset, so that only a missing response
    shows it. Calls use new connections from then until the store responds again.
    ``latency_s`` is how long the store took last to respond to a call that did not
    have to wait, ``last_response_s`` when a connection became idle last.
    """

    def __init__(self, host, port, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.host = host
        self.port = port
        self.calls = {}
        self.call_numbers = itertools.count(1)
        self.reachable = True
        self.may_reuse = True
        self.latency_s = 0.0
        self.last_response_s = -MAX_IDLE_S
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
        target = build_append_target(request)
        body = build_append_body(request)
        self._call(Call(request, "POST", target, body=body))

    def handle_read_records(self, request):
        """Send a read of the records from an offset on."""
        target = build_read_target(request)
        self._call(Call(request, "GET", target, request.wait_ms))

    def handle_read_newest(self, request, after_key="", pages=(), pages_bytes=0):
        """Send a read of a page of newest records.

        The pages of a read are requested one after another: ``after_key``, ``pages``
        and ``pages_bytes`` come from the earlier ones.
        """
        target = build_newest_target(request.topic, after_key or request.after_key)
        self._call(Call(request, "GET", target, pages=pages, pages_bytes=pages_bytes))

    def _call(self, call):
        if not self._take_token():
            self._fail(call.request, "over the budget of calls", definite=True)
            return
        now = self.clock()
        may_reuse = self.may_reuse and now - self.last_response_s < MAX_IDLE_S
        timeout_s = max(MIN_SILENCE_TIMEOUT_S, SILENCE_LATENCY_FACTOR * self.latency_s)
        self._send(PendingCall(call, now, timeout_s, may_reuse))

    def _send(self, pending):
        self.call_count += 1
        key = CallKey(next(self.call_numbers))
        self.calls[key] = pending
        self._start_sweeps()
        call = pending.call
        headers = ((b"Host", f"{self.host}:{self.port}".encode()),)
        head = RequestHead(call.method, call.target, headers)
        max_idle_s = MAX_IDLE_S if pending.may_reuse else 0.0
        start = ClientRequestStart(
            key, self.host, self.port, head, call.body, max_idle_s=max_idle_s
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
        pending = self.calls.get(response.exchange)
        if pending is not None:
            self.may_reuse = True
            if not pending.call.wait_ms:
                self.latency_s = self.clock() - pending.sent_s
            pending.status = response.head.status
            self._add_chunk(response, pending)

    def handle_response_body(self, response):
        """Handle more of the body of a response."""
        pending = self.calls.get(response.exchange)
        if pending is not None:
            self._add_chunk(response, pending)

    def _add_chunk(self, response, pending):
        pending.chunks.append(response.body)
        pending.size_bytes += len(response.body)
        max_bytes = _max_response_bytes(pending.call.request)
        if pending.size_bytes > max_bytes:
            del self.calls[response.exchange]
            if not response.ended:
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(response.exchange))
            reason = f"an answer over {max_bytes} bytes"
            self._fail(pending.call.request, reason)
            return
        if not response.ended:
            credit = ClientResponseCredit(response.exchange, len(response.body))
            self.send_message(HTTP_CHANNEL, credit)
            return
        del self.calls[response.exchange]
        self.last_response_s = self.clock()
        self._finish_call(pending, b"".join(pending.chunks))

    def _finish_call(self, pending, body):
        request, status = pending.call.request, pending.status
        if status == GONE:
            self._send_expired(request, body)
            return
        if status in (CONFLICT, PRECONDITION_FAILED):
            self._set_reachable(True)
            reason = "the topic has moved on"
            self.send_message(
                request.channel, AppendFailed(request.token, reason, True)
            )
            return
        if status != OK:
            definite = status in DEFINITE_FAILURE_STATUSES
            self._fail(request, f"the store answered {status}", definite)
            return
        try:
            self._send_result(pending.call, body)
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
            self._add_page(call, decode_newest(body), len(body))

    def _add_page(self, call, page, size_bytes):
        request = call.request
        pages = (*call.pages, page)
        if page.after_key and request.all_pages:
            pages_bytes = call.pages_bytes + size_bytes
            _check_further_page(call, page, pages_bytes)
            self.handle_read_newest(request, page.after_key, pages, pages_bytes)
            return
        records = tuple(record for page in pages for record in page.records)
        read = NewestRead(request.topic, pages[0].end_offset, records, page.after_key)
        self.send_message(request.channel, read)

    def handle_request_failed(self, failure):
        """Handle a call that failed without a complete response."""
        pending = self.calls.pop(failure.exchange, None)
        if pending is not None:
            request = pending.call.request
            self._fail(request, failure.reason, definite=not failure.sent)

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
        """Time out calls, and repeat reads on connections that may be silent.

        A sweep that is late moves all deadlines by its delay, since responses may
        have arrived that this node was too busy to read.
        """
        late_s = max(0.0, tick.now_s - self.last_sweep_s - 2 * SWEEP_PERIOD_S)
        self.last_sweep_s = tick.now_s
        for key, pending in list(self.calls.items()):
            pending.due_s += late_s
            pending.silent_due_s += late_s
            if tick.now_s > pending.due_s:
                self._cancel(key)
                self._fail(pending.call.request, "no answer in time")
        if any(self._is_silent(pending, tick.now_s) for pending in self.calls.values()):
            self._repeat_reads()
        if not self.calls:
            self.sweeping = False
            self.send_message("timers", Unsubscribe(CHANNEL, "sweep"))

    def _is_silent(self, pending, now):
        is_late = now > pending.silent_due_s
        return pending.may_reuse and is_late and pending.is_unanswered_read

    def _repeat_reads(self):
        """Repeat all reads without a response on new connections.

        Whatever silenced one connection may have silenced all that are as old.
        """
        self.may_reuse = False
        repeated = [k for k, call in self.calls.items() if call.is_unanswered_read]
        log_info(PART, "connections silent", repeated=len(repeated))
        for key in repeated:
            pending = self._cancel(key)
            pending.may_reuse = False
            pending.sent_s = self.clock()
            pending.call = _without_wait(pending.call)
            self._send(pending)

    def _cancel(self, key):
        self.send_message(HTTP_CHANNEL, ClientRequestCancel(key))
        return self.calls.pop(key)


def _check_further_page(call, page, pages_bytes):
    """Raise ``DecodeError`` if the pages of a read lead back or grow too large."""
    if call.pages and page.after_key == call.pages[-1].after_key:
        raise DecodeError("a page of the store leads to itself")
    if pages_bytes > MAX_READ_BYTES:
        raise DecodeError(f"pages over {MAX_READ_BYTES} bytes")


def _max_response_bytes(request):
    """Return the size limit of the response to a call, by its topic."""
    if request.topic is Topic.CONFIGURATION:
        return MAX_CONFIGURATION_BYTES
    return MAX_RESPONSE_BYTES


def _without_wait(call):
    """Return a read that the store responds to at once."""
    if not isinstance(call.request, ReadRecords):
        return call
    target = build_read_target(replace(call.request, wait_ms=0))
    return replace(call, target=target, wait_ms=0)
