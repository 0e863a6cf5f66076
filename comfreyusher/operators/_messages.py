"""What other tasks tell the operators' task."""

import dataclasses

from comfreyusher.declarations import Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """The node's own state.

    ``ready`` tells that all topics were read, ``serving`` that callers should
    come. ``published_version`` is -1 without a configuration of the platform.
    """

    node: str
    data_centre: str
    region: str
    phase: str
    ready: bool
    serving: bool
    published_version: int
    catalogue: Declarations
    members: tuple
    requests_in_flight: int
