"""The fold of the topic of declarations: the same on every node.

The first valid record on a base wins. Later records on the same base are
conflicts. A node that starts from the newest record of every name takes each
as it stands. An offset at or below the catalogue's own changes nothing, so a
node never goes back.
"""

import dataclasses
from typing import Any

import immutables

from comfreyusher.declarations._model import KINDS, parse_declaration
from comfreyusher.declarations._record import (
    Record,
    RecordError,
    decode_record,
    read_body,
)
from comfreyusher.documents import DocumentError
from comfreyusher.flow import replace

KEPT_PUBLICATIONS = 1000
KEPT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A declaration in force."""

    record: Record
    value: Any
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A publication that lost; ``reason`` is for its operator."""

    publish_id: str
    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The entry under a key changed at an offset."""

    offset: int
    key: str


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """All declarations in force at a log offset.

    ``entries`` maps ``kind/name`` to ``Entry``, and ``by_kind`` each kind to
    such a map. ``changes`` are the newest changes, so that what is made from
    the entries need not look at all of them. ``settled`` maps recent publish
    ids to their offset, ``conflicts`` to their ``Conflict``.
    """

    offset: int = 0
    entries: immutables.Map = immutables.Map()
    by_kind: immutables.Map = immutables.Map()
    changes: tuple = ()
    settled: immutables.Map = immutables.Map()
    conflicts: immutables.Map = immutables.Map()
    skipped: int = 0


def apply_record(catalogue, offset, text):
    """Return the catalogue after the record at ``offset``.

    The catalogue's offset is the next one to read.
    """
    if offset < catalogue.offset:
        return catalogue
    moved = replace(catalogue, offset=offset + 1)
    try:
        entry = _read_entry(text, offset)
    except RecordError:
        return replace(moved, skipped=moved.skipped + 1)
    key = f"{entry.record.kind}/{entry.record.name}"
    return _publish(moved, key, moved.entries.get(key), entry)


def read_newest(records, end):
    """Return the catalogue of the newest records of all names.

    ``records`` are pairs of offset and text.
    """
    entries, skipped = {}, 0
    for offset, text in records:
        try:
            entry = _read_entry(text, offset)
        except RecordError:
            skipped += 1
            continue
        entries[f"{entry.record.kind}/{entry.record.name}"] = entry
    return replace(new_catalogue(end, entries), skipped=skipped)


def _read_entry(text, offset):
    record = decode_record(text)
    return Entry(record, _parse_value(record), offset)


def list_in_force(catalogue, kind):
    """Return the values of one kind, sorted by name."""
    entries = catalogue.by_kind.get(kind, {})
    found = [entry.value for entry in entries.values()]
    return sorted(found, key=lambda value: value.name)


def new_catalogue(offset, entries):
    """Return the catalogue with entries that were in force at an offset."""
    by_kind = {}
    for key, entry in entries.items():
        by_kind.setdefault(entry.record.kind, {})[key] = entry
    return Catalogue(
        offset,
        immutables.Map(entries),
        immutables.Map({k: immutables.Map(found) for k, found in by_kind.items()}),
        settled=immutables.Map(
            {entry.record.publish_id: entry.offset for entry in entries.values()}
        ),
    )


def _parse_value(record):
    if record.kind not in KINDS:
        raise RecordError(f"record has the unknown kind {record.kind!r}")
    try:
        value = parse_declaration(record.kind, read_body(record), "log")
    except DocumentError as error:
        raise RecordError(str(error.exceptions[0])) from error
    if value.name != record.name:
        raise RecordError("record's name differs from its body")
    return value


def _publish(catalogue, key, current, entry):
    record = entry.record
    if record.publish_id in catalogue.settled:
        return catalogue
    revision = current.record.revision if current else 0
    if record.based_on != revision:
        reason = f"{key} is at revision {revision}, not {record.based_on}"
        conflict = Conflict(record.publish_id, entry.offset, reason)
        conflicts = catalogue.conflicts.set(record.publish_id, conflict)
        return replace(catalogue, conflicts=_bound(conflicts, lambda item: item.offset))
    return _put(catalogue, key, entry)


def _put(catalogue, key, entry):
    settled = catalogue.settled.set(entry.record.publish_id, entry.offset)
    kind = entry.record.kind
    of_kind = catalogue.by_kind.get(kind, immutables.Map()).set(key, entry)
    changes = (*catalogue.changes, Change(catalogue.offset, key))
    return replace(
        catalogue,
        entries=catalogue.entries.set(key, entry),
        by_kind=catalogue.by_kind.set(kind, of_kind),
        changes=changes[-KEPT_CHANGES:],
        settled=_bound(settled, lambda offset: offset),
    )


def _bound(known, offset_of):
    """Forget the oldest half once twice the kept number is reached."""
    if len(known) <= 2 * KEPT_PUBLICATIONS:
        return known
    newest = sorted(known.items(), key=lambda item: offset_of(item[1]))
    return immutables.Map(newest[-KEPT_PUBLICATIONS:])
