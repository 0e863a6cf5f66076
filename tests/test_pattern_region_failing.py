"""Load pattern: most upstreams of one region fail, those of another are healthy.

Entry nodes first ask the owner of the group in their own region. It denies when
every free upstream would probably fail the request, and the entry node then tries
the other region.
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
from tests.simulation import Behaviour, RequestKind, Simulation
from tests.test_entry import FAULT, OWN, EntryCase
from tests.test_owner_properties import Model, grant_request

HEALTHY = Behaviour()
FAILING = Behaviour(failing_span=(0, 99), failure_share=0.9)
HOME, ELSEWHERE = "s@r1", "s@r2"


class EntryTests(EntryCase):
    """Bookings, which must not be retried."""

    ROUTE = replace(EntryCase.ROUTE, idempotent=False)

    def setUp(self):
        super().setUp()
        self.now += 10
        self.send_node_view(self.ROUTE, ("r1", "r2"))

    def deny(self, attempt, reason):
        self.deliver(Denial(AttemptKey(OWN, 1, attempt), reason, 200))

    def requested_groups(self):
        return [one.group for one in self.pop_messages(GrantRequest)]

    def test_a_booking_asks_its_region_for_a_safe_upstream_only(self):
        self.send_request(method="POST")
        (request,) = self.pop_messages(GrantRequest)
        self.assertEqual(request.group, HOME)
        self.assertLess(request.max_risk, 0.5)

    def test_a_booking_tries_another_region_when_its_own_would_fail_it(self):
        self.send_request(method="POST")
        self.pop_messages(GrantRequest)
        self.deny(1, DenialReason.TOO_RISKY)
        (request,) = self.pop_messages(GrantRequest)
        self.assertEqual(request.group, ELSEWHERE)
        self.assertTrue(request.no_wait)
        self.assertLess(request.max_risk, 0.5)

    def test_a_booking_returns_and_accepts_any_risk_without_a_free_safe_upstream(self):
        for reason in (DenialReason.TOO_RISKY, DenialReason.NO_UPSTREAM):
            with self.subTest(reason):
                self.setUp()
                self.send_request(method="POST")
                self.deny(1, DenialReason.TOO_RISKY)
                self.pop_messages(GrantRequest)
                self.deny(2, reason)
                (request,) = self.pop_messages(GrantRequest)
                self.assertEqual(request.group, HOME)
                self.assertEqual(request.max_risk, 1.0)
                self.assertFalse(request.no_wait)

    def test_a_booking_returns_when_the_other_region_is_silent(self):
        self.send_request(method="POST")
        self.deny(1, DenialReason.TOO_RISKY)
        self.pop_messages(GrantRequest)
        self.advance(0.5)
        self.assertEqual(self.requested_groups()[-1], HOME)

    def test_without_another_region_any_risk_is_accepted(self):
        self.send_node_view(self.ROUTE)
        self.send_request(method="POST")
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)

    def test_a_request_with_an_incomplete_body_stays_in_its_region(self):
        self.send_request(method="POST", body=b"x", ended=False)
        self.assertEqual(self.pop_messages(GrantRequest)[0].max_risk, 1.0)

    def test_uploads_stay_in_their_region(self):
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
    """Responses of the owner to grant requests with and without a risk limit."""

    def setUp(self):
        self.model = Model()
        self.send = self.model.send

    def fail_all(self):
        for name in self.model.group.upstreams:
            self.model.group = self.failing(name)

    def failing(self, name):
        upstream = self.model.group.upstreams[name]
        failure_estimate = replace(
            upstream.failure_estimate, probability=0.9, updated_s=self.model.now
        )
        found = self.model.group.upstreams.set(
            name, replace(upstream, failure_estimate=failure_estimate)
        )
        return replace(self.model.group, upstreams=found)

    def test_the_owner_denies_when_all_upstreams_would_fail(self):
        self.fail_all()
        request = grant_request(1, idempotent=False, max_risk=0.45)
        self.send(request)
        self.assertEqual(self.model.ended[request.key].reason, DenialReason.TOO_RISKY)

    def test_any_risk_is_accepted_without_a_limit(self):
        self.fail_all()
        request = grant_request(1, idempotent=False)
        self.send(request)
        self.assertIsInstance(self.model.granted[request.key], Grant)

    def test_a_request_counts_once_in_the_retry_budget(self):
        """Retries are limited to a share of the requests, not of the grant requests."""
        few = replace(self.model.group.plan, budget_slack=0)
        self.model.group = replace(self.model.group, plan=few, initial_slack=0)
        for attempt in (1, 2, 3, 4):
            self.send(grant_request(1, attempt=attempt))
        retries = [
            grant_request(number, attempt=2, prior_sends=1) for number in range(10, 20)
        ]
        for retry in retries:
            self.send(retry)
        self.assertEqual(len(self.model.retries), 0)
        reasons = {self.model.ended[retry.key].reason for retry in retries}
        self.assertEqual(reasons, {DenialReason.OVER_BUDGET})

    def test_a_retry_counts_once_when_it_gets_an_upstream(self):
        self.fail_all()
        some = replace(self.model.group.plan, budget_slack=2)
        self.model.group = replace(self.model.group, plan=some, owned_since_s=0.0)
        for number in range(1, 30):
            self.send(
                grant_request(
                    number, attempt=2, prior_sends=1, last_attempt=True, max_risk=0.45
                )
            )
        granted = grant_request(99, attempt=2, prior_sends=1)
        self.send(granted)
        self.assertIn(granted.key, self.model.granted)


class WaitTests(unittest.TestCase):
    """One of five upstreams is healthy, and could serve all requests."""

    def test_bookings_wait_for_the_healthy_upstream(self):
        bookings = RequestKind("booking", 12, 0.25, idempotent=False)
        runs = [
            Simulation([FAILING] * 4 + [HEALTHY], [bookings], seed=seed).run(20)
            for seed in range(3)
        ]
        for run in runs:
            self.assertGreater(run.share_in_time("booking"), 0.9)
