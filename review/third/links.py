"""Links between nodes, which can be cut for single nodes.

Every node advertises the ports of its link. A link knows the sender of a datagram by
the port that the sender is bound to.
"""

import selectors
import socket
import threading

from review.third.deployment import HOST, find_free_port

MAX_BYTES = 65536


class Links:
    """One thread that forwards datagrams and connections to all nodes.

    Datagrams to and from the nodes in ``cut`` are dropped, and connections to them
    are silent.
    """

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.name_by_port = {}
        self.cut = frozenset()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, name):
        """Return the ``peers`` settings of a node behind a link of its own."""
        tcp_port, udp_port = find_free_port(), find_free_port()
        self.name_by_port[udp_port] = name
        udp_link = socket.socket(type=socket.SOCK_DGRAM)
        udp_link.bind((HOST, 0))
        tcp_link = socket.create_server((HOST, 0))
        tcp_link.setblocking(False)
        self._watch(udp_link, lambda: self._forward(udp_link, name, udp_port))
        self._watch(tcp_link, lambda: self._accept(tcp_link, name, tcp_port))
        return {
            "port": tcp_port,
            "gossip_port": udp_port,
            "advertised_port": tcp_link.getsockname()[1],
            "advertised_gossip_port": udp_link.getsockname()[1],
        }

    def _watch(self, sock, handle):
        self.selector.register(sock, selectors.EVENT_READ, handle)

    def _run(self):
        while True:
            for key, _ in self.selector.select(0.1):
                key.data()

    def _forward(self, link, name, port):
        data, (_, sender_port) = link.recvfrom(MAX_BYTES)
        sender = self.name_by_port.get(sender_port)
        if name not in self.cut and sender not in self.cut:
            link.sendto(data, (HOST, port))

    def _accept(self, link, name, port):
        accepted, _ = link.accept()
        try:
            opened = socket.create_connection((HOST, port), timeout=1)
        except OSError:
            accepted.close()
            return
        for source, target in ((accepted, opened), (opened, accepted)):
            self._watch(source, lambda s=source, t=target: self._copy(s, t, name))

    def _copy(self, source, target, name):
        try:
            data = source.recv(MAX_BYTES)
            if data and name not in self.cut:
                target.sendall(data)
        except OSError:
            data = b""
        if not data:
            for sock in (source, target):
                try:
                    self.selector.unregister(sock)
                except (KeyError, ValueError):
                    pass
                sock.close()
