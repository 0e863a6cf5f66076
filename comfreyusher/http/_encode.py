"""Encoding of heads and body chunks, and complete responses of this program.

Header values come from a strict parser or from this program, so they contain no
line breaks and are not checked again.
"""

import http

from comfreyusher.messages import ResponseHead, ResponseStart

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
FRAMING_HEADERS = frozenset((b"content-length",))
# Headers that ``Connection`` cannot mark as hop-by-hop.
PROTECTED_HEADERS = frozenset((b"content-length", b"host"))
LAST_CHUNK = b"0\r\n\r\n"


def strip_hop_by_hop(headers):
    """Remove hop-by-hop headers and those that ``Connection`` names."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    named -= PROTECTED_HEADERS
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in named
    )


def encode_chunk(data, chunked):
    """Return body bytes as one chunk if the message is ``chunked``, or unchanged."""
    if not chunked:
        return data
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_request_head(head, chunked, length, close=False):
    """Return the bytes of a request head.

    ``length`` is the size of a complete body in bytes, from which
    ``Content-Length`` is set, or ``None`` if more of the body follows.
    """
    lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target.encode())]
    for name, value in strip_hop_by_hop(head.headers):
        if length is not None and name.lower() in FRAMING_HEADERS:
            continue
        lines.append(b"%b: %b" % (name, value))
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif length:
        lines.append(b"Content-Length: %d" % length)
    elif length == 0 and head.method in ("POST", "PUT", "PATCH"):
        lines.append(b"Content-Length: 0")
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(head, chunked=False, close=False, length=None):
    """Return the bytes of a response head.

    ``length`` is the ``Content-Length`` to add, or ``None`` to add none.
    """
    reason = head.reason or _reason_phrase(head.status)
    lines = [b"HTTP/1.1 %d %b" % (head.status, reason.encode("latin-1"))]
    for name, value in strip_hop_by_hop(head.headers):
        lines.append(b"%b: %b" % (name, value))
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def build_text_response(status, text, headers=()):
    """Return the head and body of a plain text response."""
    body = f"{text}\n".encode()
    fixed = (
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (b"Content-Length", b"%d" % len(body)),
    )
    return ResponseHead(status, fixed + tuple(headers)), body


def respond_with_text(exchange, status, text, headers=()):
    """Return the message for a complete plain text response."""
    head, body = build_text_response(status, text, headers)
    return ResponseStart(exchange, head, body, ended=True)


def respond_with_bytes(exchange, status, body, content_type=b"application/json"):
    """Return the message for a complete response with a body of the given type."""
    headers = (
        (b"Content-Type", content_type),
        (b"Content-Length", b"%d" % len(body)),
    )
    return ResponseStart(exchange, ResponseHead(status, headers), body, ended=True)


def _reason_phrase(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
