"""Starting and stopping a whole fleet of processes on loopback addresses."""

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
from standins.documents import upstream_entry

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
    """A process that did not start or a wait that took too long."""


@dataclasses.dataclass(frozen=True)
class Place:
    """A data centre and its region."""

    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True)
class RunningNode:
    """A node's process and addresses."""

    name: str
    place: Place
    process: subprocess.Popen
    callers_port: int
    operators_port: int
    settings_path: str
    log_path: str

    @property
    def callers(self):
        """Base URL for callers."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def operators(self):
        """Base URL for operators."""
        return f"http://{HOST}:{self.operators_port}"


@dataclasses.dataclass(frozen=True)
class RunningStandin:
    """A stand-in's process and address."""

    name: str
    process: subprocess.Popen
    port: int

    @property
    def url(self):
        """Base URL."""
        return f"http://{HOST}:{self.port}"

    def control(self, **faults):
        """Set faults."""
        answer = requests.post(f"{self.url}/control", json=faults, timeout=10)
        answer.raise_for_status()
        return answer.json()


def free_port():
    """Return a port that was free a moment ago, for TCP and UDP."""
    for _ in range(100):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
    raise FleetError("no free port")


class Fleet:
    """Processes of a platform, upstreams and nodes, ended together."""

    def __init__(self, command=(sys.executable, "-m", "comfreyusher")):
        self.command = list(command)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="comfreyusher-"))
        self.platform = None
        self.nodes = {}
        self.gossip_places = {}
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

    def start_upstream(self, name, service, place, slots=4):
        """Start an upstream and put it on the list."""
        upstream = self._start_standin(name, "standins.upstream", "0", name, slots)
        self.upstreams[name] = upstream
        self.list_upstream(name, service, place, slots)
        return upstream

    def list_upstream(self, name, service, place, slots, state="ready", born_ms=0):
        """Write an upstream's entry into the store."""
        value = upstream_entry(
            service=service,
            address=f"{HOST}:{self.upstreams[name].port}",
            zone=place.data_centre,
            slots=slots,
            state=state,
            born=born_ms,
        )
        self.write_entry(UPSTREAM_TOPIC, name, value)

    def write_entry(self, topic, key, value):
        """Write an entry into the store, or drop it with no value."""
        entry = {"topic": topic, "key": key, "value": value}
        answer = requests.post(f"{self.platform.url}/entries", json=entry, timeout=10)
        answer.raise_for_status()

    def start_node_behind_link(self, name, place, changes=None):
        """Start a node that others reach through a link that can be cut."""
        tcp, udp, node_tcp = free_port(), free_port(), free_port()
        found = {
            "peers.port": node_tcp,
            "peers.advertised_port": tcp,
            "peers.advertised_gossip_port": udp,
            **(changes or {}),
        }
        gossip_port = free_port()
        self.links[name] = self._start_standin(
            f"link of {name}", "standins.link", "0", tcp, udp, node_tcp, gossip_port
        )
        return self.start_node(name, place, found, gossip_port)

    def _start_standin(self, name, module, *arguments):
        command = [sys.executable, "-m", module, HOST, *map(str, arguments)]
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, env=self.environment
        )
        line = process.stdout.readline()
        if not line:
            raise FleetError(f"{name} did not start")
        return RunningStandin(name, process, json.loads(line)["port"])

    def start_node(self, name, place, changes=None, gossip_port=0):
        """Start a node and put it on the list."""
        gossip_port = gossip_port or free_port()
        settings = self._settings(name, place, gossip_port)
        self._greet_earlier(settings)
        for path, value in (changes or {}).items():
            part, _, field = path.partition(".")
            settings.setdefault(part, {})[field] = value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        advertised = settings["peers"].get("advertised_gossip_port", gossip_port)
        self.gossip_places[name] = f"{HOST}:{advertised}"
        return self.run_node(name, place, path)

    def _greet_earlier(self, settings):
        """Let a node greet the nodes that were started before it."""
        settings["fleet"]["gossip_seeds"] = list(self.gossip_places.values())

    def run_node(self, name, place, path):
        """Start the process of a node with a settings file."""
        log_path = self.folder / f"{name}-{time.time_ns()}.log"
        with open(log_path, "w") as log:
            process = subprocess.Popen(
                [*self.command, "serve", "--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self.environment,
            )

        def first_line():
            line, end, _ = log_path.read_text().partition("\n")
            if not end and process.poll() is not None:
                raise FleetError(f"{name} did not start: {line}")
            return line if end else ""

        line = wait_for(first_line, f"{name} to start")
        if not line.startswith('{"callers_port"'):
            raise FleetError(f"{name} did not start: {log_path.read_text()}")
        ports = json.loads(line)
        node = RunningNode(
            name,
            place,
            process,
            ports["callers_port"],
            ports["operators_port"],
            str(path),
            str(log_path),
        )
        self.nodes[name] = node
        return node

    def _settings(self, name, place, gossip_port):
        return {
            "node": {
                "name": name,
                "data_centre": place.data_centre,
                "region": place.region,
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

    def ask(self, node, path, **arguments):
        """Ask a node's operators' address."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        method = "POST" if "json" in arguments else "GET"
        return requests.request(
            method, node.operators + path, headers=headers, timeout=10, **arguments
        )

    def publish(self, node, kind, body, based_on=None):
        """Publish a declaration; return the report once it is settled."""
        publication = {"kind": kind, "body": body, "author": "fleet"}
        if based_on is not None:
            publication["based_on"] = based_on
        answer = self.ask(node, "/publications", json=publication)
        if answer.status_code != 202:
            raise FleetError(answer.text)
        publish_id = answer.json()["publish_id"]

        def settled():
            report = self.ask(node, f"/publications/{publish_id}")
            if report.status_code != 200:
                return None
            value = report.json()
            return value if value["state"] in ("settled", "conflict") else None

        return wait_for(settled, f"{kind} {body['name']} to settle")

    def wait_in_force(self, offset, timeout_s=START_TIMEOUT_S):
        """Wait until every node has the configuration at an offset."""

        def reached():
            return all(
                self.status(node).get("offset", 0) > offset
                for node in self.nodes.values()
            )

        wait_for(reached, f"offset {offset} on every node", timeout_s)

    def status(self, node):
        """Return a node's status."""
        answer = self.ask(node, "/status")
        return answer.json() if answer.status_code == 200 else {}

    def wait_ready(self, members=None):
        """Wait until every node serves and sees the others."""
        count = members or len(self.nodes)

        def ready():
            states = [self.status(node) for node in self.nodes.values()]
            return all(
                state.get("ready") and len(state.get("members", ())) == count
                for state in states
            )

        wait_for(ready, f"{count} nodes to see each other")

    def publish_customer(self, node, name, key):
        """Publish a customer with one key."""
        body = {"name": name, "key_digests": [digest_key(key)]}
        return self.publish(node, "customer", body)

    # Ending ----------------------------------------------------------------

    def stop_node(self, name, how=signal.SIGTERM):
        """Signal a node, and return its exit status."""
        node = self.nodes.pop(name)
        node.process.send_signal(how)
        return node.process.wait(STOP_TIMEOUT_S)

    def stop(self):
        """End every process that this fleet started."""
        running = [
            *self.nodes.values(),
            *self.upstreams.values(),
            *self.links.values(),
        ]
        if self.platform is not None:
            running.append(self.platform)
        for one in running:
            if one.process.poll() is None:
                one.process.send_signal(signal.SIGCONT)
                one.process.kill()
        for one in running:
            one.process.wait()
            if one.process.stdout is not None:
                one.process.stdout.close()
        self.nodes.clear()
        self.upstreams.clear()
        self.links.clear()

    def clean(self):
        """Remove the settings and logs of all processes."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def read_logs(self):
        """Yield the log lines of all nodes with the name of their file."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text().splitlines():
                yield path.name, line


def wait_for(condition, what, timeout_s=START_TIMEOUT_S):
    """Return the first true value of a condition, or raise ``FleetError``."""
    due_s = time.monotonic() + timeout_s
    while time.monotonic() < due_s:
        try:
            value = condition()
        except requests.RequestException:
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise FleetError(f"waited {timeout_s} s in vain for {what}")
