"""Properties of the owner's decisions, under any order of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreyusher.declarations import Detection, Profile, Retries
from comfreyusher.flow import change
from comfreyusher.health import Standing
from comfreyusher.messages import (
    AnswerHead,
    Offer,
    OpinionGiven,
    OpinionWanted,
    Outcome,
    Refusal,
    RefusalStatus,
    ReplyBody,
    ReplyStart,
    RequestHead,
    Result,
    ResultBody,
    SendCancel,
    SendFailed,
    SendStart,
    ToNode,
    Withdraw,
    WorkClass,
    WorkKey,
)
from comfreyusher.owner import (
    Clock,
    Ejected,
    Member,
    Plan,
    PlanChanged,
    decide,
    new_group,
)

SLOTS = 2
UPSTREAMS = ("u1", "u2", "u3", "u4")
PROFILE = Profile(
    name="p",
    floor_share=0.5,
    slow_start_ms=100,
    max_wait_ms=5000,
    detection=Detection(min_stall_ms=50, first_stall_ms=100, ejection_ms=500),
    retries=Retries(max_attempts=3, budget_share=0.5),
)
OK = AnswerHead(200)
SHED = AnswerHead(503, ((b"Request-Refused", b"shed"),))
DRAINING = AnswerHead(503, ((b"Request-Refused", b"draining"),))


def plan(leaving=()):
    """Return the plan of the group with some upstreams leaving."""
    members = tuple(
        Member(name, "127.0.0.1", 1, SLOTS, name in leaving) for name in UPSTREAMS
    )
    return Plan("s@r", PROFILE, SLOTS * len(UPSTREAMS), members)


def offer(number, idempotent=True, long=False, fingerprint="", remaining_ms=3000):
    """Return an offer."""
    return Offer(
        WorkKey("n.1", number),
        "s@r",
        WorkClass.LONG if long else WorkClass.SHORT,
        remaining_ms,
        idempotent,
        f"r{number}",
        fingerprint or f"f{number}",
        "",
        RequestHead("POST", f"/{number}"),
    )


class Model:
    """A group with fake upstreams that note what they ran."""

    def __init__(self):
        self.now = 100.0
        self.group = new_group(plan(), self.now)
        self.number = 0
        self.offers = {}
        self.running = {}
        self.runs = {}
        self.ended = {}
        self.leaving = set()
        self.floor_crossed = []
        self.to_leaving = []

    def send(self, message):
        """Run one decision and take its messages."""
        before = self.group
        step = decide(self.group, message, self.now)
        self.group = step.state
        for address in step.messages:
            self.take(address.body, before)

    def take(self, body, before):
        """Take one message of a decision."""
        if isinstance(body, SendStart):
            self.note_start(body)
        elif isinstance(body, SendCancel):
            self.running.pop(body.exchange, None)
        elif isinstance(body, Ejected):
            self.note_ejection(body, before)
        elif isinstance(body, ToNode):
            self.note_answer(body.body)

    def note_start(self, start):
        """An upstream may run the work from now on."""
        key = start.exchange.key
        name = self.group.works[key].upstream
        self.running[start.exchange] = name
        self.runs.setdefault(key, []).append(start.exchange)
        if name in self.leaving:
            self.to_leaving.append(name)

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
            self.floor_crossed.append(ejected)

    def note_answer(self, body):
        """Keep the end of a piece of work."""
        ends = isinstance(body, Refusal) or (
            isinstance(body, Result | ResultBody) and body.ended
        )
        if ends:
            self.ended.setdefault(body.key, []).append(body)

    def did_not_run(self, attempt):
        """Forget a run that certainly did not happen."""
        self.runs[attempt.key].remove(attempt)


class OwnerMachine(RuleBasedStateMachine):
    """Offers, replies, refusals, crashes, withdrawals and time in any order."""

    def __init__(self):
        super().__init__()
        self.model = Model()

    def pick(self, index):
        """Return one dispatch that runs, or ``None``."""
        running = list(self.model.running)
        return running[index % len(running)] if running else None

    @rule(idempotent=st.booleans(), long=st.booleans(), wait=st.integers(1, 3000))
    def offer_work(self, idempotent, long, wait):
        model = self.model
        model.number += 1
        made = offer(model.number, idempotent, long, remaining_ms=wait)
        model.offers[made.key] = made
        model.send(made)

    @rule(index=st.integers(0, 99))
    def repeat_offer(self, index):
        works = list(self.model.group.works)
        if works:
            self.model.send(self.model.offers[works[index % len(works)]])

    @rule(index=st.integers(0, 99), status=st.sampled_from((200, 500)))
    def answer(self, index, status):
        attempt = self.pick(index)
        if attempt is not None:
            del self.model.running[attempt]
            self.model.send(ReplyStart(attempt, AnswerHead(status), b"x", True))

    @rule(index=st.integers(0, 99))
    def answer_in_parts_late(self, index):
        attempt = self.pick(index)
        if attempt is not None:
            self.model.send(ReplyStart(attempt, OK, b"x", False))
            if attempt in self.model.running:
                del self.model.running[attempt]
                self.model.send(ReplyBody(attempt, b"y", True))

    @rule(index=st.integers(0, 99), head=st.sampled_from((SHED, DRAINING)))
    def refuse_unrun(self, index, head):
        attempt = self.pick(index)
        if attempt is not None:
            name = self.model.running.pop(attempt)
            self.model.did_not_run(attempt)
            if head is DRAINING:
                self.model.leaving.add(name)
            self.model.send(ReplyStart(attempt, head, b"", True))

    @rule(index=st.integers(0, 99), sent=st.booleans())
    def fail(self, index, sent):
        attempt = self.pick(index)
        if attempt is not None:
            del self.model.running[attempt]
            if not sent:
                self.model.did_not_run(attempt)
            self.model.send(SendFailed(attempt, sent, False, "reset"))

    @rule(index=st.integers(0, 99))
    def late_reply_to_an_ended_dispatch(self, index):
        starts = [a for runs in self.model.runs.values() for a in runs]
        gone = [a for a in starts if a not in self.model.running]
        if gone:
            late = gone[index % len(gone)]
            self.model.send(ReplyStart(late, OK, b"late", True))

    @rule(index=st.integers(0, 99))
    def withdraw(self, index):
        works = list(self.model.group.works)
        if works:
            self.model.send(Withdraw(works[index % len(works)]))

    @rule(name=st.sampled_from(UPSTREAMS), stays=st.booleans())
    def change_list(self, name, stays):
        leaving = self.model.leaving
        if not stays and len(leaving) < len(UPSTREAMS) - 1:
            leaving.add(name)
        self.model.send(PlanChanged(plan(leaving)))

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.0, 5.0)))
    def let_time_pass(self, seconds):
        self.model.now += seconds
        self.model.send(Clock())

    @invariant()
    def ejections_keep_the_floor(self):
        assert not self.model.floor_crossed

    @invariant()
    def marked_work_runs_at_most_once(self):
        for key, runs in self.model.runs.items():
            if not self.model.offers[key].idempotent:
                assert len(runs) <= 1, (key, runs)

    @invariant()
    def work_told_as_not_run_did_not_run(self):
        for key, ends in self.model.ended.items():
            for end in ends:
                if isinstance(end, Refusal) and end.outcome is Outcome.NOT_RUN:
                    assert not self.model.runs.get(key), (key, end)

    @invariant()
    def every_work_ends_once(self):
        for key, ends in self.model.ended.items():
            assert len(ends) == 1, (key, ends)
            assert key not in self.model.group.works

    @invariant()
    def slots_are_counted_right(self):
        for name, upstream in self.model.group.upstreams.items():
            running = list(self.model.running.values()).count(name)
            assert upstream.in_flight == running <= SLOTS, (name, upstream)

    @invariant()
    def leaving_upstreams_get_nothing(self):
        assert not self.model.to_leaving


OwnerMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
OwnerPropertyTests = OwnerMachine.TestCase
del OwnerMachine


class OwnerFlowTests(unittest.TestCase):
    """Single stories, each about one decision."""

    def setUp(self):
        self.model = Model()
        self.pass_time(0.3)

    def pass_time(self, seconds):
        self.model.now += seconds
        self.model.send(Clock())

    def offer(self, count=1, **fields):
        for _ in range(count):
            self.model.number += 1
            made = offer(self.model.number, **fields)
            self.model.offers[made.key] = made
            self.model.send(made)

    def answer_all(self, but=""):
        for attempt, name in list(self.model.running.items()):
            if name != but:
                del self.model.running[attempt]
                self.model.send(ReplyStart(attempt, OK, b"", True))

    def standing(self, name):
        return self.model.group.upstreams[name].health.standing

    def test_stalled_upstream_is_ejected_while_others_answer(self):
        for _ in range(10):
            self.offer(4)
            self.pass_time(0.02)
            self.answer_all()
        self.offer(8)
        for _ in range(5):
            self.pass_time(0.1)
            self.answer_all(but="u1")
        self.assertIs(self.standing("u1"), Standing.EJECTED)

    def test_ejection_rescues_idempotent_work(self):
        self.test_stalled_upstream_is_ejected_while_others_answer()
        self.answer_all()
        refusals = [
            end
            for ends in self.model.ended.values()
            for end in ends
            if isinstance(end, Refusal)
        ]
        self.assertEqual(refusals, [])

    def test_slow_group_ejects_nobody(self):
        for _ in range(10):
            self.offer(4)
            self.pass_time(0.02)
            self.answer_all()
        self.offer(8)
        for _ in range(5):
            self.pass_time(0.1)
        self.assertEqual(self.model.group.ejected_total, 0)

    def test_ejected_upstream_returns_after_good_work_on_probation(self):
        self.test_stalled_upstream_is_ejected_while_others_answer()
        for _ in range(40):
            self.offer(1)
            self.pass_time(0.05)
            self.answer_all()
        self.assertIs(self.standing("u1"), Standing.HEALTHY)

    def test_full_queue_refuses_at_the_door(self):
        for _ in range(10):
            self.offer(8)
            self.pass_time(0.1)
            self.answer_all()
        self.offer(80, remaining_ms=400)
        refused = [e for ends in self.model.ended.values() for e in ends]
        refused = [e for e in refused if isinstance(e, Refusal)]
        self.assertGreater(len(refused), 20)
        self.assertTrue(all(e.outcome is Outcome.NOT_RUN for e in refused))
        self.assertTrue(all(e.retry_after_ms > 0 for e in refused))

    def test_long_work_leaves_slots_for_short_work(self):
        self.offer(20, long=True)
        self.assertEqual(len(self.model.running), 4)
        self.offer(1)
        self.assertEqual(len(self.model.running), 5)

    def test_second_crash_quarantines_only_the_poison(self):
        self.offer(4)
        self.offer(1, fingerprint="poison")
        told = []
        for _ in range(2):
            poisoned = [
                attempt
                for attempt in self.model.running
                if self.model.offers[attempt.key].fingerprint == "poison"
            ]
            victim = self.model.running[poisoned[0]]
            for attempt, name in list(self.model.running.items()):
                if name == victim:
                    del self.model.running[attempt]
                    failed = SendFailed(attempt, True, False, "reset")
                    step = decide(self.model.group, failed, self.model.now)
                    told += [a.body for a in step.messages]
                    self.model.group = step.state
                    for address in step.messages:
                        self.model.take(address.body, self.model.group)
        heard = [m.body for m in told if type(m).__name__ == "ToOthers"]
        self.assertEqual([one.fingerprint for one in heard], ["poison"])
        self.assertEqual(self.model.group.ejected_total, 0)

    def test_work_that_may_have_run_is_told_as_unknown(self):
        self.offer(1)
        for sent in (False, True, False):
            attempt = next(iter(self.model.running))
            del self.model.running[attempt]
            self.model.send(SendFailed(attempt, sent, False, "reset"))
        refusal = self.model.ended[attempt.key][0]
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)

    def accuse_unreachable(self, name="u1"):
        """Let connects to one upstream fail until an opinion is asked for."""
        asked = []
        for _ in range(12):
            self.offer(8)
            for attempt, where in list(self.model.running.items()):
                del self.model.running[attempt]
                if where == name:
                    self.model.did_not_run(attempt)
                    self.model.send(SendFailed(attempt, False, False, "cut"))
                else:
                    self.model.send(ReplyStart(attempt, OK, b"", True))
            self.answer_all()
            self.model.now += 0.1
            step = decide(self.model.group, Clock(), self.model.now)
            self.model.group = step.state
            asked += [a.body for a in step.messages if type(a.body) is OpinionWanted]
            if asked:
                return asked
        return asked

    def test_unreachable_upstream_is_ejected_only_if_others_agree(self):
        for reachable, standing in (
            (True, Standing.HEALTHY),
            (False, Standing.EJECTED),
        ):
            self.setUp()
            self.assertEqual(
                [one.upstream for one in self.accuse_unreachable()], ["u1"]
            )
            self.model.send(OpinionGiven("u1", reachable))
            self.assertIs(self.standing("u1"), standing)

    def test_silence_of_the_other_node_ejects_after_a_while(self):
        self.accuse_unreachable()
        self.pass_time(0.2)
        self.assertIs(self.standing("u1"), Standing.HEALTHY)
        self.pass_time(1.0)
        self.assertIs(self.standing("u1"), Standing.EJECTED)

    def test_owner_that_reaches_nothing_sends_work_to_another(self):
        for name in UPSTREAMS:
            self.accuse_unreachable(name)
        group = self.model.group
        for name in UPSTREAMS:
            upstream = group.upstreams[name]
            health = change(upstream.health, unreachable=True)
            upstreams = group.upstreams.set(name, change(upstream, health=health))
            group = change(group, upstreams=upstreams)
        self.model.group = group
        self.offer(1)
        refusal = self.model.ended[WorkKey("n.1", self.model.number)][0]
        self.assertEqual(refusal.status, RefusalStatus.MISDIRECTED)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)

    def test_lone_crash_condemns_nobody(self):
        self.offer(1, fingerprint="innocent")
        attempt = next(iter(self.model.running))
        del self.model.running[attempt]
        self.model.send(SendFailed(attempt, True, False, "reset"))
        self.answer_all()
        self.assertIsInstance(self.model.ended[attempt.key][0], Result)
        self.assertEqual(len(self.model.group.suspicions), 0)
