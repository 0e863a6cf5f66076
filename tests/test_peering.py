"""Peer messages: encoding, garbage, authentication."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Tick
from comfreyusher.messages import (
    AttemptKey,
    AttemptReport,
    CompressedRecord,
    Denial,
    DenialReason,
    FeedWatermarks,
    GossipKind,
    GossipMessage,
    Grant,
    GrantRequest,
    MemberRecord,
    MemberStanding,
    QueuedAck,
    RegisteredUpstream,
    ReplicationRequest,
    ReportAck,
    SnapshotRequest,
    SnapshotResponse,
    ToNode,
    TopicWatermark,
    UpstreamDelta,
    Verdict,
    WorkClass,
)
from comfreyusher.peering import (
    CodecError,
    Frames,
    PeerDatagramTask,
    PeerTask,
    decode_message,
    encode_message,
)
from comfreyusher.peering._codec import encode_datagram
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
KEYS = st.builds(AttemptKey, TEXT, NUMBER, st.integers(0, 9))
NAMES = st.lists(TEXT, max_size=3).map(tuple)
FLAGS = st.booleans()
LISTED = st.builds(
    RegisteredUpstream,
    TEXT,
    TEXT,
    TEXT,
    st.integers(0, 65535),
    TEXT,
    NUMBER,
    FLAGS,
    NUMBER,
    NUMBER,
    FLAGS,
)
MARKS = st.builds(TopicWatermark, TEXT, NUMBER, NUMBER, NUMBER)
KEPT = st.builds(CompressedRecord, TEXT, st.binary(max_size=20), NUMBER)
ASKS = st.builds(
    GrantRequest,
    TEXT,
    NUMBER,
    st.integers(0, 9),
    TEXT,
    TEXT,
    st.sampled_from(WorkClass),
    NUMBER,
    FLAGS,
    FLAGS,
    NUMBER,
    NUMBER,
    NUMBER,
    NUMBER,
    FLAGS,
    FLAGS,
    TEXT,
    TEXT,
    TEXT,
    NAMES,
    NAMES,
    TEXT,
)
MESSAGES = st.one_of(
    ASKS,
    st.builds(QueuedAck, KEYS),
    st.builds(
        Grant, KEYS, TEXT, TEXT, NUMBER, st.floats(allow_nan=False), NUMBER, NUMBER
    ),
    st.builds(Denial, KEYS, st.sampled_from(DenialReason), NUMBER),
    st.builds(AttemptReport, KEYS, TEXT, TEXT, st.sampled_from(Verdict), NUMBER, TEXT),
    st.builds(ReportAck, KEYS),
    st.builds(FeedWatermarks, TEXT, st.lists(MARKS, max_size=3).map(tuple)),
    st.builds(
        UpstreamDelta,
        TEXT,
        NUMBER,
        NUMBER,
        st.lists(LISTED, max_size=3).map(tuple),
        NUMBER,
        NUMBER,
    ),
    st.builds(SnapshotRequest, TEXT, TEXT, NUMBER),
    st.builds(
        SnapshotResponse,
        MARKS,
        st.lists(KEPT, max_size=3).map(tuple),
        st.lists(LISTED, max_size=3).map(tuple),
    ),
    st.builds(
        ReplicationRequest,
        TEXT,
        NUMBER,
        NUMBER,
        st.lists(st.binary(max_size=9)).map(tuple),
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
        try:
            decode_message(data)
        except CodecError:
            pass

    @fuzz
    @given(st.lists(MEMBERS, max_size=5).map(tuple))
    def test_datagrams_survive_the_wire(self, members):
        message = GossipMessage("a.1", GossipKind.PING, 5, "x", members, 9)
        self.assertEqual(decode_message(encode_datagram(message)), message)

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
        self.sweep(4.0, 0.25)
        self.assertEqual(set(self.aborted), {1})

    def test_late_sweep_forgives_silence(self):
        self.sweep(1.0, 0.25)
        self.sweep(10.0, 5.0)
        self.assertEqual(self.aborted, [])

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


class DatagramTests(unittest.TestCase):
    """What the datagram task drops, keeps inside, and where it answers."""

    def setUp(self):
        self.task = PeerDatagramTask.__new__(PeerDatagramTask)
        self.task.node = "vm-1.1"
        self.task.keys = lambda: [b"key"]
        self.task.places = {"vm-2.1": ("10.0.0.2", 7)}
        self.task.heard_from = {}
        self.task.dropped = self.task.sent_bytes = 0
        self.sent, self.told = [], []
        self.task.send = lambda data, host, port: self.sent.append((host, port))
        self.task.send_message = lambda channel, body: self.told.append((channel, body))
        self.heard = ReportAck(AttemptKey("vm-3.1", 1, 1))

    def test_message_to_this_node_stays_in_the_process(self):
        self.task.send_to_node(ToNode("vm-1.1", self.heard))
        self.assertEqual(self.told, [("entry", self.heard)])
        self.assertEqual(self.sent, [])

    def test_node_without_a_place_is_answered_where_its_ask_came_from(self):
        ask = _ask("vm-3.1")
        data = tag_datagram(b"key", encode_datagram(ask))
        self.task.on_datagram(data, "10.0.0.3", 9)
        self.task.send_to_node(ToNode("vm-3.1", self.heard))
        self.assertEqual(self.sent, [("10.0.0.3", 9)])

    def test_wrong_tags_and_garbage_are_dropped_and_counted(self):
        good = encode_datagram(self.heard)
        for data in (good, tag_datagram(b"other", good), tag_datagram(b"key", b"?")):
            self.task.on_datagram(data, "10.0.0.3", 9)
        self.assertEqual(self.task.dropped, 3)
        self.assertEqual(self.told, [])


def _ask(node):
    short, no = WorkClass.SHORT, False
    return GrantRequest(
        node, 1, 1, "g", "f", short, 0, True, no, 1, 9, 9, 0, no, no, "d", "r", "p"
    )
