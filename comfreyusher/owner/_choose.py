"""Choice of the upstream for an attempt.

Every upstream with a free slot has a cost: the risk that it fails, weighted by
what a failure costs this request, plus small costs for load, slowness and
distance. A failure is final for a request that must not be retried. An idempotent
request only loses a little time, and its failure gives the owner evidence.
"""

import collections.abc
import dataclasses
import enum
import math

from comfreyusher.flow import replace
from comfreyusher.health import failure_probability
from comfreyusher.owner._capacity import (
    accepts_requests,
    concurrency_limit,
    is_allowed,
    may_take_slot,
)
from comfreyusher.owner._fair_queue import count_turns
from comfreyusher.owner._handover_load import count_other_loads
from comfreyusher.owner._known_failing import find_known_failing
from comfreyusher.owner._load_spreading import (
    Spreading,
    choose_spreading,
    has_no_recent_trouble,
    is_idle,
    may_spread_to,
)
from comfreyusher.owner._rate_limit import has_token
from comfreyusher.owner._state import NEVER_S
from comfreyusher.owner._usage import FAILING_RISK

RETRYABLE_RISK_WEIGHT = 0.8
LOAD_COST = 0.03
SLOW_UPSTREAM_COST = 0.1
REMOTE_COST = 0.025
LARGE_REMOTE_COST = 0.2
NEW_UPSTREAM_DISCOUNT = 0.4
# A new connection costs a round trip; that is worth less than the load of one slot.
CONNECTED_DISCOUNT = 0.03
PROBE_AFTER_S = 1.0
MIN_RISK_REDUCTION = 0.2
WAIT_MARGIN_ROUNDS = 1.0
DEFAULT_TYPICAL_S = 0.2


class Purpose(enum.IntEnum):
    """Why an upstream is chosen; the smallest value has precedence.

    SPREAD uses an idle upstream, so that more than the floor's share of the sound ones
    stays in use. PROBE tests whether a failing upstream has
    recovered. EXPLORE keeps the idle upstreams known by requests that may be
    retried. SERVE is the choice by cost.
    """

    SPREAD = 0
    PROBE = 1
    EXPLORE = 2
    SERVE = 3


CHOSEN_BY_COST = (Purpose.SPREAD, Purpose.SERVE)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for an attempt, its risk to fail it, and why it is chosen."""

    upstream: object
    risk: float
    purpose: Purpose = Purpose.SERVE


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that accepts requests, its risk to fail, and whether it is free."""

    upstream: object
    risk: float
    free: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSet:
    """The candidates at one moment, and which load spreading is needed.

    ``other_loads`` counts the requests that other owners granted, by upstream.
    ``known_failing`` are the names of upstreams that get no request but probes.
    """

    candidates: tuple
    spreading: Spreading
    other_loads: collections.abc.Mapping
    known_failing: frozenset

    def has_free_slot(self):
        """Tell whether any candidate can run one more request."""
        return any(candidate.free for candidate in self.candidates)


def find_candidates(group, now):
    """Return the ``CandidateSet`` of a group."""
    other_loads = count_other_loads(group, now)
    known_failing = find_known_failing(group, now)
    candidates = tuple(
        _candidate_of(group, upstream, other_loads.get(upstream.name, 0), now)
        for upstream in group.upstreams.values()
        if accepts_requests(upstream)
    )
    return _with_spreading(
        CandidateSet(candidates, Spreading.NONE, other_loads, known_failing), group, now
    )


def _with_spreading(candidate_set, group, now):
    """Return the set with the load spreading needed, which takes a free slot."""
    if not candidate_set.has_free_slot():
        return replace(candidate_set, spreading=Spreading.NONE)
    return replace(candidate_set, spreading=choose_spreading(group, now))


def refresh_candidate(candidate_set, group, name, now):
    """Return the set after one upstream of the group got an attempt."""
    other_load = candidate_set.other_loads.get(name, 0)
    refreshed = _candidate_of(group, group.upstreams[name], other_load, now)
    candidates = tuple(
        refreshed if candidate.upstream.name == name else candidate
        for candidate in candidate_set.candidates
    )
    return _with_spreading(replace(candidate_set, candidates=candidates), group, now)


def _candidate_of(group, upstream, other_load, now):
    risk = failure_probability(
        upstream.failure_estimate, group.plan.profile.detection, now
    )
    in_flight = upstream.in_flight + other_load
    free = in_flight < concurrency_limit(group, upstream, now)
    free = free and has_token(upstream, now)
    return Candidate(upstream, risk, free)


def choose_upstream(group, attempt, candidate_set, now):
    """Return the ``Choice`` for the attempt, or ``None`` to let it wait.

    While too few upstreams are in use, those without recent failures that were idle
    come first, by cost. Attempts that may be retried also probe failing upstreams from
    time to time. Hedges and requests from another region do not wait for a slot. They
    look for a safe upstream, and are not used for spreading.
    """
    best, best_rank = None, (math.inf,)
    spreading = candidate_set.spreading
    if attempt.request.no_wait:
        spreading = Spreading.NONE
    lowest_risk, safe_slots = 1.0, 0
    for candidate in candidate_set.candidates:
        upstream, risk = candidate.upstream, candidate.risk
        if not is_allowed(upstream, attempt, now):
            continue
        lowest_risk = min(lowest_risk, risk)
        safe_slots += upstream.slots if risk < FAILING_RISK else 0
        if not candidate.free or not may_take_slot(group, upstream, attempt):
            continue
        purpose = purpose_of(upstream, attempt.request, risk, spreading, now)
        if purpose is Purpose.SERVE and upstream.name in candidate_set.known_failing:
            continue
        cost = (
            cost_of(upstream, attempt.request, risk)
            if purpose in CHOSEN_BY_COST
            else 0.0
        )
        rank = (purpose, cost, upstream.last_grant_s, upstream.name)
        if rank < best_rank:
            best, best_rank = Choice(upstream, risk, purpose), rank
    if best is None or best.purpose is not Purpose.SERVE:
        return best
    much_safer = (
        best.risk >= FAILING_RISK and best.risk - lowest_risk >= MIN_RISK_REDUCTION
    )
    if much_safer and is_served_in_time(group, attempt, safe_slots, now):
        return None
    return best


def purpose_of(upstream, request, risk, spreading, now):
    """Return why the upstream would be chosen."""
    if may_spread_to(upstream, risk, spreading, now):
        return Purpose.SPREAD
    if risk >= FAILING_RISK and is_probe_due(upstream, request, now):
        return Purpose.PROBE
    if risk < FAILING_RISK and is_worth_exploring(upstream, request, now):
        return Purpose.EXPLORE
    return Purpose.SERVE


def cost_of(upstream, request, risk):
    """Return the cost of an upstream for an attempt; the smallest is chosen.

    An upstream that has just joined gets a discount for its first attempt. The
    others have a lower estimated risk, so it might never be tried otherwise.
    """
    cost = risk * (1.0 if is_failure_final(request) else RETRYABLE_RISK_WEIGHT)
    cost += LOAD_COST * upstream.in_flight / upstream.slots
    cost += SLOW_UPSTREAM_COST * max(0.0, upstream.duration_ratio - 1.0)
    if upstream.data_centre != request.data_centre:
        cost += LARGE_REMOTE_COST if request.large else REMOTE_COST
    if upstream.name in request.connected_upstreams:
        cost -= CONNECTED_DISCOUNT
    if upstream.joined_later and upstream.last_grant_s == NEVER_S:
        cost -= NEW_UPSTREAM_DISCOUNT
    return cost


def is_probe_due(upstream, request, now):
    """Tell whether an attempt should probe a failing upstream.

    After a successful probe the next one may follow at once. After a failure, a
    stall or a refusal the upstream is not probed for a while.
    """
    if is_failure_final(request) or upstream.in_flight:
        return False
    return now - upstream.last_trouble_s > PROBE_AFTER_S


def is_worth_exploring(upstream, request, now):
    """Tell whether an attempt should go to an upstream that was idle for a while.

    If failures begin, the group then knows the upstreams that it has not used.
    Large bodies are not sent to another data centre for that.
    """
    if is_failure_final(request) or not is_idle(upstream, now):
        return False
    if request.large and upstream.data_centre != request.data_centre:
        return False
    return has_no_recent_trouble(upstream, now)


def is_failure_final(request):
    """Tell whether the request could not be retried after a failure."""
    return request.last_attempt or not request.idempotent


def is_served_in_time(group, attempt, safe_slots, now):
    """Tell whether the safe upstreams can answer the attempt within its target.

    Attempts beyond the safe slots would have to go to the other upstreams anyway,
    only later.
    """
    if not safe_slots:
        return False
    typical_s = group.typical_s.get(attempt.request.route_key, DEFAULT_TYPICAL_S)
    rounds = 1 + _count_before(group, attempt) / safe_slots
    return now + typical_s * (rounds + WAIT_MARGIN_ROUNDS) < attempt.target_s


def _count_before(group, attempt):
    """Return how many queued attempts may get a slot before this one.

    With fair sharing the backlog of a flow is not before the next attempt of another.
    """
    if not group.plan.fair_sharing:
        return len(group.queue)
    return count_turns(group.queue, attempt.request.priority)
