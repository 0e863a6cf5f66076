"""Decisions on account records that the log has acknowledged, but may lose.

The store may be restored from a copy that is some seconds old. Records are kept for
``KEPT_S`` after their acknowledgement, and are appended again once it was restored:
those of this node by itself, those of another node by its replica node, if that other
node is gone by then. Only a store that names its era is known to be restored.
"""

import dataclasses

from comfreyusher.flow import Envelope, end_pipe, replace
from comfreyusher.platform import Append, Topic

CHANNEL = "accounts"
KEPT_S = 60.0
MAX_KEPT_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRecord:
    """A record that the log had at ``kept_s``; ``text`` is an encoded account record.

    ``origin`` is the node that appends it again as long as it lives, or empty if this
    node does.
    """

    key: str
    text: str
    kept_s: float
    origin: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRecords:
    """``records`` that the log has, and those that it may have ``lost``, oldest first.

    ``rewriting`` is the lost one that is being appended.
    """

    records: tuple = ()
    lost: tuple = ()
    rewriting: KeptRecord | None = None


def keep_record(kept, record):
    """Return the kept records with one more; the oldest ones make room for it."""
    records = (*kept.records, record)
    size_bytes = sum(len(record.text) for record in (*kept.lost, *records))
    while records and size_bytes > MAX_KEPT_BYTES:
        size_bytes -= len(records[0].text)
        records = records[1:]
    return replace(kept, records=records)


def expire_records(kept, now):
    """Return the kept records without those that no copy of the store can lack.

    Lost records of other nodes expire too, after twice the time: these nodes append
    them again themselves.
    """
    records = tuple(r for r in kept.records if now - r.kept_s <= KEPT_S)
    lost = tuple(r for r in kept.lost if not r.origin or now - r.kept_s <= 2 * KEPT_S)
    return replace(kept, records=records, lost=lost)


def lose_records(kept, now):
    """Return the kept records after the store was restored: all may be lost."""
    lost = (*kept.lost, *(replace(r, kept_s=now) for r in kept.records))
    return replace(kept, records=(), lost=lost)


def rewrite_next(kept, live_nodes):
    """Append the oldest lost record that this node has to append again."""
    if kept.rewriting is not None:
        return end_pipe(kept, None)
    for record in kept.lost:
        if not record.origin or record.origin not in live_nodes:
            append = Append(
                CHANNEL, record, Topic.ACCOUNTS, record.key, record.text.encode()
            )
            kept = replace(kept, rewriting=record)
            return end_pipe(kept, None, Envelope("platform", append))
    return end_pipe(kept, None)


def end_rewrite(kept, record, written, now):
    """Return the kept records after an append of a lost one ended."""
    kept = replace(kept, rewriting=None)
    if not written:
        return kept
    lost = tuple(other for other in kept.lost if other is not record)
    return keep_record(replace(kept, lost=lost), replace(record, kept_s=now))


def has_own_lost(kept):
    """Return whether this node still has records of its own to append again."""
    return any(not record.origin for record in kept.lost)
