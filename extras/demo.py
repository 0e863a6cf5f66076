"""The demo: a whole fleet on loopback, real requests, one trace, then the end.

With ``--stay`` the fleet stays up until Ctrl-C.
"""

import signal
import subprocess
import sys

import requests

from extras.example import headers_of, start_example
from standins.fleet import Fleet, FleetError

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
TRACE_PARENT = f"00-{TRACE_ID}-00f067aa0ba902b7-01"
UPLOAD_BYTES = 3_000_000
CUSTOMER = "kecskemet-tofu"


def send_requests(fleet):
    """Send the three kinds of requests through two nodes each."""
    first, second = list(fleet.nodes.values())[:2]
    for node in (first, second):
        show("lookup", node, requests.get, "/sheets/2026-12-04", trace=True)
        show("booking", node, requests.post, "/confirmations", b"crate 7")
        upload = b"x" * UPLOAD_BYTES
        show("upload", node, requests.put, "/uploads/cold-chain.csv", upload)


def show(kind, node, send, path, body=None, trace=False):
    """Send one request and print its outcome."""
    headers = headers_of(CUSTOMER)
    if trace:
        headers["traceparent"] = TRACE_PARENT
    answer = send(node.callers_url + path, data=body, headers=headers, timeout=30)
    outcome = answer.headers.get("Comfreyusher-Outcome")
    upstream = answer.headers.get("Comfreyusher-Upstream", "none")
    print(f"{kind:8} via {node.name}: {answer.status_code} {outcome} by {upstream}")
    if answer.status_code != 200 or outcome != "done":
        raise FleetError(f"{kind} via {node.name}: {answer.text}")


def show_trace(fleet):
    """Print the spans of one trace from all nodes, hop by hop."""
    spans = []
    for node in fleet.nodes.values():
        spans.extend(fleet.send_operator_request(node, f"/traces/{TRACE_ID}").json())
    print(f"trace {TRACE_ID}:")
    for span in sorted(spans, key=lambda span: span["start_s"]):
        attributes = span["attributes"]
        place = attributes.get("comfreyusher.upstream") or attributes.get(
            "comfreyusher.owner", ""
        )
        print(
            f"  {span['name']:9} on {span['node'].partition('.')[0]:5} "
            f"{span['duration_ms']:7.2f} ms  {place}"
        )
    if len({span["name"] for span in spans}) < 3:
        raise FleetError("the trace lacks hops")


def show_in_force(fleet):
    """Print on how many nodes of each data centre the newest offset is in force."""
    offsets = {}
    for node in fleet.nodes.values():
        place = offsets.setdefault(node.location.data_centre, [])
        place.append(fleet.status(node)["offset"])
    newest = max(max(found) for found in offsets.values())
    for name, found in sorted(offsets.items()):
        count = found.count(newest)
        print(f"in force at {name}: offset {newest} on {count} of {len(found)} nodes")


def stay(fleet):
    """Print the addresses, and wait for Ctrl-C."""
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
    """End every node by SIGTERM, all at once, and check their exit statuses."""
    processes = {name: node.process for name, node in fleet.nodes.items()}
    for process in processes.values():
        process.send_signal(signal.SIGTERM)
    for name, process in processes.items():
        try:
            status = process.wait(30)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not end") from error
        if status != 0:
            raise FleetError(f"{name} ended with status {status}")
    print(f"{len(processes)} nodes ended gracefully")


def main(arguments):
    """Run the demo and return its exit status."""
    staying = "--stay" in arguments
    with Fleet() as fleet:
        try:
            start_example(fleet)
            if staying:
                stay(fleet)
            else:
                print(f"{len(fleet.nodes)} nodes, {len(fleet.upstreams)} upstreams")
                send_requests(fleet)
                show_trace(fleet)
                show_in_force(fleet)
            stop_gracefully(fleet)
        except (FleetError, requests.RequestException) as error:
            for name, line in fleet.read_logs():
                print(f"{name}: {line}", file=sys.stderr)
            print(f"demo: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
