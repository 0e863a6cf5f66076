"""The task that keeps this node's account entries and copies of others'."""

import dataclasses

from absl import logging

from comfreyusher.accounts import _carry, _copies, _ledger
from comfreyusher.accounts._messages import Begun, Ended, FlushAccounts
from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.messages import CopyAsked, CopyStored, PeerLost
from comfreyusher.platform import Appended, AppendFailed, ReadFailed, RecordsRead

CHANNEL = "accounts"
LOG = "accounts:"
COPY_PERIOD_S = 0.1
FLUSH_PERIOD_S = 1.0
CARRY_PERIOD_S = 5.0
APPENDS_PER_S = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSeen:
    """Live node ids, the node to copy to, and whether this node carries."""

    live: frozenset
    buddy: str
    carrier: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AccountsFlushed:
    """All ended entries are in the log."""


class AccountTask(Task):
    """Runs the account decisions."""

    def __init__(self, node, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.ledger = _ledger.new_ledger(node)
        self.copies = _copies.Copies(node)
        self.carrier = _carry.Carrier()
        self.carries = False
        self.live = frozenset((node,))
        self.closing = False
        self.flush_period_s = FLUSH_PERIOD_S
        self.routes = {
            Begun: self.begin,
            Ended: self.end,
            CopyAsked: self.store_copy,
            CopyStored: self.take_stored,
            PeerLost: self.lose_peer,
            Appended: self.take_appended,
            AppendFailed: self.take_append_failure,
            RecordsRead: self.take_page,
            ReadFailed: self.take_read_failure,
            FleetSeen: self.see_fleet,
            FlushAccounts: self.close,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.tell("timers", Subscribe(CHANNEL, "copy", COPY_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "flush", FLUSH_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "carry", CARRY_PERIOD_S))

    def begin(self, begun):
        """Number and copy an entry."""
        self._keep_ledger(_ledger.begin(self.ledger, begun, self.clock()))

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
        if stored.holder == self.ledger.buddy:
            step = _ledger.take_stored(self.ledger, stored, self.clock())
            self._keep_ledger(step)

    def lose_peer(self, lost):
        """Release answers that wait for a lost node."""
        if lost.node == self.ledger.buddy:
            self._keep_ledger(_ledger.give_up_copy(self.ledger, self.clock()))

    def see_fleet(self, seen):
        """Learn who lives, who gets copies and who carries."""
        self.live = seen.live
        self.carries = seen.carrier
        count = max(1, len(seen.live))
        self._set_flush_period(max(FLUSH_PERIOD_S, count / APPENDS_PER_S))
        step = _ledger.change_buddy(self.ledger, seen.buddy, self.clock())
        self._keep_ledger(step)

    def _set_flush_period(self, period_s):
        """Keep the appends of the whole fleet within the log's rate."""
        if period_s != self.flush_period_s:
            self.flush_period_s = period_s
            self.tell("timers", Subscribe(CHANNEL, "flush", period_s))

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
        elif isinstance(token, _carry.CarryToken):
            self._keep_carrier(_carry.take_carried(self.carrier, token))
        else:
            self._keep_ledger(_ledger.take_appended(self.ledger))
            self._tell_if_flushed()

    def take_append_failure(self, failure):
        """Keep what could not be appended."""
        token = failure.token
        if isinstance(token, _copies.AdoptToken):
            self._keep_copies(_copies.take_adopt_failure(self.copies, token))
        elif isinstance(token, _carry.CarryToken):
            self.carrier = _carry.give_up(self.carrier)
        else:
            self._keep_ledger(_ledger.take_append_failure(self.ledger))

    def take_page(self, read):
        """Carry records on."""
        self._keep_carrier(_carry.take_page(self.carrier, read.page))

    def take_read_failure(self, failure):
        """Read again at a later tick."""
        self.carrier = _carry.give_up(self.carrier)

    def _tell_if_flushed(self):
        if self.closing and not _ledger.pending_entries(self.ledger):
            if not self.ledger.batches:
                self.tell("node", AccountsFlushed())

    # Time ------------------------------------------------------------------------

    def on_tick(self, tick):
        """Time out copies, flush, adopt and carry."""
        if tick.name == "copy":
            self._keep_ledger(_ledger.time_out_copy(self.ledger, tick.now_s))
        elif tick.name == "flush":
            self._keep_ledger(_ledger.flush(self.ledger))
            self._keep_copies(_copies.adopt(self.copies, self.live, tick.now_s))
        elif self.carries:
            self._keep_carrier(_carry.read_on(self.carrier))

    def _keep_ledger(self, step):
        self.ledger = step.state
        self.tell_all(step.messages)

    def _keep_copies(self, step):
        self.copies = step.state
        self.tell_all(step.messages)

    def _keep_carrier(self, step):
        self.carrier = step.state
        self.tell_all(step.messages)
