"""Parsing and building of the platform's headers."""

import dataclasses
import re

from comfreyusher.messages import RequestHead, find_header

REQUEST_ID_HEADER = b"X-Request-Id"
DEADLINE_HEADER = b"X-Deadline-Ms"
EXPECT_INSTANCE_HEADER = b"X-Expect-Instance"
RESPONSE_SEAL_HEADER = b"x-response-seal"
NOT_EXECUTED_HEADER = b"x-not-executed"
LIMIT_HEADER = b"server-limit"
LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
ADDED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID_HEADER, DEADLINE_HEADER, EXPECT_INSTANCE_HEADER)
)
REFUSING_STATUSES = frozenset((400, 421, 429, 503))
MISDIRECTED_STATUS = 421
MAX_DEADLINE_DIGITS = 9
# An upstream that takes nothing is asked now and then whether that still holds.
MIN_LIMIT_PER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The headers of a caller's request.

    ``deadline_ms`` is how long the caller waits, in milliseconds, or ``None``.
    ``fault`` describes an invalid header, or is empty.
    """

    request_id: str = ""
    deadline_ms: int | None = None
    fault: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHeaders:
    """The headers of an upstream's response.

    ``not_run`` guarantees that the upstream did not run the request.
    ``misdirected`` tells that another upstream uses the address now. A successful
    response that is not ``sealed`` is incomplete.
    """

    request_id: str = ""
    sealed: bool = False
    not_run: bool = False
    misdirected: bool = False


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
    kept = tuple(pair for pair in head.headers if pair[0].lower() not in ADDED_HEADERS)
    added = (
        (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        (DEADLINE_HEADER, b"%d" % max(1, remaining_ms)),
        (EXPECT_INSTANCE_HEADER, upstream.encode("latin-1")),
    )
    return RequestHead(head.method, head.target, kept + added, head.version)


def parse_upstream_headers(head):
    """Return the ``UpstreamHeaders`` of a response head."""
    request_id, sealed, not_executed = "", False, False
    for name, value in head.headers:
        lower = name.lower()
        if lower == b"x-request-id":
            request_id = value.decode("latin-1").strip()
        elif lower == RESPONSE_SEAL_HEADER:
            sealed = True
        elif lower == NOT_EXECUTED_HEADER:
            not_executed = True
    misdirected = head.status == MISDIRECTED_STATUS
    not_run = misdirected or (not_executed and head.status in REFUSING_STATUSES)
    return UpstreamHeaders(request_id, sealed, not_run, misdirected)


def parse_limit(head):
    """Return the requests per second that an upstream takes from the whole fleet.

    0 means that its response names no limit, or none that can be read.
    """
    text = find_header(head, LIMIT_HEADER)
    if text is None or not LIMIT_PATTERN.fullmatch(text):
        return 0.0
    return max(MIN_LIMIT_PER_S, float(text))


def build_request_id_headers(request_id):
    """Return the headers for a response that the fleet itself generates."""
    return ((REQUEST_ID_HEADER, request_id.encode("latin-1")),) if request_id else ()
