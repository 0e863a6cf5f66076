"""Checks of a request head that llhttp leaves to its user."""

from comfreyusher.http._errors import HttpError

CHECKED_HEADERS = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"expect")
)


def check_headers(headers, version, max_body_bytes):
    """Check the headers on which framing and routing depend.

    Returns whether the caller expects ``100 Continue``. Raises ``HttpError`` for a
    head that must be rejected.
    """
    header_values = {}
    for name, value in headers:
        lower = name.lower()
        if lower in CHECKED_HEADERS:
            header_values.setdefault(lower, []).append(value)
    _check_host(header_values, version)
    _check_length(header_values, version, max_body_bytes)
    return _check_expect(header_values, version)


def check_target(url):
    """Raise ``HttpError`` for a request target that is no path or URL."""
    if any(byte <= 0x20 or byte >= 0x7F for byte in url):
        raise HttpError(400, "request target holds a character that must be encoded")
    if not url.startswith((b"/", b"http://", b"https://")) and url != b"*":
        raise HttpError(400, "request target is not a path")


def _check_host(header_values, version):
    hosts = header_values.get(b"host", [])
    if len(hosts) > 1:
        raise HttpError(400, "more than one Host header")
    if not hosts and version == "1.1":
        raise HttpError(400, "Host header is missing")


def _check_length(header_values, version, max_body_bytes):
    codings = header_values.get(b"transfer-encoding", [])
    if not codings:
        lengths = header_values.get(b"content-length", [b"0"])
        if int(lengths[0]) > max_body_bytes:
            raise HttpError(413, f"body is over {max_body_bytes} bytes")
        return
    if version == "1.0":
        raise HttpError(400, "Transfer-Encoding is not part of HTTP/1.0")
    if len(codings) != 1 or codings[0].strip().lower() != b"chunked":
        raise HttpError(501, "the only known transfer coding is chunked")


def _check_expect(header_values, version):
    expectations = header_values.get(b"expect", [])
    if not expectations or version == "1.0":
        return False
    if [value.strip().lower() for value in expectations] != [b"100-continue"]:
        raise HttpError(417, "the only known expectation is 100-continue")
    return True
