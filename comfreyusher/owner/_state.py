"""State of a group at its owner. Times are monotonic seconds."""

import dataclasses
import math

import immutables

from comfreyusher.declarations import Profile
from comfreyusher.flow import replace
from comfreyusher.health import (
    FailureEstimate,
    Health,
    Standing,
    new_failure_estimate,
    new_health,
    return_to_service,
)
from comfreyusher.messages import GrantRequest, WorkClass
from comfreyusher.owner._arrivals import Arrivals
from comfreyusher.owner._fair_queue import EMPTY_QUEUE, NOT_CHARGED, FairQueue
from comfreyusher.owner._retry_budget import new_retry_budget
from comfreyusher.owner._window import SlidingWindow

MAX_DURATIONS = 128
NEVER_S = -1e9
INITIAL_SLACK = 2
OUTCOMES_SPAN_S = 2.0
OUTCOMES_BUCKET_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """A registered upstream; it has its full capacity from ``warmup_until_s`` on."""

    name: str
    host: str
    port: int
    slots: int
    leaving: bool = False
    data_centre: str = ""
    warmup_until_s: float = 0.0
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Configuration and registered upstreams of a group.

    ``configured_slots`` are the slots that the floor is a share of.
    ``budget_slack`` is the group's part of the retry slack of its service. With
    ``fair_sharing`` the flows of a rank share the group when room is short. Hedges are
    at most ``hedge_share`` of the idempotent requests and ``hedge_burst`` beyond that;
    without a share only the retry budget limits them.
    """

    group: str
    profile: Profile
    configured_slots: int
    upstream_specs: tuple = ()
    budget_slack: int = 0
    fair_sharing: bool = False
    hedge_share: float | None = None
    hedge_burst: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A limit of requests per second that an upstream named last at ``named_s``.

    ``tokens`` is how many requests could be granted at ``refilled_s``.
    """

    per_s: float
    tokens: float
    refilled_s: float
    named_s: float


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream and its load.

    ``joined_later`` tells that it was registered while this node owned the group,
    ``unlisted`` that it is leaving only because its registration is gone.
    ``failures_in_row`` counts its failed responses and cut connections since its last
    success. ``failing_since_s`` is the time of its first failure since then,
    ``last_failure_s`` that of its last one, ``last_stall_s`` the time when a request
    on it last exceeded the stall threshold, ``last_shed_s`` when it last refused a
    request although it had free slots. ``shed_limit`` limits
    the requests in flight; it is lowered when the upstream sheds and recovers with
    time. ``duration_ratio`` is the moving average of the durations of its requests
    divided by the typical duration of their routes. ``unreached_by`` maps entry
    nodes to the time when they last reported that they cannot reach it.
    ``rate_limit`` is the limit that it names, ``limit_known`` tells whether any
    response has told this owner. ``refused_until_s`` maps entry nodes to the time
    before which it wants no requests from them, ``held_until_s`` is that time for all
    nodes, and ``last_refusal_s`` when it last named one.
    """

    name: str
    host: str
    port: int
    slots: int
    data_centre: str
    started_ms: int
    warmup_until_s: float
    health: Health
    failure_estimate: FailureEstimate
    in_flight: int = 0
    long_in_flight: int = 0
    joined_later: bool = False
    unlisted: bool = False
    last_grant_s: float = NEVER_S
    failures_in_row: int = 0
    failing_since_s: float = math.inf
    last_failure_s: float = NEVER_S
    last_stall_s: float = NEVER_S
    last_shed_s: float = NEVER_S
    shed_limit: float = float("inf")
    duration_ratio: float = 1.0
    unreached_by: immutables.Map = immutables.Map()
    rate_limit: RateLimit | None = None
    limit_known: bool = False
    refused_until_s: immutables.Map = immutables.Map()
    held_until_s: float = 0.0
    last_refusal_s: float = NEVER_S

    @property
    def last_trouble_s(self):
        """The time of its last failure, stall, or refusal with free slots."""
        return max(self.last_failure_s, self.last_stall_s, self.last_shed_s)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt that is queued or granted; ``upstream`` is empty while it is queued.

    ``spread`` tells that load spreading chose the upstream. ``stalls`` counts the
    stalls that were recorded for the attempt, ``cost_ms`` is the work that it was
    expected to be when it arrived. ``charged_serials`` are those of the rank and the
    account of the ``FairQueue`` that were charged for its grant.
    """

    request: GrantRequest
    deadline_s: float
    target_s: float
    queued_s: float
    upstream: str = ""
    granted_s: float = 0.0
    risk: float = 0.0
    spread: bool = False
    stalls: int = 0
    cost_ms: int = 0
    charged_serials: tuple = NOT_CHARGED


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """The crashes of upstreams while they ran the same request.

    A crash is known by the name and the start time of its upstream, which may start
    again under its name and crash once more.
    """

    crashes: frozenset
    last_crash_s: float


@dataclasses.dataclass(frozen=True)
class Group:
    """State of a group at its owner.

    ``retry_budget`` counts first attempts and retries, ``outcomes`` the requests
    that were served and those that failed recently, ``arrivals`` the admitted
    requests. ``attempts`` maps attempt keys to ``Attempt``. ``queue`` holds queue
    positions, ``long_queue`` those of long attempts alone; with fair sharing ``queue``
    is a ``FairQueue``, and ``returns`` tells when refused requests were told to come
    back. ``refusals`` counts attempts refused for a long queue by ``RefusalCause``,
    while fair sharing is on. ``typical_s`` maps
    routes to the moving average of their durations. ``short_demand_peak`` is the
    largest number of slots that short requests recently needed at once.
    ``owned_since_s`` is when this node became the owner, ``initial_slack`` the
    retries beyond the share that it may grant at once. ``suspects`` maps
    fingerprints to ``SuspectRequest``, ``quarantine`` maps them to the end of their
    quarantine. ``other_loads`` maps entry nodes to the ``NodeLoad`` that other owners
    granted them. No upstream refuses any node from ``refusals_until_s`` on.
    ``hedge_tokens`` is how many hedges are allowed now, ``route_times`` maps routes to
    their ``RouteTimes``; both are in use only with a share of hedges.
    """

    plan: Plan
    retry_budget: SlidingWindow
    outcomes: SlidingWindow = SlidingWindow(OUTCOMES_SPAN_S, OUTCOMES_BUCKET_S)
    upstreams: immutables.Map = immutables.Map()
    attempts: immutables.Map = immutables.Map()
    queue: tuple | FairQueue = ()
    long_queue: tuple = ()
    returns: immutables.Map = immutables.Map()
    refusals: immutables.Map = immutables.Map()
    typical_s: immutables.Map = immutables.Map()
    arrivals: Arrivals = Arrivals()
    short_durations_s: tuple = ()
    long_durations_s: tuple = ()
    short_stall_threshold_s: float = 0.0
    long_stall_threshold_s: float = 0.0
    short_mean_s: float = 0.0
    long_mean_s: float = 0.0
    short_demand_peak: float = 0.0
    owned_since_s: float = 0.0
    initial_slack: int = INITIAL_SLACK
    suspects: immutables.Map = immutables.Map()
    quarantine: immutables.Map = immutables.Map()
    other_loads: immutables.Map = immutables.Map()
    refusals_until_s: float = 0.0
    hedge_tokens: float = 0.0
    route_times: immutables.Map = immutables.Map()
    ejected_total: int = 0
    denied_total: int = 0

    def is_long(self, attempt):
        """Tell whether the attempt belongs to the long work class."""
        return attempt.request.work_class is WorkClass.LONG


def new_group(plan, now, initial_slack=INITIAL_SLACK):
    """Return the state of a group of which this node becomes the owner."""
    first_stall_s = plan.profile.detection.first_stall_ms / 1000
    group = Group(
        plan=plan,
        queue=EMPTY_QUEUE if plan.fair_sharing else (),
        retry_budget=new_retry_budget(plan.profile.retries),
        short_stall_threshold_s=first_stall_s,
        long_stall_threshold_s=first_stall_s * 10,
        owned_since_s=now,
        initial_slack=initial_slack,
    )
    return apply_plan(group, plan, now, new_owner=True)


def apply_plan(group, plan, now, new_owner=False):
    """Return the group under a new plan; attempts in flight continue.

    With ``new_owner`` the registered upstreams have no slow start, since the owner
    is new and not the upstreams. The warm-up in their registration still counts.
    """
    upstreams = group.upstreams
    specs = {spec.name: spec for spec in plan.upstream_specs}
    for name, upstream in upstreams.items():
        if name not in specs and not upstream.in_flight:
            upstreams = upstreams.delete(name)
        elif name not in specs and upstream.health.standing is not Standing.LEAVING:
            unlisted = replace(set_standing(upstream, Standing.LEAVING), unlisted=True)
            upstreams = upstreams.set(name, unlisted)
    for name, spec in specs.items():
        current = upstreams.get(name)
        if current is None or current.started_ms != spec.started_ms:
            current = _new_upstream(plan, spec, now, new_owner)
        elif spec.leaving:
            current = set_standing(current, Standing.LEAVING)
        elif current.unlisted:
            current = replace(current, health=return_to_service(current.health, now))
        current = replace(
            current,
            host=spec.host,
            port=spec.port,
            slots=spec.slots,
            warmup_until_s=spec.warmup_until_s,
            unlisted=False,
        )
        upstreams = upstreams.set(name, current)
    hedge_tokens = min(group.hedge_tokens, plan.hedge_burst)
    return replace(group, plan=plan, upstreams=upstreams, hedge_tokens=hedge_tokens)


def _new_upstream(plan, spec, now, new_owner):
    health = new_health(now, spec.leaving)
    if new_owner and health.standing is Standing.COLD:
        health = replace(health, standing=Standing.HEALTHY, since_s=NEVER_S)
    return Upstream(
        spec.name,
        spec.host,
        spec.port,
        spec.slots,
        spec.data_centre,
        spec.started_ms,
        spec.warmup_until_s,
        health,
        new_failure_estimate(plan.profile.detection, now),
        joined_later=not new_owner,
    )


def set_standing(upstream, standing):
    """Return the upstream with another standing."""
    health = replace(upstream.health, standing=standing)
    return replace(upstream, health=health)


def replace_upstream(group, upstream):
    """Return the group with one upstream replaced."""
    return replace(group, upstreams=group.upstreams.set(upstream.name, upstream))
