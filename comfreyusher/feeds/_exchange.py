"""Snapshots that a node requests from other nodes, and sends to them."""

import random

from comfreyusher.feeds._relay import find_parent
from comfreyusher.feeds._state import build_snapshot_entries
from comfreyusher.feeds._topic import PendingRequest
from comfreyusher.feeds._watermarks import build_watermark
from comfreyusher.messages import SnapshotRequest, SnapshotResponse, ToNode
from comfreyusher.platform import Topic

REQUEST_RETRY_S = 0.5
REQUEST_NEXT_AFTER_S = 0.3
REQUEST_READER_AFTER_S = 0.3
PENDING_REQUEST_TIMEOUT_S = 3.0
REQUIRED_TOPICS = (Topic.CONFIGURATION, Topic.UPSTREAMS)


class SnapshotExchange:
    """Requests snapshots of topics from other nodes, and responds to their requests.

    ``nodes`` are those of the region in the order in which they become readers,
    ``data_centre_nodes`` those of the data centre. ``send_message`` takes a
    channel and a message.
    """

    def __init__(self, own, topics, view, clock, send_message):
        self.own = own
        self.topics = topics
        self.view = view
        self.clock = clock
        self.send_message = send_message
        self.random = random.Random(own.node)
        self.nodes = (own.node,)
        self.data_centre_nodes = (own.node,)

    # Requests --------------------------------------------------------------------

    @property
    def is_root(self):
        """Whether this node is the root of its data centre's tree."""
        return self.data_centre_nodes[:1] == (self.own.node,)

    def request_snapshot(self, node, topic, end_offset=None):
        """Request from a node what it has of a topic beyond this node's position.

        Or beyond ``end_offset``, if given.
        """
        state = self.topics[topic]
        state.requested_node, state.requested_s = node, self.clock()
        request = SnapshotRequest(
            self.own.node,
            topic.value,
            self._find_requested_offset(topic, state)
            if end_offset is None
            else end_offset,
            state.position.era,
        )
        self.send_message("peers", ToNode(node, request))

    def _find_requested_offset(self, topic, state):
        """Return the offset after which this node needs data; -1 if it has none."""
        if state.position.known:
            return state.position.end_offset
        keeps_data = topic in REQUIRED_TOPICS and self.view.has_data(topic)
        return 0 if keeps_data and state.position.era else -1

    def request_from_parent(self, topic):
        """Send a request to the parent of this node; return whether it has one."""
        parent = self._find_parent(self.topics[topic])
        if parent:
            self.request_snapshot(parent, topic)
        return bool(parent)

    def request_from_next(self, topic, now):
        """Send a request to the parent of a node that did not respond.

        Repeated calls go up the tree to the reader.
        """
        state = self.topics[topic]
        if not state.requested_node or now - state.requested_s < REQUEST_NEXT_AFTER_S:
            return
        parent = find_parent(state.requested_node, self.data_centre_nodes, state.reader)
        if parent and parent not in (state.requested_node, self.own.node):
            self.request_snapshot(parent, topic)

    def request_if_store_slow(self, topic, now):
        """Send one request to the reader while the store takes long to respond."""
        state = self.topics[topic]
        if state.requested_s < state.call_started_s <= now - REQUEST_READER_AFTER_S:
            self.request_snapshot(state.reader, topic)

    def request_missing(self, now):
        """Request the topics never received: from the parent first, then any node."""
        for topic in REQUIRED_TOPICS:
            state = self.topics[topic]
            if not state.never_confirmed or now - state.requested_s < REQUEST_RETRY_S:
                continue
            others = [node for node in self.nodes if node != self.own.node]
            parent = self._find_parent(state)
            if others and (state.requested_s or not parent):
                parent = self.random.choice(others)
            if parent:
                self.request_snapshot(parent, topic)

    def _find_parent(self, state):
        reader = state.reader or self.nodes[0]
        return find_parent(self.own.node, self.data_centre_nodes, reader)

    # Responses -------------------------------------------------------------------

    def handle_snapshot_request(self, request):
        """Send what this node knows, or keep the request until it knows more."""
        if not request.topic:
            for topic, state in self.topics.items():
                if state.position.known:
                    self._send_snapshot(topic, request.requester)
            return
        topic = Topic(request.topic)
        position = self.topics[topic].position
        end_offset = request.end_offset
        if request.era < position.era:
            end_offset = min(0, end_offset)
        pending = PendingRequest(end_offset, self.clock() + PENDING_REQUEST_TIMEOUT_S)
        self.topics[topic].pending_requests[request.requester] = pending
        if end_offset < 0 and self._has_only_older_data(topic, position):
            self._send_snapshot(topic, request.requester)
        self.respond_to_pending(topic)

    def _has_only_older_data(self, topic, position):
        """Return whether this node has data of an older era of the store only."""
        is_reset = position.era and not position.known
        return is_reset and topic in REQUIRED_TOPICS and self.view.has_data(topic)

    def respond_to_pending(self, topic):
        """Send snapshots for the pending requests that can be answered by now."""
        for node in self.topics[topic].pop_ready_requesters(self.clock()):
            self._send_snapshot(topic, node)

    def _send_snapshot(self, topic, node):
        now = self.clock()
        watermark = build_watermark(topic, self.topics[topic].position, now)
        upstreams = ()
        if topic is Topic.UPSTREAMS:
            upstreams = build_snapshot_entries(self.view.registry, now)
        snapshot = SnapshotResponse(
            watermark, self.view.compress_records(topic), upstreams
        )
        self.send_message("peers", ToNode(node, snapshot))
