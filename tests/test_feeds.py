"""What nodes know of the store's topics: records, outages, readers, marks."""

import collections
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.feeds import (
    FANOUT,
    FeedTask,
    Listing,
    Pace,
    RegionSeen,
    UpstreamsChanged,
    apply_changes,
    apply_configuration,
    apply_newest,
    apply_upstreams,
    pack_record,
    parent_of,
    rank_readers,
    release_departures,
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
    Follow,
    Followed,
    NewestRead,
    ReadFailed,
    ReadNewest,
    Record,
    Topic,
)
from standins import documents

NOW = float("-inf")
NODES = ("vm-1.1", "vm-2.1", "vm-3.1", "vm-4.1")
ORDER = rank_readers("r", NODES)
PACE = Pace(2.5, 2.5)


def entry(name, offset=0, state="ready", warm="0ms", born=0, seq=1):
    """Return the record of an upstream."""
    value = documents.upstream_entry(state=state, warmup_left=warm, born=born, seq=seq)
    return Record(name, json.dumps(value).encode(), offset)


def gone(name, offset=0):
    """Return the record of a removal."""
    return Record(name, b"", offset)


def configuration(version, offset=0):
    """Return the record of a configuration."""
    value = documents.configuration(version, [])
    return Record("config", json.dumps(value).encode(), offset)


class ListingTests(unittest.TestCase):
    def test_heartbeats_alone_change_nothing(self):
        first = apply_upstreams(Listing(), (entry("a", warm="3s"),), NOW)
        again = apply_upstreams(first.listing, (entry("a", seq=2),), NOW)
        self.assertEqual(len(first.changed), 1)
        self.assertEqual(again.changed, ())

    def test_a_restart_under_the_same_name_is_a_change(self):
        first = apply_upstreams(Listing(), (entry("a", born=1),), NOW)
        again = apply_upstreams(first.listing, (entry("a", born=2),), NOW)
        self.assertEqual(len(again.changed), 1)

    def test_an_entry_that_becomes_unreadable_names_no_upstream(self):
        first = apply_upstreams(Listing(), (entry("a"), entry("b")), NOW)
        odd = apply_upstreams(first.listing, (Record("a", b"?", 5),), NOW)
        self.assertEqual(sorted(odd.listing.upstreams), ["b"])
        self.assertEqual(len(odd.faults), 1)

    def test_entries_that_lapsed_in_an_outage_may_come_back(self):
        """They are back within two seconds of the store's return."""
        listing = apply_upstreams(Listing(), (entry("a"), entry("b")), NOW).listing
        lapsed = apply_newest(listing, (entry("b", 9),), departs_s=102.2)
        self.assertEqual(lapsed.changed, ())
        early = release_departures(lapsed.listing, 102.0)
        self.assertEqual(early.changed, ())
        back = apply_upstreams(early.listing, (entry("a", 12),), NOW)
        late = release_departures(back.listing, 103.0)
        self.assertEqual(sorted(late.listing.upstreams), ["a", "b"])

    def test_entries_still_missing_after_that_are_gone(self):
        listing = apply_upstreams(Listing(), (entry("a"),), NOW).listing
        lapsed = apply_newest(listing, (), departs_s=102.2).listing
        late = release_departures(lapsed, 102.3)
        self.assertEqual([e.name for e in late.changed], ["a"])
        self.assertEqual(len(late.listing.upstreams), 0)

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
    def test_newest_records_give_the_same_listing_as_all(self, steps, split):
        records = [
            gone(name, n) if state == "gone" else entry(name, n, state)
            for n, (name, state) in enumerate(steps)
        ]
        whole = apply_upstreams(Listing(), records, NOW).listing
        newest = {record.key: record for record in records}
        kept = [record for record in newest.values() if record.value]
        earlier = apply_upstreams(Listing(), records[:split], NOW).listing
        joined = apply_newest(earlier, kept, NOW).listing
        self.assertEqual(dict(joined.upstreams), dict(whole.upstreams))

    def test_changes_of_a_reader_give_its_listing(self):
        read = apply_upstreams(Listing(), (entry("a"), entry("b")), NOW)
        told = apply_changes(Listing(), read.news, 100.0, NOW)
        self.assertEqual(dict(told.listing.upstreams), dict(read.listing.upstreams))


class ConfigurationTests(unittest.TestCase):
    def test_versions_never_go_back(self):
        newest = apply_configuration(None, (configuration(12),))
        for version in (3, 12):
            again = apply_configuration(newest, (configuration(version),))
            self.assertIs(again, newest)
        self.assertEqual(apply_configuration(newest, (configuration(40),)).version, 40)


class FeedCase(unittest.TestCase):
    """A feed task on an injected clock, with its messages kept."""

    RANK = 0

    def setUp(self):
        self.now = 1000.0
        node = ORDER[self.RANK]
        name = node.partition(".")[0]
        own = MemberRecord(node, name, "h", 1, 1, "d", "r", 1)
        self.task = FeedTask(own, PACE, clock=lambda: self.now)
        self.told = []
        self.task.send_message = lambda channel, body: self.told.append((channel, body))
        self.task.prepare()
        self.task.see_region(RegionSeen(NODES))

    def take(self, kind):
        """Return and forget the messages of a kind, without envelopes."""
        found = []
        left = []
        for _, body in self.told:
            inner = body.body if isinstance(body, ToNode) else body
            (found if isinstance(inner, kind) else left).append(inner)
        self.told = [(None, body) for body in left]
        return found

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.25
            self.task.on_tick(Tick("tick", self.now))

    def read_first(self, *records):
        self.task.take_newest(NewestRead(Topic.CONFIGURATION, 1, (configuration(1),)))
        self.task.take_newest(NewestRead(Topic.UPSTREAMS, 10, records))

    def calls(self, topic):
        return [c for c in self.take(Follow | ReadNewest) if c.topic is topic]

    def mark(self, rank, end, changed, age_ms=0, topic=Topic.UPSTREAMS):
        return FeedWatermarks(
            ORDER[rank], (TopicWatermark(topic.value, end, changed, age_ms),)
        )


class ReaderTests(FeedCase):
    def test_the_first_in_order_reads_everything_at_its_start(self):
        self.pass_time(0.5)
        calls = self.take(ReadNewest)
        topics = {call.topic for call in calls}
        self.assertEqual(topics, {Topic.CONFIGURATION, Topic.UPSTREAMS})
        self.assertEqual(len(calls), 2)

    def test_the_first_in_order_reads_on_and_tells_the_region(self):
        self.read_first(entry("a"))
        self.take(ReadNewest)
        self.pass_time(1.5)
        follow = self.calls(Topic.UPSTREAMS)[0]
        self.assertEqual(follow.start, 10)
        self.take(FeedWatermarks)
        page = Followed(Topic.UPSTREAMS, 10, 11, 11, (gone("a", 10),))
        self.task.take_records(page)
        self.assertEqual(len(self.take(FeedWatermarks)), len(NODES) - 1)
        changes = self.take(UpstreamDelta)
        self.assertEqual([e.name for e in changes[0].upstreams], ["a"])

    # Guards against a topic that waits for seconds while the store answers another.
    def test_an_answer_ends_the_wait_of_other_topics(self):
        self.read_first()
        self.task.reading = True
        for _ in range(6):
            self.task.take_failure(ReadFailed(Topic.CONFIGURATION, "refused"))
        self.take(object)
        self.task.take_records(Followed(Topic.UPSTREAMS, 10, 10, 10, ()))
        self.pass_time(0.25)
        self.assertEqual(len(self.calls(Topic.CONFIGURATION)), 1)

    # Guards against losing a tenth of the bound when history is forgotten.
    def test_an_expired_offset_is_followed_by_a_read_at_once(self):
        self.read_first()
        self.task.reading = True
        self.take(object)
        failed = ReadFailed(Topic.CONFIGURATION, "expired", True, 50)
        self.task.take_failure(failed)
        self.assertEqual(
            [type(c) for c in self.take(Follow | ReadNewest)], [ReadNewest]
        )

    # Guards against waiting long after a connection that was cut only once.
    def test_a_first_failure_is_tried_again_at_the_next_tick(self):
        self.read_first()
        self.task.reading = True
        self.take(object)
        self.task.take_failure(ReadFailed(Topic.CONFIGURATION, "ECONNRESET"))
        self.pass_time(0.25)
        self.assertEqual(len(self.calls(Topic.CONFIGURATION)), 1)

    def test_an_expired_offset_makes_it_read_the_newest_records(self):
        self.read_first()
        self.pass_time(1.5)
        self.take(Follow)
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "old", True, 50))
        self.pass_time(0.5)
        self.assertIsInstance(self.calls(Topic.UPSTREAMS)[0], ReadNewest)

    # Guards against a fresh reader that cannot know what ended before it came.
    def test_newest_records_are_not_told_as_a_change(self):
        self.task.reading = True
        self.read_first(entry("a"))
        self.assertEqual(self.take(UpstreamDelta), [])
        marks = [m for mark in self.take(FeedWatermarks) for m in mark.topics]
        self.assertIn(TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 0), marks)

    # Guards against entries that came and ended while the reader was away.
    def test_newest_records_after_an_expired_offset_count_as_changed(self):
        self.task.reading = True
        self.read_first(entry("a"))
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "expired", True))
        self.take(object)
        self.task.take_newest(NewestRead(Topic.UPSTREAMS, 40, (entry("a"),)))
        self.assertEqual(self.take(UpstreamDelta), [])
        marks = [m for mark in self.take(FeedWatermarks) for m in mark.topics]
        self.assertIn(TopicWatermark(Topic.UPSTREAMS.value, 40, 40, 0), marks)

    # Guards against nodes that give each other what the store has forgotten,
    # and never read what came since.
    def test_an_expired_offset_is_not_tried_again_after_a_snapshot(self):
        self.read_first(entry("a"))
        self.take(object)
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "expired", True))
        mark = TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 3000)
        upstream = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4)
        self.task.take_snapshot(SnapshotResponse(mark, (), (upstream,)))
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(1.5)
        calls = self.calls(Topic.UPSTREAMS)
        self.assertEqual({type(call) for call in calls}, {ReadNewest})
        self.assertGreater(len(calls), 1)

    def test_a_store_that_is_down_is_asked_less_and_less(self):
        self.read_first()
        self.pass_time(1.5)
        self.take(Follow)
        asked = 0
        for _ in range(10):
            self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "down"))
            self.pass_time(1.0)
            asked += len(self.calls(Topic.UPSTREAMS))
        self.assertLessEqual(asked, 10)
        self.assertGreaterEqual(asked, 4)


class FollowerTests(FeedCase):
    RANK = 2

    def test_marks_of_a_reader_keep_a_node_from_reading(self):
        self.read_first(entry("a"))
        self.take(ReadNewest)
        for _ in range(20):
            self.task.hear_mark(self.mark(0, 20, 10))
            self.pass_time(0.5)
        self.assertEqual(self.take(Follow), [])
        self.assertFalse(self.task.reading)

    def test_a_silent_reader_is_replaced_within_the_bound(self):
        self.read_first(entry("a"))
        self.take(ReadNewest)
        self.task.hear_mark(self.mark(0, 20, 10))
        self.pass_time(2.0)
        self.assertTrue(self.take(Follow))

    def test_a_reader_that_the_store_refuses_is_replaced_too(self):
        """It goes on telling, but what it tells grows old."""
        self.read_first(entry("a"))
        self.take(ReadNewest)
        for step in range(8):
            self.task.hear_mark(self.mark(0, 10, 10, age_ms=step * 500))
            self.pass_time(0.5)
        self.assertTrue(self.take(Follow))

    def test_a_better_reader_ends_the_reading(self):
        self.read_first(entry("a"))
        self.pass_time(2.0)
        self.assertTrue(self.task.reading)
        self.task.hear_mark(self.mark(0, 20, 10))
        self.assertFalse(self.task.reading)

    # Guards against a reader that the store refuses and that stops one it serves.
    def test_a_better_reader_that_the_store_refuses_does_not_end_the_reading(self):
        self.pass_time(2.5)
        self.assertTrue(self.task.reading)
        topic = TopicWatermark(Topic.UPSTREAMS.value, 10, 10, 0)
        self.task.hear_mark(FeedWatermarks(ORDER[0], (topic,), read_age_ms=5000))
        self.assertTrue(self.task.reading)
        self.task.hear_mark(FeedWatermarks(ORDER[0], (topic,), read_age_ms=100))
        self.assertFalse(self.task.reading)

    # Guards against telling another reader's answers as one's own.
    def test_a_mark_tells_when_the_store_answered_this_reader(self):
        self.read_first(entry("a"))
        self.pass_time(2.5)
        self.task.hear_mark(self.mark(3, 20, 10))
        self.take(object)
        self.pass_time(1.5)
        (mark, *_) = self.take(FeedWatermarks)
        self.assertGreater(mark.read_age_ms, 2000)
        ages = [m.age_ms for m in mark.topics if m.topic == Topic.UPSTREAMS.value]
        self.assertLess(ages[0], 2000)

    def test_a_change_is_taken_from_the_reader_without_a_call(self):
        self.read_first(entry("a"))
        self.take(ReadNewest)
        told = RegisteredUpstream("a", removed=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 10, 14, (told,)))
        self.task.hear_mark(self.mark(0, 14, 14))
        changed = self.take(UpstreamsChanged)[-1]
        self.assertEqual(len(changed.upstreams), 0)
        self.pass_time(0.5)
        self.assertEqual(self.take(Follow), [])

    def test_a_lost_change_is_read_from_the_store(self):
        self.read_first(entry("a"))
        self.take(ReadNewest)
        self.task.hear_mark(self.mark(0, 14, 14))
        self.pass_time(0.5)
        follow = self.calls(Topic.UPSTREAMS)[0]
        self.assertEqual(follow.start, 10)

    def test_a_change_that_does_not_fit_is_left_alone(self):
        self.read_first(entry("a"))
        told = RegisteredUpstream("a", removed=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 12, 14, (told,)))
        self.assertIn("a", self.task.known.listing.upstreams)

    # A change in several datagrams counts as heard only once all of them are in.
    def test_a_lost_page_of_a_change_is_not_taken_for_heard(self):
        self.read_first(entry("a"), entry("b"))
        for name in ("a", "b"):
            self.assertIn(name, self.task.known.listing.upstreams)
        gone = (RegisteredUpstream("a", removed=True),)
        self.task.hear_change(UpstreamDelta(ORDER[0], 10, 14, gone, 0, 2))
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end, 10)
        gone = (RegisteredUpstream("b", removed=True),)
        self.task.hear_change(UpstreamDelta(ORDER[0], 10, 14, gone, 1, 2))
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end, 14)

    # A repeated change must not speak for a newer one that may be lost.
    def test_a_repeated_change_names_its_own_offset(self):
        reader = ReaderTests("test_the_first_in_order_reads_everything_at_its_start")
        reader.setUp()
        reader.read_first(entry("a"), entry("b"))
        reader.pass_time(1.5)
        task = reader.task
        for start, name in ((10, "a"), (11, "b")):
            removal = (gone(name, start),)
            task.take_records(
                Followed(Topic.UPSTREAMS, start, start + 1, start + 1, removal)
            )
        told = {
            (c.base_offset, c.upstreams[0].name): c for c in reader.take(UpstreamDelta)
        }
        self.assertEqual(told[10, "a"].changed_offset, 11)
        self.assertEqual(told[11, "b"].changed_offset, 12)

    # A node that missed a change must learn of it from the reader that comes next.
    def test_a_new_reader_marks_the_changes_that_it_heard_from_the_one_before(self):
        self.read_first(entry("a"))
        told = RegisteredUpstream("a", removed=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 10, 14, (told,)))
        self.task.hear_mark(self.mark(0, 14, 14))
        self.pass_time(2.5)
        self.take(object)
        self.task.take_records(Followed(Topic.UPSTREAMS, 14, 20, 20, ()))
        marks = self.take(FeedWatermarks)[-1].topics
        changed = {mark.topic: mark.changed_offset for mark in marks}
        self.assertGreaterEqual(changed[Topic.UPSTREAMS.value], 14)

    # Every node of a region that starts at once must not read the store.
    def test_a_later_node_asks_others_at_its_start_and_reads_after_them(self):
        asked = {one.topic for one in self.take(SnapshotRequest)}
        self.assertEqual(asked, {Topic.CONFIGURATION.value, Topic.UPSTREAMS.value})
        self.pass_time(0.25)
        self.assertEqual(self.take(ReadNewest), [])
        self.pass_time(0.5)
        self.assertEqual(len(self.take(ReadNewest)), 2)

    def test_a_new_configuration_is_asked_for_once_it_is_marked(self):
        self.read_first()
        self.take(object)
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        (asked,) = self.take(SnapshotRequest)
        self.assertEqual(
            (asked.topic, asked.end_offset), (Topic.CONFIGURATION.value, 1)
        )
        self.pass_time(0.25)
        self.assertEqual(self.calls(Topic.CONFIGURATION), [])

    # A reader that knows less must not talk a node out of what it lacks.
    def test_a_mark_of_a_reader_that_knows_less_does_not_end_the_catching_up(self):
        self.read_first()
        self.take(object)
        confirmed_s = self.task.topics[Topic.CONFIGURATION].position.confirmed_s
        for _ in range(4):
            self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
            self.pass_time(0.5)
            old = self.mark(1, 1, 1, topic=Topic.CONFIGURATION)
            self.task.hear_mark(old)
        self.assertTrue(self.calls(Topic.CONFIGURATION))
        position = self.task.topics[Topic.CONFIGURATION].position
        self.assertEqual(position.confirmed_s, confirmed_s)

    # A parent that is gone must not keep a configuration from its children.
    def test_a_configuration_that_nobody_gives_is_read_from_the_store(self):
        self.read_first()
        self.take(object)
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        self.pass_time(PACE.apply_s * 0.6)
        self.assertEqual(self.calls(Topic.CONFIGURATION)[0].start, 1)


class RelayTests(FeedCase):
    """Nodes give each other what a reader has read."""

    RANK = 1

    # A parent that lacks the configuration itself must not leave its children out.
    def test_a_node_answers_its_askers_once_it_knows_more(self):
        self.read_first()
        self.take(object)
        asked = SnapshotRequest("vm-9.1", Topic.CONFIGURATION.value, 1)
        self.task.exchange.take_asker(asked)
        self.assertEqual(self.take(SnapshotResponse), [])
        newer = pack_record(configuration(7, 1))
        mark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        self.task.take_snapshot(SnapshotResponse(mark, (newer,)))
        (given,) = self.take(SnapshotResponse)
        self.assertEqual(given.records, (newer,))
        self.task.exchange.take_asker(asked)
        self.assertEqual(len(self.take(SnapshotResponse)), 1)

    def test_unreadable_snapshots_change_nothing(self):
        self.read_first()
        mark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        odd = CompressedRecord("config", b"not packed", 1)
        self.task.take_snapshot(SnapshotResponse(mark, (odd,)))
        self.assertEqual(self.task.known.published.version, 1)
        self.assertEqual(self.task.topics[Topic.CONFIGURATION].position.end, 1)

    @given(st.integers(1, 200), st.integers(0, 200))
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_every_node_of_a_data_centre_hears_from_the_reader(self, count, reader):
        near = tuple(f"vm-{number}.1" for number in range(count))
        reader = f"vm-{reader}.1"
        children = collections.Counter()
        for node in near:
            at, steps = node, 0
            while at and at != reader:
                at, steps = parent_of(at, near, reader), steps + 1
                self.assertLess(steps, count + 2)
            children[parent_of(node, near, reader)] += 1
        children.pop(reader, None)
        self.assertLessEqual(max(children.values(), default=0), FANOUT)


class RefusedNodeTests(FeedCase):
    """Load pattern: the store refuses this node and serves the others."""

    RANK = 2

    def setUp(self):
        super().setUp()
        self.read_first(entry("a"))
        self.take(object)

    def refuse(self, seconds):
        """Let every read fail for a while; return how many were made."""
        reads = 0
        for _ in range(int(seconds * 4)):
            self.pass_time(0.25)
            for call in self.take(Follow | ReadNewest):
                reads += 1
                self.task.take_failure(ReadFailed(call.topic, "429"))
        return reads

    def test_it_reads_soon_after_it_is_served_again(self):
        """A configuration is to be in force within 2.5 s."""
        self.refuse(9.0)
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        self.pass_time(0.75)
        self.assertTrue(self.calls(Topic.CONFIGURATION))

    def test_it_asks_the_reader_for_what_the_store_refuses(self):
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        self.refuse(1.0)
        self.assertTrue(self.take(SnapshotRequest))
        mark = TopicWatermark(Topic.CONFIGURATION.value, 2, 2, 0)
        newer = configuration(7, 1)
        self.task.take_snapshot(SnapshotResponse(mark, (pack_record(newer),)))
        self.assertEqual(self.task.known.published.version, 7)

    def test_it_asks_the_reader_while_the_store_is_silent(self):
        """The call itself would time out only after 1.5 s."""
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        self.pass_time(1.0)
        self.assertEqual(len(self.take(SnapshotRequest)), 1)

    def test_it_asks_the_reader_when_the_store_answers_with_old_records(self):
        self.task.hear_mark(self.mark(0, 2, 2, topic=Topic.CONFIGURATION))
        self.pass_time(0.5)
        self.take(SnapshotRequest)
        self.task.take_newest(NewestRead(Topic.CONFIGURATION, 1, ()))
        self.assertEqual(len(self.take(SnapshotRequest)), 1)

    def test_a_reader_whose_call_is_silent_asks_the_one_that_knows_more(self):
        self.task.reading = True
        self.pass_time(0.5)
        self.assertTrue(self.task.topics[Topic.CONFIGURATION].calling)
        self.task.hear_mark(self.mark(1, 2, 2, topic=Topic.CONFIGURATION))
        self.pass_time(0.5)
        self.assertEqual(len(self.take(SnapshotRequest)), 1)

    def test_an_older_snapshot_changes_nothing(self):
        mark = TopicWatermark(Topic.UPSTREAMS.value, 5, 5, 0)
        self.task.take_snapshot(SnapshotResponse(mark, (), ()))
        self.assertIn("a", self.task.known.listing.upstreams)

    def test_a_newer_snapshot_also_tells_what_is_gone(self):
        mark = TopicWatermark(Topic.UPSTREAMS.value, 50, 50, 0)
        other = RegisteredUpstream("b", "s", "h", 1, "d", 4)
        self.task.take_snapshot(SnapshotResponse(mark, (), (other,)))
        self.assertEqual(list(self.task.known.listing.upstreams), ["b"])

    def test_refused_reads_stay_few(self):
        self.assertLess(self.refuse(9.0), 40)


class OldKnowledgeTests(FeedCase):
    """Records and snapshots that are older than what the node knows."""

    RANK = 2

    def setUp(self):
        super().setUp()
        self.read_first(entry("a"), entry("b"))
        leaving = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 10, 14, (leaving,)))

    def is_leaving(self):
        return self.task.known.listing.upstreams["a"].leaving

    # A store that answers with an old state must not bring back who has left.
    def test_old_newest_records_do_not_bring_a_leaving_upstream_back(self):
        known = self.task.topics[Topic.UPSTREAMS].position
        self.now += 1.0
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "old", True, 50))
        old = NewestRead(Topic.UPSTREAMS, 12, (entry("a"), entry("b")))
        self.task.take_newest(old)
        self.assertTrue(self.is_leaving())
        position = self.task.topics[Topic.UPSTREAMS].position
        self.assertEqual(position.confirmed_s, known.confirmed_s)
        self.pass_time(2.0)
        self.assertTrue(self.calls(Topic.UPSTREAMS))

    # An answer that ends before what is known proves nothing.
    def test_an_answer_that_ends_early_confirms_nothing(self):
        position = self.task.topics[Topic.UPSTREAMS].position
        self.now += 1.0
        self.task.topics[Topic.UPSTREAMS].calling = True
        self.task.take_records(Followed(Topic.UPSTREAMS, 14, 14, 12, ()))
        after = self.task.topics[Topic.UPSTREAMS].position
        self.assertEqual(after.confirmed_s, position.confirmed_s)

    # A peer's snapshot that was long under way must not undo a newer change.
    def test_an_old_snapshot_does_not_undo_a_change_heard_during_a_call(self):
        self.pass_time(2.5)
        self.assertTrue(self.task.topics[Topic.UPSTREAMS].calling)
        leaving = RegisteredUpstream("b", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 14, 18, (leaving,)))
        listed = tuple(RegisteredUpstream(n, "s", "h", 1, "d", 4) for n in ("a", "b"))
        mark = TopicWatermark(Topic.UPSTREAMS.value, 16, 16, 2000)
        self.task.take_snapshot(SnapshotResponse(mark, (), listed))
        self.assertTrue(self.task.known.listing.upstreams["b"].leaving)

    # A change from before what is known must not bring back who has left.
    def test_an_old_change_does_not_bring_a_leaving_upstream_back(self):
        listed = RegisteredUpstream("a", "s", "10.0.0.9", 80, "d", 4)
        self.task.hear_change(UpstreamDelta(ORDER[3], 9, 12, (listed,)))
        self.assertTrue(self.is_leaving())

    # A node that reads again must not repeat what it told as a reader before.
    def test_a_reader_that_stopped_forgets_the_changes_that_it_told(self):
        self.pass_time(2.5)
        self.task.take_records(Followed(Topic.UPSTREAMS, 14, 15, 15, (entry("c", 14),)))
        self.assertEqual(len(self.take(UpstreamDelta)), len(NODES) - 1)
        self.task.hear_mark(self.mark(0, 15, 15))
        self.assertFalse(self.task.reading)
        self.pass_time(4.0)
        self.assertTrue(self.task.reading)
        self.assertEqual(self.take(UpstreamDelta), [])

    # Guards against a removal that only the reader knows that held it back.
    def test_a_removal_that_was_held_back_counts_later_on_others_too(self):
        self.pass_time(3.0)
        held = RegisteredUpstream("b", removed=True, removal_delay_ms=1000)
        self.task.hear_change(UpstreamDelta(ORDER[0], 14, 16, (held,)))
        self.assertIn("b", self.task.known.listing.upstreams)
        self.pass_time(0.75)
        self.assertIn("b", self.task.known.listing.upstreams)
        self.pass_time(0.5)
        self.assertNotIn("b", self.task.known.listing.upstreams)

    # Guards against a reader that was cut off itself and takes that for an outage.
    def test_a_removal_counts_at_once_where_the_store_was_never_away(self):
        held = RegisteredUpstream("b", removed=True, removal_delay_ms=2000)
        self.task.hear_change(UpstreamDelta(ORDER[0], 14, 16, (held,)))
        self.assertNotIn("b", self.task.known.listing.upstreams)

    # Guards against removing an upstream whose entry came back in time.
    def test_an_entry_that_comes_back_ends_its_removal_on_others_too(self):
        self.pass_time(3.0)
        known = self.task.known.listing.upstreams["b"]
        held = RegisteredUpstream("b", removed=True, removal_delay_ms=1000)
        self.task.hear_change(UpstreamDelta(ORDER[0], 14, 16, (held,)))
        self.task.hear_change(UpstreamDelta(ORDER[0], 16, 18, (known,)))
        self.pass_time(2.0)
        self.assertIn("b", self.task.known.listing.upstreams)

    # Records that were read while a newer change came are still taken.
    def test_records_that_overlap_what_was_heard_are_taken(self):
        self.pass_time(2.5)
        leaving = RegisteredUpstream("b", "s", "10.0.0.9", 80, "d", 4, leaving=True)
        self.task.hear_change(UpstreamDelta(ORDER[0], 14, 16, (leaving,)))
        records = (entry("b", 15, "draining"), entry("c", 16))
        self.task.take_records(Followed(Topic.UPSTREAMS, 14, 17, 17, records))
        self.assertIn("c", self.task.known.listing.upstreams)
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end, 17)


class OutageTests(FeedCase):
    """Load pattern: a node starts while the store is away."""

    def test_a_snapshot_of_a_peer_stands_in_for_the_store(self):
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            self.task.take_failure(ReadFailed(topic, "down"))
        self.pass_time(1.0)
        self.assertTrue(self.take(SnapshotRequest))
        mark = TopicWatermark(Topic.UPSTREAMS.value, 30, 20, 4000)
        upstream = RegisteredUpstream("a", "s", "h", 1, "d", 4)
        self.task.take_snapshot(SnapshotResponse(mark, (), (upstream,)))
        self.assertIn("a", self.task.known.listing.upstreams)
        self.assertEqual(self.task.topics[Topic.UPSTREAMS].position.end, 30)

    def test_what_a_node_gives_another_can_take(self):
        self.read_first(entry("a"))
        self.take(object)
        self.task.exchange.take_asker(SnapshotRequest("vm-9.1"))
        given = self.take(SnapshotResponse)
        fresh = FollowerTests("test_a_better_reader_ends_the_reading")
        fresh.setUp()
        for one in given:
            fresh.task.take_snapshot(one)
        self.assertEqual(fresh.task.known.published.version, 1)
        self.assertIn("a", fresh.task.known.listing.upstreams)

    def hold_back_a_removal(self):
        """Read a removal right after an outage; return the position before it."""
        self.read_first(entry("a"), entry("b"))
        self.pass_time(1.5)
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(4.0)
        self.take(object)
        end = self.task.topics[Topic.UPSTREAMS].position.end
        page = Followed(Topic.UPSTREAMS, end, end + 1, end + 1, (gone("a", end),))
        self.task.take_records(page)
        return end

    # Guards against holding removals back after a moment without a reader.
    def test_removals_after_a_short_cut_of_the_reader_count_at_once(self):
        self.read_first(entry("a"), entry("b"))
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "no answer in time"))
        self.pass_time(2.25)
        page = Followed(Topic.UPSTREAMS, 10, 11, 11, (gone("a", 10),))
        self.task.take_records(page)
        self.assertNotIn("a", self.task.known.listing.upstreams)

    # Guards against a reader that is replaced before its removal counts.
    def test_a_reader_tells_of_a_removal_while_it_is_held_back(self):
        end = self.hold_back_a_removal()
        told = self.take(UpstreamDelta)
        (removal,) = told[0].upstreams
        self.assertEqual((told[0].changed_offset, removal.name), (end + 1, "a"))
        self.assertTrue(1000 < removal.removal_delay_ms <= 2200, removal)
        marks = [m for mark in self.take(FeedWatermarks) for m in mark.topics]
        changed = [m.changed_offset for m in marks if m.topic == Topic.UPSTREAMS.value]
        self.assertEqual(set(changed), {end + 1})

    # Guards against pages of a change that undo each other when one comes late.
    def test_a_change_names_each_upstream_once(self):
        self.read_first(entry("a"), entry("b"))
        self.task.reading = True
        self.take(object)
        records = (entry("a", 10, "draining"), entry("b", 11), gone("a", 12))
        self.task.take_records(Followed(Topic.UPSTREAMS, 10, 13, 13, records))
        told = self.take(UpstreamDelta)[0]
        self.assertEqual([(e.name, e.removed) for e in told.upstreams], [("a", True)])

    # Guards against telling on only a part of what another reader told in pages.
    def test_a_reader_tells_all_that_it_reads_after_a_page_of_another_reader(self):
        self.read_first(entry("a"), entry("b"))
        self.task.reading = True
        removal = RegisteredUpstream("a", removed=True)
        self.task.hear_change(UpstreamDelta(ORDER[1], 10, 14, (removal,), 0, 2))
        self.take(object)
        records = (gone("a", 10), entry("b", 11, "draining"))
        self.task.take_records(Followed(Topic.UPSTREAMS, 10, 12, 12, records))
        told = self.take(UpstreamDelta)[0]
        names = sorted((e.name, e.removed) for e in told.upstreams)
        self.assertEqual(names, [("a", True), ("b", False)])

    # Guards against a snapshot that forgets what is held back.
    def test_a_snapshot_tells_what_is_held_back(self):
        self.hold_back_a_removal()
        self.take(object)
        self.task.exchange.take_asker(SnapshotRequest("vm-9.1", Topic.UPSTREAMS.value))
        (given,) = self.take(SnapshotResponse)
        fresh = FollowerTests("test_a_better_reader_ends_the_reading")
        fresh.setUp()
        fresh.task.take_snapshot(given)
        self.assertIn("a", fresh.task.known.listing.upstreams)
        fresh.pass_time(2.5)
        self.assertEqual(sorted(fresh.task.known.listing.upstreams), ["b"])

    def test_removals_right_after_an_outage_wait(self):
        self.read_first(entry("a"), entry("b"))
        self.pass_time(1.5)
        self.task.take_failure(ReadFailed(Topic.UPSTREAMS, "down"))
        self.pass_time(4.0)
        end = self.task.topics[Topic.UPSTREAMS].position.end
        page = Followed(Topic.UPSTREAMS, end, end + 1, end + 1, (gone("a", end),))
        self.task.take_records(page)
        self.assertIn("a", self.task.known.listing.upstreams)
        self.pass_time(2.5)
        self.assertNotIn("a", self.task.known.listing.upstreams)
