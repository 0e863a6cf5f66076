"""Messages of the entry's decisions to its own task."""

import dataclasses

from comfreyusher.messages import AttemptReport, Outcome
from comfreyusher.telemetry import HopEnded


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """The entry task may drop a visit; for its log line."""

    exchange: int
    outcome: Outcome
    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTo:
    """Report to an owner until it has heard; ``hop`` is the span, if any."""

    owner: str
    report: AttemptReport
    hop: HopEnded | None = None
