"""Arrival rates of the requests of a group, by priority and by work class."""

import dataclasses

import immutables

from comfreyusher.flow import replace
from comfreyusher.messages import WorkClass
from comfreyusher.owner._window import (
    SlidingWindow,
    count_event,
    count_smaller_half,
    count_totals,
)

ARRIVALS_SPAN_S = 2.0
ARRIVALS_BUCKET_S = 0.2
EMPTY_WINDOW = SlidingWindow(ARRIVALS_SPAN_S, ARRIVALS_BUCKET_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """Requests admitted in the last seconds, by priority; ``short`` only short ones.

    ``light`` are the short ones, by priority, of accounts that had little queued; they
    are counted with fair sharing only.
    """

    by_priority: immutables.Map = immutables.Map()
    short: SlidingWindow = EMPTY_WINDOW
    light: immutables.Map = immutables.Map()


def record_arrival(arrivals, request, now, light=False):
    """Return the arrivals with one more admitted request."""
    window = count_event(
        arrivals.by_priority.get(request.priority, EMPTY_WINDOW), marked=False, now=now
    )
    arrivals = replace(
        arrivals, by_priority=arrivals.by_priority.set(request.priority, window)
    )
    if request.work_class is WorkClass.LONG:
        return arrivals
    if light:
        window = arrivals.light.get(request.priority, EMPTY_WINDOW)
        window = count_event(window, marked=False, now=now)
        arrivals = replace(arrivals, light=arrivals.light.set(request.priority, window))
    return replace(arrivals, short=count_event(arrivals.short, marked=False, now=now))


def higher_priority_rate(arrivals, priority, now):
    """Return the arrival rate per second of requests before a priority."""
    arrived = 0
    for other_priority, window in arrivals.by_priority.items():
        if other_priority < priority:
            arrived += count_totals(window, now)[0]
    return arrived / ARRIVALS_SPAN_S


def light_rate(arrivals, priority, owned_s, now):
    """Return the rate per second of short requests of accounts with little queued.

    It is counted over the time in which the group has been owned, ``owned_s``, if
    that is shorter than the window.
    """
    window = arrivals.light.get(priority)
    if window is None:
        return 0.0
    span_s = min(ARRIVALS_SPAN_S, max(ARRIVALS_BUCKET_S, owned_s))
    return count_totals(window, now)[0] / span_s


def steady_short_rate(arrivals, now):
    """Return the steady arrival rate per second of short requests.

    It is the rate of the half of the window with fewer requests, so that a single
    burst does not count.
    """
    return count_smaller_half(arrivals.short, now) / (ARRIVALS_SPAN_S / 2)
