"""Stand-in for the network in front of a node, which can drop TCP and UDP traffic.

Other nodes reach a node through its link. ``POST /control`` with ``{"to":
true}`` drops the traffic to the node, ``{"from": true}`` the traffic from it.
"""

import json
import sys

from comfreyusher.flow import DatagramTask, Poller, StreamTask, Task, bind_listener
from comfreyusher.http import respond_with_bytes
from comfreyusher.messages import RequestBody, RequestStart
from standins._process import run_standin

CHANNEL = "link-standin"
HOST = "127.0.0.1"


class BlockedDirections:
    """Directions in which traffic is dropped now."""

    def __init__(self):
        self.to_node = False
        self.from_node = False


class TcpLink(StreamTask):
    """Forwards bytes between each accepted connection and one to the node."""

    def __init__(self, poller, blocked, target_port):
        super().__init__("tcp-link", poller)
        self.blocked = blocked
        self.target_port = target_port
        self.paired = {}
        self.accepted = set()

    def on_accepted(self, event):
        node_connection = self.open_connection(HOST, self.target_port)
        self.paired[event.connection] = node_connection
        self.paired[node_connection] = event.connection
        self.accepted.add(event.connection)

    def on_received(self, event):
        is_to_node = event.connection in self.accepted
        is_blocked = self.blocked.to_node if is_to_node else self.blocked.from_node
        paired = self.paired.get(event.connection)
        if is_blocked or paired is None:
            return
        if event.data:
            self.write(paired, event.data)
        else:
            self.close(paired)

    def on_closed(self, event):
        paired = self.paired.pop(event.connection, None)
        self.accepted.discard(event.connection)
        if paired is not None:
            self.paired.pop(paired, None)
            self.abort(paired)


class UdpLink(DatagramTask):
    """Forwards datagrams to the node."""

    def __init__(self, poller, blocked, port, target_port):
        super().__init__("udp-link", poller, HOST, port)
        self.blocked = blocked
        self.target_port = target_port

    def on_datagram(self, data, host, port):
        if not self.blocked.to_node:
            self.send(data, HOST, self.target_port)


class LinkStandin(Task):
    """Opens the link's sockets, and changes the blocked directions on request."""

    def __init__(self, tcp_port, udp_port, node_tcp_port, node_udp_port):
        super().__init__(CHANNEL)
        self.blocked = BlockedDirections()
        self.ports = (tcp_port, udp_port, node_tcp_port, node_udp_port)
        self.bodies = {}
        self.message_handlers = {
            RequestStart: self.handle_request_part,
            RequestBody: self.handle_request_part,
        }

    def prepare(self):
        """Open the sockets of the link."""
        tcp_port, udp_port, node_tcp_port, node_udp_port = self.ports
        poller = next(c for c in self.root.components if isinstance(c, Poller))
        tcp_link = TcpLink(poller, self.blocked, node_tcp_port)
        tcp_link.register(self.root)
        tcp_link.listen_on(bind_listener(HOST, tcp_port))
        UdpLink(poller, self.blocked, udp_port, node_udp_port).register(self.root)

    def handle_request_part(self, request):
        """Collect a control request; apply it once its body is complete."""
        body = self.bodies.pop(request.exchange, b"") + request.body
        if not request.ended:
            self.bodies[request.exchange] = body
            return
        changes = json.loads(body or b"{}")
        self.blocked.to_node = changes.get("to", self.blocked.to_node)
        self.blocked.from_node = changes.get("from", self.blocked.from_node)
        self.send_message("web", respond_with_bytes(request.exchange, 200, b"{}"))


if __name__ == "__main__":
    run_standin(LinkStandin(*map(int, sys.argv[3:7])), sys.argv[1], int(sys.argv[2]))
