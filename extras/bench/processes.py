"""Measurements on processes: latency, idle load, publication and detection times."""

import dataclasses
import json
import subprocess
import sys
import threading
import time

from hdrh.histogram import HdrHistogram

from extras.example import PROFILES, SERVICES, build_headers, start_example
from standins.fleet import wait_for

SEED = 20261204
CUSTOMER = "kecskemet-tofu"
RATE_PER_NODE = 250
RUN_S = 10.0
MICROSECONDS_PER_MS = 1000
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
TARGETS = ("/sheets/1", *(f"/sheets-{number}/1" for number in range(1, 5)))


@dataclasses.dataclass(frozen=True)
class Latency:
    """Quantiles of the latencies of a run, in milliseconds."""

    name: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    outcomes: dict


def build_services():
    """Return the example's services and more lookup services.

    With one lookup service of two groups, two of four nodes would own all groups
    of lookups.
    """
    services = list(SERVICES)
    for number in range(1, 5):
        name = f"sheets-{number}"
        routes = [{"prefix": f"/{name}", "deadline_ms": 2000}]
        services.append({**SERVICES[0], "name": name, "routes": routes})
    return services


def run_load(name, ports, rate, headers, length_s=RUN_S, targets=TARGETS):
    """Run the load driver as a process, and return its ``Latency``."""
    options = {
        "ports": ports,
        "rate": rate,
        "length_s": length_s,
        "seed": SEED,
        "targets": targets,
        "headers": headers,
    }
    command = [sys.executable, "-m", "extras.bench.load", json.dumps(options)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    report = json.loads(done.stdout.splitlines()[-1])
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in report["latencies_ms"]:
        histogram.record_value(max(1, int(latency * MICROSECONDS_PER_MS)))
    quantiles = [
        histogram.get_value_at_percentile(share) / MICROSECONDS_PER_MS
        for share in (50, 99, 99.9)
    ]
    return Latency(name, len(report["latencies_ms"]), *quantiles, report["outcomes"])


def read_cpu_seconds(process):
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure_latency(fleet):
    """Return direct and proxied latencies at increasing rates."""
    headers = build_headers(CUSTOMER, work_ms="10")
    upstreams = [u for n, u in fleet.upstreams.items() if "sheets" in n]
    nodes = list(fleet.nodes.values())
    rows = []
    for rate in (25, 100, RATE_PER_NODE):
        direct_ports = [upstream.port for upstream in upstreams]
        total = rate * len(nodes)
        rows.append(
            run_load(
                f"direct, {total}/s", direct_ports, total / len(direct_ports), headers
            )
        )
        ports = [node.callers_port for node in nodes]
        rows.append(run_load(f"fleet, {rate}/s a node", ports, rate, headers))
    return rows


def measure_idle(fleet, length_s=10.0):
    """Return the share of a core that each idle node uses, by name."""
    before = {name: read_cpu_seconds(n.process) for name, n in fleet.nodes.items()}
    time.sleep(length_s)
    return {
        name: (read_cpu_seconds(n.process) - before[name]) / length_s
        for name, n in fleet.nodes.items()
    }


def measure_in_force(fleet, times=5):
    """Return the seconds from each publication until it is in force on all nodes."""
    node = next(iter(fleet.nodes.values()))
    durations_s = []
    for number in range(times):
        body = {**PROFILES[0], "name": f"bench-{number}"}
        started = time.monotonic()
        report = fleet.publish(node, "profile", body)
        fleet.wait_in_force(report["offset"])
        durations_s.append(time.monotonic() - started)
    return durations_s


def measure_detection(fleet):
    """Return the seconds from the stall of a loaded upstream to its ejection."""
    nodes = list(fleet.nodes.values())
    ports = [node.callers_port for node in nodes]
    headers = build_headers(CUSTOMER, work_ms="20")
    name = "round-sheets-nagyalfold-2"
    load = threading.Thread(
        target=run_load, args=("load", ports, 25, headers, 8.0, TARGETS[:1])
    )
    load.start()
    time.sleep(4.0)
    started = time.monotonic()
    fleet.upstreams[name].control(stall=True)

    def find_ejection():
        event_text = f'"event":"ejected","upstream":"{name}"'
        logs = [open(node.log_path).read() for node in nodes]
        return (
            time.monotonic() - started
            if any(event_text in log for log in logs)
            else None
        )

    detection_s = wait_for(find_ejection, "the ejection", 10)
    load.join()
    fleet.upstreams[name].control(stall=False)
    return detection_s


def run_processes():
    """Start a fleet, and return the results of all measurements on it."""
    fleet = start_example(services=build_services())
    try:
        idle = measure_idle(fleet)
        in_force = measure_in_force(fleet)
        latency = measure_latency(fleet)
        detection = measure_detection(fleet)
    finally:
        fleet.stop()
        fleet.clean()
    return idle, in_force, latency, detection
