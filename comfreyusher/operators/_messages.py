"""Messages that the operators' task receives."""

import dataclasses

from comfreyusher.declarations import Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """The state of this node.

    ``ready`` is true once all topics have been read, ``serving`` while callers
    should send requests to this node. ``published_version`` is -1 while there is
    no configuration from the platform.
    """

    node: str
    data_centre: str
    region: str
    phase: str
    ready: bool
    serving: bool
    published_version: int
    declarations: Declarations
    members: tuple
    requests_in_flight: int
