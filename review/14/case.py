"""A node that is stopped as planned resets a connection whose answer is on its way."""

import os
import signal
import sys
import threading
import time

from review.third.client import (
    SEGMENT_BYTES,
    connect,
    encode_request,
    split_answers,
)
from review.third.deployment import (
    Deployment,
    Record,
    build_limits,
    build_route,
    build_service,
)
from review.third.server import Server, build_body

CLIENTS = 4
MAX_REQUESTS = 4
SEND_EVERY_S = 0.15
READ_EVERY_S = 0.5
READ_BYTES = 4096
ANSWER_BYTES = 30000
WORK_MS = 300
DEADLINE_MS = 6000
WINDOW_BYTES = 2304
STOP_AFTER_S = 0.1


class PollingClient(threading.Thread):
    """Pipelines requests, and takes what has arrived every ``READ_EVERY_S``.

    It sends no further request once it has read any part of an answer.
    """

    def __init__(self, number, port, record):
        super().__init__(daemon=True)
        self.number = number
        self.record = record
        self.sock = connect(port, WINDOW_BYTES, SEGMENT_BYTES)
        self.ids, self.answers, self.end = [], [], "open"
        self.data = b""

    def run(self):
        """Send and read in turn until the first answer is here or its deadline."""
        started_s = time.monotonic()
        next_send_s, next_read_s = started_s, started_s + READ_EVERY_S
        until_s = started_s + DEADLINE_MS / 1000
        while self.end == "open" and time.monotonic() < until_s:
            now = time.monotonic()
            if not self.data and len(self.ids) < MAX_REQUESTS and now >= next_send_s:
                self.send()
                next_send_s += SEND_EVERY_S
            if now >= next_read_s:
                self.read_some()
                next_read_s += READ_EVERY_S if len(self.data) == 0 else 0.05
            if self.is_answered(0):
                break
            time.sleep(0.01)
        self.answers = split_answers(self.data)
        self.record.write(
            f"client {self.number} got {len(self.data)} bytes in"
            f" {time.monotonic() - started_s:.2f} s, connection {self.end}"
        )
        self.sock.close()

    def send(self):
        """Send one more request behind those without an answer."""
        request_id = f"c{self.number}-{len(self.ids)}"
        target = f"/reports/x?work_ms={WORK_MS}&bytes={ANSWER_BYTES}"
        self.ids.append(request_id)
        self.record.write(f"client {self.number} sends {request_id}")
        try:
            self.sock.sendall(
                encode_request("a.example", target, request_id, DEADLINE_MS)
            )
        except OSError as error:
            self.record.write(f"client {self.number}: send failed: {error}")

    def read_some(self):
        """Take some of what has arrived."""
        self.sock.settimeout(0.05)
        try:
            data = self.sock.recv(READ_BYTES)
        except TimeoutError:
            return
        except OSError as error:
            self.end = f"error {error}"
            return
        self.data += data
        if not data:
            self.end = "closed"

    def is_answered(self, index):
        """Tell whether the answer to a request is complete."""
        answers = split_answers(self.data)
        return len(answers) > index and answers[index][3]


def judge(clients, server, record):
    """Return the ids of first requests that ran and got no complete answer."""
    lost = []
    for client in clients:
        request_id = client.ids[0]
        good, said = False, "nothing"
        if client.answers:
            status, headers, part, complete = client.answers[0]
            good = complete and part == build_body(request_id, ANSWER_BYTES)
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
        clients = [
            PollingClient(number, node.port, record) for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        time.sleep(STOP_AFTER_S)
        if trouble:
            node.process.send_signal(signal.SIGTERM)
            record.write("SIGTERM to n1")
        for client in clients:
            client.join(timeout=15)
        lost = judge(clients, server, record)
        record.write(f"lost: {lost}")
        return bool(lost)


if __name__ == "__main__":
    record = Record(os.path.dirname(os.path.abspath(__file__)))
    try:
        broken = run(os.environ.get("TROUBLE") != "0", record)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
