"""Fingerprints, which equal requests share, to find those that crash upstreams."""

import xxhash

from comfreyusher.messages import find_header

BODY_PREFIX_BYTES = 16384
SEPARATOR = "."


def compute_fingerprint(request):
    """Return the fingerprint of what has arrived of a request.

    It covers the head and the first ``BODY_PREFIX_BYTES`` of the body. The pieces in
    which a body arrives, and how it is framed, make no difference.
    """
    return f"{digest_head(request)}{SEPARATOR}{_digest_body(request)}"


def update_fingerprint(request):
    """Return the fingerprint of a request of which more of the body has arrived.

    The head is not digested again: a body can arrive byte by byte.
    """
    head = request.fingerprint.partition(SEPARATOR)[0]
    return f"{head}{SEPARATOR}{_digest_body(request)}"


def _digest_body(request):
    body = b"".join(request.body_parts)[:BODY_PREFIX_BYTES]
    return xxhash.xxh3_64_hexdigest(body)


def digest_head(request):
    """Return the digest of the customer, the method, the host and the target."""
    head = request.start.head
    digest = xxhash.xxh3_64()
    for part in (request.customer, head.method, parse_host(head), head.target):
        digest.update(part.encode() + b"\0")
    return digest.hexdigest()


def is_complete(request):
    """Tell whether no further part of the body can change the fingerprint."""
    return request.body_ended or request.buffered_bytes >= BODY_PREFIX_BYTES


def is_quarantined(state, request):
    """Tell whether the request is refused, since it crashed upstreams."""
    return state.quarantined.get(request.fingerprint, 0.0) > state.now_s


def may_be_quarantined(state, request):
    """Tell whether the rest of the body may show that the request is quarantined."""
    if is_complete(request) or not state.quarantined:
        return False
    head = request.fingerprint.partition(SEPARATOR)[0]
    return any(key.partition(SEPARATOR)[0] == head for key in state.quarantined)


def parse_host(head):
    """Return the host name of a request, without its port."""
    return (find_header(head, b"host") or "").partition(":")[0].lower()
