"""A server whose caller and consumer a test plays, with pipelined requests."""

import collections
import unittest

from comfreyusher.flow import Accepted, Received
from comfreyusher.http import ResponseParser
from comfreyusher.http._parse import BodyData, ParsedHead
from comfreyusher.messages import (
    CallerDisconnected,
    RequestStart,
    ResponseCredit,
    ResponseHead,
    ResponseStart,
)
from tests.test_unread_responses import FakeServer

CLOSE = b"Connection: close\r\n"


def encode(target, method="GET", headers=b"", body=b"", version=b"1.1"):
    """Return the bytes of a request."""
    if body:
        headers += b"Content-Length: %d\r\n" % len(body)
    line = b"%b /%d HTTP/%b\r\nHost: a\r\n" % (method.encode(), target, version)
    return line + headers + b"\r\n" + body


class PipelineServer(FakeServer):
    """Keeps what is written, and what is in progress, by connection."""

    def __init__(self, **limits):
        super().__init__(**limits)
        self.output = collections.defaultdict(bytes)
        self.finishing = set()
        self.started = collections.defaultdict(list)
        self.streamed = collections.Counter()
        self.cancelled = []

    def write(self, number, data):
        """Keep the bytes of a connection that is not closing."""
        if number not in self.finishing | self.ended:
            self.output[number] += data
            super().write(number, data)

    def close(self, number):
        """End a connection once its caller has read everything."""
        self.finishing.add(number)
        super().close(number)

    def close_lingering(self, number):
        """Write nothing more."""
        self.finishing.add(number)

    def read_all(self, number):
        """Let the caller read all that waits for it."""
        if number in self.finishing and number in self.states:
            self.unsent[number] = 0
            self.abort(number)
        elif number in self.states:
            super().read_all(number)

    def send_message(self, channel, body):
        """Check each message to the consumer against what is in progress."""
        if isinstance(body, RequestStart):
            number = self.number_by_exchange[body.exchange]
            assert number not in self.finishing | self.ended
            assert CLOSE not in self.output[number]
            self.started[number].append(body)
        elif isinstance(body, ResponseCredit):
            number = self.number_by_exchange[body.exchange]
            assert body.exchange == self.open_requests(number)[0].exchange
            self.streamed[body.exchange] -= body.size_bytes
            assert self.streamed[body.exchange] >= 0
        elif isinstance(body, CallerDisconnected):
            self.cancelled.append(body.exchange)

    def open_requests(self, number):
        """Return the requests in progress on a connection, in order."""
        in_progress = self.number_by_exchange
        return [r for r in self.started[number] if r.exchange in in_progress]

    def respond(self, message):
        """Handle a message of the consumer."""
        body = getattr(message, "body", b"")
        if not getattr(message, "ended", False):
            self.streamed[message.exchange] += len(body)
        self.message_handlers[type(message)](message)

    def answer(self, request, **kwargs):
        """Send a complete response that names its request."""
        target = request.head.target.encode()
        head = ResponseHead(200, ((b"Target", target),))
        self.respond(
            ResponseStart(request.exchange, head, target + b"\n", True, **kwargs)
        )

    def targets(self, number):
        """Return the targets of the requests that are in progress."""
        return [request.head.target for request in self.open_requests(number)]

    def read_responses(self, number):
        """Return the targets that the complete responses name, in order."""
        found, lines = [], iter(self.output[number].splitlines(keepends=True))
        for request in self.started[number]:
            parser, events = ResponseParser(), []
            parser.expect_response(request.head.method)
            while not parser.ended and (line := next(lines, None)):
                events += parser.feed(line)
            heads = [e.head for e in events if isinstance(e, ParsedHead)]
            if not parser.ended:
                return found
            target = dict(heads[-1].headers)[b"Target"]
            body = b"".join(e.data for e in events if isinstance(e, BodyData))
            assert not body.replace(target, b"").strip()
            found.append(target.decode())
        return found


class PipeliningCase(unittest.TestCase):
    """One server and some connections."""

    def setUp(self):
        self.start()

    def start(self, **limits):
        """Start a server that runs eight requests of a connection side by side."""
        self.server = PipelineServer(**{"max_concurrent_requests": 8, **limits})

    def send(self, data, number=1):
        """Send bytes on a connection, which is opened first if it is not there."""
        if number not in self.server.states:
            self.server.on_accepted(Accepted(number, "10.0.0.1"))
        self.server.on_received(Received(number, data))

    def requests(self, number=1):
        """Return the requests in progress on a connection, in order."""
        return self.server.open_requests(number)
