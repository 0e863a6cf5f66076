"""Load pattern: a crest in a large group while many of its upstreams fail.

An owner's decisions must stay cheap then: one that falls behind is taken for
silent, and every entry node decides for itself.
"""

import unittest
from unittest import mock

from comfreyusher.owner import _choose
from tests.simulation import Behaviour, Kind, Simulation

UPSTREAMS = 65
FAILING = 20
LOOKS_PER_REQUEST = 5
BOOKINGS = Kind(
    "booking", 700, 0.2, idempotent=False, deadline_s=5.0, target_s=1.3, max_attempts=2
)


class LargeGroupTests(unittest.TestCase):
    # Work of an owner for each request must not multiply with its queue.
    def test_an_owner_looks_at_its_upstreams_a_few_times_for_each_request(self):
        failing = [Behaviour(fails_in=(0.0, 100.0))] * FAILING
        sound = [Behaviour()] * (UPSTREAMS - FAILING)
        looks = 0
        decide = _choose.is_allowed

        def count(*arguments):
            nonlocal looks
            looks += 1
            return decide(*arguments)

        with mock.patch.object(_choose, "is_allowed", count):
            run = Simulation([*failing, *sound], [BOOKINGS], slots=3).run(3)
        self.assertLess(looks / len(run.requests), LOOKS_PER_REQUEST * UPSTREAMS)


if __name__ == "__main__":
    unittest.main()
