"""Which nodes read the store for a region.

Every node knows how long ago the store last confirmed the node's data. A node
starts to read the store itself as soon as that is too long ago; the limit is a
little shorter for the first node in rendezvous order than for the next. A reader
sends its watermarks to all nodes of its region, which keeps the others from
reading. So a reader that dies, or is cut off from the store or from other nodes,
is replaced without an election.
"""

import dataclasses

import xxhash

FIRST_STALENESS_SHARE = 0.36
STALENESS_SHARE_PER_RANK = 0.05
LAST_STALENESS_SHARE = 0.72
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0
BACKOFF_MAX_LATE_RANK_S = 4.0
PREFERRED_READERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FeedTimings:
    """Time limits of the feeds, in seconds.

    ``upstream_drain_s`` is the time after which a leaving upstream gets no new
    requests, ``configuration_apply_s`` the time in which a configuration comes
    into force.
    """

    upstream_drain_s: float
    configuration_apply_s: float

    @property
    def upstreams_period_s(self):
        """Period in which a reader reads the upstreams."""
        return self.upstream_drain_s / 5

    @property
    def configuration_wait_s(self):
        """How long one read waits for a newer configuration (long polling)."""
        return self.configuration_apply_s * 0.4

    def max_staleness_s(self, rank):
        """Return how long without confirmation a node waits before it reads itself."""
        share = min(
            LAST_STALENESS_SHARE,
            FIRST_STALENESS_SHARE + STALENESS_SHARE_PER_RANK * rank,
        )
        return share * self.upstream_drain_s


def rank_readers(region, nodes):
    """Return the nodes of a region in the order in which they become readers."""
    return tuple(sorted(nodes, key=lambda node: _score(region, node)))


def _score(region, node):
    name = node.rpartition(".")[0] or node
    return (xxhash.xxh64_intdigest(f"reader|{region}|{name}".encode()), name)


def backoff_s(failures, rank, jitter):
    """Return how many seconds to wait after failures in a row.

    ``jitter`` is between 0 and 1. Nodes late in the order wait longer, since a
    node that reads successfully sends them what it read.
    """
    longest_s = BACKOFF_MAX_S if rank < PREFERRED_READERS else BACKOFF_MAX_LATE_RANK_S
    wait_s = min(longest_s, BACKOFF_FIRST_S * 2 ** (failures - 1))
    return wait_s * (0.5 + jitter)
