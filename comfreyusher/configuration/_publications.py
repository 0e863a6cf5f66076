"""Publications under way on this node, settled by the fold alone.

An append whose answer was lost is settled by its publish id: the record is in
the log or it is not, whatever the answer said.
"""

import dataclasses
import enum

from comfreyusher.flow import change

SETTLE_TIMEOUT_S = 30.0


class PublicationState(str, enum.Enum):
    """State of a publication."""

    APPENDING = "appending"
    UNSETTLED = "unsettled"
    SETTLED = "settled"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A publication; ``nodes`` maps node ids to the offsets they confirmed."""

    publish_id: str
    key: str
    revision: int
    started_s: float
    state: PublicationState = PublicationState.APPENDING
    offset: int = 0
    reason: str = ""


def settle(publication, catalogue):
    """Return the publication as the catalogue shows it."""
    offset = catalogue.settled.get(publication.publish_id)
    if offset is not None:
        return change(publication, state=PublicationState.SETTLED, offset=offset)
    conflict = catalogue.conflicts.get(publication.publish_id)
    if conflict is not None:
        return change(
            publication,
            state=PublicationState.CONFLICT,
            offset=conflict.offset,
            reason=conflict.reason,
        )
    return publication


def leave_unsettled(publication, reason):
    """Return the publication after its append brought no answer."""
    if publication.state is not PublicationState.APPENDING:
        return publication
    return change(publication, state=PublicationState.UNSETTLED, reason=reason)
