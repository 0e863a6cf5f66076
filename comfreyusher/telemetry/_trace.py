"""Trace contexts as defined by W3C Trace Context.

The id of a child span is a hash of its parent's id and its name, so that pure
functions can create spans without a source of randomness.
"""

import dataclasses
import random
import re

import xxhash

TRACEPARENT_PATTERN = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
SAMPLED_FLAG = 1
SAMPLING_BITS = 64
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TraceContext:
    """Ids of a trace and a span, and whether the trace is sampled."""

    trace_id: int
    span_id: int
    sampled: bool


def parse_context(text):
    """Return the context in a ``traceparent`` value, or ``None``."""
    match = TRACEPARENT_PATTERN.match(text or "")
    if match is None:
        return None
    trace_id, span_id = int(match[1], 16), int(match[2], 16)
    if not trace_id or not span_id:
        return None
    return TraceContext(trace_id, span_id, bool(int(match[3], 16) & SAMPLED_FLAG))


def format_context(context):
    """Return the ``traceparent`` value of a context."""
    flags = "01" if context.sampled else "00"
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags}"


def start_context(ratio):
    """Return the context of a new trace.

    ``ratio`` is the share of traces that are sampled, from 0 to 1.
    """
    trace_id = _random_id(TRACE_ID_BITS)
    low_bits = trace_id & ((1 << SAMPLING_BITS) - 1)
    sampled = low_bits < ratio * (1 << SAMPLING_BITS)
    return TraceContext(trace_id, _random_id(SPAN_ID_BITS), sampled)


def derive_context(parent, name):
    """Return the context of a child span; ``name`` must be unique in its parent."""
    digest = xxhash.xxh64_intdigest(f"{parent.span_id:016x}/{name}".encode())
    return TraceContext(parent.trace_id, digest or 1, parent.sampled)


def _random_id(bits):
    """Return a random id; 0 is not a valid one."""
    return random.getrandbits(bits) or 1
