"""Admission: refuse at the door what cannot be answered in time.

The queue is kept so short that an answer still has its full worth. A longer
one would serve no more requests, only every one of them late. Work of lower
priority counts on the slots that more urgent arrivals leave.
"""

import dataclasses

from comfreyusher.messages import WorkClass
from comfreyusher.owner._arrivals import steady_short_rate, urgent_rate
from comfreyusher.owner._queue import count_ahead, count_queued_short
from comfreyusher.owner._room import usable_total

DEFAULT_SERVICE_S = 0.05
MIN_RETRY_AFTER_MS = 100
NO_SLOTS_RETRY_AFTER_MS = 500
LEAST_SERVICE_SHARE = 1.2
SURE_WAIT_SHARE = 0.5
LEAST_RATE_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected wait in the queue and time of service, in seconds."""

    wait_s: float
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a class of work has in a group: slots, those in use, mean seconds.

    Once the short work that waits is done, in ``backlog_s`` seconds of one slot,
    the class has ``later_slots``.
    """

    slots: float
    busy: int
    mean_s: float
    backlog_s: float = 0.0
    later_slots: float = 0.0


def room_of(group, work_class, now):
    """Return the room that a class of work has now, and later."""
    slots = usable_total(group, work_class, now)
    busy = _count_busy(group, work_class)
    short_mean_s = group.short_mean_s or DEFAULT_SERVICE_S
    if work_class is not WorkClass.LONG:
        return Room(slots, busy, short_mean_s)
    steady_slots = steady_short_rate(group.arrivals, now) * short_mean_s
    return Room(
        slots,
        busy,
        group.long_mean_s or DEFAULT_SERVICE_S,
        count_queued_short(group) * short_mean_s,
        usable_total(group, WorkClass.SHORT, now) - steady_slots,
    )


def estimate_wait(group, work, now):
    """Return the expected wait for work at its place in the queue."""
    room = room_of(group, work.ask.work_class, now)
    urgent_per_s = urgent_rate(group.arrivals, work.ask.priority, now)
    return estimate_behind(group, work, count_ahead(group, work), room, urgent_per_s)


def estimate_behind(group, work, ahead, room, urgent_per_s):
    """Return the expected wait for work behind so many others of its class.

    ``urgent_per_s`` is how many a second are going to arrive before it.
    """
    service_s = group.usual_s.get(work.ask.route_key, room.mean_s)
    if not room.slots:
        return Estimate(float("inf"), service_s)
    waiting = max(0, ahead + 1 - max(0, room.slots - room.busy))
    rate = room.slots / room.mean_s
    rate = max(rate * LEAST_RATE_SHARE, rate - urgent_per_s)
    wait_s = waiting / rate
    if room.later_slots > 0:
        later_s = (room.backlog_s + ahead * room.mean_s) / room.later_slots
        wait_s = min(wait_s, later_s)
    return Estimate(wait_s, service_s)


def is_too_late(group, work, estimate, now):
    """Tell whether the work cannot be answered in time any more.

    Work whose target has passed may still be answered by its deadline.
    """
    if estimate.wait_s <= 0:
        return work.deadline_s <= now
    if estimate.wait_s > group.plan.profile.max_wait_ms / 1000:
        return True
    least_s = estimate.service_s * LEAST_SERVICE_SHARE
    due_s = work.target_s if now + least_s < work.target_s else work.deadline_s
    return now + estimate.wait_s + least_s > due_s


def is_hopeless(work, estimate, now):
    """Tell whether queued work will miss its deadline even if half the wait is true.

    The mean that the wait is made from moves while work is queued. What was
    admitted is given up only when there is no doubt.
    """
    if estimate.wait_s <= 0 or work.deadline_s <= now:
        return work.deadline_s <= now
    least_s = estimate.wait_s * SURE_WAIT_SHARE + estimate.service_s
    return now + least_s > work.deadline_s


def retry_after_ms(estimate):
    """Return when a retry has a chance, in milliseconds."""
    if estimate.wait_s == float("inf"):
        return NO_SLOTS_RETRY_AFTER_MS
    return max(MIN_RETRY_AFTER_MS, int(estimate.wait_s * 1000))


def _count_busy(group, work_class):
    if work_class is WorkClass.LONG:
        return sum(up.long_in_flight for up in group.upstreams.values())
    return sum(up.in_flight for up in group.upstreams.values())
