"""Load shedding: deny attempts that cannot be answered in time.

The queue is kept so short that responses arrive within their target. A longer
queue would not serve more requests, but make every one of them late. The
expected wait of a low priority takes into account the slots that arrivals of
higher priority are going to use.
"""

import dataclasses

from comfreyusher.flow import replace
from comfreyusher.messages import WorkClass
from comfreyusher.owner._arrivals import (
    higher_priority_rate,
    light_rate,
    steady_short_rate,
)
from comfreyusher.owner._capacity import (
    DEFAULT_SERVICE_S,
    count_free_limited,
    count_usable_slots,
)
from comfreyusher.owner._fair_queue import (
    WorkAhead,
    count_flow,
    count_flow_ahead,
    work_ahead,
)
from comfreyusher.owner._handover_load import count_other_loads
from comfreyusher.owner._queue import (
    MILLISECONDS_PER_SECOND,
    count_ahead,
    count_queued_short,
)

MIN_RETRY_AFTER_MS = 100
NO_SLOTS_RETRY_AFTER_MS = 500
SERVICE_TIME_FACTOR = 1.2
CERTAIN_WAIT_SHARE = 0.5
MIN_RATE_SHARE = 0.05
# The slowest tenth of the requests takes half as long again as the typical one.
DEADLINE_MARGIN_SHARE = 0.5
# What arrives for other accounts varies; an attempt that is refused after a wait in
# its account's backlog is worth less than one that is refused at once.
BACKLOG_MARGIN_FACTOR = 1.25
BACKLOG_LATE_SHARE = 0.5
MOSTLY_URGENT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Expected wait in the queue and service time, in seconds.

    With fair sharing ``work`` is what the wait is for, and ``mostly_urgent`` tells
    that more urgent arrivals use most of the capacity.
    """

    wait_s: float
    service_s: float
    work: WorkAhead | None = None
    mostly_urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalRates:
    """Requests per second that will be served before a queued one.

    ``urgent_per_s`` have a more urgent rank. ``light_per_s`` are of accounts of the
    same rank that have little queued.
    """

    urgent_per_s: float
    light_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClassCapacity:
    """Capacity of a group for one work class.

    ``busy`` of the ``slots`` are in use, and ``mean_s`` is the mean service time
    in seconds. ``free`` requests can be granted at once. For long requests,
    ``backlog_s`` is the service time in seconds of all queued short requests on one
    slot, and ``later_slots`` the slots that are left once the queued short requests
    are done.
    """

    slots: float
    busy: int
    mean_s: float
    free: float
    backlog_s: float = 0.0
    later_slots: float = 0.0


def class_capacity(group, work_class, now):
    """Return the capacity of a group for a work class, now and later."""
    slots = count_usable_slots(group, work_class, now)
    busy = _count_busy(group, work_class)
    if group.other_loads and work_class is not WorkClass.LONG:
        busy += sum(count_other_loads(group, now).values())
    free = max(slots - busy, count_free_limited(group, now))
    short_mean_s = group.short_mean_s or DEFAULT_SERVICE_S
    if work_class is not WorkClass.LONG:
        return ClassCapacity(slots, busy, short_mean_s, free)
    steady_slots = steady_short_rate(group.arrivals, now) * short_mean_s
    return ClassCapacity(
        slots,
        busy,
        group.long_mean_s or DEFAULT_SERVICE_S,
        free,
        count_queued_short(group) * short_mean_s,
        count_usable_slots(group, WorkClass.SHORT, now) - steady_slots,
    )


def arrival_rates(group, work_class, priority, now):
    """Return the ``ArrivalRates`` for the attempts of a rank and a work class."""
    urgent_per_s = higher_priority_rate(group.arrivals, priority, now)
    if work_class is WorkClass.LONG:
        return ArrivalRates(urgent_per_s)
    owned_s = now - group.owned_since_s
    light_per_s = light_rate(group.arrivals, priority, owned_s, now)
    return ArrivalRates(urgent_per_s, light_per_s)


def estimate_wait(group, attempt, now):
    """Return the expected wait of an attempt at its position in the queue."""
    request = attempt.request
    capacity = class_capacity(group, request.work_class, now)
    if group.plan.fair_sharing:
        index = count_flow_ahead(group.queue, attempt)
        rates = arrival_rates(group, request.work_class, request.priority, now)
        return estimate_fair_wait(group, attempt, index, capacity, rates)
    higher_priority_per_s = higher_priority_rate(group.arrivals, request.priority, now)
    return estimate_wait_behind(
        group, attempt, count_ahead(group, attempt), capacity, higher_priority_per_s
    )


def estimate_last_wait(group, attempt, now):
    """Return the expected wait behind all that the flow of an attempt has queued."""
    request = attempt.request
    capacity = class_capacity(group, request.work_class, now)
    rates = arrival_rates(group, request.work_class, request.priority, now)
    index = count_flow(group.queue, request)
    return estimate_fair_wait(group, attempt, index, capacity, rates)


def estimate_wait_behind(group, attempt, ahead, capacity, higher_priority_per_s):
    """Return the expected wait behind ``ahead`` attempts of the same work class.

    ``higher_priority_per_s`` is the arrival rate of requests that will be queued
    before this one.
    """
    service_s = group.typical_s.get(attempt.request.route_key, capacity.mean_s)
    if not capacity.slots:
        return WaitEstimate(float("inf"), service_s)
    waiting = max(0, ahead + 1 - max(0, capacity.free))
    rate = capacity.slots / capacity.mean_s
    rate = max(rate * MIN_RATE_SHARE, rate - higher_priority_per_s)
    wait_s = waiting / rate
    if capacity.later_slots > 0:
        later_s = (capacity.backlog_s + ahead * capacity.mean_s) / capacity.later_slots
        wait_s = min(wait_s, later_s)
    return WaitEstimate(wait_s, service_s)


def estimate_fair_wait(group, attempt, index, capacity, rates):
    """Return the expected wait of an attempt with ``index`` of its flow before it."""
    work = work_ahead(group.queue, attempt, index)
    before_per_s = rates.urgent_per_s
    if work.heavy:
        before_per_s = overtaking_rate(capacity, work.accounts, rates)
    ahead = work.total_ms / MILLISECONDS_PER_SECOND / capacity.mean_s
    estimate = estimate_wait_behind(group, attempt, ahead, capacity, before_per_s)
    urgent_slots = rates.urgent_per_s * capacity.mean_s
    mostly_urgent = urgent_slots > capacity.slots * MOSTLY_URGENT_SHARE
    return replace(estimate, work=work, mostly_urgent=mostly_urgent)


def overtaking_rate(capacity, accounts, rates):
    """Return the rate of arrivals that go before the backlog of an account.

    These are the more urgent ones, and those of accounts with little queued, as far
    as they leave the account its share. An account that has little queued itself is
    not overtaken by its own rank.
    """
    left_per_s = max(0.0, capacity.slots / capacity.mean_s - rates.urgent_per_s)
    most_per_s = left_per_s * (1 - 1 / accounts)
    return rates.urgent_per_s + min(rates.light_per_s, most_per_s)


def longest_fair_wait_s(group, attempt, capacity, rates):
    """Return a wait that no attempt exceeds of the same rank and work class."""
    queue, request = group.queue, attempt.request
    ranks = [queue.ranks[other] for other in queue.order if other <= request.priority]
    work_ms = sum(rank.work_ms[group.is_long(attempt)] for rank in ranks)
    ahead = work_ms / MILLISECONDS_PER_SECOND / capacity.mean_s
    accounts = len(ranks[-1].level.turns)
    before_per_s = overtaking_rate(capacity, accounts, rates)
    return estimate_wait_behind(group, attempt, ahead, capacity, before_per_s).wait_s


def is_too_late(group, attempt, estimate, now):
    """Tell whether an arriving attempt cannot be answered in time.

    An attempt that would miss its target even without a wait only has to meet its
    deadline. An account with a backlog may use a part of the time from the target to
    the deadline: it is better refused at once than after a long wait.
    """
    if estimate.wait_s <= 0:
        return attempt.deadline_s <= now
    if estimate.wait_s > group.plan.profile.max_wait_ms / 1000:
        return True
    min_service_s = estimate.service_s * SERVICE_TIME_FACTOR
    due_s = due_time_s(group, attempt, min_service_s, now)
    wait_s = estimate.wait_s
    if estimate.work is not None and estimate.work.heavy:
        wait_s *= BACKLOG_MARGIN_FACTOR
        if now + min_service_s < attempt.target_s < due_s:
            due_s -= (1 - BACKLOG_LATE_SHARE) * (due_s - attempt.target_s)
    return now + wait_s + min_service_s > due_s


def due_time_s(group, attempt, min_service_s, now):
    """Return until when an arriving attempt may be answered.

    With fair sharing it may wait past its target, as long as it can still be
    answered by its deadline even if it takes longer than usual.
    """
    if group.plan.fair_sharing:
        return attempt.deadline_s - min_service_s * DEADLINE_MARGIN_SHARE
    if now + min_service_s < attempt.target_s:
        return attempt.target_s
    return attempt.deadline_s


def will_miss_deadline(attempt, estimate, now):
    """Tell whether a queued attempt misses its deadline even after half the wait.

    The mean service time that the estimate is based on changes while attempts are
    queued. An admitted attempt is denied only when it is certain to be late.
    """
    if estimate.wait_s <= 0 or attempt.deadline_s <= now:
        return attempt.deadline_s <= now
    min_service_s = estimate.wait_s * CERTAIN_WAIT_SHARE + estimate.service_s
    return now + min_service_s > attempt.deadline_s


def find_certain_delay(group, attempt, now):
    """Return the estimate of a queued attempt that would miss its deadline on a slot.

    Return ``None`` if it may be answered in time, or was granted at its arrival.
    """
    if attempt.queued_s >= now:
        return None
    service_s = group.typical_s.get(attempt.request.route_key, 0.0)
    if now + service_s <= attempt.deadline_s:
        return None
    return estimate_wait(group, attempt, now)


def retry_after_ms(estimate):
    """Return after how many milliseconds the caller may try again."""
    if estimate.wait_s == float("inf"):
        return NO_SLOTS_RETRY_AFTER_MS
    return max(MIN_RETRY_AFTER_MS, int(estimate.wait_s * 1000))


def _count_busy(group, work_class):
    if work_class is WorkClass.LONG:
        return sum(up.long_in_flight for up in group.upstreams.values())
    return sum(up.in_flight for up in group.upstreams.values())
