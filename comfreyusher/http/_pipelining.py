"""Which requests of a connection run side by side, and what waits for its turn.

The first request of a connection that has not been answered is at the front; its
response is written as it comes. Responses to requests behind it are held as messages.
This module knows neither sockets nor tasks.
"""

from comfreyusher.http._memory_budget import REQUEST_BYTES
from comfreyusher.http._parse import (
    HEAD_BYTES,
    HEADER_PAIR_BYTES,
    EndOfMessage,
    ParsedHead,
)

# Methods that HTTP defines as safe and that this program forwards.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
MESSAGE_BYTES = 128


class WaitingRequest:
    """A request behind the front, with the messages of its response so far.

    ``held_response_bytes`` is a response that the consumer cannot send yet, and
    ``held_bytes`` the memory of all this.
    """

    __slots__ = (
        "exchange",
        "held_bytes",
        "held_response_bytes",
        "messages",
        "parsed_head",
    )

    def __init__(self, exchange, parsed_head):
        self.exchange = exchange
        self.parsed_head = parsed_head
        self.messages = []
        self.held_response_bytes = 0
        self.held_bytes = REQUEST_BYTES + parsed_head.memory_bytes


class SharedSlots:
    """Bounds the requests behind the front of all connections of a node.

    A connection takes a further slot only while it has fewer than are free. The more
    connections want slots, the fewer each gets, and some stay free for others.
    """

    def __init__(self, count):
        self.count = count
        self.used = 0

    def may_take(self, own_count):
        """Tell whether a connection that has ``own_count`` slots may take one more."""
        return own_count < self.count - self.used


def may_run_beside(state, limits):
    """Tell whether the next pending request may run beside those in progress.

    Only requests with safe methods and without a body run side by side, so that the
    order of effects on one connection stays. None starts behind a request whose
    response is known to close the connection.
    """
    waiting, pending = state.waiting, state.pending_events
    if 1 + len(waiting) >= limits.max_concurrent_requests or len(pending) < 2:
        return False
    if state.receiving or state.close_after_response or state.close_expected:
        return False
    if state.request_head.method not in SAFE_METHODS:
        return False
    return (
        is_safe_and_complete(pending[0], pending[1])
        and state.waiting_bytes < limits.window_bytes
    )


def is_safe_and_complete(first, second):
    """Tell whether two events are a whole request with a safe method and no body."""
    return (
        isinstance(first, ParsedHead)
        and isinstance(second, EndOfMessage)
        and first.head.method in SAFE_METHODS
    )


def count_message_bytes(message):
    """Return the memory of a message of a response."""
    size_bytes = MESSAGE_BYTES + len(getattr(message, "body", b""))
    head = getattr(message, "head", None)
    if head is not None:
        size_bytes += HEAD_BYTES + HEADER_PAIR_BYTES * len(head.headers)
        size_bytes += sum(len(name) + len(value) for name, value in head.headers)
    return size_bytes
