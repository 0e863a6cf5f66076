"""Parsing of callers' headers, and building of requests and responses."""

import dataclasses
import re

from comfreyusher.messages import (
    PackedHeaders,
    RequestHead,
    pack_headers,
    replace_headers,
)

REQUEST_ID_HEADER = b"X-Request-Id"
DEADLINE_HEADER = b"X-Deadline-Ms"
EXPECT_INSTANCE_HEADER = b"X-Expect-Instance"
ADDED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID_HEADER, DEADLINE_HEADER, EXPECT_INSTANCE_HEADER)
)
ACCOUNT_HEADER = b"X-Tenant-Id"
ACCOUNT_NAME = ACCOUNT_HEADER.lower()
OWN_NAMES = ADDED_HEADERS | {ACCOUNT_NAME}
AUTHORIZATION_NAME = b"authorization"
CONNECTION_NAME = b"connection"
# The whole value is one key. A value in which a list of credentials names the scheme
# further on is no key, but is not sent to upstreams either.
KEY_PATTERN = re.compile(rb"\s*token(?:\s+(.*?))?\s*", re.IGNORECASE | re.DOTALL)
KEY_SCHEME_PATTERN = re.compile(rb"(?:^|,)\s*token(?:\s|,|$)", re.IGNORECASE)
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


def find_account_keys(head):
    """Return the different keys of client accounts that a request head carries.

    A request carries one at most; with several it cannot be told whose it is.
    """
    keys = []
    for name, value in head.headers:
        if name.lower() == AUTHORIZATION_NAME:
            match = KEY_PATTERN.fullmatch(value)
            key = match[1] if match is not None else None
            if key and key not in keys:
                keys.append(key)
    return tuple(key.decode("utf-8", "surrogateescape") for key in keys)


def build_upstream_head(head, upstream, remaining_ms, request_id, account=None):
    """Return the request head to send to an upstream.

    The head names the upstream, so that another upstream that uses the same address
    by now refuses the request. The remaining time to send is at least 1 ms.
    ``account`` is the name of the client account, empty for none, or ``None`` without
    client accounts in the configuration: then the caller's headers pass unchanged.
    """
    added = (
        (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        (DEADLINE_HEADER, b"%d" % max(1, remaining_ms)),
        (EXPECT_INSTANCE_HEADER, upstream.encode("latin-1")),
    )
    headers = head.headers
    if account is not None:
        headers = _remove_account_headers(headers)
    if account:
        added += ((ACCOUNT_HEADER, account.encode()),)
    headers = replace_headers(headers, ADDED_HEADERS, added)
    return RequestHead(head.method, head.target, headers, head.version)


def _remove_account_headers(headers):
    """Return the headers without keys, and without what the caller says of accounts.

    Some servers take ``_`` in a name for ``-``, so such names are removed as well. A
    caller's ``Connection`` must not mark the fleet's own headers for removal. Packed
    headers stay packed.
    """
    kept = []
    for name, value in headers:
        lower = name.lower()
        if lower.replace(b"_", b"-") == ACCOUNT_NAME:
            continue
        if lower == AUTHORIZATION_NAME and KEY_SCHEME_PATTERN.search(value):
            continue
        if lower == CONNECTION_NAME:
            value = _remove_own_names(value)
        kept.append((name, value))
    if isinstance(headers, PackedHeaders):
        return PackedHeaders(pack_headers(kept))
    return tuple(kept)


def _remove_own_names(value):
    parts = (
        part for part in value.split(b",") if part.strip().lower() not in OWN_NAMES
    )
    return b",".join(parts)


def build_request_id_headers(request_id):
    """Return the headers for a response that the fleet itself generates."""
    return ((REQUEST_ID_HEADER, request_id.encode("latin-1")),) if request_id else ()
