"""Decoding of what an upstream says of itself in the head of a response."""

import dataclasses
import re

NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
REQUEST_ID_NAME = b"x-request-id"
SEAL_NAME = b"x-response-seal"
NOT_EXECUTED_NAME = b"x-not-executed"
LIMIT_NAME = b"server-limit"
LEAVING_NAME = b"server-leaving"
RETRY_AFTER_NAME = b"retry-after"
KNOWN_NAMES = frozenset(
    (
        REQUEST_ID_NAME,
        SEAL_NAME,
        NOT_EXECUTED_NAME,
        LIMIT_NAME,
        LEAVING_NAME,
        RETRY_AFTER_NAME,
    )
)
REFUSING_STATUSES = frozenset((400, 421, 429, 503))
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# An upstream that takes nothing is asked now and then whether that still holds.
MIN_LIMIT_PER_S = 0.1
MAX_RETRY_AFTER_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHeaders:
    """What the head of a response says of the response and of its upstream.

    ``not_run`` guarantees that the upstream did not run the request.
    ``misdirected`` tells that another upstream uses the address now; nothing else
    is then known of the upstream. A successful response that is not ``sealed`` is
    incomplete. ``limit_per_s`` is how many requests per second the upstream takes
    from the whole fleet, 0 if it names no limit. A ``leaving`` upstream wants no new
    requests. ``retry_after_s`` is for how many seconds it wants none from this node,
    or 0. ``unreadable`` holds the names of headers whose value is ignored.
    """

    request_id: str = ""
    sealed: bool = False
    not_run: bool = False
    misdirected: bool = False
    limit_per_s: float = 0.0
    leaving: bool = False
    retry_after_s: float = 0.0
    unreadable: tuple = ()


def parse_upstream_headers(head):
    """Return the ``UpstreamHeaders`` of a response head."""
    values = _collect_values(head)
    not_executed = NOT_EXECUTED_NAME in values
    misdirected = head.status == MISDIRECTED_STATUS
    headers = UpstreamHeaders(
        request_id=_decode_request_id(values),
        sealed=SEAL_NAME in values,
        not_run=misdirected or (not_executed and head.status in REFUSING_STATUSES),
        misdirected=misdirected,
    )
    return headers if misdirected else _add_statements(headers, values, head.status)


def _collect_values(head):
    """Return the values of the known headers, a list for each name."""
    values = {}
    for name, value in head.headers:
        lower = name.lower()
        if lower in KNOWN_NAMES:
            values.setdefault(lower, []).append(value.strip())
    return values


def _decode_request_id(values):
    found = values.get(REQUEST_ID_NAME)
    return found[-1].decode("latin-1") if found else ""


def _add_statements(headers, values, status):
    """Return the headers with what the upstream says of itself."""
    limit_per_s = _decode_number(values.get(LIMIT_NAME))
    leaving = _decode_flag(values.get(LEAVING_NAME))
    retry_after_s = 0.0
    if status == UNAVAILABLE_STATUS:
        retry_after_s = _decode_number(values.get(RETRY_AFTER_NAME))
    decoded = (
        (LIMIT_NAME, limit_per_s),
        (LEAVING_NAME, leaving),
        (RETRY_AFTER_NAME, retry_after_s),
    )
    unreadable = tuple(name.decode() for name, value in decoded if value is None)
    if limit_per_s is not None and LIMIT_NAME in values:
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    return dataclasses.replace(
        headers,
        limit_per_s=limit_per_s or 0.0,
        leaving=bool(leaving),
        retry_after_s=min(MAX_RETRY_AFTER_S, retry_after_s or 0.0),
        unreadable=unreadable,
    )


def _decode_number(found):
    """Return the number in the values of a header, 0 for none.

    ``None`` means that there are several values, or one that cannot be read.
    """
    if found is None:
        return 0.0
    if len(found) != 1 or not NUMBER_PATTERN.fullmatch(found[0]):
        return None
    return float(found[0])


def _decode_flag(found):
    """Return whether a header is set; ``None`` if its value cannot be read."""
    if found is None or found == [b"0"]:
        return False
    return True if set(found) == {b"1"} else None
