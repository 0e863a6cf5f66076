"""A crowd of callers on non-blocking sockets, and figures of a node's process."""

import dataclasses
import os
import pathlib
import selectors
import socket
import time

from standins.fleet import HOST

QUIET_S = 1.0
LONGEST_ROUND_S = 20.0
RECEIVE_BUFFER_BYTES = 4096
READ_SIZE_BYTES = 65536
KIB = 1024


@dataclasses.dataclass(frozen=True)
class Script:
    """What each caller sends: first ``opening``, then ``more`` in each later round.

    A caller whose connection was closed connects again and sends ``opening``.
    ``reads`` is false for callers that leave their responses unread. With a
    ``max_segment_bytes`` the kernel buffers as little for a caller as it does on a
    network; on loopback addresses it takes megabytes otherwise.
    """

    opening: bytes
    more: bytes = b""
    reads: bool = True
    max_segment_bytes: int = 0


class Crowd:
    """Callers that all follow the same script; a context manager closes them."""

    def __init__(self, port, size, script):
        self.port = port
        self.script = script
        self.callers = [None] * size

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for sock in self.callers:
            if sock is not None:
                sock.close()

    def play_round(self):
        """Send the next part of the script on each connection.

        The round ends once all is sent or nothing has moved for ``QUIET_S``.
        """
        unsent = {}
        for number, sock in enumerate(self.callers):
            if sock is None:
                sock = self._connect()
                unsent[number] = memoryview(self.script.opening)
            else:
                unsent[number] = memoryview(self.script.more)
            self.callers[number] = sock
        with selectors.DefaultSelector() as selector:
            for number, sock in enumerate(self.callers):
                events = self._events(unsent[number])
                if events:
                    selector.register(sock, events, number)
            self._exchange(selector, unsent)

    def _connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if self.script.max_segment_bytes:
            segment = self.script.max_segment_bytes
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        sock.setblocking(False)
        sock.connect_ex((HOST, self.port))
        return sock

    def _events(self, unsent):
        reading = selectors.EVENT_READ if self.script.reads else 0
        writing = selectors.EVENT_WRITE if unsent else 0
        return reading | writing

    def _exchange(self, selector, unsent):
        ends_s = time.monotonic() + LONGEST_ROUND_S
        last_progress_s = time.monotonic()
        while time.monotonic() < min(ends_s, last_progress_s + QUIET_S):
            for key, events in selector.select(QUIET_S / 10):
                if self._serve(selector, key, events, unsent):
                    last_progress_s = time.monotonic()

    def _serve(self, selector, key, events, unsent):
        """Move bytes on one connection; return whether any were moved."""
        number, sock = key.data, key.fileobj
        try:
            if events & selectors.EVENT_WRITE:
                sent = sock.send(unsent[number])
                unsent[number] = unsent[number][sent:]
                if not unsent[number]:
                    self._stop_writing(selector, key)
                return True
            if sock.recv(READ_SIZE_BYTES):
                return True
        except BlockingIOError:
            return False
        except OSError:
            pass
        selector.unregister(sock)
        sock.close()
        self.callers[number] = None
        return True

    def _stop_writing(self, selector, key):
        if self.script.reads:
            selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        else:
            selector.unregister(key.fileobj)


def read_peak_bytes(process):
    """Return the largest resident memory (VmRSS) that a process has had."""
    return _read_status(process, "VmHWM") * KIB


def read_resident_bytes(process):
    """Return the resident memory (VmRSS) of a process."""
    return _read_status(process, "VmRSS") * KIB


def _read_status(process, field):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0])
    raise ValueError(f"no {field} in the status of process {process.pid}")


def count_descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))
