"""Statuses by which a caller takes a request for one that has not run."""

import unittest
import unittest.mock

from comfreyusher.accounts import ReplicationFinished
from comfreyusher.entry import EndRequests
from comfreyusher.flow import Accepted, Received, Tick, replace
from comfreyusher.messages import (
    ClientRequestCancel,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseStart,
    RequestBodyTimedOut,
    ResponseHead,
    find_header,
)
from tests.test_entry import SEAL, EntryCase
from tests.test_unread_responses import FakeServer

ID = (b"X-Request-Id", b"r1")
NOT_EXECUTED = (b"X-Not-Executed", b"1")
RETRY_AFTER = (b"Retry-After", b"0.3")
LARGE = b"x" * 70000


def upstream_head(status, *headers):
    """Return the head of an upstream's own response."""
    return ResponseHead(status, (ID, SEAL, *headers))


class UnconfirmedRefusalTests(EntryCase):
    """Upstreams whose status says that a request has not run, though it may have."""

    ROUTE = replace(EntryCase.ROUTE, idempotent=False, max_attempts=3)

    def check_each_status(self, respond, accounted=False):
        """Send a request for each status, and check what its caller is told.

        ``respond`` is a function of the attempt and the head of its response.
        """
        for status in (408, 429, 503):
            with self.subTest(status):
                self.setUp()
                self.send_request(method="POST")
                request = replace(self.task.requests[1], accounted=accounted)
                self.task.requests[1] = request
                respond(self.grant(), upstream_head(status, RETRY_AFTER))
                self.check_unknown()

    def check_unknown(self):
        """Check that the caller is told that the request may have run."""
        (response,) = self.pop_responses()
        outcome = find_header(response.head, b"comfreyusher-outcome")
        self.assertEqual((response.head.status, outcome), (502, "unknown"))
        for name in (b"x-response-seal", b"retry-after"):
            self.assertIsNone(find_header(response.head, name))
        self.assertEqual(len(self.pop_messages(ClientRequestStart)), 1)
        self.assertEqual(self.task.requests, {})

    # Guards against a booking that has run and is answered 503, by which its caller
    # books once more.
    def test_a_whole_response(self):
        self.check_each_status(
            lambda key, head: self.deliver(ClientResponseStart(key, head, b"no", True))
        )

    def test_a_response_in_parts(self):
        self.check_each_status(
            lambda key, head: self.deliver(
                ClientResponseStart(key, head, b"n"),
                ClientResponseBody(key, b"o", True),
            )
        )

    # Guards against a status that is handed on with the start of a large response.
    def test_a_large_response_is_not_streamed(self):
        def respond(key, head):
            self.deliver(ClientResponseStart(key, head, LARGE))
            (cancel,) = self.pop_messages(ClientRequestCancel)
            self.assertEqual(cancel.exchange, key)

        self.check_each_status(respond)

    # Guards against a status that is handed on once the account entry is replicated.
    def test_a_response_whose_account_entry_is_replicated(self):
        def respond(key, head):
            self.deliver(ClientResponseStart(key, head, b"no", True))
            self.deliver(ReplicationFinished(1, True))

        def respond_at_length(key, head):
            self.deliver(ClientResponseStart(key, head, LARGE))
            self.deliver(ReplicationFinished(1, True))

        self.check_each_status(respond, accounted=True)
        self.check_each_status(respond_at_length, accounted=True)

    # Guards against a status that is handed on at the end of a planned stop.
    def test_a_response_that_waits_while_the_node_stops(self):
        self.check_each_status(
            lambda key, head: self.deliver(
                ClientResponseStart(key, head, b"no", True), EndRequests()
            ),
            accounted=True,
        )

    def test_the_refusal_of_one_upstream_says_nothing_of_the_next(self):
        self.send_request(method="POST")
        shed = upstream_head(503, NOT_EXECUTED)
        self.deliver(ClientResponseStart(self.grant(), shed, b"", True))
        self.assertEqual(self.pop_responses(), [])
        failed = upstream_head(503)
        self.deliver(ClientResponseStart(self.grant(2, "u2"), failed, b"", True))
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 502)

    def test_the_log_tells_what_the_upstream_answered(self):
        self.send_request(method="POST")
        head = upstream_head(429)
        with unittest.mock.patch("comfreyusher.entry._task.log_answered") as log:
            self.deliver(ClientResponseStart(self.grant(), head, b"", True))
        _, _, finished = log.call_args.args
        self.assertEqual((finished.status, finished.outcome), (502, "unknown"))
        self.assertIn("answered 429", finished.reason)


class IdempotentRefusalTests(EntryCase):
    """A request that may be repeated loses nothing by a false refusal."""

    def test_the_upstreams_response_is_forwarded_unchanged(self):
        for status in (408, 429, 503):
            with self.subTest(status):
                self.setUp()
                head = upstream_head(status, RETRY_AFTER)
                self.send_request()
                for attempt in (1, 2):
                    key = self.grant(attempt, f"u{attempt}")
                    self.deliver(ClientResponseStart(key, head, b"no", True))
                response = self.pop_responses()[0]
                self.assertEqual((response.head.status, response.body), (status, b"no"))
                self.assertEqual(find_header(response.head, b"retry-after"), "0.3")


class BodyTimeoutTests(EntryCase):
    """Callers that stop sending a request body."""

    ROUTE = replace(EntryCase.ROUTE, idempotent=False, deadline_ms=60_000)

    def time_out(self):
        self.deliver(RequestBodyTimedOut(1))
        (response,) = self.pop_responses()
        return response.head.status, find_header(response.head, b"comfreyusher-outcome")

    # Guards against 408 for an upload that an upstream works on already.
    def test_a_request_that_was_sent_may_have_run(self):
        self.send_request(method="POST", body=b"part", ended=False)
        key = self.grant()
        self.assertEqual(self.time_out(), (504, "unknown"))
        self.assertEqual(self.pop_messages(ClientRequestCancel)[0].exchange, key)

    def test_a_request_that_was_not_sent_has_not_run(self):
        self.send_request(method="POST", body=b"part", ended=False)
        self.assertEqual(self.time_out(), (408, "not-run"))
        self.grant()
        self.assertEqual(self.pop_messages(ClientRequestStart), [])


class StalledCallerTests(unittest.TestCase):
    # Guards against a server task that answers 408 though it cannot tell whether the
    # request has been passed on.
    def test_the_server_leaves_the_answer_to_the_entry_task(self):
        server = FakeServer(body_timeout_s=2.0)
        sent = []
        server.send_message = lambda channel, body: sent.append(body)
        server.on_accepted(Accepted(1, "10.0.0.1"))
        head = b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        server.on_received(Received(1, head + b"part"))
        server.now += 3.0
        server.handle_tick(Tick("sweep", server.now))
        self.assertEqual(server.unsent[1], 0)
        self.assertIn(RequestBodyTimedOut(sent[0].exchange), sent)


if __name__ == "__main__":
    unittest.main()
