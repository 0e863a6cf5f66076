"""The feeds of one region on simulated time, with links of limited speed.

Every node runs its real ``FeedTask``. The store answers over one link that the
region shares, and each VM sends over a link of its own. Nothing here sleeps or
opens a socket, and every run repeats from its seed.
"""

import json

from comfreyusher.feeds import FeedTask, Pace, PublishedChanged, RegionSeen
from comfreyusher.flow import Tick
from comfreyusher.messages import MemberRecord, ToNode
from comfreyusher.peering import encode_message
from comfreyusher.platform import (
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    ReadNewest,
    Record,
    Topic,
)
from standins.documents import configuration, random_routes
from tests.events import EventClock

TICK_S = 0.25
CALL_TIMEOUT_S = 1.5
CROSSING_S = 0.02
NEAR_S = 0.001
BYTES_PER_MBIT = 125_000
HEAD_BYTES = 200
VIEW_S = 0.2


def configuration_of(version, routes, seed=1):
    """Return the operator's document with so many routes."""
    made = random_routes(routes, seed, 3, lambda number: "s", target="1287ms")
    return json.dumps(configuration(version, made)).encode()


class Link:
    """A link that carries one message after the other; ``free_s`` is when it rests."""

    def __init__(self, mbit_per_s):
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.free_s = 0.0
        self.carried = 0

    def carry(self, size, now):
        """Return when a message of this size has passed."""
        self.free_s = max(self.free_s, now) + size / self.bytes_per_s
        self.carried += size
        return self.free_s


class Region(EventClock):
    """Nodes of a region that is far from the store."""

    def __init__(self, nodes, link_mbps, node_mbps, apply_s=3.0, silent=()):
        super().__init__()
        self.link = Link(link_mbps)
        self.records = []
        self.reads = 0
        self.in_force = {}
        self.waiting = {}
        self.silent = set(silent)
        self.names = [f"vm-{number}.1" for number in range(nodes)]
        self.links = {name: Link(node_mbps) for name in self.names}
        self.tasks = {}
        for name in self.names:
            self._add(name, apply_s)

    def _add(self, name, apply_s):
        own = MemberRecord(name, name[:-2], "h", 1, 1, self.place_of(name), "r", 1)
        task = FeedTask(own, Pace(apply_s, apply_s), clock=lambda: self.now)
        task.send_message = lambda channel, body: self._send(name, channel, body)
        self.tasks[name] = task

    def place_of(self, name):
        """Return the data centre of a node: three in turn."""
        return f"d{int(name[3:-2]) % 3}"

    def start(self, jitter_s=0.3):
        """Start every node, and let it see the others a moment later."""
        near = {place: [] for place in map(self.place_of, self.names)}
        for name in self.names:
            near[self.place_of(name)].append(name)
        for number, name in enumerate(self.names):
            at_s = jitter_s * number / len(self.names)
            task = self.tasks[name]
            seen = RegionSeen(tuple(self.names), tuple(near[self.place_of(name)]))
            self.at(at_s, task.prepare)
            self.at(at_s + VIEW_S, lambda t=task, s=seen: t.see_region(s))
            self.at(at_s + TICK_S, lambda n=name: self._tick(n))

    def _tick(self, name):
        self.tasks[name].on_tick(Tick("tick", self.now))
        self.at(self.now + TICK_S, lambda: self._tick(name))

    def publish(self, version, routes):
        """Append a configuration to the store."""
        value = configuration_of(version, routes)
        self.records.append(Record("config", value, len(self.records)))
        waiting, self.waiting = self.waiting, {}
        for name, call in waiting.items():
            self._answer(name, call)

    def run(self, seconds):
        """Let time pass."""
        self.run_until(self.now + seconds)

    def late(self, version, bound_s):
        """Return the nodes that had no such version in force at the bound."""
        return [
            name
            for name in self.names
            if self.in_force.get((name, version), bound_s + 1) > bound_s
        ]

    # Messages ----------------------------------------------------------------

    def _send(self, name, channel, body):
        if isinstance(body, PublishedChanged):
            self.in_force.setdefault((name, body.published.version), self.now)
        elif channel == "platform":
            self._call(name, body)
        elif isinstance(body, ToNode) and name not in self.silent:
            self._carry(name, body)

    def _carry(self, name, addressed):
        size = len(encode_message(addressed.body)) + HEAD_BYTES
        sent_s = self.links[name].carry(size, self.now)
        if addressed.node in self.silent:
            return
        task = self.tasks[addressed.node]
        method = task.message_handlers[type(addressed.body)]
        self.at(sent_s + NEAR_S, lambda: method(addressed.body))

    def _call(self, name, call):
        self.reads += 1
        waits = isinstance(call, Follow) and call.wait_ms
        if waits and not self._records(call):
            if call.topic is Topic.CONFIGURATION:
                self.waiting[name] = call
            due_s = self.now + call.wait_ms / 1000
            self.at(due_s, lambda: self._end_waiting(name, call))
            return
        self._answer(name, call)

    def _end_waiting(self, name, call):
        if self.waiting.get(name) is call:
            del self.waiting[name]
            self._answer(name, call)
        elif call.topic is not Topic.CONFIGURATION:
            self._answer(name, call)

    def _records(self, call):
        found = self.records if call.topic is Topic.CONFIGURATION else []
        return found[call.start :] if isinstance(call, Follow) else found[-1:]

    def _answer(self, name, call):
        """Let the store's answer cross the link, or time out on the way."""
        state = self.tasks[name].topics[call.topic]
        records = tuple(self._records(call))
        size = sum(len(record.value) for record in records) + HEAD_BYTES
        if isinstance(call, ReadNewest):
            size = size * 4 // 3
        passed_s = self.link.carry(size, self.now) + CROSSING_S
        due_s = self.links[name].carry(size, passed_s)
        task, called_s = self.tasks[name], state.called_s
        lost = name in self.silent or due_s > self.now + CALL_TIMEOUT_S
        if lost:
            failed = ReadFailed(call.topic, "no answer in time")
            due_s = self.now + CALL_TIMEOUT_S
            self.at(due_s, lambda: self._end(task, called_s, failed))
            return
        self.at(due_s, lambda: self._end(task, called_s, self._page(call, records)))

    def _page(self, call, records):
        end = len(self.records) if call.topic is Topic.CONFIGURATION else 0
        if isinstance(call, Follow):
            end = call.start + len(records)
            return Followed(call.topic, call.start, end, end, records)
        return NewestRead(call.topic, end, records)

    def _end(self, task, called_s, answer):
        state = task.topics[answer.topic]
        if state.calling and state.called_s == called_s:
            task.message_handlers[type(answer)](answer)
