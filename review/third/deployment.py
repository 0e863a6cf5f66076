"""A small deployment on loopback addresses, started as the deploy file tells.

The platform's store is the project's own stand-in. Nodes are started with the
command of ``deploy/system.toml`` and the settings that its template gives.
"""

import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
PORTS = (15000, 32000)
used_ports = set()
BOUNDS = {
    "drain": "2500ms",
    "config_apply": "2500ms",
    "grace": "6s",
    "retry_budget_ratio": 0.2,
    "retry_window": "10s",
    "budget_slack": 62,
    "floor_share": 0.7,
}
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "health", "pool")


class CaseError(Exception):
    """The case could not run."""


def find_free_port():
    """Return a loopback port that is free for TCP and UDP, a different one each time.

    It is below those that the kernel gives to connections, since a node binds it later.
    """
    for _ in range(1000):
        port = random.randint(*PORTS)
        if port in used_ports:
            continue
        used_ports.add(port)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
    raise CaseError("no free port")


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with times."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self.file.flush()


@dataclasses.dataclass
class Node:
    """A process of the system, and its addresses."""

    name: str
    process: subprocess.Popen
    port: int
    ready_port: int
    path: pathlib.Path
    log_path: pathlib.Path


class Deployment:
    """The store's stand-in and the nodes; ends all of them on exit."""

    def __init__(self, record, contracts=CONTRACTS, bounds=None, zones=None):
        self.record = record
        self.contracts = contracts
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.zones = zones or {"zone-a": "region-a"}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.environment = {**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")}
        self.environment["PYTHONPATH"] += os.pathsep + str(ROOT)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.environment.update(self.role["env"])
        self.processes = []
        self.nodes = {}
        self.store_port = 0
        self.gossip_seeds = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Store -----------------------------------------------------------------

    def start_store(self):
        """Start the stand-in of the platform's store."""
        command = [sys.executable, "-m", "standins.platform", HOST, "0"]
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, env=self.environment, cwd=ROOT
        )
        self.processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise CaseError("the store's stand-in did not start")
        self.store_port = json.loads(line)["port"]

    def call_store(self, path, value):
        """Send a control request to the store's stand-in."""
        request = urllib.request.Request(
            f"http://{HOST}:{self.store_port}{path}",
            json.dumps(value).encode(),
            method="POST",
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.load(response)

    def write_entry(self, topic, key, value):
        """Write an entry as the operator or a server would; ``None`` removes it."""
        self.call_store("/entries", {"topic": topic, "key": key, "value": value})

    def write_configuration(self, version, resources):
        """Write a version of the operator's configuration."""
        value = {"version": f"{version:08x}", "resources": resources}
        self.write_entry("keyed.op", "config", value)

    def register(self, server, state="ready", zone="zone-a"):
        """Write the entry of a server, as the server would."""
        entry = {
            "service": server.service,
            "address": f"{HOST}:{server.port}",
            "zone": zone,
            "version": "v1",
            "slots": server.slots,
            "state": state,
            "warmup_left": "0ms",
            "born": server.born_ms,
            "seq": 1,
        }
        self.write_entry("keyed.servers", server.name, entry)

    # Nodes -----------------------------------------------------------------

    def prepare_node(self, name, zone="zone-a", peers=None):
        """Write the settings of a node; return what is needed to start it.

        ``peers`` replaces settings of its addresses for other nodes.
        """
        ports = {key: find_free_port() for key in ("front", "ready", "control", "peer")}
        settings = self._settings(name, zone, ports)
        settings["peers"].update(peers or {})
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log_path = self.folder / f"{name}.log"
        return Node(name, None, ports["front"], ports["ready"], path, log_path)

    def run_node(self, node):
        """Start the process of a node with the command of the deploy file."""
        words = self.role["run"].split()
        words[0] = sys.executable
        words[-1] = str(node.path)
        with open(node.log_path, "ab") as log:
            node.process = subprocess.Popen(
                words, stdout=log, stderr=log, env=self.environment, cwd=ROOT
            )
        self.processes.append(node.process)
        self.nodes[node.name] = node
        return node

    def start_nodes(self, names, links=None):
        """Start nodes, behind links if given; wait until all of them are ready."""
        peers = {name: links.add(name) if links else {} for name in names}
        ports = [p["advertised_gossip_port"] for p in peers.values() if p]
        self.gossip_seeds = [f"{HOST}:{port}" for port in ports[:3]]
        nodes = [self.prepare_node(name, peers=peers[name]) for name in names]
        for node in nodes:
            self.run_node(node)
        for node in nodes:
            self.wait_ready(node)
        return nodes

    def wait_ready(self, node):
        """Wait until a node answers its readiness path with 200."""
        due_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < due_s:
            if self.is_ready(node):
                return
            if node.process.poll() is not None:
                raise CaseError(f"{node.name} ended: {node.log_path.read_text()}")
            time.sleep(0.05)
        raise CaseError(f"{node.name} did not get ready")

    def is_ready(self, node):
        """Tell whether a node says that it is ready."""
        try:
            url = f"http://{HOST}:{node.ready_port}/readyz"
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def _settings(self, name, zone, ports):
        bounds = self.bounds
        fleet = {
            "seeds": [],
            "gossip_seeds": self.gossip_seeds,
            "regions": self.zones,
            "upstream_drain": bounds["drain"],
            "configuration_apply": bounds["config_apply"],
            "retry_share": bounds["retry_budget_ratio"],
            "retry_slack": bounds["budget_slack"],
            "retry_window": bounds["retry_window"],
            "floor_share": bounds["floor_share"],
        }
        if "quota_window" in bounds:
            fleet["fair_sharing"] = "on"
            fleet["quota_window"] = bounds["quota_window"]
            fleet["quota_overshoot"] = bounds["quota_overshoot"]
            fleet["quota_slack"] = bounds["quota_slack"]
        return {
            "node": {"name": name, "data_centre": zone, "region": self.zones[zone]},
            "callers": {
                "address": f"{HOST}:{ports['front']}",
                "customer_keys": "optional",
                "half_close": "left",
                "tls": {"mode": "off"},
            },
            "peers": {
                "host": HOST,
                "port": ports["peer"],
                "gossip_port": ports["peer"],
                "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
                "tls": {"mode": "off"},
            },
            "operators": {
                "address": f"{HOST}:{ports['control']}",
                "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}],
            },
            "platform": {
                "address": f"{HOST}:{self.store_port}",
                "terms": [*self.contracts, "platform"],
            },
            "fleet": fleet,
            "readiness": {"address": f"{HOST}:{ports['ready']}", "path": "/readyz"},
            "shutdown": {
                "grace": bounds["grace"],
                "leave_delay_s": 2.6,
                "flush_timeout_s": 0.3,
            },
        }


def build_route(name, host, path, service, kind="safe", timeout="6s", **fields):
    """Return a route of a configuration."""
    spec = {
        "hostname": host,
        "path_prefix": path,
        "kind": kind,
        "timeout": timeout,
        "target_latency": "1s",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }
    return {"entry_kind": "routes", "metadata": {"name": name}, "spec": spec}


def build_tenant(name, key, rate_per_s, burst):
    """Return a tenant of a configuration."""
    spec = {"api_keys": [key], "rate_per_s": rate_per_s, "burst": burst}
    return {"entry_kind": "tenants", "metadata": {"name": name}, "spec": spec}


def build_service(name):
    """Return a service of a configuration."""
    return {
        "entry_kind": "services",
        "metadata": {"name": name},
        "spec": {"health_check": "/healthz"},
    }


def build_limits(max_header_bytes=32768):
    """Return the limits of a configuration."""
    spec = {
        "max_header_bytes": max_header_bytes,
        "max_body_bytes": 1048576,
        "header_timeout": "5s",
        "idle_timeout": "60s",
    }
    return {"entry_kind": "limits", "metadata": {"name": "limits"}, "spec": spec}
