"""The task that owns the connections between nodes.

One connection serves both directions. A connection that stays silent after a
ping is closed, and its users are told whether anything was sent on it.
"""

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
    Frames,
    decode_message,
    encode_message,
)
from comfreyusher.peering._handshake import (
    Challenge,
    Hello,
    Ping,
    is_proven,
    new_nonce,
    prove,
)
from comfreyusher.peering._messages import PeerAddresses

CHANNEL = "peers"
SWEEP_PERIOD_S = 0.25
PING_AFTER_S = 0.5
LOST_AFTER_S = 2.0
LATE_SWEEP_S = 0.75
IDLE_TIMEOUT_S = 60.0
CHANNEL_OF = {
    PeerDisconnected: "accounts",
    ReplicationRequest: "accounts",
    ReplicationAck: "accounts",
    SnapshotRequest: "feeds",
    SnapshotResponse: "feeds",
}


class PeerConnection:
    """State of one connection to another node."""

    def __init__(self, node, now):
        self.node = node
        self.frames = Frames()
        self.nonce = b""
        self.outgoing = bool(node)
        self.greeted = False
        self.waiting = []
        self.last_heard = now
        self.last_used = now
        self.pinged = 0.0


class PeerTask(StreamTask):
    """Routes messages to local tasks or over the connection of a node."""

    def __init__(self, node, keys, poller, **kwargs):
        super().__init__(CHANNEL, poller, **kwargs)
        self.node = node
        self.keys = keys
        self.places = {}
        self.states = {}
        self.by_node = {}
        self.sent_bytes = 0
        self.swept_s = self.clock()
        self.message_handlers = {
            ToNode: self.send_to,
            PeerAddresses: self.take_addresses,
            Tick: self.sweep,
        }

    def prepare(self):
        """Subscribe to the sweep."""
        self.send_message("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def take_addresses(self, addresses):
        """Learn where the live nodes listen."""
        self.places = addresses.streams

    # Sending -------------------------------------------------------------

    def send_to(self, addressed):
        """Send to one node; a message to this node stays in the process."""
        if addressed.node == self.node:
            self._deliver(addressed.body)
            return
        number = self._connection_to(addressed.node)
        if number is None:
            self._deliver(PeerDisconnected(addressed.node, sent=False))
            return
        self._send(number, addressed.body)

    def _connection_to(self, node):
        number = self.by_node.get(node)
        if number is not None:
            return number
        place = self.places.get(node)
        if place is None:
            return None
        number = self.open_connection(place[0], place[1])
        self.states[number] = PeerConnection(node, self.clock())
        self.by_node[node] = number
        return number

    def _send(self, number, body):
        state = self.states[number]
        frame = encode_message(body)
        self.sent_bytes += len(frame)
        state.last_used = self.clock()
        if state.greeted:
            self.write(number, frame)
        else:
            state.waiting.append(frame)

    def _deliver(self, body):
        self.send_message(CHANNEL_OF[type(body)], body)

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
        state.last_heard = self.clock()
        state.pinged = 0.0
        try:
            for frame in state.frames.feed(event.data):
                self._take(event.connection, state, decode_message(frame))
        except CodecError:
            self.abort(event.connection)

    def on_closed(self, event):
        state = self.states.pop(event.connection, None)
        if state is None:
            return
        if self.by_node.get(state.node) == event.connection:
            del self.by_node[state.node]
            self._deliver(PeerDisconnected(state.node, sent=state.greeted))

    # Receiving -----------------------------------------------------------

    def _take(self, number, state, body):
        if number not in self.states:
            return
        if isinstance(body, Challenge):
            self._answer_challenge(number, state, body)
        elif isinstance(body, Hello):
            self._check_hello(number, state, body)
        elif not state.greeted:
            self.abort(number)
        elif isinstance(body, Ping):
            if body.reply:
                self.write(number, encode_message(Ping(reply=False)))
        else:
            state.last_used = state.last_heard
            if type(body) in CHANNEL_OF:
                self._deliver(body)

    def _answer_challenge(self, number, state, challenge):
        if state.greeted or not state.outgoing:
            self.abort(number)
            return
        proof = prove(self.keys()[0], challenge.nonce, self.node)
        self.write(number, encode_message(Hello(self.node, proof)))
        self._greet(number, state)

    def _check_hello(self, number, state, hello):
        known = state.greeted or state.outgoing
        if known or not is_proven(self.keys(), state.nonce, hello):
            self.abort(number)
            return
        state.node = hello.node
        self.by_node.setdefault(hello.node, number)
        self._greet(number, state)

    def _greet(self, number, state):
        state.greeted = True
        state.frames.max_bytes = MAX_FRAME_BYTES
        for frame in state.waiting:
            self.write(number, frame)
        state.waiting.clear()

    # Liveness ------------------------------------------------------------

    def sweep(self, tick):
        """Ping connections in use, close silent and unused ones.

        A late sweep means that this process was frozen or busy. What looks
        like silence of others may then wait unread in the sockets.
        """
        late = tick.now_s - self.swept_s > LATE_SWEEP_S
        self.swept_s = tick.now_s
        if late:
            self._forgive_silence(tick.now_s)
            return
        for number, state in list(self.states.items()):
            self._check(number, state, tick.now_s)

    def _forgive_silence(self, now):
        for state in self.states.values():
            state.last_heard = now
            state.pinged = 0.0

    def _check(self, number, state, now):
        if not state.greeted:
            if now - state.last_heard > LOST_AFTER_S:
                self.abort(number)
            return
        unused_s = now - state.last_used
        if unused_s > IDLE_TIMEOUT_S:
            self.abort(number)
        elif state.pinged and now - state.pinged > LOST_AFTER_S:
            self.abort(number)
        elif not state.pinged and now - state.last_heard > PING_AFTER_S:
            if unused_s < PING_AFTER_S * 4:
                state.pinged = now
                self.write(number, encode_message(Ping(reply=True)))
