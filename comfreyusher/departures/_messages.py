"""What other tasks of the node send to the departure task, and get from it."""

import dataclasses

import immutables

from comfreyusher.messages import DepartureNotice


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureObserved:
    """An upstream said to this node that it is leaving."""

    notice: DepartureNotice


@dataclasses.dataclass(frozen=True, slots=True)
class DeparturesChanged:
    """All known departures: a map of upstreams to ``Departure``."""

    departures: immutables.Map
