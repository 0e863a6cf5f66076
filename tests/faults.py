"""Random faults of nodes and of the store, and the records of a store."""

import bisect
import dataclasses

from comfreyusher.platform import Record

START_UP_S = 8.0
RUN_LENGTH_S = 45.0
FAULT_KINDS = (
    "kill",
    "freeze",
    "cut_store",
    "cut_store_back",
    "refuse",
    "cut_nodes",
    "cut_one_way",
    "lossy",
    "store_silent",
    "store_refuses",
    "store_old",
    "store_forgets",
)
ALL_FAULT_KINDS = (*FAULT_KINDS, "slow", "most_refused")
ERA_KINDS = (*FAULT_KINDS, *("store_restored",) * 5)
STORE_KINDS = frozenset(("store_silent", "store_refuses", "store_old"))


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of some nodes, or of the store, between two times in seconds."""

    kind: str
    begin_s: float
    end_s: float
    nodes: frozenset = frozenset()


def draw_faults(rng, names, kinds):
    """Return random faults of the given kinds for one run."""
    faults = []
    for _ in range(rng.randint(2, 7)):
        kind = rng.choice(kinds)
        begin_s = rng.uniform(START_UP_S, RUN_LENGTH_S - 12.0)
        end_s = begin_s + rng.choice((0.3, 1.0, 2.5, 5.0, 8.0))
        count = rng.randint(1, max(1, len(names) // 2))
        if kind == "most_refused":
            count = len(names) - 1
        nodes = frozenset(rng.sample(names, count))
        rng.random()  # keeps the draws that the seeds of regression tests rely on
        faults.append(Fault(kind, begin_s, end_s, nodes))
    return faults


class StoreLog:
    """The store's records of one topic, with their times.

    Records before ``first_offset`` are no longer kept.
    """

    def __init__(self):
        self.records = []
        self.times = []
        self.first_offset = 0

    def append(self, key, value, now):
        """Append a record."""
        self.records.append(Record(key, value, len(self.records)))
        self.times.append(now)

    def end_at(self, at_s):
        """Return the offset after the records that were appended by a time."""
        return bisect.bisect_right(self.times, at_s)

    def restore(self, copied_s):
        """Lose the records that were appended after a copy was made."""
        end = self.end_at(copied_s)
        del self.records[end:], self.times[end:]
        self.first_offset = min(self.first_offset, end)

    def find_newest(self, end):
        """Return the newest record of each key before an offset."""
        found = {}
        for record in self.records[:end]:
            if record.value:
                found[record.key] = record
            else:
                found.pop(record.key, None)
        return tuple(found.values())
