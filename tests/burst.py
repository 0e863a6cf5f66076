"""Send many mixed requests at the same moment and check each response.

Takes a JSON object with ``ports``, ``count`` and ``key`` as its argument. Prints
a JSON object with the targets of wrong responses, the number of each outcome, and
the texts of responses other than 200.
"""

import collections
import hashlib
import json
import random
import sys

from comfreyusher.flow import Poller, Root, Subscribe, Task, Tick, TimerService
from comfreyusher.http import HttpClientTask
from comfreyusher.messages import (
    ClientRequestFailed,
    ClientRequestStart,
    ClientResponseBody,
    ClientResponseCredit,
    ClientResponseStart,
    RequestHead,
    find_header,
)

CHANNEL = "burst"
SEED = 20261204
TIMEOUT_S = 90.0
MAX_WORK_MS = 400
CONNECT_TIMEOUT_S = 60.0


class BurstTask(Task):
    """Sends all requests at once and compares the responses with the requests."""

    def __init__(self, ports, count, key):
        super().__init__(CHANNEL)
        self.ports = ports
        self.count = count
        self.key = key
        self.random = random.Random(SEED)
        self.expected = {}
        self.bodies = {}
        self.heads = {}
        self.outcomes = collections.Counter()
        self.reasons = collections.Counter()
        self.wrong_targets = []
        self.message_handlers = {
            ClientResponseStart: self.handle_response_start,
            ClientResponseBody: self.handle_response_body,
            ClientRequestFailed: self.handle_request_failed,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Send all requests."""
        self.send_message(
            "timers", Subscribe(CHANNEL, "limit", TIMEOUT_S, repeat=False)
        )
        for number in range(self.count):
            self.send(number)

    def send(self, number):
        """Send a lookup, a booking or an upload with a random service time."""
        kind = ("sheets", "bookings", "uploads")[number % 3]
        method = {"sheets": "GET", "bookings": "POST", "uploads": "PUT"}[kind]
        body = b"" if kind == "sheets" else f"{kind} {number}".encode()
        headers = [
            (b"Host", b"burst"),
            (b"Authorization", b"Bearer " + self.key.encode()),
            (b"Work-Ms", b"%d" % self.random.randrange(MAX_WORK_MS)),
        ]
        target = f"/{kind}/{number}"
        self.expected[number] = (target, hashlib.sha256(body).hexdigest())
        head = RequestHead(method, target, tuple(headers))
        port = self.ports[number % len(self.ports)]
        self.send_message(
            "http", ClientRequestStart(number, "127.0.0.1", port, head, body)
        )

    def handle_response_start(self, response):
        """Store the head of a response."""
        self.heads[response.exchange] = response.head
        self.bodies[response.exchange] = response.body
        self.check_if_complete(response)

    def handle_response_body(self, response):
        """Store more of a response body."""
        self.bodies[response.exchange] += response.body
        self.check_if_complete(response)

    def check_if_complete(self, response):
        """Check the response if it is complete, or send credit for its bytes."""
        if not response.ended:
            self.send_message(
                "http", ClientResponseCredit(response.exchange, len(response.body))
            )
            return
        number = response.exchange
        head = self.heads.pop(number)
        outcome = find_header(head, b"comfreyusher-outcome")
        self.outcomes[f"{head.status} {outcome}"] += 1
        target, digest = self.expected.pop(number)
        if head.status == 200:
            value = json.loads(self.bodies.pop(number))
            if (value["target"], value["digest"]) != (target, digest):
                self.wrong_targets.append(target)
        else:
            text = self.bodies.pop(number).decode().strip()
            self.reasons[f"{target.split('/')[1]}: {text}"] += 1
        self.stop_if_done()

    def handle_request_failed(self, failure):
        """Count a request that got no complete response."""
        self.outcomes[f"failed: {failure.reason}"] += 1
        self.expected.pop(failure.exchange, None)
        self.stop_if_done()

    def stop_if_done(self):
        """Stop after the last response."""
        if not self.expected:
            self.root.stop()

    def handle_tick(self, tick):
        """Stop at the timeout, although responses are missing."""
        self.outcomes["no answer"] += len(self.expected)
        self.root.stop()


def main():
    """Run the burst and print its result."""
    options = json.loads(sys.argv[1])
    root = Root()
    poller = Poller()
    poller.register(root)
    TimerService().register(root)
    HttpClientTask("http", CHANNEL, poller, CONNECT_TIMEOUT_S).register(root)
    task = BurstTask(options["ports"], options["count"], options["key"])
    task.register(root)
    root.run()
    result = {
        "wrong": task.wrong_targets,
        "outcomes": task.outcomes,
        "reasons": task.reasons,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
