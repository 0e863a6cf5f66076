"""Claims in the log, keys, and what the entry does with both."""

import unittest
import uuid

import immutables
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.accounts import CopyConfirmed
from comfreyusher.claims import (
    ClaimBook,
    ask,
    expire,
    take_append_failure,
    take_appended,
    take_page,
)
from comfreyusher.declarations import (
    Catalogue,
    apply_record,
    digest_key,
    encode_record,
    new_record,
)
from comfreyusher.entry import (
    ClaimState,
    EntryTask,
    GroupPlace,
    KeyKind,
    KeyRefused,
    Situation,
    mint_key,
    new_entry_state,
    parse_key,
)
from comfreyusher.membership import MemberRecord, Ownership, update_view
from comfreyusher.messages import (
    AnswerHead,
    AnswerStart,
    CallerGone,
    ClaimAsked,
    ClaimSettled,
    HandOver,
    Offer,
    Outcome,
    PeerLost,
    Refusal,
    RefusalStatus,
    RequestHead,
    RequestStart,
    Result,
    ToNode,
)
from comfreyusher.platform import Append, LogRecord, Read
from comfreyusher.platform._calls import LogPage
from comfreyusher.routing import RoutingTable, build_table

NOW_MS = 1_800_000_000_000
WINDOW_MS = 600_000


def key_made(age_ms, salt=1):
    """Return a caller's key of an age."""
    value = ((NOW_MS - age_ms) << 80) | (7 << 76) | (2 << 62) | salt
    return str(uuid.UUID(int=value))


class KeyTests(unittest.TestCase):
    def test_callers_and_fleets_keys(self):
        self.assertIs(parse_key(key_made(5), NOW_MS, WINDOW_MS).kind, KeyKind.CALLER)
        minted = f"vm-1.7~{key_made(5)}"
        key = parse_key(minted, NOW_MS, WINDOW_MS)
        self.assertEqual((key.kind, key.holder), (KeyKind.FLEET, "vm-1.7"))
        self.assertTrue(mint_key("vm-1.7").startswith("vm-1.7~"))

    def test_old_future_and_odd_keys_are_refused(self):
        old = (key_made(WINDOW_MS + 1), True)
        odd = [key_made(-120_000), "", "x", str(uuid.UUID(int=5)), "~" + key_made(1)]
        for text, too_old in [old, *((one, False) for one in odd), ("a" * 999, False)]:
            with self.subTest(text), self.assertRaises(KeyRefused) as caught:
                parse_key(text, NOW_MS, WINDOW_MS)
            self.assertEqual(caught.exception.too_old, too_old)


class Log:
    """A claims stream, and books of nodes that use it under faults."""

    def __init__(self, nodes):
        self.records = []
        self.books = {node: ClaimBook(node) for node in nodes}
        self.settled = {}
        self.mail = []

    def keep(self, node, step):
        self.books[node] = step.state
        for address in step.messages:
            body = address.body
            if isinstance(body, ClaimSettled):
                self.settled.setdefault(body.key, set()).add(body.holder)
            else:
                self.mail.append((node, body))

    def ask(self, node, name, exchange):
        self.keep(node, ask(self.books[node], ClaimAsked(name, exchange), 0.0))

    def step(self, choice, loses):
        """Carry out one waiting call; an append may lose its answer."""
        if not self.mail:
            return
        node, body = self.mail.pop(choice % len(self.mail))
        book = self.books[node]
        if isinstance(body, Append):
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, 0, body.value))
            if loses:
                self.keep(node, take_append_failure(book))
            else:
                self.keep(node, take_appended(book, offset, 0.0))
        elif isinstance(body, Read):
            page = tuple(r for r in self.records if r.offset > body.after)
            answer = LogPage(1, len(self.records), 0, 0, page)
            self.keep(node, take_page(book, answer, 0.0))

    def finish(self):
        for _ in range(200):
            self.step(0, False)
        for node in self.books:
            self.keep(node, expire(self.books[node], 1.0, -1))
        for _ in range(200):
            self.step(0, False)


class ClaimBookTests(unittest.TestCase):
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("ask"), st.sampled_from("abc"), st.sampled_from("xy")
                ),
                st.tuples(st.just("step"), st.integers(0, 9), st.booleans()),
            ),
            max_size=40,
        )
    )
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_all_nodes_agree_on_one_holder(self, actions):
        log = Log("abc")
        for number, (action, first, second) in enumerate(actions):
            if action == "ask":
                log.ask(first, second, number)
            else:
                log.step(first, second)
        log.finish()
        for name, holders in log.settled.items():
            self.assertEqual(len(holders), 1, (name, holders))
            self.assertNotIn("", holders)

    def test_slow_log_is_waited_for(self):
        book = ask(ClaimBook("a"), ClaimAsked("k", 1), 0.0).state
        book = take_page(book, LogPage(1, 0, 0, 0), 9.0).state
        self.assertIn("k", expire(book, 10.0, 0).state.pending)
        self.assertNotIn("k", expire(book, 13.0, 0).state.pending)

    def test_silent_log_settles_nothing(self):
        book = ask(ClaimBook("a"), ClaimAsked("k", 1), 0.0).state
        step = expire(book, 10.0, 0)
        holders = [a.body.holder for a in step.messages if type(a.body) is ClaimSettled]
        self.assertEqual(holders, [""])


class EntryHarness:
    """An entry task without sockets; it records what it tells."""

    def __init__(self, live=("vm-1.1", "vm-2.1")):
        self.now = 50.0
        self.told = []
        self.task = EntryTask(
            new_entry_state("vm-1.1", "r", 0.0),
            wall_clock=lambda: NOW_MS / 1000,
            clock=lambda: self.now,
        )
        self.task.tell = lambda channel, body: self.told.append(body)
        members = [
            MemberRecord(node, node.partition(".")[0], "h", 1, 1, "d", "r", 1)
            for node in live
        ]
        self.situation(members)

    def situation(self, members):
        table = build_table(RoutingTable(), catalogue())
        groups = immutables.Map({"s": (GroupPlace("s@r", "r"),)})
        live = frozenset(record.node for record in members)
        view = update_view(Ownership(), members)
        self.task.take_situation(Situation(table, True, False, groups, live, view))

    def send(self, exchange, key):
        headers = (
            (b"Host", b"h"),
            (b"Authorization", b"Bearer k"),
            (b"Idempotency-Key", key.encode()),
        )
        head = RequestHead("POST", "/book", headers)
        self.task.arrive(RequestStart(exchange, "c", head, b"x", True))

    def take(self, kind):
        """Return and forget the messages of a kind; peers' are unwrapped."""
        bodies = [b.body if isinstance(b, ToNode) else b for b in self.told]
        found = [body for body in bodies if isinstance(body, kind)]
        self.told = []
        return found

    def settle(self, exchange, holder):
        self.task.take_claim(ClaimSettled("n", exchange, holder))

    def answer(self, offer, exchange):
        confirmed = CopyConfirmed(exchange, True)
        self.task.routes[CopyConfirmed](confirmed)
        result = Result(offer.key, "u", AnswerHead(200), b"booked", True)
        self.task.routes[Result](result)


def catalogue():
    """Return a catalogue with one marked route and one customer."""
    bodies = (
        ("profile", {"name": "p"}),
        (
            "service",
            {
                "name": "s",
                "profile": "p",
                "slots": {"r": 4},
                "routes": [{"prefix": "/book", "idempotent": False}],
            },
        ),
        ("customer", {"name": "c", "key_digests": [digest_key("k")]}),
    )
    found = Catalogue()
    for offset, (kind, body) in enumerate(bodies, start=1):
        record = new_record(kind, body["name"], 0, body, "")
        found = apply_record(found, offset, encode_record(record))
    return found


class EntryClaimTests(unittest.TestCase):
    def outcome(self, answers):
        return [
            dict(answer.head.headers)[b"Comfreyusher-Outcome"].decode()
            for answer in answers
        ]

    def test_marked_request_without_a_key_is_refused(self):
        entry = EntryHarness()
        entry.send(1, "")
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["not-run"])

    def test_holder_runs_a_key_once_and_replays_its_answer(self):
        entry = EntryHarness()
        key = f"vm-1.1~{key_made(1)}"
        entry.send(1, key)
        offers = entry.take(Offer)
        self.assertEqual(len(offers), 1)
        entry.send(2, key)
        self.assertEqual(entry.take(Offer), [])
        entry.answer(offers[0], 1)
        settled = [b for b in entry.told if type(b).__name__ == "Settled"]
        for one in settled:
            entry.task.routes[type(one)](one)
        answers = entry.take(AnswerStart)
        self.assertEqual([a.body for a in answers], [b"booked", b"booked"])
        entry.send(3, key)
        replayed = entry.take(AnswerStart)
        self.assertEqual([a.body for a in replayed], [b"booked"])

    def test_unknown_outcome_is_never_run_again(self):
        entry = EntryHarness()
        key = f"vm-1.1~{key_made(1)}"
        entry.send(1, key)
        offer = entry.take(Offer)[0]
        refusal = Refusal(offer.key, Outcome.UNKNOWN, 502, "lost")
        entry.task.routes[Refusal](refusal)
        entry.send(2, key)
        self.assertEqual(entry.take(Offer), [])
        claim = next(iter(entry.task.state.claims.values()))
        self.assertIs(claim.state, ClaimState.UNKNOWN)

    def test_request_that_was_not_run_may_be_sent_again(self):
        entry = EntryHarness()
        key = f"vm-1.1~{key_made(1)}"
        entry.send(1, key)
        offer = entry.take(Offer)[0]
        entry.task.routes[Refusal](Refusal(offer.key, Outcome.NOT_RUN, 503, "full"))
        entry.send(2, key)
        self.assertEqual(len(entry.take(Offer)), 1)

    def test_key_of_another_node_is_handed_over_and_never_run_here(self):
        entry = EntryHarness()
        entry.send(1, f"vm-2.1~{key_made(1)}")
        self.assertEqual(len(entry.take(HandOver)), 1)
        self.assertEqual(entry.take(Offer), [])

    def test_key_of_a_gone_node_is_unknown(self):
        entry = EntryHarness()
        entry.send(1, f"vm-9.1~{key_made(1)}")
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["unknown"])
        entry.send(2, f"vm-2.1~{key_made(1)}")
        entry.take(HandOver)
        entry.task.lose_peer(PeerLost("vm-2.1", False))
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["unknown"])

    def test_callers_key_goes_to_the_holder_that_the_log_names(self):
        for holder, kind in (("vm-1.1", Offer), ("vm-2.1", HandOver)):
            entry = EntryHarness()
            entry.send(1, key_made(1))
            self.assertEqual(len(entry.take(ClaimAsked)), 1)
            entry.settle(1, holder)
            self.assertEqual(len(entry.take(kind)), 1)

    def test_silent_log_refuses_a_callers_key_as_not_run(self):
        entry = EntryHarness()
        entry.send(1, key_made(1))
        entry.settle(1, "")
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["not-run"])

    def test_key_past_the_window_is_unknown(self):
        entry = EntryHarness()
        entry.send(1, key_made(WINDOW_MS + 5))
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["unknown"])

    def test_lost_owner_leaves_a_marked_request_unknown(self):
        entry = EntryHarness()
        key = f"vm-1.1~{key_made(1)}"
        entry.send(1, key)
        entry.take(Offer)
        owner = entry.task.visits[1].owner
        entry.task.lose_peer(PeerLost(owner, True))
        self.assertEqual(self.outcome(entry.take(AnswerStart)), ["unknown"])
        entry.send(2, key)
        self.assertEqual(entry.take(Offer), [])

    def test_misdirected_request_goes_to_the_next_owner(self):
        entry = EntryHarness(("vm-1.1", "vm-2.1", "vm-3.1"))
        entry.send(1, f"vm-1.1~{key_made(1)}")
        offer = entry.take(Offer)[0]
        first = entry.task.visits[1].owner
        status = RefusalStatus.MISDIRECTED
        refusal = Refusal(offer.key, Outcome.NOT_RUN, status, "elsewhere")
        entry.task.routes[Refusal](refusal)
        self.assertEqual(len(entry.take(Offer)), 1)
        self.assertNotEqual(entry.task.visits[1].owner, first)

    def test_marked_request_goes_on_when_its_caller_leaves(self):
        entry = EntryHarness()
        key = f"vm-1.1~{key_made(1)}"
        entry.send(1, key)
        offer = entry.take(Offer)[0]
        entry.task.lose_caller(CallerGone(1))
        self.assertEqual(entry.told, [])
        entry.answer(offer, 1)
        entry.take(AnswerStart)
        entry.send(2, key)
        self.assertEqual([a.body for a in entry.take(AnswerStart)], [b"booked"])
