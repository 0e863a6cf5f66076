"""The queue of a group: by priority, then by the earliest deadline.

Long attempts are also kept in a queue of their own, so that the position of an
attempt among its work class is found without a scan of the whole queue.
"""

import bisect
import dataclasses

from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position of a queued attempt; the smallest goes first."""

    priority: int
    deadline_s: float
    queued_s: float
    key: object = dataclasses.field(compare=False)


def position_of(attempt):
    """Return the queue position of an attempt."""
    request = attempt.request
    return QueuePosition(
        request.priority, attempt.deadline_s, attempt.queued_s, request.key
    )


def enqueue(group, attempt):
    """Return the group with the attempt in its queue."""
    position = position_of(attempt)
    group = replace(group, queue=_insert_position(group.queue, position))
    if group.is_long(attempt):
        group = replace(group, long_queue=_insert_position(group.long_queue, position))
    return group


def dequeue(group, attempt):
    """Return the group without the attempt in its queue."""
    position = position_of(attempt)
    group = replace(group, queue=_remove_position(group.queue, position))
    if group.is_long(attempt):
        group = replace(group, long_queue=_remove_position(group.long_queue, position))
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
    return len(group.queue) - len(group.long_queue)


def _insert_position(positions, position):
    index = bisect.bisect(positions, position)
    return positions[:index] + (position,) + positions[index:]


def _remove_position(positions, position):
    index = bisect.bisect_left(positions, position)
    for other_index in range(index, len(positions)):
        if positions[other_index].key == position.key:
            return positions[:other_index] + positions[other_index + 1 :]
    return positions
