"""Feeds of the store's topics: records, outages, readers and watermarks."""

import collections
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.feeds import (
    FANOUT,
    FeedTask,
    FeedTimings,
    RegionChanged,
    UpstreamRegistry,
    UpstreamsChanged,
    apply_configuration,
    apply_delta,
    apply_due_removals,
    apply_newest_records,
    apply_upstream_records,
    compress_record,
    find_parent,
    rank_readers,
)
from comfreyusher.flow import Tick
from comfreyusher.messages import (
    CompressedRecord,
    FeedWatermarks,
    MemberRecord,
    RegisteredUpstream,
    SnapshotRequest,
    SnapshotResponse,
    ToNode,
    TopicWatermark,
    UpstreamDelta,
)
from comfreyusher.platform import (
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    Record,
    RecordsRead,
    Topic,
)
from standins import documents

AT_ONCE_S = float("-inf")
NODES = ("vm-1.1", "vm-2.1", "vm-3.1", "vm-4.1")
ORDER = rank_readers("r", NODES)
TIMINGS = FeedTimings(2.5, 2.5)


def entry(name, offset=0, state="ready", warm="0ms", born=0, seq=1):
    """Return the record of an upstream."""
    value = documents.build_upstream_entry(
        state=state, warmup_left=warm, born=born, seq=seq
    )
    return Record(name, json.dumps(value).encode(), offset)


def removed_entry(name, offset=0):
    """Return the record of a removal."""
    return Record(name, b"", offset)


def configuration(version, offset=0):
    """Return the record of a configuration."""
    value = documents.build_configuration(version, [])
    return Record("config", json.dumps(value).encode(), offset)


class RegistryTests(unittest.TestCase):
    def test_heartbeats_alone_change_nothing(self):
        first = apply_upstream_records(
            UpstreamRegistry(), (entry("a", warm="3s"),), AT_ONCE_S
        )
        again = apply_upstream_records(first.registry, (entry("a", seq=2),), AT_ONCE_S)
        self.assertEqual(len(first.changed), 1)
        self.assertEqual(again.changed, ())

    def test_a_restart_under_the_same_name_is_a_change(self):
        first = apply_upstream_records(
            UpstreamRegistry(), (entry("a", born=1),), AT_ONCE_S
        )
        again = apply_upstream_records(first.registry, (entry("a", born=2),), AT_ONCE_S)
        self.assertEqual(len(again.changed), 1)

    def test_an_entry_that_becomes_unreadable_counts_as_a_removal(self):
        first = apply_upstream_records(
            UpstreamRegistry(), (entry("a"), entry("b")), AT_ONCE_S
        )
        result = apply_upstream_records(
            first.registry, (Record("a", b"?", 5),), AT_ONCE_S
        )
        self.assertEqual(sorted(result.registry.upstreams), ["b"])
        self.assertEqual(len(result.faults), 1)

    def test_entries_that_expired_in_an_outage_may_be_registered_again(self):
        """They are registered again within two seconds of the store's return."""
        registry = apply_upstream_records(
            UpstreamRegistry(), (entry("a"), entry("b")), AT_ONCE_S
        ).registry
        expired = apply_newest_records(registry, (entry("b", 9),), removal_due_s=102.2)
        self.assertEqual(expired.changed, ())
        early = apply_due_removals(expired.registry, 102.0)
        self.assertEqual(early.changed, ())
        back = apply_upstream_records(early.registry, (entry("a", 12),), AT_ONCE_S)
        late = apply_due_removals(back.registry, 103.0)
        self.assertEqual(sorted(late.registry.upstreams), ["a", "b"])

    def test_entries_that_are_not_registered_again_are_removed(self):
        registry = apply_upstream_records(
            UpstreamRegistry(), (entry("a"),), AT_ONCE_S
        ).registry
        expired = apply_newest_records(registry, (), removal_due_s=102.2).registry
        late = apply_due_removals(expired, 102.3)
        self.assertEqual([e.name for e in late.changed], ["a"])
        self.assertEqual(len(late.registry.upstreams), 0)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), st.sampled_from(("ready", "draining", "gone"))
            ),
            max_size=20,
        ),
        st.integers(0, 20),
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_newest_records_give_the_same_registry_as_all(self, steps, split):
        records = [
            removed_entry(name, n) if state == "gone" else entry(name, n, state)
            for n, (name, state) in enumerate(steps)
        ]
        whole = apply_upstream_records(UpstreamRegistry(), records, AT_ONCE_S).registry
        newest = {record.key: record for record in records}
        current = [record for record in newest.values() if record.value]
        earlier = apply_upstream_records(
            UpstreamRegistry(), records[:split], AT_ONCE_S
        ).registry
        joined = apply_newest_records(earlier, current, AT_ONCE_S).registry
        self.assertEqual(dict(joined.upstreams), dict(whole.upstreams))

    def test_a_delta_of_a_reader_gives_its_registry(self):
        read = apply_upstream_records(
            UpstreamRegistry(), (entry("a"), entry("b")), AT_ONCE_S
        )
        received = apply_delta(UpstreamRegistry(), read.delta, 100.0, AT_ONCE_S)
        self.assertEqual(
            dict(received.registry.upstreams), dict(read.registry.upstreams)
        )


class ConfigurationTests(unittest.TestCase):
    def test_versions_never_go_back(self):
        newest = apply_configuration(None, (configuration(12),)).configuration
        for version in (3, 12):
            again = apply_configuration(newest, (configuration(version),))
            self.assertIs(again.configuration, newest)
            self.assertIsNone(again.record)
        later = apply_configuration(newest, (configuration(40),))
        self.assertEqual(later.configuration.version, 40)

    # Guards against an odd record that hides the valid one that was read with it.
    def test_the_newest_readable_version_counts(self):
        for odd in (b"?", b"[" * 100_000, b'{"version": 7, "resources": []}'):
            records = (
                configuration(12),
                configuration(13, 1),
                Record("config", odd, 2),
            )
            result = apply_configuration(None, records)
            self.assertEqual(result.configuration.version, 13)
            self.assertEqual(len(result.faults), 1)


class FeedCase(unittest.TestCase):
    """A feed task on an injected clock, and the messages that it sends."""

    RANK = 0

    def setUp(self):
        self.now = 1000.0
        node = ORDER[self.RANK]
        name = node.partition(".")[0]
        own = MemberRecord(node, name, "h", 1, 1, "d", "r", 1)
        self.task = FeedTask(own, TIMINGS, clock=lambda: self.now)
        self.sent = []
        self.task.send_message = lambda channel, body: self.sent.append((channel, body))
        self.task.prepare()
        self.task.handle_region_changed(RegionChanged(NODES))

    def pop_messages(self, kind):
        """Return and forget the messages of a type, without their ``ToNode``."""
        found = []
        left = []
        for _, body in self.sent:
            inner = body.body if isinstance(body, ToNode) else body
            (found if isinstance(inner, kind) else left).append(inner)
        self.sent = [(None, body) for body in left]
        return found

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.25
            self.task.handle_tick(Tick("tick", self.now))

    def read_initial(self, *records):
        self.task.handle_newest_read(
            NewestRead(Topic.CONFIGURATION, 1, (configuration(1),))
        )
        self.task.handle_newest_read(NewestRead(Topic.UPSTREAMS, 10, records))

    def pop_calls(self, topic):
        return [
            c for c in self.pop_messages(ReadRecords | ReadNewest) if c.topic is topic
        ]

    def watermarks(self, rank, end, changed, age_ms=0, topic=Topic.UPSTREAMS):
        return FeedWatermarks(
            ORDER[rank], (TopicWatermark(topic.value, end, changed, age_ms),)
        )


class ReaderTests(FeedCase):
    def test_the_first_in_order_reads_everything_at_its_start(self):
        self.pass_time(0.5)
        calls = self.pop_messages(ReadNewest)
        topics = {call.topic for call in calls}
        self.assertEqual(topics, {Topic.CONFIGURATION, Topic.UPSTREAMS})
        self.assertEqual(len(calls), 2)

    def test_the_first_in_order_reads_on_and_sends_deltas_to_the_region(self):
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        self.pass_time(1.5)
        call = self.pop_calls(Topic.UPSTREAMS)[0]
        self.assertEqual(call.start_offset, 10)
        self.pop_messages(FeedWatermarks)
        page = RecordsRead(Topic.UPSTREAMS, 10, 11, 11, (removed_entry("a", 10),))
        self.task.handle_records_read(page)
        self.assertEqual(len(self.pop_messages(FeedWatermarks)), len(NODES) - 1)
        changes = self.pop_messages(UpstreamDelta)
        self.assertEqual([e.name for e in changes[0].upstreams], ["a"])

    # Guards against a topic that backs off for seconds while the store responds to
    # reads of another topic.
    def test_a_response_ends_the_backoff_of_other_topics(self):
        self.read_initial()
        self.task.is_reader = True
        for _ in range(6):
            self.task.handle_read_failed(ReadFailed(Topic.CONFIGURATION, "refused"))
        self.pop_messages(object)
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 10, 10, 10, ()))
        self.pass_time(0.25)
        self.assertEqual(len(self.pop_calls(Topic.CONFIGURATION)), 1)

    # Guards against a wait after the store dropped its history, which costs a tenth of
    # the time in which a configuration has to be in force.
    def test_an_expired_offset_is_followed_by_a_read_at_once(self):
        self.read_initial()
        self.task.is_reader = True
        self.pop_messages(object)
        failed = ReadFailed(Topic.CONFIGURATION, "expired", True, 50)
        self.task.handle_read_failed(failed)
        self.assertEqual(
            [type(c) for c in self.pop_messages(ReadRecords | ReadNewest)], [ReadNewest]
        )

    # Guards against a long wait after a connection was lost only once.
    def test_a_first_failure_is_retried_at_the_next_tick(self):
        self.read_initial()
        self.task.is_reader = True
        self.pop_messages(object)
        self.task.handle_read_failed(ReadFailed(Topic.CONFIGURATION, "ECONNRESET"))
        self.pass_time(0.25)
        self.assertEqual(len(self.pop_calls(Topic.CONFIGURATION)), 1)

    def test_an_expired_offset_leads_to_a_read_of_the_newest_records(self):
        self.read_initial()
        self.pass_time(1.5)
        self.pop_messages(ReadRecords)
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "old", True, 50))
        self.pass_time(0.5)
        self.assertIsInstance(self.pop_calls(Topic.UPSTREAMS)[0], ReadNewest)

    # Guards against a delta from a new reader, which cannot know which upstreams left
    # before it read.
    def test_newest_records_are_not_sent_as_a_delta(self):
        self.task.is_reader = True
        self.read_initial(entry("a"))
        self.assertEqual(self.pop_messages(UpstreamDelta), [])
        watermarks = [
            watermark
            for message in self.pop_messages(FeedWatermarks)
            for watermark in message.topics
        ]
        self.assertIn(TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 0), watermarks)

    # Guards against entries that came and ended while the reader did not read.
    def test_newest_records_after_an_expired_offset_count_as_changed(self):
        self.task.is_reader = True
        self.read_initial(entry("a"))
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "expired", True))
        self.pop_messages(object)
        self.task.handle_newest_read(NewestRead(Topic.UPSTREAMS, 40, (entry("a"),)))
        self.assertEqual(self.pop_messages(UpstreamDelta), [])
        watermarks = [
            watermark
            for message in self.pop_messages(FeedWatermarks)
            for watermark in message.topics
        ]
        self.assertIn(TopicWatermark(Topic.UPSTREAMS.value, 40, 40, 0), watermarks)

    # Guards against nodes that send each other snapshots of an offset that the store
    # no longer has, and never read the records since.
    def test_an_expired_offset_is_not_read_again_after_a_snapshot(self):
        self.read_initial(entry("a"))
        self.pop_messages(object)
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "expired", True))
        watermark = TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 3000)
        upstream = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (), (upstream,)))
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(1.5)
        calls = self.pop_calls(Topic.UPSTREAMS)
        self.assertEqual({type(call) for call in calls}, {ReadNewest})
        self.assertGreater(len(calls), 1)

    def test_reads_of_a_store_that_is_down_back_off(self):
        self.read_initial()
        self.pass_time(1.5)
        self.pop_messages(ReadRecords)
        call_count = 0
        for _ in range(10):
            self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "down"))
            self.pass_time(1.0)
            call_count += len(self.pop_calls(Topic.UPSTREAMS))
        self.assertLessEqual(call_count, 10)
        self.assertGreaterEqual(call_count, 4)


class NonReaderTests(FeedCase):
    RANK = 2

    def test_watermarks_of_a_reader_keep_a_node_from_reading(self):
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        for _ in range(20):
            self.task.handle_feed_watermarks(self.watermarks(0, 20, 10))
            self.pass_time(0.5)
        self.assertEqual(self.pop_messages(ReadRecords), [])
        self.assertFalse(self.task.is_reader)

    def test_a_silent_reader_is_replaced_within_the_bound(self):
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        self.task.handle_feed_watermarks(self.watermarks(0, 20, 10))
        self.pass_time(2.0)
        self.assertTrue(self.pop_messages(ReadRecords))

    def test_a_reader_that_the_store_refuses_is_replaced_too(self):
        """The reader still sends watermarks, but their age grows."""
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        for step in range(8):
            self.task.handle_feed_watermarks(
                self.watermarks(0, 10, 10, age_ms=step * 500)
            )
            self.pass_time(0.5)
        self.assertTrue(self.pop_messages(ReadRecords))

    def test_an_earlier_reader_ends_the_reading(self):
        self.read_initial(entry("a"))
        self.pass_time(2.0)
        self.assertTrue(self.task.is_reader)
        self.task.handle_feed_watermarks(self.watermarks(0, 20, 10))
        self.assertFalse(self.task.is_reader)

    # Guards against a reader that the store refuses, and that makes a reader stop to
    # which the store responds.
    def test_an_earlier_reader_that_the_store_refuses_does_not_end_the_reading(self):
        self.pass_time(2.5)
        self.assertTrue(self.task.is_reader)
        topic = TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 0)
        self.task.handle_feed_watermarks(
            FeedWatermarks(ORDER[0], (topic,), read_age_ms=5000)
        )
        self.assertTrue(self.task.is_reader)
        self.task.handle_feed_watermarks(
            FeedWatermarks(ORDER[0], (topic,), read_age_ms=100)
        )
        self.assertFalse(self.task.is_reader)

    # Guards against a reader that reports the store's responses to another reader as
    # responses to itself.
    def test_watermarks_carry_when_the_store_responded_to_this_reader(self):
        self.read_initial(entry("a"))
        self.pass_time(2.5)
        self.task.handle_feed_watermarks(self.watermarks(3, 20, 10))
        self.pop_messages(object)
        self.pass_time(1.5)
        (message, *_) = self.pop_messages(FeedWatermarks)
        self.assertGreater(message.read_age_ms, 2000)
        ages = [
            watermark.age_ms
            for watermark in message.topics
            if watermark.topic == Topic.UPSTREAMS.value
        ]
        self.assertLess(ages[0], 2000)

    def test_a_delta_of_the_reader_is_applied_without_a_call(self):
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        removal = RegisteredUpstream("a", removed=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 10, 14, (removal,)))
        self.task.handle_feed_watermarks(self.watermarks(0, 14, 14))
        changed = self.pop_messages(UpstreamsChanged)[-1]
        self.assertEqual(len(changed.upstreams), 0)
        self.pass_time(0.5)
        self.assertEqual(self.pop_messages(ReadRecords), [])

    def test_a_lost_delta_is_read_from_the_store(self):
        self.read_initial(entry("a"))
        self.pop_messages(ReadNewest)
        self.task.handle_feed_watermarks(self.watermarks(0, 14, 14))
        self.pass_time(0.5)
        call = self.pop_calls(Topic.UPSTREAMS)[0]
        self.assertEqual(call.start_offset, 10)

    def test_a_delta_from_a_later_offset_is_ignored(self):
        self.read_initial(entry("a"))
        removal = RegisteredUpstream("a", removed=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 12, 14, (removal,)))
        self.assertIn("a", self.task.view.registry.upstreams)

    # Guards against a delta in several datagrams that counts as received before all
    # of them have arrived.
    def test_a_delta_with_a_lost_page_does_not_count_as_received(self):
        self.read_initial(entry("a"), entry("b"))
        for name in ("a", "b"):
            self.assertIn(name, self.task.view.registry.upstreams)
        removals = (RegisteredUpstream("a", removed=True),)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 10, 14, removals, 0, 2))
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end_offset, 10)
        removals = (RegisteredUpstream("b", removed=True),)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 10, 14, removals, 1, 2))
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end_offset, 14)

    # Guards against a repeated delta that is sent with the offset of a newer delta: a
    # node that lost the newer one would not notice.
    def test_a_repeated_delta_keeps_its_own_offset(self):
        reader = ReaderTests("test_the_first_in_order_reads_everything_at_its_start")
        reader.setUp()
        reader.read_initial(entry("a"), entry("b"))
        reader.pass_time(1.5)
        task = reader.task
        for start, name in ((10, "a"), (11, "b")):
            removals = (removed_entry(name, start),)
            task.handle_records_read(
                RecordsRead(Topic.UPSTREAMS, start, start + 1, start + 1, removals)
            )
        deltas = {
            (c.base_offset, c.upstreams[0].name): c
            for c in reader.pop_messages(UpstreamDelta)
        }
        self.assertEqual(deltas[10, "a"].changed_offset, 11)
        self.assertEqual(deltas[11, "b"].changed_offset, 12)

    # Guards against nodes that missed a delta and don't learn of it from the next
    # reader.
    def test_watermarks_of_a_new_reader_cover_deltas_of_the_one_before(self):
        self.read_initial(entry("a"))
        removal = RegisteredUpstream("a", removed=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 10, 14, (removal,)))
        self.task.handle_feed_watermarks(self.watermarks(0, 14, 14))
        self.pass_time(2.5)
        self.pop_messages(object)
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 14, 20, 20, ()))
        watermarks = self.pop_messages(FeedWatermarks)[-1].topics
        changed = {
            watermark.topic: watermark.changed_offset for watermark in watermarks
        }
        self.assertGreaterEqual(changed[Topic.UPSTREAMS.value], 14)

    # Guards against reads of the store by every node of a region that starts at once.
    def test_a_later_node_requests_snapshots_at_its_start_before_it_reads(self):
        topics = {request.topic for request in self.pop_messages(SnapshotRequest)}
        self.assertEqual(topics, {Topic.CONFIGURATION.value, Topic.UPSTREAMS.value})
        self.pass_time(0.25)
        self.assertEqual(self.pop_messages(ReadNewest), [])
        self.pass_time(0.5)
        self.assertEqual(len(self.pop_messages(ReadNewest)), 2)

    def test_a_new_configuration_is_requested_after_a_watermark(self):
        self.read_initial()
        self.pop_messages(object)
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        (request,) = self.pop_messages(SnapshotRequest)
        self.assertEqual(
            (request.topic, request.end_offset), (Topic.CONFIGURATION.value, 1)
        )
        self.pass_time(0.25)
        self.assertEqual(self.pop_calls(Topic.CONFIGURATION), [])

    # Guards against a reader that has read less and ends a node's catching up.
    def test_watermarks_of_a_reader_that_lags_do_not_end_the_catching_up(self):
        self.read_initial()
        self.pop_messages(object)
        confirmed_s = self.task.topics[Topic.CONFIGURATION].position.confirmed_s
        for _ in range(4):
            self.task.handle_feed_watermarks(
                self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
            )
            self.pass_time(0.5)
            old = self.watermarks(1, 1, 1, topic=Topic.CONFIGURATION)
            self.task.handle_feed_watermarks(old)
        self.assertTrue(self.pop_calls(Topic.CONFIGURATION))
        position = self.task.topics[Topic.CONFIGURATION].position
        self.assertEqual(position.confirmed_s, confirmed_s)

    # Guards against children that get no configuration because their parent is dead.
    def test_a_configuration_that_no_node_sends_is_read_from_the_store(self):
        self.read_initial()
        self.pop_messages(object)
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.pass_time(TIMINGS.configuration_apply_s * 0.6)
        self.assertEqual(self.pop_calls(Topic.CONFIGURATION)[0].start_offset, 1)


class RelayTests(FeedCase):
    """Nodes send each other what a reader has read."""

    RANK = 1

    # Guards against children that get no configuration because their parent did not
    # have it yet when they requested it.
    def test_a_node_responds_to_pending_requests_once_it_knows_more(self):
        self.read_initial()
        self.pop_messages(object)
        request = SnapshotRequest("vm-9.1", Topic.CONFIGURATION.value, 1)
        self.task.exchange.handle_snapshot_request(request)
        self.assertEqual(self.pop_messages(SnapshotResponse), [])
        newer = compress_record(configuration(7, 1))
        watermark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (newer,)))
        (snapshot,) = self.pop_messages(SnapshotResponse)
        self.assertEqual(snapshot.records, (newer,))
        self.task.exchange.handle_snapshot_request(request)
        self.assertEqual(len(self.pop_messages(SnapshotResponse)), 1)

    def test_unreadable_snapshots_change_nothing(self):
        self.read_initial()
        watermark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        unreadable = CompressedRecord("config", b"not packed", 1)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (unreadable,)))
        self.assertEqual(self.task.view.configuration.version, 1)
        self.assertEqual(self.task.topics[Topic.CONFIGURATION].position.end_offset, 1)

    @given(st.integers(1, 200), st.integers(0, 200))
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_every_node_of_a_data_centre_has_a_path_to_the_reader(self, count, reader):
        data_centre_nodes = tuple(f"vm-{number}.1" for number in range(count))
        reader = f"vm-{reader}.1"
        children = collections.Counter()
        for node in data_centre_nodes:
            at, steps = node, 0
            while at and at != reader:
                at, steps = find_parent(at, data_centre_nodes, reader), steps + 1
                self.assertLess(steps, count + 2)
            children[find_parent(node, data_centre_nodes, reader)] += 1
        children.pop(reader, None)
        self.assertLessEqual(max(children.values(), default=0), FANOUT)


class RefusedNodeTests(FeedCase):
    """Load pattern: the store refuses calls of this node and serves the others."""

    RANK = 2

    def setUp(self):
        super().setUp()
        self.read_initial(entry("a"))
        self.pop_messages(object)

    def refuse(self, seconds):
        """Let every read fail for a while; return how many were made."""
        reads = 0
        for _ in range(int(seconds * 4)):
            self.pass_time(0.25)
            for call in self.pop_messages(ReadRecords | ReadNewest):
                reads += 1
                self.task.handle_read_failed(ReadFailed(call.topic, "429"))
        return reads

    def test_a_node_reads_soon_after_the_store_accepts_its_calls_again(self):
        """A configuration is to be in force within 2.5 s."""
        self.refuse(9.0)
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.pass_time(0.75)
        self.assertTrue(self.pop_calls(Topic.CONFIGURATION))

    def test_a_refused_node_requests_the_records_from_the_reader(self):
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.refuse(1.0)
        self.assertTrue(self.pop_messages(SnapshotRequest))
        watermark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        newer = configuration(7, 1)
        self.task.handle_snapshot_response(
            SnapshotResponse(watermark, (compress_record(newer),))
        )
        self.assertEqual(self.task.view.configuration.version, 7)

    def test_a_node_requests_from_the_reader_while_the_store_does_not_respond(self):
        """The call itself would time out only after 1.5 s."""
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.pass_time(1.0)
        self.assertEqual(len(self.pop_messages(SnapshotRequest)), 1)

    def test_a_node_requests_from_the_reader_when_the_store_returns_old_records(self):
        self.task.handle_feed_watermarks(
            self.watermarks(0, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.pass_time(0.5)
        self.pop_messages(SnapshotRequest)
        self.task.handle_newest_read(NewestRead(Topic.CONFIGURATION, 1, ()))
        self.assertEqual(len(self.pop_messages(SnapshotRequest)), 1)

    def test_a_reader_whose_call_hangs_requests_from_one_that_knows_more(self):
        self.task.is_reader = True
        self.pass_time(0.5)
        self.assertTrue(self.task.topics[Topic.CONFIGURATION].call_pending)
        self.task.handle_feed_watermarks(
            self.watermarks(1, 2, 2, topic=Topic.CONFIGURATION)
        )
        self.pass_time(0.5)
        self.assertEqual(len(self.pop_messages(SnapshotRequest)), 1)

    def test_an_older_snapshot_changes_nothing(self):
        watermark = TopicWatermark(Topic.UPSTREAMS.value, 5, 5, 0)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (), ()))
        self.assertIn("a", self.task.view.registry.upstreams)

    def test_a_newer_snapshot_removes_upstreams_that_it_lacks(self):
        watermark = TopicWatermark(Topic.UPSTREAMS.value, 50, 50, 0)
        other = RegisteredUpstream("b", "s", "h", 1, "d", 4)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (), (other,)))
        self.assertEqual(list(self.task.view.registry.upstreams), ["b"])

    def test_refused_reads_stay_few(self):
        self.assertLess(self.refuse(9.0), 40)


class OldDataTests(FeedCase):
    """Records and snapshots that are older than the data of the node."""

    RANK = 2

    def setUp(self):
        super().setUp()
        self.read_initial(entry("a"), entry("b"))
        leaving = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 10, 14, (leaving,)))

    def is_leaving(self):
        return self.task.view.registry.upstreams["a"].leaving

    # Guards against a store that responds with an old state, which would register an
    # upstream again that has left.
    def test_newest_records_of_an_old_state_keep_an_upstream_leaving(self):
        known = self.task.topics[Topic.UPSTREAMS].position
        self.now += 1.0
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "old", True, 50))
        old = NewestRead(Topic.UPSTREAMS, 12, (entry("a"), entry("b")))
        self.task.handle_newest_read(old)
        self.assertTrue(self.is_leaving())
        position = self.task.topics[Topic.UPSTREAMS].position
        self.assertEqual(position.confirmed_s, known.confirmed_s)
        self.pass_time(2.0)
        self.assertTrue(self.pop_calls(Topic.UPSTREAMS))

    # Guards against a response that ends before the position and confirms it.
    def test_a_response_that_ends_early_confirms_nothing(self):
        position = self.task.topics[Topic.UPSTREAMS].position
        self.now += 1.0
        self.task.topics[Topic.UPSTREAMS].call_pending = True
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 14, 14, 12, ()))
        after = self.task.topics[Topic.UPSTREAMS].position
        self.assertEqual(after.confirmed_s, position.confirmed_s)

    # Guards against a peer's snapshot that arrives late and undoes a newer change.
    def test_an_old_snapshot_does_not_undo_a_delta_received_during_a_call(self):
        self.pass_time(2.5)
        self.assertTrue(self.task.topics[Topic.UPSTREAMS].call_pending)
        leaving = RegisteredUpstream("b", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 14, 18, (leaving,)))
        listed = tuple(RegisteredUpstream(n, "s", "h", 1, "d", 4) for n in ("a", "b"))
        watermark = TopicWatermark(Topic.UPSTREAMS.value, 16, 16, 2000)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (), listed))
        self.assertTrue(self.task.view.registry.upstreams["b"].leaving)

    # Guards against a delta from before the position that registers an upstream again
    # that has left.
    def test_an_old_delta_does_not_bring_a_leaving_upstream_back(self):
        listed = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[3], 9, 12, (listed,)))
        self.assertTrue(self.is_leaving())

    # Guards against a node that becomes a reader again and repeats its old deltas.
    def test_a_reader_that_stopped_forgets_its_pending_deltas(self):
        self.pass_time(2.5)
        self.task.handle_records_read(
            RecordsRead(Topic.UPSTREAMS, 14, 15, 15, (entry("c", 14),))
        )
        self.assertEqual(len(self.pop_messages(UpstreamDelta)), len(NODES) - 1)
        self.task.handle_feed_watermarks(self.watermarks(0, 15, 15))
        self.assertFalse(self.task.is_reader)
        self.pass_time(4.0)
        self.assertTrue(self.task.is_reader)
        self.assertEqual(self.pop_messages(UpstreamDelta), [])

    # Guards against a delayed removal that is known only to the reader that delays it.
    def test_a_delayed_removal_takes_effect_later_on_other_nodes_too(self):
        self.pass_time(3.0)
        removal = RegisteredUpstream("b", removed=True, removal_delay_ms=1000)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 14, 16, (removal,)))
        self.assertIn("b", self.task.view.registry.upstreams)
        self.pass_time(0.75)
        self.assertIn("b", self.task.view.registry.upstreams)
        self.pass_time(0.5)
        self.assertNotIn("b", self.task.view.registry.upstreams)

    # Guards against a reader that was cut off itself and takes that for an outage of
    # the store.
    def test_a_removal_takes_effect_at_once_on_nodes_without_an_outage(self):
        removal = RegisteredUpstream("b", removed=True, removal_delay_ms=2000)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 14, 16, (removal,)))
        self.assertNotIn("b", self.task.view.registry.upstreams)

    # Guards against removing an upstream that was registered again in time.
    def test_a_new_registration_cancels_the_removal_on_other_nodes_too(self):
        self.pass_time(3.0)
        known = self.task.view.registry.upstreams["b"]
        removal = RegisteredUpstream("b", removed=True, removal_delay_ms=1000)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 14, 16, (removal,)))
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 16, 18, (known,)))
        self.pass_time(2.0)
        self.assertIn("b", self.task.view.registry.upstreams)

    # Guards against ignoring records because a delta arrived while they were read.
    def test_records_that_overlap_a_delta_are_applied(self):
        self.pass_time(2.5)
        leaving = RegisteredUpstream("b", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 14, 16, (leaving,)))
        records = (entry("b", 15, "draining"), entry("c", 16))
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 14, 17, 17, records))
        self.assertIn("c", self.task.view.registry.upstreams)
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end_offset, 17)


class OutageTests(FeedCase):
    """Load pattern: a node starts while the store is unavailable."""

    def test_a_snapshot_of_a_peer_replaces_a_read_of_the_store(self):
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            self.task.handle_read_failed(ReadFailed(topic, "down"))
        self.pass_time(1.0)
        self.assertTrue(self.pop_messages(SnapshotRequest))
        watermark = TopicWatermark(Topic.UPSTREAMS.value, 30, 20, 4000)
        upstream = RegisteredUpstream("a", "s", "h", 1, "d", 4)
        self.task.handle_snapshot_response(SnapshotResponse(watermark, (), (upstream,)))
        self.assertIn("a", self.task.view.registry.upstreams)
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end_offset, 30)

    def test_a_snapshot_of_a_node_can_be_applied_by_another(self):
        self.read_initial(entry("a"))
        self.pop_messages(object)
        self.task.exchange.handle_snapshot_request(SnapshotRequest("vm-9.1"))
        snapshots = self.pop_messages(SnapshotResponse)
        receiver = NonReaderTests("test_an_earlier_reader_ends_the_reading")
        receiver.setUp()
        for snapshot in snapshots:
            receiver.task.handle_snapshot_response(snapshot)
        self.assertEqual(receiver.task.view.configuration.version, 1)
        self.assertIn("a", receiver.task.view.registry.upstreams)

    def delay_a_removal(self):
        """Read a removal right after an outage; return the position before it."""
        self.read_initial(entry("a"), entry("b"))
        self.pass_time(1.5)
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(4.0)
        self.pop_messages(object)
        end = self.task.topics[Topic.UPSTREAMS].position.end_offset
        page = RecordsRead(
            Topic.UPSTREAMS, end, end + 1, end + 1, (removed_entry("a", end),)
        )
        self.task.handle_records_read(page)
        return end

    # Guards against delaying removals after a short time without a reader.
    def test_removals_after_a_short_failure_of_the_reader_take_effect_at_once(self):
        self.read_initial(entry("a"), entry("b"))
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "no answer in time"))
        self.pass_time(2.25)
        page = RecordsRead(Topic.UPSTREAMS, 10, 11, 11, (removed_entry("a", 10),))
        self.task.handle_records_read(page)
        self.assertNotIn("a", self.task.view.registry.upstreams)

    # Guards against a reader that is replaced before its removal takes effect.
    def test_a_reader_sends_a_removal_while_it_is_delayed(self):
        end = self.delay_a_removal()
        deltas = self.pop_messages(UpstreamDelta)
        (removal,) = deltas[0].upstreams
        self.assertEqual((deltas[0].changed_offset, removal.name), (end + 1, "a"))
        self.assertTrue(1000 < removal.removal_delay_ms <= 2200, removal)
        watermarks = [
            watermark
            for message in self.pop_messages(FeedWatermarks)
            for watermark in message.topics
        ]
        changed = [
            watermark.changed_offset
            for watermark in watermarks
            if watermark.topic == Topic.UPSTREAMS.value
        ]
        self.assertEqual(set(changed), {end + 1})

    # Guards against pages of a delta that undo each other when one arrives late.
    def test_a_delta_names_each_upstream_once(self):
        self.read_initial(entry("a"), entry("b"))
        self.task.is_reader = True
        self.pop_messages(object)
        records = (entry("a", 10, "draining"), entry("b", 11), removed_entry("a", 12))
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 10, 13, 13, records))
        delta = self.pop_messages(UpstreamDelta)[0]
        self.assertEqual([(e.name, e.removed) for e in delta.upstreams], [("a", True)])

    # Guards against a reader that, after one page of another reader's delta, sends
    # only a part of that delta.
    def test_a_reader_sends_all_that_it_reads_after_a_page_of_another_reader(self):
        self.read_initial(entry("a"), entry("b"))
        self.task.is_reader = True
        removal = RegisteredUpstream("a", removed=True)
        self.task.handle_upstream_delta(
            UpstreamDelta(ORDER[1], 10, 14, (removal,), 0, 2)
        )
        self.pop_messages(object)
        records = (removed_entry("a", 10), entry("b", 11, "draining"))
        self.task.handle_records_read(RecordsRead(Topic.UPSTREAMS, 10, 12, 12, records))
        delta = self.pop_messages(UpstreamDelta)[0]
        names = sorted((e.name, e.removed) for e in delta.upstreams)
        self.assertEqual(names, [("a", True), ("b", False)])

    # Guards against a snapshot that leaves out delayed removals.
    def test_a_snapshot_contains_delayed_removals(self):
        self.delay_a_removal()
        self.pop_messages(object)
        self.task.exchange.handle_snapshot_request(
            SnapshotRequest("vm-9.1", Topic.UPSTREAMS.value)
        )
        (snapshot,) = self.pop_messages(SnapshotResponse)
        receiver = NonReaderTests("test_an_earlier_reader_ends_the_reading")
        receiver.setUp()
        receiver.task.handle_snapshot_response(snapshot)
        self.assertIn("a", receiver.task.view.registry.upstreams)
        receiver.pass_time(2.5)
        self.assertEqual(sorted(receiver.task.view.registry.upstreams), ["b"])

    def test_removals_right_after_an_outage_are_delayed(self):
        self.read_initial(entry("a"), entry("b"))
        self.pass_time(1.5)
        self.task.handle_read_failed(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(4.0)
        end = self.task.topics[Topic.UPSTREAMS].position.end_offset
        page = RecordsRead(
            Topic.UPSTREAMS, end, end + 1, end + 1, (removed_entry("a", end),)
        )
        self.task.handle_records_read(page)
        self.assertIn("a", self.task.view.registry.upstreams)
        self.pass_time(2.5)
        self.assertNotIn("a", self.task.view.registry.upstreams)
