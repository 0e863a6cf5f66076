"""Strict parsing of requests and replies with llhttp's binding.

llhttp refuses bare LF, obsolete folding, control bytes, two lengths, repeated
or signed ``Content-Length`` and unknown transfer codings. This module adds the
limits and the checks that llhttp leaves to its user.
"""

import dataclasses
import enum

import httptools

from comfreyusher.http._errors import HttpError
from comfreyusher.messages import RequestHead, ResponseHead

METHODS_WITHOUT_REPLY_BODY = ("HEAD",)
STATUSES_WITHOUT_BODY = (204, 304)
MAX_FRUITLESS_BYTES = 1 << 18


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """A complete head; ``keep_alive`` is the sender's wish."""

    head: object
    keep_alive: bool
    expects_continue: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Body bytes with transfer coding removed."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The message is complete."""


class Origin(enum.Enum):
    """Whether a reply belongs to the request that was sent last.

    UNKNOWN replies name no request, and the connection carried several.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


class RequestParser:
    """Collects the events of a caller's connection, pipelined ones too."""

    def __init__(self, max_head_bytes, max_body_bytes):
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.events = []
        self.start_message()

    def start_message(self):
        """Reset what is known of the current message."""
        self.url = b""
        self.headers = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.in_head = True
        self.started = False

    def feed(self, data):
        """Return the events found in ``data``.

        Raises ``HttpError`` for a request that must be refused. Events before
        the fault are kept in ``self.events``.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(501, "this method or upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            raise _cause_of(error) from error
        except httptools.HttpParserError as error:
            raise HttpError(400, f"malformed request: {error}") from error
        if self.in_head and self.started:
            self.head_bytes += len(data)
        if self.in_head and self.head_bytes > self.max_head_bytes:
            raise HttpError(431, f"head is over {self.max_head_bytes} bytes")
        return self.take()

    def take(self):
        """Return and forget the events so far."""
        events, self.events = self.events, []
        return events

    # Callbacks of httptools ----------------------------------------------

    def on_message_begin(self):
        self.start_message()
        self.started = True

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        if self.in_head:
            self.headers.append((name, value))

    def on_headers_complete(self):
        self.in_head = False
        size = sum(len(name) + len(value) for name, value in self.headers)
        if size + len(self.url) > self.max_head_bytes:
            raise HttpError(431, f"head is over {self.max_head_bytes} bytes")
        self.events.append(self._build_head())

    def on_body(self, data):
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise HttpError(413, f"body is over {self.max_body_bytes} bytes")
        self.events.append(Body(data))

    def on_message_complete(self):
        self.start_message()
        self.events.append(End())

    def _build_head(self):
        version = self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise HttpError(505, f"HTTP version {version} is not supported")
        found = {}
        for name, value in self.headers:
            found.setdefault(name.lower(), []).append(value)
        _check_host(found, version)
        self._check_length(found, version)
        _check_target(self.url)
        expects = _check_expect(found, version)
        head = RequestHead(
            self.parser.get_method().decode("ascii"),
            self.url.decode("ascii"),
            tuple(self.headers),
            version,
        )
        return Head(head, self.parser.should_keep_alive(), expects)

    def _check_length(self, found, version):
        codings = found.get(b"transfer-encoding", [])
        if not codings:
            lengths = found.get(b"content-length", [b"0"])
            if int(lengths[0]) > self.max_body_bytes:
                raise HttpError(413, f"body is over {self.max_body_bytes} bytes")
            return
        if version == "1.0":
            raise HttpError(400, "Transfer-Encoding is not part of HTTP/1.0")
        if len(codings) != 1 or codings[0].strip().lower() != b"chunked":
            raise HttpError(501, "the only known transfer coding is chunked")


class ReplyParser:
    """Parses the replies of one upstream connection, one request at a time.

    ``dirty`` is set once bytes followed a complete reply: they belong to no
    request, and the connection must not be used again. ``fruitless_bytes`` came
    since the reply last made progress.
    """

    def __init__(self):
        self.events = []
        self.expect_reply("GET")

    def expect_reply(self, method, origin_of=None):
        """Prepare for the reply to a request with this method.

        ``origin_of`` tells the ``Origin`` of a final reply from its head. Replies
        to other requests are passed over, unknown ones are a fault.
        """
        self.parser = httptools.HttpResponseParser(self)
        self.origin_of = origin_of
        self.skipping = False
        self.dirty = False
        self.without_body = method in METHODS_WITHOUT_REPLY_BODY
        self.headers = []
        self.reason = b""
        self.in_head = True
        self.ended = False
        self.until_close = False
        self.fruitless_bytes = 0

    def feed(self, data):
        """Return the events found; raise ``HttpError`` for a malformed reply."""
        if self.ended:
            raise HttpError(502, "bytes after the end of a reply")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(502, "the reply switches protocols") from error
        except httptools.HttpParserCallbackError as error:
            raise _cause_of(error) from error
        except httptools.HttpParserError as error:
            if not self.ended:
                raise HttpError(502, f"malformed reply: {error}") from error
            self.dirty = True
        events = self._take()
        self._limit_fruitless(data, events)
        return events

    def _limit_fruitless(self, data, events):
        """Refuse heads, interim and foreign replies, and trailers without an end."""
        if self.ended or (events and not self.in_head):
            self.fruitless_bytes = 0
            return
        self.fruitless_bytes += len(data)
        if self.fruitless_bytes > MAX_FRUITLESS_BYTES:
            raise HttpError(502, f"no part of a reply in {MAX_FRUITLESS_BYTES} bytes")

    def feed_end(self):
        """Return the last events when the server closed its side."""
        if self.until_close and not self.in_head and not self.ended:
            self.ended = True
            return [End()]
        return []

    def _take(self):
        events, self.events = self.events, []
        return events

    # Callbacks of httptools ----------------------------------------------

    def on_message_begin(self):
        if self.ended:
            self.dirty = True

    def on_status(self, reason):
        if self.in_head:
            self.reason += reason

    def on_header(self, name, value):
        if self.in_head:
            self.headers.append((name, value))

    def on_headers_complete(self):
        if self.ended:
            return
        status = self.parser.get_status_code()
        head = ResponseHead(status, tuple(self.headers), self.reason.decode("latin-1"))
        if status >= 200 and self._belongs_to_another(head):
            self.skipping = True
            return
        keep_alive = self.parser.should_keep_alive()
        self.events.append(Head(head, keep_alive))
        if 100 <= status < 200:
            return
        self.in_head = False
        if self.without_body or status in STATUSES_WITHOUT_BODY:
            self.ended = True
            self.events.append(End())
            return
        names = {name.lower() for name, _ in self.headers}
        framed = names & {b"content-length", b"transfer-encoding"}
        self.until_close = not framed

    def _belongs_to_another(self, head):
        origin = self.origin_of(head) if self.origin_of else Origin.OWN
        if origin is Origin.UNKNOWN:
            raise HttpError(502, "the reply names no request on a used connection")
        return origin is Origin.OTHER

    def on_body(self, data):
        if not self.ended and not self.skipping:
            self.events.append(Body(data))

    def on_message_complete(self):
        if self.in_head:
            self.headers = []
            self.reason = b""
            self.skipping = False
            return
        if not self.ended:
            self.ended = True
            self.events.append(End())


def _cause_of(error):
    cause = error.__context__
    if isinstance(cause, HttpError):
        return cause
    return HttpError(400, "malformed message")


def _check_host(found, version):
    hosts = found.get(b"host", [])
    if len(hosts) > 1:
        raise HttpError(400, "more than one Host header")
    if not hosts and version == "1.1":
        raise HttpError(400, "Host header is missing")


def _check_target(url):
    if any(byte <= 0x20 or byte >= 0x7F for byte in url):
        raise HttpError(400, "request target holds a character that must be encoded")
    if not url.startswith((b"/", b"http://", b"https://")) and url != b"*":
        raise HttpError(400, "request target is not a path")


def _check_expect(found, version):
    expectations = found.get(b"expect", [])
    if not expectations or version == "1.0":
        return False
    if [value.strip().lower() for value in expectations] != [b"100-continue"]:
        raise HttpError(417, "the only known expectation is 100-continue")
    return True
