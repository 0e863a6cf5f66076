"""What a node knows of the store's topics, and how fresh it is.

Times are monotonic seconds. Positions are offsets: a node at ``end`` has seen
every record before it.
"""

import dataclasses
import enum

import immutables

from comfreyusher.flow import replace
from comfreyusher.messages import RegisteredUpstream
from comfreyusher.platform import (
    DocumentRefused,
    decode_configuration,
    decode_upstream,
    find_configuration,
)

NEVER_S = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How far a topic was read.

    ``changed`` is the position behind the last record that mattered, and
    ``confirmed_s`` when the store last confirmed all this.
    """

    known: bool = False
    end: int = 0
    changed: int = 0
    confirmed_s: float = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An upstream whose entry is gone, and when to believe it."""

    name: str
    due_s: float


@dataclasses.dataclass(frozen=True)
class Listing:
    """The upstreams by name, and those that will be taken as gone."""

    upstreams: immutables.Map = immutables.Map()
    departures: immutables.Map = immutables.Map()


class Effect(enum.Enum):
    """What an entry did to the listing.

    LATER entries change nothing yet: a removal that will count, or its end.
    """

    NONE = "none"
    LATER = "later"
    NOW = "now"


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of applying records.

    ``changed`` are entries that count now, ``news`` these and the later ones: all
    that other nodes have to hear. ``faults`` tell what is wrong with records.
    """

    listing: Listing
    changed: tuple = ()
    news: tuple = ()
    faults: tuple = ()


def apply_upstreams(listing, records, departs_s):
    """Return the ``Applied`` records of a part of the topic.

    ``departs_s`` is when a removal counts. An entry that cannot be read names
    no upstream.
    """
    entries, faults = [], []
    for record in records:
        try:
            entry = decode_upstream(record)
        except DocumentRefused as error:
            faults.append(str(error))
            entry = RegisteredUpstream(record.key, removed=True)
        entries.append(entry)
    applied = _apply_entries(listing, entries, lambda entry: departs_s)
    return replace(applied, faults=tuple(faults))


def apply_newest(listing, records, departs_s):
    """Return the ``Applied`` newest records of the whole topic."""
    names = {record.key for record in records}
    part = apply_upstreams(listing, records, departs_s)
    missing = _missing(part.listing, names)
    whole = _apply_entries(part.listing, missing, lambda entry: departs_s)
    return Applied(
        whole.listing,
        part.changed + whole.changed,
        part.news + whole.news,
        part.faults,
    )


def apply_changes(listing, entries, now, departs_s):
    """Return the ``Applied`` entries that another node has read.

    ``departs_s`` is when a removal counts by what this node knows of the store;
    the other one, which may have been cut off itself, cannot put it off further.
    """

    def departs_s_of(entry):
        told_s = (
            now + entry.removal_delay_ms / 1000 if entry.removal_delay_ms else NEVER_S
        )
        return min(told_s, departs_s)

    return _apply_entries(listing, entries, departs_s_of)


def apply_whole(listing, entries, now, departs_s):
    """Return the ``Applied`` entries that are all that another node knows."""
    names = {entry.name for entry in entries}
    missing = _missing(listing, names)
    return apply_changes(listing, (*entries, *missing), now, departs_s)


def entries_of(listing, now):
    """Return the entries that tell another node all of a listing."""
    departing = add_departures(
        listing,
        (RegisteredUpstream(name, removed=True) for name in listing.departures),
        now,
    )
    return (*listing.upstreams.values(), *departing)


def newest_of(entries):
    """Return the last entry of each upstream, so that their order is of no account."""
    return tuple({entry.name: entry for entry in entries}.values())


def add_departures(listing, entries, now):
    """Return the entries, removals with the time after which they count."""
    return tuple(
        replace(entry, removal_delay_ms=_departs_ms(listing, entry, now))
        if entry.removed
        else entry
        for entry in entries
    )


def _departs_ms(listing, entry, now):
    departure = listing.departures.get(entry.name)
    return max(1, int((departure.due_s - now) * 1000)) if departure else 0


def release_departures(listing, now):
    """Return the ``Applied`` removals that are due."""
    due = [
        RegisteredUpstream(name, removed=True)
        for name, departure in listing.departures.items()
        if departure.due_s <= now
    ]
    return _apply_entries(listing, due, lambda entry: NEVER_S)


def _missing(listing, names):
    return tuple(
        RegisteredUpstream(name, removed=True)
        for name in listing.upstreams
        if name not in names
    )


def _apply_entries(listing, entries, departs_s_of):
    """Return the ``Applied`` entries; the function tells when a removal counts."""
    changed, news = [], []
    for entry in entries:
        listing, effect = _apply_entry(listing, entry, departs_s_of(entry))
        if effect is Effect.NOW:
            changed.append(entry)
        if effect is not Effect.NONE:
            news.append(entry)
    return Applied(listing, tuple(changed), tuple(news))


def _apply_entry(listing, entry, departs_s):
    """Return the listing after one entry, and the ``Effect`` of that."""
    if not entry.removed:
        return _list_entry(listing, entry)
    if entry.name not in listing.upstreams:
        return listing, Effect.NONE
    departures = listing.departures
    if departs_s <= NEVER_S:
        upstreams = listing.upstreams.delete(entry.name)
        if entry.name in departures:
            departures = departures.delete(entry.name)
        return Listing(upstreams, departures), Effect.NOW
    if entry.name in departures:
        return listing, Effect.NONE
    departure = Departure(entry.name, departs_s)
    departures = departures.set(entry.name, departure)
    return replace(listing, departures=departures), Effect.LATER


def _list_entry(listing, entry):
    effect = Effect.NONE
    if entry.name in listing.departures:
        departures = listing.departures.delete(entry.name)
        listing = replace(listing, departures=departures)
        effect = Effect.LATER
    known = listing.upstreams.get(entry.name)
    if known is not None and is_same(known, entry):
        return listing, effect
    upstreams = listing.upstreams.set(entry.name, entry)
    return replace(listing, upstreams=upstreams), Effect.NOW


def is_same(known, entry):
    """Tell whether two entries differ at most in what passes with time."""
    return replace(known, remaining_warmup_ms=entry.remaining_warmup_ms) == entry


def apply_configuration(published, records):
    """Return the newest published configuration, never an older one.

    Raises ``DocumentRefused`` if the newest record cannot be read.
    """
    record = find_configuration(records)
    if record is None:
        return published
    found = decode_configuration(record.value)
    if published is not None and found.version <= published.version:
        return published
    return found
