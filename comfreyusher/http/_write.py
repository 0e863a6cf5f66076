"""Writing of heads and body chunks.

Header values come from a strict parser or from this program, so they hold no
line breaks.
"""

import http

from comfreyusher.messages import ResponseHead

HOP_BY_HOP = frozenset(
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
FRAMING = frozenset((b"content-length",))
UNNAMEABLE = frozenset((b"content-length", b"host"))
LAST_CHUNK = b"0\r\n\r\n"


def end_to_end(headers):
    """Drop hop-by-hop headers and those that ``Connection`` names."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    named -= UNNAMEABLE
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    )


def write_chunk(data, chunked):
    """Return body bytes in the framing of the message."""
    if not chunked:
        return data
    return b"%x\r\n%b\r\n" % (len(data), data)


def write_request_head(head, chunked, length, close=False):
    """Return the bytes of a request head.

    ``length`` sets ``Content-Length`` when the body is complete.
    """
    lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target.encode())]
    for name, value in end_to_end(head.headers):
        if length is not None and name.lower() in FRAMING:
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


def write_answer_head(head, chunked=False, close=False, length=None):
    """Return the bytes of an answer head."""
    reason = head.reason or _phrase(head.status)
    lines = [b"HTTP/1.1 %d %b" % (head.status, reason.encode("latin-1"))]
    for name, value in end_to_end(head.headers):
        lines.append(b"%b: %b" % (name, value))
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def plain_answer(status, text, headers=()):
    """Return the head and body of a plain text answer."""
    body = f"{text}\n".encode()
    fixed = (
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (b"Content-Length", b"%d" % len(body)),
    )
    return ResponseHead(status, fixed + tuple(headers)), body


def _phrase(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
