"""UDP datagrams on circuits' poller."""

import socket

from circuits import handler

from comfreyusher.flow._task import Task

MAX_DATAGRAM_BYTES = 65536
DATAGRAMS_PER_EVENT = 64


class DatagramTask(Task):
    """Owns one UDP socket; subclasses override ``on_datagram``."""

    def __init__(self, channel, poller, host, port, **kwargs):
        super().__init__(channel, **kwargs)
        self.poller = poller
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.socket.setblocking(False)
        self.poller.addReader(self, self.socket)

    def on_datagram(self, data, host, port):
        """Handle one datagram."""

    def send(self, data, host, port):
        """Send one datagram; a full kernel buffer drops it, as a network may."""
        try:
            self.socket.sendto(data, (host, port))
        except OSError:
            return

    def close_socket(self):
        """Stop receiving."""
        self.poller.discard(self.socket)
        self.socket.close()

    @handler("_read")
    def on_readable(self, sock):
        """Read the datagrams that wait, a bounded number at a time."""
        for _ in range(DATAGRAMS_PER_EVENT):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self.on_datagram(data, address[0], address[1])
