"""The trace span of an attempt at the owner, from its arrival to the grant."""

from comfreyusher.telemetry import SpanEnded, derive_context, parse_context


def owner_span(attempt):
    """Return the span of a granted attempt, or ``None`` if it is not traced."""
    entry_context = (
        parse_context(attempt.request.trace_parent)
        if attempt.request.trace_parent
        else None
    )
    if entry_context is None or not entry_context.sampled:
        return None
    return SpanEnded(
        "owner",
        derive_context(entry_context, "owner"),
        entry_context,
        attempt.queued_s,
        attempt.granted_s,
        (
            ("comfreyusher.group", attempt.request.group),
            ("comfreyusher.upstream", attempt.upstream),
            ("comfreyusher.risk", attempt.risk),
            ("comfreyusher.attempt", attempt.request.attempt),
        ),
    )
