"""A client that pipelines safe requests and reads the answers slowly."""

import socket
import time

from review.third.deployment import HOST

SEGMENT_BYTES = 1460  # of Ethernet; loopback's own are 64 KiB


def encode_request(host, target, request_id, deadline_ms, method="GET"):
    """Return the bytes of a request without a body."""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    ).encode()


def connect(port, window_bytes=0, segment_bytes=0):
    """Return a connection, with a small receive window and segments if given."""
    sock = socket.socket()
    if window_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    sock.settimeout(10)
    sock.connect((HOST, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def split_answers(data):
    """Return the ``(status, headers, body, complete)`` of each answer in some bytes."""
    answers = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            answers.append((0, {}, b"", False))
            break
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", "0"))
        body, data = rest[:length], rest[length:]
        status = int(lines[0].split(" ")[1])
        answers.append((status, headers, body, len(body) == length))
    return answers


def read_slowly(sock, bytes_per_s, until_s, enough=None):
    """Return what arrives at a bounded rate, and how the connection ended.

    ``enough`` tells of the received bytes whether no more are due.
    """
    received, step_s = b"", 0.01
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        sock.settimeout(max(0.05, until_s - started_s))
        try:
            data = sock.recv(max(1, int(bytes_per_s * step_s)))
        except TimeoutError:
            return received, "open"
        except OSError as error:
            return received, f"error {error.errno}"
        if not data:
            return received, "closed"
        received += data
        if enough is not None and enough(received):
            return received, "open"
        time.sleep(max(0.0, step_s - (time.monotonic() - started_s)))
    return received, "open"
