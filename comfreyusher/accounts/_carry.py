"""Carrying accounts past the log's retention.

One node of the fleet follows the accounts stream with a delay of half the
retention and appends each record again, so that no record is ever dropped
before a younger copy of it stands in the log. A record that was carried
before is carried on in the same way.
"""

import dataclasses

from comfreyusher.flow import Address, change, stopped
from comfreyusher.platform import Append, Read

CARRY_SHARE = 0.5
STREAM = "accounts"
CHANNEL = "accounts"
RECORDS_PER_READ = 20


@dataclasses.dataclass(frozen=True, slots=True)
class CarryToken:
    """Marks the append of a carried record by its old offset."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Carrier:
    """Progress of carrying; ``after`` is the last offset carried."""

    after: int = 0
    reading: bool = False
    waiting: tuple = ()
    carried_total: int = 0


def read_on(carrier):
    """Read the next records unless some are under way."""
    if carrier.reading or carrier.waiting:
        return stopped(carrier, None)
    read = Read(CHANNEL, STREAM, carrier.after, 0, RECORDS_PER_READ)
    carrier = change(carrier, reading=True)
    return stopped(carrier, None, Address("platform", read))


def take_page(carrier, page):
    """Append again what is older than half of the retention."""
    limit_ms = page.now_ms - page.retention_ms * CARRY_SHARE
    due = tuple(r for r in page.records if r.time_ms < limit_ms)
    carrier = change(carrier, reading=False, waiting=due)
    return _carry_first(carrier)


def take_carried(carrier, token):
    """Go on with the next record."""
    if not carrier.waiting or carrier.waiting[0].offset != token.offset:
        return stopped(carrier, None)
    carrier = change(
        carrier,
        after=token.offset,
        waiting=carrier.waiting[1:],
        carried_total=carrier.carried_total + 1,
    )
    return _carry_first(carrier)


def give_up(carrier):
    """Forget the reads and appends under way; later ticks begin again."""
    return change(carrier, reading=False, waiting=())


def _carry_first(carrier):
    if not carrier.waiting:
        return stopped(carrier, None)
    record = carrier.waiting[0]
    append = Append(CHANNEL, CarryToken(record.offset), STREAM, record.value)
    return stopped(carrier, None, Address("platform", append))
