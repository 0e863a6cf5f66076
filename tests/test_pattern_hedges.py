"""Pattern: a few slow answers, and the hedges that a share of extra work allows."""

import collections
import functools
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Tick, replace
from comfreyusher.messages import (
    HEDGE_DENIALS,
    AttemptReport,
    ClientResponseStart,
    Denial,
    DenialReason,
    Grant,
    GrantRequest,
    ToNode,
    Verdict,
)
from comfreyusher.owner import OwnerTask, PlanChanged, PlansUpdated, decide, new_group
from comfreyusher.owner._route_times import MAX_TIMES, RouteTime, find_delay_ms
from comfreyusher.telemetry import HedgeCounted
from tests.hedging import HedgingSimulation
from tests.simulation import Behaviour, RequestKind
from tests.test_entry import FAULT, EntryCase
from tests.test_owner_properties import GROUP, grant_request, plan

SHARE, BURST = 0.05, 10
SECONDS = 20
SEEDS = (1, 2)
EPSILON = 1e-6


def kinds(rate_per_s, duration_s=0.2, idempotent=True, max_attempts=3):
    """Return one kind of request that waits long enough for its slow answers."""
    return [
        RequestKind(
            "q",
            rate_per_s,
            duration_s,
            idempotent=idempotent,
            deadline_s=4.0,
            target_s=1.5,
            max_attempts=max_attempts,
        )
    ]


@functools.cache
def run(behaviours, rate_per_s, share, seed=1, tail_share=0.0, **fields):
    """Return the simulation of a group under a share of hedges."""
    simulation = HedgingSimulation(
        behaviours,
        kinds(rate_per_s, **fields),
        seed=seed,
        share=share,
        burst=BURST,
        tail_share=tail_share,
    )
    return simulation.run(SECONDS)


EVEN = (Behaviour(),) * 12
THIRD_SLOW = (Behaviour(),) * 4 + (Behaviour(slowdown=3.0),) * 2
ONE_SLOWER = (Behaviour(),) * 7 + (Behaviour(slowdown=10.0),)
SHORT_OF_ROOM = (Behaviour(),) * 4


def slowest_hundredth_s(behaviours, rate_per_s, share, **fields):
    """Return what the slowest hundredth of the requests of all seeds exceeded."""
    took = sorted(
        request.ended_s - request.arrived_s
        for seed in SEEDS
        for request in run(behaviours, rate_per_s, share, seed, **fields).requests
    )
    return took[int(0.99 * len(took))]


class SlowAnswerTests(unittest.TestCase):
    # Guards against a share that costs work and does not make the slowest answers
    # faster than hedges without one, or than none at all.
    def test_a_tail_of_slow_answers_is_cut(self):
        before, none, after = (
            slowest_hundredth_s(EVEN, 80, share, tail_share=0.03)
            for share in (None, 0.0, SHARE)
        )
        self.assertLess(after, 0.95 * before)
        self.assertLess(after, 0.6 * none)

    # Guards against a delay that suits no fast route: its slow answers end before.
    def test_the_tail_of_a_fast_route_is_cut(self):
        before, after = (
            slowest_hundredth_s(EVEN, 80, share, tail_share=0.03, duration_s=0.06)
            for share in (None, SHARE)
        )
        self.assertLess(after, 0.75 * before)

    # Guards against a cost to groups whose slow answers come from slow upstreams,
    # which the owner avoids itself.
    def test_groups_with_slow_upstreams_lose_nothing(self):
        for behaviours, rate_per_s in ((THIRD_SLOW, 30), (ONE_SLOWER, 50)):
            before, after = (
                slowest_hundredth_s(behaviours, rate_per_s, share)
                for share in (None, SHARE)
            )
            with self.subTest(upstreams=len(behaviours)):
                self.assertLess(after, 1.1 * before)

    # Guards against extra work on upstreams that have no slow answers.
    def test_even_durations_are_not_hedged(self):
        simulation = run(EVEN, 80, SHARE)
        self.assertLess(simulation.hedge_share(), 0.002)


class ExtraWorkTests(unittest.TestCase):
    # Guards against more extra work than operators accept, over any span of time.
    def test_hedges_stay_within_the_share_and_the_burst_in_any_window(self):
        for behaviours, rate_per_s, tail_share in (
            (EVEN, 80, 0.03),
            (EVEN, 80, 0.3),
            (THIRD_SLOW, 30, 0.0),
            (ONE_SLOWER, 50, 0.0),
        ):
            simulation = run(behaviours, rate_per_s, SHARE, tail_share=tail_share)
            with self.subTest(upstreams=len(behaviours), tail_share=tail_share):
                self.assertTrue(simulation.hedges)
                most = simulation.most_hedges_beyond_share()
                self.assertLessEqual(most, BURST + EPSILON)

    # Guards against hedges that take the room of requests which have none yet.
    def test_no_hedge_is_granted_while_requests_are_queued(self):
        for share in (SHARE, 1.0):
            simulation = run(SHORT_OF_ROOM, 90, share, tail_share=0.05)
            reasons = collections.Counter(reason for _, reason in simulation.denials)
            self.assertTrue(reasons[DenialReason.HEDGE_NO_ROOM])
            self.assertLess(simulation.hedge_share(), 0.005)

    # Guards against a second run of a request that may run only once.
    def test_requests_that_run_only_once_have_one_attempt(self):
        simulation = run(
            EVEN, 80, 1.0, tail_share=0.03, idempotent=False, max_attempts=1
        )
        self.assertEqual(simulation.hedges, [])
        self.assertEqual({r.executions for r in simulation.requests}, {1})

    # Guards against hedges beyond the attempts of the route.
    def test_the_attempts_of_the_route_limit_hedges(self):
        simulation = run(EVEN, 80, 1.0, tail_share=0.03, max_attempts=1)
        self.assertEqual(simulation.hedges, [])

    # Guards against a deployment without the setting that behaves otherwise.
    def test_without_a_share_marked_hedges_are_decided_as_before(self):
        def decisions(mark):
            group, now = new_group(plan(), 100.0), 100.0
            for number in range(1, 60):
                now += 0.02
                first = grant_request(number)
                again = grant_request(
                    number, 2, prior_sends=1, no_wait=True, hedge=mark
                )
                report = AttemptReport(first.key, GROUP, "u1", Verdict.GOOD, 9)
                for message in (first, again, report):
                    step = decide(group, message, now)
                    group = step.state
                    yield from (repr(envelope) for envelope in step.messages)

        self.assertEqual(list(decisions(True)), list(decisions(False)))
        simulation = run(EVEN, 80, None, tail_share=0.03)
        self.assertFalse(simulation.group.route_times)
        self.assertFalse(HEDGE_DENIALS & {r for _, r in simulation.denials})


class Owner:
    """A group with a share of hedges, and the last response of its owner."""

    def __init__(self, share=SHARE, burst=BURST, **fields):
        self.now = 100.0
        self.plan = replace(plan(), hedge_share=share, hedge_burst=burst, **fields)
        self.group = new_group(self.plan, self.now)
        self.number = 0

    def send(self, message):
        """Run a decision, and return the response to an entry node."""
        step = decide(self.group, message, self.now)
        self.group = step.state
        return [e.body.body for e in step.messages if isinstance(e.body, ToNode)][-1]

    def serve(self, count):
        """Serve requests one after the other."""
        for _ in range(count):
            self.number += 1
            grant = self.send(grant_request(self.number))
            self.send(AttemptReport(grant.key, GROUP, grant.upstream, Verdict.GOOD, 10))

    def hedge(self, **fields):
        """Request a hedge of a further request, and return the response."""
        self.number += 1
        fields = {"prior_sends": 1, "no_wait": True, "hedge": True} | fields
        return self.send(grant_request(self.number, 2, **fields))


class HedgeDecisionTests(unittest.TestCase):
    # Guards against any order of requests and hedges that exceeds share and burst.
    @given(
        st.lists(st.tuples(st.booleans(), st.integers(1, 40)), max_size=20),
        st.sampled_from((0.0, 0.02, 0.1, 0.5)),
        st.integers(1, 5),
    )
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_hedges_stay_within_share_and_burst(self, steps, share, burst):
        owner = Owner(share, burst, budget_slack=1000)
        beyond = 0.0
        for is_hedge, count in steps:
            owner.now += 0.1
            for _ in range(count):
                if not is_hedge:
                    owner.serve(1)
                    beyond = max(0.0, beyond - share)
                    continue
                response = owner.hedge()
                if isinstance(response, Grant):
                    beyond += 1
                    report = AttemptReport(
                        response.key, GROUP, response.upstream, Verdict.CANCELLED, 1
                    )
                    owner.send(report)
                self.assertLessEqual(beyond, burst + EPSILON)

    # Guards against hedges that the retry budget or a rule of the route forbids.
    def test_hedges_give_way_to_every_other_limit(self):
        def denial(owner, **fields):
            owner.serve(100)
            owner.now += 1
            return owner.hedge(**fields).reason

        over_budget = Owner(share=1.0, burst=100, budget_slack=0)
        over_budget.serve(40)
        while isinstance(found := over_budget.hedge(), Grant):
            over_budget.send(
                AttemptReport(found.key, GROUP, found.upstream, Verdict.CANCELLED, 1)
            )
        self.assertIs(found.reason, DenialReason.OVER_BUDGET)
        for fields in ({"idempotent": False}, {"owner_rank": 1}):
            reason = denial(Owner(share=1.0), **fields)
            self.assertIs(reason, DenialReason.HEDGE_NOT_ALLOWED)
        self.assertIs(denial(Owner(share=0.0)), DenialReason.HEDGE_OVER_SHARE)

    # Guards against a new owner that grants the burst which an earlier one has spent.
    def test_a_new_owner_has_no_burst(self):
        self.assertIs(Owner().hedge().reason, DenialReason.HEDGE_OVER_SHARE)

    # Guards against a lowered burst that owners exceed by what they had allowed.
    def test_a_lowered_burst_holds_at_once(self):
        owner = Owner(share=1.0, burst=50)
        owner.serve(60)
        lowered = PlanChanged(replace(owner.plan, hedge_burst=2))
        owner.group = decide(owner.group, lowered, owner.now).state
        found = [type(owner.hedge()) for _ in range(4)]
        self.assertEqual(found, [Grant, Grant, Denial, Denial])

    # Guards against hedges beside requests that many upstreams fail.
    def test_no_hedge_is_granted_while_many_requests_fail(self):
        owner = Owner()
        owner.serve(40)
        for number in range(1000, 1010):
            grant = owner.send(grant_request(number, last_attempt=True))
            owner.send(AttemptReport(grant.key, GROUP, grant.upstream, "fault", 5))
        self.assertIs(owner.hedge().reason, DenialReason.HEDGE_NO_ROOM)

    # Guards against hedges that cannot be told from retries in the metrics and lines.
    def test_hedges_are_counted_by_result(self):
        sent = []
        task = OwnerTask(clock=lambda: 100.0)
        task.send_message = lambda channel, body: sent.append(body)
        own = replace(plan(), hedge_share=1.0, hedge_burst=1)
        task.handle_plans_updated(PlansUpdated({GROUP: own}))
        hedge = {"prior_sends": 1, "no_wait": True, "hedge": True}
        for number in range(1, 5):
            task.handle_grant_request(grant_request(number))
        task.handle_grant_request(grant_request(1, 2, **hedge))
        task.handle_grant_request(grant_request(1, 2, **hedge))
        task.handle_grant_request(grant_request(2, 2, **hedge))
        key = grant_request(1, 2).key
        upstream = task.groups[GROUP].attempts[key].upstream
        task.handle_attempt_report(AttemptReport(key, GROUP, upstream, Verdict.GOOD, 5))
        counted = [(m.result, m.reason) for m in sent if type(m) is HedgeCounted]
        over_share = DenialReason.HEDGE_OVER_SHARE.value
        self.assertEqual(
            counted, [("granted", ""), ("denied", over_share), ("won", "")]
        )
        with mock.patch("comfreyusher.owner._hedge_counts.log_info") as log:
            task.handle_tick(Tick("status", 101.0))
            task.handle_tick(Tick("status", 102.0))
        (line,) = [call.kwargs for call in log.call_args_list]
        self.assertEqual((line["granted"], line["won"]), (1, 1))
        self.assertEqual(line["denied"], {over_share: 1})


class DelayTests(unittest.TestCase):
    # Guards against hedges that end after the first attempt.
    def test_narrow_durations_are_worth_no_hedge(self):
        times = [RouteTime(200 + n % 60, True) for n in range(MAX_TIMES)]
        self.assertEqual(find_delay_ms(times, SHARE), 0)

    # Guards against a tail that is no longer seen once its attempts are cancelled.
    def test_cancelled_attempts_keep_the_delay(self):
        ordinary = [RouteTime(200 + n % 60, True) for n in range(MAX_TIMES - 8)]
        ended = find_delay_ms(ordinary + [RouteTime(1400, True)] * 8, SHARE)
        cut = find_delay_ms(ordinary + [RouteTime(500, False)] * 8, SHARE)
        self.assertEqual((ended, cut), (259, 259))


class EntryHedgeTests(EntryCase):
    def start_hedge(self):
        """Send a request, wait for its hedge, and return the hedge's request."""
        self.send_request()
        key = self.grant()
        grant = Grant(replace(key, number=2), "u1", "h", 80, 0.1, 0, 100, 0, 0.0, 150)
        self.send_request(2)
        self.deliver(grant)
        self.pop_messages(GrantRequest)
        self.advance(0.2)
        (hedge,) = self.pop_messages(GrantRequest)
        return hedge

    # Guards against a hedge that ignores the owner's delay, or is taken for a retry.
    def test_the_delay_of_the_owner_is_used(self):
        hedge = self.start_hedge()
        self.assertEqual((hedge.number, hedge.hedge, hedge.no_wait), (2, True, True))
        self.assertEqual(hedge.prior_sends, 1)

    # Guards against a denied hedge that is requested again at every tick.
    def test_a_denied_hedge_is_requested_again_after_the_pause(self):
        hedge = self.start_hedge()
        self.deliver(Denial(hedge.key, DenialReason.HEDGE_OVER_SHARE, 600))
        self.advance(0.5)
        found = self.pop_messages(GrantRequest)
        self.assertEqual([r for r in found if r.number == 2], [])
        self.advance(0.2)
        found = self.pop_messages(GrantRequest)
        self.assertEqual([r.hedge for r in found if r.number == 2], [True])

    # Guards against a request that is given up, since only its hedge was denied.
    def test_a_failure_beside_a_denied_hedge_is_retried(self):
        hedge = self.start_hedge()
        first = replace(hedge.key, attempt=1)
        self.deliver(self.response(first))
        self.assertEqual(self.pop_messages(GrantRequest), [])
        self.deliver(Denial(hedge.key, DenialReason.HEDGE_NO_ROOM, 250))
        (retry,) = self.pop_messages(GrantRequest)
        self.assertEqual((retry.hedge, retry.no_wait, retry.attempt), (False, False, 3))
        self.assertEqual(self.pop_responses(), [])

    def response(self, key):
        """Return the error response of an upstream."""
        return ClientResponseStart(key, FAULT, b"no", True)
