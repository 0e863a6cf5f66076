"""A fault soak: real processes on loopback, harmed from outside, promises checked.

Nodes are killed, frozen, ended in turn and cut off by a loopback proxy; the
store's stand-in is silent, resets, answers late and forgets its history; upstreams
stall, cut answers, drain and end. Meanwhile callers keep their connections, and
what they and the upstreams see is checked. Faults overlap and repeat from the
seed; the processes' own timing does not.

``python -m tests.soak --first 1 --seeds 50 --length 40`` plays many. Only
processes that the soak started are ended, by their ids.
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
from standins.documents import build_configuration, route
from standins.fleet import Fleet, wait_for

APPLY_S = 2.5
DRAIN_S = 2.5
CALM_S = 3.0
NODES = 5
UPSTREAMS = 6
SLOTS = 4
CALLERS = 6
SERVICE = "orders"
HOST = "orders.example"
LOCATIONS = (NAGYALFOLD_1, NAGYALFOLD_2, NAGYALFOLD_1, NAGYALFOLD_2, DUNANTUL_1)
NOT_RUN = (408, 421, 429, 503)
NODE_FAULTS = ("kill", "freeze", "end", "cut_to", "cut_from")
STORE_FAULTS = (
    {"down": "silent"},
    {"down": "reset"},
    {"down": "busy"},
    {"delay_ms": 400},
)
STORE_CALM = {"down": "", "delay_ms": 0}
UPSTREAM_FAULTS = ({"stall": True}, {"half_answer": True}, {"slow_factor": 20.0})
UPSTREAM_CALM = {"stall": False, "half_answer": False, "slow_factor": 1.0}
FAULT_LENGTHS_S = (0.3, 1.0, 3.0)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request that a caller made, and what it was told; 0 is a broken answer."""

    key: str
    idempotent: bool
    status: int


def routes_of(extra):
    """Return the operator's routes: one of each kind, and those added later."""
    kinds = [("/read/", "safe"), ("/book/", "unsafe")]
    kinds += [(f"/new-{number}/", "safe") for number in range(extra)]
    return [
        route(path.strip("/"), HOST, path, SERVICE, kind, "4000ms", "1000ms")
        for path, kind in kinds
    ]


class Soak:
    """A running fleet, its faults, and what was seen."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.calls = []
        self.findings = []
        self.ended = threading.Event()
        self.harmed_s = collections.defaultdict(float)
        self.store_harmed_s = 0.0
        self.versions = 0

    # Fleet -----------------------------------------------------------------

    def start(self):
        """Start the processes, and wait until every node serves."""
        fleet = self.fleet
        fleet.start_platform()
        for number in range(UPSTREAMS):
            location = LOCATIONS[number % len(LOCATIONS)]
            fleet.start_upstream(f"up-{number}", SERVICE, location, SLOTS)
        self.publish()
        changes = {
            "callers.customer_keys": "optional",
            "fleet.upstream_drain": f"{DRAIN_S}s",
            "fleet.configuration_apply": f"{APPLY_S}s",
        }
        for number in range(NODES):
            fleet.start_node_behind_link(f"vm-{number}", LOCATIONS[number], changes)
        fleet.wait_ready()

    def publish(self):
        """Let the operator add a route; return its path."""
        self.versions += 1
        value = build_configuration(self.versions, routes_of(self.versions - 1))
        self.fleet.write_entry("keyed.op", "config", value)
        return f"/new-{self.versions - 2}/"

    # Callers ---------------------------------------------------------------

    def call_on(self):
        """Make calls on kept connections until the end."""
        session = requests.Session()
        chance = random.Random(next(self.numbers))
        while not self.ended.is_set():
            nodes = list(self.fleet.nodes.values())
            if nodes:
                self.call(session, chance.choice(nodes), chance.random() < 0.5)
            time.sleep(0.01)

    def call(self, session, node, idempotent):
        """Make one call, and note what came of it."""
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
            answer = session.request(
                method, node.callers_url + path, headers=headers, timeout=8
            )
        except requests.RequestException:
            self.calls.append(Call(key, idempotent, 0))
            return
        self.calls.append(Call(key, idempotent, answer.status_code))
        if answer.status_code == 200:
            self.check_answer(key, path, answer)

    def check_answer(self, key, path, answer):
        """Find answers that are cut, or of another request."""
        try:
            told = json.loads(answer.content)
        except ValueError:
            self.find(f"MIXED: the answer to {key} is not whole")
            return
        if answer.headers.get("X-Request-Id") != key or told["target"] != path:
            self.find(f"MIXED: {key} got {told['target']} of another request")

    def find(self, what):
        """Note a broken promise."""
        with self.lock:
            self.findings.append(what)

    # Faults ----------------------------------------------------------------

    def harm_nodes(self):
        """Harm one node after the other."""
        while not self.ended.wait(self.random.uniform(0.5, 3.0)):
            kind = self.random.choice(NODE_FAULTS)
            name = self.random.choice(sorted(self.fleet.nodes))
            length_s = self.random.choice(FAULT_LENGTHS_S)
            self.harmed_s[name] = float("inf")
            self.harm_node(kind, name, length_s)
            self.harmed_s[name] = time.monotonic()

    def harm_node(self, kind, name, length_s):
        """Harm a node for some time, and mend it."""
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
            how = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            self.fleet.stop_node(name, how)
            time.sleep(length_s)
            self.fleet.run_node(name, node.location, node.settings_path)

    def harm_store(self):
        """Harm the store now and then."""
        while not self.ended.wait(self.random.uniform(3.0, 8.0)):
            self.store_harmed_s = float("inf")
            self.fleet.platform.control(**self.random.choice(STORE_FAULTS))
            time.sleep(self.random.choice(FAULT_LENGTHS_S))
            self.fleet.platform.control(**STORE_CALM)
            if self.random.random() < 0.5:
                requests.post(f"{self.fleet.platform.url}/compact", timeout=10)
            self.store_harmed_s = time.monotonic()

    def harm_upstreams(self):
        """Harm one upstream after the other."""
        while not self.ended.wait(self.random.uniform(0.5, 2.0)):
            name = self.random.choice(sorted(self.fleet.upstreams))
            upstream = self.fleet.upstreams[name]
            upstream.control(**self.random.choice(UPSTREAM_FAULTS))
            time.sleep(self.random.choice(FAULT_LENGTHS_S))
            upstream.control(**UPSTREAM_CALM)

    # Changes and their checks -----------------------------------------------

    def change_configuration(self):
        """Add routes, and find sound nodes that do not serve them in time."""
        while not self.ended.wait(self.random.uniform(1.0, 4.0)):
            path = self.publish()
            acked_s = time.monotonic()
            if not self.ended.wait(APPLY_S):
                self.check_route(path, acked_s)

    def check_route(self, path, acked_s):
        """Find sound nodes that answer 404 for a route that is due."""
        for name, node in list(self.fleet.nodes.items()):
            if not self.is_sound(name, acked_s):
                continue
            headers = {"Host": HOST, "X-Deadline-Ms": "2000"}
            try:
                answer = requests.get(
                    node.callers_url + path, headers=headers, timeout=4
                )
            except requests.RequestException:
                continue
            if answer.status_code == 404 and self.is_sound(name, acked_s):
                self.find(f"CONFIG: {name} does not know {path}")

    def is_sound(self, name, since_s):
        """Tell whether a node and the store were unharmed for long enough."""
        calm_s = min(since_s, time.monotonic() - CALM_S)
        return self.harmed_s[name] < calm_s and self.store_harmed_s < calm_s

    def drain_upstreams(self):
        """Let upstreams leave and return, and find work that reaches them late."""
        while not self.ended.wait(self.random.uniform(2.0, 5.0)):
            name = self.random.choice(sorted(self.fleet.upstreams))
            location = LOCATIONS[int(name[3:]) % len(LOCATIONS)]
            self.fleet.register_upstream(name, SERVICE, location, SLOTS, "draining")
            acked_s = time.monotonic()
            time.sleep(DRAIN_S)
            early = self.runs_of(name)
            time.sleep(0.5)
            late = set(self.runs_of(name)[len(early) :])
            if late and all(self.is_sound(node, acked_s) for node in self.fleet.nodes):
                self.find(f"DRAIN: {len(late)} requests reached {name} late")
            self.fleet.write_entry("keyed.servers", name, None)
            started_ms = int(time.time() * 1000)
            self.fleet.register_upstream(
                name, SERVICE, location, SLOTS, started_ms=started_ms
            )

    def runs_of(self, name):
        """Return the keys that an upstream ran."""
        url = f"{self.fleet.upstreams[name].url}/runs"
        return requests.get(url, timeout=10).json()["runs"]

    # The run ---------------------------------------------------------------

    def run(self, length_s):
        """Play for some time, then check what ran."""
        parts = [self.call_on] * CALLERS + [
            self.harm_nodes,
            self.harm_store,
            self.harm_upstreams,
            self.change_configuration,
            self.drain_upstreams,
        ]
        threads = [threading.Thread(target=self.guard, args=(part,)) for part in parts]
        for thread in threads:
            thread.start()
        time.sleep(length_s)
        self.ended.set()
        for thread in threads:
            thread.join()
        self.check_runs()

    def guard(self, part):
        """Run a part; a failure of the soak itself is a finding too."""
        try:
            part()
        except Exception as error:
            self.find(f"soak: {part.__name__}: {error!r}")
            self.ended.set()

    def check_runs(self):
        """Find requests that ran twice, or ran though they were told not to have."""
        runs = collections.Counter()
        for name in self.fleet.upstreams:
            runs.update(self.runs_of(name))
        for call in self.calls:
            if call.idempotent:
                continue
            if runs[call.key] > 1:
                self.find(f"TWICE: {call.key} ran {runs[call.key]} times")
            if runs[call.key] and call.status in NOT_RUN:
                self.find(f"REFUSED: {call.key} ran and was told {call.status}")

    def check_return(self):
        """Find a fleet that does not serve once everything is mended."""
        session = requests.Session()

        def served():
            self.calls.clear()
            for node in self.fleet.nodes.values():
                self.call(session, node, idempotent=True)
            return all(call.status == 200 for call in self.calls)

        wait_for(served, "every node to serve again", timeout_s=15.0)


def soak(seed, length_s):
    """Return the findings of a run, and how its calls ended."""
    with Fleet() as fleet:
        one = Soak(fleet, seed)
        one.start()
        one.run(length_s)
        counts = collections.Counter(call.status for call in one.calls)
        one.check_return()
        if one.findings:
            keep_logs(fleet, seed)
    return one.findings, counts


def keep_logs(fleet, seed):
    """Write the nodes' logs of a run to a file beside the other temporary ones."""
    path = fleet.folder.parent / f"soak-{seed}.log"
    with open(path, "w") as file:
        for name, line in fleet.read_logs():
            file.write(f"{name} {line}\n")
    print(f"seed {seed}: logs in {path}")


def main():
    """Play seeds, print what each found, and return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--length", type=float, default=40.0, help="seconds a seed")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        findings, counts = soak(seed, options.length)
        broken += bool(findings)
        told = dict(sorted(counts.items()))
        print(f"seed {seed}: {told} {findings[:5]}", flush=True)
    print(f"{options.seeds} seeds, {broken} with findings")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
