"""Messages that only the owner's decisions exchange, and their addresses."""

import dataclasses

from comfreyusher.flow import Envelope
from comfreyusher.messages import ToNode
from comfreyusher.owner._state import Plan

DATAGRAMS = "datagrams"


@dataclasses.dataclass(frozen=True, slots=True)
class PlanChanged:
    """The declarations or the list changed for a group."""

    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """Time passed; sent by the timer service's tick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """This node leaves the fleet; others own its groups from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """An upstream was ejected; for logs and metrics."""

    group: str
    upstream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that crashed upstreams is refused from now on; for logs."""

    group: str
    fingerprint: str
    crashed: tuple


def to_asker(body):
    """Address a message to the entry node of its attempt."""
    return Envelope(DATAGRAMS, ToNode(body.key.node, body))
