"""The store is restored from an older copy: its calls, and what is published again."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.accounts import AccountTask, RequestAccepted, RequestEnded
from comfreyusher.accounts._entry import encode_entry
from comfreyusher.accounts._kept import KEPT_S, MAX_KEPT_BYTES, KeptRecord, KeptRecords
from comfreyusher.accounts._kept import keep_record as keep
from comfreyusher.configuration import ConfigurationTask, PublicationState, Publish
from comfreyusher.declarations import encode_record
from comfreyusher.directory import DirectoryTask
from comfreyusher.feeds import DeclarationsRead, QuarantinesRead
from comfreyusher.flow import Tick, replace
from comfreyusher.membership import MembersChanged
from comfreyusher.messages import (
    ClientResponseStart,
    MemberRecord,
    OffsetUpdate,
    ReplicationRequest,
    ResponseHead,
)
from comfreyusher.platform import (
    Append,
    Appended,
    AppendFailed,
    EraChanged,
    EraObserved,
    NewestRead,
    ReadFailed,
    ReadNewest,
    ReadRecords,
    Record,
    RecordsRead,
    Topic,
)
from comfreyusher.platform._wire import decode_era
from comfreyusher.quarantine import QuarantineBegun, QuarantineTask
from comfreyusher.queries import QueryEnded, QueryKind, QueryTask, StartQuery
from tests.test_accounts import entry, fold
from tests.test_configuration import KEY, profile
from tests.test_platform import StoreCase, newest_page

EMPTY_END_7 = bytes(7) + b"\x07" + bytes(8)
APPEND = Append("user", "t", Topic.ACCOUNTS, "k", b"v")


class TaskCase(unittest.TestCase):
    """A task on an injected clock, and the messages that it sends."""

    def prepare_task(self, task):
        self.sent = []
        task.send_message = lambda channel, body: self.sent.append(body)
        task.send_messages = lambda found: self.sent.extend(e.body for e in found)
        return task

    def pop(self, kind):
        found = [body for body in self.sent if isinstance(body, kind)]
        self.sent = [body for body in self.sent if not isinstance(body, kind)]
        return found


class CallTests(StoreCase):
    """Calls while the store names its era."""

    def answer(self, exchange, status=200, body=b"", era=None):
        headers = () if era is None else ((b"Store-Era", str(era).encode()),)
        self.sent = []
        self.task.handle_response_start(
            ClientResponseStart(exchange, ResponseHead(status, headers), body, True)
        )
        return [body for channel, body in self.sent if channel == "user"]

    def learn(self, era):
        self.answer(self.start_call(ReadNewest("user", Topic.NODES)), 503, era=era)

    # Guards against a header that ends the calls, or counts as a very new era.
    @given(st.binary(max_size=30))
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_only_whole_numbers_are_eras(self, value):
        era = decode_era(ResponseHead(200, ((b"store-era", value),)))
        self.assertTrue(
            era is None or value.strip() == b"%d" % era or value[:1] == b"0"
        )

    def test_a_response_of_any_status_tells_of_a_new_era(self):
        self.learn(4)
        changes = [body for _, body in self.sent if isinstance(body, EraChanged)]
        self.assertEqual(set(changes), {EraChanged(4, restored=False)})
        self.learn(5)
        self.assertIn(("accounts", EraChanged(5)), self.sent)
        self.learn("5x")
        self.assertFalse(
            [body for _, body in self.sent if isinstance(body, EraChanged)]
        )

    # Guards against records at reused offsets that count as the ones after those read.
    def test_a_long_poll_that_the_restored_store_answers_fails(self):
        self.learn(1)
        read = ReadRecords("user", Topic.UPSTREAMS, 7, 9000, era=1)
        (result,) = self.answer(self.start_call(read), 200, EMPTY_END_7, era=2)
        self.assertEqual((type(result), result.era), (ReadFailed, 2))
        self.assertIsNone(self.start_call(read), "an offset of an older era was read")

    def test_a_response_of_an_older_era_is_not_used(self):
        self.learn(1)
        append = self.start_call(APPEND)
        read = self.start_call(ReadNewest("user", Topic.UPSTREAMS))
        self.task.handle_era_observed(EraObserved(2))
        self.assertIn(("user", ReadFailed), [(c, type(b)) for c, b in self.sent])
        self.assertEqual(self.answer(read, 200, newest_page("a", 0, False, 1), 1), [])
        (failed,) = self.answer(append, 200, b'{"offset": 4}', era=1)
        self.assertEqual((type(failed), failed.definite), (AppendFailed, False))
        append = self.start_call(APPEND)
        (result,) = self.answer(append, 200, b'{"offset": 4}', era=2)
        self.assertEqual(result, Appended("t", 4, 2))

    # Guards against a result with pages of both states of the store.
    def test_a_new_era_between_pages_ends_the_read(self):
        self.learn(1)
        exchange = self.start_call(ReadNewest("user", Topic.UPSTREAMS))
        self.answer(exchange, 200, newest_page("a", 0, True, 9), era=1)
        (exchange,) = self.task.calls
        (result,) = self.answer(exchange, 200, newest_page("b", 1, False, 3), era=2)
        self.assertIsInstance(result, ReadFailed)

    def test_an_offset_that_is_not_there_is_not_taken_for_expired(self):
        self.learn(1)
        for first, expired in ((3, False), (20, True)):
            read = ReadRecords("user", Topic.UPSTREAMS, 7, era=1)
            body = b'{"first": %d}' % first
            (result,) = self.answer(self.start_call(read), 410, body, era=1)
            self.assertEqual(result.expired, expired)

    # Guards against calls without a result: the caller would wait for ever.
    def test_other_calls_that_get_410_fail(self):
        self.learn(1)
        read = ReadNewest("user", Topic.UPSTREAMS)
        (result,) = self.answer(self.start_call(read), 410, b'{"first": 7}', era=1)
        self.assertIsInstance(result, ReadFailed)
        append = Append("user", "t", Topic.ACCOUNTS, "k", b"v")
        (result,) = self.answer(self.start_call(append), 410, b"", era=1)
        self.assertIsInstance(result, AppendFailed)


class DeclarationFleet:
    """Nodes that publish declarations to one topic with appends at its end."""

    def __init__(self, count):
        self.now, self.era, self.log, self.tasks = 0.0, 1, [], {}
        self.appends = 0
        for number in range(count):
            self.start(f"vm-{number}")

    def start(self, name):
        task = ConfigurationTask(name, clock=lambda: self.now)
        self.tasks[name] = task
        for other in self.tasks.values():
            other.live_nodes = tuple(self.tasks)
        task.send_message = lambda channel, body: self.send(name, body)
        self.read(name)

    def send(self, name, body):
        if isinstance(body, Append):
            self.appends += 1
            task = self.tasks[name]
            if (body.era, body.expected_end_offset) != (self.era, len(self.log)):
                task.handle_append_failed(AppendFailed(body.token, "moved on", True))
                return
            self.log.append(Record(body.key, body.value, len(self.log)))
            task.handle_appended(Appended(body.token, len(self.log) - 1, self.era))

    def read(self, name):
        """Read on, or the newest record of each key in a new era."""
        task = self.tasks[name]
        records, whole = self.log[task.declarations.offset :], False
        if task.declarations.era < self.era:
            records, whole = tuple({r.key: r for r in self.log}.values()), True
        task.handle_era_changed(EraChanged(self.era))
        task.handle_declarations_read(
            DeclarationsRead(len(self.log), tuple(records), self.era, whole)
        )

    def restore(self, end):
        self.era += 1
        del self.log[end:]

    def tick(self, name):
        self.tasks[name].handle_tick(Tick("tick", self.now))

    def publish(self, name, wait_ms):
        task = self.tasks[name]
        entry = task.declarations.entries.get(KEY)
        record = profile(wait_ms, entry.record.revision if entry else 0)
        task.handle_publish(Publish(record))
        return record.publish_id

    def settle(self, seconds):
        """Let all nodes read and publish for some time."""
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            for name in self.tasks:
                self.read(name)
            for name in self.tasks:
                self.tick(name)
        for name in self.tasks:
            self.read(name)

    def revisions(self):
        return {
            (entry.record.revision, entry.record.publish_id)
            for task in self.tasks.values()
            for entry in task.declarations.entries.values()
        }


class DeclarationTests(unittest.TestCase):
    def publish_three(self, fleet):
        for wait_ms in (1, 2, 3):
            fleet.publish("vm-0", wait_ms)
            fleet.settle(0.5)

    # Guards against declarations that the restored store lacks, and against an append
    # of them by each node.
    def test_lost_declarations_are_published_again_once(self):
        fleet = DeclarationFleet(4)
        self.publish_three(fleet)
        before = fleet.revisions()
        fleet.restore(1)
        fleet.settle(3.0)
        self.assertEqual(fleet.revisions(), before)
        self.assertEqual((len(fleet.log), fleet.appends), (2, 4))
        fleet.start("vm-new")
        self.assertEqual(fleet.revisions(), before)

    def test_another_node_publishes_if_the_first_one_dies(self):
        fleet = DeclarationFleet(4)
        self.publish_three(fleet)
        fleet.restore(2)
        for name in fleet.tasks:
            fleet.read(name)
        first = min(
            fleet.tasks, key=lambda name: fleet.tasks[name].republisher.due_s[KEY]
        )
        del fleet.tasks[first]
        fleet.settle(3.0)
        self.assertEqual(len(fleet.log), 3)

    # Guards against an append at a reused offset, and against a publication that was
    # acknowledged, lost and never settled.
    def test_a_publication_is_appended_again_only_after_a_read_of_the_new_era(self):
        fleet = DeclarationFleet(2)
        fleet.restore(0)
        task = fleet.tasks["vm-0"]
        task.handle_era_changed(EraChanged(2))
        publish_id = fleet.publish("vm-0", 5)
        self.assertEqual(fleet.appends, 0)
        fleet.settle(1.0)
        self.assertIs(task.publications[publish_id].state, PublicationState.SETTLED)
        fleet.restore(0)
        fleet.read("vm-0")
        self.assertIs(task.publications[publish_id].state, PublicationState.UNSETTLED)
        fleet.settle(1.0)
        self.assertIs(task.publications[publish_id].state, PublicationState.SETTLED)
        self.assertEqual(task.publications[publish_id].era, 3)

    # Guards against a node that started after the restore and publishes on a base that
    # others know to be old.
    def test_a_lower_revision_does_not_replace_a_lost_one(self):
        for readers in ((), ("vm-0", "vm-1")):
            fleet = DeclarationFleet(2)
            self.publish_three(fleet)
            before = fleet.revisions()
            fleet.restore(1)
            for name in readers:
                fleet.read(name)
            fleet.start("vm-new")
            fleet.publish("vm-new", 9)
            self.assertEqual(len(fleet.log), 2)
            fleet.settle(3.0)
            self.assertEqual(fleet.revisions(), before)

    # Guards against a record that was on its way during the restore, and replaces a
    # newer one in the topic, which new nodes would not know then.
    def test_an_older_record_that_arrives_late_is_replaced_again(self):
        fleet = DeclarationFleet(2)
        self.publish_three(fleet)
        fleet.restore(3)
        fleet.settle(0.5)
        before = fleet.revisions()
        fleet.log.append(replace(fleet.log[0], offset=3))
        fleet.settle(3.0)
        fleet.start("vm-new")
        self.assertEqual(fleet.revisions(), before)

    # Guards against a node of an older era whose higher offset counts as newer.
    def test_offsets_of_nodes_compare_by_era_first(self):
        task = ConfigurationTask("vm-1", clock=lambda: 0.0)
        sent = []
        task.send_message = lambda channel, body: sent.append(body)
        task.handle_declarations_read(DeclarationsRead(3, (), 2, True))
        sent.clear()
        task.handle_offset_update(OffsetUpdate("vm-2", 50, 1))
        self.assertEqual(sent, [])
        task.handle_offset_update(OffsetUpdate("vm-2", 1, 3))
        self.assertIn(EraObserved(3), sent)
        task.handle_declarations_read(DeclarationsRead(90, (), 1, True))
        self.assertEqual(task.declarations.offset, 3)

    # Guards against nodes that disagree for good after any order of restores, reads,
    # publications and starts of nodes.
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("publish", "read", "tick", "restore", "start")),
                st.integers(0, 3),
            ),
            max_size=30,
        )
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_all_nodes_agree_in_the_end(self, steps):
        fleet = DeclarationFleet(3)
        for number, (action, choice) in enumerate(steps):
            name = f"vm-{choice % 3}"
            if action == "restore":
                fleet.restore(max(0, len(fleet.log) - choice))
            elif action == "publish":
                fleet.publish(name, number)
            else:
                getattr(fleet, action)(name)
        before = fleet.revisions()
        fleet.settle(6.0)
        fleet.start("vm-new")
        after = fleet.revisions()
        self.assertLessEqual(len(after), 1)
        self.assertGreaterEqual(
            max(after)[0] if after else 0, max(before, default=[0])[0]
        )


class AccountTests(TaskCase):
    def setUp(self):
        self.now = 100.0
        self.task = self.prepare_task(AccountTask("n.1", clock=lambda: self.now))
        self.task.handle_era_changed(EraChanged(1, restored=False))

    def record_request(self, number):
        self.task.handle_request_accepted(RequestAccepted(number, entry(0)))
        self.task.handle_request_ended(RequestEnded(number, "done", 200, 1))

    def flush(self, era):
        """Flush, and acknowledge the appends; return them."""
        self.task.handle_tick(Tick("flush", self.now))
        appends = self.pop(Append)
        for append in appends:
            self.task.handle_appended(Appended(append.token, 0, era))
        return appends

    # Guards against entries that the store acknowledged and lost, twice in a row.
    def test_acknowledged_entries_are_appended_again_under_their_keys(self):
        self.record_request(1)
        first = self.flush(1)
        for era in (2, 3):
            self.task.handle_era_changed(EraChanged(era))
            again = self.flush(era)
            self.assertEqual(
                [(a.key, a.value) for a in again], [(a.key, a.value) for a in first]
            )
            self.assertEqual(self.flush(era), [])

    def test_nothing_is_kept_for_long_or_without_an_era(self):
        self.record_request(1)
        self.flush(1)
        self.now += KEPT_S + 1
        self.flush(1)
        self.task.handle_era_changed(EraChanged(2))
        self.assertEqual(self.flush(2), [])
        kept, text = KeptRecords(), "x" * (MAX_KEPT_BYTES // 4)
        for number in range(9):
            kept = keep(kept, KeptRecord(str(number), text, 0.0))
        self.assertEqual([r.key for r in kept.records], ["5", "6", "7", "8"])
        without = self.prepare_task(AccountTask("n.1", clock=lambda: self.now))
        self.task = without
        self.record_request(1)
        self.flush(0)
        self.assertEqual(without.kept, KeptRecords())

    # Guards against entries that are lost with their node, which had acknowledged
    # them in the log, and dies before it has appended them again.
    def test_the_replica_node_appends_what_a_dead_node_cannot(self):
        for last_logged, numbers in ((0, (1, 2)), (2, (3,))):
            data = tuple(encode_entry(entry(n, origin="n.2")) for n in numbers)
            request = ReplicationRequest("n.2", 1, last_logged, data)
            self.task.handle_replication_request(request)
        self.task.live_nodes = frozenset(("n.1", "n.2"))
        self.task.handle_era_changed(EraChanged(2))
        self.assertEqual(self.flush(2), [])
        self.task.live_nodes = frozenset(("n.1",))
        account = fold([append.value for append in self.flush(2)])
        self.assertEqual({key[1] for key in account.entries}, {1, 2})

    def test_a_node_that_ends_first_appends_again_what_was_lost(self):
        self.record_request(1)
        self.flush(1)
        self.task.handle_era_changed(EraChanged(2))
        self.task.closing = True
        self.task._report_if_flushed()
        self.assertNotIn("AccountsFlushed", [type(body).__name__ for body in self.sent])
        self.flush(2)
        self.assertIn("AccountsFlushed", [type(body).__name__ for body in self.sent])


class OwnRecordTests(TaskCase):
    OWN = MemberRecord("vm-1.1", "vm-1", "h", 1, 1, "d", "r", 1)

    def test_holders_append_quarantines_again_that_the_store_lacks(self):
        task = QuarantineTask(self.OWN, lambda: 1e6, clock=lambda: 0.0)
        self.prepare_task(task)
        for fingerprint in ("f", "g"):
            task.handle_quarantine_begun(QuarantineBegun(fingerprint, 60_000))
        for append in self.pop(Append):
            task.handle_appended(Appended(append.token, 0, 1))
        task.handle_era_changed(EraChanged(2))
        for append in self.pop(Append):
            task.handle_appended(Appended(append.token, 0, 1))
        self.assertEqual(task.unsaved, {"f", "g"}, "an older era saved them")
        task.handle_tick(Tick("tick", 0.0))
        f, g = self.pop(Append)
        task.handle_appended(Appended(f.token, 0, 2))
        task.handle_append_failed(AppendFailed(g.token, "down"))
        self.assertEqual(task.unsaved, {"g"})

    # Guards against a quarantine whose holders died before they appended it again.
    def test_a_new_holder_appends_what_the_one_before_did_not(self):
        others = tuple(
            MemberRecord(f"vm-{n}.1", f"vm-{n}", "h", 1, 1, "d", "r", 1)
            for n in range(2, 30)
        )
        task = QuarantineTask(self.OWN, lambda: 1e6, clock=lambda: 0.0)
        self.prepare_task(task)
        task.handle_members_changed(MembersChanged((self.OWN, *others)))
        for number in range(20):
            task._learn(f"f{number}", 60.0, "node")
        task.handle_era_changed(EraChanged(2))
        held = {append.key for append in self.pop(Append)}
        task.handle_quarantines_read(
            QuarantinesRead(1, (Record("f0", b"{}", 0),), 2, True)
        )
        task.handle_members_changed(MembersChanged((self.OWN,)))
        rest = {append.key for append in self.pop(Append)}
        self.assertLess(len(held), 20)
        self.assertEqual(held | rest | {"f0"}, {f"f{n}" for n in range(20)})

    def test_a_node_registers_its_address_again(self):
        task = self.prepare_task(DirectoryTask(self.OWN, clock=lambda: 0.0))
        task.handle_tick(Tick("tick", 1.0))
        task.handle_appended(Appended(None, 0, 1))
        task.handle_era_changed(EraChanged(2))
        self.pop(Append)
        task.handle_tick(Tick("tick", 2.0))
        self.assertEqual([a.topic for a in self.pop(Append)], [Topic.NODES])

    # Guards against a history with records of both states of the store.
    def test_a_query_starts_anew_in_a_new_era(self):
        task = self.prepare_task(QueryTask(clock=lambda: 0.0))
        task.handle_era_changed(EraChanged(1, restored=False))
        task.handle_start_query(StartQuery("q", QueryKind.HISTORY, KEY, frozenset()))
        old, new = (
            Record(KEY, encode_record(profile(wait_ms)).encode(), 0)
            for wait_ms in (1, 2)
        )
        topic = Topic.DECLARATIONS
        task.handle_records_read(RecordsRead(topic, 0, 1, 9, (old,), 1))
        task.handle_records_read(RecordsRead(topic, 1, 2, 2, (new,), 2))
        self.assertEqual(self.pop(ReadRecords)[-1].start_offset, 0)
        task.handle_records_read(RecordsRead(topic, 0, 1, 1, (new,), 2))
        (ended,) = self.pop(QueryEnded)
        self.assertEqual(len(ended.result.lines), 1)
        account = StartQuery("q", QueryKind.ACCOUNT, "c", frozenset())
        task.handle_start_query(account)
        page = NewestRead(Topic.ACCOUNTS, 9, (), "a", 2)
        task.handle_newest_read(page)
        task.handle_read_failed(ReadFailed(Topic.ACCOUNTS, "restored", era=3))
        self.assertEqual(self.pop(ReadNewest)[-1].after_key, "")


if __name__ == "__main__":
    unittest.main()
