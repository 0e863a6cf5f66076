"""Load pattern: nodes and the store of a region fail while records change.

Twelve nodes follow a store that does not respond, refuses calls, responds with old
records or drops its history, while nodes are killed, frozen or cut off. A node that
no fault affected for some seconds has to know each change in time. To run more
seeds by hand: ``python -m tests.faulty_region --seeds 500``.
"""

import random
import unittest

from absl import logging

from tests.faults import ALL_FAULT_KINDS, FAULT_KINDS, Fault
from tests.faulty_region import FaultyRegion, draw_heartbeats, simulate

MORE_SEEDS = range(1000, 1012)
DELAYED_REMOVAL_SEEDS = (0, 3, 16, 305, 342, 380)
DROPPED_HISTORY_SEEDS = (5042,)
NEW_READER_SEEDS = (20074,)
TOPIC_IN_BACKOFF_SEEDS = (101029,)
MANY_UPSTREAMS_SEEDS = (400706, 401078)


class FaultyRegionTests(unittest.TestCase):
    def setUp(self):
        before = logging.get_verbosity()
        logging.set_verbosity(logging.ERROR)
        self.addCleanup(logging.set_verbosity, before)

    def check(self, seeds, kinds=FAULT_KINDS):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed, kinds).findings[:3], [])

    # Guards against upstreams that stay registered after they left during an outage.
    def test_upstreams_that_left_during_an_outage_are_removed_on_every_node(self):
        self.check(DELAYED_REMOVAL_SEEDS)

    # Guards against a region that stops reading after the store dropped its history.
    def test_a_region_reads_on_after_the_store_dropped_its_history(self):
        self.check(DROPPED_HISTORY_SEEDS)

    # Guards against a new reader that sends what it read first as a delta, which lacks
    # the upstreams that left before it became a reader.
    def test_upstreams_that_left_before_a_new_reader_are_removed_on_every_node(self):
        self.check(NEW_READER_SEEDS)

    # Guards against a topic that backs off for seconds while the store responds to
    # reads of another topic.
    def test_a_node_to_which_the_store_responds_again_reads_all_topics(self):
        self.check(TOPIC_IN_BACKOFF_SEEDS, ALL_FAULT_KINDS)

    # Guards against a reader that, after one page of another reader's delta, sends
    # only the entries that the page left out.
    def test_large_deltas_are_sent_complete_by_every_reader(self):
        for seed in MANY_UPSTREAMS_SEEDS:
            with self.subTest(seed=seed):
                region = simulate(seed, ALL_FAULT_KINDS, nodes=10, upstreams=40)
                self.assertEqual(region.findings[:3], [])

    # Guards against any change that reaches a healthy node too late.
    def test_healthy_nodes_know_every_change_in_time(self):
        self.check(MORE_SEEDS)


class ReturnTests(unittest.TestCase):
    """Nodes that were cut off from the store and from all others."""

    CUT_S = (12.0, 24.0)
    LEFT_S = 16.0
    # A node counts as unharmed for this long after the end of its cut.
    STABLE_WINDOW_S = 3.0

    def setUp(self):
        before = logging.get_verbosity()
        logging.set_verbosity(logging.ERROR)
        self.addCleanup(logging.set_verbosity, before)

    def run_cut(self, seed, store_kind=None):
        """Return a region of 58 nodes after a third of them was cut off.

        Meanwhile an upstream has left without saying so before.
        """
        rng = random.Random(seed)
        region = FaultyRegion(58, 12, rng)
        region.publish(1)
        draw_heartbeats(region, rng)
        for vm in region.vms:
            region.at(rng.uniform(0, 0.3), lambda v=vm: region.start_node(v))
        self.cut = frozenset(rng.sample(region.vms, 20))
        for kind in ("cut_store", "cut_nodes"):
            region.faults.append(Fault(kind, *self.CUT_S, self.cut))
        if store_kind is not None:
            region.faults.append(Fault(store_kind, *self.CUT_S))
        for fault in region.faults:
            region.at(fault.begin_s, lambda f=fault: region.begin_fault(f))
        return region

    def find_users(self, region, upstream):
        """Return the nodes that would still send requests to an upstream."""
        return [
            node
            for node, task in region.tasks.items()
            if upstream in task.view.registry.upstreams
        ]

    # Guards against nodes that take their own cut for an outage of the store, and hold
    # the removal of an upstream back after their return.
    def test_returned_nodes_drop_upstreams_that_left_during_the_cut(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                region = self.run_cut(seed)
                region.at(self.LEFT_S, lambda r=region: r.stop_upstream("up-0", True))
                region.run_until(self.CUT_S[1] + self.STABLE_WINDOW_S)
                self.assertEqual(self.find_users(region, "up-0"), [])

    # Guards against nodes that drop upstreams at once after an outage of the store for
    # all, in which entries lapse that come back.
    def test_nodes_hold_removals_back_after_an_outage_for_all(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                region = self.run_cut(seed, "store_silent")
                region.at(self.LEFT_S, lambda r=region: r.stop_upstream("up-0", True))
                region.run_until(self.CUT_S[1] + 1.5)
                self.assertEqual(len(self.find_users(region, "up-0")), 58)


if __name__ == "__main__":
    unittest.main()
