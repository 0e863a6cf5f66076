"""What a node loads before it listens for callers, and before it serves them."""

import json
import subprocess
import sys
import unittest

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
