"""Load patterns: one account or one kind wants more than there is room for.

With fair sharing the others are served as if the excess were not there. The bounds
follow from docs/design/client-load.md: no flow within its share is refused (under
one in a hundred), and certain refusals come at once.
"""

import dataclasses
import unittest

from tests.simulation import Behaviour, RequestKind, Returns, Simulation

HEALTHY = Behaviour()
FAILING = Behaviour(failing_time_share=0.3)
REFUSED_WITHIN_SHARE = 0.01
SEEDS = (1, 2)

FEE = RequestKind("fee", 3, 0.3, deadline_s=3.031, target_s=1.8)
FEE_ACCOUNTS = 20
USUAL_HOT_PER_S = 6
FEE_UPSTREAMS = 6
# 24 slots of requests that take 0.314 s in the mean.
FEE_CAPACITY_PER_S = 76

PAYOUT = RequestKind(
    "payout",
    72.3,
    0.22,
    idempotent=False,
    deadline_s=2.056,
    target_s=1.2,
    client_account="a",
)
SEAT = RequestKind(
    "seat",
    27.9,
    0.25,
    priority=1,
    deadline_s=2.056,
    target_s=1.2,
    client_account="a",
)
BURST = dataclasses.replace(SEAT, name="burst", client_account="b")
BURST_FACTOR = 14
PAYOUT_UPSTREAMS = 18


def run_hot_account(seed, factor, returns=Returns.NEVER, fair=True, seconds=20):
    """Run 20 accounts that are within their shares beside one that is not."""
    kinds = [
        dataclasses.replace(FEE, client_account=f"a{number}", returns=returns)
        for number in range(FEE_ACCOUNTS)
    ]
    hot = dataclasses.replace(
        FEE,
        name="hot",
        rate_per_s=USUAL_HOT_PER_S * factor,
        client_account="hot",
        returns=returns,
    )
    behaviours = [HEALTHY] * FEE_UPSTREAMS
    run = Simulation(behaviours, [*kinds, hot], seed=seed, fair_sharing=fair)
    return run.run(seconds)


def run_burst(
    seed, behaviour=HEALTHY, returns=Returns.NEVER, fair=True, seconds=6, **burst
):
    """Run payouts and seats beside a burst of another kind."""
    burst = dataclasses.replace(
        BURST, rate_per_s=SEAT.rate_per_s * BURST_FACTOR, **burst
    )
    kinds = [
        dataclasses.replace(kind, returns=returns) for kind in (PAYOUT, SEAT, burst)
    ]
    behaviours = [behaviour] * PAYOUT_UPSTREAMS
    return Simulation(behaviours, kinds, seed=seed, fair_sharing=fair).run(seconds)


def share_refused(run, kind):
    """Return the share of the requests of a kind that were refused at least once."""
    found = run.requests_of(kind)
    return sum(bool(r.refusals) for r in found) / len(found)


class PatternCase(unittest.TestCase):
    def assert_within_share_is_served(self, run, *kinds):
        for kind in kinds:
            self.assertLess(share_refused(run, kind), REFUSED_WITHIN_SHARE, kind)

    def assert_refusals_are_true_and_early(self, run):
        """Nine of ten refusals come within an eighth of the target."""
        refused = [r for r in run.requests if r.outcome == "refused"]
        self.assertTrue(refused)
        for request in refused:
            self.assertEqual(request.executions, 0)
        waits = sorted(
            (r.refusals[0][0] - r.arrived_s) / r.kind.target_s for r in refused
        )
        self.assertLess(waits[int(0.9 * len(waits))], 1 / 8)


class HotAccountTests(PatternCase):
    def test_accounts_within_their_share_are_served_beside_a_hot_one(self):
        for seed in SEEDS:
            for factor in (5, 8):
                with self.subTest(seed=seed, factor=factor):
                    run = run_hot_account(seed, factor)
                    self.assert_within_share_is_served(run, "fee")
                    self.assertGreater(run.share_in_time("fee"), 0.97)

    def test_the_excess_is_refused_at_once_and_the_slots_stay_busy(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_hot_account(seed, 8)
                self.assert_refusals_are_true_and_early(run)
                served = sum(r.outcome == "served" for r in run.requests)
                self.assertGreater(served, 0.9 * FEE_CAPACITY_PER_S * 20)

    def test_nothing_is_sent_past_its_deadline(self):
        run = run_hot_account(1, 8, Returns.AS_TOLD)
        for when, _, request in run.grants:
            self.assertLess(when, request.arrived_s + request.kind.deadline_s)

    # Guards against a new owner that lets the hot account have the slots of others.
    def test_a_new_owner_shares_fairly_from_the_start(self):
        run = run_hot_account(1, 8, seconds=0)
        run.at(run.now + 5, lambda: run.lose_nodes(0.5))
        run.run(10)
        lost = sum(r.outcome == "lost" for r in run.requests)
        self.assertGreater(lost, 0)
        self.assert_within_share_is_served(run, "fee")


class BurstOfOneKindTests(PatternCase):
    def test_a_less_urgent_burst_takes_nothing_from_payouts_and_seats(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_burst(seed)
                self.assert_within_share_is_served(run, "payout", "seat")
                self.assert_refusals_are_true_and_early(run)

    def test_a_burst_of_one_kind_of_an_account_leaves_its_others_their_share(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_burst(seed, client_account="a")
                self.assert_within_share_is_served(run, "payout", "seat")

    def test_a_burst_of_the_rank_of_payouts_takes_nothing_from_them(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_burst(seed, priority=0)
                self.assert_within_share_is_served(run, "payout")

    def test_payouts_are_served_while_upstreams_fail(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = run_burst(seed, FAILING)
                self.assert_within_share_is_served(run, "payout")
                served = run.outcome_share("served", "payout")
                self.assertGreater(served, run.outcome_share("served", "burst"))


class ReturningCallersTests(PatternCase):
    """Callers send what was refused again, at once or when they were told."""

    def test_callers_that_return_at_once_gain_nothing_from_the_others(self):
        run = run_hot_account(1, 8, Returns.AT_ONCE, seconds=8)
        self.assertGreater(share_refused(run, "hot"), 0.1)
        self.assert_within_share_is_served(run, "fee")

    def test_payouts_are_served_beside_a_burst_that_returns(self):
        for returns in (Returns.AS_TOLD, Returns.AT_ONCE):
            with self.subTest(returns=returns):
                run = run_burst(2, returns=returns, seconds=3)
                self.assertGreater(share_refused(run, "burst"), 0.1)
                self.assert_within_share_is_served(run, "payout", "seat")


class SameMomentTests(PatternCase):
    COUNT = 1000

    def run_all_at_once(self, seed):
        hot = dataclasses.replace(FEE, name="hot", client_account="hot")
        kinds = [
            dataclasses.replace(FEE, client_account=f"a{number}")
            for number in range(FEE_ACCOUNTS)
        ]
        run = Simulation([HEALTHY] * FEE_UPSTREAMS, kinds, seed=seed, fair_sharing=True)
        for _ in range(self.COUNT):
            run.at(run.now + 5, lambda: run.start_request(hot))
        return run.run(10)

    def test_a_moment_of_one_account_takes_nothing_from_the_others(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = self.run_all_at_once(seed)
                self.assert_within_share_is_served(run, "fee")
                self.assert_refusals_are_true_and_early(run)

    # Guards against callers that all come back at the same moment.
    def test_those_refused_are_told_different_times(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = self.run_all_at_once(seed)
                back_s = sorted(
                    when + told_s
                    for request in run.requests_of("hot")
                    for when, told_s in request.refusals
                )
                self.assertGreater(len(back_s), self.COUNT / 2)
                most = max(
                    sum(since_s <= when < since_s + 0.1 for when in back_s)
                    for since_s in back_s
                )
                self.assertLess(most, 0.1 * len(back_s))


if __name__ == "__main__":
    unittest.main()
