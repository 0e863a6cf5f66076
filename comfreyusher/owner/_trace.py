"""The trace span of an attempt at the owner, from its arrival to the grant."""

from comfreyusher.telemetry import SpanEnded, derive_context, parse_context


def owner_span(attempt):
    """Return the span of a granted attempt, or ``None`` if it is not traced."""
    entry = (
        parse_context(attempt.request.trace_parent)
        if attempt.request.trace_parent
        else None
    )
    if entry is None or not entry.sampled:
        return None
    return SpanEnded(
        "owner",
        derive_context(entry, "owner"),
        entry,
        attempt.queued_s,
        attempt.granted_s,
        (
            ("comfreyusher.group", attempt.request.group),
            ("comfreyusher.upstream", attempt.upstream),
            ("comfreyusher.risk", attempt.risk),
            ("comfreyusher.attempt", attempt.request.attempt),
        ),
    )
