"""Sends many mixed requests at the same moment, and checks each answer.

Arguments: a JSON object with ``ports``, ``count`` and ``key``. Prints a JSON
object with the number of right answers, wrong ones, and outcomes.
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
LIMIT_S = 90.0
MAX_WORK_MS = 400
CONNECT_TIMEOUT_S = 60.0


class BurstTask(Task):
    """Sends everything at once, and compares contents."""

    def __init__(self, ports, count, key):
        super().__init__(CHANNEL)
        self.ports = ports
        self.count = count
        self.key = key
        self.random = random.Random(SEED)
        self.wanted = {}
        self.bodies = {}
        self.heads = {}
        self.outcomes = collections.Counter()
        self.reasons = collections.Counter()
        self.wrong = []
        self.message_handlers = {
            ClientResponseStart: self.take_start,
            ClientResponseBody: self.take_body,
            ClientRequestFailed: self.take_failure,
            Tick: self.give_up,
        }

    def prepare(self):
        """Send all requests."""
        self.send_message("timers", Subscribe(CHANNEL, "limit", LIMIT_S, repeat=False))
        for number in range(self.count):
            self.send(number)

    def send(self, number):
        """Send a lookup, a booking or an upload, each with a time of its own."""
        kind = ("sheets", "bookings", "uploads")[number % 3]
        method = {"sheets": "GET", "bookings": "POST", "uploads": "PUT"}[kind]
        body = b"" if kind == "sheets" else f"{kind} {number}".encode()
        headers = [
            (b"Host", b"burst"),
            (b"Authorization", b"Bearer " + self.key.encode()),
            (b"Work-Ms", b"%d" % self.random.randrange(MAX_WORK_MS)),
        ]
        target = f"/{kind}/{number}"
        self.wanted[number] = (target, hashlib.sha256(body).hexdigest())
        head = RequestHead(method, target, tuple(headers))
        port = self.ports[number % len(self.ports)]
        self.send_message(
            "http", ClientRequestStart(number, "127.0.0.1", port, head, body)
        )

    def take_start(self, reply):
        """Take the head of an answer."""
        self.heads[reply.exchange] = reply.head
        self.bodies[reply.exchange] = reply.body
        self.finish_if(reply)

    def take_body(self, reply):
        """Take more of an answer."""
        self.bodies[reply.exchange] += reply.body
        self.finish_if(reply)

    def finish_if(self, reply):
        """Check a complete answer."""
        if not reply.ended:
            self.send_message(
                "http", ClientResponseCredit(reply.exchange, len(reply.body))
            )
            return
        number = reply.exchange
        head = self.heads.pop(number)
        outcome = find_header(head, b"comfreyusher-outcome")
        self.outcomes[f"{head.status} {outcome}"] += 1
        target, digest = self.wanted.pop(number)
        if head.status == 200:
            value = json.loads(self.bodies.pop(number))
            if (value["target"], value["digest"]) != (target, digest):
                self.wrong.append(target)
        else:
            text = self.bodies.pop(number).decode().strip()
            self.reasons[f"{target.split('/')[1]}: {text}"] += 1
        self.end_if_done()

    def take_failure(self, failure):
        """Note a request that brought no complete answer."""
        self.outcomes[f"failed: {failure.reason}"] += 1
        self.wanted.pop(failure.exchange, None)
        self.end_if_done()

    def end_if_done(self):
        """End after the last answer."""
        if not self.wanted:
            self.root.stop()

    def give_up(self, tick):
        """End although answers are missing."""
        self.outcomes["no answer"] += len(self.wanted)
        self.root.stop()


def main():
    """Run the burst and print its result."""
    asked = json.loads(sys.argv[1])
    root = Root()
    poller = Poller()
    poller.register(root)
    TimerService().register(root)
    HttpClientTask("http", CHANNEL, poller, CONNECT_TIMEOUT_S).register(root)
    task = BurstTask(asked["ports"], asked["count"], asked["key"])
    task.register(root)
    root.run()
    result = {
        "wrong": task.wrong,
        "outcomes": task.outcomes,
        "reasons": task.reasons,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
