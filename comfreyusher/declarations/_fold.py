"""Fold of the records in the topic of declarations, the same on every node.

The first valid record on a base revision comes into force. Later records on the
same base are conflicts. A node that starts from the newest record of each name
accepts every one without a check of its base. A record below the
next offset to read changes nothing, so the state of a node never goes back.
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
class DeclarationEntry:
    """A declaration in force; ``value`` is an instance of a class in ``KINDS``."""

    record: Record
    value: Any
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A publication that was rejected; ``reason`` is shown to its operator."""

    publish_id: str
    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChange:
    """A change of the entry under a key; ``offset`` is the next one to read."""

    offset: int
    key: str


@dataclasses.dataclass(frozen=True)
class Declarations:
    """All declarations in force at a log offset.

    ``offset`` is the next one to read. ``entries`` maps ``kind/name`` to
    ``DeclarationEntry``, and ``by_kind`` each kind to such a map. ``changes``
    are the newest changes, so that tables built from the entries can be updated
    without a scan of all entries. ``settled`` maps recent publish ids to their
    offset, ``conflicts`` to their ``Conflict``. ``skipped`` counts invalid
    records.
    """

    offset: int = 0
    entries: immutables.Map = immutables.Map()
    by_kind: immutables.Map = immutables.Map()
    changes: tuple = ()
    settled: immutables.Map = immutables.Map()
    conflicts: immutables.Map = immutables.Map()
    skipped: int = 0


def apply_record(declarations, offset, text):
    """Return the declarations after the record at ``offset``.

    ``text`` is the encoded record. An invalid record is only counted.
    """
    if offset < declarations.offset:
        return declarations
    advanced = replace(declarations, offset=offset + 1)
    try:
        entry = _read_entry(text, offset)
    except RecordError:
        return replace(advanced, skipped=advanced.skipped + 1)
    key = f"{entry.record.kind}/{entry.record.name}"
    return _apply_entry(advanced, key, advanced.entries.get(key), entry)


def read_newest_records(records, end_offset):
    """Return the declarations from the newest record of each name.

    ``records`` are pairs of offset and text; ``end_offset`` is the next offset
    to read. Invalid records are only counted.
    """
    entries, skipped = {}, 0
    for offset, text in records:
        try:
            entry = _read_entry(text, offset)
        except RecordError:
            skipped += 1
            continue
        entries[f"{entry.record.kind}/{entry.record.name}"] = entry
    return replace(build_declarations(end_offset, entries), skipped=skipped)


def _read_entry(text, offset):
    record = decode_record(text)
    return DeclarationEntry(record, _parse_value(record), offset)


def list_declarations(declarations, kind):
    """Return the values in force of one kind, sorted by name."""
    entries = declarations.by_kind.get(kind, {})
    values = [entry.value for entry in entries.values()]
    return sorted(values, key=lambda value: value.name)


def build_declarations(offset, entries):
    """Return the declarations with the entries in force at an offset."""
    by_kind = {}
    for key, entry in entries.items():
        by_kind.setdefault(entry.record.kind, {})[key] = entry
    return Declarations(
        offset,
        immutables.Map(entries),
        immutables.Map(
            {kind: immutables.Map(group) for kind, group in by_kind.items()}
        ),
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


def _apply_entry(declarations, key, current_entry, entry):
    record = entry.record
    if record.publish_id in declarations.settled:
        return declarations
    revision = current_entry.record.revision if current_entry else 0
    if record.based_on != revision:
        reason = f"{key} is at revision {revision}, not {record.based_on}"
        conflict = Conflict(record.publish_id, entry.offset, reason)
        conflicts = declarations.conflicts.set(record.publish_id, conflict)
        return replace(
            declarations, conflicts=_drop_oldest(conflicts, lambda item: item.offset)
        )
    return _set_entry(declarations, key, entry)


def _set_entry(declarations, key, entry):
    settled = declarations.settled.set(entry.record.publish_id, entry.offset)
    kind = entry.record.kind
    kind_entries = declarations.by_kind.get(kind, immutables.Map()).set(key, entry)
    changes = (*declarations.changes, EntryChange(declarations.offset, key))
    return replace(
        declarations,
        entries=declarations.entries.set(key, entry),
        by_kind=declarations.by_kind.set(kind, kind_entries),
        changes=changes[-KEPT_CHANGES:],
        settled=_drop_oldest(settled, lambda offset: offset),
    )


def _drop_oldest(outcomes, get_offset):
    """Drop the oldest outcomes once more than twice the kept number are held."""
    if len(outcomes) <= 2 * KEPT_PUBLICATIONS:
        return outcomes
    newest = sorted(outcomes.items(), key=lambda item: get_offset(item[1]))
    return immutables.Map(newest[-KEPT_PUBLICATIONS:])
