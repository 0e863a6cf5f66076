"""The task that follows the store's topics, directly or through other nodes."""

import random

from comfreyusher.events import log_info
from comfreyusher.feeds._catch_up import FOLLOWED_TOPICS, OWN_TOPICS, CatchUp
from comfreyusher.feeds._era import begin_era
from comfreyusher.feeds._exchange import REQUIRED_TOPICS, SnapshotExchange
from comfreyusher.feeds._messages import ReadNow, RegionChanged, UpstreamsChanged
from comfreyusher.feeds._outage import Outage
from comfreyusher.feeds._preparation import Preparation
from comfreyusher.feeds._publisher import RegionPublisher
from comfreyusher.feeds._reader import backoff_s, rank_readers
from comfreyusher.feeds._received import RegionData
from comfreyusher.feeds._relay import first_read_delay_s
from comfreyusher.feeds._state import NEVER_S, apply_due_removals
from comfreyusher.feeds._topic import TopicState
from comfreyusher.feeds._view import PART, FeedView
from comfreyusher.flow import Subscribe, Task, Tick, replace
from comfreyusher.messages import (
    FeedWatermarks,
    SnapshotRequest,
    SnapshotResponse,
    UpstreamDelta,
)
from comfreyusher.platform import (
    EraChanged,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    Topic,
)

CHANNEL = "feeds"
TICK_PERIOD_S = 0.25
OWN_TOPIC_WAIT_S = 10.0
STORE = "store"


class FeedTask(Task):
    """Keeps this node's view of the platform's topics up to date.

    A reader (``is_reader``) reads the store for its region, and sends watermarks,
    deltas and snapshots to the other nodes.
    """

    def __init__(self, own, timings, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.own = own
        self.timings = timings
        self.random = random.Random(own.node)
        self.topics = {topic: TopicState() for topic in FOLLOWED_TOPICS}
        self.rank = 0
        self.is_reader = False
        self.view = FeedView(self._forward_message, self.clock)
        self.exchange = SnapshotExchange(
            own, self.topics, self.view, self.clock, self._forward_message
        )
        self.outage = Outage(self.clock())
        self.publisher = RegionPublisher(CHANNEL, self.exchange, self.outage)
        self.catch_up = CatchUp(timings, self.view, self.exchange, self.random)
        self.last_read_s = NEVER_S
        self.region_data = RegionData(
            self.topics,
            self.view,
            self.exchange,
            self.catch_up,
            self.outage,
            self._forward_message,
        )
        self.started_s = 0.0
        self.preparation = Preparation(
            CHANNEL, self.view.decoder, self._forward_message
        )
        prepare = self.preparation.wrap
        self.message_handlers = {
            EraChanged: self.handle_era_changed,
            RegionChanged: self.handle_region_changed,
            RecordsRead: prepare(self.handle_records_read),
            NewestRead: prepare(self.handle_newest_read),
            ReadFailed: self.handle_read_failed,
            FeedWatermarks: self.handle_feed_watermarks,
            UpstreamDelta: self.handle_upstream_delta,
            SnapshotRequest: self.handle_snapshot_request,
            SnapshotResponse: prepare(self.handle_snapshot_response),
            ReadNow: self.handle_read_now,
            Tick: self.preparation.wrap_tick(
                self.publisher.wrap_tick(self.handle_tick)
            ),
        }

    def _forward_message(self, channel, body):
        self.send_message(channel, body)

    def prepare(self):
        """Subscribe to the tick."""
        self.started_s = self.clock()
        self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))

    def handle_region_changed(self, changed):
        """Update the order of readers and the tree of the data centre."""
        self.exchange.nodes = rank_readers(self.own.region, changed.nodes)
        self.exchange.data_centre_nodes = rank_readers(
            self.own.data_centre, changed.data_centre_nodes
        )
        self.rank = self._rank_of(self.own.node)
        self.exchange.request_missing(self.clock())

    def _rank_of(self, node):
        nodes = self.exchange.nodes
        return nodes.index(node) if node in nodes else len(nodes)

    # Eras --------------------------------------------------------------------

    @property
    def era(self):
        """The newest era of the store that this node knows."""
        return self.topics[Topic.UPSTREAMS].position.era

    def handle_era_changed(self, changed):
        """Handle a newer era that the store has named."""
        self._is_current(changed.era)

    def _is_current(self, era):
        """Return whether data is of the newest era; begin that era if it is new."""
        if era > self.era:
            begin_era(self, era)
        return era == self.era

    # Store -------------------------------------------------------------------

    def _call_store(self, topic, wait_s=0.0):
        state = self.topics[topic]
        if state.call_pending:
            return
        state.call_pending = True
        state.call_started_s = self.clock()
        state.call_era = self.era
        if state.can_follow and not self._needs_only_newest(topic, state):
            start = state.position.end_offset
            call = ReadRecords(CHANNEL, topic, start, int(wait_s * 1000), self.era)
        else:
            call = ReadNewest(CHANNEL, topic)
        self.send_message("platform", call)

    def _needs_only_newest(self, topic, state):
        """Return whether several versions are missing; only the newest is needed."""
        return (
            topic is Topic.CONFIGURATION
            and state.target_offset - state.position.end_offset > 1
        )

    def handle_read_now(self, request):
        """Read a topic at once, after this node changed it or knows of a change."""
        self._call_store(request.topic)

    def handle_records_read(self, read):
        """Apply the records after the position.

        Leaves out those received from another node during the call.
        """
        state = self.topics[read.topic]
        if not self._is_current(read.era) or state.call_era != self.era:
            self._repeat_call(read.topic)
            return
        position = state.position
        if read.end_offset < read.start_offset:
            self._discard_old_response(read)
            return
        if (
            read.next_offset < position.end_offset
            or read.start_offset > position.end_offset
        ):
            state.call_pending = False
            return
        records = tuple(r for r in read.records if r.offset >= position.end_offset)
        read = replace(read, records=records)
        changed = self._apply_records(read, read.next_offset, whole=False, source=STORE)
        behind = read.next_offset < read.end_offset
        self._update_position(read.topic, read.next_offset, changed, behind)

    def handle_newest_read(self, read):
        """Apply the newest records of a whole topic."""
        if not self._is_current(read.era):
            self._repeat_call(read.topic)
            return
        if read.end_offset < self.topics[read.topic].position.end_offset:
            self._discard_old_response(read)
            return
        changed = self._apply_records(read, read.end_offset, whole=True, source=STORE)
        self._update_position(read.topic, read.end_offset, changed, behind=False)

    def _repeat_call(self, topic):
        """Read a topic again after a response of, or to an offset of, another era."""
        state = self.topics[topic]
        state.call_pending = False
        state.next_call_s = self.clock()
        if self.is_reader:
            self._read_if_needed(topic, state, self.clock())

    def _discard_old_response(self, read):
        """Ignore a response older than this node's position, and read again soon."""
        state = self.topics[read.topic]
        known = state.position.end_offset
        log_info(
            PART, "old answer", topic=read.topic.value, end=read.end_offset, known=known
        )
        state.call_pending = False
        self._back_off(state)

    def _update_position(self, topic, end_offset, changed, behind):
        now = self.clock()
        state = self.topics[topic]
        position, is_first = state.position, not state.position.known
        end_offset = max(end_offset, position.end_offset)
        state.position = replace(
            position,
            known=True,
            end_offset=end_offset,
            changed_offset=(
                end_offset if changed or is_first else position.changed_offset
            ),
            confirmed_s=position.confirmed_s if behind else now,
        )
        if is_first and topic is Topic.UPSTREAMS:
            self.send_message(
                "node", UpstreamsChanged(self.view.registry.upstreams, ())
            )
        self._end_backoff(now)
        state.offset_expired = False
        state.behind = behind
        if topic is Topic.UPSTREAMS:
            self.outage.confirm(now)
            self.last_read_s = now
        state.call_pending = False
        self.view.report_configuration(self.topics[Topic.CONFIGURATION].behind)
        state.next_call_s = now if behind else self._next_call_s(topic, state)
        if end_offset < state.target_offset:  # the store responded with an old state
            self.exchange.request_snapshot(state.reader, topic)
        self.exchange.respond_to_pending(topic)
        if self.is_reader and (changed or topic is Topic.UPSTREAMS):
            self.publisher.send(self.last_read_s, now)

    def _next_call_s(self, topic, state):
        if topic is Topic.UPSTREAMS:
            return state.call_started_s + self.timings.upstreams_period_s
        return self.clock()

    def handle_read_failed(self, failure):
        """Back off; if the offset has expired, read the newest records at once."""
        state = self.topics[failure.topic]
        self._is_current(max(failure.era, self.era))
        is_older = failure.expired and failure.era < self.era
        if state.call_era != self.era or is_older:
            self._repeat_call(failure.topic)
            return
        state.call_pending = False
        if failure.expired:
            state.offset_expired = True
            state.position = replace(state.position, known=False)
            self._call_store(failure.topic)
            return
        state.last_failure_s = self.clock()
        if state.behind:
            self.exchange.request_snapshot(state.reader, failure.topic)
        self._back_off(state)

    def _back_off(self, state):
        state.failures += 1
        wait_s = backoff_s(state.failures, self.rank, self.random.random())
        state.next_call_s = self.clock() + wait_s

    def _end_backoff(self, now):
        """Read the topics that back off, since the store responds again."""
        for state in self.topics.values():
            if state.failures:
                state.failures = 0
                state.next_call_s = min(state.next_call_s, now)

    def _last_confirmed_s(self):
        """Return when the store last confirmed the upstreams, or else the start.

        A new era counts too: the data of it may take as long to arrive.
        """
        position = self.topics[Topic.UPSTREAMS].position
        return max(position.confirmed_s, self.started_s, self.outage.restored_s)

    def _apply_records(self, read, end_offset, whole, source):
        """Apply records of a topic; return whether they may concern other nodes.

        ``source`` is the node that sent them, or the store. The newest records of
        upstreams leave out those that came and ended before. Other nodes may know
        of such upstreams, so they get no delta and have to read for themselves.
        """
        if read.topic is not Topic.UPSTREAMS:
            waited_ms = self.topics[read.topic].waited_ms(self.clock())
            return self.view.update_records(read.topic, read, whole, source, waited_ms)
        removal_due_s = self.outage.removal_due_s(self.clock())
        delta = self.view.update_upstreams(read.records, whole, removal_due_s, source)
        if not whole and self.is_reader:
            self.publisher.queue_delta(delta, end_offset, self.clock())
        return whole or bool(delta)

    # Watermarks ------------------------------------------------------------------

    def handle_feed_watermarks(self, message):
        """Apply a reader's watermarks, and plan to get the data that is missing.

        Stop reading if that reader is earlier in the order, and the store has
        responded to it recently.
        """
        if not self._is_current(message.era):
            return
        now = self.clock()
        rank = self._rank_of(message.node)
        self.region_data.apply_watermarks(message, now)
        self.view.report_configuration(self.topics[Topic.CONFIGURATION].behind)
        if self.is_reader and rank < self.rank:
            if message.read_age_ms / 1000 < self.timings.max_staleness_s(rank):
                self.is_reader = False
                self.publisher.stop()
                log_info(PART, "reader stops", better=message.node)
        if self.era:
            self.region_data.compare_versions(message)

    def handle_upstream_delta(self, delta):
        """Apply changes of upstreams that a reader has read."""
        if self._is_current(delta.era):
            self.region_data.apply_delta(delta)

    def handle_snapshot_request(self, request):
        """Send a snapshot to another node."""
        self._is_current(request.era)
        self.exchange.handle_snapshot_request(request)

    def handle_snapshot_response(self, snapshot):
        """Apply a snapshot of another node.

        A newer version of the configuration counts whatever era it is from.
        """
        is_current = self._is_current(snapshot.watermark.era)
        self.region_data.apply_snapshot(snapshot, is_current)
        self.view.report_configuration(self.topics[Topic.CONFIGURATION].behind)

    # Time ------------------------------------------------------------------------

    def handle_tick(self, tick):
        """Read the topics that are due, and send watermarks as a reader.

        Become a reader if the store has confirmed the upstreams to no reader for
        too long.
        """
        now = tick.now_s
        due = apply_due_removals(self.view.registry, now)
        self.view.update_registry(due, STORE)
        self.exchange.request_missing(now)
        stale_s = now - self._last_confirmed_s()
        if not self.is_reader and stale_s > self.timings.max_staleness_s(self.rank):
            self.is_reader = True
            log_info(PART, "reader starts", rank=self.rank, stale_s=round(stale_s, 2))
        for topic, state in self.topics.items():
            if not state.call_pending and now >= state.next_call_s:
                self._read_if_needed(topic, state, now)
            elif state.call_pending and state.behind:
                self.exchange.request_if_store_slow(topic, now)
        if (
            self.is_reader
            and now - self.publisher.sent_s >= 2 * self.timings.upstreams_period_s
        ):
            self.publisher.send(self.last_read_s, now)

    def _read_if_needed(self, topic, state, now):
        """Read the store as a reader, or if no other node sent the missing data."""
        if topic in REQUIRED_TOPICS and state.never_confirmed:
            due_s = self.started_s + first_read_delay_s(self.rank)
            if now >= max(due_s, state.store_read_due_s):
                self._call_store(topic)
        elif self.is_reader:
            if topic in OWN_TOPICS and self.topics[Topic.UPSTREAMS].failures:
                return  # the store refuses calls: leave them to the required topics
            waits = dict.fromkeys(OWN_TOPICS, OWN_TOPIC_WAIT_S)
            waits[Topic.CONFIGURATION] = self.timings.configuration_wait_s
            self._call_store(topic, waits.get(topic, 0.0))
        elif state.behind and now >= state.store_read_due_s:
            self._call_store(topic)
        elif state.behind and self.catch_up.is_relayed(topic, state):
            self.exchange.request_from_next(topic, now)
        elif topic in REQUIRED_TOPICS and not state.position.known:
            if now >= state.store_read_due_s:
                self._call_store(topic)
