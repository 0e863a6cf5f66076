"""State of a node's entry. Times are monotonic seconds if not said otherwise."""

import dataclasses
import enum

import immutables

from comfreyusher.membership import Ownership
from comfreyusher.messages import GrantRequest, RequestStart, ResponseHead
from comfreyusher.routing import Match, RoutingTable
from comfreyusher.telemetry import TraceContext


class Phase(str, enum.Enum):
    """Phase of an attempt."""

    ASKING = "asking"
    QUEUED = "queued"
    SENT = "sent"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupPlace:
    """A group of upstreams: its name and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What an attempt takes: only what is free now, and no higher risk."""

    spare: bool = False
    max_risk: float = 1.0


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt to get a request answered by an upstream.

    ``unheard`` counts asks without an answer to this attempt; ``told_s`` is
    when the last one was sent, in awake seconds. ``head`` and ``parts`` hold
    the reply so far.
    """

    ask: GrantRequest
    owner: str
    region: str
    told_s: float
    unheard: int = 1
    asked_owners: tuple = ()
    phase: Phase = Phase.ASKING
    upstream: str = ""
    sent_s: float = 0.0
    usual_s: float = 0.0
    head: ResponseHead | None = None
    parts: tuple = ()
    size_bytes: int = 0

    @property
    def key(self):
        """The attempt's identity."""
        return self.ask.key

    @property
    def tentative(self):
        """Whether it only looks for a safer upstream in another region."""
        return self.ask.no_wait and self.ask.max_risk < 1.0


@dataclasses.dataclass(frozen=True)
class Visit:
    """One request on its entry node.

    ``parts`` keeps body bytes until ``body_moved``: then they are too many to
    be kept, and the request can be sent only once. ``sends`` counts attempts
    that may have arrived at an upstream, ``ran`` tells that one may have run.
    ``streaming`` is the number of the attempt whose answer has begun to reach
    the caller. ``failure`` keeps an upstream's complete answer of failure.
    """

    exchange: int
    request: RequestStart
    request_id: str
    trace: TraceContext
    began_s: float
    began_ms: int
    trace_before: TraceContext | None = None
    customer: str = ""
    match: Match | None = None
    fingerprint: str = ""
    deadline_s: float = 0.0
    target_s: float = 0.0
    parts: tuple = ()
    kept_bytes: int = 0
    body_ended: bool = False
    body_moved: bool = False
    attempts: tuple = ()
    tried: tuple = ()
    spilled: bool = False
    sends: int = 0
    ran: bool = False
    failure: tuple = ()
    streaming: int = 0
    accounted: bool = False
    copied: bool = False
    answers: tuple = ()


@dataclasses.dataclass(frozen=True)
class EntryState:
    """What the filters of a request's pipe know.

    ``groups`` maps services to their ``GroupPlace`` tuples. ``silent_owners``
    maps nodes that did not answer, ``avoided`` upstreams that this node did
    not reach, to the end of that memory. ``departed`` holds upstreams that leave or
    are gone, by what this node has heard. ``keys_required`` tells whether
    callers must send a customer's key. ``heard`` maps owners to the awake
    seconds at which they last answered anything, ``asking`` to the number of
    attempts that wait for their first word. ``awake_s`` is ``now_s`` less the time
    in which this process could not run.
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
    heard: immutables.Map = immutables.Map()
    asking: immutables.Map = immutables.Map()
    avoided: immutables.Map = immutables.Map()
    departed: immutables.Map = immutables.Map()
    spill_tokens: float = 0.0
    spill_s: float = 0.0
    now_s: float = 0.0
    awake_s: float = 0.0


class Outgoing:
    """A report that its owner has not confirmed yet; times are awake seconds."""

    def __init__(self, owner, report, awake_s):
        self.owner = owner
        self.report = report
        self.told_s = awake_s
        self.tries = 1


def new_entry_state(own, keys_required, sampling_ratio):
    """Return the state of an entry that knows no configuration yet."""
    return EntryState(
        own.node, own.region, own.data_centre, keys_required, sampling_ratio
    )
