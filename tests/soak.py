"""A soak test with fault injection into real processes on loopback.

Nodes are killed, frozen, terminated and cut off by a loopback proxy, one at a
time; the store's stand-in is silent, resets, responds late, compacts its
history and is restored from an older copy; upstreams stall, truncate responses,
refuse requests that they have run, drain and leave. Meanwhile callers keep their
connections open, and what they and the upstreams see is checked. Faults overlap; the
seed fixes their order and duration, but not the timing of the processes.

``python -m tests.soak --first 1 --seeds 50 --length 40`` runs many seeds. The soak
ends only processes that it started, by their ids.
"""

import argparse
import collections
import dataclasses
import itertools
import json
import random
import signal
import sys
import threading
import time

import requests

from extras.example import DUNANTUL_1, NAGYALFOLD_1, NAGYALFOLD_2
from standins.documents import build_configuration, build_route
from standins.fleet import Fleet, wait_for
from tests.soak_restores import StoreRestores

MAX_APPLY_S = 2.5
MAX_DRAIN_S = 2.5
QUIET_S = 3.0
NODES = 5
UPSTREAMS = 6
SLOTS = 4
CALLERS = 6
SERVICE = "orders"
HOST = "orders.example"
LOCATIONS = (NAGYALFOLD_1, NAGYALFOLD_2, NAGYALFOLD_1, NAGYALFOLD_2, DUNANTUL_1)
NOT_RUN_STATUSES = (408, 421, 429, 503)
NODE_FAULTS = ("kill", "freeze", "end", "cut_to", "cut_from")
STORE_FAULTS = (
    {"down": "silent"},
    {"down": "reset"},
    {"down": "busy"},
    {"delay_ms": 400},
)
STORE_FAULTS_OFF = {"down": "", "delay_ms": 0}
UPSTREAM_FAULTS = (
    {"stall": True},
    {"half_answer": True},
    {"slow_factor": 20.0},
    *({"answer_status": status} for status in (408, 429, 503)),
)
UPSTREAM_FAULTS_OFF = {
    "stall": False,
    "half_answer": False,
    "slow_factor": 1.0,
    "answer_status": 200,
}
FAULT_DURATIONS_S = (0.3, 1.0, 3.0)


@dataclasses.dataclass(frozen=True)
class CallResult:
    """A caller's request and the status of its response; 0 is a broken response."""

    key: str
    idempotent: bool
    status: int


def build_routes(new_route_count):
    """Return the operator's routes: one safe, one unsafe, and those added later."""
    path_kinds = [("/read/", "safe"), ("/book/", "unsafe")]
    path_kinds += [(f"/new-{number}/", "safe") for number in range(new_route_count)]
    return [
        build_route(path.strip("/"), HOST, path, SERVICE, kind, "4000ms", "1000ms")
        for path, kind in path_kinds
    ]


class Soak:
    """A running fleet, the faults injected into it, and the violations found.

    ``last_node_fault_s`` and ``last_store_fault_s`` are the times at which the last
    fault ended, or infinity during a fault.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.restores = StoreRestores(self, random.Random(f"restore {seed}"))
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.entries_lock = threading.Lock()
        self.entries = {}
        self.calls = []
        self.findings = []
        self.stopping = threading.Event()
        self.last_node_fault_s = collections.defaultdict(float)
        self.last_store_fault_s = 0.0
        self.version = 0

    # Fleet -----------------------------------------------------------------

    def start(self):
        """Start the processes, and wait until every node is ready."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.platform.control(names_era=True)
        for number in range(UPSTREAMS):
            location = LOCATIONS[number % len(LOCATIONS)]
            fleet.start_upstream(f"up-{number}", SERVICE, location, SLOTS)
            self.entries[f"up-{number}"] = ("ready", 0)
        self.publish()
        overrides = {
            "callers.customer_keys": "optional",
            "fleet.upstream_drain": f"{MAX_DRAIN_S}s",
            "fleet.configuration_apply": f"{MAX_APPLY_S}s",
        }
        for number in range(NODES):
            fleet.start_node_behind_link(f"vm-{number}", LOCATIONS[number], overrides)
        fleet.wait_ready()

    def publish(self):
        """Publish a configuration with one more route; return the route's path."""
        with self.entries_lock:
            self.version += 1
            self.write_configuration()
            return f"/new-{self.version - 2}/"

    def write_configuration(self):
        """Write the newest configuration into the store."""
        value = build_configuration(self.version, build_routes(self.version - 1))
        self.fleet.write_entry("keyed.op", "config", value)

    def write_upstream(self, name, state, started_ms=0):
        """Write the entry of an upstream into the store, or remove it."""
        with self.entries_lock:
            self.entries[name] = (state, started_ms)
            self.write_upstream_again(name)

    def write_upstream_again(self, name):
        """Write the entry of an upstream as it was written last."""
        state, started_ms = self.entries[name]
        if state == "gone":
            self.fleet.write_entry("keyed.servers", name, None)
            return
        location = LOCATIONS[int(name[3:]) % len(LOCATIONS)]
        self.fleet.register_upstream(
            name, SERVICE, location, SLOTS, state, started_ms=started_ms
        )

    # Callers ---------------------------------------------------------------

    def run_caller(self):
        """Send requests on persistent connections until the soak stops."""
        session = requests.Session()
        rng = random.Random(next(self.numbers))
        while not self.stopping.is_set():
            nodes = list(self.fleet.nodes.values())
            if nodes:
                self.call(session, rng.choice(nodes), rng.random() < 0.5)
            time.sleep(0.01)

    def call(self, session, node, idempotent):
        """Send one request, and record its result."""
        key = f"{next(self.numbers)}"
        path = "/read/x" if idempotent else "/book/x"
        headers = {
            "Host": HOST,
            "X-Request-Id": key,
            "X-Deadline-Ms": "4000",
            "Booking": key,
            "Work-Ms": "15",
        }
        method = "GET" if idempotent else "POST"
        try:
            response = session.request(
                method, node.callers_url + path, headers=headers, timeout=8
            )
        except requests.RequestException:
            self.calls.append(CallResult(key, idempotent, 0))
            return
        self.calls.append(CallResult(key, idempotent, response.status_code))
        if response.status_code == 200:
            self.check_response(key, path, response)

    def check_response(self, key, path, response):
        """Find a response that is truncated or belongs to another request."""
        try:
            body = json.loads(response.content)
        except ValueError:
            self.add_finding(f"MIXED: the response to {key} is truncated")
            return
        if response.headers.get("X-Request-Id") != key or body["target"] != path:
            self.add_finding(f"MIXED: {key} got the response for {body['target']}")

    def add_finding(self, description):
        """Record a violation."""
        with self.lock:
            self.findings.append(description)

    # Faults ----------------------------------------------------------------

    def inject_node_faults(self):
        """Inject faults into nodes, one node at a time."""
        while not self.stopping.wait(self.random.uniform(0.5, 3.0)):
            kind = self.random.choice(NODE_FAULTS)
            name = self.random.choice(sorted(self.fleet.nodes))
            length_s = self.random.choice(FAULT_DURATIONS_S)
            self.last_node_fault_s[name] = float("inf")
            self.inject_node_fault(kind, name, length_s)
            self.last_node_fault_s[name] = time.monotonic()

    def inject_node_fault(self, kind, name, length_s):
        """Inject a fault into a node for ``length_s``, and end the fault."""
        node = self.fleet.nodes[name]
        if kind == "freeze":
            node.process.send_signal(signal.SIGSTOP)
            time.sleep(length_s)
            node.process.send_signal(signal.SIGCONT)
        elif kind.startswith("cut"):
            link, direction = self.fleet.links[name], kind.partition("_")[2]
            link.control(**{direction: True})
            time.sleep(length_s)
            link.control(**{direction: False})
        else:
            signal_number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            self.fleet.stop_node(name, signal_number)
            time.sleep(length_s)
            self.fleet.run_node(name, node.location, node.settings_path)

    def inject_store_faults(self):
        """Inject faults into the store, compact it, and silence connections to it."""
        while not self.stopping.wait(self.random.uniform(3.0, 8.0)):
            self.last_store_fault_s = float("inf")
            self.fleet.platform.control(**self.random.choice(STORE_FAULTS))
            time.sleep(self.random.choice(FAULT_DURATIONS_S))
            self.fleet.platform.control(**STORE_FAULTS_OFF)
            for action in ("compact", "silence"):
                if self.random.random() < 0.5:
                    requests.post(f"{self.fleet.platform.url}/{action}", timeout=10)
            self.last_store_fault_s = time.monotonic()

    def request_status(self, node, path):
        """Return the status of a request, or 0 without a response."""
        headers = {"Host": HOST, "X-Deadline-Ms": "2000"}
        url = node.callers_url + path
        try:
            return requests.get(url, headers=headers, timeout=4).status_code
        except requests.RequestException:
            return 0

    def inject_upstream_faults(self):
        """Inject faults into upstreams, one at a time."""
        while not self.stopping.wait(self.random.uniform(0.5, 2.0)):
            name = self.random.choice(sorted(self.fleet.upstreams))
            upstream = self.fleet.upstreams[name]
            upstream.control(**self.random.choice(UPSTREAM_FAULTS))
            time.sleep(self.random.choice(FAULT_DURATIONS_S))
            upstream.control(**UPSTREAM_FAULTS_OFF)

    # Changes and their checks -----------------------------------------------

    def change_configuration(self):
        """Add routes, and find nodes without faults that do not serve them in time."""
        while not self.stopping.wait(self.random.uniform(1.0, 4.0)):
            path = self.publish()
            published_s = time.monotonic()
            if not self.stopping.wait(MAX_APPLY_S):
                self.check_route(path, published_s)

    def check_route(self, path, published_s):
        """Find nodes without faults that return 404 for a route that is due."""
        for name, node in list(self.fleet.nodes.items()):
            if not self.is_fault_free(name, published_s):
                continue
            status = self.request_status(node, path)
            if status == 404 and self.is_fault_free(name, published_s):
                self.add_finding(f"CONFIG: {name} returned 404 for {path}")

    def is_fault_free(self, name, since_s):
        """Return whether a node and the store had no fault lately.

        They had none since ``since_s`` and none in the last ``QUIET_S`` seconds.
        """
        quiet_since_s = min(since_s, time.monotonic() - QUIET_S)
        return (
            self.last_node_fault_s[name] < quiet_since_s
            and self.last_store_fault_s < quiet_since_s
        )

    def drain_upstreams(self):
        """Drain and re-register upstreams; find requests that reach them too late."""
        while not self.stopping.wait(self.random.uniform(2.0, 5.0)):
            name = self.random.choice(sorted(self.fleet.upstreams))
            self.write_upstream(name, "draining", self.entries[name][1])
            left_s = time.monotonic()
            time.sleep(MAX_DRAIN_S)
            runs_in_time = self.list_runs(name)
            time.sleep(0.5)
            late_runs = set(self.list_runs(name)[len(runs_in_time) :])
            if late_runs and all(
                self.is_fault_free(node, left_s) for node in self.fleet.nodes
            ):
                self.add_finding(
                    f"DRAIN: {len(late_runs)} requests reached {name} after the drain"
                )
            self.write_upstream(name, "gone")
            self.write_upstream(name, "ready", int(time.time() * 1000))

    def list_runs(self, name):
        """Return the keys of the requests that an upstream ran."""
        url = f"{self.fleet.upstreams[name].url}/runs"
        return requests.get(url, timeout=10).json()["runs"]

    # The run ---------------------------------------------------------------

    def run(self, length_s):
        """Run callers and faults for ``length_s``, then check what upstreams ran."""
        workers = [self.run_caller] * CALLERS + [
            self.inject_node_faults,
            self.inject_store_faults,
            self.restores.run,
            self.inject_upstream_faults,
            self.change_configuration,
            self.drain_upstreams,
        ]
        threads = [
            threading.Thread(target=self.run_worker, args=(worker,))
            for worker in workers
        ]
        for thread in threads:
            thread.start()
        time.sleep(length_s)
        self.stopping.set()
        for thread in threads:
            thread.join()
        self.check_runs()

    def run_worker(self, worker):
        """Run a worker; an error in it is a finding too, and stops the soak."""
        try:
            worker()
        except Exception as error:
            self.add_finding(f"soak: {worker.__name__}: {error!r}")
            self.stopping.set()

    def check_runs(self):
        """Find requests that ran twice, or ran although they were refused."""
        runs = collections.Counter()
        for name in self.fleet.upstreams:
            runs.update(self.list_runs(name))
        for call in self.calls:
            if call.idempotent:
                continue
            if runs[call.key] > 1:
                self.add_finding(f"TWICE: {call.key} ran {runs[call.key]} times")
            if runs[call.key] and call.status in NOT_RUN_STATUSES:
                self.add_finding(
                    f"REFUSED: {call.key} ran although its status was {call.status}"
                )

    def check_recovery(self):
        """Raise ``FleetError`` if a node does not serve soon after the last fault."""
        session = requests.Session()

        def all_serve():
            self.calls.clear()
            for node in self.fleet.nodes.values():
                self.call(session, node, idempotent=True)
            return all(call.status == 200 for call in self.calls)

        wait_for(all_serve, "every node to serve again", timeout_s=15.0)


def soak(seed, length_s):
    """Run one soak; return its findings and the number of responses by status."""
    with Fleet() as fleet:
        soak_run = Soak(fleet, seed)
        soak_run.start()
        soak_run.run(length_s)
        counts = collections.Counter(call.status for call in soak_run.calls)
        soak_run.check_recovery()
        if soak_run.findings:
            save_logs(fleet, seed)
    return soak_run.findings, counts


def save_logs(fleet, seed):
    """Write the nodes' logs of a run to a file in the directory for temporary files."""
    path = fleet.folder.parent / f"soak-{seed}.log"
    with open(path, "w") as file:
        for name, line in fleet.read_logs():
            file.write(f"{name} {line}\n")
    print(f"seed {seed}: logs in {path}")


def main():
    """Run all seeds, print the findings of each, and return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--length", type=float, default=40.0, help="seconds a seed")
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.first, options.first + options.seeds):
        findings, counts = soak(seed, options.length)
        failed_seeds += bool(findings)
        status_counts = dict(sorted(counts.items()))
        print(f"seed {seed}: {status_counts} {findings[:5]}", flush=True)
    print(f"{options.seeds} seeds, {failed_seeds} with findings")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
