"""Recent durations of a route, and the delay after which a hedge is worth its work."""

import dataclasses
import math

MAX_TIMES = 256
MIN_TIMES = 40
REFRESH_AFTER = 16
# Beyond the last percent, so few of the recent durations are left that the delay would
# depend on single ones; below the median most requests would be sent twice.
MIN_QUANTILE, MAX_QUANTILE = 0.5, 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTime:
    """How long an attempt took, or how old it was when it was cancelled."""

    took_ms: int
    completed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTimes:
    """The recent times of a route, the oldest first.

    ``hedge_after_ms`` is derived from them after every ``REFRESH_AFTER`` new ones, of
    which ``unused`` have been recorded since. It is 0 while no hedge is worth it.
    """

    times: tuple = ()
    unused: int = 0
    hedge_after_ms: int = 0


def add_time(route_times, took_ms, completed, share):
    """Return the times of a route with one more.

    A cancelled attempt that was younger than the delay says nothing about the durations
    beyond it, and is left out.
    """
    if not completed and took_ms < max(1, route_times.hedge_after_ms):
        return route_times
    times = (*route_times.times, RouteTime(took_ms, completed))[-MAX_TIMES:]
    unused = route_times.unused + 1
    if len(times) < MIN_TIMES or unused < REFRESH_AFTER:
        return RouteTimes(times, unused, route_times.hedge_after_ms)
    return RouteTimes(times, 0, find_delay_ms(times, share))


def find_delay_ms(times, share):
    """Return the delay that at most ``share`` of the times exceed, or 0.

    It is 0 if a second attempt, which takes the median time, would usually end after
    the first one.
    """
    ordered = sorted(times, key=lambda time: time.took_ms)
    quantile = min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - share))
    delay_ms = ordered[math.ceil(quantile * len(ordered)) - 1].took_ms
    median_ms = ordered[len(ordered) // 2].took_ms
    if mean_remaining_ms(ordered, delay_ms) < median_ms:
        return 0
    return max(1, delay_ms)


def mean_remaining_ms(times, delay_ms):
    """Return how long an attempt is expected to run on after ``delay_ms``.

    Cancelled attempts would have run for longer than was seen. So the time seen beyond
    the delay is divided by the number of attempts that were completed there, as for
    censored observations of a constant rate.
    """
    later = [time for time in times if time.took_ms > delay_ms]
    completed = sum(time.completed for time in later)
    return sum(time.took_ms - delay_ms for time in later) / max(1, completed)
