"""The store is restored from an older copy: the feeds of one node, and of a region."""

import random
import unittest

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.feeds import compress_record
from comfreyusher.flow import replace
from comfreyusher.messages import (
    DepartureNotice,
    FeedWatermarks,
    RegisteredUpstream,
    SnapshotRequest,
    SnapshotResponse,
    TopicWatermark,
    UpstreamDelta,
)
from comfreyusher.platform import (
    EraChanged,
    EraObserved,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    Topic,
)
from tests.faults import ERA_KINDS
from tests.faulty_region import simulate
from tests.restored_region import RestoredRegion
from tests.test_feeds import ORDER, FeedCase, configuration, entry, removed_entry

RESTORED_SEEDS = (22, 24, 68, 205, 206, 207)
UPSTREAMS, CONFIGURATION = Topic.UPSTREAMS, Topic.CONFIGURATION


def upstream(name, **fields):
    """Return an upstream as other nodes send it."""
    return RegisteredUpstream(name, "s", "10.0.0.9", 80, "d", 4, **fields)


def watermark(topic, end, era, changed=None):
    """Return the watermark of a node that has just read a topic."""
    return TopicWatermark(topic.value, end, end if changed is None else changed, 0, era)


class EraCase(FeedCase):
    """A node that has read upstreams and a configuration in era 1."""

    def setUp(self):
        super().setUp()
        self.task.is_reader = self.RANK == 0
        for topic, records in self.first_records():
            self.task.handle_newest_read(NewestRead(topic, 50, records, era=1))
        self.pass_time(0.25)
        self.pop_messages(object)

    def first_records(self):
        return (
            (CONFIGURATION, (configuration(7, 49),)),
            (UPSTREAMS, (entry("a", 40), entry("b", 45, "draining", born=9))),
        )

    @property
    def upstreams(self):
        return self.task.view.registry.upstreams

    @property
    def version(self):
        return self.task.view.configuration_version

    def position(self, topic=UPSTREAMS):
        position = self.task.topics[topic].position
        return position.known, position.era, position.end_offset

    def hear(self, era, end, rank=1, version=7):
        """Receive the watermarks of a reader."""
        topics = (watermark(UPSTREAMS, end, era),)
        message = FeedWatermarks(ORDER[rank], topics, 0, era, version)
        self.task.handle_feed_watermarks(message)

    def read_newest(self, era, end, *records, topic=UPSTREAMS):
        self.task.handle_newest_read(NewestRead(topic, end, records, era=era))


class ReaderEraTests(EraCase):
    # Guards against a reader that reads on at an offset of the older era.
    def test_a_reader_reads_everything_at_once_in_a_new_era(self):
        self.task.handle_era_changed(EraChanged(2))
        for topic in self.task.topics:
            self.task.handle_read_failed(ReadFailed(topic, "restored", era=2))
        self.pass_time(0.25)
        calls = self.pop_messages(ReadRecords | ReadNewest)
        self.assertEqual({type(call) for call in calls}, {ReadNewest})
        self.assertEqual({call.topic for call in calls}, set(self.task.topics))

    # Guards against data at a reused offset that counts as what follows the old data.
    def test_records_at_a_reused_offset_are_not_applied(self):
        for era, start in ((2, 50), (3, 0)):
            gone = (removed_entry("a", start),)
            page = RecordsRead(UPSTREAMS, start, start + 1, start + 1, gone, era)
            self.task.handle_records_read(page)
            self.assertIn("a", self.upstreams)
            self.assertEqual(self.position(), (False, era, 0))
            self.assertEqual(self.pop_messages(EraObserved), [EraObserved(era)])

    def test_a_response_of_an_older_era_is_not_applied(self):
        self.read_newest(2, 9, entry("a", 3))
        self.read_newest(1, 60, entry("z", 59))
        page = RecordsRead(UPSTREAMS, 9, 60, 60, (removed_entry("a", 9),), 1)
        self.task.handle_records_read(page)
        self.assertEqual(self.position(), (True, 2, 9))
        self.assertIn("a", self.upstreams)
        self.assertNotIn("z", self.upstreams)

    # Guards against upstreams that are removed before they have registered again.
    def test_a_missing_upstream_is_removed_only_after_the_delay(self):
        self.read_newest(2, 5)
        self.assertIn("a", self.upstreams)
        self.pass_time(2.0)
        page = RecordsRead(UPSTREAMS, 5, 6, 6, (entry("a", 5),), 2)
        self.task.topics[UPSTREAMS].call_era = 2
        self.task.handle_records_read(page)
        self.pass_time(0.5)
        self.assertEqual(list(self.upstreams), ["a"])

    # Guards against new work for an upstream that was leaving, or had just left, when
    # the store was restored from a copy that shows it as ready.
    def test_an_upstream_that_was_leaving_stays_leaving_until_it_starts_again(self):
        for left in (False, True):
            with self.subTest(left=left):
                self.setUp()
                if left:
                    self.task.topics[UPSTREAMS].call_era = 1
                    page = (removed_entry("b", 50),)
                    self.task.handle_records_read(
                        RecordsRead(UPSTREAMS, 50, 51, 51, page, 1)
                    )
                for era in (2, 3):
                    self.read_newest(era, 45, entry("a", 40), entry("b", 41, born=9))
                    self.assertTrue(self.upstreams["b"].leaving)
                self.read_newest(3, 46, entry("a", 40), entry("b", 45, born=10))
                self.assertFalse(self.upstreams["b"].leaving)

    # Guards against an upstream without a time of start that is never used again.
    def test_an_upstream_that_the_new_era_listed_as_leaving_may_come_back(self):
        for listed in ((entry("b", 41, "draining", born=9),), ()):
            with self.subTest(listed=listed):
                self.setUp()
                self.read_newest(2, 45, entry("a", 40), *listed)
                self.read_newest(2, 46, entry("a", 40), entry("b", 45, born=9))
                self.assertFalse(self.upstreams["b"].leaving)

    # Guards against nodes that start after the restore and know only the copy.
    def test_the_departure_task_is_told_of_leaving_upstreams(self):
        self.task.handle_era_changed(EraChanged(2))
        notices = self.pop_messages(DepartureNotice)
        self.assertEqual(notices, [DepartureNotice("b", 9)])

    # Guards against nodes that did not know that an upstream leaves, and never hear.
    def test_a_leaving_upstream_that_registers_again_is_sent_to_other_nodes(self):
        self.read_newest(2, 45, entry("a", 40), entry("b", 41, born=9))
        self.pop_messages(object)
        self.task.topics[UPSTREAMS].call_era = 2
        page = (entry("b", 45, "draining", born=9),)
        self.task.handle_records_read(RecordsRead(UPSTREAMS, 45, 46, 46, page, 2))
        delta = self.pop_messages(UpstreamDelta)[0]
        self.assertEqual([(e.name, e.leaving) for e in delta.upstreams], [("b", True)])
        self.assertEqual(delta.era, 2)

    # Guards against a compressed record of the older era that is sent for a newer one.
    def test_a_snapshot_holds_the_record_at_a_reused_offset(self):
        self.task.view.compress_records(CONFIGURATION)
        newer = configuration(8, 49)
        self.read_newest(2, 50, newer, topic=CONFIGURATION)
        self.task.handle_snapshot_request(
            SnapshotRequest("vm-9.1", CONFIGURATION.value, -1, 2)
        )
        (snapshot,) = self.pop_messages(SnapshotResponse)
        self.assertEqual(snapshot.records, (compress_record(newer),))

    def test_an_older_reader_does_not_end_the_reading(self):
        self.RANK = 1
        self.setUp()
        self.task.is_reader = True
        self.task.handle_era_changed(EraChanged(2))
        self.hear(1, 90, rank=0)
        self.assertTrue(self.task.is_reader)
        self.assertEqual(self.position(), (False, 2, 0))
        self.hear(2, 0, rank=0)
        self.assertFalse(self.task.is_reader)


class OtherNodeEraTests(EraCase):
    RANK = 2

    # Guards against a node that learns the era last, and keeps its higher offset.
    def test_a_node_learns_the_era_from_a_reader_and_requests_the_data(self):
        self.hear(2, 9)
        self.assertEqual(self.position(), (False, 2, 0))
        (request,) = self.pop_messages(SnapshotRequest)
        self.assertEqual((request.topic, request.era), (UPSTREAMS.value, 2))
        self.assertEqual(self.pop_messages(ReadNewest | ReadRecords), [])
        self.hear(1, 90)
        self.assertEqual(self.task.topics[UPSTREAMS].target_offset, 9)

    # Guards against a snapshot of a node that started after the restore, and knows
    # only the upstreams that have registered since.
    def test_a_snapshot_of_the_restored_store_removes_nothing_at_once(self):
        self.hear(2, 9)
        snapshot = SnapshotResponse(watermark(UPSTREAMS, 9, 2), (), (upstream("c"),))
        self.task.handle_snapshot_response(snapshot)
        self.assertEqual(sorted(self.upstreams), ["a", "b", "c"])
        gone = replace(upstream("a"), removed=True)
        self.task.handle_upstream_delta(
            UpstreamDelta(ORDER[0], 9, 11, (gone, upstream("b")), era=2)
        )
        self.assertEqual(sorted(self.upstreams), ["a", "b", "c"])
        self.pass_time(2.25)
        self.assertEqual(sorted(self.upstreams), ["b", "c"])

    def test_a_delta_at_a_reused_offset_is_not_applied(self):
        gone = (replace(upstream("a"), removed=True),)
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 50, 51, gone, era=2))
        self.read_newest(2, 50, entry("a", 40))
        self.task.handle_upstream_delta(UpstreamDelta(ORDER[0], 50, 51, gone, era=1))
        self.pass_time(3.0)
        self.assertIn("a", self.upstreams)

    # Guards against a configuration that goes back because the store did.
    def test_the_newest_version_counts_whatever_era_it_is_from(self):
        self.read_newest(2, 9, configuration(5, 8), topic=CONFIGURATION)
        self.assertEqual(self.version, 7)
        for era, version, expected in ((1, 9, 9), (2, 6, 9), (3, 8, 9)):
            record = compress_record(configuration(version, 20))
            mark = watermark(CONFIGURATION, 21, era)
            self.task.handle_snapshot_response(SnapshotResponse(mark, (record,)))
            self.assertEqual(self.version, expected)

    def test_a_node_tells_a_reader_of_a_newer_version_and_requests_one(self):
        self.read_newest(2, 9, entry("a", 8), topic=UPSTREAMS)
        self.read_newest(2, 9, configuration(5, 8), topic=CONFIGURATION)
        self.pop_messages(object)
        for _ in range(20):
            self.hear(2, 9, version=5)
        notice = self.pop_messages(FeedWatermarks)[0]
        self.assertEqual((notice.topics, notice.configuration_version), ((), 7))
        self.hear(2, 9, version=8)
        (request,) = self.pop_messages(SnapshotRequest)
        self.assertEqual((request.topic, request.end_offset), (CONFIGURATION.value, -1))

    # Guards against a region without the store in which new nodes get no data, since
    # all others have lost their positions.
    def test_a_new_node_gets_older_data_while_there_is_no_other(self):
        self.task.handle_era_changed(EraChanged(2))
        fresh = FeedCase()
        fresh.setUp()
        for topic in (CONFIGURATION, UPSTREAMS):
            self.task.handle_snapshot_request(SnapshotRequest("vm-9.1", topic.value))
        for snapshot in self.pop_messages(SnapshotResponse):
            fresh.task.handle_snapshot_response(snapshot)
        self.assertEqual(fresh.task.view.configuration_version, 7)
        self.assertEqual(sorted(fresh.task.view.registry.upstreams), ["a", "b"])
        self.assertFalse(fresh.task.topics[UPSTREAMS].position.known)

    # Guards against any order in which messages of three eras may arrive.
    @given(st.randoms(use_true_random=False))
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_any_order_ends_with_the_newest_era_and_version(self, rng):
        self.setUp()
        messages = [message for era in (1, 2, 3) for message in self.messages(era)]
        rng.shuffle(messages)
        last = NewestRead(UPSTREAMS, 30, (entry("new", 29),), era=3)
        messages.insert(rng.randrange(len(messages) // 2), last)
        for message in messages:
            self.task.message_handlers[type(message)](message)
            if rng.random() < 0.2:
                self.pass_time(0.25)
        self.pass_time(3.0)
        self.assertEqual(self.task.era, 3)
        self.assertEqual(self.version, 9)
        self.assertEqual(self.position(), (True, 3, 30))
        self.assertEqual(list(self.upstreams), ["new"])

    def messages(self, era):
        """Return messages of an era; the version is newest in era 2, the end in 1."""
        end = {1: 90, 2: 40, 3: 20}[era]
        version = {1: 7, 2: 9, 3: 8}[era]
        record = compress_record(configuration(version, end - 1))
        names = (upstream(f"era-{era}"),)
        return [
            EraChanged(era),
            FeedWatermarks(ORDER[0], (watermark(UPSTREAMS, end, era),), 0, era),
            SnapshotResponse(watermark(UPSTREAMS, end, era), (), names),
            SnapshotResponse(watermark(CONFIGURATION, end, era), (record,)),
            NewestRead(UPSTREAMS, end, (entry(f"era-{era}", 1),), era=era),
            NewestRead(CONFIGURATION, end, (configuration(version, 1),), era=era),
            ReadFailed(UPSTREAMS, "expired", True, 3, min(era, 2)),
        ]


class RestoredRegionTests(unittest.TestCase):
    """Load pattern: the store of a region is restored while nodes and it fail."""

    def setUp(self):
        before = logging.get_verbosity()
        logging.set_verbosity(logging.ERROR)
        self.addCleanup(logging.set_verbosity, before)

    # Guards against any change that reaches a healthy node too late, an upstream that
    # is dropped or used again, and a version that goes back.
    def test_a_region_follows_a_store_that_is_restored(self):
        for seed in RESTORED_SEEDS:
            with self.subTest(seed=seed):
                region = simulate(seed, ERA_KINDS, region_class=RestoredRegion)
                self.assertEqual(region.findings[:3], [])

    # Guards against nodes that started after a restore and keep the older version
    # that the store has, though other nodes have a newer one.
    def test_nodes_that_start_get_the_newest_version_of_any_node(self):
        region = RestoredRegion(8, 2, random.Random(1))
        for vm in region.vms:
            region.start_node(vm)
        region.publish(1)
        region.at(3.0, lambda: region.publish(2))
        region.run_until(5.0)
        region.era += 1
        region.logs[CONFIGURATION].restore(2.0)
        region.run_until(6.0)
        for number, vm in enumerate(region.vms[:6]):
            region.at(6.0 + number, lambda v=vm: region.stop_node(v))
            region.at(6.5 + number, lambda v=vm: region.start_node(v))
        region.run_until(16.0)
        versions = [region.versions[node] for node in region.tasks]
        self.assertEqual(versions, [2] * 8)
        self.assertEqual(region.findings, [])


if __name__ == "__main__":
    unittest.main()
