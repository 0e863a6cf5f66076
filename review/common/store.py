"""Stand-in for the platform's store: a log with keyed topics, over HTTP/1.1."""

import asyncio
import base64
import json
import struct
import urllib.parse

from common.wire import build_response, read_request

LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
PAGE_ITEMS = 500


class TopicLog:
    """The records of a topic, and the newest one of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.appended = asyncio.Event()

    def append(self, record):
        """Append a record, and wake the reads that wait for one."""
        key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """Serves ``/log-append``, ``/log-read`` and ``/log-newest``."""

    def __init__(self):
        self.topics = {}
        self.server = None

    async def start(self, host, port):
        """Begin to serve on an address."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def topic(self, name):
        """Return a topic, which is created on its first use."""
        return self.topics.setdefault(name, TopicLog())

    def write(self, topic, key, value):
        """Write an entry; ``None`` removes its key."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(bytes((len(name),)) + name + data)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(request.target).query)
        )
        if request.path == "/log-append":
            return self._append(query, request.body)
        if request.path == "/log-read":
            return await self._read(query)
        if request.path == "/log-newest":
            return self._newest(query)
        return build_response(404, {})

    def _append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return build_response(403, {})
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "as_of" in query and int(query["as_of"]) != end:
            return _json(412, {"end": end})
        position = 0
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            topic.append(body[position : position + size])
            position += size
        return _json(200, {"offset": end, "end": len(topic.records)})

    async def _read(self, query):
        topic, start = self.topic(query["topic"]), int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if wait_s and start >= len(topic.records):
            try:
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            except TimeoutError:
                pass
        records = topic.records[start:]
        framed = b"".join(LENGTH.pack(len(record)) + record for record in records)
        body = ENDS.pack(len(topic.records), 0) + framed
        return build_response(200, {"Content-Type": "application/octet-stream"}, body)

    def _newest(self, query):
        topic, after = self.topic(query["topic"]), query.get("after", "")
        found = sorted(item for item in topic.newest.items() if item[0] > after)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in found[:PAGE_ITEMS]
        ]
        page = {"items": items, "has_more": len(found) > PAGE_ITEMS}
        return _json(200, {**page, "end": len(topic.records)})


def _json(status, value):
    headers = {"Content-Type": "application/json"}
    return build_response(status, headers, json.dumps(value).encode())
