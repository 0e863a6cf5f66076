"""Peer messages: encoding, garbage, authentication."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Tick
from comfreyusher.membership import (
    GossipKind,
    GossipMessage,
    MemberRecord,
    MemberStanding,
)
from comfreyusher.membership._codec import decode_gossip, encode_gossip
from comfreyusher.messages import (
    AnswerHead,
    CopyAsked,
    Offer,
    Outcome,
    RecordsGiven,
    Refusal,
    RequestHead,
    Result,
    ToNode,
    WorkClass,
    WorkKey,
)
from comfreyusher.peering import (
    CodecError,
    Frames,
    PeerTask,
    decode_message,
    encode_message,
)
from comfreyusher.peering._handshake import (
    Hello,
    is_proven,
    new_nonce,
    open_datagram,
    prove,
    tag_datagram,
)
from comfreyusher.peering._task import PeerConnection

TEXT = st.text(max_size=20)
NUMBER = st.integers(-(2**62), 2**62)
KEYS = st.builds(WorkKey, TEXT, NUMBER)
HEADERS = st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9))).map(tuple)
MESSAGES = st.one_of(
    st.builds(
        Offer,
        KEYS,
        TEXT,
        st.sampled_from(WorkClass),
        NUMBER,
        st.booleans(),
        TEXT,
        TEXT,
        TEXT,
        st.builds(RequestHead, TEXT, TEXT, HEADERS, TEXT),
        st.binary(max_size=50),
        st.booleans(),
    ),
    st.builds(
        Refusal, KEYS, st.sampled_from(Outcome), st.integers(0, 999), TEXT, NUMBER
    ),
    st.builds(
        Result,
        KEYS,
        TEXT,
        st.builds(AnswerHead, st.integers(100, 599), HEADERS, TEXT),
        st.binary(max_size=50),
        st.booleans(),
        st.floats(allow_nan=False),
        st.integers(0, 9),
    ),
    st.builds(
        CopyAsked, TEXT, NUMBER, NUMBER, st.lists(st.binary(max_size=9)).map(tuple)
    ),
    st.builds(
        RecordsGiven,
        NUMBER,
        NUMBER,
        st.booleans(),
        st.booleans(),
        st.lists(TEXT).map(tuple),
    ),
)
MEMBERS = st.builds(
    MemberRecord,
    TEXT,
    TEXT,
    TEXT,
    st.integers(0, 65535),
    st.integers(0, 65535),
    TEXT,
    TEXT,
    NUMBER,
    st.sampled_from(MemberStanding),
    NUMBER,
    NUMBER,
)


def fuzz(test):
    """Decorate a property test with the suite's settings."""
    return settings(max_examples=200, derandomize=True, deadline=None)(test)


class CodecTests(unittest.TestCase):
    @fuzz
    @given(MESSAGES)
    def test_messages_survive_the_wire(self, message):
        again = decode_message(encode_message(message)[4:])
        self.assertEqual(again, message)
        self.assertIs(type(again), type(message))
        hash(again)

    @fuzz
    @given(MESSAGES, st.data())
    def test_garbled_messages_raise_the_layers_error(self, message, data):
        frame = bytearray(encode_message(message)[4:])
        for _ in range(data.draw(st.integers(1, 5))):
            place = data.draw(st.integers(0, len(frame) - 1))
            frame[place] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(frame))
        except CodecError:
            pass

    @fuzz
    @given(st.binary(max_size=200))
    def test_garbage_raises_the_layers_error(self, data):
        for decode in (decode_message, decode_gossip):
            try:
                decode(data)
            except CodecError:
                pass

    @fuzz
    @given(st.lists(MEMBERS, max_size=5).map(tuple))
    def test_datagrams_survive_the_wire(self, members):
        message = GossipMessage("a.1", GossipKind.PING, 5, "x", members, 9)
        self.assertEqual(decode_gossip(encode_gossip(message)), message)

    @fuzz
    @given(st.lists(MESSAGES, max_size=4), st.lists(st.integers(0, 400)))
    def test_frames_split_alike_in_any_pieces(self, messages, cuts):
        stream = b"".join(encode_message(message) for message in messages)
        frames = Frames(1 << 20)
        found = []
        start = 0
        for end in [*sorted(c for c in cuts if c < len(stream)), len(stream)]:
            found += frames.feed(stream[start:end])
            start = end
        self.assertEqual([decode_message(one) for one in found], messages)

    def test_oversized_frame_is_refused_before_it_is_read(self):
        with self.assertRaises(CodecError):
            Frames(100).feed(b"\x7f\xff\xff\xff")


class HandshakeTests(unittest.TestCase):
    def test_only_a_current_key_proves_a_node(self):
        nonce = new_nonce()
        hello = Hello("vm-1.1", prove(b"new", nonce, "vm-1.1"))
        self.assertTrue(is_proven([b"old", b"new"], nonce, hello))
        self.assertFalse(is_proven([b"old"], nonce, hello))
        self.assertFalse(is_proven([b"new"], new_nonce(), hello))
        stolen = Hello("vm-2.1", hello.proof)
        self.assertFalse(is_proven([b"new"], nonce, stolen))

    def test_datagrams_open_only_with_a_current_key(self):
        data = tag_datagram(b"key", b"payload")
        self.assertEqual(open_datagram([b"other", b"key"], data), b"payload")
        self.assertIsNone(open_datagram([b"other"], data))
        self.assertIsNone(open_datagram([b"key"], data[:-1] + b"x"))
        self.assertIsNone(open_datagram([b"key"], b""))


class SilenceTests(unittest.TestCase):
    """A node that was busy itself must not take others for lost."""

    def setUp(self):
        self.now = 100.0
        self.task = PeerTask("vm-1.1", lambda: [b"key"], None, clock=lambda: self.now)
        self.aborted = []
        self.task.abort = self.aborted.append
        self.task.write = lambda number, data: None
        state = PeerConnection("vm-2.1", self.now)
        state.greeted = True
        self.task.states[1] = state

    def sweep(self, seconds, step):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.task.sweep(Tick("sweep", self.now))

    def test_silent_peer_is_lost(self):
        self.task.outstanding["vm-2.1"].add("work")
        self.sweep(4.0, 0.25)
        self.assertEqual(set(self.aborted), {1})

    def test_late_sweep_forgives_silence(self):
        self.task.outstanding["vm-2.1"].add("work")
        self.sweep(1.0, 0.25)
        self.sweep(10.0, 5.0)
        self.assertEqual(self.aborted, [])

    def test_reply_on_the_other_connection_settles_the_offer(self):
        offer = Offer(
            WorkKey("vm-1.1", 1),
            "g",
            WorkClass.SHORT,
            1000,
            True,
            "r",
            "f",
            "",
            RequestHead("GET", "/"),
        )
        self.task.tell = lambda channel, body: None
        self.task.by_node["vm-2.1"] = 1
        self.task.send_to(ToNode("vm-2.1", offer))
        self.task.states[2] = PeerConnection("vm-2.1", self.now)
        self.task.states[2].greeted = True
        result = Result(offer.key, "u", AnswerHead(200), b"", True)
        self.task._take(2, self.task.states[2], result)
        self.assertEqual(self.task.outstanding["vm-2.1"], set())

    def answer_ping(self, number, data):
        state = self.task.states[number]
        state.last_heard = self.now
        state.pinged = 0.0

    def test_idle_connection_is_kept_for_a_while_and_then_closed(self):
        self.task.write = self.answer_ping
        self.sweep(59.0, 0.25)
        self.assertEqual(self.aborted, [])
        self.sweep(2.0, 0.25)
        self.assertEqual(set(self.aborted), {1})
