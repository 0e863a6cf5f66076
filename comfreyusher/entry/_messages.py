"""Messages to the entry task, from its decisions and from the node task."""

import dataclasses
import math

import immutables

from comfreyusher.membership import Ownership
from comfreyusher.messages import AttemptReport, Outcome
from comfreyusher.routing import RoutingTable
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


@dataclasses.dataclass(frozen=True, slots=True)
class NodeView:
    """The node's view of its configuration and of the fleet.

    ``ready`` tells whether the configuration has any routes. ``departed`` maps
    upstreams that are leaving or gone to the time when this node learned of it.
    ``ends_s`` is when the requests in flight are ended for a shutdown.
    """

    table: RoutingTable
    ready: bool
    draining: bool
    groups: immutables.Map
    ownership: Ownership
    departed: immutables.Map = immutables.Map()
    ends_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class EndRequests:
    """This node ends now: answer all requests that are in flight."""
