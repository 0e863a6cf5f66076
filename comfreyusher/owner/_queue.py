"""The queues of a group: earliest deadline first, short apart from long."""

import bisect
import dataclasses

from comfreyusher.flow import change
from comfreyusher.messages import WorkClass


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Position of queued work; the earlier deadline goes first."""

    deadline_s: float
    number: int
    key: object = dataclasses.field(compare=False)


def enqueue(group, work):
    """Return the group with the work in the queue of its class."""
    place = Place(work.deadline_s, work.offer.key.number, work.offer.key)
    if group.is_long(work):
        queue = _insert(group.long_queue, place)
        return change(group, long_queue=queue)
    queue = _insert(group.short_queue, place)
    return change(group, short_queue=queue)


def dequeue(group, work):
    """Return the group without the work in its queue."""
    if group.is_long(work):
        return change(group, long_queue=_remove(group.long_queue, work))
    return change(group, short_queue=_remove(group.short_queue, work))


def count_ahead(group, work):
    """Return how many works of the same class go before this one."""
    queue = queue_of(group, work.offer.work_class)
    return bisect.bisect_right(queue, work.deadline_s, key=deadline_of)


def deadline_of(place):
    """Return what queues are sorted by first."""
    return place.deadline_s


def queue_of(group, work_class):
    """Return the queue of a class."""
    return group.long_queue if work_class is WorkClass.LONG else group.short_queue


def _insert(queue, place):
    index = bisect.bisect(queue, place)
    return queue[:index] + (place,) + queue[index:]


def _remove(queue, work):
    first = bisect.bisect_left(queue, work.deadline_s, key=deadline_of)
    for index in range(first, len(queue)):
        if queue[index].key == work.offer.key:
            return queue[:index] + queue[index + 1 :]
        if queue[index].deadline_s > work.deadline_s:
            break
    return queue
