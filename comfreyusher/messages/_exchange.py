"""Messages between the HTTP tasks and the tasks that use them.

The HTTP server uses ``Request...`` and ``Response...``, the HTTP client
``ClientRequest...`` and ``ClientResponse...``. ``exchange`` is the number that
a server task gave to a request, or the key that a client task's user chose.
``ended`` tells that no more bytes of the body follow.

The ``...Credit`` messages are flow control: they return consumed body bytes to
the sender, which stops reading from its socket when too many are outstanding.
"""

import dataclasses
import math
from typing import Any

from comfreyusher.messages._heads import RequestHead, ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStart:
    """A request arrived at a server task, with the first bytes of its body.

    ``crowded`` tells that many others are still being received, so that it should
    take no room at an upstream before its body is here.
    """

    exchange: int
    host: str
    head: RequestHead
    body: bytes = b""
    ended: bool = False
    crowded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBody:
    """More bytes of a request body."""

    exchange: int
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBodyTimedOut:
    """No bytes of an unfinished request body came for too long.

    The user of the server task answers the request, since only it knows whether the
    request may have run.
    """

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCredit:
    """Flow-control credit: the user of a server task consumed request bytes.

    ``buffered`` tells that the user still holds all that it has got of the body.
    """

    exchange: int
    size_bytes: int
    buffered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHeld:
    """The user of a server task holds a complete response that it cannot send yet."""

    exchange: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller's connection closed before its response ended."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStart:
    """Start a response to a caller, with the first bytes of its body.

    ``close_connection`` closes the caller's connection behind the response.
    """

    exchange: int
    head: ResponseHead
    body: bytes = b""
    ended: bool = False
    close_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseBody:
    """More bytes of a response body."""

    exchange: int
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InterimResponse:
    """An informational (1xx) response to a caller."""

    exchange: int
    head: ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseAbort:
    """Abort a started response whose rest is lost.

    The caller's connection is aborted, so that the caller does not
    take the response for complete.
    """

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerMemory:
    """What a server task holds for callers, and how many of them it had to close."""

    held_bytes: int = 0
    unfinished: int = 0
    closed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseCredit:
    """Flow-control credit: the caller's socket took response body bytes."""

    exchange: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequestStart:
    """Send a request to a server, with the first bytes of its body.

    Only a connection that was idle for less than ``max_idle_s`` may be used
    again. A response with an id other than ``response_id`` belongs to an earlier
    request and is skipped; an empty ``response_id`` accepts any response. With a
    ``connect_timeout_s`` of 0 the client task's own timeout applies.
    """

    exchange: Any
    host: str
    port: int
    head: RequestHead
    body: bytes = b""
    ended: bool = True
    max_idle_s: float = math.inf
    response_id: str = ""
    connect_timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequestBody:
    """More bytes of a request body to send."""

    exchange: Any
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequestCancel:
    """Cancel a request and close its connection."""

    exchange: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequestCredit:
    """Flow-control credit: the server's socket took request body bytes."""

    exchange: Any
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequestFailed:
    """A request failed: no complete response will come.

    ``sent`` is true once any byte of the request may have left this machine,
    ``response_started`` once the head of a response has arrived.
    """

    exchange: Any
    sent: bool
    response_started: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClientResponseStart:
    """A response arrived from a server, with the first bytes of its body."""

    exchange: Any
    head: ResponseHead
    body: bytes = b""
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClientResponseBody:
    """More bytes of a server's response body."""

    exchange: Any
    body: bytes
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClientInterimResponse:
    """An informational (1xx) response from a server."""

    exchange: Any
    head: ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class ClientResponseCredit:
    """Flow-control credit: the user of a client task consumed response bytes."""

    exchange: Any
    size_bytes: int
