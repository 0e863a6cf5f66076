"""A task that sends and receives UDP datagrams with circuits' poller."""

import socket

from comfreyusher.flow._circuits import handler
from comfreyusher.flow._task import Task

MAX_DATAGRAM_BYTES = 65536
DATAGRAMS_PER_EVENT = 64
# Room for some thousand datagrams, since all nodes may send at the same moment.
RECEIVE_BUFFER_BYTES = 4 << 20


class DatagramTask(Task):
    """Owns one UDP socket; subclasses override ``on_datagram``."""

    def __init__(self, channel, poller, host, port, **kwargs):
        super().__init__(channel, **kwargs)
        self.poller = poller
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.bind((host, port))
        self.socket.setblocking(False)
        self.poller.addReader(self, self.socket)

    def on_datagram(self, data, host, port):
        """Handle one datagram."""

    def send(self, data, host, port):
        """Send one datagram, or drop it if the kernel refuses it.

        The kernel does so when its buffer is full. The network may lose datagrams
        too, so the loss is not reported.
        """
        try:
            self.socket.sendto(data, (host, port))
        except OSError:
            return

    def close_socket(self):
        """Stop receiving and close the socket."""
        self.poller.discard(self.socket)
        self.socket.close()

    @handler("_read")
    def on_readable(self, sock):
        """Read a bounded number of the received datagrams."""
        for _ in range(DATAGRAMS_PER_EVENT):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.on_datagram(data, address[0], address[1])
