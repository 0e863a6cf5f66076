"""State of a caller's connection, and the limits of connections."""

import collections
import dataclasses
import sys

from comfreyusher.http._memory_budget import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    Holding,
)
from comfreyusher.http._parse import BodyData, ParsedHead, RequestParser

EVENT_BYTES = 128
# A buffered body is held by the entry task, and a copy on its way to an upstream.
BODY_COPIES = 2
# Fewer bytes than these are no progress of a body or of a response.
MIN_PROGRESS_BYTES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on what callers may send.

    ``head_timeout_s`` bounds the time to receive a whole request head,
    ``body_timeout_s`` the time without any bytes of an unfinished body. Reading
    pauses while more than ``max_pending_events`` parsed events wait, or while
    ``window_bytes`` of a body are not consumed, or of responses not read by the
    caller. With ``abort_on_half_close`` a
    caller that closes its sending side while it waits is treated as disconnected;
    otherwise it can still read its response. ``max_held_bytes`` bounds the memory
    held for all callers, ``max_unfinished_requests`` the requests being received,
    ``max_connections`` all connections. ``max_concurrent_requests`` bounds the
    requests of one connection that run side by side, ``max_waiting_requests`` those
    of all connections beyond the first of each.
    """

    max_head_bytes: int = 32768
    max_body_bytes: int = 1 << 40
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    window_bytes: int = 262144
    max_pending_events: int = 64
    abort_on_half_close: bool = False
    max_held_bytes: int = sys.maxsize
    max_unfinished_requests: int = sys.maxsize
    max_connections: int = sys.maxsize
    max_concurrent_requests: int = 1
    max_waiting_requests: int = 256


class ServerConnection:
    """State of one caller's connection.

    ``exchange`` is the number of the request in progress, or 0; ``receiving`` tells
    that its body is not complete. ``waiting`` are the requests behind it that run
    beside it, ``waiting_bytes`` the memory of those and of their responses;
    ``close_expected`` tells that one of them ends the connection, ``advancing`` that
    held responses are being written. A ``closing`` connection only sends what is
    written. ``unparsed`` are bytes that are parsed once few
    events are pending. ``pending_events`` are parsed events that are not
    delivered yet, ``pending_bytes`` the memory of the bodies and heads among them.
    ``head_bytes`` is the memory of the head of the request in progress,
    ``unconsumed_bytes`` are request bytes that the consumer has not consumed yet,
    ``buffered_bytes`` those that it keeps in a buffer, ``held_response_bytes`` a
    response that it cannot send yet, ``credit_due_bytes``
    written response bytes for which the consumer has no credit yet.
    ``unsent_seen_bytes`` are the response bytes that the caller had not read at the
    last sweep. ``progress_bytes`` are those received since ``last_progress_s``.
    """

    def __init__(self, host, limits, now):
        self.host = host
        self.parser = RequestParser(limits.max_head_bytes, limits.max_body_bytes)
        self.unparsed = b""
        self.pending_events = collections.deque()
        self.pending_bytes = 0
        self.waiting = collections.deque()
        self.waiting_bytes = 0
        self.close_expected = False
        self.advancing = False
        self.closing = False
        self.exchange = 0
        self.request_head = None
        self.head_bytes = 0
        self.receiving = False
        self.unconsumed_bytes = 0
        self.buffered_bytes = 0
        self.held_response_bytes = 0
        self.paused = False
        self.response_started = False
        self.chunked = False
        self.close_after_response = False
        self.credit_due_bytes = 0
        self.unsent_seen_bytes = 0
        self.eof_received = False
        self.parse_error = None
        self.last_activity_s = now
        self.last_progress_s = now
        self.progress_bytes = 0
        self.head_started_s = None

    @property
    def unfinished(self):
        """Whether a request is being received."""
        return (
            self.receiving or self.head_started_s is not None or not self.parser.in_head
        )

    def begin_exchange(self, exchange, parsed_head, now):
        """Make a request the one in progress, whose response is written next."""
        self.exchange = exchange
        self.request_head = parsed_head.head
        self.head_bytes = parsed_head.memory_bytes
        self.buffered_bytes = 0
        self.held_response_bytes = 0
        self.last_progress_s = now
        self.response_started = False
        self.close_after_response = not parsed_head.keep_alive

    def discard_requests(self):
        """Drop requests that have not been passed on, and read no more of them."""
        self.closing = True
        self.pending_events.clear()
        self.pending_bytes = 0
        self.unparsed = b""
        self.parse_error = None
        self.head_started_s = None
        self.parser.reset_message()

    def count_progress(self, size_bytes, now):
        """Record bytes received, or sent to a caller that reads them."""
        self.progress_bytes += size_bytes
        if self.progress_bytes >= MIN_PROGRESS_BYTES:
            self.last_progress_s = now
            self.progress_bytes = 0

    def count_held_bytes(self, unsent_bytes):
        """Return the memory held for this connection in all tasks."""
        held_bytes = (
            CONNECTION_BYTES
            + unsent_bytes
            + self.unconsumed_bytes
            + self.pending_bytes
            + len(self.unparsed)
            + self.waiting_bytes
        )
        if self.pending_events:
            held_bytes += EVENT_BYTES * len(self.pending_events)
        if self.unfinished:
            held_bytes += self.parser.held_bytes
        if self.exchange:
            held_bytes += REQUEST_BYTES + self.head_bytes + self.held_response_bytes
            held_bytes += BODY_COPIES * self.buffered_bytes
        return held_bytes

    def build_holding(self, number, held_bytes, slow_reader, now):
        """Return the holding by which the memory budget chooses connections.

        A ``slow_reader`` has left a whole window of responses unread. The upstream of
        its response is not at work: flow control makes it wait for the caller. A body
        whose reading is paused does not wait for its caller.
        """
        passed_on = bool(self.exchange) and not self.receiving
        held_up = self.receiving and self.paused
        return Holding(
            number,
            held_bytes,
            0.0 if held_up else now - self.last_progress_s,
            self.unfinished,
            passed_on and not (self.response_started and slow_reader),
        )


def count_event_bytes(events):
    """Return the memory of the bodies and heads in parsed events."""
    size_bytes = 0
    for event in events:
        if isinstance(event, ParsedHead):
            size_bytes += event.memory_bytes
        elif isinstance(event, BodyData):
            size_bytes += len(event.data)
    return size_bytes
