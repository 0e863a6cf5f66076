"""Clients of a node: requests on new or kept connections."""

import asyncio
import itertools
import secrets

from review.second import http1
from review.second.deployment import HOST

NUMBERS = itertools.count(1)
RUN = secrets.token_hex(4)
# Outcomes of a request that got no status.
CLOSED = "closed without an answer"
TIMED_OUT = "the client's deadline passed"


def new_id():
    """Return an id for one client attempt."""
    return f"{RUN}{next(NUMBERS):08x}"


def build_route(host, prefix, kind, service, timeout):
    """Return the operator's settings of a route."""
    return {
        "hostname": host,
        "path_prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "target_latency": "1200ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def build_request(method, host, target, request_id, deadline_ms, body=b"", headers=()):
    """Return the bytes of a client's request."""
    fields = [
        ("Host", host),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(deadline_ms)),
        *headers,
    ]
    if body or method in ("POST", "PUT"):
        fields.append(("Content-Length", str(len(body))))
    return http1.encode(f"{method} {target} HTTP/1.1", fields, body)


async def open_streams(port):
    """Return the streams of a new connection to a node."""
    return await asyncio.open_connection(HOST, port)


class Connection:
    """A client's connection to a node, kept from one request to the next."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port):
        """Return a new connection, or ``None`` if the node accepts none."""
        try:
            return cls(*await asyncio.open_connection(HOST, port))
        except OSError:
            return None

    async def fetch(self, request, deadline_s):
        """Send a request, and return its response or ``None``."""
        try:
            return await asyncio.wait_for(self._exchange(request), deadline_s)
        except (TimeoutError, OSError):
            return None

    async def fetch_status(self, request, deadline_s):
        """Send a request, and return the status of a complete response, or why none."""
        try:
            response = await asyncio.wait_for(self._exchange(request), deadline_s)
        except TimeoutError:
            return TIMED_OUT
        except OSError:
            return CLOSED
        if response is None or not response.complete:
            return CLOSED
        return response.status

    async def _exchange(self, request):
        self.writer.write(request)
        await self.writer.drain()
        return await read_response(self.reader)

    def close(self):
        """Close the connection."""
        self.writer.close()


async def fetch(record, port, request, request_id, deadline_s):
    """Send one request on a new connection, and return the response or ``None``."""
    record.write(f"sent id={request_id}")
    connection = await Connection.open(port)
    if connection is None:
        record.write(f"answer id={request_id} none: the connection was refused")
        return None
    response = await connection.fetch(request, deadline_s)
    connection.close()
    if response is None:
        record.write(f"answer id={request_id} none")
        return None
    record.write(
        f"answer id={request_id} status={response.status} "
        f"complete={response.complete} bytes={len(response.body)} "
        f"seal={response.headers.get('x-response-seal')} "
        f"text={response.body[:80]!r}"
    )
    return response


async def read_response(reader):
    """Return the next final response, or ``None`` if the connection ends before it."""
    while True:
        response = await http1.read_head(reader)
        if response is None:
            return None
        if response.status >= 200:
            return await http1.read_body(reader, response, is_response=True)
