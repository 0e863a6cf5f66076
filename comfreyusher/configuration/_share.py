"""Pages of configuration that nodes send each other.

A node keeps the newest log records as they were read. A peer that is not far
behind gets those; any other gets all declarations in force.
"""

import dataclasses

import msgspec

from comfreyusher.declarations import (
    KINDS,
    Entry,
    Record,
    RecordError,
    apply_record,
    compact_record,
    new_catalogue,
)
from comfreyusher.messages import RecordsGiven
from comfreyusher.platform import LogRecord

KEPT_RECORDS = 500
RECORDS_PER_PAGE = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class SharedEntry:
    """A declaration in force, as it travels."""

    record: Record
    offset: int
    stated_ms: int


def keep_records(kept, records):
    """Return the newest records after more were read."""
    return (kept + tuple(records))[-KEPT_RECORDS:]


def pages_for(catalogue, kept, after):
    """Return the messages that bring a peer from an offset to the newest."""
    newer = tuple(record for record in kept if record.offset > after)
    complete = bool(newer) and after > 0 and kept[0].offset <= after + 1
    if complete:
        texts = tuple(msgspec.json.encode(record).decode() for record in newer)
        return _split(texts, after, catalogue.offset, whole=False)
    texts = tuple(
        msgspec.json.encode(
            SharedEntry(entry.record, entry.offset, entry.stated_ms)
        ).decode()
        for entry in catalogue.entries.values()
    )
    return _split(texts, after, catalogue.offset, whole=True)


def _split(texts, after, offset, whole):
    starts = range(0, max(1, len(texts)), RECORDS_PER_PAGE)
    return tuple(
        RecordsGiven(
            after,
            offset,
            whole,
            start == starts[-1],
            texts[start : start + RECORDS_PER_PAGE],
        )
        for start in starts
    )


def read_records(texts):
    """Return the log records in a page."""
    return tuple(msgspec.json.decode(text, type=LogRecord) for text in texts)


def apply_records(catalogue, records):
    """Return the catalogue after log records."""
    for record in records:
        catalogue = apply_record(catalogue, record.offset, record.value, record.time_ms)
    return catalogue


def read_whole(texts, offset):
    """Return the catalogue in the pages of a peer.

    The peer has checked every declaration when it folded the log, so that the
    fast decoder is enough here.
    """
    entries = {}
    for text in texts:
        shared = msgspec.json.decode(text, type=SharedEntry)
        record = compact_record(shared.record)
        if record.kind not in KINDS:
            raise RecordError(f"record has the unknown kind {record.kind!r}")
        value = msgspec.json.decode(record.body, type=KINDS[record.kind])
        entry = Entry(record, value, shared.offset, shared.stated_ms)
        entries[f"{record.kind}/{record.name}"] = entry
    return new_catalogue(offset, entries)
