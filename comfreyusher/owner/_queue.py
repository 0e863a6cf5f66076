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
    key = work.offer.key
    if group.is_long(work):
        queue = tuple(place for place in group.long_queue if place.key != key)
        return change(group, long_queue=queue)
    queue = tuple(place for place in group.short_queue if place.key != key)
    return change(group, short_queue=queue)


def queue_of(group, work_class):
    """Return the queue of a class."""
    return group.long_queue if work_class is WorkClass.LONG else group.short_queue


def _insert(queue, place):
    index = bisect.bisect(queue, place)
    return queue[:index] + (place,) + queue[index:]
