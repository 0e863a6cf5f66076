"""Log lines on what the owner decides, written by the node task."""

from comfreyusher.events import log_warning

PART = "owner"


def log_ejected(ejected):
    """Log the ejection of an upstream."""
    log_warning(
        PART,
        "ejected",
        upstream=ejected.upstream,
        group=ejected.group,
        reason=ejected.reason,
    )


def log_quarantined(quarantined):
    """Log the quarantine of a request that crashed upstreams."""
    log_warning(
        PART,
        "quarantined",
        group=quarantined.group,
        fingerprint=quarantined.fingerprint,
        crashed=quarantined.crashed_upstreams,
    )
