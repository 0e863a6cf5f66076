"""When a refused request is told to come back.

With fair sharing the requests of one flow are told times one after another, at the
pace at which the flow is served, from the time on when its backlog has shrunk enough.
So they come back in the order and at the rate in which there will be room.
"""

import dataclasses
import enum
import math

from comfreyusher.flow import replace
from comfreyusher.owner._fair_queue import flow_of
from comfreyusher.owner._load_shedding import (
    MILLISECONDS_PER_SECOND,
    MIN_RETRY_AFTER_MS,
    NO_SLOTS_RETRY_AFTER_MS,
    SERVICE_TIME_FACTOR,
    due_time_s,
    retry_after_ms,
)

# Fractional parts of its multiples spread evenly, however many there are.
SPREAD_RATIO = (math.sqrt(5) - 1) / 2


class RefusalCause(str, enum.Enum):
    """What an attempt would have waited for most when it was refused."""

    OWN_BACKLOG = "own backlog"
    OTHER_ACCOUNTS = "other accounts"
    MORE_URGENT = "more urgent"
    NO_SLOTS = "no slots"


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
    refusals = group.refusals.set(cause, group.refusals.get(cause, 0) + 1)
    flow = flow_of(attempt.request)
    first_s = now + _first_return_s(group, attempt, estimate, now)
    pace_s = _pace_s(attempt, estimate)
    returns = group.returns.get(flow, Returns(-math.inf, 0))
    return_s = max(first_s, returns.last_s + pace_s)
    if return_s > attempt.deadline_s:
        return_s = first_s
    count = returns.count + 1
    told_s = return_s + pace_s * (count * SPREAD_RATIO % 1)
    returns = group.returns.set(flow, Returns(return_s, count))
    group = replace(group, refusals=refusals, returns=returns)
    return PlannedReturn(group, int((told_s - now) * MILLISECONDS_PER_SECOND))


def cause_of(estimate):
    """Return what most of the expected wait is for."""
    work = estimate.work
    if estimate.wait_s == math.inf:
        return RefusalCause.NO_SLOTS
    more_urgent = work.urgent_ms >= max(work.own_ms, work.others_ms)
    if more_urgent or estimate.mostly_urgent:
        return RefusalCause.MORE_URGENT
    if work.own_ms >= work.others_ms:
        return RefusalCause.OWN_BACKLOG
    return RefusalCause.OTHER_ACCOUNTS


def drop_past_returns(group, now):
    """Return the group without the flows whose requests should all be back."""
    returns = group.returns
    for flow, told in returns.items():
        if told.last_s < now:
            returns = returns.delete(flow)
    return replace(group, returns=returns)


def _first_return_s(group, attempt, estimate, now):
    """Return the time in which the backlog shrinks enough to admit the attempt."""
    if estimate.wait_s == math.inf:
        return NO_SLOTS_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    min_service_s = estimate.service_s * SERVICE_TIME_FACTOR
    due_s = due_time_s(group, attempt, min_service_s, now)
    min_s = MIN_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    return max(min_s, estimate.wait_s - max(0.0, due_s - now - min_service_s))


def _pace_s(attempt, estimate):
    """Return the time in which one attempt of the account is served."""
    if estimate.wait_s == math.inf:
        return MIN_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    return estimate.wait_s * attempt.cost_ms / (estimate.work.own_ms + attempt.cost_ms)
