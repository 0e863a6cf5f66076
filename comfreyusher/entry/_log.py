"""The log lines of finished requests and of failed attempts."""

from comfreyusher.events import log_info

PART = "entry"


def log_answered(state, request, finished):
    """Log the outcome of a request, with its account if it has one."""
    last = request.attempts[-1] if request.attempts else None
    account = request.client_account
    log_info(
        PART,
        "answered",
        request=request.request_id,
        number=request.exchange,
        outcome=finished.outcome.value,
        status=finished.status,
        reason=finished.reason,
        service=request.match.service if request.match else "",
        **({"account": account.name} if account is not None else {}),
        attempts=len(request.attempts),
        tried=request.tried_upstreams,
        upstream=last.upstream if last else "",
        owner=last.owner if last else "",
        version=state.table.version,
        sent_ms=_since_arrival_ms(request, last),
        took_ms=round((state.now_s - request.arrived_s) * 1000, 1),
    )


def log_failure(request, report):
    """Log a failed attempt; its request may have ended."""
    log_info(
        PART,
        "attempt failed",
        request=request.request_id if request else "",
        number=report.key.number,
        attempt=report.key.attempt,
        upstream=report.upstream,
        verdict=report.verdict.value,
        took_ms=report.took_ms,
    )


def _since_arrival_ms(request, attempt):
    """Return the ms from the arrival until an attempt was sent, or ``None``."""
    if attempt is None or not attempt.sent_s:
        return None
    return round((attempt.sent_s - request.arrived_s) * 1000, 1)
