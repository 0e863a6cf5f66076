"""The task that owns the datagram socket between nodes.

Gossip, requests to owners and watermarks of the feeds are small, and the sender
repeats each of them until it is answered. They travel as datagrams, so that a
node does not need a connection to every owner.
"""

from absl import logging

from comfreyusher.flow import DatagramTask
from comfreyusher.messages import (
    AcquittalNotice,
    AttemptReport,
    BucketHandover,
    CrashNotice,
    Denial,
    DepartureNotice,
    FeedWatermarks,
    GossipMessage,
    Grant,
    GrantRequest,
    OffsetRequest,
    OffsetUpdate,
    QuarantineNotice,
    QueuedAck,
    ReportAck,
    ToHostPort,
    TokenGrant,
    TokenRequest,
    ToNode,
    UpstreamDelta,
)
from comfreyusher.peering._codec import CodecError, decode_message, encode_datagram
from comfreyusher.peering._handshake import tag_datagram, verify_datagram
from comfreyusher.peering._messages import PeerAddresses

CHANNEL = "datagrams"
LOG_PREFIX = "datagrams:"
CHANNEL_BY_CLASS = {
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
    CrashNotice: "quarantine",
    AcquittalNotice: "quarantine",
    QuarantineNotice: "quarantine",
    DepartureNotice: "departures",
    TokenRequest: "quota",
    TokenGrant: "quota",
    BucketHandover: "quota",
}
# Messages that are answered, also to a node that has started just now.
REQUESTS = frozenset((GrantRequest, TokenRequest, BucketHandover))


class PeerDatagramTask(DatagramTask):
    """Authenticates datagrams and routes them between nodes and local tasks.

    ``addresses`` maps live nodes to ``(host, port)``. ``observed_addresses`` maps
    other nodes to the address that their last request came from; responses
    go there until the node is known. ``keys`` is a function that returns the shared
    keys: the first one signs, and each of them verifies. ``dropped_total`` counts
    messages to nodes without an address, and datagrams that are not authentic or
    cannot be decoded.
    """

    def __init__(self, node, keys, poller, host, port, **kwargs):
        super().__init__(CHANNEL, poller, host, port, **kwargs)
        self.node = node
        self.keys = keys
        self.addresses = {}
        self.observed_addresses = {}
        self.sent_bytes = 0
        self.dropped_total = 0
        self.message_handlers = {
            ToNode: self.handle_to_node,
            ToHostPort: self.handle_to_host_port,
            PeerAddresses: self.handle_addresses,
        }

    def handle_addresses(self, addresses):
        """Replace the addresses at which live nodes receive datagrams."""
        self.addresses = addresses.datagrams
        self.observed_addresses.clear()

    def handle_to_node(self, message):
        """Send a message to a node, or to the local task if it is this node."""
        if message.node == self.node:
            self._deliver(message.body)
            return
        address = self.addresses.get(message.node)
        address = address or self.observed_addresses.get(message.node)
        if address is None:
            self.dropped_total += 1
            logging.info(
                "%s no address for node=%s message=%s",
                LOG_PREFIX,
                message.node,
                type(message.body).__name__,
            )
            return
        self._send_tagged(message.body, address)

    def handle_to_host_port(self, message):
        """Send a message to a host and port."""
        self._send_tagged(message.body, (message.host, message.port))

    def _send_tagged(self, body, address):
        data = tag_datagram(self.keys()[0], encode_datagram(body))
        self.sent_bytes += len(data)
        self.send(data, *address)

    def on_datagram(self, data, host, port):
        payload = verify_datagram(self.keys(), data)
        if payload is None:
            self._drop(host, "no key gives its authentication tag")
            return
        try:
            body = decode_message(payload)
        except CodecError as error:
            self._drop(host, str(error))
            return
        if type(body) in REQUESTS and body.node not in self.addresses:
            self.observed_addresses[body.node] = (host, port)
        if type(body) in CHANNEL_BY_CLASS:
            self._deliver(body)

    def _drop(self, host, reason):
        self.dropped_total += 1
        logging.warning("%s dropped from=%s reason=%r", LOG_PREFIX, host, reason)

    def _deliver(self, body):
        self.send_message(CHANNEL_BY_CLASS[type(body)], body)
