"""The task that lends and spends the tokens of client accounts with a rate."""

import collections
import heapq

from comfreyusher.directory import FindNodes, NodesFound
from comfreyusher.events import log_info, log_warning
from comfreyusher.flow import Subscribe, Task, Tick, Unsubscribe, replace
from comfreyusher.messages import BucketHandover, TokenGrant, TokenRequest
from comfreyusher.quota._alone import is_cut_off
from comfreyusher.quota._holder import (
    advance_holder,
    apply_view,
    handle_handover,
    handle_token_request,
    refill_bucket,
)
from comfreyusher.quota._holder_state import HolderState, prune_holder
from comfreyusher.quota._messages import QuotaView, TokenReturned, TokenWanted
from comfreyusher.quota._state import TokensState
from comfreyusher.quota._tokens import (
    advance_tokens,
    handle_token_grant,
    prune_tokens,
    record_heard,
    return_token,
    want_token,
)
from comfreyusher.quota._view import FleetView, record_named, update_view
from comfreyusher.telemetry import BucketLevel, TokensMeasured

CHANNEL = "quota"
PART = "quota"
TICK_PERIOD_S = 0.05
REPORT_PERIOD_S = 1.0
HOTTEST_BUCKETS = 16
MAX_REFUSAL_LINES = 4
MAX_CACHED_RANKINGS = 4096


class QuotaTask(Task):
    """Holds the tokens of this node, and the buckets of the accounts that it holds.

    The task gets ticks only while a request, a lease or a handover is pending, and
    reports once a second while tokens are lent or spent.
    """

    def __init__(self, own, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.view = FleetView(own, self.clock())
        self.tokens = TokensState()
        self.holder = HolderState()
        self.counts = collections.Counter()
        self.refusals = collections.Counter()
        self.ticking = False
        self.reporting = False
        self.has_asked_names = False
        self.message_handlers = {
            QuotaView: self.handle_quota_view,
            NodesFound: self.handle_nodes_found,
            TokenWanted: self.handle_token_wanted,
            TokenReturned: self.handle_token_returned,
            TokenRequest: self.handle_token_request,
            TokenGrant: self.handle_token_grant,
            BucketHandover: self.handle_handover,
            Tick: self.handle_tick,
        }

    # This node ---------------------------------------------------------------------

    def handle_quota_view(self, quota_view):
        """Use other accounts, limits or members."""
        before = self.view
        view = update_view(before, quota_view, self.clock())
        step = apply_view(self.holder, before, view, self.clock())
        self._take_holder_step(step)
        if not self.has_asked_names:
            self.has_asked_names = True
            self.send_message("directory", FindNodes(CHANNEL))

    def handle_nodes_found(self, found):
        """Count the nodes in the store that were not seen since the start as lost."""
        step = apply_view(
            self.holder,
            self.view,
            record_named(self.view, found.names),
            self.clock(),
        )
        self._take_holder_step(step)

    def handle_token_wanted(self, wanted):
        """Decide on a request of this node, now or when the holder has answered."""
        step = want_token(
            self.tokens, self.view, wanted.exchange, wanted.account, self.clock()
        )
        self._take_tokens_step(step, wanted.account)

    def handle_token_returned(self, returned):
        """Return the token of a request that has not run."""
        self.tokens = return_token(self.tokens, returned.account)
        self.counts["returned"] += 1
        self._start_ticking()

    def handle_token_grant(self, grant):
        """Use the answer of a holder."""
        step = handle_token_grant(self.tokens, self.view, grant, self.clock())
        self._take_tokens_step(step, grant.account)

    def _take_tokens_step(self, step, account):
        self.tokens, self.view = step.state
        spent = step.item
        self.counts["alone"] += spent.alone
        if spent.refused:
            self.refusals[account] += spent.refused
        self._send_all(step.messages)
        self._start_ticking()

    def _send_all(self, envelopes):
        for envelope in envelopes:
            self.send_message(envelope.channel, envelope.body)

    # Other nodes ---------------------------------------------------------------------

    def handle_token_request(self, request):
        """Lend tokens to a node, or tell it when or whom to ask."""
        now = self.clock()
        self.tokens = record_heard(self.tokens, self.view, request.node, now)
        self._note_cut_off(now)
        step = handle_token_request(self.holder, self.view, request, now)
        self._take_holder_step(step)

    def handle_handover(self, handover):
        """Give a bucket to its next holder, or take one over."""
        now = self.clock()
        self.tokens = record_heard(self.tokens, self.view, handover.node, now)
        if not handover.wanted and handover.level >= 0:
            log_info(
                PART,
                "bucket taken over",
                account=handover.account,
                level=round(handover.level, 1),
                node=handover.node,
            )
        step = handle_handover(self.holder, self.view, handover, now)
        self._take_holder_step(step)

    def _take_holder_step(self, step):
        self.holder, self.view = step.state
        counted = step.item
        self.counts["lent"] += counted.lent
        self.counts["reserve"] += counted.reserve
        self.counts["denied"] += counted.refused
        self._send_all(step.messages)
        self._start_ticking()

    def _note_cut_off(self, now):
        cut_off = is_cut_off(self.tokens, self.view, now)
        if cut_off is self.holder.is_cut_off:
            return
        if cut_off:
            log_warning(PART, "cut off", silent=sorted(self.tokens.silent)[:4])
        self.holder = replace(self.holder, is_cut_off=cut_off)

    # Time ----------------------------------------------------------------------------

    def _start_ticking(self):
        if not self.ticking and (self.tokens.active or self.holder.pulls):
            self.ticking = True
            self.send_message("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))
        if not self.reporting and (self.tokens.accounts or self.holder.buckets):
            self.reporting = True
            self.send_message("timers", Subscribe(CHANNEL, "report", REPORT_PERIOD_S))

    def handle_tick(self, tick):
        """Repeat what was not answered, or report and drop what is not in use."""
        if tick.name == "report":
            self._report(tick.now_s)
            return
        self._note_cut_off(tick.now_s)
        step = advance_tokens(self.tokens, self.view, tick.now_s)
        self._take_tokens_step(step, "")
        step = advance_holder(self.holder, self.view, tick.now_s)
        self._take_holder_step(step)
        if not self.tokens.active and not self.holder.pulls:
            self.ticking = False
            self.send_message("timers", Unsubscribe(CHANNEL, "tick"))

    def _report(self, now):
        self._log_refusals()
        refused = sum(self.refusals.values())
        self.refusals.clear()
        counts = {"refused": refused, **self.counts}
        self.counts.clear()
        kept = tuple((kind, count) for kind, count in counts.items() if count)
        self.send_message("telemetry", TokensMeasured(kept, self._read_levels(now)))
        self.tokens = prune_tokens(self.tokens, now)
        self.holder = prune_holder(self.holder, now)
        if len(self.view.ownership.rankings) > MAX_CACHED_RANKINGS:
            self._drop_rankings()
        if not self.tokens.accounts and not self.holder.buckets:
            self.reporting = False
            self.send_message("timers", Unsubscribe(CHANNEL, "report"))

    def _log_refusals(self):
        """Log the accounts with the most refusals of the last second, one line each."""
        for account, count in self.refusals.most_common(MAX_REFUSAL_LINES):
            if not account:
                log_warning(PART, "no holder", refused=count)
                continue
            limits = self.view.accounts.get(account)
            rate = limits.rate_per_s if limits else None
            log_info(PART, "over rate", account=account, refused=count, rate_per_s=rate)

    def _read_levels(self, now):
        """Return the levels of the buckets that lent most."""
        hottest = heapq.nlargest(
            HOTTEST_BUCKETS,
            (item for item in self.holder.buckets.items() if item[1].is_first),
            key=lambda item: item[1].lent_per_s,
        )
        return tuple(
            BucketLevel(name, refill_bucket(self.holder, self.view, bucket, now).level)
            for name, bucket in hottest
        )

    def _drop_rankings(self):
        """Keep only the rankings of buckets that this node holds."""
        rankings = self.view.ownership.rankings
        for key in rankings:
            if key[0] not in self.holder.buckets:
                rankings = rankings.delete(key)
        ownership = replace(self.view.ownership, rankings=rankings)
        self.view = replace(self.view, ownership=ownership)
