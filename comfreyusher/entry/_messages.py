"""Messages that the entry's decisions send to the entry task."""

import dataclasses

from comfreyusher.messages import AttemptReport, Outcome
from comfreyusher.telemetry import SpanEnded


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFinished:
    """Tell the entry task to log a finished request and drop its state."""

    exchange: int
    outcome: Outcome
    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Tell the entry task to send a report until its owner acknowledges it.

    ``span`` is the span of the attempt if the request is traced.
    """

    owner: str
    report: AttemptReport
    span: SpanEnded | None = None
