"""Who reads the store for a region.

Every node knows how long ago the store last confirmed what it knows. A node
reads itself as soon as that is too long ago, the first in rendezvous order a
little sooner than the next. A reader tells all nodes of its region how far it
is, which keeps the others from reading. So a reader that dies, or is cut off
from the store or from others, is replaced without an election.
"""

import dataclasses

import xxhash

STALE_SHARE = 0.36
STEP_SHARE = 0.05
LAST_SHARE = 0.72
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0
BACKOFF_MAX_LATER_S = 4.0
FIRST_READERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """The times of the feeds, in seconds."""

    drain_s: float
    apply_s: float

    @property
    def follow_s(self):
        """Period in which a reader reads the upstreams."""
        return self.drain_s / 5

    @property
    def configuration_wait_s(self):
        """How long one read waits for a configuration."""
        return self.apply_s * 0.4

    def stale_s(self, rank):
        """Return after how long without confirmation a node reads itself."""
        share = min(LAST_SHARE, STALE_SHARE + STEP_SHARE * rank)
        return share * self.drain_s


def rank_readers(region, nodes):
    """Return the nodes of a region in the order in which they read."""
    return tuple(sorted(nodes, key=lambda node: _score(region, node)))


def _score(region, node):
    name = node.rpartition(".")[0] or node
    return (xxhash.xxh64_intdigest(f"reader|{region}|{name}".encode()), name)


def backoff_s(failures, rank, chance):
    """Return how long to wait after failures in a row.

    ``chance`` is between 0 and 1. Nodes late in the order wait longer, since
    one that succeeds tells them.
    """
    longest_s = BACKOFF_MAX_S if rank < FIRST_READERS else BACKOFF_MAX_LATER_S
    wait_s = min(longest_s, BACKOFF_FIRST_S * 2 ** (failures - 1))
    return wait_s * (0.5 + chance)
