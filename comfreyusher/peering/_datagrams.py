"""The task that owns the datagram socket between nodes.

Gossip, questions to owners and marks of the feeds are small, and each is
repeated by its sender until it is answered. They travel as datagrams, so that
a node needs no connection to every owner.
"""

from absl import logging

from comfreyusher.flow import DatagramTask
from comfreyusher.messages import (
    AttemptReport,
    Denial,
    FeedWatermarks,
    GossipMessage,
    Grant,
    GrantRequest,
    OffsetRequest,
    OffsetUpdate,
    QueuedAck,
    ReportAck,
    ToHostPort,
    ToNode,
    UpstreamDelta,
)
from comfreyusher.peering._codec import CodecError, decode_message, encode_datagram
from comfreyusher.peering._handshake import open_datagram, tag_datagram
from comfreyusher.peering._messages import PeerAddresses

CHANNEL = "datagrams"
LOG = "datagrams:"
CHANNEL_OF = {
    GossipMessage: "membership",
    GrantRequest: "owner",
    AttemptReport: "owner",
    QueuedAck: "entry",
    Grant: "entry",
    Denial: "entry",
    ReportAck: "entry",
    FeedWatermarks: "feeds",
    UpstreamDelta: "feeds",
    OffsetRequest: "configuration",
    OffsetUpdate: "configuration",
}


class PeerDatagramTask(DatagramTask):
    """Seals, sends, opens and routes datagrams.

    ``places`` maps live nodes to ``(host, port)``. A node that is not known
    yet is answered at the place that its datagram came from.
    """

    def __init__(self, node, keys, poller, host, port, **kwargs):
        super().__init__(CHANNEL, poller, host, port, **kwargs)
        self.node = node
        self.keys = keys
        self.places = {}
        self.heard_from = {}
        self.sent_bytes = 0
        self.dropped = 0
        self.message_handlers = {
            ToNode: self.send_to_node,
            ToHostPort: self.send_to_place,
            PeerAddresses: self.take_addresses,
        }

    def take_addresses(self, addresses):
        """Learn where the live nodes listen for datagrams."""
        self.places = addresses.datagrams
        self.heard_from.clear()

    def send_to_node(self, addressed):
        """Send to one node; a message to this node stays in the process."""
        if addressed.node == self.node:
            self._deliver(addressed.body)
            return
        place = self.places.get(addressed.node)
        place = place or self.heard_from.get(addressed.node)
        if place is None:
            self.dropped += 1
            logging.info(
                "%s no place for node=%s message=%s",
                LOG,
                addressed.node,
                type(addressed.body).__name__,
            )
            return
        self._send_sealed(addressed.body, place)

    def send_to_place(self, addressed):
        """Send to a host and port."""
        self._send_sealed(addressed.body, (addressed.host, addressed.port))

    def _send_sealed(self, body, place):
        data = tag_datagram(self.keys()[0], encode_datagram(body))
        self.sent_bytes += len(data)
        self.send(data, *place)

    def on_datagram(self, data, host, port):
        payload = open_datagram(self.keys(), data)
        if payload is None:
            self._drop(host, "its tag does not match")
            return
        try:
            body = decode_message(payload)
        except CodecError as error:
            self._drop(host, str(error))
            return
        if type(body) is GrantRequest and body.node not in self.places:
            self.heard_from[body.node] = (host, port)
        if type(body) in CHANNEL_OF:
            self._deliver(body)

    def _drop(self, host, reason):
        self.dropped += 1
        logging.warning("%s dropped from=%s reason=%r", LOG, host, reason)

    def _deliver(self, body):
        self.send_message(CHANNEL_OF[type(body)], body)
