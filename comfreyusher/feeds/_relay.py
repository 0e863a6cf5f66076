"""From which node a node requests missing data, so that few nodes read the store.

The nodes of a data centre form a tree in rendezvous order. Its root requests
snapshots from the reader of the region, every other node from its parent. A node
that lacks the requested data itself responds once it has received the data.
"""

import zlib

from comfreyusher.messages import CompressedRecord

FANOUT = 4
FIRST_READ_DELAY_S = 0.3
FIRST_READ_DELAY_PER_RANK_S = 0.1
ROOT_STORE_DELAY_SHARE = 0.15
STORE_DELAY_SHARE = 0.3
STORE_DELAY_JITTER_SHARE = 0.2
COMPRESSION_LEVEL = 1  # the fastest
# A configuration of 33,000 routes and 48,000 client accounts has 19 MB.
MAX_RECORD_BYTES = 32 << 20


def find_parent(node, data_centre_nodes, reader):
    """Return the parent of a node in its data centre, or the reader for the root.

    ``data_centre_nodes`` are the nodes of the data centre in their order. The
    result is empty if the node itself is the reader, or none is known.
    """
    index = data_centre_nodes.index(node) if node in data_centre_nodes else 0
    parent = data_centre_nodes[(index - 1) // FANOUT] if index else reader
    return parent if parent != node else ""


def first_read_delay_s(rank):
    """Return how long after its start a node reads what no other node sent."""
    return FIRST_READ_DELAY_S + FIRST_READ_DELAY_PER_RANK_S * rank


def store_read_delay_s(configuration_apply_s, is_root, jitter):
    """Return how long a node waits for other nodes before it reads the store.

    ``jitter`` is between 0 and 1, so that nodes don't all read at the same time.
    """
    if is_root:
        return configuration_apply_s * ROOT_STORE_DELAY_SHARE
    return configuration_apply_s * (
        STORE_DELAY_SHARE + STORE_DELAY_JITTER_SHARE * jitter
    )


def compress_record(record):
    """Return a record in the form in which nodes send it to each other."""
    return CompressedRecord(
        record.key, zlib.compress(record.value, COMPRESSION_LEVEL), record.offset
    )


def decompress_value(value):
    """Return the value of a compressed record, cut at ``MAX_RECORD_BYTES``.

    Raises ``zlib.error`` if the value is not compressed data.
    """
    return zlib.decompressobj().decompress(value, MAX_RECORD_BYTES)
