"""Pipelined requests run side by side, and their responses come in order."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Accepted
from comfreyusher.http._memory_budget import CONNECTION_BYTES
from comfreyusher.http._pipelining import SAFE_METHODS, SharedSlots
from comfreyusher.messages import (
    InterimResponse,
    ResponseAbort,
    ResponseBody,
    ResponseHead,
    ResponseStart,
)
from tests.pipelining import CLOSE, PipeliningCase, encode


class OrderTests(PipeliningCase):
    # Guards against eight requests that take eight times as long as one.
    def test_eight_requests_run_side_by_side_and_no_more(self):
        self.send(b"".join(encode(target) for target in range(10)))
        requests = self.requests()
        self.assertEqual(len(requests), 8)
        for request in reversed(requests):
            self.server.answer(request)
        expected = [f"/{target}" for target in range(8)]
        self.assertEqual(self.server.read_responses(1), expected)
        self.assertEqual(self.server.targets(1), ["/8", "/9"])
        self.assertEqual(self.server.requests_in_flight, 2)

    def test_with_a_bound_of_one_requests_run_one_by_one(self):
        self.start(max_concurrent_requests=1)
        self.send(encode(0) + encode(1))
        self.assertEqual(self.server.targets(1), ["/0"])

    # Guards against effects in another order than that of the requests.
    def test_a_request_with_effects_runs_alone(self):
        self.send(encode(0) + encode(1, "DELETE") + encode(2, "POST", body=b"b"))
        self.send(encode(3) + encode(4))
        for expected in (["/0"], ["/1"], ["/2"], ["/3", "/4"]):
            self.assertEqual(self.server.targets(1), expected)
            self.server.answer(self.requests()[0])

    def test_a_request_whose_body_is_not_complete_waits(self):
        self.send(encode(0) + encode(1, "GET", b"Content-Length: 5\r\n"))
        self.assertEqual(self.server.targets(1), ["/0"])

    # Guards against responses that are held without a bound or uncounted.
    def test_held_responses_count_and_get_no_credit(self):
        self.send(encode(0) + encode(1))
        first, second = self.requests()
        before = self.server.budget.held_bytes
        self.server.respond(
            ResponseStart(second.exchange, ResponseHead(200), b"x" * 99_999)
        )
        self.assertGreater(self.server.budget.held_bytes, before + 99_999)
        self.assertEqual(self.server.streamed[second.exchange], 99_999)
        self.server.answer(first)
        self.server.read_all(1)
        self.assertEqual(self.server.streamed[second.exchange], 0)
        self.server.respond(ResponseBody(second.exchange, b"x", True))
        self.server.read_all(1)
        self.assertEqual(self.server.budget.held_bytes, CONNECTION_BYTES)

    def test_nothing_more_starts_while_a_window_is_held(self):
        self.start(window_bytes=65536)
        self.send(encode(0) + encode(1))
        second = self.requests()[1]
        self.server.respond(
            ResponseStart(second.exchange, ResponseHead(200), b"x" * 65536)
        )
        self.send(encode(2))
        self.assertEqual(self.server.targets(1), ["/0", "/1"])

    # Guards against interim responses that come before the response ahead of them.
    def test_interim_responses_wait_for_their_turn(self):
        self.send(encode(0) + encode(1))
        first, second = self.requests()
        self.server.respond(InterimResponse(second.exchange, ResponseHead(103)))
        self.assertEqual(self.server.output[1], b"")
        self.server.answer(first)
        self.server.answer(second)
        self.assertEqual(self.server.read_responses(1), ["/0", "/1"])
        self.assertEqual(self.server.output[1].count(b"HTTP/1.1 103"), 1)


class EndTests(PipeliningCase):
    def test_nothing_starts_behind_a_request_that_closes(self):
        self.send(encode(0) + encode(1, headers=CLOSE) + encode(2))
        self.assertEqual(self.server.targets(1), ["/0", "/1"])

    # Guards against requests that run on behind a response that closes.
    def test_requests_behind_a_closing_response_are_cancelled(self):
        self.send(b"".join(encode(target) for target in range(9)))
        first, second, *others = self.requests()
        self.server.answer(second, close_connection=True)
        self.send(encode(9))
        self.server.answer(first)
        self.assertEqual(len(self.server.started[1]), 8)
        self.assertEqual(self.server.cancelled, [r.exchange for r in others])
        self.assertEqual(self.server.read_responses(1), ["/0", "/1"])
        self.assertIn(1, self.server.finishing)
        self.assertEqual(self.server.slots.used, 0)

    def test_nothing_starts_behind_a_held_response_that_ends_the_connection(self):
        for close in (True, False):
            self.start()
            self.send(encode(0) + encode(1))
            second = self.requests()[1]
            if close:
                self.server.answer(second, close_connection=True)
            else:
                self.server.respond(ResponseAbort(second.exchange))
            self.send(encode(2))
            self.assertEqual(self.server.targets(1), ["/0", "/1"])

    # Guards against upstreams at work for a caller that gets no answer from them.
    def test_a_closing_response_cancels_those_behind_it_when_it_starts(self):
        self.send(encode(0) + encode(1))
        first, second = self.requests()
        head = ResponseHead(200, ((b"Target", b"/0"),))
        self.server.respond(
            ResponseStart(first.exchange, head, b"/0\n", close_connection=True)
        )
        self.assertEqual(self.server.cancelled, [second.exchange])
        self.server.respond(ResponseBody(first.exchange, b"", True))
        self.assertEqual(self.server.read_responses(1), ["/0"])

    def test_at_shutdown_nothing_starts_behind_a_response_that_has_started(self):
        self.send(encode(0) + encode(1, "POST", body=b"b"))
        (first,) = self.requests()
        head = ResponseHead(200, ((b"Target", b"/0"),))
        self.server.respond(ResponseStart(first.exchange, head, b"/0\n"))
        self.server.close_after_responses()
        self.server.respond(ResponseBody(first.exchange, b"", True))
        self.assertEqual(len(self.server.started[1]), 1)
        self.assertEqual(self.server.read_responses(1), ["/0"])
        self.assertIn(1, self.server.finishing)

    # Guards against a connection that closes while responses are left unread.
    def test_what_comes_behind_the_last_response_is_not_run(self):
        self.send(encode(0, headers=CLOSE))
        self.server.answer(self.requests()[0])
        self.send(encode(1) + b"\0")
        self.server.read_all(1)
        self.assertEqual(self.server.read_responses(1), ["/0"])
        self.assertIn(1, self.server.ended)

    def test_at_shutdown_the_last_of_those_passed_on_closes(self):
        for method in ("close_after_responses", "close_idle_connections"):
            with self.subTest(method):
                self.start()
                self.send(b"".join(encode(target) for target in range(3)))
                requests = self.requests()
                getattr(self.server, method)()
                self.send(encode(9))
                for request in reversed(requests):
                    self.server.answer(request)
                self.assertEqual(len(self.server.read_responses(1)), 3)
                self.assertEqual(len(self.server.started[1]), 3)
                last = self.server.output[1].split(b"HTTP/1.1 ")[-1]
                self.assertEqual(self.server.output[1].count(CLOSE), 1)
                self.assertIn(CLOSE, last)
                self.assertIn(1, self.server.finishing)

    def test_a_parse_error_is_answered_behind_running_requests(self):
        self.send(encode(0) + encode(1) + b"\0\r\n\r\n")
        first, second = self.requests()
        self.server.answer(second)
        self.assertEqual(self.server.output[1], b"")
        self.server.answer(first)
        self.assertEqual(self.server.output[1].count(b"HTTP/1.1 400"), 1)
        self.assertEqual(self.server.read_responses(1), ["/0", "/1"])

    def test_an_abort_behind_the_front_waits_for_its_turn(self):
        self.send(encode(0) + encode(1) + encode(2))
        first, second, third = self.requests()
        self.server.respond(ResponseAbort(second.exchange))
        self.assertNotIn(1, self.server.ended)
        self.server.answer(first)
        self.assertIn(1, self.server.ended)
        self.assertEqual(self.server.read_responses(1), ["/0"])
        self.assertIn(third.exchange, self.server.cancelled)

    def test_a_half_closed_connection_gets_all_responses(self):
        self.send(encode(0) + encode(1) + encode(2, "POST", body=b"b"))
        self.send(b"")
        for request in reversed(self.requests()):
            self.server.answer(request)
        self.server.answer(self.requests()[0])
        self.assertEqual(self.server.read_responses(1), ["/0", "/1", "/2"])
        self.assertIn(1, self.server.finishing)


class FairShareTests(PipeliningCase):
    # Guards against one connection that takes all that a node runs side by side.
    def test_many_connections_share_what_runs_beside(self):
        self.start(max_concurrent_requests=64, max_waiting_requests=64)
        for number in range(1, 16):
            self.send(b"".join(encode(t) for t in range(30)), number)
        for _ in range(40):
            for number in range(1, 16):
                requests = self.requests(number)
                if requests:
                    self.server.answer(requests[0])
                    self.server.read_all(number)
                if len(self.server.states[number].pending_events) < 16:
                    self.send(b"".join(encode(t) for t in range(8)), number)
        waiting = [len(self.requests(number)) - 1 for number in range(1, 16)]
        self.assertLessEqual(sum(waiting), 64)
        self.assertLessEqual(max(waiting) - min(waiting), 2)

    # Guards against slots that stay free while requests wait for them.
    def test_a_free_slot_goes_to_a_connection_that_was_turned_away(self):
        self.start(max_waiting_requests=2)
        for number in (1, 2, 3):
            self.send(encode(0) + encode(1), number)
        self.assertEqual(self.server.targets(3), ["/0"])
        self.server.answer(self.requests(1)[0])
        self.assertEqual(self.server.targets(3), ["/0", "/1"])

    @given(st.lists(st.integers(0, 9), max_size=99))
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_one_connection_never_takes_the_last_slots_of_others(self, takers):
        slots, own = SharedSlots(20), collections.Counter()
        for taker in takers:
            if slots.may_take(own[taker]):
                own[taker] += 1
                slots.used += 1
            self.assertLessEqual(slots.used, 20)
        self.assertLessEqual(max(own.values(), default=0), 10)


ACTIONS = (
    *("get", "head", "post", "delete") * 4,
    *("answer", "start", "body", "end", "read") * 4,
    *("interim", "abort", "last", "bad", "close", "old", "part", "eof"),
    *("lost", "leave", "idle", "tick"),
)
RESPONSES = ("answer", "start", "body", "end", "interim", "abort", "last")


class InterleavingTests(PipeliningCase):
    """Arbitrary requests, responses, ends and reads on three connections."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(ACTIONS), st.integers(1, 3), st.integers(0, 9)),
            max_size=60,
        )
    )
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_responses_come_in_the_order_of_the_requests(self, actions):
        self.start(max_concurrent_requests=4, max_waiting_requests=5, window_bytes=4096)
        self.target, self.phases = 0, {}
        for number in (1, 2, 3):
            self.server.on_accepted(Accepted(number, "10.0.0.1"))
        for action, number, choice in actions:
            self.act(action, number, choice)
            self.check()
        for _ in range(200):
            for number in (1, 2, 3):
                self.server.read_all(number)
                for action in ("end", "answer"):
                    self.act(action, number, 0)
        self.check()
        self.assertEqual(self.server.requests_in_flight, 0)
        self.assertEqual(self.server.slots.used, 0)
        for number, state in self.server.states.items():
            self.assertEqual(state.waiting_bytes, 0)
            if not state.pending_events:
                answered = self.server.read_responses(number)
                self.assertEqual(len(answered), len(self.server.started[number]))

    def act(self, action, number, choice):
        """Do one thing on a connection, if it is still there."""
        server, requests = self.server, self.requests(number)
        request = requests[choice % len(requests)] if requests else None
        if action == "leave":
            server.close_after_responses()
        elif action == "idle":
            server.close_idle_connections()
        elif action == "tick":
            server.now += 1.0
            server._offer_slots()
        elif number not in server.states:
            return
        elif action == "read":
            server.read_all(number)
        elif action == "lost":
            server.abort(number)
        elif request is not None and self.respond(action, request):
            return
        elif not server.states[number].eof_received:
            self.send_action(action, number, choice % 3)

    def send_action(self, action, number, repeats):
        """Send a request, a part of one, garbage or the end."""
        self.target += 3
        targets = range(self.target, self.target + 1 + repeats)
        data = {
            "get": b"".join(encode(target) for target in targets),
            "head": encode(self.target, "HEAD"),
            "post": encode(self.target, "POST", body=b"b"),
            "delete": encode(self.target, "DELETE"),
            "bad": b"\0\r\n\r\n",
            "close": encode(self.target, headers=CLOSE),
            "old": encode(self.target, version=b"1.0"),
            "part": b"GET /9",
            "eof": b"",
        }.get(action)
        if data is not None and number not in self.server.paused:
            self.send(data, number)

    def respond(self, action, request):
        """Send a part of a response; return whether the action is one."""
        exchange, target = request.exchange, request.head.target.encode()
        phase, message = self.phases.get(exchange, "new"), None
        if action not in RESPONSES or phase == "ended":
            return action in RESPONSES
        if action == "abort":
            phase, message = "ended", ResponseAbort(exchange)
        elif phase == "new" and action == "interim":
            message = InterimResponse(exchange, ResponseHead(103))
        elif phase == "new" and action in ("answer", "last"):
            self.phases[exchange] = "ended"
            self.server.answer(request, close_connection=action == "last")
        elif phase == "new" and action == "start":
            head = ResponseHead(200, ((b"Target", target),))
            phase, message = "streaming", ResponseStart(exchange, head, b"")
        elif phase == "streaming" and action in ("body", "end"):
            ended = action == "end"
            phase = "ended" if ended else phase
            message = ResponseBody(exchange, target * 500 + b"\n", ended)
        if message is not None:
            self.phases[exchange] = phase
            self.server.respond(message)
        return True

    def check(self):
        """Check the bounds, and what was written so far."""
        server = self.server
        waiting = [len(state.waiting) for state in server.states.values()]
        self.assertEqual(sum(waiting), server.slots.used)
        self.assertLessEqual(server.slots.used, 5)
        for number, state in server.states.items():
            requests = self.requests(number)
            self.assertLessEqual(len(requests), 4)
            safe = all(r.head.method in SAFE_METHODS and r.ended for r in requests)
            self.assertTrue(len(requests) < 2 or safe)
            held = state.count_held_bytes(server.unsent_bytes(number))
            self.assertEqual(server.budget.held_by_connection[number], held)
        for number in (1, 2, 3):
            answered = server.read_responses(number)
            targets = [r.head.target for r in server.started[number]]
            self.assertEqual(answered, targets[: len(answered)])


if __name__ == "__main__":
    unittest.main()
