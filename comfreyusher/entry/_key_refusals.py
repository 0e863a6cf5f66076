"""Counts requests that were rejected for want of a known key.

One line and one measurement a second stand for all of them, so that a flood of
unknown keys neither fills the log nor hides other lines.
"""

import collections

from comfreyusher.entry._state import KeyFault
from comfreyusher.events import log_info
from comfreyusher.telemetry import KeysRefused

PART = "entry"
REPORT_PERIOD_S = 1.0


class KeyRefusals:
    """Counts the refusals since the last report; ``send_message`` sends that on."""

    def __init__(self, send_message):
        self.send_message = send_message
        self.counts = collections.Counter()
        self.last_caller = ""
        self.reported_s = float("-inf")

    def __bool__(self):
        return bool(self.counts)

    def count(self, request, now):
        """Count a rejected request; report it if the last report is old enough."""
        self.counts[request.key_fault] += 1
        self.last_caller = request.start.host
        self.report_if_due(now)

    def report_if_due(self, now):
        """Report what was counted, at most once a second."""
        if not self.counts or now - self.reported_s < REPORT_PERIOD_S:
            return
        refused = KeysRefused(
            self.counts[KeyFault.MISSING],
            self.counts[KeyFault.UNKNOWN],
            self.counts[KeyFault.UNDECIDED],
        )
        log_info(
            PART,
            "keys refused",
            missing=refused.missing,
            unknown=refused.unknown,
            undecided=refused.undecided,
            last_caller=self.last_caller,
        )
        self.send_message("telemetry", refused)
        self.counts.clear()
        self.reported_s = now
