"""Spans of the owner's part of a request: its stay here and its dispatch."""

from comfreyusher.flow import Address
from comfreyusher.telemetry import (
    HopEnded,
    derive_context,
    format_context,
    parse_context,
)

TELEMETRY = "telemetry"


def upstream_trace_parent(work):
    """Return the ``traceparent`` that the upstream gets."""
    entry = parse_context(work.offer.trace_parent)
    if entry is None:
        return work.offer.trace_parent
    return format_context(_dispatch_context(entry, work))


def end_spans(work, now):
    """Return the messages that end the spans of work that was dispatched."""
    entry = parse_context(work.offer.trace_parent)
    if entry is None or not entry.sampled:
        return ()
    owner = derive_context(entry, "owner")
    stayed = HopEnded(
        "owner",
        owner,
        entry,
        work.queued_s,
        now,
        (
            ("comfreyusher.group", work.offer.group),
            ("comfreyusher.queued_ms", (work.dispatched_s - work.queued_s) * 1000),
            ("comfreyusher.attempts", work.attempts),
        ),
    )
    ran = HopEnded(
        "upstream",
        _dispatch_context(entry, work),
        owner,
        work.dispatched_s,
        now,
        (("comfreyusher.upstream", work.upstream),),
    )
    return Address(TELEMETRY, stayed), Address(TELEMETRY, ran)


def _dispatch_context(entry, work):
    owner = derive_context(entry, "owner")
    return derive_context(owner, f"dispatch-{work.attempts}")
