"""State of a node's entry. Times are monotonic seconds if not said otherwise."""

import dataclasses

import immutables

from comfreyusher.entry._keys import Key
from comfreyusher.membership import Ownership
from comfreyusher.messages import AnswerHead, RequestStart, WorkKey
from comfreyusher.routing import Match, RoutingTable
from comfreyusher.telemetry import TraceContext

REOFFER_TOKENS_MAX = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupPlace:
    """A group of upstreams: its name and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class Visit:
    """One request on its entry node.

    ``origin`` is set for requests that another node handed over. ``held``
    keeps body bytes until the request is offered. ``answers`` waits until the
    account entry is copied.
    """

    exchange: int
    request: RequestStart
    request_id: str
    trace: TraceContext
    began_s: float
    began_ms: int
    trace_before: TraceContext | None = None
    origin: WorkKey | None = None
    customer: str = ""
    match: Match | None = None
    key: Key | None = None
    claim: str = ""
    fingerprint: str = ""
    deadline_s: float = 0.0
    work: WorkKey | None = None
    owner: str = ""
    group: str = ""
    tried_owners: frozenset = frozenset()
    tried_groups: frozenset = frozenset()
    held: tuple = ()
    body_ended: bool = False
    body_moved: bool = False
    accounted: bool = False
    copied: bool = False
    answers: tuple = ()
    started: bool = False
    answer_head: AnswerHead | None = None
    kept: tuple = ()
    caller_gone: bool = False


@dataclasses.dataclass(frozen=True)
class EntryState:
    """What the filters of a request's pipe know.

    ``groups`` maps services to their ``GroupPlace`` tuples. ``live`` holds the
    node ids of live nodes. ``quarantine`` maps fingerprints to their end.
    ``claims`` maps claim names to ``Claim``.
    """

    node: str
    region: str
    sampling_ratio: float = 0.0
    table: RoutingTable = RoutingTable()
    ready: bool = False
    draining: bool = False
    groups: immutables.Map = immutables.Map()
    live: frozenset = frozenset()
    ownership: Ownership = Ownership()
    quarantine: immutables.Map = immutables.Map()
    claims: immutables.Map = immutables.Map()
    works: int = 0
    reoffer_tokens: float = REOFFER_TOKENS_MAX
    spill_tokens: float = 0.0
    spill_s: float = 0.0
    now_s: float = 0.0
    now_ms: int = 0


def new_entry_state(node, region, sampling_ratio):
    """Return the state of an entry that knows no configuration yet."""
    return EntryState(node, region, sampling_ratio)
