"""Export of one customer's account from the records of the log.

The fold may see records more than once and in any order.
"""

import dataclasses

import immutables

from comfreyusher.accounts._record import unpack_entries
from comfreyusher.flow import replace


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """Numbers of an origin that no record holds.

    ``last`` is -1 when the origin neither closed nor lives, so that requests
    after ``first`` may be missing.
    """

    origin: str
    first: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Entries of one customer, and all numbers seen for each origin.

    ``ranges`` maps an origin to sorted, disjoint ``Range`` tuples.
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
    """Return the account after a record; raises ``AccountRecordError``."""
    entries = account.entries
    numbers = []
    for entry in unpack_entries(record):
        numbers.append(entry.number)
        if entry.customer != account.customer:
            continue
        key = (entry.origin, entry.number)
        known = entries.get(key)
        if known is None or (entry.outcome and not known.outcome):
            entries = entries.set(key, entry)
    ranges = _merge(account.ranges.get(record.origin, ()), numbers)
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
    """Return the customer's entries in the order of their times."""
    entries = account.entries.values()
    return sorted(entries, key=lambda e: (e.time_ms, e.origin, e.number))


def find_gaps(account, live):
    """Return every gap; ``live`` are the origins that still run."""
    gaps = []
    for origin, ranges in sorted(account.ranges.items()):
        expected = 1
        for known in ranges:
            if known.first > expected:
                gaps.append(Gap(origin, expected, known.first - 1))
            expected = known.last + 1
        last = account.closed.get(origin)
        if last is not None and last >= expected:
            gaps.append(Gap(origin, expected, last))
        elif last is None and origin not in live:
            gaps.append(Gap(origin, expected, -1))
    return gaps


def _merge(ranges, numbers):
    """Return the ranges with more numbers."""
    found = sorted([*ranges, *(Range(number, number) for number in numbers)])
    merged = []
    for item in found:
        if merged and item.first <= merged[-1].last + 1:
            last = max(merged[-1].last, item.last)
            merged[-1] = Range(merged[-1].first, last)
        else:
            merged.append(item)
    return tuple(merged)
