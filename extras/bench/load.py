"""Load driver: open-loop arrivals on persistent connections, built on our tasks."""

import dataclasses
import json
import random
import sys
import time

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

CHANNEL = "load"
TICK_S = 0.001


@dataclasses.dataclass(frozen=True)
class Load:
    """Settings of a run; ``rate`` is in requests per second to each port."""

    ports: tuple
    rate: float
    length_s: float
    seed: int
    targets: tuple
    headers: tuple


class LoadTask(Task):
    """Sends requests with exponential intervals, and records their latencies."""

    def __init__(self, load):
        super().__init__(CHANNEL)
        self.load = load
        self.random = random.Random(load.seed)
        self.sent_at_s = {}
        self.latencies_ms = []
        self.outcomes = {}
        self.next_send_s = {}
        self.message_handlers = {
            ClientResponseStart: self.handle_response_start,
            ClientResponseBody: self.handle_response_body,
            ClientRequestFailed: self.handle_request_failed,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Record the start of the run, and subscribe to ticks."""
        self.started_s = self.clock()
        self.next_send_s = dict.fromkeys(self.load.ports, self.started_s)
        self.send_message("timers", Subscribe(CHANNEL, "send", TICK_S))

    def handle_tick(self, tick):
        """Send the requests that are due, and stop at the end of the run.

        Waits at most 10 s for the last responses.
        """
        now = self.clock()
        if now - self.started_s < self.load.length_s:
            for port in self.load.ports:
                while self.next_send_s[port] <= now:
                    self.next_send_s[port] += self.random.expovariate(self.load.rate)
                    self.send(port)
        elif not self.sent_at_s or now - self.started_s > self.load.length_s + 10:
            self.root.stop()

    def send(self, port):
        """Send one request to a port."""
        number = len(self.latencies_ms) + len(self.sent_at_s)
        exchange = (port, number, self.random.random())
        headers = ((b"Host", b"load"), *self.load.headers)
        target = self.load.targets[number % len(self.load.targets)]
        head = RequestHead("GET", target, headers)
        self.sent_at_s[exchange] = time.perf_counter()
        self.send_message("http", ClientRequestStart(exchange, "127.0.0.1", port, head))

    def handle_response_start(self, response):
        """Count the outcome of a response."""
        outcome = find_header(response.head, b"comfreyusher-outcome") or "direct"
        name = f"{response.head.status} {outcome}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if response.ended:
            self.record_latency(response.exchange)

    def handle_response_body(self, response):
        """Record the end of a response, or allow the upstream to send more of it."""
        if response.ended:
            self.record_latency(response.exchange)
        else:
            self.send_message(
                "http", ClientResponseCredit(response.exchange, len(response.body))
            )

    def handle_request_failed(self, failure):
        """Count a failed request."""
        self.outcomes["failed"] = self.outcomes.get("failed", 0) + 1
        self.record_latency(failure.exchange)

    def record_latency(self, exchange):
        """Record the latency of a request."""
        started = self.sent_at_s.pop(exchange, None)
        if started is not None:
            self.latencies_ms.append((time.perf_counter() - started) * 1000)


def main():
    """Run a load from a JSON argument; print latencies and outcomes as JSON."""
    options = json.loads(sys.argv[1])
    headers = tuple((n.encode(), v.encode()) for n, v in options.pop("headers").items())
    for name in ("ports", "targets"):
        options[name] = tuple(options[name])
    load = Load(headers=headers, **options)
    root = Root()
    poller = Poller()
    poller.register(root)
    TimerService().register(root)
    HttpClientTask("http", CHANNEL, poller).register(root)
    task = LoadTask(load)
    task.register(root)
    root.run()
    print(json.dumps({"latencies_ms": task.latencies_ms, "outcomes": task.outcomes}))


if __name__ == "__main__":
    main()
