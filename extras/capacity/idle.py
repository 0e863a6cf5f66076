"""Processor time and memory of one idle node, measured on a process."""

import dataclasses
import time

from extras.bench.processes import read_cpu_seconds
from extras.example import NAGYALFOLD_1
from standins.fleet import Fleet

SETTLING_S = 3.0
OBSERVATION_S = 20.0
GOSSIP_PERIOD_MS = 1000


@dataclasses.dataclass(frozen=True)
class IdleUsage:
    """Share of a core and resident megabytes of an idle node."""

    core_share: float
    memory_mb: float


def measure_idle_node():
    """Start one node with the gossip period of production, and measure its usage."""
    with Fleet() as fleet:
        fleet.start_platform()
        changes = {"peers.gossip_period_ms": GOSSIP_PERIOD_MS}
        node = fleet.start_node("vm-1", NAGYALFOLD_1, changes)
        fleet.wait_ready()
        time.sleep(SETTLING_S)
        before = read_cpu_seconds(node.process)
        time.sleep(OBSERVATION_S)
        core_share = (read_cpu_seconds(node.process) - before) / OBSERVATION_S
        with open(f"/proc/{node.process.pid}/status") as file:
            line = next(line for line in file if line.startswith("VmRSS"))
    return IdleUsage(core_share, int(line.split()[1]) / 1024)
