"""Decisions on departures: which upstreams are leaving by their own word.

The store may not know of them yet, or may be away. A departure holds for one start
of the upstream; times are monotonic seconds.
"""

import dataclasses

DEPARTURE_KEPT_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An upstream is leaving; this node heard of it first at ``heard_s``.

    ``started_ms`` is the Unix time of the upstream's start.
    """

    started_ms: int
    heard_s: float


def record_departure(departures, notice, now):
    """Return the departures with one more, and without old ones.

    A departure that is known, or that is of an earlier start, changes nothing.
    """
    known = departures.get(notice.upstream)
    if known is not None and known.started_ms >= notice.started_ms:
        return departures
    for upstream, departure in departures.items():
        if now - departure.heard_s > DEPARTURE_KEPT_S:
            departures = departures.delete(upstream)
    return departures.set(notice.upstream, Departure(notice.started_ms, now))


def has_left(departures, upstream, started_ms):
    """Tell whether the upstream said since this start that it is leaving."""
    departure = departures.get(upstream)
    return departure is not None and started_ms <= departure.started_ms
