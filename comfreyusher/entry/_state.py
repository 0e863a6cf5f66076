"""State of the entry task.

Times are monotonic seconds unless stated otherwise. Running seconds are monotonic
seconds without the time in which the process was paused.
"""

import dataclasses
import enum
import math

import immutables

from comfreyusher.declarations import ClientAccount
from comfreyusher.membership import Ownership
from comfreyusher.messages import GrantRequest, RequestStart, ResponseHead
from comfreyusher.platform import UpstreamHeaders
from comfreyusher.routing import Match, RoutingTable
from comfreyusher.telemetry import TraceContext

# Time in which a response gets from an upstream to the caller before a node ends.
SHUTDOWN_MARGIN_S = 0.1


class AttemptPhase(str, enum.Enum):
    """Phase of an attempt."""

    REQUESTED = "requested"
    QUEUED = "queued"
    SENT = "sent"
    ENDED = "ended"


class KeyFault(str, enum.Enum):
    """Why a request has no client account.

    UNDECIDED: a newer configuration, which this node does not use yet, may allow it.
    """

    NONE = ""
    MISSING = "missing"
    UNKNOWN = "unknown"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """A group of upstreams: its name and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantConditions:
    """Conditions of an attempt for the upstream that it is granted.

    With ``no_wait`` the upstream must have a free slot. Its estimated probability
    to fail the request must be at most ``max_risk``. A ``hedge`` is one beside an
    attempt that is still running.
    """

    no_wait: bool = False
    max_risk: float = 1.0
    hedge: bool = False


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt to get a response to a request from an upstream.

    ``unanswered_requests`` counts the grant requests since the owner last
    acknowledged this attempt. ``last_contact_s`` is when the last of them was sent
    or acknowledged, in running seconds. ``tried_owners`` are the owners of the
    group that were asked in turn, this one included. ``typical_s`` is the typical
    time of such requests, 0 if it is not known, ``started_ms`` the Unix time of the
    upstream's start. ``hedge_after_s`` is the age at which a hedge is worth it, 0 if
    the owner did not tell it, ``hedge_pause_s`` the pause after a hedge that its owner
    did not allow. ``head`` and ``body_parts`` hold the response so far, and ``said``
    what its head says of itself and of the upstream.
    """

    grant_request: GrantRequest
    owner: str
    region: str
    last_contact_s: float
    unanswered_requests: int = 1
    tried_owners: tuple = ()
    phase: AttemptPhase = AttemptPhase.REQUESTED
    upstream: str = ""
    sent_s: float = 0.0
    typical_s: float = 0.0
    started_ms: int = 0
    head: ResponseHead | None = None
    said: UpstreamHeaders = UpstreamHeaders()
    body_parts: tuple = ()
    size_bytes: int = 0
    hedge_after_s: float = 0.0
    hedge_pause_s: float = 0.0

    @property
    def key(self):
        """Return the attempt's identity."""
        return self.grant_request.key

    @property
    def tentative(self):
        """Tell whether it only looks for a safer upstream in another region."""
        return self.grant_request.no_wait and self.grant_request.max_risk < 1.0


@dataclasses.dataclass(frozen=True)
class ActiveRequest:
    """A request in progress on its entry node.

    ``arrived_ms`` is in milliseconds of the wall clock. ``body_parts`` buffers the
    body until it is too large. Then ``body_released`` is set, and the request can
    be sent only once. ``sends`` counts attempts that may have arrived at an
    upstream, and ``may_have_run`` tells whether one of them may have run.
    ``streaming_attempt`` is the number of the attempt whose response is being
    streamed to the caller, or 0. ``failed_responses`` holds at most one complete
    error response of an upstream, ``held_responses`` at most one response that
    waits for the replication of the account entry. ``replication_finished`` is set
    even if no node acknowledged the replica in time. ``held_for_body`` tells that
    the request waits for the part of its body that the fingerprint covers,
    ``held_for_token`` that it waits for a token of its client account's rate, and
    ``has_token`` that it has got one. ``key_fault`` tells why it was rejected for want
    of a known key.
    """

    exchange: int
    start: RequestStart
    request_id: str
    trace: TraceContext
    arrived_s: float
    arrived_ms: int
    parent_trace: TraceContext | None = None
    customer: str = ""
    match: Match | None = None
    fingerprint: str = ""
    deadline_s: float = 0.0
    target_s: float = 0.0
    body_parts: tuple = ()
    buffered_bytes: int = 0
    body_ended: bool = False
    body_released: bool = False
    attempts: tuple = ()
    tried_upstreams: tuple = ()
    spilled: bool = False
    sends: int = 0
    may_have_run: bool = False
    failed_responses: tuple = ()
    streaming_attempt: int = 0
    accounted: bool = False
    replication_finished: bool = False
    held_responses: tuple = ()
    held_for_body: bool = False
    client_account: ClientAccount | None = None
    held_for_token: bool = False
    key_fault: KeyFault = KeyFault.NONE
    has_token: bool = False


@dataclasses.dataclass(frozen=True)
class EntryState:
    """State that the decisions on all requests share.

    ``groups`` maps services to tuples of ``UpstreamGroup``. ``silent_owners`` maps
    nodes that did not respond, and ``avoided_upstreams`` upstreams that this node
    could not reach, to the time when that entry expires. ``departed`` holds
    upstreams that this node knows to be leaving or gone. ``ends_s`` is when the
    requests in flight are ended for a shutdown. ``keys_required`` tells
    whether callers must send a customer's key. ``last_received_s`` maps owners to
    the running seconds of their last message of any kind,
    ``unacknowledged_attempts`` to the number of attempts that they have not
    acknowledged at all. ``granted`` maps groups to the attempts that are in flight,
    counted by owner and upstream. ``quarantined`` maps fingerprints of refused
    requests to the end of their quarantine, ``statements`` upstreams to the
    ``UpstreamStatement`` of their last responses to this node. ``idle_connections``
    maps groups to pairs of an upstream with an idle connection and the time since when,
    if this node ``reuses_connections`` by telling owners of them. ``running_s`` is
    ``now_s`` without the time in which this process was paused.
    ``newest_version`` is that of the newest configuration that this node has read, and
    ``newer_exists`` tells that other nodes have a newer one.
    """

    node: str
    region: str
    data_centre: str
    keys_required: bool = True
    sampling_ratio: float = 0.0
    table: RoutingTable = RoutingTable()
    ready: bool = False
    draining: bool = False
    groups: immutables.Map = immutables.Map()
    ownership: Ownership = Ownership()
    silent_owners: immutables.Map = immutables.Map()
    last_received_s: immutables.Map = immutables.Map()
    unacknowledged_attempts: immutables.Map = immutables.Map()
    granted: immutables.Map = immutables.Map()
    avoided_upstreams: immutables.Map = immutables.Map()
    departed: immutables.Map = immutables.Map()
    ends_s: float = math.inf
    quarantined: immutables.Map = immutables.Map()
    statements: immutables.Map = immutables.Map()
    reuses_connections: bool = False
    idle_connections: immutables.Map = immutables.Map()
    spill_tokens: float = 0.0
    spill_refilled_s: float = 0.0
    now_s: float = 0.0
    running_s: float = 0.0
    newest_version: int = 0
    newer_exists: bool = False

    @property
    def is_outdated(self):
        """Whether a newer configuration exists than the one in force here."""
        return self.newer_exists or self.newest_version > self.table.version

    @property
    def last_response_s(self):
        """When an upstream must have responded, so that this node can still answer."""
        return self.ends_s - SHUTDOWN_MARGIN_S


class PendingReport:
    """A report that its owner has not acknowledged yet.

    ``last_sent_s`` is in running seconds.
    """

    def __init__(self, owner, report, running_s):
        self.owner = owner
        self.report = report
        self.last_sent_s = running_s
        self.send_count = 1


def new_entry_state(own, keys_required, sampling_ratio, reuses_connections=False):
    """Return the state of an entry task without a configuration."""
    return EntryState(
        own.node,
        own.region,
        own.data_centre,
        keys_required,
        sampling_ratio,
        reuses_connections=reuses_connections,
    )
