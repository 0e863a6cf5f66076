"""Messages between the entry node of a request and the owner of a group.

The entry node asks the owner for an upstream, sends the request there itself,
and reports how the attempt ended. The messages travel as datagrams. Each is
repeated until it is answered, so every receiver handles a duplicate like the
first copy.
"""

import dataclasses
import enum

from comfreyusher.messages._outcome import WorkClass

UNKNOWN_LIMIT = -1.0


class Verdict(str, enum.Enum):
    """How an attempt ended.

    UNREACHED attempts were never sent. Of those that may have been, CRASHED ones
    failed before a response started, BROKEN ones after that.
    """

    GOOD = "good"
    FAULT = "fault"
    BROKEN = "broken"
    CRASHED = "crashed"
    LATE = "late"
    SHED = "shed"
    DRAINING = "draining"
    MISDIRECTED = "misdirected"
    UNREACHED = "unreached"
    CANCELLED = "cancelled"


NOT_RUN_VERDICTS = frozenset(
    (Verdict.SHED, Verdict.DRAINING, Verdict.MISDIRECTED, Verdict.UNREACHED)
)


class DenialReason(str, enum.Enum):
    """Why an owner grants no upstream."""

    NO_UPSTREAM = "no upstream is left to try"
    TOO_LATE = "the queue is too long for the deadline"
    OVER_BUDGET = "the budget of retries is spent"
    QUARANTINED = "this request crashed upstreams and is quarantined"
    NOT_OWNER = "this node does not serve the group"
    LEAVING = "the owner of the group is leaving"
    TOO_RISKY = "every free upstream would probably fail the request"
    HEDGE_OVER_SHARE = "the share of hedges is spent"
    HEDGE_NO_ROOM = "the upstreams are short of room for hedges"
    HEDGE_NOT_ALLOWED = "this owner may not hedge this request"


HEDGE_DENIALS = frozenset(
    (
        DenialReason.HEDGE_OVER_SHARE,
        DenialReason.HEDGE_NO_ROOM,
        DenialReason.HEDGE_NOT_ALLOWED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identity of an attempt: entry node, request number there, attempt number."""

    node: str
    number: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """How many requests of an entry node are in flight on an upstream."""

    upstream: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Ask the owner of a group for an upstream.

    ``route_key`` identifies the route. Times are relative, so that clocks of VMs
    need not agree. ``target_ms`` is the time within which a response has its full
    value. ``owner_rank`` is 0 when the entry node asks the first owner of the
    group, ``prior_sends`` counts earlier attempts that may have arrived at an
    upstream, and ``last_attempt`` tells that no other attempt may follow.
    ``excluded_upstreams`` must not be granted, ``avoided_upstreams`` should not.
    With ``no_wait`` only an upstream with a free slot is wanted, and only one
    whose estimated probability to fail the request is at most ``max_risk``.
    ``other_loads`` are the requests that the entry node has in flight on upstreams
    of the group by grants of other owners. ``client_account`` is the name of the
    caller's client account, or empty; the rank in ``priority`` includes its priority.
    ``connected_upstreams`` are upstreams that the entry node has idle connections to.
    A ``hedge`` is for a request that another upstream is still running.
    """

    node: str
    number: int
    attempt: int
    group: str
    route_key: str
    work_class: WorkClass
    owner_rank: int
    idempotent: bool
    large: bool
    priority: int
    remaining_ms: int
    target_ms: int
    prior_sends: int
    last_attempt: bool
    no_wait: bool
    data_centre: str
    request_id: str
    fingerprint: str
    excluded_upstreams: tuple[str, ...] = ()
    avoided_upstreams: tuple[str, ...] = ()
    trace_parent: str = ""
    max_risk: float = 1.0
    other_loads: tuple[UpstreamLoad, ...] = ()
    client_account: str = ""
    connected_upstreams: tuple[str, ...] = ()
    hedge: bool = False

    @property
    def key(self):
        """Return the attempt's identity."""
        return AttemptKey(self.node, self.number, self.attempt)


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedAck:
    """Acknowledge that the owner queues the attempt until an upstream is free."""

    key: AttemptKey


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Grant an upstream to an attempt.

    ``risk`` is the owner's estimate of the probability that the upstream fails
    the request, ``typical_ms`` the usual time of such requests, 0 if it is not
    known. ``started_ms`` is the Unix time of the upstream's start. ``limit_per_s`` is
    the limit of requests per second that the upstream names, 0 if it names none, and
    ``UNKNOWN_LIMIT`` if the owner has not seen a response of it yet. The request is
    worth a hedge after ``hedge_after_ms``; 0 leaves that to the entry node.
    """

    key: AttemptKey
    upstream: str
    host: str
    port: int
    risk: float
    queued_ms: int
    typical_ms: int
    started_ms: int = 0
    limit_per_s: float = 0.0
    hedge_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Deny an upstream to an attempt, which has not run.

    A denied hedge is not requested again before ``retry_after_ms``.
    """

    key: AttemptKey
    reason: DenialReason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReport:
    """Report how an attempt ended; ``took_ms`` counts from its dispatch.

    ``started_ms`` is the Unix time of the upstream's start, ``limit_per_s`` the limit
    of requests per second that its response names, or 0. A ``leaving`` upstream wants
    no new requests at all, and one with ``retry_after_ms`` none from this node for so
    long.
    """

    key: AttemptKey
    group: str
    upstream: str
    verdict: Verdict
    took_ms: int
    fingerprint: str = ""
    started_ms: int = 0
    limit_per_s: float = 0.0
    leaving: bool = False
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAck:
    """Acknowledge that the owner has received a report."""

    key: AttemptKey
