"""The entry task's decisions on a request, driven message by message."""

import unittest

import immutables

from comfreyusher.accounts import ReplicationFinished
from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.entry import EntryTask, NodeView, UpstreamGroup, new_entry_state
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
from comfreyusher.routing import RoutingTable, set_published_routes

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
    """An entry task with an injected clock that collects its sent messages."""

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
        self.send_node_view(self.ROUTE)

    def send_node_view(self, route, regions=("r1",), departed=()):
        table = set_published_routes(RoutingTable(), PlatformConfiguration(1, (route,)))
        members = [member(n) for n in range(1, 5)] + [member(9, "r2")]
        ownership = update_ownership(Ownership(), members)
        groups = {"s": tuple(UpstreamGroup(f"s@{r}", r) for r in regions)}
        self.task.message_handlers[NodeView](
            NodeView(
                table,
                True,
                False,
                immutables.Map(groups),
                ownership,
                immutables.Map(dict.fromkeys(departed, 90.0)),
            )
        )

    def deliver(self, *bodies):
        for body in bodies:
            self.task.message_handlers[type(body)](body)

    def pop_messages(self, kind):
        """Remove and return the sent messages of a kind, without their envelopes."""
        found, left = [], []
        for channel, body in self.sent:
            inner = body.body if isinstance(body, ToNode) else body
            if isinstance(inner, kind):
                found.append(inner)
            else:
                left.append((channel, body))
        self.sent = left
        return found

    def requested_owner(self):
        """Return the node that the last grant request was sent to."""
        for _, body in reversed(self.sent):
            if isinstance(body, ToNode) and isinstance(body.body, GrantRequest):
                return body.node
        return None

    def advance(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.deliver(Tick("tick", self.now))

    def send_request(
        self, number=1, method="GET", body=b"", ended=True, deadline=b"4000"
    ):
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"r1"),
            (b"X-Deadline-Ms", deadline),
        )
        head = RequestHead(method, "/a/x", headers)
        self.deliver(RequestStart(number, "c", head, body, ended))

    def grant(self, attempt=1, upstream="u1", number=1, typical_ms=100):
        key = AttemptKey(OWN, number, attempt)
        self.deliver(Grant(key, upstream, "10.0.0.9", 80, 0.1, 0, typical_ms))
        return key

    def pop_responses(self):
        return self.pop_messages(ResponseStart)


class IdempotentTests(EntryCase):
    def test_the_upstream_gets_its_name_and_the_remaining_time(self):
        self.send_request(deadline=b"1500")
        self.now += 0.3
        self.grant()
        (send,) = self.pop_messages(ClientRequestStart)
        self.assertEqual(find_header(send.head, b"x-expect-instance"), "u1")
        self.assertEqual(find_header(send.head, b"x-request-id"), "r1")
        remaining_ms = int(find_header(send.head, b"x-deadline-ms"))
        self.assertAlmostEqual(remaining_ms, 1200, delta=2)

    def test_the_routes_timeout_caps_the_callers_deadline(self):
        self.send_request(deadline=b"60000")
        self.grant()
        (send,) = self.pop_messages(ClientRequestStart)
        self.assertLessEqual(int(find_header(send.head, b"x-deadline-ms")), 2000)

    def test_a_complete_response_goes_to_the_caller_and_a_report_to_the_owner(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"whole", True))
        (response,) = self.pop_responses()
        self.assertEqual((response.head.status, response.body), (200, b"whole"))
        (report,) = self.pop_messages(AttemptReport)
        self.assertEqual(report.verdict, Verdict.GOOD)

    def test_a_failure_is_retried_on_another_upstream(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, FAULT, b"no", True))
        self.assertEqual(self.pop_responses(), [])
        grant_request = self.pop_messages(GrantRequest)[-1]
        self.assertEqual(grant_request.excluded_upstreams, ("u1",))
        self.assertEqual(grant_request.prior_sends, 1)

    def test_the_error_response_of_the_last_upstream_is_forwarded_unchanged(self):
        self.send_request()
        for attempt, name in ((1, "u1"), (2, "u2")):
            key = self.grant(attempt, name)
            self.deliver(ClientResponseStart(key, FAULT, b"no", True))
        (response,) = self.pop_responses()
        self.assertEqual((response.head.status, response.body), (500, b"no"))

    def test_attempts_are_limited_to_the_maximum_of_the_route(self):
        self.send_request()
        for attempt, name in ((1, "u1"), (2, "u2")):
            key = self.grant(attempt, name)
            self.deliver(ClientRequestFailed(key, True, False, "reset"))
        self.assertEqual(len(self.pop_responses()), 1)
        self.assertEqual(self.pop_messages(GrantRequest)[-1].attempt, 2)

    def test_a_truncated_response_is_retried_and_not_forwarded(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"half", False))
        self.deliver(ClientRequestFailed(key, True, True, "reset"))
        self.assertEqual(self.pop_responses(), [])
        self.assertEqual(self.pop_messages(GrantRequest)[-1].prior_sends, 1)
        self.assertEqual(self.pop_messages(AttemptReport)[-1].verdict, Verdict.BROKEN)

    # Guards against taking a 2xx response without X-Response-Seal for a success.
    def test_a_success_without_a_seal_is_not_forwarded(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, ResponseHead(200), b"odd", True))
        self.assertEqual(self.pop_responses(), [])

    def test_a_slow_attempt_is_hedged_and_the_first_response_wins(self):
        self.send_request()
        first = self.grant(typical_ms=100)
        self.advance(0.4)
        hedge = self.pop_messages(GrantRequest)[-1]
        self.assertTrue(hedge.no_wait)
        self.assertEqual(hedge.excluded_upstreams, ("u1",))
        second = self.grant(2, "u2")
        self.deliver(ClientResponseStart(second, OK, b"fast", True))
        self.assertEqual(self.pop_responses()[0].body, b"fast")
        self.assertEqual(
            [c.exchange for c in self.pop_messages(ClientRequestCancel)], [first]
        )
        verdicts = {r.upstream: r.verdict for r in self.pop_messages(AttemptReport)}
        self.assertEqual(verdicts["u1"], Verdict.CANCELLED)

    def test_a_paused_process_does_not_hedge(self):
        self.send_request()
        self.grant()
        self.pop_messages(GrantRequest)
        self.advance(1.0, step=1.0)
        self.assertEqual(self.pop_messages(GrantRequest), [])
        self.advance(0.05)
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    def test_only_one_hedge_is_granted(self):
        self.send_request()
        self.grant(typical_ms=100)
        self.advance(0.4)
        self.grant(2, "u2")
        self.pop_messages(GrantRequest)
        self.advance(1.0)
        self.assertEqual(self.pop_messages(GrantRequest), [])

    # Guards against a request that waits on a stalled upstream until its deadline
    # since all slots were in use when its hedge was denied.
    def test_a_denied_hedge_is_requested_again_at_a_bounded_pace(self):
        self.send_request(deadline=b"9000")
        self.grant(typical_ms=100)
        asked = []
        for _ in range(48):
            for hedge in self.pop_messages(GrantRequest):
                if hedge.no_wait:
                    asked.append(self.now)
                    self.deliver(Denial(hedge.key, DenialReason.NO_UPSTREAM))
            self.advance(0.05)
        self.assertGreater(len(asked), 3)
        self.assertLess(len(asked), 8)
        gaps = [after - before for before, after in zip(asked, asked[1:])]
        self.assertGreaterEqual(min(gaps), 0.25 - 1e-9)

    def test_a_large_response_is_streamed(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"x" * 70000, False))
        (start,) = self.pop_responses()
        self.assertFalse(start.ended)
        self.deliver(ClientResponseBody(key, b"end", True))
        self.assertTrue(self.pop_messages(ResponseBody)[-1].ended)

    def test_a_truncated_stream_is_aborted(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.deliver(ClientRequestFailed(key, True, True, "reset"))
        self.assertEqual(len(self.pop_messages(ResponseAbort)), 1)

    # Guards against a large response that is never resumed after the replication of
    # its account entry is confirmed.
    def test_a_large_response_starts_once_its_account_entry_is_replicated(self):
        self.send_request()
        self.task.requests[1] = replace(self.task.requests[1], accounted=True)
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.assertEqual(self.pop_responses(), [])
        self.deliver(ReplicationFinished(1, True))
        (start,) = self.pop_responses()
        self.assertEqual((start.ended, len(start.body)), (False, 70000))
        self.deliver(ClientResponseBody(key, b"end", True))
        self.assertTrue(self.pop_messages(ResponseBody)[-1].ended)

    # Guards against streaming a response for ever.
    def test_a_stream_without_an_end_is_aborted_after_its_deadline(self):
        self.send_request(deadline=b"2000")
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"x" * 70000, False))
        self.advance(1.9)
        self.deliver(ClientResponseBody(key, b"more", False))
        self.assertEqual(self.pop_messages(ResponseAbort), [])
        self.advance(0.6)
        self.assertEqual(len(self.pop_messages(ResponseAbort)), 1)
        self.assertEqual(self.pop_messages(ClientRequestCancel)[0].exchange, key)

    # Guards against waiting until the deadline for the end of an error response.
    def test_an_error_response_without_an_end_is_retried_at_once(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, FAULT, b"x" * 40000, False))
        self.assertEqual(self.pop_messages(ClientRequestCancel), [])
        self.deliver(ClientResponseBody(key, b"x" * 40000, False))
        self.assertEqual(self.pop_messages(ClientRequestCancel)[0].exchange, key)
        self.assertEqual(
            self.pop_messages(GrantRequest)[-1].excluded_upstreams, ("u1",)
        )
        self.assertEqual(self.pop_messages(AttemptReport)[-1].verdict, Verdict.FAULT)


class NonIdempotentTests(EntryCase):
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
        (response,) = self.pop_responses()
        found = find_header(response.head, b"comfreyusher-outcome")
        return response.head.status, found

    def test_a_lost_response_ends_as_unknown_without_a_retry(self):
        self.send_request(method="POST")
        self.deliver(ClientRequestFailed(self.grant(), True, False, "reset"))
        self.assertEqual(self.outcome(), (502, "unknown"))
        self.assertEqual(len(self.pop_messages(ClientRequestStart)), 1)

    def test_an_error_response_of_the_upstream_is_forwarded(self):
        self.send_request(method="POST")
        self.deliver(ClientResponseStart(self.grant(), FAULT, b"no", True))
        self.assertEqual(self.pop_responses()[0].head.status, 500)
        self.assertEqual(len(self.pop_messages(ClientRequestStart)), 1)

    # Guards against a retry, or the outcome not-run, after an endless error response.
    def test_an_error_response_without_an_end_ends_as_unknown(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, FAULT, b"x" * 70000, False))
        self.assertEqual(self.outcome(), (502, "unknown"))
        self.assertEqual(len(self.pop_messages(ClientRequestCancel)), 1)

    def test_a_request_that_an_upstream_refuses_goes_to_another_one(self):
        for head in (SHED, OTHER_INSTANCE):
            with self.subTest(head.status):
                self.setUp()
                self.send_request(method="POST")
                self.deliver(ClientResponseStart(self.grant(), head, b"", True))
                self.assertEqual(
                    self.pop_messages(GrantRequest)[-1].excluded_upstreams, ("u1",)
                )
                key = self.grant(2, "u2")
                self.deliver(ClientResponseStart(key, OK, b"done", True))
                self.assertEqual(self.pop_responses()[0].body, b"done")

    # Guards against sending to an upstream when only the owner has not yet learned
    # that it left.
    def test_a_grant_of_a_departed_upstream_is_not_used(self):
        self.send_node_view(self.ROUTE, departed=("u1",))
        self.send_request(method="POST")
        self.grant()
        self.assertEqual(self.pop_messages(ClientRequestStart), [])
        self.assertEqual(
            self.pop_messages(AttemptReport)[-1].verdict, Verdict.UNREACHED
        )
        grant_request = self.pop_messages(GrantRequest)[-1]
        self.assertEqual(
            (
                grant_request.excluded_upstreams,
                grant_request.avoided_upstreams,
                grant_request.prior_sends,
            ),
            (("u1",), ("u1",), 0),
        )
        self.grant(2, "u2")
        self.assertEqual(len(self.pop_messages(ClientRequestStart)), 1)

    def test_a_request_that_was_not_sent_goes_to_another_upstream(self):
        self.send_request(method="POST")
        self.deliver(ClientRequestFailed(self.grant(), False, False, "refused"))
        grant_request = self.pop_messages(GrantRequest)[-1]
        self.assertEqual(
            (grant_request.excluded_upstreams, grant_request.prior_sends), (("u1",), 0)
        )
        self.assertIn("u1", grant_request.avoided_upstreams)

    def test_refusals_alone_end_as_not_run_with_a_retry_after(self):
        self.send_request(method="POST")
        for attempt in (1, 2, 3):
            key = self.grant(attempt, f"u{attempt}")
            self.deliver(ClientResponseStart(key, SHED, b"", True))
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)
        self.assertGreater(float(find_header(response.head, b"retry-after")), 0)

    def test_no_hedge_is_requested(self):
        self.send_request(method="POST")
        self.grant(typical_ms=50)
        self.pop_messages(GrantRequest)
        self.advance(1.5)
        self.assertEqual(self.pop_messages(GrantRequest), [])

    def test_a_sent_request_ends_as_unknown_at_the_deadline(self):
        self.send_request(method="POST")
        self.grant()
        self.advance(2.2)
        self.assertEqual(self.outcome(), (504, "unknown"))

    def test_a_queued_request_ends_as_not_run_at_the_deadline(self):
        self.send_request(method="POST")
        self.deliver(QueuedAck(AttemptKey(OWN, 1, 1)))
        for _ in range(50):
            self.advance(0.05)
            self.deliver(*(QueuedAck(a.key) for a in self.pop_messages(GrantRequest)))
        self.assertEqual(self.outcome(), (503, "not-run"))

    # Guards against sending a request twice when its grant arrives twice.
    def test_a_second_grant_of_the_same_attempt_sends_nothing(self):
        self.send_request(method="POST")
        self.grant()
        self.grant()
        self.assertEqual(len(self.pop_messages(ClientRequestStart)), 1)


class OwnerTests(EntryCase):
    """Load pattern: owners that are killed, paused, partitioned or leaving."""

    def test_a_silent_owner_is_skipped_after_a_few_grant_requests(self):
        self.send_request()
        first = self.requested_owner()
        self.advance(0.2)
        second = self.requested_owner()
        self.assertNotEqual(first, second)
        self.assertLess(self.now - 100.0, 0.25)

    def test_a_paused_process_does_not_treat_its_owner_as_silent(self):
        self.send_request()
        first = self.requested_owner()
        for _ in range(3):
            self.advance(1.0, step=1.0)
        self.assertEqual(self.requested_owner(), first)

    def test_a_silent_owner_is_skipped_after_the_pause(self):
        self.send_request(deadline=b"9000")
        first = self.requested_owner()
        self.advance(1.0, step=1.0)
        self.advance(0.2)
        self.assertNotEqual(self.requested_owner(), first)

    def test_later_requests_skip_a_silent_owner_at_once(self):
        self.send_request()
        first = self.requested_owner()
        self.advance(0.2)
        self.send_request(number=2)
        self.assertNotEqual(self.requested_owner(), first)

    # Guards against two owners of a group that grant each slot twice.
    def test_an_owner_that_answers_other_requests_is_not_skipped(self):
        self.send_request(number=1)
        first = self.requested_owner()
        for number in range(2, 12):
            self.send_request(number=number)
            self.deliver(QueuedAck(AttemptKey(OWN, number, 1)))
            self.advance(0.2)
        requested_owners = {
            body.node
            for _, body in self.sent
            if isinstance(body, ToNode) and isinstance(body.body, GrantRequest)
        }
        self.assertEqual(requested_owners, {first})
        self.assertLess(
            len([a for a in self.pop_messages(GrantRequest) if a.number == 1]), 10
        )

    def test_an_owner_gets_time_for_the_grant_requests_of_a_burst(self):
        for number in range(1, 501):
            self.send_request(number=number)
        first = self.requested_owner()
        self.advance(0.5)
        self.assertEqual(self.requested_owner(), first)
        self.advance(1.0)
        self.assertNotEqual(self.requested_owner(), first)

    def test_an_owner_that_falls_silent_is_skipped(self):
        self.send_request(number=1)
        self.send_request(number=2)
        first = self.requested_owner()
        self.deliver(QueuedAck(AttemptKey(OWN, 1, 1)))
        self.advance(0.8)
        self.assertNotEqual(self.requested_owner(), first)

    def test_an_owner_that_responds_again_is_used_again(self):
        self.send_request()
        first = self.requested_owner()
        self.advance(0.2)
        self.deliver(QueuedAck(AttemptKey(OWN, 1, 1)))
        self.send_request(number=2)
        self.assertEqual(self.requested_owner(), first)

    def test_a_node_is_its_own_owner_when_all_owners_are_silent(self):
        self.send_request()
        self.advance(0.6)
        self.assertEqual(self.requested_owner(), OWN)

    def test_an_attempt_denied_by_a_leaving_owner_goes_to_the_next_one(self):
        self.send_request()
        first = self.requested_owner()
        self.deliver(Denial(AttemptKey(OWN, 1, 1), DenialReason.LEAVING))
        self.assertNotEqual(self.requested_owner(), first)

    def test_a_late_grant_of_a_skipped_owner_sends_nothing(self):
        self.send_request()
        self.advance(0.2)
        number = self.pop_messages(GrantRequest)[-1].attempt
        self.grant(number, "u2")
        self.grant(1, "u1")
        self.assertEqual(
            [s.exchange.attempt for s in self.pop_messages(ClientRequestStart)],
            [number],
        )
        withdrawn = [r for r in self.pop_messages(AttemptReport) if r.key.attempt == 1]
        self.assertEqual({r.verdict for r in withdrawn}, {Verdict.CANCELLED})

    def test_reports_reach_an_owner_that_was_busy_for_seconds(self):
        """A lost report would hold a slot until the deadline of the request."""
        self.send_request()
        self.grant()
        self.deliver(CallerDisconnected(1))
        self.advance(2.0)
        self.pop_messages(AttemptReport)
        self.advance(3.0)
        self.assertGreater(len(self.pop_messages(AttemptReport)), 0)

    def test_reports_are_resent_until_they_are_acknowledged(self):
        self.send_request()
        key = self.grant()
        self.deliver(ClientResponseStart(key, OK, b"", True))
        self.advance(0.4)
        self.assertGreater(len(self.pop_messages(AttemptReport)), 1)
        self.deliver(ReportAck(key))
        self.advance(0.6)
        self.assertEqual(self.pop_messages(AttemptReport), [])
        self.assertEqual(self.task.in_flight, 0)


class CallerTests(EntryCase):
    def test_a_caller_that_disconnects_cancels_its_attempts_at_once(self):
        self.send_request()
        key = self.grant()
        self.deliver(CallerDisconnected(1))
        self.assertEqual(
            [c.exchange for c in self.pop_messages(ClientRequestCancel)], [key]
        )
        self.assertEqual(self.task.requests, {})

    def test_a_body_that_arrives_later_is_forwarded(self):
        self.send_request(method="POST", body=b"a", ended=False)
        self.deliver(RequestBody(1, b"b"))
        self.grant()
        self.deliver(RequestBody(1, b"c", True))
        (send,) = self.pop_messages(ClientRequestStart)
        self.assertEqual((send.body, send.ended), (b"ab", False))
        (more,) = self.pop_messages(ClientRequestBody)
        self.assertEqual((more.body, more.ended), (b"c", True))

    def test_a_buffered_body_is_sent_whole_to_the_second_upstream(self):
        self.send_request(method="POST", body=b"a", ended=False)
        key = self.grant()
        self.deliver(RequestBody(1, b"bc", True))
        self.deliver(ClientResponseStart(key, SHED, b"", True))
        self.pop_messages(ClientRequestStart)
        self.grant(2, "u2")
        (send,) = self.pop_messages(ClientRequestStart)
        self.assertEqual((send.body, send.ended), (b"abc", True))

    def test_a_large_body_that_arrives_before_its_grant_gets_more_credit(self):
        self.send_request(method="PUT", body=b"", ended=False)
        size = 1 << 18
        for _ in range(5):
            self.deliver(RequestBody(1, b"x" * size))
        credited = sum(credit.size_bytes for credit in self.pop_messages(RequestCredit))
        self.assertEqual(credited, 4 * size)
        key = self.grant()
        (send,) = self.pop_messages(ClientRequestStart)
        self.deliver(ClientRequestCredit(key, len(send.body)))
        credited = sum(credit.size_bytes for credit in self.pop_messages(RequestCredit))
        self.assertGreaterEqual(credited, size)

    def test_a_body_that_is_not_buffered_goes_to_one_upstream_only(self):
        self.send_request(method="PUT", body=b"ab", ended=False)
        key = self.grant()
        self.advance(0.3)
        self.assertEqual(self.pop_messages(GrantRequest)[-1].attempt, 2)
        self.deliver(RequestBody(1, b"x" * (1 << 21)))
        self.pop_messages(ClientRequestStart)
        hedge = self.grant(2, "u2")
        self.assertEqual(self.pop_messages(ClientRequestStart), [])
        self.assertIn(hedge, [r.key for r in self.pop_messages(AttemptReport)])
        self.assertIn(key.number, self.task.requests)

    # Guards against bodies that stop short and hold the slots of all upstreams.
    def test_in_a_crowd_a_request_is_sent_once_its_body_is_here(self):
        head = RequestHead("POST", "/a/b", ((b"Host", b"h"),))
        self.deliver(RequestStart(1, "10.0.0.1", head, b"a", crowded=True))
        self.deliver(RequestBody(1, b"x" * 70000))
        self.assertEqual(self.pop_messages(GrantRequest), [])
        self.deliver(RequestBody(1, b"", True))
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    def test_in_a_crowd_a_body_that_is_too_large_to_be_held_is_sent(self):
        head = RequestHead("POST", "/a/b", ((b"Host", b"h"),))
        self.deliver(RequestStart(1, "10.0.0.1", head, crowded=True))
        self.deliver(RequestBody(1, b"x" * (1 << 20)))
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    def test_malformed_deadlines_are_rejected(self):
        self.send_request(deadline=b"soon")
        self.assertEqual(self.pop_responses()[0].head.status, 400)


class StartTests(EntryCase):
    """A request that arrives before the first view of a new process."""

    def send_node_view(self, route, regions=("r1",)):
        """Send no view, as in a new process."""

    def test_it_waits_for_the_first_view(self):
        self.send_request()
        self.advance(0.3)
        self.assertEqual(self.sent_responses(), [])
        super().send_node_view(self.ROUTE)
        self.assertEqual(len(self.pop_messages(GrantRequest)), 1)

    def test_it_is_rejected_without_a_view(self):
        self.send_request()
        self.advance(1.2)
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)

    def sent_responses(self):
        return [body for _, body in self.sent if isinstance(body, ResponseStart)]


class SpillTests(EntryCase):
    def test_a_request_that_its_region_cannot_serve_goes_to_another_one(self):
        self.send_node_view(self.ROUTE, ("r1", "r2"))
        self.now += 10
        self.send_request()
        self.deliver(Denial(AttemptKey(OWN, 1, 1), DenialReason.TOO_LATE, 200))
        self.assertEqual(self.pop_messages(GrantRequest)[-1].group, "s@r2")

    def test_large_bodies_stay_in_their_region(self):
        large = Route("/a/", "h", large=True, parts=(Part("s", 1),))
        self.send_node_view(large, ("r1", "r2"))
        self.now += 10
        self.send_request()
        self.deliver(Denial(AttemptKey(OWN, 1, 1), DenialReason.TOO_LATE, 200))
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)
        self.assertEqual(find_header(response.head, b"retry-after"), "0.20")
