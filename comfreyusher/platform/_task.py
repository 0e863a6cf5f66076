"""The task that talks HTTP to the platform's store."""

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
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    ReadNewest,
)
from comfreyusher.platform._decode import DocumentRefused
from comfreyusher.platform._wire import (
    append_body,
    append_target,
    decode_append,
    decode_first,
    decode_newest,
    decode_records,
    follow_target,
    newest_target,
)

CHANNEL = "platform"
HTTP_CHANNEL = "platform-http"
PART = "platform"
SWEEP_PERIOD_S = 0.25
CALL_TIMEOUT_S = 1.5
MAX_ANSWER_BYTES = 8 << 20
MAX_IDLE_S = 30.0
CALLS_PER_S = 10.0
BURST_CALLS = 40.0
OK, EXPIRED, CONFLICT, MOVED_ON = 200, 410, 409, 412
NOTHING_DONE = frozenset((400, 403, 404, 429, 503, 507))


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call under way; ``number`` makes its exchange key unique."""

    number: int


class CallState:
    """What is known of one call; ``pages`` holds earlier pages of a read."""

    def __init__(self, request, due_s, pages=()):
        self.request = request
        self.due_s = due_s
        self.pages = pages
        self.status = 0
        self.size_bytes = 0
        self.parts = []


class PlatformTask(Task):
    """Runs appends and reads within a budget of calls a second."""

    def __init__(self, host, port, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.host = host
        self.port = port
        self.calls = {}
        self.numbers = itertools.count(1)
        self.reachable = True
        self.tokens = BURST_CALLS
        self.filled_s = self.clock()
        self.swept_s = self.clock()
        self.sweeping = False
        self.total = 0
        self.message_handlers = {
            Append: self.append,
            Follow: self.follow,
            ReadNewest: self.read_newest,
            ClientResponseStart: self.take_start,
            ClientResponseBody: self.take_body,
            ClientRequestFailed: self.take_failure,
            Tick: self.on_tick,
        }

    # Calls -----------------------------------------------------------------

    def append(self, request):
        """Append one record."""
        self._call(request, "POST", append_target(request), 0, append_body(request))

    def follow(self, request):
        """Read records from an offset on."""
        self._call(request, "GET", follow_target(request), request.wait_ms)

    def read_newest(self, request, after="", pages=()):
        """Read the newest records, a page a call."""
        target = newest_target(request.topic, after or request.after)
        self._call(request, "GET", target, 0, pages=pages)

    def _call(self, request, method, target, wait_ms, body=b"", pages=()):
        if not self._take_token():
            self._fail(request, "over the budget of calls", settled=True)
            return
        self.total += 1
        call = Call(next(self.numbers))
        due_s = self.clock() + CALL_TIMEOUT_S + wait_ms / 1000
        self.calls[call] = CallState(request, due_s, pages)
        self._watch_time()
        headers = ((b"Host", f"{self.host}:{self.port}".encode()),)
        head = RequestHead(method, target, headers)
        start = ClientRequestStart(
            call, self.host, self.port, head, body, max_idle_s=MAX_IDLE_S
        )
        self.send_message(HTTP_CHANNEL, start)

    def _watch_time(self):
        if not self.sweeping:
            self.sweeping = True
            self.swept_s = self.clock()
            self.send_message("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def _take_token(self):
        now = self.clock()
        earned = (now - self.filled_s) * CALLS_PER_S
        self.tokens = min(BURST_CALLS, self.tokens + earned)
        self.filled_s = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    # Answers ---------------------------------------------------------------

    def take_start(self, reply):
        """Take the head of an answer."""
        state = self.calls.get(reply.exchange)
        if state is not None:
            state.status = reply.head.status
            self._take_part(reply, state)

    def take_body(self, reply):
        """Take more of an answer."""
        state = self.calls.get(reply.exchange)
        if state is not None:
            self._take_part(reply, state)

    def _take_part(self, reply, state):
        state.parts.append(reply.body)
        state.size_bytes += len(reply.body)
        if state.size_bytes > MAX_ANSWER_BYTES:
            del self.calls[reply.exchange]
            if not reply.ended:
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(reply.exchange))
            self._fail(state.request, f"an answer over {MAX_ANSWER_BYTES} bytes")
            return
        if not reply.ended:
            credit = ClientResponseCredit(reply.exchange, len(reply.body))
            self.send_message(HTTP_CHANNEL, credit)
            return
        del self.calls[reply.exchange]
        self._finish(state, b"".join(state.parts))

    def _finish(self, state, body):
        request = state.request
        if state.status == EXPIRED:
            self._tell_expired(request, body)
            return
        if state.status in (CONFLICT, MOVED_ON):
            self._note_reachable(True)
            reason = "the topic has moved on"
            self.send_message(
                request.channel, AppendFailed(request.token, reason, True)
            )
            return
        if state.status != OK:
            settled = state.status in NOTHING_DONE
            self._fail(request, f"the store answered {state.status}", settled)
            return
        try:
            self._tell_answer(state, body)
        except (DocumentRefused, msgspec.MsgspecError) as error:
            self._fail(request, str(error))
            return
        self._note_reachable(True)

    def _tell_expired(self, request, body):
        self._note_reachable(True)
        try:
            first = decode_first(body)
        except DocumentRefused as error:
            log_warning(PART, "unreadable answer", reason=str(error))
            first = 0
        reason = "the offset has expired"
        self.send_message(
            request.channel, ReadFailed(request.topic, reason, True, first)
        )

    def _tell_answer(self, state, body):
        request = state.request
        if isinstance(request, Append):
            appended = Appended(request.token, decode_append(body))
            self.send_message(request.channel, appended)
        elif isinstance(request, Follow):
            page = decode_records(body, request.start)
            followed = Followed(
                request.topic, request.start, page.following, page.end, page.records
            )
            self.send_message(request.channel, followed)
        else:
            self._take_page(state, decode_newest(body))

    def _take_page(self, state, page):
        request = state.request
        pages = (*state.pages, page)
        if page.after and request.whole:
            self.read_newest(request, page.after, pages)
            return
        records = tuple(record for page in pages for record in page.records)
        read = NewestRead(request.topic, pages[0].end, records, page.after)
        self.send_message(request.channel, read)

    def take_failure(self, failure):
        """Handle a call that brought no answer."""
        state = self.calls.pop(failure.exchange, None)
        if state is not None:
            self._fail(state.request, failure.reason, settled=not failure.sent)

    def _fail(self, request, reason, settled=False):
        self._note_reachable(False, reason)
        if isinstance(request, Append):
            self.send_message(
                request.channel, AppendFailed(request.token, reason, settled)
            )
        else:
            self.send_message(request.channel, ReadFailed(request.topic, reason))

    def _note_reachable(self, reachable, reason=""):
        if reachable is self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_info(PART, "store regained")
        else:
            log_warning(PART, "store lost", reason=reason)

    def on_tick(self, tick):
        """Time out calls; answers may wait unread while this node was busy."""
        late_s = max(0.0, tick.now_s - self.swept_s - 2 * SWEEP_PERIOD_S)
        self.swept_s = tick.now_s
        for call, state in list(self.calls.items()):
            state.due_s += late_s
            if tick.now_s > state.due_s:
                del self.calls[call]
                self.send_message(HTTP_CHANNEL, ClientRequestCancel(call))
                self._fail(state.request, "no answer in time")
        if not self.calls:
            self.sweeping = False
            self.send_message("timers", Unsubscribe(CHANNEL, "sweep"))
