"""Steps for fleets, faults, requests of callers and their checks."""

import collections
import concurrent.futures
import hashlib
import json
import signal
import socket
import subprocess
import sys
import threading
import time

import parse
import requests
from behave import given, register_type, then, when

from extras.example import (
    CUSTOMER_KEYS,
    DUNANTUL_1,
    NAGYALFOLD_1,
    NAGYALFOLD_2,
    NODE_LOCATIONS,
    PROFILES,
    SLOTS,
    build_headers,
)
from standins.documents import build_configuration
from standins.fleet import UPSTREAM_TOPIC, wait_for


@parse.with_pattern(r"node vm-\d+|the owner|the entry")
def parse_node(text):
    """Match the words that name a node."""
    return text


@parse.with_pattern(r"\w+")
def parse_word(text):
    """Match one word."""
    return text


register_type(Node=parse_node, Word=parse_word)
CUSTOMER = "kecskemet-tofu"
ODD_ENTRY = {
    "service": "orders",
    "address": "127.0.0.1:1",
    "zone": "nagyalfold-1",
    "slots": 4,
    "state": "ready",
}
INVALID_ENTRIES = (
    {**ODD_ENTRY, "address": "127.0.0.1:" + "9" * 5000},
    {**ODD_ENTRY, "address": "nowhere.example:80"},
    {**ODD_ENTRY, "slots": 10**30},
    {**ODD_ENTRY, "born": 2**80},
    {**ODD_ENTRY, "warmup_left": "9" * 400 + "s"},
    {"service": "orders"},
    {"service": 7, "address": "127.0.0.1:1", "zone": "z", "slots": 4, "state": "ready"},
    {"service": "orders", "address": "nowhere", "zone": "z", "slots": 4, "state": "?"},
    ["no entry"],
)
LOCATIONS = {
    "nagyalfold-1": NAGYALFOLD_1,
    "nagyalfold-2": NAGYALFOLD_2,
    "nyugat-dunantul-1": DUNANTUL_1,
}
FAST_PROFILE = {
    "name": "fast",
    "floor_share": 0.5,
    "max_wait_ms": 2000,
    "slow_start_ms": 300,
    "detection": {"min_stall_ms": 100, "first_stall_ms": 400, "ejection_ms": 3000},
}
ROUTES = [
    {"prefix": "/sheets", "deadline_ms": 4000},
    {
        "prefix": "/bookings",
        "methods": ["POST"],
        "idempotent": False,
        "deadline_ms": 4000,
    },
    {"prefix": "/uploads", "work_class": "long", "deadline_ms": 60000},
]


class BackgroundRequest(threading.Thread):
    """Sends one request in a thread of its own."""

    def __init__(self, send):
        super().__init__(daemon=True)
        self.send = send
        self.response = None
        self.start()

    def run(self):
        """Send the request, and keep the response or the error."""
        try:
            self.response = self.send()
        except requests.RequestException as error:
            self.response = error


# Fleet ---------------------------------------------------------------------


@given("nodes that end their requests {seconds:g} s after a planned stop")
def limit_drain(context, seconds):
    context.node_overrides["shutdown.drain_timeout_s"] = seconds


@given("a fleet of {nodes:d} nodes before {upstreams:d} upstreams")
def start_fleet(context, nodes, upstreams):
    start_configured_fleet(context, nodes, upstreams, linked=False)


@given("a fleet of {nodes:d} nodes behind links before {upstreams:d} upstreams")
def start_linked_fleet(context, nodes, upstreams):
    start_configured_fleet(context, nodes, upstreams, linked=True)


def start_configured_fleet(context, nodes, upstreams, linked):
    """Start a fleet with one service, with all upstreams in one region.

    Every node is ready, has applied the declarations and forwards requests then.
    """
    fleet = context.fleet
    fleet.start_platform()
    locations = (NAGYALFOLD_1, NAGYALFOLD_2)
    for number in range(1, upstreams + 1):
        location = locations[number % 2]
        fleet.start_upstream(f"up-{number}", "orders", location, context.slots)
    for number in range(1, nodes + 1):
        start_node = fleet.start_node_behind_link if linked else fleet.start_node
        start_node(f"vm-{number}", NODE_LOCATIONS[number % 4], context.node_overrides)
    fleet.wait_ready()
    first_node = fleet.nodes["vm-1"]
    fleet.publish(first_node, "profile", context.profile or FAST_PROFILE)
    service = {
        "name": "orders",
        "profile": "fast",
        "slots": {"nagyalfold": upstreams * context.slots},
        "routes": context.routes or ROUTES,
    }
    fleet.publish(first_node, "service", service)
    for name, key in CUSTOMER_KEYS.items():
        report = fleet.publish_customer(first_node, name, key)
    fleet.wait_in_force(report["offset"])
    if "callers.tls" not in context.node_overrides:
        wait_for(lambda: every_node_forwards(fleet), "upstreams to be known")


def every_node_forwards(fleet):
    """Return whether every node gets a response from an upstream."""
    responses = [
        requests.get(f"{node.callers_url}/sheets/0", headers=build_headers(CUSTOMER))
        for node in fleet.nodes.values()
    ]
    return all(response.status_code == 200 for response in responses)


def find_owner(context, group="orders@nagyalfold"):
    """Return the name of the node that owns a group now."""

    def find():
        for name, node in context.fleet.nodes.items():
            if node.process.poll() is not None:
                continue
            status = context.fleet.status(node)
            if any(owned["name"] == group for owned in status["groups"]):
                return name
        return None

    return wait_for(find, f"an owner of {group}")


def resolve_node(context, words):
    """Return the name of a node from the words of a step.

    The words are ``node vm-1``, ``the owner`` or ``the entry``. The owner is looked up
    once a scenario.
    """
    if words == "the owner":
        if "owner" not in context.shared:
            context.shared["owner"] = find_owner(context)
        return context.shared["owner"]
    if words == "the entry":
        return find_entry(context)
    return words.removeprefix("node ")


def find_entry(context):
    """Return the name of a node that does not own the group."""
    owner = resolve_node(context, "the owner")
    return next(name for name in sorted(context.fleet.nodes) if name != owner)


# Faults --------------------------------------------------------------------


@when("{words:Node} is killed")
def kill_node(context, words):
    name = resolve_node(context, words)
    context.fleet.stop_node(name, signal.SIGKILL)


@when("{words:Node} is frozen")
def freeze_node(context, words):
    node = context.fleet.nodes[resolve_node(context, words)]
    node.process.send_signal(signal.SIGSTOP)


@when("{words:Node} goes on")
def resume_node(context, words):
    node = context.fleet.nodes[resolve_node(context, words)]
    node.process.send_signal(signal.SIGCONT)


@when("{words:Node} is told to end")
def terminate_node(context, words):
    node = context.fleet.nodes[resolve_node(context, words)]
    context.shared["ending_node"] = node
    node.process.send_signal(signal.SIGTERM)


@then("it ends with status {status:d}")
def check_end(context, status):
    node = context.shared["ending_node"]
    assert node.process.wait(30) == status, open(node.log_path).read()
    del context.fleet.nodes[node.name]


@when("what goes {direction} {words:Node} is cut")
def block_direction(context, direction, words):
    link = context.fleet.links[resolve_node(context, words)]
    link.control(**{direction: True})


@when("the links are whole again")
def restore_links(context):
    for link in context.fleet.links.values():
        link.control(**{"to": False, "from": False})


@given("the log is down")
@when("the log is down")
def take_store_down(context):
    context.fleet.platform.control(down="reset")


@when("the log is up again")
def bring_store_up(context):
    context.fleet.platform.control(down="")


@when("the log loses the answer to the next append")
def lose_append_response(context):
    context.fleet.platform.control(lose_answers=1)


@given("the log {fault} to calls")
@when("the log {fault} to calls")
def set_store_fault(context, fault):
    faults = {
        "is silent": {"down": "silent"},
        "is busy": {"down": "busy"},
        "is slow": {"delay_ms": 400},
        "is garbled": {"garble": True},
    }
    context.fleet.platform.control(**faults[fault])


@when("the log answers the next append late")
def delay_append(context):
    context.fleet.platform.control(lose_answers=1, late_ms=1500)


@then(
    "versions that follow silenced connections to the log are in force within "
    "{seconds:g} s"
)
def check_versions_after_silence(context, seconds):
    fleet = context.fleet
    for version in range(1, 5):
        requests.post(f"{fleet.platform.url}/silence", timeout=10)
        fleet.write_entry("keyed.op", "config", build_configuration(version, []))
        wait_for(
            lambda version=version: all(
                fleet.status(node)["published_version"] == version
                for node in fleet.nodes.values()
            ),
            f"version {version} on every node",
            seconds,
        )


@when("the log is compacted")
def compact_store(context):
    requests.post(f"{context.fleet.platform.url}/compact", timeout=10)


@when("upstream {name} {fault}")
def set_upstream_fault(context, name, fault):
    faults = {
        "stalls": {"stall": True},
        "stalls half of its work": {"stall_share": 0.5},
        "flaps": {"stall": True, "flap_ms": 500},
        "works again": {"stall": False, "stall_share": 0.0, "half_answer": False},
        "drains": {"draining": True},
        "answers half": {"half_answer": True},
        "says that it leaves": {"says_leaving": True},
        "refuses with Retry-After 3": {"retry_after": "3"},
        "refuses no more": {"retry_after": ""},
        "names the limit 2": {"limit": "2"},
        "says what nobody can read": {"limit": "-1", "retry_after": ""},
    }
    context.fleet.upstreams[name].control(**faults[fault])


@when("the list shows upstream {name} as leaving")
def register_as_leaving(context, name):
    context.fleet.register_upstream(name, "orders", NAGYALFOLD_1, SLOTS, "draining")


@when("the list no longer shows upstream {name}")
def remove_upstream_entry(context, name):
    context.fleet.write_entry(UPSTREAM_TOPIC, name, None)


@when("the list shows odd entries")
def write_invalid_entries(context):
    for number, value in enumerate(INVALID_ENTRIES):
        context.fleet.write_entry(UPSTREAM_TOPIC, f"odd-{number}", value)


@when("{seconds:g} s pass")
def let_time_pass(context, seconds):
    time.sleep(seconds)


# Requests --------------------------------------------------------------------


def send(
    context, node_name, method, path, key="", body=None, customer=CUSTOMER, **more
):
    """Send one request through a node; ``more`` holds extra headers."""
    headers = build_headers(customer, **more)
    if key:
        headers["Booking"] = key
    url = context.fleet.nodes[node_name].callers_url + path
    return requests.request(method, url, headers=headers, data=body, timeout=60)


def send_lookup(context, node_name, path, headers):
    """Send a lookup, and return its response or the error of a broken one."""
    try:
        return send(context, node_name, "GET", path, **headers)
    except requests.RequestException as error:
        return error


@when("booking {name:Word} is sent through {words:Node}")
def send_booking(context, name, words):
    node_name = resolve_node(context, words)
    response = send(context, node_name, "POST", "/bookings/1", name, b"b")
    context.responses.append(response)


@when("booking {name:Word} taking {work_ms:d} ms is begun through {words:Node}")
def begin_booking(context, name, work_ms, words):
    node_name = resolve_node(context, words)

    def run():
        return send(
            context, node_name, "POST", "/bookings/1", name, b"b", work_ms=str(work_ms)
        )

    context.pending.append(BackgroundRequest(run))
    time.sleep(0.3)


@when("{count:d} lookups are sent through every node")
def send_lookups(context, count):
    send_load(context, count, 8, work_ms="20")


@when("{count:d} lookups of {work_ms:d} ms are sent through every node")
def send_slow_lookups(context, count, work_ms):
    send_load(context, count, 8, work_ms=str(work_ms))


def send_load(context, count, threads, **headers):
    """Send lookups through all nodes, with a number of threads for each node."""
    node_names = list(context.fleet.nodes)
    with concurrent.futures.ThreadPoolExecutor(threads * len(node_names)) as pool:
        futures = [
            pool.submit(send_lookup, context, node_name, f"/sheets/{n}", headers)
            for n in range(count)
            for node_name in node_names
        ]
        context.responses += [future.result() for future in futures]


@when("a lookup that crashes upstreams is sent through {words:Node}")
def send_poison(context, words):
    node_name = resolve_node(context, words)
    context.responses.append(
        send(context, node_name, "GET", "/sheets/poison", crash="yes")
    )


@when("{count:d} bookings that crash upstreams are sent, each to another owner")
def send_poison_to_owners(context, count):
    """Send each, register the crashed upstream anew, and kill the owner."""
    fleet = context.fleet
    for crashes in range(1, count + 1):
        send(context, sorted(fleet.nodes)[0], "GET", f"/sheets/{crashes}")
        owner = find_owner(context)
        entry = next(name for name in sorted(fleet.nodes) if name != owner)
        send(context, entry, "POST", "/bookings/poison", body=b"b", crash="yes")
        fleet.stop_node(owner, signal.SIGKILL)
        time.sleep(0.5)
        for number, upstream in enumerate(fleet.upstreams.values(), start=1):
            if requests.get(f"{upstream.url}/runs", timeout=10).json()["crashes"]:
                location = (NAGYALFOLD_1, NAGYALFOLD_2)[number % 2]
                fleet.register_upstream(
                    f"up-{number}",
                    "orders",
                    location,
                    context.slots,
                    started_ms=int(time.time() * 1000),
                )
        time.sleep(1.0)


@then("every node refuses a lookup that crashes upstreams")
def check_poison_lookup_refused(context):
    for name in context.fleet.nodes:
        response = send(context, name, "GET", "/sheets/poison", crash="yes")
        assert response.status_code == 503, (name, response.status_code, response.text)
        assert "quarantined" in response.text, response.text


@then("every node refuses a booking that crashes upstreams")
def check_poison_refused(context):
    for name in context.fleet.nodes:
        response = send(
            context, name, "POST", "/bookings/poison", body=b"b", crash="yes"
        )
        assert response.status_code == 503, (name, response.status_code, response.text)


@when("an upload of {megabytes:d} MB is begun through {words:Node}")
def begin_upload(context, megabytes, words):
    node_name = resolve_node(context, words)
    digest = hashlib.sha256()
    context.shared["digest"] = digest

    def chunks():
        for number in range(megabytes * 4):
            chunk = bytes([number % 256]) * 262144
            digest.update(chunk)
            yield chunk
            time.sleep(0.01)

    def run():
        return send(context, node_name, "PUT", "/uploads/scan", body=chunks())

    context.pending.append(BackgroundRequest(run))
    time.sleep(0.3)


@when("the pending requests have ended")
def wait_for_pending(context):
    for request in context.pending:
        request.join(60)
        assert not request.is_alive(), "a request got no response"
        context.responses.append(request.response)
    context.pending = []


@then("the upload arrived whole")
def check_upload(context):
    value = context.responses[-1].json()
    assert value["digest"] == context.shared["digest"].hexdigest()


# Responses -------------------------------------------------------------------


def describe_outcome(response):
    """Return the status and outcome of a response as one text."""
    if isinstance(response, Exception):
        return f"broken {type(response).__name__}"
    return f"{response.status_code} {response.headers.get('Comfreyusher-Outcome')}"


def count_outcomes(context):
    """Return the number of responses with each status and outcome."""
    return collections.Counter(
        describe_outcome(response) for response in context.responses
    )


@then("the answer is {status:d} {outcome}")
def check_answer(context, status, outcome):
    response = context.responses[-1]
    actual = describe_outcome(response)
    assert actual == f"{status} {outcome}", (
        actual,
        getattr(response, "text", response),
    )


@then("every answer is {status:d} {outcome}")
def check_answers(context, status, outcome):
    outcomes = count_outcomes(context)
    assert set(outcomes) == {f"{status} {outcome}"}, outcomes


@then("every answer is done or not-run")
def check_done_or_not_run(context):
    outcomes = count_outcomes(context)
    allowed = {"200 done", "503 not-run"}
    assert set(outcomes) <= allowed, outcomes


@then("at least {count:d} answers are {status:d} {outcome}")
def check_response_count(context, count, status, outcome):
    outcomes = count_outcomes(context)
    assert outcomes[f"{status} {outcome}"] >= count, outcomes


@then("every answer matches its own request")
def check_targets(context):
    for response in context.responses:
        if getattr(response, "status_code", 0) == 200:
            path = "/" + response.url.split("/", 3)[3]
            assert response.json()["target"] == path, (response.url, response.text)


def count_runs(context, key):
    """Return how often upstreams ran the request with a key."""
    count = 0
    for upstream in context.fleet.upstreams.values():
        runs = requests.get(f"{upstream.url}/runs", timeout=10).json()["runs"]
        count += runs.count(key)
    return count


@then("booking {name:Word} ran {wanted}")
def check_runs(context, name, wanted):
    count = count_runs(context, name)
    limits = {"once": (1, 1), "at most once": (0, 1), "not at all": (0, 0)}
    low, high = limits[wanted]
    assert low <= count <= high, count


# Standing and membership -----------------------------------------------------


def find_upstream_report(context, name):
    """Return the entry of an upstream in the owner's status, or ``None``."""
    node = context.fleet.nodes[find_owner(context)]
    for group in context.fleet.status(node)["groups"]:
        for upstream in group["upstreams"]:
            if upstream["name"] == name:
                return upstream
    return None


@then("upstream {name} is {standing} within {seconds:g} s")
def check_standing(context, name, standing, seconds):
    def has_standing():
        report = find_upstream_report(context, name)
        return report and report["standing"] == standing

    wait_for(has_standing, f"{name} to be {standing}", seconds)


@then("nobody is ejected")
def check_no_ejection(context):
    for node in context.fleet.nodes.values():
        for group in context.fleet.status(node)["groups"]:
            assert group["ejections"] == 0, group


@then("every node sees {count:d} nodes within {seconds:g} s")
def check_members(context, count, seconds):
    def all_see_members():
        states = [context.fleet.status(n) for n in context.fleet.nodes.values()]
        return all(len(state["members"]) == count for state in states)

    wait_for(all_see_members, f"{count} members", seconds)


@then("upstream {name} gets no new work")
def check_gets_no_requests(context, name):
    upstream = context.fleet.upstreams[name]
    responses = [a for a in context.responses if a.status_code == 200]
    used = {a.json()["upstream"] for a in responses[-20:]}
    assert name not in used, used
    assert upstream.process.poll() is None


def read_arrivals(context, name):
    """Return how many requests an upstream has got."""
    url = context.fleet.upstreams[name].url
    return requests.get(f"{url}/runs", timeout=10).json()["arrivals"]


@when("the arrivals at upstream {name} are counted")
def count_arrivals(context, name):
    context.shared["arrivals"] = read_arrivals(context, name)


@then("at most {count:d} more requests arrived at upstream {name}")
def check_most_arrivals(context, count, name):
    more = read_arrivals(context, name) - context.shared["arrivals"]
    assert more <= count, more


@then("at least {count:d} more requests arrived at upstream {name}")
def check_least_arrivals(context, count, name):
    more = read_arrivals(context, name) - context.shared["arrivals"]
    assert more >= count, more


@when("a copy of the log is made")
def copy_store(context):
    context.fleet.platform.control(names_era=True)
    context.shared["copied_s"] = time.monotonic()


@when("the log is restored from the copy")
def restore_store(context):
    context.fleet.restore_platform(time.monotonic() - context.shared["copied_s"])


@then("the log has the profile {name} again within {seconds:g} s")
def check_profile_in_store(context, name, seconds):
    topic = "keyed.comfreyusher.declarations"
    url = f"{context.fleet.platform.url}/log-newest?topic={topic}&part=0"

    def is_there():
        items = requests.get(url, timeout=10).json()["items"]
        return f"profile/{name}" in [item["key"] for item in items]

    wait_for(is_there, f"the profile {name} in the store", seconds)


# Configuration ---------------------------------------------------------------


@when("two operators publish the profile {name} at the same moment")
def publish_twice(context, name):
    nodes = list(context.fleet.nodes.values())[:2]

    def publish(index):
        body = {**PROFILES[0], "name": name, "max_wait_ms": 100 + index}
        return context.fleet.publish(nodes[index], "profile", body, based_on=0)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.shared["reports"] = list(pool.map(publish, range(2)))


@then("one is in force and the other is told of the conflict")
def check_conflict(context):
    states = sorted(report["state"] for report in context.shared["reports"])
    assert states == ["conflict", "settled"], context.shared["reports"]


@when("an operator publishes the profile {name}")
def publish_profile(context, name):
    node = next(iter(context.fleet.nodes.values()))
    body = {**PROFILES[0], "name": name}
    report = context.fleet.publish(node, "profile", body)
    context.shared["reports"] = [report]


@then("it is settled at revision {revision:d}")
def check_settled(context, revision):
    report = context.shared["reports"][0]
    assert (report["state"], report["revision"]) == ("settled", revision), report


@then("the newest configuration is in force on every node within {seconds:g} s")
def check_in_force(context, seconds):
    offset = max(report["offset"] for report in context.shared["reports"])
    context.fleet.wait_in_force(offset, seconds)


@when("node {name} is replaced")
def replace_node(context, name):
    old_node = context.fleet.nodes[name]
    context.fleet.stop_node(name, signal.SIGKILL)
    path = old_node.settings_path
    context.fleet.run_node(name, old_node.location, path)


@when("all nodes are killed at once and started again")
def restart_all_nodes(context):
    fleet = context.fleet
    old_nodes = dict(fleet.nodes)
    for node in old_nodes.values():
        node.process.send_signal(signal.SIGKILL)
    for name, node in old_nodes.items():
        fleet.stop_node(name, signal.SIGKILL)
        fleet.run_node(name, node.location, node.settings_path)
    fleet.wait_ready()


@then("node {name} serves lookups within {seconds:g} s")
def check_serves(context, name, seconds):
    def served():
        response = send(context, name, "GET", "/sheets/1")
        return response.status_code == 200

    wait_for(served, f"{name} to serve", seconds)


@then("no node ever went back to an earlier offset")
def check_offsets(context):
    for path in context.fleet.folder.glob("*.log"):
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        offsets = [
            line["offset"]
            for line in lines
            if line.get("event") == "declarations in force"
        ]
        assert offsets == sorted(set(offsets)), (path, offsets)


# Accounts --------------------------------------------------------------------


def run_cli(context, *arguments, node_name=None):
    """Run the command line against a node, the first by name if none is given."""
    node = context.fleet.nodes[node_name or sorted(context.fleet.nodes)[0]]
    command = [sys.executable, "-m", "comfreyusher", "--operators", node.operators_url]
    return subprocess.run(
        [*command, *arguments],
        env=context.fleet.environment,
        capture_output=True,
        text=True,
        timeout=120,
    )


@then("the account of {customer} holds all its requests within {seconds:g} s")
def check_account(context, customer, seconds):
    expected_ids = {
        response.headers["Request-Id"]
        for response in context.responses
        if not isinstance(response, Exception) and "Request-Id" in response.headers
    }

    def is_complete():
        exported = run_cli(context, "account", "export", customer)
        context.shared["export"] = exported
        lines = [json.loads(line) for line in exported.stdout.splitlines()]
        exported_ids = {line["request_id"] for line in lines if "request_id" in line}
        customers = {line["customer"] for line in lines if "customer" in line}
        assert customers <= {customer}, customers
        return expected_ids <= exported_ids

    wait_for(is_complete, "the account to be complete", seconds)


@then("the export names no gap")
def check_no_gap(context):
    exported = context.shared["export"]
    assert exported.returncode == 0, exported.stdout[-500:] + exported.stderr


@then("the export names the killed node as a possible gap")
def check_gap(context):
    exported = context.shared["export"]
    gaps = [line for line in exported.stdout.splitlines() if '"gap"' in line]
    assert exported.returncode == 8, exported.returncode
    assert len(gaps) == 1, gaps


# Raw connections -------------------------------------------------------------


@when("these bytes are sent to node {name}")
def send_bytes(context, name):
    text = context.text.replace("\n", "")
    data = text.encode().decode("unicode_escape").encode("latin-1")
    port = context.fleet.nodes[name].callers_port
    key = CUSTOMER_KEYS[CUSTOMER].encode()
    data = data.replace(b"{auth}", b"Authorization: Bearer " + key)
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        sock.sendall(data)
        if context.shared.pop("half_close", False):
            sock.shutdown(socket.SHUT_WR)
        context.shared["raw_response"] = read_to_end(sock)


@given("the caller closes its side after sending")
def half_close(context):
    context.shared["half_close"] = True


def read_to_end(sock):
    """Return all bytes until the peer closes or sends none for 4 s."""
    sock.settimeout(4)
    parts = []
    try:
        while data := sock.recv(65536):
            parts.append(data)
    except (TimeoutError, ConnectionResetError):
        pass
    return b"".join(parts)


@then("the bytes that come back hold {count:d} answers with status {status:d}")
def check_raw_responses(context, count, status):
    raw = context.shared["raw_response"]
    assert raw.count(b"HTTP/1.1 %d " % status) == count, raw


@then("they hold {text}")
def check_raw_text(context, text):
    raw = context.shared["raw_response"]
    assert text.encode() in raw, raw


@then("node {name} is one process that was never restarted")
def check_one_process(context, name):
    pid = context.fleet.nodes[name].process.pid
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        assert not file.read().split(), "the node started a child"


@then("node {name} uses less than {megabytes:d} MB")
def check_memory(context, name, megabytes):
    pid = context.fleet.nodes[name].process.pid
    with open(f"/proc/{pid}/status") as file:
        peak = next(line for line in file if line.startswith("VmHWM"))
    assert int(peak.split()[1]) < megabytes * 1024, peak


# Bursts and limits -----------------------------------------------------------


@given("upstreams of {slots:d} slots and long deadlines")
def set_large_capacity(context, slots):
    context.slots = slots
    context.profile = {**FAST_PROFILE, "max_wait_ms": 80000}
    context.routes = [{**route, "deadline_ms": 80000} for route in ROUTES]


@when("{count:d} mixed requests are sent at the same moment")
def send_burst(context, count):
    ports = [node.callers_port for node in context.fleet.nodes.values()]
    arguments = {"ports": ports, "count": count, "key": CUSTOMER_KEYS[CUSTOMER]}
    command = [sys.executable, "-m", "tests.burst", json.dumps(arguments)]
    burst = subprocess.run(command, capture_output=True, text=True, timeout=200)
    assert burst.returncode == 0, burst.stderr
    context.shared["burst"] = (count, json.loads(burst.stdout.splitlines()[-1]))


@then("every one gets its own answer")
def check_burst(context):
    count, result = context.shared["burst"]
    assert result["wrong"] == [], result["wrong"][:5]
    assert result["outcomes"] == {"200 done": count}, result


@given("callers have {seconds:g} s to send a head")
def set_head_timeout(context, seconds):
    context.node_overrides = {"callers.head_timeout_s": seconds}


@when("an upload of {megabytes:d} MB without a customer is sent to node {name}")
def send_unauthenticated_upload(context, megabytes, name):
    port = context.fleet.nodes[name].callers_port
    size = megabytes << 20
    head = f"PUT /uploads/a HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        sock.sendall(head.encode())
        sent = 0
        try:
            while sent < size:
                sent += sock.send(b"x" * 65536)
        except (BrokenPipeError, ConnectionResetError):
            pass
        context.shared["raw_response"] = read_to_end(sock)
