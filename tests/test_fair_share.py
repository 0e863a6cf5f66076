"""Properties of fair sharing: shares, ranks, deadlines, and the switch."""

import contextlib
import io
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from comfreyusher.flow import Tick, replace
from comfreyusher.messages import (
    AttemptReport,
    DenialReason,
    GrantRequest,
    UpstreamLoad,
    Verdict,
    WorkClass,
)
from comfreyusher.owner import CheckDue, OwnerTask, PlanChanged, decide, new_group
from comfreyusher.owner._fair_queue import (
    EMPTY_QUEUE,
    WorkAhead,
    insert_attempt,
    iterate_flows,
    remove_attempt,
    serve_attempt,
)
from comfreyusher.owner._fair_share import NO_BACKLOGS, replace_backlog
from comfreyusher.owner._load_shedding import WaitEstimate
from comfreyusher.owner._return_times import RefusalCause, cause_of
from comfreyusher.owner._state import Attempt
from comfreyusher.telemetry import GrantDenied, SharingRefused
from tests.simulation import Behaviour, RequestKind, Simulation
from tests.test_owner_properties import (
    PROFILE,
    SLOTS,
    UPSTREAMS,
    Model,
    OwnerMachine,
    grant_request,
    plan,
)
from tests.test_pattern_burst import count_calls

ACCOUNTS, ROUTES = ("a", "b", "c", "d"), ("r", "s")
COSTS_MS = {"r": 40, "s": 300}


def attempt_of(number, account, route="r", rank=0, deadline_s=50.0):
    """Return an attempt of a flow."""
    request = grant_request(
        number, priority=rank, client_account=account, route_key=route
    )
    return Attempt(request, deadline_s, deadline_s, 1.0, cost_ms=COSTS_MS[route])


class Service:
    """A queue, and the work that each account and flow got while it had a backlog."""

    def __init__(self):
        self.queue = EMPTY_QUEUE
        self.attempts = {}
        self.got_ms = {}
        self.number = 0

    def add(self, account, route="r", rank=0, deadline_s=50.0):
        self.number += 1
        attempt = attempt_of(self.number, account, route, rank, deadline_s)
        self.attempts[attempt.request.key] = attempt
        self.queue = insert_attempt(self.queue, attempt)

    def next_attempt(self):
        for _, flow in iterate_flows(self.queue):
            return self.attempts[flow.positions[0].key]

    def serve(self):
        attempt = self.next_attempt()
        self.queue = serve_attempt(self.queue, attempt)
        return self._end(attempt)

    def withdraw(self, index):
        attempt = list(self.attempts.values())[index % len(self.attempts)]
        self.queue = remove_attempt(self.queue, attempt)
        self._end(attempt)

    def _end(self, attempt):
        del self.attempts[attempt.request.key]
        return attempt


# An arrival, a withdrawal, or a free slot.
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(ACCOUNTS), st.sampled_from(ROUTES)),
        st.integers(0, 99),
        st.none(),
    ),
    max_size=200,
)


class ShareTests(unittest.TestCase):
    # Guards against a flow that gets less than its share while it has a backlog.
    @given(EVENTS)
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_parties_with_a_backlog_differ_by_at_most_a_request_each(self, events):
        for party_of in (
            lambda attempt: attempt.request.client_account,
            lambda attempt: (attempt.request.client_account, attempt.request.route_key),
        ):
            self.check_shares(events, party_of)

    def check_shares(self, events, party_of):
        service, got_ms = Service(), {}
        for event in events:
            if isinstance(event, tuple):
                service.add(*event)
            elif isinstance(event, int) and service.attempts:
                service.withdraw(event)
            elif event is None and service.attempts:
                attempt = service.serve()
                self.count(got_ms, party_of(attempt), attempt.cost_ms)
            queued = {party_of(attempt) for attempt in service.attempts.values()}
            for pair in list(got_ms):
                if not queued.issuperset(pair):
                    del got_ms[pair]
            for one in queued:
                for other in queued:
                    # The flows of two accounts share with different parties.
                    if one != other and (len(one) == 1 or one[0] == other[0]):
                        got_ms.setdefault((one, other), 0)
            for ahead_ms in got_ms.values():
                self.assertLessEqual(ahead_ms, 2 * max(COSTS_MS.values()))

    def count(self, got_ms, party, cost_ms):
        """Count by how much each party is ahead of each other one."""
        for one, other in got_ms:
            if one == party:
                got_ms[one, other] += cost_ms
            elif other == party:
                got_ms[one, other] -= cost_ms

    # Guards against an account that starves while new ones keep coming.
    @given(st.integers(1, 30))
    @settings(max_examples=20, derandomize=True, deadline=None)
    def test_new_accounts_do_not_starve_one_that_waits(self, queued):
        service = Service()
        for number in range(queued):
            service.add(f"early{number}")
        service.add("z")
        for served in range(queued + 1):
            if service.serve().request.client_account == "z":
                break
            service.add(f"a{served}")
        else:
            self.fail("the account was not served in its turn")

    @given(EVENTS, st.randoms(use_true_random=False))
    @settings(max_examples=80, derandomize=True, deadline=None)
    def test_ranks_are_strict_and_flows_go_by_deadline(self, events, rng):
        service = Service()
        for event in events:
            if isinstance(event, tuple):
                service.add(*event, rank=rng.randrange(3), deadline_s=rng.random())
            elif service.attempts:
                queued = [*service.attempts.values()]
                attempt = service.serve()
                rank = attempt.request.priority
                self.assertEqual(rank, min(a.request.priority for a in queued))
                flow = [a for a in queued if flow_of(a) == flow_of(attempt)]
                self.assertEqual(attempt.deadline_s, min(a.deadline_s for a in flow))

    def test_an_account_gets_no_credit_for_idle_time(self):
        service = Service()
        for _ in range(100):
            service.add("busy")
        for _ in range(50):
            service.serve()
        for _ in range(50):
            service.add("back")
        served = [service.serve().request.client_account for _ in range(20)]
        self.assertLessEqual(abs(served.count("back") - 10), 1)

    # Guards against state that grows with the accounts known, not those queued.
    def test_virtual_times_are_dropped_when_flows_are_idle(self):
        service = Service()
        service.add("z", "s")
        for number in range(500):
            service.add(f"n{number}", "s")
            service.serve()
            (rank,) = service.queue.ranks.values()
            self.assertLessEqual(len(rank.level.turns), 40)
        while service.attempts:
            service.serve()
        self.assertEqual(service.queue, EMPTY_QUEUE)


def flow_of(attempt):
    """Return what tells the flow of an attempt."""
    request = attempt.request
    return request.priority, request.client_account, request.route_key


class FairModel(Model):
    """A group with fair sharing, whose requests come from a few accounts."""

    def __init__(self):
        super().__init__()
        self.fair = True
        self.group = new_group(replace(plan(), fair_sharing=True), self.now)

    def send(self, message):
        if isinstance(message, GrantRequest):
            account = ACCOUNTS[message.number % len(ACCOUNTS)]
            message = replace(message, client_account=account)
        elif isinstance(message, PlanChanged):
            changed = replace(message.plan, fair_sharing=self.fair)
            message = PlanChanged(changed)
        super().send(message)

    def take_response(self, body):
        attempt = self.group.attempts.get(getattr(body, "key", None))
        if attempt is not None and attempt.granted_s == self.now:
            assert attempt.deadline_s > self.now, "granted past its deadline"
        super().take_response(body)


class FairOwnerMachine(OwnerMachine):
    """The properties of the owner hold with fair sharing, and when it is switched."""

    def __init__(self):
        super().__init__()
        self.model = FairModel()

    @rule()
    def switch_sharing(self):
        self.model.fair = not self.model.fair
        self.model.send(PlanChanged(plan(self.model.leaving)))

    @invariant()
    def queue_is_sorted_and_complete(self):
        group = self.model.group
        if not group.plan.fair_sharing:
            super().queue_is_sorted_and_complete()
            return
        queued = [group.attempts[position.key] for position in group.queue]
        assert all(not attempt.upstream for attempt in queued)
        waiting = sum(not attempt.upstream for attempt in group.attempts.values())
        assert len(group.queue) == len(queued) == waiting
        for rank in group.queue.ranks.values():
            check_rank(rank, [a for a in queued if a.request.priority in rank_of(rank)])


def rank_of(rank):
    """Return the numbers of the ranks whose attempts a rank holds."""
    return {
        position.priority
        for account in rank.accounts.values()
        for flow in account.flows.values()
        for position in flow.positions
    }


def check_rank(rank, queued):
    """Check the sums and the turns of a rank against its queued attempts."""
    assert set(rank.level.turns) >= set(rank.accounts)
    assert {turn.party for turn in rank.level.order} == set(rank.accounts)
    assert list(rank.level.order) == sorted(rank.level.order)
    for long in (False, True):
        backlogs = NO_BACKLOGS
        for name in rank.accounts:
            work_ms = sum(
                attempt.cost_ms
                for attempt in queued
                if attempt.request.client_account == name
                and (attempt.request.work_class is WorkClass.LONG) == long
            )
            assert rank.accounts[name].work_ms[long] == work_ms
            backlogs = replace_backlog(backlogs, 0, work_ms)
        assert rank.backlogs[long] == backlogs


FairOwnerMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=60, derandomize=True, deadline=None
)
FairOwnerProperties = FairOwnerMachine.TestCase


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

    def backlog(self):
        model = FairModel()
        model.group = new_group(
            replace(plan(names=("u1",)), fair_sharing=True), model.now
        )
        for number in range(1, 13):
            model.send(grant_request(number, remaining_ms=60_000, target_ms=50_000))
        return model

    def start_of(self, model, account):
        return model.group.queue.ranks[0].level.turns[account].start_ms

    def test_a_report_corrects_the_charge(self):
        model = self.backlog()
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
        model = self.backlog()
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
