"""Export of one customer's account from the records of the log.

Records may be added more than once and in any order.
"""

import dataclasses

import immutables

from comfreyusher.accounts._record import decompress_entries
from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """A range of numbers of an origin that no record holds, both ends included.

    ``last`` is -1 when the origin neither shut down properly nor is live, so that
    any number of entries from ``first`` on may be missing.
    """

    origin: str
    first: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Entries of one customer, and the numbers found for each origin.

    ``entries`` is keyed by origin and number. ``ranges`` maps an origin to the
    numbers of all customers, as a tuple of sorted, disjoint ``Range`` objects.
    ``closed`` maps an origin that shut down to its last number.
    """

    customer: str
    entries: immutables.Map = immutables.Map()
    ranges: immutables.Map = immutables.Map()
    closed: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Range:
    """Numbers from ``first`` to ``last``, both included."""

    first: int
    last: int


def add_record(account, record):
    """Return the account with a record added, or raise ``AccountRecordError``."""
    entries = account.entries
    numbers = []
    for entry in decompress_entries(record):
        numbers.append(entry.number)
        if entry.customer != account.customer:
            continue
        key = (entry.origin, entry.number)
        known = entries.get(key)
        if known is None or (entry.outcome and not known.outcome):
            entries = entries.set(key, entry)
    ranges = _merge_ranges(account.ranges.get(record.origin, ()), numbers)
    closed = account.closed
    if record.closed >= 0:
        closed = closed.set(record.origin, record.closed)
    return replace(
        account,
        entries=entries,
        ranges=account.ranges.set(record.origin, ranges),
        closed=closed,
    )


def list_entries(account):
    """Return the customer's entries sorted by time."""
    entries = account.entries.values()
    return sorted(entries, key=lambda e: (e.time_ms, e.origin, e.number))


def find_gaps(account, live_origins):
    """Return all gaps; ``live_origins`` are the origins that still run."""
    gaps = []
    for origin, ranges in sorted(account.ranges.items()):
        expected = 1
        for number_range in ranges:
            if number_range.first > expected:
                gaps.append(Gap(origin, expected, number_range.first - 1))
            expected = number_range.last + 1
        last = account.closed.get(origin)
        if last is not None and last >= expected:
            gaps.append(Gap(origin, expected, last))
        elif last is None and origin not in live_origins:
            gaps.append(Gap(origin, expected, -1))
    return gaps


def _merge_ranges(ranges, numbers):
    """Return sorted, disjoint ranges of the given ranges and numbers."""
    unmerged = sorted([*ranges, *(Range(number, number) for number in numbers)])
    merged = []
    for item in unmerged:
        if merged and item.first <= merged[-1].last + 1:
            last = max(merged[-1].last, item.last)
            merged[-1] = Range(merged[-1].first, last)
        else:
            merged.append(item)
    return tuple(merged)
