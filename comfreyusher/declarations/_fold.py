"""Fold of the records in the topic of declarations, the same on every node.

The first valid record on a base revision comes into force. Later records on the
same base are conflicts. A node that starts from the newest record of each name
accepts every one without a check of its base. A record below the
next offset to read changes nothing, so the state of a node never goes back.

The store may be restored from an older copy, which lacks the newest records. An entry
that the store has not confirmed in its newest era stays in force, and is published
again unchanged. A record of the same or a higher revision that the topic holds instead
replaces it, so that all nodes agree again.
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
    """A declaration in force; ``value`` is an instance of a class in ``KINDS``.

    ``era`` is the newest era of the store in which its record was read.
    """

    record: Record
    value: Any
    offset: int
    era: int = 0


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
    records. ``era`` is the era of the store that the offsets belong to, and ``lost``
    are the keys of entries that it has not shown in that era.
    """

    offset: int = 0
    entries: immutables.Map = immutables.Map()
    by_kind: immutables.Map = immutables.Map()
    changes: tuple = ()
    settled: immutables.Map = immutables.Map()
    conflicts: immutables.Map = immutables.Map()
    skipped: int = 0
    era: int = 0
    lost: frozenset = frozenset()


def apply_record(declarations, offset, text):
    """Return the declarations after the record at ``offset``.

    ``text`` is the encoded record. An invalid record is only counted.
    """
    if offset < declarations.offset:
        return declarations
    advanced = replace(declarations, offset=offset + 1)
    try:
        entry = _read_entry(text, offset, declarations.era)
    except RecordError:
        return replace(advanced, skipped=advanced.skipped + 1)
    key = f"{entry.record.kind}/{entry.record.name}"
    return _apply_entry(advanced, key, advanced.entries.get(key), entry)


def read_newest_records(records, end_offset, era=0):
    """Return the declarations from the newest record of each name.

    ``records`` are pairs of offset and text; ``end_offset`` is the next offset
    to read. Invalid records are only counted.
    """
    entries, skipped = {}, 0
    for offset, text in records:
        try:
            entry = _read_entry(text, offset, era)
        except RecordError:
            skipped += 1
            continue
        entries[f"{entry.record.kind}/{entry.record.name}"] = entry
    declarations = build_declarations(end_offset, entries)
    return replace(declarations, skipped=skipped, era=era)


def begin_era(declarations, newest):
    """Return the declarations after the store was restored from an older copy.

    ``newest`` are those read from the whole topic of the newer era. A held entry stays
    in force if the topic lacks it, or has an older revision of it.
    """
    entries = dict(newest.entries)
    conflicts = declarations.conflicts
    lost, lost_ids = set(), set()
    for key, held in declarations.entries.items():
        found = entries.get(key)
        if found is None or found.record.revision < held.record.revision:
            entries[key] = held
            lost.add(key)
            lost_ids.add(held.record.publish_id)
        elif found.record.publish_id == held.record.publish_id:
            entries[key] = replace(held, offset=found.offset, era=found.era)
        else:
            conflicts = _add_replacement(conflicts, held, found)
    settled = {**declarations.settled, **newest.settled}
    settled = {key: offset for key, offset in settled.items() if key not in lost_ids}
    return replace(
        build_declarations(newest.offset, entries),
        settled=immutables.Map(settled),
        conflicts=conflicts,
        skipped=declarations.skipped + newest.skipped,
        era=newest.era,
        lost=frozenset(lost),
    )


def _add_replacement(conflicts, held, found):
    """Return the conflicts with a lost entry that another record has replaced."""
    if found.record.based_on >= held.record.revision:
        return conflicts
    publish_id = held.record.publish_id
    reason = "the store was restored without it, and another revision replaced it"
    return conflicts.set(publish_id, Conflict(publish_id, found.offset, reason))


def _read_entry(text, offset, era):
    record = decode_record(text)
    return DeclarationEntry(record, _parse_value(record), offset, era)


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
    if declarations.era and current_entry is not None:
        if record.publish_id == current_entry.record.publish_id:
            confirmed = replace(current_entry, offset=entry.offset, era=entry.era)
            return _set_entry(declarations, key, confirmed)
        if current_entry.era < declarations.era:
            return _apply_instead_of_lost(declarations, key, current_entry, entry)
    if record.publish_id in declarations.settled:
        return _mark_lost(declarations, key, current_entry)
    revision = current_entry.record.revision if current_entry else 0
    follows_lost = declarations.era and record.based_on > revision
    if record.based_on != revision and not follows_lost:
        reason = f"{key} is at revision {revision}, not {record.based_on}"
        conflict = Conflict(record.publish_id, entry.offset, reason)
        conflicts = declarations.conflicts.set(record.publish_id, conflict)
        declarations = replace(
            declarations, conflicts=_drop_oldest(conflicts, lambda item: item.offset)
        )
        return _mark_lost(declarations, key, current_entry)
    return _set_entry(declarations, key, entry)


def _mark_lost(declarations, key, current_entry):
    """Return the declarations after a losing record replaced an entry in the topic.

    Appends name the offset that they follow, so this happens only to one that was on
    its way while the store was restored.
    """
    if not declarations.era or current_entry is None:
        return declarations
    lost = replace(current_entry, era=declarations.era - 1)
    return _set_entry(declarations, key, lost)


def _apply_instead_of_lost(declarations, key, held, entry):
    """Return the declarations after a record of a key whose entry the store lost."""
    if entry.record.revision < held.record.revision:
        return declarations
    conflicts = _add_replacement(declarations.conflicts, held, entry)
    return _set_entry(replace(declarations, conflicts=conflicts), key, entry)


def _set_entry(declarations, key, entry):
    settled = declarations.settled.set(entry.record.publish_id, entry.offset)
    kind = entry.record.kind
    kind_entries = declarations.by_kind.get(kind, immutables.Map()).set(key, entry)
    changes = (*declarations.changes, EntryChange(declarations.offset, key))
    lost = declarations.lost
    if entry.era < declarations.era:
        lost = lost | {key}
    elif key in lost:
        lost = lost - {key}
    return replace(
        declarations,
        entries=declarations.entries.set(key, entry),
        by_kind=declarations.by_kind.set(kind, kind_entries),
        changes=changes[-KEPT_CHANGES:],
        lost=lost,
        settled=_drop_oldest(settled, lambda offset: offset),
    )


def _drop_oldest(outcomes, get_offset):
    """Drop the oldest outcomes once more than twice the kept number are held."""
    if len(outcomes) <= 2 * KEPT_PUBLICATIONS:
        return outcomes
    newest = sorted(outcomes.items(), key=lambda item: get_offset(item[1]))
    return immutables.Map(newest[-KEPT_PUBLICATIONS:])
