"""The task that holds the visits of this node and runs their pipes."""

import dataclasses
import time

import immutables
import uuid6
from absl import logging

from comfreyusher.accounts import CopyConfirmed
from comfreyusher.entry._answer import Forget, Settled, refuse
from comfreyusher.entry._arrive import ARRIVAL, GRANTED, HANDED_OVER
from comfreyusher.entry._claims import expire_claims
from comfreyusher.entry._settle import (
    confirm_copy,
    lose_owner,
    settle_waiter,
    take_refusal,
    take_result,
    take_result_body,
)
from comfreyusher.entry._state import REOFFER_TOKENS_MAX, Visit
from comfreyusher.flow import Subscribe, Task, Tick, change
from comfreyusher.membership import Ownership
from comfreyusher.messages import (
    AnswerCredit,
    CallerGone,
    ClaimSettled,
    HandOver,
    HandOverBody,
    HandOverGone,
    OfferBody,
    OfferCredit,
    Outcome,
    PeerLost,
    PoisonHeard,
    Refusal,
    RequestBody,
    RequestCredit,
    RequestStart,
    Result,
    ResultBody,
    ResultCredit,
    ToNode,
    Withdraw,
)
from comfreyusher.routing import RoutingTable
from comfreyusher.telemetry import derive_context, parse_context, start_context

CHANNEL = "entry"
LOG = "entry:"
TICK_PERIOD_S = 0.1
FORGET_PERIOD_S = 5.0
GRACE_S = 0.5
REOFFERS_PER_REQUEST = 0.2
DEFAULT_WINDOW_MS = 600000
HANDED_FROM = 1 << 40


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What the node knows of configuration and fleet."""

    table: RoutingTable
    ready: bool
    draining: bool
    groups: immutables.Map
    live: frozenset
    ownership: Ownership


def goes_later(address):
    """Sort offers before the account entries that may follow them."""
    return address.channel != "peers"


class EntryTask(Task):
    """Keeps one frozen ``Visit`` a request, and their shared ``EntryState``."""

    def __init__(self, state, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.state = state
        self.wall_clock = wall_clock
        self.visits = {}
        self.by_work = {}
        self.by_origin = {}
        self.handed = HANDED_FROM
        self.routes = {
            RequestStart: self.arrive,
            RequestBody: self.take_body,
            CallerGone: self.lose_caller,
            AnswerCredit: self.pass_answer_credit,
            OfferCredit: self.pass_request_credit,
            Result: self.by_key(take_result, returns_credit=True),
            ResultBody: self.by_key(take_result_body, returns_credit=True),
            Refusal: self.by_key(take_refusal),
            PeerLost: self.lose_peer,
            HandOver: self.take_over,
            HandOverBody: self.take_handed_body,
            HandOverGone: self.lose_handed,
            ResultCredit: self.pass_handed_credit,
            ClaimSettled: self.take_claim,
            CopyConfirmed: self.by_exchange(confirm_copy),
            Settled: self.by_exchange(settle_waiter),
            PoisonHeard: self.quarantine,
            Situation: self.take_situation,
            Tick: self.on_tick,
        }

    def prepare(self):
        """Subscribe to the ticks."""
        self.tell("timers", Subscribe(CHANNEL, "tick", TICK_PERIOD_S))
        self.tell("timers", Subscribe(CHANNEL, "forget", FORGET_PERIOD_S))

    @property
    def busy(self):
        """Number of requests that have not ended."""
        return len(self.visits)

    # Running decisions -------------------------------------------------------

    def run(self, decision, visit, *message):
        """Run a decision on a visit, and keep what it returns."""
        now = self.clock()
        now_ms = int(self.wall_clock() * 1000)
        state = change(self.state, now_s=now, now_ms=now_ms)
        step = decision(state, visit, *message)
        self.state = step.state
        self._keep(visit, step.item)
        for address in sorted(step.messages, key=goes_later):
            if isinstance(address.body, Forget):
                self.forget(address.body)
            else:
                self.tell(address.channel, address.body)

    def _keep(self, before, after):
        self.visits[after.exchange] = after
        if after.work != before.work:
            self.by_work.pop(before.work, None)
            self.by_work[after.work] = after.exchange

    def by_key(self, decision, returns_credit=False):
        """Return a method that runs a decision for the visit of a work key.

        With ``returns_credit`` it pays for answer bytes whose caller is gone.
        """

        def run(body):
            visit = self.visits.get(self.by_work.get(body.key))
            if visit is None:
                return
            if returns_credit and visit.caller_gone and body.body:
                credit = ResultCredit(visit.work, len(body.body))
                self._tell_owner(visit, credit)
            self.run(decision, visit, body)

        return run

    def by_exchange(self, decision):
        """Return a method that runs a decision for the visit of an exchange."""

        def run(body):
            visit = self.visits.get(body.exchange)
            if visit is not None:
                self.run(decision, visit, body)

        return run

    def forget(self, ended):
        """Drop a visit that has ended."""
        visit = self.visits.pop(ended.exchange, None)
        if visit is not None:
            self.by_work.pop(visit.work, None)
            self.by_origin.pop(visit.origin, None)

    # Callers -----------------------------------------------------------------

    def arrive(self, request):
        """Run the arrival pipe for a request."""
        visit = self._new_visit(request.exchange, request)
        self.visits[visit.exchange] = visit
        tokens = self.state.reoffer_tokens + REOFFERS_PER_REQUEST
        tokens = min(tokens, REOFFER_TOKENS_MAX)
        self.state = change(self.state, reoffer_tokens=tokens)
        self.run(ARRIVAL, visit)

    def _new_visit(self, exchange, request, origin=None):
        before = None
        for name, value in request.head.headers:
            if name.lower() == b"traceparent":
                before = parse_context(value.decode("latin-1"))
        if before is None:
            context = start_context(self.state.sampling_ratio)
        else:
            context = derive_context(before, f"{self.state.node}/{exchange}")
        return Visit(
            exchange,
            request,
            uuid6.uuid7().hex,
            context,
            self.clock(),
            int(self.wall_clock() * 1000),
            before,
            origin,
            body_ended=request.ended,
        )

    def take_body(self, more):
        """Pass request bytes on, or hold them until the offer."""
        visit = self.visits.get(more.exchange)
        if visit is None:
            return
        if visit.work is None:
            visit = change(visit, held=visit.held + (more.body,), body_ended=more.ended)
            self.visits[visit.exchange] = visit
            return
        moved = change(visit, body_moved=True, body_ended=more.ended)
        self.visits[visit.exchange] = moved
        body = HandOverBody if not visit.group else OfferBody
        self._tell_owner(visit, body(visit.work, more.body, more.ended))

    def lose_caller(self, gone):
        """Withdraw a request that nobody waits for, unless it must go on."""
        visit = self.visits.get(gone.exchange)
        if visit is None:
            return
        if visit.work is None or (visit.claim and visit.body_ended):
            gone_visit = change(visit, caller_gone=True)
            self.visits[visit.exchange] = gone_visit
            return
        if not visit.group:
            self._tell_owner(visit, HandOverGone(visit.work))
        else:
            self._tell_owner(visit, Withdraw(visit.work))

    def _tell_owner(self, visit, body):
        self.tell("peers", ToNode(visit.owner, body))

    # Credits -------------------------------------------------------------------

    def pass_answer_credit(self, credit):
        """Tell the owner that the caller took answer bytes."""
        visit = self.visits.get(credit.exchange)
        if visit is not None and visit.work is not None:
            self._tell_owner(visit, ResultCredit(visit.work, credit.size_bytes))

    def pass_request_credit(self, credit):
        """Tell the caller's socket that the upstream took request bytes."""
        visit = self.visits.get(self.by_work.get(credit.key))
        if visit is None:
            return
        if visit.origin is not None:
            back = OfferCredit(visit.origin, credit.size_bytes)
            self.tell("peers", ToNode(visit.origin.node, back))
        else:
            back = RequestCredit(visit.exchange, credit.size_bytes)
            self.tell("callers", back)

    def pass_handed_credit(self, credit):
        """Pass on the credit of the node that handed a request over."""
        visit = self.visits.get(self.by_origin.get(credit.key))
        if visit is not None and visit.work is not None:
            self._tell_owner(visit, ResultCredit(visit.work, credit.size_bytes))

    # Peers -----------------------------------------------------------------------

    def lose_peer(self, lost):
        """Settle every visit that the lost node had."""
        for visit in list(self.visits.values()):
            if visit.work is not None and visit.owner == lost.node:
                self.run(lose_owner, visit, lost)

    def take_over(self, handed):
        """Run a request that another node took, whose key this node holds."""
        self.handed += 1
        head = handed.head
        request = RequestStart(self.handed, "", head, handed.body, handed.ended)
        visit = self._new_visit(self.handed, request, handed.key)
        visit = change(visit, customer=handed.customer)
        self.visits[visit.exchange] = visit
        self.by_origin[handed.key] = visit.exchange
        self.run(HANDED_OVER, visit)

    def take_handed_body(self, more):
        """Pass on bytes of a request that was handed over."""
        exchange = self.by_origin.get(more.key)
        if exchange is not None:
            self.take_body(RequestBody(exchange, more.body, more.ended))

    def lose_handed(self, gone):
        """Handle the loss of a caller on the node that handed over."""
        exchange = self.by_origin.get(gone.key)
        if exchange is not None:
            self.lose_caller(CallerGone(exchange))

    def take_claim(self, settled):
        """Go on with a request whose key the log has settled."""
        visit = self.visits.get(settled.exchange)
        if visit is None:
            return
        if not settled.holder:
            reason = "the log did not settle the key; use a key of the fleet"
            self.run(refuse, visit, Outcome.NOT_RUN, 503, reason, 1000)
            return
        holder = change(visit, owner=settled.holder)
        self.run(GRANTED, holder)

    def quarantine(self, heard):
        """Refuse a request that crashed upstreams from now on."""
        until_s = self.clock() + heard.period_ms / 1000
        quarantine = self.state.quarantine.set(heard.fingerprint, until_s)
        self.state = change(self.state, quarantine=quarantine)
        logging.warning("%s quarantined fingerprint=%s", LOG, heard.fingerprint)

    # Node ----------------------------------------------------------------------------

    def take_situation(self, situation):
        """Take a new configuration or view of the fleet."""
        self.state = change(
            self.state,
            table=situation.table,
            ready=situation.ready,
            draining=situation.draining,
            groups=situation.groups,
            live=situation.live,
            ownership=situation.ownership,
        )

    def on_tick(self, tick):
        """End overdue visits; forget old claims and quarantines."""
        if tick.name == "forget":
            self._forget_old(tick.now_s)
            return
        for visit in list(self.visits.values()):
            overdue_s = tick.now_s - visit.deadline_s
            if visit.deadline_s and not visit.started and overdue_s > GRACE_S:
                self._end_overdue(visit)

    def _end_overdue(self, visit):
        """Answer for an owner that stays silent past the deadline."""
        if visit.work is not None and visit.group:
            self._tell_owner(visit, Withdraw(visit.work))
        ran = visit.work is not None or self._waits_for_claim(visit)
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        reason = "no answer came before the deadline"
        self.run(refuse, visit, outcome, 504, reason)

    def _waits_for_claim(self, visit):
        return any(visit.exchange in c.waiters for c in self.state.claims.values())

    def _forget_old(self, now):
        windows = [p.key_window_ms for p in self.state.table.profiles.values()]
        window_ms = max(windows, default=DEFAULT_WINDOW_MS)
        now_ms = int(self.wall_clock() * 1000)
        claims = expire_claims(self.state.claims, now_ms, window_ms)
        quarantine = self.state.quarantine
        for fingerprint, until_s in quarantine.items():
            if until_s < now:
                quarantine = quarantine.delete(fingerprint)
        self.state = change(self.state, claims=claims, quarantine=quarantine)
