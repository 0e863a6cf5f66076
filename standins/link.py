"""Stand-in for the network in front of a node: TCP and UDP that can be cut.

Other nodes reach a node through its link. ``POST /control`` with ``{"to":
true}`` drops what goes to the node, ``{"from": true}`` what comes from it.
"""

import json
import sys

from comfreyusher.flow import DatagramTask, Poller, StreamTask, Task, bind_listener
from comfreyusher.http import respond_with_bytes
from comfreyusher.messages import RequestBody, RequestStart
from standins._process import run_standin

CHANNEL = "link-standin"
HOST = "127.0.0.1"


class Cuts:
    """Directions that are cut now."""

    def __init__(self):
        self.to_node = False
        self.from_node = False


class TcpLink(StreamTask):
    """Pairs every accepted connection with one to the node."""

    def __init__(self, poller, cuts, target):
        super().__init__("tcp-link", poller)
        self.cuts = cuts
        self.target = target
        self.other = {}
        self.accepted = set()

    def on_accepted(self, event):
        number = self.open_connection(HOST, self.target)
        self.other[event.connection] = number
        self.other[number] = event.connection
        self.accepted.add(event.connection)

    def on_received(self, event):
        towards = event.connection in self.accepted
        cut = self.cuts.to_node if towards else self.cuts.from_node
        other = self.other.get(event.connection)
        if cut or other is None:
            return
        if event.data:
            self.write(other, event.data)
        else:
            self.close(other)

    def on_closed(self, event):
        other = self.other.pop(event.connection, None)
        self.accepted.discard(event.connection)
        if other is not None:
            self.other.pop(other, None)
            self.abort(other)


class UdpLink(DatagramTask):
    """Passes datagrams on to the node."""

    def __init__(self, poller, cuts, port, target):
        super().__init__("udp-link", poller, HOST, port)
        self.cuts = cuts
        self.target = target

    def on_datagram(self, data, host, port):
        if not self.cuts.to_node:
            self.send(data, HOST, self.target)


class LinkStandin(Task):
    """Takes control requests."""

    def __init__(self, tcp_port, udp_port, node_tcp_port, node_udp_port):
        super().__init__(CHANNEL)
        self.cuts = Cuts()
        self.ports = (tcp_port, udp_port, node_tcp_port, node_udp_port)
        self.bodies = {}
        self.message_handlers = {RequestStart: self.take, RequestBody: self.take}

    def prepare(self):
        """Open the sockets once the process runs."""
        tcp_port, udp_port, node_tcp_port, node_udp_port = self.ports
        poller = next(c for c in self.root.components if isinstance(c, Poller))
        tcp = TcpLink(poller, self.cuts, node_tcp_port)
        tcp.register(self.root)
        tcp.listen_on(bind_listener(HOST, tcp_port))
        UdpLink(poller, self.cuts, udp_port, node_udp_port).register(self.root)

    def take(self, request):
        """Collect a request, and change the cuts at its end."""
        body = self.bodies.pop(request.exchange, b"") + request.body
        if not request.ended:
            self.bodies[request.exchange] = body
            return
        asked = json.loads(body or b"{}")
        self.cuts.to_node = asked.get("to", self.cuts.to_node)
        self.cuts.from_node = asked.get("from", self.cuts.from_node)
        self.send_message("web", respond_with_bytes(request.exchange, 200, b"{}"))


if __name__ == "__main__":
    run_standin(LinkStandin(*map(int, sys.argv[3:7])), sys.argv[1], int(sys.argv[2]))
