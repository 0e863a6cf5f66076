"""Messages that the telemetry task receives."""

import dataclasses

from comfreyusher.telemetry._trace import TraceContext


@dataclasses.dataclass(frozen=True, slots=True)
class SpanEnded:
    """A span has ended; times are monotonic seconds of this node.

    ``attributes`` is a tuple of name and value pairs.
    """

    name: str
    context: TraceContext
    parent: TraceContext | None
    start_s: float
    end_s: float
    attributes: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMeasured:
    """A request has ended on its entry node."""

    service: str
    outcome: str
    status: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An owner has received the report of an attempt."""

    upstream: str
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDenied:
    """An owner has denied a grant request."""

    group: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SharingRefused:
    """An owner that shares a group fairly refused attempts for their expected wait."""

    group: str
    cause: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadersUnreadable:
    """A response had headers whose value is ignored; ``names`` are their names."""

    upstream: str
    names: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class KeysRefused:
    """Requests were rejected for want of a key, or with an unknown one.

    The ``undecided`` ones may be allowed by a newer configuration.
    """

    missing: int
    unknown: int
    undecided: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRepublished:
    """Records were written again that a restored store may have lost."""

    topic: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class BucketLevel:
    """Tokens in the bucket of a client account that this node holds."""

    account: str
    level: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensMeasured:
    """Tokens of client accounts in a second: pairs of decision and number.

    ``levels`` holds the buckets that lent most.
    """

    counts: tuple
    levels: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeCounted:
    """A hedge was granted, denied for a reason, or won against the first attempt."""

    group: str
    result: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEjected:
    """An owner has ejected an upstream."""

    group: str
    upstream: str
    reason: str
