"""The task that talks HTTP to the platform's service."""

import dataclasses
import itertools

import immutables
import msgspec
from absl import logging

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.messages import (
    ReplyBody,
    ReplyCredit,
    ReplyStart,
    RequestHead,
    SendCancel,
    SendFailed,
    SendStart,
)
from comfreyusher.platform._calls import (
    Append,
    Appended,
    AppendedAnswer,
    AppendFailed,
    ListRead,
    LogPage,
    Read,
    ReadFailed,
    RecordsRead,
    VmPage,
)

CHANNEL = "platform"
HTTP_CHANNEL = "platform-http"
SWEEP_PERIOD_S = 0.2
LIST_PERIOD_S = 1.0
CALL_TIMEOUT_S = 3.0
LOG = "platform:"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call under way; ``number`` makes its exchange key unique."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListCall:
    """The request that reads the list of VMs."""


class CallState:
    """What is known of one call."""

    def __init__(self, request, due_s):
        self.request = request
        self.due_s = due_s
        self.status = 0
        self.parts = []


class PlatformTask(Task):
    """Runs appends, reads and the polling of the list."""

    def __init__(self, host, port, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.host = host
        self.port = port
        self.calls = {}
        self.numbers = itertools.count(1)
        self.vms = immutables.Map()
        self.list_version = 0
        self.listing = False
        self.reachable = True
        self.appends = 0
        self.swept_s = self.clock()
        self.routes = {
            Append: self.append,
            Read: self.read,
            ReplyStart: self.take_start,
            ReplyBody: self.take_body,
            SendFailed: self.take_failure,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the sweep and to the list's polling."""
        self.tell("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "list", LIST_PERIOD_S))
        self.poll_list()

    # Calls -----------------------------------------------------------------

    def append(self, request):
        """Append one record."""
        self.appends += 1
        body = request.value.encode()
        self._call(request, "POST", f"/log/{request.stream}", CALL_TIMEOUT_S, body)

    def read(self, request):
        """Read one page."""
        target = (
            f"/log/{request.stream}?after={request.after}"
            f"&max={request.max_records}&wait_ms={request.wait_ms}"
        )
        timeout_s = CALL_TIMEOUT_S + request.wait_ms / 1000
        self._call(request, "GET", target, timeout_s)

    def poll_list(self):
        """Read what changed on the list, one read at a time."""
        if self.listing:
            return
        self.listing = True
        target = f"/vms?after={self.list_version}"
        self._call(ListCall(), "GET", target, CALL_TIMEOUT_S)

    def _call(self, request, method, target, timeout_s, body=b""):
        call = Call(next(self.numbers))
        self.calls[call] = CallState(request, self.clock() + timeout_s)
        headers = ((b"Host", f"{self.host}:{self.port}".encode()),)
        head = RequestHead(method, target, headers)
        start = SendStart(call, self.host, self.port, head, body)
        self.tell(HTTP_CHANNEL, start)

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
        if not reply.ended:
            credit = ReplyCredit(reply.exchange, len(reply.body))
            self.tell(HTTP_CHANNEL, credit)
            return
        del self.calls[reply.exchange]
        if state.status != 200:
            self._fail(state.request, f"the platform answered {state.status}")
            return
        self._note_reachable(True)
        try:
            self._finish(state.request, b"".join(state.parts))
        except msgspec.MsgspecError as error:
            self._fail(state.request, f"unreadable answer: {error}")

    def _finish(self, request, body):
        if isinstance(request, Append):
            answer = msgspec.json.decode(body, type=AppendedAnswer)
            self.tell(request.channel, Appended(request.token, answer.offset))
        elif isinstance(request, Read):
            page = msgspec.json.decode(body, type=LogPage)
            self.tell(request.channel, RecordsRead(request.stream, request.after, page))
        else:
            self._take_list(msgspec.json.decode(body, type=VmPage))

    def _take_list(self, page):
        self.listing = False
        vms = self.vms
        for vm in page.vms:
            if vm.state == "gone":
                vms = vms.delete(vm.name) if vm.name in vms else vms
            else:
                vms = vms.set(vm.name, vm)
        first = self.list_version == 0
        self.list_version = page.version
        if page.vms or first:
            self.vms = vms
            changed = tuple(vm.name for vm in page.vms)
            self.tell("node", ListRead(vms, changed))

    def take_failure(self, failure):
        """Handle a call that brought no answer."""
        state = self.calls.pop(failure.exchange, None)
        if state is not None:
            self._fail(state.request, failure.reason)

    def _fail(self, request, reason):
        self._note_reachable(False, reason)
        if isinstance(request, Append):
            self.tell(request.channel, AppendFailed(request.token, reason))
        elif isinstance(request, Read):
            failed = ReadFailed(request.stream, request.after, reason)
            self.tell(request.channel, failed)
        else:
            self.listing = False

    def _note_reachable(self, reachable, reason=""):
        if reachable is self.reachable:
            return
        self.reachable = reachable
        if reachable:
            logging.info("%s service answers again", LOG)
        else:
            logging.warning("%s service does not answer reason=%r", LOG, reason)

    def on_tick(self, tick):
        """Poll the list, and time out calls."""
        if tick.name == "list":
            self.poll_list()
            return
        late_s = max(0.0, tick.now_s - self.swept_s - 2 * SWEEP_PERIOD_S)
        self.swept_s = tick.now_s
        for call, state in list(self.calls.items()):
            state.due_s += late_s  # answers may wait unread while this node was busy
            if tick.now_s > state.due_s:
                del self.calls[call]
                self.tell(HTTP_CHANNEL, SendCancel(call))
                self._fail(state.request, "no answer in time")
