"""Statuses by which a caller takes a request for one that has not run."""

import dataclasses
import unittest
import unittest.mock

import immutables
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from comfreyusher.accounts import ReplicationFinished
from comfreyusher.entry import EndRequests
from comfreyusher.flow import Accepted, Received, Tick, replace
from comfreyusher.messages import (
    AttemptKey,
    CallerDisconnected,
    ClientRequestCancel,
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseStart,
    Denial,
    DenialReason,
    QueuedAck,
    RequestBody,
    RequestBodyTimedOut,
    ResponseHead,
    ResponseStart,
    find_header,
)
from comfreyusher.quarantine import QuarantinesChanged
from tests.test_entry import OK, OWN, SEAL, EntryCase
from tests.test_unread_responses import FakeServer

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses that an upstream may add X-Not-Executed to.
REFUSING_STATUSES = (400, 421, 429, 503)
STATUSES = (200, 400, 404, 408, 421, 429, 500, 502, 503, 504)
ID = (b"X-Request-Id", b"r1")
NOT_EXECUTED = (b"X-Not-Executed", b"1")
RETRY_AFTER = (b"Retry-After", b"2.5")
LARGE = b"x" * 70000
# Steps of the request itself, before its caller or its node ends it.
STEPS_BEFORE_END = 8


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

    # Guards against a response that is dropped, and its request run again, because of a
    # header that only says why a request was refused.
    def test_a_reason_alone_is_no_refusal(self):
        for status in (200, 500):
            with self.subTest(status):
                self.setUp()
                self.send_request(method="POST")
                head = upstream_head(status, (b"Request-Refused", b"shed"))
                self.deliver(ClientResponseStart(self.grant(), head, b"body", True))
                (response,) = self.pop_responses()
                self.assertEqual(
                    (response.head.status, response.body), (status, b"body")
                )

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
                self.assertEqual(find_header(response.head, b"retry-after"), "2.5")


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


class HedgeTests(EntryCase):
    # Guards against 503 for a request that runs at one upstream, while the grant of
    # its hedge goes back to the owner and no further attempt is allowed.
    def test_a_request_is_not_given_up_while_an_attempt_runs(self):
        self.send_request(method="POST")
        key = self.grant(typical_ms=50)
        self.advance(0.3)
        busy = upstream_head(503, NOT_EXECUTED, RETRY_AFTER)
        self.send_request(2, "GET")
        self.deliver(ClientResponseStart(self.grant(1, "u2", 2), busy, b"", True))
        fingerprint = self.task.requests[1].fingerprint
        ends = immutables.Map({fingerprint: self.now + 60})
        self.deliver(QuarantinesChanged(ends))
        self.pop_responses()
        self.grant(2, "u2")
        self.assertEqual(self.pop_responses(), [])
        self.deliver(ClientResponseStart(key, OK, b"done", True))
        self.assertEqual(self.pop_responses()[0].body, b"done")


@dataclasses.dataclass
class Sent:
    """An attempt that an upstream got, and what the upstream told of it."""

    key: AttemptKey
    started: bool = False
    ended: bool = False
    refused: bool = False


class OneRequest(RuleBasedStateMachine):
    """One request under any order of messages, up to its answer."""

    def __init__(self):
        super().__init__()
        self.case = EntryCase()
        self.sent_attempts = {}
        self.answers = []
        self.left = False
        self.body_ended = True
        self.steps = 0

    @initialize(
        idempotent=st.booleans(),
        ended=st.booleans(),
        accounted=st.booleans(),
        size=st.sampled_from((0, 3, 2 << 20)),
    )
    def start(self, idempotent, ended, accounted, size):
        self.idempotent = idempotent
        self.case.setUp()
        route = replace(EntryCase.ROUTE, idempotent=idempotent, max_attempts=3)
        self.case.send_node_view(route, regions=("r1", "r2"))
        self.body_ended = ended
        self.case.send_request(method="POST", body=b"b" * size, ended=ended)
        if accounted and self.request is not None:
            self.case.task.requests[1] = replace(self.request, accounted=True)

    @property
    def request(self):
        return self.case.task.requests.get(1)

    def attempts(self):
        """Return the keys of all attempts so far, a request that ended has none."""
        return [a.key for a in self.request.attempts] if self.request else []

    def open_attempts(self):
        return [sent for sent in self.sent_attempts.values() if not sent.ended]

    # Owners

    @rule(data=st.data(), upstream=st.sampled_from(("u1", "u2", "u3")))
    def grant(self, data, upstream):
        numbers = st.integers(1, max(1, len(self.attempts())))
        self.case.grant(data.draw(numbers), upstream)

    @rule(data=st.data(), reason=st.sampled_from(DenialReason))
    def deny(self, data, reason):
        number = data.draw(st.integers(1, max(1, len(self.attempts()))))
        self.case.deliver(Denial(AttemptKey(OWN, 1, number), reason, 100))

    @rule(data=st.data())
    def queue(self, data):
        number = data.draw(st.integers(1, max(1, len(self.attempts()))))
        self.case.deliver(QueuedAck(AttemptKey(OWN, 1, number)))

    # Upstreams

    @precondition(lambda self: any(not s.started for s in self.open_attempts()))
    @rule(
        data=st.data(),
        status=st.sampled_from(STATUSES),
        not_executed=st.booleans(),
        sealed=st.booleans(),
        body=st.sampled_from((b"", b"part", LARGE)),
        ended=st.booleans(),
    )
    def respond(self, data, status, not_executed, sealed, body, ended):
        waiting = [s for s in self.open_attempts() if not s.started]
        sent = data.draw(st.sampled_from(waiting))
        headers = [ID, *([SEAL] if sealed else [])]
        headers += [NOT_EXECUTED, RETRY_AFTER] if not_executed else []
        sent.started, sent.ended = True, ended
        sent.refused = status == 421 or (not_executed and status in REFUSING_STATUSES)
        head = ResponseHead(status, tuple(headers))
        self.case.deliver(ClientResponseStart(sent.key, head, body, ended))

    @precondition(lambda self: any(s.started for s in self.open_attempts()))
    @rule(data=st.data(), ended=st.booleans(), body=st.sampled_from((b"", LARGE)))
    def respond_more(self, data, ended, body):
        streams = [s for s in self.open_attempts() if s.started]
        sent = data.draw(st.sampled_from(streams))
        sent.ended = ended
        self.case.deliver(ClientResponseBody(sent.key, body, ended))

    @precondition(lambda self: self.open_attempts())
    @rule(data=st.data(), arrived=st.booleans())
    def fail(self, data, arrived):
        sent = data.draw(st.sampled_from(self.open_attempts()))
        sent.ended = True
        arrived = arrived or sent.started
        sent.refused = sent.refused or not arrived
        self.case.deliver(ClientRequestFailed(sent.key, arrived, sent.started, "cut"))

    # The caller and the node

    @precondition(lambda self: not self.body_ended)
    @rule(ended=st.booleans())
    def send_body(self, ended):
        self.body_ended = ended
        self.case.deliver(RequestBody(1, b"more", ended))

    @precondition(lambda self: not self.body_ended)
    @precondition(lambda self: self.steps >= STEPS_BEFORE_END)
    @rule()
    def time_out_body(self):
        self.case.deliver(RequestBodyTimedOut(1))

    @precondition(lambda self: self.steps >= STEPS_BEFORE_END)
    @rule()
    def leave(self):
        self.left = True
        self.case.deliver(CallerDisconnected(1))

    @rule(seconds=st.sampled_from((0.05, 0.3)))
    def wait(self, seconds):
        self.case.advance(seconds)

    @rule()
    def quarantine(self):
        if self.request is not None:
            ends = {self.request.fingerprint: self.case.now + 60}
            self.case.deliver(QuarantinesChanged(immutables.Map(ends)))

    @rule()
    def replicate(self):
        self.case.deliver(ReplicationFinished(1, True))

    @precondition(lambda self: self.steps >= STEPS_BEFORE_END)
    @rule()
    def stop(self):
        self.case.deliver(EndRequests())

    # What must hold

    @invariant()
    def check(self):
        """Look at what was sent since the last step, in its order."""
        self.steps += 1
        messages, self.case.sent = self.case.sent, []
        for _, body in messages:
            if isinstance(body, ClientRequestStart):
                self.check_send(body)
            elif isinstance(body, ClientRequestCancel):
                self.end(body.exchange)
            elif isinstance(body, ResponseStart):
                self.check_answer(body.head)
        if self.request is None:
            assert not self.open_attempts(), "an upstream still works"

    def check_send(self, start):
        assert not self.answers and not self.left, "sent after its answer"
        if not self.idempotent:
            running = [s for s in self.sent_attempts.values() if not s.refused]
            assert not running, "sent again though it may have run"
        self.sent_attempts[start.exchange] = Sent(start.exchange)

    def end(self, key):
        if key in self.sent_attempts:
            self.sent_attempts[key].ended = True

    def check_answer(self, head):
        self.answers.append(head.status)
        outcome = find_header(head, b"comfreyusher-outcome")
        promised = outcome == "not-run"
        if not self.idempotent:
            promised = promised or head.status in NOT_RUN_STATUSES
        may_have_run = any(not sent.refused for sent in self.sent_attempts.values())
        assert not (promised and may_have_run), f"{head.status} promises too much"


OneRequestTests = OneRequest.TestCase
OneRequestTests.settings = settings(
    max_examples=300, stateful_step_count=25, deadline=None
)

if __name__ == "__main__":
    unittest.main()
