"""A sound server of a service, in threads of the test's own process.

The query of a request tells its work and the size of its answer, as
``?work_ms=300&bytes=30000``. Where ``faulty`` is set, ``cut=N`` in the query makes
the server break off its answer after N bytes.
"""

import hashlib
import socket
import threading
import time
import urllib.parse

from review.third.deployment import HOST

READ_BYTES = 65536
# A part of an answer stands for this time before its connection ends.
CUT_AFTER_S = 0.5


class Server:
    """Runs requests one at a time on each connection, and records each run."""

    def __init__(self, name, service, record, slots=8, faulty=False):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.faulty = faulty
        self.born_ms = int(time.time() * 1000)
        self.run_times = {}
        self.answers = {}
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        received = b""
        with connection:
            try:
                while True:
                    while b"\r\n\r\n" not in received:
                        data = connection.recv(READ_BYTES)
                        if not data:
                            return
                        received += data
                    head, _, received = received.partition(b"\r\n\r\n")
                    length = find_length(head)
                    while len(received) < length:
                        data = connection.recv(READ_BYTES)
                        if not data:
                            return
                        received += data
                    received = received[length:]
                    answer, cut = self._answer(head)
                    connection.sendall(answer[:cut] if cut else answer)
                    if cut:
                        time.sleep(CUT_AFTER_S)
                        return
            except OSError:
                return

    def _answer(self, head):
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        if target == "/healthz":
            extra = f"X-Instance-Id: {self.name}\r\n"
            return self._encode("200 OK", b"", extra), 0
        request_id = headers.get("x-request-id", "")
        extra = f"X-Request-Id: {request_id}\r\n"
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._encode("421 Misdirected Request", b"", extra), 0
        query = urllib.parse.parse_qs(target.partition("?")[2])
        self.run_times[request_id] = time.monotonic()
        self.record.write(f"{self.name} runs {request_id}: {method} {target}")
        time.sleep(int(query.get("work_ms", ["5"])[0]) / 1000)
        body = build_body(request_id, int(query.get("bytes", ["100"])[0]))
        cut = int(query.get("cut", ["0"])[0]) if self.faulty else 0
        if cut:
            self.record.write(f"{self.name} breaks off its answer to {request_id}")
        else:
            self.answers[request_id] = body
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:12]
        extra += f"X-Response-Seal: {seal}\r\n"
        return self._encode("200 OK", body, extra), cut

    def _encode(self, status, body, extra):
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        return head.encode() + body


def find_length(head):
    """Return the length of a request's body."""
    for line in head.lower().split(b"\r\n")[1:]:
        name, _, value = line.partition(b": ")
        if name == b"content-length":
            return int(value)
    return 0


def build_body(request_id, size):
    """Return the body of the answer to a request, which differs for each."""
    unit = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]
