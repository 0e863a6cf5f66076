"""Messages that only the owner's decisions exchange, and their addresses."""

import dataclasses

from comfreyusher.flow import Address
from comfreyusher.messages import ToNode
from comfreyusher.owner._state import Plan

UPSTREAMS = "upstreams"
PEERS = "peers"


@dataclasses.dataclass(frozen=True, slots=True)
class PlanChanged:
    """The declarations or the platform's list changed for a group."""

    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """Time passed; sent by the timer service's tick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """An upstream was ejected; for logs and metrics."""

    group: str
    upstream: str
    reason: str


def to_upstream(body):
    """Address a message to the task with the upstreams' connections."""
    return Address(UPSTREAMS, body)


def to_origin(body):
    """Address a message to the entry node of its work."""
    return Address(PEERS, ToNode(body.key.node, body))
