"""Processor time of a node's start, without the work of a configuration."""

import dataclasses
import json
import subprocess
import sys

RUNS = 5
PROGRAM = """
import json, time
import comfreyusher.core, comfreyusher.cli._serve
listening_s = time.process_time()
import comfreyusher.node
print(json.dumps([listening_s, time.process_time()]))
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Startup:
    """Processor seconds until a node listens, and until its program is loaded."""

    listening_s: float
    loaded_s: float


def measure_startup():
    """Return the median ``Startup`` of some processes."""
    runs = sorted(_run_once() for _ in range(RUNS))
    return Startup(*runs[RUNS // 2])


def _run_once():
    command = [sys.executable, "-c", PROGRAM]
    output = subprocess.run(command, capture_output=True, check=True).stdout
    return tuple(json.loads(output))
