"""Stand-in for the platform's store: topics of records with offsets.

It speaks the store's protocol: ``POST /log-append``, ``GET /log-read``,
``GET /log-newest``. ``POST /control`` sets faults: ``down`` (``reset``,
``silent`` or ``busy``), ``delay_ms``, ``lose_answers`` (appends that take
effect without an answer), ``late_ms`` (when lost appends take effect),
``garble`` (answers that cannot be read). ``POST /entries`` writes an entry as
the operator or an upstream would, and ``POST /compact`` drops all records but
the newest of each key.
"""

import base64
import dataclasses
import json
import struct
import sys
import urllib.parse

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.http import respond_with_bytes
from comfreyusher.messages import (
    CallerDisconnected,
    RequestBody,
    RequestStart,
    ResponseAbort,
)
from standins._process import run_standin

CHANNEL = "platform-standin"
LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")
OCTETS = b"application/octet-stream"
PAGE_ITEMS = 500


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that tests set."""

    down: str = ""
    delay_ms: int = 0
    lose_answers: int = 0
    late_ms: int = 0
    garble: bool = False


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A read that waits for its first record."""

    exchange: int
    topic: str
    start: int
    due_s: float


@dataclasses.dataclass(frozen=True)
class Received:
    """A request whose body is still coming."""

    head: object
    body: bytes


class TopicLog:
    """Records of one topic; ``first`` is the oldest offset that is kept."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        """The next offset."""
        return self.first + len(self.records)

    def append(self, record):
        """Append one keyed record; one without a value drops its key."""
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def compact(self):
        """Forget all records but the newest of each key."""
        self.first, self.records = self.end, []


class PlatformStandin(Task):
    """Keeps topics in memory."""

    def __init__(self):
        super().__init__(CHANNEL)
        self.topics = {}
        self.faults = Faults()
        self.waiting = []
        self.delayed = []
        self.receiving = {}
        self.calls = 0
        self.message_handlers = {
            RequestStart: self.start_request,
            RequestBody: self.continue_request,
            CallerDisconnected: self.forget,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks that end waits and delays."""
        self.send_message("timers", Subscribe(CHANNEL, "tick", 0.02))

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

    def forget(self, gone):
        """Drop what a caller that went away has asked."""
        self.receiving.pop(gone.exchange, None)
        self.waiting = [w for w in self.waiting if w.exchange != gone.exchange]

    def end_request(self, exchange):
        """Answer a complete request, under the faults that are set."""
        received = self.receiving.pop(exchange)
        path, _, query = received.head.target.partition("?")
        if path in ("/control", "/entries", "/compact", "/state"):
            self.control(exchange, path, received.body)
            return
        self.calls += 1
        if self.faults.down == "reset":
            self.send_message("web", ResponseAbort(exchange))
        elif self.faults.down == "busy":
            self.say(exchange, {"error": "busy"}, 503)
        elif self.faults.down == "silent":
            return
        elif self.faults.delay_ms:
            due_s = self.clock() + self.faults.delay_ms / 1000
            self.delayed.append((due_s, lambda: self.answer(exchange, received)))
        else:
            self.answer(exchange, received)

    def answer(self, exchange, received):
        """Answer an append or a read."""
        path, _, query = received.head.target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        if self.faults.garble:
            self.send_message("web", respond_with_bytes(exchange, 200, b"\xff?"))
            return
        answers = {
            "/log-append": lambda: self.append(exchange, asked, received.body),
            "/log-read": lambda: self.read(exchange, asked),
            "/log-newest": lambda: self.read_newest(exchange, asked),
        }
        answer = answers.get(path)
        if answer is None:
            self.say(exchange, {"error": "not found"}, 404)
            return
        answer()

    def topic(self, name):
        """Return a topic, which its first use creates."""
        return self.topics.setdefault(name, TopicLog())

    def append(self, exchange, asked, body):
        """Append records; a lost answer still takes effect, perhaps later."""
        if self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=left)
            due_s = self.clock() + self.faults.late_ms / 1000
            self.delayed.append((due_s, lambda: self.try_append(asked, body)))
            self.send_message("web", ResponseAbort(exchange))
            return
        offset = self.try_append(asked, body)
        topic = self.topic(asked["topic"])
        if offset is None:
            self.say(exchange, {"end": topic.end}, 412)
        else:
            self.say(exchange, {"offset": offset, "end": topic.end})

    def try_append(self, asked, body):
        """Append if the condition holds; return the first offset, or ``None``."""
        topic = self.topic(asked["topic"])
        if "as_of" in asked and int(asked["as_of"]) != topic.end:
            return None
        offset, at = topic.end, 0
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            at += LENGTH.size
            topic.append(body[at : at + size])
            at += size
        self.end_waits(asked["topic"])
        return offset

    def read(self, exchange, asked):
        """Answer a read, or let it wait for its first record."""
        topic = self.topic(asked["topic"])
        start, wait_ms = int(asked["from"]), int(asked.get("wait_ms", 0))
        if start < topic.first:
            self.say(exchange, {"first": topic.first}, 410)
        elif start >= topic.end and wait_ms:
            due_s = self.clock() + wait_ms / 1000
            self.waiting.append(Waiting(exchange, asked["topic"], start, due_s))
        else:
            self.give(exchange, topic, start)

    def give(self, exchange, topic, start):
        """Answer with the records from an offset on."""
        records = topic.records[max(0, start - topic.first) :]
        framed = b"".join(LENGTH.pack(len(record)) + record for record in records)
        body = POSITIONS.pack(topic.end, topic.first) + framed
        self.send_message("web", respond_with_bytes(exchange, 200, body, OCTETS))

    def end_waits(self, name):
        """Answer the reads that wait for this topic."""
        waiting, self.waiting = self.waiting, []
        for wait in waiting:
            topic = self.topic(name)
            if wait.topic == name and wait.start < topic.end:
                self.give(wait.exchange, topic, wait.start)
            else:
                self.waiting.append(wait)

    def read_newest(self, exchange, asked):
        """Answer with a page of the newest records by key."""
        topic = self.topic(asked["topic"])
        after = asked.get("after", "")
        found = sorted(item for item in topic.newest.items() if item[0] > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in found[:PAGE_ITEMS]
        ]
        page = {"items": items, "has_more": len(found) > PAGE_ITEMS, "end": topic.end}
        self.say(exchange, page)

    def say(self, exchange, value, status=200):
        """Answer with JSON."""
        self.send_message(
            "web", respond_with_bytes(exchange, status, json.dumps(value).encode())
        )

    # Control -----------------------------------------------------------------

    def control(self, exchange, path, body):
        """Set faults, write entries, compact, or show the counts."""
        if path == "/control":
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
        elif path == "/entries":
            self.write_entry(json.loads(body))
        elif path == "/compact":
            for topic in self.topics.values():
                topic.compact()
        self.say(exchange, {"calls": self.calls, "topics": sorted(self.topics)})

    def write_entry(self, entry):
        """Write an entry under its key; without a value the key is dropped."""
        key = entry["key"].encode()
        value = json.dumps(entry["value"]).encode() if entry.get("value") else b""
        self.topic(entry["topic"]).append(bytes((len(key),)) + key + value)
        self.end_waits(entry["topic"])

    def on_tick(self, tick):
        """End waits and delays that are due."""
        due = [item for item in self.delayed if item[0] <= tick.now_s]
        self.delayed = [item for item in self.delayed if item[0] > tick.now_s]
        for _, run in due:
            run()
        waiting, self.waiting = self.waiting, []
        for wait in waiting:
            if wait.due_s <= tick.now_s:
                self.give(wait.exchange, self.topic(wait.topic), wait.start)
            else:
                self.waiting.append(wait)


if __name__ == "__main__":
    run_standin(PlatformStandin(), sys.argv[1], int(sys.argv[2]))
