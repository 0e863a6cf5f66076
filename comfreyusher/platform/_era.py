"""Decisions on the era of the store, which rises when it is restored from a copy."""

import dataclasses

from comfreyusher.platform._calls import Append, EraChanged, ReadRecords

ERA_CHANNELS = (
    "feeds",
    "configuration",
    "quarantine",
    "directory",
    "accounts",
    "queries",
    "telemetry",
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEra:
    """The newest era that this node knows; 0 while no response has named one.

    ``is_known`` tells whether the store, or another node that it responded to, has
    been heard at all.
    """

    era: int = 0
    is_known: bool = False


def observe_era(known, era):
    """Return the ``StoreEra`` after an era was named, and its ``EraChanged`` if any.

    ``era`` is ``None`` for a response that names no era: it is of the same era as
    before.
    """
    if era is None or era <= known.era:
        return StoreEra(known.era, True), None
    return StoreEra(era, True), EraChanged(era, known.is_known)


def is_outdated(request, response_era, newest_era):
    """Tell whether a response must not be used because of the store's eras.

    It is of an older era than another response, or its request names an offset of
    another era.
    """
    if response_era < newest_era:
        return True
    if not isinstance(request, (Append, ReadRecords)):
        return False
    return request.era not in (0, response_era)
