"""What a node asks of other nodes, and what they ask of it."""

import random

from comfreyusher.feeds._marks import mark_of
from comfreyusher.feeds._relay import parent_of
from comfreyusher.feeds._state import entries_of
from comfreyusher.feeds._topic import Asker
from comfreyusher.messages import SnapshotRequest, SnapshotResponse, ToNode
from comfreyusher.platform import Topic

ASK_AGAIN_S = 0.5
ASK_NEXT_S = 0.3
ASK_MARKER_AFTER_S = 0.3
ASKER_KEPT_S = 3.0
NEEDED = (Topic.CONFIGURATION, Topic.UPSTREAMS)


class Exchange:
    """Asks for snapshots of topics, and gives them.

    ``nodes`` are those of the region in the order in which they read, ``near``
    those of the data centre. ``send_message`` takes a channel and a message.
    """

    def __init__(self, own, topics, known, clock, send_message):
        self.own = own
        self.topics = topics
        self.known = known
        self.clock = clock
        self.send_message = send_message
        self.random = random.Random(own.node)
        self.nodes = (own.node,)
        self.near = (own.node,)

    # Asking ----------------------------------------------------------------------

    @property
    def is_head(self):
        """Whether this node is the first one of its data centre."""
        return self.near[:1] == (self.own.node,)

    def ask(self, node, topic):
        """Ask a node for what it knows of a topic beyond this node."""
        state = self.topics[topic]
        state.asked, state.asked_s = node, self.clock()
        end = state.position.end if state.position.known else -1
        self.send_message(
            "peers", ToNode(node, SnapshotRequest(self.own.node, topic.value, end))
        )

    def ask_parent(self, topic):
        """Ask the parent of this node; tell whether it has one."""
        parent = self._parent(self.topics[topic])
        if parent:
            self.ask(parent, topic)
        return bool(parent)

    def ask_next(self, topic, now):
        """Ask the parent of a node that gave nothing, up to the reader."""
        state = self.topics[topic]
        if not state.asked or now - state.asked_s < ASK_NEXT_S:
            return
        above = parent_of(state.asked, self.near, state.marker)
        if above and above not in (state.asked, self.own.node):
            self.ask(above, topic)

    def ask_if_slow(self, topic, now):
        """Ask the reader once for what the store takes long to give."""
        state = self.topics[topic]
        if state.asked_s < state.called_s <= now - ASK_MARKER_AFTER_S:
            self.ask(state.marker, topic)

    def ask_for_missing(self, now):
        """Ask for what was never known: the parent first, then anyone."""
        for topic in NEEDED:
            state = self.topics[topic]
            if not state.fresh or now - state.asked_s < ASK_AGAIN_S:
                continue
            others = [node for node in self.nodes if node != self.own.node]
            parent = self._parent(state)
            if others and (state.asked_s or not parent):
                parent = self.random.choice(others)
            if parent:
                self.ask(parent, topic)

    def _parent(self, state):
        reader = state.marker or self.nodes[0]
        return parent_of(self.own.node, self.near, reader)

    # Giving ----------------------------------------------------------------------

    def take_asker(self, asked):
        """Send what this node knows, or note who waits for it."""
        if not asked.topic:
            for topic, state in self.topics.items():
                if state.position.known:
                    self._give(topic, asked.requester)
            return
        topic = Topic(asked.topic)
        asker = Asker(asked.end_offset, self.clock() + ASKER_KEPT_S)
        self.topics[topic].askers[asked.requester] = asker
        self.answer(topic)

    def answer(self, topic):
        """Give the nodes that wait for a topic what this node knows by now."""
        for asker in self.topics[topic].take_ready_askers(self.clock()):
            self._give(topic, asker)

    def _give(self, topic, asker):
        now = self.clock()
        mark = mark_of(topic, self.topics[topic].position, now)
        upstreams = ()
        if topic is Topic.UPSTREAMS:
            upstreams = entries_of(self.known.listing, now)
        given = SnapshotResponse(mark, self.known.pack(topic), upstreams)
        self.send_message("peers", ToNode(asker, given))
