"""Account entries: numbering, replication, batches and export."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.accounts import (
    Account,
    AccountEntry,
    AccountRecordError,
    Gap,
    ReplicationFinished,
    RequestAccepted,
    RequestEnded,
    add_record,
    decode_account_record,
    encode_account_record,
    find_gaps,
    list_entries,
)
from comfreyusher.accounts import _ledger as ledger
from comfreyusher.accounts import _replicas as replicas
from comfreyusher.accounts._entry import encode_entry
from comfreyusher.messages import ReplicationAck, ReplicationRequest, ToNode
from comfreyusher.platform import Append


def entry(number, customer="c", origin="n.1", outcome="done"):
    """Return an account entry."""
    return AccountEntry(
        origin, number, number, f"r{number}", customer, "s", "GET", "/", outcome
    )


def fold(texts, customer="c"):
    """Return a customer's account with the records in these texts added."""
    account = Account(customer)
    for text in texts:
        account = add_record(account, decode_account_record(text))
    return account


class ExportTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(1, 12), st.sampled_from("cd")),
            unique_by=lambda item: item[0],
            max_size=12,
        ),
        st.integers(1, 4),
        st.randoms(use_true_random=False),
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_any_order_and_repetition_gives_the_same_account(self, numbers, size, rng):
        entries = [entry(number, customer) for number, customer in numbers]
        batches = [entries[i : i + size] for i in range(0, len(entries), size)]
        texts = [encode_account_record("n.1", "n.1", batch) for batch in batches]
        shuffled = texts + texts[:2]
        rng.shuffle(shuffled)
        account = fold(shuffled)
        expected = sorted(number for number, customer in numbers if customer == "c")
        self.assertEqual([e.number for e in list_entries(account)], expected)
        missing = set(range(1, max([n for n, _ in numbers], default=0)))
        missing -= {number for number, _ in numbers}
        reported = set()
        for gap in find_gaps(account, {"n.1"}):
            reported |= set(range(gap.first, gap.last + 1))
        self.assertEqual(reported, missing)

    def test_no_other_customers_entry_is_exported(self):
        account = fold(
            [encode_account_record("n.1", "n.1", [entry(1, "c"), entry(2, "d")])]
        )
        self.assertEqual([e.customer for e in list_entries(account)], ["c"])
        self.assertEqual(find_gaps(account, {"n.1"}), [])

    def test_dead_origin_has_a_gap_at_its_end_unless_it_closed(self):
        texts = [encode_account_record("n.1", "n.1", [entry(1)])]
        self.assertEqual(find_gaps(fold(texts), set()), [Gap("n.1", 2, -1)])
        texts.append(encode_account_record("n.1", "n.1", [], closed=1))
        self.assertEqual(find_gaps(fold(texts), set()), [])
        texts[-1] = encode_account_record("n.1", "n.1", [], closed=3)
        self.assertEqual(find_gaps(fold(texts), set()), [Gap("n.1", 2, 3)])

    def test_known_outcome_replaces_an_unknown_one(self):
        texts = [
            encode_account_record("n.1", "n.2", [entry(1, outcome="")]),
            encode_account_record("n.1", "n.1", [entry(1)]),
            encode_account_record("n.1", "n.2", [entry(1, outcome="unknown")]),
        ]
        self.assertEqual(list_entries(fold(texts))[0].outcome, "done")

    def test_corrupt_records_raise_an_account_record_error(self):
        good = encode_account_record("n.1", "n.1", [entry(1)])
        for text in ("", "{}", good.replace('"format":1', '"format":9')):
            with self.assertRaises(AccountRecordError):
                decode_account_record(text)
        broken = decode_account_record(good.replace('"packed":"', '"packed":"zz'))
        with self.assertRaises(AccountRecordError):
            add_record(Account("c"), broken)


class LedgerTests(unittest.TestCase):
    def setUp(self):
        self.ledger = ledger.new_ledger("n.1")
        self.sent = []
        self.apply(ledger.change_replica_node(self.ledger, "n.2", 0.0))

    def apply(self, step):
        self.ledger = step.state
        for envelope in step.messages:
            body = envelope.body
            self.sent.append(body.body if isinstance(body, ToNode) else body)

    def take_sent(self, kind):
        found = [body for body in self.sent if isinstance(body, kind)]
        self.sent = []
        return found

    def begin(self, exchange):
        accepted = RequestAccepted(exchange, entry(0, outcome=""))
        self.apply(ledger.add_entry(self.ledger, accepted, 0.0))

    def end(self, exchange):
        self.apply(
            ledger.end_entry(self.ledger, RequestEnded(exchange, "done", 200, 1), 0.0)
        )

    def test_responses_wait_for_the_acknowledgement(self):
        self.begin(7)
        self.assertEqual(len(self.take_sent(ReplicationRequest)), 1)
        self.apply(
            ledger.confirm_replication(self.ledger, ReplicationAck("n.2", 1), 0.0)
        )
        self.assertEqual(
            self.take_sent(ReplicationFinished), [ReplicationFinished(7, True)]
        )

    def test_entries_added_meanwhile_share_one_replication_batch(self):
        for exchange in range(1, 6):
            self.begin(exchange)
        self.assertEqual(len(self.take_sent(ReplicationRequest)), 1)
        self.apply(
            ledger.confirm_replication(self.ledger, ReplicationAck("n.2", 1), 0.0)
        )
        requests = self.take_sent(ReplicationRequest)
        self.assertEqual([len(request.entries) for request in requests], [4])

    def test_silent_replica_node_delays_a_response_until_the_timeout(self):
        self.begin(1)
        self.take_sent(ReplicationRequest)
        self.apply(
            ledger.time_out_replication(self.ledger, ledger.REPLICATION_TIMEOUT_S + 0.1)
        )
        self.assertEqual(
            self.take_sent(ReplicationFinished), [ReplicationFinished(1, False)]
        )
        self.assertEqual(self.ledger.unreplicated_total, 1)

    def test_a_replication_batch_that_timed_out_is_sent_again(self):
        self.begin(1)
        (first,) = self.take_sent(ReplicationRequest)
        self.apply(ledger.time_out_replication(self.ledger, 0.3))
        (again,) = self.take_sent(ReplicationRequest)
        self.assertEqual(again.entries, first.entries)
        ack = ReplicationAck("n.2", again.batch_number)
        self.apply(ledger.confirm_replication(self.ledger, ack, 0.4))
        self.apply(ledger.time_out_replication(self.ledger, 0.8))
        self.assertEqual(self.take_sent(ReplicationRequest), [])

    def test_entries_in_the_log_are_not_replicated_again(self):
        self.begin(1)
        self.end(1)
        self.take_sent(ReplicationRequest)
        self.apply(ledger.flush(self.ledger))
        self.apply(ledger.drop_appended_batch(self.ledger))
        self.apply(ledger.time_out_replication(self.ledger, 0.3))
        self.assertEqual(self.take_sent(ReplicationRequest), [])

    def test_batch_whose_append_failed_is_appended_again(self):
        self.begin(1)
        self.end(1)
        self.apply(ledger.flush(self.ledger))
        first = self.take_sent(Append)
        self.apply(ledger.record_append_failure(self.ledger))
        self.apply(ledger.flush(self.ledger))
        self.assertEqual(self.take_sent(Append), first)
        self.apply(ledger.drop_appended_batch(self.ledger))
        self.assertEqual(ledger.count_pending_entries(self.ledger), 0)
        self.assertEqual(self.ledger.last_logged, 1)

    def test_closing_records_the_last_number(self):
        self.begin(1)
        self.end(1)
        self.apply(ledger.close(self.ledger))
        self.apply(ledger.drop_appended_batch(self.ledger))
        appends = self.take_sent(Append)
        texts = [append.value for append in appends]
        self.assertEqual(find_gaps(fold(texts), set()), [])
        keys = [append.key for append in appends]
        self.assertEqual(len(set(keys)), len(keys), "a batch replaced another")


class ReplicaTests(unittest.TestCase):
    def test_replicas_of_a_dead_origin_are_appended_once(self):
        stored = replicas.Replicas("n.2")
        data = (encode_entry(entry(1)), encode_entry(entry(2, outcome="")))
        stored = replicas.store_replicas(
            stored, ReplicationRequest("n.1", 1, 0, data)
        ).state
        stored = replicas.append_missing_origins(stored, {"n.2"}, 10.0).state
        step = replicas.append_missing_origins(stored, {"n.2"}, 20.0)
        account = fold([envelope.body.value for envelope in step.messages])
        outcomes = [e.outcome for e in list_entries(account)]
        self.assertEqual(outcomes, ["done", "unknown"])
        again = replicas.append_missing_origins(step.state, {"n.2"}, 30.0)
        self.assertEqual(again.messages, ())

    def test_replicas_of_a_live_origin_are_not_appended(self):
        stored = replicas.Replicas("n.2")
        request = ReplicationRequest("n.1", 1, 0, (encode_entry(entry(1)),))
        stored = replicas.store_replicas(stored, request).state
        for now in (10.0, 20.0, 30.0):
            step = replicas.append_missing_origins(stored, {"n.1", "n.2"}, now)
            self.assertEqual(step.messages, ())
            stored = step.state
