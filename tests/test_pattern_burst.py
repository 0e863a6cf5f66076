"""Load pattern: thousands of requests arrive at the same moment.

The cost of one decision must not grow with the queue. An owner that falls behind
with its messages looks silent, and entry nodes ask another node for grants. The
cost is counted in calls of Python functions, so that it repeats exactly.
"""

import dataclasses
import sys
import unittest

from comfreyusher.declarations import Profile
from comfreyusher.messages import GrantRequest, WorkClass
from comfreyusher.owner import CheckDue, Plan, UpstreamSpec, decide, new_group
from tests.simulation import Behaviour, RequestKind, Simulation

GROUP = "s@r"
SMALL, LARGE = 200, 1600
SLOTS = 8


def make_request(number):
    """Return a grant request; every fifth one is long."""
    long = number % 5 == 0
    work_class = WorkClass.LONG if long else WorkClass.SHORT
    return GrantRequest(
        node="n.1",
        number=number,
        attempt=1,
        group=GROUP,
        route_key="route",
        work_class=work_class,
        owner_rank=0,
        request_id=f"r{number}",
        fingerprint=f"f{number}",
        idempotent=True,
        large=long,
        priority=number % 3,
        remaining_ms=80_000,
        target_ms=80_000,
        prior_sends=0,
        last_attempt=False,
        no_wait=False,
        data_centre="d",
    )


def crowded_group(count):
    """Return a group with busy upstreams and a queue, after ``count`` requests."""
    profile = Profile("p", max_wait_ms=80_000)
    specs = tuple(UpstreamSpec(f"u{n}", "h", 1, SLOTS) for n in range(3))
    group = new_group(Plan(GROUP, profile, SLOTS * 3, specs), 100.0)
    for number in range(1, count + 1):
        group = decide(group, make_request(number), 100.0).state
    return group


def count_calls(group, body, now):
    """Return how many Python functions one decision calls."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        decide(group, body, now)
    finally:
        sys.setprofile(None)
    return calls


class CostTests(unittest.TestCase):
    def setUp(self):
        self.small, self.large = crowded_group(SMALL), crowded_group(LARGE)
        self.assertGreater(len(self.large.queue), LARGE / 2)

    def test_a_grant_request_costs_the_same_with_a_long_queue(self):
        request = make_request(100_001)
        short_queue = count_calls(self.small, request, 100.1)
        long_queue = count_calls(self.large, request, 100.1)
        self.assertLess(long_queue, short_queue * 1.2)

    def test_periodic_checks_grow_no_faster_than_the_queue(self):
        short_queue = count_calls(self.small, CheckDue(), 100.1)
        long_queue = count_calls(self.large, CheckDue(), 100.1)
        grown = len(self.large.attempts) / len(self.small.attempts)
        self.assertLess(long_queue, short_queue * grown * 1.2)

    def test_busy_upstreams_are_checked_once_and_not_for_each_queued_request(self):
        request = make_request(100_002)
        self.assertLess(count_calls(self.large, request, 100.1), 200)


class LongRequestsAfterBurstTests(unittest.TestCase):
    """On 24 slots, 600 short requests take 2.5 s and 100 long ones 2.1 s."""

    SHORT = RequestKind("short", 0, 0.1, deadline_s=30.0, target_s=30.0)
    LONG = RequestKind(
        "long", 0, 0.5, deadline_s=30.0, target_s=30.0, work_class=WorkClass.LONG
    )
    BOTH_S = 4.6

    def burst(self, seed, long=LONG, spread_s=0.0):
        profile = Profile("p", max_wait_ms=30_000)
        run = Simulation([Behaviour()] * 3, [], seed=seed, slots=8, profile=profile)
        for kind, count in ((self.SHORT, 600), (long, 100)):
            for number in range(count):
                when = run.now + spread_s * number / count
                run.at(when, lambda kind=kind: run.start_request(kind))
        return run.run(40)

    def test_no_request_that_can_be_served_is_denied(self):
        run = self.burst(31)
        self.assertEqual(run.outcome_share("served"), 1.0)

    def test_long_requests_are_not_denied_for_the_slots_that_are_free_now(self):
        """The estimate counts the slots that are free once the short burst is done.

        The reserve for the burst would last longer than the deadline.
        """
        hurried = dataclasses.replace(self.LONG, deadline_s=12.0, target_s=12.0)
        for seed in range(4):
            run = self.burst(seed, hurried)
            self.assertEqual(run.outcome_share("refused"), 0.0)

    def test_a_burst_that_takes_seconds_to_arrive_is_not_steady_load(self):
        """The requests of a burst reach an owner as fast as the nodes can send."""
        for spread_s in (1.0, 2.0, 3.0):
            run = self.burst(33, spread_s=spread_s)
            with self.subTest(spread_s=spread_s):
                self.assertEqual(run.outcome_share("refused"), 0.0)

    def test_long_requests_get_the_slots_once_short_requests_are_done(self):
        run = self.burst(32)
        last_s = max(r.ended_s for r in run.requests_of("long")) - run.start_s
        self.assertLess(last_s, 2 * self.BOTH_S)


if __name__ == "__main__":
    unittest.main()
