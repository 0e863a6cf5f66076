"""The task that turns messages into OpenTelemetry metrics and spans."""

import collections
import dataclasses
import time

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.messages import CallerMemory
from comfreyusher.platform import EraChanged
from comfreyusher.telemetry._messages import (
    AttemptEnded,
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

CHANNEL = "telemetry"
METERS_LOAD_DELAY_S = 3.0
MAX_PENDING_MESSAGES = 2000
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class KeptSpan:
    """A span as the operators' address shows it; ``start_s`` is in Unix seconds."""

    trace_id: str
    span_id: str
    parent_id: str
    node: str
    name: str
    start_s: float
    duration_ms: float
    attributes: dict


class TelemetryTask(Task):
    """Owns the meters, the exporters and the newest spans.

    Messages that arrive before the meters are loaded are kept until then; beyond
    ``MAX_PENDING_MESSAGES`` the oldest ones are dropped.
    """

    def __init__(self, node, settings, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.node = node
        self.settings = settings
        self.wall_clock_offset_s = wall_clock() - self.clock()
        self.spans = collections.deque(maxlen=settings.kept_spans)
        self.meters = None
        self.pending_messages = collections.deque(maxlen=MAX_PENDING_MESSAGES)
        self.message_handlers = {
            RequestMeasured: self.handle_measurement,
            UpstreamEjected: self.handle_measurement,
            AttemptEnded: self.handle_measurement,
            GrantDenied: self.handle_measurement,
            SharingRefused: self.handle_measurement,
            HeadersUnreadable: self.handle_measurement,
            HedgeCounted: self.handle_measurement,
            KeysRefused: self.handle_measurement,
            RecordsRepublished: self.handle_measurement,
            EraChanged: self.handle_measurement,
            TokensMeasured: self.handle_measurement,
            CallerMemory: self.handle_measurement,
            SpanEnded: self.handle_span_ended,
            Tick: self.load_meters,
        }

    def prepare(self):
        """Schedule the loading of the meters, after the start of the node."""
        subscription = Subscribe(CHANNEL, "load", METERS_LOAD_DELAY_S, repeat=False)
        self.send_message("timers", subscription)

    def load_meters(self, _=None):
        """Return the meters; the first call loads them."""
        if self.meters is not None:
            return self.meters
        from comfreyusher.telemetry._meters import Meters

        self.meters = Meters(self.node, self.settings, self.wall_clock_offset_s)
        for message in self.pending_messages:
            self.handle_measurement(message)
        self.pending_messages.clear()
        return self.meters

    def handle_measurement(self, message):
        """Count a message or export a span, now or once the meters are loaded."""
        if self.meters is None:
            self.pending_messages.append(message)
            return
        recorders = {
            RequestMeasured: self.meters.record_request,
            UpstreamEjected: self.meters.count_ejection,
            AttemptEnded: self.meters.count_attempt,
            GrantDenied: self.meters.count_denial,
            SharingRefused: self.meters.count_sharing_refusals,
            HeadersUnreadable: self.meters.count_unreadable,
            HedgeCounted: self.meters.count_hedge,
            KeysRefused: self.meters.count_key_refusals,
            RecordsRepublished: self.meters.count_republished,
            EraChanged: self.meters.record_era,
            TokensMeasured: self.meters.record_tokens,
            CallerMemory: self.meters.record_caller_memory,
            SpanEnded: self.meters.export_span,
        }
        recorders[type(message)](message)

    def handle_span_ended(self, span):
        """Store a span, and export it."""
        self.spans.append(self._build_kept_span(span))
        self.handle_measurement(span)

    def _build_kept_span(self, span):
        return KeptSpan(
            f"{span.context.trace_id:032x}",
            f"{span.context.span_id:016x}",
            f"{span.parent.span_id:016x}" if span.parent else "",
            self.node,
            span.name,
            span.start_s + self.wall_clock_offset_s,
            (span.end_s - span.start_s) * MILLISECONDS_PER_SECOND,
            dict(span.attributes),
        )

    def find_spans(self, trace_id):
        """Return the kept spans of a trace, oldest first."""
        found = [span for span in self.spans if span.trace_id == trace_id]
        return sorted(found, key=lambda span: span.start_s)

    def read_otlp_json(self):
        """Return the current metrics as OTLP JSON."""
        return self.load_meters().read_otlp_json()

    def read_prometheus_text(self):
        """Return the current metrics in the text format of Prometheus, as bytes."""
        return self.load_meters().read_prometheus_text()

    def close(self):
        """Export the remaining spans and metrics."""
        if self.meters is not None:
            self.meters.close()
