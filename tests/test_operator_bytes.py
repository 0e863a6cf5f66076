"""Bytes without end to the operators' address, before any key is checked."""

import unittest

from comfreyusher.listener import bind_listener
from comfreyusher.operators._server import OperatorServer

MAX_SENT_BYTES = 8 << 20
PIECE_BYTES = 65536


class FakeSocket:
    """A socket of a connection that is never used."""

    def getpeername(self):
        """Return the address of the peer."""
        return "10.0.0.1", 5000


class OperatorBytesTests(unittest.TestCase):
    """What others send to the operators' address, before any key is checked."""

    def setUp(self):
        self.server = OperatorServer(bind_listener("127.0.0.1", 0))
        self.closed = []
        self.server.server._close = self.closed.append
        self.sock = FakeSocket()

    def send_endlessly(self, first, piece):
        """Return how many bytes were read before the connection was closed."""
        self.read(first)
        count = 0
        while not self.closed and count < MAX_SENT_BYTES:
            self.read(piece)
            count += len(piece)
        return count

    def read(self, data):
        """Deliver bytes as the server of circuits does."""
        self.server.limit_received(self.sock, data)
        if not self.closed:
            self.server.http._on_read(self.sock, data)

    # Guards against heads and bodies that circuits.web keeps whole, however long.
    def test_endless_heads_and_bodies_are_closed(self):
        starts = {
            "head": (b"GET / HTTP/1.1\r\nX: ", b"a" * PIECE_BYTES),
            "body": (
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
                b"a" * PIECE_BYTES,
            ),
        }
        for name, (first, piece) in starts.items():
            with self.subTest(name):
                self.setUp()
                count = self.send_endlessly(first, piece)
                self.assertLess(count, MAX_SENT_BYTES)
                self.assertNotIn(self.sock, self.server.http._buffers)

    # Guards against buffers of connections that ended within a request.
    def test_a_connection_that_ends_leaves_nothing_behind(self):
        self.read(b"GET / HTTP/1.1\r\nX: ")
        self.server.forget_connection(self.sock)
        self.assertNotIn(self.sock, self.server.http._buffers)

    # Guards against answers that pile up for a caller that does not read.
    def test_a_caller_that_reads_nothing_is_closed(self):
        self.server.server._buffers[self.sock].append(b"a" * MAX_SENT_BYTES)
        self.read(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(self.closed, [self.sock])


if __name__ == "__main__":
    unittest.main()
