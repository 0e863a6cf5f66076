"""Who gives a node what it lacks, so that few nodes read the store.

The nodes of a data centre form a tree in rendezvous order. Its head asks the
reader of the region, every other node asks its parent. A node that is asked
for what it lacks itself answers once it has it.
"""

import zlib

from comfreyusher.messages import CompressedRecord

FANOUT = 4
FIRST_READ_S = 0.3
FIRST_READ_STEP_S = 0.1
HEAD_STORE_SHARE = 0.15
STORE_SHARE = 0.3
STORE_JITTER_SHARE = 0.2
FASTEST = 1
MAX_RECORD_BYTES = 16 << 20


def parent_of(own, near, reader):
    """Return whom a node asks: its parent in the data centre, or the reader.

    ``near`` are the nodes of the data centre in their order. The result is
    empty if there is nobody to ask.
    """
    index = near.index(own) if own in near else 0
    parent = near[(index - 1) // FANOUT] if index else reader
    return parent if parent != own else ""


def first_read_s(rank):
    """Return how long after its start a node reads what nobody gave it."""
    return FIRST_READ_S + FIRST_READ_STEP_S * rank


def store_after_s(apply_s, is_head, chance):
    """Return how long a node waits for others before it reads the store.

    ``chance`` is between 0 and 1, so that nodes don't read all at once.
    """
    if is_head:
        return apply_s * HEAD_STORE_SHARE
    return apply_s * (STORE_SHARE + STORE_JITTER_SHARE * chance)


def pack_record(record):
    """Return a record as it travels between nodes."""
    return CompressedRecord(
        record.key, zlib.compress(record.value, FASTEST), record.offset
    )


def unpack_value(packed):
    """Return the value of a packed record; raises ``zlib.error``."""
    return zlib.decompressobj().decompress(packed, MAX_RECORD_BYTES)
