"""Calls of the store that are sent, or wait for their response."""

import dataclasses

from comfreyusher.flow import replace
from comfreyusher.platform._calls import Append, ReadRecords, Topic
from comfreyusher.platform._errors import DecodeError
from comfreyusher.platform._wire import build_read_target

CALL_TIMEOUT_S = 1.5
MAX_RESPONSE_BYTES = 8 << 20
# 33,000 routes and 48,000 client accounts have 19 MB, or 25 MB in base64.
MAX_CONFIGURATION_BYTES = 32 << 20
MAX_READ_BYTES = 32 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class CallKey:
    """The exchange of a call; ``number`` makes it unique."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a call sends to the store.

    The store may hold its response back for ``wait_ms``. ``pages`` holds the earlier
    pages of a ``ReadNewest``, which had ``pages_bytes``.
    """

    request: object
    method: str
    target: str
    wait_ms: int = 0
    body: bytes = b""
    pages: tuple = ()
    pages_bytes: int = 0


class PendingCall:
    """A call that was sent, and the part of its response received so far.

    The call times out at ``due_s``. A response should have started by
    ``silent_due_s``. ``may_reuse`` tells whether the call may have been sent on a
    connection that was idle before. ``era`` is the newest one when the call was sent,
    and then the one that its response names.
    """

    def __init__(self, call, now, silence_timeout_s, may_reuse, era):
        wait_s = call.wait_ms / 1000
        self.call = call
        self.may_reuse = may_reuse
        self.era = era
        self.sent_s = now
        self.due_s = now + CALL_TIMEOUT_S + wait_s
        self.silent_due_s = now + silence_timeout_s + wait_s
        self.status = 0
        self.size_bytes = 0
        self.chunks = []

    @property
    def request(self):
        """The message that asked for the call."""
        return self.call.request

    @property
    def is_unanswered_read(self):
        """Whether it is a read whose response has not started."""
        return not self.status and not isinstance(self.request, Append)


def check_further_page(call, page, pages_bytes):
    """Raise ``DecodeError`` if the pages of a read lead back or grow too large."""
    if call.pages and page.after_key == call.pages[-1].after_key:
        raise DecodeError("a page of the store leads to itself")
    if pages_bytes > MAX_READ_BYTES:
        raise DecodeError(f"pages over {MAX_READ_BYTES} bytes")


def without_wait(call):
    """Return a read that the store responds to at once."""
    if not isinstance(call.request, ReadRecords):
        return call
    target = build_read_target(replace(call.request, wait_ms=0))
    return replace(call, target=target, wait_ms=0)


def max_response_bytes(request):
    """Return the size limit of the response to a call, by its topic."""
    if request.topic is Topic.CONFIGURATION:
        return MAX_CONFIGURATION_BYTES
    return MAX_RESPONSE_BYTES
