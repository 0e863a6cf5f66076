"""Instruments, readers and exporters of OpenTelemetry.

This module is imported a few seconds after the start of the node, since the
libraries that it needs would take a sixth of the startup time.
"""

import collections
import dataclasses

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags

from comfreyusher.messages import CallerMemory

NANOSECONDS_PER_SECOND = 1_000_000_000
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLabels:
    """Labels by which requests are counted."""

    service: str
    outcome: str
    status: int


class Meters:
    """The instruments of a node, and the readers that collect them."""

    def __init__(self, node, settings, wall_clock_offset_s):
        self.wall_clock_offset_s = wall_clock_offset_s
        self.resource = Resource(
            {"service.name": "comfreyusher", "service.instance.id": node}
        )
        self.json_reader = InMemoryMetricReader()
        self.registry = prometheus_client.CollectorRegistry()
        readers = [self.json_reader, PrometheusMetricReader(registry=self.registry)]
        self.span_processor = None
        if settings.otlp_endpoint:
            readers.append(_build_metric_reader(settings))
            self.span_processor = _build_span_processor(settings)
        self.meter_provider = MeterProvider(
            readers, self.resource, shutdown_on_exit=False
        )
        self._create_instruments()

    def _create_instruments(self):
        meter = self.meter_provider.get_meter("comfreyusher")
        self.request_counts = collections.Counter()
        self.requests = meter.create_observable_counter(
            "comfreyusher.requests",
            [self.observe_requests],
            "1",
            "Requests by service, outcome and status.",
        )
        self.duration = meter.create_histogram(
            "comfreyusher.request.duration", "s", "Time from head to end of answer."
        )
        self.ejections = meter.create_counter(
            "comfreyusher.ejections", "1", "Ejections of upstreams by group."
        )
        self.attempts = meter.create_counter(
            "comfreyusher.attempts", "1", "Attempts by upstream and verdict."
        )
        self.denials = meter.create_counter(
            "comfreyusher.denials", "1", "Attempts without an upstream by reason."
        )
        self.sharing_refusals = meter.create_counter(
            "comfreyusher.sharing.refusals",
            "1",
            "Attempts refused for their expected wait while accounts share, by cause.",
        )
        self.hedges = meter.create_counter(
            "comfreyusher.hedges", "1", "Hedges by group, result and reason."
        )
        self.unreadable = meter.create_counter(
            "comfreyusher.unreadable_headers",
            "1",
            "Headers of responses whose value was ignored, by upstream and name.",
        )
        self.key_refusals = meter.create_counter(
            "comfreyusher.key_refusals",
            "1",
            "Requests rejected without a known key of a client account, by reason.",
        )
        self.store_era = meter.create_gauge(
            "comfreyusher.store_era", "1", "Newest era of the store."
        )
        self.republished = meter.create_counter(
            "comfreyusher.republished_records",
            "1",
            "Records written again after the store was restored, by topic.",
        )
        self.tokens = meter.create_counter(
            "comfreyusher.tokens", "1", "Tokens of client accounts by decision."
        )
        self.bucket_levels = ()
        self.levels = meter.create_observable_gauge(
            "comfreyusher.bucket.level",
            [self.observe_bucket_levels],
            "1",
            "Tokens in the buckets that lent most, by client account.",
        )
        self.caller_memory = CallerMemory()
        self._create_memory_instruments(meter)

    def record_tokens(self, measured):
        """Count tokens by decision, and keep the levels of the buckets."""
        self.bucket_levels = measured.levels
        for decision, count in measured.counts:
            self.tokens.add(count, {"comfreyusher.decision": decision})

    def observe_bucket_levels(self, options):
        """Return the levels of the last second; called when a reader collects."""
        return [
            Observation(level.level, {"comfreyusher.account": level.account})
            for level in self.bucket_levels
        ]

    def _create_memory_instruments(self, meter):
        meter.create_observable_gauge(
            "comfreyusher.callers.held",
            [lambda _: [Observation(self.caller_memory.held_bytes)]],
            "By",
            "Memory held for callers.",
        )
        meter.create_observable_gauge(
            "comfreyusher.callers.unfinished",
            [lambda _: [Observation(self.caller_memory.unfinished)]],
            "1",
            "Requests that are being received.",
        )
        meter.create_observable_counter(
            "comfreyusher.callers.closed",
            [lambda _: [Observation(self.caller_memory.closed)]],
            "1",
            "Connections closed since callers held too much.",
        )

    def record_caller_memory(self, memory):
        """Record what is held for callers."""
        self.caller_memory = memory

    def record_request(self, request):
        """Count a request and record its duration."""
        labels = RequestLabels(request.service, request.outcome, request.status)
        self.request_counts[labels] += 1
        service = {"comfreyusher.service": request.service}
        self.duration.record(request.duration_s, service)

    def observe_requests(self, options):
        """Return the request counts; called when a reader collects metrics."""
        return [
            Observation(
                count,
                {
                    "comfreyusher.service": labels.service,
                    "comfreyusher.outcome": labels.outcome,
                    "http.response.status_code": labels.status,
                },
            )
            for labels, count in list(self.request_counts.items())
        ]

    def count_ejection(self, ejection):
        """Count an ejection by group and upstream."""
        attributes = {
            "comfreyusher.group": ejection.group,
            "comfreyusher.upstream": ejection.upstream,
        }
        self.ejections.add(1, attributes)

    def count_attempt(self, attempt):
        """Count an attempt that was reported to a group of this node."""
        attributes = {
            "comfreyusher.upstream": attempt.upstream,
            "comfreyusher.verdict": attempt.verdict,
        }
        self.attempts.add(1, attributes)

    def count_denial(self, denial):
        """Count a denied grant request."""
        attributes = {
            "comfreyusher.group": denial.group,
            "comfreyusher.reason": denial.reason,
        }
        self.denials.add(1, attributes)

    def count_sharing_refusals(self, refused):
        """Count attempts that were refused while a group is shared fairly."""
        attributes = {
            "comfreyusher.group": refused.group,
            "comfreyusher.cause": refused.cause,
        }
        self.sharing_refusals.add(refused.count, attributes)

    def count_hedge(self, hedge):
        """Count a hedge that was granted, denied, or won."""
        attributes = {
            "comfreyusher.group": hedge.group,
            "comfreyusher.result": hedge.result,
        }
        if hedge.reason:
            attributes["comfreyusher.reason"] = hedge.reason
        self.hedges.add(1, attributes)

    def count_unreadable(self, headers):
        """Count the headers of a response whose value was ignored."""
        for name in headers.names:
            attributes = {
                "comfreyusher.upstream": headers.upstream,
                "comfreyusher.header": name,
            }
            self.unreadable.add(1, attributes)

    def count_key_refusals(self, refused):
        """Count the requests that were rejected for want of a known key."""
        for reason, count in dataclasses.asdict(refused).items():
            if count:
                self.key_refusals.add(count, {"comfreyusher.reason": reason})

    def record_era(self, changed):
        """Record the newest era of the store."""
        self.store_era.set(changed.era)

    def count_republished(self, republished):
        """Count records that were written again after the store was restored."""
        attributes = {"comfreyusher.topic": republished.topic}
        self.republished.add(republished.count, attributes)

    def export_span(self, span):
        """Export a span if an OTLP endpoint is configured."""
        if self.span_processor is not None:
            self.span_processor.on_end(self._build_readable_span(span))

    def _build_readable_span(self, span):
        return ReadableSpan(
            span.name,
            _build_span_context(span.context),
            _build_span_context(span.parent) if span.parent else None,
            self.resource,
            dict(span.attributes),
            kind=SpanKind.SERVER,
            start_time=self._convert_to_unix_ns(span.start_s),
            end_time=self._convert_to_unix_ns(span.end_s),
        )

    def _convert_to_unix_ns(self, seconds):
        return int((seconds + self.wall_clock_offset_s) * NANOSECONDS_PER_SECOND)

    def read_otlp_json(self):
        """Return the current metrics as OTLP JSON."""
        data = self.json_reader.get_metrics_data()
        return data.to_json() if data is not None else "{}"

    def read_prometheus_text(self):
        """Return the current metrics in the text format of Prometheus, as bytes."""
        return prometheus_client.generate_latest(self.registry)

    def close(self):
        """Export the remaining spans and metrics."""
        if self.span_processor is not None:
            self.span_processor.shutdown()
        self.meter_provider.shutdown()


def _build_span_context(context):
    flags = TraceFlags(TraceFlags.SAMPLED if context.sampled else 0)
    return SpanContext(context.trace_id, context.span_id, True, flags)


def _build_metric_reader(settings):
    # Imported here, since the exporters take as much memory as the rest of the node.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )

    exporter = OTLPMetricExporter(f"{settings.otlp_endpoint}/v1/metrics")
    period_ms = settings.export_period_s * MILLISECONDS_PER_SECOND
    return PeriodicExportingMetricReader(exporter, period_ms)


def _build_span_processor(settings):
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )

    exporter = OTLPSpanExporter(f"{settings.otlp_endpoint}/v1/traces")
    return BatchSpanProcessor(exporter)
