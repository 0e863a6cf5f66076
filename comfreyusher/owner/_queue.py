"""The queue of a group: by priority, then by the earliest deadline.

Long attempts are also kept in a queue of their own, so that the position of an
attempt among its work class is found without a scan of the whole queue. With fair
sharing the queue is a ``FairQueue`` instead.
"""

import bisect

from comfreyusher.flow import replace
from comfreyusher.messages import WorkClass
from comfreyusher.owner._capacity import DEFAULT_SERVICE_S
from comfreyusher.owner._fair_queue import (
    EMPTY_QUEUE,
    NOT_CHARGED,
    FairQueue,
    insert_attempt,
    insert_position,
    position_of,
    remove_attempt,
    remove_position,
    serve_attempt,
)

MILLISECONDS_PER_SECOND = 1000


def expected_cost_ms(group, request):
    """Return the expected work of a request: the typical time of its route.

    It is at least one millisecond.
    """
    long = request.work_class is WorkClass.LONG
    mean_s = (group.long_mean_s if long else group.short_mean_s) or DEFAULT_SERVICE_S
    typical_s = group.typical_s.get(request.route_key, mean_s)
    return max(1, round(typical_s * MILLISECONDS_PER_SECOND))


def enqueue(group, attempt):
    """Return the group with the attempt in its queue."""
    if group.plan.fair_sharing:
        return replace(group, queue=insert_attempt(group.queue, attempt))
    position = position_of(attempt)
    group = replace(group, queue=insert_position(group.queue, position))
    if group.is_long(attempt):
        group = replace(group, long_queue=insert_position(group.long_queue, position))
    return group


def dequeue(group, attempt):
    """Return the group without the attempt in its queue."""
    if group.plan.fair_sharing:
        return replace(group, queue=remove_attempt(group.queue, attempt))
    position = position_of(attempt)
    group = replace(group, queue=remove_position(group.queue, position))
    if group.is_long(attempt):
        group = replace(group, long_queue=remove_position(group.long_queue, position))
    return group


def dequeue_granted(group, attempt):
    """Return the group without the attempt, which is charged to its flow."""
    if group.plan.fair_sharing:
        return replace(group, queue=serve_attempt(group.queue, attempt))
    return dequeue(group, attempt)


def rebuild_queue(group):
    """Return the group with the kind of queue that its plan wants.

    A new queue holds no charges for the attempts that are granted already.
    """
    if group.plan.fair_sharing == (type(group.queue) is FairQueue):
        return group
    for key, attempt in group.attempts.items():
        if attempt.charged_serials != NOT_CHARGED:
            attempt = replace(attempt, charged_serials=NOT_CHARGED)
            group = replace(group, attempts=group.attempts.set(key, attempt))
    attempts = [group.attempts[position.key] for position in group.queue]
    queue = EMPTY_QUEUE if group.plan.fair_sharing else ()
    group = replace(group, queue=queue, long_queue=())
    for attempt in attempts:
        cost_ms = expected_cost_ms(group, attempt.request)
        attempt = replace(attempt, cost_ms=cost_ms)
        group = enqueue(group, attempt)
        queued = group.attempts.set(attempt.request.key, attempt)
        group = replace(group, attempts=queued)
    return group


def count_ahead(group, attempt):
    """Return how many queued attempts of the same work class are before this one."""
    position = position_of(attempt)
    long_ahead = bisect.bisect_left(group.long_queue, position)
    if group.is_long(attempt):
        return long_ahead
    return bisect.bisect_left(group.queue, position) - long_ahead


def count_queued_short(group):
    """Return how many short requests are queued."""
    if group.plan.fair_sharing:
        return group.queue.count - group.queue.long_count
    return len(group.queue) - len(group.long_queue)
