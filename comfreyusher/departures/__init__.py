"""Upstreams that said in a response that they are leaving."""

from comfreyusher.departures._messages import DepartureObserved, DeparturesChanged
from comfreyusher.departures._state import Departure, has_left, record_departure
from comfreyusher.departures._task import DepartureTask

__all__ = [
    "Departure",
    "DepartureObserved",
    "DepartureTask",
    "DeparturesChanged",
    "has_left",
    "record_departure",
]
