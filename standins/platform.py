"""Stand-in for the platform's store: topics of records with offsets.

It serves the store's protocol: ``POST /log-append``, ``GET /log-read``,
``GET /log-newest``. ``POST /control`` sets faults: ``down`` (``reset``,
``silent`` or ``busy``), ``delay_ms`` (of every response), ``lose_answers``
(number of appends that take effect without a response), ``late_ms`` (delay
until these appends take effect), ``garble`` (responses that cannot be parsed),
``names_era`` (responses carry ``Store-Era``).
``POST /silence`` silences every open connection for good; new ones work.
``POST /entries`` writes an entry as the operator or an upstream would, and
``POST /compact`` drops all records but the newest of each key. ``POST /restore``
restores all topics from a copy that is ``age_ms`` old, and begins a new era.
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
    RequestCredit,
    RequestStart,
    ResponseAbort,
    ResponseStart,
)
from standins._process import run_standin

CHANNEL = "platform-standin"
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
BINARY_CONTENT_TYPE = b"application/octet-stream"
PAGE_ITEMS = 500
CONTROL_PATHS = ("/control", "/entries", "/compact", "/silence", "/state", "/restore")


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults set by tests; the fields are those of ``POST /control``."""

    down: str = ""
    delay_ms: int = 0
    lose_answers: int = 0
    late_ms: int = 0
    garble: bool = False
    names_era: bool = False


@dataclasses.dataclass(frozen=True)
class PendingRead:
    """A read that waits until its topic has a record at ``start``."""

    exchange: int
    topic: str
    start: int
    due_s: float


@dataclasses.dataclass(frozen=True)
class PartialRequest:
    """A request whose body is not complete yet."""

    head: object
    body: bytes


class TopicLog:
    """Records of one topic and the newest record of each key.

    ``first_offset`` is the oldest offset that can still be read. ``history`` holds the
    times and the records of all appends, for copies of the topic.
    """

    def __init__(self):
        self.history = []
        self.first_offset = 0
        self.records = []
        self.newest = {}

    @property
    def end_offset(self):
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record, now):
        """Append one keyed record; a record without a value removes its key."""
        self.history.append((now, record))
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (value, self.end_offset)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def compact(self):
        """Drop all records but the newest of each key."""
        self.first_offset, self.records = self.end_offset, []

    def restore(self, copied_s):
        """Lose all records that were appended after a copy was made."""
        history = [item for item in self.history if item[0] <= copied_s]
        first_offset = min(self.first_offset, len(history))
        self.__init__()
        for appended_s, record in history:
            self.append(record, appended_s)
        self.first_offset, self.records = first_offset, self.records[first_offset:]


class PlatformStandin(Task):
    """Serves the store's protocol from topics in memory."""

    def __init__(self):
        super().__init__(CHANNEL)
        self.topics = {}
        self.faults = Faults()
        self.pending_reads = []
        self.delayed_calls = []
        self.partial_requests = {}
        self.calls = 0
        self.era = 1
        self.silent_connections = set()
        self.message_handlers = {
            RequestStart: self.handle_request_start,
            RequestBody: self.handle_request_body,
            CallerDisconnected: self.handle_caller_disconnected,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the ticks that run delayed calls and end pending reads."""
        self.send_message("timers", Subscribe(CHANNEL, "tick", 0.02))

    def send_message(self, channel, body):
        """Send a message, unless it is a response on a silent connection."""
        if channel == "web":
            number = self.http_server.number_by_exchange.get(body.exchange)
            if number in self.silent_connections:
                return
            if self.faults.names_era and isinstance(body, ResponseStart):
                body = self.add_era(body)
        super().send_message(channel, body)

    def add_era(self, response):
        """Return a response that names the era."""
        headers = (*response.head.headers, (b"Store-Era", b"%d" % self.era))
        head = dataclasses.replace(response.head, headers=headers)
        return dataclasses.replace(response, head=head)

    def handle_request_start(self, request):
        """Start to collect a request."""
        self.partial_requests[request.exchange] = PartialRequest(
            request.head, request.body
        )
        if request.ended:
            self.complete_request(request.exchange)

    def handle_request_body(self, message):
        """Add a part of the body to its request."""
        partial = self.partial_requests.get(message.exchange)
        if partial is None:
            return
        body = partial.body + message.body
        credit = RequestCredit(message.exchange, len(message.body))
        self.send_message("web", credit)
        self.partial_requests[message.exchange] = PartialRequest(partial.head, body)
        if message.ended:
            self.complete_request(message.exchange)

    def handle_caller_disconnected(self, message):
        """Drop the unfinished request and the pending read of the caller."""
        self.partial_requests.pop(message.exchange, None)
        self.pending_reads = [
            w for w in self.pending_reads if w.exchange != message.exchange
        ]

    def complete_request(self, exchange):
        """Respond to a complete request, subject to the faults that are set."""
        partial = self.partial_requests.pop(exchange)
        path, _, query = partial.head.target.partition("?")
        if path in CONTROL_PATHS:
            self.respond_to_control(exchange, path, partial.body)
            return
        self.calls += 1
        if self.faults.down == "reset":
            self.send_message("web", ResponseAbort(exchange))
        elif self.faults.down == "busy":
            self.respond_with_json(exchange, {"error": "busy"}, 503)
        elif self.faults.down == "silent":
            return
        elif self.faults.delay_ms:
            due_s = self.clock() + self.faults.delay_ms / 1000
            self.delayed_calls.append((due_s, lambda: self.respond(exchange, partial)))
        else:
            self.respond(exchange, partial)

    def respond(self, exchange, partial):
        """Respond to a call of the store."""
        path, _, query = partial.head.target.partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        if self.faults.garble:
            self.send_message("web", respond_with_bytes(exchange, 200, b"\xff?"))
            return
        responders = {
            "/log-append": lambda: self.append(exchange, params, partial.body),
            "/log-read": lambda: self.read(exchange, params),
            "/log-newest": lambda: self.read_newest(exchange, params),
        }
        responder = responders.get(path)
        if responder is None:
            self.respond_with_json(exchange, {"error": "not found"}, 404)
            return
        responder()

    def get_topic(self, name):
        """Return a topic; create it on its first use."""
        return self.topics.setdefault(name, TopicLog())

    def append(self, exchange, params, body):
        """Append records and respond with their offset.

        While the ``lose_answers`` fault is set, the response is lost, but the records
        are still appended, ``late_ms`` later.
        """
        if self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = dataclasses.replace(self.faults, lose_answers=left)
            due_s = self.clock() + self.faults.late_ms / 1000
            self.delayed_calls.append((due_s, lambda: self.try_append(params, body)))
            self.send_message("web", ResponseAbort(exchange))
            return
        offset = self.try_append(params, body)
        topic = self.get_topic(params["topic"])
        if offset is None:
            self.respond_with_json(exchange, {"end": topic.end_offset}, 412)
        else:
            self.respond_with_json(
                exchange, {"offset": offset, "end": topic.end_offset}
            )

    def try_append(self, params, body):
        """Append records if ``as_of`` is absent or equals the end offset.

        Return the offset of the first record, or ``None`` if nothing was appended.
        """
        topic = self.get_topic(params["topic"])
        if "as_of" in params and int(params["as_of"]) != topic.end_offset:
            return None
        offset, position = topic.end_offset, 0
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            topic.append(body[position : position + size], self.clock())
            position += size
        self.complete_reads(params["topic"])
        return offset

    def read(self, exchange, params):
        """Respond with records, or hold the read until there is a record to return."""
        topic = self.get_topic(params["topic"])
        start, wait_ms = int(params["from"]), int(params.get("wait_ms", 0))
        is_beyond_end = self.faults.names_era and start > topic.end_offset
        if start < topic.first_offset or is_beyond_end:
            self.respond_with_json(exchange, {"first": topic.first_offset}, 410)
        elif start >= topic.end_offset and wait_ms:
            due_s = self.clock() + wait_ms / 1000
            self.pending_reads.append(
                PendingRead(exchange, params["topic"], start, due_s)
            )
        else:
            self.respond_with_records(exchange, topic, start)

    def respond_with_records(self, exchange, topic, start):
        """Respond with the records from an offset on."""
        records = topic.records[max(0, start - topic.first_offset) :]
        framed = b"".join(
            RECORD_LENGTH.pack(len(record)) + record for record in records
        )
        body = READ_HEADER.pack(topic.end_offset, topic.first_offset) + framed
        self.send_message(
            "web", respond_with_bytes(exchange, 200, body, BINARY_CONTENT_TYPE)
        )

    def complete_reads(self, name):
        """Respond to the pending reads of a topic that has new records."""
        pending_reads, self.pending_reads = self.pending_reads, []
        for read in pending_reads:
            topic = self.get_topic(name)
            if read.topic == name and read.start < topic.end_offset:
                self.respond_with_records(read.exchange, topic, read.start)
            else:
                self.pending_reads.append(read)

    def read_newest(self, exchange, params):
        """Respond with a page of the newest record of each key, in order of keys."""
        topic = self.get_topic(params["topic"])
        after = params.get("after", "")
        found = sorted(item for item in topic.newest.items() if item[0] > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in found[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "has_more": len(found) > PAGE_ITEMS,
            "end": topic.end_offset,
        }
        self.respond_with_json(exchange, page)

    def respond_with_json(self, exchange, value, status=200):
        """Respond with a value as JSON."""
        self.send_message(
            "web", respond_with_bytes(exchange, status, json.dumps(value).encode())
        )

    # Control -----------------------------------------------------------------

    def respond_to_control(self, exchange, path, body):
        """Set faults, write an entry or compact; respond with counts and topics."""
        if path == "/control":
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
        elif path == "/entries":
            self.write_entry(json.loads(body))
        elif path == "/compact":
            for topic in self.topics.values():
                topic.compact()
        elif path == "/restore":
            self.restore(json.loads(body)["age_ms"] / 1000)
        elif path == "/silence":
            own = self.http_server.number_by_exchange[exchange]
            self.silent_connections = set(self.http_server.states) - {own}
        self.respond_with_json(
            exchange, {"calls": self.calls, "topics": sorted(self.topics)}
        )

    def write_entry(self, entry):
        """Append an entry under its key; an entry without a value removes the key."""
        key = entry["key"].encode()
        value = json.dumps(entry["value"]).encode() if entry.get("value") else b""
        record = bytes((len(key),)) + key + value
        self.get_topic(entry["topic"]).append(record, self.clock())
        self.complete_reads(entry["topic"])

    def restore(self, age_s):
        """Restore all topics from a copy; reads that wait stay as they are."""
        self.era += 1
        for topic in self.topics.values():
            topic.restore(self.clock() - age_s)

    def handle_tick(self, tick):
        """Run the delayed calls and respond to the reads whose time is up."""
        due = [item for item in self.delayed_calls if item[0] <= tick.now_s]
        self.delayed_calls = [
            item for item in self.delayed_calls if item[0] > tick.now_s
        ]
        for _, run in due:
            run()
        pending_reads, self.pending_reads = self.pending_reads, []
        for read in pending_reads:
            if read.due_s <= tick.now_s:
                self.respond_with_records(
                    read.exchange, self.get_topic(read.topic), read.start
                )
            else:
                self.pending_reads.append(read)


if __name__ == "__main__":
    run_standin(PlatformStandin(), sys.argv[1], int(sys.argv[2]))
