"""The entry's decisions on one request, driven message by message."""

import unittest

import immutables

from comfreyusher.accounts import CopyConfirmed
from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.entry import EntryTask, GroupPlace, Situation, new_entry_state
from comfreyusher.flow import Tick, replace
from comfreyusher.membership import Ownership, update_ownership
from comfreyusher.messages import (
    AttemptKey,
    AttemptReport,
    CallerDisconnected,
    ClientRequestBody,
    ClientRequestCancel,
    ClientRequestCredit,
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseStart,
    Denial,
    DenialReason,
    Grant,
    GrantRequest,
    MemberRecord,
    QueuedAck,
    ReportAck,
    RequestBody,
    RequestCredit,
    RequestHead,
    RequestStart,
    ResponseAbort,
    ResponseBody,
    ResponseHead,
    ResponseStart,
    ToNode,
    Verdict,
    find_header,
)
from comfreyusher.routing import RoutingTable, publish_routes

OWN = "vm-1.1"
SEAL = (b"X-Response-Seal", b"s")
OK = ResponseHead(200, ((b"X-Request-Id", b"r1"), SEAL))
FAULT = ResponseHead(500, ((b"X-Request-Id", b"r1"), SEAL))
SHED = ResponseHead(503, ((b"X-Not-Executed", b"1"),))
OTHER_INSTANCE = ResponseHead(421, ((b"X-Instance-Id", b"i"),))


def member(number, region="r1"):
    """Return the record of a node."""
    name = f"vm-{number}"
    return MemberRecord(f"{name}.1", name, "h", number, number, "d", region, 1)


class EntryCase(unittest.TestCase):
    """An entry task whose messages are kept, on an injected clock."""

    ROUTE = Route(
        "/a/",
        "h",
        idempotent=True,
        deadline_ms=2000,
        target_ms=1000,
        max_attempts=2,
        parts=(Part("s", 1),),
    )

    def setUp(self):
        self.now = 100.0
        state = new_entry_state(member(1), False, 0.0)
        self.task = EntryTask(state, lambda: 1e9, clock=lambda: self.now)
        self.sent = []
        self.task.send_message = lambda channel, body: self.sent.append((channel, body))
        self.tell_situation(self.ROUTE)

    def tell_situation(self, route, regions=("r1",), departed=()):
        table = publish_routes(RoutingTable(), PlatformConfiguration(1, (route,)))
        members = [member(n) for n in range(1, 5)] + [member(9, "r2")]
        ownership = update_ownership(Ownership(), members)
        groups = {"s": tuple(GroupPlace(f"s@{r}", r) for r in regions)}
        self.task.message_handlers[Situation](
            Situation(
                table,
                True,
                False,
                immutables.Map(groups),
                ownership,
                immutables.Map(dict.fromkeys(departed, 90.0)),
            )
        )

    def say(self, *bodies):
        for body in bodies:
            self.task.message_handlers[type(body)](body)

    def take(self, kind):
        """Return and forget the messages of a kind, without their envelopes."""
        found, left = [], []
        for channel, body in self.sent:
            inner = body.body if isinstance(body, ToNode) else body
            if isinstance(inner, kind):
                found.append(inner)
            else:
                left.append((channel, body))
        self.sent = left
        return found

    def asked_node(self):
        """Return the node that the last ask went to."""
        for _, body in reversed(self.sent):
            if isinstance(body, ToNode) and isinstance(body.body, GrantRequest):
                return body.node
        return None

    def pass_time(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.say(Tick("tick", self.now))

    def arrive(self, number=1, method="GET", body=b"", ended=True, deadline=b"4000"):
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"r1"),
            (b"X-Deadline-Ms", deadline),
        )
        head = RequestHead(method, "/a/x", headers)
        self.say(RequestStart(number, "c", head, body, ended))

    def grant(self, attempt=1, upstream="u1", number=1, typical_ms=100):
        key = AttemptKey(OWN, number, attempt)
        self.say(Grant(key, upstream, "10.0.0.9", 80, 0.1, 0, typical_ms))
        return key

    def answers(self):
        return self.take(ResponseStart)


class IdempotentTests(EntryCase):
    def test_the_upstream_is_named_and_gets_the_time_that_is_left(self):
        self.arrive(deadline=b"1500")
        self.now += 0.3
        self.grant()
        (send,) = self.take(ClientRequestStart)
        self.assertEqual(find_header(send.head, b"x-expect-instance"), "u1")
        self.assertEqual(find_header(send.head, b"x-request-id"), "r1")
        left_ms = int(find_header(send.head, b"x-deadline-ms"))
        self.assertAlmostEqual(left_ms, 1200, delta=2)

    def test_the_routes_timeout_caps_the_callers_deadline(self):
        self.arrive(deadline=b"60000")
        self.grant()
        (send,) = self.take(ClientRequestStart)
        self.assertLessEqual(int(find_header(send.head, b"x-deadline-ms")), 2000)

    def test_a_whole_answer_goes_to_the_caller_and_a_report_to_the_owner(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"whole", True))
        (answer,) = self.answers()
        self.assertEqual((answer.head.status, answer.body), (200, b"whole"))
        (report,) = self.take(AttemptReport)
        self.assertEqual(report.verdict, Verdict.GOOD)

    def test_a_failure_is_repeated_on_another_upstream(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, FAULT, b"no", True))
        self.assertEqual(self.answers(), [])
        ask = self.take(GrantRequest)[-1]
        self.assertEqual(ask.excluded_upstreams, ("u1",))
        self.assertEqual(ask.prior_sends, 1)

    def test_the_failure_of_the_last_upstream_is_passed_on_as_it_is(self):
        self.arrive()
        for attempt, name in ((1, "u1"), (2, "u2")):
            key = self.grant(attempt, name)
            self.say(ClientResponseStart(key, FAULT, b"no", True))
        (answer,) = self.answers()
        self.assertEqual((answer.head.status, answer.body), (500, b"no"))

    def test_no_more_upstreams_than_the_route_allows(self):
        self.arrive()
        for attempt, name in ((1, "u1"), (2, "u2")):
            key = self.grant(attempt, name)
            self.say(ClientRequestFailed(key, True, False, "reset"))
        self.assertEqual(len(self.answers()), 1)
        self.assertEqual(self.take(GrantRequest)[-1].attempt, 2)

    def test_a_cut_answer_is_not_passed_on_but_repeated(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"half", False))
        self.say(ClientRequestFailed(key, True, True, "reset"))
        self.assertEqual(self.answers(), [])
        self.assertEqual(self.take(GrantRequest)[-1].prior_sends, 1)
        self.assertEqual(self.take(AttemptReport)[-1].verdict, Verdict.BROKEN)

    def test_a_success_without_a_seal_is_not_passed_on(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, ResponseHead(200), b"odd", True))
        self.assertEqual(self.answers(), [])

    def test_a_silent_upstream_gets_a_rival_and_the_first_answer_wins(self):
        self.arrive()
        first = self.grant(typical_ms=100)
        self.pass_time(0.4)
        spare = self.take(GrantRequest)[-1]
        self.assertTrue(spare.no_wait)
        self.assertEqual(spare.excluded_upstreams, ("u1",))
        second = self.grant(2, "u2")
        self.say(ClientResponseStart(second, OK, b"fast", True))
        self.assertEqual(self.answers()[0].body, b"fast")
        self.assertEqual([c.exchange for c in self.take(ClientRequestCancel)], [first])
        verdicts = {r.upstream: r.verdict for r in self.take(AttemptReport)}
        self.assertEqual(verdicts["u1"], Verdict.CANCELLED)

    def test_a_process_that_was_held_up_asks_for_no_rival(self):
        self.arrive()
        self.grant()
        self.take(GrantRequest)
        self.pass_time(1.0, step=1.0)
        self.assertEqual(self.take(GrantRequest), [])
        self.pass_time(0.05)
        self.assertEqual(len(self.take(GrantRequest)), 1)

    def test_only_one_rival_is_asked_for(self):
        self.arrive()
        self.grant(typical_ms=100)
        self.pass_time(0.4)
        key = self.take(GrantRequest)[-1].key
        self.say(Denial(key, DenialReason.NO_UPSTREAM))
        self.pass_time(0.5)
        self.assertEqual([a for a in self.take(GrantRequest) if a.no_wait], [])

    def test_a_large_answer_is_streamed(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"x" * 70000, False))
        (start,) = self.answers()
        self.assertFalse(start.ended)
        self.say(ClientResponseBody(key, b"end", True))
        self.assertTrue(self.take(ResponseBody)[-1].ended)

    def test_a_streamed_answer_that_is_cut_does_not_look_whole(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.say(ClientRequestFailed(key, True, True, "reset"))
        self.assertEqual(len(self.take(ResponseAbort)), 1)

    # Guards against a large answer that nobody reads on once its copy is confirmed.
    def test_a_large_answer_begins_once_its_account_entry_is_copied(self):
        self.arrive()
        self.task.visits[1] = replace(self.task.visits[1], accounted=True)
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.assertEqual(self.answers(), [])
        self.say(CopyConfirmed(1, True))
        (start,) = self.answers()
        self.assertEqual((start.ended, len(start.body)), (False, 70000))
        self.say(ClientResponseBody(key, b"end", True))
        self.assertTrue(self.take(ResponseBody)[-1].ended)

    # Guards against answers that are passed on for ever.
    def test_a_streamed_answer_without_an_end_is_cut_after_its_deadline(self):
        self.arrive(deadline=b"2000")
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.pass_time(1.9)
        self.say(ClientResponseBody(key, b"more", False))
        self.assertEqual(self.take(ResponseAbort), [])
        self.pass_time(0.6)
        self.assertEqual(len(self.take(ResponseAbort)), 1)
        self.assertEqual(self.take(ClientRequestCancel)[0].exchange, key)

    # Guards against waiting until the deadline for a failure that has no end.
    def test_a_failure_without_an_end_is_repeated_at_once(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, FAULT, b"x" * 40000, False))
        self.assertEqual(self.take(ClientRequestCancel), [])
        self.say(ClientResponseBody(key, b"x" * 40000, False))
        self.assertEqual(self.take(ClientRequestCancel)[0].exchange, key)
        self.assertEqual(self.take(GrantRequest)[-1].excluded_upstreams, ("u1",))
        self.assertEqual(self.take(AttemptReport)[-1].verdict, Verdict.FAULT)


class OnceTests(EntryCase):
    ROUTE = Route(
        "/a/",
        "h",
        idempotent=False,
        deadline_ms=2000,
        target_ms=1000,
        max_attempts=3,
        parts=(Part("s", 1),),
    )

    def outcome(self):
        (answer,) = self.answers()
        found = find_header(answer.head, b"comfreyusher-outcome")
        return answer.head.status, found

    def test_a_lost_answer_is_told_as_unknown_and_nothing_is_repeated(self):
        self.arrive(method="POST")
        self.say(ClientRequestFailed(self.grant(), True, False, "reset"))
        self.assertEqual(self.outcome(), (502, "unknown"))
        self.assertEqual(len(self.take(ClientRequestStart)), 1)

    def test_a_failure_of_the_upstream_is_passed_on(self):
        self.arrive(method="POST")
        self.say(ClientResponseStart(self.grant(), FAULT, b"no", True))
        self.assertEqual(self.answers()[0].head.status, 500)
        self.assertEqual(len(self.take(ClientRequestStart)), 1)

    # Guards against repeating, or calling not run, what failed without an end.
    def test_a_failure_without_an_end_is_told_as_unknown(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, FAULT, b"x" * 70000, False))
        self.assertEqual(self.outcome(), (502, "unknown"))
        self.assertEqual(len(self.take(ClientRequestCancel)), 1)

    def test_what_an_upstream_refused_goes_to_another_one(self):
        for head in (SHED, OTHER_INSTANCE):
            with self.subTest(head.status):
                self.setUp()
                self.arrive(method="POST")
                self.say(ClientResponseStart(self.grant(), head, b"", True))
                self.assertEqual(
                    self.take(GrantRequest)[-1].excluded_upstreams, ("u1",)
                )
                key = self.grant(2, "u2")
                self.say(ClientResponseStart(key, OK, b"done", True))
                self.assertEqual(self.answers()[0].body, b"done")

    # Guards against sending to an upstream whose leaving only the owner missed.
    def test_a_grant_of_an_upstream_that_has_left_is_not_used(self):
        self.tell_situation(self.ROUTE, departed=("u1",))
        self.arrive(method="POST")
        self.grant()
        self.assertEqual(self.take(ClientRequestStart), [])
        self.assertEqual(self.take(AttemptReport)[-1].verdict, Verdict.UNREACHED)
        ask = self.take(GrantRequest)[-1]
        self.assertEqual(
            (ask.excluded_upstreams, ask.avoided_upstreams, ask.prior_sends),
            (("u1",), ("u1",), 0),
        )
        self.grant(2, "u2")
        self.assertEqual(len(self.take(ClientRequestStart)), 1)

    def test_what_was_never_sent_goes_to_another_upstream(self):
        self.arrive(method="POST")
        self.say(ClientRequestFailed(self.grant(), False, False, "refused"))
        ask = self.take(GrantRequest)[-1]
        self.assertEqual((ask.excluded_upstreams, ask.prior_sends), (("u1",), 0))
        self.assertIn("u1", ask.avoided_upstreams)

    def test_refusals_alone_end_as_not_run_with_a_time_to_come_back(self):
        self.arrive(method="POST")
        for attempt in (1, 2, 3):
            key = self.grant(attempt, f"u{attempt}")
            self.say(ClientResponseStart(key, SHED, b"", True))
        (answer,) = self.answers()
        self.assertEqual(answer.head.status, 503)
        self.assertGreater(float(find_header(answer.head, b"retry-after")), 0)

    def test_no_rival_is_asked_for(self):
        self.arrive(method="POST")
        self.grant(typical_ms=50)
        self.take(GrantRequest)
        self.pass_time(1.5)
        self.assertEqual(self.take(GrantRequest), [])

    def test_the_deadline_ends_what_was_sent_as_unknown(self):
        self.arrive(method="POST")
        self.grant()
        self.pass_time(2.2)
        self.assertEqual(self.outcome(), (504, "unknown"))

    def test_the_deadline_ends_what_waited_as_not_run(self):
        self.arrive(method="POST")
        self.say(QueuedAck(AttemptKey(OWN, 1, 1)))
        for _ in range(50):
            self.pass_time(0.05)
            self.say(*(QueuedAck(a.key) for a in self.take(GrantRequest)))
        self.assertEqual(self.outcome(), (503, "not-run"))

    def test_a_second_grant_of_the_same_attempt_sends_nothing(self):
        self.arrive(method="POST")
        self.grant()
        self.grant()
        self.assertEqual(len(self.take(ClientRequestStart)), 1)


class OwnerTests(EntryCase):
    """Load pattern: owners that are killed, frozen, cut off or leaving."""

    def test_a_silent_owner_is_passed_over_within_a_few_asks(self):
        self.arrive()
        first = self.asked_node()
        self.pass_time(0.2)
        second = self.asked_node()
        self.assertNotEqual(first, second)
        self.assertLess(self.now - 100.0, 0.25)

    def test_a_process_that_was_held_up_does_not_blame_its_owner(self):
        self.arrive()
        first = self.asked_node()
        for _ in range(3):
            self.pass_time(1.0, step=1.0)
        self.assertEqual(self.asked_node(), first)

    def test_a_silent_owner_is_passed_over_after_the_delay(self):
        self.arrive(deadline=b"9000")
        first = self.asked_node()
        self.pass_time(1.0, step=1.0)
        self.pass_time(0.2)
        self.assertNotEqual(self.asked_node(), first)

    def test_later_requests_do_not_wait_for_it_again(self):
        self.arrive()
        first = self.asked_node()
        self.pass_time(0.2)
        self.arrive(number=2)
        self.assertNotEqual(self.asked_node(), first)

    def test_an_owner_that_answers_others_is_not_passed_over(self):
        self.arrive(number=1)
        first = self.asked_node()
        for number in range(2, 12):
            self.arrive(number=number)
            self.say(QueuedAck(AttemptKey(OWN, number, 1)))
            self.pass_time(0.2)
        asked = {
            body.node
            for _, body in self.sent
            if isinstance(body, ToNode) and isinstance(body.body, GrantRequest)
        }
        self.assertEqual(asked, {first})
        self.assertLess(len([a for a in self.take(GrantRequest) if a.number == 1]), 10)

    def test_an_owner_gets_time_for_the_asks_of_a_burst(self):
        for number in range(1, 501):
            self.arrive(number=number)
        first = self.asked_node()
        self.pass_time(0.5)
        self.assertEqual(self.asked_node(), first)
        self.pass_time(1.0)
        self.assertNotEqual(self.asked_node(), first)

    def test_an_owner_that_fell_silent_is_passed_over(self):
        self.arrive(number=1)
        self.arrive(number=2)
        first = self.asked_node()
        self.say(QueuedAck(AttemptKey(OWN, 1, 1)))
        self.pass_time(0.8)
        self.assertNotEqual(self.asked_node(), first)

    def test_an_owner_that_is_heard_again_is_asked_again(self):
        self.arrive()
        first = self.asked_node()
        self.pass_time(0.2)
        self.say(QueuedAck(AttemptKey(OWN, 1, 1)))
        self.arrive(number=2)
        self.assertEqual(self.asked_node(), first)

    def test_with_all_owners_silent_this_node_decides_itself(self):
        self.arrive()
        self.pass_time(0.6)
        self.assertEqual(self.asked_node(), OWN)

    def test_a_leaving_owner_sends_the_attempt_to_the_next_one(self):
        self.arrive()
        first = self.asked_node()
        self.say(Denial(AttemptKey(OWN, 1, 1), DenialReason.LEAVING))
        self.assertNotEqual(self.asked_node(), first)

    def test_a_grant_of_the_passed_over_owner_is_taken_only_once(self):
        self.arrive()
        self.pass_time(0.2)
        number = self.take(GrantRequest)[-1].attempt
        self.grant(number, "u2")
        self.grant(1, "u1")
        self.assertEqual(
            [s.exchange.attempt for s in self.take(ClientRequestStart)], [number]
        )
        withdrawn = [r for r in self.take(AttemptReport) if r.key.attempt == 1]
        self.assertEqual({r.verdict for r in withdrawn}, {Verdict.CANCELLED})

    def test_reports_reach_an_owner_that_was_busy_for_seconds(self):
        """A lost one would keep a slot until the deadline of the request."""
        self.arrive()
        self.grant()
        self.say(CallerDisconnected(1))
        self.pass_time(2.0)
        self.take(AttemptReport)
        self.pass_time(3.0)
        self.assertGreater(len(self.take(AttemptReport)), 0)

    def test_reports_are_repeated_until_they_are_heard(self):
        self.arrive()
        key = self.grant()
        self.say(ClientResponseStart(key, OK, b"", True))
        self.pass_time(0.4)
        self.assertGreater(len(self.take(AttemptReport)), 1)
        self.say(ReportAck(key))
        self.pass_time(0.6)
        self.assertEqual(self.take(AttemptReport), [])
        self.assertEqual(self.task.busy, 0)


class CallerTests(EntryCase):
    def test_a_caller_that_leaves_cancels_its_work_at_once(self):
        self.arrive()
        key = self.grant()
        self.say(CallerDisconnected(1))
        self.assertEqual([c.exchange for c in self.take(ClientRequestCancel)], [key])
        self.assertEqual(self.task.visits, {})

    def test_a_body_that_arrives_late_follows_the_request(self):
        self.arrive(method="POST", body=b"a", ended=False)
        self.say(RequestBody(1, b"b"))
        self.grant()
        self.say(RequestBody(1, b"c", True))
        (send,) = self.take(ClientRequestStart)
        self.assertEqual((send.body, send.ended), (b"ab", False))
        (more,) = self.take(ClientRequestBody)
        self.assertEqual((more.body, more.ended), (b"c", True))

    def test_a_body_that_is_kept_is_sent_whole_to_the_second_upstream(self):
        self.arrive(method="POST", body=b"a", ended=False)
        key = self.grant()
        self.say(RequestBody(1, b"bc", True))
        self.say(ClientResponseStart(key, SHED, b"", True))
        self.take(ClientRequestStart)
        self.grant(2, "u2")
        (send,) = self.take(ClientRequestStart)
        self.assertEqual((send.body, send.ended), (b"abc", True))

    def test_a_large_body_that_came_before_its_grant_is_asked_for_further(self):
        self.arrive(method="PUT", body=b"", ended=False)
        size = 1 << 18
        for _ in range(5):
            self.say(RequestBody(1, b"x" * size))
        credited = sum(credit.size_bytes for credit in self.take(RequestCredit))
        self.assertEqual(credited, 4 * size)
        key = self.grant()
        (send,) = self.take(ClientRequestStart)
        self.say(ClientRequestCredit(key, len(send.body)))
        credited = sum(credit.size_bytes for credit in self.take(RequestCredit))
        self.assertGreaterEqual(credited, size)

    def test_no_second_upstream_gets_the_rest_of_a_body_that_is_not_kept(self):
        self.arrive(method="PUT", body=b"ab", ended=False)
        key = self.grant()
        self.pass_time(0.3)
        self.assertEqual(self.take(GrantRequest)[-1].attempt, 2)
        self.say(RequestBody(1, b"x" * (1 << 21)))
        self.take(ClientRequestStart)
        rival = self.grant(2, "u2")
        self.assertEqual(self.take(ClientRequestStart), [])
        self.assertIn(rival, [r.key for r in self.take(AttemptReport)])
        self.assertIn(key.number, self.task.visits)

    def test_malformed_deadlines_are_refused(self):
        self.arrive(deadline=b"soon")
        self.assertEqual(self.answers()[0].head.status, 400)


class StartTests(EntryCase):
    """A request that comes before the first reads of a fresh process."""

    def tell_situation(self, route, regions=("r1",)):
        """Know nothing yet."""

    def test_it_waits_for_them(self):
        self.arrive()
        self.pass_time(0.3)
        self.assertEqual(self.sent_answers(), [])
        super().tell_situation(self.ROUTE)
        self.assertEqual(len(self.take(GrantRequest)), 1)

    def test_it_is_refused_when_they_do_not_come(self):
        self.arrive()
        self.pass_time(1.2)
        (answer,) = self.answers()
        self.assertEqual(answer.head.status, 503)

    def sent_answers(self):
        return [body for _, body in self.sent if isinstance(body, ResponseStart)]


class SpillTests(EntryCase):
    def test_what_the_own_region_cannot_serve_goes_to_the_other_one(self):
        self.tell_situation(self.ROUTE, ("r1", "r2"))
        self.now += 10
        self.arrive()
        self.say(Denial(AttemptKey(OWN, 1, 1), DenialReason.TOO_LATE, 200))
        self.assertEqual(self.take(GrantRequest)[-1].group, "s@r2")

    def test_large_bodies_stay_in_their_region(self):
        large = Route("/a/", "h", large=True, parts=(Part("s", 1),))
        self.tell_situation(large, ("r1", "r2"))
        self.now += 10
        self.arrive()
        self.say(Denial(AttemptKey(OWN, 1, 1), DenialReason.TOO_LATE, 200))
        (answer,) = self.answers()
        self.assertEqual(answer.head.status, 503)
        self.assertEqual(find_header(answer.head, b"retry-after"), "0.20")
