"""Read positions, the registry of upstreams, and how records change them.

Times are monotonic seconds. A node whose position is at ``end_offset`` has read
every record before that offset.
"""

import dataclasses
import enum

import immutables

from comfreyusher.declarations import PlatformConfiguration
from comfreyusher.feeds._outage import AT_ONCE_S
from comfreyusher.flow import replace
from comfreyusher.messages import RegisteredUpstream
from comfreyusher.platform import (
    DecodeError,
    Record,
    decode_configuration,
    decode_upstream,
    find_configurations,
)

NEVER_S = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How far a topic was read.

    ``end_offset`` is the next offset to read, ``changed_offset`` the one after the
    last relevant change, both in the ``era`` of the store, and ``confirmed_s`` when
    the store last confirmed both.
    """

    known: bool = False
    end_offset: int = 0
    changed_offset: int = 0
    confirmed_s: float = NEVER_S
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRemoval:
    """An upstream whose entry was removed, and when that takes effect."""

    name: str
    due_s: float


@dataclasses.dataclass(frozen=True)
class UpstreamRegistry:
    """The upstreams by name, and removals that are yet to take effect.

    ``left`` maps upstreams that were leaving when the store was restored to the Unix
    time of their start. The store may list them as ready, as its copy does, until it
    lists them as leaving or not at all.
    """

    upstreams: immutables.Map = immutables.Map()
    pending_removals: immutables.Map = immutables.Map()
    left: immutables.Map = immutables.Map()


class Effect(enum.Enum):
    """When an entry takes effect in the registry.

    DEFERRED entries change no upstream yet: a removal that takes effect later, or
    an entry that cancels such a removal.
    """

    NONE = "none"
    DEFERRED = "deferred"
    IMMEDIATE = "immediate"


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of applying records or entries.

    ``changed`` are the entries that took effect, ``delta`` these and the deferred
    ones: all that other nodes need. ``faults`` describe unreadable records.
    """

    registry: UpstreamRegistry
    changed: tuple = ()
    delta: tuple = ()
    faults: tuple = ()


def apply_upstream_records(registry, records, removal_due_s):
    """Apply records of a part of the topic; return the ``ApplyResult``.

    Removals take effect at ``removal_due_s``. An entry that cannot be read counts
    as a removal.
    """
    entries, faults = [], []
    for record in records:
        try:
            entry = decode_upstream(record)
        except DecodeError as error:
            faults.append(str(error))
            entry = RegisteredUpstream(record.key, removed=True)
        entries.append(entry)
    applied = _apply_entries(registry, entries, lambda entry: removal_due_s)
    return replace(applied, faults=tuple(faults))


def apply_newest_records(registry, records, removal_due_s):
    """Apply the newest records of the whole topic; return the ``ApplyResult``.

    Upstreams without a record are removed.
    """
    names = {record.key for record in records}
    registry = _forget_unlisted(registry, names)
    partial = apply_upstream_records(registry, records, removal_due_s)
    missing = _missing_removals(partial.registry, names)
    whole = _apply_entries(partial.registry, missing, lambda entry: removal_due_s)
    return ApplyResult(
        whole.registry,
        partial.changed + whole.changed,
        partial.delta + whole.delta,
        partial.faults,
    )


def apply_delta(registry, entries, now, removal_due_s, earliest_s=AT_ONCE_S):
    """Apply entries that another node has read; return the ``ApplyResult``.

    ``removal_due_s`` is when a removal takes effect by this node's own view of the
    store. The other node may have been cut off itself, so its delay can only make
    that earlier, never later, but not earlier than ``earliest_s``.
    """

    def removal_due_s_of(entry):
        sender_due_s = (
            now + entry.removal_delay_ms / 1000 if entry.removal_delay_ms else NEVER_S
        )
        return max(min(sender_due_s, removal_due_s), earliest_s)

    return _apply_entries(registry, entries, removal_due_s_of)


def apply_snapshot(registry, entries, now, removal_due_s, earliest_s=AT_ONCE_S):
    """Apply all entries of another node; return the ``ApplyResult``."""
    names = {entry.name for entry in entries}
    registry = _forget_unlisted(registry, names)
    missing = _missing_removals(registry, names)
    entries = (*entries, *missing)
    return apply_delta(registry, entries, now, removal_due_s, earliest_s)


def build_snapshot_entries(registry, now):
    """Return the entries from which another node can build the same registry."""
    removals = add_removal_delays(
        registry,
        (RegisteredUpstream(name, removed=True) for name in registry.pending_removals),
        now,
    )
    return (*registry.upstreams.values(), *removals)


def keep_last_entries(entries):
    """Return the last entry of each upstream, so that their order does not matter."""
    return tuple({entry.name: entry for entry in entries}.values())


def add_removal_delays(registry, entries, now):
    """Return the entries, with removals that carry their remaining delay."""
    return tuple(
        replace(entry, removal_delay_ms=_removal_delay_ms(registry, entry, now))
        if entry.removed
        else entry
        for entry in entries
    )


def _removal_delay_ms(registry, entry, now):
    removal = registry.pending_removals.get(entry.name)
    return max(1, int((removal.due_s - now) * 1000)) if removal else 0


def apply_due_removals(registry, now):
    """Apply the pending removals that are due; return the ``ApplyResult``."""
    due = [
        RegisteredUpstream(name, removed=True)
        for name, removal in registry.pending_removals.items()
        if removal.due_s <= now
    ]
    return _apply_entries(registry, due, lambda entry: NEVER_S)


def advance_removals(registry, due_s):
    """Return the registry whose pending removals take effect by a time."""
    removals = {
        name: replace(removal, due_s=min(due_s, removal.due_s))
        for name, removal in registry.pending_removals.items()
    }
    return replace(registry, pending_removals=immutables.Map(removals))


def _missing_removals(registry, names):
    return tuple(
        RegisteredUpstream(name, removed=True)
        for name in registry.upstreams
        if name not in names
    )


def _apply_entries(registry, entries, removal_due_s_of):
    """Apply entries; ``removal_due_s_of`` returns when a removal takes effect."""
    changed, delta = [], []
    for entry in entries:
        left = registry.left
        registry, entry = _keep_leaving(registry, entry)
        is_confirmed = registry.left is not left
        registry, effect = _apply_entry(registry, entry, removal_due_s_of(entry))
        if is_confirmed and effect is Effect.NONE:
            effect = Effect.DEFERRED  # nodes that believed the copy need the entry
        if effect is Effect.IMMEDIATE:
            changed.append(entry)
        if effect is not Effect.NONE:
            delta.append(entry)
    return ApplyResult(registry, tuple(changed), tuple(delta))


def _apply_entry(registry, entry, removal_due_s):
    """Return the registry after one entry, and the ``Effect`` of the entry."""
    if not entry.removed:
        return _register_entry(registry, entry)
    if entry.name not in registry.upstreams:
        return registry, Effect.NONE
    pending_removals = registry.pending_removals
    if removal_due_s <= NEVER_S:
        upstreams = registry.upstreams.delete(entry.name)
        if entry.name in pending_removals:
            pending_removals = pending_removals.delete(entry.name)
        registry = UpstreamRegistry(upstreams, pending_removals, registry.left)
        return registry, Effect.IMMEDIATE
    if entry.name in pending_removals:
        return registry, Effect.NONE
    removal = PendingRemoval(entry.name, removal_due_s)
    pending_removals = pending_removals.set(entry.name, removal)
    return replace(registry, pending_removals=pending_removals), Effect.DEFERRED


def remember_left(registry, retired):
    """Return the registry that keeps the upstreams leaving that are leaving now.

    ``retired`` maps those that left lately to the Unix time of their start.
    """
    leaving = {
        name: entry.started_ms
        for name, entry in registry.upstreams.items()
        if entry.leaving
    }
    return replace(registry, left=immutables.Map({**retired, **leaving}))


def _forget_unlisted(registry, names):
    """Return the registry without upstreams that left and that the store lacks."""
    left = {name: ms for name, ms in registry.left.items() if name in names}
    return replace(registry, left=immutables.Map(left)) if registry.left else registry


def _keep_leaving(registry, entry):
    """Return the registry and an entry that an older copy may show as ready.

    Once the store lists the upstream as leaving, as removed, or with a later start,
    its entries count as they are again.
    """
    started_ms = registry.left.get(entry.name)
    if started_ms is None:
        return registry, entry
    if entry.removed or entry.leaving or entry.started_ms > started_ms:
        return replace(registry, left=registry.left.delete(entry.name)), entry
    return registry, replace(entry, leaving=True)


def _register_entry(registry, entry):
    effect = Effect.NONE
    if entry.name in registry.pending_removals:
        pending_removals = registry.pending_removals.delete(entry.name)
        registry = replace(registry, pending_removals=pending_removals)
        effect = Effect.DEFERRED
    known = registry.upstreams.get(entry.name)
    if known is not None and equals_except_warmup(known, entry):
        return registry, effect
    upstreams = registry.upstreams.set(entry.name, entry)
    return replace(registry, upstreams=upstreams), Effect.IMMEDIATE


def equals_except_warmup(known, entry):
    """Return whether two entries are equal but for the remaining warm-up time."""
    return replace(known, remaining_warmup_ms=entry.remaining_warmup_ms) == entry


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationResult:
    """The configuration in force after some records.

    ``record`` is the one that brought it, ``None`` if none did. ``faults`` describe
    unreadable records.
    """

    configuration: PlatformConfiguration | None
    record: Record | None = None
    faults: tuple = ()


def apply_configuration(current, records, decode=decode_configuration):
    """Return the ``ConfigurationResult`` of some records.

    The newest one that can be read counts, and an older version never replaces a
    newer one. ``current`` is ``None`` before the first one. ``decode`` returns
    the configuration in a value.
    """
    faults = []
    for record in find_configurations(records):
        try:
            newest = decode(record.value)
        except DecodeError as error:
            faults.append(str(error))
            continue
        if current is not None and newest.version <= current.version:
            record, newest = None, current
        return ConfigurationResult(newest, record, tuple(faults))
    return ConfigurationResult(current, None, tuple(faults))
