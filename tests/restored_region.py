"""A simulation of a region whose store is restored from older copies.

It adds restores to the faults of ``tests.faulty_region``. The operator and the
upstreams write again what was lost; a delayed response may be from before a restore.
Run many seeds with ``python -m tests.restored_region --seeds 200``.
"""

import argparse
import collections

from absl import logging

from comfreyusher.platform import Topic
from tests.faults import ERA_KINDS
from tests.faulty_region import (
    RECOVERY_S,
    START_UP_S,
    FaultyRegion,
    Finding,
    simulate,
)

MAX_REWRITE_S = 2.0


class RestoredRegion(FaultyRegion):
    """A region whose store names its era, and is restored at some times."""

    def __init__(self, nodes, upstreams, rng):
        super().__init__(nodes, upstreams, rng)
        self.era = 1
        self.restored_s = []
        self.seen = collections.defaultdict(dict)
        self.every(START_UP_S, 0.25, self.check_upstreams)

    def begin_fault(self, fault):
        """Restore the store; a longer fault means an older copy."""
        super().begin_fault(fault)
        if fault.kind != "store_restored":
            return
        self.era += 1
        self.restored_s.append(self.now)
        for topic in (Topic.UPSTREAMS, Topic.CONFIGURATION):
            self.logs[topic].restore(self.now - (fault.end_s - fault.begin_s))
        delay_s = self.rng.uniform(0, MAX_REWRITE_S)
        self.at(self.now + delay_s, self.write_configuration_again)
        self.at(self.now + MAX_REWRITE_S, self.remove_gone)

    def write_configuration_again(self):
        """Append the newest configuration, as its operator does."""
        if self.publications:
            self.publish(self.publications[-1][1])

    def remove_gone(self):
        """Let the entries lapse that nobody has written again."""
        log = self.logs[Topic.UPSTREAMS]
        for record in log.find_newest(len(log.records)):
            if self.removed_upstreams.get(record.key) == "gone":
                log.append(record.key, b"", self.now)

    def is_store_stable(self, at_s):
        """Return whether the store was without a fault or a restore for a while."""
        if any(
            restored_s <= at_s < restored_s + MAX_REWRITE_S + RECOVERY_S
            for restored_s in self.restored_s
        ):
            return False
        return super().is_store_stable(at_s)

    def find_known_leaving(self, expected, listed):
        """Return the leaving upstreams that the copy still shows as ready."""
        return [
            name
            for name, leaving in expected.items()
            if not leaving and listed.get(name) and self.states[name] == "draining"
        ]

    def check_upstreams(self):
        """Find nodes that drop a live upstream, or use one again that was leaving."""
        for node, task in self.tasks.items():
            upstreams, seen = task.view.registry.upstreams, self.seen[node]
            for name in self.states:
                entry = upstreams.get(name)
                if entry is None and name in seen:
                    if name not in self.removed_upstreams and not seen[name]:
                        self.findings.append(Finding(self.now, node, f"drops {name}"))
                elif entry is not None:
                    if seen.get(name) and not entry.leaving:
                        self.findings.append(Finding(self.now, node, f"revives {name}"))
                    seen[name] = seen.get(name, False) or entry.leaving


def main():
    """Simulate many seeds, and print the findings of each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        region = simulate(seed, ERA_KINDS, region_class=RestoredRegion)
        if region.findings:
            broken += 1
            first = region.findings[0]
            print(f"seed {seed}: {len(region.findings)} findings, first {first}")
    print(f"{options.seeds} seeds, {broken} with findings")


if __name__ == "__main__":
    main()
