"""What a server holds for callers, and which connections it closes for it."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Accepted, Received
from comfreyusher.http import HttpLimits, RequestParser
from comfreyusher.http._memory_budget import (
    CONNECTION_BYTES,
    Holding,
    MemoryBudget,
    choose_connections,
)
from comfreyusher.http._parse import EndOfMessage, ParsedHead
from comfreyusher.messages import RequestCredit, ResponseHead, ResponseStart
from tests.test_unread_responses import FakeServer

GET = b"GET / HTTP/1.1\r\nHost: a\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def choose(holdings, max_held_bytes=1 << 40, max_unfinished=1 << 20):
    """Return the numbers of the connections to close, in order."""
    budget = MemoryBudget(max_held_bytes, max_unfinished)
    for holding in holdings:
        budget.update(holding.number, holding.held_bytes, holding.unfinished)
    return [holding.number for holding in choose_connections(holdings, budget)]


class ChoiceTests(unittest.TestCase):
    # Guards against closing requests that run while stalled callers hold memory.
    def test_a_request_at_an_upstream_goes_last(self):
        running = Holding(1, 900_000, 60.0, at_upstream=True)
        stalled = Holding(2, 100_000, 1.0, unfinished=True)
        self.assertEqual(choose([running, stalled], 950_000), [2])
        self.assertEqual(choose([running, stalled], 850_000), [2, 1])

    def test_of_two_bodies_the_one_without_progress_goes(self):
        moving = Holding(1, 500_000, 0.0, unfinished=True)
        stalled = Holding(2, 400_000, 5.0, unfinished=True)
        self.assertEqual(choose([moving, stalled], 800_000), [2])
        self.assertEqual(choose([moving, stalled], max_unfinished=1)[0], 2)

    def test_idle_connections_stay_open(self):
        idle = [Holding(number, CONNECTION_BYTES, 9.0) for number in range(9)]
        self.assertEqual(choose(idle, 1), [])

    # Guards against closing more requests at an upstream than the bound demands.
    def test_connections_at_an_upstream_go_only_as_far_as_the_bound(self):
        holdings = [Holding(0, CONNECTION_BYTES, 9.0)]
        holdings += [
            Holding(number, CONNECTION_BYTES, 9.0, at_upstream=True)
            for number in range(1, 17)
        ]
        budget = MemoryBudget(1 << 40, 1 << 20, max_connections=16)
        for holding in holdings:
            budget.update(holding.number, holding.held_bytes, False)
        chosen = choose_connections(holdings, budget)
        self.assertEqual([holding.number for holding in chosen], [0])

    # Guards against idle callers that take all descriptors of the process.
    def test_of_too_many_connections_the_longest_idle_ones_go(self):
        holdings = [
            Holding(number, CONNECTION_BYTES, float(number), at_upstream=number == 9)
            for number in range(10)
        ]
        budget = MemoryBudget(1 << 40, 1 << 20, max_connections=8)
        for holding in holdings:
            budget.update(holding.number, holding.held_bytes, False)
        self.assertTrue(budget.exceeded)
        chosen = choose_connections(holdings, budget)
        self.assertEqual([holding.number for holding in chosen], [8, 7, 6])

    @given(st.lists(st.tuples(st.integers(0, 99999), st.booleans(), st.booleans())))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_what_stays_is_within_the_bounds(self, rows):
        holdings = [
            Holding(number, CONNECTION_BYTES + size, 0.0, unfinished, at_upstream)
            for number, (size, unfinished, at_upstream) in enumerate(rows)
        ]
        closed = set(choose(holdings, 200_000, 3))
        kept = [h for h in holdings if h.number not in closed]
        self.assertLessEqual(sum(h.unfinished for h in kept), 3)
        held_bytes = sum(h.held_bytes for h in kept)
        idle = all(h.held_bytes <= CONNECTION_BYTES for h in kept)
        self.assertTrue(held_bytes <= 200_000 or idle)


class AccountingTests(unittest.TestCase):
    """The total counts what all connections hold, and returns to nothing."""

    def setUp(self):
        self.server = FakeServer(max_held_bytes=400_000, max_unfinished_requests=4)

    def send(self, number, data):
        """Send bytes on a connection, which is opened first if it is not there."""
        if number not in self.server.states:
            self.server.on_accepted(Accepted(number, "10.0.0.1"))
        self.server.on_received(Received(number, data))

    @property
    def held_bytes(self):
        """Bytes held beyond those of the open connections themselves."""
        connections = CONNECTION_BYTES * len(self.server.states)
        return self.server.budget.held_bytes - connections

    def test_a_served_request_leaves_nothing_held(self):
        self.send(1, GET + b"a:\r\n" * 4000 + b"\r\n")
        self.assertGreater(self.held_bytes, 16_000)
        request = self.server.requests.popleft()
        self.server.handle_response_start(
            ResponseStart(request.exchange, ResponseHead(200), b"x" * 1000, True)
        )
        self.assertGreater(self.held_bytes, 1000)
        self.server.read_all(1)
        self.assertEqual(self.held_bytes, 0)

    # Guards against bodies in the buffer of the entry task that nobody counts.
    def test_a_buffered_body_counts_until_it_is_released(self):
        self.send(1, CHUNKED + b"ffff\r\n" + b"x" * 65535 + b"\r\n")
        exchange = self.server.requests.popleft().exchange
        self.server.handle_request_credit(RequestCredit(exchange, 65535, True))
        self.assertGreater(self.held_bytes, 65535)
        self.server.handle_request_credit(RequestCredit(exchange, 1))
        self.assertLess(self.held_bytes, 65535)

    # Guards against a process that parses 64 KiB of tiny requests at once.
    def test_pipelined_requests_stay_bytes_until_they_are_needed(self):
        self.server = FakeServer()
        request = GET + b"\r\n"
        self.send(1, request * 2000)
        self.assertLess(len(self.server.states[1].pending_events), 1000)
        answered = 0
        while self.server.requests:
            answered += self.server.answer_all()
            self.server.read_all(1)
        self.assertEqual(answered, 2000)
        self.assertEqual(self.held_bytes, 0)

    def test_requests_over_the_bound_are_refused_as_not_run(self):
        for number in range(1, 6):
            self.server.now += 1.0
            self.send(number, GET)
        self.assertEqual(self.server.ended, {1, 2})
        self.assertGreater(self.server.unsent[1], 0)
        self.assertIn(5, self.server.states)
        self.assertEqual(self.server.closed_total, 2)

    def test_bodies_beyond_a_few_unfinished_ones_are_told_to_wait(self):
        self.server = FakeServer()
        for number in range(1, 12):
            self.send(number, CHUNKED + SMALL_CHUNK)
        self.send(12, GET + b"\r\n")
        crowded = [request.crowded for request in self.server.requests]
        self.assertEqual(crowded, [False] * 5 + [True] * 6 + [False])

    # Guards against a head that has just begun on an idle connection, and would be
    # closed before those that have made no progress for longer.
    def test_a_head_on_an_idle_connection_has_just_made_progress(self):
        self.send(1, GET + b"\r\n")
        self.server.answer_all()
        self.server.now += 10.0
        self.send(1, GET[:20])
        state = self.server.states[1]
        holding = state.build_holding(1, 0, False, self.server.now)
        self.assertEqual(holding.stalled_s, 0.0)

    # Guards against empty lines that no timeout and no limit ends.
    def test_empty_lines_count_as_an_unfinished_request(self):
        self.send(1, b"\r\n")
        self.assertEqual(len(self.server.budget.unfinished), 0)
        self.send(1, b"\r\n" * 2)
        self.assertEqual(len(self.server.budget.unfinished), 1)

    def test_the_limits_of_other_servers_close_nothing(self):
        self.assertFalse(MemoryBudget(HttpLimits().max_held_bytes, 1).exceeded)


class LongHeadTests(unittest.TestCase):
    """Heads of many lines are kept as bytes, and read as they were sent."""

    def test_the_lines_of_a_long_head_are_read_alike(self):
        lines = [(b"h%d" % number, b"v:%d" % number) for number in range(1000)]
        data = b"".join(b"%b:  %b \r\n" % line for line in lines)
        parser = RequestParser(32768, 100)
        events = []
        for start in range(0, len(data), 500):
            piece = data[start : start + 500]
            events += parser.feed(piece if start else GET + piece)
        self.assertLess(parser.held_bytes, 2 * len(data))
        events += parser.feed(b"\r\n")
        self.assertEqual([type(e) for e in events], [ParsedHead, EndOfMessage])
        pairs = [(name, value.strip()) for name, value in events[0].head.headers]
        self.assertEqual(pairs, [(b"Host", b"a"), *lines])

    # Guards against 431 for a request that follows a body in the same read.
    def test_a_head_behind_a_large_body_is_not_too_large(self):
        parser = RequestParser(4096, 100_000)
        body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
        parser.feed(body + b"x" * 60000 + GET + b"A: b")
        self.assertEqual(len(parser.feed(b"\r\n\r\n")), 2)


if __name__ == "__main__":
    unittest.main()
