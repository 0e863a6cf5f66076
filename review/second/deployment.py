"""A small deployment on loopback addresses: a store, backends and nodes.

The store is the project's own stand-in, in a process of its own. A node is started
with the command of the deploy file, and settings in the shape of its template.
Backends run in the process of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

from review.second import http1

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEAT_S = 1.5
PORTS = (15000, 30000)
KEYS = {
    "COMFREYUSHER_PEER_KEY": "replace-this-key-between-the-nodes",
    "COMFREYUSHER_OPERATOR_KEY": "replace-this-key-of-the-operators",
}
used_ports = set()
ZONES = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The events of a case, written to ``record.txt`` beside its script."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started_s = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.started_s

    def write(self, text):
        """Write one event with its time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def find_free_port():
    """Return a loopback port that is free for TCP and UDP, another one each time.

    The kernel takes ports from above these for outgoing connections.
    """
    for _ in range(1000):
        port = random.randrange(*PORTS)
        if port in used_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        used_ports.add(port)
        return port
    raise CannotRun("no free port")


class Backend:
    """A backend that keeps to the protocol; ``respond`` decides on its answers.

    ``respond`` is a coroutine of the backend, the request and the writer. It returns
    whether the connection is kept.
    """

    def __init__(self, record, name, service, respond, slots=4, zone="a-1"):
        self.record = record
        self.name = name
        self.service = service
        self.respond = respond
        self.slots = slots
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.port = 0
        self.server = None
        self.runs = []

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            keep = True
            while keep:
                request = await http1.read_head(reader)
                if request is None:
                    break
                keep = await self.handle(reader, writer, request)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, request):
        """Read the rest of a request and answer it; return whether to keep on."""
        expected = request.headers.get("x-expect-instance", self.name)
        await http1.read_body(reader, request)
        if not request.complete:
            return False
        if expected != self.name:
            await self.send(writer, request, 421, [("X-Instance-Id", self.name)])
            return True
        return await self.respond(self, request, writer)

    def run(self, request):
        """Record that the backend works on a request."""
        request_id = request.headers.get("x-request-id", "")
        self.runs.append((self.record.now(), request_id))
        self.record.write(
            f"run id={request_id} backend={self.name} {request.method} "
            f"{request.target} bytes={len(request.body)}"
        )

    async def send(self, writer, request, status, headers=(), body=b"", seal=False):
        """Send a whole answer."""
        request_id = request.headers.get("x-request-id", "")
        own = [("X-Request-Id", request_id), ("Content-Length", str(len(body)))]
        if seal:
            own.append(("X-Response-Seal", f"seal.{request_id}"))
        line = f"HTTP/1.1 {status} Status"
        writer.write(http1.encode(line, [*own, *headers], body))
        await writer.drain()

    def entry(self):
        """Return what the backend says of itself in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self.sequence,
            "born": self.born,
        }


class Deployment:
    """The processes of a case and their settings."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = []
        self.store_port = 0
        self.nodes = {}
        self.backends = []
        self.beating = None

    # Store -----------------------------------------------------------------

    def start_store(self):
        """Start the project's stand-in of the store."""
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.platform", HOST, "0"],
            cwd=ROOT,
            env=self._environment(),
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise CannotRun("the store did not start")
        self.store_port = json.loads(line)["port"]

    def control_store(self, path, **values):
        """Send a control request to the stand-in of the store."""
        request = urllib.request.Request(
            f"http://{HOST}:{self.store_port}{path}",
            json.dumps(values).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.load(response)

    def write_entry(self, topic, key, value):
        """Write an entry as the operator or a backend would."""
        self.control_store("/entries", topic=topic, key=key, value=value)

    def write_configuration(self, version, routes, services, accounts=None):
        """Write the operator's configuration; ``accounts`` maps names to specs."""
        resources = [
            {"entry_kind": "routes", "metadata": {"name": name}, "spec": spec}
            for name, spec in routes.items()
        ]
        for name in services:
            spec = {"health_check": "/healthz", "max_conns": 330}
            spec |= {"protocol": "h1", "tls": False}
            resources.append(
                {"entry_kind": "services", "metadata": {"name": name}, "spec": spec}
            )
        for name, spec in (accounts or {}).items():
            entry = {"entry_kind": "tenants", "metadata": {"name": name}}
            resources.append(entry | {"spec": spec})
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        resources.append({"entry_kind": "limits", "metadata": {}, "spec": limits})
        value = {"version": f"{version:08x}", "base_version": f"{version - 1:08x}"}
        self.write_entry("keyed.op", "config", value | {"resources": resources})

    def write_backend(self, backend):
        """Write a backend's entry."""
        self.write_entry("keyed.servers", backend.name, backend.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for backend in list(self.backends):
                await asyncio.to_thread(self.write_backend, backend)

    async def add_backend(self, backend):
        """Start a backend and register it; it writes a heartbeat from then on."""
        await backend.start()
        await asyncio.to_thread(self.write_backend, backend)
        self.backends.append(backend)
        if self.beating is None:
            self.beating = asyncio.ensure_future(self._beat())

    # Nodes -----------------------------------------------------------------

    def _environment(self):
        allowed = ("PATH", "HOME", "LANG")
        kept = {name: os.environ[name] for name in allowed if name in os.environ}
        return kept | KEYS | {"PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}"}

    def add_node(self, name, zone="a-1", fleet=None, shutdown=None):
        """Write the settings of a node; ``start_node`` starts it."""
        ports = [find_free_port() for _ in range(5)]
        front, peer, control, ready, metrics = ports
        known = list(self.nodes.values())
        settings = {
            "node": {"name": name, "data_centre": zone, "region": ZONES[zone]},
            "callers": {
                "address": f"{HOST}:{front}",
                "customer_keys": "optional",
                "half_close": "left",
                "tls": {"mode": "off"},
            },
            "peers": {
                "host": HOST,
                "port": peer,
                "gossip_port": peer,
                "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
                "tls": {"mode": "off"},
            },
            "operators": {
                "address": f"{HOST}:{control}",
                "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}],
            },
            "platform": {
                "address": f"{HOST}:{self.store_port}",
                "terms": ["base", "drain", "config", "cost"]
                + ["retry", "recover", "health", "platform"],
            },
            "fleet": {
                "seeds": [],
                "gossip_seeds": [f"{HOST}:{node['peer']}" for node in known],
                "regions": ZONES,
                "upstream_drain": "2500ms",
                "configuration_apply": "2500ms",
                "retry_share": 0.2,
                "retry_slack": 56,
                "retry_window": "10s",
                "floor_share": 0.7,
                **(fleet or {}),
            },
            "readiness": {"address": f"{HOST}:{ready}", "path": "/readyz"},
            "metrics": {"address": f"{HOST}:{metrics}", "path": "/metrics"},
            "shutdown": {
                "grace": "6s",
                "leave_delay_s": 2.6,
                "flush_timeout_s": 0.3,
                **(shutdown or {}),
            },
        }
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self.nodes[name] = {
            "path": path,
            "front": front,
            "peer": peer,
            "ready": ready,
            "process": None,
        }

    def start_node(self, name):
        """Start a node with the command of the deploy file."""
        node = self.nodes[name]
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "a")
        node["process"] = subprocess.Popen(
            ["python3", "-m", "comfreyusher", "serve", "--settings", str(node["path"])],
            cwd=ROOT,
            env=self._environment(),
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.processes.append(node["process"])

    def signal_node(self, name, number):
        """Send a signal to a node that this script started."""
        self.record.write(f"signal {signal.Signals(number).name} to {name}")
        self.nodes[name]["process"].send_signal(number)

    async def wait_ready(self, name, timeout_s=25.0):
        """Wait until a node answers 200 at its readiness address."""
        due_s = time.monotonic() + timeout_s
        while time.monotonic() < due_s:
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{name} is not ready\n{self.read_log(name)[-2000:]}")

    async def is_ready(self, name):
        """Ask a node whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.nodes[name]["ready"]
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n")
            head = await asyncio.wait_for(http1.read_head(reader), 2.0)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return head is not None and head.status == 200

    def read_log(self, name):
        """Return what a node has written."""
        path = pathlib.Path(self.folder.name) / f"{name}.log"
        return path.read_text() if path.exists() else ""

    def stop(self):
        """End every process that this deployment started."""
        if self.beating is not None:
            self.beating.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


def run_case(folder, case, limit_s=100.0):
    """Run a case, and return its exit status: 0 held, 1 broken, 2 cannot run.

    ``case`` is a coroutine of the deployment, the record and whether to disturb.
    It returns whether the rule held.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"start trouble={int(trouble)}")

    async def play():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record, trouble), limit_s)
        finally:
            for name in deployment.nodes:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    pathlib.Path(keep, f"{name}.log").write_text(
                        deployment.read_log(name)
                    )
            deployment.stop()

    try:
        held = asyncio.run(play())
    except (TimeoutError, CannotRun, OSError) as error:
        record.write(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
        return 2
    record.write("the rule held" if held else "the rule was broken")
    return 0 if held else 1
