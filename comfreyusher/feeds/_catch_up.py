"""How a node gets the data that a reader's watermarks show to be missing."""

from comfreyusher.feeds._log import log_reader_followed
from comfreyusher.feeds._relay import store_read_delay_s
from comfreyusher.feeds._state import Position
from comfreyusher.flow import replace
from comfreyusher.platform import NewestRead, Topic

CATCH_UP_JITTER_S = 0.25
RETRY_BEHIND_S = 0.4
OWN_TOPICS = (Topic.DECLARATIONS, Topic.QUARANTINES)
FOLLOWED_TOPICS = (Topic.UPSTREAMS, Topic.CONFIGURATION, *OWN_TOPICS)


class CatchUp:
    """Compares watermarks with this node's positions, and plans requests and reads.

    ``random`` spreads the reads of many nodes.
    """

    def __init__(self, timings, view, exchange, random):
        self.timings = timings
        self.view = view
        self.exchange = exchange
        self.random = random

    def apply(self, topic, state, watermark, node, now):
        """Apply the watermark of a reader, the node ``node``."""
        if watermark.changed_offset >= state.target_offset:
            self._follow_reader(state, watermark, node, now)
        self._apply_watermark(topic, state, watermark, now)

    def _follow_reader(self, state, watermark, node, now):
        """Remember a reader that has read at least as far as any before it."""
        if state.reader != node and watermark.topic == Topic.UPSTREAMS.value:
            log_reader_followed(state, watermark, node, now)
        state.reader = node

    def _apply_watermark(self, topic, state, watermark, now):
        """Confirm this node's position, or start to catch up with the watermark.

        A watermark without changes of one of our own topics means that it is empty.
        """
        position = state.position
        if not watermark.changed_offset and not position.known and topic in OWN_TOPICS:
            position = Position(known=True, era=position.era)
            self.view.send_records(topic, NewestRead(topic, 0, (), era=position.era))
        if watermark.changed_offset > state.target_offset:
            state.target_offset, state.target_since_s = watermark.changed_offset, now
        if position.known and position.end_offset >= state.target_offset:
            state.behind = False
            confirmed_s = max(position.confirmed_s, now - watermark.age_ms / 1000)
            state.position = replace(
                position,
                end_offset=max(position.end_offset, watermark.end_offset),
                changed_offset=max(position.changed_offset, watermark.changed_offset),
                confirmed_s=confirmed_s,
            )
            return
        if not state.behind:
            state.behind = True
            self.start(topic, state, now)
        elif now - max(state.last_failure_s, state.requested_s) > RETRY_BEHIND_S:
            state.next_call_s = min(state.next_call_s, now)

    def start(self, topic, state, now):
        """Request missing data from another node, and plan a read of the store."""
        state.store_read_due_s = now + self.random.random() * CATCH_UP_JITTER_S
        state.next_call_s = min(state.next_call_s, state.store_read_due_s)
        if state.call_pending or not self.is_relayed(topic, state):
            return
        if not self.exchange.request_from_parent(topic):
            return
        is_root = self.exchange.is_root
        wait_s = store_read_delay_s(
            self.timings.configuration_apply_s, is_root, self.random.random()
        )
        state.store_read_due_s = now + wait_s

    def is_relayed(self, topic, state):
        """Return whether missing data is requested from nodes before the store.

        Missing entries of upstreams are few, so they are read from the store.
        """
        return topic is not Topic.UPSTREAMS or not state.position.known
