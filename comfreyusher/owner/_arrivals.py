"""How many requests arrive at a group, by priority and by class."""

import dataclasses

import immutables

from comfreyusher.flow import replace
from comfreyusher.messages import WorkClass
from comfreyusher.owner._window import Window, count, least_half, totals

SPAN_S = 2.0
SLICE_S = 0.2
EMPTY = Window(SPAN_S, SLICE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """Admitted requests of the last seconds: by priority, and the short ones."""

    by_priority: immutables.Map = immutables.Map()
    short: Window = EMPTY


def note_arrival(arrivals, ask, now):
    """Return the arrivals with one more request."""
    window = count(arrivals.by_priority.get(ask.priority, EMPTY), marked=False, now=now)
    arrivals = replace(
        arrivals, by_priority=arrivals.by_priority.set(ask.priority, window)
    )
    if ask.work_class is WorkClass.LONG:
        return arrivals
    return replace(arrivals, short=count(arrivals.short, marked=False, now=now))


def urgent_rate(arrivals, priority, now):
    """Return how many requests a second arrive that go before a priority."""
    urgent = 0
    for other, window in arrivals.by_priority.items():
        if other < priority:
            urgent += totals(window, now)[0]
    return urgent / SPAN_S


def steady_short_rate(arrivals, now):
    """Return how many short requests a second arrive steadily.

    The smaller half of the window counts, so that a single burst does not.
    """
    return least_half(arrivals.short, now) / (SPAN_S / 2)
