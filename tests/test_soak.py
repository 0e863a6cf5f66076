"""A short seeded fault soak of real processes; the long one is run by hand."""

import unittest

from tests.soak import soak

SEEDS = (1, 2)
LENGTH_S = 20.0


class SoakTests(unittest.TestCase):
    # Guards the promises to callers while processes, store and upstreams fail.
    def test_a_short_soak_finds_nothing(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                findings, counts = soak(seed, LENGTH_S)
                self.assertEqual(findings, [])
                self.assertGreater(counts[200], 0)


if __name__ == "__main__":
    unittest.main()
