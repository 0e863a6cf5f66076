"""Load pattern: upstreams that fail most work for seconds, then are well again.

Their health checks stay good, so only the owner's shared evidence helps.
"""

import unittest

from comfreyusher.declarations import Profile
from comfreyusher.flow import replace
from comfreyusher.node._profile import LASTING
from comfreyusher.owner._state import replace_upstream
from comfreyusher.owner._window import count
from tests.simulation import Behaviour, Kind, Simulation
from tests.test_owner_properties import Model, ask

NOISY = Behaviour(noise=0.3, every_s=9.0, fails=0.75)
SOUND = Behaviour()
BOOKINGS = Kind("booking", 32, 0.26, idempotent=False, error_share=0.012)
LOOKUPS = Kind("lookup", 13, 0.35, error_share=0.012)
SEEDS = range(3)


def mean(runs, measure):
    """Return the mean of a measure over runs."""
    return sum(measure(run) for run in runs) / len(runs)


def used_within(run, since_s, until_s):
    """Return the upstreams that got work in a span."""
    return {name for when, name, _ in run.grants if since_s <= when < until_s}


def failed_within(run, since_s, until_s):
    """Return the upstreams that failed a request in a span."""
    return {
        name
        for when, name, request in run.grants
        if request.outcome == "failed" and since_s <= request.ended_s < until_s
    }


def well_since(run, since_s, until_s):
    """Return the upstreams that were in no episode of failures in a span."""
    return {
        name
        for name, spans in run.episodes.items()
        if not any(begin < until_s and end > since_s for begin, end in spans)
    }


def unserved_within(run, since_s, until_s):
    """Return the share of the requests of a span that were not served."""
    found = [r for r in run.requests if since_s <= r.began_s < until_s]
    return sum(r.outcome != "served" for r in found) / max(1, len(found))


class FailingForSecondsTests(unittest.TestCase):
    def run_all(self, behaviours, kinds, seconds=20):
        return [Simulation(behaviours, kinds, seed=seed).run(seconds) for seed in SEEDS]

    def test_bookings_fail_far_less_often_than_by_chance(self):
        """By chance 0.3 x 0.75, some 22 of 100, would fail."""
        runs = self.run_all([NOISY] * 10, [BOOKINGS])
        self.assertLess(mean(runs, lambda run: run.share("failed")), 0.077)

    def test_lookups_are_served_by_a_second_upstream(self):
        runs = self.run_all([NOISY] * 5, [LOOKUPS])
        self.assertGreater(mean(runs, lambda run: run.in_time("lookup")), 0.95)

    def test_an_upstream_that_failed_is_used_again_within_seconds(self):
        failing = Behaviour(fails_in=(5, 8), fails=1.0)
        run = Simulation([failing, SOUND, SOUND], [LOOKUPS], seed=2).run(30)
        after = [when for when, name, _ in run.grants if name == "u0"]
        self.assertTrue(any(13 <= when - run.start_s < 18 for when in after))

    def test_one_failure_sends_the_next_booking_elsewhere(self):
        failing = Behaviour(fails_in=(0, 99), fails=1.0)
        kind = Kind("booking", 4, 0.05, idempotent=False)
        run = Simulation([failing, SOUND, SOUND], [kind], seed=3).run(20)
        self.assertLess(run.share("failed"), 0.1)

    def test_sound_upstreams_are_in_use_while_requests_fail(self):
        """At least 7 of 10, in any 2 s with over a tenth not served."""
        bad = Behaviour(noise=0.5, every_s=3.0, fails=0.95)
        all_sound = {f"u{number}" for number in range(9, 14)}
        checked = 0
        for seed in range(8):
            run = Simulation([bad] * 9 + [SOUND] * 5, [BOOKINGS], seed=seed).run(15)
            for step in range(8, 52):
                since_s = run.start_s + step / 4
                used = used_within(run, since_s, since_s + 2)
                sound = all_sound - failed_within(run, since_s - 2, since_s + 2)
                if 0.1 < unserved_within(run, since_s, since_s + 2) < 0.5:
                    checked += 1
                    self.assertGreaterEqual(len(used & sound), 0.7 * len(sound))
        self.assertGreater(checked, 0)

    def test_upstreams_are_in_use_again_2_s_after_they_failed(self):
        """At least 7 of 10, in any 2 s with over a tenth not served."""
        noisy = Behaviour(noise=0.4, every_s=6.0, fails=0.9)
        worst, checked = 1.0, 0
        for seed in range(8):
            run = Simulation([noisy] * 7, [BOOKINGS], seed=seed, slots=6).run(20)
            for step in range(8, 72):
                since_s = run.start_s + step / 4
                until_s = since_s + 2
                sound = well_since(run, since_s - 2, until_s)
                sound -= failed_within(run, since_s - 2, until_s)
                used = used_within(run, since_s, until_s)
                if 0.1 < unserved_within(run, since_s, until_s) < 0.5 and sound:
                    checked += 1
                    worst = min(worst, len(used & sound) / len(sound))
        self.assertGreater(checked, 20)
        self.assertGreaterEqual(worst, 0.7)

    def test_lookups_wait_for_busy_sound_upstreams_before_they_try_failing_ones(self):
        """Two of five fail; the others carry 34 a second, as many as arrive."""
        failing = Behaviour(fails_in=(0, 99), fails=0.75)
        kind = Kind("lookup", 34, 0.35, deadline_s=2.0)
        profile = Profile("p", floor_share=0.7, detection=LASTING)
        runs = [
            Simulation([failing] * 2 + [SOUND] * 3, [kind], seed=s, profile=profile)
            for s in range(4)
        ]
        for run in runs:
            run.run(20)
        self.assertGreater(mean(runs, lambda run: run.share("served")), 0.96)

    def test_single_errors_of_sound_upstreams_eject_nobody(self):
        ejected = []
        run = Simulation([SOUND] * 10, [BOOKINGS, LOOKUPS], seed=5)
        run.hooks.append(ejected.append)
        run.run(40)
        self.assertEqual(ejected, [])


class SpreadTests(unittest.TestCase):
    """A fifth of the requests fail, and an upstream that failed rests."""

    def setUp(self):
        self.model = Model()
        group = self.model.group
        self.now = self.model.now
        for number in range(20):
            served = count(group.served, marked=number % 5 == 0, now=self.now)
            group = replace(group, served=served)
        for upstream in group.upstreams.values():
            odds = replace(upstream.odds, probability=0.05, updated_s=self.now)
            used = replace(upstream, odds=odds, last_grant_s=self.now)
            group = replace_upstream(group, used)
        rested = group.upstreams["u2"]
        odds = replace(rested.odds, probability=0.8)
        rested = replace(rested, odds=odds, last_grant_s=0.0, last_bad_s=self.now - 3)
        self.model.group = replace_upstream(group, rested)

    def granted(self, number):
        asked = ask(number, idempotent=False, max_risk=0.45)
        self.model.send(asked)
        return self.model.granted[asked.key].upstream

    def test_it_gets_one_request_at_once_and_no_other_waits(self):
        self.assertEqual(self.granted(1), "u2")
        self.assertNotEqual(self.granted(2), "u2")


class StallTests(unittest.TestCase):
    """Upstreams that take requests and never answer."""

    def test_a_hanging_upstream_is_avoided_before_its_first_deadline(self):
        hanging = Behaviour(hangs=(5, 60))
        kind = Kind("booking", 20, 0.1, idempotent=False, deadline_s=4.0)
        run = Simulation([hanging] + [SOUND] * 4, [kind], seed=6).run(30)
        granted = [
            when - run.start_s
            for when, name, _ in run.grants
            if name == "u0" and when - run.start_s > 6.0
        ]
        self.assertLess(len(granted), 15)

    def test_a_slow_upstream_gets_less_work_than_its_peers(self):
        slow = Behaviour(slow=5.0)
        run = Simulation([slow] + [SOUND] * 4, [LOOKUPS], seed=7).run(40)
        counts = {}
        for _, name, _ in run.grants:
            counts[name] = counts.get(name, 0) + 1
        others = sum(counts.get(f"u{n}", 0) for n in range(1, 5)) / 4
        self.assertLess(counts.get("u0", 0), others / 2)


class LastAttemptTests(unittest.TestCase):
    """Lookups whose route allows one upstream only."""

    def test_they_go_to_the_best_known_upstream(self):
        once = Kind("lookup", 22, 0.26, max_attempts=1, error_share=0.012)
        runs = [Simulation([NOISY] * 8, [once], seed=s, slots=3).run(20) for s in SEEDS]
        self.assertLess(mean(runs, lambda run: run.share("failed")), 0.077)
