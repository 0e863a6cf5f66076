"""What other tasks tell the operators' task."""

import dataclasses

import immutables

from comfreyusher.declarations import Catalogue


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """The node's own state."""

    node: str
    data_centre: str
    region: str
    phase: str
    ready: bool
    catalogue: Catalogue
    members: tuple
    vms: immutables.Map
    requests_in_flight: int
