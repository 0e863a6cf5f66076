"""Queued attempts that cannot be answered in time any more."""

from comfreyusher.messages import WorkClass
from comfreyusher.owner._arrivals import higher_priority_rate
from comfreyusher.owner._fair_queue import iterate_flows
from comfreyusher.owner._load_shedding import (
    CERTAIN_WAIT_SHARE,
    arrival_rates,
    class_capacity,
    estimate_fair_wait,
    estimate_wait_behind,
    longest_fair_wait_s,
    will_miss_deadline,
)


def find_late_queued(group, now):
    """Return late attempts with their estimates, in one scan of the queue."""
    capacities = {
        work_class: class_capacity(group, work_class, now) for work_class in WorkClass
    }
    if group.plan.fair_sharing:
        return _find_late_flows(group, capacities, now)
    arrivals = group.arrivals
    higher_priority_rates = {
        priority: higher_priority_rate(arrivals, priority, now)
        for priority in arrivals.by_priority
    }
    ahead = dict.fromkeys(WorkClass, 0)
    found = []
    for position in group.queue:
        attempt = group.attempts[position.key]
        work_class = attempt.request.work_class
        higher_priority_per_s = higher_priority_rates[attempt.request.priority]
        estimate = estimate_wait_behind(
            group,
            attempt,
            ahead[work_class],
            capacities[work_class],
            higher_priority_per_s,
        )
        if will_miss_deadline(attempt, estimate, now):
            found.append((attempt, estimate))
        else:
            ahead[work_class] += 1
    return found


def _find_late_flows(group, capacities, now):
    """Return late attempts with their estimates, from the heads of the flows.

    No attempt waits longer than for all the work of its rank and of more urgent ones,
    so that most flows are only compared with that time.
    """
    found, limits = [], {}
    for (priority, _, _), flow in iterate_flows(group.queue):
        work_class = WorkClass.LONG if flow.long else WorkClass.SHORT
        capacity = capacities[work_class]
        if (priority, work_class) not in limits:
            rates = arrival_rates(group, work_class, priority, now)
            first = group.attempts[flow.positions[0].key]
            longest_s = longest_fair_wait_s(group, first, capacity, rates)
            limits[priority, work_class] = rates, longest_s
        rates, longest_s = limits[priority, work_class]
        found += _find_late_of_flow(group, flow, capacity, rates, longest_s, now)
    return found


def _find_late_of_flow(group, flow, capacity, rates, longest_s, now):
    found = []
    first = group.attempts[flow.positions[0].key]
    service_s = group.typical_s.get(first.request.route_key, capacity.mean_s)
    safe_from_s = now + longest_s * CERTAIN_WAIT_SHARE + service_s
    for number, position in enumerate(flow.positions):
        if position.deadline_s >= safe_from_s:
            break
        attempt = group.attempts[position.key]
        ahead = number - len(found)
        estimate = estimate_fair_wait(group, attempt, ahead, capacity, rates)
        if will_miss_deadline(attempt, estimate, now):
            found.append((attempt, estimate))
    return found
