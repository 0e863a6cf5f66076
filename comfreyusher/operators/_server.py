"""The web server of the operators' address, loaded for the first connection."""

import collections

from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from comfreyusher.operators._task import WEB_CHANNEL

MAX_REQUEST_BYTES = 4 << 20
MAX_RECEIVED_BYTES = 16 << 20  # of all connections together
MAX_UNSENT_BYTES = 4 << 20


class OperatorServer(BaseServer):
    """Server of circuits.web that neither prints a banner nor handles signals.

    circuits.web keeps requests whole, and responses until they are read. This server
    closes connections that make it keep too much. ``received_bytes`` maps sockets to
    the size of their unfinished request.
    """

    def __init__(self, listener):
        # BaseServer takes an address only, and would bind it once more.
        BaseComponent.__init__(self, channel=WEB_CHANNEL)
        self.server = TCPServer(listener, channel=WEB_CHANNEL).register(self)
        self.http = HTTP(self, channel=WEB_CHANNEL).register(self)
        self.received_bytes = collections.Counter()

    @handler("read", priority=1)
    def on_read(self, event, sock, data):
        """Count the bytes of a request, and stop the event if they are too many."""
        self.limit_received(sock, data)
        if sock not in self.received_bytes:
            event.stop()

    def limit_received(self, sock, data):
        """Close a connection whose request or unread responses are too large."""
        self.received_bytes[sock] += len(data)
        unsent_bytes = sum(map(len, self.server._buffers.get(sock, ())))
        too_large = self.received_bytes[sock] > MAX_REQUEST_BYTES
        too_many = self.received_bytes.total() > MAX_RECEIVED_BYTES
        if too_large or too_many or unsent_bytes > MAX_UNSENT_BYTES:
            self.forget_connection(sock)
            self.server._close(sock)

    @handler("request", priority=2)
    def on_request_read(self, request, response):
        """Begin to count the next request of the connection."""
        self.received_bytes.pop(request.sock, None)

    @handler("disconnect")
    def on_disconnect(self, sock):
        """Drop what is kept of a connection that has ended."""
        self.forget_connection(sock)

    def forget_connection(self, sock):
        """Drop what is kept of a connection; circuits.web keeps unfinished requests."""
        self.received_bytes.pop(sock, None)
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)

    @handler("signal", override=True)
    def _on_signal(self, *args):
        """Ignore the signal, which the node's graceful shutdown handles."""

    @handler("ready", override=True)
    def _on_ready(self, *args):
        """Suppress the banner."""
