"""The task that keeps this node's account entries and copies of others'."""

import dataclasses

from absl import logging

from comfreyusher.accounts import _copies, _ledger
from comfreyusher.accounts._messages import Begun, Ended, FlushAccounts
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe
from comfreyusher.messages import PeerDisconnected, ReplicationAck, ReplicationRequest
from comfreyusher.platform import Appended, AppendFailed

CHANNEL = "accounts"
LOG = "accounts:"
COPY_PERIOD_S = 0.1
FLUSH_PERIOD_S = 2.0
APPENDS_PER_S = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSeen:
    """Live node ids, and the node to copy to."""

    live: frozenset
    buddy: str


@dataclasses.dataclass(frozen=True, slots=True)
class AccountsFlushed:
    """All ended entries are in the log."""


class AccountTask(Task):
    """Runs the account decisions."""

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.ledger = _ledger.new_ledger(node)
        self.copies = _copies.Copies(node)
        self.live = frozenset((node,))
        self.closing = False
        self.watching = False
        self.flush_period_s = FLUSH_PERIOD_S
        self.message_handlers = {
            Begun: self.begin,
            Ended: self.end,
            ReplicationRequest: self.store_copy,
            ReplicationAck: self.take_stored,
            PeerDisconnected: self.lose_peer,
            Appended: self.take_appended,
            AppendFailed: self.take_append_failure,
            FleetSeen: self.see_fleet,
            FlushAccounts: self.close,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.send_message("timers", Subscribe(CHANNEL, "flush", FLUSH_PERIOD_S))

    def begin(self, begun):
        """Number and copy an entry."""
        self._keep_ledger(_ledger.begin(self.ledger, begun, self.clock()))
        self._watch_copies()

    def _watch_copies(self):
        """Tick for the timeout of a copy only while one is under way."""
        if self.ledger.copying and not self.watching:
            self.send_message("timers", Subscribe(CHANNEL, "copy", COPY_PERIOD_S))
        elif self.watching and not self.ledger.copying:
            self.send_message("timers", Unsubscribe(CHANNEL, "copy"))
        self.watching = bool(self.ledger.copying)

    def end(self, ended):
        """Keep an outcome."""
        self._keep_ledger(_ledger.end(self.ledger, ended, self.clock()))
        if self.closing:
            self._keep_ledger(_ledger.flush(self.ledger))

    def store_copy(self, asked):
        """Keep another node's entries."""
        self._keep_copies(_copies.store(self.copies, asked))

    def take_stored(self, stored):
        """Release answers."""
        if stored.replica == self.ledger.buddy:
            step = _ledger.take_stored(self.ledger, stored, self.clock())
            self._keep_ledger(step)

    def lose_peer(self, lost):
        """Release answers that wait for a lost node."""
        if lost.node == self.ledger.buddy:
            self._keep_ledger(_ledger.give_up_copy(self.ledger, self.clock()))

    def see_fleet(self, seen):
        """Learn who lives and who gets copies."""
        self.live = seen.live
        count = max(1, len(seen.live))
        self._set_flush_period(max(FLUSH_PERIOD_S, count / APPENDS_PER_S))
        step = _ledger.change_buddy(self.ledger, seen.buddy, self.clock())
        self._keep_ledger(step)

    def _set_flush_period(self, period_s):
        """Keep the appends of the whole fleet within the log's rate."""
        if period_s != self.flush_period_s:
            self.flush_period_s = period_s
            self.send_message("timers", Subscribe(CHANNEL, "flush", period_s))

    def close(self, _):
        """Append everything, with the last number of this origin."""
        self.closing = True
        self._keep_ledger(_ledger.close(self.ledger))
        self._tell_if_flushed()

    # Log -----------------------------------------------------------------------

    def take_appended(self, appended):
        """Route the answer by its token."""
        token = appended.token
        if isinstance(token, _copies.AdoptToken):
            logging.info("%s appended for a lost node origin=%s", LOG, token.origin)
            self._keep_copies(_copies.take_adopted(self.copies, token))
        else:
            self._keep_ledger(_ledger.take_appended(self.ledger))
            self._tell_if_flushed()

    def take_append_failure(self, failure):
        """Keep what could not be appended."""
        token = failure.token
        if isinstance(token, _copies.AdoptToken):
            self._keep_copies(_copies.take_adopt_failure(self.copies, token))
        else:
            self._keep_ledger(_ledger.take_append_failure(self.ledger))

    def _tell_if_flushed(self):
        if self.closing and not _ledger.pending_entries(self.ledger):
            if not self.ledger.batches:
                self.send_message("node", AccountsFlushed())

    # Time ------------------------------------------------------------------------

    def on_tick(self, tick):
        """Time out copies, flush and adopt."""
        if tick.name == "copy":
            self._keep_ledger(_ledger.time_out_copy(self.ledger, tick.now_s))
            self._watch_copies()
        else:
            self._keep_ledger(_ledger.flush(self.ledger))
            self._keep_copies(_copies.adopt(self.copies, self.live, tick.now_s))

    def _keep_ledger(self, step):
        self.ledger = step.state
        self.send_messages(step.messages)

    def _keep_copies(self, step):
        self.copies = step.state
        self.send_messages(step.messages)
