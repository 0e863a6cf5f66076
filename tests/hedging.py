"""Simulation of hedges: an entry node sends a second attempt of slow requests."""

import dataclasses
import math

from comfreyusher.entry._hedges import HEDGE_RETRY_DELAY_S, hedge_delay_s
from comfreyusher.messages import (
    AttemptReport,
    GrantRequest,
    Verdict,
)
from tests.simulation import GROUP, Simulation

TICK_S = 0.05


class HedgingSimulation(Simulation):
    """A group whose entry node hedges as ``entry/_hedges.py`` does.

    ``tail_share`` of the attempts take ``tail_factor`` times as long. ``hedges`` holds
    times and requests of the granted hedges, ``denials`` times and reasons of the
    denied ones. ``busy_s`` is the time that attempts kept slots busy.
    """

    def __init__(
        self, *args, share=None, burst=10, tail_share=0.0, tail_factor=7.0, **kwargs
    ):
        self.share, self.burst = share, burst
        self.tail_share, self.tail_factor = tail_share, tail_factor
        self.live, self.hedge_keys = {}, set()
        self.hedges, self.denials, self.arrivals = [], [], []
        self.pauses, self.busy_s = {}, 0.0
        super().__init__(*args, **kwargs)

    def plan(self):
        """Return the plan of the group, with its share of hedges."""
        return dataclasses.replace(
            super().plan(), hedge_share=self.share, hedge_burst=self.burst
        )

    def attempt_result(self, name, behaviour, kind):
        """Lengthen some attempts, whichever upstream runs them."""
        verdict, took_s = super().attempt_result(name, behaviour, kind)
        if self.tail_share and self.random.random() < self.tail_share:
            took_s *= self.tail_factor
        return verdict, took_s

    def send(self, message):
        """Run a decision; denials of hedges end no request."""
        if isinstance(message, GrantRequest) and message.attempt == 1:
            self.arrivals.append((self.now, message.idempotent))
        super().send(message)

    def end_request(self, request, outcome):
        """End a request, unless another attempt of it is live."""
        if not self.live.get(request.number):
            super().end_request(request, outcome)

    def dispatch(self, grant):
        """Run an attempt, and check at the ticks of the entry node for a hedge."""
        request = self.pending.get(grant.key)
        if request is None:
            return
        self.live.setdefault(request.number, {})[grant.key] = (self.now, grant)
        if grant.key in self.hedge_keys:
            self.hedges.append((self.now, request))
        elif request.kind.idempotent and grant.typical_ms:
            self.check_at_next_tick(request, grant)
        super().dispatch(grant)

    def check_at_next_tick(self, request, grant):
        """Schedule the next check of an attempt for a hedge."""
        tick_s = (math.floor(self.now / TICK_S + 1e-6) + 1) * TICK_S
        self.at(tick_s, lambda: self.check_hedge(request, grant))

    def check_hedge(self, request, grant):
        """Request a hedge if the attempt is old enough, and has none."""
        live = self.live.get(request.number, {})
        if list(live) != [grant.key] or request.outcome:
            return
        self.check_at_next_tick(request, grant)
        typical_s, after_s = grant.typical_ms / 1000, grant.hedge_after_ms / 1000
        sent_s = live[grant.key][0]
        remaining_s = request.arrived_s + request.kind.deadline_s - self.now
        if request.sends + 1 >= request.kind.max_attempts or request.attempts >= 8:
            return
        if self.now - sent_s <= hedge_delay_s(typical_s, after_s):
            return
        if remaining_s >= typical_s / 2 and self.now >= self.paused_until_s(request):
            self.request_hedge(request, grant, remaining_s)

    def paused_until_s(self, request):
        """Return when the entry node may request a hedge again after a denial."""
        return self.pauses.get(request.number, 0.0)

    def request_hedge(self, request, first, remaining_s):
        """Request a second upstream that is free."""
        request.attempts += 1
        kind = request.kind
        message = GrantRequest(
            "n.1",
            request.number,
            request.attempts,
            GROUP,
            kind.name,
            kind.work_class,
            0,
            kind.idempotent,
            kind.large,
            kind.priority,
            int(remaining_s * 1000),
            max(0, int((request.arrived_s + kind.target_s - self.now) * 1000)),
            request.sends + 1,
            request.sends + 2 >= kind.max_attempts,
            True,
            "d",
            f"r{request.number}",
            f"f{request.number}",
            (*request.tried_upstreams, first.upstream),
            hedge=True,
        )
        self.hedge_keys.add(message.key)
        self.pending[message.key] = request
        self.send(message)

    def handle_denial(self, denial):
        """Record the denial of a hedge and the pause that it asks for."""
        if denial.key in self.hedge_keys:
            pause_s = max(HEDGE_RETRY_DELAY_S, denial.retry_after_ms / 1000)
            self.pauses[denial.key.number] = self.now + pause_s
            self.denials.append((self.now, denial.reason))
            self.pending.pop(denial.key)
        else:
            super().handle_denial(denial)

    def report(self, grant, request, verdict, took_s):
        """End an attempt; the first response cancels the other attempt."""
        live = self.live.get(request.number, {})
        if live.pop(grant.key, None) is None:
            return
        self.busy_s += took_s
        if verdict is Verdict.GOOD:
            for key, (sent_s, other) in list(live.items()):
                self.cancel(key, sent_s, other)
            live.clear()
        elif live:
            self.pending.pop(grant.key, None)
            request.sends += 1
            self.send_report(grant, verdict, took_s)
            return
        super().report(grant, request, verdict, took_s)

    def cancel(self, key, sent_s, grant):
        """Report an attempt that lost against another one."""
        self.pending.pop(key, None)
        self.busy_s += self.now - sent_s
        self.send_report(grant, Verdict.CANCELLED, self.now - sent_s)

    def send_report(self, grant, verdict, took_s):
        """Send the owner the report of an attempt."""
        took_ms = int(took_s * 1000)
        self.send(AttemptReport(grant.key, GROUP, grant.upstream, verdict, took_ms))

    # Results -----------------------------------------------------------------------

    def slowest_hundredth_s(self):
        """Return the time that the slowest hundredth of the requests exceeded."""
        took = sorted(r.ended_s - r.arrived_s for r in self.requests)
        return took[int(0.99 * len(took))]

    def hedge_share(self):
        """Return the granted hedges as a share of the requests."""
        return len(self.hedges) / len(self.requests)

    def most_hedges_beyond_share(self):
        """Return the largest number of hedges beyond the share in any span of time."""
        events = [(t, 1, -(self.share or 0.0)) for t, safe in self.arrivals if safe]
        events += [(t, 2, 1.0) for t, _ in self.hedges]
        most, current = 0.0, 0.0
        for _, _, change in sorted(events):
            current = max(0.0, current + change)
            most = max(most, current)
        return most
