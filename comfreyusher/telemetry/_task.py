"""The task that turns messages into OpenTelemetry metrics and spans."""

import collections
import dataclasses
import time

from comfreyusher.flow import Subscribe, Task, Tick
from comfreyusher.telemetry._messages import (
    AttemptCounted,
    DenialCounted,
    HopEnded,
    RequestMeasured,
    UpstreamEjected,
)

CHANNEL = "telemetry"
LOAD_AFTER_S = 3.0
MAX_EARLY = 2000
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class KeptSpan:
    """A span as the operators' address shows it; times are Unix seconds."""

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

    What is told before the meters are loaded is kept and counted then.
    """

    def __init__(self, node, settings, wall_clock=time.time, **kwargs):
        super().__init__(CHANNEL, **kwargs)
        self.node = node
        self.settings = settings
        self.offset_s = wall_clock() - self.clock()
        self.spans = collections.deque(maxlen=settings.kept_spans)
        self.meters = None
        self.early = collections.deque(maxlen=MAX_EARLY)
        self.message_handlers = {
            RequestMeasured: self.count,
            UpstreamEjected: self.count,
            AttemptCounted: self.count,
            DenialCounted: self.count,
            HopEnded: self.end_hop,
            Tick: self.load,
        }

    def prepare(self):
        """Load the meters once the node has started."""
        load = Subscribe(CHANNEL, "load", LOAD_AFTER_S, repeat=False)
        self.send_message("timers", load)

    def load(self, _=None):
        """Return the meters, which the first call loads."""
        if self.meters is not None:
            return self.meters
        from comfreyusher.telemetry._meters import Meters

        self.meters = Meters(self.node, self.settings, self.offset_s)
        for message in self.early:
            self.count(message)
        self.early.clear()
        return self.meters

    def count(self, message):
        """Count a message, now or once the meters are loaded."""
        if self.meters is None:
            self.early.append(message)
            return
        counts = {
            RequestMeasured: self.meters.measure,
            UpstreamEjected: self.meters.count_ejection,
            AttemptCounted: self.meters.count_attempt,
            DenialCounted: self.meters.count_denial,
            HopEnded: self.meters.export_hop,
        }
        counts[type(message)](message)

    def end_hop(self, hop):
        """Keep a span, and export it."""
        self.spans.append(self._kept(hop))
        self.count(hop)

    def _kept(self, hop):
        return KeptSpan(
            f"{hop.context.trace_id:032x}",
            f"{hop.context.span_id:016x}",
            f"{hop.parent.span_id:016x}" if hop.parent else "",
            self.node,
            hop.name,
            hop.start_s + self.offset_s,
            (hop.end_s - hop.start_s) * MILLISECONDS_PER_SECOND,
            dict(hop.attributes),
        )

    def find_spans(self, trace_id):
        """Return the kept spans of a trace, oldest first."""
        found = [span for span in self.spans if span.trace_id == trace_id]
        return sorted(found, key=lambda span: span.start_s)

    def read_metrics(self):
        """Return the current metrics in OTLP's JSON form."""
        return self.load().read_metrics()

    def read_text(self):
        """Return the current metrics in Prometheus' text form."""
        return self.load().read_text()

    def close(self):
        """Export what is left."""
        if self.meters is not None:
            self.meters.close()
