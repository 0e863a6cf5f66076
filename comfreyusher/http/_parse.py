"""Strict parsing of requests and responses with httptools, a binding of llhttp.

llhttp rejects bare LF, obsolete folding, control bytes, two lengths, repeated
or signed ``Content-Length`` and unknown transfer codings. This module adds the
limits and the checks that llhttp leaves to its user.
"""

import dataclasses
import enum

import httptools

from comfreyusher.http._errors import HttpError
from comfreyusher.http._request_checks import check_headers, check_target
from comfreyusher.messages import (
    PackedHeaders,
    RequestHead,
    ResponseHead,
    pack_headers,
)

METHODS_WITHOUT_RESPONSE_BODY = ("HEAD",)
STATUSES_WITHOUT_BODY = (204, 304)
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
MAX_NO_PROGRESS_BYTES = 1 << 18
# Heads of more lines are kept as bytes; ordinary ones have fewer.
MAX_PARSED_LINES = 64
# Memory of a header pair in addition to its bytes, and of a head without its lines.
HEADER_PAIR_BYTES = 160
HEAD_BYTES = 1024
# Colon and line end, which each header line has in addition to name and value.
LINE_FRAMING_BYTES = 3
# Some callers send an empty line behind a body. More of them count as a head.
MAX_IGNORED_EMPTY_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedHead:
    """A complete head; ``keep_alive`` tells whether the sender keeps the connection.

    ``memory_bytes`` is the memory that the head takes.
    """

    head: object
    keep_alive: bool
    expects_continue: bool = False
    memory_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BodyData:
    """Body bytes with the transfer coding removed."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EndOfMessage:
    """The message is complete."""


class MatchedRequest(enum.Enum):
    """The request that a response belongs to.

    ``CURRENT`` is the request that was sent last. ``UNKNOWN`` responses carry no
    request id on a connection that has carried several requests.
    """

    CURRENT = "current"
    OTHER = "other"
    UNKNOWN = "unknown"


class RequestParser:
    """Parses the requests of a caller's connection, including pipelined ones.

    ``no_progress_bytes`` counts the bytes received since the last event,
    ``head_bytes`` those of an unfinished head and of empty lines before it. The
    lines of long heads are moved from ``headers`` to ``packed_lines``.
    """

    def __init__(self, max_head_bytes, max_body_bytes):
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.parser = httptools.HttpRequestParser(self)
        self.events = []
        self.body_parts = []
        self.no_progress_bytes = 0
        self.message_ended = False
        self.reset_message()

    def reset_message(self):
        """Reset the state of the current message."""
        self.url = b""
        self.headers = []
        self.packed_lines = b""
        self.header_bytes = 0
        self.head_bytes = 0
        self.body_bytes = 0
        self.in_head = True
        self.message_started = False

    def feed(self, data):
        """Parse ``data`` and return its events.

        Raises ``HttpError`` for a request that must be rejected. Events before
        the error stay in ``self.events``.
        """
        self.message_ended = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(501, "this method or upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            raise _original_error(error) from error
        except httptools.HttpParserError as error:
            raise HttpError(400, f"malformed request: {error}") from error
        if self.in_head:
            self._check_unfinished_head(data)
        self._check_progress(data)
        return self.take_events()

    def _check_unfinished_head(self, data):
        """Count the bytes of a head without its end, and pack its lines.

        Of data that also holds the end of another message, only the lines that were
        read count.
        """
        if not self.message_ended:
            self.head_bytes += len(data)
        elif self.message_started:
            self.head_bytes = len(self.url) + self.header_bytes + 1
        if self.head_bytes > self.max_head_bytes:
            raise HttpError(431, f"head is over {self.max_head_bytes} bytes")
        if len(self.headers) > MAX_PARSED_LINES:
            self._pack_headers()

    def _pack_headers(self):
        self.packed_lines += pack_headers(self.headers)
        self.headers = []

    @property
    def head_started(self):
        """Whether a head, or more empty lines than are ignored, has begun."""
        if not self.in_head:
            return False
        return self.message_started or self.head_bytes > MAX_IGNORED_EMPTY_BYTES

    @property
    def held_bytes(self):
        """Memory that an unfinished head, trailer or chunk extension takes."""
        if not self.in_head:
            return self.no_progress_bytes
        return self.head_bytes + HEADER_PAIR_BYTES * len(self.headers)

    def _check_progress(self, data):
        """Limit trailers and chunk extensions, which are not part of the body."""
        if self.events or self.body_parts:
            self.no_progress_bytes = 0
            return
        self.no_progress_bytes += len(data)
        if self.no_progress_bytes > MAX_NO_PROGRESS_BYTES:
            raise HttpError(400, f"no body in {MAX_NO_PROGRESS_BYTES} bytes")

    def close(self):
        """Release what an unfinished message takes; nothing is parsed afterwards.

        llhttp's binding and this object refer to each other, so that they would
        stay until the next full collection of the garbage collector.
        """
        self.parser = None
        self.reset_message()

    def take_events(self):
        """Return and clear the collected events."""
        self._end_body_part()
        events, self.events = self.events, []
        return events

    # Callbacks of httptools ----------------------------------------------

    def on_message_begin(self):
        self.reset_message()
        self.message_started = True

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        if self.in_head:
            self.headers.append((name, value))
            self.header_bytes += len(name) + len(value) + LINE_FRAMING_BYTES

    def on_headers_complete(self):
        self.in_head = False
        if self.header_bytes + len(self.url) > self.max_head_bytes:
            raise HttpError(431, f"head is over {self.max_head_bytes} bytes")
        self.events.append(self._build_head())

    def on_body(self, data):
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise HttpError(413, f"body is over {self.max_body_bytes} bytes")
        self.body_parts.append(data)

    def _end_body_part(self):
        """Join what was read of a body: small chunks take many times their bytes."""
        if self.body_parts:
            self.events.append(BodyData(b"".join(self.body_parts)))
            self.body_parts = []

    def on_message_complete(self):
        self._end_body_part()
        self.reset_message()
        self.message_ended = True
        self.events.append(EndOfMessage())

    def _build_head(self):
        version = self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise HttpError(505, f"HTTP version {version} is not supported")
        if self.packed_lines or len(self.headers) > MAX_PARSED_LINES:
            self._pack_headers()
            headers = PackedHeaders(self.packed_lines)
            memory_bytes = HEAD_BYTES + len(self.packed_lines)
        else:
            headers = tuple(self.headers)
            memory_bytes = HEAD_BYTES + HEADER_PAIR_BYTES * len(headers)
            memory_bytes += self.header_bytes
        check_target(self.url)
        expects_continue = check_headers(headers, version, self.max_body_bytes)
        head = RequestHead(
            self.parser.get_method().decode("ascii"),
            self.url.decode("ascii"),
            headers,
            version,
        )
        memory_bytes += len(self.url)
        keep_alive = self.parser.should_keep_alive()
        return ParsedHead(head, keep_alive, expects_continue, memory_bytes)


class ResponseParser:
    """Parses the responses of one upstream connection, one request at a time.

    ``has_extra_bytes`` is set once bytes follow a complete response: they belong
    to no request, and the connection must not be used again.
    ``no_progress_bytes`` counts the bytes received since the response last made
    progress.
    """

    def __init__(self):
        self.events = []
        self.expect_response("GET")

    def expect_response(self, method, match_response=None):
        """Prepare for the response to a request with this method.

        ``match_response`` returns the ``MatchedRequest`` of a final response from
        its head. Responses to other requests are skipped, ``UNKNOWN`` ones are
        an error.
        """
        self.parser = httptools.HttpResponseParser(self)
        self.match_response = match_response
        self.skipping = False
        self.has_extra_bytes = False
        self.without_body = method in METHODS_WITHOUT_RESPONSE_BODY
        self.headers = []
        self.reason = b""
        self.in_head = True
        self.ended = False
        self.close_delimited = False
        self.no_progress_bytes = 0

    def feed(self, data):
        """Parse ``data`` and return its events.

        Raises ``HttpError`` for a malformed response.
        """
        if self.ended:
            raise HttpError(502, "bytes after the end of a reply")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(502, "the reply switches protocols") from error
        except httptools.HttpParserCallbackError as error:
            raise _original_error(error) from error
        except httptools.HttpParserError as error:
            if not self.ended:
                raise HttpError(502, f"malformed reply: {error}") from error
            self.has_extra_bytes = True
        events = self._take_events()
        self._check_progress(data, events)
        return events

    def _check_progress(self, data, events):
        """Limit heads, trailers, interim responses and responses to other requests.

        Each of these could go on without an end.
        """
        if self.ended or (events and not self.in_head):
            self.no_progress_bytes = 0
            return
        self.no_progress_bytes += len(data)
        if self.no_progress_bytes > MAX_NO_PROGRESS_BYTES:
            raise HttpError(502, f"no part of a reply in {MAX_NO_PROGRESS_BYTES} bytes")

    def feed_eof(self):
        """Return the last events after the server closed its sending side."""
        if self.close_delimited and not self.in_head and not self.ended:
            self.ended = True
            return [EndOfMessage()]
        return []

    def _take_events(self):
        events, self.events = self.events, []
        return events

    # Callbacks of httptools ----------------------------------------------

    def on_message_begin(self):
        if self.ended:
            self.has_extra_bytes = True

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
        if status not in INTERIM_STATUSES and status not in FINAL_STATUSES:
            raise HttpError(502, f"status {status:03d} is no status of HTTP")
        head = ResponseHead(status, tuple(self.headers), self.reason.decode("latin-1"))
        if status in FINAL_STATUSES and self._is_for_other_request(head):
            self.skipping = True
            return
        keep_alive = self.parser.should_keep_alive()
        self.events.append(ParsedHead(head, keep_alive))
        if status in INTERIM_STATUSES:
            return
        self.in_head = False
        if self.without_body or status in STATUSES_WITHOUT_BODY:
            self.ended = True
            self.events.append(EndOfMessage())
            return
        names = {name.lower() for name, _ in self.headers}
        framing = names & {b"content-length", b"transfer-encoding"}
        self.close_delimited = not framing

    def _is_for_other_request(self, head):
        matched_request = (
            self.match_response(head) if self.match_response else MatchedRequest.CURRENT
        )
        if matched_request is MatchedRequest.UNKNOWN:
            raise HttpError(502, "the reply names no request on a used connection")
        return matched_request is MatchedRequest.OTHER

    def on_body(self, data):
        if not self.ended and not self.skipping:
            self.events.append(BodyData(data))

    def on_message_complete(self):
        if self.in_head:
            self.headers = []
            self.reason = b""
            self.skipping = False
            return
        if not self.ended:
            self.ended = True
            self.events.append(EndOfMessage())


def _original_error(error):
    cause = error.__context__
    if isinstance(cause, HttpError):
        return cause
    return HttpError(400, "malformed message")
