"""The queue of a group: by priority, then by the earliest deadline.

The long work stands in an order of its own as well, so that the place of a
request among its class is found without a walk along the queue.
"""

import bisect
import dataclasses

from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Position of queued work; the smallest goes first."""

    priority: int
    deadline_s: float
    queued_s: float
    key: object = dataclasses.field(compare=False)


def place_of(work):
    """Return the position of a piece of work."""
    ask = work.ask
    return Place(ask.priority, work.deadline_s, work.queued_s, ask.key)


def enqueue(group, work):
    """Return the group with the work in its queue."""
    place = place_of(work)
    group = replace(group, queue=_with_place(group.queue, place))
    if group.is_long(work):
        group = replace(group, queued_long=_with_place(group.queued_long, place))
    return group


def dequeue(group, work):
    """Return the group without the work in its queue."""
    place = place_of(work)
    group = replace(group, queue=_without_place(group.queue, place))
    if group.is_long(work):
        group = replace(group, queued_long=_without_place(group.queued_long, place))
    return group


def count_ahead(group, work):
    """Return how many queued works of the same class go before this one."""
    place = place_of(work)
    long_ahead = bisect.bisect_left(group.queued_long, place)
    if group.is_long(work):
        return long_ahead
    return bisect.bisect_left(group.queue, place) - long_ahead


def count_queued_short(group):
    """Return how many short requests wait."""
    return len(group.queue) - len(group.queued_long)


def _with_place(places, place):
    index = bisect.bisect(places, place)
    return places[:index] + (place,) + places[index:]


def _without_place(places, place):
    index = bisect.bisect_left(places, place)
    for at in range(index, len(places)):
        if places[at].key == place.key:
            return places[:at] + places[at + 1 :]
    return places
