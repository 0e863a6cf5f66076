"""A small deployment on loopback addresses: nodes, the store, backends, clients."""

import asyncio
import json
import os
import pathlib
import secrets
import signal
import socket
import sys
import tempfile
import time

from common.store import Store
from common.upstream import Upstream
from common.wire import Answer, build_request, read_body, read_head

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
NODE_HOSTS = tuple(f"127.0.10.{number}" for number in range(1, 9))
STORE_HOST = "127.0.20.1"
UPSTREAM_HOST = "127.0.30.1"
ROUTE_HOST = "orders.example"
BOUNDS = {
    "drain": "2500ms",
    "grace": "6s",
    "config_apply": "2500ms",
    "retry_budget_ratio": 0.2,
    "retry_window": "10s",
    "budget_slack": 56.0,
    "floor_share": 0.7,
}


class CannotRun(Exception):
    """The case could not be played: a process did not start, or got no ready."""


class Node:
    """A node of the fleet, a process of its own."""

    def __init__(self, name, host, process, ports):
        self.name = name
        self.host = host
        self.process = process
        self.ports = ports

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.returncode is None:
            self.process.send_signal(number)


class World:
    """The processes and stand-ins of one case; ``trouble`` tells whether to disturb."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zone = "nbo-west"
        self.store = Store()
        self.nodes = []
        self.upstreams = []
        self.runs = []
        self.on_head = None
        self.bookings = []
        self.tasks = set()
        self.started_s = time.monotonic()
        self.log = open(folder / "record.txt", "w", encoding="utf-8")
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.ports = _find_ports(5)

    def record(self, text):
        """Write one line into the record, with the seconds since the start."""
        now_s = time.monotonic() - self.started_s
        self.log.write(f"{now_s:8.3f} {text}\n")
        self.log.flush()

    def later(self, coroutine):
        """Run a coroutine beside the case, and return its task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Starting --------------------------------------------------------------

    async def start(self, node_count, routes):
        """Start the store and the nodes, and publish the configuration."""
        await self.store.start(STORE_HOST, self.ports[4])
        self.publish(routes)
        for number in range(node_count):
            self.nodes.append(await self.start_node(number))

    def publish(self, routes, version=1):
        """Write a configuration: ``routes`` maps prefixes to their ``spec``."""
        resources = [
            {
                "entry_kind": "routes",
                "metadata": {"name": f"r-{number}"},
                "spec": {"hostname": ROUTE_HOST, "path_prefix": prefix, **spec},
            }
            for number, (prefix, spec) in enumerate(routes.items())
        ]
        services = sorted({spec["service"] for spec in routes.values()})
        resources += [
            {
                "entry_kind": "services",
                "metadata": {"name": name},
                "spec": {
                    "health_check": "/healthz",
                    "max_conns": 330,
                    "protocol": "h1",
                    "tls": False,
                },
            }
            for name in services
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        }
        resources.append({"entry_kind": "limits", "metadata": {}, "spec": limits})
        value = {"version": f"{version:08x}", "resources": resources}
        self.store.write("keyed.op", "config", value)
        self.record(f"configuration {version} written")

    async def start_upstream(self, name, service, run, slots=4):
        """Start a backend on a free port."""
        upstream = Upstream(self, name, service, run, slots)
        await upstream.start(UPSTREAM_HOST, _find_ports(1)[0])
        self.upstreams.append(upstream)
        return upstream

    def settings(self, number):
        """Return a node's settings: those of ``deploy/node.json.template``."""
        host = NODE_HOSTS[number]
        callers, peers, control, ready, store = self.ports
        return {
            "node": {
                "name": f"edge-{number + 1}",
                "data_centre": self.zone,
                "region": "nairobi",
            },
            "callers": {
                "address": f"{host}:{callers}",
                "customer_keys": "optional",
                "half_close": "left",
                "tls": {"mode": "off"},
            },
            "peers": {
                "host": host,
                "port": peers,
                "gossip_port": peers,
                "keys": [{"environment": "COMFREYUSHER_PEER_KEY"}],
                "tls": {"mode": "off"},
            },
            "operators": {
                "address": f"{host}:{control}",
                "keys": [{"environment": "COMFREYUSHER_OPERATOR_KEY"}],
            },
            "platform": {"address": f"{STORE_HOST}:{store}"},
            "fleet": {
                "seeds": [f"{seed}:{control}" for seed in NODE_HOSTS[:3]],
                "regions": {self.zone: "nairobi"},
                "upstream_drain": BOUNDS["drain"],
                "configuration_apply": BOUNDS["config_apply"],
                "retry_share": BOUNDS["retry_budget_ratio"],
                "retry_slack": BOUNDS["budget_slack"],
                "retry_window": BOUNDS["retry_window"],
                "floor_share": BOUNDS["floor_share"],
            },
            "readiness": {"address": f"{host}:{ready}", "path": "/readyz"},
            "shutdown": {
                "grace": BOUNDS["grace"],
                "leave_delay_s": 2.6,
                "flush_timeout_s": 0.3,
            },
        }

    async def start_node(self, number):
        """Start a node with the command of the deploy file."""
        path = pathlib.Path(self.scratch.name) / f"node-{number}.json"
        path.write_text(json.dumps(self.settings(number)))
        output = open(path.with_suffix(".log"), "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COMFREYUSHER_PEER_KEY": "key-between-the-nodes",
            "COMFREYUSHER_OPERATOR_KEY": "key-of-the-operators",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "comfreyusher", "serve", "--settings", str(path)),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        node = Node(f"edge-{number + 1}", NODE_HOSTS[number], process, self.ports)
        self.record(f"{node.name} started as process {process.pid}")
        return node

    async def wait_ready(self, node, timeout_s=20.0):
        """Wait until a node says that it is ready, as the platform asks it."""
        due_s = time.monotonic() + timeout_s
        while time.monotonic() < due_s:
            answer = await self.ask(node.host, self.ports[3], "GET", "/readyz", {})
            if answer.status == 200:
                self.record(f"{node.name} ready")
                return
            if node.process.returncode is not None:
                raise CannotRun(f"{node.name} ended: {self.node_log(node)[-2000:]}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} not ready: {self.node_log(node)[-2000:]}")

    def node_log(self, node):
        """Return what a node has logged."""
        number = self.nodes.index(node) if node in self.nodes else 0
        path = pathlib.Path(self.scratch.name) / f"node-{number}.log"
        return path.read_text(errors="replace")

    async def settle(self, settle_s=6.0):
        """Wait until all nodes are ready, know each other and are calm."""
        for node in self.nodes:
            await self.wait_ready(node)
        await asyncio.sleep(settle_s)

    # Clients ---------------------------------------------------------------

    async def ask(self, host, port, method, target, headers, body=b"", timeout_s=15.0):
        """Send one request on a new connection; return what came of it."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, port)
            all_headers = {"Host": ROUTE_HOST, **headers}
            writer.write(build_request(method, target, all_headers, body))
            return await asyncio.wait_for(_read_answer(reader), timeout_s)
        except TimeoutError:
            return Answer(error="no answer in time")
        except (OSError, EOFError, ValueError) as error:
            return Answer(error=f"{type(error).__name__}: {error}")
        finally:
            if writer is not None:
                writer.close()

    async def request(self, node, method, target, body=b"", deadline_ms=5000):
        """Send a client's request to a node, with an id of its own; record both."""
        request_id = secrets.token_hex(8)
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        self.record(f"sent id={request_id} {method} {target} to={node.name}")
        answer = await self.ask(node.host, self.ports[0], method, target, headers, body)
        self.record(
            f"client got id={request_id} status={answer.status}"
            f" bytes={len(answer.body)} error={answer.error!r}"
        )
        return request_id, answer

    # Ending ----------------------------------------------------------------

    async def stop(self):
        """End all that this case started."""
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                self.record(self.node_log(node))
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            await node.process.wait()
        for upstream in self.upstreams:
            await upstream.stop()
        if self.store.server is not None:
            self.store.server.close()
        self.log.close()
        self.scratch.cleanup()


async def _read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer(error="closed without an answer")
    status = int(head[0].split(" ", 2)[1])
    body = await read_body(reader, head[1], until_closed=True)
    return Answer(status, head[1], body)


def _find_ports(count):
    """Return ports that are free now."""
    sockets, ports = [], []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
        ports.append(sock.getsockname()[1])
    for sock in sockets:
        sock.close()
    return ports


def play(script, case):
    """Play ``case``, a coroutine function of a world; end with its exit status."""

    async def run():
        world = World(pathlib.Path(script).resolve().parent)
        try:
            return await asyncio.wait_for(case(world), LIMIT_S)
        except (TimeoutError, CannotRun, OSError) as error:
            world.record(f"could not run: {type(error).__name__}: {error}")
            return NOT_RUN
        finally:
            await world.stop()

    sys.exit(asyncio.run(run()))
