"""What a node loads before it listens for callers, and before it serves them."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import types
import unittest
import unittest.mock

from comfreyusher.cli._serve import serve
from comfreyusher.context import Context

LISTING = "import sys, json; {}; print(json.dumps(sorted(sys.modules)))"
BEFORE_LISTENING = "import comfreyusher.core, comfreyusher.cli._serve"
WHOLE_NODE = f"{BEFORE_LISTENING}; import comfreyusher.node"
OPERATORS_ONLY = ("circuits.web", "comfreyusher.cli._declarations", "mimetypes")
SLOW_TO_LOAD = ("opentelemetry", "pkg_resources", "prometheus_client", "requests")


def list_modules(statement):
    """Return the modules that a new process has loaded after a statement."""
    command = [sys.executable, "-S", "-c", LISTING.format(statement)]
    environment = {"PYTHONPATH": ":".join(sys.path)}
    output = subprocess.run(command, capture_output=True, check=True, env=environment)
    return set(json.loads(output.stdout))


class StartupTests(unittest.TestCase):
    # Guards against callers that are refused while a node that has lost power loads
    # its program: an import before the listening socket would make them wait again.
    def test_little_is_loaded_before_the_node_listens(self):
        modules = list_modules(BEFORE_LISTENING)
        for name in ("circuits", "thrift", "comfreyusher.flow", *SLOW_TO_LOAD):
            self.assertNotIn(name, modules)

    # Guards against libraries that only operators or exporters use, and that take a
    # third of the time until callers are served.
    def test_a_node_starts_without_what_operators_use(self):
        modules = list_modules(WHOLE_NODE)
        for name in (*OPERATORS_ONLY, *SLOW_TO_LOAD):
            self.assertNotIn(name, modules)

    # Guards against an import that stays blocked for the rest of the process.
    def test_nothing_stays_blocked(self):
        statement = "import comfreyusher.flow, importlib.util as u; u.find_spec('ssl')"
        self.assertNotIn("pkg_resources", list_modules(statement))


class Loaded(Exception):
    """The node would be loaded now."""


class NodeModule(types.ModuleType):
    """Stands in for the node's package, and connects when it is loaded."""

    connected = None

    def __getattr__(self, name):
        if name != "assemble":
            raise AttributeError(name)
        self.connected = socket.create_connection(self.address)
        raise Loaded


class ListeningTests(unittest.TestCase):
    # Guards against callers that are refused until the node's package is loaded.
    def test_callers_can_connect_when_the_node_is_loaded(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()
        text = json.dumps(build_settings("{}:{}".format(*address)))
        module = NodeModule("comfreyusher.node")
        module.address = address
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.json"
            path.write_text(text)
            with unittest.mock.patch.dict(sys.modules, {"comfreyusher.node": module}):
                with self.assertRaises(Loaded):
                    serve.main(
                        ["--settings", str(path)], standalone_mode=False, obj=Context()
                    )
        self.assertIsNotNone(module.connected)
        module.connected.close()


def build_settings(address):
    """Return the settings of a node that listens for callers at an address."""
    tls, key = {"mode": "off"}, [{"environment": "KEY"}]
    return {
        "node": {"name": "a", "data_centre": "d", "region": "r"},
        "callers": {"address": address, "tls": tls},
        "peers": {
            "host": "127.0.0.1",
            "port": 0,
            "gossip_port": 0,
            "keys": key,
            "tls": tls,
        },
        "operators": {"address": "127.0.0.1:0", "keys": key},
        "platform": {"address": "127.0.0.1:1"},
    }
