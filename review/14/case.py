"""A node that is stopped as planned ends while answers still wait in its memory."""

import os
import signal
import sys
import threading
import time

from review.third.client import (
    SEGMENT_BYTES,
    connect,
    encode_request,
    read_slowly,
    split_answers,
)
from review.third.deployment import (
    CaseError,
    Deployment,
    Record,
    build_limits,
    build_route,
    build_service,
)
from review.third.server import Server, build_body

CLIENTS = 4
REQUESTS = 9
ANSWER_BYTES = 30000
WORK_MS = 50
DEADLINE_MS = 6000
READ_BYTES_PER_S = 56000
WINDOW_BYTES = 2304
STOP_AFTER_S = 0.4


class SlowClient(threading.Thread):
    """Sends pipelined requests on one connection, and reads the answers slowly."""

    def __init__(self, number, port, record):
        super().__init__(daemon=True)
        self.number = number
        self.record = record
        self.ids = [f"c{number}-{index}" for index in range(REQUESTS)]
        self.sock = connect(port, WINDOW_BYTES, SEGMENT_BYTES)
        self.answers, self.end = [], ""

    def run(self):
        """Send all requests, and read until all answers are here or the deadline."""
        target = f"/reports/x?work_ms={WORK_MS}&bytes={ANSWER_BYTES}"
        started_s = time.monotonic()
        for request_id in self.ids:
            request = encode_request("a.example", target, request_id, DEADLINE_MS)
            self.sock.sendall(request)
            self.record.write(f"client {self.number} sent {request_id}")
        until_s = started_s + DEADLINE_MS / 1000
        data, self.end = read_slowly(self.sock, READ_BYTES_PER_S, until_s, self.has_all)
        took_s = time.monotonic() - started_s
        self.answers = split_answers(data)
        self.record.write(
            f"client {self.number} got {len(data)} bytes in {took_s:.2f} s,"
            f" connection {self.end}"
        )
        self.sock.close()

    def has_all(self, data):
        """Tell whether all answers are complete."""
        if len(data) < REQUESTS * ANSWER_BYTES:
            return False
        answers = split_answers(data)
        return len(answers) == REQUESTS and answers[-1][3]


def judge(clients, server, record):
    """Return the ids of requests that ran and got no complete answer."""
    lost = []
    for client in clients:
        for index, request_id in enumerate(client.ids):
            found = client.answers[index : index + 1]
            body = build_body(request_id, ANSWER_BYTES)
            good = bool(found) and found[0][3] and found[0][2] == body
            said = "nothing"
            if found:
                status, headers, part, complete = found[0]
                said = f"{status}, {len(part)} bytes, complete: {complete}"
                said += f", connection: {headers.get('connection', 'kept')}"
            ran = request_id in server.answers
            record.write(f"{request_id}: answered by its server: {ran}; client: {said}")
            if ran and not good and client.end != "open":
                lost.append(request_id)
    return lost


def run(trouble, record):
    """Play the case; return whether the rule was broken."""
    with Deployment(record) as deployment:
        deployment.start_store()
        server = Server("i-1", "reports", record, slots=40)
        routes = [build_route("reports", "a.example", "/reports/", "reports")]
        resources = [*routes, build_service("reports"), build_limits()]
        deployment.write_configuration(1, resources)
        deployment.register(server)
        node, _ = deployment.start_nodes(["n1", "n2"])
        time.sleep(3.5)  # the nodes have been in touch for a stable_window
        clients = [SlowClient(number, node.port, record) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(STOP_AFTER_S)
        if trouble:
            node.process.send_signal(signal.SIGTERM)
            record.write("SIGTERM to n1")
            sent_s = time.monotonic()
            node.process.wait(timeout=10)
            record.write(f"n1 ended {time.monotonic() - sent_s:.2f} s after SIGTERM")
        for client in clients:
            client.join(timeout=15)
        lost = judge(clients, server, record)
        record.write(f"lost: {lost}")
        return bool(lost)


if __name__ == "__main__":
    record = Record(os.path.dirname(os.path.abspath(__file__)))
    try:
        broken = run(os.environ.get("TROUBLE") != "0", record)
    except (CaseError, OSError, AssertionError) as error:
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
