"""Counts the hedges of the groups of an owner, for one log line a second and group."""

import collections

from comfreyusher.events import log_info
from comfreyusher.messages import Denial, Grant, Verdict
from comfreyusher.telemetry import HedgeCounted

PART = "owner"
GRANTED = "granted"
WON = "won"
DENIED = "denied"


class HedgeCounts:
    """Counts hedges since the last report; ``send_message`` sends measurements on."""

    def __init__(self, send_message):
        self.send_message = send_message
        self.counts = collections.defaultdict(collections.Counter)

    def count_decision(self, before, request, messages):
        """Count whether a hedge was granted; it is decided at once.

        A repeated request is answered as before, and does not count again.
        """
        if not request.hedge or request.key in before.attempts:
            return
        for envelope in messages:
            body = getattr(envelope.body, "body", None)
            if type(body) is Grant and body.key == request.key:
                self._count(request.group, GRANTED)
            elif type(body) is Denial and body.key == request.key:
                self._count(request.group, DENIED, body.reason.value)

    def count_report(self, before, report):
        """Count a hedge whose response came before that of the first attempt."""
        attempt = before.attempts.get(report.key)
        if attempt is None or report.verdict is not Verdict.GOOD:
            return
        if attempt.request.hedge:
            self._count(report.group, WON)

    def _count(self, group, result, reason=""):
        self.counts[group][result, reason] += 1
        self.send_message("telemetry", HedgeCounted(group, result, reason))

    def log(self, groups):
        """Log what was counted for the groups with a share of hedges."""
        for name, counts in self.counts.items():
            group = groups.get(name)
            if group is None or group.plan.hedge_share is None:
                continue
            log_info(
                PART,
                "hedges",
                group=name,
                granted=counts[GRANTED, ""],
                won=counts[WON, ""],
                denied={r: n for (kind, r), n in counts.items() if kind == DENIED},
                allowed_now=int(group.hedge_tokens),
                share=group.plan.hedge_share,
                queued=len(group.queue),
            )
        self.counts.clear()
