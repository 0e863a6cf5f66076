"""What one idle node costs, measured on a real process."""

import dataclasses
import time

from extras.bench.processes import cpu_seconds
from extras.example import NAGYALFOLD_1
from standins.fleet import Fleet

SETTLE_S = 3.0
WATCH_S = 20.0
GOSSIP_PERIOD_MS = 1000


@dataclasses.dataclass(frozen=True)
class Idle:
    """Share of a core and resident megabytes of an idle node."""

    core: float
    memory_mb: float


def measure_idle_node():
    """Start one node with the gossip period of production, and watch it."""
    with Fleet() as fleet:
        fleet.start_platform()
        changes = {"peers.gossip_period_ms": GOSSIP_PERIOD_MS}
        node = fleet.start_node("vm-1", NAGYALFOLD_1, changes)
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        before = cpu_seconds(node.process)
        time.sleep(WATCH_S)
        core = (cpu_seconds(node.process) - before) / WATCH_S
        with open(f"/proc/{node.process.pid}/status") as file:
            line = next(line for line in file if line.startswith("VmRSS"))
    return Idle(core, int(line.split()[1]) / 1024)
