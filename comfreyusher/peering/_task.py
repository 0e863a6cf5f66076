"""The task that owns the connections between nodes.

One connection serves both directions. A connection that stays silent after a
ping is closed, and its users are told whether anything was sent on it.
"""

import collections
import dataclasses

import xxhash

from comfreyusher.flow import StreamTask, Subscribe, Tick
from comfreyusher.messages import (
    CopyAsked,
    CopyStored,
    HandOver,
    HandOverBody,
    HandOverGone,
    Offer,
    OfferBody,
    OfferCredit,
    OffsetAsked,
    OffsetHeard,
    OpinionAsked,
    OpinionGiven,
    OpinionWanted,
    PeerLost,
    PoisonHeard,
    RecordsAsked,
    RecordsGiven,
    Refusal,
    Result,
    ResultBody,
    ResultCredit,
    ToNode,
    ToOthers,
    Withdraw,
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

CHANNEL = "peers"
SWEEP_PERIOD_S = 0.2
PING_AFTER_S = 0.5
LOST_AFTER_S = 2.0
LOST_AFTER_PER_WORK_S = 0.005
LATE_SWEEP_S = 0.75
IDLE_TIMEOUT_S = 60.0
STARTS = (Offer, HandOver)
ENDS = (Refusal, Result, ResultBody)
CHANNEL_OF = {
    Offer: ("owner",),
    OfferBody: ("owner",),
    Withdraw: ("owner",),
    ResultCredit: ("owner", "entry"),
    OpinionAsked: ("opinions",),
    OpinionGiven: ("owner",),
    OfferCredit: ("entry",),
    Refusal: ("entry",),
    Result: ("entry",),
    ResultBody: ("entry",),
    HandOver: ("entry",),
    HandOverBody: ("entry",),
    HandOverGone: ("entry",),
    PoisonHeard: ("entry",),
    PeerLost: ("entry", "owner", "accounts"),
    OffsetAsked: ("configuration",),
    OffsetHeard: ("configuration",),
    RecordsAsked: ("configuration",),
    RecordsGiven: ("configuration",),
    CopyAsked: ("accounts",),
    CopyStored: ("accounts",),
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where each live node listens: node id to ``(host, port)``."""

    places: object


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
    """Routes messages to local tasks or over the connection of a node.

    ``outstanding`` holds the keys of work that a node has; its replies may come
    on another connection than the offer went out on. A ping waits behind the
    offers before it, so a node with much work gets more time to answer.
    """

    def __init__(self, node, keys, poller, **kwargs):
        super().__init__(CHANNEL, poller, **kwargs)
        self.node = node
        self.keys = keys
        self.places = {}
        self.states = {}
        self.by_node = {}
        self.sent_bytes = 0
        self.swept_s = self.clock()
        self.outstanding = collections.defaultdict(set)
        self.routes = {
            ToNode: self.send_to,
            ToOthers: self.send_to_others,
            OpinionWanted: self.ask_opinion,
            PeerAddresses: self.take_addresses,
            Tick: self.sweep,
        }

    def prepare(self):
        """Subscribe to the sweep."""
        self.tell("timers", Subscribe(CHANNEL, "sweep", SWEEP_PERIOD_S))

    def take_addresses(self, addresses):
        """Learn where the live nodes listen."""
        self.places = addresses.places

    # Sending -------------------------------------------------------------

    def send_to(self, addressed):
        """Send to one node; a message to this node stays in the process."""
        if addressed.node == self.node:
            self._deliver(addressed.body)
            return
        number = self._connection_to(addressed.node)
        if number is None:
            self._deliver(PeerLost(addressed.node, sent=False))
            return
        self._send(number, addressed.body)

    def send_to_others(self, addressed):
        """Send to every live node, this one included."""
        self._deliver(addressed.body)
        for node in list(self.places):
            if node != self.node:
                self.send_to(ToNode(node, addressed.body))

    def ask_opinion(self, wanted):
        """Ask one other node whether it reaches an upstream."""
        others = sorted(node for node in self.places if node != self.node)
        asked = OpinionAsked(self.node, wanted.upstream, wanted.host, wanted.port)
        if others:
            index = xxhash.xxh64_intdigest(wanted.upstream.encode()) % len(others)
            self.send_to(ToNode(others[index], asked))

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
        if isinstance(body, STARTS):
            self.outstanding[state.node].add(body.key)
        frame = encode_message(body)
        self.sent_bytes += len(frame)
        state.last_used = self.clock()
        if state.greeted:
            self.write(number, frame)
        else:
            state.waiting.append(frame)

    def _deliver(self, body):
        for channel in CHANNEL_OF[type(body)]:
            self.tell(channel, body)

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
            self.outstanding.pop(state.node, None)
            self._deliver(PeerLost(state.node, sent=state.greeted))

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
            if isinstance(body, ENDS) and getattr(body, "ended", True):
                self.outstanding[state.node].discard(body.key)
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
        waits = len(self.outstanding.get(state.node, ()))
        limit_s = LOST_AFTER_S + waits * LOST_AFTER_PER_WORK_S
        idle = not waits and now - state.last_used > IDLE_TIMEOUT_S
        if idle:
            self.abort(number)
        elif state.pinged and now - state.pinged > limit_s:
            self.abort(number)
        elif not state.pinged and now - state.last_heard > PING_AFTER_S:
            if waits or now - state.last_used < PING_AFTER_S * 4:
                state.pinged = now
                self.write(number, encode_message(Ping(reply=True)))
