"""The task that calls the platform's store over HTTP."""

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
    EraObserved,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from comfreyusher.platform._era import (
    ERA_CHANNELS,
    StoreEra,
    is_outdated,
    observe_era,
)
from comfreyusher.platform._errors import DecodeError
from comfreyusher.platform._pending import (
    Call,
    CallKey,
    PendingCall,
    check_further_page,
    max_response_bytes,
    without_wait,
)
from comfreyusher.platform._wire import (
    build_append_body,
    build_append_target,
    build_newest_target,
    build_read_target,
    decode_append,
    decode_era,
    decode_first_offset,
    decode_newest,
    decode_records,
)

CHANNEL = "platform"
HTTP_CHANNEL = "platform-http"
PART = "platform"
SWEEP_PERIOD_S = 0.25
MIN_SILENCE_TIMEOUT_S = 0.5
SILENCE_LATENCY_FACTOR = 2.5
MAX_IDLE_S = 1.0
CALLS_PER_S = 10.0
BURST_CALLS = 40.0
RESTORED = "the store was restored from an older copy"
OK, GONE, CONFLICT, PRECONDITION_FAILED = 200, 410, 409, 412
DEFINITE_FAILURE_STATUSES = frozenset((400, 403, 404, 429, 503, 507))


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
        self.store_era = StoreEra()
        self.message_handlers = {
            EraObserved: self.handle_era_observed,
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
        if is_outdated(call.request, self.store_era.era, self.store_era.era):
            self._send_failure(call.request, RESTORED, True, self.store_era.era)
            return
        if not self._take_token():
            self._fail(call.request, "over the budget of calls", definite=True)
            return
        now = self.clock()
        may_reuse = self.may_reuse and now - self.last_response_s < MAX_IDLE_S
        timeout_s = max(MIN_SILENCE_TIMEOUT_S, SILENCE_LATENCY_FACTOR * self.latency_s)
        era = self.store_era.era
        self._send(PendingCall(call, now, timeout_s, may_reuse, era))

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
        if pending is None:
            return
        era = decode_era(response.head)
        pending.era = pending.era if era is None else era
        self._observe_era(era)
        if response.exchange in self.calls:
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
        max_bytes = max_response_bytes(pending.request)
        if pending.size_bytes > max_bytes:
            del self.calls[response.exchange]
            if not response.ended:
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(response.exchange))
            reason = f"an answer over {max_bytes} bytes"
            self._fail(pending.request, reason)
            return
        if not response.ended:
            credit = ClientResponseCredit(response.exchange, len(response.body))
            self.send_message(HTTP_CHANNEL, credit)
            return
        del self.calls[response.exchange]
        self.last_response_s = self.clock()
        self._finish_call(pending, b"".join(pending.chunks))

    def _finish_call(self, pending, body):
        request, status = pending.request, pending.status
        if is_outdated(request, pending.era, self.store_era.era):
            self._set_reachable(True)
            self._fail_outdated(request, pending.era)
            return
        if status == GONE and isinstance(request, ReadRecords):
            self._send_expired(request, body)
            return
        if status in (CONFLICT, PRECONDITION_FAILED):
            self._set_reachable(True)
            reason = "the topic has moved on"
            failed = AppendFailed(request.token, reason, True, self.store_era.era)
            self.send_message(request.channel, failed)
            return
        if status != OK:
            definite = status in DEFINITE_FAILURE_STATUSES
            self._fail(request, f"the store answered {status}", definite)
            return
        try:
            self._send_result(pending, body)
        except (DecodeError, msgspec.MsgspecError) as error:
            self._fail(request, str(error))
            return
        self._set_reachable(True)

    def _send_expired(self, request, body):
        """Report that the store does not have an offset.

        It has expired if the store keeps a later one first. Otherwise the response is
        of an older state, though it names no older era.
        """
        self._set_reachable(True)
        expired, first_offset = True, 0
        try:
            first_offset = decode_first_offset(body)
            expired = not self.store_era.era or first_offset > request.start_offset
        except DecodeError as error:
            log_warning(PART, "unreadable response from the store", reason=str(error))
        reason = "the offset has expired" if expired else "the offset is not there"
        failed = ReadFailed(
            request.topic, reason, expired, first_offset, self.store_era.era
        )
        self.send_message(request.channel, failed)

    def _send_result(self, pending, body):
        request, era = pending.request, pending.era
        if isinstance(request, Append):
            appended = Appended(request.token, decode_append(body), era)
            self.send_message(request.channel, appended)
        elif isinstance(request, ReadRecords):
            page = decode_records(body, request.start_offset)
            read = RecordsRead(
                request.topic,
                request.start_offset,
                page.next_offset,
                page.end_offset,
                page.records,
                era,
            )
            self.send_message(request.channel, read)
        else:
            self._add_page(pending, decode_newest(body), len(body))

    def _add_page(self, pending, page, size_bytes):
        call, request = pending.call, pending.request
        pages = (*call.pages, page)
        if page.after_key and request.all_pages:
            pages_bytes = call.pages_bytes + size_bytes
            check_further_page(call, page, pages_bytes)
            self.handle_read_newest(request, page.after_key, pages, pages_bytes)
            return
        records = tuple(record for page in pages for record in page.records)
        end_offset = pages[0].end_offset
        read = NewestRead(
            request.topic, end_offset, records, page.after_key, pending.era
        )
        self.send_message(request.channel, read)

    def handle_request_failed(self, failure):
        """Handle a call that failed without a complete response."""
        pending = self.calls.pop(failure.exchange, None)
        if pending is not None:
            request = pending.request
            self._fail(request, failure.reason, definite=not failure.sent)

    def _fail(self, request, reason, definite=False):
        self._set_reachable(False, reason)
        self._send_failure(request, reason, definite, self.store_era.era)

    def _fail_outdated(self, request, era):
        """Report a response of another era; the outcome of an append is unknown."""
        self._send_failure(request, RESTORED, False, era)

    def _send_failure(self, request, reason, definite, era):
        if isinstance(request, Append):
            failed = AppendFailed(request.token, reason, definite, era)
        else:
            failed = ReadFailed(request.topic, reason, era=era)
        self.send_message(request.channel, failed)

    # Eras ------------------------------------------------------------------

    def handle_era_observed(self, observed):
        """Handle an era that another node has named."""
        self._observe_era(observed.era)

    def _observe_era(self, era):
        """Tell the other tasks of a newer era, and end the reads of older ones.

        Their responses may come from the restored store, with other records at the
        same offsets, or with pages of both states.
        """
        before = self.store_era
        self.store_era, changed = observe_era(before, era)
        if changed is None:
            return
        restored = changed.restored
        log_info(PART, "store era", era=era, before=before.era, restored=restored)
        for channel in ERA_CHANNELS:
            self.send_message(channel, changed)
        reads = [k for k, p in self.calls.items() if not isinstance(p.request, Append)]
        for key in reads if restored else ():
            self._fail_outdated(self._cancel(key).request, era)

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
                self._fail(pending.request, "no answer in time")
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
            pending.call = without_wait(pending.call)
            self._send(pending)

    def _cancel(self, key):
        self.send_message(HTTP_CHANNEL, ClientRequestCancel(key))
        return self.calls.pop(key)
