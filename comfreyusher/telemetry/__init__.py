"""Metrics and traces, by OpenTelemetry."""

from comfreyusher.telemetry._messages import (
    AttemptEnded,
    GrantDenied,
    HeadersUnreadable,
    HedgeCounted,
    KeysRefused,
    RequestMeasured,
    SpanEnded,
    UpstreamEjected,
)
from comfreyusher.telemetry._task import TelemetryTask
from comfreyusher.telemetry._trace import (
    TraceContext,
    derive_context,
    format_context,
    parse_context,
    start_context,
)

__all__ = [
    "AttemptEnded",
    "GrantDenied",
    "HeadersUnreadable",
    "HedgeCounted",
    "KeysRefused",
    "RequestMeasured",
    "SpanEnded",
    "TelemetryTask",
    "TraceContext",
    "UpstreamEjected",
    "derive_context",
    "format_context",
    "parse_context",
    "start_context",
]
