"""A simulation of the feeds of one region while nodes and the store fail.

Every node runs its real ``FeedTask`` on a simulated clock. ``simulate`` draws faults
from a seed: nodes that are killed, frozen, or cut off from the store or from each
other, datagrams that are lost, a store that does not respond, refuses calls,
responds with old records or drops its history. Run many seeds with
``python -m tests.faulty_region --seeds 200``.
"""

import argparse
import dataclasses
import json
import random

from absl import logging

from comfreyusher.feeds import (
    ConfigurationChanged,
    FeedTask,
    FeedTimings,
    RegionChanged,
)
from comfreyusher.flow import Subscribe, Tick
from comfreyusher.messages import MemberRecord, ToNode
from comfreyusher.platform import (
    EraObserved,
    NewestRead,
    ReadFailed,
    ReadRecords,
    RecordsRead,
    Topic,
)
from standins.documents import build_configuration, build_upstream_entry
from tests.events import EventClock
from tests.faults import (
    ALL_FAULT_KINDS,
    FAULT_KINDS,
    RUN_LENGTH_S,
    START_UP_S,
    STORE_KINDS,
    StoreLog,
    draw_faults,
)

TICK_S = 0.25
HEARTBEAT_S = 1.5
RETENTION_S = 20.0
CALL_TIMEOUT_S = 1.5
STORE_LATENCY_S = 0.02
NODE_LATENCY_S = 0.002
MAX_SLOW_LATENCY_S = 0.4
LOSS_PROBABILITY = 0.003
DETECTION_S = 1.5
APPLY_S = 3.0
DRAIN_S = 3.0
RECOVERY_S = 4.0
SEND_MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True)
class Finding:
    """A change that a node did not apply in time, or wrong data on a node."""

    at_s: float
    node: str
    what: str


class FaultyRegion(EventClock):
    """Nodes, the store, and the messages between them."""

    def __init__(self, nodes, upstreams, rng):
        super().__init__()
        self.rng = rng
        self.logs = {
            topic: StoreLog()
            for topic in (
                Topic.UPSTREAMS,
                Topic.CONFIGURATION,
                Topic.DECLARATIONS,
                Topic.QUARANTINES,
            )
        }
        self.vms = [f"vm-{number}" for number in range(nodes)]
        self.incarnations = dict.fromkeys(self.vms, 0)
        self.tasks = {}
        self.versions = {}
        self.node_started_s = {}
        self.faults = []
        self.publications = []
        self.states = {f"up-{number}": "ready" for number in range(upstreams)}
        self.removed_upstreams = {}
        self.findings = []
        self.era = 0

    # Nodes -----------------------------------------------------------------

    def start_node(self, vm):
        """Start a node on a VM."""
        self.incarnations[vm] += 1
        node = f"{vm}.{self.incarnations[vm]}"
        own = MemberRecord(node, vm, "h", 1, 1, self.data_centre_of(vm), "r", 1)
        task = FeedTask(own, FeedTimings(DRAIN_S, APPLY_S), clock=lambda: self.now)
        task.send_message = lambda channel, body: self._send(node, channel, body)
        self.tasks[node] = task
        self.versions[node] = 0
        self.node_started_s[vm] = self.now
        task.prepare()
        for other in list(self.tasks):
            self.at(self.now + 0.2, lambda n=other: self.update_region(n))
        phase_s = self.now + self.rng.uniform(0, TICK_S)
        self.every(phase_s, TICK_S, lambda: self._tick(node))

    def stop_node(self, vm):
        """Kill the node on a VM; the others detect that after ``DETECTION_S``."""
        node = self.node_of(vm)
        if node is None:
            return
        del self.tasks[node]
        for other in list(self.tasks):
            self.at(self.now + DETECTION_S, lambda n=other: self.update_region(n))

    def node_of(self, vm):
        """Return the running node on a VM, or ``None``."""
        node = f"{vm}.{self.incarnations[vm]}"
        return node if node in self.tasks else None

    def data_centre_of(self, vm):
        """Return the data centre of a VM."""
        return f"d{int(vm[3:]) % 2}"

    def update_region(self, node):
        """Send a node the live nodes of its region."""
        task = self.tasks.get(node)
        if task is None:
            return
        data_centre = self.data_centre_of(node.partition(".")[0])
        visible = [
            n for n in self.tasks if n == node or not self._are_disconnected(n, node)
        ]
        data_centre_nodes = [
            n
            for n in visible
            if self.data_centre_of(n.partition(".")[0]) == data_centre
        ]
        task.handle_region_changed(
            RegionChanged(tuple(visible), tuple(data_centre_nodes))
        )

    def update_all_regions(self):
        """Send every node the live nodes from which it receives messages."""
        for node in list(self.tasks):
            self.update_region(node)

    def _are_disconnected(self, one, other):
        return self._has_fault(one, "cut_nodes") or self._has_fault(other, "cut_nodes")

    def _tick(self, node, name="tick"):
        task = self.tasks.get(node)
        if task is None:
            return
        if not self._has_fault(node, "freeze"):
            task.message_handlers[Tick](Tick(name, self.now))
        elif name != "tick":
            self.at(self.now + TICK_S, lambda: self._tick(node, name))

    # Faults ----------------------------------------------------------------

    def _has_fault(self, node, *kinds):
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
        """Apply what a fault changes once; other effects are checked while it lasts."""
        if fault.kind == "kill":
            for vm in sorted(fault.nodes):
                self.stop_node(vm)
                self.at(fault.end_s, lambda v=vm: self.start_node(v))
        elif fault.kind == "cut_nodes":
            self.at(self.now + DETECTION_S, self.update_all_regions)
            self.at(fault.end_s + DETECTION_S / 2, self.update_all_regions)
        elif fault.kind == "store_forgets":
            for log in self.logs.values():
                log.first_offset = len(log.records)

    def is_unaffected(self, vm):
        """Return whether no fault affected a VM for ``RECOVERY_S``."""
        if self.now - self.node_started_s.get(vm, self.now) < RECOVERY_S:
            return False
        return not any(
            vm in fault.nodes
            and fault.kind not in STORE_KINDS
            and fault.kind != "store_forgets"
            and fault.begin_s <= self.now < fault.end_s + RECOVERY_S
            for fault in self.faults
        )

    def is_store_stable(self, at_s):
        """Return whether the store was without a fault for ``RECOVERY_S``."""
        return not any(
            fault.kind in STORE_KINDS | {"store_forgets"}
            and fault.begin_s <= at_s < fault.end_s + RECOVERY_S
            for fault in self.faults
        )

    # Messages --------------------------------------------------------------

    def _send(self, node, channel, body):
        if node not in self.tasks:
            return
        if isinstance(body, ConfigurationChanged):
            self.record_version(node, body.configuration.version)
        elif channel == "platform":
            if not isinstance(body, EraObserved):
                self._receive_call(node, body)
        elif isinstance(body, ToNode):
            self._send_to_node(node, channel, body)
        elif isinstance(body, Subscribe) and not body.repeat:
            self.at(self.now + body.period_s, lambda: self._tick(node, body.name))

    def record_version(self, node, version):
        """Record the version in force on a node; it must never go back."""
        if version < self.versions[node]:
            self.findings.append(Finding(self.now, node, f"back to {version}"))
        self.versions[node] = version

    def _send_to_node(self, node, channel, to_node):
        other = to_node.node
        if channel == "datagrams" and self.rng.random() < self._loss_probability(
            node, other
        ):
            return
        due_s = self.now + NODE_LATENCY_S + self.rng.uniform(0, 0.002)
        if self._has_fault(node, "slow") or self._has_fault(other, "slow"):
            due_s += self.rng.uniform(0, MAX_SLOW_LATENCY_S)
        self.at(due_s, lambda: self._deliver(node, other, to_node.body))

    def _loss_probability(self, node, other):
        lossy = self._has_fault(node, "lossy") or self._has_fault(other, "lossy")
        return 0.3 if lossy else LOSS_PROBABILITY

    def _deliver(self, node, other, body):
        task = self.tasks.get(other)
        if task is None:
            return
        if self._are_disconnected(node, other) or self._has_fault(node, "cut_one_way"):
            return
        if self._has_fault(other, "freeze"):
            self.at(self.now + 0.05, lambda: self._deliver(node, other, body))
            return
        task.message_handlers[type(body)](body)

    # Store -----------------------------------------------------------------

    def _receive_call(self, node, call):
        call_started_s = self.now
        if self._has_fault(node, "refuse", "most_refused"):
            self._fail(node, call, call_started_s, STORE_LATENCY_S, "refused")
            return
        fault = self._store_fault()
        silent = fault is not None and fault.kind == "store_silent"
        if silent or self._has_fault(node, "cut_store", "cut_store_back"):
            self._fail(node, call, call_started_s, CALL_TIMEOUT_S, "no answer in time")
            return
        if fault is not None and fault.kind == "store_refuses":
            self._fail(node, call, call_started_s, STORE_LATENCY_S, "refused")
            return
        self.at(
            self.now + STORE_LATENCY_S / 2,
            lambda: self._serve_call(node, call, call_started_s),
        )

    def _serve_call(self, node, call, call_started_s):
        log = self.logs[call.topic]
        fault = self._store_fault()
        age_s = 3.0 if fault is not None and fault.kind == "store_old" else 0.0
        end = log.end_at(self.now - age_s)
        if not isinstance(call, ReadRecords):
            newest = log.find_newest(end)
            response = NewestRead(call.topic, end, newest, era=self.era)
            self._respond(node, call, call_started_s, response)
            return
        first = max(log.first_offset, log.end_at(self.now - RETENTION_S))
        if call.start_offset < first or (self.era and call.start_offset > end):
            gone = ReadFailed(call.topic, "expired", True, first, self.era)
            self._respond(node, call, call_started_s, gone)
            return
        waited_s = self.now - call_started_s
        if end <= call.start_offset and waited_s < call.wait_ms / 1000:
            self.at(
                self.now + 0.02, lambda: self._serve_call(node, call, call_started_s)
            )
            return
        records = tuple(log.records[call.start_offset : end])
        next_offset = max(call.start_offset, end)
        response = RecordsRead(
            call.topic, call.start_offset, next_offset, end, records, self.era
        )
        self._respond(node, call, call_started_s, response)

    def _fail(self, node, call, call_started_s, after_s, reason):
        failed = ReadFailed(call.topic, reason)
        self.at(
            self.now + after_s, lambda: self._finish_call(node, call_started_s, failed)
        )

    def _respond(self, node, call, call_started_s, response):
        self.at(
            self.now + STORE_LATENCY_S / 2,
            lambda: self._finish_call(node, call_started_s, response),
        )

    def _finish_call(self, node, call_started_s, response):
        task = self.tasks.get(node)
        if task is None:
            return
        if self._has_fault(node, "freeze"):
            self.at(
                self.now + 0.05,
                lambda: self._finish_call(node, call_started_s, response),
            )
            return
        if self._has_fault(node, "cut_store", "cut_store_back"):
            response = ReadFailed(response.topic, "no answer in time")
        state = task.topics[response.topic]
        if state.call_pending and state.call_started_s == call_started_s:
            task.message_handlers[type(response)](response)

    # Operator and upstreams ---------------------------------------------------

    def publish(self, version):
        """Append a configuration; the store acknowledges it at once."""
        value = json.dumps(build_configuration(version, [])).encode()
        self.logs[Topic.CONFIGURATION].append("config", value, self.now)
        self.publications.append((self.now, version))

    def send_heartbeat(self, name):
        """Append an upstream's entry, as its heartbeats do."""
        if self.removed_upstreams.get(name) == "gone":
            return
        value = json.dumps(
            build_upstream_entry(zone="d0", state=self.states[name], born=1)
        )
        self.logs[Topic.UPSTREAMS].append(name, value.encode(), self.now)

    def stop_upstream(self, name, without_draining):
        """Let an upstream announce that it leaves, or remove its entry at once."""
        if without_draining:
            self.logs[Topic.UPSTREAMS].append(name, b"", self.now)
            self.removed_upstreams[name] = "gone"
        else:
            self.states[name] = "draining"
            self.send_heartbeat(name)
            self.at(
                self.now + 5.0, lambda: self.stop_upstream(name, without_draining=True)
            )
        self.at(self.now + DRAIN_S - SEND_MARGIN_S, lambda: self._check_removed(name))

    # Checks ------------------------------------------------------------------

    def _check_removed(self, name):
        """Check from now on for nodes that would still use an upstream.

        A removal that was acknowledged while the store was not stable is due once
        the store has been stable for as long.
        """
        published_s = self.now - DRAIN_S + SEND_MARGIN_S
        is_due = self.is_store_stable(published_s) and self.is_store_stable(self.now)
        for vm in self.vms if is_due else ():
            node = self.node_of(vm)
            if node is None or not self.is_unaffected(vm):
                continue
            entry = self.tasks[node].view.registry.upstreams.get(name)
            if entry is not None and not entry.leaving:
                self.findings.append(Finding(self.now, node, f"lists {name}"))
        if self.now < RUN_LENGTH_S:
            self.at(self.now + 0.5, lambda: self._check_removed(name))

    def check_versions(self):
        """Find nodes whose configuration is too old."""
        if not self.is_store_stable(self.now):
            return
        due_versions = [
            version
            for published_s, version in self.publications
            if self.now - published_s > APPLY_S
        ]
        if not due_versions:
            return
        for vm in self.vms:
            node = self.node_of(vm)
            if node is None or not self.is_unaffected(vm):
                continue
            version_in_force = self.versions[node]
            if version_in_force < due_versions[-1]:
                what = f"has version {version_in_force}, not {due_versions[-1]}"
                self.findings.append(Finding(self.now, node, what))

    def check_registries(self):
        """Find nodes whose registry differs from the store at their position."""
        log = self.logs[Topic.UPSTREAMS]
        for node, task in self.tasks.items():
            position = task.topics[Topic.UPSTREAMS].position
            if not position.known or position.era != self.era:
                continue
            expected = {
                record.key: json.loads(record.value)["state"] == "draining"
                for record in log.find_newest(position.end_offset)
            }
            registry = task.view.registry
            listed = {
                name: entry.leaving
                for name, entry in registry.upstreams.items()
                if name not in registry.pending_removals
            }
            for name in self.find_known_leaving(expected, listed):
                del expected[name], listed[name]
            if listed != expected:
                differ = sorted(set(listed.items()) ^ set(expected.items()))
                what = (
                    f"at {position.end_offset} differs from the store in {differ[:3]}"
                )
                self.findings.append(Finding(self.now, node, what))

    def find_known_leaving(self, expected, listed):
        """Return upstreams that a node rightly knows better than the store."""
        return ()


def simulate(
    seed, kinds=FAULT_KINDS, nodes=12, upstreams=12, region_class=FaultyRegion
):
    """Return the region after a simulation with the faults of a seed."""
    rng = random.Random(seed)
    region = region_class(nodes, upstreams, rng)
    region.publish(1)
    draw_heartbeats(region, rng)
    for vm in region.vms:
        region.at(rng.uniform(0, 0.3), lambda v=vm: region.start_node(v))
    region.faults = draw_faults(rng, region.vms, kinds)
    for fault in region.faults:
        region.at(fault.begin_s, lambda f=fault: region.begin_fault(f))
    _draw_changes(region, rng)
    region.every(START_UP_S, 0.25, region.check_versions)
    region.every(START_UP_S, 1.0, region.check_registries)
    region.run_until(RUN_LENGTH_S)
    return region


def draw_heartbeats(region, rng):
    """Let each upstream write its entry now, and periodically from a random time on."""
    for name in region.states:
        region.send_heartbeat(name)
        first_s = rng.uniform(0, HEARTBEAT_S)
        region.every(first_s, HEARTBEAT_S, lambda n=name: region.send_heartbeat(n))


def _draw_changes(region, rng):
    """Draw the changes that the operator and the upstreams make."""
    at_s, version = START_UP_S, 1
    while at_s < RUN_LENGTH_S - 6.0:
        version += rng.randint(1, 3)
        region.at(at_s, lambda v=version: region.publish(v))
        at_s += rng.choice((0.3, 0.8, 3.0, 6.0))
    leaving = rng.sample(sorted(region.states), len(region.states) * 2 // 3)
    for name in leaving:
        at_s = rng.uniform(START_UP_S, RUN_LENGTH_S - 8.0)
        without_draining = rng.random() < 0.4
        region.at(at_s, lambda n=name, q=without_draining: region.stop_upstream(n, q))


def main():
    """Simulate many seeds, and print the findings of each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--more", action="store_true", help="more kinds of faults")
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    kinds = ALL_FAULT_KINDS if options.more else FAULT_KINDS
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        region = simulate(seed, kinds, options.nodes, options.upstreams)
        if region.findings:
            broken += 1
            first = region.findings[0]
            print(f"seed {seed}: {len(region.findings)} findings, first {first}")
    print(f"{options.seeds} seeds, {broken} with findings")


if __name__ == "__main__":
    main()
