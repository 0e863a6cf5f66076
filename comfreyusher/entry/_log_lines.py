"""Log lines of the entry task."""

from comfreyusher.events import log_info

PART = "entry"


def log_answered(state, request, finished):
    """Log the outcome of a request."""
    last = request.attempts[-1] if request.attempts else None
    took_ms = round((state.now_s - request.arrived_s) * 1000, 1)
    log_info(
        PART,
        "answered",
        request=request.request_id,
        number=request.exchange,
        outcome=finished.outcome.value,
        status=finished.status,
        reason=finished.reason,
        service=request.match.service if request.match else "",
        attempts=len(request.attempts),
        tried=request.tried_upstreams,
        upstream=last.upstream if last else "",
        owner=last.owner if last else "",
        version=state.table.version,
        sent_ms=_since_arrival_ms(request, last),
        took_ms=took_ms,
    )


def _since_arrival_ms(request, attempt):
    """Return the ms from the arrival until an attempt was sent, or ``None``."""
    if attempt is None or not attempt.sent_s:
        return None
    return round((attempt.sent_s - request.arrived_s) * 1000, 1)
