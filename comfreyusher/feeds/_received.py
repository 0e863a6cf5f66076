"""Data that other nodes of the region send: watermarks, deltas and snapshots."""

import math
import random

from comfreyusher.events import log_info
from comfreyusher.feeds._catch_up import FOLLOWED_TOPICS
from comfreyusher.feeds._exchange import REQUEST_RETRY_S, REQUIRED_TOPICS
from comfreyusher.feeds._messages import UpstreamsChanged
from comfreyusher.feeds._state import (
    Position,
    advance_removals,
    apply_delta,
    apply_due_removals,
    apply_snapshot,
)
from comfreyusher.feeds._view import PART
from comfreyusher.flow import replace
from comfreyusher.messages import FeedWatermarks, ToNode
from comfreyusher.platform import NewestRead, Topic

PEER = "peer"
TOPIC_BY_NAME = {topic.value: topic for topic in FOLLOWED_TOPICS}
# How many nodes tell a reader that they have a newer configuration.
VERSION_NOTICES = 3
NEVER_READ_MS = 3_600_000


class RegionData:
    """Applies what other nodes send to this node's topics and view."""

    def __init__(self, topics, view, exchange, catch_up, outage, send_message):
        self.topics = topics
        self.view = view
        self.exchange = exchange
        self.catch_up = catch_up
        self.outage = outage
        self.send_message = send_message
        self.clock = exchange.clock
        self.random = random.Random(exchange.own.node)

    def apply_watermarks(self, message, now):
        """Apply the watermarks of a reader, and what it knows of outages."""
        for watermark in message.topics:
            topic = TOPIC_BY_NAME.get(watermark.topic)
            if topic is None:
                continue  # a node of a later version knows more topics
            self.catch_up.apply(topic, self.topics[topic], watermark, message.node, now)
            if topic is Topic.UPSTREAMS:
                self.outage.confirm(now - watermark.age_ms / 1000)
        if message.available_ms:
            self._revise_outage(now - message.available_ms / 1000, now, message.node)

    def _revise_outage(self, available_since_s, now, source):
        """Apply removals at once that were held back for an outage that was none."""
        if self.outage.revise(available_since_s):
            due_s = max(now, self.outage.removal_due_s(now))
            registry = advance_removals(self.view.registry, due_s)
            self.view.update_registry(apply_due_removals(registry, now), source)

    def apply_delta(self, delta):
        """Apply changes of upstreams that a reader has read."""
        state = self.topics[Topic.UPSTREAMS]
        position = state.position
        if (
            not position.known
            or not delta.base_offset <= position.end_offset < delta.changed_offset
        ):
            return
        entries = state.collect_pages(delta)
        if entries is None:
            return
        now = self.clock()
        result = apply_delta(
            self.view.registry,
            entries,
            now,
            self.outage.removal_due_s(now),
            self.outage.earliest_removal_s(now),
        )
        self.view.update_registry(result, delta.node)
        state.position = replace(
            position,
            end_offset=delta.changed_offset,
            changed_offset=delta.changed_offset,
        )
        state.drop_pages(delta.changed_offset)
        self.exchange.respond_to_pending(Topic.UPSTREAMS)

    # Snapshots -------------------------------------------------------------------

    def apply_snapshot(self, snapshot, is_current):
        """Apply a snapshot of another node, if this node has not read as far.

        ``is_current`` tells whether it is of the newest era.
        """
        watermark = snapshot.watermark
        topic = Topic(watermark.topic)
        state = self.topics[topic]
        position = state.position
        era = position.era
        may_be_newer = era and topic is Topic.CONFIGURATION
        has_read = position.known and position.end_offset >= watermark.changed_offset
        if not may_be_newer and (has_read or not is_current):
            return
        if not may_be_newer and watermark.end_offset < position.end_offset:
            return  # older than this node's data from before the offset expired
        records = (
            self.view.decompress_records(topic, snapshot.records)
            if snapshot.records
            else ()
        )
        if records is None:
            return
        if may_be_newer:
            self._apply_records(topic, position.end_offset, records)
        if has_read or not is_current or watermark.end_offset < position.end_offset:
            return
        if era and topic in REQUIRED_TOPICS and not watermark.changed_offset:
            self._apply_older_upstreams(snapshot.upstreams)
            return
        self._take_over(topic, state, snapshot, records)

    def _take_over(self, topic, state, snapshot, records):
        """Apply a snapshot, and take over how far its sender has read."""
        now = self.clock()
        watermark = snapshot.watermark
        is_first = state.never_confirmed
        state.position = Position(
            True,
            watermark.end_offset,
            watermark.changed_offset,
            now - watermark.age_ms / 1000,
            state.position.era,
        )
        log_info(PART, "snapshot taken", topic=topic.value, age_ms=watermark.age_ms)
        if topic is Topic.UPSTREAMS:
            due_s = math.inf if is_first else self.outage.removal_due_s(now)
            self._apply_upstreams(snapshot.upstreams, due_s)
        else:
            self._apply_records(topic, watermark.end_offset, records)
        self.exchange.respond_to_pending(topic)
        state.behind = state.target_offset > watermark.end_offset
        if state.behind:
            self.catch_up.start(topic, state, now)

    def _apply_records(self, topic, end_offset, records):
        state = self.topics[topic]
        read = NewestRead(topic, end_offset, records, era=state.position.era)
        waited_ms = state.waited_ms(self.clock())
        self.view.update_records(topic, read, True, PEER, waited_ms)

    def _apply_upstreams(self, upstreams, removal_due_s):
        now = self.clock()
        result = apply_snapshot(
            self.view.registry,
            upstreams,
            now,
            removal_due_s,
            self.outage.earliest_removal_s(now),
        )
        self.view.update_registry(result, PEER)
        self.send_message("node", UpstreamsChanged(self.view.registry.upstreams, ()))

    def _apply_older_upstreams(self, upstreams):
        """Use upstreams that another node knows from an older era.

        They are better than none; the next read of the store replaces them.
        """
        if upstreams and not self.view.has_data(Topic.UPSTREAMS):
            self._apply_upstreams(upstreams, math.inf)

    # Versions of the configuration -------------------------------------------------

    def compare_versions(self, message):
        """Compare the configuration in force with that of a reader.

        Nodes that have read equally far may differ in it: the store may have lost the
        newest version, which only nodes have that were running before.
        """
        own_version = self.view.configuration_version
        if message.configuration_version > own_version:
            self._request_newer_configuration(message.node)
        elif message.topics and message.configuration_version < own_version:
            if self.random.random() * len(self.exchange.nodes) < VERSION_NOTICES:
                notice = FeedWatermarks(
                    self.exchange.own.node,
                    (),
                    NEVER_READ_MS,
                    self.topics[Topic.CONFIGURATION].position.era,
                    own_version,
                )
                self.send_message("datagrams", ToNode(message.node, notice))

    def _request_newer_configuration(self, node):
        """Request a configuration that this node will not read from the store."""
        state = self.topics[Topic.CONFIGURATION]
        if state.behind or not state.position.known:
            return
        if self.clock() - state.requested_s >= REQUEST_RETRY_S:
            self.exchange.request_snapshot(node, Topic.CONFIGURATION, -1)
