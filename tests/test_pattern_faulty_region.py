"""Load pattern: nodes and the store of a region fail while things change.

Twelve nodes follow a store that is silent, refuses, answers with old records or
forgets, while nodes are killed, frozen or cut off. A node that nothing harmed for
some seconds has to know each change in time. More seeds by hand:
``python -m tests.faulty_region --seeds 500``.
"""

import unittest

from absl import logging

from tests.faults import FAULT_KINDS, MORE_KINDS
from tests.faulty_region import play

FRESH_SEEDS = range(1000, 1012)
HELD_BACK_REMOVAL = (0, 3, 16, 305, 342, 380)
FORGOTTEN_HISTORY = (5042,)
FRESH_READER = (20074,)
ONE_TOPIC_WAITS = (101029,)
MANY_UPSTREAMS = (400706, 401078)


class FaultyRegionTests(unittest.TestCase):
    def setUp(self):
        before = logging.get_verbosity()
        logging.set_verbosity(logging.ERROR)
        self.addCleanup(logging.set_verbosity, before)

    def check(self, seeds, kinds=FAULT_KINDS):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(play(seed, kinds).findings[:3], [])

    # Guards against upstreams that stay listed after they left during an outage.
    def test_what_left_while_the_store_was_away_is_gone_on_every_node(self):
        self.check(HELD_BACK_REMOVAL)

    # Guards against a region that never reads on after the store forgot its history.
    def test_a_region_reads_on_after_the_store_forgot_its_history(self):
        self.check(FORGOTTEN_HISTORY)

    # Guards against a fresh reader that is believed about what ended before it came.
    def test_what_left_before_a_fresh_reader_came_is_gone_on_every_node(self):
        self.check(FRESH_READER)

    # Guards against one topic that waits for seconds while the store answers another.
    def test_a_node_that_the_store_answers_again_reads_all_topics(self):
        self.check(ONE_TOPIC_WAITS, MORE_KINDS)

    # Guards against a reader that tells on only what one page of another left out.
    def test_large_changes_are_told_whole_by_every_reader(self):
        for seed in MANY_UPSTREAMS:
            with self.subTest(seed=seed):
                region = play(seed, MORE_KINDS, nodes=10, upstreams=40)
                self.assertEqual(region.findings[:3], [])

    # Guards against any change that a sound node hears of too late.
    def test_sound_nodes_know_every_change_in_time(self):
        self.check(FRESH_SEEDS)


if __name__ == "__main__":
    unittest.main()
