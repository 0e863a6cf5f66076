"""Recent durations of a route, and the delay after which a hedge is worth its work."""

import dataclasses

MAX_TIMES = 256
MIN_TIMES = 40
REFRESH_AFTER = 16
MIN_QUANTILE = 0.5  # most requests would be sent twice after a shorter delay
MIN_OLDER_TIMES = 3  # a single long duration says little about the next ones


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
    """Return the delay at which hedges save most time per request, or 0 if none do.

    Of the attempts older than a delay, at most ``share`` of all can be hedged. Each
    hedge saves what the first attempt would still need beyond the median, which a
    second one takes.
    """
    ordered = sorted(times, key=lambda time: time.took_ms)
    count = len(ordered)
    median_ms = ordered[count // 2].took_ms
    best_ms, best_saved_ms = 0, 0.0
    later_ms, completed = 0, 0
    for index in range(count - 1, int(MIN_QUANTILE * count), -1):
        later_ms += ordered[index].took_ms
        completed += ordered[index].completed
        older = count - index
        delay_ms = ordered[index - 1].took_ms
        if older < MIN_OLDER_TIMES:
            continue
        remaining_ms = (later_ms - older * delay_ms) / max(1, completed)
        saved_ms = min(share, older / count) * (remaining_ms - median_ms)
        if saved_ms > best_saved_ms:
            best_ms, best_saved_ms = max(1, delay_ms), saved_ms
    return best_ms
