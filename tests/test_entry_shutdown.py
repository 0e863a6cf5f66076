"""Requests at an entry node that shuts down."""

import immutables

from comfreyusher.declarations import Part, PlatformConfiguration, Route
from comfreyusher.entry import EndRequests, NodeView, UpstreamGroup
from comfreyusher.membership import Ownership, update_ownership
from comfreyusher.messages import ClientRequestStart, GrantRequest, find_header
from comfreyusher.routing import RoutingTable, set_published_routes
from tests.test_entry import EntryCase, member

BOOKINGS = Route("/a/", "h", False, 60_000, 1000, max_attempts=2, parts=(Part("s", 1),))


class ShutdownTests(EntryCase):
    """Nothing is sent that cannot be answered, and everything is answered."""

    def shut_down(self, seconds):
        """Tell the entry task that this node ends its requests in some seconds."""
        table = set_published_routes(
            RoutingTable(), PlatformConfiguration(1, (BOOKINGS,))
        )
        ownership = update_ownership(Ownership(), [member(2), member(3)])
        groups = immutables.Map({"s": (UpstreamGroup("s@r1", "r1"),)})
        view = NodeView(table, True, True, groups, ownership, ends_s=self.now + seconds)
        self.deliver(view)

    # Guards against a booking that is sent late and cut without an answer.
    def test_a_request_that_is_granted_too_late_is_refused_and_has_not_run(self):
        self.send_request(1, "POST", b"b")
        self.shut_down(0.2)
        self.grant(number=1)
        self.assertEqual(self.pop_messages(ClientRequestStart), [])
        (response,) = self.pop_responses()
        self.assertEqual(response.head.status, 503)
        self.assertIsNotNone(find_header(response.head, b"retry-after"))

    def test_a_late_request_ends_before_the_node(self):
        self.shut_down(2.0)
        self.now += 1.0
        self.send_request(1, "POST", b"b")
        (request,) = self.pop_messages(GrantRequest)
        self.assertLessEqual(request.remaining_ms, 900)
        self.grant(number=1)
        (start,) = self.pop_messages(ClientRequestStart)
        self.assertLessEqual(int(find_header(start.head, b"x-deadline-ms")), 900)

    def test_an_upstream_gets_no_more_time_than_the_node_has(self):
        self.send_request(1, "POST", b"b", deadline=b"9000")
        self.shut_down(1.5)
        self.grant(number=1)
        (start,) = self.pop_messages(ClientRequestStart)
        self.assertLessEqual(int(find_header(start.head, b"x-deadline-ms")), 1400)

    # Guards against connections that end without an answer.
    def test_requests_in_flight_are_answered_at_the_end(self):
        self.send_request(1, "POST", b"b")
        self.send_request(2, "POST", b"c")
        self.grant(number=1)
        self.shut_down(1.0)
        self.deliver(EndRequests())
        statuses = {r.exchange: r.head.status for r in self.pop_responses()}
        self.assertEqual(statuses, {1: 504, 2: 503})
