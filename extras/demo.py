"""Demo: starts a fleet on loopback, sends requests, prints a trace, and ends.

With ``--stay`` the fleet runs until Ctrl-C.
"""

import signal
import subprocess
import sys

import requests

from extras.example import build_headers, start_example
from standins.fleet import Fleet, FleetError

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
TRACE_PARENT = f"00-{TRACE_ID}-00f067aa0ba902b7-01"
UPLOAD_BYTES = 3_000_000
CUSTOMER = "kecskemet-tofu"


def send_requests(fleet):
    """Send the three kinds of requests through two nodes each."""
    first, second = list(fleet.nodes.values())[:2]
    for node in (first, second):
        send_and_print("lookup", node, requests.get, "/sheets/2026-12-04", trace=True)
        send_and_print("booking", node, requests.post, "/confirmations", b"crate 7")
        upload = b"x" * UPLOAD_BYTES
        send_and_print("upload", node, requests.put, "/uploads/cold-chain.csv", upload)


def send_and_print(kind, node, send, path, body=None, trace=False):
    """Send one request with ``send``, a function of requests, and print its outcome."""
    headers = build_headers(CUSTOMER)
    if trace:
        headers["traceparent"] = TRACE_PARENT
    response = send(node.callers_url + path, data=body, headers=headers, timeout=30)
    outcome = response.headers.get("Comfreyusher-Outcome")
    upstream = response.headers.get("Comfreyusher-Upstream", "none")
    print(f"{kind:8} via {node.name}: {response.status_code} {outcome} by {upstream}")
    if response.status_code != 200 or outcome != "done":
        raise FleetError(f"{kind} via {node.name}: {response.text}")


def print_trace(fleet):
    """Print the spans of one trace from all nodes, in order of their start."""
    spans = []
    for node in fleet.nodes.values():
        spans.extend(fleet.send_operator_request(node, f"/traces/{TRACE_ID}").json())
    print(f"trace {TRACE_ID}:")
    for span in sorted(spans, key=lambda span: span["start_s"]):
        attributes = span["attributes"]
        target = attributes.get("comfreyusher.upstream") or attributes.get(
            "comfreyusher.owner", ""
        )
        print(
            f"  {span['name']:9} on {span['node'].partition('.')[0]:5} "
            f"{span['duration_ms']:7.2f} ms  {target}"
        )
    if len({span["name"] for span in spans}) < 3:
        raise FleetError("the trace has fewer than three kinds of spans")


def print_in_force(fleet):
    """Print how many nodes of each data centre have the newest offset in force."""
    offsets = {}
    for node in fleet.nodes.values():
        node_offsets = offsets.setdefault(node.location.data_centre, [])
        node_offsets.append(fleet.status(node)["offset"])
    newest = max(max(values) for values in offsets.values())
    for name, values in sorted(offsets.items()):
        count = values.count(newest)
        print(f"in force at {name}: offset {newest} on {count} of {len(values)} nodes")


def run_until_interrupted(fleet):
    """Print the addresses, and wait for SIGINT or SIGTERM."""
    for node in fleet.nodes.values():
        print(f"callers: {node.callers_url}")
    for node in fleet.nodes.values():
        print(f"operators: {node.operators_url}")
    for upstream in fleet.upstreams.values():
        print(f"upstream: {upstream.url}")
    print(f"platform: {fleet.platform.url}")
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: None)
    print("ready", flush=True)
    signal.pause()


def stop_gracefully(fleet):
    """Send SIGTERM to all nodes at once, and check their exit statuses."""
    processes = {name: node.process for name, node in fleet.nodes.items()}
    for process in processes.values():
        process.send_signal(signal.SIGTERM)
    for name, process in processes.items():
        try:
            status = process.wait(30)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not end within 30 s of SIGTERM") from error
        if status != 0:
            raise FleetError(f"{name} ended with status {status}")
    print(f"{len(processes)} nodes ended gracefully")


def main(arguments):
    """Run the demo and return its exit status."""
    keep_running = "--stay" in arguments
    with Fleet() as fleet:
        try:
            start_example(fleet)
            if keep_running:
                run_until_interrupted(fleet)
            else:
                print(f"{len(fleet.nodes)} nodes, {len(fleet.upstreams)} upstreams")
                send_requests(fleet)
                print_trace(fleet)
                print_in_force(fleet)
            stop_gracefully(fleet)
        except (FleetError, requests.RequestException) as error:
            for name, line in fleet.read_logs():
                print(f"{name}: {line}", file=sys.stderr)
            print(f"demo: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
