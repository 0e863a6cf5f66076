"""Trace contexts after W3C Trace Context.

Span ids of later hops are derived from their parent's by hashing, so that
pure decisions can name spans without a source of randomness.
"""

import dataclasses
import re

import xxhash
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator

PATTERN = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
SAMPLED = 1
RATIO_BITS = 64
IDS = RandomIdGenerator()


@dataclasses.dataclass(frozen=True, slots=True)
class TraceContext:
    """Identity of a span."""

    trace_id: int
    span_id: int
    sampled: bool


def parse_context(text):
    """Return the context in a ``traceparent`` value, or ``None``."""
    match = PATTERN.match(text or "")
    if match is None:
        return None
    trace_id, span_id = int(match[1], 16), int(match[2], 16)
    if not trace_id or not span_id:
        return None
    return TraceContext(trace_id, span_id, bool(int(match[3], 16) & SAMPLED))


def format_context(context):
    """Return the ``traceparent`` value of a context."""
    flags = "01" if context.sampled else "00"
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags}"


def start_context(ratio):
    """Return the context of a new trace, sampled with the given ratio."""
    trace_id = IDS.generate_trace_id()
    low_bits = trace_id & ((1 << RATIO_BITS) - 1)
    sampled = low_bits < ratio * (1 << RATIO_BITS)
    return TraceContext(trace_id, IDS.generate_span_id(), sampled)


def derive_context(parent, name):
    """Return the context of a child span with a name unique in its parent."""
    digest = xxhash.xxh64_intdigest(f"{parent.span_id:016x}/{name}".encode())
    return TraceContext(parent.trace_id, digest or 1, parent.sampled)
