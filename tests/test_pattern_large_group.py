"""Load pattern: overload of a large group while many of its upstreams fail.

The owner's decisions must stay cheap. Entry nodes treat an owner that falls behind
as silent, and then choose upstreams themselves.
"""

import unittest
from unittest import mock

from comfreyusher.owner import _choose
from tests.simulation import Behaviour, RequestKind, Simulation

UPSTREAMS = 65
FAILING = 20
CHECKS_PER_REQUEST = 5
BOOKINGS = RequestKind(
    "booking", 700, 0.2, idempotent=False, deadline_s=5.0, target_s=1.3, max_attempts=2
)


class LargeGroupTests(unittest.TestCase):
    # The cost of a request must not be multiplied by the length of the queue.
    def test_an_owner_checks_its_upstreams_a_few_times_for_each_request(self):
        failing = [Behaviour(failing_span=(0.0, 100.0))] * FAILING
        healthy = [Behaviour()] * (UPSTREAMS - FAILING)
        checks = 0
        is_allowed = _choose.is_allowed

        def count(*arguments):
            nonlocal checks
            checks += 1
            return is_allowed(*arguments)

        with mock.patch.object(_choose, "is_allowed", count):
            run = Simulation([*failing, *healthy], [BOOKINGS], slots=3).run(3)
        self.assertLess(checks / len(run.requests), CHECKS_PER_REQUEST * UPSTREAMS)


if __name__ == "__main__":
    unittest.main()
