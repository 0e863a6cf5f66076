"""Messages from and to the owner's decisions, and the channels of receivers."""

import dataclasses

from comfreyusher.flow import Envelope
from comfreyusher.messages import ToNode
from comfreyusher.owner._state import Plan

DATAGRAMS_CHANNEL = "datagrams"


@dataclasses.dataclass(frozen=True, slots=True)
class PlanChanged:
    """The declarations or the registered upstreams of a group have changed."""

    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class CheckDue:
    """The periodic checks are due; sent at each tick of the timer service.

    With ``late`` the process was held up, so that reports of nodes may have arrived
    and not been handled yet.
    """

    late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """This node leaves the fleet; other nodes own its groups from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """An upstream was ejected; for logs and metrics."""

    group: str
    upstream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that crashed upstreams is quarantined for ``quarantine_ms``."""

    group: str
    fingerprint: str
    crashed_upstreams: tuple
    quarantine_ms: int


def to_entry_node(body):
    """Return the envelope that sends a message to the entry node of its attempt."""
    return Envelope(DATAGRAMS_CHANNEL, ToNode(body.key.node, body))
