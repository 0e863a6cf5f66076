"""Faults of nodes and of the store, drawn from a seed, and a store's log."""

import bisect
import dataclasses

from comfreyusher.platform import Record

CALM_FROM_S = 8.0
LENGTH_S = 45.0
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
MORE_KINDS = (*FAULT_KINDS, "slow", "most_refused")
STORE_KINDS = frozenset(("store_silent", "store_refuses", "store_old"))


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of some nodes, or of the store, between two times in seconds."""

    kind: str
    begin_s: float
    end_s: float
    nodes: frozenset = frozenset()


def draw_faults(chance, names, kinds):
    """Return the faults of a run, of the given kinds."""
    faults = []
    for _ in range(chance.randint(2, 7)):
        kind = chance.choice(kinds)
        begin_s = chance.uniform(CALM_FROM_S, LENGTH_S - 12.0)
        end_s = begin_s + chance.choice((0.3, 1.0, 2.5, 5.0, 8.0))
        count = chance.randint(1, max(1, len(names) // 2))
        if kind == "most_refused":
            count = len(names) - 1
        nodes = frozenset(chance.sample(names, count))
        chance.random()  # the seeds of regressions were found with this draw
        faults.append(Fault(kind, begin_s, end_s, nodes))
    return faults


class Log:
    """The store's records of one topic, with their times; some are forgotten."""

    def __init__(self):
        self.records = []
        self.times = []
        self.first = 0

    def append(self, key, value, now):
        """Append a record."""
        self.records.append(Record(key, value, len(self.records)))
        self.times.append(now)

    def end_at(self, at_s):
        """Return the offset behind the records of a time."""
        return bisect.bisect_right(self.times, at_s)

    def newest(self, end):
        """Return the newest record of each key before an offset."""
        found = {}
        for record in self.records[:end]:
            if record.value:
                found[record.key] = record
            else:
                found.pop(record.key, None)
        return tuple(found.values())
