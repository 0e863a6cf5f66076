"""A short soak with fixed seeds and real processes; long ones are run by hand."""

import unittest

from tests.soak import soak

SEEDS = (1, 2, 3)
LENGTH_S = 20.0


class SoakTests(unittest.TestCase):
    # Guards the guarantees to callers while nodes, store and upstreams fail: no
    # response is truncated or of another request, no request that is not idempotent
    # runs twice or after a refusal, new routes and drains take effect in time, no node
    # loses a route when the store is restored, and every node serves again after the
    # faults.
    def test_a_short_soak_finds_nothing(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                findings, counts = soak(seed, LENGTH_S)
                self.assertEqual(findings, [])
                self.assertGreater(counts[200], 0)


if __name__ == "__main__":
    unittest.main()
