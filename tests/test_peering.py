"""Messages between nodes: encoding, corrupt bytes, authentication."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreyusher.flow import Tick
from comfreyusher.messages import (
    AcquittalNotice,
    AttemptKey,
    AttemptReport,
    BucketHandover,
    CompressedRecord,
    CrashNotice,
    Denial,
    DenialReason,
    FeedWatermarks,
    GossipKind,
    GossipMessage,
    Grant,
    GrantRequest,
    MemberRecord,
    MemberStanding,
    QuarantineNotice,
    QueuedAck,
    RegisteredUpstream,
    ReplicationRequest,
    ReportAck,
    SnapshotRequest,
    SnapshotResponse,
    TokenGrant,
    TokenRequest,
    ToNode,
    TopicWatermark,
    UpstreamDelta,
    Verdict,
    WorkClass,
)
from comfreyusher.peering import (
    CodecError,
    FrameDecoder,
    PeerDatagramTask,
    PeerTask,
    decode_message,
    encode_message,
)
from comfreyusher.peering._codec import encode_datagram
from comfreyusher.peering._handshake import (
    Hello,
    compute_proof,
    new_nonce,
    tag_datagram,
    verify_datagram,
    verify_proof,
)
from comfreyusher.peering._task import PeerConnection

TEXT = st.text(max_size=20)
NUMBER = st.integers(-(2**62), 2**62)
KEYS = st.builds(AttemptKey, TEXT, NUMBER, st.integers(0, 9))
NAMES = st.lists(TEXT, max_size=3).map(tuple)
FLAGS = st.booleans()
UPSTREAMS = st.builds(
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
WATERMARKS = st.builds(TopicWatermark, TEXT, NUMBER, NUMBER, NUMBER)
COMPRESSED_RECORDS = st.builds(CompressedRecord, TEXT, st.binary(max_size=20), NUMBER)
GRANT_REQUESTS = st.builds(
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
    GRANT_REQUESTS,
    st.builds(QueuedAck, KEYS),
    st.builds(CrashNotice, TEXT, TEXT, NUMBER, NUMBER, NUMBER),
    st.builds(AcquittalNotice, TEXT),
    st.builds(QuarantineNotice, TEXT, NUMBER),
    st.builds(TokenRequest, TEXT, NUMBER, TEXT, NUMBER, NUMBER, st.integers(0, 2)),
    st.builds(TokenGrant, TEXT, NUMBER, TEXT, NUMBER, NUMBER, TEXT),
    st.builds(BucketHandover, TEXT, TEXT, st.floats(allow_nan=False), FLAGS),
    st.builds(
        Grant, KEYS, TEXT, TEXT, NUMBER, st.floats(allow_nan=False), NUMBER, NUMBER
    ),
    st.builds(Denial, KEYS, st.sampled_from(DenialReason), NUMBER),
    st.builds(AttemptReport, KEYS, TEXT, TEXT, st.sampled_from(Verdict), NUMBER, TEXT),
    st.builds(ReportAck, KEYS),
    st.builds(FeedWatermarks, TEXT, st.lists(WATERMARKS, max_size=3).map(tuple)),
    st.builds(
        UpstreamDelta,
        TEXT,
        NUMBER,
        NUMBER,
        st.lists(UPSTREAMS, max_size=3).map(tuple),
        NUMBER,
        NUMBER,
    ),
    st.builds(SnapshotRequest, TEXT, TEXT, NUMBER),
    st.builds(
        SnapshotResponse,
        WATERMARKS,
        st.lists(COMPRESSED_RECORDS, max_size=3).map(tuple),
        st.lists(UPSTREAMS, max_size=3).map(tuple),
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
    def test_encoded_messages_decode_to_the_same_value(self, message):
        decoded = decode_message(encode_message(message)[4:])
        self.assertEqual(decoded, message)
        self.assertIs(type(decoded), type(message))
        hash(decoded)

    @fuzz
    @given(MESSAGES, st.data())
    def test_corrupt_messages_raise_only_codec_errors(self, message, data):
        frame = bytearray(encode_message(message)[4:])
        for _ in range(data.draw(st.integers(1, 5))):
            index = data.draw(st.integers(0, len(frame) - 1))
            frame[index] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(frame))
        except CodecError:
            pass

    @fuzz
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_codec_errors(self, data):
        try:
            decode_message(data)
        except CodecError:
            pass

    @fuzz
    @given(st.lists(MEMBERS, max_size=5).map(tuple))
    def test_encoded_datagrams_decode_to_the_same_value(self, members):
        message = GossipMessage("a.1", GossipKind.PING, 5, "x", members, 9)
        self.assertEqual(decode_message(encode_datagram(message)), message)

    @fuzz
    @given(st.lists(MESSAGES, max_size=4), st.lists(st.integers(0, 400)))
    def test_frames_are_the_same_however_the_stream_is_split(self, messages, cuts):
        stream = b"".join(encode_message(message) for message in messages)
        decoder = FrameDecoder(1 << 20)
        found = []
        start = 0
        for end in [*sorted(c for c in cuts if c < len(stream)), len(stream)]:
            found += decoder.feed(stream[start:end])
            start = end
        self.assertEqual([decode_message(frame) for frame in found], messages)

    def test_oversized_frame_is_refused_before_it_is_read(self):
        with self.assertRaises(CodecError):
            FrameDecoder(100).feed(b"\x7f\xff\xff\xff")


class HandshakeTests(unittest.TestCase):
    def test_only_a_current_key_proves_a_node(self):
        nonce = new_nonce()
        hello = Hello("vm-1.1", compute_proof(b"new", nonce, "vm-1.1"))
        self.assertTrue(verify_proof([b"old", b"new"], nonce, hello))
        self.assertFalse(verify_proof([b"old"], nonce, hello))
        self.assertFalse(verify_proof([b"new"], new_nonce(), hello))
        stolen = Hello("vm-2.1", hello.proof)
        self.assertFalse(verify_proof([b"new"], nonce, stolen))

    def test_datagrams_are_accepted_only_with_a_current_key(self):
        data = tag_datagram(b"key", b"payload")
        self.assertEqual(verify_datagram([b"other", b"key"], data), b"payload")
        self.assertIsNone(verify_datagram([b"other"], data))
        self.assertIsNone(verify_datagram([b"key"], data[:-1] + b"x"))
        self.assertIsNone(verify_datagram([b"key"], b""))


class LivenessTests(unittest.TestCase):
    """Silent peers are disconnected, but not right after a pause of this process.

    After a pause, bytes of the peers may wait unread in the sockets.
    """

    def setUp(self):
        self.now = 100.0
        self.task = PeerTask("vm-1.1", lambda: [b"key"], None, clock=lambda: self.now)
        self.aborted = []
        self.task.abort = self.aborted.append
        self.task.write = lambda number, data: None
        state = PeerConnection("vm-2.1", self.now)
        state.handshake_done = True
        self.task.states[1] = state

    def sweep(self, seconds, step):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.task.handle_tick(Tick("sweep", self.now))

    def test_silent_peer_is_disconnected(self):
        self.sweep(4.0, 0.25)
        self.assertEqual(set(self.aborted), {1})

    def test_late_sweep_ignores_silence(self):
        self.sweep(1.0, 0.25)
        self.sweep(10.0, 5.0)
        self.assertEqual(self.aborted, [])

    def respond_to_ping(self, number, data):
        state = self.task.states[number]
        state.last_received_s = self.now
        state.ping_sent_s = 0.0

    # Guards against a request on a connection that went silent while it was unused.
    def test_unused_connection_is_closed_before_its_silence_goes_unnoticed(self):
        self.task.write = self.respond_to_ping
        self.sweep(1.75, 0.25)
        self.assertEqual(self.aborted, [])
        self.sweep(0.5, 0.25)
        self.assertEqual(set(self.aborted), {1})

    # Guards against a response on an old connection that its receiver has given up.
    def test_the_newest_connection_to_a_node_is_used(self):
        self.task.number_by_node["vm-2.1"] = 1
        state = PeerConnection("", self.now)
        state.nonce = new_nonce()
        self.task.states[2] = state
        proof = compute_proof(b"key", state.nonce, "vm-2.1")
        self.task._handle_hello(2, state, Hello("vm-2.1", proof))
        self.assertEqual(self.task.number_by_node["vm-2.1"], 2)


class DatagramTests(unittest.TestCase):
    """Which datagrams are dropped, handled locally or sent, and to which address."""

    def setUp(self):
        self.task = PeerDatagramTask.__new__(PeerDatagramTask)
        self.task.node = "vm-1.1"
        self.task.keys = lambda: [b"key"]
        self.task.addresses = {"vm-2.1": ("10.0.0.2", 7)}
        self.task.observed_addresses = {}
        self.task.dropped_total = self.task.sent_bytes = 0
        self.sent, self.local_messages = [], []
        self.task.send = lambda data, host, port: self.sent.append((host, port))
        self.task.send_message = lambda channel, body: self.local_messages.append(
            (channel, body)
        )
        self.ack = ReportAck(AttemptKey("vm-3.1", 1, 1))

    def test_message_to_this_node_stays_in_the_process(self):
        self.task.handle_to_node(ToNode("vm-1.1", self.ack))
        self.assertEqual(self.local_messages, [("entry", self.ack)])
        self.assertEqual(self.sent, [])

    def test_response_to_an_unknown_node_goes_to_the_source_of_its_request(self):
        for request in (
            _grant_request("vm-3.1"),
            TokenRequest("vm-3.1", 1, "a", 1),
            BucketHandover("vm-3.1", "a", wanted=True),
        ):
            self.task.observed_addresses.clear()
            self.sent.clear()
            data = tag_datagram(b"key", encode_datagram(request))
            self.task.on_datagram(data, "10.0.0.3", 9)
            self.task.handle_to_node(ToNode("vm-3.1", self.ack))
            self.assertEqual(self.sent, [("10.0.0.3", 9)])

    def test_wrong_tags_and_corrupt_messages_are_dropped_and_counted(self):
        good = encode_datagram(self.ack)
        for data in (good, tag_datagram(b"other", good), tag_datagram(b"key", b"?")):
            self.task.on_datagram(data, "10.0.0.3", 9)
        self.assertEqual(self.task.dropped_total, 3)
        self.assertEqual(self.local_messages, [])


def _grant_request(node):
    short, no = WorkClass.SHORT, False
    return GrantRequest(
        node, 1, 1, "g", "f", short, 0, True, no, 1, 9, 9, 0, no, no, "d", "r", "p"
    )
