"""Single decisions of an owner with fair sharing that the properties do not cover."""

import contextlib
import io
import itertools
import random
import unittest

from comfreyusher.flow import Tick, replace
from comfreyusher.messages import (
    AttemptReport,
    DenialReason,
    UpstreamLoad,
    Verdict,
    WorkClass,
)
from comfreyusher.owner import CheckDue, OwnerTask, PlanChanged, decide, new_group
from comfreyusher.owner._fair_queue import (
    WorkAhead,
    correct_cost,
    serials_of,
)
from comfreyusher.owner._load_shedding import WaitEstimate
from comfreyusher.owner._queue import count_queued_short
from comfreyusher.owner._return_times import RefusalCause, cause_of
from comfreyusher.telemetry import GrantDenied, SharingRefused
from tests.simulation import Behaviour, RequestKind, Simulation
from tests.test_fair_share import ACCOUNTS, FairModel, Service
from tests.test_owner_properties import (
    PROFILE,
    SLOTS,
    UPSTREAMS,
    Model,
    grant_request,
    plan,
)
from tests.test_pattern_burst import count_calls


class SwitchTests(unittest.TestCase):
    # Guards against client accounts that matter although sharing is off.
    def test_without_sharing_accounts_change_nothing(self):
        grants = []
        for accounts in (("",) * 3, ("a", "b", "c")):
            kinds = [
                RequestKind(f"k{n}", 60, 0.2, priority=n % 2, client_account=account)
                for n, account in enumerate(accounts)
            ]
            run = Simulation([Behaviour()] * 4, kinds, seed=3).run(5)
            grants.append(
                [(when, name, request.number) for when, name, request in run.grants]
            )
        self.assertEqual(grants[0], grants[1])

    def test_without_sharing_the_order_is_by_priority_and_deadline(self):
        rng, model = random.Random(5), Model()
        model.group = new_group(plan(names=("u1",)), model.now)
        numbers = range(1, 9)
        for number in numbers:
            model.send(
                grant_request(
                    number,
                    priority=rng.randrange(2) if number > 2 else 0,
                    remaining_ms=rng.randrange(2000, 3000),
                    target_ms=2000,
                    client_account=rng.choice(ACCOUNTS),
                )
            )
        queued = [a for a in model.group.attempts.values() if not a.upstream]
        queued.sort(key=lambda a: (a.request.priority, a.deadline_s))
        for attempt in queued:
            key = model.running()[0]
            model.ended[key] = "reported"
            model.send(AttemptReport(key, "s@r", "u1", Verdict.GOOD, 5))
            self.assertIn(attempt.request.key, model.granted)


class ChargeTests(unittest.TestCase):
    """The cost is the typical time of the route until a report tells more."""

    def backlog(self, fair=True):
        model = FairModel()
        model.group = new_group(
            replace(plan(names=("u1",)), fair_sharing=fair), model.now
        )
        for number in range(1, 13):
            model.send(grant_request(number, remaining_ms=60_000, target_ms=50_000))
        return model

    def charged_backlog(self, fair=True):
        """Return a model whose running attempts were charged to the backlog."""
        model = self.backlog(fair)
        for key in model.running():
            self.report(model, key)
        return model

    def report(self, model, key, took_ms=5):
        model.ended[key] = "reported"
        model.send(AttemptReport(key, "s@r", "u1", Verdict.GOOD, took_ms))

    def starts_of(self, model):
        turns = model.group.queue.ranks[0].level.turns
        return {account: turn.start_ms for account, turn in turns.items()}

    # Guards against an account that starves, or gets credit, for attempts that were
    # granted while nothing was queued: the dropped times do not hold their charge.
    def test_a_charge_that_was_dropped_is_not_corrected(self):
        for took_ms in (1, 60_000):
            model = self.backlog()
            costs_ms = {a.cost_ms for a in model.group.attempts.values()}
            for key in model.running():
                self.report(model, key, took_ms)
            self.assertLessEqual(max(self.starts_of(model).values()), max(costs_ms))
            self.assertGreaterEqual(min(self.starts_of(model).values()), 0)

    # Guards against corrections of charges from before sharing was switched on.
    def test_a_charge_of_an_earlier_queue_is_not_corrected(self):
        for switches in ((True,), (False, True)):
            model = self.charged_backlog(fair=not switches[0])
            for model.fair in switches:
                model.send(PlanChanged(plan(names=("u1",))))
            cost_ms = max(a.cost_ms for a in model.group.attempts.values())
            for key in model.running():
                self.report(model, key, 60_000)
            self.assertLessEqual(max(self.starts_of(model).values()), cost_ms)

    # Guards against a route that is charged for what its account did before it had
    # nothing queued for a moment.
    def test_a_charge_of_a_route_that_was_dropped_is_not_corrected(self):
        service = Service()
        service.add("b")
        service.add("a", "r")
        while service.next_attempt().request.client_account == "b":
            service.serve()
            service.add("b")
        first = service.next_attempt()
        serials = serials_of(service.queue, first.request)
        service.serve()
        service.add("a", "r")
        service.add("a", "s")
        first = replace(first, charged_serials=serials)
        queue = correct_cost(service.queue, first, 10_000)
        account = queue.ranks[0].accounts["a"]
        self.assertEqual({t.start_ms for t in account.level.order}, {0})
        # The level of the rank still holds the charge.
        self.assertGreaterEqual(queue.ranks[0].level.turns["a"].start_ms, 10_000)

    def start_of(self, model, account):
        return model.group.queue.ranks[0].level.turns[account].start_ms

    def test_a_report_corrects_the_charge(self):
        model = self.charged_backlog()
        key = model.running()[0]
        account = model.requests[key].client_account
        before = self.start_of(model, account)
        cost_ms = model.group.attempts[key].cost_ms
        model.send(AttemptReport(key, "s@r", "u1", Verdict.GOOD, cost_ms + 500))
        later_ms = {self.start_of(model, account) - before}
        # The slot that is free may have gone to the same account.
        self.assertTrue(min(later_ms) >= 500)

    # Guards against a report that is lost, or comes twice, and is charged wrongly.
    def test_a_repeated_report_is_charged_once(self):
        model = self.charged_backlog()
        key = model.running()[0]
        report = AttemptReport(key, "s@r", "u1", Verdict.GOOD, 900)
        model.send(report)
        queue = model.group.queue
        model.send(report)
        self.assertEqual(model.group.queue, queue)


class OtherSlotsTests(unittest.TestCase):
    """Flows that cannot use the free slots, and slots that another owner granted."""

    def group(self, **fields):
        model = FairModel()
        model.group = new_group(replace(plan(), fair_sharing=True), model.now)
        fields = {"remaining_ms": 60_000, "target_ms": 50_000, **fields}
        for number in range(1, SLOTS * len(UPSTREAMS) + 1):
            model.send(grant_request(number, **fields))
        return model

    # Guards against free slots that wait for a flow which must not use them.
    def test_a_flow_that_cannot_use_a_slot_leaves_it_to_the_next_and_keeps_its_turn(
        self,
    ):
        model = self.group()
        excluded = UPSTREAMS[1:]
        for number in (100, 104, 101):  # two of one account, then one of another
            fields = {} if number == 101 else {"excluded_upstreams": excluded}
            model.send(
                grant_request(number, remaining_ms=60_000, target_ms=50_000, **fields)
            )
        key = next(k for k in model.running() if model.granted[k].upstream != "u1")
        self.report(model, key)
        self.assertEqual(self.granted_of(model, 100, 101, 104), [101])
        key = next(k for k in model.running() if model.granted[k].upstream == "u1")
        self.report(model, key)
        self.assertEqual(self.granted_of(model, 100, 101, 104), [100, 101])

    # Guards against free slots behind a flow whose first attempts must not use them.
    def test_many_attempts_that_wait_for_one_upstream_leave_the_others_to_the_rest(
        self,
    ):
        for waiting in (7, 8, 12, 100):
            model = FairModel()
            fair = replace(plan(), fair_sharing=True)
            model.group = new_group(fair, model.now)
            for number in range(4, 4 * (SLOTS + waiting + 1), 4):
                model.send(
                    grant_request(
                        number,
                        excluded_upstreams=UPSTREAMS[1:],
                        remaining_ms=50_000,
                        target_ms=40_000,
                    )
                )
            self.assertEqual(len(model.group.queue), waiting)
            for number in range(4000, 4024, 4):
                model.send(grant_request(number, remaining_ms=60_000, target_ms=55_000))
            self.assertEqual(len(model.running()), SLOTS * len(UPSTREAMS))

    # Guards against free slots behind the long requests of many accounts, which wait
    # for the limit of long ones.
    def test_long_requests_of_many_accounts_leave_the_slots_to_short_ones(self):
        patient = replace(PROFILE, max_wait_ms=900_000)
        fair = replace(plan(), fair_sharing=True, profile=patient)
        fields = {"remaining_ms": 60_000, "target_ms": 50_000}
        for waiting in (60, 71, 200):
            group = new_group(fair, 100.0)
            for number in range(1, 1000):
                request = grant_request(
                    number,
                    work_class=WorkClass.LONG,
                    client_account=f"a{number}",
                    **fields,
                )
                group = decide(group, request, 100.0).state
                if len(group.queue) == waiting:
                    break
            short = grant_request(9999, client_account="short", **fields)
            group = decide(group, short, 100.1).state
            self.assertTrue(group.attempts[short.key].upstream)

    # Guards against an owner that is unfair while another one grants too.
    def test_what_another_owner_granted_is_not_shared_again(self):
        loads = tuple(UpstreamLoad(name, SLOTS) for name in UPSTREAMS)
        model = FairModel()
        model.group = new_group(replace(plan(), fair_sharing=True), model.now)
        for number in (4, 8, 12, 16, 20, 24, 28, 32, 36, 5):
            model.send(
                grant_request(
                    number, remaining_ms=60_000, target_ms=50_000, other_loads=loads
                )
            )
        self.assertEqual(model.running(), [])
        model.send(grant_request(40, remaining_ms=60_000, target_ms=50_000))
        granted = {key.number for key in model.running()}
        self.assertEqual(len(granted), SLOTS * len(UPSTREAMS))
        self.assertIn(5, granted)

    def report(self, model, key):
        upstream = model.granted[key].upstream
        model.ended[key] = "reported"
        model.send(AttemptReport(key, "s@r", upstream, Verdict.GOOD, 5))

    def granted_of(self, model, *numbers):
        return [n for n in numbers if any(key.number == n for key in model.granted)]


class WorkClassTests(unittest.TestCase):
    # Guards against counts that stay wrong after a new version of the configuration
    # has changed the work class of a route.
    def test_a_route_in_two_work_classes_leaves_no_counts_behind(self):
        for first, last in itertools.permutations(WorkClass):
            model = FairModel()
            model.group = new_group(replace(plan(), fair_sharing=True), model.now)
            fields = {"remaining_ms": 60_000, "target_ms": 50_000}
            # Other attempts keep the rank, so that it is not built anew.
            for number in (*range(1, 17, 4), *range(2, 82, 4)):
                model.send(grant_request(number, **fields))
            mixed = [first] * 40 + [last]
            for number, work_class in zip(range(100, 264, 4), mixed, strict=True):
                model.send(grant_request(number, work_class=work_class, **fields))
            while running := model.running():
                for key in running:
                    upstream = model.granted[key].upstream
                    model.ended[key] = "reported"
                    model.send(AttemptReport(key, "s@r", upstream, Verdict.GOOD, 5))
            queue = model.group.queue
            self.assertEqual((len(queue), queue.long_count), (0, 0))
            self.assertEqual(count_queued_short(model.group), 0)


class CostTests(unittest.TestCase):
    """Decisions cost the same with few and with many accounts queued."""

    def crowd(self, accounts):
        patient = replace(PROFILE, max_wait_ms=900_000)
        fair = replace(plan(), fair_sharing=True, profile=patient)
        group = new_group(fair, 100.0)
        for number in range(1, accounts + 1):
            group = decide(group, self.request(number), 100.0).state
        return group

    def request(self, number):
        return grant_request(
            number,
            remaining_ms=900_000,
            target_ms=800_000,
            client_account=f"a{number}",
        )

    def test_the_cost_grows_at_most_with_the_logarithm_of_the_queue(self):
        small, large = self.crowd(100), self.crowd(1600)
        self.assertGreater(len(large.queue), 1500)
        few = count_calls(small, self.request(9999), 100.1)
        many = count_calls(large, self.request(9999), 100.1)
        # Each of the searches in sorted tuples compares four more turns.
        self.assertLess(many, few + 60)
        checks = [count_calls(group, CheckDue(), 100.1) for group in (small, large)]
        self.assertLess(checks[1], checks[0] * 16 * 1.2)


class RefusalTests(unittest.TestCase):
    # Guards against callers that are told to return at the same moment.
    def test_refused_callers_return_one_after_another(self):
        model = FairModel()
        model.send(PlanChanged(plan()))
        for number in range(4, 4 * 400, 4):
            model.send(grant_request(number, remaining_ms=900, target_ms=500))
        told_ms = [
            body.retry_after_ms
            for body in model.ended.values()
            if body.reason is DenialReason.TOO_LATE
        ]
        self.assertGreater(len(told_ms), 200)
        most = max(
            sum(when <= other < when + 10 for other in told_ms) for when in told_ms
        )
        self.assertLess(most, len(told_ms) * 0.05)
        self.assertGreater(min(told_ms), 0)

    # Guards against times of minutes for an account that has queued almost nothing
    # while many others have a backlog.
    def test_a_small_backlog_is_not_told_a_long_time(self):
        patient = replace(PROFILE, max_wait_ms=900_000)
        group = new_group(replace(plan(), fair_sharing=True, profile=patient), 100.0)
        times_s = group.typical_s.update({"cheap": 0.001, "big": 0.3})
        model = FairModel()
        model.group = replace(group, typical_s=times_s, short_mean_s=0.3)
        fields = {"remaining_ms": 4000, "target_ms": 3500}
        for number in range(SLOTS * len(UPSTREAMS) + 80):
            other = f"other{number % 40}"
            self.send(model, number + 1, other, route_key="big", **fields)
        self.send(model, 200, "own", route_key="cheap", **fields)
        self.assertGreater(len(model.group.queue), 60)
        told_ms = []
        for number in range(201, 221):
            request = self.send(
                model, number, "own", route_key="big", remaining_ms=1200
            )
            denied = model.ended[request.key]
            self.assertIs(denied.reason, DenialReason.TOO_LATE)
            told_ms.append(denied.retry_after_ms)
        # All that is queued, on all slots, with the margin of a heavy account, and the
        # caller's own time.
        queued_ms = sum(model.group.queue.ranks[0].work_ms) / (SLOTS * len(UPSTREAMS))
        self.assertLess(max(told_ms), 1.25 * queued_ms + 1200)
        self.assertGreater(len(set(told_ms)), 10)

    def send(self, model, number, account, **fields):
        request = grant_request(number, client_account=account, **fields)
        Model.send(model, request)
        return request

    # Guards against a wrong cause, which would send operators to the wrong account.
    def test_the_cause_is_what_most_of_the_wait_is_for(self):
        causes = RefusalCause
        for own_ms, others_ms, urgent_ms, cause in (
            (900, 100, 100, causes.OWN_BACKLOG),
            (100, 900, 100, causes.OTHER_ACCOUNTS),
            (100, 100, 900, causes.MORE_URGENT),
            (0, 0, 0, causes.NO_TIME),
        ):
            work = WorkAhead(own_ms, others_ms, urgent_ms, 2, False)
            self.assertIs(cause_of(WaitEstimate(1.0, 0.1, work)), cause)

    # Guards against operators who cannot see that sharing refuses, and why.
    def test_refusals_are_counted_by_cause_once_a_second(self):
        times, sent = [100.0], []
        task = OwnerTask(clock=lambda: times[-1])
        task.send_message = lambda channel, body: sent.append(body)
        task.plans = {"s@r": replace(plan(), fair_sharing=True)}
        for number in range(1, 400):
            task.handle_grant_request(
                grant_request(number, remaining_ms=900, target_ms=500)
            )
        with contextlib.redirect_stdout(io.StringIO()):
            for _ in range(2):
                task.handle_tick(Tick("status", 101.0))
        counted = [body for body in sent if type(body) is SharingRefused]
        denials = [body for body in sent if type(body) is GrantDenied]
        self.assertEqual([body.cause for body in counted], ["own backlog"])
        self.assertEqual(counted[0].count, len(denials))
        self.assertGreater(len(denials), 0)


if __name__ == "__main__":
    unittest.main()
