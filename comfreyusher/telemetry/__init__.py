"""Metrics and traces, by OpenTelemetry."""

from comfreyusher.telemetry._messages import (
    AttemptEnded,
    BucketLevel,
    GrantDenied,
    HeadersUnreadable,
    HedgeCounted,
    KeysRefused,
    RecordsRepublished,
    RequestMeasured,
    SharingRefused,
    SpanEnded,
    TokensMeasured,
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
    "BucketLevel",
    "GrantDenied",
    "HeadersUnreadable",
    "HedgeCounted",
    "KeysRefused",
    "RecordsRepublished",
    "RequestMeasured",
    "SharingRefused",
    "SpanEnded",
    "TelemetryTask",
    "TokensMeasured",
    "TraceContext",
    "UpstreamEjected",
    "derive_context",
    "format_context",
    "parse_context",
    "start_context",
]
