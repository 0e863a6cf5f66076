"""Properties of fair sharing under any order of events: shares, ranks, deadlines."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from comfreyusher.flow import replace
from comfreyusher.messages import (
    GrantRequest,
    WorkClass,
)
from comfreyusher.owner import PlanChanged, new_group
from comfreyusher.owner._fair_queue import (
    EMPTY_QUEUE,
    insert_attempt,
    iterate_flows,
    remove_attempt,
    serve_attempt,
)
from comfreyusher.owner._fair_share import NO_BACKLOGS, replace_backlog
from comfreyusher.owner._state import Attempt
from tests.test_owner_properties import (
    Model,
    OwnerMachine,
    grant_request,
    plan,
)

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

    # Guards against accounts that are forgotten while idle and come back at an
    # unchanged virtual time, so that one with a steady backlog starves.
    def test_accounts_that_come_in_turn_do_not_starve_a_steady_one(self):
        for accounts in (20, 84, 200):
            service, served = Service(), 0
            rounds = accounts * 30
            for _ in range(2):
                service.add("z")
            for number in range(rounds):
                service.add(f"a{number % accounts}")
                if service.serve().request.client_account == "z":
                    service.add("z")
                    served += 1
            # Its share among all of them, less one request for each full round.
            self.assertGreaterEqual(served, rounds / (accounts + 1) - 1)

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
        # Only the serials of the ranks and accounts are not reused.
        self.assertEqual(replace(service.queue, last_serial=0), EMPTY_QUEUE)


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

    # Guards against entry nodes on two versions of the configuration, for which the
    # route has different work classes.
    @rule(classes=st.lists(st.sampled_from(WorkClass), min_size=4, max_size=12))
    def send_one_account_in_both_classes(self, classes):
        for work_class in classes:
            self.model.number += 4
            request = grant_request(
                self.model.number, work_class=work_class, target_ms=2500
            )
            self.model.send(request)

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
        assert group.queue.long_count == sum(map(group.is_long, queued))
        for (_, _, (_, long)), flow in iterate_flows(group.queue):
            attempts = [group.attempts[position.key] for position in flow.positions]
            assert {group.is_long(attempt) for attempt in attempts} == {long}
            assert flow.work_ms == sum(attempt.cost_ms for attempt in attempts)
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


if __name__ == "__main__":
    unittest.main()
