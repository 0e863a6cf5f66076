"""Accounts: numbering, copies, batches and export."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.accounts import (
    Account,
    AccountEntry,
    AccountRecordError,
    Begun,
    CopyConfirmed,
    Ended,
    Gap,
    add_record,
    decode_account,
    encode_account,
    find_gaps,
    list_entries,
)
from comfreyusher.accounts import _copies as copies
from comfreyusher.accounts import _ledger as ledger
from comfreyusher.accounts._entry import encode_entry
from comfreyusher.messages import ReplicationAck, ReplicationRequest, ToNode
from comfreyusher.platform import Append


def entry(number, customer="c", origin="n.1", outcome="done"):
    """Return an entry."""
    return AccountEntry(
        origin, number, number, f"r{number}", customer, "s", "GET", "/", outcome
    )


def fold(texts, customer="c"):
    """Return a customer's account after records."""
    account = Account(customer)
    for text in texts:
        account = add_record(account, decode_account(text))
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
    def test_any_order_and_repetition_gives_the_same_account(
        self, numbers, size, mixer
    ):
        entries = [entry(number, customer) for number, customer in numbers]
        batches = [entries[i : i + size] for i in range(0, len(entries), size)]
        texts = [encode_account("n.1", "n.1", batch) for batch in batches]
        mixed = texts + texts[:2]
        mixer.shuffle(mixed)
        account = fold(mixed)
        mine = sorted(number for number, customer in numbers if customer == "c")
        self.assertEqual([e.number for e in list_entries(account)], mine)
        missing = set(range(1, max([n for n, _ in numbers], default=0)))
        missing -= {number for number, _ in numbers}
        told = set()
        for gap in find_gaps(account, {"n.1"}):
            told |= set(range(gap.first, gap.last + 1))
        self.assertEqual(told, missing)

    def test_no_other_customers_entry_is_exported(self):
        account = fold([encode_account("n.1", "n.1", [entry(1, "c"), entry(2, "d")])])
        self.assertEqual([e.customer for e in list_entries(account)], ["c"])
        self.assertEqual(find_gaps(account, {"n.1"}), [])

    def test_dead_origin_leaves_an_open_end_and_a_closed_one_none(self):
        texts = [encode_account("n.1", "n.1", [entry(1)])]
        self.assertEqual(find_gaps(fold(texts), set()), [Gap("n.1", 2, -1)])
        texts.append(encode_account("n.1", "n.1", [], closed=1))
        self.assertEqual(find_gaps(fold(texts), set()), [])
        texts[-1] = encode_account("n.1", "n.1", [], closed=3)
        self.assertEqual(find_gaps(fold(texts), set()), [Gap("n.1", 2, 3)])

    def test_known_outcome_beats_an_unknown_copy(self):
        texts = [
            encode_account("n.1", "n.2", [entry(1, outcome="")]),
            encode_account("n.1", "n.1", [entry(1)]),
            encode_account("n.1", "n.2", [entry(1, outcome="unknown")]),
        ]
        self.assertEqual(list_entries(fold(texts))[0].outcome, "done")

    def test_corrupt_records_raise_the_layers_error(self):
        good = encode_account("n.1", "n.1", [entry(1)])
        for text in ("", "{}", good.replace('"format":1', '"format":9')):
            with self.assertRaises(AccountRecordError):
                decode_account(text)
        broken = decode_account(good.replace('"packed":"', '"packed":"zz'))
        with self.assertRaises(AccountRecordError):
            add_record(Account("c"), broken)


class LedgerTests(unittest.TestCase):
    def setUp(self):
        self.ledger = ledger.new_ledger("n.1")
        self.sent = []
        self.keep(ledger.change_buddy(self.ledger, "n.2", 0.0))

    def keep(self, step):
        self.ledger = step.state
        for address in step.messages:
            body = address.body
            self.sent.append(body.body if isinstance(body, ToNode) else body)

    def take(self, kind):
        found = [body for body in self.sent if isinstance(body, kind)]
        self.sent = []
        return found

    def begin(self, exchange):
        begun = Begun(exchange, entry(0, outcome=""))
        self.keep(ledger.begin(self.ledger, begun, 0.0))

    def end(self, exchange):
        self.keep(ledger.end(self.ledger, Ended(exchange, "done", 200, 1), 0.0))

    def test_answers_wait_for_the_copy(self):
        self.begin(7)
        self.assertEqual(len(self.take(ReplicationRequest)), 1)
        self.keep(ledger.take_stored(self.ledger, ReplicationAck("n.2", 1), 0.0))
        self.assertEqual(self.take(CopyConfirmed), [CopyConfirmed(7, True)])

    def test_entries_that_come_meanwhile_share_one_copy(self):
        for exchange in range(1, 6):
            self.begin(exchange)
        self.assertEqual(len(self.take(ReplicationRequest)), 1)
        self.keep(ledger.take_stored(self.ledger, ReplicationAck("n.2", 1), 0.0))
        asked = self.take(ReplicationRequest)
        self.assertEqual([len(one.entries) for one in asked], [4])

    def test_silent_buddy_delays_an_answer_only_for_a_while(self):
        self.begin(1)
        self.take(ReplicationRequest)
        self.keep(ledger.time_out_copy(self.ledger, ledger.COPY_TIMEOUT_S + 0.1))
        self.assertEqual(self.take(CopyConfirmed), [CopyConfirmed(1, False)])
        self.assertEqual(self.ledger.uncopied_total, 1)

    def test_a_copy_that_took_too_long_is_sent_again(self):
        self.begin(1)
        (first,) = self.take(ReplicationRequest)
        self.keep(ledger.time_out_copy(self.ledger, 0.3))
        (again,) = self.take(ReplicationRequest)
        self.assertEqual(again.entries, first.entries)
        stored = ReplicationAck("n.2", again.batch_number)
        self.keep(ledger.take_stored(self.ledger, stored, 0.4))
        self.keep(ledger.time_out_copy(self.ledger, 0.8))
        self.assertEqual(self.take(ReplicationRequest), [])

    def test_what_is_in_the_log_is_not_copied_again(self):
        self.begin(1)
        self.end(1)
        self.take(ReplicationRequest)
        self.keep(ledger.flush(self.ledger))
        self.keep(ledger.take_appended(self.ledger))
        self.keep(ledger.time_out_copy(self.ledger, 0.3))
        self.assertEqual(self.take(ReplicationRequest), [])

    def test_batch_without_an_answer_is_appended_again(self):
        self.begin(1)
        self.end(1)
        self.keep(ledger.flush(self.ledger))
        first = self.take(Append)
        self.keep(ledger.take_append_failure(self.ledger))
        self.keep(ledger.flush(self.ledger))
        self.assertEqual(self.take(Append), first)
        self.keep(ledger.take_appended(self.ledger))
        self.assertEqual(ledger.pending_entries(self.ledger), 0)
        self.assertEqual(self.ledger.logged, 1)

    def test_closing_tells_the_last_number(self):
        self.begin(1)
        self.end(1)
        self.keep(ledger.close(self.ledger))
        self.keep(ledger.take_appended(self.ledger))
        appends = self.take(Append)
        texts = [append.value for append in appends]
        self.assertEqual(find_gaps(fold(texts), set()), [])
        keys = [append.key for append in appends]
        self.assertEqual(len(set(keys)), len(keys), "a batch replaced another")


class CopyTests(unittest.TestCase):
    def test_copies_of_a_dead_origin_are_appended_once(self):
        kept = copies.Copies("n.2")
        data = (encode_entry(entry(1)), encode_entry(entry(2, outcome="")))
        kept = copies.store(kept, ReplicationRequest("n.1", 1, 0, data)).state
        kept = copies.adopt(kept, {"n.2"}, 10.0).state
        step = copies.adopt(kept, {"n.2"}, 20.0)
        account = fold([address.body.value for address in step.messages])
        outcomes = [e.outcome for e in list_entries(account)]
        self.assertEqual(outcomes, ["done", "unknown"])
        again = copies.adopt(step.state, {"n.2"}, 30.0)
        self.assertEqual(again.messages, ())

    def test_living_origin_is_left_alone(self):
        kept = copies.Copies("n.2")
        asked = ReplicationRequest("n.1", 1, 0, (encode_entry(entry(1)),))
        kept = copies.store(kept, asked).state
        for now in (10.0, 20.0, 30.0):
            step = copies.adopt(kept, {"n.1", "n.2"}, now)
            self.assertEqual(step.messages, ())
            kept = step.state
