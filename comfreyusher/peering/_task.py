"""The task that owns the connections between nodes.

A connection is used in both directions, the newest one if there are several. It is
closed when the peer stays silent after a ping, and when it is unused, since an unused
connection may have gone silent unnoticed. Whenever the connection in use to a node
closes, ``PeerDisconnected`` tells the accounts task whether messages on it may have
reached that node.
"""

from comfreyusher.events import log_info
from comfreyusher.flow import StreamTask, Subscribe, Tick
from comfreyusher.messages import (
    PeerDisconnected,
    ReplicationAck,
    ReplicationRequest,
    SnapshotRequest,
    SnapshotResponse,
    ToNode,
)
from comfreyusher.peering._codec import (
    MAX_FRAME_BYTES,
    CodecError,
    FrameDecoder,
    decode_message,
    encode_message,
)
from comfreyusher.peering._handshake import (
    Challenge,
    Hello,
    Ping,
    compute_proof,
    new_nonce,
    verify_proof,
)
from comfreyusher.peering._messages import PeerAddresses

CHANNEL = "peers"
SWEEP_PERIOD_S = 0.25
PING_AFTER_S = 0.5
SILENCE_TIMEOUT_S = 2.0
LATE_SWEEP_S = 0.75
# Room for two messages of the largest size.
MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES
# An unused connection may go silent unnoticed.
IDLE_TIMEOUT_S = 2.0
CHANNEL_BY_CLASS = {
    PeerDisconnected: "accounts",
    ReplicationRequest: "accounts",
    ReplicationAck: "accounts",
    SnapshotRequest: "feeds",
    SnapshotResponse: "feeds",
}


class PeerConnection:
    """State of one connection to another node.

    ``nonce`` is that of this node's challenge on an incoming connection.
    ``unsent_frames`` wait for the end of the handshake, ``unsent_frame_bytes`` long.
    ``last_used_s`` is the time
    of the last message other than a ping. ``ping_sent_s`` is the time of an
    unanswered ping, or 0.
    """

    def __init__(self, node, now):
        self.node = node
        self.decoder = FrameDecoder()
        self.nonce = b""
        self.outgoing = bool(node)
        self.handshake_done = False
        self.unsent_frames = []
        self.unsent_frame_bytes = 0
        self.last_received_s = now
        self.last_used_s = now
        self.ping_sent_s = 0.0


class PeerTask(StreamTask):
    """Sends messages over the connection to a node, and received ones to tasks.

    ``keys`` is a function that returns the shared keys: the first one proves this
    node, each of them verifies others. ``states`` maps numbers of connections to
    ``PeerConnection``, ``number_by_node`` node ids to the connections in use.
    """

    def __init__(self, node, keys, poller, **kwargs):
        super().__init__(CHANNEL, poller, **kwargs)
        self.node = node
        self.keys = keys
        self.addresses = {}
        self.states = {}
        self.number_by_node = {}
        self.sent_bytes = 0
        self.last_sweep_s = self.clock()
        self.message_handlers = {
            ToNode: self.handle_to_node,
            PeerAddresses: self.handle_addresses,
            Tick: self.handle_tick,
        }

    def prepare(self):
        """Subscribe to the sweep."""
        self.send_message("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def handle_addresses(self, addresses):
        """Replace the addresses at which live nodes accept connections."""
        self.addresses = addresses.streams

    # Sending -------------------------------------------------------------

    def handle_to_node(self, message):
        """Send a message to a node, or to the local task if it is this node."""
        if message.node == self.node:
            self._deliver(message.body)
            return
        number = self._connection_to(message.node)
        if number is None:
            self._deliver(PeerDisconnected(message.node, sent=False))
            return
        self._send(number, message.body)

    def _connection_to(self, node):
        number = self.number_by_node.get(node)
        if number is not None:
            return number
        address = self.addresses.get(node)
        if address is None:
            return None
        number = self.open_connection(address[0], address[1])
        self.states[number] = PeerConnection(node, self.clock())
        self.number_by_node[node] = number
        return number

    def _send(self, number, body):
        state = self.states[number]
        frame = encode_message(body)
        self.sent_bytes += len(frame)
        state.last_used_s = self.clock()
        if state.handshake_done:
            self._write_bounded(number, frame)
            return
        state.unsent_frames.append(frame)
        state.unsent_frame_bytes += len(frame)
        if state.unsent_frame_bytes > MAX_UNSENT_BYTES:
            self._abort_unread(number)

    def _write_bounded(self, number, frame):
        """Write a frame, unless too much waits for a node that does not read."""
        if self.unsent_bytes(number) + len(frame) > MAX_UNSENT_BYTES:
            self._abort_unread(number)
        else:
            self.write(number, frame)

    def _abort_unread(self, number):
        log_info(CHANNEL, "connection not read", node=self.states[number].node)
        self.abort(number)

    def _deliver(self, body):
        self.send_message(CHANNEL_BY_CLASS[type(body)], body)

    # Socket hooks --------------------------------------------------------

    def on_accepted(self, event):
        state = PeerConnection("", self.clock())
        state.nonce = new_nonce()
        self.states[event.connection] = state
        self.write(event.connection, encode_message(Challenge(state.nonce)))

    def on_received(self, event):
        state = self.states.get(event.connection)
        if state is None:
            return
        if not event.data:
            self.abort(event.connection)
            return
        state.last_received_s = self.clock()
        state.ping_sent_s = 0.0
        try:
            for frame in state.decoder.feed(event.data):
                self._handle_message(event.connection, state, decode_message(frame))
        except CodecError:
            self.abort(event.connection)

    def on_closed(self, event):
        state = self.states.pop(event.connection, None)
        if state is None:
            return
        if self.number_by_node.get(state.node) == event.connection:
            del self.number_by_node[state.node]
            self._deliver(PeerDisconnected(state.node, sent=state.handshake_done))

    # Receiving -----------------------------------------------------------

    def _handle_message(self, number, state, body):
        if number not in self.states:
            return
        if isinstance(body, Challenge):
            self._handle_challenge(number, state, body)
        elif isinstance(body, Hello):
            self._handle_hello(number, state, body)
        elif not state.handshake_done:
            self.abort(number)
        elif isinstance(body, Ping):
            if body.reply_requested:
                self._write_bounded(number, encode_message(Ping(reply_requested=False)))
        else:
            state.last_used_s = state.last_received_s
            if type(body) in CHANNEL_BY_CLASS:
                self._deliver(body)

    def _handle_challenge(self, number, state, challenge):
        if state.handshake_done or not state.outgoing:
            self.abort(number)
            return
        proof = compute_proof(self.keys()[0], challenge.nonce, self.node)
        self.write(number, encode_message(Hello(self.node, proof)))
        self._finish_handshake(number, state)

    def _handle_hello(self, number, state, hello):
        unexpected = state.handshake_done or state.outgoing
        if unexpected or not verify_proof(self.keys(), state.nonce, hello):
            self.abort(number)
            return
        state.node = hello.node
        self.number_by_node[hello.node] = number
        self._finish_handshake(number, state)

    def _finish_handshake(self, number, state):
        state.handshake_done = True
        state.decoder.max_bytes = MAX_FRAME_BYTES
        for frame in state.unsent_frames:
            self.write(number, frame)
        state.unsent_frames.clear()

    # Liveness ------------------------------------------------------------

    def handle_tick(self, tick):
        """Ping silent connections, and close unresponsive and idle ones.

        A late sweep means that this process was paused or busy. Bytes of other
        nodes may then wait unread in the sockets, so all timeouts start anew.
        """
        late = tick.now_s - self.last_sweep_s > LATE_SWEEP_S
        self.last_sweep_s = tick.now_s
        if late:
            self._restart_timeouts(tick.now_s)
            return
        for number, state in list(self.states.items()):
            self._check_liveness(number, state, tick.now_s)

    def _restart_timeouts(self, now):
        for state in self.states.values():
            state.last_received_s = now
            state.ping_sent_s = 0.0

    def _check_liveness(self, number, state, now):
        if not state.handshake_done:
            if now - state.last_received_s > SILENCE_TIMEOUT_S:
                self.abort(number)
            return
        unused_s = now - state.last_used_s
        if unused_s > IDLE_TIMEOUT_S:
            self.abort(number)
        elif state.ping_sent_s and now - state.ping_sent_s > SILENCE_TIMEOUT_S:
            log_info(CHANNEL, "connection silent", node=state.node)
            self.abort(number)
        elif not state.ping_sent_s and now - state.last_received_s > PING_AFTER_S:
            state.ping_sent_s = now
            self.write(number, encode_message(Ping(reply_requested=True)))
