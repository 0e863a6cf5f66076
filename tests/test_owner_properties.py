"""Properties of the owner's decisions, under any order of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreyusher.declarations import Detection, Profile, Retries
from comfreyusher.flow import replace
from comfreyusher.health import Standing
from comfreyusher.messages import (
    AttemptKey,
    AttemptReport,
    Denial,
    DenialReason,
    Grant,
    GrantRequest,
    QueuedAck,
    ReportAck,
    ToNode,
    Verdict,
    WorkClass,
)
from comfreyusher.owner import (
    Clock,
    Ejected,
    Leave,
    Member,
    OwnerTask,
    Plan,
    PlanChanged,
    Quarantined,
    decide,
    new_group,
)

SLOTS = 2
GROUP = "s@r"
UPSTREAMS = ("u1", "u2", "u3", "u4")
SLACK = 3
PROFILE = Profile(
    name="p",
    floor_share=0.5,
    slow_start_ms=100,
    max_wait_ms=5000,
    detection=Detection(min_stall_ms=50, first_stall_ms=100, ejection_ms=500),
    retries=Retries(max_attempts=3, budget_share=0.5),
)


def plan(leaving=(), names=UPSTREAMS):
    """Return the plan of the group with some upstreams leaving."""
    members = tuple(
        Member(name, "127.0.0.1", 1, SLOTS, name in leaving) for name in names
    )
    return Plan(GROUP, PROFILE, SLOTS * len(UPSTREAMS), members, SLACK)


def ask(number, attempt=1, **fields):
    """Return an ask."""
    made = GrantRequest(
        "n.1",
        number,
        attempt,
        GROUP,
        "flow",
        WorkClass.SHORT,
        0,
        True,
        False,
        0,
        3000,
        1000,
        0,
        False,
        False,
        "d",
        f"r{number}",
        f"f{number}",
    )
    return replace(made, **fields)


class Model:
    """A group, and what its entry nodes were told."""

    def __init__(self):
        self.now = 100.0
        self.group = new_group(plan(), self.now)
        self.number = 0
        self.asks = {}
        self.granted = {}
        self.ended = {}
        self.leaving = set()
        self.quarantined = set()
        self.faults = []
        self.firsts = []
        self.repeats = []

    def send(self, message):
        """Run one decision and take its messages."""
        if isinstance(message, GrantRequest):
            self.asks[message.key] = message
        before = self.group
        step = decide(self.group, message, self.now)
        self.group = step.state
        for address in step.messages:
            body = address.body
            if isinstance(body, ToNode):
                self.take(body.body)
            elif isinstance(body, Ejected):
                self.note_ejection(body, before)
            elif isinstance(body, Quarantined):
                self.quarantined.add(body.fingerprint)

    def take(self, body):
        """Take an answer to an entry node."""
        if isinstance(body, Grant):
            self.note_grant(body)
        elif isinstance(body, Denial):
            if body.key in self.granted or body.key in self.ended:
                self.faults.append(("denied after its end", body))
            self.ended[body.key] = body
        elif not isinstance(body, ReportAck | QueuedAck):
            self.faults.append(("unknown answer", body))

    def note_grant(self, grant):
        """Check a grant, and keep it."""
        known = self.granted.get(grant.key)
        if known is not None and known.upstream != grant.upstream:
            self.faults.append(("granted two upstreams", grant))
        if known is None:
            asked = self.asks[grant.key]
            if grant.upstream in self.leaving:
                self.faults.append(("granted a leaving upstream", grant))
            if grant.upstream in asked.excluded_upstreams:
                self.faults.append(("granted a tried upstream", grant))
            if asked.fingerprint in self.quarantined:
                self.faults.append(("granted a quarantined request", grant))
            if grant.key in self.ended:
                self.faults.append(("granted after its end", grant))
            (self.repeats if asked.prior_sends else self.firsts).append(self.now)
        self.granted[grant.key] = grant

    def note_ejection(self, ejected, before):
        """Check the floor against the state from before."""
        was = before.upstreams[ejected.upstream].health.standing
        healthy = sum(
            up.slots
            for up in self.group.upstreams.values()
            if up.health.standing is Standing.HEALTHY
        )
        floor = PROFILE.floor_share * SLOTS * len(UPSTREAMS)
        if was is Standing.HEALTHY and healthy < floor:
            self.faults.append(("crossed the floor", ejected))

    def running(self):
        """Return the keys of grants that were not reported."""
        return [key for key in self.granted if key not in self.ended]


class OwnerMachine(RuleBasedStateMachine):
    """Asks, repeated asks, reports, lists and time in any order."""

    def __init__(self):
        super().__init__()
        self.model = Model()

    @rule(
        idempotent=st.booleans(),
        long=st.booleans(),
        wait=st.integers(1, 3000),
        repeats=st.integers(0, 1),
        spare=st.booleans(),
        priority=st.integers(0, 2),
        tried=st.sets(st.sampled_from(UPSTREAMS), max_size=2),
        same=st.booleans(),
    )
    def ask_for_one(
        self, idempotent, long, wait, repeats, spare, priority, tried, same
    ):
        model = self.model
        model.number += 1
        made = ask(
            model.number,
            idempotent=idempotent,
            work_class=WorkClass.LONG if long else WorkClass.SHORT,
            remaining_ms=wait,
            target_ms=wait // 2,
            prior_sends=repeats,
            no_wait=spare,
            priority=priority,
            excluded_upstreams=tuple(sorted(tried)),
            fingerprint="poison" if same else f"f{model.number}",
        )
        model.asks[made.key] = made
        model.send(made)

    @rule(index=st.integers(0, 99))
    def repeat_ask(self, index):
        works = list(self.model.group.works)
        if works:
            self.model.send(self.model.asks[works[index % len(works)]])

    @rule(
        index=st.integers(0, 99),
        verdict=st.sampled_from(Verdict),
        took=st.integers(0, 2000),
        twice=st.booleans(),
    )
    def report(self, index, verdict, took, twice):
        running = self.model.running()
        if not running:
            return
        key = running[index % len(running)]
        grant = self.model.granted[key]
        fingerprint = self.model.asks[key].fingerprint
        said = AttemptReport(key, GROUP, grant.upstream, verdict, took, fingerprint)
        self.model.ended[key] = said
        self.model.send(said)
        if verdict in (Verdict.DRAINING, Verdict.MISDIRECTED):
            self.model.leaving.add(grant.upstream)
        if twice:
            self.model.send(said)

    @rule(index=st.integers(0, 99))
    def withdraw(self, index):
        queued = [place.key for place in self.model.group.queue]
        if queued:
            key = queued[index % len(queued)]
            self.model.ended[key] = "withdrawn"
            self.model.send(AttemptReport(key, GROUP, "", Verdict.CANCELLED, 0))

    @rule()
    def report_of_an_earlier_owner(self):
        key = AttemptKey("n.9", 1, 1)
        self.model.send(AttemptReport(key, GROUP, "u1", Verdict.FAULT, 5, "other"))

    @rule(name=st.sampled_from(UPSTREAMS), stays=st.booleans())
    def change_list(self, name, stays):
        leaving = self.model.leaving
        if not stays and len(leaving) < len(UPSTREAMS) - 1:
            leaving.add(name)
        self.model.send(PlanChanged(plan(leaving)))

    @rule(ms=st.integers(1, 900))
    def let_time_pass(self, ms):
        self.model.now += ms / 1000
        for key in self.model.running():
            work = self.model.group.works.get(key)
            if work is None:
                self.model.ended.setdefault(key, "expired")
        self.model.send(Clock())

    @invariant()
    def nothing_is_broken(self):
        assert not self.model.faults, self.model.faults

    @invariant()
    def slots_are_counted_and_kept(self):
        group = self.model.group
        counts = dict.fromkeys(group.upstreams, 0)
        for work in group.works.values():
            if work.upstream in counts:
                counts[work.upstream] += 1
        for name, upstream in group.upstreams.items():
            assert upstream.in_flight == counts[name], name
            assert upstream.in_flight <= upstream.slots, name

    @invariant()
    def queue_is_sorted_and_holds_what_waits(self):
        group = self.model.group
        assert list(group.queue) == sorted(group.queue)
        long = [place for place in group.queue if group.is_long(group.works[place.key])]
        assert list(group.queued_long) == long
        waiting = {key for key, work in group.works.items() if not work.upstream}
        assert {place.key for place in group.queue} == waiting

    @invariant()
    def repeats_stay_within_the_budget(self):
        model = self.model
        window_s = PROFILE.retries.window_ms / 1000
        since_s = int(model.now) - window_s + 1
        repeats = sum(when >= since_s for when in model.repeats)
        firsts = len(model.asks)
        assert repeats <= PROFILE.retries.budget_share * firsts + SLACK

    @invariant()
    def odds_are_probabilities(self):
        for upstream in self.model.group.upstreams.values():
            assert 0 <= upstream.odds.probability <= 1


OwnerMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, derandomize=True, deadline=None
)
OwnerProperties = OwnerMachine.TestCase


def first_slack_after(uptime_s):
    """Return the slack of a group that a process of this age begins."""
    times = [100.0]
    task = OwnerTask(clock=lambda: times[-1])
    task.send_message = lambda channel, body: None
    task.plans = {GROUP: plan()}
    times.append(100.0 + uptime_s)
    task.take_ask(ask(1))
    return task.groups[GROUP].first_slack


class OwnerTests(unittest.TestCase):
    """Single decisions that the properties do not pin down."""

    def setUp(self):
        self.model = Model()

    def send(self, *messages):
        for message in messages:
            self.model.send(message)

    def crash(self, number, upstream, fingerprint="poison"):
        key = AttemptKey("n.1", number, 1)
        return AttemptReport(key, GROUP, upstream, Verdict.CRASHED, 5, fingerprint)

    def test_a_request_that_crashed_three_upstreams_is_refused_at_once(self):
        for number, name in enumerate(("u1", "u2", "u3"), start=1):
            self.send(self.crash(number, name))
        self.send(ask(9, fingerprint="poison"))
        denial = self.model.ended[AttemptKey("n.1", 9, 1)]
        self.assertEqual(denial.reason, DenialReason.QUARANTINED)

    def test_crashes_of_one_upstream_alone_condemn_no_request(self):
        for number in range(1, 6):
            self.send(self.crash(number, "u1"))
        self.assertEqual(self.model.quarantined, set())

    def test_a_good_answer_clears_a_suspect(self):
        self.send(self.crash(1, "u1"), self.crash(2, "u2"))
        key = AttemptKey("n.1", 3, 1)
        self.send(AttemptReport(key, GROUP, "u3", Verdict.GOOD, 5, "poison"))
        self.send(self.crash(4, "u3"))
        self.assertEqual(self.model.quarantined, set())

    def test_an_upstream_that_one_vm_cannot_reach_is_kept(self):
        for number in range(1, 9):
            key = AttemptKey("n.1", number, 1)
            self.send(AttemptReport(key, GROUP, "u1", Verdict.UNREACHED, 150))
        self.model.now += 0.2
        self.send(Clock())
        standing = self.model.group.upstreams["u1"].health.standing
        self.assertIsNot(standing, Standing.EJECTED)

    def test_an_upstream_that_several_vms_cannot_reach_is_ejected(self):
        for number in range(1, 9):
            key = AttemptKey(f"n.{number}", number, 1)
            self.send(AttemptReport(key, GROUP, "u1", Verdict.UNREACHED, 150))
        self.model.now += 0.2
        self.send(Clock())
        standing = self.model.group.upstreams["u1"].health.standing
        self.assertIs(standing, Standing.EJECTED)

    def test_a_leaving_owner_sends_its_queue_elsewhere(self):
        for number in range(1, SLOTS * len(UPSTREAMS) + 4):
            self.send(ask(number))
        self.send(Leave())
        reasons = {
            body.reason
            for body in self.model.ended.values()
            if isinstance(body, Denial)
        }
        self.assertEqual(reasons, {DenialReason.LEAVING})
        self.assertEqual(self.model.group.queue, ())

    def test_a_restarted_upstream_is_known_anew(self):
        key = AttemptKey("n.1", 1, 1)
        self.send(AttemptReport(key, GROUP, "u1", Verdict.FAULT, 5))
        before = self.model.group.upstreams["u1"].odds.probability
        members = tuple(
            replace(m, born_ms=5) if m.name == "u1" else m for m in plan().members
        )
        self.send(PlanChanged(replace(plan(), members=members)))
        self.assertLess(self.model.group.upstreams["u1"].odds.probability, before)

    # Guards against sound upstreams that stay unused after their entry lapsed.
    def test_an_upstream_whose_entry_lapsed_during_work_is_used_again(self):
        self.send(*(ask(number) for number in range(1, 9)))
        running = [g.upstream for g in self.model.granted.values()]
        self.assertIn("u1", running)
        self.send(PlanChanged(plan(names=UPSTREAMS[1:])))
        standing = self.model.group.upstreams["u1"].health.standing
        self.assertIs(standing, Standing.LEAVING)
        self.send(PlanChanged(plan()))
        upstream = self.model.group.upstreams["u1"]
        self.assertIs(upstream.health.standing, Standing.HEALTHY)
        self.assertEqual(upstream.in_flight, running.count("u1"))

    # Guards against an older list that brings a leaving upstream back to work.
    def test_an_upstream_that_said_it_leaves_stays_out_while_it_is_listed(self):
        self.send(PlanChanged(plan(leaving=("u1",))), PlanChanged(plan()))
        standing = self.model.group.upstreams["u1"].health.standing
        self.assertIs(standing, Standing.LEAVING)

    def test_a_new_owner_earns_its_slack_over_a_window(self):
        many = replace(plan(), budget_slack=20)
        self.model.group = new_group(many, self.model.now, first_slack=0)
        counts = []
        for _ in range(2):
            before = len(self.model.repeats)
            for _ in range(20):
                self.model.number += 1
                asked = ask(self.model.number, prior_sends=1)
                self.send(asked)
                if asked.key in self.model.granted:
                    key = self.model.granted[asked.key]
                    good = Verdict.GOOD
                    self.send(AttemptReport(asked.key, GROUP, key.upstream, good, 5))
            counts.append(len(self.model.repeats) - before)
            self.model.now += 5
        self.assertEqual(counts[0], 0)
        self.assertLess(sum(counts), 15)

    def test_a_group_that_is_seldom_asked_may_repeat_a_little_at_once(self):
        many = replace(plan(), budget_slack=20)
        self.model.group = new_group(many, self.model.now)
        for number in range(1, 9):
            self.send(ask(number, prior_sends=1))
        self.assertEqual(len(self.model.repeats), 2)

    def test_a_fresh_process_begins_groups_without_slack(self):
        """All nodes of a fleet that starts may own the same group at once."""
        self.assertEqual(first_slack_after(0.5), 0)
        self.assertEqual(first_slack_after(5.0), 2)

    def test_second_owner_spends_little_of_the_slack(self):
        for number in range(1, 9):
            self.send(ask(number, owner_rank=1, prior_sends=1))
        self.assertLessEqual(len(self.model.repeats), 2)


if __name__ == "__main__":
    unittest.main()
