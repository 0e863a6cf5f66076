"""Prints what telemetry costs for one request, in microseconds of processor."""

import sys
import time

from comfreyusher.settings import TelemetrySettings
from comfreyusher.telemetry import HopEnded, RequestMeasured, start_context
from comfreyusher.telemetry._task import TelemetryTask

TIMES = 20000
MICROSECONDS = 1_000_000


def microseconds_of(action):
    """Return the processor time of one call."""
    started = time.process_time()
    for _ in range(TIMES):
        action()
    return (time.process_time() - started) / TIMES * MICROSECONDS


def main():
    """Measure a counted request and a kept span."""
    task = TelemetryTask("vm-1.1", TelemetrySettings())
    measured = RequestMeasured("orders", "done", 200, 0.01)
    context = start_context(1.0)
    hop = HopEnded("entry", context, None, 1.0, 1.1, (("a", "b"), ("c", 1)))
    print(
        f"metrics of a request: {microseconds_of(lambda: task.measure(measured)):.1f}"
    )
    print(f"one kept span: {microseconds_of(lambda: task.end_hop(hop)):.1f}")
    print(f"context of a trace: {microseconds_of(lambda: start_context(0.01)):.1f}")
    task.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
