"""Reports of attempts, sent until their owners acknowledge them."""

from comfreyusher.entry._state import PendingReport
from comfreyusher.events import log_info
from comfreyusher.messages import ToNode

PART = "entry"
RESEND_TIMEOUT_S = 0.15
MAX_SENDS = 6
MAX_SENDS_DRAINING = 3


class ReportSender:
    """The reports that are not acknowledged yet, by the key of their attempt.

    ``send_message`` takes a channel and a message. Times are running seconds.
    """

    def __init__(self, send_message):
        self.send_message = send_message
        self.pending = {}

    def __len__(self):
        return len(self.pending)

    def send(self, owner, report, running_s):
        """Send a report for the first time."""
        self.pending[report.key] = PendingReport(owner, report, running_s)
        self.send_message("datagrams", ToNode(owner, report))

    def acknowledge(self, key):
        """Stop resending a report; return its owner, or ``None`` if it is unknown."""
        pending = self.pending.pop(key, None)
        return pending.owner if pending is not None else None

    def resend(self, running_s, draining):
        """Send the reports that are due again, and give up those sent too often."""
        max_sends = MAX_SENDS_DRAINING if draining else MAX_SENDS
        for key, pending in list(self.pending.items()):
            wait_s = RESEND_TIMEOUT_S * 2 ** (pending.send_count - 1)
            if running_s - pending.last_sent_s < wait_s:
                continue
            if pending.send_count >= max_sends:
                del self.pending[key]
                log_info(PART, "report unheard", owner=pending.owner, number=key.number)
                continue
            pending.send_count += 1
            pending.last_sent_s = running_s
            self.send_message("datagrams", ToNode(pending.owner, pending.report))
