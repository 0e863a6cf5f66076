"""Load pattern: most upstreams of one region fail while the other's are well.

The nodes of a region ask their own owner first. It says so when every free
upstream would probably fail the request, and the node looks in the other region.
"""

import unittest

from comfreyusher.declarations import Part, Route
from comfreyusher.flow import replace
from comfreyusher.messages import (
    AttemptKey,
    ClientResponseStart,
    Denial,
    DenialReason,
    Grant,
    GrantRequest,
)
from tests.simulation import Behaviour, Kind, Simulation
from tests.test_entry import FAULT, OWN, EntryCase
from tests.test_owner_properties import Model, ask

SOUND = Behaviour()
FAILING = Behaviour(fails_in=(0, 99), fails=0.9)
HOME, ELSEWHERE = "s@r1", "s@r2"


class EntryTests(EntryCase):
    """Bookings, which must not be repeated."""

    ROUTE = replace(EntryCase.ROUTE, idempotent=False)

    def setUp(self):
        super().setUp()
        self.now += 10
        self.send_node_view(self.ROUTE, ("r1", "r2"))

    def deny(self, attempt, reason):
        self.deliver(Denial(AttemptKey(OWN, 1, attempt), reason, 200))

    def asked_groups(self):
        return [one.group for one in self.pop_messages(GrantRequest)]

    def test_a_booking_asks_its_region_for_a_safe_upstream_only(self):
        self.send_request(method="POST")
        (asked,) = self.pop_messages(GrantRequest)
        self.assertEqual(asked.group, HOME)
        self.assertLess(asked.max_risk, 0.5)

    def test_it_looks_elsewhere_when_its_region_would_fail_it(self):
        self.send_request(method="POST")
        self.pop_messages(GrantRequest)
        self.deny(1, DenialReason.TOO_RISKY)
        (asked,) = self.pop_messages(GrantRequest)
        self.assertEqual(asked.group, ELSEWHERE)
        self.assertTrue(asked.no_wait)
        self.assertLess(asked.max_risk, 0.5)

    def test_it_comes_back_and_takes_any_when_nothing_safe_is_free(self):
        for reason in (DenialReason.TOO_RISKY, DenialReason.NO_UPSTREAM):
            with self.subTest(reason):
                self.setUp()
                self.send_request(method="POST")
                self.deny(1, DenialReason.TOO_RISKY)
                self.pop_messages(GrantRequest)
                self.deny(2, reason)
                (asked,) = self.pop_messages(GrantRequest)
                self.assertEqual(asked.group, HOME)
                self.assertEqual(asked.max_risk, 1.0)
                self.assertFalse(asked.no_wait)

    def test_it_comes_back_when_the_other_region_is_silent(self):
        self.send_request(method="POST")
        self.deny(1, DenialReason.TOO_RISKY)
        self.pop_messages(GrantRequest)
        self.advance(0.5)
        self.assertEqual(self.asked_groups()[-1], HOME)

    def test_without_another_region_any_upstream_is_taken(self):
        self.send_node_view(self.ROUTE)
        self.send_request(method="POST")
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)

    def test_a_body_that_is_still_coming_stays(self):
        self.send_request(method="POST", body=b"x", ended=False)
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)

    def test_uploads_stay(self):
        large = Route("/a/", "h", idempotent=False, large=True, parts=(Part("s", 1),))
        self.send_node_view(large, ("r1", "r2"))
        self.send_request(method="POST")
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)


class LookupTests(EntryCase):
    """Lookups, which may be sent to two upstreams."""

    def setUp(self):
        super().setUp()
        self.now += 10
        self.send_node_view(self.ROUTE, ("r1", "r2"))

    def test_only_the_last_attempt_asks_for_a_safe_upstream(self):
        self.send_request()
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)
        key = self.grant()
        self.deliver(ClientResponseStart(key, FAULT, b"no", True))
        self.assertLess(self.pop_messages(GrantRequest)[0].max_risk, 0.5)


class OwnerTests(unittest.TestCase):
    """What the owner answers to an ask for a safe upstream."""

    def setUp(self):
        self.model = Model()
        self.send = self.model.send

    def fail_all(self):
        for name in self.model.group.upstreams:
            self.model.group = self.failing(name)

    def failing(self, name):
        upstream = self.model.group.upstreams[name]
        odds = replace(upstream.odds, probability=0.9, updated_s=self.model.now)
        found = self.model.group.upstreams.set(name, replace(upstream, odds=odds))
        return replace(self.model.group, upstreams=found)

    def test_it_says_when_all_would_fail(self):
        self.fail_all()
        asked = ask(1, idempotent=False, max_risk=0.45)
        self.send(asked)
        self.assertEqual(self.model.ended[asked.key].reason, DenialReason.TOO_RISKY)

    def test_any_risk_is_taken_when_asked_so(self):
        self.fail_all()
        asked = ask(1, idempotent=False)
        self.send(asked)
        self.assertIsInstance(self.model.granted[asked.key], Grant)

    def test_a_request_is_one_for_the_budget_wherever_it_asks(self):
        """Repeats are a share of the requests, not of the asks."""
        few = replace(self.model.group.plan, budget_slack=0)
        self.model.group = replace(self.model.group, plan=few, first_slack=0)
        for attempt in (1, 2, 3, 4):
            self.send(ask(1, attempt=attempt))
        repeats = [ask(number, attempt=2, prior_sends=1) for number in range(10, 20)]
        for repeat in repeats:
            self.send(repeat)
        self.assertEqual(len(self.model.repeats), 0)
        reasons = {self.model.ended[repeat.key].reason for repeat in repeats}
        self.assertEqual(reasons, {DenialReason.OVER_BUDGET})

    def test_a_repeat_counts_once_when_it_gets_an_upstream(self):
        self.fail_all()
        some = replace(self.model.group.plan, budget_slack=2)
        self.model.group = replace(self.model.group, plan=some, since_s=0.0)
        for number in range(1, 30):
            self.send(
                ask(number, attempt=2, prior_sends=1, last_attempt=True, max_risk=0.45)
            )
        granted = ask(99, attempt=2, prior_sends=1)
        self.send(granted)
        self.assertIn(granted.key, self.model.granted)


class HoldTests(unittest.TestCase):
    """One of five upstreams is well, and could carry all the work."""

    def test_bookings_wait_for_the_one_that_is_well(self):
        bookings = Kind("booking", 12, 0.25, idempotent=False)
        runs = [
            Simulation([FAILING] * 4 + [SOUND], [bookings], seed=seed).run(20)
            for seed in range(3)
        ]
        for run in runs:
            self.assertGreater(run.in_time("booking"), 0.9)
