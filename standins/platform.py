"""Stand-in for the platform's service: an append-only log and a list of VMs.

``POST /log/STREAM`` appends, ``GET /log/STREAM?after=N&max=M&wait_ms=W``
reads, ``GET /vms?after=V`` lists. ``POST /vms`` changes the list and
``POST /control`` sets faults: ``delay_ms``, ``down`` (the log), ``list_down``,
``lose_answers``, ``retention_ms``, ``list_lag_ms``.
"""

import dataclasses
import json
import sys
import time
import urllib.parse

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.http import answer_bytes
from comfreyusher.messages import AnswerBroken, RequestBody, RequestStart
from standins._process import run_standin

CHANNEL = "platform-standin"
DEFAULT_RETENTION_MS = 7 * 24 * 3600 * 1000


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that tests set."""

    delay_ms: int = 0
    down: bool = False
    list_down: bool = False
    lose_answers: int = 0
    retention_ms: int = DEFAULT_RETENTION_MS
    list_lag_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A read that waits for its first record."""

    exchange: int
    stream: str
    after: int
    count: int
    due_s: float


@dataclasses.dataclass(frozen=True)
class Received:
    """A request whose body is still coming."""

    head: object
    body: bytes


class PlatformStandin(Task):
    """Keeps streams and the list in memory."""

    def __init__(self):
        super().__init__(CHANNEL)
        self.streams = {}
        self.first = {}
        self.vms = {}
        self.changes = []
        self.faults = Faults()
        self.waiting = []
        self.delayed = []
        self.receiving = {}
        self.appends = 0
        self.routes = {
            RequestStart: self.start_request,
            RequestBody: self.continue_request,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks that end waits and delays."""
        self.tell("timers", Subscribe(CHANNEL, "tick", 0.02))

    def start_request(self, request):
        """Collect a request."""
        self.receiving[request.exchange] = Received(request.head, request.body)
        if request.ended:
            self.end_request(request.exchange)

    def continue_request(self, more):
        """Collect more of a request."""
        received = self.receiving.get(more.exchange)
        if received is None:
            return
        body = received.body + more.body
        self.receiving[more.exchange] = Received(received.head, body)
        if more.ended:
            self.end_request(more.exchange)

    def end_request(self, exchange):
        """Answer a complete request, under the faults that are set."""
        received = self.receiving.pop(exchange)
        path, _, query = received.head.target.partition("?")
        control = path == "/control" or (
            path in ("/vms", "/state") and received.head.method == "POST"
        )
        if control:
            self.control(exchange, path, received)
        elif self.faults.list_down if path == "/vms" else self.faults.down:
            self.tell("web", AnswerBroken(exchange))
        elif self.faults.delay_ms:
            due_s = self.clock() + self.faults.delay_ms / 1000
            self.delayed.append((due_s, exchange, received))
        else:
            self.answer(exchange, received)

    def answer(self, exchange, received):
        """Answer an append, a read or a listing."""
        path, _, query = received.head.target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        if path == "/vms":
            self.list_vms(exchange, int(asked.get("after", 0)))
        elif not path.startswith("/log/"):
            self.say(exchange, {"error": "not found"}, 404)
        elif received.head.method == "POST":
            self.append(exchange, path[5:], received.body.decode())
        else:
            self.read(exchange, path[5:], asked)

    def append(self, exchange, stream, value):
        """Append one record; a lost answer still takes effect."""
        self.appends += 1
        records = self.streams.setdefault(stream, [])
        offset = self.first.get(stream, 1) + len(records)
        record = {"offset": offset, "time_ms": now_ms(), "value": value}
        records.append(record)
        if self.faults.lose_answers > 0:
            left = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=left)
            self.tell("web", AnswerBroken(exchange))
        else:
            self.say(exchange, {"offset": offset})
        self.wake_readers()

    def read(self, exchange, stream, asked):
        """Answer a read, or let it wait."""
        waiting = Waiting(
            exchange,
            stream,
            int(asked.get("after", 0)),
            int(asked.get("max", 1000)),
            self.clock() + int(asked.get("wait_ms", 0)) / 1000,
        )
        if not self.give_page(waiting):
            self.waiting.append(waiting)

    def give_page(self, waiting):
        """Answer with records, or with none once the wait is over."""
        self.trim(waiting.stream)
        records = self.streams.get(waiting.stream, [])
        first = self.first.get(waiting.stream, 1)
        start = max(0, waiting.after - first + 1)
        page = records[start : start + waiting.count]
        if not page and self.clock() < waiting.due_s:
            return False
        last = first + len(records) - 1
        answer = {
            "first": first,
            "last": last,
            "retention_ms": self.faults.retention_ms,
            "now_ms": now_ms(),
            "records": page,
        }
        self.say(waiting.exchange, answer)
        return True

    def trim(self, stream):
        """Forget records past the retention."""
        records = self.streams.get(stream, [])
        oldest = now_ms() - self.faults.retention_ms
        keep = 0
        while keep < len(records) and records[keep]["time_ms"] < oldest:
            keep += 1
        if keep:
            self.first[stream] = self.first.get(stream, 1) + keep
            self.streams[stream] = records[keep:]

    def wake_readers(self):
        """Answer the reads that wait, where records came."""
        if not self.faults.down:
            self.waiting = [w for w in self.waiting if not self.give_page(w)]

    def list_vms(self, exchange, after):
        """List the changes that the lag lets through."""
        visible_ms = now_ms() - self.faults.list_lag_ms
        newest = {}
        version = after
        for number, time_ms, vm in self.changes:
            if number > after and time_ms <= visible_ms:
                newest[vm["name"]] = vm
                version = max(version, number)
        self.say(exchange, {"version": version, "vms": list(newest.values())})

    def control(self, exchange, path, received):
        """Change faults or the list."""
        body = json.loads(received.body or b"{}")
        if path == "/vms":
            for vm in body:
                vm = {**self.vms.get(vm["name"], {}), **vm}
                self.vms[vm["name"]] = vm
                self.changes.append((len(self.changes) + 1, now_ms(), vm))
        elif path == "/control":
            self.faults = dataclasses.replace(self.faults, **body)
        counts = {name: len(records) for name, records in self.streams.items()}
        self.say(exchange, {"appends": self.appends, "records": counts})

    def on_tick(self, tick):
        """End delays and waits."""
        due = [item for item in self.delayed if item[0] <= tick.now_s]
        self.delayed = [item for item in self.delayed if item[0] > tick.now_s]
        for _, exchange, received in due:
            self.answer(exchange, received)
        if self.faults.down:
            for waiting in self.waiting:
                self.tell("web", AnswerBroken(waiting.exchange))
            self.waiting = []
        self.wake_readers()

    def say(self, exchange, value, status=200):
        """Answer with JSON."""
        self.tell("web", answer_bytes(exchange, status, json.dumps(value).encode()))


def now_ms():
    """Return the log's time."""
    return int(time.time() * 1000)


if __name__ == "__main__":
    run_standin(PlatformStandin(), sys.argv[1], int(sys.argv[2]))
