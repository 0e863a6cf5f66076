"""Callers that try to exhaust a node; each test plays one kind of them.

The tests start real processes on loopback addresses. They check only what does not
depend on the machine's speed: the node's process lives, its memory and open
descriptors stay under bounds that come from its settings, and an ordinary request is
served afterwards. ``tests/run.py`` runs them one at a time, apart from other load:

``python -m nose2 -s tests -t . tests.hostile.callers``
"""

import http.client
import socket
import time
import unittest

import requests

from extras.example import NAGYALFOLD_1
from standins.documents import build_configuration, build_route
from standins.fleet import HOST, Fleet, FleetError, wait_for
from tests.hostile.crowd import (
    Crowd,
    Script,
    count_descriptors,
    read_peak_bytes,
    read_resident_bytes,
)

CROWD = 200
ROUNDS = 4
UPSTREAMS = 2
SLOTS = 64
SERVICE = "orders"
SITE = "orders.example"
ORDINARY_REQUESTS = 100
MAX_HEAD_BYTES = 16384
MAX_HELD_BYTES = 16 << 20
MAX_UNFINISHED_REQUESTS = 64
# The process may take twice the memory that it counts: allocators keep free memory.
HELD_MEMORY_FACTOR = 2
# Each connection of a caller may have one to an upstream.
DESCRIPTORS_PER_CONNECTION = 2
# Other connections to the store and upstreams, and those that are being closed.
OTHER_DESCRIPTORS = 32
# Timeouts close no connection of a crowd in the time of a test.
NO_TIMEOUT_S = 600.0
REST_S = 2.0
SETTINGS = {
    "callers.customer_keys": "optional",
    "callers.max_head_bytes": MAX_HEAD_BYTES,
    "callers.max_body_bytes": 64 << 20,
    "callers.head_timeout_s": NO_TIMEOUT_S,
    "callers.body_timeout_s": NO_TIMEOUT_S,
    "callers.idle_timeout_s": NO_TIMEOUT_S,
    "callers.max_held_bytes": MAX_HELD_BYTES,
    "callers.max_unfinished_requests": MAX_UNFINISHED_REQUESTS,
}
GET = b"GET /read/x HTTP/1.1\r\nHost: orders.example\r\n"
POST = GET.replace(b"GET", b"POST") + b"Transfer-Encoding: chunked\r\n"
SLOW = b"Work-Ms: 3000\r\n"
SHORT_LINES = b"a:b\r\n" * 3200
ODD_NAMES = (b"!#", b"$%", b"&'", b"*+", b"^_", b"`|", b"~0")
ODD_LINES = b"".join(name + b":\xff\xfe\r\n" for name in ODD_NAMES) * 330
LARGE_CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
SMALL_CHUNK = b"1\r\nx\r\n"


class NodeTestCase(unittest.TestCase):
    """Starts a node with two upstreams, and takes its figures while it is idle."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.clean)
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()
        for number in range(UPSTREAMS):
            self.fleet.start_upstream(f"up-{number}", SERVICE, NAGYALFOLD_1, SLOTS)
        routes = [build_route("read", SITE, "/read/", SERVICE, timeout="30000ms")]
        configuration = build_configuration(1, routes)
        self.fleet.write_entry("keyed.op", "config", configuration)
        self.node = self.fleet.start_node("vm-0", NAGYALFOLD_1, SETTINGS)
        self.fleet.wait_ready()
        self.warm_up()
        self.idle_bytes = read_resident_bytes(self.node.process)
        self.idle_descriptors = count_descriptors(self.node.process)

    def warm_up(self):
        """Let the node load what it loads only after its start."""
        wait_for(self.is_served, "an ordinary request to be served")
        for _ in range(ORDINARY_REQUESTS):
            self.is_served()
        self.fleet.send_operator_request(self.node, "/metrics")

    def is_served(self):
        """Send one ordinary request; return whether it was served."""
        url = f"{self.node.callers_url}/read/x"
        headers = {"Host": SITE}
        return requests.get(url, headers=headers, timeout=30).status_code == 200


class HostileCallerTests(NodeTestCase):
    """A crowd of callers of one kind sends to a node, and the node survives."""

    def play(self, script, connections=MAX_UNFINISHED_REQUESTS):
        """Let a crowd follow a script, and check the node.

        ``connections`` is the number of the crowd's connections that may stay open.
        """
        max_descriptors = self.idle_descriptors + OTHER_DESCRIPTORS
        max_descriptors += DESCRIPTORS_PER_CONNECTION * connections
        with Crowd(self.node.callers_port, CROWD, script) as crowd:
            for _ in range(ROUNDS):
                crowd.play_round()
            self.wait_for_upstreams()
            self.assertIsNone(self.node.process.poll(), "the process has ended")
            descriptors = self.wait_for_descriptors(max_descriptors)
        grown_bytes = read_peak_bytes(self.node.process) - self.idle_bytes
        print(f"{grown_bytes >> 20} MB more than idle, {descriptors} descriptors")
        self.assertLessEqual(descriptors, max_descriptors)
        self.assertLessEqual(grown_bytes, HELD_MEMORY_FACTOR * MAX_HELD_BYTES)
        wait_for(self.is_served, "an ordinary request to be served")
        self.assertIsNone(self.node.process.poll(), "the process has ended")

    def wait_for_upstreams(self):
        """Wait until the upstreams get no more of the crowd's requests."""
        seen = []

        def has_come_to_rest():
            time.sleep(REST_S)
            seen.append(
                sum(
                    requests.get(f"{upstream.url}/runs", timeout=30).json()["arrivals"]
                    for upstream in self.fleet.upstreams.values()
                )
            )
            return len(seen) > 1 and seen[-1] == seen[-2]

        wait_for(has_come_to_rest, "the upstreams to come to rest", timeout_s=120.0)

    def wait_for_descriptors(self, bound):
        """Return the number of open descriptors once it is within the bound.

        A node may still be reading what the crowd has sent.
        """

        def is_within_bound():
            return count_descriptors(self.node.process) <= bound

        try:
            wait_for(is_within_bound, "descriptors to be closed", timeout_s=10.0)
        except FleetError:
            pass
        return count_descriptors(self.node.process)

    # Guards against heads whose lines take many times their bytes once parsed.
    def test_heads_of_very_many_short_lines(self):
        script = Script(GET + SLOW + SHORT_LINES + b"\r\n")
        self.play(script, connections=CROWD)

    def test_heads_of_odd_lines(self):
        script = Script(GET + SLOW + ODD_LINES + b"\r\n")
        self.play(script, connections=CROWD)

    # Guards against a limit that leaves out the colons and line ends.
    def test_heads_over_the_limit(self):
        script = Script(GET + SLOW + b"a:\r\n" * 12000 + b"\r\n")
        self.play(script, connections=CROWD)

    def test_heads_without_end(self):
        self.play(Script(GET + SHORT_LINES, b"a:b\r\n"))

    # Guards against connections to which no timeout and no limit applies.
    def test_empty_lines_without_end(self):
        self.play(Script(b"\r\n" * 100, b"\r\n"))

    # Guards against bodies that are kept for a retry while they never end.
    def test_bodies_in_large_chunks_that_stop_short_of_their_end(self):
        self.play(Script(POST + b"\r\n" + LARGE_CHUNK * 12 + b"0\r\n"))

    # Guards against parsed chunks that take many times their bytes.
    def test_bodies_in_small_chunks_that_stop_short_of_their_end(self):
        before = GET + SLOW + b"\r\n"
        self.play(Script(before + POST + b"\r\n" + SMALL_CHUNK * 20000 + b"0\r\n"))

    # Guards against responses that wait in memory for callers that do not read.
    def test_callers_that_read_slowly(self):
        request = GET + b"Work-Ms: 1\r\nAnswer-Bytes: 60000\r\n\r\n"
        script = Script(request * 16, reads=False, max_segment_bytes=536)
        self.play(script, connections=CROWD)


class PermittedCallerTests(NodeTestCase):
    """Requests within the limits are served by a node without other load."""

    # Guards against a limit on header lines that refuses a permitted request.
    def test_a_permitted_head_of_4000_lines_is_served(self):
        head = GET + b"a:\r\n" * 4000 + b"Connection: close\r\n\r\n"
        self.assertLessEqual(len(head), MAX_HEAD_BYTES)
        address = (HOST, self.node.callers_port)
        with socket.create_connection(address, timeout=30) as sock:
            sock.sendall(head)
            response = http.client.HTTPResponse(sock)
            response.begin()
            self.assertEqual(response.status, 200)


if __name__ == "__main__":
    unittest.main()
