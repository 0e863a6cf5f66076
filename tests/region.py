"""A simulation of the feeds of one region, with links of limited bandwidth.

Every node runs its real ``FeedTask`` on a simulated clock. The store responds over
one link that the region shares, and each VM sends over a link of its own. Nothing
here sleeps or opens a socket, and every run can be repeated from its seed.
"""

import json

from comfreyusher.feeds import (
    ConfigurationChanged,
    FeedTask,
    FeedTimings,
    RegionChanged,
)
from comfreyusher.flow import Subscribe, Tick
from comfreyusher.messages import MemberRecord, ToNode
from comfreyusher.peering import encode_message
from comfreyusher.platform import (
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    Record,
    RecordsRead,
    Topic,
)
from standins.documents import (
    build_configuration,
    build_random_routes,
    build_upstream_entry,
)
from tests.events import EventClock

TICK_S = 0.25
CALL_TIMEOUT_S = 1.5
STORE_LATENCY_S = 0.02
NODE_LATENCY_S = 0.001
BYTES_PER_MBIT = 125_000
HEADER_BYTES = 200
LINK_QUEUE_BYTES = 32768
MEMBERSHIP_DELAY_S = 0.2


def encode_configuration(version, routes, seed=1):
    """Return the operator's document with a number of routes, as JSON."""
    documents = build_random_routes(
        routes, seed, 3, lambda number: "s", target="1287ms"
    )
    return json.dumps(build_configuration(version, documents)).encode()


class Link:
    """A link that transmits one message at a time, and is idle from ``free_s`` on.

    It holds ``LINK_QUEUE_BYTES`` of datagrams, and drops those beyond. Streams have
    small windows, so their bytes wait at the sender.
    """

    def __init__(self, mbit_per_s):
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.free_s = 0.0
        self.datagrams_sent_s = 0.0
        self.transmitted_bytes = 0

    def transmit(self, size, now):
        """Return when a message of this size in bytes is transmitted."""
        self.free_s = max(self.free_s, now) + size / self.bytes_per_s
        self.transmitted_bytes += size
        return self.free_s

    def transmit_datagram(self, size, now):
        """Return when a datagram is transmitted, or ``None`` if it is dropped."""
        if (self.datagrams_sent_s - now) * self.bytes_per_s > LINK_QUEUE_BYTES:
            return None
        start_s = max(self.datagrams_sent_s, now)
        self.datagrams_sent_s = start_s + size / self.bytes_per_s
        return self.transmit(size, now)


class Region(EventClock):
    """Nodes of a region that is far from the store.

    ``silent`` nodes receive no messages, and nothing that they send arrives. To
    ``refused`` nodes the store does not respond.
    """

    def __init__(self, nodes, link_mbps, node_mbps, apply_s=3.0, silent=()):
        super().__init__()
        self.link = Link(link_mbps)
        self.records = []
        self.upstream_records = []
        self.refused = set()
        self.reads = 0
        self.in_force = {}
        self.waiting_calls = {}
        self.silent = set(silent)
        self.names = [f"vm-{number}.1" for number in range(nodes)]
        self.links = {name: Link(node_mbps) for name in self.names}
        self.tasks = {}
        for name in self.names:
            self._add_node(name, apply_s)

    def _add_node(self, name, apply_s):
        own = MemberRecord(
            name, name[:-2], "h", 1, 1, self.data_centre_of(name), "r", 1
        )
        task = FeedTask(own, FeedTimings(apply_s, apply_s), clock=lambda: self.now)
        task.send_message = lambda channel, body: self._send(name, channel, body)
        self.tasks[name] = task

    def data_centre_of(self, name):
        """Return the data centre of a node, one of three in turn."""
        return f"d{int(name[3:-2]) % 3}"

    def start(self, jitter_s=0.3):
        """Start every node; it learns of the others ``MEMBERSHIP_DELAY_S`` later."""
        data_centre_nodes = {
            data_centre: [] for data_centre in map(self.data_centre_of, self.names)
        }
        for name in self.names:
            data_centre_nodes[self.data_centre_of(name)].append(name)
        for number, name in enumerate(self.names):
            at_s = jitter_s * number / len(self.names)
            task = self.tasks[name]
            message = RegionChanged(
                tuple(self.names), tuple(data_centre_nodes[self.data_centre_of(name)])
            )
            self.at(at_s, task.prepare)
            self.at(
                at_s + MEMBERSHIP_DELAY_S,
                lambda t=task, s=message: t.handle_region_changed(s),
            )
            self.at(at_s + TICK_S, lambda n=name: self._tick(n))

    def _tick(self, name):
        self.tasks[name].handle_tick(Tick("tick", self.now))
        self.at(self.now + TICK_S, lambda: self._tick(name))

    def publish(self, version, routes):
        """Append a configuration to the store."""
        value = encode_configuration(version, routes)
        self.records.append(Record("config", value, len(self.records)))
        waiting_calls, self.waiting_calls = self.waiting_calls, {}
        for name, call in waiting_calls.items():
            self._respond(name, call)

    def write_upstreams(self, names, state):
        """Append an entry of each upstream to the store."""
        value = json.dumps(build_upstream_entry(zone="d0", state=state, born=1))
        for name in names:
            record = Record(name, value.encode(), len(self.upstream_records))
            self.upstream_records.append(record)

    def find_unaware_nodes(self, upstreams):
        """Return the nodes that do not know that all of these upstreams leave."""
        unaware = []
        for name, task in self.tasks.items():
            entries = map(task.view.registry.upstreams.get, upstreams)
            if not all(entry is not None and entry.leaving for entry in entries):
                unaware.append(name)
        return unaware

    def find_stale_nodes(self, max_age_s):
        """Return the nodes that have not heard for too long what the store has."""
        return [
            name
            for name, task in self.tasks.items()
            if self.now - task.topics[Topic.UPSTREAMS].position.confirmed_s > max_age_s
        ]

    def find_readers(self):
        """Return the nodes that read the store for the region."""
        return [name for name, task in self.tasks.items() if task.is_reader]

    def run(self, seconds):
        """Advance the clock."""
        self.run_until(self.now + seconds)

    def find_late_nodes(self, version, bound_s):
        """Return the nodes where the version was not in force by ``bound_s``."""
        return [
            name
            for name in self.names
            if self.in_force.get((name, version), bound_s + 1) > bound_s
        ]

    # Messages ----------------------------------------------------------------

    def _send(self, name, channel, body):
        if isinstance(body, ConfigurationChanged):
            self.in_force.setdefault((name, body.configuration.version), self.now)
        elif channel == "platform":
            self._call(name, body)
        elif isinstance(body, Subscribe) and not body.repeat:
            handler = self.tasks[name].message_handlers[Tick]
            tick = Tick(body.name, self.now + body.period_s)
            self.at(tick.now_s, lambda: handler(tick))
        elif isinstance(body, ToNode) and name not in self.silent:
            self._transmit(name, channel, body)

    def _transmit(self, name, channel, to_node):
        size = len(encode_message(to_node.body)) + HEADER_BYTES
        link = self.links[name]
        transmit = link.transmit_datagram if channel == "datagrams" else link.transmit
        sent_s = transmit(size, self.now)
        if sent_s is None or to_node.node in self.silent:
            return
        task = self.tasks[to_node.node]
        handler = task.message_handlers[type(to_node.body)]
        self.at(sent_s + NODE_LATENCY_S, lambda: handler(to_node.body))

    def _call(self, name, call):
        self.reads += 1
        waits = isinstance(call, ReadRecords) and call.wait_ms
        if waits and not self._select_records(call):
            if call.topic is Topic.CONFIGURATION:
                self.waiting_calls[name] = call
            due_s = self.now + call.wait_ms / 1000
            self.at(due_s, lambda: self._end_wait(name, call))
            return
        self._respond(name, call)

    def _end_wait(self, name, call):
        if self.waiting_calls.get(name) is call:
            del self.waiting_calls[name]
            self._respond(name, call)
        elif call.topic is not Topic.CONFIGURATION:
            self._respond(name, call)

    def _find_log(self, topic):
        logs = {
            Topic.CONFIGURATION: self.records,
            Topic.UPSTREAMS: self.upstream_records,
        }
        return logs.get(topic, [])

    def _select_records(self, call):
        log = self._find_log(call.topic)
        if isinstance(call, ReadRecords):
            return log[call.start_offset :]
        return list({record.key: record for record in log}.values())

    def _respond(self, name, call):
        """Transmit the store's response over the links, or let the call time out."""
        state = self.tasks[name].topics[call.topic]
        records = tuple(self._select_records(call))
        size = sum(len(record.value) for record in records) + HEADER_BYTES
        if isinstance(call, ReadNewest):
            size = size * 4 // 3
        crossed_s = self.link.transmit(size, self.now) + STORE_LATENCY_S
        due_s = self.links[name].transmit(size, crossed_s)
        task, call_started_s = self.tasks[name], state.call_started_s
        is_lost = (
            name in self.silent | self.refused or due_s > self.now + CALL_TIMEOUT_S
        )
        if is_lost:
            failed = ReadFailed(call.topic, "no answer in time")
            due_s = self.now + CALL_TIMEOUT_S
            self.at(due_s, lambda: self._finish_call(task, call_started_s, failed))
            return
        self.at(
            due_s,
            lambda: self._finish_call(
                task, call_started_s, self._build_response(call, records)
            ),
        )

    def _build_response(self, call, records):
        end = len(self._find_log(call.topic))
        if isinstance(call, ReadRecords):
            end = call.start_offset + len(records)
            return RecordsRead(call.topic, call.start_offset, end, end, records)
        return NewestRead(call.topic, end, records)

    def _finish_call(self, task, call_started_s, response):
        state = task.topics[response.topic]
        if state.call_pending and state.call_started_s == call_started_s:
            task.message_handlers[type(response)](response)
