"""The holder of a tenant's quota is cut off, and lends on beside its successor."""

import bisect
import http.client
import os
import sys
import threading
import time

from review.third.deployment import (
    HOST,
    CaseError,
    Deployment,
    Record,
    build_limits,
    build_route,
    build_service,
    build_tenant,
)
from review.third.links import Links
from review.third.server import Server

NODES = tuple(f"n{number}" for number in range(1, 13))
TENANT, KEY = "club-a", "key-of-club-a"
HOLDER = 9  # n10 comes first in the order of the nodes for this tenant
RATE_PER_S = 60
BURST = 30
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
OFFICE_PER_S = 1.2 * RATE_PER_S
STEADY_S = 10.0
CUT_S = 11.5
SENDERS = 40


class Office(threading.Thread):
    """Sends requests of the tenant at a rate to one node, on kept connections."""

    def __init__(self, name, node, per_s, record):
        super().__init__(daemon=True)
        self.name = name
        self.node = node
        self.per_s = per_s
        self.record = record
        self.ended = threading.Event()
        self.sent = {}
        self.statuses = {}

    def run(self):
        """Send the requests from several threads, evenly spread in time."""
        started_s = time.monotonic()
        for sender in range(SENDERS):
            first_s = started_s + sender / self.per_s
            threading.Thread(
                target=self._send_all, args=(sender, first_s), daemon=True
            ).start()

    def _send_all(self, sender, due_s):
        """Send a request at fixed intervals; one that is due too early is left out."""
        connection = http.client.HTTPConnection(HOST, self.node.port, timeout=5)
        number = 0
        while not self.ended.is_set():
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._send(connection, f"{self.name}-{sender}-{number}")
            number += 1
            while due_s < time.monotonic():
                due_s += SENDERS / self.per_s

    def _send(self, connection, request_id):
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {KEY}",
        }
        self.sent[request_id] = time.monotonic()
        try:
            connection.request("GET", "/fees/x?work_ms=20", headers=headers)
            response = connection.getresponse()
            response.read()
            self.statuses[request_id] = response.status
        except (OSError, http.client.HTTPException) as error:
            self.statuses[request_id] = repr(error)
            connection.close()


def find_fullest_window(times):
    """Return the most entries in a window, and when that window begins.

    An entry is the time when a request was sent and the time when it ran.
    """
    best, best_s = 0, 0.0
    for start_s, _ in times:
        ends = [ran for sent, ran in times if sent >= start_s]
        count = bisect.bisect_right(sorted(ends), start_s + WINDOW_S)
        if count > best:
            best, best_s = count, start_s
    return best, best_s


def report(offices, ran_s, record, started_s):
    """Write what each office sent and what ran, second by second."""
    for office in offices:
        by_second = {}
        for request_id, sent_s in office.sent.items():
            counts = by_second.setdefault(int(sent_s - started_s), [0, 0, 0])
            counts[0] += 1
            counts[1] += request_id in ran_s
            counts[2] += office.statuses.get(request_id) == 429
        for second, (sent, ran, refused) in sorted(by_second.items()):
            record.write(
                f"office {office.name} at {office.node.name}, second {second}:"
                f" sent {sent}, ran {ran}, 429: {refused}"
            )


def run(trouble, record):
    """Play the case; return whether the rule was broken."""
    quota = {"quota_window": "5s", "quota_overshoot": OVERSHOOT, "quota_slack": SLACK}
    bounds = {"drain": "3000ms", "config_apply": "3000ms", "budget_slack": 206, **quota}
    contracts = ("base", "drain", "config", "cost", "retry", "recover", "health")
    contracts += ("pool", "tenants", "quota", "pressure")
    with Deployment(record, contracts, bounds) as deployment:
        deployment.start_store()
        servers = [Server(f"i-{n}", "fees", record, slots=20) for n in (1, 2)]
        route = build_route("fees", "a.example", "/fees/", "fees", timeout="3s")
        tenant = build_tenant(TENANT, KEY, RATE_PER_S, BURST)
        resources = [route, build_service("fees"), build_limits(), tenant]
        deployment.write_configuration(1, resources)
        for server in servers:
            deployment.register(server)
        links = Links()
        nodes = deployment.start_nodes(NODES, links)
        time.sleep(6)
        started_s = time.monotonic()
        main = Office("main", nodes[HOLDER], OFFICE_PER_S, record)
        other = Office("other", nodes[2], OFFICE_PER_S, record)
        for office in (main, other):
            office.start()
        time.sleep(STEADY_S)
        if trouble:
            links.cut = frozenset({nodes[HOLDER].name})
            record.write(f"{nodes[HOLDER].name} is cut off from all other nodes")
        time.sleep(CUT_S)
        links.cut = frozenset()
        for office in (main, other):
            office.ended.set()
        time.sleep(2.5)
        ran_s = {}
        for server in servers:
            for request_id, when_s in server.run_times.items():
                ran_s[request_id] = when_s
        report((main, other), ran_s, record, started_s)
        sent_s = {**main.sent, **other.sent}
        times = sorted((sent_s[key], when_s) for key, when_s in ran_s.items())
        most, begin_s = find_fullest_window(times)
        record.write(
            f"most requests sent and run in {WINDOW_S} s: {most}, from second"
            f" {begin_s - started_s:.2f}; allowed: {ALLOWED:.0f}"
        )
        if not times:
            raise CaseError("no request ran")
        return most > ALLOWED


if __name__ == "__main__":
    record = Record(os.path.dirname(os.path.abspath(__file__)))
    try:
        broken = run(os.environ.get("TROUBLE") != "0", record)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
