"""A small load driver: open arrivals on kept-alive connections, on our tasks."""

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
    """What to send; ``rate`` is requests a second to each port."""

    ports: tuple
    rate: float
    length_s: float
    seed: int
    targets: tuple
    headers: tuple


class LoadTask(Task):
    """Sends requests at random times, and notes their latencies."""

    def __init__(self, load):
        super().__init__(CHANNEL)
        self.load = load
        self.random = random.Random(load.seed)
        self.sent = {}
        self.latencies_ms = []
        self.outcomes = {}
        self.next_s = {}
        self.message_handlers = {
            ClientResponseStart: self.take_start,
            ClientResponseBody: self.take_body,
            ClientRequestFailed: self.take_failure,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Start the clock."""
        self.began_s = self.clock()
        self.next_s = dict.fromkeys(self.load.ports, self.began_s)
        self.send_message("timers", Subscribe(CHANNEL, "send", TICK_S))

    def on_tick(self, tick):
        """Send what is due, and end after the run."""
        now = self.clock()
        if now - self.began_s < self.load.length_s:
            for port in self.load.ports:
                while self.next_s[port] <= now:
                    self.next_s[port] += self.random.expovariate(self.load.rate)
                    self.send(port)
        elif not self.sent or now - self.began_s > self.load.length_s + 10:
            self.root.stop()

    def send(self, port):
        """Send one request."""
        number = len(self.latencies_ms) + len(self.sent)
        exchange = (port, number, self.random.random())
        headers = ((b"Host", b"load"), *self.load.headers)
        target = self.load.targets[number % len(self.load.targets)]
        head = RequestHead("GET", target, headers)
        self.sent[exchange] = time.perf_counter()
        self.send_message("http", ClientRequestStart(exchange, "127.0.0.1", port, head))

    def take_start(self, reply):
        """Note an answer."""
        outcome = find_header(reply.head, b"comfreyusher-outcome") or "direct"
        name = f"{reply.head.status} {outcome}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if reply.ended:
            self.end(reply.exchange)

    def take_body(self, reply):
        """Note the end of an answer."""
        if reply.ended:
            self.end(reply.exchange)
        else:
            self.send_message(
                "http", ClientResponseCredit(reply.exchange, len(reply.body))
            )

    def take_failure(self, failure):
        """Note a failure."""
        self.outcomes["failed"] = self.outcomes.get("failed", 0) + 1
        self.end(failure.exchange)

    def end(self, exchange):
        """Note a latency."""
        started = self.sent.pop(exchange, None)
        if started is not None:
            self.latencies_ms.append((time.perf_counter() - started) * 1000)


def main():
    """Run a load from a JSON argument; print latencies and outcomes as JSON."""
    asked = json.loads(sys.argv[1])
    headers = tuple((n.encode(), v.encode()) for n, v in asked.pop("headers").items())
    for name in ("ports", "targets"):
        asked[name] = tuple(asked[name])
    load = Load(headers=headers, **asked)
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
