"""The feeds of one region on simulated time, while nodes and the store fail.

Every node runs its real ``FeedTask``. ``play`` draws faults from a seed: nodes that
are killed, frozen, or cut off from the store or from each other, datagrams that
are lost, a store that is silent, refuses, or answers with old records and
forgets its history. ``python -m tests.faulty_region --seeds 200`` plays many.
"""

import argparse
import dataclasses
import json
import random

from absl import logging

from comfreyusher.feeds import FeedTask, Pace, PublishedChanged, RegionSeen
from comfreyusher.flow import Tick
from comfreyusher.messages import MemberRecord, ToNode
from comfreyusher.platform import (
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    Topic,
)
from standins.documents import configuration, upstream_entry
from tests.events import EventClock
from tests.faults import (
    CALM_FROM_S,
    FAULT_KINDS,
    LENGTH_S,
    MORE_KINDS,
    STORE_KINDS,
    Log,
    draw_faults,
)

TICK_S = 0.25
HEARTBEAT_S = 1.5
KEPT_S = 20.0
CALL_TIMEOUT_S = 1.5
STORE_S = 0.02
NEAR_S = 0.002
SLOW_S = 0.4
LOSS = 0.003
VIEW_S = 1.5
APPLY_S = 3.0
DRAIN_S = 3.0
CALM_S = 4.0
SENDING_S = 0.1


@dataclasses.dataclass(frozen=True)
class Finding:
    """Something that a node did not know in time."""

    at_s: float
    node: str
    what: str


class FaultyRegion(EventClock):
    """Nodes, the store, and what goes on between them."""

    def __init__(self, nodes, upstreams, chance):
        super().__init__()
        self.chance = chance
        self.logs = {
            topic: Log()
            for topic in (Topic.UPSTREAMS, Topic.CONFIGURATION, Topic.DECLARATIONS)
        }
        self.vms = [f"vm-{number}" for number in range(nodes)]
        self.incarnations = dict.fromkeys(self.vms, 0)
        self.tasks = {}
        self.versions = {}
        self.troubled_s = {}
        self.faults = []
        self.acked = []
        self.states = {f"up-{number}": "ready" for number in range(upstreams)}
        self.left = {}
        self.findings = []

    # Nodes -----------------------------------------------------------------

    def start_node(self, vm):
        """Start a process on a VM."""
        self.incarnations[vm] += 1
        node = f"{vm}.{self.incarnations[vm]}"
        own = MemberRecord(node, vm, "h", 1, 1, self.place_of(vm), "r", 1)
        task = FeedTask(own, Pace(DRAIN_S, APPLY_S), clock=lambda: self.now)
        task.send_message = lambda channel, body: self._send(node, channel, body)
        self.tasks[node] = task
        self.versions[node] = 0
        self.troubled_s[vm] = self.now
        task.prepare()
        for other in list(self.tasks):
            self.at(self.now + 0.2, lambda n=other: self.show_view(n))
        phase_s = self.now + self.chance.uniform(0, TICK_S)
        self.every(phase_s, TICK_S, lambda: self._tick(node))

    def stop_node(self, vm):
        """Kill the process of a VM; the others see it later."""
        node = self.node_of(vm)
        if node is None:
            return
        del self.tasks[node]
        for other in list(self.tasks):
            self.at(self.now + VIEW_S, lambda n=other: self.show_view(n))

    def node_of(self, vm):
        """Return the process of a VM, or ``None``."""
        node = f"{vm}.{self.incarnations[vm]}"
        return node if node in self.tasks else None

    def place_of(self, vm):
        """Return the data centre of a VM."""
        return f"d{int(vm[3:]) % 2}"

    def show_view(self, node):
        """Tell a node who lives."""
        task = self.tasks.get(node)
        if task is None:
            return
        place = self.place_of(node.partition(".")[0])
        seen = [n for n in self.tasks if n == node or not self._are_cut(n, node)]
        near = [n for n in seen if self.place_of(n.partition(".")[0]) == place]
        task.see_region(RegionSeen(tuple(seen), tuple(near)))

    def show_views(self):
        """Tell every node who lives, by what it hears."""
        for node in list(self.tasks):
            self.show_view(node)

    def _are_cut(self, one, other):
        return self._has(one, "cut_nodes") or self._has(other, "cut_nodes")

    def _tick(self, node):
        task = self.tasks.get(node)
        if task is not None and not self._has(node, "freeze"):
            task.on_tick(Tick("tick", self.now))

    # Faults ----------------------------------------------------------------

    def _has(self, node, *kinds):
        vm = node.partition(".")[0]
        return any(
            fault.kind in kinds
            and vm in fault.nodes
            and fault.begin_s <= self.now < fault.end_s
            for fault in self.faults
        )

    def _store_fault(self):
        for fault in self.faults:
            active = fault.begin_s <= self.now < fault.end_s
            if active and fault.kind in STORE_KINDS:
                return fault
        return None

    def begin_fault(self, fault):
        """Begin what a fault does once; the rest is looked up while it lasts."""
        if fault.kind == "kill":
            for vm in sorted(fault.nodes):
                self.stop_node(vm)
                self.at(fault.end_s, lambda v=vm: self.start_node(v))
        elif fault.kind == "cut_nodes":
            self.at(self.now + VIEW_S, self.show_views)
            self.at(fault.end_s + VIEW_S / 2, self.show_views)
        elif fault.kind == "store_forgets":
            for log in self.logs.values():
                log.first = len(log.records)

    def is_unharmed(self, vm):
        """Tell whether nothing harmed a VM for some seconds."""
        if self.now - self.troubled_s.get(vm, self.now) < CALM_S:
            return False
        return not any(
            vm in fault.nodes
            and fault.kind not in STORE_KINDS
            and fault.kind != "store_forgets"
            and fault.begin_s <= self.now < fault.end_s + CALM_S
            for fault in self.faults
        )

    def is_store_stable(self, at_s):
        """Tell whether the store was without a fault for some seconds."""
        return not any(
            fault.kind in STORE_KINDS | {"store_forgets"}
            and fault.begin_s <= at_s < fault.end_s + CALM_S
            for fault in self.faults
        )

    # Messages --------------------------------------------------------------

    def _send(self, node, channel, body):
        if node not in self.tasks:
            return
        if isinstance(body, PublishedChanged):
            self.note_version(node, body.published.version)
        elif channel == "platform":
            self._call(node, body)
        elif isinstance(body, ToNode):
            self._carry(node, channel, body)

    def note_version(self, node, version):
        """Note the version in force on a node; it never goes back."""
        if version < self.versions[node]:
            self.findings.append(Finding(self.now, node, f"back to {version}"))
        self.versions[node] = version

    def _carry(self, node, channel, addressed):
        other = addressed.node
        if channel == "datagrams" and self.chance.random() < self._loss(node, other):
            return
        due_s = self.now + NEAR_S + self.chance.uniform(0, 0.002)
        if self._has(node, "slow") or self._has(other, "slow"):
            due_s += self.chance.uniform(0, SLOW_S)
        self.at(due_s, lambda: self._deliver(node, other, addressed.body))

    def _loss(self, node, other):
        lossy = self._has(node, "lossy") or self._has(other, "lossy")
        return 0.3 if lossy else LOSS

    def _deliver(self, node, other, body):
        task = self.tasks.get(other)
        if task is None:
            return
        if self._are_cut(node, other) or self._has(node, "cut_one_way"):
            return
        if self._has(other, "freeze"):
            self.at(self.now + 0.05, lambda: self._deliver(node, other, body))
            return
        task.message_handlers[type(body)](body)

    # Store -----------------------------------------------------------------

    def _call(self, node, call):
        called_s = self.now
        if self._has(node, "refuse", "most_refused"):
            self._fail(node, call, called_s, STORE_S, "refused")
            return
        fault = self._store_fault()
        silent = fault is not None and fault.kind == "store_silent"
        if silent or self._has(node, "cut_store", "cut_store_back"):
            self._fail(node, call, called_s, CALL_TIMEOUT_S, "no answer in time")
            return
        if fault is not None and fault.kind == "store_refuses":
            self._fail(node, call, called_s, STORE_S, "refused")
            return
        self.at(self.now + STORE_S / 2, lambda: self._serve(node, call, called_s))

    def _serve(self, node, call, called_s):
        log = self.logs[call.topic]
        fault = self._store_fault()
        old_s = 3.0 if fault is not None and fault.kind == "store_old" else 0.0
        end = log.end_at(self.now - old_s)
        if not isinstance(call, Follow):
            answer = NewestRead(call.topic, end, log.newest(end))
            self._answer(node, call, called_s, answer)
            return
        first = max(log.first, log.end_at(self.now - KEPT_S))
        if call.start < first:
            self._answer(node, call, called_s, ReadFailed(call.topic, "expired", True))
            return
        waited_s = self.now - called_s
        if end <= call.start and waited_s < call.wait_ms / 1000:
            self.at(self.now + 0.02, lambda: self._serve(node, call, called_s))
            return
        records = tuple(log.records[call.start : end])
        following = max(call.start, end)
        answer = Followed(call.topic, call.start, following, end, records)
        self._answer(node, call, called_s, answer)

    def _fail(self, node, call, called_s, after_s, reason):
        failed = ReadFailed(call.topic, reason)
        self.at(self.now + after_s, lambda: self._end(node, called_s, failed))

    def _answer(self, node, call, called_s, answer):
        self.at(self.now + STORE_S / 2, lambda: self._end(node, called_s, answer))

    def _end(self, node, called_s, answer):
        task = self.tasks.get(node)
        if task is None:
            return
        if self._has(node, "freeze"):
            self.at(self.now + 0.05, lambda: self._end(node, called_s, answer))
            return
        if self._has(node, "cut_store", "cut_store_back"):
            answer = ReadFailed(answer.topic, "no answer in time")
        state = task.topics[answer.topic]
        if state.calling and state.called_s == called_s:
            task.message_handlers[type(answer)](answer)

    # Operator and upstreams ---------------------------------------------------

    def publish(self, version):
        """Append a configuration; the store confirms it at once."""
        value = json.dumps(configuration(version, [])).encode()
        self.logs[Topic.CONFIGURATION].append("config", value, self.now)
        self.acked.append((self.now, version))

    def beat(self, name):
        """Append an upstream's entry."""
        if self.left.get(name) == "gone":
            return
        value = json.dumps(upstream_entry(zone="d0", state=self.states[name], born=1))
        self.logs[Topic.UPSTREAMS].append(name, value.encode(), self.now)

    def leave(self, name, quietly):
        """Let an upstream say that it leaves, or end without a word."""
        if quietly:
            self.logs[Topic.UPSTREAMS].append(name, b"", self.now)
            self.left[name] = "gone"
        else:
            self.states[name] = "draining"
            self.beat(name)
            self.at(self.now + 5.0, lambda: self.leave(name, quietly=True))
        self.at(self.now + DRAIN_S - SENDING_S, lambda: self._check_left(name))

    # Checks ------------------------------------------------------------------

    def _check_left(self, name):
        """Look from now on for nodes that would still use an upstream.

        What was acknowledged while the store was not stable is due once it has
        been stable for as long.
        """
        acked_s = self.now - DRAIN_S + SENDING_S
        is_due = self.is_store_stable(acked_s) and self.is_store_stable(self.now)
        for vm in self.vms if is_due else ():
            node = self.node_of(vm)
            if node is None or not self.is_unharmed(vm):
                continue
            entry = self.tasks[node].known.listing.upstreams.get(name)
            if entry is not None and not entry.leaving:
                self.findings.append(Finding(self.now, node, f"lists {name}"))
        if self.now < LENGTH_S:
            self.at(self.now + 0.5, lambda: self._check_left(name))

    def check_versions(self):
        """Find nodes whose configuration is too old."""
        if not self.is_store_stable(self.now):
            return
        due = [
            version for acked_s, version in self.acked if self.now - acked_s > APPLY_S
        ]
        if not due:
            return
        for vm in self.vms:
            node = self.node_of(vm)
            if node is None or not self.is_unharmed(vm):
                continue
            known = self.versions[node]
            if known < due[-1]:
                what = f"has version {known}, not {due[-1]}"
                self.findings.append(Finding(self.now, node, what))

    def check_listings(self):
        """Find nodes whose listing is not what the store had at their position."""
        log = self.logs[Topic.UPSTREAMS]
        for node, task in self.tasks.items():
            position = task.topics[Topic.UPSTREAMS].position
            if not position.known:
                continue
            expected = {
                record.key: json.loads(record.value)["state"] == "draining"
                for record in log.newest(position.end)
            }
            listing = task.known.listing
            listed = {
                name: entry.leaving
                for name, entry in listing.upstreams.items()
                if name not in listing.departures
            }
            if listed != expected:
                differ = sorted(set(listed.items()) ^ set(expected.items()))
                what = f"at {position.end} differs from the store in {differ[:3]}"
                self.findings.append(Finding(self.now, node, what))


def play(seed, kinds=FAULT_KINDS, nodes=12, upstreams=12):
    """Return the region after a run with the faults of a seed."""
    chance = random.Random(seed)
    region = FaultyRegion(nodes, upstreams, chance)
    region.publish(1)
    for name in region.states:
        region.beat(name)
        first_s = chance.uniform(0, HEARTBEAT_S)
        region.every(first_s, HEARTBEAT_S, lambda n=name: region.beat(n))
    for vm in region.vms:
        region.at(chance.uniform(0, 0.3), lambda v=vm: region.start_node(v))
    region.faults = draw_faults(chance, region.vms, kinds)
    for fault in region.faults:
        region.at(fault.begin_s, lambda f=fault: region.begin_fault(f))
    _draw_changes(region, chance)
    region.every(CALM_FROM_S, 0.25, region.check_versions)
    region.every(CALM_FROM_S, 1.0, region.check_listings)
    region.run_until(LENGTH_S)
    return region


def _draw_changes(region, chance):
    """Draw what operator and upstreams do."""
    at_s, version = CALM_FROM_S, 1
    while at_s < LENGTH_S - 6.0:
        version += chance.randint(1, 3)
        region.at(at_s, lambda v=version: region.publish(v))
        at_s += chance.choice((0.3, 0.8, 3.0, 6.0))
    leaving = chance.sample(sorted(region.states), len(region.states) * 2 // 3)
    for name in leaving:
        at_s = chance.uniform(CALM_FROM_S, LENGTH_S - 8.0)
        quietly = chance.random() < 0.4
        region.at(at_s, lambda n=name, q=quietly: region.leave(n, q))


def main():
    """Play many seeds, and print what each finds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--more", action="store_true", help="more kinds of faults")
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    kinds = MORE_KINDS if options.more else FAULT_KINDS
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        region = play(seed, kinds, options.nodes, options.upstreams)
        if region.findings:
            broken += 1
            first = region.findings[0]
            print(f"seed {seed}: {len(region.findings)} findings, first {first}")
    print(f"{options.seeds} seeds, {broken} with findings")


if __name__ == "__main__":
    main()
