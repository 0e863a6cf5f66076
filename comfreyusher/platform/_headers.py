"""Parsing of callers' headers, and building of requests and responses."""

import dataclasses

from comfreyusher.messages import RequestHead, replace_headers

REQUEST_ID_HEADER = b"X-Request-Id"
DEADLINE_HEADER = b"X-Deadline-Ms"
EXPECT_INSTANCE_HEADER = b"X-Expect-Instance"
ADDED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID_HEADER, DEADLINE_HEADER, EXPECT_INSTANCE_HEADER)
)
MAX_DEADLINE_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The headers of a caller's request.

    ``deadline_ms`` is how long the caller waits, in milliseconds, or ``None``.
    ``fault`` describes an invalid header, or is empty.
    """

    request_id: str = ""
    deadline_ms: int | None = None
    fault: str = ""


def parse_caller_headers(head):
    """Return the ``CallerHeaders`` of a request head."""
    request_id, deadline_ms = "", None
    for name, value in head.headers:
        lower = name.lower()
        if lower == b"x-request-id":
            request_id = value.decode("latin-1").strip()
        elif lower == b"x-deadline-ms":
            text = value.decode("latin-1").strip()
            if not text.isdecimal() or len(text) > MAX_DEADLINE_DIGITS:
                fault = "X-Deadline-Ms must be a whole number of milliseconds"
                return CallerHeaders(request_id, fault=fault)
            deadline_ms = int(text)
    return CallerHeaders(request_id, deadline_ms)


def build_upstream_head(head, upstream, remaining_ms, request_id):
    """Return the request head to send to an upstream.

    The head names the upstream, so that another upstream that uses the same address
    by now refuses the request. The remaining time to send is at least 1 ms.
    """
    added = (
        (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        (DEADLINE_HEADER, b"%d" % max(1, remaining_ms)),
        (EXPECT_INSTANCE_HEADER, upstream.encode("latin-1")),
    )
    headers = replace_headers(head.headers, ADDED_HEADERS, added)
    return RequestHead(head.method, head.target, headers, head.version)


def build_request_id_headers(request_id):
    """Return the headers for a response that the fleet itself generates."""
    return ((REQUEST_ID_HEADER, request_id.encode("latin-1")),) if request_id else ()
