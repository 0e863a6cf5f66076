"""Starts and stops a whole fleet of processes on loopback addresses."""

import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import requests

from comfreyusher.declarations import digest_key
from standins.documents import build_upstream_entry

HOST = "127.0.0.1"
PEER_KEY = "peer-key-for-tests-0001"
OPERATOR_KEY = "operator-key-for-tests-0001"
START_TIMEOUT_S = 30.0
UPSTREAM_TOPIC = "keyed.servers"
REGIONS = {
    "nagyalfold-1": "nagyalfold",
    "nagyalfold-2": "nagyalfold",
    "nyugat-dunantul-1": "nyugat-dunantul",
    "nyugat-dunantul-2": "nyugat-dunantul",
}
STOP_TIMEOUT_S = 20.0


class FleetError(Exception):
    """A process failed to start, or a wait timed out."""


@dataclasses.dataclass(frozen=True)
class Location:
    """A data centre and its region."""

    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True)
class RunningNode:
    """The process, ports and files of a running node."""

    name: str
    location: Location
    process: subprocess.Popen
    callers_port: int
    operators_port: int
    settings_path: str
    log_path: str

    @property
    def callers_url(self):
        """Base URL of the address for callers."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def operators_url(self):
        """Base URL of the address for operators."""
        return f"http://{HOST}:{self.operators_port}"


@dataclasses.dataclass(frozen=True)
class RunningStandin:
    """The process and port of a running stand-in."""

    name: str
    process: subprocess.Popen
    port: int

    @property
    def url(self):
        """Base URL of the stand-in."""
        return f"http://{HOST}:{self.port}"

    def control(self, **faults):
        """Set faults by ``POST /control``, and return the response's JSON."""
        response = requests.post(f"{self.url}/control", json=faults, timeout=10)
        response.raise_for_status()
        return response.json()


def find_free_port():
    """Return a loopback port that was free for TCP and UDP when it was tried.

    Raise ``FleetError`` after 100 ports that were free for TCP only.
    """
    for _ in range(100):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
    raise FleetError("found no port that is free for TCP and UDP")


class Fleet:
    """A platform, upstreams, links and nodes, each in a process of its own.

    ``command`` starts a node's program. As a context manager, a fleet ends its
    processes and removes its files on exit.
    """

    def __init__(self, command=(sys.executable, "-m", "comfreyusher")):
        self.command = list(command)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="comfreyusher-"))
        self.platform = None
        self.nodes = {}
        self.gossip_addresses = {}
        self.upstreams = {}
        self.links = {}
        self.environment = {
            **os.environ,
            "COMFREYUSHER_PEER_KEY": PEER_KEY,
            "COMFREYUSHER_OPERATOR_KEY": OPERATOR_KEY,
        }

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
        self.clean()

    # Starting --------------------------------------------------------------

    def start_platform(self):
        """Start the platform's stand-in."""
        self.platform = self._start_standin("platform", "standins.platform", "0")
        return self.platform

    def start_upstream(self, name, service, location, slots=4):
        """Start an upstream and register it in the store."""
        upstream = self._start_standin(name, "standins.upstream", "0", name, slots)
        self.upstreams[name] = upstream
        self.register_upstream(name, service, location, slots)
        return upstream

    def register_upstream(
        self, name, service, location, slots, state="ready", started_ms=0
    ):
        """Write an upstream's entry into the store, as the upstream would."""
        value = build_upstream_entry(
            service=service,
            address=f"{HOST}:{self.upstreams[name].port}",
            zone=location.data_centre,
            slots=slots,
            state=state,
            born=started_ms,
        )
        self.write_entry(UPSTREAM_TOPIC, name, value)

    def write_entry(self, topic, key, value):
        """Write an entry into the store, or remove it if ``value`` is ``None``."""
        entry = {"topic": topic, "key": key, "value": value}
        response = requests.post(f"{self.platform.url}/entries", json=entry, timeout=10)
        response.raise_for_status()

    def restore_platform(self, age_s):
        """Restore the store from a copy that is some seconds old."""
        self.platform.control(names_era=True)
        copy = {"age_ms": int(age_s * 1000)}
        response = requests.post(f"{self.platform.url}/restore", json=copy, timeout=10)
        response.raise_for_status()

    def start_node_behind_link(self, name, location, overrides=None):
        """Start a node that other nodes reach through a link.

        The link, in ``links``, can drop the traffic to or from the node.
        """
        tcp_port, udp_port, node_tcp_port = (
            find_free_port(),
            find_free_port(),
            find_free_port(),
        )
        all_overrides = {
            "peers.port": node_tcp_port,
            "peers.advertised_port": tcp_port,
            "peers.advertised_gossip_port": udp_port,
            **(overrides or {}),
        }
        gossip_port = find_free_port()
        self.links[name] = self._start_standin(
            f"link of {name}",
            "standins.link",
            "0",
            tcp_port,
            udp_port,
            node_tcp_port,
            gossip_port,
        )
        return self.start_node(name, location, all_overrides, gossip_port)

    def _start_standin(self, name, module, *arguments):
        command = [sys.executable, "-m", module, HOST, *map(str, arguments)]
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, env=self.environment
        )
        line = process.stdout.readline()
        if not line:
            raise FleetError(f"{name} did not start")
        return RunningStandin(name, process, json.loads(line)["port"])

    def start_node(self, name, location, overrides=None, gossip_port=0):
        """Start a node with the default settings.

        ``overrides`` maps names of settings, such as ``callers.tls``, to their values.
        Without ``gossip_port`` a free one is used.
        """
        gossip_port = gossip_port or find_free_port()
        settings = self._settings(name, location, gossip_port)
        self._set_gossip_seeds(settings)
        for path, value in (overrides or {}).items():
            part, _, field = path.partition(".")
            settings.setdefault(part, {})[field] = value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        advertised = settings["peers"].get("advertised_gossip_port", gossip_port)
        self.gossip_addresses[name] = f"{HOST}:{advertised}"
        return self.run_node(name, location, path)

    def _set_gossip_seeds(self, settings):
        """Use the nodes that were started earlier as gossip seeds."""
        settings["fleet"]["gossip_seeds"] = list(self.gossip_addresses.values())

    def run_node(self, name, location, path):
        """Start a node's process with a settings file; wait until it has started."""
        log_path = self.folder / f"{name}-{time.time_ns()}.log"
        with open(log_path, "w") as log:
            process = subprocess.Popen(
                [*self.command, "serve", "--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self.environment,
            )

        def read_first_line():
            line, end, _ = log_path.read_text().partition("\n")
            if not end and process.poll() is not None:
                raise FleetError(f"{name} did not start: {line}")
            return line if end else ""

        line = wait_for(read_first_line, f"{name} to start")
        if not line.startswith('{"callers_port"'):
            raise FleetError(f"{name} did not start: {log_path.read_text()}")
        ports = json.loads(line)
        node = RunningNode(
            name,
            location,
            process,
            ports["callers_port"],
            ports["operators_port"],
            str(path),
            str(log_path),
        )
        self.nodes[name] = node
        return node

    def _settings(self, name, location, gossip_port):
        return {
            "node": {
                "name": name,
                "data_centre": location.data_centre,
                "region": location.region,
            },
            "callers": {"address": f"{HOST}:0", "tls": {"mode": "off"}},
            "peers": {
                "host": HOST,
                "port": 0,
                "gossip_port": gossip_port,
                "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
                "tls": {"mode": "off"},
                "gossip_period_ms": 400,
                "suspicion_ms": 1200,
            },
            "operators": {
                "address": f"{HOST}:0",
                "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}],
            },
            "platform": {"address": f"{HOST}:{self.platform.port}"},
            "fleet": {"regions": REGIONS},
            "shutdown": {"leave_delay_s": 0.5, "flush_timeout_s": 5.0},
        }

    # Operators -------------------------------------------------------------

    def send_operator_request(self, node, path, **arguments):
        """Send a request to a node's address for operators, by POST if it has JSON."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        method = "POST" if "json" in arguments else "GET"
        return requests.request(
            method, node.operators_url + path, headers=headers, timeout=10, **arguments
        )

    def publish(self, node, kind, body, based_on=None):
        """Publish a declaration; return the report once it is settled or in conflict.

        Raise ``FleetError`` if the node refuses the publication.
        """
        publication = {"kind": kind, "body": body, "author": "fleet"}
        if based_on is not None:
            publication["based_on"] = based_on
        response = self.send_operator_request(node, "/publications", json=publication)
        if response.status_code != 202:
            raise FleetError(response.text)
        publish_id = response.json()["publish_id"]

        def fetch_settled_report():
            report = self.send_operator_request(node, f"/publications/{publish_id}")
            if report.status_code != 200:
                return None
            value = report.json()
            return value if value["state"] in ("settled", "conflict") else None

        return wait_for(fetch_settled_report, f"{kind} {body['name']} to settle")

    def wait_in_force(self, offset, timeout_s=START_TIMEOUT_S):
        """Wait until every node has applied the declaration at an offset."""

        def is_in_force():
            return all(
                self.status(node).get("offset", 0) > offset
                for node in self.nodes.values()
            )

        wait_for(is_in_force, f"offset {offset} on every node", timeout_s)

    def status(self, node):
        """Return a node's status, or an empty dictionary if it gives none."""
        response = self.send_operator_request(node, "/status")
        return response.json() if response.status_code == 200 else {}

    def wait_ready(self, node_count=None):
        """Wait until every node is ready and sees all the others.

        ``node_count`` is the number of members to see; by default, all nodes started.
        """
        count = node_count or len(self.nodes)

        def all_ready():
            statuses = [self.status(node) for node in self.nodes.values()]
            return all(
                status.get("ready") and len(status.get("members", ())) == count
                for status in statuses
            )

        wait_for(all_ready, f"{count} nodes to see each other")

    def publish_customer(self, node, name, key):
        """Publish a client account (customer) with one key."""
        body = {"name": name, "key_digests": [digest_key(key)]}
        return self.publish(node, "customer", body)

    # Ending ----------------------------------------------------------------

    def stop_node(self, name, signal_number=signal.SIGTERM):
        """Send a signal to a node, and return its exit status."""
        node = self.nodes.pop(name)
        node.process.send_signal(signal_number)
        return node.process.wait(STOP_TIMEOUT_S)

    def stop(self):
        """Kill every process that this fleet started, also frozen ones."""
        started = [
            *self.nodes.values(),
            *self.upstreams.values(),
            *self.links.values(),
        ]
        if self.platform is not None:
            started.append(self.platform)
        for item in started:
            if item.process.poll() is None:
                item.process.send_signal(signal.SIGCONT)
                item.process.kill()
        for item in started:
            item.process.wait()
            if item.process.stdout is not None:
                item.process.stdout.close()
        self.nodes.clear()
        self.upstreams.clear()
        self.links.clear()

    def clean(self):
        """Remove the folder with the settings and logs of the nodes."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def read_logs(self):
        """Yield the file name and text of each log line of all nodes."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text().splitlines():
                yield path.name, line


def wait_for(condition, description, timeout_s=START_TIMEOUT_S):
    """Return the first true value of a condition.

    Raise ``FleetError`` after ``timeout_s`` without one. Failed HTTP requests count
    as no value.
    """
    due_s = time.monotonic() + timeout_s
    while time.monotonic() < due_s:
        try:
            value = condition()
        except requests.RequestException:
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise FleetError(f"timed out after {timeout_s} s while waiting for {description}")
