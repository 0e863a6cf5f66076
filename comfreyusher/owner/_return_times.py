"""When a refused request is told to come back.

With fair sharing that is after what its flow has queued is served. The requests of
one flow are told times one after another, at the pace at which the flow is served,
so that they come back in the order and at the rate in which there will be room.
"""

import dataclasses
import enum
import math

import immutables

from comfreyusher.flow import replace
from comfreyusher.owner._fair_queue import flow_of, has_later_ones
from comfreyusher.owner._load_shedding import (
    MILLISECONDS_PER_SECOND,
    MIN_RETRY_AFTER_MS,
    NO_SLOTS_RETRY_AFTER_MS,
    estimate_last_wait,
    retry_after_ms,
)

# Fractional parts of its multiples spread evenly, however many there are.
SPREAD_RATIO = (math.sqrt(5) - 1) / 2
NO_REFUSALS = immutables.Map()


class RefusalCause(str, enum.Enum):
    """What an attempt would have waited for most when it was refused."""

    OWN_BACKLOG = "own backlog"
    OTHER_ACCOUNTS = "other accounts"
    MORE_URGENT = "more urgent"
    NO_SLOTS = "no slots"
    NO_TIME = "no time"


@dataclasses.dataclass(frozen=True, slots=True)
class Returns:
    """The last time that was told to requests of a flow, and how many were told."""

    last_s: float
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedReturn:
    """The group after a refusal, and the time that the caller is told."""

    group: object
    retry_after_ms: int


def plan_return(group, attempt, estimate, now):
    """Return the ``PlannedReturn`` of an attempt that is refused."""
    if not group.plan.fair_sharing:
        return PlannedReturn(group, retry_after_ms(estimate))
    cause = cause_of(estimate)
    if has_later_ones(group.queue, attempt):
        estimate = estimate_last_wait(group, attempt, now)
    refusals = group.refusals.set(cause, group.refusals.get(cause, 0) + 1)
    flow = flow_of(attempt.request)
    first_s = now + _wait_s(estimate)
    pace_s = _pace_s(attempt, estimate)
    returns = group.returns.get(flow, Returns(-math.inf, 0))
    return_s = max(first_s, returns.last_s + pace_s)
    latest_s = first_s + max(0.0, attempt.deadline_s - now)
    if return_s > latest_s:
        return_s = first_s  # the first ones of the list have given up by then
    spread_s = min(pace_s, latest_s - return_s)
    told_s = return_s + spread_s * (returns.count * SPREAD_RATIO % 1)
    returns = group.returns.set(flow, Returns(return_s, returns.count + 1))
    group = replace(group, refusals=refusals, returns=returns)
    return PlannedReturn(group, int((told_s - now) * MILLISECONDS_PER_SECOND))


def cause_of(estimate):
    """Return what most of the expected wait is for."""
    work = estimate.work
    if estimate.wait_s == math.inf:
        return RefusalCause.NO_SLOTS
    more_urgent = work.urgent_ms > max(work.own_ms, work.others_ms)
    if more_urgent or estimate.mostly_urgent:
        return RefusalCause.MORE_URGENT
    if not work.total_ms:
        return RefusalCause.NO_TIME
    if work.own_ms >= work.others_ms:
        return RefusalCause.OWN_BACKLOG
    return RefusalCause.OTHER_ACCOUNTS


def count_new_refusals(before, refusals):
    """Return how many attempts were refused since ``before``, by name of the cause."""
    return {
        cause.value: count - before.get(cause, 0)
        for cause, count in refusals.items()
        if count != before.get(cause, 0)
    }


def drop_past_returns(group, now):
    """Return the group without the flows whose requests should all be back."""
    returns = group.returns
    for flow, told in returns.items():
        if told.last_s < now:
            returns = returns.delete(flow)
    return replace(group, returns=returns)


def _wait_s(estimate):
    """Return the wait after which a caller finds room at the earliest."""
    if estimate.wait_s == math.inf:
        return NO_SLOTS_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    return max(MIN_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND, estimate.wait_s)


def _pace_s(attempt, estimate):
    """Return by how much one more attempt of the flow would extend the wait.

    The other accounts of its rank are each served at most as much as its own.
    """
    if estimate.wait_s == math.inf:
        return MIN_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    work, cost_ms = estimate.work, attempt.cost_ms
    shared_ms = cost_ms
    if work.own_ms:
        shared = (work.own_ms + work.others_ms) / work.own_ms
        shared_ms *= min(work.accounts, shared)
    return estimate.wait_s * shared_ms / (work.total_ms + cost_ms)
