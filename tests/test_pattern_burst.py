"""Load pattern: thousands of requests arrive at the same moment.

What one decision costs must not grow with the queue: an owner that falls
behind its messages looks silent, and its work is asked for elsewhere.
The cost is counted in calls of Python functions, so it repeats exactly.
"""

import dataclasses
import sys
import unittest

from comfreyusher.declarations import Profile
from comfreyusher.messages import GrantRequest, WorkClass
from comfreyusher.owner import Clock, Member, Plan, decide, new_group
from tests.simulation import Behaviour, Kind, Simulation

GROUP = "s@r"
SMALL, LARGE = 200, 1600
SLOTS = 8


def ask_of(number):
    """Return an ask; every fifth one is long work."""
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


def crowded(count):
    """Return a group with busy upstreams and a queue, and the time."""
    profile = Profile("p", max_wait_ms=80_000)
    members = tuple(Member(f"u{n}", "h", 1, SLOTS) for n in range(3))
    group = new_group(Plan(GROUP, profile, SLOTS * 3, members), 100.0)
    for number in range(1, count + 1):
        group = decide(group, ask_of(number), 100.0).state
    return group


def calls_of(group, body, now):
    """Return how many functions one decision calls."""
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
        self.small, self.large = crowded(SMALL), crowded(LARGE)
        self.assertGreater(len(self.large.queue), LARGE / 2)

    def test_an_ask_costs_the_same_before_a_long_queue(self):
        ask = ask_of(100_001)
        short_queue = calls_of(self.small, ask, 100.1)
        long_queue = calls_of(self.large, ask, 100.1)
        self.assertLess(long_queue, short_queue * 1.2)

    def test_the_periodic_pipe_grows_no_faster_than_the_queue(self):
        short_queue = calls_of(self.small, Clock(), 100.1)
        long_queue = calls_of(self.large, Clock(), 100.1)
        grown = len(self.large.works) / len(self.small.works)
        self.assertLess(long_queue, short_queue * grown * 1.2)

    def test_busy_upstreams_cost_one_look_and_not_one_for_each_request(self):
        ask = ask_of(100_002)
        self.assertLess(calls_of(self.large, ask, 100.1), 200)


class LongWorkAfterBurstTests(unittest.TestCase):
    """24 slots: 600 short requests are 2.5 s of work, 100 long ones 2.1 s."""

    SHORT = Kind("short", 0, 0.1, deadline_s=30.0, target_s=30.0)
    LONG = Kind(
        "long", 0, 0.5, deadline_s=30.0, target_s=30.0, work_class=WorkClass.LONG
    )
    BOTH_S = 4.6

    def burst(self, seed, long=LONG, spread_s=0.0):
        profile = Profile("p", max_wait_ms=30_000)
        run = Simulation([Behaviour()] * 3, [], seed=seed, slots=8, profile=profile)
        for kind, count in ((self.SHORT, 600), (long, 100)):
            for number in range(count):
                when = run.now + spread_s * number / count
                run.at(when, lambda kind=kind: run.begin(kind))
        return run.run(40)

    def test_nothing_is_refused_that_can_be_served(self):
        run = self.burst(31)
        self.assertEqual(run.share("served"), 1.0)

    def test_long_work_is_not_refused_for_the_slots_of_the_moment(self):
        """The reserve for the short burst would last longer than the deadline."""
        hurried = dataclasses.replace(self.LONG, deadline_s=12.0, target_s=12.0)
        for seed in range(4):
            run = self.burst(seed, hurried)
            self.assertEqual(run.share("refused"), 0.0)

    def test_a_burst_that_takes_seconds_to_arrive_is_still_no_steady_load(self):
        """The asks of a burst reach an owner as fast as the nodes can send."""
        for spread_s in (1.0, 2.0, 3.0):
            run = self.burst(33, spread_s=spread_s)
            with self.subTest(spread_s=spread_s):
                self.assertEqual(run.share("refused"), 0.0)

    def test_long_work_has_the_slots_once_the_short_work_is_done(self):
        run = self.burst(32)
        last_s = max(r.ended_s for r in run.of("long")) - run.start_s
        self.assertLess(last_s, 2 * self.BOTH_S)


if __name__ == "__main__":
    unittest.main()
