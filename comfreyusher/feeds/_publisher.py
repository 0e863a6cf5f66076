"""What a reader sends to the other nodes of its region: watermarks and deltas."""

from comfreyusher.feeds._state import add_removal_delays, keep_last_entries
from comfreyusher.feeds._watermarks import (
    PendingDelta,
    age_ms,
    build_watermarks,
    record_send,
    split_into_pages,
)
from comfreyusher.messages import FeedWatermarks, ToNode
from comfreyusher.platform import Topic


class RegionPublisher:
    """The deltas that are yet to be sent, and when watermarks were sent last."""

    def __init__(self, own, topics, view, exchange, send_message):
        self.own = own
        self.topics = topics
        self.view = view
        self.exchange = exchange
        self.send_message = send_message
        self.pending_deltas = []
        self.sent_s = 0.0

    def queue_delta(self, delta, end_offset, now):
        """Queue entries that this reader read up to an offset."""
        if not delta:
            return
        base_offset = self.topics[Topic.UPSTREAMS].position.changed_offset
        newest = keep_last_entries(delta)
        entries = add_removal_delays(self.view.registry, newest, now)
        era = self.topics[Topic.UPSTREAMS].position.era
        delta = PendingDelta(base_offset, end_offset, entries, era)
        self.pending_deltas.append(delta)

    def send(self, last_read_s, now):
        """Send this reader's watermarks and the pending deltas to the region.

        ``last_read_s`` is when the store last responded to this node.
        """
        self.sent_s = now
        messages = []
        for delta in self.pending_deltas:
            messages.extend(split_into_pages(delta, self.own.node))
        self.pending_deltas = [
            record_send(delta) for delta in self.pending_deltas if delta.sends_left > 1
        ]
        watermarks = build_watermarks(self.topics, now)
        read_age_ms = age_ms(last_read_s, now)
        era = self.topics[Topic.UPSTREAMS].position.era
        version = self.view.configuration_version
        messages.append(
            FeedWatermarks(self.own.node, watermarks, read_age_ms, era, version)
        )
        for node in self.exchange.nodes:
            if node != self.own.node:
                for body in messages:
                    self.send_message("datagrams", ToNode(node, body))

    def stop(self):
        """Forget the pending deltas: another node reads from now on."""
        self.pending_deltas = []
