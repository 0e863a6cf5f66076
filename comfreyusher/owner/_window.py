"""Counters of two kinds of events over a sliding window of equal time buckets.

The meaning of a marked event, such as a retry or a failure, is up to the user of
the window.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Counts of one bucket; ``number`` is its start divided by its length."""

    number: int
    unmarked: int = 0
    marked: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlidingWindow:
    """The buckets of the last ``span_s`` seconds, oldest first.

    Each bucket is ``bucket_s`` seconds long.
    """

    span_s: float
    bucket_s: float
    buckets: tuple = ()


def count_event(window, marked, now):
    """Return the window with one more event, marked or unmarked."""
    number = int(now / window.bucket_s)
    buckets = _current_buckets(window, number)
    last = buckets[-1] if buckets else None
    if last is None or last.number != number:
        last = Bucket(number)
    else:
        buckets = buckets[:-1]
    unmarked = last.unmarked + (not marked)
    newest = Bucket(number, unmarked, last.marked + bool(marked))
    return SlidingWindow(window.span_s, window.bucket_s, (*buckets, newest))


def count_totals(window, now):
    """Return the numbers of unmarked and of marked events in the window now."""
    buckets = _current_buckets(window, int(now / window.bucket_s))
    unmarked = sum(bucket.unmarked for bucket in buckets)
    return unmarked, sum(bucket.marked for bucket in buckets)


def count_smaller_half(window, now):
    """Return the number of events in the half of the window that has fewer."""
    number = int(now / window.bucket_s)
    middle = number - window.span_s / window.bucket_s / 2
    older, newer = 0, 0
    for bucket in _current_buckets(window, number):
        if bucket.number > middle:
            newer += bucket.unmarked + bucket.marked
        else:
            older += bucket.unmarked + bucket.marked
    return min(older, newer)


def _current_buckets(window, number):
    first_number = number - window.span_s / window.bucket_s
    return tuple(bucket for bucket in window.buckets if bucket.number > first_number)
