"""What a reader sends to the other nodes of its region: watermarks and deltas.

A round goes to every node of the region. Its datagrams are spread over time: the link
of a VM is narrow, and drops a burst from its end on. Each round begins behind the node
that was served last, so that what is lost all the same is not always lost to the same
nodes.
"""

import collections
import dataclasses

from comfreyusher.events import log_info
from comfreyusher.feeds._state import (
    Position,
    add_removal_delays,
    keep_last_entries,
)
from comfreyusher.feeds._view import PART
from comfreyusher.feeds._watermarks import (
    MAX_AGE_S,
    PendingDelta,
    age_ms,
    build_watermarks,
    count_sends,
    record_send,
    split_into_pages,
)
from comfreyusher.flow import Subscribe
from comfreyusher.messages import FeedWatermarks, ToNode
from comfreyusher.platform import Topic

TICK_NAME = "publisher"
# 24 datagrams of less than 1,400 bytes in 50 ms are at most 5.4 Mbit/s.
MIN_SLICE_DATAGRAMS = 24
SLICE_PERIOD_S = 0.05
# Slices of a round of watermarks alone, which must be over before the next one is due.
MAX_WATERMARK_SLICES = 5
# A longer round would delay the watermarks by over a second. Without the deltas, nodes
# read the store themselves.
MAX_SLICES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """What every node of the region gets once.

    ``pages`` are those of deltas, ``position`` is how far the upstreams were read when
    the round began: later changes of them are in no page of this round. The store
    responded to this reader last at ``last_read_s``.
    """

    pages: tuple
    position: Position
    last_read_s: float


class RegionPublisher:
    """The deltas that are yet to be sent, and the round that is being sent.

    ``sent_s`` is when the last round began. ``waiting_nodes`` are yet to get the
    messages of ``round``, ``last_node`` got them last. ``next_read_s`` is set while
    another round waits for the end of this one.
    """

    def __init__(self, channel, exchange, outage):
        self.channel = channel
        self.exchange = exchange
        self.outage = outage
        self.own = exchange.own
        self.topics = exchange.topics
        self.view = exchange.view
        self.clock = exchange.clock
        self.send_message = exchange.send_message
        self.pending_deltas = []
        self.sent_s = 0.0
        self.round = None
        self.waiting_nodes = collections.deque()
        self.last_node = ""
        self.next_read_s = None

    def queue_delta(self, delta, end_offset, now):
        """Queue entries that this reader read up to an offset."""
        if not delta:
            return
        base_offset = self.topics[Topic.UPSTREAMS].position.changed_offset
        newest = keep_last_entries(delta)
        entries = add_removal_delays(self.view.registry, newest, now)
        era = self.topics[Topic.UPSTREAMS].position.era
        sends = count_sends(entries)
        delta = PendingDelta(base_offset, end_offset, entries, era, sends)
        self.pending_deltas.append(delta)

    def send(self, last_read_s, now):
        """Send this reader's watermarks and the pending deltas to the region.

        ``last_read_s`` is when the store last responded to this node. If a round is
        being sent, the next one begins after it.
        """
        if self.waiting_nodes:
            self.next_read_s = last_read_s
            return
        self.sent_s = now
        self.waiting_nodes = self._order_nodes()
        position = self.topics[Topic.UPSTREAMS].position
        self.round = Round(self._take_pages(), position, last_read_s)
        self._send_slice()

    def _take_pages(self):
        """Return the pages of the pending deltas, and count that they are sent."""
        pages = []
        for delta in self.pending_deltas:
            pages.extend(split_into_pages(delta, self.own.node))
        self.pending_deltas = [
            record_send(delta) for delta in self.pending_deltas if delta.sends_left > 1
        ]
        node_count = len(self.waiting_nodes)
        if node_count * (len(pages) + 1) > MAX_SLICES * self.slice_datagrams:
            log_info(PART, "deltas left out", nodes=node_count, pages=len(pages))
            return ()
        return tuple(pages)

    @property
    def slice_datagrams(self):
        """Number of datagrams in a slice, more than usual in a very large region."""
        node_count = len(self.exchange.nodes)
        return max(MIN_SLICE_DATAGRAMS, -(-node_count // MAX_WATERMARK_SLICES))

    def _order_nodes(self):
        """Return the other nodes, beginning behind the one that was served last."""
        nodes = collections.deque(self.exchange.nodes)
        if self.last_node in nodes:
            nodes.rotate(-nodes.index(self.last_node) - 1)
        if self.own.node in nodes:
            nodes.remove(self.own.node)
        return nodes

    def wrap_tick(self, handler):
        """Return a handler of ticks that sends the next slice at its own ones."""

        def handle(tick):
            if tick.name == TICK_NAME:
                self._send_slice()
            else:
                handler(tick)

        return handle

    def _send_slice(self):
        """Send the messages of the round to some more nodes, and schedule the rest."""
        if not self.waiting_nodes:
            return
        messages = (*self.round.pages, self._build_watermarks())
        count = max(1, self.slice_datagrams // len(messages))
        for _ in range(min(count, len(self.waiting_nodes))):
            self.last_node = self.waiting_nodes.popleft()
            for body in messages:
                self.send_message("datagrams", ToNode(self.last_node, body))
        if self.waiting_nodes:
            pause = Subscribe(self.channel, TICK_NAME, SLICE_PERIOD_S, repeat=False)
            self.send_message("timers", pause)
        elif self.next_read_s is not None:
            last_read_s, self.next_read_s = self.next_read_s, None
            self.send(last_read_s, self.clock())

    def _build_watermarks(self):
        """Return the watermarks of the round, with their ages by now.

        A newer configuration does not wait for the next round.
        """
        now, position = self.clock(), self.round.position
        positions = {topic: state.position for topic, state in self.topics.items()}
        positions[Topic.UPSTREAMS] = position
        return FeedWatermarks(
            self.own.node,
            build_watermarks(positions, now),
            age_ms(self.round.last_read_s, now),
            position.era,
            self.view.configuration_version,
            int(min(MAX_AGE_S, self.outage.available_s(now)) * 1000),
        )

    def stop(self):
        """Send nothing more: another node reads from now on, or data is out of date."""
        self.pending_deltas = []
        self.waiting_nodes.clear()
        self.next_read_s = None
